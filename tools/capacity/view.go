package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/faulttest/hollow"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/faulttest/virtual"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/tools/capacity/slopes"
	"vetchhaven/tools/internal/bench"
)

// roundTrips are the round-trip times between regions at which the view is measured, in ms; 0: all members are in one
// place.
var roundTrips = []float64{0, 20, 80, 120, 160, 250}

func viewCommand() *cobra.Command {
	return multiPartCommand("view", "The view of the fleet: bytes, messages, processor time and memory of an agent, with regions",
		"At rest over sizes (one place, five regions 80 ms apart, five regions 20 to 250 ms apart), over round-trip times at one size; on\n"+
			"the ordinary day; when a zone or a region comes back; the memory of one member; the figures of the issue.",
		"100,300,1000", part{"issue", viewIssue}, part{"rest", viewRest}, part{"rounds", viewRounds}, part{"day", viewDay}, part{"worst", viewWorst}, part{"zone", viewZone}, part{"region_restart", viewRegion}, part{"cut", viewCut}, part{"release", viewRelease}, part{"memory", viewMemory}, part{"few", viewFew})
}

const (
	regions = 5
	zones   = 3 // in each region
	settle  = 20 * time.Second
	measure = 40 * time.Second
)

// placement specifies the locations of the members, as the round-trip times between their regions.
type placement struct {
	key, name string
	rtt       float64 // round-trip time between any two regions, in ms; below 0: topology.Mixed
}

var (
	onePlace     = placement{"0ms", "in one place", 0}
	regions80ms  = between(80)
	mixedRegions = placement{"mixed", "five regions, 20 to 250 ms there and back", -1}
)

// between returns five regions with the same round-trip time between any two of them, in ms.
func between(rtt float64) placement {
	if rtt == 0 {
		return onePlace
	}
	return placement{fmt.Sprintf("%vms", rtt), fmt.Sprintf("five regions, %v ms there and back", rtt), rtt}
}

func (p placement) layout(members int, seed uint64) (*topology.Layout, error) {
	if p.rtt < 0 {
		return topology.Mixed(members, zones, seed)
	}
	return topology.New(topology.Spec{Members: members, Regions: regions, Zones: zones, RTT: time.Duration(p.rtt * float64(time.Millisecond)), Seed: seed})
}

// atRest simulates a fleet without any event, and returns the measured phase, which begins when the fleet has settled.
func atRest(members int, p placement, f *flags) (hollow.Phase, error) {
	l, err := p.layout(members, f.seed)
	if err != nil {
		return hollow.Phase{}, err
	}
	v := hollow.View{Seed: f.seed, Layout: l, Members: members, Marks: []time.Duration{settle}, Length: settle + measure, Workers: f.workers}
	phases, _, err := v.Play()
	if err != nil {
		return hollow.Phase{}, err
	}
	return phases[1], nil
}

func (f *flags) row(size any, what string, p hollow.Phase, began time.Time) {
	if f.toml {
		fmt.Fprintf(os.Stderr, "%v agents, %s: %.0f bytes/s out, %.1f messages/s, %d most in a second, %.3f%% of a core, %v\n", size, what, p.Out.Bytes, p.Out.Messages, p.Out.Most, 100*p.Processor, time.Since(began).Round(time.Second))
	} else {
		bench.Row(size, what, p.Out.Bytes, p.Out.P99, p.Out.Most, p.Out.Messages, p.In.Bytes, p.In.Most, p.In.Messages, fmt.Sprintf("%.3f%%", 100*p.Processor), time.Since(began).Round(100*time.Millisecond))
	}
}

func (f *flags) head() {
	if !f.toml {
		bench.Head("agents", "what", "bytes/s out", "99 in 100 agents", "most in a second", "messages/s out", "bytes/s in", "most in a second", "messages/s in", "core", "took")
	}
}

// viewIssue repeats the measurements of an issue report: one member is killed at 24 s, and the links between regions
// are delayed.
func viewIssue(_ []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var points [][2]float64
	for _, c := range []struct {
		members int
		rtt     float64
	}{{50, 10}, {50, 80}, {50, 160}, {50, 240}, {200, 160}} {
		began := time.Now()
		l, err := topology.New(topology.Spec{Members: c.members, Regions: regions, RTT: time.Duration(c.rtt * float64(time.Millisecond))})
		if err != nil {
			return nil, err
		}
		v := hollow.View{Seed: f.seed, Layout: l, Members: c.members, Marks: []time.Duration{settle}, Length: settle + measure, Workers: f.workers,
			Events: []plan.Event{{At: 24 * time.Second, Do: "kill", Who: []int{7}}}}
		phases, _, err := v.Play()
		if err != nil {
			return nil, err
		}
		f.row(c.members, fmt.Sprintf("%v ms there and back, one killed", c.rtt), phases[1], began)
		if c.members == 50 {
			points = append(points, [2]float64{c.rtt, math.Round(phases[1].Out.Bytes)})
		}
	}
	return []slopes.Slope{f.entry(slopes.Slope{Name: "view.bytes_out.issue", Role: "agent", Load: "rest", Quantity: "bytes_out", Unit: "B/s", Mechanism: "view", Variable: "rtt_ms",
		Form: "table", Points: points, Note: "50 agents in five regions, one killed at 24 s; bytes encoded, no heads of UDP and IP"}, "view --part issue")}, nil
}

// viewRest measures the cost at rest over sizes: in one place, with regions 80 ms apart, and with mixed distances.
func viewRest(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var all []slopes.Slope
	for _, at := range []placement{onePlace, regions80ms, mixedRegions} {
		s := f.series("view", "rest", "agents", fmt.Sprintf("%s, seed %d", at.name, f.seed))
		for _, n := range sizes {
			began := time.Now()
			p, err := atRest(n, at, f)
			if err != nil {
				return nil, err
			}
			f.row(n, "at rest, "+at.name, p, began)
			s.add(float64(n), p)
		}
		all = append(all, s.entries("rest_"+at.key, "view --part rest", "log")...)
	}
	return all, nil
}

// viewRounds measures the cost at rest over round-trip times, at the second largest size.
func viewRounds(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	n := sizes[max(0, len(sizes)-2)]
	s := f.series("view", "rest", "rtt_ms", fmt.Sprintf("%d agents in five regions, seed %d", n, f.seed))
	for _, rtt := range roundTrips {
		began, at := time.Now(), between(rtt)
		p, err := atRest(n, at, f)
		if err != nil {
			return nil, err
		}
		f.row(n, "at rest, "+at.name, p, began)
		s.add(rtt, p)
	}
	return s.entries(fmt.Sprintf("rounds_%d", n), "view --part rounds", "table"), nil
}

// Events of an ordinary day among 12,000 agents.
const (
	dayAgents   = 12000
	dayFailures = 20.0
	dayRestarts = 710.0
)

// viewDay measures an ordinary day: each agent's cost of one failure and of one restart in addition to the cost at
// rest, multiplied by the daily rates of a fleet of that size. Events are far more frequent here than on such a day,
// but each one is over before the next begins.
func viewDay(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var all []slopes.Slope
	for _, at := range []placement{regions80ms} { // with round trips longer than the probe timeout, the cost at rest alone exceeds all bounds
		s := f.series("view", "day", "agents", at.name+"; rest, and what a failure and a restart cost beyond it times their rates of a day")
		for _, n := range sizes {
			began := time.Now()
			rest, err := atRest(n, at, f)
			if err != nil {
				return nil, err
			}
			l, err := at.layout(n, f.seed)
			if err != nil {
				return nil, err
			}
			const each, gap = 4, 15 * time.Second
			rng := rand.New(rand.NewPCG(f.seed, 7))
			var events []plan.Event
			for i := range each {
				at := settle + time.Duration(i)*gap
				who := []int{10 + rng.IntN(n-10)}
				events = append(events, plan.Event{At: at, Do: "kill", Who: who}, plan.Event{At: at + each*gap, Do: "term", Who: []int{10 + (who[0]-9)%(n-10)}},
					plan.Event{At: at + each*gap + 4*time.Second, Do: "start", Who: []int{10 + (who[0]-9)%(n-10)}, State: "kept"})
			}
			v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{settle, settle + each*gap}, Length: settle + 2*each*gap, Workers: f.workers, Events: events}
			phases, _, err := v.Play()
			if err != nil {
				return nil, err
			}
			f.row(n, "a failure each 15 s, "+at.name, phases[1], began)
			f.row(n, "a restart each 15 s, "+at.name, phases[2], began)
			p := rest
			share := float64(n) / dayAgents / (24 * 3600) * gap.Seconds()
			for i, times := range []float64{dayFailures, dayRestarts} {
				p = p.Plus(rest, phases[i+1], times*share)
			}
			f.row(n, "the day, "+at.name, p, began)
			s.add(float64(n), p)
		}
		all = append(all, s.entries("day_"+at.key, "view --part day", "linear")...)
	}
	return all, nil
}

// after is the length of the measured phase of a worst minute, which begins when members start or a region is
// reconnected.
const after = 15 * time.Second

// worstLength returns the length of a run from the beginning of the measured phase. It is long enough for all members
// to agree: 1,000 members that start together take 33 s, and above 300 members the time grows with the fleet, since
// bytes_per_s bounds the bytes that each member sends.
func worstLength(members int) time.Duration {
	return max(3*after, time.Duration(members)*45*time.Millisecond)
}

// ceiling returns the maximum of the bytes per second that a member sends, as the mean over the measured phase, in a
// fleet of the target size: bytes_per_s of datagrams, the same on streams, and the allowed burst of each, which is one
// second's bytes and, on streams, one complete view (the claim bytes-most of the fault tests). If members have more to
// send, the fleet takes longer to agree.
func ceiling() (float64, error) {
	whole, err := hollow.FullViewSize(dayAgents)
	return 2*membership.DefaultBytesPerSecond + (2*membership.DefaultBytesPerSecond+float64(whole))/after.Seconds(), err
}

// viewWorst measures a zone, one of fifteen, that fails and whose members restart together, and a region that is cut
// off and is reconnected after five minutes.
func viewWorst(sizes []int, f *flags) ([]slopes.Slope, error) {
	zone, err := viewZone(sizes, f)
	if err != nil {
		return nil, err
	}
	cut, err := viewCut(sizes, f)
	return append(zone, cut...), err
}

// viewZone measures a zone, one of fifteen, that fails and whose members all start together a minute later.
func viewZone(sizes []int, f *flags) ([]slopes.Slope, error) {
	return viewBack(sizes, f, "zone", "linear", "a zone of 15", func(l *topology.Layout) []int { return l.InZone(zones) }) // the first zone of the second region
}

// viewRegion measures a region that fails and whose members all start together a minute later.
func viewRegion(sizes []int, f *flags) ([]slopes.Slope, error) {
	return viewBack(sizes, f, "region_restart", "power", "a region of 5", func(l *topology.Layout) []int { return l.InRegion(1) })
}

func viewBack(sizes []int, f *flags, which, form, words string, of func(*topology.Layout) []int) ([]slopes.Slope, error) {
	f.head()
	at := regions80ms // with round trips longer than the probe timeout, the cost at rest alone exceeds all bounds
	back := f.series("view", "worst", "agents", at.name+"; "+words+" starts at once after 60 s; the 15 s from then. bytes_per_s bounds datagrams, and streams in the mean: past it a fleet takes longer")
	var err error
	if back.ceiling, err = ceiling(); err != nil {
		return nil, err
	}
	for _, n := range sizes {
		began := time.Now()
		l, err := at.layout(n, f.seed)
		if err != nil {
			return nil, err
		}
		who, startAt := of(l), settle+time.Minute
		v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{settle, startAt, startAt + after}, Length: startAt + worstLength(n), Workers: f.workers,
			Events: []plan.Event{{At: settle, Do: "kill", Who: who}, {At: startAt, Do: "start", Who: who, State: "kept"}}}
		phases, r, err := v.Play()
		if err != nil {
			return nil, err
		}
		f.row(n, fmt.Sprintf("%s back, %s; %s", words, at.name, agreed(&v, r, startAt)), phases[2], began)
		back.add(float64(n), phases[2])
		back.agreed(float64(n), v.Agreed-startAt)
	}
	if which == "zone" {
		return back.entries("zone_back_"+at.key, "view --part zone", form), nil
	}
	return back.entries(which+"_"+at.key, "view --part "+which, form), nil
}

// agreed returns a text with the time from the event until all members had the same view.
func agreed(v *hollow.View, r *virtual.Result, from time.Duration) string {
	if v.Agreed < 0 {
		return fmt.Sprintf("%d different views at the end", hollow.Differ(r))
	}
	return fmt.Sprintf("all the same after %v", (v.Agreed - from).Round(time.Millisecond))
}

// viewCut measures a region that is cut off for five minutes and then reconnected.
func viewCut(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	at := regions80ms
	cut, during := f.series("view", "worst", "agents", at.name+"; a region of 5 after five minutes cut off; the 15 s from then"), f.series("view", "worst", "agents", at.name+"; a region of 5 cut off; the third minute of it")
	for _, n := range sizes {
		began := time.Now()
		l, err := at.layout(n, f.seed)
		if err != nil {
			return nil, err
		}
		cutAt := settle
		healAt := cutAt + 5*time.Minute
		l.CutOff(regions-1, cutAt, healAt)
		v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{cutAt + 2*time.Minute, cutAt + 3*time.Minute, healAt, healAt + after}, Length: healAt + worstLength(n), Workers: f.workers}
		phases, r, err := v.Play()
		if err != nil {
			return nil, err
		}
		f.row(n, "a region cut off, "+at.name, phases[1], began)
		f.row(n, fmt.Sprintf("a region back, %s; %s", at.name, agreed(&v, r, healAt)), phases[3], began)
		during.add(float64(n), phases[1])
		cut.add(float64(n), phases[3])
		cut.agreed(float64(n), v.Agreed-healAt)
	}
	return append(during.entries("region_cut_"+at.key, "view --part cut", "linear"), cut.entries("region_back_"+at.key, "view --part cut", "linear")...), nil
}

// viewRelease measures all agents being killed together and starting within a second, with their state kept on disk.
func viewRelease(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	at := regions80ms
	s := f.series("view", "worst", "agents", at.name+"; all agents start within a second, with their disks; the 15 s from then. bytes_per_s bounds datagrams, and streams in the mean: past it a fleet takes longer")
	var err error
	if s.ceiling, err = ceiling(); err != nil {
		return nil, err
	}
	for _, n := range sizes {
		began := time.Now()
		l, err := at.layout(n, f.seed)
		if err != nil {
			return nil, err
		}
		rng := rand.New(rand.NewPCG(f.seed, 9))
		var events []plan.Event
		for who := range n {
			events = append(events, plan.Event{At: settle, Do: "kill", Who: []int{who}},
				plan.Event{At: settle + time.Second + time.Duration(rng.Float64()*float64(time.Second)), Do: "start", Who: []int{who}, State: "kept"})
		}
		startAt := settle + time.Second
		v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{startAt, startAt + after}, Length: startAt + worstLength(n), Workers: f.workers, Events: events}
		phases, r, err := v.Play()
		if err != nil {
			return nil, err
		}
		f.row(n, fmt.Sprintf("all start, %s; %s", at.name, agreed(&v, r, startAt)), phases[1], began)
		s.add(float64(n), phases[1])
		s.agreed(float64(n), v.Agreed-startAt)
	}
	return s.entries("release_"+at.key, "view --part release", "log"), nil // flatter above 300 members, where bytes_per_s bounds the bytes
}

// viewMemory measures the memory of one member's view. It needs no fleet, so it has sizes of its own.
func viewMemory(_ []int, f *flags) ([]slopes.Slope, error) {
	if !f.toml {
		bench.Head("members known", "heap of one view", "for each member", "on a stream, whole")
	}
	var points, streams [][2]float64
	for _, n := range []int{120, 1200, 12000} {
		bytes, err := hollow.Memory(n)
		if err != nil {
			return nil, err
		}
		whole, err := hollow.FullViewSize(n)
		if err != nil {
			return nil, err
		}
		if !f.toml {
			bench.Row(n, fmt.Sprintf("%.2f MB", float64(bytes)/1e6), fmt.Sprintf("%d B", int(bytes)/n), whole)
		}
		streams = append(streams, [2]float64{float64(n), float64(whole)})
		points = append(points, [2]float64{float64(n), fourDigits(float64(bytes))})
	}
	return []slopes.Slope{f.entry(slopes.Slope{Name: "view.memory.rest", Role: "agent", Load: "rest", Quantity: "memory", Unit: "B", Mechanism: "view", Variable: "agents",
		Form: "linear", Points: points, Note: fmt.Sprintf("heap of one whole view of so many members, whose records came off the wire; the default most is %d members", membership.DefaultMaxMembers)}, "view --part memory"),
		f.entry(slopes.Slope{Name: "view.state.join", Role: "agent", Load: "worst", Quantity: "state", Unit: "B", Mechanism: "view", Variable: "agents", Form: "linear", Points: streams,
			Note: "a whole view on a stream: what a member that starts without one is sent by one other, whose streams are held to bytes_per_s (32 KB) in the mean"}, "view --part memory")}, nil
}

// viewFew measures a few complete members of a large fleet, whose other members are only simulated as traffic: at
// rest, and on an ordinary day. The number of copies of one event's update that each member receives is measured in a
// complete fleet of the first size. It grows with the logarithm of the fleet's size, as does the number of times that
// the view sends each update.
func viewFew(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	const each, gap = 4, 15 * time.Second
	copies, err := newsCopies(sizes[0], each, gap, f)
	if err != nil {
		return nil, err
	}
	note := fmt.Sprintf("four whole members beside the traffic of the rest, played; %s; what the rest concludes from them is not there; an event's news came %.1f times to each of %d", regions80ms.name, copies, sizes[0])
	rests, days := f.series("view", "rest", "agents", note), f.series("view", "day", "agents", note)
	for _, n := range sizes {
		began := time.Now()
		l, err := regions80ms.layout(n, f.seed)
		if err != nil {
			return nil, err
		}
		few := hollow.Few{Seed: f.seed, Layout: l, Members: n, Whole: 4, Marks: []time.Duration{settle}, Length: settle + 2*measure}
		rest, err := few.Play()
		if err != nil {
			return nil, err
		}
		few.Events, few.News = 1/gap.Seconds(), 2*time.Second
		few.Copies = copies * math.Log2(float64(n)) / math.Log2(float64(sizes[0]))
		busy, err := few.Play()
		if err != nil {
			return nil, err
		}
		day := rest[1].Plus(rest[1], busy[1], (dayFailures+dayRestarts)*float64(n)/dayAgents/(24*3600)*gap.Seconds())
		f.row(n, "at rest, four whole, "+regions80ms.name, rest[1], began)
		f.row(n, "an event each 15 s", busy[1], began)
		f.row(n, "the day", day, began)
		rests.add(float64(n), rest[1])
		days.add(float64(n), day)
	}
	return append(rests.entries("few_rest", "view --part few", "log"), days.entries("few_day", "view --part few", "log")...), nil
}

// newsCopies returns the number of datagrams with the update of one death that each member receives, in a complete
// fleet.
func newsCopies(n, each int, gap time.Duration, f *flags) (float64, error) {
	l, err := regions80ms.layout(n, f.seed)
	if err != nil {
		return 0, err
	}
	v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{settle}, Length: settle + time.Duration(each)*gap, Workers: f.workers}
	for i := range each {
		v.Events = append(v.Events, plan.Event{At: settle + time.Duration(i)*gap, Do: "kill", Who: []int{n - 1 - i}})
	}
	_, r, err := v.Play()
	if err != nil {
		return 0, err
	}
	told := uint64(0)
	for _, x := range r.Loads {
		told += x[1].Told
	}
	return float64(told) / float64(each) / float64(n), nil
}
