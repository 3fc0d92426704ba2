package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// used is the first use of a policy, and the change that made it.
type used struct {
	id    string
	first int64
}

// partUser is a process that takes requests by a part of the policy.
type partUser struct {
	number         uint64
	hasUsed        bool
	checkedFor     uint64 // the highest policy for which it has been looked at
	failedFor      uint64
	numberSince    int64 // it takes by its number since
	lastUsedAt     int64
	lastRejectedAt int64
	missingOnDisk  map[uint64]bool // policies that it had not on its disk as they came into force
}

// policyChecker checks the policy that a fleet agrees on, by the policies by which requests were taken.
type policyChecker struct {
	checker           *checker
	isAgreed          bool
	stopsWhenIsolated bool
	leaseTerm         time.Duration // a member that is cut off takes nothing so long after it heard last
	parts             map[string]*partChecker
	partsOf           map[int]map[string]bool // by process, besides what holds for all
	onDisk            map[string]map[string]bool
	excluded          map[string][]string // by change
	partsOfChange     map[string][]string // by change: its parts
	proposedAt        map[string]int64    // changes, and since when
	notifications     map[string]*Line    // what authors were told
	voters            []string
	futureVoters      []string // who may vote later
	changedAt         int64    // a change was asked for, or decided
	// Changes of which nobody has been told yet.
	pending    map[string]bool
	lastUseAt  int64 // a request was taken
	disksKnown bool  // what is on disks is known

	mixedUses     map[partUse]bool
	multiPartUses map[int]map[string]int64 // by process: changes of several parts by which it took, and since when
	isolation     isolationChecker

	one, all, start, serves, durable, notified, atomic *Claim
}

// partChecker is what is known of one part of the policy.
type partChecker struct {
	policy  *policyChecker
	name    string
	used    map[uint64]*used
	highest uint64
	users   map[int]*partUser // by process
}

// partUse is a request that a process took by one part, after it had taken one of another by a change of both.
type partUse struct {
	pid    int
	part   string
	number uint64
	change string
}

func (p *policyChecker) begin(j *checker) []*Claim {
	p.checker = j
	p.parts = map[string]*partChecker{}
	p.partsOf = map[int]map[string]bool{}
	p.onDisk = map[string]map[string]bool{}
	p.excluded = map[string][]string{}
	p.proposedAt = map[string]int64{}
	p.notifications = map[string]*Line{}
	p.pending = map[string]bool{}
	p.partsOfChange = map[string][]string{}
	p.mixedUses = map[partUse]bool{}
	p.multiPartUses = map[int]map[string]int64{}
	p.one = &Claim{Name: PolicyOne, Text: "once a policy is used anywhere, no request is taken by an earlier one: on whole links after 'spread', else after the lease"}
	p.all = &Claim{Name: PolicyAll, Text: "a policy is used by all whom it concerns or by nobody: who had it not on its disk takes nothing by an earlier one, a dropped one is never used"}
	p.start = &Claim{Name: PolicyStart, Text: "the first request of a process by a part is taken by what is in force"}
	p.serves = &Claim{Name: PolicyServes, Text: "no request is turned away for the policy where nothing is broken; nor, if cut_off is \"vetoes\", where no change is under way"}
	p.durable = &Claim{Name: PolicyDurable, Text: "what came into force stays: one change a number, never an earlier one again, whatever disks are lost"}
	p.notified = &Claim{Name: PolicyAuthorNotified, Text: "authors are told what became of their change"}
	p.atomic = &Claim{Name: PolicyAtomic, Text: "a change of several parts is in force in all of them or in none: who takes a request by one of them takes none by what was before in another, after 'spread'"}
	return []*Claim{p.one, p.all, p.start, p.serves, p.durable, p.notified, p.atomic, p.isolation.begin(p)}
}

func (p *policyChecker) part(name string) *partChecker {
	q := p.parts[name]
	if q == nil {
		q = &partChecker{policy: p, name: name, used: map[uint64]*used{}, users: map[int]*partUser{}}
		p.parts[name] = q
	}
	return q
}

// hasPart reports whether a process has to do with a part.
func (p *policyChecker) hasPart(pid int, part string) bool { return part == "" || p.partsOf[pid][part] }

// describe names a policy for people.
func (q *partChecker) describe(n uint64) string {
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

// applyLine takes a line about the policy. It reports whether it was one.
func (p *policyChecker) applyLine(l *Line) bool {
	switch l.What {
	case Agreed:
		p.isAgreed = true
		p.stopsWhenIsolated = l.Hard
		p.leaseTerm = time.Duration(l.PauseMS) * time.Millisecond
		p.voters = strings.Fields(l.Why)
		p.futureVoters = strings.Fields(l.Parts)
	case Proposed:
		p.proposedAt[l.ID] = l.T
		p.changedAt = l.T
		p.pending[l.ID] = true
		p.excluded[l.ID] = strings.Fields(l.Why)
		p.partsOfChange[l.ID] = partsIn(l.Parts)
	case Holds:
		p.partsOf[l.PID] = map[string]bool{}
		for _, part := range strings.Fields(l.Parts) {
			p.partsOf[l.PID][part] = true
		}
	case OnDisk:
		p.disksKnown = true
		if p.onDisk[l.Of] == nil {
			p.onDisk[l.Of] = map[string]bool{}
		}
		p.onDisk[l.Of][l.ID] = true
	case AuthorNotified:
		p.applyNotification(l)
	case Took:
		p.applyUse(l)
	case PolicyRejected:
		p.applyRejection(l)
	default:
		return false
	}
	return true
}

func (q *partChecker) user(pid int) *partUser {
	t := q.users[pid]
	if t == nil {
		t = &partUser{missingOnDisk: map[uint64]bool{}}
		q.users[pid] = t
	}
	return t
}

// firstLaterUse is when anything later than a number was first used, and what; 0: never. Of those of one instant it is the
// earliest number.
func (q *partChecker) firstLaterUse(n uint64) (at int64, by uint64) {
	for m, u := range q.used {
		if m <= n {
			continue
		}
		if at == 0 || u.first < at || u.first == at && m < by {
			at, by = u.first, m
		}
	}
	return at, by
}

// maxLag is how late a process may take by an earlier policy.
func (p *policyChecker) maxLag(o *process, t int64) time.Duration {
	j := p.checker
	calm := o.pausedAt == 0 && t-o.resumedAt > int64(j.bounds.Settle) && t > o.starvedUntil+int64(j.bounds.Settle) && t-j.lastDownAt > int64(j.bounds.Settle) && j.areLinksHealthy(t)
	for _, v := range slices.Concat(p.voters, p.futureVoters) { // one that leads may be paused just as it has decided
		for _, pid := range j.order {
			if q := j.processes[pid]; q.up && q.name == v && (q.pausedAt > 0 || t-q.resumedAt <= int64(j.bounds.Settle)) {
				calm = false
			}
		}
	}
	switch {
	case calm && j.areLinksUndisturbed():
		return j.bounds.PolicySpread
	case calm:
		return 4 * j.bounds.PolicySpread
	}
	return p.leaseTerm + j.bounds.PolicySpread
}

// isExcluded reports whether an operator has said that a member is down.
func (q *partChecker) isExcluded(name string, n uint64) bool {
	u := q.used[n]
	return u != nil && slices.Contains(q.policy.excluded[u.id], name)
}

// applyUse applies that a process took a request by a policy.
func (p *policyChecker) applyUse(l *Line) {
	o := p.checker.processes[l.PID]
	if o == nil || !p.isAgreed {
		return
	}
	q := p.part(l.Part)
	t := q.user(l.PID)
	p.lastUseAt = l.T
	if l.Alone { // the daemon's file allows it: recorded, not checked
		return
	}
	p.checkChange(q, l)
	isFirst := !t.hasUsed
	if isFirst {
		p.start.Tried++
	}
	p.checkNumber(q, t, o, l)
	t.hasUsed = true
	t.lastUsedAt = l.T
	if q.highest > t.checkedFor && l.T > q.used[q.highest].first {
		t.checkedFor = q.highest
		p.one.Tried++
	}
	late := p.checkLag(q, t, o, l)
	if late != nil && isFirst {
		p.start.recordBreak(l.T, p.checker.base, "%s begins with %s, and %d is in force for %v", l.Of, q.describe(l.Number), late.later, late.lag.Round(time.Millisecond))
	}
	p.noteMultiPartUse(l)
	if !p.stopsWhenIsolated && p.isIsolated(o) {
		p.serves.Tried++
	}
}

// checkChange checks that a policy is used as one change made it, and that the change was not dropped. With the
// first use of a policy it records which processes lack it on their disks.
func (p *policyChecker) checkChange(q *partChecker, l *Line) {
	j := p.checker
	n := l.Number
	u := q.used[n]
	switch {
	case u == nil:
		q.used[n] = &used{l.ID, l.T}
		if n > q.highest {
			q.highest = n
			p.changedAt = l.T
		}
		if p.disksKnown && n > 0 {
			p.noteMissingOnDisk(q, l)
		}
	case u.id != l.ID:
		p.durable.recordBreak(l.T, j.base, "%s takes by %s as change %s made it, and %s was used", l.Of, q.describe(n), l.ID, u.id)
	}
	if notified := p.notifications[l.ID]; notified != nil && notified.State == "dropped" && n > 0 {
		p.all.recordBreak(l.T, j.base, "%s takes by change %s, of which its author was told that it was dropped", l.Of, l.ID)
	}
}

// noteMissingOnDisk records which processes with the part lack a policy on their disks.
func (p *policyChecker) noteMissingOnDisk(q *partChecker, l *Line) {
	for _, pid := range p.checker.order {
		o := p.checker.processes[pid]
		if o.up && !o.leaving && p.hasPart(pid, l.Part) && !p.onDisk[o.name][l.ID] {
			q.user(pid).missingOnDisk[l.Number] = true
		}
	}
}

// checkNumber checks that a process never goes back to an earlier policy.
func (p *policyChecker) checkNumber(q *partChecker, t *partUser, o *process, l *Line) {
	n := l.Number
	if n == t.number && t.hasUsed {
		return
	}
	if n < t.number {
		p.durable.recordBreak(l.T, p.checker.base, "%s takes by %s, and took by %d before", l.Of, q.describe(n), t.number)
	}
	if t.hasUsed && p.checker.areLinksUndisturbed() && o.pausedAt == 0 {
		p.serves.Tried++
	}
	t.number = n
	t.numberSince = l.T
	p.durable.Tried++
}

// lateUse is a use of a policy too long after the first use of a later one.
type lateUse struct {
	later uint64
	lag   time.Duration
}

// checkLag checks for how long a process goes on with an earlier policy than one that is used elsewhere. It returns
// a use that is too late, once for each later policy; nil: it is not.
func (p *policyChecker) checkLag(q *partChecker, t *partUser, o *process, l *Line) *lateUse {
	j := p.checker
	n := l.Number
	at, later := q.firstLaterUse(n)
	if at == 0 || later <= t.failedFor || q.isExcluded(l.Of, later) {
		return nil
	}
	if l.Both != "" && q.used[later].id == l.Both && later == n+1 { // it went by what both allow
		return nil
	}
	lag := time.Duration(l.T - at)
	bound := p.maxLag(o, l.T)
	if t.missingOnDisk[later] {
		bound = j.bounds.PolicySpread
		if lag > bound {
			p.all.recordBreak(l.T, j.base, "%s takes by %s %v after %d was first used, which it had not on its disk", l.Of, q.describe(n), lag, later)
			t.failedFor = later
		}
	}
	p.one.recordMargin(float64(lag)/float64(bound), "%v of %v (%s, %s)", lag.Round(time.Millisecond), bound, l.Of, q.describe(n))
	if lag <= bound || t.failedFor >= later {
		return nil
	}
	t.failedFor = later
	p.one.recordBreak(l.T, j.base, "%s takes by %s %v after %d was first used; %v is the most", l.Of, q.describe(n), lag.Round(time.Millisecond), later, bound)
	return &lateUse{later: later, lag: lag}
}

// reachesMajority reports whether a process reaches most of the voters.
func (p *policyChecker) reachesMajority(o *process) bool {
	n := 0
	for _, v := range p.voters {
		for _, pid := range p.checker.order {
			if q := p.checker.processes[pid]; q.up && q.name == v && (q == o || p.checker.canReach(o, q)) {
				n++
				break
			}
		}
	}
	return 2*n > len(p.voters)
}

// isIsolated reports whether a process reaches no voter.
func (p *policyChecker) isIsolated(o *process) bool {
	for _, v := range p.voters {
		if v == o.name {
			return false
		}
		for _, pid := range p.checker.order {
			if q := p.checker.processes[pid]; q.up && q.name == v && p.checker.canReach(o, q) {
				return false
			}
		}
	}
	return true
}

// undisturbed is how long nothing may have happened before a turned request is the policy's fault.
const undisturbed = 20 * time.Second

func (p *policyChecker) applyRejection(l *Line) {
	j := p.checker
	o := j.processes[l.PID]
	t := p.part(l.Part).user(l.PID)
	if o == nil || !p.isAgreed || !t.hasUsed || l.T-t.lastRejectedAt < int64(time.Second) { // one a second is told
		return
	}
	t.lastRejectedAt = l.T
	quiet := l.T-j.truthChangedAt > int64(undisturbed) && j.areLinksUndisturbed() && l.T-j.linksChangedAt > int64(undisturbed)
	free := !p.stopsWhenIsolated && len(p.pending) == 0 && l.T-p.changedAt > int64(undisturbed)+int64(p.leaseTerm)
	if (quiet && p.reachesMajority(o)) || free && o.pausedAt == 0 {
		p.serves.recordBreak(l.T, j.base, "%s turns requests away: %s", l.Of, l.Why)
	}
}

func (p *policyChecker) applyNotification(l *Line) {
	p.notifications[l.ID] = l
	delete(p.pending, l.ID)
	p.changedAt = l.T
	p.notified.Tried++
	for _, q := range p.parts {
		for n, u := range q.used {
			if u.id == l.ID && n > 0 && l.State == "dropped" {
				p.notified.recordBreak(l.T, p.checker.base, "%s is told that change %s was dropped, and it is used as %s", l.Of, l.ID, q.describe(n))
			}
		}
	}
	p.isolation.authorNotified(l)
	if at := p.proposedAt[l.ID]; at > 0 {
		p.notified.recordDuration(time.Duration(l.T - at))
	}
}

// end looks at where all have come to.
func (p *policyChecker) end(t int64) {
	j := p.checker
	if !p.isAgreed {
		return
	}
	for id, l := range p.notifications {
		if l.State != "in force" {
			continue
		}
		q := p.part(p.firstPart(id))
		if u := q.used[l.Number]; u != nil && u.id != id && !strings.HasPrefix(l.Why, "it was in force") {
			p.durable.recordBreak(t, j.base, "%s was told that change %s is %s, and that is %s", l.Of, id, q.describe(l.Number), u.id)
		}
		if l.Number > q.highest && q.isInUse() {
			p.all.recordBreak(t, j.base, "%s was told that change %s is in force as %d, and nobody uses it", l.Of, id, l.Number)
		}
	}
	p.checkAtomicity(t)
	if p.lastUseAt-j.truthChangedAt < int64(j.bounds.Settle) || p.lastUseAt-p.changedAt < int64(j.bounds.Settle) {
		return
	}
	for _, part := range sortedKeys(p.parts) {
		q := p.parts[part]
		for _, pid := range j.order {
			o, k := j.processes[pid], q.users[pid]
			if !o.up || o.leaving || o.pausedAt > 0 || k == nil || p.lastUseAt-k.lastUsedAt > int64(2*time.Second) {
				continue
			}
			p.all.Tried++
			p.all.recordMargin(0, "all use %s", q.describe(q.highest))
			if k.number != q.highest {
				p.all.recordBreak(t, j.base, "%s takes by %s in the end, and %d is in force", o.name, q.describe(k.number), q.highest)
			}
		}
	}
	for _, id := range sortedKeys(p.pending) {
		p.notified.recordBreak(t, j.base, "of change %s nobody was told what became", id)
	}
}

// firstPart is the part whose number authors are told.
func (p *policyChecker) firstPart(id string) string {
	if all := p.partsOfChange[id]; len(all) > 0 {
		return all[0]
	}
	return ""
}

func (q *partChecker) isInUse() bool {
	for _, k := range q.users {
		if q.policy.lastUseAt-k.lastUsedAt < int64(2*time.Second) {
			return true
		}
	}
	return false
}

// Switches are, for each policy, how long it took from its first use to the last process that came to it.
func Switches(lines []Line) map[uint64]time.Duration {
	first := map[uint64]int64{}
	last := map[uint64]int64{}
	at := map[string]uint64{} // by process
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

// Policy checks a run whose lines are only about policies, and returns only the claims about these.
func Policy(b Bounds, lines []Line) *Report {
	r := Check(b, lines)
	r.Claims = slices.DeleteFunc(r.Claims, func(c *Claim) bool { return !strings.HasPrefix(c.Name, "policy-") })
	return r
}
