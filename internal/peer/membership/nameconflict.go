package membership

import "time"

// A name belongs to one process at a time. A received record with this member's name may describe:
//
//   - This process, as suspect, dead or left. This process refutes the record with its next incarnation.
//   - An earlier process of this member (at the same address, or dead or left) whose boot number is not lower, because
//     this process lost its disk or its clock was set back. This process outbids it with a higher boot number.
//   - Another process that is alive at another address. This process sends identity requests to the other one, directly
//     and through helpers. If the other process answers, the one that has run longer keeps the name and the other
//     yields: it sends only identity requests, continues to serve, and checks periodically whether the name is free. If
//     the other process does not answer, this process takes the name.
//
// A name therefore passes to another process only if its holder yields or does not answer. Each further attempt of a
// process is preceded by a wait, which doubles each time.

// nameClaim is the state of a conflict about this member's name. While View.yielding is set, it is the state of the
// checks whether the other process still answers.
type nameClaim struct {
	dueAt        time.Duration // when the next step is due; 0: there is no conflict
	seq          uint32        // sequence number of the identity requests
	other        Record        // record of the other process
	requests     int           // number of identity requests sent
	attempts     int           // number of conflicts that this process has won
	clearedRunID uint64        // run ID of the last process that did not answer or yielded
	unanswered   int           // number of consecutive unanswered checks while yielding
}

const (
	// identityTimeout is the timeout of each of the identityRequests requests. With a shorter one, this process would
	// take the name of a process that is merely slow.
	identityTimeout  = 500 * time.Millisecond
	identityRequests = 2
	// identityHelpers is the number of helpers that also send an identity request to the other process, because this
	// process may be the only one that can't reach it.
	identityHelpers = 2
	// yieldCheckInterval is the minimum time between two checks of a process that yields; up to the same time is added as
	// jitter.
	yieldCheckInterval = 3 * time.Second
	// maxUnansweredChecks is the number of consecutive unanswered checks after which a process that yields takes the
	// name.
	maxUnansweredChecks = 3
	// claimBackoff is the wait before a further attempt to take the name. It doubles with each conflict that this process
	// has won, up to maxClaimBackoff.
	claimBackoff        = time.Second
	maxClaimBackoff     = time.Minute
	maxClaimBackoffBits = 6
)

// onOwnRecord handles a record with this member's name.
func (v *View) onOwnRecord(r Record) {
	own := &v.self.Record
	switch {
	case v.isLeaving:
	case r.RunID == own.RunID:
		if r.newer(own) {
			v.refute(&r)
		}
	case v.yielding:
		if r.newer(&v.nameClaim.other) {
			v.nameClaim.other = r
		}
	case r.State <= Suspect && r.Addr != own.Addr && r.RunID != v.nameClaim.clearedRunID:
		if v.nameClaim.dueAt == 0 || r.newer(&v.nameClaim.other) {
			v.beginNameClaim(r)
		}
	case r.newer(own):
		v.outbid(&r)
	}
}

// refute overrides a record that reports this process as suspect, dead or left, with the next incarnation.
func (v *View) refute(r *Record) {
	own := &v.self.Record
	if r.State == Suspect || r.State == Dead {
		v.degradeHealth(1)
	}
	own.Boot = r.Boot
	own.Incarnation = r.Incarnation + 1
	v.announce(v.self)
	reporter := v.members[r.Reporter]
	if reporter != nil && reporter.list == listLive { // the reporter's suspicion times out first
		v.sendToMember(reporter, &Message{Kind: Gossip}, reserveNone, v.self)
	}
}

// beginNameClaim starts to resolve a conflict with another process that uses this member's name.
func (v *View) beginNameClaim(other Record) {
	backoff := time.Duration(0)
	if v.nameClaim.attempts > 0 {
		backoff = min(maxClaimBackoff, claimBackoff<<min(v.nameClaim.attempts, maxClaimBackoffBits))
	}
	v.nameClaim = nameClaim{
		dueAt:        max(v.now+backoff, 1), // 0 means that there is no conflict
		other:        other,
		attempts:     v.nameClaim.attempts,
		clearedRunID: v.nameClaim.clearedRunID,
	}
}

// outbid makes this member's record newer than another record with its name.
func (v *View) outbid(r *Record) {
	own := &v.self.Record
	if r.newer(own) {
		own.Boot = r.Boot + 1
		own.Incarnation = 0
	} else {
		own.Incarnation++
	}
	v.announce(v.self)
	v.emit(SaveView{KeepKnownMembers: true})
}

// advanceNameClaim sends the next identity request to the other process, or takes the name if the process did not
// answer.
func (v *View) advanceNameClaim() {
	claim := &v.nameClaim
	switch {
	case claim.dueAt == 0 || v.now < claim.dueAt:
	case v.yielding:
		v.checkNameHolder()
	case claim.requests < identityRequests:
		v.requestIdentity()
		claim.dueAt = v.now + identityTimeout
	default:
		v.claimName(reasonNoAnswer)
	}
}

// checkNameHolder checks whether the process to which this one yields still answers. If it does not, this process takes
// the name and joins the fleet again.
func (v *View) checkNameHolder() {
	claim := &v.nameClaim
	if claim.requests > 0 {
		claim.unanswered++
	}
	if claim.unanswered < maxUnansweredChecks {
		v.requestIdentity()
		claim.dueAt = v.now + yieldCheckInterval + v.randomUpTo(yieldCheckInterval)
		return
	}
	v.yielding = false
	v.self.stateSince = v.now
	v.probeAt = v.now
	v.probeOrder = nil
	v.lastReceivedAt = v.now
	v.exchange = exchangeState{id: v.exchange.id, periodicAt: v.now + periodicExchangeInterval}
	v.collectJoinAddrs()
	v.claimName(reasonHolderSilent)
}

// requestIdentity sends an identity request to the other process, directly and through helpers.
func (v *View) requestIdentity() {
	claim := &v.nameClaim
	if claim.seq == 0 {
		claim.seq = v.nextSeq()
	}
	claim.requests++
	v.send(claim.other.Addr, &Message{Kind: IdentityRequest, Seq: claim.seq, Addr: v.settings.Addr}, reserveNone)
	for _, helper := range v.sample(v.live, identityHelpers, isAlive) {
		v.send(helper.Addr, &Message{
			Kind:   IndirectIdentityRequest,
			Seq:    claim.seq,
			Target: v.settings.Name,
			Addr:   claim.other.Addr,
			Reply:  v.settings.Addr,
		}, reserveNone)
	}
}

// claimName takes the name after it was found that no other process keeps it.
func (v *View) claimName(reason string) {
	other := v.nameClaim.other
	v.nameClaim = nameClaim{attempts: v.nameClaim.attempts + 1, clearedRunID: other.RunID}
	v.emit(NameConflict{Other: other, Reason: reason})
	v.self.NameVerified = true
	v.outbid(&other)
}

// yieldName leaves the name to the other process.
func (v *View) yieldName() {
	other := v.nameClaim.other
	v.yielding = true
	v.probes = nil
	v.updates = updateQueue{}
	v.nameClaim = nameClaim{other: other, dueAt: v.now + yieldCheckInterval, attempts: v.nameClaim.attempts}
	v.emit(NameConflict{Other: other, Yield: true, Reason: reasonLongerUptime})
}

// onIdentityRequest answers with the identity of this process.
func (v *View) onIdentityRequest(m *Message) {
	v.send(m.Addr, &Message{
		Kind:         IdentityResponse,
		Seq:          m.Seq,
		SubjectRunID: v.self.RunID,
		UptimeMS:     v.uptimeMS(),
	}, reserveNone)
}

func (v *View) uptimeMS() uint64 { return uint64(v.Uptime() / time.Millisecond) }

// onIdentityResponse forwards an answer to a request that this member relayed, or resolves a name conflict.
func (v *View) onIdentityResponse(m *Message) {
	if v.relayIdentityResponse(m) {
		return
	}
	claim := &v.nameClaim
	if claim.dueAt == 0 || m.Seq != claim.seq || claim.requests == 0 {
		return
	}
	if m.identifiedName() != v.settings.Name || m.SubjectRunID == v.self.RunID {
		if !v.yielding {
			v.claimName(reasonAddressReused)
		}
		return
	}
	uptime := v.uptimeMS()
	switch {
	case v.yielding:
		claim.unanswered = 0
		claim.requests = 0
	case uptime > m.UptimeMS || uptime == m.UptimeMS && v.self.RunID < m.SubjectRunID:
		v.claimName(reasonShorterUptime)
	default:
		v.yieldName()
	}
}
