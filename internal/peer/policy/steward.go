package policy

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
)

// coordinator is what the voter that leads does besides: it answers members, and decides when a change comes into force, or is
// dropped. What it knows of members is heard anew by each leader; what it decides goes through the log.
//
// It answers a question only once a quorum has confirmed that it led after the question had come (Raft's read index, by
// which everything decided before is applied as well). So no answer of a leader that has lost its place comes later than
// the vote for the next, and the next one waits one lease before it holds any member's for over.
type coordinator struct {
	term         uint64 // in which it leads; 0: it does not
	leadingSince time.Duration
	nextStepAt   time.Duration // it looks again then

	unconfirmed    []receivedRequest // not yet confirmed, nor asked to be
	confirming     []receivedRequest
	readRequestID  uint64
	confirmSentAt  time.Duration
	confirmedReads []confirmedRead // confirmed; what was decided by then is to be applied yet

	members          map[string]*memberProgress // by name
	progress         map[string]*changeProgress // changes under way, by ID
	recentCommits    []recentCommit             // came into force lately: some may not know it
	reviews          int                        // through those that a change under way concerns
	rosterChanges    map[string]rosterChange
	notifyAt         time.Duration
	notifyOffset     int
	reviewAt         time.Duration
	formatProposedAt time.Duration // it proposed the form of this build
}

// changeProgress is what a leader knows of a change under way.
type changeProgress struct {
	since         time.Duration
	affected      []rosterEntry // of the roster of a version
	rosterVersion uint64
	unprepared    int           // of these that had it not on their disks at the last look, less those that have said so since
	proposed      string        // what it proposed of it: "commit" or "drop"
	proposedAt    time.Duration // and when
}

// recentCommit is a change that came into force, and whom it concerned.
type recentCommit struct {
	commitIndex uint64
	committedAt time.Duration
	affected    []rosterEntry
}

// receivedRequest is a member's, and by whom it came.
type receivedRequest struct {
	request *LeaseRequest
	from    string
}

// confirmedRead are questions that may be answered once the log is applied up to an index.
type confirmedRead struct {
	index    uint64
	requests []receivedRequest
}

// memberProgress is what a leader knows of a member.
type memberProgress struct {
	runID                    uint64
	format                   uint8
	lastRequestAt            time.Duration // it asked last
	grantedAt                time.Duration // it was told that it may go on; 0: not by this leader
	knownUpTo                uint64        // it knows what came into force up to this Order
	prepared                 []string
	rejectedID, rejectReason string
	removing                 bool // it is being taken out of the roster: it is told nothing meanwhile
	unheardResponses         int  // questions on end by which its lease is over, though it was answered
}

func (m *memberProgress) hasPrepared(id string) bool { return slices.Contains(m.prepared, id) }

type rosterChange struct {
	runID, partsHash uint64
	proposedAt       time.Duration
}

const (
	reviewInterval      = 100 * time.Millisecond
	notifyInterval      = 150 * time.Millisecond
	maxNotifications    = 64 // at a time
	reproposeInterval   = time.Second
	readIndexTimeout    = 2 * time.Second
	leaseExpirySlack    = 20 * time.Millisecond // a lease is over so long after its end
	memberAliveSpan     = 2 * time.Second       // who asked so lately is there
	maxUnheardResponses = 3
)

// advance does what is due.
func (l *coordinator) advance(v *raftNode) {
	n := v.node
	s := v.status()
	if s.RaftState != raft.StateLeader {
		if l.term > 0 {
			*l = coordinator{}
		}
		l.nextStepAt = Never
		return
	}
	if l.term != s.HardState.GetTerm() {
		*l = coordinator{term: s.HardState.GetTerm(), leadingSince: n.now, members: map[string]*memberProgress{}, rosterChanges: map[string]rosterChange{}, progress: map[string]*changeProgress{}}
		n.say(false, "this voter leads in term %d", l.term)
	}
	l.nextStepAt = n.now + reviewInterval
	l.requestReadIndex(v)
	if n.now >= l.reviewAt {
		l.reviewAt = n.now + reviewInterval
		l.removeDeparted(v)
		l.reviewChanges(v)
		l.notifyMembers(v)
	}
}

// receiveRequest takes a member's question.
func (l *coordinator) receiveRequest(v *raftNode, q receivedRequest) {
	if len(l.unconfirmed) < 4096 {
		l.unconfirmed = append(l.unconfirmed, q)
	}
	l.requestReadIndex(v)
}

// requestReadIndex has Raft confirm that this one leads still, for all questions that have come.
func (l *coordinator) requestReadIndex(v *raftNode) {
	if len(l.confirming) > 0 && v.node.now-l.confirmSentAt > readIndexTimeout {
		l.confirming = nil
	}
	if len(l.unconfirmed) == 0 || len(l.confirming) > 0 || l.term == 0 {
		return
	}
	l.confirming, l.unconfirmed = l.unconfirmed, nil
	l.readRequestID++
	l.confirmSentAt = v.node.now
	v.rawNode.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, l.term), l.readRequestID))
}

// receiveReadState takes Raft's word: all that was decided when it was asked for lies up to an index.
func (l *coordinator) receiveReadState(v *raftNode, r raft.ReadState) {
	if len(r.RequestCtx) != 16 || binary.BigEndian.Uint64(r.RequestCtx) != l.term || binary.BigEndian.Uint64(r.RequestCtx[8:]) != l.readRequestID || !v.isLeader() || l.members == nil {
		return
	}
	l.confirmedReads = append(l.confirmedReads, confirmedRead{r.Index, l.confirming})
	l.confirming = nil
	l.answerConfirmed(v)
	l.requestReadIndex(v)
}

// answerConfirmed answers what is confirmed, and for which enough is applied.
func (l *coordinator) answerConfirmed(v *raftNode) {
	for len(l.confirmedReads) > 0 && l.confirmedReads[0].index <= v.appliedIndex && l.members != nil {
		all := l.confirmedReads[0].requests
		l.confirmedReads = l.confirmedReads[1:]
		for _, q := range all {
			l.respond(v, q)
		}
	}
}

// respond answers one member.
func (l *coordinator) respond(v *raftNode, q receivedRequest) {
	n, a, s := v.node, q.request, v.state
	m := l.members[a.Name]
	if m == nil || m.runID != a.RunID {
		if m != nil && n.now-m.lastRequestAt < memberAliveSpan && s.inRoster(a.Name, m.runID) && !n.isCurrentRun(a.Name, a.RunID) {
			l.reply(v, q, &LeaseResponse{Seq: a.Seq, Refusal: "another process has this name, and is there"})
			return
		}
		m = &memberProgress{runID: a.RunID}
		l.members[a.Name] = m
	}
	m.lastRequestAt, m.format, m.knownUpTo, m.rejectedID, m.rejectReason = n.now, a.Format, a.KnownUpTo, a.RejectedID, a.RejectReason
	had := m.prepared
	if m.prepared = a.PreparedIDs; a.Format == 0 {
		if m.prepared = nil; a.Prepared != "" {
			m.prepared = []string{a.Prepared}
		}
		if m.knownUpTo = 0; a.ActiveNumber == s.Active.Number {
			m.knownUpTo = s.CommitCount
		}
	}
	switch {
	case !a.LeaseExpired:
		m.unheardResponses = 0
	case m.grantedAt > 0 && n.now-m.grantedAt < n.settings.Lease:
		m.unheardResponses++
	}
	at, in := s.findMember(a.Name)
	in = in && s.Roster[at].RunID == a.RunID
	var p *rosterEntry
	if in {
		p = &s.Roster[at]
	}
	var under []*pendingChange // that concern it
	lacks := false
	for i := range s.PendingChanges {
		if u := &s.PendingChanges[i]; in && s.affects(&u.Document, p) || !in && l.wouldAffect(a, &u.Document) {
			under = append(under, u)
			lacks = lacks || in && !m.hasPrepared(u.Document.ID)
		}
	}
	if n.settings.StopWhenIsolated && m.unheardResponses >= maxUnheardResponses && lacks {
		return // it hears no answer: the change goes on without it once what it was told is over
	}
	x := &LeaseResponse{Seq: a.Seq, Voters: s.Voters, Format: FormatVersion, CommittedUpTo: s.CommitCount, Complete: a.KnownUpTo == 0}
	join := false
	switch {
	case a.StopWhenIsolated != n.settings.StopWhenIsolated || time.Duration(a.LeaseMS)*time.Millisecond != n.settings.Lease:
		x.Refusal = fmt.Sprintf("its file's cut_off or lease are not those of %s, which leads (lease %v)", n.settings.Name, n.settings.Lease)
	case in:
		x.InRoster, x.CountsForAllParts = !m.removing, p.Format == 0
		x.PartsRequested = x.CountsForAllParts && s.Format >= FormatVersion
		// What it holds has changed, or was not known to a leader of an earlier form.
		join = a.Format > 0 && a.PartsHash == partsHash(a.Parts) && s.Format >= FormatVersion && (x.CountsForAllParts || partsHash(s.partNamesOf(p)) != a.PartsHash)
	case a.Join:
		join = true
	}
	// While something about its place is on its way into the log, what the roster has for it may be over at any moment: nothing is
	// said of it, and what was lost is asked for again.
	j, pending := l.rosterChanges[a.Name]
	if pending = pending && j.runID == a.RunID && in && a.Format > 0; pending {
		x.CountsForAllParts = false
		join = join || a.PartsHash == partsHash(a.Parts) && s.Format >= FormatVersion && n.now-j.proposedAt > reproposeInterval
	}
	if join && (j.runID != a.RunID || j.partsHash != a.PartsHash || n.now-j.proposedAt > reproposeInterval) {
		l.rosterChanges[a.Name] = rosterChange{a.RunID, a.PartsHash, n.now}
		c := &command{Kind: commandJoin, Name: a.Name, RunID: a.RunID}
		if parts, err := normalizeParts(a.Parts); a.Format > 0 && s.Format >= FormatVersion && err == nil {
			c.Format, c.Parts = FormatVersion, parts
		}
		v.propose(c)
	}
	if x.InRoster {
		m.grantedAt = n.now
	}
	if a.Format > 0 {
		holds := func(part string) bool { return part == "" || slices.Contains(a.Parts, part) }
		switch x.PartsHash = partsHash(a.Parts); {
		case x.CountsForAllParts:
			holds, x.PartsHash = func(string) bool { return true }, a.PartsHash
		case in:
			holds, x.PartsHash = func(part string) bool { return s.holdsPart(p, part) }, partsHash(s.partNamesOf(p))
		}
		if x.Changed = s.committedSince(a.KnownUpTo, holds); pending {
			x.PartsHash = ^a.PartsHash
		}
	}
	for _, u := range under {
		x.PendingIDs = append(x.PendingIDs, u.Document.ID)
	}
	if a.Format == 0 { // it knows one part
		x = &LeaseResponse{Seq: x.Seq, Voters: x.Voters, InRoster: x.InRoster, Refusal: x.Refusal, ActiveNumber: s.Active.Number, ActiveID: s.Active.ID}
		if i := slices.IndexFunc(under, func(u *pendingChange) bool { return u.Document.isGlobalOnly() }); i >= 0 {
			x.Pending = under[i].Document.ID
		}
	}
	for _, id := range a.StatusOf[:min(maxStatusQueries, len(a.StatusOf))] {
		x.Statuses = append(x.Statuses, l.changeStatus(v, id))
	}
	l.reply(v, q, x)
	if !in {
		return
	}
	// Only who may be the last one to have a change is worth a look at all whom it concerns now; each 100 ms there is one anyway.
	for _, u := range under {
		f, id := l.progress[u.Document.ID], u.Document.ID
		told := m.hasPrepared(id) && !slices.Contains(had, id)
		if told && f != nil {
			f.unprepared--
		}
		if m.rejects(id) || told && (f == nil || f.unprepared <= 0) {
			l.reviewChange(v, u)
		}
	}
}

// wouldAffect reports whether a change is one of the parts that a member would hold once it is in the roster.
func (l *coordinator) wouldAffect(a *LeaseRequest, d *Document) bool {
	return d.Includes("") || slices.ContainsFunc(a.Parts, d.Includes)
}

// canReadLog reports whether a member is known to read the log as it is.
func (l *coordinator) canReadLog(v *raftNode, name string) bool {
	if i, ok := v.state.findMember(name); ok && v.state.Roster[i].Format >= v.state.Format {
		return true
	}
	m := l.members[name]
	return v.state.Format == 0 || m != nil && m.format >= v.state.Format
}

// proposeFormat has the log take on this build's form, for good, at the first change of a service's part: until then an earlier
// build can be gone back to. It reports whether all voters are known to read it.
func (l *coordinator) proposeFormat(v *raftNode) bool {
	if !l.allVotersHaveFormat(v, FormatVersion) {
		return false
	}
	if v.node.now-l.formatProposedAt > reproposeInterval {
		l.formatProposedAt = v.node.now
		v.propose(&command{Kind: commandSetFormat, Format: FormatVersion})
	}
	return true
}

// allVotersHaveFormat reports whether all voters are known to be of a form, or a later one.
func (l *coordinator) allVotersHaveFormat(v *raftNode, form uint8) bool {
	for _, name := range v.state.Voters {
		if m := l.members[name]; m == nil || m.format < form {
			return false
		}
	}
	return true
}

func (l *coordinator) reply(v *raftNode, q receivedRequest, x *LeaseResponse) {
	x.Leader = v.node.settings.Name
	m := &Message{LeaseResponse: x}
	if q.from != q.request.Name {
		m.To = q.request.Name
	}
	v.node.send(q.from, m)
}

// changeStatus is what became of a change, or how far it is.
func (l *coordinator) changeStatus(v *raftNode, id string) ChangeStatus {
	f := v.state.changeStatus(id)
	if u := v.state.findPending(id); u != nil {
		missing := l.unpreparedMembers(v, u)
		for _, p := range l.progressOf(v, u).affected {
			if !slices.Contains(u.Excluded, p.Name) {
				f.RequiredMembers++
			}
		}
		f.PreparedMembers = f.RequiredMembers - len(missing)
		f.Missing = missing[:min(maxListedMembers, len(missing))]
	}
	return f
}

// progressOf is what is known of a change under way, with whom it concerns now.
func (l *coordinator) progressOf(v *raftNode, u *pendingChange) *changeProgress {
	f := l.progress[u.Document.ID]
	if f == nil {
		f = &changeProgress{since: v.node.now}
		l.progress[u.Document.ID] = f
		l.notifyAt = v.node.now
	}
	if f.affected == nil || f.rosterVersion != v.state.RosterVersion {
		f.affected, f.rosterVersion = v.state.affectedMembers(&u.Document), v.state.RosterVersion
	}
	return f
}

// unpreparedMembers are the members that have to have a change under way on their disks, and have not said so.
func (l *coordinator) unpreparedMembers(v *raftNode, u *pendingChange) []string {
	var all []string
	for _, p := range l.progressOf(v, u).affected {
		if l.isUnprepared(&p, u) {
			all = append(all, p.Name)
		}
	}
	return all
}

func (l *coordinator) isUnprepared(p *rosterEntry, u *pendingChange) bool {
	m := l.members[p.Name]
	return (m == nil || m.runID != p.RunID || !m.hasPrepared(u.Document.ID)) && !slices.Contains(u.Excluded, p.Name)
}

// commandApplied takes note of what the log has done.
func (l *coordinator) commandApplied(v *raftNode, c *command) {
	switch c.Kind {
	case commandBatch:
		for i := range c.Commands {
			l.commandApplied(v, &c.Commands[i])
		}
	case commandJoin, commandRemove:
		delete(l.rosterChanges, c.Name)
		if m := l.members[c.Name]; m != nil && m.runID == c.RunID {
			m.removing = false
		}
	case commandCommit:
		f := l.progress[c.ID]
		if v.state.findPending(c.ID) != nil {
			if f != nil && f.proposed == "commit" { // somebody came in between
				f.proposed = ""
			}
			break
		}
		for i := len(v.state.EndedChanges) - 1; i >= 0 && f != nil; i-- {
			if e := &v.state.EndedChanges[i]; e.Document.ID == c.ID {
				if e.Committed {
					v.node.say(false, "%s is in force", describeChange(&e.Document))
					l.recentCommits = append(l.recentCommits, recentCommit{v.state.CommitCount, v.node.now, f.affected})
				}
				break
			}
		}
		delete(l.progress, c.ID)
	case commandAbort:
		delete(l.progress, c.ID)
		v.node.say(false, "change %s was dropped by %s: %s", c.ID, c.AbortedBy, c.Reason)
	}
	l.reviewAt, l.notifyAt = v.node.now, v.node.now
	l.nextStepAt = v.node.now
}

// describeChange names a change for people.
func describeChange(d *Document) string {
	var parts []string
	for _, x := range d.Documents() {
		if x.Part == "" {
			parts = append(parts, fmt.Sprintf("policy %d", x.Number))
		} else {
			parts = append(parts, fmt.Sprintf("policy %d of %s", x.Number, x.Part))
		}
	}
	return fmt.Sprintf("%s (%s, by %s: %s)", strings.Join(parts, " and "), d.ID, d.Author, d.Reason)
}

// removeDeparted takes out who has left in order.
func (l *coordinator) removeDeparted(v *raftNode) {
	for _, name := range sortedKeys(v.node.members) {
		if w := v.node.members[name]; w.Departed && v.state.inRoster(name, w.RunID) {
			l.removeMember(v, name, w.RunID, "it left")
		}
	}
	for _, name := range sortedKeys(l.members) { // what was proposed of them may have been lost
		if m := l.members[name]; m.removing && v.state.inRoster(name, m.runID) {
			l.removeMember(v, name, m.runID, "as was proposed before")
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (l *coordinator) removeMember(v *raftNode, name string, life uint64, why string) {
	m := l.members[name]
	if m == nil {
		m = &memberProgress{runID: life}
		l.members[name] = m
	}
	if j, ok := l.rosterChanges[name]; ok && j.runID == life && v.node.now-j.proposedAt < reproposeInterval { // proposed already
		return
	}
	m.removing = m.runID == life
	l.rosterChanges[name] = rosterChange{life, 0, v.node.now}
	v.propose(&command{Kind: commandRemove, Name: name, RunID: life, Reason: why})
}

// leaseExpired reports whether a member certainly takes nothing any more: what this leader, or one before it, told it is over.
func (l *coordinator) leaseExpired(v *raftNode, name string, life uint64) bool {
	from := l.leadingSince
	if m := l.members[name]; m != nil && m.runID == life {
		from = max(from, m.grantedAt)
	}
	return v.node.now > from+v.node.settings.LeaseExpiry()+leaseExpirySlack
}

// reviewChanges looks at all changes under way.
func (l *coordinator) reviewChanges(v *raftNode) {
	ids := map[string]bool{}
	for i := range v.state.PendingChanges { // a look decides nothing itself: what it proposes comes through the log
		ids[v.state.PendingChanges[i].Document.ID] = true
		l.reviewChange(v, &v.state.PendingChanges[i])
	}
	for id := range l.progress {
		if !ids[id] {
			delete(l.progress, id)
		}
	}
}

// reviewChange looks at a change under way.
func (l *coordinator) reviewChange(v *raftNode, u *pendingChange) {
	n, id := v.node, u.Document.ID
	f := l.progressOf(v, u)
	if f.proposed != "" && n.now-f.proposedAt < reproposeInterval {
		return
	}
	propose := func(what string, c *command) {
		if v.propose(c) {
			f.proposed, f.proposedAt = what, n.now
		}
	}
	missing := l.unpreparedMembers(v, u)
	f.unprepared, l.reviews = len(missing), l.reviews+1
	for _, name := range missing {
		switch m := l.members[name]; {
		case m.rejects(id):
			propose("drop", &command{Kind: commandAbort, ID: id, AbortedBy: name, Reason: m.rejectReason})
			return
		case m != nil && m.format < FormatVersion && !u.Document.isGlobalOnly() && n.now-m.lastRequestAt < memberAliveSpan:
			propose("drop", &command{Kind: commandAbort, ID: id, AbortedBy: name, Reason: "it is of an earlier version, and knows no parts of services"})
			return
		}
	}
	if len(missing) == 0 {
		propose("commit", &command{Kind: commandCommit, ID: id, RosterVersion: f.rosterVersion})
		return
	}
	if n.settings.StopWhenIsolated { // whose lease is over takes nothing: the change goes on without it
		for _, name := range missing {
			i, _ := v.state.findMember(name)
			if life := v.state.Roster[i].RunID; l.leaseExpired(v, name, life) {
				l.removeMember(v, name, life, "its lease has ended, and it is not heard")
			}
		}
	}
	late := n.settings.PrepareTimeout
	if n.settings.StopWhenIsolated { // a lease may have been given at the last moment
		late += n.settings.LeaseExpiry()
	}
	if n.now-f.since > late {
		why := "not heard, or it has not put the change on its disk within " + n.settings.PrepareTimeout.String()
		propose("drop", &command{Kind: commandAbort, ID: id, AbortedBy: joinLimited(missing), Reason: why})
	}
}

func (m *memberProgress) rejects(id string) bool { return m != nil && m.rejectedID == id }

// joinLimited names a few.
func joinLimited(names []string) string {
	if more := len(names) - maxListedMembers; more > 0 {
		return strings.Join(names[:maxListedMembers], ", ") + fmt.Sprintf(" and %d more", more)
	}
	return strings.Join(names, ", ")
}

// notifyMembers has those ask that do not know yet what is under way, or in force.
func (l *coordinator) notifyMembers(v *raftNode) {
	n, s := v.node, v.state
	if n.now < l.notifyAt {
		return
	}
	l.notifyAt = n.now + notifyInterval
	who := map[string]bool{}
	for i := range s.PendingChanges {
		u := &s.PendingChanges[i]
		f := l.progressOf(v, u)
		for _, p := range f.affected {
			if m := l.members[p.Name]; l.isUnprepared(&p, u) && (m == nil || m.runID != p.RunID || n.now-f.since < n.settings.PrepareTimeout) {
				who[p.Name] = true
			}
		}
	}
	l.recentCommits = slices.DeleteFunc(l.recentCommits, func(r recentCommit) bool { return n.now-r.committedAt > 2*n.settings.Lease })
	for _, r := range l.recentCommits {
		for _, p := range r.affected {
			if m := l.members[p.Name]; m != nil && m.runID == p.RunID && m.knownUpTo < r.commitIndex && n.now-m.lastRequestAt < 2*n.settings.Lease {
				who[p.Name] = true
			}
		}
	}
	if n.now-l.leadingSince < n.settings.Lease {
		for _, p := range s.Roster {
			if m := l.members[p.Name]; m == nil || m.runID != p.RunID {
				who[p.Name] = true
			}
		}
	}
	all := sortedKeys(who)
	if len(all) > maxNotifications { // by turns
		from := l.notifyOffset % len(all)
		all = append(all[from:], all[:from]...)[:maxNotifications]
		l.notifyOffset += maxNotifications
		l.notifyAt = n.now + notifyInterval/4
	}
	for _, name := range all {
		n.send(name, &Message{Notify: true})
	}
}

// abortChange is an operator's word that a change is not to come into force; also one of which no voter has heard yet.
func (l *coordinator) abortChange(v *raftNode, p *Proposal) {
	if v.state.changeStatus(p.AbortID).State <= ChangePreparing {
		v.propose(&command{Kind: commandAbort, ID: p.AbortID, AbortedBy: p.Document.Author, Reason: cmp.Or(p.Document.Reason, "an operator dropped it")})
	}
}
