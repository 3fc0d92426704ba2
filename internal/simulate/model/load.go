package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"vetchhaven/decide"
)

// Task is what a client wants: one request, with all its tries.
type Task struct {
	Serial uint64
	At     time.Duration
	Agent  int
	Class  int
	Key    string // for a keyed class; all tries carry it
	Work   time.Duration
	Hint   time.Duration // 0: none
	Heed   bool          // the client waits as long as a refusal says
}

// Load draws tasks in order of time. They depend on the scenario and the seed alone.
type Load struct {
	s       *Scenario
	chance  Chance
	rng     *rand.Rand
	serial  uint64
	now     time.Duration
	cursor  int // of the timeline
	factor  float64
	heavy   []heavy
	shift   []float64 // by zone
	weights []float64 // of agents, summed up
}

type heavy struct{ share, factor float64 }

// NewLoad begins at time 0.
func NewLoad(s *Scenario, chance Chance) *Load {
	l := &Load{s: s, chance: chance.Sub(Name("load")), factor: 1, heavy: make([]heavy, len(s.Classes))}
	l.rng = l.chance.Rand()
	for range max(1, len(s.Zones)) {
		l.shift = append(l.shift, 1)
	}
	l.weigh()
	return l
}

// weigh sums up the agents' parts of the load.
func (l *Load) weigh() {
	s, sum := l.s, 0.0
	l.weights = l.weights[:0]
	for i := range s.Agents {
		// From even to inversely as the agent's place.
		sum += (1 - s.Uneven + s.Uneven/float64(i+1)) * l.chance.Sub(Name("traffic"), uint64(i)).around(s.Vary) * l.shift[i%len(l.shift)]
		l.weights = append(l.weights, sum)
	}
}

// Next is the next task, or false when the scenario's length is over.
func (l *Load) Next() (Task, bool) {
	// A unit-mean exponential of the rate's integral: a change of the rate midway is met exactly.
	need := l.rng.ExpFloat64()
	for {
		for l.cursor < len(l.s.Timeline) && l.s.Timeline[l.cursor].At <= l.now {
			switch op := l.s.Timeline[l.cursor].What.(type) {
			case Burst:
				l.factor = op.Factor
			case Shift:
				l.shift[op.Zone] = op.Factor
				l.weigh()
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
		rate := l.s.Rate * l.factor // a second
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
	c := l.chance.Sub(l.serial)
	t := Task{Serial: l.serial, At: l.now, Heed: c.Sub(1).Float() < l.s.Clients.Heed}
	point := c.Sub(2).Float() * l.weights[len(l.weights)-1]
	for t.Agent < len(l.weights)-1 && l.weights[t.Agent] <= point {
		t.Agent++
	}
	sum := 0.0
	for _, k := range l.s.Classes {
		sum += k.Share
	}
	point = c.Sub(3).Float() * sum
	for t.Class < len(l.s.Classes)-1 && point >= l.s.Classes[t.Class].Share {
		point -= l.s.Classes[t.Class].Share
		t.Class++
	}
	class := &l.s.Classes[t.Class]
	work := float64(class.Work) * c.Sub(4).around(class.Vary)
	if h := l.heavy[t.Class]; c.Sub(5).Float() < h.share {
		work *= h.factor
	}
	t.Work = max(time.Duration(work), 1)
	if class.Hint >= 0 {
		t.Hint = max(time.Duration(work*c.Sub(6).around(class.Hint)), 1)
	}
	if class.Effect == decide.Keyed {
		t.Key = fmt.Sprintf("%016x%08x", uint64(c.Sub(7)), l.serial)
	}
	return t
}

// Attempt is the work and the luck of an attempt: the same whichever server gets it.
func (t *Task) Attempt(s *Scenario, chance Chance, try, attempt int) (work time.Duration, luck float64) {
	c := chance.Sub(Name("attempt"), t.Serial, uint64(try), uint64(attempt))
	return max(1, time.Duration(float64(t.Work)*c.Sub(1).around(s.Classes[t.Class].Noise))), c.Sub(2).Float()
}

// Answer is how a try of a client ended.
type Answer uint8

// The ways a try ends.
const (
	Served Answer = iota
	Refused
	Failed
	NoAnswer    // the client's patience was over
	Unreachable // no connection to the agent
)

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "no answer", "unreachable"}[a]
}

// Client is the model of who wants one task done.
type Client struct {
	Task Task
	Try  int // the present one, from 0
	s    *Scenario
}

// NewClient begins with the first try.
func NewClient(s *Scenario, t Task) Client { return Client{Task: t, s: s} }

// ID names the present try.
func (c *Client) ID() string { return fmt.Sprintf("%012x%02x", c.Task.Serial, c.Try) }

// Left is how long the client waits for the present try, from now on.
func (c *Client) Left(now time.Duration) time.Duration {
	deadline := c.s.Classes[c.Task.Class].Deadline
	left := c.Task.At + deadline - now
	if usual := time.Duration(c.s.Clients.Patience * float64(deadline)); c.Try < c.s.Clients.Tries-1 {
		left = min(left, usual)
	}
	return left
}

// Next says whether the client tries again after an answer, and after which wait. It moves on to
// the next try if so.
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
	// What can't be answered any more is not asked for.
	if now+wait+10*time.Millisecond >= c.Task.At+class.Deadline {
		return 0, false
	}
	c.Try++
	return wait, true
}

// Worth is what a task earns that was served at a time, and what it was worth.
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

// Peak is the highest rate of first tries that the script asks for, a second.
func (s *Scenario) Peak() float64 {
	peak := 1.0
	for _, c := range s.Timeline {
		if b, ok := c.What.(Burst); ok {
			peak = math.Max(peak, b.Factor)
		}
	}
	return s.Rate * peak
}
