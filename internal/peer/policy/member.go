package policy

import (
	"slices"
	"time"
)

// member is the role that every daemon has in the replication of the policy. It stores the active documents of the
// parts that it holds, persists the changes being prepared, renews its lease at the leader, and decides what its
// daemon serves by.
//
// The member decides by its own clock when it may admit requests:
//   - It admits none before the leader has confirmed that this run is in the roster, and which documents are active.
//   - With StopWhenIsolated, it admits requests until Lease after it sent the last request that was confirmed so.
//   - Otherwise there is no such limit. But if the member has prepared a change and has not received its outcome, then
//     from Lease after that request on it admits only what both the active documents and the change allow. Meanwhile
//     no other change of these parts can be committed, because each needs this member to prepare it.
//   - It serves by a service's part only if the roster lists the part for this member: otherwise changes of the part
//     would not wait for this member.
type member struct {
	node *Node

	// Active documents, and the parts that this member holds.
	active      Document            // active global document
	activeParts map[string]Document // active documents of the other parts that have one
	// knownUpTo is the CommitIndex up to which it has all committed documents of its parts; 0: all are requested anew.
	knownUpTo       uint64
	configuredParts []string // sorted parts that it is configured to hold, besides the global one
	// servedParts are those configured parts that the roster lists for this member, and whose active document, if
	// there is one, this member has.
	servedParts     []string
	rosterPartsHash uint64 // hash of the parts that the roster lists for this member, from the last response
	partsRequested  bool   // the last response requires that the next request lists the parts

	// Changes being prepared.
	prepared   []*Document              // changes that are on the disk, and that this member can serve by
	preparedAt map[string]time.Duration // when they were persisted, by ID
	rejections map[string]string        // changes that it can't serve by: the reasons by ID
	missing    map[string]DocumentRef   // documents that are active by the last response and that it lacks, by part
	fetching   map[string]time.Duration // changes whose documents were requested: the times by ID
	// deferred are active changes that this member can serve by only together with other changes that it still lacks.
	deferred []*Document

	// Writing to the disk.
	savingSeq     uint64        // Seq of the batch that is being written; 0: none
	savingChanges []*Document   // changes that are in this batch for the first time
	queuedChanges []*Document   // changes for the next batch
	dirty         bool          // the disk lacks an active document, or has a change that has ended
	saveAt        time.Duration // earliest time of the next write if dirty

	// The lease.
	exclusiveName bool // this process is the only one that uses its name
	inRoster      bool // this run is in the roster, by the last response
	everInRoster  bool // some response to this run has confirmed inRoster
	leaseExpiry   time.Duration
	startedAt     time.Duration
	serving       Serving // the last one emitted
	refusal       string  // why the leader does not add this member to the roster, from the last response

	// Requests to the voters.
	seq                uint64                   // Seq of the last lease request
	outstanding        map[uint64]time.Duration // when the requests without a response were sent, by Seq
	lastAnsweredSeq    uint64
	lastResponseAt     time.Duration
	nextRequestAt      time.Duration
	lastRequestAt      time.Duration
	unansweredRequests int    // number of requests since the last response
	requestTarget      string // receiver of the last request
	voterOffset        int    // selects the voter while no leader is on record
	leader             string // leader named in the last response; empty: none on record
	relay              string // voter that forwarded the last forwarded response
	avoidedLeader      string // leader that did not respond directly, avoided until avoidUntil
	avoidUntil         time.Duration
	rotation           int // increases with each request, to report in turn what does not fit into one request

	// Requests of operators.
	watches   []watchedChange
	proposals []*outgoingProposal
	history   *History
}

// savedMember is the data that a member stores.
type savedMember struct {
	Active         Document  `cbor:"1,keyasint,omitempty"`
	LegacyPrepared *Document `cbor:"2,keyasint,omitempty"` // a prepared change of only the global part
	Voters         []string  `cbor:"3,keyasint,omitempty"`
	Epoch          uint64    `cbor:"4,keyasint,omitempty"`
	// ActiveParts and the fields after it exist since format 2.
	ActiveParts     []Document  `cbor:"5,keyasint,omitempty"`
	PreparedChanges []*Document `cbor:"6,keyasint,omitempty"` // prepared changes besides LegacyPrepared
	KnownUpTo       uint64      `cbor:"7,keyasint,omitempty"`
	Format          uint8       `cbor:"8,keyasint,omitempty"`
	PartsHash       uint64      `cbor:"9,keyasint,omitempty"` // hash of the parts that KnownUpTo is valid for
}

// allPrepared returns the prepared changes of both formats.
func (s *savedMember) allPrepared() []*Document {
	if s.LegacyPrepared == nil {
		return s.PreparedChanges
	}
	return append([]*Document{s.LegacyPrepared}, s.PreparedChanges...)
}

func newMember(n *Node) member {
	return member{
		node:            n,
		configuredParts: n.settings.Parts,
		activeParts:     map[string]Document{},
		preparedAt:      map[string]time.Duration{},
		rejections:      map[string]string{},
		missing:         map[string]DocumentRef{},
		fetching:        map[string]time.Duration{},
		outstanding:     map[uint64]time.Duration{},
	}
}

// restore loads the data that the member stored.
func (m *member) restore(saved *savedMember) {
	m.active = saved.Active
	m.prepared = saved.allPrepared()
	m.knownUpTo = saved.KnownUpTo
	if saved.PartsHash != partsHash(m.configuredParts) { // the services in the daemon's file have changed
		m.knownUpTo = 0
	}
	for _, d := range saved.ActiveParts {
		m.activeParts[d.Part] = d
	}
}

// start checks the restored changes, and takes over from a predecessor, in the first step.
func (m *member) start() {
	n := m.node
	m.startedAt = n.now
	m.nextRequestAt = n.now
	m.discardUnheldParts()
	stored := m.prepared
	m.prepared = nil
	for _, change := range stored {
		// If the build or the daemon's file has changed, the member may no longer be able to serve by a change that
		// it has prepared.
		if err := m.checkChange(change); err != nil {
			m.rejections[change.ID] = err.Error()
			continue
		}
		m.prepared = append(m.prepared, change)
		m.preparedAt[change.ID] = n.now
	}
	if n.epoch > 0 && m.knownUpTo == 0 {
		// The previous process may have ended before it determined which documents a rescue had lost.
		n.epochChangedAt = max(1, n.now)
	}
	if h := n.settings.Handoff; h != nil && h.ActiveNumber == m.active.Number {
		m.takeOver(h)
	}
}

// takeOver continues the lease of the process that this one replaces.
func (m *member) takeOver(h *HandoffState) {
	m.inRoster = true
	m.everInRoster = true
	m.leaseExpiry = m.node.now + h.LeaseRemaining
	m.seq = h.Seq + 1
	m.lastAnsweredSeq = h.Seq
	m.servedParts = h.ServedParts(m.configuredParts, m.activeDocument)
}

// advance performs the work that is due: writes, lease requests, proposals, and the update of Serving.
func (m *member) advance() {
	n := m.node
	if m.dirty && m.savingSeq == 0 && n.now >= m.saveAt {
		m.save()
	}
	if n.now >= m.nextRequestAt {
		m.sendLeaseRequest()
	}
	m.advanceProposals()
	m.watches = slices.DeleteFunc(m.watches, func(w watchedChange) bool { return n.now >= w.until })
	m.updateServing()
}

// nextDeadline returns the time by which advance has to be called.
func (m *member) nextDeadline() time.Duration {
	at := m.nextRequestAt
	if m.dirty && m.savingSeq == 0 {
		at = min(at, m.saveAt)
	}
	for _, p := range m.proposals {
		at = min(at, p.sendAt)
	}
	if until := m.serving.Until; until > m.node.now {
		at = min(at, until)
	}
	if !m.everInRoster && m.node.settings.ServeLastKnown {
		at = min(at, m.standaloneAt())
	}
	return at
}

// standaloneAt returns the time from which on a member that has reached no voter may serve by the last known policy.
func (m *member) standaloneAt() time.Duration { return m.startedAt + m.node.settings.StandaloneAfter }

// markDirty schedules a write of the member's state as soon as no write is in progress.
func (m *member) markDirty() {
	m.dirty = true
	m.saveAt = m.node.now
}

// setExclusiveName records whether this process is the only one that uses its name.
func (m *member) setExclusiveName(exclusive bool) {
	if m.exclusiveName != exclusive {
		m.exclusiveName = exclusive
		m.requestSoon()
	}
}

// setParts sets the parts that the member holds from now on.
func (m *member) setParts(names []string) {
	parts, err := normalizeParts(names)
	if err != nil {
		m.node.errorf("%v", err)
		return
	}
	if slices.Equal(parts, m.configuredParts) {
		return
	}
	m.configuredParts = parts
	m.knownUpTo = 0      // requests the active documents of all parts, including the new ones
	clear(m.outstanding) // responses to these requests would be for the previous parts
	m.servedParts = slices.DeleteFunc(slices.Clone(m.servedParts), func(part string) bool {
		return !slices.Contains(parts, part)
	})
	m.discardUnheldParts()
	m.markDirty()
	m.requestSoon()
}

// resetKnowledge discards the commit index received from the voters, and what their roster lists for this member:
// after a rescue both may be wrong.
func (m *member) resetKnowledge() {
	m.knownUpTo = 0
	m.rosterPartsHash = 0
	m.servedParts = nil
	m.markDirty()
}

// discardUnheldParts drops the documents of parts that the member does not hold.
func (m *member) discardUnheldParts() {
	for part := range m.activeParts {
		if !m.holdsPart(part) {
			delete(m.activeParts, part)
		}
	}
	for part := range m.missing {
		if !m.holdsPart(part) {
			delete(m.missing, part)
		}
	}
}

// holdsPart reports whether the member is configured to hold a part.
func (m *member) holdsPart(part string) bool {
	if part == "" {
		return true
	}
	_, ok := slices.BinarySearch(m.configuredParts, part)
	return ok
}

// activeDocument returns the active document of a part. Its Number is 0 if the member has none.
func (m *member) activeDocument(part string) Document {
	if part == "" {
		return m.active
	}
	if d, ok := m.activeParts[part]; ok {
		return d
	}
	return Document{Part: part}
}

// sortedActiveParts returns the active documents except the global one, sorted by part.
func (m *member) sortedActiveParts() []Document {
	var documents []Document
	for _, part := range sortedKeys(m.activeParts) {
		documents = append(documents, m.activeParts[part])
	}
	return documents
}

func (m *member) isPrepared(id string) bool {
	return slices.ContainsFunc(m.prepared, func(d *Document) bool { return d.ID == id })
}

// isMissing reports whether a missing active document belongs to the change.
func (m *member) isMissing(id string) bool {
	for _, ref := range m.missing {
		if ref.ID == id {
			return true
		}
	}
	return false
}
