// Package policymodel plays a fleet that agrees on its policy, in virtual time: the modules that daemons run, and models of the
// links between them, their disks, clocks, pauses and ends. Each member takes requests all the time, by what it was last
// told to serve by, and the judge reads by which policy each was taken. The same seed gives the same lines.
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

// Options say how to play.
type Options struct {
	Seed    uint64
	Take    time.Duration                            // between two requests of a member, in the mean; default 20 ms
	Check   func(member int, body []byte) error      // nil: every policy does
	Witness bool                                     // a process that is started again proves that its disk is as it was
	Rates   float64                                  // rates of clocks differ by up to so much each way; default 1%
	Rate    func(member int) float64                 // a member's; nil: by chance
	Kill    []int                                    // ends whoever acts at these points, once each; see Result.Points
	Back    time.Duration                            // and starts it again so long after; default 1.5 s
	Lose    []int                                    // messages sent at these points are lost
	From    time.Duration                            // points are counted from then on
	Say     func(at time.Duration, who, text string) // nil: nobody
	Point   func(n int, at time.Duration, who, what string)
	// Way replaces the policy's own protocol, for baselines: see ways.go.
	Way Way
	// What measurements want besides; nil: nothing.
	Size    func(from int, m *policy.Message) int                          // bytes of a message on its way; nil: an estimate
	Around  func(now time.Duration, member int, step func())               // runs each step of a member's module
	Since   time.Duration                                                  // traffic is counted from then on
	Serves  func(at time.Duration, member int, part string, number uint64) // a member serves by a part's text, or (0: by its file) again
	Streams int                                                            // a member has so many open towards others, and sends nothing more on one; 0: any number
	Viewers int                                                            // only so many members are told what the view knows; 0: all
	Delay   func(from, to int) time.Duration                               // more on a way between two members
	Cut     func(now time.Duration, from, to int) (nothing bool)           // nothing gets through
}

// Way is by which means a change is brought to all.
type Way uint8

// The ways that are compared.
const (
	Agreed   Way = iota // the policy's own protocol: everywhere or nowhere
	OneByOne            // a file on each host, reloaded one after the other
	Gossip              // the newest that anyone has, told round
)

// Result is what happened.
type Result struct {
	Lines    []checker.Line
	Points   int // at which somebody wrote to a disk or sent or took a message
	Messages int
	Bytes    int
	Persists int
	Shown    []policy.Status // in the end, by member
	Refused  int             // requests turned away for the policy
	Taken    int
	Traffic  []Traffic // by member
	Disks    []int     // bytes on each member's disk in the end
}

// Traffic is what a member sent and was sent, itself apart.
type Traffic struct{ MessagesOut, MessagesIn, BytesOut, BytesIn int }

const (
	base     = 300 * time.Microsecond // one way
	more     = 700 * time.Microsecond
	syncLow  = time.Millisecond // a write that is on the disk
	syncMore = 4 * time.Millisecond
	applying = 5 * time.Millisecond // a daemon's instances change over within it
	again    = 200 * time.Millisecond
	patience = 5 * time.Second // of operators whose daemon has ended
	viewing  = 250 * time.Millisecond
	streams  = 3 * time.Second
	atOnce   = 12e6 // bytes a second of a stream
	// messages a second of each member; with a change a second and losses it is 100
	stormMost = 500
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

// put is what a batch does to it.
func (d *disk) put(b *policy.Batch) {
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
	n       int
	name    string
	node    *policy.Node
	pid     int
	life    uint64
	paused  bool
	held    []func() // what came while it was paused
	began   time.Duration
	clock   time.Duration // at began, by its own clock
	rate    float64
	wake    time.Duration
	disk    *disk
	old     *disk
	full    bool
	slow    time.Duration
	queue   time.Duration // its disk is busy until then
	torn    int           // a write of this process was lost at its end
	serving policy.Serving
	told    uint64 // of what it was told to serve by
	left    bool
	streams int      // that it has open towards others
	ids     []string // changes that its operators watch
	parts   []string // of the policy, that it holds besides what holds for all
}

type world struct {
	o       Options
	p       *plan.Plan
	now     time.Duration
	rng     *mathrand.Rand
	agenda  eventqueue.Queue
	all     []*member
	byName  map[string]*member
	links   map[[2]int]plan.Link
	lines   []checker.Line
	r       Result
	pids    int
	changes int
	kill    []int
	gone    map[string]uint64 // who left: its last life
	simple  simple
}

// zeros is all the chance that Raft gets: its own would be another in each run. It has what it needs of it from the
// seed: see policy's election ticks.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

var playing struct {
	sync.Mutex
	n   int
	was io.Reader
}

func steady() (end func()) {
	playing.Lock()
	defer playing.Unlock()
	if playing.n++; playing.n == 1 {
		playing.was, rand.Reader = rand.Reader, zeros{}
	}
	return func() {
		playing.Lock()
		defer playing.Unlock()
		if playing.n--; playing.n == 0 {
			rand.Reader = playing.was
		}
	}
}

// Play plays a plan to its end.
func Play(p *plan.Plan, o Options) (*Result, error) {
	if p.Policy == nil {
		return nil, fmt.Errorf("%s: it has no [policy]", p.Name)
	}
	if p.Real {
		return nil, fmt.Errorf("%s: it has handovers, strays, limits or the like, which need real processes", p.Name)
	}
	defer steady()()
	o.Take, o.Rates, o.Back = cmp.Or(o.Take, 20*time.Millisecond), cmp.Or(o.Rates, 0.01), cmp.Or(o.Back, 1500*time.Millisecond)
	w := &world{o: o, p: p, rng: mathrand.New(mathrand.NewPCG(o.Seed, 71)), byName: map[string]*member{}, links: map[[2]int]plan.Link{}, kill: slices.Clone(o.Kill), gone: map[string]uint64{}}
	w.r.Traffic = make([]Traffic, p.Daemons)
	set := p.Policy
	back := policy.Settings{Lease: set.Lease, ClockDrift: policy.DefaultClockDrift}
	w.line(checker.Line{What: checker.Agreed, Hard: set.Stops, PauseMS: back.LeaseExpiry().Milliseconds() + 1, Why: strings.Join(w.voters(), " "), Parts: w.later()})
	for n := range p.Daemons {
		m := &member{n: n, name: plan.Name(n), disk: &disk{entries: map[uint64][]byte{}}, wake: -1}
		w.all = append(w.all, m)
		w.byName[m.name] = m
	}
	if p.Link.Drop > 0 || p.Link != (plan.Link{}) {
		w.link(plan.Event{Who: everyone(p.Daemons), To: everyone(p.Daemons), Both: true, Link: p.Link})
	}
	for n := range p.Daemons {
		if p.First(n) {
			w.at(time.Duration(w.rng.Float64()*float64(p.Spread)), func() { w.start(w.all[n], plan.Event{State: "kept"}) })
		}
	}
	for _, e := range p.Events {
		w.at(e.At, func() { w.befall(e) })
	}
	w.at(viewing, w.view)
	for at, do, ok := w.agenda.Next(p.Length); ok; at, do, ok = w.agenda.Next(p.Length) {
		w.now = at
		if do(); w.r.Messages > 50_000+stormMost*p.Daemons*(1+int(w.now/time.Second)) {
			return nil, fmt.Errorf("%s, seed %d: %d messages by %v: a storm", p.Name, o.Seed, w.r.Messages, w.now)
		}
	}
	w.now = p.Length
	w.line(checker.Line{What: checker.End})
	w.r.Lines = w.lines
	for _, m := range w.all {
		w.r.Disks = append(w.r.Disks, m.disk.size())
		var s policy.Status
		if m.node != nil {
			s = m.node.Status()
		}
		w.r.Shown = append(w.r.Shown, s)
	}
	return &w.r, nil
}

func everyone(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func (w *world) voters() []string {
	var all []string
	for _, n := range w.p.Policy.Voters {
		all = append(all, plan.Name(n))
	}
	return all
}

// later are members that may vote later.
func (w *world) later() string {
	var all []string
	for _, e := range w.p.Events {
		if e.Do == "voters" {
			for _, x := range e.To {
				all = append(all, plan.Name(x))
			}
		}
	}
	return strings.Join(all, " ")
}

func (w *world) at(t time.Duration, do func()) { w.agenda.At(max(t, w.now), do) }

func (w *world) line(l checker.Line) {
	l.T, l.By = int64(w.now), checker.FaultTest
	w.lines = append(w.lines, l)
}

// point is passed by whoever acts. It reports whether that one ends here.
func (w *world) point(m *member, what string) bool {
	if w.now < w.o.From || m.node == nil {
		return false
	}
	w.r.Points++
	if w.o.Point != nil {
		w.o.Point(w.r.Points, w.now, m.name, what)
	}
	if i := slices.Index(w.kill, w.r.Points); i >= 0 {
		w.kill = slices.Delete(w.kill, i, i+1)
		w.down(m, "kill")
		w.at(w.now+w.o.Back, func() { w.start(m, plan.Event{State: "kept"}) })
		return true
	}
	return false
}

// own is a moment by a member's own clock, and real the other way round.
func (m *member) own(t time.Duration) time.Duration {
	return m.clock + time.Duration(float64(t-m.began)*(1+m.rate))
}

func (m *member) real(own time.Duration) time.Duration {
	if own >= policy.Never/2 {
		return policy.Never / 2
	}
	return m.began + time.Duration(float64(own-m.clock)/(1+m.rate)) + 1
}

func (w *world) start(m *member, e plan.Event) {
	if m.node != nil {
		return
	}
	proved := w.o.Witness && m.pid > 0
	switch e.State {
	case "none", "torn":
		m.disk, proved = &disk{entries: map[uint64][]byte{}}, false
	case "old":
		proved = false
		if m.old != nil {
			m.disk = m.old.clone()
		}
	}
	w.pids++
	m.pid, m.paused, m.left, m.held = w.pids, false, false, nil
	m.began, m.clock, m.rate = w.now, time.Hour+time.Duration(w.rng.Float64()*float64(time.Hour)), (2*w.rng.Float64()-1)*w.o.Rates
	if w.o.Rate != nil {
		m.rate = w.o.Rate(m.n)
	}
	m.life, m.queue, m.streams, m.serving, m.told = w.rng.Uint64()|1, 0, 0, policy.Serving{Blocked: "just started"}, m.told+1
	delete(w.gone, m.name)
	w.line(checker.Line{What: checker.Up, Of: m.name, PID: m.pid})
	if w.o.Way != Agreed {
		w.simpleStart(m)
		return
	}
	set := w.p.Policy
	if m.parts = set.Of(m.n); len(m.parts) > 0 {
		w.line(checker.Line{What: checker.Holds, Of: m.name, PID: m.pid, Parts: strings.Join(m.parts, " ")})
	}
	d := m.disk.load()
	d.ProvenCurrent = proved
	s := policy.Settings{Name: m.name, RunID: m.life, Voters: w.voters(), StopWhenIsolated: set.Stops, ServeLastKnown: set.Last, Lease: set.Lease, PrepareTimeout: set.Within, Parts: m.parts}
	if w.o.Check != nil {
		s.Check = func(all []policy.Document) error {
			for _, d := range all {
				if err := w.o.Check(m.n, d.Body); err != nil {
					return err
				}
			}
			return nil
		}
	}
	node, err := policy.New(s, d, w.rng.Uint64())
	if err != nil { // such as a member's part that makes no sense: it serves by its file, and takes no part
		if w.o.Say != nil {
			w.o.Say(w.now, m.name, err.Error())
		}
		return
	}
	m.node = node
	pid := m.pid
	for _, id := range m.ids {
		w.at(w.now+again, func() {
			if m.pid == pid {
				w.step(m, policy.WatchChange{ID: id})
			}
		})
		w.giveUp(m, pid, id)
	}
	w.step(m, policy.NameOwnership{Exclusive: true})
	w.takes(m, pid)
}

// giveUp has the operators of a daemon that has ended drop a change of which nobody has heard since, again and again.
func (w *world) giveUp(m *member, pid int, id string) {
	w.at(w.now+patience, func() {
		if m.pid != pid || m.node == nil || !slices.Contains(m.ids, id) {
			return
		}
		if m.node.ChangeStatus(id).State == policy.ChangeUnknown && !m.paused {
			w.step(m, policy.Propose{Proposal: policy.Proposal{AbortID: id, Document: policy.Document{Author: m.name, Reason: "given up"}}})
		}
		w.giveUp(m, pid, id)
	})
}

func (w *world) down(m *member, why string) {
	if m.node == nil && w.o.Way == Agreed || m.pid == 0 {
		return
	}
	w.line(checker.Line{What: checker.Down, Of: m.name, PID: m.pid, Why: why})
	m.node, m.paused, m.held, m.wake = nil, false, nil, -1
	m.serving = policy.Serving{Blocked: "down"}
	m.told++
}

// step steps a member, and does what it wants done.
func (w *world) step(m *member, events ...policy.Event) {
	if m.node == nil {
		return
	}
	node, pid := m.node, m.pid
	var actions []policy.Action
	step := func() { actions = node.Step(m.own(w.now), events...) }
	if w.o.Around != nil {
		w.o.Around(w.now, m.n, step)
	} else {
		step()
	}
	for _, a := range actions {
		if m.pid != pid || m.node == nil {
			return // it ended meanwhile
		}
		switch a := a.(type) {
		case policy.Send:
			if w.point(m, "send") {
				return
			}
			if slices.Contains(w.o.Lose, w.r.Points) && w.now >= w.o.From {
				continue
			}
			w.send(m, a)
		case policy.Persist:
			if w.point(m, "write") {
				return
			}
			w.persist(m, a)
		case policy.ServingChanged:
			w.serve(m, a.Serving)
		case policy.Log:
			if w.o.Say != nil {
				w.o.Say(w.now, m.name, a.Text)
			}
		}
	}
	w.look(m)
	if at := m.real(node.Next()); at != m.wake {
		m.wake = at
		w.at(at, func() {
			if m.pid == pid && m.node == node && m.wake == at {
				m.wake = -1
				w.act(m, func() { w.step(m) })
			}
		})
	}
}

// act has a member do something now, or once it is no longer paused.
func (w *world) act(m *member, do func()) {
	if m.paused {
		m.held = append(m.held, do)
		return
	}
	do()
}

// look sees what the operators at a member are told.
func (w *world) look(m *member) {
	m.ids = slices.DeleteFunc(m.ids, func(id string) bool {
		f := m.node.ChangeStatus(id)
		if f.State < policy.ChangeCommitted {
			return false
		}
		why := f.Reason
		if f.AbortedBy != "" {
			why = f.AbortedBy + ": " + why
		}
		w.line(checker.Line{What: checker.AuthorNotified, Of: m.name, ID: id, State: f.State.String(), Number: f.Number, Why: why})
		return true
	})
}

// serve has a member's instances serve by something else, soon; a lease that is longer or over, at once.
func (w *world) serve(m *member, s policy.Serving) {
	m.told++
	if m.serving.Document != nil && s.Document.ID == m.serving.Document.ID && s.Fingerprint() == m.serving.Fingerprint() || s.Blocked != "" {
		w.serves(m, &m.serving, &s)
		m.serving = s
		return
	}
	told, pid := m.told, m.pid
	w.at(w.now+time.Duration(w.rng.Float64()*float64(applying)), func() {
		if m.pid == pid && m.told == told {
			w.serves(m, &m.serving, &s)
			m.serving = s
		}
	})
	if m.serving.Document != nil { // until then by the lease that it has, and by the parts that both words have
		m.serving.Until = min(m.serving.Until, s.Until)
		m.serving.ServedParts = slices.DeleteFunc(slices.Clone(m.serving.ServedParts), func(p string) bool { return !slices.Contains(s.ServedParts, p) })
	}
}

// serves tells who measures by which texts a member serves that it did not before.
func (w *world) serves(m *member, was, now *policy.Serving) {
	if w.o.Serves == nil || now.Blocked != "" {
		return
	}
	for _, part := range append([]string{""}, m.parts...) {
		d, held := now.Lookup(part)
		before, had := was.Lookup(part)
		if held && (was.Blocked != "" || !had || before == nil || before.Number != d.Number) {
			w.o.Serves(w.now, m.n, part, d.Number)
		}
	}
}

// takes has a member take requests, from now on.
func (w *world) takes(m *member, pid int) {
	w.at(w.now+time.Duration(w.rng.ExpFloat64()*float64(w.o.Take)), func() {
		if m.pid != pid || m.node == nil && w.o.Way == Agreed {
			return
		}
		w.takes(m, pid)
		if m.paused || m.left {
			return
		}
		s, part := &m.serving, ""
		if len(m.parts) > 0 { // a request is one of a service, or goes by what holds for all alone
			part = append([]string{""}, m.parts...)[w.rng.IntN(1+len(m.parts))]
		}
		d, held := s.Lookup(part)
		if s.Blocked != "" || d == nil || !held || m.own(w.now) >= s.Until {
			w.r.Refused++
			w.line(checker.Line{What: checker.PolicyRejected, Of: m.name, PID: m.pid, Why: s.Blocked, Part: part})
			return
		}
		w.r.Taken++
		l := checker.Line{What: checker.Took, Of: m.name, PID: m.pid, Number: d.Number, ID: d.ID, Alone: s.Standalone, Part: part}
		if b := s.PreparingChange(part); b != nil {
			l.Both = b.ID
		}
		w.line(l)
	})
}

func (w *world) linkOf(a, b int) plan.Link { return w.links[[2]int{a, b}] }

// send brings a message to a member, or not.
func (w *world) send(m *member, s policy.Send) {
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
	if w.o.Size != nil {
		size = w.o.Size(m.n, s.Message)
	}
	from := m.name
	deliver := func() {
		pid := to.pid
		if to != m && w.now >= w.o.Since {
			w.r.Traffic[to.n].MessagesIn++
			w.r.Traffic[to.n].BytesIn += size
		}
		w.act(to, func() {
			if to.node == nil || to.pid != pid || w.point(to, "take") {
				return
			}
			w.step(to, policy.Received{From: from, Message: s.Message})
		})
	}
	w.r.Messages++
	w.r.Bytes += size
	if to == m {
		w.at(w.now, deliver)
		return
	}
	stream := s.Message.Large()
	if stream && w.o.Streams > 0 && m.streams >= w.o.Streams {
		return
	}
	if w.now >= w.o.Since {
		w.r.Traffic[m.n].MessagesOut++
		w.r.Traffic[m.n].BytesOut += size
	}
	if w.o.Cut != nil && w.o.Cut(w.now, m.n, to.n) {
		if stream {
			w.opens(m, streams)
		}
		return
	}
	l := w.linkOf(m.n, to.n)
	if w.o.Delay != nil {
		l.Delay += w.o.Delay(m.n, to.n)
	}
	way := func() time.Duration {
		return base + time.Duration(w.rng.Float64()*float64(more)) + l.Delay + time.Duration(w.rng.Float64()*float64(l.Jitter))
	}
	if !stream {
		for range 1 + w.chance(l.Duplicate) {
			if w.rng.Float64() >= l.Drop {
				d := way()
				if w.rng.Float64() < l.Reorder {
					d += time.Duration(w.rng.Float64() * float64(50*time.Millisecond))
				}
				w.at(w.now+d, deliver)
			}
		}
		return
	}
	// A stream: three ways, and what is lost comes again.
	r := w.linkOf(to.n, m.n)
	if l.Drop >= 1 || r.Drop >= 1 {
		w.opens(m, streams)
		return
	}
	d := time.Duration(float64(size) / atOnce * float64(time.Second))
	for range 3 {
		d += way()
		for w.rng.Float64() < max(l.Drop, r.Drop) {
			d += again
		}
	}
	w.opens(m, min(d, streams))
	if d < streams {
		w.at(w.now+d, deliver)
	}
}

// opens has a member have one stream more open for a while, where they are counted.
func (w *world) opens(m *member, d time.Duration) {
	if w.o.Streams == 0 {
		return
	}
	m.streams++
	pid := m.pid
	w.at(w.now+d, func() {
		if m.pid == pid {
			m.streams--
		}
	})
}

func (w *world) chance(share float64) int {
	if share > 0 && w.rng.Float64() < share {
		return 1
	}
	return 0
}

// persist puts something on a member's disk, after what it is busy with.
func (w *world) persist(m *member, p policy.Persist) {
	w.r.Persists++
	pid, d := m.pid, m.disk
	m.queue = max(m.queue, w.now) + syncLow + time.Duration(w.rng.Float64()*float64(syncMore)) + m.slow
	w.at(m.queue, func() {
		if m.pid != pid || m.node == nil { // it ended: it may be there or not, and nothing after one that is not
			if m.disk != d || m.node != nil || m.torn == pid || m.full || w.rng.IntN(2) == 0 {
				m.torn = pid
				return
			}
			d.put(&p.Batch)
			w.onDisk(m, &p.Batch)
			return
		}
		var err error
		if m.full {
			err = errors.New("no space left on device")
		} else {
			d.put(&p.Batch)
			w.onDisk(m, &p.Batch)
		}
		w.act(m, func() {
			if m.pid != pid || m.node == nil || w.point(m, "written") {
				return
			}
			w.step(m, policy.Persisted{Seq: p.Seq, Err: err})
		})
	})
}

func (w *world) onDisk(m *member, b *policy.Batch) {
	for _, id := range policy.StoredChanges(b.Member) {
		w.line(checker.Line{What: checker.OnDisk, Of: m.name, ID: id})
	}
}

// view tells all who has left.
func (w *world) view() {
	var all []policy.MemberInfo
	for _, m := range w.all {
		life, left := w.gone[m.name]
		switch {
		case left:
			all = append(all, policy.MemberInfo{Name: m.name, RunID: life, Departed: true})
		case m.pid > 0:
			all = append(all, policy.MemberInfo{Name: m.name, RunID: m.life})
		}
	}
	viewers := w.all
	if w.o.Viewers > 0 {
		viewers = w.all[:min(w.o.Viewers, len(w.all))]
	}
	for _, m := range viewers {
		if m.node == nil || m.paused {
			continue
		}
		seen := all
		if len(w.links) > 0 { // what it can't hear it does not know
			seen = slices.DeleteFunc(slices.Clone(all), func(x policy.MemberInfo) bool { return w.linkOf(w.byName[x.Name].n, m.n).Drop >= 1 })
		}
		w.step(m, policy.MembersChanged{Members: seen})
	}
	w.at(w.now+viewing, w.view)
}

// befall does one event.
func (w *world) befall(e plan.Event) {
	switch e.Do {
	case "link":
		w.link(e)
		return
	case "heal":
		if len(e.Who) == 0 {
			e.Who, e.Both = everyone(len(w.all)), true
		}
		if len(e.To) == 0 {
			e.To = everyone(len(w.all))
		}
		e.Link = w.p.Link
		w.link(e)
		return
	}
	for _, n := range e.Who {
		m := w.all[n]
		switch e.Do {
		case "kill":
			w.down(m, "kill")
		case "start":
			w.start(m, e)
		case "term":
			if m.node != nil {
				m.left = true
				w.line(checker.Line{What: checker.Ending, Of: m.name, PID: m.pid})
				w.at(w.now+again, func() {
					w.gone[m.name] = m.life
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
			w.line(checker.Line{What: what, Of: m.name, PID: m.pid})
			if !m.paused {
				held := m.held
				m.held = nil
				for _, do := range held {
					do()
				}
				w.step(m)
			}
		case "keep":
			m.old = m.disk.clone()
		case "disk":
			w.line(checker.Line{What: checker.Disk, Of: m.name, State: e.Kind})
			m.full, m.slow = e.Kind == "full", 0
			if e.Kind == "slow" {
				m.slow = 500 * time.Millisecond
			}
		case "apply":
			w.apply(m, e)
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

// apply has a member's operator ask for a change.
func (w *world) apply(m *member, e plan.Event) {
	if m.node == nil && w.o.Way == Agreed || m.paused {
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
	w.line(l)
	if w.o.Way != Agreed {
		w.simpleApply(m, id)
		return
	}
	body := []byte(fmt.Sprintf("# %s\n%s", id, e.Kind))
	p := policy.Proposal{Excluded: without, Document: policy.Document{ID: id, Body: body, Digest: policy.DigestOf(body), Author: m.name, Reason: "drill", Part: parts[0]}, Base: m.node.ActiveDocument(parts[0]).Number}
	for _, part := range parts[1:] {
		body := []byte(fmt.Sprintf("# %s %s\n%s", id, part, e.Kind))
		p.Document.AdditionalParts = append(p.Document.AdditionalParts, policy.Document{Part: part, Body: body, Digest: policy.DigestOf(body)})
		p.Bases = append(p.Bases, m.node.ActiveDocument(part).Number)
	}
	m.ids = append(m.ids, id)
	w.step(m, policy.Propose{Proposal: p})
}

func (w *world) link(e plan.Event) {
	for _, a := range e.Who {
		for _, b := range e.To {
			if a == b {
				continue
			}
			w.links[[2]int{a, b}] = e.Link
			w.line(checker.Line{What: checker.Link, From: plan.Name(a), To: plan.Name(b), Drop: e.Link.Drop, Rough: e.Link.Rough()})
			if e.Both {
				w.links[[2]int{b, a}] = e.Link
				w.line(checker.Line{What: checker.Link, From: plan.Name(b), To: plan.Name(a), Drop: e.Link.Drop, Rough: e.Link.Rough()})
			}
		}
	}
}
