package ldap

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// serverConn is one connection to a server. Searches that may bring many entries have it for themselves,
// so that a client that reads slowly slows down nobody else's answers; all else shares it.
type serverConn struct {
	pool    *connPool
	server  string
	conn    net.Conn
	writeMu sync.Mutex

	// Under servers.mu.
	identityKey string
	users       int  // operations that have it
	exclusive   bool // one of them must not share it
	reserved    bool // for a paged search's next page, or a SASL bind
	suspect     bool // something went unanswered: nothing new goes there
	closed      bool // closed, and not counted as open any more
	idleSince   time.Time

	mu     sync.Mutex
	lastID int32
	calls  map[int32]*call
	endErr error // why it has ended
}

// call is one request on a connection, until its end is seen.
type call struct {
	id        int32
	finalOp   byte // the tag of its last message
	parts     chan part
	abandoned chan struct{} // closed when nobody waits any more
	connEnded chan struct{} // closed when the connection has ended
}

// part is one message of an answer.
type part struct {
	ldapmsg.Message
	raw  []byte
	last bool
}

// finalResponse is an answer's last message, for the client.
type finalResponse struct {
	rest   []byte
	code   int
	cookie []byte      // of a paged search that goes on
	conn   *serverConn // which then stays its own, as for a SASL bind
}

const maxQueuedParts = 16 // messages of one answer that wait on a shared connection

// unbindAndClose ends a connection as the protocol has it.
func (c *serverConn) unbindAndClose() {
	if c.conn.SetWriteDeadline(time.Now().Add(time.Second)) == nil && c.writeMu.TryLock() {
		_, _ = c.conn.Write(ldapmsg.Unbind(ldapmsg.MaxID)) // out of courtesy
		c.writeMu.Unlock()
	}
	_ = c.conn.Close()
}

// retire ends a connection that was one client's own.
func (c *serverConn) retire() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.reserved, c.suspect = false, true
	c.pool.closeIfUnused(c)
}

// unreserve gives a connection back that was kept for a next page.
func (c *serverConn) unreserve() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.reserved = false
	c.pool.closeIfUnused(c)
}

func (c *serverConn) isUnusable() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.closed || c.suspect
}

// read takes what a server sends, until the connection ends. What belongs to no call, or is no message,
// ends it: nothing that comes behind can be believed.
func (c *serverConn) read() {
	in := ldapmsg.NewReader(c.conn, c.pool.options.MaxMessage)
	var err error
	for err == nil {
		var raw []byte
		if raw, err = in.Next(); err != nil {
			break
		}
		var m ldapmsg.Message
		if m, err = ldapmsg.Parse(raw); err != nil {
			break
		}
		err = c.deliver(m, raw)
	}
	c.pool.mu.Lock()
	c.suspect = true
	c.pool.closeIfUnused(c)
	c.pool.mu.Unlock()
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endErr = err
	if errors.Is(err, ldapmsg.ErrMalformed) {
		c.pool.log.Warn("a server's connection ended", "server", c.server, "error", err)
	}
	for _, k := range c.calls {
		close(k.connEnded)
	}
	c.calls = nil
}

// deliver hands a message to its call.
func (c *serverConn) deliver(m ldapmsg.Message, raw []byte) error {
	if m.ID == 0 {
		return fmt.Errorf("%w: Notice of Disconnection", net.ErrClosed)
	}
	c.mu.Lock()
	k := c.calls[m.ID]
	last := k != nil && m.Op == k.finalOp
	if last {
		delete(c.calls, m.ID)
	}
	c.mu.Unlock()
	switch {
	case k == nil:
		return fmt.Errorf("%w: an answer to nothing that is open", ldapmsg.ErrMalformed)
	case !last && m.Op != ldapmsg.Intermediate && !(k.finalOp == ldapmsg.SearchDone && (m.Op == ldapmsg.SearchEntry || m.Op == ldapmsg.SearchReference)):
		return fmt.Errorf("%w: an answer of tag %#x to what is answered with %#x", ldapmsg.ErrMalformed, m.Op, k.finalOp)
	}
	if last {
		if _, ok := m.Code(); !ok {
			c.mu.Lock()
			c.calls[m.ID] = k // it has had no answer
			c.mu.Unlock()
			return fmt.Errorf("%w: an answer without a result", ldapmsg.ErrMalformed)
		}
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own) // it was parsed before
	select {
	case k.parts <- part{m, own, last}:
	case <-k.abandoned:
	}
	return nil
}

// writeGuard admits a message of an attempt right before its first byte, and is told that it is out.
type writeGuard interface {
	BeginWrite(interrupt func()) core.SendRefusal
	EndWrite()
}

// noGuard is the guard of what belongs to no request.
type noGuard struct{}

func (noGuard) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }

func (noGuard) EndWrite() {}

// sendRefusedError is of a message that its guard did not admit: nothing was written.
type sendRefusedError struct{ reason core.SendRefusal }

func (e *sendRefusedError) Error() string { return "not sent: " + e.reason.String() }

// startCall sends a request. It reports whether its last byte was written; a call is returned only then.
func (c *serverConn) startCall(ctx context.Context, guard writeGuard, op byte, rest []byte) (*call, error) {
	k := &call{finalOp: ldapmsg.ResponseTo(op), parts: make(chan part, maxQueuedParts), abandoned: make(chan struct{}), connEnded: make(chan struct{})}
	c.mu.Lock()
	if c.endErr != nil || c.calls == nil {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	for { // ids come round after two thousand million
		if c.lastID++; c.lastID <= 0 || c.lastID >= ldapmsg.MaxID {
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
			_ = c.conn.Close() // what comes next on it would be taken for the rest
		}
		return nil, err
	}
	return k, nil
}

// send writes one message.
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
	if why := guard.BeginWrite(func() { _ = c.conn.SetWriteDeadline(core.LongAgo) }); why != core.SendAllowed {
		return 0, &sendRefusedError{why}
	}
	defer guard.EndWrite()
	return c.conn.Write(text)
}

// sendAbandon tells the server that an operation's answer is not wanted. It may run to its end all the
// same, and counts as running until that is seen.
func (c *serverConn) sendAbandon(id int32) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.mu.Lock()
		c.lastID++
		own := c.lastID
		c.mu.Unlock()
		_, _ = c.send(ctx, noGuard{}, ldapmsg.Abandon(own, id)) // it has no answer
	}()
}

// sendCancel asks the server to cancel an operation, and returns its answer.
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
