package ldap

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// closingText is the diagnostic message for a request that arrives on a closing session.
const closingText = "this connection is closed: nothing was done, ask again on a new one"

// handleMessage handles a client's message. more is false if no further message of the connection is to be read. An
// error means that the client violated the protocol.
func (s *session) handleMessage(raw []byte, m ldapmsg.Message) (more bool, err error) {
	switch m.Op {
	case ldapmsg.UnbindRequest:
		return false, nil
	case ldapmsg.AbandonRequest:
		if id, err := ldapmsg.ParseAbandon(m.Content); err == nil {
			s.handleAbandon(id)
		}
		return true, nil // an AbandonRequest has no response; a malformed one is ignored (RFC 4511, 4.11)
	}
	if ldapmsg.ResponseTo(m.Op) == 0 {
		return false, fmt.Errorf("%w: a client must not send a message with tag %#x", ldapmsg.ErrMalformed, m.Op)
	}
	if m.ID == 0 { // reserved for unsolicited notifications (RFC 4511, 4.1.1.1)
		return false, fmt.Errorf("%w: messageID 0 in a request", ldapmsg.ErrMalformed)
	}
	s.mu.Lock()
	_, used := s.operations[m.ID]
	open := len(s.operations) + s.cancels
	stickyConn := s.stickyConn
	s.mu.Unlock()
	switch {
	case used: // RFC 4511, 4.1.1.1
		return false, fmt.Errorf("%w: messageID %d is in use", ldapmsg.ErrMalformed, m.ID)
	case s.rejects():
		s.respond(m.ID, m.Op, ldapmsg.Unavailable, closingText)
		return true, nil
	case open >= s.protocol.options.MaxOpen:
		s.respond(m.ID, m.Op, ldapmsg.Busy, "too many operations at once on this connection: nothing was done")
		return true, nil
	case m.Op == ldapmsg.BindRequest:
		return s.handleBind(raw, m)
	case stickyConn != nil && stickyConn.isUnusable():
		const ended = "the server connection of this SASL bind has ended"
		s.respond(m.ID, m.Op, ldapmsg.Unavailable, ended+": nothing was done")
		s.endWithNotice(ldapmsg.Unavailable, ended)
		return false, nil
	case m.Op == ldapmsg.ExtRequest:
		return s.handleExtended(raw, m)
	}
	s.handleOperation(raw, m)
	return true, nil
}

// handleExtended handles an extended request (RFC 4511, 4.12). The agent handles StartTLS, Cancel and transaction
// requests itself, and forwards all others.
func (s *session) handleExtended(raw []byte, m ldapmsg.Message) (more bool, err error) {
	name, value, err := ldapmsg.ExtendedName(m.Content)
	if err != nil {
		s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return true, nil
	}
	switch name {
	case ldapmsg.OIDStartTLS:
		return s.startTLS(m)
	case ldapmsg.OIDCancel:
		s.handleCancel(m, value)
	case ldapmsg.OIDStartTxn, ldapmsg.OIDEndTxn:
		// A transaction belongs to one server connection, and server connections are shared by clients.
		s.respond(m.ID, m.Op, ldapmsg.UnwillingToPerform, "transactions are not supported")
	default:
		s.handleOperation(raw, m)
	}
	return true, nil
}

// smallMessage is up to how many bytes a message counts as a part of its operation, without a reservation of its own.
const smallMessage = 2 << 10

// noMemoryText is the diagnostic message for a message that the request budget does not allow.
const noMemoryText = "no memory for a message of this size now: nothing was done"

// handleOperation submits an operation that is to be forwarded to a server.
func (s *session) handleOperation(raw []byte, m ldapmsg.Message) {
	kind, timeLimit, err := kindOf(&m)
	if err != nil {
		s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return
	}
	reserved := max(0, len(raw)-smallMessage)
	if reserved > 0 && !s.protocol.requestBudget.Acquire(reserved) {
		s.respond(m.ID, m.Op, ldapmsg.Busy, noMemoryText)
		return
	}
	own := slices.Clone(raw)
	m, _ = ldapmsg.Parse(own) // it was parsed before
	o := &operation{session: s, id: m.ID, message: m, raw: own, kind: kind, reserved: reserved}
	o.refs.Store(1)
	if !s.assignPagedConn(o) {
		o.release()
		s.respond(m.ID, m.Op, ldapmsg.UnwillingToPerform,
			"the server connection of this paged search is closed: restart the search")
		return
	}
	s.mu.Lock()
	if s.identity != nil && s.identity.rejected.Load() {
		s.enqueue(ldapmsg.Response(m.ID, ldapmsg.ResponseTo(m.Op), ldapmsg.StrongerAuthRequired, rebindText))
		s.mu.Unlock()
		o.release()
		return
	}
	o.identity = s.identity.retain()
	if s.stickyConn != nil {
		o.requiredConn = s.stickyConn
	}
	s.mu.Unlock()
	s.submit(o, timeLimit)
}

// assignPagedConn assigns a request for a further page of a paged search (RFC 2696) to the server connection that
// returned the cookie, since only that server has the state of the search. It returns false if the connection can't
// be used any more.
func (s *session) assignPagedConn(o *operation) bool {
	cookie, paged := ldapmsg.PagedCookie(o.message.Controls)
	if !paged || o.message.Op != ldapmsg.SearchRequest {
		return true
	}
	o.paged = true
	if len(cookie) == 0 { // the first page
		return true
	}
	o.cookie = string(cookie)
	s.mu.Lock()
	o.requiredConn = s.pagedConns[o.cookie]
	delete(s.pagedConns, o.cookie)
	s.mu.Unlock()
	return o.requiredConn != nil && !o.requiredConn.isUnusable()
}

// submit enters an operation among the session's open ones, and submits it to the loop. timeLimit is the time limit
// in the client's request; 0: none.
func (s *session) submit(o *operation, timeLimit time.Duration) {
	p := s.protocol
	o.refs.Store(1)
	class := p.classOfKind[o.kind]
	wait := p.cfg.Settings.Classes[class].Deadline
	if timeLimit > 0 {
		wait = min(wait, timeLimit)
	}
	o.request = core.NewRequest(strconv.FormatUint(p.lastID.Add(1), 36), class, o.finish)
	o.request.Message = o
	o.request.Client = s.raw
	o.request.ClientID = s.number
	o.request.Remaining = wait - s.queuedFor
	o.request.Deadline = time.Now().Add(o.request.Remaining)
	if o.requiredConn != nil {
		o.request.OnlyServer = o.requiredConn.server
	}
	if !s.addOperation(o) {
		o.discard()
		return
	}
	if !p.loop.MayOpen(p.openOperations.Add(1), p.maxOpen.Load()) {
		o.finish(core.Answer{Refused: true})
		return
	}
	p.loop.Submit(o.request)
	p.mu.Lock()
	ended := p.loopEnded
	p.mu.Unlock()
	if ended { // the loop may have ended before it received this request
		o.request.Abort()
	}
}

// addOperation enters an operation among the open ones. It returns false if the client has disconnected, or if the
// Notice of Disconnection was sent: no response may follow the notice (RFC 4511, 4.4.1), so the operation must not be
// executed.
func (s *session) addOperation(o *operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noticeSent || s.closed {
		return false
	}
	s.operations[o.id] = o
	return true
}
