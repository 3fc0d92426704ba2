package transport

import (
	"errors"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/policy"
)

// PolicyDriver is a daemon's part in the policy that the fleet agrees on. It outlasts a carrier that another of the same
// process replaces.
type PolicyDriver struct {
	node *policy.Node
	put  func(policy.Persist) // has something put on the disk; must not wait; Persisted tells
	tell func(s policy.Serving, base time.Time)

	mu   sync.Mutex
	done []policy.Event // that the disk has told, and nobody has taken
	at   atomic.Pointer[Transport]
}

// NewPolicyDriver returns one round a node. Put is called in order; tell with each word on what to serve by, whose times are
// after base. Neither may wait.
func NewPolicyDriver(n *policy.Node, put func(policy.Persist), tell func(s policy.Serving, base time.Time)) *PolicyDriver {
	return &PolicyDriver{node: n, put: put, tell: tell}
}

// Persisted is the disk's word on what was put.
func (a *PolicyDriver) Persisted(seq uint64, err error) {
	a.mu.Lock()
	a.done = append(a.done, policy.Persisted{Seq: seq, Err: err})
	a.mu.Unlock()
	if c := a.at.Load(); c != nil {
		c.share(agreementDue{})
	}
}

type agreementDue struct{}

// policyPacket is a message about the policy, in a datagram or on a stream of its own.
type policyPacket struct {
	From    string          `cbor:"1,keyasint,omitempty"`
	Message *policy.Message `cbor:"2,keyasint,omitempty"`
}

// agreeing drives an agreement. The carrier's loop owns it.
type agreeing struct {
	c       *Transport
	a       *PolicyDriver // nil: none is agreed on
	members time.Duration
	sent    uint64
	bytes   uint64
	lost    uint64
	streams chan struct{}
	began   bool
}

// MaxPolicyStreams are open at a time, towards others.
const MaxPolicyStreams = 16

func newAgreeing(c *Transport) *agreeing {
	g := &agreeing{c: c, a: c.options.PolicyDriver, members: -time.Hour, streams: make(chan struct{}, MaxPolicyStreams)}
	if g.a != nil {
		g.a.at.Store(c)
	}
	return g
}

func (g *agreeing) next() time.Duration {
	if g.a == nil {
		return math.MaxInt64
	}
	return g.a.node.Next()
}

func (g *agreeing) due(now time.Duration) {
	if g.a == nil || g.c.frozen.Load() {
		return
	}
	g.a.mu.Lock()
	done := g.a.done
	g.a.done = nil
	g.a.mu.Unlock()
	if len(done) > 0 || now >= g.a.node.Next() || !g.began {
		g.step(now, done...)
	}
}

// take takes what is for it. It reports whether that was so.
func (g *agreeing) take(now time.Duration, x any) bool {
	switch x := x.(type) {
	case *policyPacket:
		if g.a != nil {
			g.step(now, policy.Received{From: x.From, Message: x.Message})
		}
	case agreementDue:
		g.due(now)
	default:
		return false
	}
	return true
}

func (g *agreeing) step(now time.Duration, events ...policy.Event) {
	if g.a == nil || g.c.frozen.Load() {
		return
	}
	g.began = true
	if now-g.members >= namesEvery {
		g.members = now
		var all []policy.MemberInfo
		for _, r := range g.c.view.Members() {
			all = append(all, policy.MemberInfo{Name: r.Name, RunID: r.RunID, Departed: r.State == membership.Left})
		}
		events = append([]policy.Event{policy.MembersChanged{Members: all}, policy.NameOwnership{Exclusive: g.c.view.OwnsName()}}, events...)
	}
	for _, x := range g.a.node.Step(now, events...) {
		switch x := x.(type) {
		case policy.Send:
			g.send(x)
		case policy.Persist:
			g.a.put(x)
		case policy.ServingChanged:
			g.note(x.Serving)
			g.a.tell(x.Serving, g.c.base)
		case policy.Log:
			if x.Error {
				g.c.log.Error("fleet: " + x.Text)
			} else {
				g.c.log.Info("fleet: " + x.Text)
			}
		}
	}
}

// handed is what a process needs that takes this one's place.
func (g *agreeing) handed() *policy.HandoffState {
	if g.a == nil {
		return nil
	}
	return g.a.node.HandoffState(g.c.now())
}

// PolicyDriver is this carrier's, for one that takes its place in this process.
func (c *Transport) PolicyDriver() *PolicyDriver { return c.options.PolicyDriver }

// note writes what it serves by, for drills.
func (g *agreeing) note(s policy.Serving) {
	e := eventLine{Kind: "policy", State: "serves", Reason: s.Blocked}
	switch {
	case s.Blocked != "":
		e.State = "holds"
	case s.Standalone:
		e.State = "alone"
	case len(s.Preparing) > 0:
		e.State = "both"
	}
	if s.Document != nil {
		e.Number, e.ID = s.Document.Number, s.Document.ID
	}
	g.c.events.put(e)
}

// PolicySize is how many bytes a message about the policy has on its way, UDP's and TCP's own apart.
func PolicySize(fleet, from string, m *policy.Message) int {
	data, err := encodeEnvelope(policyFormat, fleet, &policyPacket{From: from, Message: m})
	if err != nil {
		return 0
	}
	return len(data)
}

// send sends a message where the view last knew its member to be: what is small as a datagram, the rest on a stream of
// its own. What is lost comes again.
func (g *agreeing) send(s policy.Send) {
	p := &policyPacket{From: g.c.options.Membership.Name, Message: s.Message}
	if s.To == p.From { // it comes back as anybody's would
		g.c.share(p)
		return
	}
	to, err := netip.ParseAddrPort(g.c.view.Addr(s.To))
	if err != nil {
		g.lost++
		return
	}
	data, err := encodeEnvelope(policyFormat, g.c.options.Fleet, p)
	if err != nil || len(data) > maxStreamBytes {
		g.lost++
		return
	}
	if !s.Message.Large() && len(data) <= maxDatagramBytes {
		g.sent++
		g.bytes += uint64(len(data))
		_, _ = g.c.options.UDP.WriteToUDPAddrPort(data, to)
		return
	}
	select {
	case g.streams <- struct{}{}:
	default:
		g.lost++
		return
	}
	g.sent++
	g.bytes += uint64(len(data))
	go func() {
		defer func() { <-g.streams }()
		_ = g.c.deliver(to.String(), data)
	}()
}

// deliver puts one message on a stream, and waits until the other has taken it.
func (c *Transport) deliver(to string, data []byte) error {
	from := *c.options.TCP.Addr().(*net.TCPAddr)
	from.Port = 0
	d := net.Dialer{Timeout: streamTime, LocalAddr: &from, KeepAlive: -1}
	if from.IP.IsUnspecified() {
		d.LocalAddr = nil
	}
	conn, err := d.Dial("tcp", to)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	if err := writeFrame(conn, data); err != nil {
		return err
	}
	var one [1]byte
	_, err = conn.Read(one[:]) // its end says that it has read all
	return err
}

// heardPolicy takes a message about the policy from a stream or a datagram.
func (c *Transport) heardPolicy(data []byte) error {
	p := &policyPacket{}
	if err := decodeEnvelope(policyFormat, c.options.Fleet, data, p); err != nil {
		c.refuse(err)
		return err
	}
	if p.From == "" || p.Message == nil || p.From == c.options.Membership.Name {
		return ErrMalformed
	}
	c.share(p)
	return nil
}

// ErrNoPolicy says that this daemon agrees on no policy, or does not answer.
var ErrNoPolicy = errors.New("this daemon agrees on no policy with others ([policy] is not in its file), or does not answer")

// Policy has f run with the node on the loop, and does what comes of events that f returns.
func (c *Transport) Policy(f func(n *policy.Node, now time.Duration) []policy.Event) error {
	if c.options.PolicyDriver == nil {
		return ErrNoPolicy
	}
	if !c.do(func() {
		if events := f(c.agreeing.a.node, c.now()); len(events) > 0 {
			c.agreeing.step(c.now(), events...)
		}
	}) {
		return ErrNoPolicy
	}
	return nil
}
