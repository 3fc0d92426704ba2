package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	goldap "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/faulttest/soak/check"
	"vetchhaven/internal/protocol/ldapmsg"
)

// Parameters of the clients of an LDAP instance.
const (
	rawLDAPClients     = 3 // clients that encode and decode messages themselves
	libraryLDAPClients = 1 // clients that use go-ldap
	maxPipelined       = 3 // requests that a raw client writes at once
	ldapWriteTimeout   = 5 * time.Second
	maxLDAPMessage     = 1 << 20
)

// Classes of operations, as the configuration names them.
const (
	classSearch = "search"
	classModify = "modify"
)

// ldapClients are the clients of one LDAP instance. They connect while the HTTP clients of the same process do.
type ldapClients struct {
	*clients // the HTTP clients of the same process
	addr     string
	deadline time.Duration
	all      sync.WaitGroup // separate from the wait group of the HTTP clients
}

// ldapConn is the connection of an LDAP client.
type ldapConn struct {
	net.Conn
	in     *ldapmsg.Reader
	lastID int32
	used   bool // requests on this connection have been answered or abandoned

	aliveAt time.Duration // run time of the last message, or of the connection's opening
}

// ldapRequest is one operation of a client.
type ldapRequest struct {
	id        int32
	name      string
	class     string
	sent      bool // recorded as sent
	abandoned bool // the client expects no response
}

// run runs the clients until ctx ends and returns once each has its responses.
func (c *ldapClients) run(ctx context.Context, seed uint64) {
	for n := range rawLDAPClients {
		c.all.Go(func() { c.runRaw(ctx, rand.New(rand.NewPCG(seed, 100+uint64(n)))) })
	}
	for n := range libraryLDAPClients {
		c.all.Go(func() { c.runLibrary(ctx, rand.New(rand.NewPCG(seed, 200+uint64(n)))) })
	}
	c.all.Wait()
}

func (c *ldapClients) runRaw(ctx context.Context, rng *rand.Rand) {
	var conn *ldapConn
	for ctx.Err() == nil {
		c.awaitTurn(rng)
		conn = c.roundTrip(rng, conn)
		if conn != nil && rng.Float64() < 0.1 {
			_, _ = conn.Write(ldapmsg.Unbind(conn.lastID + 1))
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// connect opens a connection, or returns nil if that fails or new connections are not allowed.
func (c *ldapClients) connect() *ldapConn {
	nc := c.dialAddr(c.addr)
	if nc == nil {
		return nil
	}
	return &ldapConn{Conn: nc, in: ldapmsg.NewReader(nc, maxLDAPMessage), aliveAt: c.rec.Now()}
}

// roundTrip writes one to maxPipelined requests at once and reads their responses. It returns the connection for the next
// requests, or nil if it has ended.
func (c *ldapClients) roundTrip(rng *rand.Rand, conn *ldapConn) *ldapConn {
	requests := make([]*ldapRequest, 1+rng.IntN(maxPipelined))
	for i := range requests {
		requests[i] = c.newRequest(rng)
	}
	for len(requests) > 0 {
		if conn == nil {
			if conn = c.connect(); conn == nil {
				c.giveUp(requests)
				return nil
			}
		}
		if !c.write(conn, requests) {
			if !conn.used {
				c.recordConnectionLost(conn.Conn)
				c.giveUp(requests)
				_ = conn.Close()
				return nil
			}
			_ = conn.Close()
			conn = nil // closed by the agent: no request was read, or a notice indicates that none has run
			continue
		}
		if c.disturb(rng, conn, requests) {
			_ = conn.Close()
			return nil
		}
		var ended bool
		if requests, ended = c.await(conn, requests); ended {
			_ = conn.Close()
			conn = nil
			continue
		}
		conn.used = true
	}
	return conn
}

func (c *ldapClients) newRequest(rng *rand.Rand) *ldapRequest {
	r := &ldapRequest{name: c.nextName("l"), class: classSearch}
	if rng.Float64() < 0.4 {
		r.class = classModify
	}
	return r
}

// write writes requests with new message IDs in a single write and records those that were not sent before.
func (c *ldapClients) write(conn *ldapConn, requests []*ldapRequest) bool {
	var text []byte
	for _, r := range requests {
		conn.lastID++
		r.id = conn.lastID
		text = append(text, r.encode()...)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(ldapWriteTimeout))
	if _, err := conn.Write(text); err != nil {
		return false
	}
	for _, r := range requests {
		if r.sent {
			c.rec.Put(check.Event{Kind: check.RequestResent, Agent: c.agent, Request: r.name})
			continue
		}
		r.sent = true
		c.rec.Put(check.Event{Kind: check.RequestSent, Agent: c.agent, Request: r.name, Class: r.class, Left: c.deadline, First: !conn.used})
	}
	return true
}

// encode returns a search of the base object, or a modify that replaces a description.
func (r *ldapRequest) encode() []byte {
	dn := entryOf(r.name)
	if r.class == classSearch {
		body := append([]byte{}, berElement(0x04, []byte(dn))...)
		body = append(body, 0x0a, 1, 0, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0)
		body = append(body, berElement(0x87, []byte("objectClass"))...)
		body = append(body, 0x30, 0)
		return ldapmsg.WithID(r.id, berElement(ldapmsg.SearchRequest, body))
	}
	value := berElement(0x31, berElement(0x04, []byte("x")))
	attribute := berElement(0x30, append(berElement(0x04, []byte("description")), value...))
	change := berElement(0x30, append([]byte{0x0a, 1, 2}, attribute...))
	body := append(berElement(0x04, []byte(dn)), berElement(0x30, change)...)
	return ldapmsg.WithID(r.id, berElement(ldapmsg.ModifyRequest, body))
}

// berElement returns a BER element with fewer than 128 bytes of content.
func berElement(tag byte, content []byte) []byte {
	return append([]byte{tag, byte(len(content))}, content...)
}

// disturb may make the client disconnect, or abandon or cancel a request. It reports whether the client has
// disconnected.
func (c *ldapClients) disturb(rng *rand.Rand, conn *ldapConn, requests []*ldapRequest) (left bool) {
	r := requests[rng.IntN(len(requests))]
	switch draw := rng.Float64(); {
	case ClientFault(c.fault.Load()) == ClientsDisconnect && draw < 0.3:
		time.Sleep(time.Duration(rng.Float64() * float64(50*time.Millisecond)))
		c.giveUp(requests)
		if rng.Float64() < 0.5 {
			abort(conn.Conn)
		}
		return true
	case draw < 0.03:
		conn.lastID++
		if _, err := conn.Write(ldapmsg.Abandon(conn.lastID, r.id)); err == nil {
			r.abandoned = true
			c.rec.Put(check.Event{Kind: check.ClientDisconnected, Agent: c.agent, Request: r.name, Note: "abandoned"})
		}
	case draw < 0.06:
		conn.lastID++
		_, _ = conn.Write(ldapmsg.Cancel(conn.lastID, r.id)) // the response to the cancel is read and skipped: r has its own response
	}
	return false
}

// giveUp records that a client no longer waits for its requests.
func (c *ldapClients) giveUp(requests []*ldapRequest) {
	for _, r := range requests {
		if r.sent && !r.abandoned {
			c.rec.Put(check.Event{Kind: check.ClientDisconnected, Agent: c.agent, Request: r.name})
		}
	}
}

// await reads the responses to requests. It returns those that are to be sent again on a new connection: a notice
// came before their responses, so they have not run. ended reports whether the connection has ended.
func (c *ldapClients) await(conn *ldapConn, requests []*ldapRequest) (again []*ldapRequest, ended bool) {
	open := map[int32]*ldapRequest{}
	for _, r := range requests {
		if !r.abandoned {
			open[r.id] = r
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(maxAnswerWait))
	for len(open) > 0 {
		m, err := conn.next()
		switch {
		case err != nil:
			for _, r := range open {
				c.rec.Put(check.Event{Kind: check.ConnectionEnded, Agent: c.agent, Request: r.name, Began: conn.aliveAt, Note: err.Error()})
			}
			return nil, true
		case m.ID == 0:
			return c.handleNotice(conn, open), true
		}
		conn.aliveAt = c.rec.Now()
		r := open[m.ID]
		code, isResult := m.Code()
		if r == nil || !isResult || m.Op == ldapmsg.SearchEntry {
			continue
		}
		delete(open, m.ID)
		c.rec.Put(check.Event{Kind: check.AnswerRead, Agent: c.agent, Request: r.name, Status: statusOf(code), Own: true, Note: string(m.Content)})
		conn.used = true
	}
	return nil, false
}

// next reads one message.
func (conn *ldapConn) next() (ldapmsg.Message, error) {
	raw, err := conn.in.Next()
	if err != nil {
		return ldapmsg.Message{}, err
	}
	return ldapmsg.Parse(append([]byte{}, raw...))
}

// handleNotice handles a Notice of Disconnection, which no message may follow. Requests on a used connection may have
// been sent at the same time as the notice, so they are sent again; those on a new connection were sent long before
// it.
func (c *ldapClients) handleNotice(conn *ldapConn, open map[int32]*ldapRequest) (again []*ldapRequest) {
	c.rec.Put(check.Event{Kind: check.NoticeRead, Agent: c.agent})
	for _, r := range open {
		if conn.used {
			again = append(again, r)
			continue
		}
		c.rec.Put(check.Event{Kind: check.ConnectionEnded, Agent: c.agent, Request: r.name, Note: "a notice instead of a response"})
	}
	if m, err := conn.next(); err == nil {
		c.rec.Put(check.Event{Kind: check.AfterNotice, Agent: c.agent, Note: string(m.Content)})
	}
	return again
}

// statusOf returns the HTTP status that corresponds to a result code.
func statusOf(code int) int {
	switch code {
	case ldapmsg.Success, goldap.LDAPResultNoSuchObject:
		return 200
	case ldapmsg.Busy, ldapmsg.Unavailable:
		return 503
	}
	return 502
}

// runLibrary sends requests through go-ldap, one after the other. A request that fails on a used connection is not
// sent again, since the library does not distinguish a Notice of Disconnection from any other way in which a connection
// ends.
func (c *ldapClients) runLibrary(ctx context.Context, rng *rand.Rand) {
	var conn *goldap.Conn
	used := false
	for ctx.Err() == nil {
		c.awaitTurn(rng)
		if conn == nil {
			nc := c.dialAddr(c.addr)
			if nc == nil {
				continue
			}
			conn, used = goldap.NewConn(nc, false), false
			conn.Start()
			conn.SetTimeout(maxAnswerWait)
		}
		if !c.roundTripLibrary(rng, conn, used) || rng.Float64() < 0.1 {
			_ = conn.Close()
			conn = nil
			continue
		}
		used = true
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// roundTripLibrary sends one request and reports whether the connection can be used further.
func (c *ldapClients) roundTripLibrary(rng *rand.Rand, conn *goldap.Conn, used bool) bool {
	r := c.newRequest(rng)
	c.rec.Put(check.Event{Kind: check.RequestSent, Agent: c.agent, Request: r.name, Class: r.class, Left: c.deadline, First: !used})
	var err error
	if r.class == classSearch {
		_, err = conn.Search(goldap.NewSearchRequest(entryOf(r.name), goldap.ScopeBaseObject, goldap.NeverDerefAliases, 0, 0, false,
			"(objectClass=*)", nil, nil))
	} else {
		m := goldap.NewModifyRequest(entryOf(r.name), nil)
		m.Replace("description", []string{"x"})
		err = conn.Modify(m)
	}
	var result *goldap.Error
	if err == nil || errors.As(err, &result) && result.ResultCode < goldap.ErrorNetwork {
		code := 0
		if result != nil {
			code = int(result.ResultCode)
		}
		c.rec.Put(check.Event{Kind: check.AnswerRead, Agent: c.agent, Request: r.name, Status: statusOf(code), Own: true})
		return true
	}
	end := check.Event{Kind: check.ConnectionEnded, Agent: c.agent, Request: r.name, Note: err.Error()}
	if used {
		end.Kind = check.ClientDisconnected
	}
	c.rec.Put(end)
	return false
}
