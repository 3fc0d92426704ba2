// Package ejectionsim simulates outlier ejection by a fleet in virtual time: servers that fail, links between agents
// and servers or between members that lose messages, and endpoint lists that arrive late. Each agent sends its requests
// to the servers that neither the agent itself nor its member has ejected. The simulation knows the actual state of the
// servers. It counts requests that a faulty server failed, and ejections of healthy servers.
//
// The result of Run depends only on its Options: the same seed gives the same result. Simulations share no state and
// may run in parallel. The package is used by tests, tools/verdicts, tools/capacity and the simulation of lightweight
// members.
package ejectionsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/peer/ejection"
)

// Options configure a simulation. Times passed to functions are virtual times since the start.
type Options struct {
	Seed     uint64
	Agents   int
	Servers  int
	Rate     float64 // requests a second of each agent
	Duration time.Duration
	// ErrorRate is the share of requests that fail by chance, at any server.
	ErrorRate float64
	// ShareEvidence makes members exchange evidence. Otherwise each agent decides independently.
	ShareEvidence bool
	// LocalEjection makes each agent eject a server on its own after a failure, for twice as long after each further
	// failure, as package decide does.
	LocalEjection bool

	// FailureShare returns the share of requests that fail because of a fault of the server.
	FailureShare func(server int, now time.Duration) float64
	// Unresponsive makes faulty servers fail without a response.
	Unresponsive bool
	// LinkLoss returns the share of requests that the link between an agent and a server loses.
	LinkLoss func(agent, server int, now time.Duration) float64
	// PeerPath returns the share of messages between two members that is lost, and the delay of the others.
	PeerPath func(from, to int, now time.Duration) (lost float64, delay time.Duration)
	// Drains are the servers that drain.
	Drains []Drain

	// ServersOf returns the servers that an agent sends to. nil: all servers; an empty result: none.
	ServersOf func(agent int) []int
	// ListOf returns the endpoint list of a server. An agent reads the lists of the servers that it sends to. nil:
	// there is one list, which all agents read.
	ListOf func(server int) string
	// LocalityOf returns the locality of the agent and of the server with that number. nil: all agents are in one zone,
	// and the servers in three.
	LocalityOf func(number int) (region, zone string)
	// UsesFirstFormat reports whether an agent's member sends messages with format 1 and announces no subscriptions.
	// nil: no member does.
	UsesFirstFormat func(agent int) bool
	// SampleInterval is the interval in which agents report outcomes to their members. The requests of an interval are
	// then simulated together, which is much faster at high rates. 0: each request is reported by itself.
	SampleInterval time.Duration

	// MessageSize returns the size of a message on the wire in bytes. nil: sizes are estimated.
	MessageSize func(from string, m *ejection.Message) int
	// OnSent and OnReceived are called for each message that is sent and for each that arrives. nil: not called.
	OnSent, OnReceived func(now time.Duration, member, bytes int)
	// OnLog is called for each log line. nil: not called.
	OnLog func(now time.Duration, agent int, text string)
}

// Drain is a server that starts draining at a time. Each member's list announces the drain within a second, and the
// removal of the server ten seconds later.
type Drain struct {
	Server int
	At     time.Duration
}

// Result holds the results of a simulation.
type Result struct {
	Requests       int
	FailedByServer int // requests that failed because of a fault of the server

	Ejections         int             // ejections at all members
	EjectingMembers   []int           // the members that ejected a failing server, in the order of EjectionDelays
	EjectionDelays    []time.Duration // times from when a server began to fail until a member ejected it
	ReadmissionDelays []time.Duration // times from when a server recovered until a member readmitted it
	EndedEjections    []EndedEjection
	WrongEjections    int           // ejections of servers that did not fail
	WrongDuration     time.Duration // total duration of wrong ejections over all members
	WrongMembers      []int         // the members with wrong ejections
	WrongReachable    int           // wrong ejections without a broken link to the server within MaxEvidenceAge
	MaxReadmittedRate int           // most requests in one second to a server that recovered less than 30 s ago

	Messages int
	Bytes    int
}

// EndedEjection is an ejection that ended at a member.
type EndedEjection struct {
	Agent    int
	At       time.Duration
	Duration time.Duration
}

const (
	// clockOffset is added to virtual times that are passed to members, because 0 means never to them.
	clockOffset = time.Hour
	// rngStream makes these random numbers independent of those of other packages with the same seed.
	rngStream = 41
	// defaultList is the list of all servers if Options.ListOf is nil.
	defaultList = "main"
	// drainAnnouncement is the time within which each member's list announces a drain, and removalDelay the time from
	// that until it announces the removal.
	drainAnnouncement = time.Second
	removalDelay      = 10 * time.Second
	// startedMS is the start time of all servers' processes, which never restart.
	startedMS = 1
)

// agent is an agent with its member.
type agent struct {
	number  int
	member  *ejection.Member               // nil: the agent shares no evidence
	wakeAt  time.Duration                  // time of the member's next step without events
	servers []int                          // servers that the agent sends to; nil: all
	samples map[int]ejection.OutcomeSample // unreported outcomes, by server; nil: each request is reported by itself
	lists   map[string][]ejection.Server   // lists that the agent reads, by name
	changed []ejection.Server              // all servers by this agent's lists; nil until its lists have changed

	ejectedUntil   map[string]time.Duration // ejections by the member, by server ID
	ejectedSince   []time.Duration          // by server
	wronglySince   []time.Duration          // start of a wrong ejection, by server; 0: none
	localUntil     []time.Duration          // end of the agent's own ejection, by server
	localEjections []int                    // consecutive local ejections without a success between them, by server
}

// simulation is the state of one Run.
type simulation struct {
	options      Options
	rng          *rand.Rand
	now          time.Duration
	queue        eventqueue.Queue
	agents       []*agent
	result       Result
	failingSince []time.Duration   // by server; 0: the server does not fail
	recoveredAt  []time.Duration   // recovery after a failure, by server; 0: the server fails, or never failed
	recent       [][]time.Duration // times of the requests in the last second, by recovered server
}

func memberName(number int) string { return fmt.Sprint("m", number) }
func serverID(number int) string   { return fmt.Sprint("main/s", number) }

// Run runs a simulation until Options.Duration. It returns an error if the members' settings are invalid.
func Run(o Options) (*Result, error) {
	sim := &simulation{
		options:      o,
		rng:          rand.New(rand.NewPCG(o.Seed, rngStream)),
		failingSince: make([]time.Duration, o.Servers),
		recoveredAt:  make([]time.Duration, o.Servers),
		recent:       make([][]time.Duration, o.Servers),
	}
	servers, lists := sim.listServers()
	peers := make([]ejection.Peer, o.Agents)
	for n := range o.Agents {
		if err := sim.startAgent(n, lists, &peers[n]); err != nil {
			return nil, err
		}
	}
	if o.ShareEvidence {
		sim.startMembers(membersChanged(peers))
	}
	sim.scheduleDrains(servers)
	sim.observeServers()
	for at, do, ok := sim.queue.Next(o.Duration); ok; at, do, ok = sim.queue.Next(o.Duration) {
		sim.now = at
		do()
	}
	sim.addOpenWrongEjections()
	return &sim.result, nil
}

// at schedules an event.
func (sim *simulation) at(t time.Duration, do func()) {
	sim.queue.At(max(t, sim.now), do)
}

// listServers returns all servers, and the servers of each list.
func (sim *simulation) listServers() (all []ejection.Server, lists map[string][]ejection.Server) {
	lists = map[string][]ejection.Server{}
	for n := range sim.options.Servers {
		s := ejection.Server{ID: serverID(n), StartedMS: startedMS, Zone: fmt.Sprint(n % 3), Pod: n % 4}
		if sim.options.LocalityOf != nil {
			_, s.Zone = sim.options.LocalityOf(n)
		}
		all = append(all, s)
		list := sim.listOf(n)
		lists[list] = append(lists[list], s)
	}
	return all, lists
}

// listOf returns the list of a server.
func (sim *simulation) listOf(server int) string {
	if sim.options.ListOf == nil {
		return defaultList
	}
	return sim.options.ListOf(server)
}

// startAgent creates an agent and its member, and schedules its first request.
func (sim *simulation) startAgent(number int, lists map[string][]ejection.Server, peer *ejection.Peer) error {
	o := &sim.options
	a := sim.newAgent(number, lists)
	if o.LocalityOf != nil {
		peer.Region, peer.Zone = o.LocalityOf(number)
	}
	settings := ejection.Settings{Name: memberName(number), RunID: 1}
	if o.UsesFirstFormat != nil && o.UsesFirstFormat(number) {
		settings.FormatVersion = 1
	} else {
		peer.Subscriptions = ejection.NewSubscriptionFilter(slices.Sorted(maps.Keys(a.lists)))
	}
	sim.agents = append(sim.agents, a)
	if o.ShareEvidence {
		member, err := ejection.New(settings, sim.rng.Uint64())
		if err != nil {
			return err
		}
		a.member = member
	}
	if a.servers != nil && len(a.servers) == 0 {
		return nil
	}
	if o.SampleInterval > 0 {
		a.samples = map[int]ejection.OutcomeSample{}
		sim.at(time.Duration(sim.rng.Float64()*float64(o.SampleInterval)), func() { sim.sendBatch(a) })
		return nil
	}
	sim.scheduleRequest(a)
	return nil
}

func (sim *simulation) newAgent(number int, lists map[string][]ejection.Server) *agent {
	o := &sim.options
	a := &agent{
		number:         number,
		lists:          lists,
		ejectedUntil:   map[string]time.Duration{},
		ejectedSince:   make([]time.Duration, o.Servers),
		wronglySince:   make([]time.Duration, o.Servers),
		localUntil:     make([]time.Duration, o.Servers),
		localEjections: make([]int, o.Servers),
	}
	if o.ServersOf != nil {
		a.servers = o.ServersOf(number)
	}
	if o.ListOf != nil && a.servers != nil {
		a.lists = map[string][]ejection.Server{}
		for _, s := range a.servers {
			a.lists[o.ListOf(s)] = lists[o.ListOf(s)]
		}
	}
	return a
}

// startMembers passes the membership and its lists to each member.
func (sim *simulation) startMembers(members ejection.MembersChanged) {
	for _, a := range sim.agents {
		events := []ejection.Event{members}
		for _, list := range slices.Sorted(maps.Keys(a.lists)) {
			events = append(events, ejection.ListUpdated{Source: list, Servers: a.lists[list]})
		}
		sim.step(a, events...)
	}
}

// membersChanged returns the event that passes the membership to a member, with the names ascending.
func membersChanged(peers []ejection.Peer) ejection.MembersChanged {
	order := make([]int, len(peers))
	for n := range order {
		order[n] = n
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(memberName(a), memberName(b)) })
	var e ejection.MembersChanged
	for _, n := range order {
		e.Names = append(e.Names, memberName(n))
		e.Peers = append(e.Peers, peers[n])
	}
	return e
}

func (sim *simulation) scheduleDrains(servers []ejection.Server) {
	for _, d := range sim.options.Drains {
		for _, a := range sim.agents {
			at := d.At + time.Duration(sim.rng.Float64()*float64(drainAnnouncement))
			sim.at(at, func() { sim.updateList(a, servers, d.Server, ejection.Draining) })
			sim.at(at+removalDelay, func() { sim.updateList(a, servers, d.Server, ejection.Removed) })
		}
	}
}
