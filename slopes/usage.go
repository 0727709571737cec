package slopes

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// processCPUTime returns the user and system CPU time of this program.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the size of the live heap and of the stacks. It collects
// garbage twice, because a sync.Pool keeps its objects through one collection.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// heapSampleInterval is the interval between two samples of the heap size.
const heapSampleInterval = time.Millisecond

// samplePeakHeap starts sampling the size of the heap. The returned function stops
// the sampling and returns the largest sample.
func samplePeakHeap() (stop func() int64) {
	stopped, peak := make(chan struct{}), make(chan int64)
	go func() {
		maxBytes := heapObjectBytes()
		for {
			select {
			case <-stopped:
				peak <- max(maxBytes, heapObjectBytes())
				return
			case <-time.After(heapSampleInterval):
				maxBytes = max(maxBytes, heapObjectBytes())
			}
		}
	}()
	return func() int64 {
		close(stopped)
		return <-peak
	}
}

// heapObjectBytes returns the size of all heap objects, live or not yet collected.
func heapObjectBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
