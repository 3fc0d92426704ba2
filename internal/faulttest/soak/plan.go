package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// IncidentKind is the kind of an incident.
type IncidentKind string

// Kinds of incidents. Each applies to the picked agents or servers; incidents of clients apply to all clients of the
// picked agents.
const (
	AgentTerm      IncidentKind = "agent-term"   // SIGTERM, then a new process
	AgentKill      IncidentKind = "agent-kill"   // SIGKILL, then a new process
	AgentReload    IncidentKind = "agent-reload" // repeated SIGHUP
	AgentHold      IncidentKind = "agent-hold"   // SIGSTOP for up to 0.15 s, repeatedly
	DaemonHandover IncidentKind = "daemon-handover"

	ServersFaulty IncidentKind = "servers"
	ServersCrash  IncidentKind = "servers-crash"  // and restart at another address, where slow start applies
	ServersDrain  IncidentKind = "servers-drain"  // the list reports them as draining, and later as ready
	ServersRejoin IncidentKind = "servers-rejoin" // the list removes them, and they come back with a new process
	ListFaulty    IncidentKind = "list"
	ClientsFaulty IncidentKind = "clients"

	AgentSignals      IncidentKind = "agent-signals" // a SignalSeries
	Crowd             IncidentKind = "crowd"         // idle clients use up an agent's file descriptors
	Quiet             IncidentKind = "quiet"         // no client sends a request
	DirectoriesFaulty IncidentKind = "directories"   // a DirectoryFault
)

// Incident is one incident of a run.
type Incident struct {
	Kind  IncidentKind  `json:"what"`
	At    time.Duration `json:"at"`
	For   time.Duration `json:"for"`
	Picks []int         `json:"picks"` // numbers of the affected agents or servers
	Way   int           `json:"way"`   // number of the ServerFault, ListFault, ClientFault, SignalSeries or DirectoryFault
}

// String returns the incident as one line of a plan.
func (t Incident) String() string {
	return fmt.Sprintf("%s way %d at %.1f s for %.1f s: %v", t.Kind, t.Way, t.At.Seconds(), t.For.Seconds(), t.Picks)
}

// Plan is the plan of a run, drawn from its seed.
type Plan struct {
	Seed      uint64        `json:"seed"`
	Agents    int           `json:"agents"`  // processes of `run`
	Daemons   int           `json:"daemons"` // processes of `serve`
	Servers   int           `json:"servers"`
	Length    time.Duration `json:"length"`
	Deadline  time.Duration `json:"deadline,omitempty"` // longest deadline of all classes; 0: shortDeadline
	Faults    []string      `json:"faults"`             // environment variables of all processes, which enable injected faults
	Incidents []Incident    `json:"troubles"`
}

// String returns the plan as the soak test prints it, with one incident a line.
func (p Plan) String() string {
	lines := []string{fmt.Sprintf("seed %d: %d agents, %d daemons, %d servers, %v, deadline %v", p.Seed, p.Agents, p.Daemons, p.Servers, p.Length, p.deadline()), "  faults: " + strings.Join(p.Faults, " ")}
	for _, t := range p.Incidents {
		lines = append(lines, "  "+t.String())
	}
	return strings.Join(lines, "\n")
}

// deadline returns the longest deadline of all classes.
func (p Plan) deadline() time.Duration { return cmp.Or(p.Deadline, shortDeadline) }

// Size is the size of a run.
type Size struct {
	Agents, Daemons, Servers int
	Length                   time.Duration
}

// processFaults are the sets of process faults. A run has one or two of them; some are empty.
var processFaults = [][]string{
	nil, nil,
	{"VETCHHAVEN_FAULT_WRITE_HOLD=30", "VETCHHAVEN_FAULT_WRITE_HOLD_MS=150"},
	{"VETCHHAVEN_FAULT_CLOCK_S=-3600"},
	{"VETCHHAVEN_FAULT_CLOCK_S=3600"},
	{"VETCHHAVEN_FAULT_CLOCK_STEP_S=-3600", "VETCHHAVEN_FAULT_CLOCK_AFTER_S=3"},
	{"VETCHHAVEN_FAULT_CLOCK_STEP_S=7", "VETCHHAVEN_FAULT_CLOCK_AFTER_S=4"},
	{"VETCHHAVEN_FAULT_ACCEPT=10"},
	{"VETCHHAVEN_FAULT_CONNECT=20"},
	{"VETCHHAVEN_FAULT_CONNECT_LATE=3", "VETCHHAVEN_FAULT_CONNECT_LATE_MS=600"},
	{"VETCHHAVEN_FAULT_SHORT=4"},
	{"VETCHHAVEN_FAULT_RESET_ERRNO=110"},
	{"VETCHHAVEN_FAULT_RESET_ERRNO=113"},
	{"VETCHHAVEN_FAULT_DISK_FROM_MS=1000", "VETCHHAVEN_FAULT_DISK_TO_MS=6000"},
}

// Draw draws a plan from a seed: at several times, two or three incidents begin, which may last beyond the next such
// time.
func Draw(seed uint64, size Size) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	p := Plan{Seed: seed, Agents: size.Agents, Daemons: size.Daemons, Servers: size.Servers, Length: size.Length}
	for range 1 + rng.IntN(2) {
		p.Faults = append(p.Faults, processFaults[rng.IntN(len(processFaults))]...)
	}
	p.Faults = append(p.Faults, fmt.Sprintf("VETCHHAVEN_FAULT_SEED=%d", rng.Uint32()))
	last := size.Length - size.Length/4
	for at := time.Duration(0.5 * float64(time.Second)); at < last; at += time.Duration((1.5 + 1.5*rng.Float64()) * float64(time.Second)) {
		for range 2 + rng.IntN(2) {
			t := drawIncident(rng, size)
			t.At = at + time.Duration(rng.Float64()*0.6*float64(time.Second))
			p.Incidents = append(p.Incidents, t)
		}
	}
	p.addExtraIncidents(size)
	slices.SortStableFunc(p.Incidents, func(a, b Incident) int { return int(a.At - b.At) })
	return p.WithFaults(p.Faults)
}

// WithFaults returns the plan with these process faults. If writes are delayed, SIGSTOP incidents are dropped: a
// process may be paused for 0.15 s by only one of the two, since the rules allow for one pause between a check and
// its action.
func (p Plan) WithFaults(faults []string) Plan {
	p.Faults = faults
	if p.holdsWrites() {
		p.Incidents = slices.DeleteFunc(slices.Clone(p.Incidents), func(t Incident) bool { return t.Kind == AgentHold })
	}
	return p
}

// holdsWrites reports whether the writes of the processes are delayed.
func (p Plan) holdsWrites() bool {
	return slices.ContainsFunc(p.Faults, func(f string) bool { return strings.HasPrefix(f, "VETCHHAVEN_FAULT_WRITE_HOLD_MS") })
}

func drawIncident(rng *rand.Rand, size Size) Incident {
	span := func(least, most float64) time.Duration {
		return time.Duration((least + (most-least)*rng.Float64()) * float64(time.Second))
	}
	agents := func(most int) []int { return pick(rng, size.Agents+size.Daemons, 1+rng.IntN(max(1, most))) }
	servers := func() []int { return pick(rng, size.Servers, 1+rng.IntN(max(1, size.Servers/4))) }
	switch rng.IntN(16) {
	case 0, 1, 2:
		return Incident{Kind: AgentTerm, For: span(0, 0.5), Picks: agents((size.Agents + size.Daemons) / 4)}
	case 3:
		return Incident{Kind: AgentKill, For: span(0, 0.5), Picks: agents(2)}
	case 4:
		return Incident{Kind: AgentReload, For: span(0.2, 1.5), Picks: agents(3)}
	case 5:
		return Incident{Kind: AgentHold, For: span(0.5, 2), Picks: agents(2)}
	case 6:
		if size.Daemons > 0 {
			return Incident{Kind: DaemonHandover, Picks: []int{size.Agents + rng.IntN(size.Daemons)}}
		}
		return Incident{Kind: AgentReload, For: span(0.2, 1.5), Picks: agents(3)}
	case 7:
		return Incident{Kind: ServersCrash, For: span(0.2, 2), Picks: servers()}
	case 8:
		return Incident{Kind: ServersDrain, For: span(1, 4), Picks: servers()}
	case 9:
		return Incident{Kind: ServersRejoin, For: span(0.3, 1.5), Picks: servers()}
	case 10, 11:
		return Incident{Kind: ServersFaulty, For: span(0.5, 3), Picks: servers(), Way: 1 + rng.IntN(int(ServerSilent))}
	case 12, 13:
		return Incident{Kind: ListFaulty, For: span(0.5, 5), Picks: pick(rng, size.Agents+size.Daemons, size.Agents+size.Daemons), Way: 1 + rng.IntN(int(ListCuts))}
	default:
		return Incident{Kind: ClientsFaulty, For: span(1, 4), Picks: agents(size.Agents + size.Daemons), Way: 1 + rng.IntN(int(ClientsTrickle))}
	}
}

func pick(rng *rand.Rand, from, count int) []int {
	all := rng.Perm(from)
	all = all[:min(count, from)]
	slices.Sort(all)
	return all
}
