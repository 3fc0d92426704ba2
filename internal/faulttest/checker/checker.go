// Package checker checks the recorded history of a fault test against claims about the fleet, as the checker of a
// Jepsen test does. It reads only lines: those of the fault test, which are the ground truth, and those in which each
// process reports changes of its own state. It does not depend on how the daemons work, does no I/O except in Read, and
// starts no goroutine. For each claim it reports how often the claim was tried, the nearest miss and the breaks. A
// claim that was never tried is reported as not tried, not as kept.
//
// Check is called with the complete history by cmd/vetchhaven, the tools, and the tests of the harness, of virtual time
// and of the policy model. All times are nanoseconds of Line.T, except the bounds.
package checker

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// process is one process of a daemon.
type process struct {
	pid              int
	name             string
	region           string
	incarnation      string
	balancers        int
	up               bool
	leaving          bool // it has announced that it leaves
	duplicate        bool
	standingBy       bool
	pausedAt         int64 // start of the current pause; 0: not paused
	longPauseEndedAt int64 // when a pause longer than the bound ended
	resumedAt        int64 // when any pause ended
	terminating      bool  // a graceful shutdown was requested
	starvedUntil     int64 // end of the period in which it gets little CPU time
	startedAt        int64
	view             map[string]*memberView
	knownProcesses   map[int]bool // processes whose run ID its view has contained
	countedBalancers int
	hasCounted       bool
	countChangedAt   int64 // last change of its count or of knownProcesses that is still to be checked; 0: none
}

// checker is the state of Check: the true state of the fleet according to the fault test, the daemons' views, and the
// claims.
type checker struct {
	bounds Bounds
	base   int64 // time of the first line
	now    int64 // time of the latest line

	processes     map[int]*process
	order         []int                 // process IDs, by their first line
	byIncarnation map[string][]*process // by incarnation (run ID); different daemons may have the same one

	lossRates          map[pair]float64
	oneWayDelays       map[pair]time.Duration // delays that links add
	impairedLinks      map[pair]bool          // links that also duplicate, reorder, damage, slow or break
	partitionedRegions map[string]bool        // regions cut off from another one; nil: to be computed
	componentOf        map[string]int         // by daemon: number of its connected component, from 1; nil: to be computed

	linksChangedAt   int64
	truthChangedAt   int64
	viewsCheckedFor  int64 // the truthChangedAt for which settled views were checked
	countsCheckedFor int64 // the truthChangedAt for which counts were checked
	isSettled        bool  // views were checked, and the truth has not changed since
	crashTimes       []int64
	lastDownAt       int64            // when a process last ended
	serverCutUntil   map[string]int64 // by daemon cut off from its servers: when its requests count again; never: the cut has not ended

	expectations  []*expectation          // by deadline
	idleTraffic   map[string]idleTraffic  // by daemon
	serviceCounts map[string]serviceCount // by daemon

	limits  limitsChecker
	servers serversChecker
	policy  policyChecker

	// Claims, in the order in which they are reported.
	crashKnown        *Claim
	leaveKnown        *Claim
	joinKnown         *Claim
	settle            *Claim
	wrongDeath        *Claim
	name              *Claim
	countEnough       *Claim
	countExact        *Claim
	served            *Claim
	maxBytes          *Claim
	idleBytes         *Claim
	remoteBytes       *Claim
	noRegionSuspicion *Claim
}

// maxStepTime is how long a daemon may take to write the lines for all changes of one step of its view.
const maxStepTime = int64(50 * time.Millisecond)

// Check checks all claims against the lines, which must be in order of time.
func Check(b Bounds, lines []Line) *Report {
	ck := newChecker(b)
	r := &Report{Claims: ck.beginClaims(), Lines: len(lines)}
	if len(lines) > 0 {
		ck.base = lines[0].T
		ck.now = ck.base
		ck.lastDownAt = ck.base - longAgo
		ck.truthChangedAt = ck.base
		ck.linksChangedAt = ck.base - longAgo
	}
	for i := range lines {
		l := &lines[i]
		ck.advanceTo(l.T)
		if l.What == Gap {
			r.Gaps += l.Count
		}
		ck.apply(l)
	}
	ck.advanceTo(ck.now + maxStepTime + 1)
	ck.checkIdleTraffic()
	ck.checkService()
	ck.limits.end(ck.now, ck.base)
	ck.policy.end(ck.now)
	for _, c := range r.Claims {
		slices.Sort(c.Durations)
	}
	return r
}

func newChecker(b Bounds) *checker {
	return &checker{
		bounds:           b,
		processes:        map[int]*process{},
		byIncarnation:    map[string][]*process{},
		lossRates:        map[pair]float64{},
		oneWayDelays:     map[pair]time.Duration{},
		impairedLinks:    map[pair]bool{},
		serverCutUntil:   map[string]int64{},
		idleTraffic:      map[string]idleTraffic{},
		serviceCounts:    map[string]serviceCount{},
		viewsCheckedFor:  -1,
		countsCheckedFor: -1,
	}
}

// beginClaims creates all claims, in the order in which they are reported.
func (ck *checker) beginClaims() []*Claim {
	b := ck.bounds
	claim := func(name, format string, args ...any) *Claim {
		return &Claim{Name: name, Text: fmt.Sprintf(format, args...)}
	}
	ck.crashKnown = claim(CrashKnown, "each running, linked daemon considers a killed daemon dead within %v, where links are healthy", b.Crash)
	ck.leaveKnown = claim(LeaveKnown, "each of these considers a daemon that leaves gracefully departed within %v", b.Leave)
	ck.joinKnown = claim(JoinKnown, "each of these considers a daemon that starts alive within %v", b.Join)
	ck.settle = claim(Settled, "from %v after the last change on, each daemon considers exactly those members alive that run and can be reached over any path", b.Settle)
	ck.wrongDeath = claim(NoWrongDeath, "no member that runs, can be reached and was not paused for more than %v is considered dead", b.Pause)
	ck.name = claim(OneName, "of two processes with the same name, exactly one yields within %v, and the other keeps the name", b.Settle)
	ck.countEnough = claim(CountEnough, "no daemon divides by fewer balancers than those that run and that it has known, whichever members are silent")
	ck.countExact = claim(CountExact, "at rest each daemon divides by exactly the number of balancers that run or are silent")
	ck.served = claim(Serving, "whatever happens to its peers, each daemon that runs and reaches its servers serves %.1f%% of its requests", 100*b.MinServed)
	ck.maxBytes = claim(BytesMaximum, "no daemon sends its peers more than %d bytes in datagrams in any second", b.MaxBytes)
	ck.idleBytes = claim(BytesIdle, "at rest a daemon sends its peers at most %d bytes in datagrams per second", b.MaxIdleBytes)
	ck.remoteBytes = claim(BytesRemote, "no daemon sends other regions more than %d bytes in datagrams in any second", b.MaxRemoteBytes)
	ck.noRegionSuspicion = claim(NoSuspicionInRegion, "while regions are partitioned, no daemon suspects a member of its own region that runs and was not paused, where the links inside the region are healthy, for more than %v", b.MaxSuspicion)
	claims := []*Claim{
		ck.crashKnown, ck.leaveKnown, ck.joinKnown, ck.settle, ck.wrongDeath, ck.name, ck.countEnough, ck.countExact, ck.served, ck.maxBytes, ck.idleBytes, ck.remoteBytes, ck.noRegionSuspicion,
	}
	claims = append(claims, ck.limits.begin(b)...)
	claims = append(claims, ck.servers.begin(ck, b)...)
	return append(claims, ck.policy.begin(ck)...)
}

// apply applies one line: of the fault test, which is the ground truth, or of a daemon, which is a report.
func (ck *checker) apply(l *Line) {
	if l.By != FaultTest {
		if l.What == EjectionState {
			ck.servers.applyReport(l)
		} else {
			ck.applyReport(l)
		}
		return
	}
	ck.policy.noteDisturbance(l)
	if !ck.policy.applyLine(l) {
		ck.applyTruth(l)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// advanceTo runs the checks that are due before t. A count is checked once the step that changed it is over.
func (ck *checker) advanceTo(t int64) {
	if t > ck.now {
		for _, pid := range ck.order {
			if p := ck.processes[pid]; p.countChangedAt > 0 && t > p.countChangedAt+maxStepTime {
				p.countChangedAt = 0
				ck.checkCountIsEnough(p)
			}
		}
	}
	for len(ck.expectations) > 0 && ck.expectations[0].deadline < t {
		d := ck.expectations[0]
		ck.expectations = ck.expectations[1:]
		d.claim.Tried++
		d.claim.recordBreak(d.deadline, ck.base, "%s: %s has not learned of it after %v", d.event, d.observer.name, time.Duration(d.deadline-d.since))
	}
	if at := ck.truthChangedAt + int64(ck.bounds.Settle); at < t && ck.viewsCheckedFor != ck.truthChangedAt {
		ck.viewsCheckedFor = ck.truthChangedAt
		ck.checkViews(at)
		ck.checkNames(at)
	}
	if at := ck.truthChangedAt + int64(ck.bounds.Settle+20*time.Second); at < t && ck.countsCheckedFor != ck.truthChangedAt {
		ck.countsCheckedFor = ck.truthChangedAt
		ck.checkCounts(at)
	}
	ck.now = max(ck.now, t)
}

func (ck *checker) process(pid int) *process {
	p := ck.processes[pid]
	if p == nil {
		p = &process{pid: pid, view: map[string]*memberView{}, knownProcesses: map[int]bool{}, longPauseEndedAt: ck.base - int64(time.Hour)}
		ck.processes[pid] = p
		ck.order = append(ck.order, pid)
	}
	return p
}

// findIncarnation returns the process of the named daemon that has a run ID, or nil.
func (ck *checker) findIncarnation(name, incarnation string) *process {
	for _, p := range ck.byIncarnation[incarnation] {
		if p.name == name {
			return p
		}
	}
	return nil
}

// markTruthChanged records that the true state of the fleet changed.
func (ck *checker) markTruthChanged(t int64) {
	ck.truthChangedAt = t
	ck.isSettled = false
}

// applyTruth applies a line of the fault test.
func (ck *checker) applyTruth(l *Line) {
	switch l.What {
	case Up, DuplicateStarted, ShutdownRequested, Down:
		ck.applyLifecycle(l)
	case Starve, Pause, Resume:
		ck.applyPause(l)
	case HandoverStarted, HandoverDone, Disk:
		ck.markTruthChanged(l.T)
	case Link:
		ck.applyLink(l)
	case Cut:
		ck.applyServerCut(l)
	case Sent:
		ck.applyTraffic(l)
	case Service:
		ck.applyService(l)
	case Fault, ServerReceived:
		ck.servers.applyTruth(l)
	case Limited, Used, DemandChanged:
		ck.limits.applyTruth(l, ck.base, ck.truthChangedAt)
	}
}

// applyLifecycle applies the start or the end of a process.
func (ck *checker) applyLifecycle(l *Line) {
	p := ck.process(l.PID)
	switch l.What {
	case Up:
		p.region = l.Region
		ck.markStarted(p, l)
		ck.partitionedRegions = nil
		ck.expectJoinKnown(p, l.T)
	case DuplicateStarted:
		p.duplicate = true
		ck.markStarted(p, l)
		ck.name.Tried++
	case ShutdownRequested:
		p.terminating = true
	case Down:
		ck.applyDown(p, l)
	}
}

func (ck *checker) markStarted(p *process, l *Line) {
	p.name = l.Of
	p.balancers = l.Balancers
	p.up = true
	p.startedAt = l.T
	ck.markTruthChanged(l.T)
	ck.componentOf = nil
}

// applyDown applies the end of a process.
func (ck *checker) applyDown(p *process, l *Line) {
	observers := ck.linkedObservers(p)
	p.up = false
	p.pausedAt = 0
	ck.lastDownAt = l.T
	ck.markTruthChanged(l.T)
	ck.componentOf = nil
	leftInOrder := p.leaving && l.Why == "term" // the others must still learn of the leave after the process has ended
	ck.dropExpectations(func(d *expectation) bool {
		return d.observer == p || d.subject == p && !(leftInOrder && d.claim == ck.leaveKnown)
	})
	if l.Why == "kill" && !p.leaving && !p.duplicate {
		ck.crashTimes = append(ck.crashTimes, l.T)
		ck.expectCrashKnown(p, observers, l.T)
	}
}

// applyPause applies the pause, the resumption or the CPU starvation of a process.
func (ck *checker) applyPause(l *Line) {
	p := ck.process(l.PID)
	switch l.What {
	case Starve:
		p.starvedUntil = l.T + l.PauseMS*int64(time.Millisecond)
	case Pause:
		p.pausedAt = l.T
	case Resume:
		if p.pausedAt > 0 && l.T-p.pausedAt > int64(ck.bounds.Pause) {
			p.longPauseEndedAt = l.T
		}
		p.pausedAt = 0
		p.resumedAt = l.T
	}
	ck.markTruthChanged(l.T)
	ck.dropExpectations(func(d *expectation) bool { return d.observer == p || d.subject == p })
}

// applyLink applies a change of a link.
func (ck *checker) applyLink(l *Line) {
	link := pair{l.From, l.To}
	ck.lossRates[link] = l.Drop
	ck.impairedLinks[link] = l.Impaired
	ck.oneWayDelays[link] = time.Duration(l.OneWayDelayUS) * time.Microsecond
	ck.markTruthChanged(l.T)
	ck.linksChangedAt = l.T
	ck.componentOf = nil
	ck.partitionedRegions = nil
	ck.dropExpectations(func(*expectation) bool { return true })
}

// applyServerCut applies a daemon's loss of contact with its servers, or the end of it.
func (ck *checker) applyServerCut(l *Line) {
	if l.Why != "servers" {
		return
	}
	if l.Drop > 0 {
		ck.serverCutUntil[l.Of] = never
	} else {
		ck.serverCutUntil[l.Of] = l.T + serviceSettleTime
	}
}

const (
	// longAgo, in ns, is longer than any bound.
	longAgo = int64(time.Hour)
	// never is later than the time of any line.
	never = int64(1) << 62
)
