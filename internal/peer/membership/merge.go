package membership

import "time"

// merge takes in what another tells of a member. Records of one name are ordered, and the newest holds, so that
// the order in which they come does not matter; but a name that a living process holds goes to another process at
// another address only once that one has made sure that the first is gone.
func (v *View) merge(r Record, why string) {
	if r.check() != nil {
		return
	}
	if r.Name == v.s.Name {
		v.ownName(r)
		return
	}
	m := v.members[r.Name]
	if m != nil && r.RunID == m.RunID && r.Region == "" { // passed on by one that knows no regions
		r.Region = m.Region
	}
	if r = v.normal(r); m == nil {
		if r.State == Left && time.Duration(r.AgeSeconds)*time.Second >= leftKept || len(v.members) >= v.s.MaxMembers {
			return
		}
		m = &member{since: v.now, heardAt: -never, ackAt: -never, nameHash: nameHash(r.Name)}
		v.members[r.Name] = m
		v.insert(r.Name)
		v.take(m, r, why, true)
		return
	}
	switch {
	case r.Boot == m.Boot && r.RunID == m.RunID && r.Incarnation == m.Incarnation && r.State == m.State:
		if r.State == Suspect && m.suspect != nil {
			v.charge(m, r.Reporter)
		}
		if len(r.Region)+len(r.UnreachableRegions) > len(m.Region)+len(m.UnreachableRegions) { // what one that knows no regions has left out
			r.Reporter, r.AgeSeconds = m.Reporter, m.AgeSeconds
			v.replace(m, r, why, false)
		}
	case r.State == Dead && v.far(r.Region) && m.State <= Suspect && r.RunID == m.RunID && v.now-m.lately() < v.s.MinSuspicion:
		// Those near it don't hear it, this member does: it is told, and refutes.
		v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, forNews)
	case r.State == Dead && m.State <= Suspect && r.RunID == m.RunID && v.now-m.lately() < v.s.MinSuspicion:
		// This member has just heard it itself.
		r.State, r.AgeSeconds = Suspect, 0
		v.merge(r, why)
	case !r.newer(&m.Record):
	case m.State <= Suspect && r.State <= Suspect && r.RunID != m.RunID && r.Addr != m.Addr && !r.NameVerified:
		if v.now >= m.stranger { // its holder is told, and settles it
			m.stranger = v.now + time.Second
			v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, forNews)
		}
	default:
		v.take(m, r, why, false)
	}
}

// take replaces what is known of a member, and passes it on.
func (v *View) take(m *member, r Record, why string, fresh bool) {
	if r.State < Dead {
		r.AgeSeconds = 0
	}
	if r.RunID != m.RunID || r.Boot != m.Boot {
		m.number, m.mutes, m.muted, m.via, m.heardAt, m.ackAt, m.deaf, m.distance = 0, 0, 0, "", -never, -never, false, distance{}
	}
	v.replace(m, r, why, fresh)
	if r.State == Suspect && m.suspect != nil && r.Reporter != "" && r.Reporter != m.Name {
		m.suspect.accusers = append(m.suspect.accusers[:0], r.Reporter)
		v.judgeAt = min(v.judgeAt, m.suspect.from+v.lasts(m))
	}
	by := ""
	if r.State == Suspect {
		by = r.Reporter
	}
	v.spread(m, by)
}

// lately is when a member of this life was last known to be there by more than hearsay. never is half of what a
// Duration holds, so that differences fit.
func (m *member) lately() time.Duration { return max(m.heardAt, m.ackAt) }

// set changes a member's state by this member's own word.
func (v *View) set(m *member, r Record, why string) { v.replace(m, r, why, false) }

// replace is where a member's record changes, and nowhere else but for this one's own.
func (v *View) replace(m *member, r Record, why string, fresh bool) {
	was, wasShown := m.Record, m.shown()
	if !fresh {
		v.counts.add(m, -1)
	}
	m.Record = r
	v.mark(m)
	v.sort(m)
	v.standsAt(m, was.Addr)
	m.hidden = v.hides(m)
	v.counts.add(m, 1)
	if changed := fresh || was.State != r.State || was.Boot != r.Boot || was.RunID != r.RunID; changed {
		m.since = v.now
		if r.State >= Dead {
			m.dieAt = v.now - time.Duration(r.AgeSeconds)*time.Second
		}
	}
	if s := m.suspect; s != nil && (r.State != Suspect || r.Incarnation != was.Incarnation || r.RunID != was.RunID) {
		m.suspect = nil
		v.suspects = without(v.suspects, m)
		if r.State == Alive {
			v.acquitted(m, s)
		}
	}
	if r.State == Suspect && m.suspect == nil {
		m.suspect = &suspicion{from: v.now}
		v.suspects = append(v.suspects, m)
		v.judgeAt = min(v.judgeAt, v.now+v.least())
	}
	if !fresh && was.State == Dead && r.State <= Suspect && (!v.isFar(m) || m.region.watch) {
		v.exchange.with(v, m.Addr) // a link is back: there will be more to tell
	}
	if fresh || wasShown != m.shown() || was.RunID != r.RunID || was.Boot != r.Boot || was.Addr != r.Addr {
		v.do(MemberChanged{Record: v.seen(m), Previous: wasShown, New: fresh, Reason: why})
	}
	v.saveSoon()
}

// standsAt keeps which addresses are far, and has watchers found anew where what they say has changed.
func (v *View) standsAt(m *member, was string) {
	if was != m.Addr {
		delete(v.farAt, was)
	}
	if v.isFar(m) {
		v.farAt[m.Addr] = m.region
	} else {
		delete(v.farAt, m.Addr)
		v.surveyAt = v.now
	}
}

func without(all []*member, m *member) []*member {
	for i, o := range all {
		if o == m {
			all[i] = all[len(all)-1]
			return all[:len(all)-1]
		}
	}
	return all
}

// onSelf takes what the daemon tells of itself.
func (v *View) onSelf(e LocalInfo) {
	if len(e.Metadata) > MaxMetadataBytes || e.Instances < 0 || e.Balancers < 0 {
		return
	}
	if int(v.self.Instances) == e.Instances && int(v.self.Balancers) == e.Balancers && string(v.self.Metadata) == string(e.Metadata) {
		return
	}
	v.counts.add(v.self, -1)
	v.self.Instances, v.self.Balancers, v.self.Metadata = uint32(e.Instances), uint32(e.Balancers), e.Metadata
	v.self.Incarnation++
	v.counts.add(v.self, 1)
	v.tell(v.self)
}

// leave says to all that can be reached, a few times, that this member goes.
func (v *View) leave() {
	if v.leaveState {
		return
	}
	v.leaveState, v.leaving, v.leaveAt = true, leaveTimes, v.now
	v.self.State, v.self.Reporter, v.self.dieAt = Left, v.s.Name, v.now
	if v.standby { // nobody knows of it
		v.leaving = 0
	}
	v.mark(v.self)
	v.spread(v.self, "")
	v.do(SaveView{})
}

const (
	leaveTimes = 3
	leaveTold  = 32 // members each time
	leaveEvery = 60 * time.Millisecond
)

func (v *View) goOn() {
	if v.leaving == 0 || v.now < v.leaveAt {
		return
	}
	v.leaving--
	v.leaveAt = v.now + leaveEvery
	for _, m := range v.some(v.home.live, leaveTold, func(*member) bool { return true }) {
		v.send(m.Addr, &Message{Kind: Gossip}, forAnswers, v.self)
	}
	for _, r := range v.areas { // those that are left of its region tell them too, if any are
		if r != v.home && (r.watch || len(v.home.live) == 0) {
			for _, m := range v.some(r.live, 1, func(*member) bool { return true }) {
				v.send(m.Addr, &Message{Kind: Gossip}, forAnswers, v.self)
			}
		}
	}
}

// HasLeft reports whether all is said that a member says when it leaves.
func (v *View) HasLeft() bool { return v.leaveState && v.leaving == 0 }

// forget is an operator's word that a dead member will not come back. If it does, it refutes that as any death.
func (v *View) forget(name string) {
	if m := v.members[name]; m != nil && m.shown() == Dead {
		r := m.Record
		r.State, r.Reporter, r.AgeSeconds = Left, v.s.Name, 0
		v.set(m, r, "an operator said that it is gone")
		v.spread(m, "")
	}
}

// tidy forgets who left long ago. The dead stay: silent is not gone, and what is shared among all rests on it.
func (v *View) tidy() {
	if v.now < v.tidyAt {
		return
	}
	v.tidyAt = v.now + 10*time.Second
	for i := 0; i < len(v.order); i++ {
		if m := v.members[v.order[i]]; m.State == Left && m != v.self && v.now-m.dieAt >= leftKept {
			v.digest ^= m.hash
			m.hash = 0
			v.news.drop(func(o *member) bool { return o == m })
			delete(v.members, m.Name)
			delete(v.farAt, m.Addr)
			v.remove(m.Name)
			i--
			v.saveSoon()
		}
	}
}
