package judge

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// used is when a policy was first used, and by which change.
type used struct {
	id    string
	first int64
}

// taker is what a process has taken requests by.
type taker struct {
	number  uint64
	any     bool
	tried   uint64 // the highest policy for which it has been looked at
	failed  uint64
	since   int64 // it takes by its number since
	last    int64
	turned  int64
	noDisk  map[uint64]bool // policies that it had not on its disk as they came into force
	started bool
}

// policyJudge judges the policy that a fleet agrees on by what requests were taken by.
type policyJudge struct {
	j       *judge
	on      bool
	stops   bool
	lapse   time.Duration // a member that is cut off takes nothing so long after it heard last
	used    map[uint64]*used
	most    uint64
	takers  map[int]*taker // by process
	disks   map[string]map[string]bool
	without map[string][]string // by change
	asked   map[string]int64    // changes, and since when
	told    map[string]*Line    // what authors were told
	voters  []string
	changed int64 // a change was asked for, or decided
	// Changes of which nobody has been told yet.
	under     map[string]bool
	latest    int64 // a request was taken
	disksTold bool  // what is on disks is known

	one, all, start, serves, kept, word *Claim
}

func (p *policyJudge) begin(j *judge) []*Claim {
	p.j, p.used, p.takers, p.disks, p.without, p.asked, p.told, p.under = j, map[uint64]*used{}, map[int]*taker{}, map[string]map[string]bool{}, map[string][]string{}, map[string]int64{}, map[string]*Line{}, map[string]bool{}
	p.one = &Claim{Name: PolicyOne, Text: "once a policy is used anywhere, no request is taken by an earlier one: on whole links after 'spread', else after the lease"}
	p.all = &Claim{Name: PolicyAll, Text: "a policy is used by all or by nobody: who had it not on its disk takes nothing by an earlier one, a dropped one is never used"}
	p.start = &Claim{Name: PolicyStart, Text: "the first request of a process is taken by what is in force"}
	p.serves = &Claim{Name: PolicyServes, Text: "no request is turned away for the policy where nothing is broken; nor, if cut_off is \"vetoes\", where no change is under way"}
	p.kept = &Claim{Name: PolicyKept, Text: "what came into force stays: one change a number, never an earlier one again, whatever disks are lost"}
	p.word = &Claim{Name: PolicyTold, Text: "authors are told what became of their change"}
	return []*Claim{p.one, p.all, p.start, p.serves, p.kept, p.word}
}

// line takes a line about the policy. It reports whether it was one.
func (p *policyJudge) line(l *Line) bool {
	switch l.What {
	case Agreed:
		p.on, p.stops, p.lapse, p.voters = true, l.Hard, time.Duration(l.PauseMS)*time.Millisecond, strings.Fields(l.Why)
	case Proposed:
		p.asked[l.ID], p.changed, p.under[l.ID] = l.T, l.T, true
		p.without[l.ID] = strings.Fields(l.Why)
	case OnDisk:
		p.disksTold = true
		if p.disks[l.Of] == nil {
			p.disks[l.Of] = map[string]bool{}
		}
		p.disks[l.Of][l.ID] = true
	case Told:
		p.tell(l)
	case Took:
		p.took(l)
	case Turned:
		p.turn(l)
	default:
		return false
	}
	return true
}

func (p *policyJudge) taker(pid int) *taker {
	t := p.takers[pid]
	if t == nil {
		t = &taker{noDisk: map[uint64]bool{}}
		p.takers[pid] = t
	}
	return t
}

// above is when anything later than a number was first used; 0: never.
func (p *policyJudge) above(n uint64) (at int64, by uint64) {
	for m, u := range p.used {
		if m > n && (at == 0 || u.first < at) {
			at, by = u.first, m
		}
	}
	return at, by
}

// bound is how late a process may take by an earlier policy.
func (p *policyJudge) bound(o *process, t int64) time.Duration {
	j := p.j
	calm := o.paused == 0 && t-o.resumed > int64(j.b.Settle) && t > o.starved+int64(j.b.Settle) && t-j.downAt > int64(j.b.Settle) && j.whole(t)
	for _, v := range p.voters { // one that leads may be paused just as it has decided
		for _, pid := range j.order {
			if q := j.pids[pid]; q.up && q.name == v && (q.paused > 0 || t-q.resumed <= int64(j.b.Settle)) {
				calm = false
			}
		}
	}
	switch {
	case calm && j.quiet():
		return j.b.Spread
	case calm:
		return 4 * j.b.Spread
	}
	return p.lapse + j.b.Spread
}

// except reports whether an operator has said that a member is down.
func (p *policyJudge) except(name string, n uint64) bool {
	u := p.used[n]
	return u != nil && slices.Contains(p.without[u.id], name)
}

func (p *policyJudge) took(l *Line) {
	j := p.j
	o := j.pids[l.PID]
	if o == nil || !p.on {
		return
	}
	t := p.taker(l.PID)
	n := l.Number
	p.latest = l.T
	if l.Alone { // its file says so: shown, not judged
		return
	}
	u := p.used[n]
	switch {
	case u == nil:
		u = &used{l.ID, l.T}
		p.used[n] = u
		if n > p.most {
			p.most, p.changed = n, l.T
		}
		for _, pid := range j.order { // who has it not on its disk?
			if o := j.pids[pid]; !p.disksTold {
				break
			} else if o.up && !o.left && !p.disks[o.name][l.ID] && n > 0 {
				p.taker(pid).noDisk[n] = true
			}
		}
	case u.id != l.ID:
		p.kept.fail(l.T, j.base, "%s takes by policy %d as change %s made it, and %s was used", l.Of, n, l.ID, u.id)
	}
	if said := p.told[l.ID]; said != nil && said.State == "dropped" && n > 0 {
		p.all.fail(l.T, j.base, "%s takes by change %s, of which its author was told that it was dropped", l.Of, l.ID)
	}
	first := !t.any
	if first {
		p.start.Tried++
	}
	if n != t.number || first {
		if n < t.number {
			p.kept.fail(l.T, j.base, "%s takes by policy %d, and took by %d before", l.Of, n, t.number)
		}
		if !first && j.quiet() && o.paused == 0 {
			p.serves.Tried++
		}
		t.number, t.since = n, l.T
		p.kept.Tried++
	}
	t.any, t.last = true, l.T
	if p.most > t.tried && l.T > p.used[p.most].first {
		t.tried = p.most
		p.one.Tried++
	}
	if at, m := p.above(n); at > 0 && m > t.failed && !p.except(l.Of, m) && !(l.Both != "" && p.used[m].id == l.Both && m == n+1) {
		lag, bound := time.Duration(l.T-at), p.bound(o, l.T)
		if t.noDisk[m] {
			bound = j.b.Spread
			if lag > bound {
				p.all.fail(l.T, j.base, "%s takes by policy %d %v after %d was first used, which it had not on its disk", l.Of, n, lag, m)
				t.failed = m
			}
		}
		p.one.near(float64(lag)/float64(bound), "%v of %v (%s, policy %d)", lag.Round(time.Millisecond), bound, l.Of, n)
		if lag > bound && t.failed < m {
			t.failed = m
			p.one.fail(l.T, j.base, "%s takes by policy %d %v after %d was first used; %v is the most", l.Of, n, lag.Round(time.Millisecond), m, bound)
			if first {
				p.start.fail(l.T, j.base, "%s begins with policy %d, and %d is in force for %v", l.Of, n, m, lag.Round(time.Millisecond))
			}
		}
	}
	if !p.stops && p.away(o) {
		p.serves.Tried++
	}
}

// majority reports whether a process reaches most of the voters.
func (p *policyJudge) majority(o *process) bool {
	n := 0
	for _, v := range p.voters {
		for _, pid := range p.j.order {
			if q := p.j.pids[pid]; q.up && q.name == v && (q == o || p.j.reach(o, q)) {
				n++
				break
			}
		}
	}
	return 2*n > len(p.voters)
}

// away reports whether a process reaches no voter.
func (p *policyJudge) away(o *process) bool {
	for _, v := range p.voters {
		if v == o.name {
			return false
		}
		for _, pid := range p.j.order {
			if q := p.j.pids[pid]; q.up && q.name == v && p.j.reach(o, q) {
				return false
			}
		}
	}
	return true
}

// undisturbed is how long nothing may have happened before a turned request is the policy's fault.
const undisturbed = 20 * time.Second

func (p *policyJudge) turn(l *Line) {
	j := p.j
	o := j.pids[l.PID]
	t := p.taker(l.PID)
	if o == nil || !p.on || !t.any || l.T-t.turned < int64(time.Second) { // one a second is told
		return
	}
	t.turned = l.T
	quiet := l.T-j.truthAt > int64(undisturbed) && j.quiet() && l.T-j.linkAt > int64(undisturbed)
	free := !p.stops && len(p.under) == 0 && l.T-p.changed > int64(undisturbed)+int64(p.lapse)
	if (quiet && p.majority(o)) || free && o.paused == 0 {
		p.serves.fail(l.T, j.base, "%s turns requests away: %s", l.Of, l.Why)
	}
}

func (p *policyJudge) tell(l *Line) {
	p.told[l.ID] = l
	delete(p.under, l.ID)
	p.changed = l.T
	p.word.Tried++
	for n, u := range p.used {
		if u.id == l.ID && n > 0 && l.State == "dropped" {
			p.word.fail(l.T, p.j.base, "%s is told that change %s was dropped, and it is used as policy %d", l.Of, l.ID, n)
		}
	}
	if at := p.asked[l.ID]; at > 0 {
		p.word.took(time.Duration(l.T - at))
	}
}

// end looks at where all have come to.
func (p *policyJudge) end(t int64) {
	j := p.j
	if !p.on {
		return
	}
	for id, l := range p.told {
		if l.State != "in force" {
			continue
		}
		if u := p.used[l.Number]; u != nil && u.id != id && !strings.HasPrefix(l.Why, "it was in force") {
			p.kept.fail(t, j.base, "%s was told that change %s is policy %d, and that is %s", l.Of, id, l.Number, u.id)
		}
		if l.Number > p.most && p.traffic() {
			p.all.fail(t, j.base, "%s was told that change %s is in force as %d, and nobody uses it", l.Of, id, l.Number)
		}
	}
	if p.latest-j.truthAt < int64(j.b.Settle) || p.latest-p.changed < int64(j.b.Settle) {
		return
	}
	for _, pid := range j.order {
		o, k := j.pids[pid], p.takers[pid]
		if !o.up || o.left || o.paused > 0 || k == nil || p.latest-k.last > int64(2*time.Second) {
			continue
		}
		p.all.Tried++
		p.all.near(0, "all use policy %d", p.most)
		if k.number != p.most {
			p.all.fail(t, j.base, "%s takes by policy %d in the end, and %d is in force", o.name, k.number, p.most)
		}
	}
	for _, id := range sortedKeys(p.under) {
		p.word.fail(t, j.base, "of change %s nobody was told what became", id)
	}
}

func (p *policyJudge) traffic() bool {
	for _, k := range p.takers {
		if p.latest-k.last < int64(2*time.Second) {
			return true
		}
	}
	return false
}

// Switches are, for each policy, how long it took from its first use to the last process that came to it.
func Switches(lines []Line) map[uint64]time.Duration {
	first, last, at := map[uint64]int64{}, map[uint64]int64{}, map[string]uint64{}
	for i := range lines {
		l := &lines[i]
		if l.What != Took || l.Alone {
			continue
		}
		key := fmt.Sprint(l.Of, l.PID)
		if was, ok := at[key]; ok && was != l.Number {
			if first[l.Number] == 0 {
				first[l.Number] = l.T
			}
			last[l.Number] = l.T
		}
		at[key] = l.Number
	}
	all := map[uint64]time.Duration{}
	for n, t := range first {
		all[n] = time.Duration(last[n] - t)
	}
	return all
}

// Policy judges a run of which only policies are told: no views, no requests but what they were taken by.
func Policy(b Bounds, lines []Line) *Report {
	r := Judge(b, lines)
	r.Claims = slices.DeleteFunc(r.Claims, func(c *Claim) bool { return !strings.HasPrefix(c.Name, "policy-") })
	return r
}
