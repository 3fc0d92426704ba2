package membership

import "time"

// A name belongs to one process at a time. What may be found of another with this member's name:
//
//   - its own life, accused: refuted by the next incarnation;
//   - an earlier process of this member (same address, or dead, or left), with a boot no lower than this one's,
//     since this one lost its disk or its clock: outbid by a higher boot;
//   - one that is said to be alive at another address: asked who it is, directly and through others. Does it
//     answer, then the one that has run longer keeps the name and the other stands back: it says nothing more, goes
//     on serving, and looks now and then whether the name is free. Does it not, this one takes the name.
//
// So it never goes to and fro: a name changes hands only from one that stands back or does not answer, and each
// further attempt waits twice as long.
type nameClaim struct {
	dueAt        time.Duration // when its next step is due; 0: there is none
	seq          uint32
	other        Record // the other one
	requests     int
	attempts     int
	clearedRunID uint64 // the life that did not answer, or stood back
	unanswered   int    // while standing back
}

const (
	identityTimeout     = 500 * time.Millisecond // for an answer, twice
	yieldCheckInterval  = 3 * time.Second        // between two looks of one that stands back
	maxUnansweredChecks = 3                      // looks in vain before it takes the name
)

// uptime is how long this process has run.
func (v *View) uptime() time.Duration { return v.now - v.self.stateSince + v.settings.Uptime }

// onOwnRecord takes in what is told of this member's own name.
func (v *View) onOwnRecord(r Record) {
	own := &v.self.Record
	if v.isLeaving {
		return
	}
	if r.RunID == own.RunID {
		if !r.newer(own) {
			return
		}
		if r.State == Suspect || r.State == Dead {
			v.degradeHealth(1)
		}
		own.Boot, own.Incarnation = r.Boot, r.Incarnation+1
		v.announce(v.self)
		if by := v.members[r.Reporter]; by != nil && by.list == listLive { // whose patience ends first
			v.sendToMember(by, &Message{Kind: Gossip}, reserveNone, v.self)
		}
		return
	}
	elsewhere := r.State <= Suspect && r.Addr != own.Addr
	switch {
	case v.yielding:
		if r.newer(&v.claim.other) {
			v.claim.other = r
		}
	case elsewhere && r.RunID != v.claim.clearedRunID:
		if v.claim.dueAt == 0 || r.newer(&v.claim.other) {
			wait := time.Duration(0)
			if v.claim.attempts > 0 {
				wait = min(time.Minute, time.Second<<min(v.claim.attempts, 6))
			}
			v.claim = nameClaim{dueAt: v.now + wait, other: r, attempts: v.claim.attempts, clearedRunID: v.claim.clearedRunID}
		}
	case r.newer(own):
		v.outbid(&r, false)
	}
}

// outbid takes the name by a boot that is higher than another's.
func (v *View) outbid(r *Record, checked bool) {
	own := &v.self.Record
	if r.newer(own) {
		own.Boot, own.Incarnation = r.Boot+1, 0
	} else {
		own.Incarnation++
	}
	own.NameVerified = own.NameVerified || checked
	v.announce(v.self)
	v.emit(SaveView{BootOnly: true})
}

// nameClaimDue asks, and concludes from silence.
func (v *View) nameClaimDue() {
	c := &v.claim
	if c.dueAt == 0 || v.now < c.dueAt {
		return
	}
	if v.yielding {
		if c.requests > 0 {
			c.unanswered++
		}
		if c.unanswered < maxUnansweredChecks {
			v.requestIdentity()
			c.dueAt = v.now + yieldCheckInterval + v.randomUpTo(yieldCheckInterval)
			return
		}
		v.yielding, v.self.stateSince, v.probeAt, v.probeOrder, v.lastReceivedAt = false, v.now, v.now, nil, v.now
		v.exchange = exchangeState{periodicAt: v.now + periodicExchangeInterval}
		v.collectJoinAddrs()
		v.claimName("its holder no longer answers")
		return
	}
	if c.requests < 2 {
		v.requestIdentity()
		c.dueAt = v.now + identityTimeout
		return
	}
	v.claimName("it does not answer")
}

// requestIdentity asks the other one, directly and through two others: that this member can't hear it proves nothing.
func (v *View) requestIdentity() {
	c := &v.claim
	if c.seq == 0 {
		c.seq = v.nextSeq()
	}
	c.requests++
	v.send(c.other.Addr, &Message{Kind: IdentityRequest, Seq: c.seq, Addr: v.settings.Addr}, reserveNone)
	for _, h := range v.sample(v.live, 2, func(m *member) bool { return m.State == Alive }) {
		v.send(h.Addr, &Message{Kind: IndirectIdentityRequest, Seq: c.seq, Target: v.settings.Name, Addr: c.other.Addr, Reply: v.settings.Addr}, reserveNone)
	}
}

// claimName takes the name: nobody else has it.
func (v *View) claimName(why string) {
	c := &v.claim
	rec := c.other
	v.claim = nameClaim{attempts: c.attempts + 1, clearedRunID: rec.RunID}
	v.emit(NameConflict{Other: rec, Reason: why})
	v.outbid(&rec, true)
}

func (v *View) onIdentityResponse(m *Message) {
	for i, e := range v.relayed {
		if e.identity && e.seq == m.Seq {
			v.relayed = append(v.relayed[:i], v.relayed[i+1:]...)
			// The answer is passed on as it is: it is signed by whose life it names, not by who sends it.
			v.send(e.replyTo, &Message{Kind: IdentityResponse, Seq: e.requesterSeq, SubjectRunID: m.SubjectRunID, UptimeMS: m.UptimeMS, Target: valueOr(m.Target, m.From)}, reserveNone)
			return
		}
	}
	c := &v.claim
	if c.dueAt == 0 || m.Seq != c.seq || c.requests == 0 {
		return
	}
	name := valueOr(m.Target, m.From)
	if name != v.settings.Name || m.SubjectRunID == v.self.RunID { // the address is another's by now, or this one's own
		if !v.yielding {
			v.claimName("its address has another owner")
		}
		return
	}
	own := uint64(v.uptime() / time.Millisecond)
	switch {
	case v.yielding:
		c.unanswered, c.requests = 0, 0
	case own > m.UptimeMS || own == m.UptimeMS && v.self.RunID < m.SubjectRunID:
		v.claimName("it has run for less time and stands back")
	default:
		v.yielding = true
		v.probes, v.updates = nil, updateQueue{}
		rec := c.other
		*c = nameClaim{other: rec, dueAt: v.now + yieldCheckInterval, attempts: c.attempts}
		v.emit(NameConflict{Other: rec, Yield: true, Reason: "it has run longer and keeps the name"})
	}
}
