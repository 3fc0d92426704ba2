package ldap

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
)

// serverConn is one connection to a server. A search that may return many entries has its connection exclusively, so
// that a client that reads slowly does not delay the responses of other operations. Other operations share
// connections.
type serverConn struct {
	pool    *connPool
	server  string
	conn    net.Conn
	writeMu sync.Mutex

	// Guarded by the pool's lock.
	identityKey string // the key of the identity that is bound on the connection, or unknownIdentity
	users       int    // the number of operations that use the connection
	exclusive   bool   // the operation on the connection must not share it
	reserved    bool   // the connection is reserved for the next page of a paged search, or for a SASL bind
	suspect     bool   // the connection takes no further operation, and is closed once unused
	closed      bool   // the connection is not counted in connPool.open any more
	idleSince   time.Time

	mu     sync.Mutex
	lastID int32
	calls  map[int32]*call
	endErr error // why the connection has ended; nil: it has not ended
}

// unbindTimeout is how long the write of an UnbindRequest or AbandonRequest may take.
const unbindTimeout = time.Second

// unbindAndClose ends a connection with an UnbindRequest (RFC 4511, 4.3), if no other write is under way.
func (c *serverConn) unbindAndClose() {
	if c.conn.SetWriteDeadline(time.Now().Add(unbindTimeout)) == nil && c.writeMu.TryLock() {
		_, _ = c.conn.Write(ldapmsg.Unbind(ldapmsg.MaxID)) // optional: closing the connection has the same effect
		c.writeMu.Unlock()
	}
	_ = c.conn.Close()
}

// retire closes a connection that was reserved for one client's SASL bind.
func (c *serverConn) retire() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.reserved = false
	c.suspect = true
	c.pool.closeIfUnused(c)
}

// unreserve ends the reservation for a paged search's next page, or for a SASL bind whose client does not get the
// connection. The connection of a SASL bind, which has no known identity, is then closed.
func (c *serverConn) unreserve() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.reserved = false
	c.pool.closeIfUnused(c)
}

// isReusable reports whether the connection may take another operation, now or later. The caller holds the pool's lock.
func (c *serverConn) isReusable() bool {
	return !c.suspect && (c.identityKey != unknownIdentity || c.reserved)
}

// isUnusable reports whether the connection takes no further operation.
func (c *serverConn) isUnusable() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.closed || c.suspect
}

// read delivers a server's messages to their calls, until the connection ends. A message that belongs to no call, or
// malformed bytes, end the connection, because the bytes that follow can't be trusted.
func (c *serverConn) read() {
	in := ldapmsg.NewReader(c.conn, c.pool.options.MaxMessage)
	in.Reserve = c.pool.responseBudget.Acquire
	in.Release = c.pool.responseBudget.Release
	defer in.Close()
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
		c.pool.log.Warn("server sent a malformed message; connection closed", "server", c.server, "error", err)
	}
	for _, k := range c.calls {
		close(k.connEnded)
	}
	c.calls = nil
}

// deliver passes a message to the call that it belongs to.
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
		return fmt.Errorf("%w: a response to no open request", ldapmsg.ErrMalformed)
	case !last && m.Op != ldapmsg.Intermediate && !(k.finalOp == ldapmsg.SearchDone && (m.Op == ldapmsg.SearchEntry || m.Op == ldapmsg.SearchReference)):
		return fmt.Errorf("%w: a response with tag %#x to a request whose final response has tag %#x",
			ldapmsg.ErrMalformed, m.Op, k.finalOp)
	}
	if last {
		if _, ok := m.Code(); !ok {
			c.mu.Lock()
			c.calls[m.ID] = k // the call has no valid response yet; read ends it with the connection
			c.mu.Unlock()
			return fmt.Errorf("%w: a final response without an LDAPResult", ldapmsg.ErrMalformed)
		}
	}
	own := slices.Clone(raw)
	m, _ = ldapmsg.Parse(own) // it was parsed before
	select {
	case k.messages <- responseMessage{m, own, last}:
	case <-k.abandoned:
	}
	return nil
}
