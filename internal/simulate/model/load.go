package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"vetchhaven/decide"
)

// Task is one request of a client. The client may retry it: each time that it sends the request to its agent is a try,
// and each time that the agent sends it to a server for this try is an attempt.
type Task struct {
	Serial uint64
	At     time.Duration
	Agent  int
	Class  int
	Key    string // idempotency key, for a keyed class; all tries carry it
	Work   time.Duration
	Hint   time.Duration // 0: none
	Heed   bool          // the client obeys Retry-After
}

// Load generates tasks in order of time. They depend only on the scenario and the seed.
type Load struct {
	s       *Scenario
	seed    Seed
	rng     *rand.Rand
	serial  uint64
	now     time.Duration
	cursor  int // position in the timeline
	factor  float64
	heavy   []heavy
	shift   []float64 // by zone
	weights []float64 // cumulative load shares of the agents
}

type heavy struct{ share, factor float64 }

// NewLoad returns a generator that begins at time 0.
func NewLoad(s *Scenario, seed Seed) *Load {
	l := &Load{s: s, seed: seed.Derive(HashName("load")), factor: 1, heavy: make([]heavy, len(s.Classes))}
	l.rng = l.seed.Rand()
	for range max(1, len(s.Zones)) {
		l.shift = append(l.shift, 1)
	}
	l.sumWeights()
	return l
}

// sumWeights computes the cumulative load shares of the agents.
func (l *Load) sumWeights() {
	s, sum := l.s, 0.0
	l.weights = l.weights[:0]
	for i := range s.Agents {
		// Uneven 0 gives equal shares, 1 shares in inverse proportion to the agent's position.
		sum += (1 - s.Uneven + s.Uneven/float64(i+1)) * l.seed.Derive(HashName("traffic"), uint64(i)).logNormal(s.Vary) * l.shift[i%len(l.shift)]
		l.weights = append(l.weights, sum)
	}
}

// Next returns the next task, or false at the end of the scenario.
func (l *Load) Next() (Task, bool) {
	// The integral of the rate up to the next arrival is exponential with mean 1, so a change of the rate
	// between two arrivals is modelled exactly.
	need := l.rng.ExpFloat64()
	for {
		for l.cursor < len(l.s.Timeline) && l.s.Timeline[l.cursor].At <= l.now {
			switch op := l.s.Timeline[l.cursor].What.(type) {
			case Burst:
				l.factor = op.Factor
			case Shift:
				l.shift[op.Zone] = op.Factor
				l.sumWeights()
			case Heavy:
				l.heavy[op.Class] = heavy{op.Share, op.Factor}
			}
			l.cursor++
		}
		until := l.s.Length
		if l.cursor < len(l.s.Timeline) {
			until = min(until, l.s.Timeline[l.cursor].At)
		}
		if l.now >= l.s.Length {
			return Task{}, false
		}
		rate := l.s.Rate * l.factor // per second
		part := rate * (until - l.now).Seconds()
		if part > need {
			l.now += time.Duration(need / rate * float64(time.Second))
			return l.task(), true
		}
		need -= part
		l.now = until
	}
}

func (l *Load) task() Task {
	l.serial++
	c := l.seed.Derive(l.serial)
	t := Task{Serial: l.serial, At: l.now, Heed: c.Derive(1).Float() < l.s.Clients.Heed}
	point := c.Derive(2).Float() * l.weights[len(l.weights)-1]
	for t.Agent < len(l.weights)-1 && l.weights[t.Agent] <= point {
		t.Agent++
	}
	sum := 0.0
	for _, k := range l.s.Classes {
		sum += k.Share
	}
	point = c.Derive(3).Float() * sum
	for t.Class < len(l.s.Classes)-1 && point >= l.s.Classes[t.Class].Share {
		point -= l.s.Classes[t.Class].Share
		t.Class++
	}
	class := &l.s.Classes[t.Class]
	work := float64(class.Work) * c.Derive(4).logNormal(class.Vary)
	if h := l.heavy[t.Class]; c.Derive(5).Float() < h.share {
		work *= h.factor
	}
	t.Work = max(time.Duration(work), 1)
	if class.Hint >= 0 {
		t.Hint = max(time.Duration(work*c.Derive(6).logNormal(class.Hint)), 1)
	}
	if class.Effect == decide.Keyed {
		t.Key = fmt.Sprintf("%016x%08x", uint64(c.Derive(7)), l.serial)
	}
	return t
}

// Attempt returns the work of an attempt and its random draw, which are the same whichever server gets it.
func (t *Task) Attempt(s *Scenario, seed Seed, try, attempt int) (work time.Duration, draw float64) {
	c := seed.Derive(HashName("attempt"), t.Serial, uint64(try), uint64(attempt))
	return max(1, time.Duration(float64(t.Work)*c.Derive(1).logNormal(s.Classes[t.Class].Noise))), c.Derive(2).Float()
}

// Answer is the result of a client's try.
type Answer uint8

// The results of a try.
const (
	Served Answer = iota
	Refused
	Failed
	NoAnswer    // the client stopped waiting
	Unreachable // no connection to the agent
)

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "no answer", "unreachable"}[a]
}

// Client simulates the client of one task.
type Client struct {
	Task Task
	Try  int // the present try, counted from 0
	s    *Scenario
}

// NewClient returns a client at its first try.
func NewClient(s *Scenario, t Task) Client { return Client{Task: t, s: s} }

// ID returns the request ID of the present try.
func (c *Client) ID() string { return fmt.Sprintf("%012x%02x", c.Task.Serial, c.Try) }

// Remaining returns how long the client waits for the present try from now on.
func (c *Client) Remaining(now time.Duration) time.Duration {
	deadline := c.s.Classes[c.Task.Class].Deadline
	left := c.Task.At + deadline - now
	if usual := time.Duration(c.s.Clients.Patience * float64(deadline)); c.Try < c.s.Clients.Tries-1 {
		left = min(left, usual)
	}
	return left
}

// Next reports whether the client retries after an answer, and after which wait. If so, it moves on
// to the next try.
func (c *Client) Next(now time.Duration, a Answer, retryAfter time.Duration) (wait time.Duration, again bool) {
	class := &c.s.Classes[c.Task.Class]
	harmless := a == Refused || a == Unreachable || class.Effect == decide.Idempotent ||
		class.Effect == decide.Keyed && class.Scope == decide.ScopeAll && now-c.Task.At < class.DedupWindow
	if a == Served || c.Try+1 >= c.s.Clients.Tries || !harmless {
		return 0, false
	}
	wait = c.s.Clients.Wait
	if a == Refused && c.Task.Heed {
		wait = max(wait, retryAfter)
	}
	// A retry that can no longer be answered in time is not made.
	if now+wait+10*time.Millisecond >= c.Task.At+class.Deadline {
		return 0, false
	}
	c.Try++
	return wait, true
}

// Worth returns the value earned by serving a task at servedAt, and the task's full value, which it earns if it is
// served within the latency objective.
func (s *Scenario) Worth(t *Task, servedAt time.Duration, served bool) (got, asked float64) {
	c := &s.Classes[t.Class]
	asked = c.Value
	if s.ByWork {
		asked *= float64(t.Work) / float64(time.Second)
	}
	switch late := servedAt - t.At; {
	case !served || late > c.Deadline:
		return 0, asked
	case late <= c.Objective:
		return asked, asked
	}
	return asked * c.LateValue, asked
}

// PeakRate returns the highest rate of first tries per second in the script.
func (s *Scenario) PeakRate() float64 {
	peak := 1.0
	for _, c := range s.Timeline {
		if b, ok := c.What.(Burst); ok {
			peak = math.Max(peak, b.Factor)
		}
	}
	return s.Rate * peak
}
