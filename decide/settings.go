package decide

import (
	"fmt"
	"time"
)

// Effect says what repeating a request does.
type Effect uint8

// The effects of repeating a request.
const (
	Idempotent    Effect = iota // may be repeated and refused at will
	Keyed                       // carries an idempotency key: backends of one scope drop a repeat within a window
	NonIdempotent               // may be repeated only when no attempt can have run
)

// DedupScope says which backends drop repeats of a keyed request.
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
	Deadline    time.Duration // the time a client waits, over all its tries
	Value       float64       // priority weight of a request (or of a unit of work, see Settings.ByWork)
	LateValue   float64       // share of the value earned between objective and deadline
	Effect      Effect
	Scope       DedupScope    // for Keyed
	DedupWindow time.Duration // for Keyed: how long a repeat is dropped after the first send
}

// Settings are fixed for the life of a Balancer. The zero value of a field that may be absent means what its
// comment says; the zero value of a price, a goal or a span switches off what rests on it. What agents may do
// at a site (MayProbe, MayCancel, RetryAfter and their bounds) is part of the interface though the present
// module asks for none of it.
type Settings struct {
	Balancers int // agents that share these backends, this one included; at least 1
	Self      int // this agent's number, from 0
	Zone      int // this agent's zone
	Classes   []Class
	ByWork    bool          // value counts per unit of work, not per request
	Subscribe bool          // the list must be asked for; else it is pushed
	Tick      time.Duration // shortest gap between two steps; 0: none

	MaxAttempts    int           // attempts one request may get; 0: 1
	Hedging        bool          // two attempts of one request may be open together
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // SendToPeer actions are allowed
	RetryAfter     bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest wait that a client heeds
	ConnectTimeout time.Duration // a connection not made in this time fails

	DrainGrace       time.Duration // how long sends to a draining backend are still tolerated
	AnswerGrace      time.Duration // how long after its deadline a final answer still counts
	SubscribeWithin  time.Duration // Subscribe: ask at least this often while not subscribed
	SlowStartShare   float64       // a backend starts at this share of its capacity or more; 0: 1
	SlowStartTime    time.Duration // and has all of it no later than this after its start
	OverloadMultiple float64       // one in slow start sent more than this multiple of its capacity ...
	OverloadWindow   time.Duration // ... over this span collapses

	// GoalWhole, GoalWindow and GoalClass are what the operator weighs: all of the time, the worst span, the
	// worst class.
	GoalWhole      float64
	GoalWindow     float64
	GoalClass      float64
	CrossZonePrice float64 // what crossing zones costs, as a share of the result
}

// settingError names a setting that makes no sense.
type settingError struct {
	field string
	value any
}

func (e *settingError) Error() string {
	return fmt.Sprintf("decide: settings: %s: %v makes no sense", e.field, e.value)
}

// check names the first setting that makes no sense; nil: all do.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return &settingError{"Classes", "none"}
	case s.Balancers < 1:
		return &settingError{"Balancers", s.Balancers}
	case s.Self < 0 || s.Peers && s.Self >= s.Balancers: // else it only has to differ from the others'
		return &settingError{"Self", s.Self}
	case s.MaxAttempts < 0:
		return &settingError{"MaxAttempts", s.MaxAttempts}
	case !(s.SlowStartShare >= 0 && s.SlowStartShare <= 1): // NaN as well
		return &settingError{"SlowStartShare", s.SlowStartShare}
	case !(s.OverloadMultiple >= 0):
		return &settingError{"OverloadMultiple", s.OverloadMultiple}
	case !(s.GoalWhole >= 0 && s.GoalWindow >= 0 && s.GoalClass >= 0):
		return &settingError{"Goal", []float64{s.GoalWhole, s.GoalWindow, s.GoalClass}}
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

// checkSpans names the first span that is negative.
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

// check names the first field of a class that makes no sense.
func (c *Class) check(index int) error {
	wrong := func(field string, value any) error {
		return &settingError{fmt.Sprintf("Classes[%d].%s", index, field), value}
	}
	switch {
	case c.Objective <= 0:
		return wrong("Objective", c.Objective)
	case c.Deadline <= 0:
		return wrong("Deadline", c.Deadline)
	case !(c.Value >= 0):
		return wrong("Value", c.Value)
	case c.Effect > NonIdempotent:
		return wrong("Effect", c.Effect)
	case c.Scope > ScopeCell:
		return wrong("Scope", c.Scope)
	case c.DedupWindow < 0:
		return wrong("DedupWindow", c.DedupWindow)
	}
	return nil
}
