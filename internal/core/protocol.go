// Package core is an agent around the decision module, whatever protocol it speaks: it turns what
// happens into the module's events and carries out its actions, in order. It decides nothing about
// requests: it neither picks servers nor retries, holds or refuses.
//
// The Loop (loop.go) owns the balancer, the clock, the timers and the requests. An Agent (agent.go) runs
// it with the list of servers (discovery.go, or a daemon's hub), the gate through which clients come
// (gate.go), and a Protocol: internal/protocol/http1 and internal/protocol/ldap are two.
package core

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
)

// Protocol takes clients' requests and makes attempts at servers, as it is told. It gives each request
// to the loop (Loop.Take) and its final answer to the client.
type Protocol interface {
	// Serve takes clients' connections until the gate is closed.
	Serve(g *ConnLimiter) error
	// SetDraining has each connection end once all that was taken on it is answered, or, with false, no more.
	SetDraining(on bool)
	// Resize has it use no more than so many descriptors of clients and servers, and bytes of bodies of
	// clients and again of servers. It may be called at any time; see Agent.Beside.
	Resize(sockets, bytes int)
	// Close ends what is left of clients' connections.
	Close() error
	// OpenRequests is how many requests are open.
	OpenRequests() int64

	// Attempt sends a request to a server, once, and returns its end. It returns soon after the attempt's
	// context has ended, and sends nothing once the request is over. Whatever it returns besides OK
	// follows decide's table of outcomes: where it is not certain that nothing ran, it says so. The
	// answer, of an OK, becomes Answer.Served.
	Attempt(a *Attempt) (decide.Result, any, decide.Load)
	// Probe examines a server outside any request.
	Probe(server string) decide.ProbeResult
	// Update takes a change of the list. It is called by the loop, and must not wait.
	Update(l List)
	// ReapIdle closes connections to servers that have stood idle for too long, until ctx ends.
	ReapIdle(ctx context.Context)
	// Shutdown closes the connections to servers, and keeps none from now on.
	Shutdown()
}

// List is a list of servers, or a change of it, in the module's terms, with the addresses that go with it.
type List struct {
	decide.ListUpdate
	Addrs  map[string]string // by id; servers that are gone have none
	Starts map[string]int64  // of their processes, by id, ms, Unix; 0: long ago
	Saved  bool              // read from a disk: how old it is, is not known
}

// Request is a client's request from when it was taken until its attempts are in. Only the loop touches
// what is not exported, once it was taken.
type Request struct {
	ID          string // new for each request of an agent
	Class       int
	Message     any           // the protocol's own
	Deadline    time.Time     // the client stops waiting
	Remaining   time.Duration // until then, as the client told it
	Work        time.Duration // expected, as told; 0: unknown
	ClientRetry bool          // the client says that it tries again
	OnlyServer  string        // the one server that may get it; empty: any
	Client      net.Conn      // of the client, to ask whether that has left; nil: it is not asked
	// Upload says that its last byte is still to come: its attempt reads what it sends. Deadline is then no more than
	// Left from now, and set anew when the attempt says Uploaded.
	Upload bool

	reply          func(Answer)
	ended          chan struct{} // closed with the final answer
	deadlineLifted atomic.Bool   // its answer has begun, and the client waits for its end
	guard          sendGuard

	done          bool // has its final answer, or its client is gone
	open          int  // attempts out
	attempts      []*Attempt
	timedOut      bool // an attempt did
	deadlineTimer *time.Timer
}

// NewRequest is a request whose final answer is given by reply. That is called at most once, by any goroutine, and must
// not wait.
func NewRequest(id string, class int, reply func(Answer)) *Request {
	return &Request{ID: id, Class: class, reply: reply, ended: make(chan struct{})}
}

// Ended is closed when the request has its final answer, or its client is gone: nothing is sent for it
// any more.
func (r *Request) Ended() <-chan struct{} { return r.ended }

// Abort answers a request as failed where the loop has ended and will not. One that has its answer keeps it.
func (r *Request) Abort() { r.guard.finish(r.ended, func() { r.reply(Answer{}) }) }

// Answer is a final answer. Exactly one of the first fields is set, or none: failed. Gone may be Refused too.
type Answer struct {
	Served             any // what the attempt returned
	Refused            bool
	TimedOut           bool          // failed, for want of time
	Duplicate          bool          // failed: another request with this id is open, or was just now
	ClientDisconnected bool          // its client is gone, or wants no answer: failed, or refused where nothing was sent
	RetryAfter         time.Duration // of Refused: when to come back; 0: no advice
	Limit              string        // the fleet's limit that stood in its way; empty: none did
	Ejected            string        // of Refused: the servers that the fleet's verdicts keep from it; empty: none
	Policy             string        // of Refused: why none is taken by the policy that this agent has; empty: it may be
}

// Attempt is one attempt of a request at a server.
type Attempt struct {
	*Request
	N       int // attempts of a request count from 0
	Server  string
	Context context.Context // ends when the attempt has to; its cause is ErrTimedOut or ErrCancelled

	start          time.Time     // of its server's work
	startBy        time.Time     // it may begin until then: see Lapsed; zero: at any time
	reuseOnly      bool          // see MayDial
	processStarted int64         // when its server's started, as the list said, ms, Unix
	dialed         bool          // see Dialed
	notReplayable  bool          // see Spent
	ended          bool          // its outcome is known: see result
	result         decide.Result // what became of it
	timer          *time.Timer
	cancel         context.CancelCauseFunc
	loop           *Loop
	responseParts  int
}

// StartResponse says that a part of the attempt's answer is about to reach the client. It reports false where
// that must not be: another attempt's answer has begun, or the request has its final answer. After a
// true one there is no other attempt, and the request's final answer is this one's end.
//
// worked says that the server is done with it, and only bytes are on their way. Then the client's time no
// longer ends the attempt, which bounds itself: a client that has begun to read an answer waits for its end.
func (a *Attempt) StartResponse(worked bool) bool {
	if worked && a.responseParts == 0 && !a.timer.Stop() {
		return false // its time is up
	}
	if !a.guard.startResponse(a.N) {
		return false
	}
	if a.responseParts++; a.responseParts == 1 {
		a.deadlineLifted.Store(worked)
		a.loop.post(responseStarted{a, worked, time.Since(a.start)})
	}
	return true
}

// UploadCompleted says that the last byte of the request has gone out with this attempt. The client's time, and the
// attempt's, run from now.
func (a *Attempt) UploadCompleted() {
	now := time.Now()
	a.start = now
	if a.timer.Stop() {
		a.timer.Reset(a.Remaining - a.loop.answerMargin)
	}
	a.loop.post(uploadCompleted{a, now})
}

// MayDial reports whether the attempt may open a connection. Without one that is open it ends as NotSent then.
func (a *Attempt) MayDial() bool { return !a.reuseOnly }

// MarkDialed says that it opens one.
func (a *Attempt) MarkDialed() { a.dialed = true }

// startExpired reports whether it is too late to begin: the window of a keyed repeat is about to close, or what it would use of
// the fleet's limits may be another agent's by now.
func (a *Attempt) startExpired() bool { return !a.startBy.IsZero() && !time.Now().Before(a.startBy) }

// MarkNotReplayable says that what was sent can't be sent again.
func (a *Attempt) MarkNotReplayable() { a.notReplayable = true }
