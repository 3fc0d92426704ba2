package http1

import (
	"sync/atomic"
	"time"
)

const (
	// unservedBurst is how many answers other than served ones a connection gets without a pause, and unservedInterval
	// how often one more. Without a pause, one client could keep the processor busy with requests that cost it nothing.
	unservedBurst    = 100
	unservedInterval = 5 * time.Millisecond
)

// pacer slows down a connection whose requests are answered by the agent itself. The zero value is ready for use.
type pacer struct {
	unserved atomic.Int64  // such answers so far
	paid     int64         // of these, those that were considered by wait
	debt     time.Duration // how long they take at unservedInterval each, as of lastAt
	lastAt   time.Time
}

// count counts an answer. Any goroutine may call it.
func (p *pacer) count() { p.unserved.Add(1) }

// wait pauses before the next request is read, if there were too many such answers. Only the reader calls it.
func (p *pacer) wait() {
	total := p.unserved.Load()
	now := time.Now()
	p.debt = max(0, p.debt-now.Sub(p.lastAt)) + time.Duration(total-p.paid)*unservedInterval
	p.paid = total
	p.lastAt = now
	if p.debt > unservedBurst*unservedInterval {
		time.Sleep(unservedInterval)
	}
}
