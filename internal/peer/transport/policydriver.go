package transport

import (
	"errors"
	"io"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/policy"
)

// PolicyDriver is a daemon's node of the replicated policy with its callbacks. It stays in use when a new Transport
// of the same process replaces the current one.
type PolicyDriver struct {
	node           *policy.Node
	persist        func(policy.Persist)
	servingChanged func(s policy.Serving, base time.Time)

	mu        sync.Mutex
	persisted []policy.Event            // results of disk writes that the loop has not taken; guarded by mu
	transport atomic.Pointer[Transport] // the current one
}

// NewPolicyDriver returns a driver of a node. persist is called in order, and its results are reported through
// Persisted. servingChanged is called with each change of the documents to serve by; their times count from base.
// Both are called by the transport's loop and must not block.
func NewPolicyDriver(n *policy.Node, persist func(policy.Persist), servingChanged func(s policy.Serving, base time.Time)) *PolicyDriver {
	return &PolicyDriver{node: n, persist: persist, servingChanged: servingChanged}
}

// Persisted reports the result of writing one policy.Persist to the disk. Any goroutine may call it; it does not wait.
func (d *PolicyDriver) Persisted(seq uint64, err error) {
	d.mu.Lock()
	d.persisted = append(d.persisted, policy.Persisted{Seq: seq, Err: err})
	d.mu.Unlock()
	if tr := d.transport.Load(); tr != nil {
		tr.offer(policyPersisted{})
	}
}

// takePersisted returns and clears the results that have not been taken yet.
func (d *PolicyDriver) takePersisted() []policy.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	events := d.persisted
	d.persisted = nil
	return events
}

// policyPersisted signals to the loop that the driver has results of disk writes.
type policyPersisted struct{}

// policyPacket is a message about the policy, sent in a datagram or on a separate stream.
type policyPacket struct {
	From    string          `cbor:"1,keyasint,omitempty"`
	Message *policy.Message `cbor:"2,keyasint,omitempty"`
}

// policyLink connects a PolicyDriver to one Transport, whose loop owns it.
type policyLink struct {
	tr          *Transport
	driver      *PolicyDriver // nil: there is no policy
	started     bool
	membersAt   time.Duration // when the membership was last passed on
	messages    atomic.Uint64 // messages sent
	bytes       atomic.Uint64 // bytes of these messages
	unsent      atomic.Uint64 // messages not sent: no address or stream, too large, not encodable, or not read
	streamSlots chan struct{} // holds an element for each open stream to another member
}

// MaxPolicyStreams is the maximum number of streams to other members that are open at a time. Further messages are not
// sent; the protocol repeats them.
const MaxPolicyStreams = 16

func newPolicyLink(tr *Transport) *policyLink {
	l := &policyLink{
		tr:          tr,
		driver:      tr.options.PolicyDriver,
		membersAt:   -time.Hour,
		streamSlots: make(chan struct{}, MaxPolicyStreams),
	}
	if l.driver != nil {
		l.driver.transport.Store(tr)
	}
	return l
}

// next returns the time at which runDue is due.
func (l *policyLink) next() time.Duration {
	if l.driver == nil {
		return math.MaxInt64
	}
	return l.driver.node.Next()
}

func (l *policyLink) runDue(now time.Duration) {
	if l.driver == nil || l.tr.frozen.Load() {
		return
	}
	persisted := l.driver.takePersisted()
	if len(persisted) > 0 || now >= l.driver.node.Next() || !l.started {
		l.step(now, persisted...)
	}
}

func (l *policyLink) handlePacket(now time.Duration, p *policyPacket) {
	if l.driver != nil {
		l.step(now, policy.Received{From: p.From, Message: p.Message})
	}
}

// step steps the node, and executes its actions. If the membership is due to be passed on, it is the first event.
func (l *policyLink) step(now time.Duration, events ...policy.Event) {
	if l.driver == nil || l.tr.frozen.Load() {
		return
	}
	l.started = true
	if now-l.membersAt >= membersInterval {
		l.membersAt = now
		ownership := policy.NameOwnership{Exclusive: l.tr.view.OwnsName()}
		events = append([]policy.Event{l.membersChanged(), ownership}, events...)
	}
	for _, a := range l.driver.node.Step(now, events...) {
		switch a := a.(type) {
		case policy.Send:
			l.send(a)
		case policy.Persist:
			l.driver.persist(a)
		case policy.ServingChanged:
			l.writeEvent(a.Serving)
			l.driver.servingChanged(a.Serving, l.tr.base)
		case policy.Log:
			l.log(a)
		}
	}
}

func (l *policyLink) membersChanged() policy.MembersChanged {
	var members []policy.MemberInfo
	for _, r := range l.tr.view.Members() {
		members = append(members, policy.MemberInfo{Name: r.Name, RunID: r.RunID, Departed: r.State == membership.Left})
	}
	return policy.MembersChanged{Members: members}
}

func (l *policyLink) log(a policy.Log) {
	if a.Error {
		l.tr.log.Error("fleet: " + a.Text)
	} else {
		l.tr.log.Info("fleet: " + a.Text)
	}
}

// handoffState returns the state from which a successor continues, or nil if there is no policy.
func (l *policyLink) handoffState() *policy.HandoffState {
	if l.driver == nil {
		return nil
	}
	return l.driver.node.HandoffState(l.tr.now())
}

// The states of event lines about the policy.
const (
	eventServing    = "serves"
	eventBlocked    = "holds"
	eventStandalone = "alone"
	eventPreparing  = "both"
)

// writeEvent writes an event line about the documents that the daemon serves by.
func (l *policyLink) writeEvent(s policy.Serving) {
	line := eventLine{Kind: "policy", State: eventServing, Reason: s.Blocked}
	switch {
	case s.Blocked != "":
		line.State = eventBlocked
	case s.Standalone:
		line.State = eventStandalone
	case len(s.Preparing) > 0:
		line.State = eventPreparing
	}
	if s.Document != nil {
		line.Number = s.Document.Number
		line.ID = s.Document.ID
	}
	l.tr.eventLog.write(line)
}

// send sends a message to a member at its last address in the view: a small message in a datagram, a large one on a
// separate stream. The protocol repeats lost messages.
func (l *policyLink) send(s policy.Send) {
	p := &policyPacket{From: l.tr.options.Membership.Name, Message: s.Message}
	if s.To == p.From { // a message to this member itself is queued like those of other members
		l.tr.offer(p)
		return
	}
	to, err := netip.ParseAddrPort(l.tr.view.Addr(s.To))
	if err != nil {
		l.unsent.Add(1)
		return
	}
	data, err := encodeEnvelope(policyFormat, l.tr.options.Fleet, p)
	if err != nil || len(data) > maxStreamBytes {
		l.unsent.Add(1)
		return
	}
	if !s.Message.Large() && len(data) <= maxDatagramBytes {
		l.countSent(data)
		_, _ = l.tr.options.UDP.WriteToUDPAddrPort(data, to)
		return
	}
	l.sendOnStream(to, data)
}

func (l *policyLink) countSent(data []byte) {
	l.messages.Add(1)
	l.bytes.Add(uint64(len(data)))
}

// sendOnStream sends a message on a stream in a separate goroutine, which ends with Run. The message counts as sent
// once the other member has read it.
func (l *policyLink) sendOnStream(to netip.AddrPort, data []byte) {
	select {
	case l.streamSlots <- struct{}{}:
	default:
		l.unsent.Add(1)
		return
	}
	running := l.tr.running
	l.tr.runInBackground(func() {
		defer func() { <-l.streamSlots }()
		if err := l.tr.sendOnStream(running, to.String(), data); err != nil && !errors.Is(err, io.EOF) {
			l.unsent.Add(1)
			return
		}
		l.countSent(data)
	})
}

// handlePolicyMessage decodes a message about the policy from a stream or a datagram, and queues it for the loop.
func (tr *Transport) handlePolicyMessage(data []byte) {
	p := &policyPacket{}
	if err := decodeEnvelope(policyFormat, tr.options.Fleet, data, p); err != nil {
		tr.reject(err)
		return
	}
	if p.From == "" || p.Message == nil || p.From == tr.options.Membership.Name {
		tr.reject(ErrMalformed)
		return
	}
	tr.offer(p)
}

// PolicySize returns the encoded size of a message about the policy in bytes, without the headers of UDP and TCP; 0
// if the message cannot be encoded.
func PolicySize(fleet, from string, m *policy.Message) int {
	data, err := encodeEnvelope(policyFormat, fleet, &policyPacket{From: from, Message: m})
	if err != nil {
		return 0
	}
	return len(data)
}

// ErrNoPolicy is returned if this daemon does not take part in a replicated policy or its loop does not respond.
var ErrNoPolicy = errors.New(
	"this daemon takes part in no replicated policy ([policy] is not in its file), or does not respond")

// PolicyDriver returns the driver for the Transport that replaces this one in its process, or nil if there is no
// policy.
func (tr *Transport) PolicyDriver() *PolicyDriver { return tr.options.PolicyDriver }

// Policy runs f with the node on the loop, and steps the node with the events that f returns. Its only error is
// ErrNoPolicy.
func (tr *Transport) Policy(f func(n *policy.Node, now time.Duration) []policy.Event) error {
	if tr.options.PolicyDriver == nil {
		return ErrNoPolicy
	}
	ran := tr.do(func() {
		if events := f(tr.policy.driver.node, tr.now()); len(events) > 0 {
			tr.policy.step(tr.now(), events...)
		}
	})
	if !ran {
		return ErrNoPolicy
	}
	return nil
}
