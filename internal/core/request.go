package core

import (
	"net"
	"sync/atomic"
	"time"
)

// Request is a client's request, from Loop.Submit until its attempts have ended. Its exported fields are set before
// Submit; after that, only the loop touches the fields that are not exported.
type Request struct {
	ID          string // unique among the requests of an agent
	Class       int
	Message     any           // the protocol's own
	Deadline    time.Time     // the client stops waiting
	Remaining   time.Duration // until then, as the client said
	Work        time.Duration // expected, as the client said; 0: unknown
	ClientRetry bool          // the client says that it retries
	OnlyServer  string        // the one server that may get it; empty: any
	Client      net.Conn      // the client's connection, to notice its disconnect; nil: not checked
	// Upload says that the request's last byte is still to come: its attempt reads what the client sends. Deadline is
	// then no later than Remaining from now, and set anew by Attempt.UploadCompleted.
	Upload bool

	reply          func(Answer)
	ended          chan struct{} // closed with the final answer
	deadlineLifted atomic.Bool   // its response has begun, and the client waits for the end of that
	guard          sendGuard

	done          bool // it has its final answer, or its client has disconnected
	open          int  // attempts in flight
	attempts      []*Attempt
	timedOut      bool        // an attempt timed out
	deadlineTimer *time.Timer // see Loop.startDeadlineTimer
}

// NewRequest is a request whose final answer is given by reply, which is called at most once, from any goroutine, and
// must not wait.
func NewRequest(id string, class int, reply func(Answer)) *Request {
	return &Request{ID: id, Class: class, reply: reply, ended: make(chan struct{})}
}

// Ended is closed when the request has its final answer, or its client has disconnected: nothing is sent for it any
// more.
func (r *Request) Ended() <-chan struct{} { return r.ended }

// Abort answers a request as failed where the loop has stopped and will not. One that has its answer keeps it.
func (r *Request) Abort() { r.guard.finish(r.ended, func() { r.reply(Answer{}) }) }

// Answer is a final answer. One of the fields up to ClientDisconnected says which; none: the request failed. An answer
// with ClientDisconnected may be Refused too.
type Answer struct {
	Served             any           // the response of an attempt
	Refused            bool          // it was not executed, and a retry does no harm
	TimedOut           bool          // it failed, since its deadline was exceeded
	Duplicate          bool          // it failed: another request with this ID is open, or was just now
	ClientDisconnected bool          // it failed, or was refused if nothing was sent
	RetryAfter         time.Duration // of Refused: when to come back; 0: no advice
	Limit              string        // the fleet's shared limit that it ran into; empty: none
	Ejected            string        // of Refused: the servers that the fleet has ejected; empty: none
	Policy             string        // of Refused: why the agent's policy admits no requests; empty: it does
}
