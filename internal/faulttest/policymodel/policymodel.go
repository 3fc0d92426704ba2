// Package policymodel simulates a fleet that agrees on its policy, in virtual time. It runs the modules that daemons
// run, with models of their links, disks, clocks, pauses and crashes. Each member admits requests all the time by the
// policy that its module last reported, and the history contains the policy by which each request was admitted. The
// same seed gives the same lines.
package policymodel

import (
	"cmp"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/policy"
)

// Options are the parameters of a simulation.
type Options struct {
	Seed    uint64
	Take    time.Duration                       // mean time between two requests of a member; default 20 ms
	Check   func(member int, body []byte) error // validates a policy at a member; nil: all are valid
	Witness bool                                // a restarted process proves that its disk is unchanged
	// MaxClockDrift is the largest share by which the rate of a clock differs from real time, either way; default 1%.
	MaxClockDrift float64
	ClockDrift    func(member int) float64 // drift of a member's clock; nil: random
	// Kill lists the points at which the acting member is killed; see Result.Points.
	Kill  []int
	Back  time.Duration                            // time from such a kill until the member starts again; default 1.5 s
	Lose  []int                                    // points at which the message being sent is lost
	From  time.Duration                            // time from which points are counted
	Log   func(at time.Duration, who, text string) // receives log lines; nil: they are discarded
	Point func(n int, at time.Duration, who, what string)
	// Way replaces the policy's own protocol with a baseline: see baselines.go.
	Way Way

	// The options below serve measurements.

	// Size returns the size of a message on the wire, in bytes; nil: an estimate is used.
	Size func(from int, m *policy.Message) int
	// Around wraps each step of a member's module; nil: steps run directly.
	Around func(now time.Duration, member int, step func())
	Since  time.Duration // time from which traffic is counted
	// Serves is called when a member starts to serve by a version of a part. Version 0 is its configuration file.
	Serves func(at time.Duration, member int, part string, number uint64)
	// Streams limits the open streams of a sender: further messages that need a stream are dropped. 0: no limit.
	Streams int
	Viewers int                                                  // only this many members, from the first, get the membership view; 0: all
	Delay   func(from, to int) time.Duration                     // additional one-way delay between two members
	Cut     func(now time.Duration, from, to int) (nothing bool) // drops all messages between two members
}

// Way is the method by which a change is distributed to all members.
type Way uint8

// The methods of distribution that are compared.
const (
	Agreed   Way = iota // the policy's own protocol: a change is in force everywhere or nowhere
	OneByOne            // a file on each host; hosts are reloaded one after another
	Gossip              // each member gossips the newest version that it has
)

// Result is the outcome of a simulation.
type Result struct {
	Lines    []checker.Line
	Points   int // number of times, from Options.From on, that a member began or ended a write, or sent or received a message
	Messages int
	Bytes    int
	Persists int
	Shown    []policy.Status // final state, by member
	Refused  int             // requests rejected because of the policy
	Taken    int
	Traffic  []Traffic // by member
	Disks    []int     // bytes on each member's disk at the end
}

// Traffic counts what a member sent to and received from other members.
type Traffic struct{ MessagesOut, MessagesIn, BytesOut, BytesIn int }

const (
	minDelay         = 300 * time.Microsecond // minimum one-way delay
	maxExtraDelay    = 700 * time.Microsecond
	minSyncTime      = time.Millisecond // minimum time of a synced write
	maxExtraSyncTime = 4 * time.Millisecond
	maxApplyTime     = 5 * time.Millisecond   // maximum time until the instances of a daemon use a new policy
	retryDelay       = 200 * time.Millisecond // of a retransmission; also of WatchChange after a restart, and of the end of the process after a graceful leave
	abortInterval    = 5 * time.Second        // after a restart: time between attempts to abort a change of unknown state
	viewInterval     = 250 * time.Millisecond
	streamTimeout    = 3 * time.Second
	streamRate       = 12e6 // of a stream, in bytes per second
	// maxMessageRate is the number of messages that a run may send per second and member, besides 50,000 in all. One
	// change per second with losses takes 100.
	maxMessageRate = 500
)

type disk struct {
	hard, snapshot, member []byte
	entries                map[uint64][]byte
	epoch                  uint64
}

func (d *disk) clone() *disk {
	c := *d
	c.entries = map[uint64][]byte{}
	for k, v := range d.entries {
		c.entries[k] = v
	}
	return &c
}

// apply applies a batch to the disk.
func (d *disk) apply(b *policy.Batch) {
	if b.Wipe {
		d.hard, d.snapshot, d.entries = nil, nil, map[uint64][]byte{}
	}
	if b.HardState != nil {
		d.hard = b.HardState
	}
	if b.Snapshot != nil {
		d.snapshot = b.Snapshot
	}
	if b.FirstIndex > 0 {
		for i := range d.entries {
			if i >= b.FirstIndex {
				delete(d.entries, i)
			}
		}
		for i, e := range b.Entries {
			d.entries[b.FirstIndex+uint64(i)] = e
		}
	}
	for i := range d.entries {
		if i < b.CompactBefore {
			delete(d.entries, i)
		}
	}
	if b.Member != nil {
		d.member = b.Member
	}
	if b.HardState != nil || b.Snapshot != nil || b.FirstIndex > 0 {
		d.epoch = b.Epoch
	}
}

func (d *disk) size() int {
	n := len(d.hard) + len(d.snapshot) + len(d.member)
	for _, e := range d.entries {
		n += len(e)
	}
	return n
}

func (d *disk) load() policy.StoredState {
	x := policy.StoredState{HardState: d.hard, Snapshot: d.snapshot, Member: d.member, Epoch: d.epoch}
	var all []uint64
	for i := range d.entries {
		all = append(all, i)
	}
	slices.Sort(all)
	for _, i := range all {
		x.Entries = append(x.Entries, d.entries[i])
	}
	return x
}

type member struct {
	n              int
	name           string
	node           *policy.Node
	pid            int
	runID          uint64
	paused         bool
	deferred       []func() // work that arrived while the member was paused
	startedAt      time.Duration
	clockAtStart   time.Duration // its own clock at startedAt
	clockDrift     float64
	nextStep       time.Duration
	disk           *disk
	savedDisk      *disk
	diskFull       bool
	extraSyncTime  time.Duration
	diskBusyUntil  time.Duration
	lostWritePID   int // ended process that lost a write, so that its later writes are lost too
	serving        policy.Serving
	servingSeq     uint64 // sequence number of its serving state
	leaving        bool
	openStreams    int      // its open streams to other members
	watchedChanges []string // IDs of changes that its operators wait for
	parts          []string // parts of the policy that it holds besides the global part
}

type simulation struct {
	options  Options
	plan     *plan.Plan
	now      time.Duration
	rng      *mathrand.Rand
	queue    eventqueue.Queue
	members  []*member
	byName   map[string]*member
	links    map[[2]int]plan.Link
	lines    []checker.Line
	result   Result
	lastPID  int
	changes  int
	kill     []int
	departed map[string]uint64 // members that left, with their last run IDs
	baseline baselineState
}

// zeroReader replaces the source of random bytes of Raft, which would otherwise make each run different. The randomness
// that Raft needs comes from the seed: see the election ticks in package policy.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

var randomSource struct {
	sync.Mutex
	n   int
	was io.Reader
}

func fixRandom() (end func()) {
	randomSource.Lock()
	defer randomSource.Unlock()
	if randomSource.n++; randomSource.n == 1 {
		randomSource.was, rand.Reader = rand.Reader, zeroReader{}
	}
	return func() {
		randomSource.Lock()
		defer randomSource.Unlock()
		if randomSource.n--; randomSource.n == 0 {
			rand.Reader = randomSource.was
		}
	}
}

// Play simulates a plan to its end.
func Play(p *plan.Plan, o Options) (*Result, error) {
	if p.Policy == nil {
		return nil, fmt.Errorf("%s: plan has no [policy]", p.Name)
	}
	if p.NeedsRealProcesses {
		return nil, fmt.Errorf("%s: plan has handovers, stray datagrams, limits or similar, which need real processes", p.Name)
	}
	defer fixRandom()()
	o.Take, o.MaxClockDrift, o.Back = cmp.Or(o.Take, 20*time.Millisecond), cmp.Or(o.MaxClockDrift, 0.01), cmp.Or(o.Back, 1500*time.Millisecond)
	w := &simulation{options: o, plan: p, rng: mathrand.New(mathrand.NewPCG(o.Seed, 71)), byName: map[string]*member{}, links: map[[2]int]plan.Link{}, kill: slices.Clone(o.Kill), departed: map[string]uint64{}}
	w.result.Traffic = make([]Traffic, p.Daemons)
	set := p.Policy
	back := policy.Settings{Lease: set.Lease, ClockDrift: policy.DefaultClockDrift}
	w.record(checker.Line{What: checker.Agreed, Hard: set.StopWhenIsolated, PauseMS: back.LeaseExpiry().Milliseconds() + 1, Why: strings.Join(w.voters(), " "), Parts: w.futureVoters()})
	for n := range p.Daemons {
		m := &member{n: n, name: plan.Name(n), disk: &disk{entries: map[uint64][]byte{}}, nextStep: -1}
		w.members = append(w.members, m)
		w.byName[m.name] = m
	}
	if p.Link.Drop > 0 || p.Link != (plan.Link{}) {
		w.setLink(plan.Event{Who: firstMembers(p.Daemons), To: firstMembers(p.Daemons), Both: true, Link: p.Link})
	}
	for n := range p.Daemons {
		if p.RunsFromStart(n) {
			w.schedule(time.Duration(w.rng.Float64()*float64(p.Spread)), func() { w.start(w.members[n], plan.Event{State: "kept"}) })
		}
	}
	for _, e := range p.Events {
		w.schedule(e.At, func() { w.applyEvent(e) })
	}
	w.schedule(viewInterval, w.distributeMembers)
	for at, do, ok := w.queue.Next(p.Length); ok; at, do, ok = w.queue.Next(p.Length) {
		w.now = at
		if do(); w.result.Messages > 50_000+maxMessageRate*p.Daemons*(1+int(w.now/time.Second)) {
			return nil, fmt.Errorf("%s, seed %d: message storm: %d messages by %v", p.Name, o.Seed, w.result.Messages, w.now)
		}
	}
	w.now = p.Length
	w.record(checker.Line{What: checker.End})
	w.result.Lines = w.lines
	for _, m := range w.members {
		w.result.Disks = append(w.result.Disks, m.disk.size())
		var s policy.Status
		if m.node != nil {
			s = m.node.Status()
		}
		w.result.Shown = append(w.result.Shown, s)
	}
	return &w.result, nil
}

func firstMembers(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func (w *simulation) voters() []string {
	var all []string
	for _, n := range w.plan.Policy.Voters {
		all = append(all, plan.Name(n))
	}
	return all
}

// futureVoters returns the members that may become voters during the plan.
func (w *simulation) futureVoters() string {
	var all []string
	for _, e := range w.plan.Events {
		if e.Do == "voters" {
			for _, x := range e.To {
				all = append(all, plan.Name(x))
			}
		}
	}
	return strings.Join(all, " ")
}

func (w *simulation) schedule(t time.Duration, do func()) { w.queue.At(max(t, w.now), do) }

func (w *simulation) record(l checker.Line) {
	l.T, l.By = int64(w.now), checker.FaultTest
	w.lines = append(w.lines, l)
}

// atPoint counts a point at which a member acts (see Result.Points) and reports whether the member is killed there.
func (w *simulation) atPoint(m *member, what string) bool {
	if w.now < w.options.From || m.node == nil {
		return false
	}
	w.result.Points++
	if w.options.Point != nil {
		w.options.Point(w.result.Points, w.now, m.name, what)
	}
	if i := slices.Index(w.kill, w.result.Points); i >= 0 {
		w.kill = slices.Delete(w.kill, i, i+1)
		w.down(m, "kill")
		w.schedule(w.now+w.options.Back, func() { w.start(m, plan.Event{State: "kept"}) })
		return true
	}
	return false
}

// localTime converts a time of the simulation to the member's own clock, and globalTime does the reverse.
func (m *member) localTime(t time.Duration) time.Duration {
	return m.clockAtStart + time.Duration(float64(t-m.startedAt)*(1+m.clockDrift))
}

func (m *member) globalTime(local time.Duration) time.Duration {
	if local >= policy.Never/2 {
		return policy.Never / 2
	}
	return m.startedAt + time.Duration(float64(local-m.clockAtStart)/(1+m.clockDrift)) + 1
}

func (w *simulation) start(m *member, e plan.Event) {
	if m.node != nil {
		return
	}
	proved := w.options.Witness && m.pid > 0
	switch e.State {
	case "none", "torn":
		m.disk, proved = &disk{entries: map[uint64][]byte{}}, false
	case "old":
		proved = false
		if m.savedDisk != nil {
			m.disk = m.savedDisk.clone()
		}
	}
	w.lastPID++
	m.pid, m.paused, m.leaving, m.deferred = w.lastPID, false, false, nil
	m.startedAt, m.clockAtStart, m.clockDrift = w.now, time.Hour+time.Duration(w.rng.Float64()*float64(time.Hour)), (2*w.rng.Float64()-1)*w.options.MaxClockDrift
	if w.options.ClockDrift != nil {
		m.clockDrift = w.options.ClockDrift(m.n)
	}
	m.runID, m.diskBusyUntil, m.openStreams, m.serving, m.servingSeq = w.rng.Uint64()|1, 0, 0, policy.Serving{Blocked: "just started"}, m.servingSeq+1
	delete(w.departed, m.name)
	w.record(checker.Line{What: checker.Up, Of: m.name, PID: m.pid})
	if w.options.Way != Agreed {
		w.startBaseline(m)
		return
	}
	set := w.plan.Policy
	if m.parts = set.Of(m.n); len(m.parts) > 0 {
		w.record(checker.Line{What: checker.Holds, Of: m.name, PID: m.pid, Parts: strings.Join(m.parts, " ")})
	}
	d := m.disk.load()
	d.ProvenCurrent = proved
	s := policy.Settings{Name: m.name, RunID: m.runID, Voters: w.voters(), StopWhenIsolated: set.StopWhenIsolated, ServeLastKnown: set.ServeLastKnown, Lease: set.Lease, PrepareTimeout: set.PrepareTimeout, Parts: m.parts}
	if w.options.Check != nil {
		s.Check = func(all []policy.Document) error {
			for _, d := range all {
				if err := w.options.Check(m.n, d.Body); err != nil {
					return err
				}
			}
			return nil
		}
	}
	node, err := policy.New(s, d, w.rng.Uint64())
	if err != nil { // for example an invalid part in its state: the daemon uses its file and does not participate
		if w.options.Log != nil {
			w.options.Log(w.now, m.name, err.Error())
		}
		return
	}
	m.node = node
	pid := m.pid
	for _, id := range m.watchedChanges {
		w.schedule(w.now+retryDelay, func() {
			if m.pid == pid {
				w.step(m, policy.WatchChange{ID: id})
			}
		})
		w.abortUnknown(m, pid, id)
	}
	w.step(m, policy.NameOwnership{Exclusive: true})
	w.scheduleRequest(m, pid)
}

// abortUnknown simulates the operators of a restarted daemon: they try to abort a change whose state is unknown, at
// intervals until it is decided.
func (w *simulation) abortUnknown(m *member, pid int, id string) {
	w.schedule(w.now+abortInterval, func() {
		if m.pid != pid || m.node == nil || !slices.Contains(m.watchedChanges, id) {
			return
		}
		if m.node.ChangeStatus(id).State == policy.ChangeUnknown && !m.paused {
			w.step(m, policy.Propose{Proposal: policy.Proposal{AbortID: id, Document: policy.Document{Author: m.name, Reason: "given up"}}})
		}
		w.abortUnknown(m, pid, id)
	})
}

func (w *simulation) down(m *member, why string) {
	if m.node == nil && w.options.Way == Agreed || m.pid == 0 {
		return
	}
	w.record(checker.Line{What: checker.Down, Of: m.name, PID: m.pid, Why: why})
	m.node, m.paused, m.deferred, m.nextStep = nil, false, nil, -1
	m.serving = policy.Serving{Blocked: "down"}
	m.servingSeq++
}

// step runs one step of a member's module and executes its actions.
func (w *simulation) step(m *member, events ...policy.Event) {
	if m.node == nil {
		return
	}
	node, pid := m.node, m.pid
	var actions []policy.Action
	step := func() { actions = node.Step(m.localTime(w.now), events...) }
	if w.options.Around != nil {
		w.options.Around(w.now, m.n, step)
	} else {
		step()
	}
	for _, a := range actions {
		if m.pid != pid || m.node == nil {
			return // the member ended in between
		}
		switch a := a.(type) {
		case policy.Send:
			if w.atPoint(m, "send") {
				return
			}
			if slices.Contains(w.options.Lose, w.result.Points) && w.now >= w.options.From {
				continue
			}
			w.send(m, a)
		case policy.Persist:
			if w.atPoint(m, "write") {
				return
			}
			w.persist(m, a)
		case policy.ServingChanged:
			w.applyServing(m, a.Serving)
		case policy.Log:
			if w.options.Log != nil {
				w.options.Log(w.now, m.name, a.Text)
			}
		}
	}
	w.reportChanges(m)
	if at := m.globalTime(node.Next()); at != m.nextStep {
		m.nextStep = at
		w.schedule(at, func() {
			if m.pid == pid && m.node == node && m.nextStep == at {
				m.nextStep = -1
				w.whenRunning(m, func() { w.step(m) })
			}
		})
	}
}

// whenRunning runs do now, or once the member is resumed.
func (w *simulation) whenRunning(m *member, do func()) {
	if m.paused {
		m.deferred = append(m.deferred, do)
		return
	}
	do()
}

// reportChanges records the outcomes of changes for which the operators at a member wait.
func (w *simulation) reportChanges(m *member) {
	m.watchedChanges = slices.DeleteFunc(m.watchedChanges, func(id string) bool {
		f := m.node.ChangeStatus(id)
		if f.State < policy.ChangeCommitted {
			return false
		}
		why := f.Reason
		if f.AbortedBy != "" {
			why = f.AbortedBy + ": " + why
		}
		w.record(checker.Line{What: checker.AuthorNotified, Of: m.name, ID: id, State: f.State.String(), Number: f.Number, Why: why})
		return true
	})
}

// applyServing changes the policy and the lease by which a member's instances serve. A new policy takes effect within
// maxApplyTime; a renewed or expired lease takes effect at once.
func (w *simulation) applyServing(m *member, s policy.Serving) {
	m.servingSeq++
	if m.serving.Document != nil && s.Document.ID == m.serving.Document.ID && s.Fingerprint() == m.serving.Fingerprint() || s.Blocked != "" {
		w.reportServing(m, &m.serving, &s)
		m.serving = s
		return
	}
	seq, pid := m.servingSeq, m.pid
	w.schedule(w.now+time.Duration(w.rng.Float64()*float64(maxApplyTime)), func() {
		if m.pid == pid && m.servingSeq == seq {
			w.reportServing(m, &m.serving, &s)
			m.serving = s
		}
	})
	if m.serving.Document != nil { // until then, the earlier lease end and the parts in both states apply
		m.serving.Until = min(m.serving.Until, s.Until)
		m.serving.ServedParts = slices.DeleteFunc(slices.Clone(m.serving.ServedParts), func(p string) bool { return !slices.Contains(s.ServedParts, p) })
	}
}

// reportServing calls Options.Serves for each part whose current version the member did not serve by before.
func (w *simulation) reportServing(m *member, was, now *policy.Serving) {
	if w.options.Serves == nil || now.Blocked != "" {
		return
	}
	for _, part := range append([]string{""}, m.parts...) {
		d, held := now.Lookup(part)
		before, had := was.Lookup(part)
		if held && (was.Blocked != "" || !had || before == nil || before.Number != d.Number) {
			w.options.Serves(w.now, m.n, part, d.Number)
		}
	}
}

// scheduleRequest schedules the member's next request, which schedules the one after it.
func (w *simulation) scheduleRequest(m *member, pid int) {
	w.schedule(w.now+time.Duration(w.rng.ExpFloat64()*float64(w.options.Take)), func() {
		if m.pid != pid || m.node == nil && w.options.Way == Agreed {
			return
		}
		w.scheduleRequest(m, pid)
		if m.paused || m.leaving {
			return
		}
		s, part := &m.serving, ""
		if len(m.parts) > 0 { // the request belongs to a service, or only the global part applies to it
			part = append([]string{""}, m.parts...)[w.rng.IntN(1+len(m.parts))]
		}
		d, held := s.Lookup(part)
		if s.Blocked != "" || d == nil || !held || m.localTime(w.now) >= s.Until {
			w.result.Refused++
			w.record(checker.Line{What: checker.PolicyRejected, Of: m.name, PID: m.pid, Why: s.Blocked, Part: part})
			return
		}
		w.result.Taken++
		l := checker.Line{What: checker.RequestAdmitted, Of: m.name, PID: m.pid, Number: d.Number, ID: d.ID, Standalone: s.Standalone, Part: part}
		if b := s.PreparingChange(part); b != nil {
			l.PreparingChange = b.ID
		}
		w.record(l)
	})
}

func (w *simulation) linkOf(a, b int) plan.Link { return w.links[[2]int{a, b}] }

// send delivers a message to a member, unless the link loses it.
func (w *simulation) send(m *member, s policy.Send) {
	to := w.byName[s.To]
	if to == nil {
		return
	}
	size := 120 + len(s.Message.Raft)
	if s.Message.Document != nil {
		for _, d := range s.Message.Document.Documents() {
			size += len(d.Body)
		}
	}
	if w.options.Size != nil {
		size = w.options.Size(m.n, s.Message)
	}
	from := m.name
	deliver := func() {
		pid := to.pid
		if to != m && w.now >= w.options.Since {
			w.result.Traffic[to.n].MessagesIn++
			w.result.Traffic[to.n].BytesIn += size
		}
		w.whenRunning(to, func() {
			if to.node == nil || to.pid != pid || w.atPoint(to, "take") {
				return
			}
			w.step(to, policy.Received{From: from, Message: s.Message})
		})
	}
	w.result.Messages++
	w.result.Bytes += size
	if to == m {
		w.schedule(w.now, deliver)
		return
	}
	stream := s.Message.Large()
	if stream && w.options.Streams > 0 && m.openStreams >= w.options.Streams {
		return
	}
	if w.now >= w.options.Since {
		w.result.Traffic[m.n].MessagesOut++
		w.result.Traffic[m.n].BytesOut += size
	}
	if w.options.Cut != nil && w.options.Cut(w.now, m.n, to.n) {
		if stream {
			w.openStream(m, streamTimeout)
		}
		return
	}
	l := w.linkOf(m.n, to.n)
	if w.options.Delay != nil {
		l.Delay += w.options.Delay(m.n, to.n)
	}
	way := func() time.Duration {
		return minDelay + time.Duration(w.rng.Float64()*float64(maxExtraDelay)) + l.Delay + time.Duration(w.rng.Float64()*float64(l.Jitter))
	}
	if !stream {
		for range 1 + w.drawOne(l.Duplicate) {
			if w.rng.Float64() >= l.Drop {
				d := way()
				if w.rng.Float64() < l.Reorder {
					d += time.Duration(w.rng.Float64() * float64(50*time.Millisecond))
				}
				w.schedule(w.now+d, deliver)
			}
		}
		return
	}
	// A stream takes three one-way delays, and lost segments are retransmitted.
	r := w.linkOf(to.n, m.n)
	if l.Drop >= 1 || r.Drop >= 1 {
		w.openStream(m, streamTimeout)
		return
	}
	d := time.Duration(float64(size) / streamRate * float64(time.Second))
	for range 3 {
		d += way()
		for w.rng.Float64() < max(l.Drop, r.Drop) {
			d += retryDelay
		}
	}
	w.openStream(m, min(d, streamTimeout))
	if d < streamTimeout {
		w.schedule(w.now+d, deliver)
	}
}

// openStream counts one more open stream of a member for a while, if streams are limited.
func (w *simulation) openStream(m *member, d time.Duration) {
	if w.options.Streams == 0 {
		return
	}
	m.openStreams++
	pid := m.pid
	w.schedule(w.now+d, func() {
		if m.pid == pid {
			m.openStreams--
		}
	})
}

func (w *simulation) drawOne(share float64) int {
	if share > 0 && w.rng.Float64() < share {
		return 1
	}
	return 0
}

// persist writes a batch to a member's disk after the writes that are pending.
func (w *simulation) persist(m *member, p policy.Persist) {
	w.result.Persists++
	pid, d := m.pid, m.disk
	m.diskBusyUntil = max(m.diskBusyUntil, w.now) + minSyncTime + time.Duration(w.rng.Float64()*float64(maxExtraSyncTime)) + m.extraSyncTime
	w.schedule(m.diskBusyUntil, func() {
		if m.pid != pid || m.node == nil {
			// The process has ended: the write may have reached the disk or not, but no write after a lost one has.
			if m.disk != d || m.node != nil || m.lostWritePID == pid || m.diskFull || w.rng.IntN(2) == 0 {
				m.lostWritePID = pid
				return
			}
			d.apply(&p.Batch)
			w.onDisk(m, &p.Batch)
			return
		}
		var err error
		if m.diskFull {
			err = errors.New("no space left on device")
		} else {
			d.apply(&p.Batch)
			w.onDisk(m, &p.Batch)
		}
		w.whenRunning(m, func() {
			if m.pid != pid || m.node == nil || w.atPoint(m, "written") {
				return
			}
			w.step(m, policy.Persisted{Seq: p.Seq, Err: err})
		})
	})
}

func (w *simulation) onDisk(m *member, b *policy.Batch) {
	for _, id := range policy.StoredChanges(b.Member) {
		w.record(checker.Line{What: checker.OnDisk, Of: m.name, ID: id})
	}
}

// distributeMembers updates the membership views: all members that have ever run, and which of them have left.
func (w *simulation) distributeMembers() {
	var all []policy.MemberInfo
	for _, m := range w.members {
		runID, left := w.departed[m.name]
		switch {
		case left:
			all = append(all, policy.MemberInfo{Name: m.name, RunID: runID, Departed: true})
		case m.pid > 0:
			all = append(all, policy.MemberInfo{Name: m.name, RunID: m.runID})
		}
	}
	viewers := w.members
	if w.options.Viewers > 0 {
		viewers = w.members[:min(w.options.Viewers, len(w.members))]
	}
	for _, m := range viewers {
		if m.node == nil || m.paused {
			continue
		}
		seen := all
		if len(w.links) > 0 { // the view omits members from which all messages are lost
			seen = slices.DeleteFunc(slices.Clone(all), func(x policy.MemberInfo) bool { return w.linkOf(w.byName[x.Name].n, m.n).Drop >= 1 })
		}
		w.step(m, policy.MembersChanged{Members: seen})
	}
	w.schedule(w.now+viewInterval, w.distributeMembers)
}

// applyEvent applies one event of the plan.
func (w *simulation) applyEvent(e plan.Event) {
	switch e.Do {
	case "link":
		w.setLink(e)
		return
	case "heal":
		if len(e.Who) == 0 {
			e.Who, e.Both = firstMembers(len(w.members)), true
		}
		if len(e.To) == 0 {
			e.To = firstMembers(len(w.members))
		}
		e.Link = w.plan.Link
		w.setLink(e)
		return
	}
	for _, n := range e.Who {
		m := w.members[n]
		switch e.Do {
		case "kill":
			w.down(m, "kill")
		case "start":
			w.start(m, e)
		case "term":
			if m.node != nil {
				m.leaving = true
				w.record(checker.Line{What: checker.ShutdownRequested, Of: m.name, PID: m.pid})
				w.schedule(w.now+retryDelay, func() {
					w.departed[m.name] = m.runID
					w.down(m, "term")
				})
			}
		case "pause", "resume":
			if m.node == nil || m.paused == (e.Do == "pause") {
				continue
			}
			m.paused = e.Do == "pause"
			what := checker.Pause
			if !m.paused {
				what = checker.Resume
			}
			w.record(checker.Line{What: what, Of: m.name, PID: m.pid})
			if !m.paused {
				held := m.deferred
				m.deferred = nil
				for _, do := range held {
					do()
				}
				w.step(m)
			}
		case "keep":
			m.savedDisk = m.disk.clone()
		case "disk":
			w.record(checker.Line{What: checker.Disk, Of: m.name, State: e.Kind})
			m.diskFull, m.extraSyncTime = e.Kind == "full", 0
			if e.Kind == "slow" {
				m.extraSyncTime = 500 * time.Millisecond
			}
		case "apply":
			w.propose(m, e)
		case "voters":
			for _, x := range e.To {
				w.step(m, policy.ReplaceVoter{Add: plan.Name(x), Remove: e.Remove})
			}
		case "rescue":
			w.step(m, policy.Rescue{})
		case "trust":
			w.step(m, policy.TrustDisk{})
		}
	}
}

// propose simulates an operator who proposes a change at a member.
func (w *simulation) propose(m *member, e plan.Event) {
	if m.node == nil && w.options.Way == Agreed || m.paused {
		return
	}
	w.changes++
	id := fmt.Sprint("c", w.changes)
	var without []string
	for _, n := range e.To {
		without = append(without, plan.Name(n))
	}
	parts := e.Parts
	if len(parts) == 0 {
		parts = []string{""}
	}
	l := checker.Line{What: checker.Proposed, Of: m.name, ID: id, Why: strings.Join(without, " ")}
	if len(e.Parts) > 0 {
		l.Parts = checker.PartsText(e.Parts)
	}
	w.record(l)
	if w.options.Way != Agreed {
		w.proposeBaseline(m, id)
		return
	}
	body := []byte(fmt.Sprintf("# %s\n%s", id, e.Kind))
	p := policy.Proposal{Excluded: without, Document: policy.Document{ID: id, Body: body, Digest: policy.DigestOf(body), Author: m.name, Reason: "drill", Part: parts[0]}, Base: m.node.ActiveDocument(parts[0]).Number}
	for _, part := range parts[1:] {
		body := []byte(fmt.Sprintf("# %s %s\n%s", id, part, e.Kind))
		p.Document.AdditionalParts = append(p.Document.AdditionalParts, policy.Document{Part: part, Body: body, Digest: policy.DigestOf(body)})
		p.Bases = append(p.Bases, m.node.ActiveDocument(part).Number)
	}
	m.watchedChanges = append(m.watchedChanges, id)
	w.step(m, policy.Propose{Proposal: p})
}

func (w *simulation) setLink(e plan.Event) {
	for _, a := range e.Who {
		for _, b := range e.To {
			if a == b {
				continue
			}
			w.links[[2]int{a, b}] = e.Link
			w.record(checker.Line{What: checker.Link, From: plan.Name(a), To: plan.Name(b), Drop: e.Link.Drop, Impaired: e.Link.IsImpaired()})
			if e.Both {
				w.links[[2]int{b, a}] = e.Link
				w.record(checker.Line{What: checker.Link, From: plan.Name(b), To: plan.Name(a), Drop: e.Link.Drop, Impaired: e.Link.IsImpaired()})
			}
		}
	}
}
