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
	Served                     float64
	BytesIdle, BytesMost       int
	BytesFar                   int           // to other regions, in a second
	Doubt                      time.Duration // a doubt in one's own region that is over so soon is none: a busy machine's
	Ways                       int           // there and back between two daemons, added to Crash, Leave and Join
	Verdict                    time.Duration // a server that fails all is known to, and kept off by, all; one that is well is used again
	Kept                       float64       // of an even share of requests that a failing server gets at the most
	Spread                     time.Duration // a policy is used by all so long after its first use, on whole links
	Used                       float64       // of a limit by the second, at the least, where more is wanted
}

// Claim is one of them, and what became of it.
type Claim struct {
	Name    string   `json:"name"`
	Text    string   `json:"text"`
	Tried   int      `json:"tried"`
	Nearest string   `json:"nearest,omitempty"`
	Breaks  []string `json:"breaks,omitempty"` // at the most breaksMost
	Broken  int      `json:"broken"`
	// Took are the times of all occasions that have one, sorted.
	Took []time.Duration `json:"-"`

	worst float64
	any   bool
}

const breaksMost = 20

// Verdict is a word for people.
func (c *Claim) Verdict() string {
	switch {
	case c.Broken > 0:
		return "BROKEN"
	case c.Tried == 0:
		return "not tried"
	}
	return "kept"
}

func (c *Claim) fail(at int64, base int64, format string, args ...any) {
	c.Broken++
	if len(c.Breaks) < breaksMost {
		c.Breaks = append(c.Breaks, fmt.Sprintf("%.3f s: ", float64(at-base)/1e9)+fmt.Sprintf(format, args...))
	}
}

// near keeps the nearest miss: the highest of how near, in words.
func (c *Claim) near(how float64, format string, args ...any) {
	if !c.any || how > c.worst {
		c.any, c.worst = true, how
		c.Nearest = fmt.Sprintf(format, args...)
	}
}

func (c *Claim) took(d time.Duration) {
	c.Took = append(c.Took, d)
	c.near(d.Seconds(), "%v", d.Round(time.Millisecond))
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

// Missed are those of some claims that were not tried.
func (r *Report) Missed(names []string) []string {
	var missed []string
	for _, n := range names {
		if c := r.Of(n); c == nil || c.Tried == 0 {
			missed = append(missed, n)
		}
	}
	return missed
}

// Of is the claim of a name.
func (r *Report) Of(name string) *Claim {
	for _, c := range r.Claims {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// seen is how one process sees one member.
type seen struct {
	life, state string
	since       int64 // it is alive or not
	accused     int64
	doubted     int64 // since then, by one of its own region while that is cut off; 0: it is not
}

// process is one of a daemon's.
type process struct {
	pid       int
	name      string
	region    string
	life      string
	balancers int
	up        bool
	left      bool // it said that it goes
	twin      bool
	standBack bool
	paused    int64 // since then; 0: it is not
	woke      int64 // when a pause longer than the bound ended
	resumed   int64 // when any pause ended
	ending    bool  // it was told to
	starved   int64 // until then it has little of a core
	started   int64
	view      map[string]*seen
	known     map[int]bool // processes of which it has known the life
	most      int
	counted   bool
	dirty     int64 // when its count or what it knows last changed, until it was looked at
}

// duty is something that must have come about by a time.
type duty struct {
	claim *Claim
	from  int64
	by    int64
	o     *process
	p     *process
	done  func(s *seen) bool
	what  string
}

type pair struct{ from, to string }

type judge struct {
	b         Bounds
	base, now int64
	pids      map[int]*process
	order     []int
	lives     map[string][]*process
	links     map[pair]float64
	ways      map[pair]time.Duration
	cutFrom   map[string]bool // regions that are cut off from another one; nil: to be found anew
	rough     map[pair]bool   // links that do more than lose and delay
	comp      map[string]int
	linkAt    int64 // last change of a link
	truthAt   int64 // last change of any truth
	checked   int64 // truthAt that the settled views were looked at for
	counted   int64 // and the counts
	settled   bool
	downs     []int64
	downAt    int64            // any process ended last
	cuts      map[string]int64 // daemon: cut off from servers until (or since, while it lasts: maxInt)
	duties    []*duty
	idle      map[string][2]int // bytes and seconds at rest
	tallies   map[string]tallied

	limits  limitsJudge
	servers serversJudge
	policy  policyJudge

	crash, leave, join, settle, wrong, name, under, follows, served, most, rest, far, calm *Claim
}

// Claims' names.
const (
	CrashKnown   = "crash-known"
	LeaveKnown   = "leave-known"
	JoinKnown    = "join-known"
	Settled      = "settled"
	NoWrongDeath = "no-wrong-death"
	OneName      = "one-name"
	CountEnough  = "count-enough"
	CountFollows = "count-follows"
	Serving      = "serving"
	BytesMost    = "bytes-most"
	BytesIdle    = "bytes-idle"
	BytesFar     = "bytes-far"
	NearCalm     = "near-calm"
	LimitHard    = "limit-hard"
	LimitSoft    = "limit-soft"
	LimitUsed    = "limit-used"
	VerdictKnown = "verdict-known"
	KeptOff      = "kept-off"
	NoWrongOut   = "no-wrong-out"
	BackAgain    = "back-again"
	PolicyOne    = "policy-one"
	PolicyAll    = "policy-all"
	PolicyStart  = "policy-start"
	PolicyServes = "policy-serves"
	PolicyKept   = "policy-kept"
	PolicyTold   = "policy-told"
	PolicyWhole  = "policy-whole"
	PolicyApart  = "policy-apart"
)

// Names are all of them.
var Names = []string{CrashKnown, LeaveKnown, JoinKnown, Settled, NoWrongDeath, OneName, CountEnough, CountFollows, Serving, BytesMost, BytesIdle, BytesFar, NearCalm, LimitHard, LimitSoft, LimitUsed, VerdictKnown, KeptOff, NoWrongOut, BackAgain,
	PolicyOne, PolicyAll, PolicyStart, PolicyServes, PolicyKept, PolicyTold, PolicyWhole, PolicyApart}

// step is how long a daemon may take to write all that one step of its view changed.
const step = int64(50 * time.Millisecond)

// lossy is the share of datagrams from which on a link counts as broken.
const lossy = 0.35

// gone is the share from which on nothing is to be heard through it.
const gone = 0.95

// Judge reads lines, which must be in the order of their times.
func Judge(b Bounds, lines []Line) *Report {
	j := &judge{b: b, pids: map[int]*process{}, lives: map[string][]*process{}, links: map[pair]float64{}, ways: map[pair]time.Duration{}, rough: map[pair]bool{}, cuts: map[string]int64{}, idle: map[string][2]int{}, tallies: map[string]tallied{}, checked: -1, counted: -1}
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
	j.served = claim(Serving, "whatever happens to peers, each daemon that runs and reaches its servers serves %.1f%% of its requests", 100*b.Served)
	j.most = claim(BytesMost, "no daemon sends its peers more than %d bytes in datagrams in a second", b.BytesMost)
	j.rest = claim(BytesIdle, "at rest a daemon sends its peers no more than %d bytes in datagrams a second", b.BytesIdle)
	j.far = claim(BytesFar, "no daemon sends other regions more than %d bytes in datagrams in a second", b.BytesFar)
	j.calm = claim(NearCalm, "while regions are cut off from one another, nobody doubts one of its own region who runs and was not paused, where links inside it are whole, for more than %v", b.Doubt)
	r := &Report{Claims: []*Claim{j.crash, j.leave, j.join, j.settle, j.wrong, j.name, j.under, j.follows, j.served, j.most, j.rest, j.far, j.calm}, Lines: len(lines)}
	r.Claims = append(r.Claims, j.limits.start(b)...)
	r.Claims = append(r.Claims, j.servers.start(j, b)...)
	r.Claims = append(r.Claims, j.policy.begin(j)...)
	if len(lines) > 0 {
		j.base, j.now = lines[0].T, lines[0].T
		j.downAt = j.base - int64(time.Hour)
		j.truthAt, j.linkAt = j.base, j.base-int64(time.Hour)
	}
	for i := range lines {
		l := &lines[i]
		j.until(l.T)
		if l.What == Gap {
			r.Gaps += l.Asked
		}
		if l.By == Drill {
			j.policy.note(l)
		}
		if l.By == Drill && j.policy.line(l) {
			continue
		} else if l.By == Drill {
			j.truth(l)
		} else if l.What == Verdict {
			j.servers.said(l)
		} else {
			j.said(l)
		}
	}
	j.until(j.now + step + 1)
	for _, who := range sortedKeys(j.idle) {
		if sum := j.idle[who]; sum[1] >= 5 {
			j.rest.Tried++
			rate := float64(sum[0]) / float64(sum[1])
			j.rest.near(rate, "%.0f bytes a second (%s)", rate, who)
			if rate > float64(b.BytesIdle) {
				j.rest.fail(j.now, j.base, "%s sent %.0f bytes a second over %d s at rest", who, rate, sum[1])
			}
		}
	}
	j.services()
	j.limits.end(j.now, j.base)
	j.policy.end(j.now)
	for _, c := range r.Claims {
		slices.Sort(c.Took)
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

// until looks at what was due before t, and at counts once the steps that changed them are over.
func (j *judge) until(t int64) {
	if t > j.now {
		for _, pid := range j.order {
			if p := j.pids[pid]; p.dirty > 0 && t > p.dirty+step {
				p.dirty = 0
				j.enough(p)
			}
		}
	}
	for len(j.duties) > 0 && j.duties[0].by < t {
		d := j.duties[0]
		j.duties = j.duties[1:]
		d.claim.Tried++
		d.claim.fail(d.by, j.base, "%s: %s does not know it after %v", d.what, d.o.name, time.Duration(d.by-d.from))
	}
	if at := j.truthAt + int64(j.b.Settle); at < t && j.checked != j.truthAt {
		j.checked = j.truthAt
		j.views(at)
		j.names(at)
	}
	if at := j.truthAt + int64(j.b.Settle+20*time.Second); at < t && j.counted != j.truthAt {
		j.counted = j.truthAt
		j.counts(at)
	}
	j.now = max(j.now, t)
}

func (j *judge) proc(pid int) *process {
	p := j.pids[pid]
	if p == nil {
		p = &process{pid: pid, view: map[string]*seen{}, known: map[int]bool{}, woke: j.base - int64(time.Hour)}
		j.pids[pid] = p
		j.order = append(j.order, pid)
	}
	return p
}

// ofLife is the process with a life.
func (j *judge) ofLife(name, life string) *process {
	for _, p := range j.lives[life] {
		if p.name == name {
			return p
		}
	}
	return nil
}

// changed takes note that the truth is another one.
func (j *judge) changed(t int64) { j.truthAt, j.settled = t, false }

// truth takes what the drill did.
func (j *judge) truth(l *Line) {
	switch l.What {
	case Up:
		p := j.proc(l.PID)
		p.name, p.region, p.balancers, p.up, p.started = l.Of, l.Region, l.Balancers, true, l.T
		j.changed(l.T)
		j.comp, j.cutFrom = nil, nil
		j.joining(p, l.T)
	case Twin:
		p := j.proc(l.PID)
		p.name, p.balancers, p.up, p.started, p.twin = l.Of, l.Balancers, true, l.T, true
		j.name.Tried++
		j.changed(l.T)
		j.comp = nil
	case Handing, Handed:
		j.changed(l.T)
	case Ending:
		j.proc(l.PID).ending = true
	case Starve:
		p := j.proc(l.PID)
		p.starved = l.T + l.PauseMS*int64(time.Millisecond)
		j.changed(l.T)
		j.drop(func(d *duty) bool { return d.o == p || d.p == p })
	case Down:
		p := j.proc(l.PID)
		wasLinked := j.linked(p)
		p.up, p.paused = false, 0
		j.downAt = l.T
		j.changed(l.T)
		j.comp = nil
		goodbye := p.left && l.Why == "term" // it is to be heard by all, though who said it has ended since
		j.drop(func(d *duty) bool { return d.o == p || d.p == p && !(goodbye && d.claim == j.leave) })
		if l.Why == "kill" && !p.left && !p.twin {
			j.downs = append(j.downs, l.T)
			j.crashed(p, wasLinked, l.T)
		}
	case Pause:
		p := j.proc(l.PID)
		p.paused = l.T
		j.changed(l.T)
		j.drop(func(d *duty) bool { return d.o == p || d.p == p })
	case Resume:
		p := j.proc(l.PID)
		if p.paused > 0 && l.T-p.paused > int64(j.b.Pause) {
			p.woke = l.T
		}
		p.paused, p.resumed = 0, l.T
		j.changed(l.T)
		j.drop(func(d *duty) bool { return d.o == p || d.p == p })
	case Link:
		j.links[pair{l.From, l.To}], j.rough[pair{l.From, l.To}] = l.Drop, l.Rough
		j.ways[pair{l.From, l.To}] = time.Duration(l.WayUS) * time.Microsecond
		j.changed(l.T)
		j.linkAt, j.comp, j.cutFrom = l.T, nil, nil
		j.drop(func(*duty) bool { return true })
	case Cut:
		if l.Why == "servers" {
			if l.Drop > 0 {
				j.cuts[l.Of] = int64(1) << 62
			} else {
				j.cuts[l.Of] = l.T + settling
			}
		}
	case Sent:
		j.most.Tried++
		j.most.near(float64(l.Bytes), "%d bytes (%s)", l.Bytes, l.Of)
		if l.Bytes > j.b.BytesMost {
			j.most.fail(l.T, j.base, "%s sent %d bytes in a second", l.Of, l.Bytes)
		}
		j.regions(l)
		if l.T-int64(time.Second) > j.truthAt+int64(j.b.Settle) && j.quiet() && len(j.limits.all) == 0 && j.servers.calm(l.T) {
			sum := j.idle[l.Of]
			j.idle[l.Of] = [2]int{sum[0] + l.Bytes, sum[1] + 1}
		}
	case Service:
		j.service(l)
	case Fault, Got:
		j.servers.truth(l)
	case Disk:
		j.changed(l.T)
	case Limited, Used, Wanted:
		j.limits.truth(l, j.base, j.truthAt)
	}
}

func (j *judge) drop(which func(*duty) bool) { j.duties = slices.DeleteFunc(j.duties, which) }

func (j *judge) owe(d *duty) {
	i, _ := slices.BinarySearchFunc(j.duties, d, func(a, b *duty) int {
		if c := cmp.Compare(a.by, b.by); c != 0 {
			return c
		}
		return -1
	})
	j.duties = slices.Insert(j.duties, i, d)
}

// components finds who can reach whom by any way, in both directions; pauses are not counted.
func (j *judge) components() {
	j.comp = map[string]int{}
	var names []string
	for _, pid := range j.order {
		if p := j.pids[pid]; p.up && !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	if len(j.links) == 0 {
		for _, n := range names {
			j.comp[n] = 1
		}
		return
	}
	next := 0
	for _, n := range names {
		if j.comp[n] > 0 {
			continue
		}
		next++
		j.comp[n] = next
		for todo := []string{n}; len(todo) > 0; {
			a := todo[0]
			todo = todo[1:]
			for _, b := range names {
				if j.comp[b] == 0 && j.links[pair{a, b}] < lossy && j.links[pair{b, a}] < lossy {
					j.comp[b] = next
					todo = append(todo, b)
				}
			}
		}
	}
}

func (j *judge) reach(a, b *process) bool {
	if j.comp == nil {
		j.components()
	}
	return j.comp[a.name] > 0 && j.comp[a.name] == j.comp[b.name]
}

func (j *judge) linked(p *process) []*process {
	var all []*process
	for _, pid := range j.order {
		if o := j.pids[pid]; o != p && o.name != p.name && o.up && !o.left && !o.twin && !o.standBack && j.reach(o, p) {
			all = append(all, o)
		}
	}
	return all
}

// whole reports whether links have been whole for a while.
func (j *judge) whole(t int64) bool {
	if t-j.linkAt < int64(j.b.Settle) {
		return false
	}
	for _, d := range j.links {
		if d > 0.1 {
			return false
		}
	}
	return true
}

// quiet reports whether no link costs its daemons more than rest does: what is lost is sent again, what is doubled
// is answered twice.
func (j *judge) quiet() bool {
	for p, d := range j.links {
		if d > 0.01 || j.rough[p] {
			return false
		}
	}
	return true
}

func (j *judge) crashed(p *process, by []*process, t int64) {
	lately := 0
	for _, d := range j.downs {
		if t-d < int64(2*time.Second) {
			lately++
		}
	}
	if lately > max(1, len(by)/4) { // a storm: it may take longer, and is Settled's
		j.drop(func(d *duty) bool { return d.claim == j.crash })
		return
	}
	if !j.whole(t) || p.life == "" || t-p.started < int64(j.b.Join) {
		return
	}
	life := p.life
	for _, o := range by {
		if o.paused > 0 || t-o.woke < int64(j.b.Settle) || t-o.started < int64(j.b.Join) {
			continue
		}
		j.owe(&duty{claim: j.crash, from: t, by: t + int64(j.b.Crash) + j.way(o, p), o: o, p: p, what: p.name + " was killed",
			done: func(s *seen) bool { return s.life != life || s.state == "dead" || s.state == "left" }})
	}
}

func (j *judge) joining(p *process, t int64) {
	if !j.whole(t) {
		return
	}
	for _, o := range j.linked(p) {
		if o.paused > 0 {
			continue
		}
		j.owe(&duty{claim: j.join, from: t, by: t + int64(j.b.Join) + j.way(o, p), o: o, p: p, what: p.name + " started",
			done: func(s *seen) bool { return p.life != "" && s.life == p.life && s.state == "alive" }})
	}
}

// regions takes what a daemon sent to other regions in a second, and notes that it may have doubted its own.
func (j *judge) regions(l *Line) {
	var own *process
	for _, pid := range j.order {
		if p := j.pids[pid]; p.name == l.Of && p.up && !p.twin {
			own = p
		}
	}
	if own == nil || own.region == "" {
		return
	}
	j.far.Tried++
	j.far.near(float64(l.Far), "%d bytes (%s)", l.Far, l.Of)
	if l.Far > j.b.BytesFar {
		j.far.fail(l.T, j.base, "%s sent other regions %d bytes in a second", l.Of, l.Far)
	}
	if j.apart(own.region) {
		j.calm.Tried++
	}
	for _, name := range sortedKeys(own.view) {
		if s := own.view[name]; s.doubted > 0 && l.T-s.doubted > int64(j.b.Doubt) {
			s.doubted = 0
			j.calm.fail(l.T, j.base, "%s doubts %s, of its region, for more than %v", own.name, name, j.b.Doubt)
		}
	}
}

// apart reports whether a region is cut off from another one.
func (j *judge) apart(region string) bool {
	if j.cutFrom == nil {
		of := map[string]string{}
		for _, p := range j.pids {
			of[p.name] = p.region
		}
		j.cutFrom = map[string]bool{}
		for l, d := range j.links {
			if a, b := of[l.from], of[l.to]; d >= gone && a != "" && b != "" && a != b {
				j.cutFrom[a], j.cutFrom[b] = true, true
			}
		}
	}
	return j.cutFrom[region]
}

// doubts looks at a doubt about one of the same region.
func (j *judge) doubts(o, p *process, l *Line) {
	if o.region == "" || o.region != p.region || l.State != "suspect" && l.State != "dead" || !j.apart(o.region) {
		return
	}
	for _, pid := range j.order { // what is broken inside, may be doubted
		for _, other := range j.order {
			a, b := j.pids[pid], j.pids[other]
			if k := (pair{a.name, b.name}); a.region == o.region && b.region == o.region && (j.links[k] > 0.01 || j.rough[k]) {
				return
			}
		}
	}
	if l.State == "suspect" && j.b.Doubt > 0 {
		o.view[p.name].doubted = l.T
		return
	}
	j.calm.fail(l.T, j.base, "%s says that %s, of its region, is %s: %s", o.name, p.name, l.State, l.Why)
}

// way is how much links add there and back between two daemons, as often as the bounds have it.
func (j *judge) way(o, p *process) int64 {
	return int64(j.b.Ways) * int64(j.ways[pair{o.name, p.name}]+j.ways[pair{p.name, o.name}])
}

// said takes what a daemon wrote.
func (j *judge) said(l *Line) {
	o := j.proc(l.PID)
	switch l.What {
	case Start:
		if old := j.ofLife(l.By, l.Life); old != nil && old != o { // it took over from that one, and is the same member
			j.pids[l.PID] = old
			j.order = slices.DeleteFunc(j.order, func(pid int) bool { return pid == l.PID })
			return
		}
		o.name, o.life = l.By, l.Life
		j.lives[l.Life] = append(j.lives[l.Life], o)
	case Leaving:
		if o.left {
			return
		}
		o.left = true
		j.changed(l.T)
		j.drop(func(d *duty) bool { return d.o == o || d.p == o })
		if !j.whole(l.T) || l.T-o.started < int64(j.b.Join) {
			return
		}
		life, at := o.life, l.T
		for _, w := range j.linked(o) {
			if w.paused > 0 || l.T-w.started <= int64(j.b.Join) || l.T-w.woke <= int64(j.b.Settle) {
				continue
			}
			d := &duty{claim: j.leave, from: l.T, by: l.T + int64(j.b.Leave) + j.way(w, o), o: w, p: o, what: o.name + " left",
				done: func(s *seen) bool {
					if s.life == life {
						return s.state == "left"
					}
					next := j.ofLife(o.name, s.life)
					return next != nil && next.started > at
				}}
			if s := w.view[o.name]; s != nil && d.done(s) { // the line was written late
				j.leave.Tried++
				j.leave.took(0)
				continue
			}
			j.owe(d)
		}
	case Member:
		j.member(o, l)
	case Counted:
		o.most, o.counted, o.dirty = l.Most, true, l.T
	case Contested:
		o.standBack = l.StandBack
		if l.StandBack && o.twin {
			j.name.took(time.Duration(l.T - o.started))
		}
	}
}

func (j *judge) member(o *process, l *Line) {
	s := o.view[l.Of]
	if s == nil {
		s = &seen{}
		o.view[l.Of] = s
	}
	was := *s
	s.life, s.state = l.Life, l.State
	if standing(&was) != standing(s) {
		s.since = l.T
	}
	if l.State == "suspect" {
		s.accused = l.T
	} else if s.doubted > 0 {
		j.calm.near(time.Duration(l.T-s.doubted).Seconds(), "suspect for %v", time.Duration(l.T-s.doubted).Round(time.Millisecond))
		if l.T-s.doubted > int64(j.b.Doubt) {
			j.calm.fail(l.T, j.base, "%s doubted %s, of its region, for more than %v", o.name, l.Of, j.b.Doubt)
		}
		s.doubted = 0
	}
	p := j.ofLife(l.Of, l.Life)
	if p != nil && p != o {
		o.known[p.pid] = true
		o.dirty = l.T
	}
	if p != nil && p.up && !p.left && j.reachedLong(o, p, l.T) {
		rested := p.paused == 0 && l.T-p.woke > int64(j.b.Settle) || p.paused > 0 && l.T-p.paused < int64(j.b.Pause)
		if p.paused == 0 && o.paused == 0 && l.T-p.woke > int64(j.b.Settle) && l.T-o.woke > int64(j.b.Settle) {
			j.doubts(o, p, l)
		}
		switch {
		case !rested:
		case l.State == "suspect":
			j.wrong.Tried++
		case l.State == "dead":
			j.wrong.Tried++
			j.wrong.fail(l.T, j.base, "%s holds %s for dead: %s", o.name, p.name, l.Why)
		case l.State == "alive" && was.state == "suspect" && was.life == l.Life:
			d := time.Duration(l.T - was.accused)
			j.wrong.near(d.Seconds(), "suspect for %v", d.Round(time.Millisecond))
		}
	}
	for i := 0; i < len(j.duties); {
		d := j.duties[i]
		if d.o != o || d.p.name != l.Of || !d.done(s) {
			i++
			continue
		}
		j.duties = slices.Delete(j.duties, i, i+1)
		d.claim.Tried++
		d.claim.took(time.Duration(l.T - d.from))
	}
	// At rest nothing changes any more, but for suspicions that are refuted.
	if j.settled && l.State != "suspect" && was.state != "suspect" && j.expected(o, l.Of) != standing(s) {
		j.settle.fail(l.T, j.base, "%s says at rest that %s is %s", o.name, l.Of, l.State)
	}
}

// reachedLong reports whether two could reach each other for long enough.
func (j *judge) reachedLong(o, p *process, t int64) bool {
	return t-j.linkAt > int64(j.b.Settle) && t-p.started > int64(j.b.Join) && t-o.started > int64(j.b.Join) && j.reach(o, p)
}

// standing is the life that is alive, or nothing.
func standing(s *seen) string {
	if s == nil || s.state == "dead" || s.state == "left" {
		return ""
	}
	return s.life
}

// expected is the life of a name that o should hold for alive; empty: none.
func (j *judge) expected(o *process, name string) string {
	for _, pid := range j.order {
		p := j.pids[pid]
		if p.name != name || !p.up || p.left || p.standBack || !j.reach(o, p) {
			continue
		}
		if p.paused > 0 && j.now-p.paused >= int64(j.b.Settle) {
			continue
		}
		return p.life
	}
	return ""
}

// views looks at every view once nothing has happened for long enough.
func (j *judge) views(t int64) {
	for _, d := range j.links {
		if d >= lossy && d < gone { // who hears whom is up to chance
			return
		}
	}
	names := map[string]bool{}
	for _, pid := range j.order {
		names[j.pids[pid].name] = true
	}
	was := j.now
	j.now = max(j.now, t)
	for _, pid := range j.order {
		o := j.pids[pid]
		if !o.up || o.left || o.standBack || o.paused > 0 || o.life == "" {
			continue
		}
		for _, name := range sortedKeys(names) {
			if name == o.name {
				continue
			}
			j.settle.Tried++
			want, is := j.expected(o, name), standing(o.view[name])
			if want == is {
				if s := o.view[name]; s != nil && s.since > j.truthAt {
					j.settle.took(time.Duration(s.since - j.truthAt))
				}
				continue
			}
			switch {
			case want == "":
				j.settle.fail(t, j.base, "%s holds %s for alive, which does not run or can't be reached", o.name, name)
			case is == "":
				j.settle.fail(t, j.base, "%s does not hold %s for alive, which runs", o.name, name)
			default:
				j.settle.fail(t, j.base, "%s holds an earlier process of %s for alive", o.name, name)
			}
		}
	}
	j.now = was
	j.settled = true
}

// names looks at names with two processes.
func (j *judge) names(t int64) {
	for _, pid := range j.order {
		tw := j.pids[pid]
		if !tw.twin || !tw.up {
			continue
		}
		holds := 0
		for _, other := range j.order {
			if p := j.pids[other]; p.name == tw.name && p.up && !p.left && !p.standBack {
				holds++
			}
		}
		if holds != 1 {
			j.name.fail(t, j.base, "%d processes hold the name %s", holds, tw.name)
		}
	}
}

// enough looks whether a daemon divides by as many as run that it has known.
func (j *judge) enough(o *process) {
	if !o.up || !o.counted || o.standBack || o.paused > 0 {
		return
	}
	run := o.balancers
	for pid := range o.known {
		if p := j.pids[pid]; p.up && !p.left && !p.standBack && p.name != o.name {
			run += p.balancers
		}
	}
	j.under.Tried++
	j.under.near(float64(-(o.most - run)), "%d more than run", o.most-run)
	if o.most < run {
		j.under.fail(j.now, j.base, "%s divides by %d, and %d run that it has known", o.name, o.most, run)
	}
}

// counts looks at the counts at rest.
func (j *judge) counts(t int64) {
	for _, pid := range j.order {
		o := j.pids[pid]
		if !o.up || o.left || o.standBack || o.paused > 0 || !o.counted {
			continue
		}
		want := o.balancers
		for _, name := range sortedKeys(o.view) {
			if s := o.view[name]; s.state != "left" {
				if p := j.ofLife(name, s.life); p != nil {
					want += p.balancers
				}
			}
		}
		j.follows.Tried++
		j.follows.near(float64(max(o.most-want, want-o.most)), "%d off", max(o.most-want, want-o.most))
		if o.most != want {
			j.follows.fail(t, j.base, "%s divides by %d, and %d run or are silent", o.name, o.most, want)
		}
	}
}
