// Package supervise decides when a failed part of the daemon is started again: after an exponential backoff with
// jitter, and not at all once it has failed too many times in a row. The package owns the State of each part. It does
// no I/O and reads no clock: the daemon's goroutine passes in events and the current time, and executes the returned
// actions.
package supervise

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultFirstWait makes the restart after a transient fault hardly noticeable. A shorter wait restarts a part
	// while the cause of its failure still exists.
	defaultFirstWait = 200 * time.Millisecond
	// defaultMaxWait is short enough for a part to be restarted soon after its fault has been repaired. A longer wait
	// would put less load on the host while a part keeps failing. With the other defaults it is never reached: the
	// seventh and last wait is 12.8 s at most.
	defaultMaxWait = 30 * time.Second
	// defaultHealthyAfter is far longer than the run time of a part that fails at its start.
	defaultHealthyAfter = time.Minute
	// defaultMaxFailures is reached after 13 to 26 s of waiting with the other defaults: seven waits of up to 0.2,
	// 0.4, and so on to 12.8 s. With a larger number a failing part is restarted for longer.
	defaultMaxFailures = 8

	// minWaitShare is the smallest fraction of the backoff's ceiling that a wait lasts; the rest is jitter. With a smaller
	// fraction, low random values would restart a part that fails immediately in a busy loop.
	minWaitShare = 0.5
	// seedStream separates the supervisor's random numbers from others that use the same seed.
	seedStream = 3
)

// Settings configure the supervisor. The zero value of each field is replaced by its default.
type Settings struct {
	FirstWait    time.Duration // ceiling of the wait after the first failure; it doubles with each further failure
	MaxWait      time.Duration // maximum that the ceiling of a wait reaches by doubling
	HealthyAfter time.Duration // after a part has run for this long, its next failure counts as the first
	MaxFailures  int           // failures in a row after which a part stays down
}

func (s Settings) withDefaults() Settings {
	if s.FirstWait <= 0 {
		s.FirstWait = defaultFirstWait
	}
	if s.MaxWait <= 0 {
		s.MaxWait = defaultMaxWait
	}
	if s.HealthyAfter <= 0 {
		s.HealthyAfter = defaultHealthyAfter
	}
	if s.MaxFailures <= 0 {
		s.MaxFailures = defaultMaxFailures
	}
	return s
}

// Event is something that happened to a part.
type Event interface{ event() }

type (
	// Started reports that a part runs.
	Started struct{ Name string }
	// Failed reports that a part ended without being stopped, or could not start.
	Failed struct{ Name, Reason string }
	// Removed reports that a part is no longer needed.
	Removed struct{ Name string }
	// Revived reports that a part that is down is to be started again, because a configuration was applied, by an
	// operator or by a change of the fleet's policy.
	Revived struct{ Name string }
)

func (Started) event() {}
func (Failed) event()  {}
func (Removed) event() {}
func (Revived) event() {}

// Action is something that the caller of Step must do.
type Action interface{ action() }

type (
	// Start requests that a part be started now. Started or Failed must follow.
	Start struct{ Name string }
	// ReportDown requests a report that a part is no longer started, with the reason of its last failure.
	ReportDown struct{ Name, Reason string }
)

func (Start) action()      {}
func (ReportDown) action() {}

// Phase is the phase of a part's life cycle.
type Phase uint8

// The phases of a part. Started leads to Running; Failed leads from Running, or from Waiting where the start itself
// failed, to Waiting or, after too many failures, to Down; Revived leads from Down to Waiting.
const (
	Waiting Phase = iota // until NextStartAt, and then until the requested start has succeeded or failed
	Running
	Down // no longer started until a configuration is applied
)

// State is the state of a part.
type State struct {
	Phase               Phase
	ConsecutiveFailures int
	TotalFailures       int           // since the part was added
	NextStartAt         time.Duration // while Waiting
	LastReason          string        // of the last failure
	runningSince        time.Duration
}

// Supervisor keeps the states of all parts. It belongs to one goroutine.
type Supervisor struct {
	settings Settings
	rng      *rand.Rand
	parts    map[string]*State
}

// New returns a supervisor without parts. seed determines its jitter.
func New(s Settings, seed uint64) *Supervisor {
	return &Supervisor{
		settings: s.withDefaults(),
		rng:      rand.New(rand.NewPCG(seed, seedStream)),
		parts:    map[string]*State{},
	}
}

// Step processes the events that happened until now, and returns the actions to execute now, with starts in order of
// the parts' names.
func (s *Supervisor) Step(now time.Duration, events ...Event) []Action {
	var actions []Action
	for _, e := range events {
		switch e := e.(type) {
		case Started:
			part := s.part(e.Name)
			part.Phase = Running
			part.runningSince = now
		case Failed:
			if s.fail(now, e) {
				actions = append(actions, ReportDown(e))
			}
		case Removed:
			delete(s.parts, e.Name)
		case Revived:
			if part := s.parts[e.Name]; part != nil && part.Phase == Down {
				part.Phase = Waiting
				part.ConsecutiveFailures = 0
				part.NextStartAt = now
			}
		}
	}
	return append(actions, s.startDue(now)...)
}

// startDue starts the parts whose wait is over.
func (s *Supervisor) startDue(now time.Duration) (actions []Action) {
	var due []string
	for name, part := range s.parts {
		if part.Phase == Waiting && part.NextStartAt <= now {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		s.parts[name].NextStartAt = math.MaxInt64 // until Started or Failed arrives
		actions = append(actions, Start{Name: name})
	}
	return actions
}

// fail records a failure, and reports whether the part is down because of it.
func (s *Supervisor) fail(now time.Duration, e Failed) (isDown bool) {
	part := s.part(e.Name)
	if part.Phase == Down {
		return false
	}
	if part.Phase == Running && now-part.runningSince >= s.settings.HealthyAfter {
		part.ConsecutiveFailures = 0
	}
	part.Phase = Waiting
	part.ConsecutiveFailures++
	part.TotalFailures++
	part.LastReason = e.Reason
	if part.ConsecutiveFailures >= s.settings.MaxFailures {
		part.Phase = Down
		return true
	}
	part.NextStartAt = now + s.wait(part.ConsecutiveFailures)
	return false
}

// wait returns the backoff, with jitter, after the given number of failures in a row.
func (s *Supervisor) wait(failures int) time.Duration {
	ceiling := float64(s.settings.FirstWait) * math.Exp2(float64(failures-1))
	ceiling = min(ceiling, float64(s.settings.MaxWait))
	return time.Duration(ceiling * (minWaitShare + (1-minWaitShare)*s.rng.Float64()))
}

func (s *Supervisor) part(name string) *State {
	if s.parts[name] == nil {
		s.parts[name] = &State{}
	}
	return s.parts[name]
}

// State returns the state of a part, or the zero State if the supervisor has no such part.
func (s *Supervisor) State(name string) State {
	if part := s.parts[name]; part != nil {
		return *part
	}
	return State{}
}

// NextAt returns the latest time at which Step must be called again. waiting is false if no part waits.
func (s *Supervisor) NextAt() (at time.Duration, waiting bool) {
	at = math.MaxInt64
	for _, part := range s.parts {
		if part.Phase == Waiting && part.NextStartAt < at {
			at = part.NextStartAt
			waiting = true
		}
	}
	return at, waiting
}
