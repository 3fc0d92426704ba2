// Package eventqueue provides the event queue of a discrete-event simulation. An event is a function that runs at a
// point of virtual time. Events at the same time run in the order in which they were added. The simulations of the
// peers' protocols use it.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a queue of events. The zero value is an empty queue. A Queue must be used by one goroutine only.
type Queue struct {
	events   eventHeap
	sequence int // sequence number of the event added last
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventHeap implements heap.Interface, ordered by time and then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// At adds an event that runs a function at a point of virtual time.
func (q *Queue) At(at time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, event{at: at, sequence: q.sequence, run: run})
}

// Next removes the first event if its time is before end, and returns its time and function; ok is false if there is
// none.
func (q *Queue) Next(end time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at >= end {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.run, true
}
