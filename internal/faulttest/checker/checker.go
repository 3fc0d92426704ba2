// Package checker checks the recorded history of a fault test against claims about the fleet, as the checker of a
// Jepsen test does. It reads only lines: what the fault test did, which is the truth, and what each process wrote of
// its own changes. It knows nothing of how the daemons work, has no I/O but Read, and starts no goroutine. For each
// claim it reports the occasions, the nearest miss and the breaks; a claim without an occasion was not tried, which
// is not the same as kept.
//
// Check is called with the complete history by cmd/vetchhaven, the tools, and the tests of the harness, of virtual
// time and of the policy model. All times are nanoseconds of Line.T, except the bounds.
package checker

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

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

// checker is the state of Check: the truth as the fault test made it, the daemons' views, and the claims.
type checker struct {
	bounds Bounds
	base   int64 // time of the first line
	now    int64 // time of the latest line

	processes     map[int]*process
	order         []int                 // process IDs, by their first line
	byIncarnation map[string][]*process // with the same incarnation, of different daemons

	lossRates          map[pair]float64
	oneWayDelays       map[pair]time.Duration // that links add
	impairedLinks      map[pair]bool          // links that also duplicate, reorder, damage, slow or break
	partitionedRegions map[string]bool        // regions cut off from another one; nil: to be computed
	componentOf        map[string]int         // by daemon: its connected component, from 1; nil: to be computed

	linksChangedAt   int64
	truthChangedAt   int64
	viewsCheckedFor  int64 // the truthChangedAt for which settled views were checked
	countsCheckedFor int64 // the truthChangedAt for which counts were checked
	isSettled        bool  // views were checked, and the truth has not changed since
	crashTimes       []int64
	lastDownAt       int64            // when a process last ended
	serverCutUntil   map[string]int64 // by daemon cut off from its servers: until when; never: it still is

	expectations  []*expectation          // by deadline
	idleTraffic   map[string]idleTraffic  // by daemon
	serviceCounts map[string]serviceCount // by daemon

	limits  limitsChecker
	servers serversChecker
	policy  policyChecker

	// Claims, in the order in which they are reported.
	crashKnown   *Claim
	leaveKnown   *Claim
	joinKnown    *Claim
	settle       *Claim
	wrongDeath   *Claim
	name         *Claim
	countEnough  *Claim
	countFollows *Claim
	served       *Claim
	maxBytes     *Claim
	idleBytes    *Claim
	remoteBytes  *Claim
	regionCalm   *Claim
}

// maxStepTime is how long a daemon may take to write all that one step of its view changed.
const maxStepTime = int64(50 * time.Millisecond)

// Check holds the lines, which must be in the order of their times, to all claims.
func Check(b Bounds, lines []Line) *Report {
	j := newChecker(b)
	r := &Report{Claims: j.beginClaims(), Lines: len(lines)}
	if len(lines) > 0 {
		j.base = lines[0].T
		j.now = j.base
		j.lastDownAt = j.base - longAgo
		j.truthChangedAt = j.base
		j.linksChangedAt = j.base - longAgo
	}
	for i := range lines {
		l := &lines[i]
		j.advanceTo(l.T)
		if l.What == Gap {
			r.Gaps += l.Asked
		}
		j.apply(l)
	}
	j.advanceTo(j.now + maxStepTime + 1)
	j.checkIdleTraffic()
	j.checkService()
	j.limits.end(j.now, j.base)
	j.policy.end(j.now)
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

// beginClaims makes all claims, in the order in which they are reported.
func (j *checker) beginClaims() []*Claim {
	b := j.bounds
	claim := func(name, format string, args ...any) *Claim {
		return &Claim{Name: name, Text: fmt.Sprintf(format, args...)}
	}
	j.crashKnown = claim(CrashKnown, "a killed daemon is dead to each that runs and is linked within %v, where links are whole", b.Crash)
	j.leaveKnown = claim(LeaveKnown, "one that leaves in order is gone to each of these within %v", b.Leave)
	j.joinKnown = claim(JoinKnown, "one that starts is alive to each of these within %v", b.Join)
	j.settle = claim(Settled, "%v after the last change, each daemon sees alive just who runs and can be reached by any way, and goes on to", b.Settle)
	j.wrongDeath = claim(NoWrongDeath, "nobody who runs, can be reached and was not paused for more than %v is held for dead", b.Pause)
	j.name = claim(OneName, "of two processes with one name one alone stands back within %v, and the name stays with the other", b.Settle)
	j.countEnough = claim(CountEnough, "no daemon divides by fewer balancers than run that it has known, whoever is silent")
	j.countFollows = claim(CountFollows, "at rest each daemon divides by what runs and what is silent, neither more nor less")
	j.served = claim(Serving, "whatever happens to peers, each daemon that runs and reaches its servers serves %.1f%% of its requests", 100*b.MinServed)
	j.maxBytes = claim(BytesMaximum, "no daemon sends its peers more than %d bytes in datagrams in a second", b.MaxBytes)
	j.idleBytes = claim(BytesIdle, "at rest a daemon sends its peers no more than %d bytes in datagrams a second", b.MaxIdleBytes)
	j.remoteBytes = claim(BytesFar, "no daemon sends other regions more than %d bytes in datagrams in a second", b.MaxRemoteBytes)
	j.regionCalm = claim(NearCalm, "while regions are cut off from one another, nobody doubts one of its own region who runs and was not paused, where links inside it are whole, for more than %v", b.MaxSuspicion)
	claims := []*Claim{
		j.crashKnown, j.leaveKnown, j.joinKnown, j.settle, j.wrongDeath, j.name, j.countEnough, j.countFollows, j.served, j.maxBytes, j.idleBytes, j.remoteBytes, j.regionCalm,
	}
	claims = append(claims, j.limits.begin(b)...)
	claims = append(claims, j.servers.begin(j, b)...)
	return append(claims, j.policy.begin(j)...)
}

// apply applies one line: of the fault test, which is the truth, or of a daemon.
func (j *checker) apply(l *Line) {
	if l.By != FaultTest {
		if l.What == EjectionState {
			j.servers.applyReport(l)
		} else {
			j.applyReport(l)
		}
		return
	}
	j.policy.noteDisturbance(l)
	if !j.policy.applyLine(l) {
		j.applyTruth(l)
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
func (j *checker) findIncarnation(name, incarnation string) *process {
	for _, p := range j.byIncarnation[incarnation] {
		if p.name == name {
			return p
		}
	}
	return nil
}

// markTruthChanged takes note that the truth is another one.
func (j *checker) markTruthChanged(t int64) {
	j.truthChangedAt = t
	j.isSettled = false
}

// applyTruth applies what the fault test did.
func (j *checker) applyTruth(l *Line) {
	switch l.What {
	case Up, Twin, Ending, Down:
		j.applyLifecycle(l)
	case Starve, Pause, Resume:
		j.applyPause(l)
	case Handing, Handed, Disk:
		j.markTruthChanged(l.T)
	case Link:
		j.applyLink(l)
	case Cut:
		j.applyServerCut(l)
	case Sent:
		j.applyTraffic(l)
	case Service:
		j.applyService(l)
	case Fault, Got:
		j.servers.applyTruth(l)
	case Limited, Used, Wanted:
		j.limits.applyTruth(l, j.base, j.truthChangedAt)
	}
}

// applyLifecycle applies the start or the end of a process.
func (j *checker) applyLifecycle(l *Line) {
	p := j.process(l.PID)
	switch l.What {
	case Up:
		p.region = l.Region
		j.markStarted(p, l)
		j.partitionedRegions = nil
		j.expectJoinKnown(p, l.T)
	case Twin:
		p.duplicate = true
		j.markStarted(p, l)
		j.name.Tried++
	case Ending:
		p.terminating = true
	case Down:
		j.applyDown(p, l)
	}
}

func (j *checker) markStarted(p *process, l *Line) {
	p.name = l.Of
	p.balancers = l.Balancers
	p.up = true
	p.startedAt = l.T
	j.markTruthChanged(l.T)
	j.componentOf = nil
}

// applyDown applies the end of a process.
func (j *checker) applyDown(p *process, l *Line) {
	observers := j.linkedObservers(p)
	p.up = false
	p.pausedAt = 0
	j.lastDownAt = l.T
	j.markTruthChanged(l.T)
	j.componentOf = nil
	leftInOrder := p.leaving && l.Why == "term" // all have to learn of it, though the process has ended since
	j.dropExpectations(func(d *expectation) bool {
		return d.observer == p || d.subject == p && !(leftInOrder && d.claim == j.leaveKnown)
	})
	if l.Why == "kill" && !p.leaving && !p.duplicate {
		j.crashTimes = append(j.crashTimes, l.T)
		j.expectCrashKnown(p, observers, l.T)
	}
}

// applyPause applies that a process is stopped, resumed, or has little processor time.
func (j *checker) applyPause(l *Line) {
	p := j.process(l.PID)
	switch l.What {
	case Starve:
		p.starvedUntil = l.T + l.PauseMS*int64(time.Millisecond)
	case Pause:
		p.pausedAt = l.T
	case Resume:
		if p.pausedAt > 0 && l.T-p.pausedAt > int64(j.bounds.Pause) {
			p.longPauseEndedAt = l.T
		}
		p.pausedAt = 0
		p.resumedAt = l.T
	}
	j.markTruthChanged(l.T)
	j.dropExpectations(func(d *expectation) bool { return d.observer == p || d.subject == p })
}

// applyLink applies a change of a link.
func (j *checker) applyLink(l *Line) {
	link := pair{l.From, l.To}
	j.lossRates[link] = l.Drop
	j.impairedLinks[link] = l.Rough
	j.oneWayDelays[link] = time.Duration(l.WayUS) * time.Microsecond
	j.markTruthChanged(l.T)
	j.linksChangedAt = l.T
	j.componentOf = nil
	j.partitionedRegions = nil
	j.dropExpectations(func(*expectation) bool { return true })
}

// applyServerCut applies that a daemon is cut off from its servers, or no longer.
func (j *checker) applyServerCut(l *Line) {
	if l.Why != "servers" {
		return
	}
	if l.Drop > 0 {
		j.serverCutUntil[l.Of] = never
	} else {
		j.serverCutUntil[l.Of] = l.T + serviceSettleTime
	}
}

const (
	// longAgo, in ns, is before anything that a bound could still cover.
	longAgo = int64(time.Hour)
	// never is a time that no line has.
	never = int64(1) << 62
)
