package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// used is the first use of a policy version, and the change that created it.
type used struct {
	id    string
	first int64
}

// partUser records how one process uses one part of the policy.
type partUser struct {
	number         uint64
	hasUsed        bool
	checkedFor     uint64 // highest version for which a delay has been checked
	failedFor      uint64
	numberSince    int64 // time of its first use of number
	lastUsedAt     int64
	lastRejectedAt int64
	missingOnDisk  map[uint64]bool // versions that were not on its disk when they came into force
}

// policyChecker checks the policy that a fleet agrees on, using the versions under which requests were admitted.
type policyChecker struct {
	checker           *checker
	isAgreed          bool
	stopsWhenIsolated bool
	leaseTerm         time.Duration // time after its last contact from which an isolated member admits no requests
	parts             map[string]*partChecker
	partsOf           map[int]map[string]bool // by process, besides the global part
	onDisk            map[string]map[string]bool
	excluded          map[string][]string // by change: members that its author excluded
	partsOfChange     map[string][]string // by change: its parts
	proposedAt        map[string]int64    // by change
	notifications     map[string]*Line    // by change: what its author was notified of
	voters            []string
	futureVoters      []string // members that may become voters
	changedAt         int64    // when a change was last proposed, first used or decided
	// Changes whose authors have not been notified yet.
	pending    map[string]bool
	lastUseAt  int64 // when a request was last admitted
	disksKnown bool  // the history contains OnDisk lines

	mixedUses     map[partUse]bool
	multiPartUses map[int]map[string]int64 // by process and change of several parts: time of the first use
	isolation     isolationChecker

	one, all, start, serves, durable, notified, atomic *Claim
}

// partChecker records the use of one part of the policy.
type partChecker struct {
	policy  *policyChecker
	name    string
	used    map[uint64]*used
	highest uint64
	users   map[int]*partUser // by process
}

// partUse is a process's use of a version of one part after it had used a change of several parts that include this
// one.
type partUse struct {
	pid    int
	part   string
	number uint64
	change string
}

func (p *policyChecker) begin(ck *checker) []*Claim {
	p.checker = ck
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
	p.one = &Claim{Name: PolicyOne, Text: "once a policy is used anywhere, no request is admitted by an earlier one: on healthy links after 'spread', else after the lease"}
	p.all = &Claim{Name: PolicyAll, Text: "a policy is used by all members that it concerns or by none: a member that lacks it on its disk admits no request by an earlier one, and an aborted one is never used"}
	p.start = &Claim{Name: PolicyStart, Text: "the first request of a process by a part is admitted by the policy in force"}
	p.serves = &Claim{Name: PolicyServes, Text: "no request is rejected because of the policy where there is no fault; nor, if cut_off is \"vetoes\", where no change is under way"}
	p.durable = &Claim{Name: PolicyDurable, Text: "a policy in force is durable: each number has one change, and no process returns to an earlier one, whatever disks are lost"}
	p.notified = &Claim{Name: PolicyAuthorNotified, Text: "authors are notified of the outcome of their change"}
	p.atomic = &Claim{Name: PolicyAtomic, Text: "a change of several parts is in force in all of them or in none: a process that admits a request by one of them admits none by an earlier policy of another, after 'spread'"}
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

// hasPart reports whether a process holds a part. All processes hold the global part.
func (p *policyChecker) hasPart(pid int, part string) bool { return part == "" || p.partsOf[pid][part] }

// describe returns the text by which reports name a version of the part.
func (q *partChecker) describe(n uint64) string {
	if q.name == "" {
		return fmt.Sprintf("policy %d", n)
	}
	return fmt.Sprintf("policy %d of %s", n, q.name)
}

// PartsText returns the value of Line.Parts for a list of parts.
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

// applyLine applies a line if it is about the policy, and reports whether it is.
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
	case RequestAdmitted:
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

// firstLaterUse returns the time at which a version later than n was first used, and that version; 0: never. If several
// were first used at the same time, it returns the lowest number.
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

// maxLag returns how long a process may use an earlier policy after the first use of a later one.
func (p *policyChecker) maxLag(o *process, t int64) time.Duration {
	ck := p.checker
	calm := o.pausedAt == 0 && t-o.resumedAt > int64(ck.bounds.Settle) && t > o.starvedUntil+int64(ck.bounds.Settle) && t-ck.lastDownAt > int64(ck.bounds.Settle) && ck.areLinksHealthy(t)
	for _, v := range slices.Concat(p.voters, p.futureVoters) { // a leader may have been paused just after its decision
		for _, pid := range ck.order {
			if q := ck.processes[pid]; q.up && q.name == v && (q.pausedAt > 0 || t-q.resumedAt <= int64(ck.bounds.Settle)) {
				calm = false
			}
		}
	}
	switch {
	case calm && ck.areLinksUndisturbed():
		return ck.bounds.PolicySpread
	case calm:
		return 4 * ck.bounds.PolicySpread
	}
	return p.leaseTerm + ck.bounds.PolicySpread
}

// isExcluded reports whether the author of a change excluded a member, as an operator does for one that is down.
func (q *partChecker) isExcluded(name string, n uint64) bool {
	u := q.used[n]
	return u != nil && slices.Contains(q.policy.excluded[u.id], name)
}

// applyUse applies the admission of a request by a process under a policy version.
func (p *policyChecker) applyUse(l *Line) {
	o := p.checker.processes[l.PID]
	if o == nil || !p.isAgreed {
		return
	}
	q := p.part(l.Part)
	t := q.user(l.PID)
	p.lastUseAt = l.T
	if l.Standalone { // the daemon's configuration allows it: recorded, not checked
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
		p.start.recordBreak(l.T, p.checker.base, "%s starts with %s, but %d has been in force for %v", l.Of, q.describe(l.Number), late.later, late.lag.Round(time.Millisecond))
	}
	p.noteMultiPartUse(l)
	if !p.stopsWhenIsolated && p.isIsolated(o) {
		p.serves.Tried++
	}
}

// checkChange checks that each version comes from one change, and that the change was not aborted. At the first use of
// a version it records which processes lack it on their disks.
func (p *policyChecker) checkChange(q *partChecker, l *Line) {
	ck := p.checker
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
		p.durable.recordBreak(l.T, ck.base, "%s uses %s of change %s, but that of change %s was used before", l.Of, q.describe(n), l.ID, u.id)
	}
	if notified := p.notifications[l.ID]; notified != nil && notified.State == "dropped" && n > 0 {
		p.all.recordBreak(l.T, ck.base, "%s uses change %s, whose author was notified that it was aborted", l.Of, l.ID)
	}
}

// noteMissingOnDisk records which processes that hold the part lack a version on their disks.
func (p *policyChecker) noteMissingOnDisk(q *partChecker, l *Line) {
	for _, pid := range p.checker.order {
		o := p.checker.processes[pid]
		if o.up && !o.leaving && p.hasPart(pid, l.Part) && !p.onDisk[o.name][l.ID] {
			q.user(pid).missingOnDisk[l.Number] = true
		}
	}
}

// checkNumber checks that a process never returns to an earlier policy.
func (p *policyChecker) checkNumber(q *partChecker, t *partUser, o *process, l *Line) {
	n := l.Number
	if n == t.number && t.hasUsed {
		return
	}
	if n < t.number {
		p.durable.recordBreak(l.T, p.checker.base, "%s uses %s, but used %d before", l.Of, q.describe(n), t.number)
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

// checkLag checks for how long a process uses a policy after the first use of a later one by any process. It returns a
// use that is too late, at most once for each later policy, or nil.
func (p *policyChecker) checkLag(q *partChecker, t *partUser, o *process, l *Line) *lateUse {
	ck := p.checker
	n := l.Number
	at, later := q.firstLaterUse(n)
	if at == 0 || later <= t.failedFor || q.isExcluded(l.Of, later) {
		return nil
	}
	if l.PreparingChange != "" && q.used[later].id == l.PreparingChange && later == n+1 { // the request was allowed by both versions
		return nil
	}
	lag := time.Duration(l.T - at)
	bound := p.maxLag(o, l.T)
	if t.missingOnDisk[later] {
		bound = ck.bounds.PolicySpread
		if lag > bound {
			p.all.recordBreak(l.T, ck.base, "%s uses %s %v after %d was first used, which it lacks on its disk", l.Of, q.describe(n), lag, later)
			t.failedFor = later
		}
	}
	p.one.recordMargin(float64(lag)/float64(bound), "%v of %v (%s, %s)", lag.Round(time.Millisecond), bound, l.Of, q.describe(n))
	if lag <= bound || t.failedFor >= later {
		return nil
	}
	t.failedFor = later
	p.one.recordBreak(l.T, ck.base, "%s uses %s %v after %d was first used; maximum %v", l.Of, q.describe(n), lag.Round(time.Millisecond), later, bound)
	return &lateUse{later: later, lag: lag}
}

// reachesMajority reports whether a process reaches a majority of the voters.
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

// undisturbed is how long the fleet must have been without faults for a rejected request to break the claim.
const undisturbed = 20 * time.Second

func (p *policyChecker) applyRejection(l *Line) {
	ck := p.checker
	o := ck.processes[l.PID]
	t := p.part(l.Part).user(l.PID)
	if o == nil || !p.isAgreed || !t.hasUsed || l.T-t.lastRejectedAt < int64(time.Second) {
		// The rejections of a process are checked at most once a second.
		return
	}
	t.lastRejectedAt = l.T
	quiet := l.T-ck.truthChangedAt > int64(undisturbed) && ck.areLinksUndisturbed() && l.T-ck.linksChangedAt > int64(undisturbed)
	free := !p.stopsWhenIsolated && len(p.pending) == 0 && l.T-p.changedAt > int64(undisturbed)+int64(p.leaseTerm)
	if (quiet && p.reachesMajority(o)) || free && o.pausedAt == 0 {
		p.serves.recordBreak(l.T, ck.base, "%s rejects requests: %s", l.Of, l.Why)
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
				p.notified.recordBreak(l.T, p.checker.base, "%s is notified that change %s was aborted, but it is used as %s", l.Of, l.ID, q.describe(n))
			}
		}
	}
	p.isolation.authorNotified(l)
	if at := p.proposedAt[l.ID]; at > 0 {
		p.notified.recordDuration(time.Duration(l.T - at))
	}
}

// end checks the final state: all use the highest version, and all authors have been notified.
func (p *policyChecker) end(t int64) {
	ck := p.checker
	if !p.isAgreed {
		return
	}
	for id, l := range p.notifications {
		if l.State != "in force" {
			continue
		}
		q := p.part(p.firstPart(id))
		if u := q.used[l.Number]; u != nil && u.id != id && !strings.HasPrefix(l.Why, "it was in force") {
			p.durable.recordBreak(t, ck.base, "%s was notified that change %s is %s, but that is change %s", l.Of, id, q.describe(l.Number), u.id)
		}
		if l.Number > q.highest && q.isInUse() {
			p.all.recordBreak(t, ck.base, "%s was notified that change %s is in force as %d, but no process uses it", l.Of, id, l.Number)
		}
	}
	p.checkAtomicity(t)
	if p.lastUseAt-ck.truthChangedAt < int64(ck.bounds.Settle) || p.lastUseAt-p.changedAt < int64(ck.bounds.Settle) {
		return
	}
	for _, part := range sortedKeys(p.parts) {
		q := p.parts[part]
		for _, pid := range ck.order {
			o, k := ck.processes[pid], q.users[pid]
			if !o.up || o.leaving || o.pausedAt > 0 || k == nil || p.lastUseAt-k.lastUsedAt > int64(2*time.Second) {
				continue
			}
			p.all.Tried++
			p.all.recordMargin(0, "all use %s", q.describe(q.highest))
			if k.number != q.highest {
				p.all.recordBreak(t, ck.base, "%s uses %s at the end, but %d is in force", o.name, q.describe(k.number), q.highest)
			}
		}
	}
	for _, id := range sortedKeys(p.pending) {
		p.notified.recordBreak(t, ck.base, "the author of change %s was never notified of its outcome", id)
	}
}

// firstPart returns the part of a change whose policy number is reported to its author.
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

// Switches returns, for each policy version, the time from its first use until the last process switched to it.
func Switches(lines []Line) map[uint64]time.Duration {
	first := map[uint64]int64{}
	last := map[uint64]int64{}
	at := map[string]uint64{} // by process
	for i := range lines {
		l := &lines[i]
		if l.What != RequestAdmitted || l.Standalone {
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

// Policy checks a history and returns only the claims about policies.
func Policy(b Bounds, lines []Line) *Report {
	r := Check(b, lines)
	r.Claims = slices.DeleteFunc(r.Claims, func(c *Claim) bool { return !strings.HasPrefix(c.Name, "policy-") })
	return r
}
