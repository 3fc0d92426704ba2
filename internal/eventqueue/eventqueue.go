// Package eventqueue is what is to happen in virtual time, in order: what comes at one moment in the order in which it was
// put down. Harnesses that play peers' modules go by it.
package eventqueue

import (
	"container/heap"
	"time"
)

// Agenda is a queue of things to do. The zero value is empty.
type Agenda struct {
	queue queue
	seq   int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// At puts something down.
func (a *Agenda) At(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, event{t, a.seq, do})
}

// Next takes the next thing that is due before end; ok is false where there is none.
func (a *Agenda) Next(end time.Duration) (at time.Duration, do func(), ok bool) {
	if len(a.queue) == 0 || a.queue[0].at >= end {
		return 0, nil, false
	}
	e := heap.Pop(&a.queue).(event)
	return e.at, e.do, true
}
