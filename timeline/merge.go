package timeline

import (
	"cmp"
	"container/heap"
	"slices"
)

// Merge merges the events of several processes, ordered by time, then process,
// then sequence number. Events of one process always stay in the order of their
// sequence numbers, even if their times go back. An event that occurs in several
// lists is returned once.
func Merge(lists ...[]Event) []Event {
	byProcess := make(map[Process][]Event)
	total := 0
	for _, list := range lists {
		total += len(list)
		for i := range list {
			p := list[i].Process
			byProcess[p] = append(byProcess[p], list[i])
		}
	}
	remaining := make(eventHeap, 0, len(byProcess))
	for _, events := range byProcess {
		remaining = append(remaining, sortUnique(events))
	}
	heap.Init(&remaining)
	merged := make([]Event, 0, total)
	for len(remaining) > 0 {
		merged = append(merged, remaining[0][0])
		remaining[0] = remaining[0][1:]
		if len(remaining[0]) == 0 {
			heap.Pop(&remaining)
			continue
		}
		heap.Fix(&remaining, 0)
	}
	return merged
}

// sortUnique sorts the events of one process by sequence number and removes
// duplicates.
func sortUnique(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Seq, b.Seq) })
	return slices.CompactFunc(events, func(a, b Event) bool { return a.Seq == b.Seq })
}

// eventHeap is a min-heap of the remaining events of each process. It is ordered by
// the time, then the process, of the first event of each list.
type eventHeap [][]Event

func (q eventHeap) Len() int { return len(q) }

func (q eventHeap) Less(i, j int) bool {
	a, b := &q[i][0], &q[j][0]
	if !a.Time.Equal(b.Time) {
		return a.Time.Before(b.Time)
	}
	return a.Process.before(b.Process)
}

func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is required by heap.Interface; Merge does not use it.
func (q *eventHeap) Push(x any) { *q = append(*q, x.([]Event)) }

// Pop removes and returns the last list.
func (q *eventHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
