// Package checker holds a fleet of daemons to what is claimed of it. It reads only what happened (Line): what the
// drill did, which is the truth, and what each process wrote of its own changes. It knows nothing of how the
// daemons work. For each claim it says how often it was put to the test, the nearest miss and the breaks; one
// without an occasion was not tried, which is not the same as kept.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"
)

// Bounds are what the fleet is held to.
type Bounds struct {
	Crash, Leave, Join, Settle time.Duration
	Pause                      time.Duration
	MinServed                  float64
	MaxIdleBytes, MaxBytes     int
	MaxRemoteBytes             int           // to other regions, in a second
	MaxSuspicion               time.Duration // a doubt in one's own region that is over so soon is none: a busy machine's
	RoundTrips                 int           // there and back between two daemons, added to Crash, Leave and Join
	Ejection                   time.Duration // a server that fails all is known to, and kept off by, all; one that is well is used again
	MaxEjectedShare            float64       // of an even share of requests that a failing server gets at the most
	PolicySpread               time.Duration // a policy is used by all so long after its first use, on whole links
	MinLimitUse                float64       // of a limit by the second, at the least, where more is wanted
}

// Claim is one of them, and what became of it.
type Claim struct {
	Name    string   `json:"name"`
	Text    string   `json:"text"`
	Tried   int      `json:"tried"`
	Nearest string   `json:"nearest,omitempty"`
	Breaks  []string `json:"breaks,omitempty"` // at the most breaksMost
	Broken  int      `json:"broken"`
	// Durations are the times of all occasions that have one, sorted.
	Durations []time.Duration `json:"-"`

	nearestMargin float64
	hasNearest    bool
}

const maxBreaks = 20

// Outcome is a word for people.
func (c *Claim) Outcome() string {
	switch {
	case c.Broken > 0:
		return "BROKEN"
	case c.Tried == 0:
		return "not tried"
	}
	return "kept"
}

func (c *Claim) recordBreak(at int64, base int64, format string, args ...any) {
	c.Broken++
	if len(c.Breaks) < maxBreaks {
		c.Breaks = append(c.Breaks, fmt.Sprintf("%.3f s: ", float64(at-base)/1e9)+fmt.Sprintf(format, args...))
	}
}

// recordMargin keeps the nearest miss: the highest of how near, in words.
func (c *Claim) recordMargin(margin float64, format string, args ...any) {
	if !c.hasNearest || margin > c.nearestMargin {
		c.hasNearest, c.nearestMargin = true, margin
		c.Nearest = fmt.Sprintf(format, args...)
	}
}

func (c *Claim) recordDuration(d time.Duration) {
	c.Durations = append(c.Durations, d)
	c.recordMargin(d.Seconds(), "%v", d.Round(time.Millisecond))
}

// Report is all of them.
type Report struct {
	Claims []*Claim `json:"claims"`
	Lines  int      `json:"lines"`
	Gaps   int      `json:"gaps"` // lines that daemons could not write: what was in them is not judged
}

// Broken counts claims that were broken.
func (r *Report) Broken() int {
	n := 0
	for _, c := range r.Claims {
		if c.Broken > 0 {
			n++
		}
	}
	return n
}

// NotTried are those of some claims that were not tried.
func (r *Report) NotTried(names []string) []string {
	var missed []string
	for _, n := range names {
		if c := r.Find(n); c == nil || c.Tried == 0 {
			missed = append(missed, n)
		}
	}
	return missed
}

// Find is the claim of a name.
func (r *Report) Find(name string) *Claim {
	for _, c := range r.Claims {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// memberView is how one process sees one member.
type memberView struct {
	incarnation, state string
	aliveChangedAt     int64 // it is alive or not
	suspectedAt        int64
	regionSuspectedAt  int64 // since then, by one of its own region while that is cut off; 0: it is not
}

// process is one of a daemon's.
type process struct {
	pid              int
	name             string
	region           string
	incarnation      string
	balancers        int
	up               bool
	leaving          bool // it said that it goes
	duplicate        bool
	standingBy       bool
	pausedAt         int64 // since then; 0: it is not
	longPauseEndedAt int64 // when a pause longer than the bound ended
	resumedAt        int64 // when any pause ended
	terminating      bool  // it was told to
	starvedUntil     int64 // until then it has little of a core
	startedAt        int64
	view             map[string]*memberView
	knownProcesses   map[int]bool // processes of which it has known the life
	countedBalancers int
	hasCounted       bool
	countChangedAt   int64 // when its count or what it knows last changed, until it was looked at
}

// expectation is something that must have come about by a time.
type expectation struct {
	claim    *Claim
	since    int64
	deadline int64
	observer *process
	subject  *process
	isMet    func(s *memberView) bool
	event    string
}

type pair struct{ from, to string }

type checker struct {
	bounds             Bounds
	base, now          int64
	processes          map[int]*process
	order              []int
	byIncarnation      map[string][]*process
	lossRates          map[pair]float64
	oneWayDelays       map[pair]time.Duration
	partitionedRegions map[string]bool // regions that are cut off from another one; nil: to be found anew
	impairedLinks      map[pair]bool   // links that do more than lose and delay
	componentOf        map[string]int
	linksChangedAt     int64 // last change of a link
	truthChangedAt     int64 // last change of any truth
	viewsCheckedFor    int64 // truthAt that the settled views were looked at for
	countsCheckedFor   int64 // and the counts
	isSettled          bool
	crashTimes         []int64
	lastDownAt         int64            // any process ended last
	serverCutUntil     map[string]int64 // daemon: cut off from servers until (or since, while it lasts: maxInt)
	expectations       []*expectation
	idleTraffic        map[string][2]int // bytes and seconds at rest
	serviceCounts      map[string]serviceCount

	limits  limitsChecker
	servers serversChecker
	policy  policyChecker

	crash, leave, join, settle, wrong, name, under, follows, served, most, rest, far, calm *Claim
}

// Claims' names.
const (
	CrashKnown           = "crash-known"
	LeaveKnown           = "leave-known"
	JoinKnown            = "join-known"
	Settled              = "settled"
	NoWrongDeath         = "no-wrong-death"
	OneName              = "one-name"
	CountEnough          = "count-enough"
	CountFollows         = "count-follows"
	Serving              = "serving"
	BytesMaximum         = "bytes-most"
	BytesIdle            = "bytes-idle"
	BytesFar             = "bytes-far"
	NearCalm             = "near-calm"
	LimitHard            = "limit-hard"
	LimitSoft            = "limit-soft"
	LimitUsed            = "limit-used"
	EjectionKnown        = "verdict-known"
	EjectionKept         = "kept-off"
	NoWrongOut           = "no-wrong-out"
	BackAgain            = "back-again"
	PolicyOne            = "policy-one"
	PolicyAll            = "policy-all"
	PolicyStart          = "policy-start"
	PolicyServes         = "policy-serves"
	PolicyDurable        = "policy-kept"
	PolicyAuthorNotified = "policy-told"
	PolicyAtomic         = "policy-whole"
	PolicyIsolated       = "policy-apart"
)

// Names are all of them.
var Names = []string{CrashKnown, LeaveKnown, JoinKnown, Settled, NoWrongDeath, OneName, CountEnough, CountFollows, Serving, BytesMaximum, BytesIdle, BytesFar, NearCalm, LimitHard, LimitSoft, LimitUsed, EjectionKnown, EjectionKept, NoWrongOut, BackAgain,
	PolicyOne, PolicyAll, PolicyStart, PolicyServes, PolicyDurable, PolicyAuthorNotified, PolicyAtomic, PolicyIsolated}

// maxStepTime is how long a daemon may take to write all that one step of its view changed.
const maxStepTime = int64(50 * time.Millisecond)

// brokenLinkLoss is the share of datagrams from which on a link counts as broken.
const brokenLinkLoss = 0.35

// partitionLoss is the share from which on nothing is to be heard through it.
const partitionLoss = 0.95

// Check reads lines, which must be in the order of their times.
func Check(b Bounds, lines []Line) *Report {
	j := &checker{bounds: b, processes: map[int]*process{}, byIncarnation: map[string][]*process{}, lossRates: map[pair]float64{}, oneWayDelays: map[pair]time.Duration{}, impairedLinks: map[pair]bool{}, serverCutUntil: map[string]int64{}, idleTraffic: map[string][2]int{}, serviceCounts: map[string]serviceCount{}, viewsCheckedFor: -1, countsCheckedFor: -1}
	claim := func(name, format string, args ...any) *Claim {
		return &Claim{Name: name, Text: fmt.Sprintf(format, args...)}
	}
	j.crash = claim(CrashKnown, "a killed daemon is dead to each that runs and is linked within %v, where links are whole", b.Crash)
	j.leave = claim(LeaveKnown, "one that leaves in order is gone to each of these within %v", b.Leave)
	j.join = claim(JoinKnown, "one that starts is alive to each of these within %v", b.Join)
	j.settle = claim(Settled, "%v after the last change, each daemon sees alive just who runs and can be reached by any way, and goes on to", b.Settle)
	j.wrong = claim(NoWrongDeath, "nobody who runs, can be reached and was not paused for more than %v is held for dead", b.Pause)
	j.name = claim(OneName, "of two processes with one name one alone stands back within %v, and the name stays with the other", b.Settle)
	j.under = claim(CountEnough, "no daemon divides by fewer balancers than run that it has known, whoever is silent")
	j.follows = claim(CountFollows, "at rest each daemon divides by what runs and what is silent, neither more nor less")
	j.served = claim(Serving, "whatever happens to peers, each daemon that runs and reaches its servers serves %.1f%% of its requests", 100*b.MinServed)
	j.most = claim(BytesMaximum, "no daemon sends its peers more than %d bytes in datagrams in a second", b.MaxBytes)
	j.rest = claim(BytesIdle, "at rest a daemon sends its peers no more than %d bytes in datagrams a second", b.MaxIdleBytes)
	j.far = claim(BytesFar, "no daemon sends other regions more than %d bytes in datagrams in a second", b.MaxRemoteBytes)
	j.calm = claim(NearCalm, "while regions are cut off from one another, nobody doubts one of its own region who runs and was not paused, where links inside it are whole, for more than %v", b.MaxSuspicion)
	r := &Report{Claims: []*Claim{j.crash, j.leave, j.join, j.settle, j.wrong, j.name, j.under, j.follows, j.served, j.most, j.rest, j.far, j.calm}, Lines: len(lines)}
	r.Claims = append(r.Claims, j.limits.begin(b)...)
	r.Claims = append(r.Claims, j.servers.begin(j, b)...)
	r.Claims = append(r.Claims, j.policy.begin(j)...)
	if len(lines) > 0 {
		j.base, j.now = lines[0].T, lines[0].T
		j.lastDownAt = j.base - int64(time.Hour)
		j.truthChangedAt, j.linksChangedAt = j.base, j.base-int64(time.Hour)
	}
	for i := range lines {
		l := &lines[i]
		j.advanceTo(l.T)
		if l.What == Gap {
			r.Gaps += l.Asked
		}
		if l.By == FaultTest {
			j.policy.noteDisturbance(l)
		}
		if l.By == FaultTest && j.policy.applyLine(l) {
			continue
		} else if l.By == FaultTest {
			j.applyTruth(l)
		} else if l.What == EjectionState {
			j.servers.applyReport(l)
		} else {
			j.applyReport(l)
		}
	}
	j.advanceTo(j.now + maxStepTime + 1)
	for _, who := range sortedKeys(j.idleTraffic) {
		if sum := j.idleTraffic[who]; sum[1] >= 5 {
			j.rest.Tried++
			rate := float64(sum[0]) / float64(sum[1])
			j.rest.recordMargin(rate, "%.0f bytes a second (%s)", rate, who)
			if rate > float64(b.MaxIdleBytes) {
				j.rest.recordBreak(j.now, j.base, "%s sent %.0f bytes a second over %d s at rest", who, rate, sum[1])
			}
		}
	}
	j.checkService()
	j.limits.end(j.now, j.base)
	j.policy.end(j.now)
	for _, c := range r.Claims {
		slices.Sort(c.Durations)
	}
	return r
}

func sortedKeys[V any](m map[string]V) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// advanceTo looks at what was due before t, and at counts once the steps that changed them are over.
func (j *checker) advanceTo(t int64) {
	if t > j.now {
		for _, pid := range j.order {
			if p := j.processes[pid]; p.countChangedAt > 0 && t > p.countChangedAt+maxStepTime {
				p.countChangedAt = 0
				j.checkCountIsEnough(p)
			}
		}
	}
	for len(j.expectations) > 0 && j.expectations[0].deadline < t {
		d := j.expectations[0]
		j.expectations = j.expectations[1:]
		d.claim.Tried++
		d.claim.recordBreak(d.deadline, j.base, "%s: %s does not know it after %v", d.event, d.observer.name, time.Duration(d.deadline-d.since))
	}
	if at := j.truthChangedAt + int64(j.bounds.Settle); at < t && j.viewsCheckedFor != j.truthChangedAt {
		j.viewsCheckedFor = j.truthChangedAt
		j.checkViews(at)
		j.checkNames(at)
	}
	if at := j.truthChangedAt + int64(j.bounds.Settle+20*time.Second); at < t && j.countsCheckedFor != j.truthChangedAt {
		j.countsCheckedFor = j.truthChangedAt
		j.checkCounts(at)
	}
	j.now = max(j.now, t)
}

func (j *checker) process(pid int) *process {
	p := j.processes[pid]
	if p == nil {
		p = &process{pid: pid, view: map[string]*memberView{}, knownProcesses: map[int]bool{}, longPauseEndedAt: j.base - int64(time.Hour)}
		j.processes[pid] = p
		j.order = append(j.order, pid)
	}
	return p
}

// findIncarnation is the process with a life.
func (j *checker) findIncarnation(name, life string) *process {
	for _, p := range j.byIncarnation[life] {
		if p.name == name {
			return p
		}
	}
	return nil
}

// markTruthChanged takes note that the truth is another one.
func (j *checker) markTruthChanged(t int64) { j.truthChangedAt, j.isSettled = t, false }

// applyTruth takes what the drill did.
func (j *checker) applyTruth(l *Line) {
	switch l.What {
	case Up:
		p := j.process(l.PID)
		p.name, p.region, p.balancers, p.up, p.startedAt = l.Of, l.Region, l.Balancers, true, l.T
		j.markTruthChanged(l.T)
		j.componentOf, j.partitionedRegions = nil, nil
		j.expectJoinKnown(p, l.T)
	case Twin:
		p := j.process(l.PID)
		p.name, p.balancers, p.up, p.startedAt, p.duplicate = l.Of, l.Balancers, true, l.T, true
		j.name.Tried++
		j.markTruthChanged(l.T)
		j.componentOf = nil
	case Handing, Handed:
		j.markTruthChanged(l.T)
	case Ending:
		j.process(l.PID).terminating = true
	case Starve:
		p := j.process(l.PID)
		p.starvedUntil = l.T + l.PauseMS*int64(time.Millisecond)
		j.markTruthChanged(l.T)
		j.dropExpectations(func(d *expectation) bool { return d.observer == p || d.subject == p })
	case Down:
		p := j.process(l.PID)
		wasLinked := j.linkedObservers(p)
		p.up, p.pausedAt = false, 0
		j.lastDownAt = l.T
		j.markTruthChanged(l.T)
		j.componentOf = nil
		goodbye := p.leaving && l.Why == "term" // it is to be heard by all, though who said it has ended since
		j.dropExpectations(func(d *expectation) bool {
			return d.observer == p || d.subject == p && !(goodbye && d.claim == j.leave)
		})
		if l.Why == "kill" && !p.leaving && !p.duplicate {
			j.crashTimes = append(j.crashTimes, l.T)
			j.expectCrashKnown(p, wasLinked, l.T)
		}
	case Pause:
		p := j.process(l.PID)
		p.pausedAt = l.T
		j.markTruthChanged(l.T)
		j.dropExpectations(func(d *expectation) bool { return d.observer == p || d.subject == p })
	case Resume:
		p := j.process(l.PID)
		if p.pausedAt > 0 && l.T-p.pausedAt > int64(j.bounds.Pause) {
			p.longPauseEndedAt = l.T
		}
		p.pausedAt, p.resumedAt = 0, l.T
		j.markTruthChanged(l.T)
		j.dropExpectations(func(d *expectation) bool { return d.observer == p || d.subject == p })
	case Link:
		j.lossRates[pair{l.From, l.To}], j.impairedLinks[pair{l.From, l.To}] = l.Drop, l.Rough
		j.oneWayDelays[pair{l.From, l.To}] = time.Duration(l.WayUS) * time.Microsecond
		j.markTruthChanged(l.T)
		j.linksChangedAt, j.componentOf, j.partitionedRegions = l.T, nil, nil
		j.dropExpectations(func(*expectation) bool { return true })
	case Cut:
		if l.Why == "servers" {
			if l.Drop > 0 {
				j.serverCutUntil[l.Of] = int64(1) << 62
			} else {
				j.serverCutUntil[l.Of] = l.T + serviceSettleTime
			}
		}
	case Sent:
		j.most.Tried++
		j.most.recordMargin(float64(l.Bytes), "%d bytes (%s)", l.Bytes, l.Of)
		if l.Bytes > j.bounds.MaxBytes {
			j.most.recordBreak(l.T, j.base, "%s sent %d bytes in a second", l.Of, l.Bytes)
		}
		j.checkRegionTraffic(l)
		if l.T-int64(time.Second) > j.truthChangedAt+int64(j.bounds.Settle) && j.areLinksUndisturbed() && len(j.limits.limits) == 0 && j.servers.areAllHealthy(l.T) {
			sum := j.idleTraffic[l.Of]
			j.idleTraffic[l.Of] = [2]int{sum[0] + l.Bytes, sum[1] + 1}
		}
	case Service:
		j.applyService(l)
	case Fault, Got:
		j.servers.applyTruth(l)
	case Disk:
		j.markTruthChanged(l.T)
	case Limited, Used, Wanted:
		j.limits.applyTruth(l, j.base, j.truthChangedAt)
	}
}

func (j *checker) dropExpectations(which func(*expectation) bool) {
	j.expectations = slices.DeleteFunc(j.expectations, which)
}

func (j *checker) expect(d *expectation) {
	i, _ := slices.BinarySearchFunc(j.expectations, d, func(a, b *expectation) int {
		if c := cmp.Compare(a.deadline, b.deadline); c != 0 {
			return c
		}
		return -1
	})
	j.expectations = slices.Insert(j.expectations, i, d)
}

// components finds who can reach whom by any way, in both directions; pauses are not counted.
func (j *checker) components() {
	j.componentOf = map[string]int{}
	var names []string
	for _, pid := range j.order {
		if p := j.processes[pid]; p.up && !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	if len(j.lossRates) == 0 {
		for _, n := range names {
			j.componentOf[n] = 1
		}
		return
	}
	next := 0
	for _, n := range names {
		if j.componentOf[n] > 0 {
			continue
		}
		next++
		j.componentOf[n] = next
		for todo := []string{n}; len(todo) > 0; {
			a := todo[0]
			todo = todo[1:]
			for _, b := range names {
				if j.componentOf[b] == 0 && j.lossRates[pair{a, b}] < brokenLinkLoss && j.lossRates[pair{b, a}] < brokenLinkLoss {
					j.componentOf[b] = next
					todo = append(todo, b)
				}
			}
		}
	}
}

func (j *checker) canReach(a, b *process) bool {
	if j.componentOf == nil {
		j.components()
	}
	return j.componentOf[a.name] > 0 && j.componentOf[a.name] == j.componentOf[b.name]
}

func (j *checker) linkedObservers(p *process) []*process {
	var all []*process
	for _, pid := range j.order {
		if o := j.processes[pid]; o != p && o.name != p.name && o.up && !o.leaving && !o.duplicate && !o.standingBy && j.canReach(o, p) {
			all = append(all, o)
		}
	}
	return all
}

// areLinksHealthy reports whether links have been whole for a while.
func (j *checker) areLinksHealthy(t int64) bool {
	if t-j.linksChangedAt < int64(j.bounds.Settle) {
		return false
	}
	for _, d := range j.lossRates {
		if d > 0.1 {
			return false
		}
	}
	return true
}

// areLinksUndisturbed reports whether no link costs its daemons more than rest does: what is lost is sent again, what is doubled
// is answered twice.
func (j *checker) areLinksUndisturbed() bool {
	for p, d := range j.lossRates {
		if d > 0.01 || j.impairedLinks[p] {
			return false
		}
	}
	return true
}

func (j *checker) expectCrashKnown(p *process, by []*process, t int64) {
	lately := 0
	for _, d := range j.crashTimes {
		if t-d < int64(2*time.Second) {
			lately++
		}
	}
	if lately > max(1, len(by)/4) { // a storm: it may take longer, and is Settled's
		j.dropExpectations(func(d *expectation) bool { return d.claim == j.crash })
		return
	}
	if !j.areLinksHealthy(t) || p.incarnation == "" || t-p.startedAt < int64(j.bounds.Join) {
		return
	}
	life := p.incarnation
	for _, o := range by {
		if o.pausedAt > 0 || t-o.longPauseEndedAt < int64(j.bounds.Settle) || t-o.startedAt < int64(j.bounds.Join) {
			continue
		}
		j.expect(&expectation{claim: j.crash, since: t, deadline: t + int64(j.bounds.Crash) + j.delayAllowance(o, p), observer: o, subject: p, event: p.name + " was killed",
			isMet: func(s *memberView) bool { return s.incarnation != life || s.state == "dead" || s.state == "left" }})
	}
}

func (j *checker) expectJoinKnown(p *process, t int64) {
	if !j.areLinksHealthy(t) {
		return
	}
	for _, o := range j.linkedObservers(p) {
		if o.pausedAt > 0 {
			continue
		}
		j.expect(&expectation{claim: j.join, since: t, deadline: t + int64(j.bounds.Join) + j.delayAllowance(o, p), observer: o, subject: p, event: p.name + " started",
			isMet: func(s *memberView) bool {
				return p.incarnation != "" && s.incarnation == p.incarnation && s.state == "alive"
			}})
	}
}

// checkRegionTraffic takes what a daemon sent to other regions in a second, and notes that it may have doubted its own.
func (j *checker) checkRegionTraffic(l *Line) {
	var own *process
	for _, pid := range j.order {
		if p := j.processes[pid]; p.name == l.Of && p.up && !p.duplicate {
			own = p
		}
	}
	if own == nil || own.region == "" {
		return
	}
	j.far.Tried++
	j.far.recordMargin(float64(l.Far), "%d bytes (%s)", l.Far, l.Of)
	if l.Far > j.bounds.MaxRemoteBytes {
		j.far.recordBreak(l.T, j.base, "%s sent other regions %d bytes in a second", l.Of, l.Far)
	}
	if j.isPartitioned(own.region) {
		j.calm.Tried++
	}
	for _, name := range sortedKeys(own.view) {
		if s := own.view[name]; s.regionSuspectedAt > 0 && l.T-s.regionSuspectedAt > int64(j.bounds.MaxSuspicion) {
			s.regionSuspectedAt = 0
			j.calm.recordBreak(l.T, j.base, "%s doubts %s, of its region, for more than %v", own.name, name, j.bounds.MaxSuspicion)
		}
	}
}

// isPartitioned reports whether a region is cut off from another one.
func (j *checker) isPartitioned(region string) bool {
	if j.partitionedRegions == nil {
		of := map[string]string{}
		for _, p := range j.processes {
			of[p.name] = p.region
		}
		j.partitionedRegions = map[string]bool{}
		for l, d := range j.lossRates {
			if a, b := of[l.from], of[l.to]; d >= partitionLoss && a != "" && b != "" && a != b {
				j.partitionedRegions[a], j.partitionedRegions[b] = true, true
			}
		}
	}
	return j.partitionedRegions[region]
}

// checkSuspicion looks at a doubt about one of the same region.
func (j *checker) checkSuspicion(o, p *process, l *Line) {
	if o.region == "" || o.region != p.region || l.State != "suspect" && l.State != "dead" || !j.isPartitioned(o.region) {
		return
	}
	for _, pid := range j.order { // what is broken inside, may be doubted
		for _, other := range j.order {
			a, b := j.processes[pid], j.processes[other]
			if k := (pair{a.name, b.name}); a.region == o.region && b.region == o.region && (j.lossRates[k] > 0.01 || j.impairedLinks[k]) {
				return
			}
		}
	}
	if l.State == "suspect" && j.bounds.MaxSuspicion > 0 {
		o.view[p.name].regionSuspectedAt = l.T
		return
	}
	j.calm.recordBreak(l.T, j.base, "%s says that %s, of its region, is %s: %s", o.name, p.name, l.State, l.Why)
}

// delayAllowance is how much links add there and back between two daemons, as often as the bounds have it.
func (j *checker) delayAllowance(o, p *process) int64 {
	return int64(j.bounds.RoundTrips) * int64(j.oneWayDelays[pair{o.name, p.name}]+j.oneWayDelays[pair{p.name, o.name}])
}

// applyReport takes what a daemon wrote.
func (j *checker) applyReport(l *Line) {
	o := j.process(l.PID)
	switch l.What {
	case Start:
		if old := j.findIncarnation(l.By, l.Life); old != nil && old != o { // it took over from that one, and is the same member
			j.processes[l.PID] = old
			j.order = slices.DeleteFunc(j.order, func(pid int) bool { return pid == l.PID })
			return
		}
		o.name, o.incarnation = l.By, l.Life
		j.byIncarnation[l.Life] = append(j.byIncarnation[l.Life], o)
	case Leaving:
		if o.leaving {
			return
		}
		o.leaving = true
		j.markTruthChanged(l.T)
		j.dropExpectations(func(d *expectation) bool { return d.observer == o || d.subject == o })
		if !j.areLinksHealthy(l.T) || l.T-o.startedAt < int64(j.bounds.Join) {
			return
		}
		life, at := o.incarnation, l.T
		for _, w := range j.linkedObservers(o) {
			if w.pausedAt > 0 || l.T-w.startedAt <= int64(j.bounds.Join) || l.T-w.longPauseEndedAt <= int64(j.bounds.Settle) {
				continue
			}
			d := &expectation{claim: j.leave, since: l.T, deadline: l.T + int64(j.bounds.Leave) + j.delayAllowance(w, o), observer: w, subject: o, event: o.name + " left",
				isMet: func(s *memberView) bool {
					if s.incarnation == life {
						return s.state == "left"
					}
					next := j.findIncarnation(o.name, s.incarnation)
					return next != nil && next.startedAt > at
				}}
			if s := w.view[o.name]; s != nil && d.isMet(s) { // the line was written late
				j.leave.Tried++
				j.leave.recordDuration(0)
				continue
			}
			j.expect(d)
		}
	case Member:
		j.applyMember(o, l)
	case Counted:
		o.countedBalancers, o.hasCounted, o.countChangedAt = l.Most, true, l.T
	case Contested:
		o.standingBy = l.StandBack
		if l.StandBack && o.duplicate {
			j.name.recordDuration(time.Duration(l.T - o.startedAt))
		}
	}
}

func (j *checker) applyMember(o *process, l *Line) {
	s := o.view[l.Of]
	if s == nil {
		s = &memberView{}
		o.view[l.Of] = s
	}
	was := *s
	s.incarnation, s.state = l.Life, l.State
	if aliveIncarnation(&was) != aliveIncarnation(s) {
		s.aliveChangedAt = l.T
	}
	if l.State == "suspect" {
		s.suspectedAt = l.T
	} else if s.regionSuspectedAt > 0 {
		j.calm.recordMargin(time.Duration(l.T-s.regionSuspectedAt).Seconds(), "suspect for %v", time.Duration(l.T-s.regionSuspectedAt).Round(time.Millisecond))
		if l.T-s.regionSuspectedAt > int64(j.bounds.MaxSuspicion) {
			j.calm.recordBreak(l.T, j.base, "%s doubted %s, of its region, for more than %v", o.name, l.Of, j.bounds.MaxSuspicion)
		}
		s.regionSuspectedAt = 0
	}
	p := j.findIncarnation(l.Of, l.Life)
	if p != nil && p != o {
		o.knownProcesses[p.pid] = true
		o.countChangedAt = l.T
	}
	if p != nil && p.up && !p.leaving && j.couldReachForLong(o, p, l.T) {
		rested := p.pausedAt == 0 && l.T-p.longPauseEndedAt > int64(j.bounds.Settle) || p.pausedAt > 0 && l.T-p.pausedAt < int64(j.bounds.Pause)
		if p.pausedAt == 0 && o.pausedAt == 0 && l.T-p.longPauseEndedAt > int64(j.bounds.Settle) && l.T-o.longPauseEndedAt > int64(j.bounds.Settle) {
			j.checkSuspicion(o, p, l)
		}
		switch {
		case !rested:
		case l.State == "suspect":
			j.wrong.Tried++
		case l.State == "dead":
			j.wrong.Tried++
			j.wrong.recordBreak(l.T, j.base, "%s holds %s for dead: %s", o.name, p.name, l.Why)
		case l.State == "alive" && was.state == "suspect" && was.incarnation == l.Life:
			d := time.Duration(l.T - was.suspectedAt)
			j.wrong.recordMargin(d.Seconds(), "suspect for %v", d.Round(time.Millisecond))
		}
	}
	for i := 0; i < len(j.expectations); {
		d := j.expectations[i]
		if d.observer != o || d.subject.name != l.Of || !d.isMet(s) {
			i++
			continue
		}
		j.expectations = slices.Delete(j.expectations, i, i+1)
		d.claim.Tried++
		d.claim.recordDuration(time.Duration(l.T - d.since))
	}
	// At rest nothing changes any more, but for suspicions that are refuted.
	if j.isSettled && l.State != "suspect" && was.state != "suspect" && j.expectedIncarnation(o, l.Of) != aliveIncarnation(s) {
		j.settle.recordBreak(l.T, j.base, "%s says at rest that %s is %s", o.name, l.Of, l.State)
	}
}

// couldReachForLong reports whether two could reach each other for long enough.
func (j *checker) couldReachForLong(o, p *process, t int64) bool {
	return t-j.linksChangedAt > int64(j.bounds.Settle) && t-p.startedAt > int64(j.bounds.Join) && t-o.startedAt > int64(j.bounds.Join) && j.canReach(o, p)
}

// aliveIncarnation is the life that is alive, or nothing.
func aliveIncarnation(s *memberView) string {
	if s == nil || s.state == "dead" || s.state == "left" {
		return ""
	}
	return s.incarnation
}

// expectedIncarnation is the life of a name that o should hold for alive; empty: none.
func (j *checker) expectedIncarnation(o *process, name string) string {
	for _, pid := range j.order {
		p := j.processes[pid]
		if p.name != name || !p.up || p.leaving || p.standingBy || !j.canReach(o, p) {
			continue
		}
		if p.pausedAt > 0 && j.now-p.pausedAt >= int64(j.bounds.Settle) {
			continue
		}
		return p.incarnation
	}
	return ""
}

// checkViews looks at every view once nothing has happened for long enough.
func (j *checker) checkViews(t int64) {
	for _, d := range j.lossRates {
		if d >= brokenLinkLoss && d < partitionLoss { // who hears whom is up to chance
			return
		}
	}
	names := map[string]bool{}
	for _, pid := range j.order {
		names[j.processes[pid].name] = true
	}
	was := j.now
	j.now = max(j.now, t)
	for _, pid := range j.order {
		o := j.processes[pid]
		if !o.up || o.leaving || o.standingBy || o.pausedAt > 0 || o.incarnation == "" {
			continue
		}
		for _, name := range sortedKeys(names) {
			if name == o.name {
				continue
			}
			j.settle.Tried++
			want, is := j.expectedIncarnation(o, name), aliveIncarnation(o.view[name])
			if want == is {
				if s := o.view[name]; s != nil && s.aliveChangedAt > j.truthChangedAt {
					j.settle.recordDuration(time.Duration(s.aliveChangedAt - j.truthChangedAt))
				}
				continue
			}
			switch {
			case want == "":
				j.settle.recordBreak(t, j.base, "%s holds %s for alive, which does not run or can't be reached", o.name, name)
			case is == "":
				j.settle.recordBreak(t, j.base, "%s does not hold %s for alive, which runs", o.name, name)
			default:
				j.settle.recordBreak(t, j.base, "%s holds an earlier process of %s for alive", o.name, name)
			}
		}
	}
	j.now = was
	j.isSettled = true
}

// checkNames looks at names with two processes.
func (j *checker) checkNames(t int64) {
	for _, pid := range j.order {
		tw := j.processes[pid]
		if !tw.duplicate || !tw.up {
			continue
		}
		holds := 0
		for _, other := range j.order {
			if p := j.processes[other]; p.name == tw.name && p.up && !p.leaving && !p.standingBy {
				holds++
			}
		}
		if holds != 1 {
			j.name.recordBreak(t, j.base, "%d processes hold the name %s", holds, tw.name)
		}
	}
}

// checkCountIsEnough looks whether a daemon divides by as many as run that it has known.
func (j *checker) checkCountIsEnough(o *process) {
	if !o.up || !o.hasCounted || o.standingBy || o.pausedAt > 0 {
		return
	}
	run := o.balancers
	for pid := range o.knownProcesses {
		if p := j.processes[pid]; p.up && !p.leaving && !p.standingBy && p.name != o.name {
			run += p.balancers
		}
	}
	j.under.Tried++
	j.under.recordMargin(float64(-(o.countedBalancers - run)), "%d more than run", o.countedBalancers-run)
	if o.countedBalancers < run {
		j.under.recordBreak(j.now, j.base, "%s divides by %d, and %d run that it has known", o.name, o.countedBalancers, run)
	}
}

// checkCounts looks at the counts at rest.
func (j *checker) checkCounts(t int64) {
	for _, pid := range j.order {
		o := j.processes[pid]
		if !o.up || o.leaving || o.standingBy || o.pausedAt > 0 || !o.hasCounted {
			continue
		}
		want := o.balancers
		for _, name := range sortedKeys(o.view) {
			if s := o.view[name]; s.state != "left" {
				if p := j.findIncarnation(name, s.incarnation); p != nil {
					want += p.balancers
				}
			}
		}
		j.follows.Tried++
		j.follows.recordMargin(float64(max(o.countedBalancers-want, want-o.countedBalancers)), "%d off", max(o.countedBalancers-want, want-o.countedBalancers))
		if o.countedBalancers != want {
			j.follows.recordBreak(t, j.base, "%s divides by %d, and %d run or are silent", o.name, o.countedBalancers, want)
		}
	}
}
