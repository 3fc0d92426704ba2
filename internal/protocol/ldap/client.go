package ldap

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

const (
	// outMost is how many bytes wait for a client to read them before attempts wait for it too.
	outMost = 256 << 10
	// writeTime is what a client has to take what is written to it.
	writeTime = 10 * time.Second
	// lingerTime is what a client has to read a last word before its connection closes: closed with
	// something unread on it, it would be reset, and the word lost.
	lingerTime = 500 * time.Millisecond
	pagedMost  = 8 // paged searches that are kept for one client
)

// identity is as whom a client is bound. Its password is in memory only, and wiped with the last user.
type identity struct {
	key            string // names it; "" is anybody
	name, password []byte
	uses           atomic.Int32
	rejected       atomic.Bool // a server that was to take its bind again did not
}

func (w *identity) hold() *identity {
	if w != nil {
		w.uses.Add(1)
	}
	return w
}

func (w *identity) drop() {
	if w != nil && w.uses.Add(-1) == 0 {
		clear(w.password)
	}
}

func (w *identity) keyOf() string {
	if w == nil {
		return ""
	}
	return w.key
}

// session is one client connection.
type session struct {
	p     *protocol
	raw   net.Conn // as the gate gave it
	in    *ldapmsg.Reader
	last  atomic.Int64 // when something came, ns since the protocol was made
	asked atomic.Bool  // a message has come

	mu       sync.Mutex
	conn     net.Conn // raw, or TLS on it
	secured  bool
	space    *sync.Cond // there is room in out, or none will come
	ops      map[int32]*operation
	out      [][]byte
	outBytes int
	writing  bool
	who      *identity
	pinned   *serverConn // of a SASL bind: all goes there
	paged    map[string]*serverConn
	stopping bool // takes nothing more; ends when all is answered
	notice   []byte
	closed   bool
	quiet    chan struct{} // closed when stopping and the last word is out
}

// operation is one request of a client.
type operation struct {
	s       *session
	id      int32
	m       ldapmsg.Message
	raw     []byte
	kind    kind
	request *core.Request
	who     *identity   // as whom it runs; held
	bind    *identity   // of a bind: as whom the client will be; held
	sasl    bool        // a bind of more than one step
	conn    *serverConn // the only one on which it may run
	paged   bool
	cookie  string // by which conn was found
	done    chan struct{}
	uses    atomic.Int32 // the session's, and attempts'

	mu        sync.Mutex
	on        *serverConn // where its present attempt is
	onID      int32
	begun     bool // an attempt writes it, or has: it may run
	abandoned bool // its client wants no answer
	cancelled bool // by a Cancel, before it was sent
}

// begin admits the first byte of an attempt, unless the client has abandoned or cancelled the operation: the two exclude
// each other.
func (o *operation) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun = !o.abandoned && !o.cancelled
	return o.begun
}

// operationGuard is the guard of an operation's attempt: the request's own, and its client's word.
type operationGuard struct {
	*core.Attempt
	o *operation
}

// BeginWrite admits the attempt's first byte.
func (g operationGuard) BeginWrite(interrupt func()) core.SendRefusal {
	if why := g.Attempt.BeginWrite(interrupt); why != core.SendAllowed {
		return why
	}
	if !g.o.begin() {
		g.EndWrite()
		return core.ClientDisconnected
	}
	return core.SendAllowed
}

// hold keeps what an operation needs, for an attempt; false: it is wiped already.
func (o *operation) hold() bool {
	for n := o.uses.Load(); n > 0; n = o.uses.Load() {
		if o.uses.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// release ends a hold. With the last one a password is wiped.
func (o *operation) release() {
	if o.uses.Add(-1) > 0 {
		return
	}
	if o.m.Op == ldapmsg.BindRequest {
		clear(o.raw)
	}
	o.who.drop()
	o.bind.drop()
}

// put notes where the present attempt is; an abandon that came just before is passed on.
func (o *operation) put(c *serverConn, id int32) {
	o.mu.Lock()
	o.on, o.onID, o.begun = c, id, c != nil
	late := c != nil && o.abandoned
	o.mu.Unlock()
	if late {
		c.sendAbandon(id)
	}
}

// unwanted reports whether the client wants no answer any more.
func (o *operation) unwanted() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// giveUp takes the operation for one whose client is gone.
func (o *operation) giveUp() {
	o.mu.Lock()
	o.abandoned = true
	o.mu.Unlock()
	o.s.p.loop.ClientDisconnected(o.request)
}

func (p *protocol) serve(nc net.Conn) {
	s := &session{p: p, raw: nc, conn: nc, ops: map[int32]*operation{}, quiet: make(chan struct{})}
	s.space = sync.NewCond(&s.mu)
	s.heard()
	p.mu.Lock()
	p.sessions[s] = true
	draining := p.draining
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.sessions, s)
		p.mu.Unlock()
		s.shut()
	}()
	if p.o.LDAPS {
		if err := s.secure(); err != nil {
			return
		}
	}
	s.reader()
	if draining {
		go s.drain()
	}
	for {
		raw, err := s.in.Next()
		if err != nil {
			s.lost(err)
			return
		}
		s.heard()
		s.asked.Store(true)
		m, err := ldapmsg.Parse(raw)
		if err == nil && m.Op != ldapmsg.BindRequest {
			err = ldapmsg.CheckDepth(raw)
		}
		if err != nil {
			s.lost(err)
			return
		}
		if more, err := s.take(raw, m); err != nil {
			s.lost(err)
			return
		} else if !more {
			return
		}
	}
}

// reader reads from the present connection. A client has a while for its first message, and for each
// message from its first byte on; between messages it may be quiet for longer.
func (s *session) reader() {
	first := s.in == nil
	s.in = ldapmsg.NewReader(s.conn, s.p.o.MostMessage)
	s.in.Waiting = func() {
		wait := s.p.o.Idle
		if first {
			wait, first = core.HeadTime, false
		}
		s.deadline(time.Now().Add(wait))
	}
	s.in.Partial = func() { s.deadline(time.Now().Add(core.HeadTime)) }
}

func (s *session) deadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		_ = s.conn.SetReadDeadline(t) // a dead connection shows by its read
	}
}

func (s *session) heard() { s.last.Store(int64(time.Since(s.p.began))) }
func (s *session) quietFor() time.Duration {
	return time.Since(s.p.began) - time.Duration(s.last.Load())
}

func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ops) == 0
}

// lost ends the reading of a connection: after bytes that make no sense with a notice, once what was
// taken is answered; after its end at once, since nobody is there to be answered.
func (s *session) lost(err error) {
	var late net.Error
	switch {
	case errors.Is(err, ldapmsg.ErrMalformed):
		s.p.log.Warn("client connection ended", "client", s.raw.RemoteAddr().String(), "error", err)
		s.end(ldapmsg.ProtocolErrorCode, err.Error())
	case errors.As(err, &late) && late.Timeout():
		if s.isStopping() { // reading was stopped: answers are on their way
			<-s.quiet
			return
		}
		s.end(ldapmsg.Unavailable, "nothing, or no whole message, has come for long")
	}
}

func (s *session) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// take handles one message. It reports false where the connection has come to its end.
func (s *session) take(raw []byte, m ldapmsg.Message) (more bool, err error) {
	switch m.Op {
	case ldapmsg.UnbindRequest:
		return false, nil
	case ldapmsg.AbandonRequest:
		if what, err := ldapmsg.ParseAbandon(m.Content); err == nil {
			s.abandon(what)
		}
		return true, nil // it has no answer, and if it makes no sense no effect (RFC 4511, 4.11)
	}
	if ldapmsg.ResponseTo(m.Op) == 0 {
		return false, fmt.Errorf("%w: a client sends no message of tag %#x", ldapmsg.ErrMalformed, m.Op)
	}
	if m.ID == 0 {
		return false, fmt.Errorf("%w: messageID 0", ldapmsg.ErrMalformed)
	}
	s.mu.Lock()
	_, used := s.ops[m.ID]
	n := len(s.ops)
	stopping, pinned := s.stopping, s.pinned
	s.mu.Unlock()
	if used {
		return false, fmt.Errorf("%w: messageID %d is in use", ldapmsg.ErrMalformed, m.ID)
	}
	if stopping {
		return true, nil // it comes behind the last word
	}
	if n >= s.p.o.MostOpen {
		s.answer(m.ID, m.Op, ldapmsg.Busy, "too many operations at once on this connection: nothing was done")
		return true, nil
	}
	if m.Op == ldapmsg.BindRequest {
		return s.takeBind(raw, m)
	}
	if pinned != nil && pinned.dead() {
		s.end(ldapmsg.Unavailable, "the server connection of this SASL bind has ended")
		return false, nil
	}
	if m.Op == ldapmsg.ExtRequest {
		name, value, err := ldapmsg.ExtendedName(m.Content)
		if err != nil {
			s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
			return true, nil
		}
		switch name {
		case ldapmsg.OIDStartTLS:
			return s.startTLS(m)
		case ldapmsg.OIDCancel:
			s.cancel(m, value)
			return true, nil
		case ldapmsg.OIDStartTxn, ldapmsg.OIDEndTxn:
			// A transaction belongs to a server connection, and these are shared.
			s.answer(m.ID, m.Op, ldapmsg.UnwillingToPerform, "transactions are not served here")
			return true, nil
		}
	}
	k, limit, err := kindOf(&m)
	if err != nil {
		s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return true, nil
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own) // it was parsed before
	o := &operation{s: s, id: m.ID, m: m, raw: own, kind: k}
	if cookie, paged := ldapmsg.PagedCookie(m.Controls); paged && m.Op == ldapmsg.SearchRequest {
		o.paged = true
		if len(cookie) > 0 {
			s.mu.Lock()
			o.conn, o.cookie = s.paged[string(cookie)], string(cookie)
			delete(s.paged, string(cookie))
			s.mu.Unlock()
			if o.conn == nil || o.conn.dead() {
				s.answer(m.ID, m.Op, ldapmsg.UnwillingToPerform, "this cookie's server connection is gone: begin the search anew")
				return true, nil
			}
		}
	}
	s.mu.Lock()
	if s.who != nil && s.who.rejected.Load() {
		s.push(ldapmsg.Response(m.ID, ldapmsg.ResponseTo(m.Op), ldapmsg.StrongerAuthRequired, rejected))
		s.mu.Unlock()
		return true, nil
	}
	o.who = s.who.hold()
	if s.pinned != nil {
		o.conn = s.pinned
	}
	s.mu.Unlock()
	s.begin(o, limit)
	return true, nil
}

// begin gives an operation to the loop.
func (s *session) begin(o *operation, limit time.Duration) {
	p := s.p
	o.uses.Store(1)
	class := p.classes[o.kind]
	wait := p.cfg.Settings.Classes[class].Deadline
	if limit > 0 {
		wait = min(wait, limit)
	}
	o.request = core.NewRequest(strconv.FormatUint(p.lastID.Add(1), 36), class, o.finish)
	o.request.Message, o.request.Client = o, s.raw
	o.request.Deadline, o.request.Left = time.Now().Add(wait), wait
	if o.conn != nil {
		o.request.Only = o.conn.server
	}
	s.mu.Lock()
	s.ops[o.id] = o
	s.mu.Unlock()
	if p.open.Add(1) > p.most.Load() {
		o.finish(core.Answer{Refused: true})
		return
	}
	p.loop.Take(o.request)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended { // the loop may have ended before it saw this one
		o.request.Abort()
	}
}

// finish gives an operation its final answer, once. It never waits.
func (o *operation) finish(a core.Answer) {
	s := o.s
	s.mu.Lock()
	if s.ops[o.id] != o {
		s.mu.Unlock()
		return
	}
	delete(s.ops, o.id)
	s.p.open.Add(-1)
	o.mu.Lock()
	abandoned, cancelled := o.abandoned, o.cancelled
	o.mu.Unlock()
	var text []byte
	op := ldapmsg.ResponseTo(o.m.Op)
	got, served := a.Served.(*reply)
	switch {
	case abandoned:
	case cancelled:
		text = ldapmsg.Response(o.id, op, ldapmsg.Canceled, "")
	case served:
		text = ldapmsg.WithID(o.id, got.rest)
		s.settle(o, got)
	case a.Refused:
		text = ldapmsg.Response(o.id, op, ldapmsg.Busy, s.p.comeBack(a))
	case a.TimedOut && o.m.Op == ldapmsg.SearchRequest:
		text = ldapmsg.Response(o.id, op, ldapmsg.TimeLimitExceeded, "no answer in time")
	case a.TimedOut:
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "no answer in time: it may have been done, or may be yet")
	case a.Limit != "":
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done; no further try, for the fleet's limit "+a.Limit)
	default:
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done")
	}
	if o.m.Op == ldapmsg.BindRequest && !served {
		s.become(nil, nil) // RFC 4511, 4.2.1: after a failed bind, anybody
	}
	if text != nil {
		s.push(text)
	}
	if o.paged && o.conn != nil && o.conn != s.pinned {
		switch {
		case a.Refused && !s.closed: // it may be asked for again
			s.page(o.cookie, o.conn)
		case got == nil || got.conn != o.conn:
			go o.conn.unreserve()
		}
	}
	s.lastWord()
	s.mu.Unlock()
	o.release()
	if o.done != nil {
		close(o.done)
	}
}

// comeBack says when to try again.
func (p *protocol) comeBack(a core.Answer) string {
	text := "refused: nothing was done, and trying again is harmless"
	if a.RetryAfter > 0 && p.cfg.Settings.RetryAfter {
		text += fmt.Sprintf(", in %.3f s", min(a.RetryAfter, p.cfg.Settings.MaxRetryAfter).Seconds())
	}
	if a.Limit != "" {
		text += "; the fleet's limit " + a.Limit
	}
	if a.Policy != "" {
		text += "; " + a.Policy
	}
	if a.Verdict != "" {
		text += "; the fleet's verdicts keep from it " + a.Verdict
	}
	return text
}

// settle takes over what an answer changes about its client. The session's lock is held.
func (s *session) settle(o *operation, got *reply) {
	switch {
	case o.m.Op == ldapmsg.BindRequest && got.code == ldapmsg.Success && o.sasl:
		s.become(nil, got.conn)
	case o.m.Op == ldapmsg.BindRequest && got.code == ldapmsg.Success:
		s.become(o.bind.hold(), nil)
	case o.m.Op == ldapmsg.BindRequest && got.code == ldapmsg.SASLBindInProgress && o.sasl:
		s.become(nil, got.conn)
	case o.m.Op == ldapmsg.BindRequest:
		s.become(nil, nil)
	case o.paged && len(got.cookie) > 0 && got.conn != nil:
		s.page(string(got.cookie), got.conn)
	}
}

// page keeps a connection for a paged search's next page. The session's lock is held.
func (s *session) page(cookie string, c *serverConn) {
	if s.paged == nil {
		s.paged = map[string]*serverConn{}
	}
	if len(s.paged) < pagedMost && !s.closed {
		s.paged[cookie] = c
	} else {
		go c.unreserve()
	}
}

// become changes as whom the client is bound. The session's lock is held; who is held for it.
func (s *session) become(who *identity, pinned *serverConn) {
	s.who.drop()
	s.who = who
	if s.pinned != nil && s.pinned != pinned {
		go s.pinned.retire()
	}
	if s.pinned = pinned; pinned != nil && s.closed {
		go pinned.retire()
	}
	for cookie, c := range s.paged { // of another identity
		go c.unreserve()
		delete(s.paged, cookie)
	}
}

// takeBind takes a bind. Nothing else is taken until it has its answer (RFC 4511, 4.2.1), and it waits
// for what is open.
func (s *session) takeBind(raw []byte, m ldapmsg.Message) (more bool, err error) {
	b, err := ldapmsg.ParseBind(m.Content)
	defer s.in.Forget()
	if err != nil {
		return false, err
	}
	refuse := func(code int, text string) (bool, error) {
		s.answer(m.ID, m.Op, code, text)
		return true, nil
	}
	s.mu.Lock()
	open := make([]*operation, 0, len(s.ops))
	for _, o := range s.ops {
		if o.done == nil {
			o.done = make(chan struct{})
		}
		open = append(open, o)
	}
	secured, pinned := s.secured, s.pinned
	s.mu.Unlock()
	switch {
	case b.Version != 3:
		return refuse(ldapmsg.ProtocolErrorCode, "LDAPv3 is served")
	case b.Simple && len(b.Password) > 0 && s.p.tls != nil && !secured:
		return refuse(ldapmsg.ConfidentialityRequired, "a password is taken under TLS only")
	case !b.Simple && b.Mechanism == "EXTERNAL":
		// The server would take this agent's own certificate or socket for the client's.
		return refuse(ldapmsg.AuthMethodNotSupported, "EXTERNAL can't be passed on")
	case !b.Simple && b.Mechanism == "?":
		return refuse(ldapmsg.AuthMethodNotSupported, "an authentication choice that is not known")
	}
	for _, o := range open {
		<-o.done // by its deadline
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own)
	o := &operation{s: s, id: m.ID, m: m, raw: own, kind: kindBind, sasl: !b.Simple, done: make(chan struct{})}
	if b.Simple {
		b, _ = ldapmsg.ParseBind(m.Content)
		o.bind = s.p.identity(b.Name, b.Password).hold()
	} else if pinned != nil && !pinned.dead() {
		o.conn = pinned // a further step; a first one of a new exchange is the server's to tell
	}
	s.begin(o, 0)
	<-o.done
	return true, nil
}

// identity names a client's credentials so that only the same ones have the same name, and nothing can
// be told from it.
func (p *protocol) identity(name, password []byte) *identity {
	if len(name) == 0 && len(password) == 0 {
		return nil // anybody
	}
	h := hmac.New(sha256.New, p.secret[:])
	_, _ = fmt.Fprintf(h, "%d ", len(name))
	_, _ = h.Write(name)
	_, _ = h.Write(password)
	return &identity{key: string(h.Sum(nil)), name: append([]byte(nil), name...), password: append([]byte(nil), password...)}
}

// startTLS takes the connection into TLS.
func (s *session) startTLS(m ldapmsg.Message) (more bool, err error) {
	s.mu.Lock()
	open, secured := len(s.ops), s.secured
	s.mu.Unlock()
	switch {
	case secured || open > 0:
		s.answer(m.ID, m.Op, ldapmsg.OperationsError, "TLS is there already, or operations are open")
		return true, nil
	case s.p.tls == nil:
		s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, "StartTLS is not served here")
		return true, nil
	case s.in.Buffered() > 0:
		// What came in plain must not be taken for what comes under TLS.
		return false, fmt.Errorf("%w: something came behind StartTLS", ldapmsg.ErrMalformed)
	}
	name := ldapmsg.Response(m.ID, ldapmsg.ExtResponse, ldapmsg.Success, "")
	if err := s.conn.SetWriteDeadline(time.Now().Add(core.HeadTime)); err != nil {
		return false, nil
	}
	if _, err := s.conn.Write(name); err != nil {
		return false, nil
	}
	if err := s.secure(); err != nil {
		return false, nil
	}
	s.mu.Lock()
	s.become(nil, nil)
	s.mu.Unlock()
	s.reader()
	return true, nil
}

// secure makes the handshake of TLS, within the time that a first message has.
func (s *session) secure() error {
	c := tls.Server(s.raw, s.p.tls)
	if err := s.raw.SetDeadline(time.Now().Add(core.HeadTime)); err != nil {
		return err
	}
	if err := c.Handshake(); err != nil {
		s.p.log.Warn("TLS with a client failed", "client", s.raw.RemoteAddr().String(), "error", err)
		return err
	}
	if err := s.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.secured = c, true
	return nil
}

// abandon gives an operation up for its client: it has no answer, and counts as running until its end
// is seen or its time is over. Binds can't be abandoned.
func (s *session) abandon(id int32) {
	s.mu.Lock()
	o := s.ops[id]
	s.mu.Unlock()
	if o == nil || o.m.Op == ldapmsg.BindRequest {
		return
	}
	o.mu.Lock()
	o.abandoned = true
	c, on := o.on, o.onID
	o.mu.Unlock()
	if c != nil {
		c.sendAbandon(on)
	}
	s.p.loop.ClientDisconnected(o.request)
}

// cancel carries out a Cancel (RFC 3909). One that is on a server is the server's to cancel: both
// answers are its. One that was not sent is given up here.
func (s *session) cancel(m ldapmsg.Message, value []byte) {
	id, err := ldapmsg.ParseCancel(value)
	if err != nil {
		s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return
	}
	s.mu.Lock()
	o := s.ops[id]
	s.mu.Unlock()
	switch {
	case o == nil:
		s.answer(m.ID, m.Op, ldapmsg.NoSuchOperation, "")
		return
	case o.m.Op == ldapmsg.BindRequest:
		s.answer(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	o.mu.Lock()
	c, on := o.on, o.onID
	underWay := c == nil && o.begun // it is being written: nobody can say yet whether it runs
	if c == nil && !underWay {
		o.cancelled = true
	}
	o.mu.Unlock()
	if underWay {
		s.answer(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	if c == nil {
		s.p.loop.ClientDisconnected(o.request)
		s.answer(m.ID, m.Op, ldapmsg.Success, "")
		return
	}
	own := ldapmsg.Message{ID: m.ID, Op: m.Op}
	go s.p.loop.Guard(func() {
		code := c.sendCancel(on, time.Until(o.request.Deadline))
		s.answer(own.ID, own.Op, code, "")
	})
}

// answer gives an answer that needs no server.
func (s *session) answer(id int32, op byte, code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text))
}

// forward gives the client a part of an answer, under its own id. It waits while the client reads
// slowly, and reports false where it is gone.
func (s *session) forward(o *operation, rest []byte) bool {
	text := ldapmsg.WithID(o.id, rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.outBytes > outMost && !s.closed {
		s.space.Wait()
	}
	if s.closed {
		return false
	}
	if s.ops[o.id] != o { // it has its final answer, or none is wanted
		return false
	}
	s.push(text)
	return true
}

// push queues bytes for the client. The lock is held.
func (s *session) push(text []byte) {
	if s.closed {
		return
	}
	s.out = append(s.out, text)
	s.outBytes += len(text)
	if !s.writing {
		s.writing = true
		go s.write()
	}
}

// write writes what is queued, until nothing is.
func (s *session) write() {
	for {
		s.mu.Lock()
		if len(s.out) == 0 || s.closed {
			s.writing = false
			if s.closed {
				s.out, s.outBytes = nil, 0
			}
			s.mu.Unlock()
			return
		}
		batch, conn, n := s.out, s.conn, s.outBytes
		s.out = nil
		s.mu.Unlock()
		text := batch[0]
		if len(batch) > 1 {
			text = bytes.Join(batch, nil) // one write, under TLS one record
		}
		err := conn.SetWriteDeadline(time.Now().Add(writeTime))
		if err == nil {
			_, err = conn.Write(text)
		}
		s.mu.Lock()
		s.outBytes -= n
		s.space.Broadcast()
		s.mu.Unlock()
		if err != nil {
			s.shut()
			return
		}
	}
}

// drain ends the connection once all that was taken is answered. One that has asked nothing yet is
// served on for a moment: it was accepted just before the next copy would have.
func (s *session) drain() {
	if !s.asked.Load() {
		wait := time.NewTimer(s.p.fresh)
		defer wait.Stop()
		select {
		case <-s.quiet:
		case <-wait.C:
		}
	}
	s.end(ldapmsg.Unavailable, "this agent stops: ask again on a new connection")
}

// end has the connection end with a Notice of Disconnection, once all that was taken is answered, and
// takes nothing more.
func (s *session) end(code int, text string) {
	s.mu.Lock()
	if s.stopping || s.closed {
		s.mu.Unlock()
		return
	}
	s.stopping, s.notice = true, ldapmsg.Disconnection(code, text)
	_ = s.conn.SetReadDeadline(core.LongAgo) // the reader stops
	s.lastWord()
	s.mu.Unlock()
	<-s.quiet
}

// lastWord writes the notice of a connection that ends, when nothing is open on it. The lock is held.
func (s *session) lastWord() {
	if !s.stopping || len(s.ops) > 0 || s.notice == nil {
		return
	}
	s.push(s.notice)
	s.notice = nil
	go s.linger()
}

// linger lets the client read the last word, and closes.
func (s *session) linger() {
	s.mu.Lock()
	for s.outBytes > 0 && !s.closed {
		s.space.Wait()
	}
	conn, raw := s.conn, s.raw
	s.mu.Unlock()
	switch c := conn.(type) {
	case *tls.Conn:
		_ = c.CloseWrite()
	case interface{ CloseWrite() error }:
		_ = c.CloseWrite()
	}
	buf := make([]byte, 1024)
	for end := time.Now().Add(lingerTime); raw.SetReadDeadline(end) == nil; {
		if _, err := raw.Read(buf); err != nil {
			break
		}
	}
	s.shut()
}

// failAll answers what is open as failed: the loop has ended.
func (s *session) failAll() {
	s.mu.Lock()
	var all []*operation
	for _, o := range s.ops {
		all = append(all, o)
	}
	s.mu.Unlock()
	for _, o := range all {
		o.request.Abort()
	}
}

// shut closes the connection and gives up what is open on it: nobody waits any more.
func (s *session) shut() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed, s.stopping = true, true
	_ = s.raw.Close()
	var left []*operation
	for _, o := range s.ops {
		left = append(left, o)
	}
	s.become(nil, nil)
	s.space.Broadcast()
	select {
	case <-s.quiet:
	default:
		close(s.quiet)
	}
	s.mu.Unlock()
	for _, o := range left {
		o.mu.Lock()
		o.abandoned = true
		c, on := o.on, o.onID
		o.mu.Unlock()
		if c != nil && o.m.Op == ldapmsg.SearchRequest {
			c.sendAbandon(on)
		}
		s.p.loop.ClientDisconnected(o.request)
	}
}

// Attempt sends an operation to a server, once.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, got := p.servers.attempt(a, a.Message.(*operation))
	load := decide.Load{Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}
	if got == nil {
		return result, nil, load
	}
	return result, got, load
}
