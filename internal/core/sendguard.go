package core

import (
	"context"
	"errors"
	"slices"
	"sync"

	"vetchhaven/decide"
)

// SendRefusal says why an attempt must not write to its server.
type SendRefusal int

// The reasons, in the order in which they are looked at.
const (
	SendAllowed        SendRefusal = iota
	RequestAnswered                // the request has its final answer, or another attempt's answer has begun
	AttemptEnded                   // the attempt timed out or was cancelled, or the agent has ended
	ServerWithdrawn                // an operator took the server out, or it drains or is gone by the list
	WindowClosed                   // the deduplication window or the lease under which it may begin is over
	ClientDisconnected             // nobody waits for the answer any more
	sendRefusalCount
)

var sendRefusalNames = [sendRefusalCount]string{"allowed", "request_answered", "attempt_ended", "server_withdrawn", "window_closed", "client_disconnected"}

// String is the name under which refusals of this kind are counted.
func (s SendRefusal) String() string { return sendRefusalNames[s] }

// Result is what an attempt reports whose first byte was refused; ctx is its own.
func (s SendRefusal) Result(ctx context.Context) decide.Result {
	switch {
	case s == AttemptEnded && errors.Is(context.Cause(ctx), ErrCancelled):
		return decide.Cancelled
	case s == AttemptEnded, s == ServerWithdrawn:
		return decide.Incomplete // another server may have it
	}
	return decide.NotSent
}

// sendGuard is the one place through which each write to a server and the final answer of its request go. A write and
// the answer exclude each other: while a write is open the answer waits for its end, and after the answer none opens.
// So a process that stands still between a check and its write sends nothing behind the answer.
//
// An answer waits no longer than a write takes: small ones are taken by the system at once, and larger ones are
// interrupted.
type sendGuard struct {
	mu                sync.Mutex
	writeEnded        sync.Cond // a write has; its Locker is mu
	writes            []openWrite
	answered          bool
	respondingAttempt int    // the attempt whose answer the client has a part of, counted from 1; 0: none
	deferredAnswer    func() // gives the answer once no write is open
}

// openWrite is a write that may be under way.
type openWrite struct {
	attempt        int
	interruptWrite func() // ends a write that waits for its server; must not wait
}

// open admits a write, which ends with end.
func (g *sendGuard) open(attempt int, interrupt func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered || g.respondingAttempt != 0 && g.respondingAttempt != attempt+1 {
		return false
	}
	g.writes = append(g.writes, openWrite{attempt, interrupt})
	return true
}

// end is the end of an attempt's write. The last one gives the answer that waited for it. It reports false where no write
// of the attempt is open.
func (g *sendGuard) end(attempt int) bool {
	g.mu.Lock()
	at := slices.IndexFunc(g.writes, func(w openWrite) bool { return w.attempt == attempt })
	if at >= 0 {
		g.writes = slices.Delete(g.writes, at, at+1)
	}
	var answer func()
	if len(g.writes) == 0 {
		answer, g.deferredAnswer = g.deferredAnswer, nil
	}
	if g.writeEnded.L != nil {
		g.writeEnded.Broadcast()
	}
	g.mu.Unlock()
	if answer != nil {
		answer()
	}
	return at >= 0
}

// finish gives the request its final answer, or has the last open write give it. It reports false where there was one.
func (g *sendGuard) finish(over chan struct{}, answer func()) bool {
	g.mu.Lock()
	if g.answered {
		g.mu.Unlock()
		return false
	}
	g.answered = true
	close(over)
	if len(g.writes) > 0 {
		g.deferredAnswer = answer
		for _, w := range g.writes {
			w.interruptWrite()
		}
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	answer()
	return true
}

// startResponse gives the client's connection to an attempt's answer, once no other attempt writes. It reports false where
// another one has it, or the final answer was given.
func (g *sendGuard) startResponse(attempt int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered || g.respondingAttempt != 0 {
		return !g.answered && g.respondingAttempt == attempt+1
	}
	g.respondingAttempt = attempt + 1
	g.writeEnded.L = &g.mu
	for _, w := range g.writes {
		w.interruptWrite()
	}
	for len(g.writes) > 0 {
		g.writeEnded.Wait()
	}
	return true
}

// otherResponds reports whether another attempt's answer is on its way to the client.
func (g *sendGuard) otherResponds(besides int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.respondingAttempt != 0 && g.respondingAttempt != besides+1
}

// BeginWrite admits the attempt's first byte, right before it is written: all that may have changed since the attempt was
// decided is looked at here, in one step with the final answer. Unless it is refused, EndWrite follows. interrupt is
// called, at most once and not after EndWrite, where the request ends meanwhile.
func (a *Attempt) BeginWrite(interrupt func()) SendRefusal {
	if !a.guard.open(a.N, interrupt) {
		return a.refused(RequestAnswered)
	}
	refusal := SendAllowed
	switch {
	case a.Context.Err() != nil:
		refusal = AttemptEnded
	case a.serverWithdrawn():
		refusal = ServerWithdrawn
	case a.startExpired():
		refusal = WindowClosed
	case a.Disconnected():
		refusal = ClientDisconnected
	default:
		return SendAllowed
	}
	a.EndWrite()
	return a.refused(refusal)
}

// ContinueWrite admits a further part of what BeginWrite began.
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

// EndWrite says that an admitted write has returned.
func (a *Attempt) EndWrite() {
	if !a.guard.end(a.N) {
		a.loop.violated(WriteMatched, a.ID, a.N, a.Server, "the end of a write that was not admitted")
	}
}

// refused counts a refusal.
func (a *Attempt) refused(s SendRefusal) SendRefusal {
	a.loop.counters.sendRefusals[s].Add(1)
	return s
}
