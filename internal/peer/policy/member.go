package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// member is what every one of the fleet does: it knows the policy in force, keeps a change that is under way, asks the
// leader whether it may go on, and says what its daemon is to serve by.
//
// By what it may take requests, by its own clock:
//   - not before the leader has told this life that it is in the roster, and by which policy;
//   - with Stops: until Lease after it asked, each time that it is told so;
//   - else: without end, but not while it has a change on its disk of which it does not know what became. Then until
//     Lease after it asked, and from then on only by what all allow: nobody else's change of these parts can come between,
//     since each needs this member;
//   - by a service's part only if the roster has it that this member holds it: else it is not waited for.
type member struct {
	n        *Node
	force    Document                 // the part ""
	texts    map[string]Document      // the others that have a text in force
	upto     uint64                   // it knows all that came into force up to this Order; 0: nothing
	want     []string                 // parts that it is to hold, besides "", in order
	held     []string                 // those that the roster has for it, and whose text in force is here if they have one
	holds    uint64                   // the sum of those that the roster has for it, by the last answer
	asks     bool                     // that answer said that the roster has none, and wants them
	prepared []*Document              // changes: on the disk, and this member can serve by them
	sure     map[string]time.Duration // since when they are there
	nays     map[string]string        // changes that it can't serve by, and why
	need     map[string]DocumentRef   // in force by the last answer, and not here, by part

	saving  uint64      // number of what is being put on the disk; 0: nothing
	wanted  []*Document // the changes that are in it for the first time
	ready   []*Document // those that go there next
	apart   []*Document // in force, and this member can't serve by them without others that it has not yet
	dirty   bool        // the disk has another policy in force than this member
	dirtyAt time.Duration

	free    bool // the process has its name for itself
	joined  bool // in the roster, as the last answer said
	ever    bool // in this life
	lease   time.Duration
	began   time.Duration
	told    Serving
	refused string

	seq      uint64
	asked    map[uint64]time.Duration
	last     uint64 // the latest question that was answered
	heardAt  time.Duration
	askAt    time.Duration
	askedAt  time.Duration
	to       int // the voter that is asked
	leader   string
	via      string // the voter through which the last answer came, if not from the leader
	avoid    string // a leader that did not answer, until ...
	avoidTo  time.Duration
	asksTo   string
	fetching map[string]time.Duration // changes whose texts were asked for, and when
	about    []watched
	changes  []*change
	tries    int // questions since the last answer
	past     *History
	turn     int
}

// watched is a change of which somebody would know what becomes of it.
type watched struct {
	fate  ChangeStatus
	until time.Duration
}

// change is one that this member's operators ask for.
type change struct {
	p    Proposal
	at   time.Duration // it is sent again then
	ends time.Duration
}

// savedMember is what the disk has of a member.
type savedMember struct {
	Force    Document    `cbor:"1,keyasint,omitempty"`
	Prepared *Document   `cbor:"2,keyasint,omitempty"`
	Voters   []string    `cbor:"3,keyasint,omitempty"`
	Epoch    uint64      `cbor:"4,keyasint,omitempty"`
	Texts    []Document  `cbor:"5,keyasint,omitempty"` // from form 2 on, as what follows
	More     []*Document `cbor:"6,keyasint,omitempty"` // prepared besides
	Upto     uint64      `cbor:"7,keyasint,omitempty"`
	Form     uint8       `cbor:"8,keyasint,omitempty"`
	Holds    uint64      `cbor:"9,keyasint,omitempty"` // the sum of the parts of which Upto tells
}

// changes are those that are prepared.
func (s *savedMember) changes() []*Document {
	if s.Prepared == nil {
		return s.More
	}
	return append([]*Document{s.Prepared}, s.More...)
}

const (
	askSoon   = 200 * time.Millisecond // between two questions of one that needs an answer
	askLeast  = 10 * time.Millisecond
	askLasts  = 3 * time.Second // an answer later than that is not waited for
	fetchWait = 300 * time.Millisecond
	watchFor  = 10 * time.Minute
	avoidFor  = 5 * time.Second
	offerFor  = 30 * time.Second // a change is offered to the voters for so long
	offerWait = 700 * time.Millisecond
	watchMost = 64
	aboutMost = 8
)

// due does what is due.
func (m *member) due() {
	n := m.n
	if m.dirty && m.saving == 0 && n.now >= m.dirtyAt {
		m.save()
	}
	if n.now >= m.askAt {
		m.ask()
	}
	for _, c := range m.changes {
		if n.now >= c.ends && c.p.Drop == "" { // nobody has answered: it is not to come into force at some later time
			c.p = Proposal{Drop: c.p.Document.ID, Document: Document{Author: n.s.Name, Reason: "it did not reach the voters within " + offerFor.String()}}
			c.ends = n.now + watchFor
		}
		if n.now >= c.at && n.now < c.ends {
			m.offer(c)
		}
	}
	m.changes = slices.DeleteFunc(m.changes, func(c *change) bool { return n.now >= c.ends })
	m.about = slices.DeleteFunc(m.about, func(w watched) bool { return n.now >= w.until })
	m.serve()
}

// next is when due is to be called at the latest.
func (m *member) next() time.Duration {
	at := m.askAt
	if m.dirty && m.saving == 0 {
		at = min(at, m.dirtyAt)
	}
	for _, c := range m.changes {
		at = min(at, c.at)
	}
	if u := m.told.Until; u > m.n.now {
		at = min(at, u)
	}
	if !m.ever && m.n.s.ServeLastKnown {
		at = min(at, m.aloneAt())
	}
	return at
}

func (m *member) aloneAt() time.Duration { return m.began + m.n.s.StandaloneAfter }

// serve says what the daemon is to serve by, where that has changed.
func (m *member) serve() {
	n := m.n
	s := Serving{Document: &m.force}
	switch {
	case !m.ever && n.s.ServeLastKnown && n.now >= m.aloneAt():
		s.Until, s.Standalone, s.Preparing, s.ServedParts = Never, true, m.prepared, m.want
	case !m.ever:
		s.Blocked = "the policy in force is not known yet: no voter has answered"
		if m.refused != "" {
			s.Blocked = m.refused
		}
	case !m.joined:
		s.Blocked = "this process is not in the fleet's roster: the policy in force has changed, or is being changed, without it"
		if m.refused != "" {
			s.Blocked = m.refused
		}
	case !n.s.StopWhenIsolated && len(m.prepared) == 0:
		s.Until = Never
	case n.now < m.lease:
		s.Until = m.lease
	case !n.s.StopWhenIsolated:
		s.Until, s.Preparing = Never, m.prepared
	default:
		s.Blocked = "no voter has answered for " + n.s.Lease.String() + ": the policy may change without this member"
	}
	if s.Blocked == "" && !s.Standalone {
		s.ServedParts = m.held
	}
	doc := m.force
	s.Document, s.Parts, s.Preparing = &doc, m.inForceParts(), slices.Clone(s.Preparing)
	if m.told.Document != nil && m.told.same(&s) {
		return
	}
	m.told = s
	n.do(ServingChanged{s})
}

// same reports whether two words say the same.
func (s *Serving) same(o *Serving) bool {
	same := func(a, b Document) bool { return a.Part == b.Part && a.Number == b.Number && a.ID == b.ID }
	return same(*s.Document, *o.Document) && slices.EqualFunc(s.Parts, o.Parts, same) && slices.Equal(idsOf(s.Preparing), idsOf(o.Preparing)) && slices.Equal(s.ServedParts, o.ServedParts) &&
		s.Until == o.Until && s.Standalone == o.Standalone && s.Blocked == o.Blocked
}

// Fingerprint tells by which texts it serves, and by what besides: two that are the same have the same.
func (s *Serving) Fingerprint() string {
	var b strings.Builder
	if s.Document != nil {
		fmt.Fprintf(&b, "%d %s", s.Document.Number, s.Document.ID)
	}
	for i := range s.Parts {
		fmt.Fprintf(&b, ", %s %d %s", s.Parts[i].Part, s.Parts[i].Number, s.Parts[i].ID)
	}
	for _, d := range s.Preparing {
		fmt.Fprintf(&b, " and %s", d.ID)
	}
	return b.String()
}

// Lookup is the text by which a part is served, and whether it may be.
func (s *Serving) Lookup(part string) (d *Document, held bool) {
	if part == "" {
		return s.Document, true
	}
	held = slices.Contains(s.ServedParts, part)
	if i := slices.IndexFunc(s.Parts, func(x Document) bool { return x.Part == part }); i >= 0 {
		return &s.Parts[i], held
	}
	return &Document{Part: part}, held
}

// PreparingChange is the change that may be in force in place of a part's text; nil: none.
func (s *Serving) PreparingChange(part string) *Document {
	if i := slices.IndexFunc(s.Preparing, func(d *Document) bool { return d.Includes(part) }); i >= 0 {
		return s.Preparing[i]
	}
	return nil
}

func idsOf(all []*Document) []string {
	var ids []string
	for _, d := range all {
		ids = append(ids, d.ID)
	}
	return ids
}

// text is a part's text in force here; Number 0: it has none.
func (m *member) text(part string) Document {
	if part == "" {
		return m.force
	}
	if d, ok := m.texts[part]; ok {
		return d
	}
	return Document{Part: part}
}

// inForceParts are the texts in force but that for all, by name.
func (m *member) inForceParts() []Document {
	var all []Document
	for _, p := range sorted(m.texts) {
		all = append(all, m.texts[p])
	}
	return all
}

// hold takes note of what it is to hold from now on.
func (m *member) hold(parts []string) {
	want, err := partsOf(parts)
	if err != nil {
		m.n.say(true, "%v", err)
		return
	}
	if slices.Equal(want, m.want) {
		return
	}
	m.want, m.upto = want, 0 // what is in force is learnt of all parts, also of those that are new here
	clear(m.asked)           // answers that are on their way were made by the parts of before
	m.held = slices.DeleteFunc(slices.Clone(m.held), func(p string) bool { return !slices.Contains(want, p) })
	m.forget()
	m.dirty, m.dirtyAt = true, m.n.now
	m.soon()
}

// rescued takes note that an operator has gone on without most voters: what is in force, and what the roster has, is learnt anew.
func (m *member) rescued() {
	m.upto, m.holds, m.held = 0, 0, nil
	m.dirty, m.dirtyAt = true, m.n.now
}

// forget gives up texts of parts that it does not hold.
func (m *member) forget() {
	for p := range m.texts {
		if !m.mine(p) {
			delete(m.texts, p)
		}
	}
	for p := range m.need {
		if !m.mine(p) {
			delete(m.need, p)
		}
	}
}

// mine reports whether a part is one that it is to hold.
func (m *member) mine(part string) bool {
	if part == "" {
		return true
	}
	_, ok := slices.BinarySearch(m.want, part)
	return ok
}

func (m *member) isPrepared(id string) bool {
	return slices.ContainsFunc(m.prepared, func(d *Document) bool { return d.ID == id })
}

// needs reports whether it waits for an answer.
func (m *member) needs() bool {
	return !m.joined || len(m.prepared) > 0 || len(m.need) > 0 || len(m.fetching) > 0 || m.holds != sumOf(m.want) || m.n.now >= m.lease-m.n.s.Lease/4 && m.n.s.StopWhenIsolated || slices.ContainsFunc(m.about, func(w watched) bool { return w.fate.State <= Preparing })
}

// ask asks a voter.
func (m *member) ask() {
	n := m.n
	// Until it is answered it asks again, the more seldom the longer that takes, unless it needs the answer.
	wait := max(askSoon, n.s.Lease/3)
	if m.needs() || n.s.StopWhenIsolated {
		wait = 5 * askSoon
	}
	wait = min(wait, askSoon<<min(m.tries, 6))
	m.tries++
	m.askAt = n.now + time.Duration((0.75+0.5*n.rng.Float64())*float64(wait))
	if n.now-m.heardAt > 2*askSoon && m.askedAt > m.heardAt { // the last one does not answer
		m.to++
		if m.asksTo == m.leader {
			m.avoid, m.avoidTo = m.leader, n.now+avoidFor
		} else {
			m.via = ""
		}
		m.leader = ""
	}
	voters := n.voters // never empty: the file names some
	to := m.contact()
	if to == "" || !slices.Contains(voters, to) {
		to = voters[(m.to+int(idOf(n.s.Name)%uint64(len(voters))))%len(voters)]
	}
	m.asksTo = to
	m.seq++
	m.asked[m.seq] = n.now
	m.askedAt = n.now
	a := &LeaseRequest{Name: n.s.Name, RunID: n.s.RunID, Seq: m.seq, ActiveNumber: m.force.Number, Join: m.free && !m.joined, LeaseExpired: m.joined && n.now >= m.lease, StopWhenIsolated: n.s.StopWhenIsolated, LeaseMS: uint32(n.s.Lease / time.Millisecond),
		Format: FormatVersion, KnownUpTo: m.upto, PreparedIDs: idsOf(m.prepared), PartsHash: sumOf(m.want)}
	if i := slices.IndexFunc(m.prepared, func(d *Document) bool { return d.plain() }); i >= 0 { // for a leader of form 1
		a.Prepared = m.prepared[i].ID
	}
	if ids := sorted(m.nays); len(ids) > 0 { // by turns
		a.RejectedID = ids[m.turn%len(ids)]
		a.RejectReason = m.nays[a.RejectedID]
	}
	if !m.joined || m.holds != a.PartsHash || m.asks {
		a.Parts = m.want
	}
	for i := range m.about { // by turns, where there are many
		if w := m.about[(m.turn+i)%len(m.about)]; w.fate.State <= Preparing && len(a.StatusOf) < aboutMost {
			a.StatusOf = append(a.StatusOf, w.fate.ID)
		}
	}
	m.turn++
	n.send(to, &Message{LeaseRequest: a})
	for seq, at := range m.asked {
		if n.now-at > askLasts {
			delete(m.asked, seq)
		}
	}
}

// contact is whom it asks: the leader, or, where that one does not answer it, the voter through which an answer came.
func (m *member) contact() string {
	if m.leader != "" && m.leader == m.avoid && m.n.now < m.avoidTo && m.via != "" {
		return m.via
	}
	return m.leader
}

// soon has it ask at once, or nearly.
func (m *member) soon() {
	m.askAt = min(m.askAt, max(m.n.now, m.askedAt+askLeast))
}

// answered takes an answer. What it says held after the question was asked.
func (m *member) answered(from string, a *LeaseResponse) {
	n := m.n
	at, ok := m.asked[a.Seq]
	if !ok || a.Seq <= m.last {
		return
	}
	for seq := range m.asked {
		if seq <= a.Seq {
			delete(m.asked, seq)
		}
	}
	m.last, m.heardAt, m.leader, m.tries = a.Seq, n.now, a.Leader, 0
	if from != a.Leader {
		m.via = from
	} else if m.avoid == from {
		m.avoid = ""
	}
	n.learnVoters(a.Voters)
	for _, f := range a.Statuses {
		for i := range m.about {
			if m.about[i].fate.ID == f.ID {
				m.about[i].fate = f
				m.changes = slices.DeleteFunc(m.changes, func(c *change) bool {
					return c.p.Document.ID == f.ID && f.State != Unknown || c.p.Drop == f.ID && f.State > Preparing
				})
			}
		}
	}
	if a.Refused != m.refused {
		if m.refused = a.Refused; a.Refused != "" {
			n.say(true, "policy: not taken into the fleet's roster: %s", a.Refused)
		}
	}
	refs, under, holds := a.Changed, a.PendingIDs, a.PartsHash
	if a.Format == 0 { // a leader of form 1 knows one part, and counts this member for every change
		refs, under, holds = nil, nil, sumOf(m.want)
		if a.ActiveNumber != m.force.Number || a.ActiveID != m.force.ID {
			refs = []DocumentRef{{Number: a.ActiveNumber, ID: a.ActiveID}}
		}
		if a.Pending != "" {
			under = []string{a.Pending}
		}
	}
	m.holds, m.asks = holds, a.WantsParts
	known := holds == sumOf(m.want) || a.CountsForAllParts // by which parts the answer was made, or all
	rescued := n.epochAt > 0 && at > n.epochAt
	if a.Complete && known { // what it does not name has no text: a rescue has given that up
		for _, part := range append([]string{""}, sorted(m.texts)...) {
			if d := m.text(part); d.Number > 0 && !slices.ContainsFunc(refs, func(r DocumentRef) bool { return r.Part == part }) {
				refs = append(refs, DocumentRef{Part: part})
			}
		}
	}
	clear(m.need)
	for _, r := range refs {
		switch d := m.text(r.Part); {
		case !m.mine(r.Part):
		case r.Number > d.Number:
			m.need[r.Part] = r
		case r.Number < d.Number && !rescued: // an answer that knows less than this member, which nobody gave up
			clear(m.need)
			return
		case r.Number == 0 && d.Number > 0:
			n.say(true, "policy %d%s is given up: after a rescue none is in force", d.Number, ofPart(r.Part))
			m.enter(Document{Part: r.Part})
		case r.Number < d.Number || r.ID != d.ID:
			n.say(true, "policy %d%s is given up: after a rescue %d is in force", d.Number, ofPart(r.Part), r.Number)
			m.need[r.Part] = r
		}
	}
	for _, d := range slices.Clone(m.prepared) {
		m.arrived(d)
	}
	if len(m.need) > 0 {
		wait := false // by what it serves by now it goes on, by what is not here it can't
		for _, part := range sorted(m.need) {
			wait = wait || part == "" || slices.Contains(m.held, part)
			m.fetch(m.need[part].ID)
		}
		if wait || !m.joined {
			m.joined = false
			return
		}
	} else if a.Format > 0 && known {
		m.upto = a.CommittedUpTo
	}
	// What is not under way any more, and not in force, was dropped.
	m.prepared = slices.DeleteFunc(m.prepared, func(d *Document) bool {
		gone := !slices.Contains(under, d.ID) && at > m.sure[d.ID]
		if gone {
			delete(m.sure, d.ID)
			m.dirty = true
		}
		return gone
	})
	for id := range m.nays {
		if !slices.Contains(under, id) {
			delete(m.nays, id)
		}
	}
	for id := range m.fetching {
		if !slices.Contains(under, id) && !m.needs1(id) {
			delete(m.fetching, id)
		}
	}
	for _, id := range under {
		if m.nays[id] == "" && !m.isPrepared(id) {
			m.fetch(id)
		}
	}
	if m.joined = a.InRoster; a.InRoster {
		if m.ever = true; known && len(m.need) == 0 {
			m.held = m.want
		}
		m.lease = max(m.lease, at+n.s.Lease)
		if !m.needs() {
			m.askAt = n.now + time.Duration((0.75+0.5*n.rng.Float64())*float64(n.s.Lease/3))
		} else if !known {
			m.soon()
		}
	} else {
		m.askAt = min(m.askAt, n.now+askSoon/4)
	}
}

// ofPart is a part's name in a line for people.
func ofPart(part string) string {
	if part == "" {
		return ""
	}
	return " of " + part
}

// needs1 reports whether a change made a text that is in force and not here.
func (m *member) needs1(id string) bool {
	for _, r := range m.need {
		if r.ID == id {
			return true
		}
	}
	return false
}

// enter has a part's text in force here; Number 0: none.
func (m *member) enter(d Document) {
	if d.Part == "" {
		m.force = d
	} else if d.Number == 0 {
		delete(m.texts, d.Part)
	} else {
		m.texts[d.Part] = d
	}
	delete(m.need, d.Part)
	m.dirty, m.dirtyAt = true, m.n.now
	if d.Number > 0 {
		m.n.say(false, "policy %d%s (%s) is in force here", d.Number, ofPart(d.Part), d.ID)
	}
	m.soon() // the leader is to know
}

// arrived has those texts of a change in force here that are needed. It reports whether there were any: then the change is
// under way no more.
func (m *member) arrived(d *Document) (any bool) {
	for _, x := range d.Documents() {
		if r, ok := m.need[x.Part]; ok && r.ID == x.ID && r.Number == x.Number {
			m.enter(x)
			any = true
		}
	}
	if any {
		m.prepared = slices.DeleteFunc(m.prepared, func(p *Document) bool { return p.ID == d.ID })
		delete(m.sure, d.ID)
		delete(m.nays, d.ID)
		delete(m.fetching, d.ID)
	}
	return any
}

// fetch asks for a change's texts.
func (m *member) fetch(id string) {
	n := m.n
	asked, again := m.fetching[id]
	has := func(d *Document) bool { return d.ID == id }
	if id == "" || again && n.now-asked < fetchWait || m.saving > 0 && slices.ContainsFunc(m.wanted, has) || slices.ContainsFunc(m.ready, has) {
		return
	}
	to := m.contact()
	if again && to == m.leader {
		to = m.voter() // the leader is perhaps not to be reached directly; any voter has it soon
	}
	m.fetching[id] = n.now
	if n.v != nil {
		if d := n.v.state.doc(id, m.mine); d != nil {
			m.got(d)
			return
		}
	}
	msg := &Message{Fetch: id}
	if !m.joined || m.holds != sumOf(m.want) { // else the voters know what it holds
		msg.Parts = m.want
	}
	n.send(to, msg)
}

// leaderOrAny is who leads, or any voter, which passes on what is for the leader.
func (m *member) leaderOrAny() string {
	if m.leader != "" {
		return m.leader
	}
	return m.n.voters[m.n.rng.IntN(len(m.n.voters))]
}

// voter is one to ask for what any voter has, or will have soon: by turns the leader and any.
func (m *member) voter() string {
	if n := m.n; n.rng.IntN(2) == 0 {
		return n.voters[n.rng.IntN(len(n.voters))]
	}
	return m.leaderOrAny()
}

// got takes a change's texts.
func (m *member) got(d *Document) {
	n := m.n
	if _, ok := m.fetching[d.ID]; !ok {
		return
	}
	size := 0
	for _, x := range d.Documents() {
		if size += len(x.Body); x.Digest != DigestOf(x.Body) || len(x.Body) > MaxBodyBytes || size > MaxChangeBytes {
			return
		}
	}
	if d = d.only(m.mine); d == nil {
		return
	}
	delete(m.fetching, d.ID)
	news := m.needs1(d.ID)
	for _, x := range d.Documents() {
		news = news || x.Number > m.text(x.Part).Number || n.epochAt > 0
	}
	if !news || m.isPrepared(d.ID) {
		return
	}
	if m.needs1(d.ID) {
		m.gotInForce(d)
		return
	}
	if err := m.check(d); err != nil {
		if m.nays[d.ID] == "" {
			n.say(true, "policy: change %s (by %s: %s) does not do for this daemon: %v", d.ID, d.Author, d.Reason, err)
		}
		m.nays[d.ID] = err.Error()
		m.soon()
		return
	}
	m.ready = append(m.ready, d)
	if m.saving == 0 {
		m.save()
	}
}

// gotInForce takes texts that are in force: with those that came before and make sense only with them, or by themselves.
func (m *member) gotInForce(d *Document) {
	check := m.n.s.Check
	all := append(slices.DeleteFunc(m.apart, func(x *Document) bool { return x.ID == d.ID || !m.needs1(x.ID) }), d)
	m.apart = nil
	switch {
	case check == nil || check(m.laid(all)) == nil:
		m.ready = append(m.ready, all...)
	default:
		m.apart = all
		err := check(m.laid([]*Document{d}))
		if err == nil {
			m.ready, m.apart = append(m.ready, d), all[:len(all)-1]
		} else if m.nays[d.ID] == "" {
			m.n.say(true, "policy: %s, which is in force (by %s: %s), does not do for this daemon: %v", d.ID, d.Author, d.Reason, err)
			m.nays[d.ID] = err.Error()
		}
	}
	if m.saving == 0 && len(m.ready) > 0 {
		m.save()
	}
}

// check reports whether this member could serve by a change: with what is in force, and with all that is under way besides.
// What services' parts say does not touch other services, so between these two lies all that can come to be.
func (m *member) check(d *Document) error {
	if m.n.s.Check == nil {
		return nil
	}
	if err := m.n.s.Check(m.laid([]*Document{d})); err != nil {
		return err
	}
	if others := slices.Concat(m.prepared, m.wanted, m.ready); len(others) > 0 {
		if err := m.n.s.Check(m.laid(append(others, d))); err != nil {
			return fmt.Errorf("with %s, which is under way: %w", strings.Join(idsOf(others), ", "), err)
		}
	}
	return nil
}

// laid are the texts in force with those of changes in their place, that for all first.
func (m *member) laid(changes []*Document) []Document {
	texts := map[string]Document{"": m.force}
	for p, d := range m.texts {
		texts[p] = d
	}
	for _, c := range changes {
		for _, x := range c.Documents() {
			texts[x.Part] = x
		}
	}
	var all []Document
	for _, p := range sorted(texts) {
		all = append(all, texts[p])
	}
	return all
}

// save puts the member's part on the disk, with the changes that it is to have: all that have come meanwhile, at once.
func (m *member) save() {
	s := savedMember{Force: m.force, Voters: m.n.voters, Epoch: m.n.epoch, Texts: m.inForceParts(), Upto: m.upto, Form: FormatVersion, Holds: sumOf(m.want)}
	s.More = slices.Concat(m.prepared, m.ready)
	if i := slices.IndexFunc(s.More, func(d *Document) bool { return d.plain() }); i >= 0 { // where form 1 has it
		s.Prepared = s.More[i]
		s.More = slices.Delete(s.More, i, i+1)
	}
	m.wanted, m.ready = m.ready, nil
	m.dirty = false
	m.saving = m.n.persist(Batch{Member: encode(&s)})
}

// persisted says that it is there, or can't be.
func (m *member) persisted(seq uint64, err error) {
	if m.saving == 0 || seq != m.saving {
		return
	}
	all := m.wanted
	m.saving, m.wanted = 0, nil
	if err != nil && len(all) == 0 {
		m.dirty, m.dirtyAt = true, m.n.now+5*time.Second
	}
	for _, d := range all {
		inForce := m.needs1(d.ID)
		switch {
		case err != nil && inForce: // it serves without: it has to ask at its next start anyway
			m.n.say(true, "policy %s is in force and can't be put on the disk: %v", d.ID, err)
			m.arrived(d)
			m.dirtyAt = m.n.now + 5*time.Second
		case err != nil:
			m.nays[d.ID] = "it can't be put on the disk: " + err.Error()
			m.n.say(true, "policy: change %s: %s", d.ID, m.nays[d.ID])
			m.soon()
		case inForce:
			m.arrived(d)
		case slices.ContainsFunc(d.Documents(), func(x Document) bool { return x.Number <= m.text(x.Part).Number }): // it came to nothing meanwhile
			m.dirty, m.dirtyAt = true, m.n.now
		default:
			m.prepared, m.sure[d.ID] = append(m.prepared, d), m.n.now
			delete(m.nays, d.ID)
			m.soon()
		}
	}
	if len(m.ready) > 0 {
		m.save()
	}
}

// offer brings a change to the voters.
func (m *member) offer(c *change) {
	n := m.n
	c.at = n.now + offerWait
	p := c.p
	n.send(m.leaderOrAny(), &Message{Proposal: &p})
	m.soon()
}

// propose takes a change that an operator asks for at this member.
func (m *member) propose(p Proposal) {
	if p.Drop != "" {
		m.watch(p.Drop)
		m.changes = append(m.changes, &change{p: p, at: m.n.now, ends: m.n.now + offerFor})
		return
	}
	m.watch(p.Document.ID)
	if !slices.ContainsFunc(m.changes, func(c *change) bool { return c.p.Document.ID == p.Document.ID }) {
		m.changes = append(m.changes, &change{p: p, at: m.n.now, ends: m.n.now + offerFor})
	}
}

// watch has it ask what becomes of a change.
func (m *member) watch(id string) {
	if i := slices.IndexFunc(m.about, func(w watched) bool { return w.fate.ID == id }); i >= 0 {
		m.about[i].until = m.n.now + watchFor
	} else {
		if len(m.about) == watchMost {
			m.about = slices.Delete(m.about, 0, 1)
		}
		m.about = append(m.about, watched{ChangeStatus{ID: id}, m.n.now + watchFor})
	}
	m.soon()
}
