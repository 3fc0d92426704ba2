package policy

import (
	"maps"
	"slices"
	"time"
)

// rejoinInterval is the time after which a member that is not in the roster, and so admits no requests, sends the next
// lease request. A longer interval delays its start; a shorter one sends requests while the log has not applied its
// join yet.
const rejoinInterval = urgentRequestInterval / 4

// leaseTerms is the information about the member's documents in a response of either format.
type leaseTerms struct {
	requestedAt time.Duration // when the request was sent; the response was valid at some time after that
	changed     []DocumentRef // active documents that may differ from the member's
	pendingIDs  []string      // IDs of the changes being prepared that affect the member
	partsHash   uint64        // hash of the parts that the roster has for the member
	// coversParts reports that the response covers exactly the parts that the member holds, or all parts.
	coversParts bool
}

// receiveLeaseResponse handles the leader's response to a request. The response was valid at some time after the
// request was sent.
func (m *member) receiveLeaseResponse(from string, response *LeaseResponse) {
	requestedAt, ok := m.outstanding[response.Seq]
	if !ok || response.Seq <= m.lastAnsweredSeq {
		return
	}
	m.recordResponse(from, response)
	m.updateWatches(response.Statuses)
	m.updateRefusal(response.Refusal)
	terms := m.termsOf(response, requestedAt)
	m.rosterPartsHash = terms.partsHash
	m.partsRequested = response.PartsRequested
	if response.Complete && terms.coversParts {
		terms.changed = append(terms.changed, m.withdrawnDocuments(terms.changed)...)
	}
	if !m.updateMissing(terms) {
		return
	}
	for _, change := range slices.Clone(m.prepared) {
		m.activateMissing(change)
	}
	if len(m.missing) > 0 {
		if m.fetchMissing() || !m.inRoster {
			m.inRoster = false
			return
		}
	} else if response.Format > 0 && terms.coversParts {
		m.knownUpTo = response.CommittedUpTo
	}
	m.forgetEndedChanges(terms)
	m.fetchPending(terms.pendingIDs)
	m.renewLease(response.InRoster, terms)
}

// recordResponse records the leader, and the voter through which the response came.
func (m *member) recordResponse(from string, response *LeaseResponse) {
	maps.DeleteFunc(m.outstanding, func(seq uint64, _ time.Duration) bool { return seq <= response.Seq })
	m.lastAnsweredSeq = response.Seq
	m.lastResponseAt = m.node.now
	m.leader = response.Leader
	m.unansweredRequests = 0
	if from != response.Leader {
		m.relay = from
	} else if m.avoidedLeader == from {
		m.avoidedLeader = ""
	}
	m.node.learnVoters(response.Voters)
}

// updateRefusal records why the leader does not add this member to the roster. An empty refusal means that there is no
// obstacle.
func (m *member) updateRefusal(refusal string) {
	if refusal == m.refusal {
		return
	}
	m.refusal = refusal
	if refusal != "" {
		m.node.errorf("policy: the leader does not add this member to the fleet's roster: %s", refusal)
	}
}

// termsOf returns the terms in a response of either format.
func (m *member) termsOf(response *LeaseResponse, requestedAt time.Duration) leaseTerms {
	ownHash := partsHash(m.configuredParts)
	terms := leaseTerms{
		requestedAt: requestedAt,
		changed:     response.Changed,
		pendingIDs:  response.PendingIDs,
		partsHash:   response.PartsHash,
	}
	if response.Format == 0 {
		// A leader of format 1 supports only the global part, and counts this member for every change.
		terms.changed = nil
		terms.pendingIDs = nil
		terms.partsHash = ownHash
		if response.ActiveNumber != m.active.Number || response.ActiveID != m.active.ID {
			terms.changed = []DocumentRef{{Number: response.ActiveNumber, ID: response.ActiveID}}
		}
		if response.Pending != "" {
			terms.pendingIDs = []string{response.Pending}
		}
	}
	terms.coversParts = terms.partsHash == ownHash || response.CountsForAllParts
	return terms
}

// withdrawnDocuments returns the parts that have an active document here and that a complete response does not name. A
// rescue has lost their documents, so each is returned with Number 0.
func (m *member) withdrawnDocuments(named []DocumentRef) []DocumentRef {
	var withdrawn []DocumentRef
	for _, part := range append([]string{""}, sortedKeys(m.activeParts)...) {
		isNamed := slices.ContainsFunc(named, func(ref DocumentRef) bool { return ref.Part == part })
		if !isNamed && m.activeDocument(part).Number > 0 {
			withdrawn = append(withdrawn, DocumentRef{Part: part})
		}
	}
	return withdrawn
}

// updateMissing determines which active documents are missing here, and deactivates those that a rescue has lost. It
// returns false if the response has an older document than this member although there was no rescue: such a response
// must not be used any further.
func (m *member) updateMissing(terms leaseTerms) bool {
	n := m.node
	rescued := n.epochChangedAt > 0 && terms.requestedAt > n.epochChangedAt
	clear(m.missing)
	for _, ref := range terms.changed {
		d := m.activeDocument(ref.Part)
		switch {
		case !m.holdsPart(ref.Part):
		case ref.Number > d.Number:
			m.missing[ref.Part] = ref
		case ref.Number < d.Number && !rescued:
			clear(m.missing)
			return false
		case ref.Number == 0 && d.Number > 0:
			n.errorf("policy %d%s is given up: after a rescue none is in force", d.Number, partSuffix(ref.Part))
			m.activate(Document{Part: ref.Part})
		case ref.Number < d.Number || ref.ID != d.ID:
			n.errorf("policy %d%s is given up: after a rescue %d is in force", d.Number, partSuffix(ref.Part), ref.Number)
			m.missing[ref.Part] = ref
		}
	}
	return true
}

// fetchMissing requests the active documents that are missing here. It reports whether the member served one of their
// parts, which it must no longer serve by its old document.
func (m *member) fetchMissing() (servedPart bool) {
	for _, part := range sortedKeys(m.missing) {
		if part == "" || slices.Contains(m.servedParts, part) {
			servedPart = true
		}
		m.fetch(m.missing[part].ID)
	}
	return servedPart
}

// forgetEndedChanges drops the changes that are no longer being prepared. If the member has prepared such a change,
// and it is not active either, then it was aborted, unless the member persisted it only after the request was sent.
func (m *member) forgetEndedChanges(terms leaseTerms) {
	isPending := func(id string) bool { return slices.Contains(terms.pendingIDs, id) }
	m.prepared = slices.DeleteFunc(m.prepared, func(d *Document) bool {
		aborted := !isPending(d.ID) && terms.requestedAt > m.preparedAt[d.ID]
		if aborted {
			delete(m.preparedAt, d.ID)
			m.dirty = true
		}
		return aborted
	})
	maps.DeleteFunc(m.rejections, func(id, _ string) bool { return !isPending(id) })
	maps.DeleteFunc(m.fetching, func(id string, _ time.Duration) bool { return !isPending(id) && !m.isMissing(id) })
}

// fetchPending requests the changes being prepared that this member has neither prepared nor rejected.
func (m *member) fetchPending(ids []string) {
	for _, id := range ids {
		if m.rejections[id] == "" && !m.isPrepared(id) {
			m.fetch(id)
		}
	}
}

// renewLease extends the lease if the response confirms that the member is in the roster, and schedules the next
// request.
func (m *member) renewLease(inRoster bool, terms leaseTerms) {
	n := m.node
	m.inRoster = inRoster
	if !inRoster {
		m.nextRequestAt = min(m.nextRequestAt, n.now+rejoinInterval)
		return
	}
	m.everInRoster = true
	if terms.coversParts && len(m.missing) == 0 {
		m.servedParts = m.configuredParts
	}
	m.leaseExpiry = max(m.leaseExpiry, terms.requestedAt+n.settings.Lease)
	switch {
	case !m.needsResponse():
		m.nextRequestAt = n.now + m.jitter(n.settings.Lease/renewalsPerLease)
	case !terms.coversParts:
		m.requestSoon()
	}
}

// partSuffix returns the phrase that names a part in a log line, after the number of its document. It is empty for the
// global part.
func partSuffix(part string) string {
	if part == "" {
		return ""
	}
	return " of " + part
}
