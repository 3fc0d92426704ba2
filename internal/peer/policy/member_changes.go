package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// fetchRetryInterval is after which documents are requested again, since a message may be lost. A shorter one adds load
	// at a voter that serves all members at once; a longer one delays a change by a lost message.
	fetchRetryInterval = 300 * time.Millisecond
	// saveRetryInterval is after which a member writes again to a disk that took nothing. It serves on meanwhile.
	saveRetryInterval = 5 * time.Second
)

// fetch requests the documents of a change, unless that is done or the documents are here already.
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
		voter = m.leaderOrRandomVoter() // the leader may be unreachable from here; any voter has the documents soon
	}
	m.fetching[id] = n.now
	if n.raftNode != nil {
		if change := n.raftNode.state.changeDocuments(id, m.holdsPart); change != nil {
			m.receiveChange(change)
			return
		}
	}
	request := &Message{Fetch: id}
	if !m.inRoster || m.rosterPartsHash != partsHash(m.configuredParts) { // the voters may not know what it holds
		request.Parts = m.configuredParts
	}
	n.send(voter, request)
}

// receiveChange takes the documents of a change: one that is active and not here, or one being prepared.
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
			m.node.errorf("policy: change %s (by %s: %s) fails this daemon's check: %v", change.ID, change.Author, change.Reason, err)
		}
		m.reject(change.ID, err.Error())
		return
	}
	m.queuedChanges = append(m.queuedChanges, change)
	m.saveQueued()
}

// hasValidTexts reports whether a change that another member sent has texts of allowed sizes, with their digests.
func hasValidTexts(change *Document) bool {
	for _, d := range change.Documents() {
		if len(d.Body) > MaxBodyBytes || d.Digest != DigestOf(d.Body) {
			return false
		}
	}
	return change.bodyBytes() <= MaxChangeBytes
}

// isNew reports whether a change may have a document that this member does not have.
func (m *member) isNew(change *Document) bool {
	if m.isMissing(change.ID) || m.node.epochChangedAt > 0 {
		return true
	}
	return slices.ContainsFunc(change.Documents(), func(d Document) bool {
		return d.Number > m.activeDocument(d.Part).Number
	})
}

// reject reports to the leader with the next request that this member can't serve by a change.
func (m *member) reject(id, reason string) {
	m.rejections[id] = reason
	m.requestSoon()
}

// receiveActiveChange takes documents that are active: together with those that came before and pass the check only
// with them, or else by themselves.
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
		m.node.errorf("policy: %s, which is in force (by %s: %s), fails this daemon's check: %v", change.ID, change.Author, change.Reason, err)
		m.rejections[change.ID] = err.Error()
	}
	m.saveQueued()
}

// checkChange reports whether this member could serve by a change: with the active documents alone, and with all other
// changes being prepared as well. The part of one service does not affect another service, so whatever subset of the
// changes is committed, each service is served by documents that one of these two checks has seen together.
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

// overlay returns the documents that would be active with the changes committed, the global one first.
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

// activate makes a document the active one of its part; with Number 0 the part has none.
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
	m.requestSoon() // the leader is to know
}

// activateMissing activates those documents of a change that are active and were missing here. If there are any, the
// change is committed and no longer being prepared.
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

// saveQueued writes the queued changes, unless a write is in progress: its end does so.
func (m *member) saveQueued() {
	if m.savingSeq == 0 && len(m.queuedChanges) > 0 {
		m.save()
	}
}

// save writes the member's state, with all queued changes at once.
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
	if i := slices.IndexFunc(saved.PreparedChanges, (*Document).isGlobalOnly); i >= 0 { // where format 1 has it
		saved.LegacyPrepared = saved.PreparedChanges[i]
		saved.PreparedChanges = slices.Delete(saved.PreparedChanges, i, i+1)
	}
	m.savingChanges = m.queuedChanges
	m.queuedChanges = nil
	m.dirty = false
	m.savingSeq = m.node.persist(Batch{Member: encode(&saved)})
}

// persisted takes the outcome of the write in progress.
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

// changePersisted takes a change that is on the disk now.
func (m *member) changePersisted(change *Document) {
	isOutdated := func(d Document) bool { return d.Number <= m.activeDocument(d.Part).Number }
	switch {
	case m.isMissing(change.ID):
		m.activateMissing(change)
	case slices.ContainsFunc(change.Documents(), isOutdated): // it was aborted meanwhile
		m.markDirty()
	default:
		m.prepared = append(m.prepared, change)
		m.preparedAt[change.ID] = m.node.now
		delete(m.rejections, change.ID)
		m.requestSoon()
	}
}

// changeNotPersisted takes a change that the disk did not take. An active one is served all the same, since the member
// has to request it again after a start anyway; one being prepared is rejected.
func (m *member) changeNotPersisted(change *Document, err error) {
	if m.isMissing(change.ID) {
		m.node.errorf("policy %s is in force and can't be persisted: %v", change.ID, err)
		m.activateMissing(change)
		m.saveAt = m.node.now + saveRetryInterval
		return
	}
	m.reject(change.ID, "it can't be put on the disk: "+err.Error())
	m.node.errorf("policy: change %s: %s", change.ID, m.rejections[change.ID])
}
