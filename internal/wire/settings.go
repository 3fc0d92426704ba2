package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"vetchhaven/decide"
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
		MaxRetryAfterMs, ConnectTimeoutMs                 float64
		IdleCloseMs, MaxOpen                              float64
	}
	Contract struct {
		DrainGraceMs, GraceToAnswerMs, AskWithinMs float64
		ColdFrom, RampTimeMs, FallMultiple, FallMs float64
	}
	Goal   struct{ Whole, WorstWindow, WorstClass float64 }
	Prices struct{ CrossZone float64 }
	Dcs    []string
	Kinds  []string
	Report struct{ Source string }
}

// Site is what an agent on sockets needs of the settings object besides what the module takes.
type Site struct {
	Classes      []string // names, in the order of the module's classes
	Zones, Kinds []string
	IdleClose    time.Duration // a backend closes a connection idle for so long
	MaxOpen      int           // requests that may be open at once; 0: no limit
	LoadInline   bool          // answers carry load reports
	LoadProbed   bool          // probes bring load reports
}

// ParseSettings translates the settings object. Unknown keys are ignored.
func ParseSettings(raw []byte) (decide.Settings, Site, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return decide.Settings{}, Site{}, err
	}
	s, err := f.settings()
	site := Site{Zones: f.Dcs, Kinds: f.Kinds, IdleClose: duration(f.PolicyLimits.IdleCloseMs),
		MaxOpen:    int(f.PolicyLimits.MaxOpen),
		LoadInline: f.Report.Source == "inline", LoadProbed: f.Report.Source == "on_probe"}
	for _, p := range f.Profiles {
		site.Classes = append(site.Classes, p.Name)
	}
	return s, site, err
}

func (f *facts) settings() (decide.Settings, error) {
	s := decide.Settings{
		Balancers:        f.Balancers,
		Self:             f.Me,
		Zone:             f.Zone,
		ByWork:           f.CountedBy == "work",
		Subscribe:        f.MembershipMode == "subscribe",
		Tick:             duration(f.TickMs),
		MaxAttempts:      f.PolicyLimits.TryLimit,
		Hedging:          f.PolicyLimits.SecondCopies,
		MayProbe:         f.PolicyLimits.MayProbe,
		MayCancel:        f.PolicyLimits.Cancel,
		RetryAfter:       f.PolicyLimits.RetryAfter,
		Peers:            f.PolicyLimits.Peers,
		MaxRetryAfter:    duration(f.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout:   duration(f.PolicyLimits.ConnectTimeoutMs),
		DrainGrace:       duration(f.Contract.DrainGraceMs),
		AnswerGrace:      duration(f.Contract.GraceToAnswerMs),
		SubscribeWithin:  duration(f.Contract.AskWithinMs),
		SlowStartShare:   f.Contract.ColdFrom,
		SlowStartTime:    duration(f.Contract.RampTimeMs),
		OverloadMultiple: f.Contract.FallMultiple,
		OverloadWindow:   duration(f.Contract.FallMs),
		GoalWhole:        f.Goal.Whole,
		GoalWindow:       f.Goal.WorstWindow,
		GoalClass:        f.Goal.WorstClass,
		CrossZonePrice:   f.Prices.CrossZone,
	}
	effects := map[string]decide.Effect{
		"repeatable": decide.Idempotent, "by_key": decide.Keyed, "once": decide.NonIdempotent}
	groups := map[string]decide.DedupScope{
		"": decide.ScopeAll, "all": decide.ScopeAll,
		"zone": decide.ScopeZone, "cell": decide.ScopeCell}
	for i, p := range f.Profiles {
		effect, ok := effects[p.Semantics]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Semantics: unknown kind %q", i, p.Semantics)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Group: unknown group %q", i, p.Group)
		}
		s.Classes = append(s.Classes, decide.Class{
			Objective: duration(p.AimMs), Deadline: duration(p.DeadlineMs),
			Value: p.Worth, LateValue: p.LateValue,
			Effect: effect, Scope: group, DedupWindow: duration(p.WindowMs),
		})
	}
	return s, nil
}
