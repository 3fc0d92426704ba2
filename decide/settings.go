package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{s: s, rng: rand.New(rand.NewPCG(seed, 0)), tokens: bucketCap,
		perBack: startPerBack, share: 1 / float64(s.Balancers), fewest: s.Balancers,
		peers: make([]peer, s.Balancers),
		byID:  map[string]*backend{}, byKey: map[uint32]*backend{}, byHand: map[string]time.Duration{},
		requests: map[string]*request{},
		timers:   map[int64]*request{}, watched: map[int64]*attempt{}}
	b.fits = make([][]float64, len(s.Classes))
	b.s.MaxAttempts = max(1, s.MaxAttempts)
	b.s.SlowStartShare = cmp.Or(s.SlowStartShare, 1)
	for _, c := range s.Classes {
		b.period = max(b.period, c.Objective)
		b.classes = append(b.classes, classState{Class: c, latency: float64(c.Objective) / 4})
	}
	return b, nil
}

// check names the first setting that makes no sense. It decides nothing.
func (s *Settings) check() error {
	bad := func(field string, v any) error {
		return fmt.Errorf("decide: settings: %s: %v makes no sense", field, v)
	}
	switch {
	case len(s.Classes) == 0:
		return bad("Classes", "none")
	case s.Balancers < 1:
		return bad("Balancers", s.Balancers)
	case s.Self < 0 || s.Peers && s.Self >= s.Balancers: // else it only has to differ from the others'
		return bad("Self", s.Self)
	case s.MaxAttempts < 0:
		return bad("MaxAttempts", s.MaxAttempts)
	case !(s.SlowStartShare >= 0 && s.SlowStartShare <= 1):
		return bad("SlowStartShare", s.SlowStartShare)
	case !(s.OverloadMultiple >= 0):
		return bad("OverloadMultiple", s.OverloadMultiple)
	case !(s.GoalWhole >= 0 && s.GoalWindow >= 0 && s.GoalClass >= 0):
		return bad("Goal", []float64{s.GoalWhole, s.GoalWindow, s.GoalClass})
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"DrainGrace", s.DrainGrace}, {"AnswerGrace", s.AnswerGrace}, {"SubscribeWithin", s.SubscribeWithin},
		{"SlowStartTime", s.SlowStartTime}, {"OverloadWindow", s.OverloadWindow}} {
		if f.d < 0 {
			return bad(f.name, f.d)
		}
	}
	for i, c := range s.Classes {
		at := func(field string) string { return fmt.Sprintf("Classes[%d].%s", i, field) }
		switch {
		case c.Objective <= 0:
			return bad(at("Objective"), c.Objective)
		case c.Deadline <= 0:
			return bad(at("Deadline"), c.Deadline)
		case !(c.Value >= 0):
			return bad(at("Value"), c.Value)
		case c.Effect > NonIdempotent:
			return bad(at("Effect"), c.Effect)
		case c.Scope > ScopeCell:
			return bad(at("Scope"), c.Scope)
		case c.DedupWindow < 0:
			return bad(at("DedupWindow"), c.DedupWindow)
		}
	}
	return nil
}
