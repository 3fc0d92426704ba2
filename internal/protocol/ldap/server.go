package ldap

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

var (
	errSecure = errors.New("TLS with a server failed")
	// errMovedMeanwhile is of a connection to where a server was as it was dialled.
	errMovedMeanwhile = errors.New("the server has moved while a connection to it came up")
)

// pool names the connections that may serve an operation: those to a server that are bound alike.
type pool struct{ server, who string }

// servers holds the connections to all servers.
type servers struct {
	cfg    *core.Config
	o      *Options
	tls    *tls.Config
	log    *slog.Logger
	most   int
	keep   time.Duration // a connection that has stood idle for so long is closed
	dialer func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	addrs  core.Addresses
	conns  map[pool][]*serverConn
	open   int
	closed bool
}

func newServers(cfg *core.Config, o *Options, t *tls.Config, log *slog.Logger) *servers {
	return &servers{cfg: cfg, o: o, tls: t, log: log, most: core.BackendSockets(cfg.Sockets), keep: cfg.Site.IdleClose * 3 / 4,
		dialer: (&net.Dialer{KeepAlive: -1}).DialContext, conns: map[pool][]*serverConn{}}
}

// serverConn is one connection to a server. Searches that may bring many entries have it for themselves,
// so that a client that reads slowly slows down nobody else's answers; all else shares it.
type serverConn struct {
	v      *servers
	server string
	conn   net.Conn
	writes sync.Mutex

	// Under servers.mu.
	who      string
	uses     int  // operations that have it
	alone    bool // one of them must not share it
	reserved bool // for a paged search's next page, or a SASL bind
	suspect  bool // something went unanswered: nothing new goes there
	gone     bool // closed, and not counted as open any more
	since    time.Time

	mu     sync.Mutex
	lastID int32
	calls  map[int32]*call
	broken error // why it has ended
}

// call is one request on a connection, until its end is seen.
type call struct {
	id    int32
	wants byte // the tag of its last message
	parts chan part
	left  chan struct{} // closed when nobody waits any more
	lost  chan struct{} // closed when the connection has ended
}

// part is one message of an answer.
type part struct {
	ldapmsg.Message
	raw  []byte
	last bool
}

// reply is an answer's last message, for the client.
type reply struct {
	rest   []byte
	code   int
	cookie []byte      // of a paged search that goes on
	conn   *serverConn // which then stays its own, as for a SASL bind
}

const partsMost = 16 // messages of one answer that wait on a shared connection

// update takes a change of the list. Connections to a server that is gone or has moved take nothing
// more.
func (v *servers) update(l core.List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addrs.Update(l, func(id string) {
		for key, list := range v.conns {
			if key.server != id {
				continue
			}
			for _, c := range slices.Clone(list) {
				c.suspect = true
				v.tidy(c)
			}
		}
	})
}

// tidy closes a connection that is of no more use. The lock is held.
func (v *servers) tidy(c *serverConn) {
	if c.gone || c.uses > 0 || !c.suspect && !v.closed {
		return
	}
	v.drop(c)
}

// drop takes a connection out of the books and closes it. The lock is held.
func (v *servers) drop(c *serverConn) {
	if c.gone {
		return
	}
	c.gone = true
	v.open--
	key := pool{c.server, c.who}
	if list := slices.DeleteFunc(v.conns[key], func(o *serverConn) bool { return o == c }); len(list) > 0 {
		v.conns[key] = list
	} else {
		delete(v.conns, key)
	}
	go c.goodbye()
}

// goodbye ends a connection as the protocol has it.
func (c *serverConn) goodbye() {
	if c.conn.SetWriteDeadline(time.Now().Add(time.Second)) == nil && c.writes.TryLock() {
		_, _ = c.conn.Write(ldapmsg.Unbind(ldapmsg.MaxID)) // out of courtesy
		c.writes.Unlock()
	}
	_ = c.conn.Close()
}

// retire ends a connection that was one client's own.
func (c *serverConn) retire() {
	c.v.mu.Lock()
	defer c.v.mu.Unlock()
	c.reserved, c.suspect = false, true
	c.v.tidy(c)
}

// unreserve gives a connection back that was kept for a next page.
func (c *serverConn) unreserve() {
	c.v.mu.Lock()
	defer c.v.mu.Unlock()
	c.reserved = false
	c.v.tidy(c)
}

func (c *serverConn) dead() bool {
	c.v.mu.Lock()
	defer c.v.mu.Unlock()
	return c.gone || c.suspect
}

// take finds a connection on which an operation may run, bound already, or books a place for a new
// one: then it returns the address.
func (v *servers) take(server, who string, alone bool) (*serverConn, string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addr, ok := v.addrs.Of(server)
	if !ok {
		return nil, "", core.ErrMoved
	}
	var best *serverConn
	for _, c := range v.conns[pool{server, who}] {
		if c.alone || c.reserved || c.suspect || c.uses > 0 && (alone || c.uses >= v.o.Shared) {
			continue
		}
		if best == nil || c.uses > best.uses { // few busy ones rather than many: the others may go
			best = c
		}
	}
	if best != nil {
		best.uses++
		best.alone = alone
		return best, addr, nil
	}
	if v.open >= v.most && !v.evict() {
		return nil, "", core.ErrNoSocket
	}
	v.open++
	return nil, addr, nil
}

// evict closes the connection that has been idle longest. The lock is held.
func (v *servers) evict() bool {
	var oldest *serverConn
	for _, list := range v.conns {
		for _, c := range list {
			if c.uses == 0 && !c.reserved && (oldest == nil || c.since.Before(oldest.since)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	v.drop(oldest)
	return true
}

// give puts a connection back after an operation.
func (v *servers) give(c *serverConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.uses--
	c.alone = false
	c.since = time.Now()
	v.tidy(c)
}

// doubt has nothing new go on a connection; it closes once nothing is on it.
func (v *servers) doubt(c *serverConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.suspect = true
	v.tidy(c)
}

func (v *servers) reap(ctx context.Context) {
	tick := time.NewTicker(max(v.keep/8, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v.mu.Lock()
		for _, list := range v.conns {
			for _, c := range slices.Clone(list) {
				if c.uses == 0 && !c.reserved && time.Since(c.since) >= v.keep {
					v.drop(c)
				}
			}
		}
		v.mu.Unlock()
	}
}

func (v *servers) shut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	for _, list := range v.conns {
		for _, c := range slices.Clone(list) {
			v.drop(c)
		}
	}
}

// dial opens a connection as anybody for a probe.
func (v *servers) dial(ctx context.Context, server string) (*serverConn, error) {
	v.mu.Lock()
	addr, ok := v.addrs.Of(server)
	full := v.open >= v.most && !v.evict()
	if ok && !full {
		v.open++
	}
	v.mu.Unlock()
	switch {
	case !ok:
		return nil, core.ErrMoved
	case full:
		return nil, core.ErrNoSocket
	}
	return v.connect(ctx, server, addr)
}

// connect opens a connection, of which nobody is bound, within the connect time-out. Its place is
// booked. After an error of errSecure there was a process.
func (v *servers) connect(ctx context.Context, server, addr string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Settings.ConnectTimeout)
	defer cancel()
	nc, err := v.dialer(ctx, "tcp", addr)
	if err == nil && v.tls != nil {
		plain := nc
		if nc, err = v.secure(ctx, plain, addr); err != nil {
			_ = plain.Close()
			err = fmt.Errorf("%w: %w", errSecure, err)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.open--
		return nil, err
	}
	if now, known := v.addrs.Of(server); !known || now != addr { // meanwhile: what has its address by now may be another
		v.open--
		_ = nc.Close()
		return nil, errMovedMeanwhile
	}
	c := &serverConn{v: v, server: server, conn: nc, uses: 1, alone: true, since: time.Now(), calls: map[int32]*call{}}
	v.conns[pool{server, ""}] = append(v.conns[pool{server, ""}], c)
	go c.read()
	return c, nil
}

// secure takes a connection into TLS, by StartTLS where that is set. There is no way back to plain.
func (v *servers) secure(ctx context.Context, nc net.Conn, addr string) (net.Conn, error) {
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if v.o.ServerTLS == "starttls" {
		if _, err := nc.Write(ldapmsg.Extended(1, ldapmsg.OIDStartTLS, nil)); err != nil {
			return nil, err
		}
		in := ldapmsg.NewReader(nc, v.o.MostMessage)
		raw, err := in.Next()
		if err != nil {
			return nil, err
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			return nil, err
		}
		if code, ok := m.Code(); m.ID != 1 || m.Op != ldapmsg.ExtResponse || !ok || code != ldapmsg.Success || in.Buffered() > 0 {
			return nil, fmt.Errorf("StartTLS was answered with %d", code)
		}
	}
	cfg := v.tls
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	c := tls.Client(nc, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return c, nc.SetDeadline(time.Time{})
}

// read takes what a server sends, until the connection ends. What belongs to no call, or is no message,
// ends it: nothing that comes behind can be believed.
func (c *serverConn) read() {
	in := ldapmsg.NewReader(c.conn, c.v.o.MostMessage)
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
	c.v.mu.Lock()
	c.suspect = true
	c.v.tidy(c)
	c.v.mu.Unlock()
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = err
	if errors.Is(err, ldapmsg.ErrMalformed) {
		c.v.log.Warn("a server's connection ended", "server", c.server, "error", err)
	}
	for _, k := range c.calls {
		close(k.lost)
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
	last := k != nil && m.Op == k.wants
	if last {
		delete(c.calls, m.ID)
	}
	c.mu.Unlock()
	switch {
	case k == nil:
		return fmt.Errorf("%w: an answer to nothing that is open", ldapmsg.ErrMalformed)
	case !last && m.Op != ldapmsg.Intermediate && !(k.wants == ldapmsg.SearchDone && (m.Op == ldapmsg.SearchEntry || m.Op == ldapmsg.SearchReference)):
		return fmt.Errorf("%w: an answer of tag %#x to what is answered with %#x", ldapmsg.ErrMalformed, m.Op, k.wants)
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
	case <-k.left:
	}
	return nil
}

// writeGuard admits a message of an attempt right before its first byte, and is told that it is out.
type writeGuard interface {
	BeginWrite(interrupt func()) core.SendRefusal
	EndWrite()
}

// unguarded is the guard of what belongs to no request.
type unguarded struct{}

func (unguarded) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }
func (unguarded) EndWrite()                          {}

// refusedError is of a message that its guard did not admit: nothing was written.
type refusedError struct{ why core.SendRefusal }

func (e *refusedError) Error() string { return "not sent: " + e.why.String() }

// start sends a request. It reports whether its last byte was written; a call is returned only then.
func (c *serverConn) start(ctx context.Context, guard writeGuard, op byte, rest []byte) (*call, error) {
	k := &call{wants: ldapmsg.ResponseTo(op), parts: make(chan part, partsMost), left: make(chan struct{}), lost: make(chan struct{})}
	c.mu.Lock()
	if c.broken != nil || c.calls == nil {
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
	c.writes.Lock()
	defer c.writes.Unlock()
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(writeTime)
	}
	if err := c.conn.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if why := guard.BeginWrite(func() { _ = c.conn.SetWriteDeadline(core.LongAgo) }); why != core.SendAllowed {
		return 0, &refusedError{why}
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
		_, _ = c.send(ctx, unguarded{}, ldapmsg.Abandon(own, id)) // it has no answer
	}()
}

// sendCancel asks the server to cancel an operation, and returns its answer.
func (c *serverConn) sendCancel(id int32, within time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	m, err := ldapmsg.Parse(ldapmsg.Cancel(1, id))
	if err != nil {
		return ldapmsg.Other
	}
	k, err := c.start(ctx, unguarded{}, m.Op, m.Rest)
	if err != nil {
		return ldapmsg.Other
	}
	defer close(k.left)
	select {
	case got := <-k.parts:
		code, _ := got.Code()
		return code
	case <-k.lost:
		return ldapmsg.Other
	case <-ctx.Done():
		return ldapmsg.Other
	}
}

// attempt makes one attempt of an operation. The result follows the table in docs/design/ldap.md.
func (v *servers) attempt(a *core.Attempt, o *operation) (decide.Result, *reply) {
	if !o.hold() {
		return decide.NotSent, nil
	}
	defer o.release()
	c, result := v.ready(a, o)
	if c == nil && o.who != nil && o.who.rejected.Load() {
		return decide.OK, rejection(o.m.Op) // a final answer: no other server is to be tried with it
	}
	if c == nil {
		return result, nil
	}
	defer v.give(c)
	k, err := c.start(a.Context, operationGuard{a, o}, o.m.Op, o.m.Rest)
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.why.Result(a.Context), nil
	}
	if err != nil {
		o.put(nil, 0)
		v.doubt(c)
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled, nil
		}
		return decide.Broke, nil
	}
	o.put(c, k.id)
	defer o.put(nil, 0)
	defer close(k.left)
	// The one entry of a lookup waits for its end: until then it can be asked for elsewhere.
	s := stream{a: a, o: o, waits: o.kind == kindLookup}
	for {
		select {
		case got := <-k.parts:
			if got.last {
				return v.judge(c, &s, got)
			}
			if !s.add(got) {
				c.sendAbandon(k.id)
				return decide.Cancelled, nil
			}
			if s.unread && !o.unwanted() {
				c.sendAbandon(k.id)
				o.giveUp()
			}
		case <-k.lost:
			v.doubt(c)
			for more := true; more; { // its last message may have come just before the end
				select {
				case got := <-k.parts:
					if got.last {
						return v.judge(c, &s, got)
					}
					s.add(got)
				default:
					more = false
				}
			}
			c.mu.Lock()
			spoilt := errors.Is(c.broken, ldapmsg.ErrMalformed)
			c.mu.Unlock()
			if spoilt {
				return decide.Errored, nil // there is a process, and it answers amiss
			}
			return decide.Reset, nil
		case <-a.Context.Done():
			if o.m.Op == ldapmsg.SearchRequest {
				c.sendAbandon(k.id)
			}
			if o.unwanted() || errors.Is(context.Cause(a.Context), core.ErrCancelled) {
				return decide.Cancelled, nil
			}
			v.doubt(c)
			return decide.TimedOut, nil
		}
	}
}

// stream is what of an attempt's answer has come before its last message.
type stream struct {
	a      *core.Attempt
	o      *operation
	waits  bool // nothing goes to the client before the last message
	kept   []part
	bytes  int
	begun  bool // the client has a part of it
	unread bool // the client is gone, or wants it no more
}

const keptMost = 64 << 10 // bytes that wait for the last message

// add takes a part. It reports false where the attempt's answer must not reach the client.
func (s *stream) add(p part) bool {
	if s.waits && s.bytes+len(p.raw) <= keptMost {
		s.kept = append(s.kept, p)
		s.bytes += len(p.raw)
		return true
	}
	s.kept = append(s.kept, p)
	s.waits = false
	return s.flush()
}

// flush passes on what is kept.
func (s *stream) flush() bool {
	for _, p := range s.kept {
		if !s.a.Begin(false) {
			return false
		}
		s.begun = true
		if !s.unread && !s.o.s.forward(s.o, p.Rest) {
			s.unread = true
		}
	}
	s.kept = nil
	return true
}

// judge takes the last message of an answer.
func (v *servers) judge(c *serverConn, s *stream, got part) (decide.Result, *reply) {
	o := s.o
	code, _ := got.Code()
	if !s.begun {
		switch code {
		case ldapmsg.Busy: // too busy to service it: it was not begun
			return decide.Full, nil
		case ldapmsg.Unavailable: // a part that is needed to complete it is away: it may have been begun
			return decide.Errored, nil
		}
	}
	if !s.flush() {
		return decide.Cancelled, nil
	}
	r := &reply{rest: got.Rest, code: code}
	switch {
	case o.m.Op == ldapmsg.BindRequest && o.sasl && (code == ldapmsg.Success || code == ldapmsg.SASLBindInProgress):
		v.mu.Lock()
		c.reserved = true
		v.mu.Unlock()
		r.conn = c
	case o.m.Op == ldapmsg.BindRequest && code == ldapmsg.Success:
		v.rename(c, o.bind)
	case o.m.Op == ldapmsg.BindRequest:
		v.doubt(c)
	case o.paged:
		if r.cookie, _ = ldapmsg.PagedCookie(got.Controls); len(r.cookie) > 0 {
			v.mu.Lock()
			c.reserved = true
			v.mu.Unlock()
			r.conn = c
		}
	}
	return decide.OK, r
}

// rename books a connection as one that is bound.
func (v *servers) rename(c *serverConn, who *identity) {
	key := ""
	if who != nil {
		key = who.key
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.gone || c.who == key {
		return
	}
	old := pool{c.server, c.who}
	if list := slices.DeleteFunc(v.conns[old], func(x *serverConn) bool { return x == c }); len(list) > 0 {
		v.conns[old] = list
	} else {
		delete(v.conns, old)
	}
	c.who = key
	v.conns[pool{c.server, key}] = append(v.conns[pool{c.server, key}], c)
}

// ready finds or opens a connection for an operation, and binds it as the operation's client is. No
// connection: the result, of which all say that nothing ran.
func (v *servers) ready(a *core.Attempt, o *operation) (*serverConn, decide.Result) {
	if o.conn != nil { // pinned
		v.mu.Lock()
		defer v.mu.Unlock()
		if o.conn.gone || o.conn.suspect || o.conn.server != a.Server {
			return nil, decide.NotSent
		}
		o.conn.uses++
		o.conn.alone = true
		return o.conn, 0
	}
	bind := o.m.Op == ldapmsg.BindRequest
	who := o.who.keyOf()
	if bind {
		who = "\x00none" // on a connection of its own
	}
	c, addr, err := v.take(a.Server, who, bind || o.kind == kindSearch)
	if err == nil && c != nil {
		return c, 0
	}
	if err == nil && !a.MayDial() {
		v.mu.Lock()
		v.open-- // its place is booked
		v.mu.Unlock()
		return nil, decide.NotSent
	}
	if err == nil {
		a.Dialed()
		c, err = v.connect(a.Context, a.Server, addr)
	}
	if err != nil {
		if errors.Is(err, core.ErrNoSocket) || errors.Is(err, errSecure) {
			v.log.Warn("attempt not sent", "error", err, "server", a.Server)
		}
		if errors.Is(err, errMovedMeanwhile) {
			return nil, decide.Broke // never ran, and another server may have it
		}
		if errors.Is(err, errSecure) && !errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return nil, decide.Broke // somebody was there
		}
		return nil, core.NotConnected(a.Context, err)
	}
	if bind || o.who == nil {
		v.mu.Lock()
		c.alone = bind || o.kind == kindSearch
		v.mu.Unlock()
		return c, 0
	}
	if result := v.bindAs(a, c, o.who); result != decide.OK {
		v.doubt(c)
		v.give(c)
		return nil, result
	}
	v.mu.Lock()
	c.alone = o.kind == kindSearch
	v.mu.Unlock()
	return c, 0
}

const rejected = "the bind of this connection is not accepted any more: bind again"

// rejection is the answer to an operation of a client whose bind is not accepted any more.
func rejection(op byte) *reply {
	m, err := ldapmsg.Parse(ldapmsg.Response(1, ldapmsg.ResponseTo(op), ldapmsg.StrongerAuthRequired, rejected))
	if err != nil {
		return &reply{code: ldapmsg.Other}
	}
	return &reply{rest: m.Rest, code: ldapmsg.StrongerAuthRequired}
}

// bindAs binds a new connection as a client was bound by another. Nothing of the operation has been sent
// whatever comes of it.
func (v *servers) bindAs(a *core.Attempt, c *serverConn, who *identity) decide.Result {
	text := ldapmsg.SimpleBind(1, who.name, who.password)
	defer clear(text)
	m, err := ldapmsg.Parse(text)
	if err != nil {
		return decide.Broke
	}
	k, err := c.start(a.Context, a, m.Op, m.Rest)
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.why.Result(a.Context)
	}
	if err != nil {
		return decide.Broke
	}
	defer close(k.left)
	select {
	case got := <-k.parts:
		switch code, _ := got.Code(); code {
		case ldapmsg.Success:
			v.rename(c, who)
			return decide.OK
		case ldapmsg.InvalidCredentials:
			// Tried over and over, at one server after the other, it might lock its owner out.
			who.rejected.Store(true)
			v.log.Warn("a server does not take a bind that another took", "server", c.server)
		}
		return decide.Full // turned away, unseen
	case <-k.lost:
		return decide.Broke
	case <-a.Context.Done():
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled
		}
		return decide.Broke
	}
}
