package core

import (
	"context"
	"errors"
	"slices"
	"sync"

	"vetchhaven/decide"
)

// SendRefusal is the reason why an attempt must not write to its server.
type SendRefusal int

// The reasons, in the order in which they are checked.
const (
	SendAllowed        SendRefusal = iota
	RequestAnswered                // the request has its final answer, or another attempt's response has begun
	AttemptEnded                   // the attempt timed out or was cancelled, or the agent has ended
	ServerWithdrawn                // see Attempt.serverWithdrawn and Attempt.mayReachAnotherProcess
	WindowClosed                   // the deduplication window or the lease within which the attempt must begin has ended
	ClientDisconnected             // the client has disconnected
	sendRefusalCount
)

// sendRefusalNames are the names of the reasons, which are values of a metric's label.
var sendRefusalNames = [sendRefusalCount]string{
	"allowed",
	"request_answered",
	"attempt_ended",
	"server_withdrawn",
	"window_closed",
	"client_disconnected",
}

// String returns the name under which refusals of this kind are counted.
func (s SendRefusal) String() string { return sendRefusalNames[s] }

// Result returns the result of an attempt whose first byte was refused; ctx is the attempt's own.
func (s SendRefusal) Result(ctx context.Context) decide.Result {
	switch {
	case s == AttemptEnded && errors.Is(context.Cause(ctx), ErrCancelled):
		return decide.Cancelled
	case s == AttemptEnded, s == ServerWithdrawn:
		return decide.Incomplete // never executed, because it was not sent completely; it may be sent to another server
	}
	return decide.NotSent
}

// sendGuard admits each write to a server and the final answer of its request. A write and the answer exclude each
// other: while a write is open the answer is deferred, and after the answer no write is admitted. Therefore a process
// that is paused between a check and its write sends nothing after the answer.
//
// An answer is deferred only for a short time: the kernel accepts small writes at once, and larger ones are
// interrupted.
type sendGuard struct {
	mu                sync.Mutex
	writeEnded        sync.Cond // signals the end of a write; its Locker is mu, which startResponse sets
	writes            []openWrite
	answered          bool
	respondingAttempt int    // number, from 1, of the attempt whose response is sent to the client; 0: none
	deferredAnswer    func() // gives the answer once no write is open
}

// openWrite is a write that was admitted and has not ended.
type openWrite struct {
	attempt   int
	interrupt func() // ends a write that is waiting for its server; must not block
}

// open admits a write, whose end the caller must report with end. It reports false if the write is not admitted: the
// request has its final answer, or the response of another attempt has begun.
func (g *sendGuard) open(attempt int, interrupt func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered || g.respondingAttempt != 0 && g.respondingAttempt != attempt+1 {
		return false
	}
	g.writes = append(g.writes, openWrite{attempt, interrupt})
	return true
}

// end records the end of an attempt's write. After the last open write it gives the deferred answer. It reports false
// if no write of the attempt is open.
func (g *sendGuard) end(attempt int) bool {
	found, answer := g.remove(attempt)
	if answer != nil {
		answer()
	}
	return found
}

// remove removes an attempt's write, and returns the deferred answer if it is to be given now, or nil.
func (g *sendGuard) remove(attempt int) (found bool, answer func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.writes, func(w openWrite) bool { return w.attempt == attempt })
	if i >= 0 {
		g.writes = slices.Delete(g.writes, i, i+1)
	}
	if len(g.writes) == 0 {
		answer = g.deferredAnswer
		g.deferredAnswer = nil
	}
	if g.writeEnded.L != nil {
		g.writeEnded.Broadcast()
	}
	return i >= 0, answer
}

// finish gives the request its final answer, or defers it to the end of the last open write. It reports false if the
// request already had a final answer.
func (g *sendGuard) finish(ended chan struct{}, answer func()) bool {
	g.mu.Lock()
	if g.answered {
		g.mu.Unlock()
		return false
	}
	g.answered = true
	close(ended)
	if len(g.writes) > 0 {
		g.deferredAnswer = answer
		g.interruptWrites()
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	answer()
	return true
}

// interruptWrites interrupts all open writes. The lock must be held.
func (g *sendGuard) interruptWrites() {
	for _, w := range g.writes {
		w.interrupt()
	}
}

// startResponse reserves the client's connection for an attempt's response, and waits until no attempt writes. It
// reports false if another attempt has the connection, or the request has its final answer.
func (g *sendGuard) startResponse(attempt int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered {
		return false
	}
	if g.respondingAttempt != 0 {
		return g.respondingAttempt == attempt+1
	}
	g.respondingAttempt = attempt + 1
	g.writeEnded.L = &g.mu
	g.interruptWrites()
	for len(g.writes) > 0 {
		g.writeEnded.Wait()
	}
	return true
}

// anotherResponds reports whether the response of another attempt has begun.
func (g *sendGuard) anotherResponds(attempt int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.respondingAttempt != 0 && g.respondingAttempt != attempt+1
}

// BeginWrite admits the attempt's first byte. It must be called right before the write, because it checks everything
// that may have changed since the balancer decided on the attempt; no final answer is given between the check and the
// end of the write. Unless the write is refused, EndWrite must follow. interrupt is called, at most once and not after
// EndWrite, if the request ends during the write.
func (a *Attempt) BeginWrite(interrupt func()) SendRefusal {
	if !a.guard.open(a.N, interrupt) {
		return a.refused(RequestAnswered)
	}
	refusal := a.checkWrite()
	if refusal == SendAllowed {
		return SendAllowed
	}
	a.EndWrite()
	return a.refused(refusal)
}

// checkWrite checks everything that may have changed since the balancer decided on the attempt, except for the final
// answer.
func (a *Attempt) checkWrite() SendRefusal {
	switch {
	case a.Context.Err() != nil:
		return AttemptEnded
	case a.serverWithdrawn(), a.mayReachAnotherProcess():
		return ServerWithdrawn
	case a.startExpired():
		return WindowClosed
	case a.Disconnected():
		return ClientDisconnected
	}
	return SendAllowed
}

// ContinueWrite admits the write of another part of the request after BeginWrite. EndWrite must follow as for
// BeginWrite.
func (a *Attempt) ContinueWrite(interrupt func()) SendRefusal {
	if !a.guard.open(a.N, interrupt) {
		return a.refused(RequestAnswered)
	}
	if a.Context.Err() != nil {
		a.EndWrite()
		return a.refused(AttemptEnded)
	}
	return SendAllowed
}

// EndWrite records that an admitted write has returned.
func (a *Attempt) EndWrite() {
	if !a.guard.end(a.N) {
		a.loop.violated(WriteMatched, a.ID, a.N, a.Server, "the end of a write that was not admitted")
	}
}

// refused counts a refusal and returns it.
func (a *Attempt) refused(s SendRefusal) SendRefusal {
	a.loop.counters.sendRefusals[s].Add(1)
	return s
}
