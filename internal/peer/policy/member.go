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
	node            *Node
	active          Document                 // the part ""
	activeParts     map[string]Document      // the others that have a text in force
	knownUpTo       uint64                   // it knows all that came into force up to this Order; 0: nothing
	configuredParts []string                 // parts that it is to hold, besides "", in order
	servedParts     []string                 // those that the roster has for it, and whose text in force is here if they have one
	rosterPartsHash uint64                   // the sum of those that the roster has for it, by the last answer
	partsRequested  bool                     // that answer said that the roster has none, and wants them
	prepared        []*Document              // changes: on the disk, and this member can serve by them
	preparedAt      map[string]time.Duration // since when they are there
	rejections      map[string]string        // changes that it can't serve by, and why
	missing         map[string]DocumentRef   // in force by the last answer, and not here, by part

	savingSeq     uint64      // number of what is being put on the disk; 0: nothing
	savingChanges []*Document // the changes that are in it for the first time
	queuedChanges []*Document // those that go there next
	deferred      []*Document // in force, and this member can't serve by them without others that it has not yet
	dirty         bool        // the disk has another policy in force than this member
	saveAt        time.Duration

	exclusiveName bool // the process has its name for itself
	inRoster      bool // in the roster, as the last answer said
	everInRoster  bool // in this life
	leaseExpiry   time.Duration
	startedAt     time.Duration
	serving       Serving
	refusal       string

	seq                uint64
	outstanding        map[uint64]time.Duration
	lastAnsweredSeq    uint64 // the latest question that was answered
	lastResponseAt     time.Duration
	nextRequestAt      time.Duration
	lastRequestAt      time.Duration
	voterOffset        int // the voter that is asked
	leader             string
	relay              string // the voter through which the last answer came, if not from the leader
	avoidedLeader      string // a leader that did not answer, until ...
	avoidUntil         time.Duration
	requestTarget      string
	fetching           map[string]time.Duration // changes whose texts were asked for, and when
	watches            []watchedChange
	proposals          []*outgoingProposal
	unansweredRequests int // questions since the last answer
	history            *History
	rotation           int
}

// watchedChange is a change of which somebody would know what becomes of it.
type watchedChange struct {
	status ChangeStatus
	until  time.Duration
}

// outgoingProposal is one that this member's operators ask for.
type outgoingProposal struct {
	proposal  Proposal
	sendAt    time.Duration // it is sent again then
	expiresAt time.Duration
}

// savedMember is what the disk has of a member.
type savedMember struct {
	Active          Document    `cbor:"1,keyasint,omitempty"`
	LegacyPrepared  *Document   `cbor:"2,keyasint,omitempty"`
	Voters          []string    `cbor:"3,keyasint,omitempty"`
	Epoch           uint64      `cbor:"4,keyasint,omitempty"`
	ActiveParts     []Document  `cbor:"5,keyasint,omitempty"` // from form 2 on, as what follows
	PreparedChanges []*Document `cbor:"6,keyasint,omitempty"` // prepared besides
	KnownUpTo       uint64      `cbor:"7,keyasint,omitempty"`
	Format          uint8       `cbor:"8,keyasint,omitempty"`
	PartsHash       uint64      `cbor:"9,keyasint,omitempty"` // the sum of the parts of which Upto tells
}

// allPrepared are those that are prepared.
func (s *savedMember) allPrepared() []*Document {
	if s.LegacyPrepared == nil {
		return s.PreparedChanges
	}
	return append([]*Document{s.LegacyPrepared}, s.PreparedChanges...)
}

const (
	urgentRequestInterval = 200 * time.Millisecond // between two questions of one that needs an answer
	minRequestInterval    = 10 * time.Millisecond
	responseTimeout       = 3 * time.Second // an answer later than that is not waited for
	fetchRetryInterval    = 300 * time.Millisecond
	watchDuration         = 10 * time.Minute
	avoidLeaderDuration   = 5 * time.Second
	proposalTimeout       = 30 * time.Second // a change is offered to the voters for so long
	proposalRetryInterval = 700 * time.Millisecond
	maxWatchedChanges     = 64
	maxStatusQueries      = 8
)

// advance does what is due.
func (m *member) advance() {
	n := m.node
	if m.dirty && m.savingSeq == 0 && n.now >= m.saveAt {
		m.save()
	}
	if n.now >= m.nextRequestAt {
		m.sendLeaseRequest()
	}
	for _, c := range m.proposals {
		if n.now >= c.expiresAt && c.proposal.AbortID == "" { // nobody has answered: it is not to come into force at some later time
			c.proposal = Proposal{AbortID: c.proposal.Document.ID, Document: Document{Author: n.settings.Name, Reason: "it did not reach the voters within " + proposalTimeout.String()}}
			c.expiresAt = n.now + watchDuration
		}
		if n.now >= c.sendAt && n.now < c.expiresAt {
			m.sendProposal(c)
		}
	}
	m.proposals = slices.DeleteFunc(m.proposals, func(c *outgoingProposal) bool { return n.now >= c.expiresAt })
	m.watches = slices.DeleteFunc(m.watches, func(w watchedChange) bool { return n.now >= w.until })
	m.updateServing()
}

// nextDeadline is when due is to be called at the latest.
func (m *member) nextDeadline() time.Duration {
	at := m.nextRequestAt
	if m.dirty && m.savingSeq == 0 {
		at = min(at, m.saveAt)
	}
	for _, c := range m.proposals {
		at = min(at, c.sendAt)
	}
	if u := m.serving.Until; u > m.node.now {
		at = min(at, u)
	}
	if !m.everInRoster && m.node.settings.ServeLastKnown {
		at = min(at, m.standaloneAt())
	}
	return at
}

func (m *member) standaloneAt() time.Duration { return m.startedAt + m.node.settings.StandaloneAfter }

// updateServing says what the daemon is to serve by, where that has changed.
func (m *member) updateServing() {
	n := m.node
	s := Serving{Document: &m.active}
	switch {
	case !m.everInRoster && n.settings.ServeLastKnown && n.now >= m.standaloneAt():
		s.Until, s.Standalone, s.Preparing, s.ServedParts = Never, true, m.prepared, m.configuredParts
	case !m.everInRoster:
		s.Blocked = "the policy in force is not known yet: no voter has answered"
		if m.refusal != "" {
			s.Blocked = m.refusal
		}
	case !m.inRoster:
		s.Blocked = "this process is not in the fleet's roster: the policy in force has changed, or is being changed, without it"
		if m.refusal != "" {
			s.Blocked = m.refusal
		}
	case !n.settings.StopWhenIsolated && len(m.prepared) == 0:
		s.Until = Never
	case n.now < m.leaseExpiry:
		s.Until = m.leaseExpiry
	case !n.settings.StopWhenIsolated:
		s.Until, s.Preparing = Never, m.prepared
	default:
		s.Blocked = "no voter has answered for " + n.settings.Lease.String() + ": the policy may change without this member"
	}
	if s.Blocked == "" && !s.Standalone {
		s.ServedParts = m.servedParts
	}
	doc := m.active
	s.Document, s.Parts, s.Preparing = &doc, m.sortedActiveParts(), slices.Clone(s.Preparing)
	if m.serving.Document != nil && m.serving.equal(&s) {
		return
	}
	m.serving = s
	n.emit(ServingChanged{s})
}

// equal reports whether two words say the same.
func (s *Serving) equal(o *Serving) bool {
	same := func(a, b Document) bool { return a.Part == b.Part && a.Number == b.Number && a.ID == b.ID }
	return same(*s.Document, *o.Document) && slices.EqualFunc(s.Parts, o.Parts, same) && slices.Equal(changeIDs(s.Preparing), changeIDs(o.Preparing)) && slices.Equal(s.ServedParts, o.ServedParts) &&
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

func changeIDs(all []*Document) []string {
	var ids []string
	for _, d := range all {
		ids = append(ids, d.ID)
	}
	return ids
}

// activeDocument is a part's text in force here; Number 0: it has none.
func (m *member) activeDocument(part string) Document {
	if part == "" {
		return m.active
	}
	if d, ok := m.activeParts[part]; ok {
		return d
	}
	return Document{Part: part}
}

// sortedActiveParts are the texts in force but that for all, by name.
func (m *member) sortedActiveParts() []Document {
	var all []Document
	for _, p := range sortedKeys(m.activeParts) {
		all = append(all, m.activeParts[p])
	}
	return all
}

// setParts takes note of what it is to hold from now on.
func (m *member) setParts(parts []string) {
	want, err := normalizeParts(parts)
	if err != nil {
		m.node.say(true, "%v", err)
		return
	}
	if slices.Equal(want, m.configuredParts) {
		return
	}
	m.configuredParts, m.knownUpTo = want, 0 // what is in force is learnt of all parts, also of those that are new here
	clear(m.outstanding)                     // answers that are on their way were made by the parts of before
	m.servedParts = slices.DeleteFunc(slices.Clone(m.servedParts), func(p string) bool { return !slices.Contains(want, p) })
	m.discardUnheldParts()
	m.dirty, m.saveAt = true, m.node.now
	m.requestSoon()
}

// resetKnowledge takes note that an operator has gone on without most voters: what is in force, and what the roster has, is learnt anew.
func (m *member) resetKnowledge() {
	m.knownUpTo, m.rosterPartsHash, m.servedParts = 0, 0, nil
	m.dirty, m.saveAt = true, m.node.now
}

// discardUnheldParts gives up texts of parts that it does not hold.
func (m *member) discardUnheldParts() {
	for p := range m.activeParts {
		if !m.holdsPart(p) {
			delete(m.activeParts, p)
		}
	}
	for p := range m.missing {
		if !m.holdsPart(p) {
			delete(m.missing, p)
		}
	}
}

// holdsPart reports whether a part is one that it is to hold.
func (m *member) holdsPart(part string) bool {
	if part == "" {
		return true
	}
	_, ok := slices.BinarySearch(m.configuredParts, part)
	return ok
}

func (m *member) isPrepared(id string) bool {
	return slices.ContainsFunc(m.prepared, func(d *Document) bool { return d.ID == id })
}

// needsResponse reports whether it waits for an answer.
func (m *member) needsResponse() bool {
	return !m.inRoster || len(m.prepared) > 0 || len(m.missing) > 0 || len(m.fetching) > 0 || m.rosterPartsHash != partsHash(m.configuredParts) || m.node.now >= m.leaseExpiry-m.node.settings.Lease/4 && m.node.settings.StopWhenIsolated || slices.ContainsFunc(m.watches, func(w watchedChange) bool { return w.status.State <= ChangePreparing })
}

// sendLeaseRequest asks a voter.
func (m *member) sendLeaseRequest() {
	n := m.node
	// Until it is answered it asks again, the more seldom the longer that takes, unless it needs the answer.
	wait := max(urgentRequestInterval, n.settings.Lease/3)
	if m.needsResponse() || n.settings.StopWhenIsolated {
		wait = 5 * urgentRequestInterval
	}
	wait = min(wait, urgentRequestInterval<<min(m.unansweredRequests, 6))
	m.unansweredRequests++
	m.nextRequestAt = n.now + time.Duration((0.75+0.5*n.rng.Float64())*float64(wait))
	if n.now-m.lastResponseAt > 2*urgentRequestInterval && m.lastRequestAt > m.lastResponseAt { // the last one does not answer
		m.voterOffset++
		if m.requestTarget == m.leader {
			m.avoidedLeader, m.avoidUntil = m.leader, n.now+avoidLeaderDuration
		} else {
			m.relay = ""
		}
		m.leader = ""
	}
	voters := n.voters // never empty: the file names some
	to := m.preferredVoter()
	if to == "" || !slices.Contains(voters, to) {
		to = voters[(m.voterOffset+int(raftID(n.settings.Name)%uint64(len(voters))))%len(voters)]
	}
	m.requestTarget = to
	m.seq++
	m.outstanding[m.seq] = n.now
	m.lastRequestAt = n.now
	a := &LeaseRequest{Name: n.settings.Name, RunID: n.settings.RunID, Seq: m.seq, ActiveNumber: m.active.Number, Join: m.exclusiveName && !m.inRoster, LeaseExpired: m.inRoster && n.now >= m.leaseExpiry, StopWhenIsolated: n.settings.StopWhenIsolated, LeaseMS: uint32(n.settings.Lease / time.Millisecond),
		Format: FormatVersion, KnownUpTo: m.knownUpTo, PreparedIDs: changeIDs(m.prepared), PartsHash: partsHash(m.configuredParts)}
	if i := slices.IndexFunc(m.prepared, func(d *Document) bool { return d.isGlobalOnly() }); i >= 0 { // for a leader of form 1
		a.Prepared = m.prepared[i].ID
	}
	if ids := sortedKeys(m.rejections); len(ids) > 0 { // by turns
		a.RejectedID = ids[m.rotation%len(ids)]
		a.RejectReason = m.rejections[a.RejectedID]
	}
	if !m.inRoster || m.rosterPartsHash != a.PartsHash || m.partsRequested {
		a.Parts = m.configuredParts
	}
	for i := range m.watches { // by turns, where there are many
		if w := m.watches[(m.rotation+i)%len(m.watches)]; w.status.State <= ChangePreparing && len(a.StatusOf) < maxStatusQueries {
			a.StatusOf = append(a.StatusOf, w.status.ID)
		}
	}
	m.rotation++
	n.send(to, &Message{LeaseRequest: a})
	for seq, at := range m.outstanding {
		if n.now-at > responseTimeout {
			delete(m.outstanding, seq)
		}
	}
}

// preferredVoter is whom it asks: the leader, or, where that one does not answer it, the voter through which an answer came.
func (m *member) preferredVoter() string {
	if m.leader != "" && m.leader == m.avoidedLeader && m.node.now < m.avoidUntil && m.relay != "" {
		return m.relay
	}
	return m.leader
}

// requestSoon has it ask at once, or nearly.
func (m *member) requestSoon() {
	m.nextRequestAt = min(m.nextRequestAt, max(m.node.now, m.lastRequestAt+minRequestInterval))
}

// receiveLeaseResponse takes an answer. What it says held after the question was asked.
func (m *member) receiveLeaseResponse(from string, a *LeaseResponse) {
	n := m.node
	at, ok := m.outstanding[a.Seq]
	if !ok || a.Seq <= m.lastAnsweredSeq {
		return
	}
	for seq := range m.outstanding {
		if seq <= a.Seq {
			delete(m.outstanding, seq)
		}
	}
	m.lastAnsweredSeq, m.lastResponseAt, m.leader, m.unansweredRequests = a.Seq, n.now, a.Leader, 0
	if from != a.Leader {
		m.relay = from
	} else if m.avoidedLeader == from {
		m.avoidedLeader = ""
	}
	n.learnVoters(a.Voters)
	for _, f := range a.Statuses {
		for i := range m.watches {
			if m.watches[i].status.ID == f.ID {
				m.watches[i].status = f
				m.proposals = slices.DeleteFunc(m.proposals, func(c *outgoingProposal) bool {
					return c.proposal.Document.ID == f.ID && f.State != ChangeUnknown || c.proposal.AbortID == f.ID && f.State > ChangePreparing
				})
			}
		}
	}
	if a.Refusal != m.refusal {
		if m.refusal = a.Refusal; a.Refusal != "" {
			n.say(true, "policy: not taken into the fleet's roster: %s", a.Refusal)
		}
	}
	refs, under, holds := a.Changed, a.PendingIDs, a.PartsHash
	if a.Format == 0 { // a leader of form 1 knows one part, and counts this member for every change
		refs, under, holds = nil, nil, partsHash(m.configuredParts)
		if a.ActiveNumber != m.active.Number || a.ActiveID != m.active.ID {
			refs = []DocumentRef{{Number: a.ActiveNumber, ID: a.ActiveID}}
		}
		if a.Pending != "" {
			under = []string{a.Pending}
		}
	}
	m.rosterPartsHash, m.partsRequested = holds, a.PartsRequested
	known := holds == partsHash(m.configuredParts) || a.CountsForAllParts // by which parts the answer was made, or all
	rescued := n.epochChangedAt > 0 && at > n.epochChangedAt
	if a.Complete && known { // what it does not name has no text: a rescue has given that up
		for _, part := range append([]string{""}, sortedKeys(m.activeParts)...) {
			if d := m.activeDocument(part); d.Number > 0 && !slices.ContainsFunc(refs, func(r DocumentRef) bool { return r.Part == part }) {
				refs = append(refs, DocumentRef{Part: part})
			}
		}
	}
	clear(m.missing)
	for _, r := range refs {
		switch d := m.activeDocument(r.Part); {
		case !m.holdsPart(r.Part):
		case r.Number > d.Number:
			m.missing[r.Part] = r
		case r.Number < d.Number && !rescued: // an answer that knows less than this member, which nobody gave up
			clear(m.missing)
			return
		case r.Number == 0 && d.Number > 0:
			n.say(true, "policy %d%s is given up: after a rescue none is in force", d.Number, partSuffix(r.Part))
			m.activate(Document{Part: r.Part})
		case r.Number < d.Number || r.ID != d.ID:
			n.say(true, "policy %d%s is given up: after a rescue %d is in force", d.Number, partSuffix(r.Part), r.Number)
			m.missing[r.Part] = r
		}
	}
	for _, d := range slices.Clone(m.prepared) {
		m.activateMissing(d)
	}
	if len(m.missing) > 0 {
		wait := false // by what it serves by now it goes on, by what is not here it can't
		for _, part := range sortedKeys(m.missing) {
			wait = wait || part == "" || slices.Contains(m.servedParts, part)
			m.fetch(m.missing[part].ID)
		}
		if wait || !m.inRoster {
			m.inRoster = false
			return
		}
	} else if a.Format > 0 && known {
		m.knownUpTo = a.CommittedUpTo
	}
	// What is not under way any more, and not in force, was dropped.
	m.prepared = slices.DeleteFunc(m.prepared, func(d *Document) bool {
		gone := !slices.Contains(under, d.ID) && at > m.preparedAt[d.ID]
		if gone {
			delete(m.preparedAt, d.ID)
			m.dirty = true
		}
		return gone
	})
	for id := range m.rejections {
		if !slices.Contains(under, id) {
			delete(m.rejections, id)
		}
	}
	for id := range m.fetching {
		if !slices.Contains(under, id) && !m.isMissing(id) {
			delete(m.fetching, id)
		}
	}
	for _, id := range under {
		if m.rejections[id] == "" && !m.isPrepared(id) {
			m.fetch(id)
		}
	}
	if m.inRoster = a.InRoster; a.InRoster {
		if m.everInRoster = true; known && len(m.missing) == 0 {
			m.servedParts = m.configuredParts
		}
		m.leaseExpiry = max(m.leaseExpiry, at+n.settings.Lease)
		if !m.needsResponse() {
			m.nextRequestAt = n.now + time.Duration((0.75+0.5*n.rng.Float64())*float64(n.settings.Lease/3))
		} else if !known {
			m.requestSoon()
		}
	} else {
		m.nextRequestAt = min(m.nextRequestAt, n.now+urgentRequestInterval/4)
	}
}

// partSuffix is a part's name in a line for people.
func partSuffix(part string) string {
	if part == "" {
		return ""
	}
	return " of " + part
}

// isMissing reports whether a change made a text that is in force and not here.
func (m *member) isMissing(id string) bool {
	for _, r := range m.missing {
		if r.ID == id {
			return true
		}
	}
	return false
}

// activate has a part's text in force here; Number 0: none.
func (m *member) activate(d Document) {
	if d.Part == "" {
		m.active = d
	} else if d.Number == 0 {
		delete(m.activeParts, d.Part)
	} else {
		m.activeParts[d.Part] = d
	}
	delete(m.missing, d.Part)
	m.dirty, m.saveAt = true, m.node.now
	if d.Number > 0 {
		m.node.say(false, "policy %d%s (%s) is in force here", d.Number, partSuffix(d.Part), d.ID)
	}
	m.requestSoon() // the leader is to know
}

// activateMissing has those texts of a change in force here that are needed. It reports whether there were any: then the change is
// under way no more.
func (m *member) activateMissing(d *Document) (any bool) {
	for _, x := range d.Documents() {
		if r, ok := m.missing[x.Part]; ok && r.ID == x.ID && r.Number == x.Number {
			m.activate(x)
			any = true
		}
	}
	if any {
		m.prepared = slices.DeleteFunc(m.prepared, func(p *Document) bool { return p.ID == d.ID })
		delete(m.preparedAt, d.ID)
		delete(m.rejections, d.ID)
		delete(m.fetching, d.ID)
	}
	return any
}

// fetch asks for a change's texts.
func (m *member) fetch(id string) {
	n := m.node
	asked, again := m.fetching[id]
	has := func(d *Document) bool { return d.ID == id }
	if id == "" || again && n.now-asked < fetchRetryInterval || m.savingSeq > 0 && slices.ContainsFunc(m.savingChanges, has) || slices.ContainsFunc(m.queuedChanges, has) {
		return
	}
	to := m.preferredVoter()
	if again && to == m.leader {
		to = m.leaderOrRandomVoter() // the leader is perhaps not to be reached directly; any voter has it soon
	}
	m.fetching[id] = n.now
	if n.raftNode != nil {
		if d := n.raftNode.state.changeDocuments(id, m.holdsPart); d != nil {
			m.receiveChange(d)
			return
		}
	}
	msg := &Message{Fetch: id}
	if !m.inRoster || m.rosterPartsHash != partsHash(m.configuredParts) { // else the voters know what it holds
		msg.Parts = m.configuredParts
	}
	n.send(to, msg)
}

// leaderOrAny is who leads, or any voter, which passes on what is for the leader.
func (m *member) leaderOrAny() string {
	if m.leader != "" {
		return m.leader
	}
	return m.node.voters[m.node.rng.IntN(len(m.node.voters))]
}

// leaderOrRandomVoter is one to ask for what any voter has, or will have soon: by turns the leader and any.
func (m *member) leaderOrRandomVoter() string {
	if n := m.node; n.rng.IntN(2) == 0 {
		return n.voters[n.rng.IntN(len(n.voters))]
	}
	return m.leaderOrAny()
}

// receiveChange takes a change's texts.
func (m *member) receiveChange(d *Document) {
	n := m.node
	if _, ok := m.fetching[d.ID]; !ok {
		return
	}
	size := 0
	for _, x := range d.Documents() {
		if size += len(x.Body); x.Digest != DigestOf(x.Body) || len(x.Body) > MaxBodyBytes || size > MaxChangeBytes {
			return
		}
	}
	if d = d.filterParts(m.holdsPart); d == nil {
		return
	}
	delete(m.fetching, d.ID)
	news := m.isMissing(d.ID)
	for _, x := range d.Documents() {
		news = news || x.Number > m.activeDocument(x.Part).Number || n.epochChangedAt > 0
	}
	if !news || m.isPrepared(d.ID) {
		return
	}
	if m.isMissing(d.ID) {
		m.receiveActiveChange(d)
		return
	}
	if err := m.checkChange(d); err != nil {
		if m.rejections[d.ID] == "" {
			n.say(true, "policy: change %s (by %s: %s) does not do for this daemon: %v", d.ID, d.Author, d.Reason, err)
		}
		m.rejections[d.ID] = err.Error()
		m.requestSoon()
		return
	}
	m.queuedChanges = append(m.queuedChanges, d)
	if m.savingSeq == 0 {
		m.save()
	}
}

// receiveActiveChange takes texts that are in force: with those that came before and make sense only with them, or by themselves.
func (m *member) receiveActiveChange(d *Document) {
	check := m.node.settings.Check
	all := append(slices.DeleteFunc(m.deferred, func(x *Document) bool { return x.ID == d.ID || !m.isMissing(x.ID) }), d)
	m.deferred = nil
	switch {
	case check == nil || check(m.overlay(all)) == nil:
		m.queuedChanges = append(m.queuedChanges, all...)
	default:
		m.deferred = all
		err := check(m.overlay([]*Document{d}))
		if err == nil {
			m.queuedChanges, m.deferred = append(m.queuedChanges, d), all[:len(all)-1]
		} else if m.rejections[d.ID] == "" {
			m.node.say(true, "policy: %s, which is in force (by %s: %s), does not do for this daemon: %v", d.ID, d.Author, d.Reason, err)
			m.rejections[d.ID] = err.Error()
		}
	}
	if m.savingSeq == 0 && len(m.queuedChanges) > 0 {
		m.save()
	}
}

// checkChange reports whether this member could serve by a change: with what is in force, and with all that is under way besides.
// What services' parts say does not touch other services, so between these two lies all that can come to be.
func (m *member) checkChange(d *Document) error {
	if m.node.settings.Check == nil {
		return nil
	}
	if err := m.node.settings.Check(m.overlay([]*Document{d})); err != nil {
		return err
	}
	if others := slices.Concat(m.prepared, m.savingChanges, m.queuedChanges); len(others) > 0 {
		if err := m.node.settings.Check(m.overlay(append(others, d))); err != nil {
			return fmt.Errorf("with %s, which is under way: %w", strings.Join(changeIDs(others), ", "), err)
		}
	}
	return nil
}

// overlay are the texts in force with those of changes in their place, that for all first.
func (m *member) overlay(changes []*Document) []Document {
	texts := map[string]Document{"": m.active}
	for p, d := range m.activeParts {
		texts[p] = d
	}
	for _, c := range changes {
		for _, x := range c.Documents() {
			texts[x.Part] = x
		}
	}
	var all []Document
	for _, p := range sortedKeys(texts) {
		all = append(all, texts[p])
	}
	return all
}

// save puts the member's part on the disk, with the changes that it is to have: all that have come meanwhile, at once.
func (m *member) save() {
	s := savedMember{Active: m.active, Voters: m.node.voters, Epoch: m.node.epoch, ActiveParts: m.sortedActiveParts(), KnownUpTo: m.knownUpTo, Format: FormatVersion, PartsHash: partsHash(m.configuredParts)}
	s.PreparedChanges = slices.Concat(m.prepared, m.queuedChanges)
	if i := slices.IndexFunc(s.PreparedChanges, func(d *Document) bool { return d.isGlobalOnly() }); i >= 0 { // where form 1 has it
		s.LegacyPrepared = s.PreparedChanges[i]
		s.PreparedChanges = slices.Delete(s.PreparedChanges, i, i+1)
	}
	m.savingChanges, m.queuedChanges = m.queuedChanges, nil
	m.dirty = false
	m.savingSeq = m.node.persist(Batch{Member: encode(&s)})
}

// persisted says that it is there, or can't be.
func (m *member) persisted(seq uint64, err error) {
	if m.savingSeq == 0 || seq != m.savingSeq {
		return
	}
	all := m.savingChanges
	m.savingSeq, m.savingChanges = 0, nil
	if err != nil && len(all) == 0 {
		m.dirty, m.saveAt = true, m.node.now+5*time.Second
	}
	for _, d := range all {
		inForce := m.isMissing(d.ID)
		switch {
		case err != nil && inForce: // it serves without: it has to ask at its next start anyway
			m.node.say(true, "policy %s is in force and can't be put on the disk: %v", d.ID, err)
			m.activateMissing(d)
			m.saveAt = m.node.now + 5*time.Second
		case err != nil:
			m.rejections[d.ID] = "it can't be put on the disk: " + err.Error()
			m.node.say(true, "policy: change %s: %s", d.ID, m.rejections[d.ID])
			m.requestSoon()
		case inForce:
			m.activateMissing(d)
		case slices.ContainsFunc(d.Documents(), func(x Document) bool { return x.Number <= m.activeDocument(x.Part).Number }): // it came to nothing meanwhile
			m.dirty, m.saveAt = true, m.node.now
		default:
			m.prepared, m.preparedAt[d.ID] = append(m.prepared, d), m.node.now
			delete(m.rejections, d.ID)
			m.requestSoon()
		}
	}
	if len(m.queuedChanges) > 0 {
		m.save()
	}
}

// sendProposal brings a change to the voters.
func (m *member) sendProposal(c *outgoingProposal) {
	n := m.node
	c.sendAt = n.now + proposalRetryInterval
	p := c.proposal
	n.send(m.leaderOrAny(), &Message{Proposal: &p})
	m.requestSoon()
}

// propose takes a change that an operator asks for at this member.
func (m *member) propose(p Proposal) {
	if p.AbortID != "" {
		m.watch(p.AbortID)
		m.proposals = append(m.proposals, &outgoingProposal{proposal: p, sendAt: m.node.now, expiresAt: m.node.now + proposalTimeout})
		return
	}
	m.watch(p.Document.ID)
	if !slices.ContainsFunc(m.proposals, func(c *outgoingProposal) bool { return c.proposal.Document.ID == p.Document.ID }) {
		m.proposals = append(m.proposals, &outgoingProposal{proposal: p, sendAt: m.node.now, expiresAt: m.node.now + proposalTimeout})
	}
}

// watch has it ask what becomes of a change.
func (m *member) watch(id string) {
	if i := slices.IndexFunc(m.watches, func(w watchedChange) bool { return w.status.ID == id }); i >= 0 {
		m.watches[i].until = m.node.now + watchDuration
	} else {
		if len(m.watches) == maxWatchedChanges {
			m.watches = slices.Delete(m.watches, 0, 1)
		}
		m.watches = append(m.watches, watchedChange{ChangeStatus{ID: id}, m.node.now + watchDuration})
	}
	m.requestSoon()
}
