package core

import (
	"sync"
	"time"
)

// unsetTimer is the initial duration of a timer that is set right after it was created, so that its function can use
// the timer itself.
const unsetTimer = time.Hour

// capDeadline returns a client's deadline, or the time of the last answers if the agent stops before that.
func (l *Loop) capDeadline(deadline time.Time) time.Time {
	if end := l.drainDeadline.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// deadlineOf returns the present deadline of a request. Any goroutine may call it. That of an upload counts from the
// latest time at which its client is known not to have written the last byte.
func (l *Loop) deadlineOf(r *Request) time.Time {
	deadline := r.submittedDeadline
	if !r.Upload {
		return deadline
	}
	if at := r.writingAt.Load(); at != nil && at.Add(r.Remaining).After(deadline) {
		deadline = at.Add(r.Remaining)
	}
	return l.capDeadline(deadline)
}

// extendedDeadline is deadlineOf, after checking whether the client of an upload is writing now.
func (l *Loop) extendedDeadline(r *Request) time.Time {
	if r.Upload && r.ClientIsWriting != nil && r.ClientIsWriting() {
		r.StillWriting(time.Now())
	}
	return l.deadlineOf(r)
}

// startDeadlineTimer starts the timer that notifies the loop when a request's deadline and half of the answer grace
// have passed. The grace is for a request that arrives less than a tick before its deadline: it is answered in the step
// that first handles it.
func (l *Loop) startDeadlineTimer(r *Request) {
	grace := l.cfg.Settings.AnswerGrace / 2
	r.deadlineTimer = time.AfterFunc(unsetTimer, func() {
		select {
		case <-r.ended:
			return
		default:
		}
		if left := time.Until(l.extendedDeadline(r)); r.Upload && left > 0 {
			r.deadlineTimer.Reset(left + grace)
			return
		}
		l.post(deadlineExceeded{r})
	})
	r.deadlineTimer.Reset(time.Until(r.Deadline) + grace)
}

// stopDeadlineTimer stops the timer of a request that has its final answer. The loop calls it.
func (r *Request) stopDeadlineTimer() {
	if r.deadlineTimer != nil { // nil: a test's request, which did not pass Submit
		r.deadlineTimer.Stop()
	}
}

// attemptTimer ends an attempt's context at its deadline, which may be extended until then.
type attemptTimer struct {
	until  func() time.Time // the present deadline
	expire func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool // by stop, or because it has expired
	expired bool
}

// start starts the timer, which must be called once.
func (t *attemptTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Until(t.until()), t.fired)
}

func (t *attemptTimer) fired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if left := time.Until(t.until()); left > 0 {
		t.timer.Reset(left)
		return
	}
	t.stopped = true
	t.expired = true
	t.expire()
}

// stop stops the timer. It reports false if the deadline has passed.
func (t *attemptTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	return !t.expired
}
