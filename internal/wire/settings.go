package wire

import (
	"encoding/json"
	"fmt"

	"brookferry"
)

// facts mirrors the settings object of the wire, in the wire's own names.
type facts struct {
	Balancers int
	Me        int
	Zone      int
	CountedBy string
	Profiles  []struct {
		Name       string
		AimMs      float64
		DeadlineMs float64
		Worth      float64
		LateValue  float64
		Semantics  string
		Group      string
		WindowMs   float64
	}
	MembershipMode string
	TickMs         float64
	PolicyLimits   struct {
		TryLimit                                          int
		SecondCopies, MayProbe, Cancel, RetryAfter, Peers bool
		MaxRetryAfterMs, ConnectTimeoutMs, MaxOpen        float64
	}
	Contract struct {
		DrainGraceMs, GraceToAnswerMs, AskWithinMs float64
		ColdFrom, RampTimeMs, FallMultiple, FallMs float64
	}
	Goal   struct{ Whole, WorstWindow, WorstClass float64 }
	Prices struct{ CrossZone float64 }
}

// parseSettings translates the settings object. Unknown keys are ignored.
func parseSettings(raw []byte) (brookferry.Settings, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return brookferry.Settings{}, fmt.Errorf("Facts: %w", err)
	}
	s := brookferry.Settings{
		Balancers:      f.Balancers,
		Self:           f.Me,
		Zone:           f.Zone,
		ByWork:         f.CountedBy == "work",
		Subscribe:      f.MembershipMode == "subscribe",
		Tick:           duration(f.TickMs),
		MaxAttempts:    f.PolicyLimits.TryLimit,
		SecondCopies:   f.PolicyLimits.SecondCopies,
		MayProbe:       f.PolicyLimits.MayProbe,
		MayCancel:      f.PolicyLimits.Cancel,
		RetryAfter:     f.PolicyLimits.RetryAfter,
		Peers:          f.PolicyLimits.Peers,
		MaxRetryAfter:  duration(f.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout: duration(f.PolicyLimits.ConnectTimeoutMs),
		DrainGrace:     duration(f.Contract.DrainGraceMs),
		AnswerGrace:    duration(f.Contract.GraceToAnswerMs),
		AskWithin:      duration(f.Contract.AskWithinMs),
		ColdShare:      f.Contract.ColdFrom,
		RampTime:       duration(f.Contract.RampTimeMs),
		FallMultiple:   f.Contract.FallMultiple,
		FallWindow:     duration(f.Contract.FallMs),
		GoalWhole:      f.Goal.Whole,
		GoalWindow:     f.Goal.WorstWindow,
		GoalClass:      f.Goal.WorstClass,
		CrossZonePrice: f.Prices.CrossZone,
	}
	effects := map[string]brookferry.Effect{
		"repeatable": brookferry.Safe, "by_key": brookferry.Keyed, "once": brookferry.Unsafe}
	groups := map[string]brookferry.Group{
		"": brookferry.GroupAll, "all": brookferry.GroupAll,
		"zone": brookferry.GroupZone, "cell": brookferry.GroupCell}
	for i, p := range f.Profiles {
		effect, ok := effects[p.Semantics]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Semantics: unknown kind %q", i, p.Semantics)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Group: unknown group %q", i, p.Group)
		}
		s.Classes = append(s.Classes, brookferry.Class{
			Aim: duration(p.AimMs), Deadline: duration(p.DeadlineMs),
			Worth: p.Worth, LateWorth: p.LateValue,
			Effect: effect, Group: group, Window: duration(p.WindowMs),
		})
	}
	return s, nil
}
