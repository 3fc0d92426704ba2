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
	ServerWithdrawn                // an operator disabled the server, or the list says that it drains or is gone
	WindowClosed                   // the deduplication window or the lease under which the attempt may begin has ended
	ClientDisconnected             // the client does not wait for the answer any more
	sendRefusalCount
)

// sendRefusalNames are values of a metric's label.
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
		return decide.Incomplete // not sent completely, so never executed: it may be sent to another server
	}
	return decide.NotSent
}

// sendGuard is the one place through which each write to a server and the final answer of its request go. A write
// and the answer exclude each other: while a write is open the answer waits for its end, and after the answer no
// write can open. A process that is paused between a check and its write therefore sends nothing after the answer.
//
// An answer waits no longer than a write takes: the kernel takes small writes at once, and larger ones are
// interrupted.
type sendGuard struct {
	mu                sync.Mutex
	writeEnded        sync.Cond // its Locker is mu, set by startResponse
	writes            []openWrite
	answered          bool
	respondingAttempt int    // the attempt that sends its response to the client, counted from 1; 0: none
	deferredAnswer    func() // gives the answer once no write is open
}

// openWrite is a write that may be under way.
type openWrite struct {
	attempt   int
	interrupt func() // ends a write that waits for its server; must not block
}

// open admits a write, which the caller ends with end. It reports false if the request has ended for this attempt.
func (g *sendGuard) open(attempt int, interrupt func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered || g.respondingAttempt != 0 && g.respondingAttempt != attempt+1 {
		return false
	}
	g.writes = append(g.writes, openWrite{attempt, interrupt})
	return true
}

// end ends an attempt's write. The end of the last open write gives the answer that waited for it. It reports false
// if no write of the attempt is open.
func (g *sendGuard) end(attempt int) bool {
	found, answer := g.remove(attempt)
	if answer != nil {
		answer()
	}
	return found
}

// remove removes an attempt's write, and returns the answer that is to be given now, or nil.
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

// finish gives the request its final answer, or leaves that to the end of the last open write. It reports false if
// the request already had one.
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

// interruptWrites interrupts all open writes. The lock is held.
func (g *sendGuard) interruptWrites() {
	for _, w := range g.writes {
		w.interrupt()
	}
}

// startResponse reserves the client's connection for an attempt's response, once no attempt writes. It reports false
// if another attempt has the connection, or the final answer was given.
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

// anotherResponds reports whether another attempt's response is on its way to the client.
func (g *sendGuard) anotherResponds(attempt int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.respondingAttempt != 0 && g.respondingAttempt != attempt+1
}

// BeginWrite admits the attempt's first byte, right before it is written. It checks everything that may have changed
// since the attempt was decided, and the final answer can't come between the check and the write. Unless the write
// is refused, EndWrite must follow. interrupt is called, at most once and not after EndWrite, if the request ends
// meanwhile.
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

// checkWrite checks everything that may have changed since the attempt was decided, except for the final answer.
func (a *Attempt) checkWrite() SendRefusal {
	switch {
	case a.Context.Err() != nil:
		return AttemptEnded
	case a.serverWithdrawn():
		return ServerWithdrawn
	case a.startExpired():
		return WindowClosed
	case a.Disconnected():
		return ClientDisconnected
	}
	return SendAllowed
}

// ContinueWrite admits another part of what BeginWrite began.
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

// EndWrite announces that an admitted write has returned.
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
