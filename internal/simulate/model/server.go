package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide"
)

// Job is one attempt as a server sees it.
type Job struct {
	ID    string // of the request
	Agent int
	Class int
	Key   string        // what a repeat is known by; empty: nothing
	Work  time.Duration // on a standard core, this attempt's noise included
	Luck  float64       // in [0, 1): below the present rate of errors it fails
	Sent  time.Duration // when the agent began to send it
}

// What happens to a server.
type (
	// Dial asks for a connection. Conn is new.
	Dial struct{ Conn, Agent int }
	// Hangup ends a connection from the other side. Work that it brought goes on.
	Hangup struct{ Conn int }
	// Arrive brings a request's last byte on a connection.
	Arrive struct {
		Conn int
		Job  Job
	}
	// Wake lets the server do what is due.
	Wake struct{}
	// DrainNow asks it to finish what it has and take nothing new.
	DrainNow struct{}
	// SetErrors sets the share of requests that fail fast, besides the kind's own.
	SetErrors struct{ Rate float64 }
	// SetSpeed makes all work take so many times as fast.
	SetSpeed struct{ Factor float64 }
)

// ServerEvent is one of the above.
type ServerEvent interface{ serverEvent() }

func (Dial) serverEvent()      {}
func (Hangup) serverEvent()    {}
func (Arrive) serverEvent()    {}
func (Wake) serverEvent()      {}
func (DrainNow) serverEvent()  {}
func (SetErrors) serverEvent() {}
func (SetSpeed) serverEvent()  {}

// EffectKind says what an Effect is.
type EffectKind uint8

// What a server does.
const (
	Accepted EffectKind = iota // the connection is up
	Rejected                   // it is not: too many
	Replied                    // an answer to Job goes out on Conn, if that is still there
	Closed                     // Conn stood idle for too long, and ends
	Ran                        // Job's work was done: it has had its effect
	Dropped                    // Job was a repeat: its effect was there, and nothing was done
	Fell                       // pushed over while cold: it is gone for good
)

// Effect is one thing that a server does.
type Effect struct {
	Kind   EffectKind
	Conn   int
	Job    Job
	Result decide.Result // of Replied: OK, Errored or Full
	Load   decide.Load   // of Replied, if servers report
}

const (
	quickWork  = 0.02             // share of its work that a fast error or a dropped repeat takes
	quickReply = time.Millisecond // what saying no takes
	pauseLoad  = 4.0              // held requests a slot past which pauses grow no longer
)

// Server is the model of one server process. It is born running.
type Server struct {
	Spec    ServerSpec
	kind    *Kind
	rules   *Rules
	report  ReportSpec
	keys    *Keys
	classes []Class
	rng     *rand.Rand

	speed    float64 // of a core of this one
	factor   float64
	errors   float64
	draining bool
	fallen   bool

	born      time.Duration
	cold      bool
	workDone  float64
	recent    []arrival // work that came within the last fall window, while cold
	recentSum float64

	conns    map[int]*serverConn
	backlog  []*waiting // connections that wait to be accepted, oldest first
	queue    []*run
	head     int // of queue
	running  []*run
	pauseAt  time.Duration // the next pause begins
	pausedTo time.Duration
	quick    []reply // answers that need no core, in order of time
	sweepAt  time.Duration

	failed     float64 // decayed count of errors
	failedAt   time.Duration
	told, next decide.Load
	toldAt     time.Duration
	effects    []Effect
}

type serverConn struct {
	agent int
	busy  int
	since time.Duration // idle since
	extra time.Duration // work of its handshake, for its first request
}

// waiting is a connection in the backlog, with what has come on it.
type waiting struct {
	dial Dial
	jobs []Job
}

type run struct {
	conn         int
	job          Job
	left         float64 // work, on a standard core
	ends         time.Duration
	dropped, bad bool
}

type reply struct {
	at     time.Duration
	conn   int
	job    Job
	result decide.Result
}

type arrival struct {
	at    time.Duration
	work  float64
	agent int
}

// NewServer starts a server process at a time. A cold one must warm up first.
func NewServer(spec ServerSpec, s *Scenario, keys *Keys, chance Chance, now time.Duration, cold bool) *Server {
	kind := &s.Kinds[spec.Kind]
	// Speed is the machine's, not the process's: the same after a restart.
	v := &Server{Spec: spec, kind: kind, rules: &s.Rules, report: s.Report, keys: keys, classes: s.Classes,
		rng:   chance.Sub(Name(spec.Name), uint64(now)).Rand(),
		speed: kind.Speed * chance.Sub(Name(spec.Name)).around(kind.Spread), factor: 1,
		born: now, cold: cold, conns: map[int]*serverConn{}}
	v.next.Queue, v.next.ErrorsPerSec, v.next.Service, v.told = 0, 0, -1, v.next
	v.plan(now)
	return v
}

// Step takes one event and returns what follows; the slice is good until the next Step.
func (v *Server) Step(now time.Duration, e ServerEvent) []Effect {
	v.effects = v.effects[:0]
	v.advance(now)
	if v.fallen {
		return v.effects
	}
	switch e := e.(type) {
	case Dial:
		v.dial(now, e)
	case Hangup:
		v.hangup(now, e.Conn)
	case Arrive:
		v.arrive(now, e)
	case DrainNow:
		v.draining = true
	case SetErrors:
		v.errors = e.Rate
	case SetSpeed:
		v.rescale(now, max(e.Factor, 1e-6))
	}
	v.serve(now)
	return v.effects
}

// NextWake is when something is due next by itself; 0: nothing is.
func (v *Server) NextWake() time.Duration {
	next := time.Duration(0)
	add := func(at time.Duration) {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if v.fallen {
		return 0
	}
	for _, r := range v.running {
		add(r.ends)
	}
	if len(v.running) > 0 {
		add(v.pauseAt) // an idle one's pauses are made up for when it has work again
	}
	if len(v.quick) > 0 {
		add(v.quick[0].at)
	}
	add(v.sweepAt)
	return next
}

// Held is how many requests it has, in work and waiting.
func (v *Server) Held() int { return len(v.running) + len(v.queue) - v.head }

// Queue is how many requests wait.
func (v *Server) Queue() int { return len(v.queue) - v.head }

// Ahead is the work that it holds, on a standard core, and the work that it does of it in a unit of time as it
// is: cold or warm, crowded or not.
func (v *Server) Ahead(now time.Duration) (work, rate float64) {
	each := v.rate(now)
	for _, r := range v.queue[v.head:] {
		work += r.left
	}
	for _, r := range v.running {
		work += max(0, float64(r.ends-now)) * each
	}
	return work, each * float64(v.kind.Slots)
}

// Draining reports whether it finishes what it has and takes nothing new.
func (v *Server) Draining() bool { return v.draining }

// Born is when the process started; 0: before the scenario.
func (v *Server) Born() time.Duration { return v.born }

// Fallen reports whether it was pushed over.
func (v *Server) Fallen() bool { return v.fallen }

// Warmth is the share of its capacity that it has by now.
func (v *Server) Warmth(now time.Duration) float64 {
	if !v.cold {
		return 1
	}
	part := float64(now-v.born) / float64(max(v.kind.ColdFor, 1))
	if v.kind.WarmByWork {
		part = max(part, v.workDone/(v.kind.Capacity()*float64(max(v.kind.ColdFor, 1))/2))
	}
	if part >= 1 {
		v.cold, v.recent, v.recentSum = false, nil, 0
		return 1
	}
	return v.kind.ColdShare + (1-v.kind.ColdShare)*part
}

// Pressure is the work sent to a cold server in the last fall window, over what it can do in one;
// 0 for a warm one.
func (v *Server) Pressure(now time.Duration) float64 {
	w := v.Warmth(now)
	if !v.cold {
		return 0
	}
	v.forget(now)
	return v.recentSum / (w * float64(min(v.kind.Cores, v.kind.Slots)) * v.speed * float64(v.rules.FallWindow))
}

// Blame is the share of that work which agents sent for which informed holds.
func (v *Server) Blame(informed func(agent int) bool) float64 {
	part, sum := 0.0, 0.0
	for _, a := range v.recent {
		sum += a.work
		if informed(a.agent) {
			part += a.work
		}
	}
	return part / max(sum, 1)
}

func (v *Server) forget(now time.Duration) {
	n := 0
	for n < len(v.recent) && v.recent[n].at <= now-v.rules.FallWindow {
		v.recentSum -= v.recent[n].work
		n++
	}
	v.recent = v.recent[n:]
}

func (v *Server) dial(now time.Duration, e Dial) {
	if len(v.conns) >= v.kind.Connections {
		if len(v.backlog) >= v.kind.Backlog {
			v.effects = append(v.effects, Effect{Kind: Rejected, Conn: e.Conn})
			return
		}
		v.backlog = append(v.backlog, &waiting{dial: e})
		v.effects = append(v.effects, Effect{Kind: Accepted, Conn: e.Conn}) // by its kernel, not by itself
		return
	}
	v.conns[e.Conn] = &serverConn{agent: e.Agent, since: now, extra: v.kind.Handshake}
	if v.sweepAt == 0 {
		v.sweepAt = now + v.rules.IdleClose
	}
	v.effects = append(v.effects, Effect{Kind: Accepted, Conn: e.Conn})
}

// hangup ends a connection. One from the backlog takes its place. What a connection had sent is worked on all the same.
func (v *Server) hangup(now time.Duration, conn int) {
	if i := slices.IndexFunc(v.backlog, func(w *waiting) bool { return w.dial.Conn == conn }); i >= 0 {
		v.backlog = slices.Delete(v.backlog, i, i+1)
		return
	}
	delete(v.conns, conn)
	for len(v.backlog) > 0 && len(v.conns) < v.kind.Connections {
		w := v.backlog[0]
		v.backlog = v.backlog[1:]
		v.conns[w.dial.Conn] = &serverConn{agent: w.dial.Agent, since: now, extra: v.kind.Handshake}
		for _, job := range w.jobs {
			v.arrive(now, Arrive{Conn: w.dial.Conn, Job: job})
		}
	}
}

func (v *Server) arrive(now time.Duration, e Arrive) {
	for _, w := range v.backlog {
		if w.dial.Conn == e.Conn {
			w.jobs = append(w.jobs, e.Job) // in its kernel's buffer: it may have run only once it is accepted
			return
		}
	}
	c := v.conns[e.Conn]
	if c == nil {
		return // its connection has ended: nobody reads this
	}
	c.busy++
	work := float64(e.Job.Work + c.extra)
	c.extra = 0
	if v.Warmth(now); v.cold {
		v.recent = append(v.recent, arrival{now, work, e.Job.Agent})
		v.recentSum += work
		if v.rules.FallMultiple > 0 && v.Pressure(now) > v.rules.FallMultiple {
			v.fallen = true
			v.effects = append(v.effects, Effect{Kind: Fell})
			return
		}
	}
	r := &run{conn: e.Conn, job: e.Job, left: work}
	switch {
	case v.draining || v.Queue() >= v.kind.Queue && len(v.running) >= v.kind.Slots:
		v.reply(now+quickReply, e.Conn, e.Job, decide.Rejected)
		return
	case e.Job.Luck < v.errors:
		v.reply(now+max(quickReply, time.Duration(quickWork*work/v.speed)), e.Conn, e.Job, decide.Errored)
		return
	case v.keys.Seen(now, v.Spec, &v.classes[e.Job.Class], e.Job):
		r.dropped = true
		r.left *= quickWork
	case e.Job.Luck < v.errors+v.kind.ErrorRate:
		r.bad = true
	}
	v.queue = append(v.queue, r)
}

func (v *Server) reply(at time.Duration, conn int, job Job, result decide.Result) {
	i := len(v.quick)
	for i > 0 && v.quick[i-1].at > at {
		i--
	}
	v.quick = append(v.quick, reply{})
	copy(v.quick[i+1:], v.quick[i:])
	v.quick[i] = reply{at, conn, job, result}
}

// rate is the work that one slot does now in a unit of time.
func (v *Server) rate(now time.Duration) float64 {
	cores := float64(v.kind.Cores)
	crowd := max(0, float64(v.Held())/cores-v.kind.ThrashAt)
	each := min(1, cores/float64(v.kind.Slots))
	return v.speed * v.factor * each * v.Warmth(now) / (1 + v.kind.Thrash*crowd)
}

// serve starts what there are free slots for. The rate of a run is that of its start: they are
// short against all that changes it, but for scripted changes, which rescale.
func (v *Server) serve(now time.Duration) {
	for len(v.running) < v.kind.Slots && v.head < len(v.queue) {
		r := v.queue[v.head]
		v.queue[v.head] = nil
		if v.head++; v.head == len(v.queue) {
			v.queue, v.head = v.queue[:0], 0
		} else if v.head > 64 && v.head > len(v.queue)/2 {
			v.queue, v.head = append(v.queue[:0], v.queue[v.head:]...), 0
		}
		v.running = append(v.running, r)
		r.ends = max(now, v.pausedTo) + time.Duration(r.left/v.rate(now)) + 1
	}
}

// rescale changes the speed of what runs.
func (v *Server) rescale(now time.Duration, factor float64) {
	for _, r := range v.running {
		left := float64(r.ends - max(now, v.pausedTo))
		r.ends = max(now, v.pausedTo) + time.Duration(max(0, left)*v.factor/factor) + 1
	}
	v.factor = factor
}

// advance does what was due until now, in order.
func (v *Server) advance(now time.Duration) {
	for !v.fallen {
		next := -1
		for i, r := range v.running {
			if r.ends <= now && (next < 0 || r.ends < v.running[next].ends) {
				next = i
			}
		}
		pause := v.pauseAt > 0 && v.pauseAt <= now && (next < 0 || v.pauseAt < v.running[next].ends)
		switch {
		case pause:
			v.pause(v.pauseAt)
		case next >= 0:
			r := v.running[next]
			v.running = append(v.running[:next], v.running[next+1:]...)
			v.finish(r)
			v.serve(r.ends)
		default:
			v.answer(now)
			v.sweep(now)
			return
		}
	}
}

func (v *Server) finish(r *run) {
	v.workDone += float64(r.job.Work)
	switch {
	case r.dropped:
		v.effects = append(v.effects, Effect{Kind: Dropped, Job: r.job})
	default: // a failed one may have had its effect: this one has
		v.effects = append(v.effects, Effect{Kind: Ran, Job: r.job})
	}
	result := decide.OK
	if r.bad {
		result = decide.Errored
	}
	v.out(r.ends, r.conn, r.job, result)
}

func (v *Server) answer(now time.Duration) {
	for len(v.quick) > 0 && v.quick[0].at <= now {
		q := v.quick[0]
		v.quick = v.quick[1:]
		v.out(q.at, q.conn, q.job, q.result)
	}
}

func (v *Server) out(now time.Duration, conn int, job Job, result decide.Result) {
	if result == decide.Errored {
		v.failed = v.failed*decay(now-v.failedAt) + 1
		v.failedAt = now
	}
	c := v.conns[conn]
	if c == nil {
		return // the client side has gone: the work was done for nobody
	}
	c.busy--
	c.since = now
	v.effects = append(v.effects, Effect{Kind: Replied, Conn: conn, Job: job, Result: result, Load: v.load(now)})
}

// decay is what is left after a time of a count over about a second.
func decay(d time.Duration) float64 {
	if d >= 5*time.Second {
		return 0
	}
	x := 1 - float64(d)/float64(5*time.Second)
	return x * x * x * x * x
}

// load is the report that goes with an answer: that of one or two periods ago, with noise.
func (v *Server) load(now time.Duration) decide.Load {
	if !v.report.Answers {
		return decide.Load{}
	}
	if now-v.toldAt >= v.report.Every {
		noisy := func(x float64) float64 { return max(0, x*(1+v.report.Noise*v.rng.NormFloat64())) }
		v.told = v.next
		v.next = decide.Load{Valid: true, Queue: noisy(float64(v.Queue())), InFlight: noisy(float64(v.Held())),
			Service: -1, ErrorsPerSec: noisy(v.failed * decay(now-v.failedAt))}
		v.toldAt = now
	}
	v.told.Valid = true
	return v.told
}

// pause holds all work for a while, longer the more is held.
func (v *Server) pause(at time.Duration) {
	load := min(float64(v.Held())/float64(v.kind.Slots), pauseLoad)
	length := time.Duration((0.5 + v.rng.Float64()) * float64(v.kind.Pause) * (1 + v.kind.PauseGrow*load))
	v.pausedTo = max(v.pausedTo, at+length)
	for _, r := range v.running {
		r.ends += length
	}
	v.plan(at)
}

func (v *Server) plan(now time.Duration) {
	v.pauseAt = 0
	if v.kind.PauseEvery > 0 && v.kind.Pause > 0 {
		v.pauseAt = now + exponential(v.rng, v.kind.PauseEvery) + 1
	}
}

// sweep closes connections that have stood idle for too long.
func (v *Server) sweep(now time.Duration) {
	if v.sweepAt == 0 || now < v.sweepAt {
		return
	}
	v.sweepAt = 0
	var old []int
	for id, c := range v.conns {
		if c.busy == 0 && now-c.since >= v.rules.IdleClose {
			old = append(old, id)
			continue
		}
		due := now + v.rules.IdleClose
		if c.busy == 0 {
			due = c.since + v.rules.IdleClose
		}
		if v.sweepAt == 0 || due < v.sweepAt {
			v.sweepAt = due
		}
	}
	slices.Sort(old) // a map has no order
	for _, id := range old {
		v.hangup(now, id)
		v.effects = append(v.effects, Effect{Kind: Closed, Conn: id})
	}
}

// Keys is what servers remember of keyed requests: those of one group drop each other's repeats.
type Keys struct {
	seen  map[keyOf]time.Duration
	swept time.Duration
	most  time.Duration
}

type keyOf struct {
	class, group int
	key          string
}

// NewKeys remembers for as long as the classes say.
func NewKeys(classes []Class) *Keys {
	k := &Keys{seen: map[keyOf]time.Duration{}}
	for _, c := range classes {
		k.most = max(k.most, c.DedupWindow)
	}
	return k
}

// Seen reports whether a server drops this request as a repeat, and remembers it if not: for the
// window from its first arrival.
func (k *Keys) Seen(now time.Duration, s ServerSpec, c *Class, j Job) bool {
	if c.Effect != decide.Keyed || j.Key == "" {
		return false
	}
	id := keyOf{class: j.Class, key: j.Key}
	switch c.Scope {
	case decide.ScopeZone:
		id.group = s.Zone
	case decide.ScopeCell:
		id.group = s.Pod
	}
	if at, ok := k.seen[id]; ok && now-at < c.DedupWindow {
		return true
	}
	k.seen[id] = now
	if now-k.swept > k.most {
		for id, at := range k.seen {
			if now-at > k.most {
				delete(k.seen, id)
			}
		}
		k.swept = now
	}
	return false
}
