package slopes

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// processorTime returns the processor time that this program has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// samplePause is the time between two readings of the heap.
const samplePause = time.Millisecond

// watchPeak reads the size of the heap again and again until the returned
// function is called, which returns the largest size seen.
func watchPeak() (stop func() int64) {
	end, peak := make(chan struct{}), make(chan int64)
	go func() {
		most := heapObjects()
		for {
			select {
			case <-end:
				peak <- max(most, heapObjects())
				return
			case <-time.After(samplePause):
				most = max(most, heapObjects())
			}
		}
	}()
	return func() int64 {
		close(end)
		return <-peak
	}
}

func heapObjects() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
