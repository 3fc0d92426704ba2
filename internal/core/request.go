package core

import (
	"net"
	"sync/atomic"
	"time"
)

// Request is a client's request, from Loop.Submit until its attempts have ended. Its exported fields are set before
// Submit, which may shorten Deadline. The fields from done on belong to the loop, except that Submit sets
// deadlineTimer and submittedDeadline before the loop receives the request.
type Request struct {
	ID          string // unique among the requests of an agent
	Class       int
	Message     any           // the request in the protocol's own representation
	Deadline    time.Time     // when the client stops waiting
	Remaining   time.Duration // time until Deadline, as given by the client
	Work        time.Duration // expected work, as given by the client; 0: unknown
	ClientRetry bool          // the client marks the request as a retry
	OnlyServer  string        // the only server that may get the request; empty: any
	ClientID    uint64        // the client, of several requests at once; 0: it sends one at a time
	Client      net.Conn      // the client's connection, to notice its disconnect; nil: not checked
	// Upload is set if the request's last byte has not been read yet: its attempt reads the rest from the client.
	// Deadline is then at most Remaining from now. It is extended while the client is known to be still writing: see
	// StillWriting.
	Upload bool
	// ClientIsWriting reports, for an upload, whether the client has certainly not written the last byte yet. It may be
	// called from any goroutine, and takes some tens of milliseconds at most; nil: not known.
	ClientIsWriting func() bool

	reply          func(Answer)
	ended          chan struct{} // closed with the final answer
	deadlineLifted atomic.Bool   // the deadline has ceased to apply: only the transfer of the response remains
	guard          sendGuard
	writingAt      atomic.Pointer[time.Time] // see StillWriting

	done          bool // the request has its final answer, or its client has disconnected
	claimed       bool // see Loop.claim
	open          int  // attempts in flight
	attempts      []*Attempt
	timedOut      bool        // an attempt timed out
	deadlineTimer *time.Timer // see Loop.startDeadlineTimer

	submittedDeadline time.Time // Deadline as Submit has set it
}

// NewRequest returns a request whose final answer is passed to reply. reply is called at most once, from any
// goroutine, and must not block.
func NewRequest(id string, class int, reply func(Answer)) *Request {
	return &Request{ID: id, Class: class, reply: reply, ended: make(chan struct{})}
}

// StillWriting records that the client of an upload had not written its last byte at a time. The request's deadline is
// Remaining after the latest such time. A byte that waits in a socket's buffer, because the server reads slowly, counts
// as written: the client's wait has begun.
func (r *Request) StillWriting(at time.Time) { r.writingAt.Store(&at) }

// Ended returns a channel that is closed when the request has its final answer or its client has disconnected. Nothing
// is sent to a server for the request after that.
func (r *Request) Ended() <-chan struct{} { return r.ended }

// Abort answers a request as failed if the loop has stopped and will not answer it. It has no effect if the request
// already has its final answer.
func (r *Request) Abort() { r.guard.finish(r.ended, func() { r.reply(Answer{}) }) }

// Answer is a final answer. The fields up to ClientDisconnected determine its kind; if none of them is set, the request
// failed. An answer with ClientDisconnected may be Refused too.
type Answer struct {
	Response           any           // the response of an attempt
	Refused            bool          // the request was not executed, so a retry is safe
	TimedOut           bool          // the request failed because its deadline was exceeded
	Duplicate          bool          // the request failed: another one with this ID is open or has just ended
	ClientDisconnected bool          // the client has disconnected; if Refused is set too, no attempt was made
	RetryAfter         time.Duration // for Refused: how long to wait before a retry; 0: no advice
	Limit              string        // the fleet's shared limit that the request hit; empty: none
	Ejected            string        // for Refused: names of the servers that the fleet has ejected; empty: none
	Policy             string        // for Refused: why the agent's policy does not admit requests; empty: it does
}
