package timeline

import (
	"cmp"
	"container/heap"
	"slices"
)

// Merge joins the events of several processes in the order of time, then
// process, then sequence number. The events of one process always stay in the
// order of their numbers, whatever their times say, and an event that occurs
// in several lists is kept once.
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
	heads := make(queue, 0, len(byProcess))
	for _, events := range byProcess {
		heads = append(heads, distinct(events))
	}
	heap.Init(&heads)
	merged := make([]Event, 0, total)
	for len(heads) > 0 {
		merged = append(merged, heads[0][0])
		heads[0] = heads[0][1:]
		if len(heads[0]) == 0 {
			heap.Pop(&heads)
			continue
		}
		heap.Fix(&heads, 0)
	}
	return merged
}

// distinct sorts the events of one process by number and drops repeats.
func distinct(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Seq, b.Seq) })
	return slices.CompactFunc(events, func(a, b Event) bool { return a.Seq == b.Seq })
}

// queue is a heap of the processes' remaining events, by their first event.
type queue [][]Event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	a, b := &q[i][0], &q[j][0]
	if !a.Time.Equal(b.Time) {
		return a.Time.Before(b.Time)
	}
	return a.Process.less(b.Process)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is not used by Merge; it completes heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.([]Event)) }

// Pop removes the last list.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
