package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Node is one member's part in the fleet's policy, and its part in the log where it votes. One goroutine owns it.
type Node struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	actions []Action
	began   bool
	disk    *StoredState // until the first step

	m member
	v *voter

	seq     uint64   // of what goes to the disk
	voters  []string // as they are known here
	names   map[uint64]string
	epoch   uint64 // of the voters: grows with each rescue
	epochAt time.Duration
	who     map[string]MemberInfo
	stats   Stats
}

// Stats are of a node's life.
type Stats struct {
	Sent          uint64 `json:"Sent"`
	LeaseRequests uint64 `json:"Asked"`
	Persisted     uint64 `json:"Persisted"`
}

// New returns a node as its disk has it.
func New(s Settings, d StoredState, seed uint64) (*Node, error) {
	if err := s.fill(); err != nil {
		return nil, err
	}
	n := &Node{s: s, rng: rand.New(rand.NewPCG(seed, s.RunID)), disk: &d, names: map[uint64]string{}, who: map[string]MemberInfo{}}
	n.m = member{n: n, asked: map[uint64]time.Duration{}, texts: map[string]Document{}, sure: map[string]time.Duration{}, nays: map[string]string{}, fetching: map[string]time.Duration{}, need: map[string]DocumentRef{}, want: n.s.Parts}
	n.learnVoters(s.Voters)
	if d.Member != nil {
		var saved savedMember
		if err := decoding.Unmarshal(d.Member, &saved); err != nil {
			return nil, fmt.Errorf("policy: the member's part on the disk: %w", err)
		}
		if saved.Form > FormatVersion {
			return nil, fmt.Errorf("policy: the member's part on the disk has form %d, and this build knows 1 to %d", saved.Form, FormatVersion)
		}
		n.m.force, n.m.prepared, n.epoch, n.m.upto = saved.Force, saved.changes(), saved.Epoch, saved.Upto
		if saved.Holds != sumOf(n.s.Parts) { // its file has other services now
			n.m.upto = 0
		}
		for _, d := range saved.Texts {
			n.m.texts[d.Part] = d
		}
		if len(saved.Voters) > 0 {
			n.learnVoters(saved.Voters)
		}
	}
	return n, nil
}

// start is the first step.
func (n *Node) start() {
	d := n.disk
	n.began, n.disk = true, nil
	n.m.began, n.m.askAt = n.now, n.now
	n.m.forget()
	before := n.m.prepared
	n.m.prepared = nil
	for _, p := range before {
		if err := n.m.check(p); err != nil { // another build or another file: what it agreed to it can't any more
			n.m.nays[p.ID] = err.Error()
		} else {
			n.m.prepared, n.m.sure[p.ID] = append(n.m.prepared, p), n.now
		}
	}
	if n.epoch > 0 && n.m.upto == 0 { // it ended before it knew what a rescue had given up
		n.epochAt = max(1, n.now)
	}
	if h := n.s.Handoff; h != nil && h.Number == n.m.force.Number { // its requests go on
		n.m.joined, n.m.ever, n.m.lease, n.m.seq, n.m.last = true, true, n.now+h.LeaseRemaining, h.Seq+1, h.Seq
		n.m.held = h.ServedParts(n.m.want, n.m.text)
	}
	if d.Snapshot != nil || d.Member == nil && slices.Contains(n.s.Voters, n.s.Name) {
		v, err := newVoter(n, d, false)
		if err != nil {
			n.say(true, "%v; this member takes no part in the vote", err)
			return
		}
		n.epoch = max(n.epoch, d.Epoch)
		n.v = v
	}
}

// Next is when Step is to be called at the latest.
func (n *Node) Next() time.Duration {
	if !n.began {
		return 0
	}
	next := n.m.next()
	if n.v != nil {
		next = min(next, n.v.next())
	}
	return max(next, n.now+time.Millisecond)
}

// Step takes what has happened by now, in order, and returns what to do.
func (n *Node) Step(now time.Duration, events ...Event) []Action {
	n.now, n.actions = max(now, n.now), nil
	if !n.began {
		n.start()
	}
	for _, e := range events {
		switch e := e.(type) {
		case Received:
			n.heard(e.From, e.Message)
		case Persisted:
			n.m.persisted(e.Seq, e.Err)
			if n.v != nil {
				n.v.persisted(e.Seq, e.Err)
			}
		case MembersChanged:
			n.who = make(map[string]MemberInfo, len(e.All))
			for _, w := range e.All {
				n.who[w.Name] = w
			}
		case Propose:
			n.m.propose(e.Change)
		case WatchChange:
			n.m.watch(e.ID)
		case ReplaceVoter:
			n.replace(&e, 0)
		case Rescue:
			n.rescue()
		case Trust:
			if n.v != nil && n.v.rn == nil {
				n.v.trust = true
				n.v.heard()
			}
		case RenewNow:
			n.m.askAt = n.now
		case SetParts:
			n.m.hold(e.Parts)
		case History:
			n.m.past = nil
			n.send(n.m.voter(), &Message{History: &e})
		case NameOwnership:
			if n.m.free != e.Exclusive {
				n.m.free = e.Exclusive
				n.m.soon()
			}
		}
	}
	if n.v != nil {
		n.v.due()
	}
	n.m.due()
	return n.actions
}

func (n *Node) do(a Action) { n.actions = append(n.actions, a) }

func (n *Node) say(bad bool, format string, args ...any) {
	n.do(Log{fmt.Sprintf(format, args...), bad})
}

func (n *Node) persist(b Batch) uint64 {
	n.seq++
	n.stats.Persisted++
	n.do(Persist{n.seq, b})
	return n.seq
}

// send sends a message. To itself it goes as well: the daemon brings it back.
func (n *Node) send(to string, m *Message) {
	if to == "" {
		return
	}
	m.Epoch = n.epoch
	n.stats.Sent++
	n.do(Send{to, m})
}

// learnVoters takes note of who votes.
func (n *Node) learnVoters(all []string) {
	if len(all) > 0 {
		n.voters = slices.Clone(all)
	}
	for _, v := range all {
		n.names[idOf(v)] = v
	}
}

// viewHas reports whether the view knows a member by this life.
func (n *Node) viewHas(name string, life uint64) bool { return n.who[name].RunID == life }

// heard takes a message of another.
func (n *Node) heard(from string, m *Message) {
	if m == nil || from == "" {
		return
	}
	switch {
	case m.Epoch < n.epoch: // it does not know of a rescue
		if m.Raft != nil || m.PositionRequest != nil || m.LeaseResponse != nil {
			n.send(from, &Message{Notify: true})
			return
		}
	case m.Epoch > n.epoch:
		n.epoch, n.epochAt = m.Epoch, max(1, n.now)
		n.m.rescued()
		if n.v != nil && n.v.epoch < m.Epoch {
			n.retire("an operator has gone on without it (rescue)")
		}
		n.m.soon()
	}
	n.names[idOf(from)] = from
	switch {
	case m.Raft != nil:
		if n.v == nil && slices.Contains(n.voters, n.s.Name) || n.v == nil && m.Epoch == n.epoch {
			n.taken(from, m.Raft)
		}
		if n.v != nil {
			n.v.step(from, m.Raft)
		}
	case m.LeaseRequest != nil:
		n.asked(from, m)
	case m.LeaseResponse != nil && m.To != "" && m.To != n.s.Name:
		if m.Hops < 2 {
			n.send(m.To, &Message{LeaseResponse: m.LeaseResponse, Hops: m.Hops + 1})
		}
	case m.LeaseResponse != nil:
		n.m.answered(from, m.LeaseResponse)
	case m.Notify:
		n.m.soon()
	case m.PositionRequest != nil:
		if n.v != nil {
			n.v.called(from, m.PositionRequest)
		}
	case m.PositionResponse != nil:
		if v := n.v; v != nil && v.rn == nil && m.PositionResponse.Number == v.call {
			v.said[from] = m.PositionResponse
			v.heard()
		}
	case m.Fetch != "":
		if n.v != nil {
			if d := n.v.state.doc(m.Fetch, n.v.state.wants(from, m.Parts)); d != nil {
				n.send(from, &Message{Document: d})
			}
		}
	case m.Document != nil:
		n.m.got(m.Document)
	case m.Proposal != nil:
		n.change(m)
	case m.ReplaceVoter != nil:
		n.replace(m.ReplaceVoter, m.Hops)
	case m.History != nil && m.History.IsResponse:
		n.m.past = m.History
	case m.History != nil:
		if n.v != nil {
			p := n.v.state.past(m.History.Part, m.History.Number)
			n.send(from, &Message{History: p})
		}
	}
}

// asked takes a member's question, or passes it on to the leader.
func (n *Node) asked(from string, m *Message) {
	v, a := n.v, m.LeaseRequest
	if v == nil || v.rn == nil || a.Name == "" {
		return
	}
	if from != a.Name && from != a.Through {
		return
	}
	n.stats.LeaseRequests++
	if v.leads() {
		if v.lead.term > 0 {
			v.lead.ask(v, question{a, from})
		}
		return
	}
	if to := v.leader(); to != "" && to != n.s.Name && a.Through == "" {
		b := *a
		b.Through = n.s.Name
		n.send(to, &Message{LeaseRequest: &b})
	}
}

// change takes a change, or passes it on to the leader.
func (n *Node) change(m *Message) {
	v, p := n.v, m.Proposal
	if v == nil || v.rn == nil || p.Check() != nil {
		return
	}
	if !v.leads() {
		if to := v.leader(); to != "" && m.Hops == 0 {
			n.send(to, &Message{Proposal: p, Hops: 1})
		}
		return
	}
	if p.Drop != "" {
		v.lead.drop(v, p)
		return
	}
	if v.state.fate(p.Document.ID).State == Unknown && !v.waits(p.Document.ID) {
		d := p.Document
		if !d.plain() && v.state.Form < FormatVersion {
			if v.lead.raise(v) { // its author offers it again
				return
			}
			v.propose(&command{Do: doDrop, ID: d.ID, By: n.s.Name, Why: "services have no parts yet: not all voters have been heard to be of this version"})
			return
		}
		d.Number = 0
		v.propose(&command{Do: doPropose, Doc: &d, Base: p.Base, Without: p.Without, Bases: p.Bases})
	}
}

// replace changes the voters, or passes that on to the leader.
func (n *Node) replace(r *ReplaceVoter, hops int) {
	switch {
	case n.v != nil && n.v.leads():
		if err := n.v.replace(r); err != nil {
			n.say(true, "voters: %v", err)
		}
		return
	case hops > 2:
		return
	case n.v != nil && n.v.leader() != "":
		n.send(n.v.leader(), &Message{ReplaceVoter: r, Hops: hops + 1})
	default:
		n.send(n.m.leaderOrAny(), &Message{ReplaceVoter: r, Hops: hops + 1})
	}
}

// taken makes this member a voter, since the leader sends it the log.
func (n *Node) taken(from string, data []byte) {
	v, err := newVoter(n, &StoredState{}, true)
	if err != nil {
		n.say(true, "%v", err)
		return
	}
	n.v = v
	n.send(from, &Message{PositionRequest: &PositionRequest{Number: v.call}}) // should it have voted before, and lost its disk
	n.say(false, "this member votes from now on: %s has sent it the log", from)
}

// retire makes this member one that does not vote.
func (n *Node) retire(why string) {
	n.v = nil
	n.persist(Batch{Wipe: true})
	n.say(true, "this member votes no more: %s", why)
}

// rescue goes on with this voter alone.
func (n *Node) rescue() {
	if n.v == nil {
		n.say(true, "rescue: this member has no part of the log")
		return
	}
	if err := n.v.rescue(n.epoch + 1); err != nil {
		n.say(true, "rescue: %v", err)
		return
	}
	n.epoch++
	n.epochAt = max(1, n.now)
	n.m.rescued()
	n.say(true, "an operator has had this voter go on alone (rescue %d): what only the others knew is given up; in force is policy %d (%s) and the texts of %d services", n.epoch, n.v.state.Force.Number, n.v.state.Force.ID, len(n.v.state.Parts))
}
