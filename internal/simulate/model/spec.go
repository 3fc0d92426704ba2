package model

import (
	"time"

	"vetchhaven/decide"
)

// Kind is a kind of server machine. Work is measured as time on a standard core.
type Kind struct {
	Name         string
	Cores        int
	Speed        float64       // of one core, in standard cores
	Spread       float64       // coefficient of variation of Speed among servers of the kind
	Slots        int           // requests processed at once
	Queue        int           // maximum of waiting requests; further ones are rejected without being processed
	Thrash       float64       // efficiency lost for each held request per core above ThrashAt
	ThrashAt     float64       // held requests per core
	ColdShare    float64       // share of the capacity that a process has when it has just started
	ColdFor      time.Duration // time until a process is warm
	WarmByWork   bool          // work done speeds up the warm-up, which otherwise progresses evenly over ColdFor
	PauseEvery   time.Duration // mean time between pauses; 0: none
	Pause        time.Duration // mean length of a pause while the server is idle
	PauseGrow    float64       // relative growth of a pause for each held request per slot, up to 4 requests
	ErrorRate    float64       // share of requests that fail without any incident
	Connections  int           // maximum of accepted connections
	Backlog      int           // maximum of further connections, which are established but wait to be accepted
	Handshake    time.Duration // work that a new connection costs
	HandshakeRTT float64       // round trips before the first request on a new connection
}

// Capacity returns the work that a warm, healthy server of the kind does in a unit of time.
func (k *Kind) Capacity() float64 { return float64(min(k.Cores, k.Slots)) * k.Speed }

// Class is a class of requests: the profile that the policy receives, and how its requests are generated.
type Class struct {
	decide.Class
	Name  string
	Share float64 // of the clients' first tries
	Work  time.Duration
	Vary  float64 // coefficient of variation of the work among requests
	Noise float64 // coefficient of variation of the work among the attempts of one request
	Hint  float64 // coefficient of variation of the work hint around the work; negative: no hint
}

// Rules are the parameters of the four rules that package checker describes, and further settings of agents. Names in
// parentheses are those of decide.Settings.
type Rules struct {
	MaxAttempts    int
	SecondCopies   bool // two attempts of one request may be open at once (Hedging)
	ConnectTimeout time.Duration
	IdleClose      time.Duration // servers close a connection after this time without a request
	DrainGrace     time.Duration // time in which new attempts at a draining server are still allowed
	AnswerSlack    time.Duration // time after its deadline in which a final answer still counts (AnswerGrace)
	AskWithin      time.Duration // longest time without an attempt to subscribe, until subscribed (SubscribeWithin)
	ColdShare      float64       // least share of its capacity that a server starts with (SlowStartShare)
	RampTime       time.Duration // time after its start by which a server has its full capacity (SlowStartTime)
	FallMultiple   float64       // load, as a multiple of its capacity, above which a cold server ends (OverloadMultiple)
	FallWindow     time.Duration // time over which that load is measured (OverloadWindow)
	CrossZonePrice float64       // cost of an attempt in another zone, as a share of a request's value
	MaxRetryAfter  time.Duration // 0: refusals carry no Retry-After
}

// ServerSpec describes a server that exists at some time of the simulation.
type ServerSpec struct {
	Name  string // its ID
	Place int    // its address; a server that replaces another may have the same
	Kind  int
	Zone  int
	Pod   int
}

// Clients describes how clients retry.
type Clients struct {
	Tries    int           // maximum number of tries, the first included
	Wait     time.Duration // time before the next try; 0: at once
	Heed     float64       // share of clients that obey the Retry-After of a refusal
	Patience float64       // share of the class's deadline that a client waits for each try except the last one
}

// Scenario describes a simulation completely.
type Scenario struct {
	Title    string
	Length   time.Duration
	Agents   int
	Uneven   float64 // imbalance of the traffic among agents: 0 even, 1 in inverse proportion to the agent's position
	Vary     float64 // coefficient of variation of a further random factor on each agent's traffic
	Tick     time.Duration
	ByWork   bool // the value of a request is multiplied by its work
	Zones    []string
	Kinds    []Kind
	Classes  []Class
	Servers  []ServerSpec // at the start
	Rules    Rules
	Clients  Clients
	Rate     float64 // first tries per second
	List     ListSpec
	Records  RecordsSpec
	Network  NetworkSpec
	Report   ReportSpec
	Timeline []Change // in order of time
	Marks    []Mark   // the incidents as readable text
}

// Mark is an incident as reports show it.
type Mark struct {
	From, To time.Duration
	Text     string
}

// NetworkSpec is the network between agents and servers.
type NetworkSpec struct {
	Within time.Duration // one-way delay within a zone
	Across time.Duration // one-way delay between two zones
	Jitter float64       // maximum of the random extra delay, as a share of the delay
}

// ReportSpec describes how servers report their load with their answers.
type ReportSpec struct {
	Answers bool
	Every   time.Duration // reporting period; a report is between one and two periods old
	Noise   float64
}

// RecordsSpec describes a second discovery source that all agents read in addition to the list: published records,
// which are late and sometimes wrong. They don't show draining: a server that drains or is removed disappears from
// them later.
type RecordsSpec struct {
	Every  time.Duration // interval between readings; 0: there are no records
	Late   time.Duration // delay after which changes are published
	Fail   float64       // share of readings that fail
	Cut    float64       // share of readings that silently lack half of the records
	Empty  float64       // share of readings that are empty
	Hold   time.Duration // how long the last good reading stays valid while readings fail
	Guard  time.Duration // how long servers are kept when many are suddenly missing from a reading
	Settle time.Duration // minimum time between two changes of a server's pod that take effect
	NoPods bool          // the records don't tell servers' pods, like SRV records
}

// Settings returns the settings of one agent's policy.
func (s *Scenario) Settings(agent int) decide.Settings {
	d := decide.Settings{
		Balancers: s.Agents, Self: agent, Zone: s.ZoneOf(agent), ByWork: s.ByWork, Subscribe: s.List.Asked, Tick: s.Tick,
		MaxAttempts: s.Rules.MaxAttempts, Hedging: s.Rules.SecondCopies, MayCancel: true,
		RetryAfter: s.Rules.MaxRetryAfter > 0, MaxRetryAfter: s.Rules.MaxRetryAfter,
		ConnectTimeout: s.Rules.ConnectTimeout, DrainGrace: s.Rules.DrainGrace, AnswerGrace: s.Rules.AnswerSlack,
		SubscribeWithin: s.Rules.AskWithin, SlowStartShare: s.Rules.ColdShare, SlowStartTime: s.Rules.RampTime,
		OverloadMultiple: s.Rules.FallMultiple, OverloadWindow: s.Rules.FallWindow,
		GoalOverall: 0.45, GoalWorstWindow: 0.35, GoalWorstClass: 0.2, CrossZonePrice: s.Rules.CrossZonePrice,
	}
	for _, c := range s.Classes {
		d.Classes = append(d.Classes, c.Class)
	}
	return d
}

// ZoneOf returns the zone of an agent. Agents are assigned to the zones in turn.
func (s *Scenario) ZoneOf(agent int) int { return agent % len(s.Zones) }
