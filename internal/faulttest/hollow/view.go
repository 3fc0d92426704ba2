// Package hollow simulates many lightweight members in one process: the modules that daemons run (membership view,
// ejection, limits) and their encoding, in regions and zones, over a graph of services, in virtual time or over
// loopback sockets. The rest of a daemon is left out: there are no requests, lists or disks. tools/capacity uses it
// to measure how costs grow with the size of a fleet.
package hollow

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/faulttest/virtual"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
)

// Fleet is the name of the lightweight members' fleet. Each message contains it, so it is about as long as a real name.
const Fleet = "vetchhaven"

// View configures a simulation of the membership view.
type View struct {
	Seed    uint64
	Layout  *topology.Layout
	Members int
	Events  []plan.Event // events of members, such as kills and starts
	Marks   []time.Duration
	Length  time.Duration
	Peers   plan.Peers
	Workers int
	// Each is called for each change of a member's view, in order.
	Each func(at time.Duration, member int, a membership.Action)
	// Agreed is the time from which on all running members had the same view until the end; below 0: their views
	// differ at the end.
	Agreed time.Duration
}

// Phase is the cost of a run for an agent between two marks: means over agents and time, except P99 and Most.
type Phase struct {
	From, To  time.Duration
	Out, In   Rate
	Processor float64 // share of a core, for decisions, encoding and the model, but no system calls
}

// Rate is the rate of messages in one direction.
type Rate struct {
	Bytes, Messages float64 // mean, a second
	P99             float64 // bytes a second; the mean over the phase is at most this for 99 of 100 agents
	Most            uint64  // largest number of bytes in one second of any agent
}

// Play runs the simulation, starting from a fleet whose members all have complete views.
func (v *View) Play() ([]Phase, *virtual.Result, error) {
	v.Agreed = -1
	p := &plan.Plan{Name: "hollow", Daemons: v.Members, Zones: 1, Seeds: seeds(v.Layout, v.Members), Length: v.Length, Events: v.Events, Peers: v.Peers}
	used := []time.Duration{processor()}
	o := virtual.Options{Seed: v.Seed, Warm: true, Layout: v.Layout, Codec: transport.Wire{Fleet: Fleet}, Marks: v.Marks, Workers: v.Workers,
		Each: v.Each, Passed: func(int) { used = append(used, processor()) },
		Agreed: func(at time.Duration, same bool) {
			if v.Agreed = -1; same {
				v.Agreed = at
			}
		}}
	if o.Each == nil {
		o.Each = func(time.Duration, int, membership.Action) {}
	}
	r, err := virtual.Play(p, o)
	if err != nil {
		return nil, nil, fmt.Errorf("simulate the view of %d members: %w", v.Members, err)
	}
	return phases(v.Marks, v.Length, used, r.Loads, nil), r, nil
}

// Plus returns p plus the additional cost of other over rest, multiplied by times. Most is the larger one of p and
// other.
func (p Phase) Plus(rest, other Phase, times float64) Phase {
	more := func(r *Rate, rest, other Rate) {
		r.Bytes += times * (other.Bytes - rest.Bytes)
		r.Messages += times * (other.Messages - rest.Messages)
		r.P99 += times * (other.P99 - rest.P99)
		r.Most = max(r.Most, other.Most)
	}
	more(&p.Out, rest.Out, other.Out)
	more(&p.In, rest.In, other.In)
	p.Processor += times * (other.Processor - rest.Processor)
	return p
}

// Differ returns the number of different views at the end of a run.
func Differ(r *virtual.Result) int {
	all := map[uint64]bool{}
	for _, v := range r.Views {
		if v != nil {
			all[v.Digest()] = true
		}
	}
	return len(all)
}

// seeds returns two members of each region as the addresses by which restarted members find the fleet.
func seeds(l *topology.Layout, members int) []int {
	if l == nil {
		return []int{0, min(1, members-1)}
	}
	var all []int
	for region := range l.Regions() {
		in := l.InRegion(region)
		all = append(all, in[:min(2, len(in))]...)
	}
	return all
}

func rate(loads [][]virtual.Load, span time.Duration, of func([]virtual.Load) virtual.Flow) (r Rate) {
	each := make([]float64, 0, len(loads))
	for _, l := range loads {
		f := of(l)
		r.Bytes += float64(f.Bytes)
		r.Messages += float64(f.Messages)
		r.Most = max(r.Most, f.Most)
		each = append(each, float64(f.Bytes)/span.Seconds())
	}
	all := span.Seconds() * float64(len(loads))
	r.Bytes, r.Messages = r.Bytes/all, r.Messages/all
	slices.Sort(each)
	r.P99 = each[min(len(each)-1, len(each)*99/100)]
	return r
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory returns the heap size of one member's view of a fleet, built from records decoded from the wire format.
func Memory(members int) (bytes uint64, err error) {
	wire := transport.Wire{Fleet: Fleet}
	x := &membership.Exchange{From: plan.Name(0)}
	for n := range members {
		x.Records = append(x.Records, membership.Record{Name: plan.Name(n), Addr: fmt.Sprintf("10.77.%d.%d:7946", n/250, n%250+1), Zone: fmt.Sprintf("r%d-z%d", n%5+1, n%3+1), Version: "1.0.0",
			Boot: 1_790_000_000 + uint64(n), RunID: uint64(n)*2654435761 + 1, Instances: 1, Balancers: 1})
	}
	data, err := wire.Marshal(plan.Name(0), x)
	if err != nil {
		return 0, err
	}
	read, err := wire.Unmarshal(data)
	if err != nil {
		return 0, err
	}
	before := heap()
	first := x.Records[0]
	v, err := membership.New(membership.Settings{Name: first.Name, Addr: first.Addr, Zone: first.Zone, Version: first.Version, Boot: first.Boot, RunID: first.RunID,
		Instances: 1, Balancers: 1, TakesOver: true, KnownMembers: read.(*membership.Exchange).Records, MaxMembers: cmp.Or(members, membership.DefaultMaxMembers)}, 1)
	if err != nil {
		return 0, err
	}
	v.Step(0)
	bytes = heap() - before + uint64(len(data)) // the decoded records were on the heap before; their size is estimated by that of the message
	if got := len(v.Members()); got != members {
		return 0, fmt.Errorf("a view of %d members holds %d", members, got)
	}
	runtime.KeepAlive(read)
	return bytes, nil
}

func heap() uint64 {
	runtime.GC()
	runtime.GC() // objects in sync.Pools are freed only by the second run
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
