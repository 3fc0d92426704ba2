package policy

import (
	"fmt"
	"slices"
	"time"
)

// leaseExchange is a lease request, together with the leader's records of the member that sent it.
type leaseExchange struct {
	*LeaseRequest
	from      string // member that sent or forwarded the request
	member    *memberProgress
	entry     *rosterEntry     // roster entry of this run of the member; nil: this run is not in the roster
	affecting []*pendingChange // changes being prepared that affect the member, or would if it were in the roster
}

// respond answers a lease request, and reviews the changes that the request may decide.
func (c *coordinator) respond(r *raftNode, received receivedRequest) {
	request := received.request
	member := c.identify(r, request)
	if member == nil {
		c.reply(r, received, &LeaseResponse{Seq: request.Seq, Refusal: "another process has this name, and is there"})
		return
	}
	before := member.prepared
	c.updateMember(r, member, request)
	x := &leaseExchange{LeaseRequest: request, from: received.from, member: member}
	if i, ok := r.state.findMember(request.Name); ok && r.state.Roster[i].RunID == request.RunID {
		x.entry = &r.state.Roster[i]
	}
	x.affecting = c.affectingChanges(r, x)
	if r.node.settings.StopWhenIsolated && member.unreceivedResponses >= maxUnreceivedResponses && x.lacksChange() {
		return // the member does not receive responses: the change continues without it once its lease has expired
	}
	response := c.newResponse(r, x)
	if request.Format == 0 {
		response = legacyResponse(r, x, response)
	}
	for _, id := range request.StatusOf[:min(maxStatusQueries, len(request.StatusOf))] {
		response.Statuses = append(response.Statuses, c.changeStatus(r, id))
	}
	c.reply(r, received, response)
	if x.entry != nil {
		c.reviewAffecting(r, x, before)
	}
}

// identify returns the leader's record of the member that sent a request. It returns nil while another process that
// uses the same name is running.
func (c *coordinator) identify(r *raftNode, request *LeaseRequest) *memberProgress {
	known := c.members[request.Name]
	if known != nil && known.runID == request.RunID {
		return known
	}
	nameInUse := known != nil &&
		r.node.now-known.lastRequestAt < memberAliveSpan &&
		r.state.inRoster(request.Name, known.runID) &&
		!r.node.isCurrentRun(request.Name, request.RunID)
	if nameInUse {
		return nil
	}
	member := &memberProgress{runID: request.RunID}
	c.members[request.Name] = member
	return member
}

// updateMember records the member's state from a request.
func (c *coordinator) updateMember(r *raftNode, m *memberProgress, request *LeaseRequest) {
	now := r.node.now
	m.lastRequestAt = now
	m.format = request.Format
	m.knownUpTo = request.KnownUpTo
	m.prepared = request.PreparedIDs
	m.rejectedID = request.RejectedID
	m.rejectReason = request.RejectReason
	if request.Format == 0 {
		m.prepared = nil
		if request.Prepared != "" {
			m.prepared = []string{request.Prepared}
		}
		m.knownUpTo = 0
		if request.ActiveNumber == r.state.Active.Number {
			m.knownUpTo = r.state.CommitCount
		}
	}
	switch {
	case !request.LeaseExpired:
		m.unreceivedResponses = 0
	case m.grantedAt > 0 && now-m.grantedAt < r.node.settings.Lease:
		m.unreceivedResponses++
	}
}

// affectingChanges returns the changes being prepared that affect a member, or that would if it were in the roster.
func (c *coordinator) affectingChanges(r *raftNode, x *leaseExchange) []*pendingChange {
	var affecting []*pendingChange
	for i := range r.state.PendingChanges {
		pending := &r.state.PendingChanges[i]
		affects := wouldAffect(x.LeaseRequest, &pending.Document)
		if x.entry != nil {
			affects = r.state.affects(&pending.Document, x.entry)
		}
		if affects {
			affecting = append(affecting, pending)
		}
	}
	return affecting
}

// wouldAffect reports whether a change has a part that a member would hold if it were in the roster.
func wouldAffect(request *LeaseRequest, change *Document) bool {
	return change.Includes("") || slices.ContainsFunc(request.Parts, change.Includes)
}

// lacksChange reports whether a member of the roster has not prepared a change that affects it.
func (x *leaseExchange) lacksChange() bool {
	return x.entry != nil && slices.ContainsFunc(x.affecting, func(p *pendingChange) bool {
		return !x.member.hasPrepared(p.Document.ID)
	})
}

// newResponse returns a response of format 2. It grants a lease if the member is in the roster, and proposes the
// member's roster entry if that is missing or has to change.
func (c *coordinator) newResponse(r *raftNode, x *leaseExchange) *LeaseResponse {
	response := &LeaseResponse{
		Seq:           x.Seq,
		Voters:        r.state.Voters,
		Format:        FormatVersion,
		CommittedUpTo: r.state.CommitCount,
		Complete:      x.KnownUpTo == 0,
	}
	rosterPending := c.answerRoster(r, x, response)
	if response.InRoster {
		x.member.grantedAt = r.node.now
	}
	if x.Format > 0 {
		x.answerDocuments(r.state, response)
		if rosterPending {
			response.PartsHash = mismatchingHash(x.PartsHash) // so that the response confirms no parts
		}
	}
	for _, pending := range x.affecting {
		response.PendingIDs = append(response.PendingIDs, pending.Document.ID)
	}
	return response
}

// answerRoster fills in the member's state in the roster, and proposes the member's roster entry if that is missing or
// has to change. It reports whether a change of the entry has been proposed and not applied yet: the present entry may
// then become outdated at any moment, so the response must not confirm its parts.
func (c *coordinator) answerRoster(r *raftNode, x *leaseExchange, response *LeaseResponse) (rosterPending bool) {
	settings := &r.node.settings
	proposeEntry := false
	switch {
	case x.StopWhenIsolated != settings.StopWhenIsolated || time.Duration(x.LeaseMS)*time.Millisecond != settings.Lease:
		response.Refusal = fmt.Sprintf("its file's cut_off or lease are not those of %s, which leads (lease %v)", settings.Name, settings.Lease)
	case x.entry != nil:
		response.InRoster = !x.member.removing
		response.CountsForAllParts = x.entry.Format == 0
		response.PartsRequested = response.CountsForAllParts && r.state.Format >= FormatVersion
		differs := response.CountsForAllParts || partsHash(r.state.partNamesOf(x.entry)) != x.PartsHash
		proposeEntry = x.listsParts(r.state) && differs
	case x.Join:
		proposeEntry = true
	}
	proposed, isProposed := c.rosterChanges[x.Name]
	rosterPending = isProposed && proposed.runID == x.RunID && x.entry != nil && x.Format > 0
	isLost := r.node.now-proposed.proposedAt > reproposeInterval
	if rosterPending {
		response.CountsForAllParts = false
		proposeEntry = proposeEntry || x.listsParts(r.state) && isLost
	}
	if proposeEntry && (proposed.runID != x.RunID || proposed.partsHash != x.PartsHash || isLost) {
		c.proposeJoin(r, x)
	}
	return rosterPending
}

// listsParts reports whether a request lists the member's parts, and the format of the log can express them.
func (x *leaseExchange) listsParts(state *replicatedState) bool {
	return x.Format > 0 && x.PartsHash == partsHash(x.Parts) && state.Format >= FormatVersion
}

// proposeJoin proposes a member's roster entry, with its parts if the format of the log can express them.
func (c *coordinator) proposeJoin(r *raftNode, x *leaseExchange) {
	c.rosterChanges[x.Name] = rosterChange{x.RunID, x.PartsHash, r.node.now}
	join := &command{Kind: commandJoin, Name: x.Name, RunID: x.RunID}
	parts, err := normalizeParts(x.Parts)
	if x.Format > 0 && r.state.Format >= FormatVersion && err == nil {
		join.Format = FormatVersion
		join.Parts = parts
	}
	r.propose(join)
}

// answerDocuments fills in which active documents the member may lack, and the hash of the parts that this covers. If
// the member is in the roster, these are the parts that the roster has for it, or all parts if it counts for all.
// Otherwise they are the parts that its request lists.
func (x *leaseExchange) answerDocuments(state *replicatedState, response *LeaseResponse) {
	holds := func(part string) bool { return part == "" || slices.Contains(x.Parts, part) }
	response.PartsHash = partsHash(x.Parts)
	switch {
	case response.CountsForAllParts:
		holds = func(string) bool { return true }
		response.PartsHash = x.PartsHash
	case x.entry != nil:
		holds = func(part string) bool { return state.holdsPart(x.entry, part) }
		response.PartsHash = partsHash(state.partNamesOf(x.entry))
	}
	response.Changed = state.committedSince(x.KnownUpTo, holds)
}

// legacyResponse reduces a response to format 1, which has only the global part.
func legacyResponse(r *raftNode, x *leaseExchange, response *LeaseResponse) *LeaseResponse {
	legacy := &LeaseResponse{
		Seq:          response.Seq,
		Voters:       response.Voters,
		InRoster:     response.InRoster,
		Refusal:      response.Refusal,
		ActiveNumber: r.state.Active.Number,
		ActiveID:     r.state.Active.ID,
	}
	for _, pending := range x.affecting {
		if pending.Document.isGlobalOnly() {
			legacy.Pending = pending.Document.ID
			break
		}
	}
	return legacy
}

// reply sends a response the way the request came: directly, or through the voter that forwarded the request.
func (c *coordinator) reply(r *raftNode, received receivedRequest, response *LeaseResponse) {
	response.Leader = r.node.settings.Name
	m := &Message{LeaseResponse: response}
	if received.from != received.request.Name {
		m.To = received.request.Name
	}
	r.node.send(received.from, m)
}

// reviewAffecting reviews the changes that a request may decide: those that the member rejects, and those that it may
// be the last member to prepare. before contains the IDs of the changes that the member had prepared by its previous
// request. Reviewing at each request would cost the square of the number of members for each change. A change that is
// not reviewed here is reviewed within reviewInterval anyway.
func (c *coordinator) reviewAffecting(r *raftNode, x *leaseExchange, before []string) {
	for _, pending := range x.affecting {
		id := pending.Document.ID
		progress := c.progress[id]
		newlyPrepared := x.member.hasPrepared(id) && !slices.Contains(before, id)
		if newlyPrepared && progress != nil {
			progress.unprepared--
		}
		mayBeLast := newlyPrepared && (progress == nil || progress.unprepared <= 0)
		if x.member.rejects(id) || mayBeLast {
			c.reviewChange(r, pending)
		}
	}
}

// mismatchingHash returns a hash that differs from the given hash of parts.
func mismatchingHash(hash uint64) uint64 { return ^hash }
