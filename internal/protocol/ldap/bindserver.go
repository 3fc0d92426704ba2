package ldap

import (
	"context"
	"errors"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// acquireBound returns a connection that is bound with the identity of the operation's client, and opens one if
// needed. If it can't, it returns nil and a result of the attempt, which indicates that the operation was not
// executed.
func (p *connPool) acquireBound(a *core.Attempt, o *operation) (*serverConn, decide.Result) {
	if o.requiredConn != nil { // the connection of a SASL bind or of a paged search
		p.mu.Lock()
		defer p.mu.Unlock()
		if o.requiredConn.closed || o.requiredConn.suspect || o.requiredConn.server != a.Server {
			return nil, decide.NotSent
		}
		o.requiredConn.users++
		o.requiredConn.exclusive = true
		return o.requiredConn, 0
	}
	bind := o.message.Op == ldapmsg.BindRequest
	identityKey := o.identity.keyOf()
	if bind {
		identityKey = noIdentity // a bind always gets a new connection
	}
	c, addr, err := p.acquire(a.Server, identityKey, bind || o.kind == kindSearch)
	if err == nil && c != nil {
		return c, 0
	}
	if err == nil && !a.MayDial() {
		p.mu.Lock()
		p.open-- // acquire counted the connection that was to be opened
		p.mu.Unlock()
		return nil, decide.NotSent
	}
	if err == nil {
		a.MarkDialed()
		c, err = p.connect(a.Context, a.Server, addr)
	}
	if err != nil {
		if errors.Is(err, core.ErrNoSocket) || errors.Is(err, errServerTLS) {
			if skipped, ok := p.notSentLog.Allow(); ok {
				p.log.Warn("attempt not sent", "error", err, "server", a.Server, "not_logged", skipped)
			}
		}
		if errors.Is(err, errMovedWhileDialling) {
			return nil, decide.Incomplete // the operation was not sent, and may be sent to another server
		}
		if errors.Is(err, errServerTLS) && !errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return nil, decide.Incomplete // a process accepted the connection before TLS failed
		}
		return nil, core.ResultOfConnectError(a.Context, err)
	}
	if bind || o.identity == nil {
		p.mu.Lock()
		c.exclusive = bind || o.kind == kindSearch
		p.mu.Unlock()
		return c, 0
	}
	if result := p.bindAs(a, c, o.identity); result != decide.OK {
		p.markSuspect(c)
		p.release(c)
		return nil, result
	}
	p.mu.Lock()
	c.exclusive = o.kind == kindSearch
	p.mu.Unlock()
	return c, 0
}

// bindAs binds a new connection with the credentials that a client's bind on another connection succeeded with. It
// sends only the BindRequest, and no part of the operation.
func (p *connPool) bindAs(a *core.Attempt, c *serverConn, ident *identity) decide.Result {
	encoded := ldapmsg.SimpleBind(1, ident.name, ident.password)
	defer clear(encoded)
	m, err := ldapmsg.Parse(encoded)
	if err != nil {
		return decide.Incomplete
	}
	k, err := c.startCall(a.Context, a, m.Op, m.Rest)
	var refused *sendRefusedError
	if errors.As(err, &refused) {
		return refused.reason.Result(a.Context)
	}
	if err != nil {
		return decide.Incomplete
	}
	defer close(k.abandoned)
	select {
	case got := <-k.messages:
		switch code, _ := got.Code(); code {
		case ldapmsg.Success:
			p.setIdentity(c, ident)
			return decide.OK
		case ldapmsg.InvalidCredentials:
			// Repeating the bind on one server after another could lock the account.
			ident.rejected.Store(true)
			p.log.Warn("a server does not take a bind that another took", "server", c.server)
		}
		return decide.Rejected // the operation was not sent
	case <-k.connEnded:
		return decide.Incomplete
	case <-a.Context.Done():
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled
		}
		return decide.Incomplete
	}
}
