// Package ejectionsim simulates members that agree on outlier ejection, in virtual time: servers that fail, links between
// agents and servers or among members that lose messages, and endpoint lists that arrive late. Each agent sends its
// requests to the servers that neither it nor its member has ejected. The simulation knows the truth, and counts requests
// that a faulty server failed and ejections of servers that were well.
//
// Run is a function of its Options: the same seed gives the same result. Simulations share nothing, and may run in
// parallel. Tests, tools/verdicts, tools/capacity and the simulation of lightweight members use it.
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

// Options configure a simulation. Functions are called with virtual time since its start.
type Options struct {
	Seed     uint64
	Agents   int
	Servers  int
	Rate     float64 // requests a second of each agent
	Duration time.Duration
	// ErrorRate is the share of all requests that fails by chance, at any server.
	ErrorRate float64
	// ShareEvidence has members exchange evidence; else each agent is by itself.
	ShareEvidence bool
	// LocalEjection has each agent eject by itself a server that failed it, for longer each time, as package decide does.
	LocalEjection bool

	// FailureShare is the share of requests that a server fails, by its own fault.
	FailureShare func(server int, now time.Duration) float64
	// Unresponsive has servers fail without a response.
	Unresponsive bool
	// LinkLoss is the share of requests that the link between an agent and a server loses.
	LinkLoss func(agent, server int, now time.Duration) float64
	// PeerPath is the share of messages between two members that is lost, and the delay of the others.
	PeerPath func(from, to int, now time.Duration) (lost float64, delay time.Duration)
	// Drains are servers that drain.
	Drains []Drain

	// ServersOf are the servers that an agent sends to. nil: all; an empty result: none.
	ServersOf func(agent int) []int
	// ListOf is the endpoint list of a server. An agent reads the lists of the servers that it sends to. nil: one list,
	// which all read.
	ListOf func(server int) string
	// LocalityOf is the locality of the agent, and of the server, of that number. nil: all agents in one zone, and servers
	// in three.
	LocalityOf func(number int) (region, zone string)
	// UsesFirstFormat reports whether an agent's member sends messages of format 1, and announces no subscriptions. nil:
	// none does.
	UsesFirstFormat func(agent int) bool
	// SampleInterval is how often agents report outcomes to their members; requests are then drawn so many at a time, which
	// is much faster at high rates. 0: each request is reported by itself.
	SampleInterval time.Duration

	// MessageSize returns the bytes of a message on the wire. nil: an estimate.
	MessageSize func(from string, m *ejection.Message) int
	// OnSent and OnReceived are called with each message sent, and each that arrives. nil: not called.
	OnSent, OnReceived func(now time.Duration, member, bytes int)
	// OnLog is called with each log line. nil: not called.
	OnLog func(now time.Duration, agent int, text string)
}

// Drain is a server that drains from a time on. Each member's list announces it within a second, and its removal ten
// seconds later.
type Drain struct {
	Server int
	At     time.Duration
}

// Result is what happened, by the truth that the simulation knows.
type Result struct {
	Requests       int
	FailedByServer int // requests that a server failed by its own fault

	Ejections         int             // at all members
	EjectingMembers   []int           // the members that ejected a failing server, in the order of EjectionDelays
	EjectionDelays    []time.Duration // from when a server began to fail until a member ejected it
	ReadmissionDelays []time.Duration // from when a server was well until a member readmitted it
	EndedEjections    []EndedEjection
	WrongEjections    int           // of servers that did not fail
	WrongDuration     time.Duration // sum over members
	WrongMembers      []int         // the members that had them
	WrongReachable    int           // those at members whose link to the server was not broken while evidence lasts
	MaxReadmittedRate int           // requests in any second to a server that was well for less than 30 s

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
	// clockOffset is added to virtual time for members: to them 0 stands for never.
	clockOffset = time.Hour
	// rngStream separates these random numbers from those of others with the same seed.
	rngStream = 41
	// defaultList is the list of all servers where Options.ListOf is nil.
	defaultList = "main"
	// drainAnnouncement is the time within which each member's list announces a drain, and removalDelay when it announces
	// the removal after that.
	drainAnnouncement = time.Second
	removalDelay      = 10 * time.Second
	// startedMS is the start of all servers' processes, which never restart.
	startedMS = 1
)

// agent is an agent with its member.
type agent struct {
	number  int
	member  *ejection.Member               // nil: it shares no evidence
	wakeAt  time.Duration                  // the member's next step without events
	servers []int                          // that it sends to; nil: all
	samples map[int]ejection.OutcomeSample // not reported yet, by server; nil: each request is reported by itself
	lists   map[string][]ejection.Server   // that it reads, by name
	changed []ejection.Server              // all servers by its lists, once these differ from the others'

	ejectedUntil   map[string]time.Duration // by its member
	ejectedSince   []time.Duration          // by server
	wronglySince   []time.Duration          // the server is ejected wrongly since then; 0: it is not
	localUntil     []time.Duration          // ejected by the agent itself
	localEjections []int                    // local ejections without a success between
}

// world is one simulation.
type world struct {
	options      Options
	rng          *rand.Rand
	now          time.Duration
	queue        eventqueue.Queue
	agents       []*agent
	result       Result
	failingSince []time.Duration   // by server; 0: it does not fail
	wellSince    []time.Duration   // after it failed; 0: it fails, or never did
	recent       [][]time.Duration // requests of the last second to a server that is well again
}

func memberName(number int) string { return fmt.Sprint("m", number) }
func serverID(number int) string   { return fmt.Sprint("main/s", number) }

// Run simulates until Options.Duration. It returns an error if the members' settings are refused.
func Run(o Options) (*Result, error) {
	w := &world{
		options:      o,
		rng:          rand.New(rand.NewPCG(o.Seed, rngStream)),
		failingSince: make([]time.Duration, o.Servers),
		wellSince:    make([]time.Duration, o.Servers),
		recent:       make([][]time.Duration, o.Servers),
	}
	servers, lists := w.listServers()
	peers := make([]ejection.Peer, o.Agents)
	for n := range o.Agents {
		if err := w.startAgent(n, lists, &peers[n]); err != nil {
			return nil, err
		}
	}
	if o.ShareEvidence {
		w.startMembers(membersChanged(peers))
	}
	w.scheduleDrains(servers)
	w.observeServers()
	for at, do, ok := w.queue.Next(o.Duration); ok; at, do, ok = w.queue.Next(o.Duration) {
		w.now = at
		do()
	}
	w.addOpenWrongEjections()
	return &w.result, nil
}

// at schedules an event.
func (w *world) at(t time.Duration, do func()) {
	w.queue.At(max(t, w.now), do)
}

// listServers returns all servers, and the same by list.
func (w *world) listServers() (all []ejection.Server, lists map[string][]ejection.Server) {
	lists = map[string][]ejection.Server{}
	for n := range w.options.Servers {
		s := ejection.Server{ID: serverID(n), StartedMS: startedMS, Zone: fmt.Sprint(n % 3), Pod: n % 4}
		if w.options.LocalityOf != nil {
			_, s.Zone = w.options.LocalityOf(n)
		}
		all = append(all, s)
		list := w.listOf(n)
		lists[list] = append(lists[list], s)
	}
	return all, lists
}

// listOf returns the list of a server.
func (w *world) listOf(server int) string {
	if w.options.ListOf == nil {
		return defaultList
	}
	return w.options.ListOf(server)
}

// startAgent creates an agent and its member, and begins its requests.
func (w *world) startAgent(number int, lists map[string][]ejection.Server, peer *ejection.Peer) error {
	o := &w.options
	a := w.newAgent(number, lists)
	if o.LocalityOf != nil {
		peer.Region, peer.Zone = o.LocalityOf(number)
	}
	settings := ejection.Settings{Name: memberName(number), RunID: 1}
	if o.UsesFirstFormat != nil && o.UsesFirstFormat(number) {
		settings.FormatVersion = 1
	} else {
		peer.Subscriptions = ejection.NewSubscriptionFilter(slices.Sorted(maps.Keys(a.lists)))
	}
	w.agents = append(w.agents, a)
	if o.ShareEvidence {
		member, err := ejection.New(settings, w.rng.Uint64())
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
		w.at(time.Duration(w.rng.Float64()*float64(o.SampleInterval)), func() { w.sendBatch(a) })
		return nil
	}
	w.scheduleRequest(a)
	return nil
}

func (w *world) newAgent(number int, lists map[string][]ejection.Server) *agent {
	o := &w.options
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

// startMembers gives each member the membership and its lists.
func (w *world) startMembers(members ejection.MembersChanged) {
	for _, a := range w.agents {
		events := []ejection.Event{members}
		for _, list := range slices.Sorted(maps.Keys(a.lists)) {
			events = append(events, ejection.ListUpdated{Source: list, Servers: a.lists[list]})
		}
		w.step(a, events...)
	}
}

// membersChanged returns the membership, ascending by name.
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

func (w *world) scheduleDrains(servers []ejection.Server) {
	for _, d := range w.options.Drains {
		for _, a := range w.agents {
			at := d.At + time.Duration(w.rng.Float64()*float64(drainAnnouncement))
			w.at(at, func() { w.updateList(a, servers, d.Server, ejection.Draining) })
			w.at(at+removalDelay, func() { w.updateList(a, servers, d.Server, ejection.Removed) })
		}
	}
}
