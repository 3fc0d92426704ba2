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
type claim struct {
	at      time.Duration // when its next step is due; 0: there is none
	seq     uint32
	rec     Record // the other one
	asked   int
	rests   int
	cleared uint64 // the life that did not answer, or stood back
	misses  int    // while standing back
}

const (
	claimWait  = 500 * time.Millisecond // for an answer, twice
	standLook  = 3 * time.Second        // between two looks of one that stands back
	standTries = 3                      // looks in vain before it takes the name
)

// up is how long this process has run.
func (v *View) up() time.Duration { return v.now - v.self.since + v.s.Uptime }

// ownName takes in what is told of this member's own name.
func (v *View) ownName(r Record) {
	own := &v.self.Record
	if v.leaveState {
		return
	}
	if r.RunID == own.RunID {
		if !r.newer(own) {
			return
		}
		if r.State == Suspect || r.State == Dead {
			v.worsen(1)
		}
		own.Boot, own.Incarnation = r.Boot, r.Incarnation+1
		v.tell(v.self)
		if by := v.members[r.Reporter]; by != nil && by.listed == inLive { // whose patience ends first
			v.sendTo(by, &Message{Kind: Gossip}, forAnswers, v.self)
		}
		return
	}
	elsewhere := r.State <= Suspect && r.Addr != own.Addr
	switch {
	case v.standby:
		if r.newer(&v.claim.rec) {
			v.claim.rec = r
		}
	case elsewhere && r.RunID != v.claim.cleared:
		if v.claim.at == 0 || r.newer(&v.claim.rec) {
			wait := time.Duration(0)
			if v.claim.rests > 0 {
				wait = min(time.Minute, time.Second<<min(v.claim.rests, 6))
			}
			v.claim = claim{at: v.now + wait, rec: r, rests: v.claim.rests, cleared: v.claim.cleared}
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
	v.tell(v.self)
	v.do(SaveView{BootOnly: true})
}

// claimDue asks, and concludes from silence.
func (v *View) claimDue() {
	c := &v.claim
	if c.at == 0 || v.now < c.at {
		return
	}
	if v.standby {
		if c.asked > 0 {
			c.misses++
		}
		if c.misses < standTries {
			v.whoIs()
			c.at = v.now + standLook + v.random(standLook)
			return
		}
		v.standby, v.self.since, v.probeAt, v.turn, v.heardAny = false, v.now, v.now, nil, v.now
		v.exchange = exchange{quietAt: v.now + exchangeQuiet}
		v.doors()
		v.free("its holder no longer answers")
		return
	}
	if c.asked < 2 {
		v.whoIs()
		c.at = v.now + claimWait
		return
	}
	v.free("it does not answer")
}

// whoIs asks the other one, directly and through two others: that this member can't hear it proves nothing.
func (v *View) whoIs() {
	c := &v.claim
	if c.seq == 0 {
		c.seq = v.nextSeq()
	}
	c.asked++
	v.send(c.rec.Addr, &Message{Kind: IdentityRequest, Seq: c.seq, Addr: v.s.Addr}, forAnswers)
	for _, h := range v.some(v.live, 2, func(m *member) bool { return m.State == Alive }) {
		v.send(h.Addr, &Message{Kind: IndirectIdentityRequest, Seq: c.seq, Target: v.s.Name, Addr: c.rec.Addr, Reply: v.s.Addr}, forAnswers)
	}
}

// free takes the name: nobody else has it.
func (v *View) free(why string) {
	c := &v.claim
	rec := c.rec
	v.claim = claim{rests: c.rests + 1, cleared: rec.RunID}
	v.do(NameConflict{Other: rec, Reason: why})
	v.outbid(&rec, true)
}

func (v *View) onIAm(m *Message) {
	for i, e := range v.errands {
		if e.who && e.seq == m.Seq {
			v.errands = append(v.errands[:i], v.errands[i+1:]...)
			// The answer is passed on as it is: it is signed by whose life it names, not by who sends it.
			v.send(e.reply, &Message{Kind: IdentityResponse, Seq: e.theirs, SubjectRunID: m.SubjectRunID, UptimeMS: m.UptimeMS, Target: orIf(m.Target, m.From)}, forAnswers)
			return
		}
	}
	c := &v.claim
	if c.at == 0 || m.Seq != c.seq || c.asked == 0 {
		return
	}
	name := orIf(m.Target, m.From)
	if name != v.s.Name || m.SubjectRunID == v.self.RunID { // the address is another's by now, or this one's own
		if !v.standby {
			v.free("its address has another owner")
		}
		return
	}
	own := uint64(v.up() / time.Millisecond)
	switch {
	case v.standby:
		c.misses, c.asked = 0, 0
	case own > m.UptimeMS || own == m.UptimeMS && v.self.RunID < m.SubjectRunID:
		v.free("it has run for less time and stands back")
	default:
		v.standby = true
		v.probes, v.news = nil, news{}
		rec := c.rec
		*c = claim{rec: rec, at: v.now + standLook, rests: c.rests}
		v.do(NameConflict{Other: rec, Yield: true, Reason: "it has run longer and keeps the name"})
	}
}
