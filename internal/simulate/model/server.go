package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide"
)

// Job holds the data of one attempt that a server needs to process it.
type Job struct {
	ID    string // of the request
	Agent int
	Class int
	Key   string        // idempotency key; empty: none
	Work  time.Duration // on a standard core, this attempt's noise included
	Draw  float64       // random number in [0, 1): the attempt fails if it is below the present error rate
	Sent  time.Duration // when the agent began to send it
}

// The events that Server.Step handles.
type (
	// Dial opens a connection. Conn is a new number.
	Dial struct{ Conn, Agent int }
	// Hangup closes a connection from the agent's side. Work on its requests goes on.
	Hangup struct{ Conn int }
	// Arrive is the arrival of a complete request on a connection.
	Arrive struct {
		Conn int
		Job  Job
	}
	// Wake makes the server perform the actions that are due.
	Wake struct{}
	// DrainNow makes the server finish its requests and reject new ones.
	DrainNow struct{}
	// SetErrors sets the share of requests that fail fast, in addition to the kind's error rate.
	SetErrors struct{ Rate float64 }
	// SetSpeed multiplies the server's speed by Factor.
	SetSpeed struct{ Factor float64 }
)

// ServerEvent is an event that Server.Step handles: Dial, Hangup, Arrive, Wake, DrainNow, SetErrors or SetSpeed.
type ServerEvent interface{ serverEvent() }

func (Dial) serverEvent()      {}
func (Hangup) serverEvent()    {}
func (Arrive) serverEvent()    {}
func (Wake) serverEvent()      {}
func (DrainNow) serverEvent()  {}
func (SetErrors) serverEvent() {}
func (SetSpeed) serverEvent()  {}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The effects of a server.
const (
	Accepted   EffectKind = iota // the connection is established
	Rejected                     // the connection is refused: there are too many
	Replied                      // an answer to Job is sent on Conn, which is still open
	Closed                       // the server closes Conn, which was idle for too long
	Ran                          // Job was executed and has had its effect
	Dropped                      // Job was a repeat of a keyed request and was not executed again
	Overloaded                   // the server was overloaded while cold: its process ends
)

// Effect is one action of a server.
type Effect struct {
	Kind   EffectKind
	Conn   int
	Job    Job
	Result decide.Result // of Replied: OK, Errored or Rejected
	Load   decide.Load   // of Replied, if servers report their load
}

const (
	fastWorkShare = 0.02             // share of a request's work that a fast error or a dropped repeat takes
	fastReplyTime = time.Millisecond // time that a rejection takes
	maxPauseLoad  = 4.0              // held requests per slot above which pauses don't get longer
)

// Server simulates one server process, which starts to run when it is created.
type Server struct {
	Spec    ServerSpec
	kind    *Kind
	rules   *Rules
	report  ReportSpec
	keys    *Keys
	classes []Class
	rng     *rand.Rand

	speed      float64 // of one core of this machine
	factor     float64 // multiplies speed, see SetSpeed
	errors     float64 // additional error rate, see SetErrors
	draining   bool
	overloaded bool

	startedAt time.Duration
	cold      bool // has not reached its full capacity yet
	workDone  float64
	recent    []arrival // work that arrived within the last Rules.FallWindow, while cold
	recentSum float64

	conns    map[int]*serverConn
	backlog  []*waiting // connections that wait to be accepted, oldest first
	queue    []*run
	head     int // of queue
	running  []*run
	pauseAt  time.Duration // the next pause begins
	pausedTo time.Duration // end of the present or latest pause
	replies  []reply       // answers that need no core, in order of time
	sweepAt  time.Duration

	failed               float64 // count of errors, which decays with time
	failedAt             time.Duration
	reported, nextReport decide.Load
	reportedAt           time.Duration
	effects              []Effect
}

type serverConn struct {
	agent         int
	busy          int           // number of requests in progress
	idleSince     time.Duration // start of the idle time
	handshakeWork time.Duration // work of the handshake, added to the first request
}

// waiting is a connection in the backlog, with the requests that have arrived on it.
type waiting struct {
	dial Dial
	jobs []Job
}

type run struct {
	conn            int
	job             Job
	remaining       float64 // work, as time on a standard core
	ends            time.Duration
	dropped, failed bool
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

// NewServer starts a server process at time now. A cold process has to warm up.
func NewServer(spec ServerSpec, s *Scenario, keys *Keys, seed Seed, now time.Duration, cold bool) *Server {
	kind := &s.Kinds[spec.Kind]
	// The speed belongs to the machine, so it is the same after a restart.
	v := &Server{Spec: spec, kind: kind, rules: &s.Rules, report: s.Report, keys: keys, classes: s.Classes,
		rng:   seed.Derive(HashName(spec.Name), uint64(now)).Rand(),
		speed: kind.Speed * seed.Derive(HashName(spec.Name)).logNormal(kind.Spread), factor: 1,
		startedAt: now, cold: cold, conns: map[int]*serverConn{}}
	v.nextReport.Queue, v.nextReport.ErrorsPerSec, v.nextReport.Service, v.reported = 0, 0, -1, v.nextReport
	v.planPause(now)
	return v
}

// Step handles one event and returns its effects; the slice is valid until the next Step.
func (v *Server) Step(now time.Duration, e ServerEvent) []Effect {
	v.effects = v.effects[:0]
	v.advance(now)
	if v.overloaded {
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

// NextWake returns the time of the next action that no event triggers; 0: no action is scheduled.
func (v *Server) NextWake() time.Duration {
	next := time.Duration(0)
	add := func(at time.Duration) {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if v.overloaded {
		return 0
	}
	for _, r := range v.running {
		add(r.ends)
	}
	if len(v.running) > 0 {
		add(v.pauseAt) // an idle server catches up on its pauses when it has work again
	}
	if len(v.replies) > 0 {
		add(v.replies[0].at)
	}
	add(v.sweepAt)
	return next
}

// Held returns the number of requests that run or wait.
func (v *Server) Held() int { return len(v.running) + len(v.queue) - v.head }

// Queue returns the number of requests that wait.
func (v *Server) Queue() int { return len(v.queue) - v.head }

// PendingWork returns the work of all held requests, as time on a standard core, and the work that the server does in
// a unit of time at its present load and progress of warming up.
func (v *Server) PendingWork(now time.Duration) (work, rate float64) {
	each := v.rate(now)
	for _, r := range v.queue[v.head:] {
		work += r.remaining
	}
	for _, r := range v.running {
		work += max(0, float64(r.ends-now)) * each
	}
	return work, each * float64(v.kind.Slots)
}

// Draining reports whether the server finishes its requests and rejects new ones.
func (v *Server) Draining() bool { return v.draining }

// StartedAt returns the time at which the process started; 0: before the scenario.
func (v *Server) StartedAt() time.Duration { return v.startedAt }

// Overloaded reports whether the server was overloaded while cold, which ended its process.
func (v *Server) Overloaded() bool { return v.overloaded }

// Warmth returns the share of its full capacity that the server has reached; 1 for a warm server.
func (v *Server) Warmth(now time.Duration) float64 {
	if !v.cold {
		return 1
	}
	part := float64(now-v.startedAt) / float64(max(v.kind.ColdFor, 1))
	if v.kind.WarmByWork {
		part = max(part, v.workDone/(v.kind.Capacity()*float64(max(v.kind.ColdFor, 1))/2))
	}
	if part >= 1 {
		v.cold, v.recent, v.recentSum = false, nil, 0
		return 1
	}
	return v.kind.ColdShare + (1-v.kind.ColdShare)*part
}

// Pressure returns the work sent to a cold server within the last Rules.FallWindow, as a multiple of the
// work that it can do in that time; 0 for a warm server.
func (v *Server) Pressure(now time.Duration) float64 {
	w := v.Warmth(now)
	if !v.cold {
		return 0
	}
	v.dropOldArrivals(now)
	return v.recentSum / (w * float64(min(v.kind.Cores, v.kind.Slots)) * v.speed * float64(v.rules.FallWindow))
}

// InformedShare returns the share of the recently sent work that came from agents for which informed is true.
func (v *Server) InformedShare(informed func(agent int) bool) float64 {
	part, sum := 0.0, 0.0
	for _, a := range v.recent {
		sum += a.work
		if informed(a.agent) {
			part += a.work
		}
	}
	return part / max(sum, 1)
}

func (v *Server) dropOldArrivals(now time.Duration) {
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
		v.effects = append(v.effects, Effect{Kind: Accepted, Conn: e.Conn}) // the kernel accepts it, the process does not yet
		return
	}
	v.conns[e.Conn] = &serverConn{agent: e.Agent, idleSince: now, handshakeWork: v.kind.Handshake}
	if v.sweepAt == 0 {
		v.sweepAt = now + v.rules.IdleClose
	}
	v.effects = append(v.effects, Effect{Kind: Accepted, Conn: e.Conn})
}

// hangup ends a connection and accepts one from the backlog instead. Requests of the ended connection still run.
func (v *Server) hangup(now time.Duration, conn int) {
	if i := slices.IndexFunc(v.backlog, func(w *waiting) bool { return w.dial.Conn == conn }); i >= 0 {
		v.backlog = slices.Delete(v.backlog, i, i+1)
		return
	}
	delete(v.conns, conn)
	for len(v.backlog) > 0 && len(v.conns) < v.kind.Connections {
		w := v.backlog[0]
		v.backlog = v.backlog[1:]
		v.conns[w.dial.Conn] = &serverConn{agent: w.dial.Agent, idleSince: now, handshakeWork: v.kind.Handshake}
		for _, job := range w.jobs {
			v.arrive(now, Arrive{Conn: w.dial.Conn, Job: job})
		}
	}
}

func (v *Server) arrive(now time.Duration, e Arrive) {
	for _, w := range v.backlog {
		if w.dial.Conn == e.Conn {
			w.jobs = append(w.jobs, e.Job) // kept in the kernel's buffer: the request can't run before its connection is accepted
			return
		}
	}
	c := v.conns[e.Conn]
	if c == nil {
		return // the connection has ended, so the server does not read the request
	}
	c.busy++
	work := float64(e.Job.Work + c.handshakeWork)
	c.handshakeWork = 0
	if v.Warmth(now); v.cold {
		v.recent = append(v.recent, arrival{now, work, e.Job.Agent})
		v.recentSum += work
		if v.rules.FallMultiple > 0 && v.Pressure(now) > v.rules.FallMultiple {
			v.overloaded = true
			v.effects = append(v.effects, Effect{Kind: Overloaded})
			return
		}
	}
	r := &run{conn: e.Conn, job: e.Job, remaining: work}
	switch {
	case v.draining || v.Queue() >= v.kind.Queue && len(v.running) >= v.kind.Slots:
		v.reply(now+fastReplyTime, e.Conn, e.Job, decide.Rejected)
		return
	case e.Job.Draw < v.errors:
		v.reply(now+max(fastReplyTime, time.Duration(fastWorkShare*work/v.speed)), e.Conn, e.Job, decide.Errored)
		return
	case v.keys.Seen(now, v.Spec, &v.classes[e.Job.Class], e.Job):
		r.dropped = true
		r.remaining *= fastWorkShare
	case e.Job.Draw < v.errors+v.kind.ErrorRate:
		r.failed = true
	}
	v.queue = append(v.queue, r)
}

func (v *Server) reply(at time.Duration, conn int, job Job, result decide.Result) {
	i := len(v.replies)
	for i > 0 && v.replies[i-1].at > at {
		i--
	}
	v.replies = append(v.replies, reply{})
	copy(v.replies[i+1:], v.replies[i:])
	v.replies[i] = reply{at, conn, job, result}
}

// rate returns the work that one slot does now in a unit of time.
func (v *Server) rate(now time.Duration) float64 {
	cores := float64(v.kind.Cores)
	excess := max(0, float64(v.Held())/cores-v.kind.ThrashAt)
	each := min(1, cores/float64(v.kind.Slots))
	return v.speed * v.factor * each * v.Warmth(now) / (1 + v.kind.Thrash*excess)
}

// serve starts waiting requests on free slots. A run keeps the rate that it starts with: runs are
// short compared with changes of the rate, except for scripted changes, which call rescale.
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
		r.ends = max(now, v.pausedTo) + time.Duration(r.remaining/v.rate(now)) + 1
	}
}

// rescale changes the speed of the running requests.
func (v *Server) rescale(now time.Duration, factor float64) {
	for _, r := range v.running {
		left := float64(r.ends - max(now, v.pausedTo))
		r.ends = max(now, v.pausedTo) + time.Duration(max(0, left)*v.factor/factor) + 1
	}
	v.factor = factor
}

// advance performs the actions that are due by now, in order of time.
func (v *Server) advance(now time.Duration) {
	for !v.overloaded {
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
			v.sendDueReplies(now)
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
	default: // a failed attempt may have had its effect; here it always has
		v.effects = append(v.effects, Effect{Kind: Ran, Job: r.job})
	}
	result := decide.OK
	if r.failed {
		result = decide.Errored
	}
	v.sendReply(r.ends, r.conn, r.job, result)
}

func (v *Server) sendDueReplies(now time.Duration) {
	for len(v.replies) > 0 && v.replies[0].at <= now {
		q := v.replies[0]
		v.replies = v.replies[1:]
		v.sendReply(q.at, q.conn, q.job, q.result)
	}
}

func (v *Server) sendReply(now time.Duration, conn int, job Job, result decide.Result) {
	if result == decide.Errored {
		v.failed = v.failed*decay(now-v.failedAt) + 1
		v.failedAt = now
	}
	c := v.conns[conn]
	if c == nil {
		return // the connection has ended, so there is no answer
	}
	c.busy--
	c.idleSince = now
	v.effects = append(v.effects, Effect{Kind: Replied, Conn: conn, Job: job, Result: result, Load: v.load(now)})
}

// decay returns the share of a count that is left after time d. A count that decays so covers about one second.
func decay(d time.Duration) float64 {
	if d >= 5*time.Second {
		return 0
	}
	x := 1 - float64(d)/float64(5*time.Second)
	return x * x * x * x * x
}

// load returns the load report of an answer. It is one or two periods old, and noisy.
func (v *Server) load(now time.Duration) decide.Load {
	if !v.report.Answers {
		return decide.Load{}
	}
	if now-v.reportedAt >= v.report.Every {
		noisy := func(x float64) float64 { return max(0, x*(1+v.report.Noise*v.rng.NormFloat64())) }
		v.reported = v.nextReport
		v.nextReport = decide.Load{Valid: true, Queue: noisy(float64(v.Queue())), InFlight: noisy(float64(v.Held())),
			Service: -1, ErrorsPerSec: noisy(v.failed * decay(now-v.failedAt))}
		v.reportedAt = now
	}
	v.reported.Valid = true
	return v.reported
}

// pause delays all work for a time that grows with the number of held requests.
func (v *Server) pause(at time.Duration) {
	load := min(float64(v.Held())/float64(v.kind.Slots), maxPauseLoad)
	length := time.Duration((0.5 + v.rng.Float64()) * float64(v.kind.Pause) * (1 + v.kind.PauseGrow*load))
	v.pausedTo = max(v.pausedTo, at+length)
	for _, r := range v.running {
		r.ends += length
	}
	v.planPause(at)
}

func (v *Server) planPause(now time.Duration) {
	v.pauseAt = 0
	if v.kind.PauseEvery > 0 && v.kind.Pause > 0 {
		v.pauseAt = now + exponential(v.rng, v.kind.PauseEvery) + 1
	}
}

// sweep closes connections that were idle for too long.
func (v *Server) sweep(now time.Duration) {
	if v.sweepAt == 0 || now < v.sweepAt {
		return
	}
	v.sweepAt = 0
	var old []int
	for id, c := range v.conns {
		if c.busy == 0 && now-c.idleSince >= v.rules.IdleClose {
			old = append(old, id)
			continue
		}
		due := now + v.rules.IdleClose
		if c.busy == 0 {
			due = c.idleSince + v.rules.IdleClose
		}
		if v.sweepAt == 0 || due < v.sweepAt {
			v.sweepAt = due
		}
	}
	slices.Sort(old) // the order of a map is random
	for _, id := range old {
		v.hangup(now, id)
		v.effects = append(v.effects, Effect{Kind: Closed, Conn: id})
	}
}

// Keys holds the idempotency keys that servers remember. The servers of one group drop each other's repeats.
type Keys struct {
	seen      map[keyID]time.Duration
	swept     time.Duration
	maxWindow time.Duration
}

type keyID struct {
	class, group int
	key          string
}

// NewKeys returns a store without keys; the classes give the time for which keys are kept.
func NewKeys(classes []Class) *Keys {
	k := &Keys{seen: map[keyID]time.Duration{}}
	for _, c := range classes {
		k.maxWindow = max(k.maxWindow, c.DedupWindow)
	}
	return k
}

// Seen reports whether a server drops this request as a repeat. If not, it remembers the key for
// the deduplication window.
func (k *Keys) Seen(now time.Duration, s ServerSpec, c *Class, j Job) bool {
	if c.Effect != decide.Keyed || j.Key == "" {
		return false
	}
	id := keyID{class: j.Class, key: j.Key}
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
	if now-k.swept > k.maxWindow {
		for id, at := range k.seen {
			if now-at > k.maxWindow {
				delete(k.seen, id)
			}
		}
		k.swept = now
	}
	return false
}
