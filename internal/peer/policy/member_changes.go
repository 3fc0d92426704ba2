package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// fetchRetryInterval is the time after which documents are requested again, since a message may be lost. A
	// shorter interval adds load to a voter that serves all members at once; with a longer one, a lost message delays
	// a change for longer.
	fetchRetryInterval = 300 * time.Millisecond
	// saveRetryInterval is the time after which a member repeats a failed write. It continues to serve meanwhile.
	saveRetryInterval = 5 * time.Second
)

// fetch requests the documents of a change, unless they were requested recently or are being written already.
func (m *member) fetch(id string) {
	n := m.node
	hasID := func(d *Document) bool { return d.ID == id }
	requestedAt, again := m.fetching[id]
	switch {
	case id == "", again && n.now-requestedAt < fetchRetryInterval:
		return
	case m.savingSeq > 0 && slices.ContainsFunc(m.savingChanges, hasID), slices.ContainsFunc(m.queuedChanges, hasID):
		return
	}
	voter := m.preferredVoter()
	if again && voter == m.leader {
		voter = m.leaderOrRandomVoter() // this member may not reach the leader; every voter receives the documents soon
	}
	m.fetching[id] = n.now
	if n.raftNode != nil {
		if change := n.raftNode.state.changeDocuments(id, m.holdsPart); change != nil {
			m.receiveChange(change)
			return
		}
	}
	request := &Message{Fetch: id}
	if !m.inRoster || m.rosterPartsHash != partsHash(m.configuredParts) { // the roster may not list the member's parts
		request.Parts = m.configuredParts
	}
	n.send(voter, request)
}

// receiveChange handles the documents of a change, which is either active and missing here, or being prepared.
func (m *member) receiveChange(received *Document) {
	if _, requested := m.fetching[received.ID]; !requested || !hasValidTexts(received) {
		return
	}
	change := received.filterParts(m.holdsPart)
	if change == nil {
		return
	}
	delete(m.fetching, change.ID)
	if m.isPrepared(change.ID) || !m.isNew(change) {
		return
	}
	if m.isMissing(change.ID) {
		m.receiveActiveChange(change)
		return
	}
	if err := m.checkChange(change); err != nil {
		if m.rejections[change.ID] == "" {
			m.node.errorf("policy: change %s (by %s: %s) is rejected, since it fails this daemon's check: %v",
				change.ID, change.Author, change.Reason, err)
		}
		m.reject(change.ID, err.Error())
		return
	}
	m.queuedChanges = append(m.queuedChanges, change)
	m.saveQueued()
}

// hasValidTexts reports whether the texts of a change that another member sent have allowed sizes and match their
// digests.
func hasValidTexts(change *Document) bool {
	for _, d := range change.Documents() {
		if len(d.Body) > MaxBodyBytes || d.Digest != DigestOf(d.Body) {
			return false
		}
	}
	return change.bodyBytes() <= MaxChangeBytes
}

// isNew reports whether a change may have a document that is newer than this member's active ones.
func (m *member) isNew(change *Document) bool {
	if m.isMissing(change.ID) || m.node.epochChangedAt > 0 {
		return true
	}
	return slices.ContainsFunc(change.Documents(), func(d Document) bool {
		return d.Number > m.activeDocument(d.Part).Number
	})
}

// reject records that this member can't serve by a change. The next request reports that to the leader.
func (m *member) reject(id, reason string) {
	m.rejections[id] = reason
	m.requestSoon()
}

// receiveActiveChange handles the documents of an active change. It queues them together with the deferred changes if
// all of them pass the check together; if not, it queues the change alone if that passes the check. Otherwise the
// change is deferred, because it may pass the check together with a change that arrives later.
func (m *member) receiveActiveChange(change *Document) {
	check := m.node.settings.Check
	deferred := slices.DeleteFunc(m.deferred, func(d *Document) bool { return d.ID == change.ID || !m.isMissing(d.ID) })
	together := append(deferred, change)
	m.deferred = nil
	if check == nil || check(m.overlay(together)) == nil {
		m.queuedChanges = append(m.queuedChanges, together...)
		m.saveQueued()
		return
	}
	err := check(m.overlay([]*Document{change}))
	if err == nil {
		m.queuedChanges = append(m.queuedChanges, change)
		m.deferred = together[:len(together)-1]
		m.saveQueued()
		return
	}
	m.deferred = together
	if m.rejections[change.ID] == "" {
		m.node.errorf("policy: change %s, which is in force (by %s: %s), fails this daemon's check: %v",
			change.ID, change.Author, change.Reason, err)
		m.rejections[change.ID] = err.Error()
	}
	m.saveQueued()
}

// checkChange returns an error if this member could not serve by a change. It checks the change twice: with the active
// documents alone, and with all other changes being prepared as well. The part of one service does not affect another
// service. So whichever of the changes are committed, each service is served by documents that were together in one of
// these two checks.
func (m *member) checkChange(change *Document) error {
	check := m.node.settings.Check
	if check == nil {
		return nil
	}
	if err := check(m.overlay([]*Document{change})); err != nil {
		return err
	}
	pending := slices.Concat(m.prepared, m.savingChanges, m.queuedChanges)
	if len(pending) == 0 {
		return nil
	}
	if err := check(m.overlay(append(pending, change))); err != nil {
		return fmt.Errorf("with %s, which is under way: %w", strings.Join(changeIDs(pending), ", "), err)
	}
	return nil
}

// overlay returns the documents that would be active if the changes were committed, the global one first.
func (m *member) overlay(changes []*Document) []Document {
	byPart := maps.Clone(m.activeParts)
	byPart[""] = m.active
	for _, change := range changes {
		for _, d := range change.Documents() {
			byPart[d.Part] = d
		}
	}
	var documents []Document
	for _, part := range sortedKeys(byPart) {
		documents = append(documents, byPart[part])
	}
	return documents
}

// activate makes a document the active one of its part. With Number 0, the part no longer has an active document.
func (m *member) activate(d Document) {
	switch {
	case d.Part == "":
		m.active = d
	case d.Number == 0:
		delete(m.activeParts, d.Part)
	default:
		m.activeParts[d.Part] = d
	}
	delete(m.missing, d.Part)
	m.markDirty()
	if d.Number > 0 {
		m.node.infof("policy %d%s (%s) is in force here", d.Number, partSuffix(d.Part), d.ID)
	}
	m.requestSoon() // reports the active document to the leader
}

// activateMissing activates those documents of a change that are active at the leader and missing here. If there are
// any, the change has been committed, and is no longer being prepared.
func (m *member) activateMissing(change *Document) {
	activated := false
	for _, d := range change.Documents() {
		if ref, ok := m.missing[d.Part]; ok && ref.ID == d.ID && ref.Number == d.Number {
			m.activate(d)
			activated = true
		}
	}
	if !activated {
		return
	}
	m.prepared = slices.DeleteFunc(m.prepared, func(p *Document) bool { return p.ID == change.ID })
	delete(m.preparedAt, change.ID)
	delete(m.rejections, change.ID)
	delete(m.fetching, change.ID)
}

// saveQueued writes the queued changes, unless a write is in progress: when that ends, saveQueued is called again.
func (m *member) saveQueued() {
	if m.savingSeq == 0 && len(m.queuedChanges) > 0 {
		m.save()
	}
}

// save writes the member's state, together with all queued changes.
func (m *member) save() {
	saved := savedMember{
		Active:          m.active,
		Voters:          m.node.voters,
		Epoch:           m.node.epoch,
		ActiveParts:     m.sortedActiveParts(),
		PreparedChanges: slices.Concat(m.prepared, m.queuedChanges),
		KnownUpTo:       m.knownUpTo,
		Format:          FormatVersion,
		PartsHash:       partsHash(m.configuredParts),
	}
	if i := slices.IndexFunc(saved.PreparedChanges, (*Document).isGlobalOnly); i >= 0 { // format 1 has a field for it
		saved.LegacyPrepared = saved.PreparedChanges[i]
		saved.PreparedChanges = slices.Delete(saved.PreparedChanges, i, i+1)
	}
	m.savingChanges = m.queuedChanges
	m.queuedChanges = nil
	m.dirty = false
	m.savingSeq = m.node.persist(Batch{Member: encode(&saved)})
}

// persisted handles the outcome of the write in progress.
func (m *member) persisted(seq uint64, err error) {
	if m.savingSeq == 0 || seq != m.savingSeq {
		return
	}
	changes := m.savingChanges
	m.savingSeq = 0
	m.savingChanges = nil
	if err != nil && len(changes) == 0 {
		m.dirty = true
		m.saveAt = m.node.now + saveRetryInterval
	}
	for _, change := range changes {
		if err != nil {
			m.changeNotPersisted(change, err)
		} else {
			m.changePersisted(change)
		}
	}
	m.saveQueued()
}

// changePersisted handles a change that is now on the disk: it becomes active if it is missing here, or else prepared.
func (m *member) changePersisted(change *Document) {
	isOutdated := func(d Document) bool { return d.Number <= m.activeDocument(d.Part).Number }
	switch {
	case m.isMissing(change.ID):
		m.activateMissing(change)
	case slices.ContainsFunc(change.Documents(), isOutdated): // the change was aborted meanwhile
		m.markDirty()
	default:
		m.prepared = append(m.prepared, change)
		m.preparedAt[change.ID] = m.node.now
		delete(m.rejections, change.ID)
		m.requestSoon()
	}
}

// changeNotPersisted handles a change that could not be written to the disk. An active change is served nevertheless,
// since after a restart the member requests the active documents anyway. A change being prepared is rejected.
func (m *member) changeNotPersisted(change *Document, err error) {
	if m.isMissing(change.ID) {
		m.node.errorf("policy: change %s is in force, and is served although it can't be written to the disk: %v",
			change.ID, err)
		m.activateMissing(change)
		m.saveAt = m.node.now + saveRetryInterval
		return
	}
	m.reject(change.ID, "it can't be put on the disk: "+err.Error())
	m.node.errorf("policy: change %s is rejected: %s", change.ID, m.rejections[change.ID])
}
