package ldap

import (
	"context"
	"net"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// call is one request that was sent on a server connection, until the last message of its response has been received.
type call struct {
	id        int32
	finalOp   byte // the tag of the response's last message
	messages  chan responseMessage
	abandoned chan struct{} // closed when the attempt no longer waits for messages
	connEnded chan struct{} // closed when the connection has ended
}

// responseMessage is one message of a server's response.
type responseMessage struct {
	ldapmsg.Message
	raw  []byte
	last bool
}

// finalResponse is the last message of a response, with the changes that it makes to the session.
type finalResponse struct {
	rest   []byte      // the part of the message that follows the message ID
	code   int         // the result code
	cookie []byte      // the cookie of a paged search that has further pages
	conn   *serverConn // the connection that is reserved for further pages or for a SASL bind; nil: none
	// reservedFirst is whether conn was not reserved before the response.
	reservedFirst bool
}

// Discard ends the reservation that the response has made, if the client does not get the response. It implements
// core.Discarder.
func (r *finalResponse) Discard() {
	if r.reservedFirst {
		r.conn.unreserve()
	}
}

// maxQueuedMessages is how many messages of one response are queued before the connection's reader waits. A larger
// value takes more memory, a smaller one delays other responses on a shared connection.
const maxQueuedMessages = 16

// writeGuard decides right before the first byte of a message whether the message may be written. EndWrite ends a
// write that BeginWrite has admitted.
type writeGuard interface {
	BeginWrite(interrupt func()) core.SendRefusal
	EndWrite()
}

// noGuard admits every message. It is for messages that don't belong to an attempt.
type noGuard struct{}

func (noGuard) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }

func (noGuard) EndWrite() {}

// sendRefusedError is the error of a message that its guard did not admit. Nothing of the message was written.
type sendRefusedError struct{ reason core.SendRefusal }

// Error implements error.
func (e *sendRefusedError) Error() string { return "not sent: " + e.reason.String() }

// startCall sends a request under a new message ID. It returns the call if the whole request was written. A bind leaves
// the connection without an identity, until the caller sets the one that the server has confirmed.
func (c *serverConn) startCall(ctx context.Context, guard writeGuard, op byte, rest []byte) (*call, error) {
	if op == ldapmsg.BindRequest {
		c.pool.forgetIdentity(c)
	}
	k := &call{
		finalOp:   ldapmsg.ResponseTo(op),
		messages:  make(chan responseMessage, maxQueuedMessages),
		abandoned: make(chan struct{}),
		connEnded: make(chan struct{}),
	}
	c.mu.Lock()
	if c.endErr != nil || c.calls == nil {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	for { // message IDs start again at 1 after MaxID
		c.lastID++
		if c.lastID <= 0 || c.lastID >= ldapmsg.MaxID {
			c.lastID = 1
		}
		if c.calls[c.lastID] == nil {
			break
		}
	}
	k.id = c.lastID
	c.calls[k.id] = k
	c.mu.Unlock()
	encoded := ldapmsg.WithID(k.id, rest)
	n, err := c.send(ctx, guard, encoded)
	if op == ldapmsg.BindRequest {
		clear(encoded)
	}
	if err != nil && n < len(encoded) {
		c.mu.Lock()
		delete(c.calls, k.id)
		c.mu.Unlock()
		if n > 0 {
			_ = c.conn.Close() // the server would read a further message as the rest of this one
		}
		return nil, err
	}
	return k, nil
}

// send writes one message, if guard admits it. It returns how many bytes were written.
func (c *serverConn) send(ctx context.Context, guard writeGuard, encoded []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(writeTimeout)
	}
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	interrupt := func() { _ = c.conn.SetWriteDeadline(core.PastDeadline) }
	if reason := guard.BeginWrite(interrupt); reason != core.SendAllowed {
		return 0, &sendRefusedError{reason}
	}
	defer guard.EndWrite()
	return c.conn.Write(encoded)
}

// sendAbandon sends an AbandonRequest (RFC 4511, 4.11) without waiting. The server may execute the operation
// nevertheless.
func (c *serverConn) sendAbandon(id int32) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), unbindTimeout)
		defer cancel()
		c.mu.Lock()
		c.lastID++
		own := c.lastID
		c.mu.Unlock()
		_, _ = c.send(ctx, noGuard{}, ldapmsg.Abandon(own, id)) // an AbandonRequest has no response
	}()
}

// sendCancel sends a Cancel request (RFC 3909) for a message ID, and returns the result code of the response. Without
// a response it returns Other.
func (c *serverConn) sendCancel(id int32, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	m, err := ldapmsg.Parse(ldapmsg.Cancel(1, id))
	if err != nil {
		return ldapmsg.Other
	}
	k, err := c.startCall(ctx, noGuard{}, m.Op, m.Rest)
	if err != nil {
		return ldapmsg.Other
	}
	defer close(k.abandoned)
	select {
	case got := <-k.messages:
		code, _ := got.Code()
		return code
	case <-k.connEnded:
		return ldapmsg.Other
	case <-ctx.Done():
		return ldapmsg.Other
	}
}
