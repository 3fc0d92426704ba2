package decide

import (
	"fmt"
	"time"
)

// Effect specifies whether a request may be repeated.
type Effect uint8

// The effects of requests.
const (
	Idempotent    Effect = iota // may be repeated and refused at any time
	Keyed                       // carries an idempotency key: the backends of its scope drop repeats within a window
	NonIdempotent               // may be repeated only if no attempt can have run
)

// DedupScope specifies which backends drop repeats of a keyed request.
type DedupScope uint8

// The deduplication scopes of a keyed request.
const (
	ScopeAll  DedupScope = iota // every backend
	ScopeZone                   // the backends of one zone
	ScopeCell                   // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Objective   time.Duration // latency objective: an answer within it earns the full value
	Deadline    time.Duration // how long a client waits, all its tries included
	Value       float64       // priority weight of a request (or of a unit of work, see Settings.ByWork)
	LateValue   float64       // share of the value that an answer between objective and deadline earns
	Effect      Effect
	Scope       DedupScope    // only for Keyed
	DedupWindow time.Duration // only for Keyed: time after the first send during which backends drop repeats
}

// Settings do not change during the lifetime of a Balancer. Where a field may be left out, its comment gives
// the meaning of the zero value. A price, a goal or a duration of zero switches off the function that uses
// it. MayProbe, MayCancel, RetryAfter and MaxRetryAfter specify what agents may do at a site. Probe and
// Cancel are part of the interface, but this package does not return them.
type Settings struct {
	Balancers int // number of agents that share these backends, this one included; at least 1
	Self      int // this agent's number, counted from 0
	Zone      int // this agent's zone
	Classes   []Class
	ByWork    bool          // Value counts per unit of work instead of per request
	Subscribe bool          // the agent must subscribe to the endpoint list; otherwise the list is pushed to it
	Tick      time.Duration // minimum time between two steps; 0: no minimum

	MaxAttempts    int           // maximum number of attempts for one request; 0: 1
	Hedging        bool          // two attempts of one request may be open at once
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // SendToPeer actions are allowed
	RetryAfter     bool          // clients see Refuse.RetryAfter
	MaxRetryAfter  time.Duration // longest Retry-After that clients respect
	ConnectTimeout time.Duration // after this time without a connection an attempt fails

	DrainGrace       time.Duration // how long new sends to a draining backend are still tolerated
	AnswerGrace      time.Duration // how long after its deadline a final answer still counts
	SubscribeWithin  time.Duration // with Subscribe: longest time between two attempts to subscribe, until subscribed
	SlowStartShare   float64       // least share of its full capacity that a backend has at its start; 0: 1
	SlowStartTime    time.Duration // time after its start by which it has its full capacity
	OverloadMultiple float64       // a backend in slow start collapses above this multiple of its capacity
	OverloadWindow   time.Duration // time over which that load is measured

	// GoalOverall, GoalWorstWindow and GoalWorstClass are the operator's weights for the result over the
	// whole time, in the worst time window, and for the worst class.
	GoalOverall     float64
	GoalWorstWindow float64
	GoalWorstClass  float64
	CrossZonePrice  float64 // cost of requests to other zones, as a share of the result
}

// settingError names an invalid setting.
type settingError struct {
	field string
	value any
}

func (e *settingError) Error() string {
	return fmt.Sprintf("decide: settings: %s: %v is not a valid value", e.field, e.value)
}

// check returns an error that names the first invalid setting, or nil.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return &settingError{"Classes", "none"}
	case s.Balancers < 1:
		return &settingError{"Balancers", s.Balancers}
	case s.Self < 0 || s.Peers && s.Self >= s.Balancers: // without Peers, Self only has to differ between agents
		return &settingError{"Self", s.Self}
	case s.MaxAttempts < 0:
		return &settingError{"MaxAttempts", s.MaxAttempts}
	case !(s.SlowStartShare >= 0 && s.SlowStartShare <= 1): // the negation also rejects NaN
		return &settingError{"SlowStartShare", s.SlowStartShare}
	case !(s.OverloadMultiple >= 0):
		return &settingError{"OverloadMultiple", s.OverloadMultiple}
	case !(s.GoalOverall >= 0 && s.GoalWorstWindow >= 0 && s.GoalWorstClass >= 0):
		return &settingError{"Goal", []float64{s.GoalOverall, s.GoalWorstWindow, s.GoalWorstClass}}
	}
	if err := s.checkSpans(); err != nil {
		return err
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

// checkSpans returns an error that names the first negative duration, or nil.
func (s *Settings) checkSpans() error {
	spans := []struct {
		field string
		span  time.Duration
	}{
		{"Tick", s.Tick},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"ConnectTimeout", s.ConnectTimeout},
		{"DrainGrace", s.DrainGrace},
		{"AnswerGrace", s.AnswerGrace},
		{"SubscribeWithin", s.SubscribeWithin},
		{"SlowStartTime", s.SlowStartTime},
		{"OverloadWindow", s.OverloadWindow},
	}
	for _, x := range spans {
		if x.span < 0 {
			return &settingError{x.field, x.span}
		}
	}
	return nil
}

// check returns an error that names the first invalid field of a class, or nil.
func (c *Class) check(index int) error {
	invalid := func(field string, value any) error {
		return &settingError{fmt.Sprintf("Classes[%d].%s", index, field), value}
	}
	switch {
	case c.Objective <= 0:
		return invalid("Objective", c.Objective)
	case c.Deadline <= 0:
		return invalid("Deadline", c.Deadline)
	case !(c.Value >= 0):
		return invalid("Value", c.Value)
	case c.Effect > NonIdempotent:
		return invalid("Effect", c.Effect)
	case c.Scope > ScopeCell:
		return invalid("Scope", c.Scope)
	case c.DedupWindow < 0:
		return invalid("DedupWindow", c.DedupWindow)
	}
	return nil
}
