package policy

import (
	"slices"
	"time"
)

// member is the part of a Node that every daemon has. It knows the active documents of the parts that it holds, persists
// the changes being prepared, renews its lease at the leader, and decides what its daemon serves by.
//
// By its own clock it may admit requests:
//   - not before the leader has confirmed that this run is in the roster, and with which active documents;
//   - with StopWhenIsolated: until Lease after the request of the last such confirmation;
//   - otherwise without a bound, but while it has prepared a change whose outcome it does not know, until Lease after
//     that request, and from then on only what both the active documents and the change allow. No other change of these
//     parts can be committed meanwhile, since each needs this member to prepare it;
//   - by a service's part only if the roster has it that this member holds the part: otherwise no change waits for it.
type member struct {
	node *Node

	// What is active, and what this member holds.
	active      Document            // of the global part
	activeParts map[string]Document // of the other parts that have one
	// knownUpTo is the CommitIndex up to which it knows all committed documents of its parts; 0: nothing.
	knownUpTo       uint64
	configuredParts []string // that it is to hold, besides the global one, in order
	// servedParts are those of them that the roster has for this member, and whose active document, if any, is here.
	servedParts     []string
	rosterPartsHash uint64 // of the parts that the roster has for this member, by the last response
	partsRequested  bool   // by the last response: the next request is to list the parts

	// Changes being prepared.
	prepared   []*Document              // on the disk, and this member can serve by them
	preparedAt map[string]time.Duration // when they were persisted, by ID
	rejections map[string]string        // changes that it can't serve by, and why
	missing    map[string]DocumentRef   // active by the last response, and not here, by part
	fetching   map[string]time.Duration // changes whose documents were requested, and when
	// deferred are changes that are active, and by which this member can't serve without others that it does not have yet.
	deferred []*Document

	// Writing to the disk.
	savingSeq     uint64        // of the batch that is being written; 0: none
	savingChanges []*Document   // that are in this batch for the first time
	queuedChanges []*Document   // to go into the next one
	dirty         bool          // the disk does not have the active documents, or has a change that is over
	saveAt        time.Duration // when dirty: not before

	// The lease.
	exclusiveName bool // this process is the only one that uses its name
	inRoster      bool // by the last response
	everInRoster  bool // in this run
	leaseExpiry   time.Duration
	startedAt     time.Duration
	serving       Serving // as last emitted
	refusal       string  // why it is not taken into the roster, by the last response

	// Requests to the voters.
	seq                uint64                   // of the last lease request
	outstanding        map[uint64]time.Duration // requests without a response, and when they were sent, by Seq
	lastAnsweredSeq    uint64
	lastResponseAt     time.Duration
	nextRequestAt      time.Duration
	lastRequestAt      time.Duration
	unansweredRequests int    // since the last response
	requestTarget      string // of the last request
	voterOffset        int    // chooses the voter while the leader is not known
	leader             string // as the last response said; empty: not known
	relay              string // the voter through which the last forwarded response came
	avoidedLeader      string // a leader that did not respond ...
	avoidUntil         time.Duration
	rotation           int // advances what requests report where that is bounded

	// On behalf of operators.
	watches   []watchedChange
	proposals []*outgoingProposal
	history   *History
}

// savedMember is what a member stores.
type savedMember struct {
	Active         Document  `cbor:"1,keyasint,omitempty"`
	LegacyPrepared *Document `cbor:"2,keyasint,omitempty"` // a change of the global part alone, which format 1 knows
	Voters         []string  `cbor:"3,keyasint,omitempty"`
	Epoch          uint64    `cbor:"4,keyasint,omitempty"`
	// ActiveParts and what follows: since format 2.
	ActiveParts     []Document  `cbor:"5,keyasint,omitempty"`
	PreparedChanges []*Document `cbor:"6,keyasint,omitempty"` // besides LegacyPrepared
	KnownUpTo       uint64      `cbor:"7,keyasint,omitempty"`
	Format          uint8       `cbor:"8,keyasint,omitempty"`
	PartsHash       uint64      `cbor:"9,keyasint,omitempty"` // of the parts for which KnownUpTo holds
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

// restore takes what the member stored.
func (m *member) restore(saved *savedMember) {
	m.active = saved.Active
	m.prepared = saved.allPrepared()
	m.knownUpTo = saved.KnownUpTo
	if saved.PartsHash != partsHash(m.configuredParts) { // the daemon's file has other services now
		m.knownUpTo = 0
	}
	for _, d := range saved.ActiveParts {
		m.activeParts[d.Part] = d
	}
}

// start makes the first step.
func (m *member) start() {
	n := m.node
	m.startedAt = n.now
	m.nextRequestAt = n.now
	m.discardUnheldParts()
	stored := m.prepared
	m.prepared = nil
	for _, change := range stored {
		// With another build or another file it may not be able to serve by what it has prepared.
		if err := m.checkChange(change); err != nil {
			m.rejections[change.ID] = err.Error()
			continue
		}
		m.prepared = append(m.prepared, change)
		m.preparedAt[change.ID] = n.now
	}
	if n.epoch > 0 && m.knownUpTo == 0 { // the last process ended before it knew what a rescue had given up
		n.epochChangedAt = max(1, n.now)
	}
	if h := n.settings.Handoff; h != nil && h.Number == m.active.Number {
		m.takeOver(h)
	}
}

// takeOver goes on with the lease of the process that this one replaces.
func (m *member) takeOver(h *HandoffState) {
	m.inRoster = true
	m.everInRoster = true
	m.leaseExpiry = m.node.now + h.LeaseRemaining
	m.seq = h.Seq + 1
	m.lastAnsweredSeq = h.Seq
	m.servedParts = h.ServedParts(m.configuredParts, m.activeDocument)
}

// advance does what is due by now.
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

// nextDeadline returns when advance is to be called at the latest.
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

// standaloneAt is when a member that reached no voter may serve by the last known policy.
func (m *member) standaloneAt() time.Duration { return m.startedAt + m.node.settings.StandaloneAfter }

// markDirty has the member's state written to the disk as soon as no write is in progress.
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

// setParts records which parts the member is to hold from now on.
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
	m.knownUpTo = 0      // the active documents are requested for all parts, also those that are new here
	clear(m.outstanding) // their responses will be for the previous parts
	m.servedParts = slices.DeleteFunc(slices.Clone(m.servedParts), func(part string) bool {
		return !slices.Contains(parts, part)
	})
	m.discardUnheldParts()
	m.markDirty()
	m.requestSoon()
}

// resetKnowledge forgets what the voters know of this member and it of them, since after a rescue both may be wrong.
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

// holdsPart reports whether the member is to hold a part.
func (m *member) holdsPart(part string) bool {
	if part == "" {
		return true
	}
	_, ok := slices.BinarySearch(m.configuredParts, part)
	return ok
}

// activeDocument returns the active document of a part; Number 0: it has none here.
func (m *member) activeDocument(part string) Document {
	if part == "" {
		return m.active
	}
	if d, ok := m.activeParts[part]; ok {
		return d
	}
	return Document{Part: part}
}

// sortedActiveParts returns the active documents but the global one, by name.
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

// isMissing reports whether a change made an active document that is not here.
func (m *member) isMissing(id string) bool {
	for _, ref := range m.missing {
		if ref.ID == id {
			return true
		}
	}
	return false
}
