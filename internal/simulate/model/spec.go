package model

import (
	"time"

	"vetchhaven/decide"
)

// Kind is a kind of machine. Work is counted in time on a standard core.
type Kind struct {
	Name         string
	Cores        int
	Speed        float64 // of one core, in standard cores
	Spread       float64 // coefficient of variation of Speed among servers of the kind
	Slots        int     // requests in work at once
	Queue        int     // requests that wait at the most; more are turned away unseen
	Thrash       float64 // efficiency lost for each held request a core past ThrashAt
	ThrashAt     float64 // held requests a core
	ColdShare    float64 // capacity of a process that has just started
	ColdFor      time.Duration
	WarmByWork   bool          // warms with the work done, and evenly with time at the latest
	PauseEvery   time.Duration // mean time between pauses; 0: none
	Pause        time.Duration // mean length of a pause of an idle server
	PauseGrow    float64       // how much longer for each held request a slot, up to 4
	ErrorRate    float64       // share of requests that fail at any time
	Connections  int           // held at the most
	Backlog      int           // beyond these, so many wait to be accepted: they are up for who opened them, and silent
	Handshake    time.Duration // work of a new connection
	HandshakeRTT float64       // round trips before the first request on it
}

// Capacity is the work that a warm, healthy server of the kind does in a unit of time.
func (k *Kind) Capacity() float64 { return float64(min(k.Cores, k.Slots)) * k.Speed }

// Class is a class of requests: what the policy is told of it, and what it is made of.
type Class struct {
	decide.Class
	Name  string
	Share float64 // of the first tries
	Work  time.Duration
	Vary  float64 // coefficient of variation of the work among requests
	Noise float64 // and among the attempts of one
	Hint  float64 // and of the hint round the work; negative: no hint
}

// Rules are the figures of the four rules, and what agents are told besides.
type Rules struct {
	MaxAttempts    int
	SecondCopies   bool
	ConnectTimeout time.Duration
	IdleClose      time.Duration // servers close a connection that has had no request for so long
	DrainGrace     time.Duration
	AnswerSlack    time.Duration
	AskWithin      time.Duration
	ColdShare      float64
	RampTime       time.Duration
	FallMultiple   float64
	FallWindow     time.Duration
	CrossZonePrice float64
	MaxRetryAfter  time.Duration // 0: clients are not told when to come back
}

// ServerSpec is a server that exists at some time.
type ServerSpec struct {
	Name  string // its id
	Place int    // its address: one that replaces another may have the same
	Kind  int
	Zone  int
	Pod   int
}

// Clients is how clients ask again.
type Clients struct {
	Tries    int           // at the most, the first included
	Wait     time.Duration // before the next one; 0: at once
	Heed     float64       // share of clients that wait as long as a refusal says
	Patience float64       // share of the class's deadline that a try waits which is not the last
}

// Scenario is all that a rehearsal plays.
type Scenario struct {
	Title    string
	Length   time.Duration
	Agents   int
	Uneven   float64 // how unevenly traffic is spread over agents: 0 even, 1 the first has most
	Vary     float64 // coefficient of variation of the traffic among agents, besides
	Tick     time.Duration
	ByWork   bool // worth counts by the work of a request
	Zones    []string
	Kinds    []Kind
	Classes  []Class
	Servers  []ServerSpec // at the start
	Rules    Rules
	Clients  Clients
	Rate     float64 // first tries a second
	List     ListSpec
	Records  RecordsSpec
	Network  NetworkSpec
	Report   ReportSpec
	Timeline []Change // in order of time
	Marks    []Mark   // the incidents as written, for people
}

// Mark is an incident on the page.
type Mark struct {
	From, To time.Duration
	Text     string
}

// NetworkSpec is the network between agents and servers.
type NetworkSpec struct {
	Within time.Duration // one way, within a zone
	Across time.Duration // and between two
	Jitter float64       // share by which a message may be later
}

// ReportSpec is how servers tell their load with answers.
type ReportSpec struct {
	Answers bool
	Every   time.Duration // a report is that old at the most, and one more
	Noise   float64
}

// RecordsSpec is a second source that all agents read beside the list: published records, that come late and are
// sometimes wrong. They tell no drains: a server that drains or is gone is withdrawn from them, later.
type RecordsSpec struct {
	Every  time.Duration // read so often; 0: there are none
	Late   time.Duration // published so long after the truth
	Fail   float64       // share of readings that fail
	Cut    float64       // that lose half of the records and do not say so
	Empty  float64       // that come empty
	Hold   time.Duration // how long the last good reading of failing records holds
	Guard  time.Duration // how long servers stay that a reading suddenly lacks, if they are many
	Settle time.Duration // the least time between two changes of a server's pod that take effect
}

// Settings are what the policy of one agent is told.
func (s *Scenario) Settings(agent int) decide.Settings {
	d := decide.Settings{
		Balancers: s.Agents, Self: agent, Zone: s.ZoneOf(agent), ByWork: s.ByWork, Subscribe: s.List.Asked, Tick: s.Tick,
		MaxAttempts: s.Rules.MaxAttempts, Hedging: s.Rules.SecondCopies, MayCancel: true,
		RetryAfter: s.Rules.MaxRetryAfter > 0, MaxRetryAfter: s.Rules.MaxRetryAfter,
		ConnectTimeout: s.Rules.ConnectTimeout, DrainGrace: s.Rules.DrainGrace, AnswerGrace: s.Rules.AnswerSlack,
		SubscribeWithin: s.Rules.AskWithin, SlowStartShare: s.Rules.ColdShare, SlowStartTime: s.Rules.RampTime,
		OverloadMultiple: s.Rules.FallMultiple, OverloadWindow: s.Rules.FallWindow,
		GoalWhole: 0.45, GoalWindow: 0.35, GoalClass: 0.2, CrossZonePrice: s.Rules.CrossZonePrice,
	}
	for _, c := range s.Classes {
		d.Classes = append(d.Classes, c.Class)
	}
	return d
}

// ZoneOf is the zone of an agent: they are spread over the zones in turn.
func (s *Scenario) ZoneOf(agent int) int { return agent % len(s.Zones) }
