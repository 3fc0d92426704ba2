package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"vetchhaven/decide"
)

// settingsObject mirrors the simulator's settings object. Where a field's name differs from its key, a tag gives the
// key; keys match in any case. Fields whose names or keys end in Ms are in milliseconds.
type settingsObject struct {
	Balancers      int // number of instances in the fleet
	Self           int `json:"Me"` // this instance's index among them
	Zone           int
	CountedBy      string // countedByWork: capacity is counted in work instead of requests
	Profiles       []classObject
	MembershipMode string // modeSubscribe: updates arrive only after a subscription
	TickMs         float64
	PolicyLimits   limitsObject
	Contract       contractObject
	Goal           goalObject
	Prices         pricesObject
	Zones          []string         `json:"Dcs"` // names, by index
	Kinds          []string         // names, by index
	LoadReport     loadReportObject `json:"Report"`
}

// classObject is a request class.
type classObject struct {
	Name        string
	ObjectiveMs float64 `json:"AimMs"`
	DeadlineMs  float64
	Value       float64 `json:"Worth"`
	LateValue   float64
	Semantics   string  // a key of effects
	DedupScope  string  `json:"Group"` // a key of dedupScopes
	WindowMs    float64 // how long servers keep an idempotency key
}

// limitsObject specifies what the decision module may do.
type limitsObject struct {
	MaxAttempts      int  `json:"TryLimit"`
	Hedging          bool `json:"SecondCopies"`
	MayProbe         bool
	Cancel           bool
	RetryAfter       bool
	Peers            bool
	MaxRetryAfterMs  float64
	ConnectTimeoutMs float64
	IdleCloseMs      float64
	MaxOpen          float64
}

// contractObject holds the times and load figures that the platform guarantees or requires.
type contractObject struct {
	DrainGraceMs      float64
	AnswerGraceMs     float64 `json:"GraceToAnswerMs"`
	SubscribeWithinMs float64 `json:"AskWithinMs"`
	SlowStartShare    float64 `json:"ColdFrom"`
	SlowStartTimeMs   float64 `json:"RampTimeMs"`
	OverloadMultiple  float64 `json:"FallMultiple"`
	OverloadWindowMs  float64 `json:"FallMs"`
}

// goalObject holds the weights of the parts of the score.
type goalObject struct {
	Overall     float64 `json:"Whole"`
	WorstWindow float64
	WorstClass  float64
}

// pricesObject holds the costs of actions in the score.
type pricesObject struct {
	CrossZone float64
}

// loadReportObject specifies how servers report their load.
type loadReportObject struct {
	Source string // loadInline or loadOnProbe; with any other value servers report no load
}

// Values of the settings object.
const (
	countedByWork = "work"
	modeSubscribe = "subscribe"
	loadInline    = "inline"
	loadOnProbe   = "on_probe"
)

// effects are the values of classObject.Semantics.
var effects = map[string]decide.Effect{
	"repeatable": decide.Idempotent,
	"by_key":     decide.Keyed,
	"once":       decide.NonIdempotent,
}

// dedupScopes are the values of classObject.DedupScope.
var dedupScopes = map[string]decide.DedupScope{
	"":     decide.ScopeAll,
	"all":  decide.ScopeAll,
	"zone": decide.ScopeZone,
	"cell": decide.ScopeCell,
}

// Site holds the values of the settings object that an agent on sockets needs in addition to decide.Settings.
type Site struct {
	Classes    []string      // names, in the order of decide.Settings.Classes
	Zones      []string      // names, by index
	Kinds      []string      // names of the kinds of servers, by index
	IdleClose  time.Duration // idle time after which a server closes a connection
	MaxOpen    int           // maximum number of requests that may be open at once; 0: no limit
	LoadInline bool          // responses carry load reports
	LoadProbed bool          // health checks return load reports
}

// ParseSettings translates the settings object. Unknown keys are ignored. An error names the invalid key; Site is
// complete even then, as long as raw is valid JSON.
func ParseSettings(raw []byte) (decide.Settings, Site, error) {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return decide.Settings{}, Site{}, err
	}
	settings, err := object.settings()
	return settings, object.site(), err
}

func (o *settingsObject) site() Site {
	site := Site{
		Zones:      o.Zones,
		Kinds:      o.Kinds,
		IdleClose:  milliseconds(o.PolicyLimits.IdleCloseMs),
		MaxOpen:    int(o.PolicyLimits.MaxOpen),
		LoadInline: o.LoadReport.Source == loadInline,
		LoadProbed: o.LoadReport.Source == loadOnProbe,
	}
	for _, class := range o.Profiles {
		site.Classes = append(site.Classes, class.Name)
	}
	return site
}

func (o *settingsObject) settings() (decide.Settings, error) {
	settings := decide.Settings{
		Balancers:        o.Balancers,
		Self:             o.Self,
		Zone:             o.Zone,
		ByWork:           o.CountedBy == countedByWork,
		Subscribe:        o.MembershipMode == modeSubscribe,
		Tick:             milliseconds(o.TickMs),
		MaxAttempts:      o.PolicyLimits.MaxAttempts,
		Hedging:          o.PolicyLimits.Hedging,
		MayProbe:         o.PolicyLimits.MayProbe,
		MayCancel:        o.PolicyLimits.Cancel,
		RetryAfter:       o.PolicyLimits.RetryAfter,
		Peers:            o.PolicyLimits.Peers,
		MaxRetryAfter:    milliseconds(o.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout:   milliseconds(o.PolicyLimits.ConnectTimeoutMs),
		DrainGrace:       milliseconds(o.Contract.DrainGraceMs),
		AnswerGrace:      milliseconds(o.Contract.AnswerGraceMs),
		SubscribeWithin:  milliseconds(o.Contract.SubscribeWithinMs),
		SlowStartShare:   o.Contract.SlowStartShare,
		SlowStartTime:    milliseconds(o.Contract.SlowStartTimeMs),
		OverloadMultiple: o.Contract.OverloadMultiple,
		OverloadWindow:   milliseconds(o.Contract.OverloadWindowMs),
		GoalOverall:      o.Goal.Overall,
		GoalWorstWindow:  o.Goal.WorstWindow,
		GoalWorstClass:   o.Goal.WorstClass,
		CrossZonePrice:   o.Prices.CrossZone,
	}
	for i, object := range o.Profiles {
		class, err := object.class()
		if err != nil {
			return settings, fmt.Errorf("Profiles[%d].%w", i, err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

func (o *classObject) class() (decide.Class, error) {
	effect, ok := effects[o.Semantics]
	if !ok {
		return decide.Class{}, fmt.Errorf("%s: unknown kind %q", keySemantics, o.Semantics)
	}
	scope, ok := dedupScopes[o.DedupScope]
	if !ok {
		return decide.Class{}, fmt.Errorf("%s: unknown group %q", keyDedupScope, o.DedupScope)
	}
	return decide.Class{
		Objective:   milliseconds(o.ObjectiveMs),
		Deadline:    milliseconds(o.DeadlineMs),
		Value:       o.Value,
		LateValue:   o.LateValue,
		Effect:      effect,
		Scope:       scope,
		DedupWindow: milliseconds(o.WindowMs),
	}, nil
}
