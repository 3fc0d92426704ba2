package checker

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
	number uint64
	any    bool
	tried  uint64 // the highest policy for which it has been looked at
	failed uint64
	since  int64 // it takes by its number since
	last   int64
	turned int64
	noDisk map[uint64]bool // policies that it had not on its disk as they came into force
}

// policyJudge judges the policy that a fleet agrees on by what requests were taken by.
type policyJudge struct {
	j       *judge
	on      bool
	stops   bool
	lapse   time.Duration // a member that is cut off takes nothing so long after it heard last
	parts   map[string]*partJudge
	holds   map[int]map[string]bool // by process, besides what holds for all
	disks   map[string]map[string]bool
	without map[string][]string // by change
	names   map[string][]string // by change: its parts
	asked   map[string]int64    // changes, and since when
	told    map[string]*Line    // what authors were told
	voters  []string
	later   []string // who may vote later
	changed int64    // a change was asked for, or decided
	// Changes of which nobody has been told yet.
	under     map[string]bool
	latest    int64 // a request was taken
	disksTold bool  // what is on disks is known

	wholes map[whole]bool
	went   map[int]map[string]int64 // by process: changes of several parts by which it took, and since when
	apart  apartJudge

	one, all, start, serves, kept, word, whole *Claim
}

// partJudge is what is known of one part of the policy.
type partJudge struct {
	p      *policyJudge
	name   string
	used   map[uint64]*used
	most   uint64
	takers map[int]*taker // by process
}

// whole is a request that a process took by one part, after it had taken one of another by a change of both.
type whole struct {
	pid    int
	part   string
	number uint64
	change string
}

func (p *policyJudge) begin(j *judge) []*Claim {
	p.j, p.parts, p.holds, p.disks, p.without, p.asked, p.told, p.under = j, map[string]*partJudge{}, map[int]map[string]bool{}, map[string]map[string]bool{}, map[string][]string{}, map[string]int64{}, map[string]*Line{}, map[string]bool{}
	p.names, p.wholes, p.went = map[string][]string{}, map[whole]bool{}, map[int]map[string]int64{}
	p.one = &Claim{Name: PolicyOne, Text: "once a policy is used anywhere, no request is taken by an earlier one: on whole links after 'spread', else after the lease"}
	p.all = &Claim{Name: PolicyAll, Text: "a policy is used by all whom it concerns or by nobody: who had it not on its disk takes nothing by an earlier one, a dropped one is never used"}
	p.start = &Claim{Name: PolicyStart, Text: "the first request of a process by a part is taken by what is in force"}
	p.serves = &Claim{Name: PolicyServes, Text: "no request is turned away for the policy where nothing is broken; nor, if cut_off is \"vetoes\", where no change is under way"}
	p.kept = &Claim{Name: PolicyKept, Text: "what came into force stays: one change a number, never an earlier one again, whatever disks are lost"}
	p.word = &Claim{Name: PolicyTold, Text: "authors are told what became of their change"}
	p.whole = &Claim{Name: PolicyWhole, Text: "a change of several parts is in force in all of them or in none: who takes a request by one of them takes none by what was before in another, after 'spread'"}
	return []*Claim{p.one, p.all, p.start, p.serves, p.kept, p.word, p.whole, p.apart.begin(p)}
}

func (p *policyJudge) part(name string) *partJudge {
	q := p.parts[name]
	if q == nil {
		q = &partJudge{p: p, name: name, used: map[uint64]*used{}, takers: map[int]*taker{}}
		p.parts[name] = q
	}
	return q
}

// holding reports whether a process has to do with a part.
func (p *policyJudge) holding(pid int, part string) bool { return part == "" || p.holds[pid][part] }

// what names a policy for people.
func (q *partJudge) what(n uint64) string {
	if q.name == "" {
		return fmt.Sprintf("policy %d", n)
	}
	return fmt.Sprintf("policy %d of %s", n, q.name)
}

// PartsText is how a line names parts.
func PartsText(parts []string) string {
	all := slices.Clone(parts)
	for i, p := range all {
		if p == "" {
			all[i] = "-"
		}
	}
	return strings.Join(all, " ")
}

func partsIn(text string) (all []string) {
	for _, p := range strings.Fields(text) {
		all = append(all, strings.TrimPrefix(p, "-"))
	}
	if len(all) == 0 {
		all = []string{""}
	}
	return all
}

// line takes a line about the policy. It reports whether it was one.
func (p *policyJudge) line(l *Line) bool {
	switch l.What {
	case Agreed:
		p.on, p.stops, p.lapse, p.voters, p.later = true, l.Hard, time.Duration(l.PauseMS)*time.Millisecond, strings.Fields(l.Why), strings.Fields(l.Parts)
	case Proposed:
		p.asked[l.ID], p.changed, p.under[l.ID] = l.T, l.T, true
		p.without[l.ID], p.names[l.ID] = strings.Fields(l.Why), partsIn(l.Parts)
	case Holds:
		p.holds[l.PID] = map[string]bool{}
		for _, part := range strings.Fields(l.Parts) {
			p.holds[l.PID][part] = true
		}
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

func (q *partJudge) taker(pid int) *taker {
	t := q.takers[pid]
	if t == nil {
		t = &taker{noDisk: map[uint64]bool{}}
		q.takers[pid] = t
	}
	return t
}

// above is when anything later than a number was first used; 0: never.
func (q *partJudge) above(n uint64) (at int64, by uint64) {
	for m, u := range q.used {
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
	for _, v := range slices.Concat(p.voters, p.later) { // one that leads may be paused just as it has decided
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
func (q *partJudge) except(name string, n uint64) bool {
	u := q.used[n]
	return u != nil && slices.Contains(q.p.without[u.id], name)
}

func (p *policyJudge) took(l *Line) {
	j := p.j
	o := j.pids[l.PID]
	if o == nil || !p.on {
		return
	}
	q := p.part(l.Part)
	t := q.taker(l.PID)
	n := l.Number
	p.latest = l.T
	if l.Alone { // its file says so: shown, not judged
		return
	}
	u := q.used[n]
	switch {
	case u == nil:
		u = &used{l.ID, l.T}
		q.used[n] = u
		if n > q.most {
			q.most, p.changed = n, l.T
		}
		for _, pid := range j.order { // who has it not on its disk?
			if o := j.pids[pid]; !p.disksTold {
				break
			} else if o.up && !o.left && p.holding(pid, l.Part) && !p.disks[o.name][l.ID] && n > 0 {
				q.taker(pid).noDisk[n] = true
			}
		}
	case u.id != l.ID:
		p.kept.fail(l.T, j.base, "%s takes by %s as change %s made it, and %s was used", l.Of, q.what(n), l.ID, u.id)
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
			p.kept.fail(l.T, j.base, "%s takes by %s, and took by %d before", l.Of, q.what(n), t.number)
		}
		if !first && j.quiet() && o.paused == 0 {
			p.serves.Tried++
		}
		t.number, t.since = n, l.T
		p.kept.Tried++
	}
	t.any, t.last = true, l.T
	if q.most > t.tried && l.T > q.used[q.most].first {
		t.tried = q.most
		p.one.Tried++
	}
	if at, m := q.above(n); at > 0 && m > t.failed && !q.except(l.Of, m) && !(l.Both != "" && q.used[m].id == l.Both && m == n+1) {
		lag, bound := time.Duration(l.T-at), p.bound(o, l.T)
		if t.noDisk[m] {
			bound = j.b.Spread
			if lag > bound {
				p.all.fail(l.T, j.base, "%s takes by %s %v after %d was first used, which it had not on its disk", l.Of, q.what(n), lag, m)
				t.failed = m
			}
		}
		p.one.near(float64(lag)/float64(bound), "%v of %v (%s, %s)", lag.Round(time.Millisecond), bound, l.Of, q.what(n))
		if lag > bound && t.failed < m {
			t.failed = m
			p.one.fail(l.T, j.base, "%s takes by %s %v after %d was first used; %v is the most", l.Of, q.what(n), lag.Round(time.Millisecond), m, bound)
			if first {
				p.start.fail(l.T, j.base, "%s begins with %s, and %d is in force for %v", l.Of, q.what(n), m, lag.Round(time.Millisecond))
			}
		}
	}
	p.together(l)
	if !p.stops && p.away(o) {
		p.serves.Tried++
	}
}

// together takes note of a request, for changes of several parts.
func (p *policyJudge) together(l *Line) {
	went := p.went[l.PID]
	if len(p.names[l.ID]) > 1 && went[l.ID] == 0 {
		if went == nil {
			went = map[string]int64{}
			p.went[l.PID] = went
		}
		went[l.ID] = l.T
	}
	for id, since := range went {
		if id != l.ID && l.T-since > int64(p.j.b.Spread) && slices.Contains(p.names[id], l.Part) {
			p.wholes[whole{l.PID, l.Part, l.Number, id}] = true
		}
	}
}

// wholly looks at changes of several parts once all is known.
func (p *policyJudge) wholly(t int64) {
	numbers := map[string]map[string]uint64{} // by change and part
	for part, q := range p.parts {
		for n, u := range q.used {
			if len(p.names[u.id]) > 1 {
				if numbers[u.id] == nil {
					numbers[u.id] = map[string]uint64{}
				}
				numbers[u.id][part] = n
			}
		}
	}
	for id, of := range numbers {
		p.whole.Tried++
		for _, part := range p.names[id] {
			if of[part] > 0 {
				continue
			}
			// Nobody used it: then those that used the other part went on to what came after it. Of two changes of one part that
			// both came into force the one that was asked for later is the later one, for it was made of the other.
			for pid := range p.went {
				q := p.part(part)
				if k := q.takers[pid]; p.went[pid][id] > 0 && k != nil && k.last > p.went[pid][id]+int64(p.j.b.Spread) && p.asked[q.used[k.number].id] < p.asked[id] {
					p.whole.fail(t, p.j.base, "change %s is used in a part, and never in %q, where process %d goes on by policy %d", id, part, pid, k.number)
				}
			}
		}
	}
	for w := range p.wholes {
		p.whole.Tried++
		if n := numbers[w.change][w.part]; w.number < n {
			p.whole.fail(t, p.j.base, "process %d takes by policy %d of %q after it took by change %s, which made that %d", w.pid, w.number, w.part, w.change, n)
		}
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
	t := p.part(l.Part).taker(l.PID)
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
	for _, q := range p.parts {
		for n, u := range q.used {
			if u.id == l.ID && n > 0 && l.State == "dropped" {
				p.word.fail(l.T, p.j.base, "%s is told that change %s was dropped, and it is used as %s", l.Of, l.ID, q.what(n))
			}
		}
	}
	p.apart.told(l)
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
		q := p.part(p.first(id))
		if u := q.used[l.Number]; u != nil && u.id != id && !strings.HasPrefix(l.Why, "it was in force") {
			p.kept.fail(t, j.base, "%s was told that change %s is %s, and that is %s", l.Of, id, q.what(l.Number), u.id)
		}
		if l.Number > q.most && q.traffic() {
			p.all.fail(t, j.base, "%s was told that change %s is in force as %d, and nobody uses it", l.Of, id, l.Number)
		}
	}
	p.wholly(t)
	if p.latest-j.truthAt < int64(j.b.Settle) || p.latest-p.changed < int64(j.b.Settle) {
		return
	}
	for _, part := range sortedKeys(p.parts) {
		q := p.parts[part]
		for _, pid := range j.order {
			o, k := j.pids[pid], q.takers[pid]
			if !o.up || o.left || o.paused > 0 || k == nil || p.latest-k.last > int64(2*time.Second) {
				continue
			}
			p.all.Tried++
			p.all.near(0, "all use %s", q.what(q.most))
			if k.number != q.most {
				p.all.fail(t, j.base, "%s takes by %s in the end, and %d is in force", o.name, q.what(k.number), q.most)
			}
		}
	}
	for _, id := range sortedKeys(p.under) {
		p.word.fail(t, j.base, "of change %s nobody was told what became", id)
	}
}

// first is the part whose number authors are told.
func (p *policyJudge) first(id string) string {
	if all := p.names[id]; len(all) > 0 {
		return all[0]
	}
	return ""
}

func (q *partJudge) traffic() bool {
	for _, k := range q.takers {
		if q.p.latest-k.last < int64(2*time.Second) {
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
