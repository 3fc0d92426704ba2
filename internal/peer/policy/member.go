package policy

import (
	"slices"
	"time"
)

// member is what every one of the fleet does: it knows the policy in force, keeps a change that is under way, asks the
// leader whether it may go on, and says what its daemon is to serve by.
//
// By what it may take requests, by its own clock:
//   - not before the leader has told this life that it is in the roster, and by which policy;
//   - with Stops: until Lease after it asked, each time that it is told so;
//   - else: without end, but not while it has a change on its disk of which it does not know what became. Then until
//     Lease after it asked, and from then on only by what both allow: nobody else's change can come between, since each
//     needs this member.
type member struct {
	n        *Node
	force    Doc
	prepared *Doc          // it is on the disk, and this member can serve by it
	sure     time.Duration // since when it is there
	nay, why string        // the change that it can't serve by

	saving  uint64 // number of what is being put on the disk; 0: nothing
	wanted  *Doc   // the change that is in it
	dirty   bool   // the disk has another policy in force than this member
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
	fetching string
	inForce  string // the change that made the policy in force, by the last answer
	fetchAt  time.Duration
	about    []watched
	changes  []*change
	tries    int // questions since the last answer
	past     *Past
	turn     int
}

// watched is a change of which somebody would know what becomes of it.
type watched struct {
	fate  Fate
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
	Force    Doc      `cbor:"1,keyasint,omitempty"`
	Prepared *Doc     `cbor:"2,keyasint,omitempty"`
	Voters   []string `cbor:"3,keyasint,omitempty"`
	Epoch    uint64   `cbor:"4,keyasint,omitempty"`
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
		m.save(nil)
	}
	if n.now >= m.askAt {
		m.ask()
	}
	for _, c := range m.changes {
		if n.now >= c.ends && c.p.Drop == "" { // nobody has answered: it is not to come into force at some later time
			c.p = Proposal{Drop: c.p.Doc.ID, Doc: Doc{Author: n.s.Name, Reason: "it did not reach the voters within " + offerFor.String()}}
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
	if !m.ever && m.n.s.Last {
		at = min(at, m.aloneAt())
	}
	return at
}

func (m *member) aloneAt() time.Duration { return m.began + m.n.s.Alone }

// serve says what the daemon is to serve by, where that has changed.
func (m *member) serve() {
	n := m.n
	s := Serving{Doc: &m.force}
	switch {
	case !m.ever && n.s.Last && n.now >= m.aloneAt():
		s.Until, s.Alone, s.Both = Never, true, m.prepared
	case !m.ever:
		s.Why = "the policy in force is not known yet: no voter has answered"
		if m.refused != "" {
			s.Why = m.refused
		}
	case !m.joined:
		s.Why = "this process is not in the fleet's roster: the policy in force has changed, or is being changed, without it"
		if m.refused != "" {
			s.Why = m.refused
		}
	case !n.s.Stops && m.prepared == nil:
		s.Until = Never
	case n.now < m.lease:
		s.Until = m.lease
	case !n.s.Stops:
		s.Until, s.Both = Never, m.prepared
	default:
		s.Why = "no voter has answered for " + n.s.Lease.String() + ": the policy may change without this member"
	}
	t := &m.told
	if t.Doc != nil && t.Doc.Number == s.Doc.Number && t.Doc.ID == s.Doc.ID && idOfDoc(t.Both) == idOfDoc(s.Both) && t.Until == s.Until && t.Alone == s.Alone && t.Why == s.Why {
		return
	}
	doc := m.force
	s.Doc = &doc
	m.told = s
	n.do(Serve{s})
}

func idOfDoc(d *Doc) string {
	if d == nil {
		return ""
	}
	return d.ID
}

// needs reports whether it waits for an answer.
func (m *member) needs() bool {
	return !m.joined || m.prepared != nil || m.fetching != "" || m.n.now >= m.lease-m.n.s.Lease/4 && m.n.s.Stops || slices.ContainsFunc(m.about, func(w watched) bool { return w.fate.State <= UnderWay })
}

// ask asks a voter.
func (m *member) ask() {
	n := m.n
	// Until it is answered it asks again, the more seldom the longer that takes, unless it needs the answer.
	wait := max(askSoon, n.s.Lease/3)
	if m.needs() || n.s.Stops {
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
	a := &Ask{Name: n.s.Name, Life: n.s.Life, Seq: m.seq, Force: m.force.Number, Nay: m.nay, Why: m.why, Join: m.free && !m.joined, Over: m.joined && n.now >= m.lease, Stops: n.s.Stops, LeaseMS: uint32(n.s.Lease / time.Millisecond)}
	if m.prepared != nil {
		a.Prepared = m.prepared.ID
	}
	for i := range m.about { // by turns, where there are many
		if w := m.about[(m.turn+i)%len(m.about)]; w.fate.State <= UnderWay && len(a.About) < aboutMost {
			a.About = append(a.About, w.fate.ID)
		}
	}
	m.turn++
	n.send(to, &Message{Ask: a})
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
func (m *member) answered(from string, a *Answer) {
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
	for _, f := range a.About {
		for i := range m.about {
			if m.about[i].fate.ID == f.ID {
				m.about[i].fate = f
				m.changes = slices.DeleteFunc(m.changes, func(c *change) bool {
					return c.p.Doc.ID == f.ID && f.State != Unknown || c.p.Drop == f.ID && f.State > UnderWay
				})
			}
		}
	}
	if a.Refused != m.refused {
		if m.refused = a.Refused; a.Refused != "" {
			n.say(true, "policy: not taken into the fleet's roster: %s", a.Refused)
		}
	}
	m.inForce = a.ForceID
	if a.Force > m.force.Number {
		if m.prepared != nil && m.prepared.ID == a.ForceID {
			m.enter(*m.prepared)
		} else {
			m.joined = false
			m.fetch(a.ForceID)
			return
		}
	}
	if a.Force < m.force.Number { // older than what this member knows: a rescue has given that up
		if n.epochAt > 0 && at > n.epochAt {
			n.say(true, "policy %d is given up: after a rescue %d is in force", m.force.Number, a.Force)
			m.joined = false
			m.fetch(a.ForceID)
			if a.ForceID == "" {
				m.enter(Doc{})
			}
		}
		return
	}
	if m.prepared != nil && a.Pending != m.prepared.ID && at > m.sure { // it was dropped
		m.prepared, m.dirty = nil, true
	}
	if m.nay != "" && a.Pending != m.nay {
		m.nay, m.why = "", ""
	}
	if m.fetching != a.Pending && m.fetching != a.ForceID {
		m.fetching = ""
	}
	if a.Pending != "" && (m.prepared == nil || m.prepared.ID != a.Pending) && m.nay != a.Pending {
		m.fetch(a.Pending)
	}
	m.joined = a.Known
	if a.Known {
		m.ever = true
		m.lease = max(m.lease, at+n.s.Lease)
		if !m.needs() {
			m.askAt = n.now + time.Duration((0.75+0.5*n.rng.Float64())*float64(n.s.Lease/3))
		}
	} else {
		m.askAt = min(m.askAt, n.now+askSoon/4)
	}
}

// enter has a policy in force here.
func (m *member) enter(d Doc) {
	m.force, m.prepared, m.dirty, m.dirtyAt = d, nil, true, m.n.now
	m.nay, m.why = "", ""
	m.n.say(false, "policy %d (%s) is in force here", d.Number, d.ID)
	m.soon() // the leader is to know
}

// fetch asks for a change's text.
func (m *member) fetch(id string) {
	n := m.n
	if id == "" || m.fetching == id && n.now-m.fetchAt < fetchWait || m.wanted != nil && m.wanted.ID == id && m.saving > 0 {
		return
	}
	to := m.contact()
	if m.fetching == id && to == m.leader {
		to = m.voter() // the leader is perhaps not to be reached directly; any voter has it soon
	}
	m.fetching, m.fetchAt = id, n.now
	if n.v != nil {
		if d := n.v.state.doc(id); d != nil {
			doc := *d
			m.got(&doc)
			return
		}
	}
	n.send(to, &Message{Fetch: id})
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

// got takes a change's text.
func (m *member) got(d *Doc) {
	n := m.n
	if d.ID != m.fetching || d.Digest != DigestOf(d.Body) || len(d.Body) > BodyMost {
		return
	}
	m.fetching = ""
	if d.Number <= m.force.Number && n.epochAt == 0 {
		return
	}
	if err := m.check(d); err != nil {
		if m.nay != d.ID {
			n.say(true, "policy: change %s (by %s: %s) does not do for this daemon: %v", d.ID, d.Author, d.Reason, err)
		}
		m.nay, m.why = d.ID, err.Error()
		m.soon()
		return
	}
	if m.saving > 0 {
		return // it is fetched again
	}
	m.save(d)
}

func (m *member) check(d *Doc) error {
	if m.n.s.Check == nil {
		return nil
	}
	return m.n.s.Check(d.Body)
}

// save puts the member's part on the disk, with a change that it is to have.
func (m *member) save(d *Doc) {
	s := savedMember{Force: m.force, Prepared: m.prepared, Voters: m.n.voters, Epoch: m.n.epoch}
	if d != nil {
		s.Prepared = d
	}
	m.wanted = d
	m.dirty = false
	m.saving = m.n.persist(Batch{Member: encode(&s)})
}

// persisted says that it is there, or can't be.
func (m *member) persisted(seq uint64, err error) {
	if m.saving == 0 || seq != m.saving {
		return
	}
	d := m.wanted
	m.saving, m.wanted = 0, nil
	switch {
	case err != nil && d != nil && d.ID == m.inForce: // it serves without: it has to ask at its next start anyway
		m.n.say(true, "policy %d is in force and can't be put on the disk: %v", d.Number, err)
		m.enter(*d)
		m.dirtyAt = m.n.now + 5*time.Second
	case err != nil && d != nil:
		m.nay, m.why = d.ID, "it can't be put on the disk: "+err.Error()
		m.n.say(true, "policy: change %s: %s", d.ID, m.why)
		m.soon()
	case err != nil:
		m.dirty, m.dirtyAt = true, m.n.now+5*time.Second
	case d != nil && d.ID == m.inForce && d.Number > m.force.Number:
		m.enter(*d)
	case d != nil && d.Number > m.force.Number:
		m.prepared, m.sure = d, m.n.now
		m.nay, m.why = "", ""
		m.soon()
	case d != nil: // after a rescue
		m.enter(*d)
	}
}

// offer brings a change to the voters.
func (m *member) offer(c *change) {
	n := m.n
	c.at = n.now + offerWait
	p := c.p
	n.send(m.leaderOrAny(), &Message{Change: &p})
	m.soon()
}

// propose takes a change that an operator asks for at this member.
func (m *member) propose(p Proposal) {
	if p.Drop != "" {
		m.watch(p.Drop)
		m.changes = append(m.changes, &change{p: p, at: m.n.now, ends: m.n.now + offerFor})
		return
	}
	m.watch(p.Doc.ID)
	if !slices.ContainsFunc(m.changes, func(c *change) bool { return c.p.Doc.ID == p.Doc.ID }) {
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
		m.about = append(m.about, watched{Fate{ID: id}, m.n.now + watchFor})
	}
	m.soon()
}
