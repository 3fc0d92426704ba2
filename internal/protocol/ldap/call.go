package ldap

import (
	"context"
	"net"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// call is one request on a server connection, until its last message was received.
type call struct {
	id        int32
	finalOp   byte // the tag of the response's last message
	parts     chan part
	abandoned chan struct{} // closed when the attempt waits no more
	connEnded chan struct{} // closed when the connection has ended
}

// part is one message of a response.
type part struct {
	ldapmsg.Message
	raw  []byte
	last bool
}

// finalResponse is a response's last message, and what it means for the session.
type finalResponse struct {
	rest   []byte      // the message behind its ID
	code   int         // its result code
	cookie []byte      // of a paged search that has further pages
	conn   *serverConn // reserved for these pages, or for a SASL bind
}

// maxQueuedParts is how many messages of one response are queued before the connection's reader waits. A larger value takes
// more memory, a smaller one delays other responses on a shared connection.
const maxQueuedParts = 16

// writeGuard admits a message of an attempt right before its first byte; EndWrite ends the write that was admitted.
type writeGuard interface {
	BeginWrite(interrupt func()) core.SendRefusal
	EndWrite()
}

// noGuard admits messages that belong to no request.
type noGuard struct{}

func (noGuard) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }

func (noGuard) EndWrite() {}

// sendRefusedError is a message that its guard did not admit: nothing was written.
type sendRefusedError struct{ reason core.SendRefusal }

// Error implements error.
func (e *sendRefusedError) Error() string { return "not sent: " + e.reason.String() }

// startCall sends a request under a new message ID. A call is returned if its last byte was written.
func (c *serverConn) startCall(ctx context.Context, guard writeGuard, op byte, rest []byte) (*call, error) {
	k := &call{
		finalOp:   ldapmsg.ResponseTo(op),
		parts:     make(chan part, maxQueuedParts),
		abandoned: make(chan struct{}),
		connEnded: make(chan struct{}),
	}
	c.mu.Lock()
	if c.endErr != nil || c.calls == nil {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	for { // IDs start again after MaxID
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
	text := ldapmsg.WithID(k.id, rest)
	n, err := c.send(ctx, guard, text)
	if op == ldapmsg.BindRequest {
		clear(text)
	}
	if err != nil && n < len(text) {
		c.mu.Lock()
		delete(c.calls, k.id)
		c.mu.Unlock()
		if n > 0 {
			_ = c.conn.Close() // a further message would be taken for the rest of this one
		}
		return nil, err
	}
	return k, nil
}

// send writes one message, if its guard admits it. It returns how many bytes were written.
func (c *serverConn) send(ctx context.Context, guard writeGuard, text []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(writeTimeout)
	}
	if err := c.conn.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	interrupt := func() { _ = c.conn.SetWriteDeadline(core.LongAgo) }
	if reason := guard.BeginWrite(interrupt); reason != core.SendAllowed {
		return 0, &sendRefusedError{reason}
	}
	defer guard.EndWrite()
	return c.conn.Write(text)
}

// sendAbandon sends an AbandonRequest (RFC 4511, 4.11) without waiting. The server may run the operation nevertheless.
func (c *serverConn) sendAbandon(id int32) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), unbindTimeout)
		defer cancel()
		c.mu.Lock()
		c.lastID++
		own := c.lastID
		c.mu.Unlock()
		_, _ = c.send(ctx, noGuard{}, ldapmsg.Abandon(own, id)) // it has no response
	}()
}

// sendCancel sends a Cancel (RFC 3909), and returns the result code of its response; Other without one.
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
	case got := <-k.parts:
		code, _ := got.Code()
		return code
	case <-k.connEnded:
		return ldapmsg.Other
	case <-ctx.Done():
		return ldapmsg.Other
	}
}
