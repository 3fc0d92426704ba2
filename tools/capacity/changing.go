package main

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/hollow"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/policymodel"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
)

// fleetName is part of each message, so its length affects the measured bytes; this length is usual.
const fleetName = "fleet"

// policyRun describes one simulation of a fleet whose policy is changed.
type policyRun struct {
	members, voters int
	stops           bool
	every           time.Duration // mean time between two changes; 0: no changes
	randomTimes     bool          // changes at random times, each by a random member; otherwise at regular times, all by one member
	text            int           // size of a policy, in bytes
	from, length    time.Duration // when changes and measurements begin; when the simulation ends
	streams         int
	regions         int           // number of regions, to which members are assigned in turn; 0: all in one
	delay           time.Duration // one-way delay between two regions
	cut             int           // the region that is cut off; -1: none
	cutAt, cutFor   time.Duration
	kill            []int // members that are killed at killAt and do not come back
	killAt          time.Duration
	parts           bool // each change is to one service's part, or, one in a hundred, to the policy for all; false: all are to that
	seed            uint64
}

// policyResult is the result of a policyRun.
type policyResult struct {
	asked, inForce, dropped int
	why                     map[string]int  // number of dropped changes, by kind of reason
	prepared, everywhere    []time.Duration // from the proposal until the first member serves by the change, and until the last one does
	leader, voter, member   load            // of the leader, the mean of the other voters, the mean of the other members
	heap                    float64         // heap of the simulation for each member, in bytes
	started                 time.Duration   // from the start of all members until the last one served; 0: not all did before the first change was in force
	serving, turned         int             // requests in the region that is cut off, during that time: served, rejected
}

// load is the traffic and CPU time of one member, per second, and its bytes on disk.
type load struct{ messagesIn, messagesOut, bytesIn, bytesOut, cpu, disk float64 }

func (c policyRun) simulate() (*policyResult, error) {
	out := &policyResult{why: map[string]int{}}
	rng := rand.New(rand.NewPCG(c.seed, uint64(c.members)))
	p := &plan.Plan{Name: "changes", Daemons: c.members, Zones: 1, Length: c.length,
		Policy: &plan.Policy{Voters: upTo(c.voters), StopWhenIsolated: c.stops, Lease: 5 * time.Second, PrepareTimeout: 10 * time.Second},
		Bounds: checker.Bounds{Crash: 8 * time.Second, Leave: 2 * time.Second, Join: 5 * time.Second, Settle: 8 * time.Second, Pause: 1500 * time.Millisecond, PolicySpread: 500 * time.Millisecond}}
	text := strings.Repeat("x", max(0, c.text-6))
	holders := map[string][]int{}
	var names []string
	if c.parts {
		var err error
		if holders, err = partHolders(c.members, c.seed); err != nil {
			return nil, err
		}
		p.Policy.Holds = holders
		names = slices.Sorted(maps.Keys(holders))
	}
	last := c.length - 10*time.Second // the result of a later change might not be known at the end
	for t := c.from; c.every > 0 && t < last; {
		who := min(1, c.members-1)
		if c.randomTimes {
			who = rng.IntN(c.members)
		}
		e := plan.Event{At: t, Do: "apply", Who: []int{who}, Kind: text}
		if c.parts && rng.IntN(forAll) > 0 {
			part := names[rng.IntN(len(names))]
			e.Parts, e.Who = []string{part}, []int{holders[part][rng.IntN(len(holders[part]))]}
		}
		p.Events = append(p.Events, e)
		if gap := c.every; c.randomTimes {
			t += time.Duration(rng.ExpFloat64() * float64(gap))
		} else {
			t += gap
		}
	}
	if len(c.kill) > 0 {
		p.Events = append(p.Events, plan.Event{At: c.killAt, Do: "kill", Who: c.kill})
	}
	slices.SortStableFunc(p.Events, func(a, b plan.Event) int { return cmp.Compare(a.At, b.At) })

	spent := make([]time.Duration, c.members)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	type use struct {
		first, last time.Duration
		by          map[int]bool
	}
	type textOf struct {
		part   string
		number uint64
	}
	uses := map[textOf]*use{}
	region := func(n int) int { return n % max(1, c.regions) }
	o := policymodel.Options{Seed: c.seed, Witness: true, Take: time.Hour, Viewers: c.voters, Streams: c.streams, Since: c.from,
		Size: func(from int, m *policy.Message) int {
			began := threadTime()
			size := transport.PolicySize(fleetName, plan.Name(from), m)
			spent[from] += threadTime() - began
			return size
		},
		Around: func(now time.Duration, n int, step func()) {
			if now < c.from {
				step()
				spent[n] = 0
				return
			}
			if after.HeapAlloc == 0 && now >= last {
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			began := threadTime()
			step()
			spent[n] += threadTime() - began
		},
		Serves: func(at time.Duration, n int, part string, number uint64) {
			key := textOf{part, number}
			u := uses[key]
			if u == nil {
				u = &use{first: at, by: map[int]bool{}}
				uses[key] = u
			}
			if !u.by[n] {
				u.by[n], u.last = true, at
			}
		}}
	if c.regions > 1 {
		o.Delay = func(a, b int) time.Duration {
			if region(a) != region(b) {
				return c.delay
			}
			return 0
		}
		if c.cutFor > 0 {
			o.Cut = func(now time.Duration, a, b int) bool {
				return now >= c.cutAt && now < c.cutAt+c.cutFor && (region(a) == c.cut) != (region(b) == c.cut)
			}
			o.Take = 500 * time.Millisecond
		}
	}
	runtime.LockOSThread() // threadTime then measures this work alone, even on a busy machine
	defer runtime.UnlockOSThread()
	r, err := policymodel.Play(p, o)
	if err != nil {
		return nil, err
	}
	asked, of, cut := map[string]int64{}, map[string]string{}, map[string]bool{}
	for n := range c.members {
		cut[plan.Name(n)] = c.cutFor > 0 && region(n) == c.cut
	}
	for _, l := range r.Lines {
		switch l.What {
		case checker.Proposed:
			out.asked++
			asked[l.ID], of[l.ID] = l.T, l.Parts
		case checker.AuthorNotified:
			if l.State != "in force" {
				out.dropped++
				out.why[kindOf(l.Why)]++
				continue
			}
			out.inForce++
			at := time.Duration(asked[l.ID])
			if u := uses[textOf{of[l.ID], l.Number}]; u != nil {
				out.prepared = append(out.prepared, u.first-at)
				concerned := c.members - len(c.kill)
				if part := of[l.ID]; part != "" {
					concerned = len(slices.DeleteFunc(slices.Clone(holders[part]), func(n int) bool { return slices.Contains(c.kill, n) }))
				}
				if len(u.by) >= concerned {
					out.everywhere = append(out.everywhere, u.last-at)
				}
			}
		case checker.RequestAdmitted, checker.PolicyRejected:
			if t := time.Duration(l.T); cut[l.Of] && t >= c.cutAt && t < c.cutAt+c.cutFor {
				if l.What == checker.RequestAdmitted {
					out.serving++
				} else {
					out.turned++
				}
			}
		}
	}
	if u := uses[textOf{}]; u != nil && len(u.by) == c.members {
		out.started = u.last
	}
	slices.Sort(out.prepared)
	slices.Sort(out.everywhere)
	out.heap = max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / float64(c.members)
	span := (c.length - c.from).Seconds()
	leads := 0
	for n, s := range r.Shown {
		if s.Votes == "leads" {
			leads = n
		}
	}
	for n, t := range r.Traffic {
		x := load{float64(t.MessagesIn) / span, float64(t.MessagesOut) / span, float64(t.BytesIn) / span, float64(t.BytesOut) / span, spent[n].Seconds() / span, float64(r.Disks[n])}
		switch {
		case n == leads:
			out.leader = x
		case n < c.voters:
			out.voter.add(x, c.voters-1)
		default:
			out.member.add(x, c.members-c.voters)
		}
	}
	return out, nil
}

// forAll is the number of changes among which one is to the policy for all, if the other changes are to parts.
const forAll = 100

// partHolders returns which members hold the part of which service. The members are evenly chosen from the agents of
// the target size; each holds the part of its own service and those of the services that it calls.
func partHolders(members int, seed uint64) (map[string][]int, error) {
	const agents = 12000
	g, err := hollow.DrawGraph(hollow.GraphSpec{Agents: agents, Seed: seed})
	if err != nil {
		return nil, err
	}
	all := map[string][]int{}
	for n := range members {
		own := g.Of[n*agents/max(members, 1)]
		for _, k := range append([]int{own}, g.Calls[own]...) {
			name := fmt.Sprintf("service-%03d", k)
			all[name] = append(all[name], n)
		}
	}
	return all, nil
}

// threadTime returns the CPU time of this thread so far.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // no measurement is possible without this clock
	}
	return time.Duration(t.Nano())
}

// add adds one of n loads to a mean.
func (l *load) add(x load, n int) {
	f := 1 / float64(n)
	l.messagesIn, l.messagesOut, l.bytesIn, l.bytesOut, l.cpu, l.disk = l.messagesIn+f*x.messagesIn, l.messagesOut+f*x.messagesOut, l.bytesIn+f*x.bytesIn, l.bytesOut+f*x.bytesOut, l.cpu+f*x.cpu, l.disk+f*x.disk
}

// kindOf returns the kind of a reason, without the names in it.
func kindOf(why string) string {
	if strings.Contains(why, "another change of part") {
		return "another change is under way"
	}
	for _, kind := range []string{"another change is under way", "it was made of policy", "not heard", "it did not reach", "given up"} {
		if strings.Contains(why, kind) {
			return kind
		}
	}
	return "other"
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// quantile returns the quantile q of sorted times, in seconds; NaN for an empty list.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	return all[min(len(all)-1, int(q*float64(len(all))))].Seconds()
}
