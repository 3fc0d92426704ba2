package membership

import "time"

// A name belongs to one process at a time. A record with this member's name may be of
//
//   - this process, as suspect, dead or left: it refutes with its next incarnation;
//   - an earlier process of this member (at the same address, dead or left) whose boot number is not lower, since this
//     one lost its disk or its clock: it is outbid by a higher boot number;
//   - another process that is alive at another address: it is asked who it is, directly and through helpers. If it
//     answers, the process that has run longer keeps the name and the other yields: that one sends nothing but identity
//     requests, goes on serving, and checks from time to time whether the name is free. If it does not answer, this
//     process takes the name.
//
// So a name changes hands only from a process that yields or does not answer, and each further attempt of a process
// waits twice as long.

// nameClaim is a conflict about this member's name that is being settled. While View.yielding is set, it is the check
// whether the other process still answers.
type nameClaim struct {
	dueAt        time.Duration // of its next step; 0: there is no conflict
	seq          uint32        // of the identity requests
	other        Record        // of the other process
	requests     int           // identity requests sent
	attempts     int           // conflicts that this process has won
	clearedRunID uint64        // the last process that did not answer, or yielded
	unanswered   int           // checks, one after another, while yielding
}

const (
	// identityTimeout is how long each of identityRequests waits for an answer. Shorter takes the name of a process
	// that is only slow.
	identityTimeout  = 500 * time.Millisecond
	identityRequests = 2
	// identityHelpers is the number of members through which the other process is asked: that this one can't reach it
	// proves nothing.
	identityHelpers = 2
	// yieldCheckInterval is the least time between two checks of a process that yields, with as much jitter.
	yieldCheckInterval = 3 * time.Second
	// maxUnansweredChecks is the number of checks without an answer after which it takes the name.
	maxUnansweredChecks = 3
	// claimBackoff doubles with each conflict that this process has won, up to maxClaimBackoff.
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

// refute overrides a record that holds this process for suspect, dead or left, by the next incarnation.
func (v *View) refute(r *Record) {
	own := &v.self.Record
	if r.State == Suspect || r.State == Dead {
		v.degradeHealth(1)
	}
	own.Boot = r.Boot
	own.Incarnation = r.Incarnation + 1
	v.announce(v.self)
	reporter := v.members[r.Reporter]
	if reporter != nil && reporter.list == listLive { // its timeout ends first
		v.sendToMember(reporter, &Message{Kind: Gossip}, reserveNone, v.self)
	}
}

// beginNameClaim begins to ask another process that uses this member's name.
func (v *View) beginNameClaim(other Record) {
	backoff := time.Duration(0)
	if v.nameClaim.attempts > 0 {
		backoff = min(maxClaimBackoff, claimBackoff<<min(v.nameClaim.attempts, maxClaimBackoffBits))
	}
	v.nameClaim = nameClaim{
		dueAt:        max(v.now+backoff, 1), // 0 stands for no conflict
		other:        other,
		attempts:     v.nameClaim.attempts,
		clearedRunID: v.nameClaim.clearedRunID,
	}
}

// outbid makes this member's record newer than another one of its name.
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

// nameClaimDue asks the other process, and takes the name if it does not answer.
func (v *View) nameClaimDue() {
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

// checkNameHolder checks whether the process to which this one yields still answers. If it does not, this one joins
// the fleet anew.
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

// requestIdentity asks the other process who it is, directly and through helpers.
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

// claimName takes the name: no other process uses it.
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

// onIdentityRequest answers who this process is.
func (v *View) onIdentityRequest(m *Message) {
	v.send(m.Addr, &Message{
		Kind:         IdentityResponse,
		Seq:          m.Seq,
		SubjectRunID: v.self.RunID,
		UptimeMS:     v.uptimeMS(),
	}, reserveNone)
}

func (v *View) uptimeMS() uint64 { return uint64(v.Uptime() / time.Millisecond) }

// onIdentityResponse passes an answer on that this member asked for on behalf of another one, or settles a conflict.
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
