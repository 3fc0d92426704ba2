package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
	"vetchhaven/tools/internal/bench"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/virtual"
	"vetchhaven/internal/peer/membership"
)

// memberEvent is one event of a member, and the times until other members have received it.
type memberEvent struct {
	at         time.Duration
	who        int
	want       membership.State
	knownAfter []time.Duration
	knownBy    map[int]bool
}

// eventTracker records when the events of daemons arrive in the views of the other daemons.
type eventTracker struct {
	of    map[string]*memberEvent // the latest event of each member, by name
	wrong int                     // confirmed deaths of members that were not killed, counted at each observer
	dead  map[string]bool
}

func (f *eventTracker) each(at time.Duration, daemon int, a membership.Action) {
	c, ok := a.(membership.MemberChanged)
	if !ok {
		return
	}
	r := &c.Record
	if r.State == membership.Dead && !f.dead[r.Name] {
		f.wrong++
	}
	b := f.of[r.Name]
	if b == nil || at < b.at || b.knownBy[daemon] {
		return
	}
	if r.State == b.want || b.want == membership.Dead && r.State == membership.Left {
		b.knownBy[daemon] = true
		b.knownAfter = append(b.knownAfter, at-b.at)
	}
}

// timeline returns a plan in which single daemons are killed or leave and restart, and its events in order.
func timeline(n, times int, gap time.Duration, seed uint64) (*plan.Plan, []*memberEvent) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	p := &plan.Plan{Name: "measure", Daemons: n, Zones: 1, Seeds: []int{0, 1}, Bounds: checker.Bounds{}}
	var all []*memberEvent
	at := 20 * time.Second
	for i := range times {
		who := 2 + rng.IntN(max(1, n-2))
		if n == 2 {
			who = 1
		}
		do, want := "kill", membership.Dead
		if i%2 == 1 {
			do, want = "term", membership.Left
		}
		t := at + time.Duration(rng.Float64()*float64(time.Second))
		p.Events = append(p.Events, plan.Event{At: t, Do: do, Who: []int{who}})
		all = append(all, &memberEvent{at: t, who: who, want: want, knownBy: map[int]bool{}})
		t += gap
		p.Events = append(p.Events, plan.Event{At: t, Do: "start", Who: []int{who}, State: "kept"})
		all = append(all, &memberEvent{at: t, who: who, want: membership.Alive, knownBy: map[int]bool{}})
		at += 2*gap + time.Second
	}
	p.Length = at + gap
	return p, all
}

// trackEvents simulates a plan and records when the events in all arrive in the views of the daemons.
func trackEvents(p *plan.Plan, all []*memberEvent, o virtual.Options) (*eventTracker, *virtual.Result, error) {
	f := &eventTracker{of: map[string]*memberEvent{}, dead: map[string]bool{}}
	next := 0
	o.Warm = true
	o.Each = func(at time.Duration, daemon int, a membership.Action) {
		for next < len(all) && all[next].at <= at {
			b := all[next]
			f.of[plan.Name(b.who)] = b
			f.dead[plan.Name(b.who)] = b.want != membership.Alive || f.dead[plan.Name(b.who)]
			next++
		}
		f.each(at, daemon, a)
	}
	r, err := virtual.Play(p, o)
	return f, r, err
}

// formula returns the expected 99th percentile of the time until all members have received a crash, computed from the
// constants of package membership: the wait for the first probe, the two stages of the probe, the shortest suspicion,
// and the spread of the rumor through the fleet. See docs/design/view.md.
func formula(n int) time.Duration {
	first := 4.6 * membership.DefaultProbeInterval.Seconds() // the probability that no member probes it in k periods is exp(-k)
	if n < 8 {
		first = float64(n-1) * membership.DefaultProbeInterval.Seconds() // each member probes all others in turn
	}
	suspect := membership.DefaultMinSuspicion.Seconds() * max(1, math.Log10(float64(n))/2)
	news := 0.1 * math.Log2(float64(n)) / 2
	return time.Duration((first + (membership.DefaultProbeTimeout + membership.DefaultIndirectTimeout).Seconds() + suspect + news) * float64(time.Second)).Round(10 * time.Millisecond)
}

func virtualSizes(sizes []int, times int, seed uint64) error {
	bench.Head("daemons", "crashes", "known by all: p50", "p99", "most", "formula (p99)", "left, known by all: p50", "most", "joined, known by all: p50", "most", "datagrams/s", "bytes/s", "wrong", "took")
	for _, n := range sizes {
		began := time.Now()
		count := times
		if n > 1000 {
			count = min(times, max(4, times/3))
		}
		p, all := timeline(n, 2*count, 6*time.Second, seed)
		f, r, err := trackEvents(p, all, virtual.Options{Seed: seed})
		if err != nil {
			return err
		}
		by := map[membership.State][]time.Duration{}
		for _, b := range all {
			if len(b.knownAfter) < n-1 && b.want != membership.Alive {
				fmt.Printf("%d of %d know that %s of %v is %v\n", len(b.knownAfter), n-1, plan.Name(b.who), b.at, b.want)
			}
			if len(b.knownAfter) > 0 {
				by[b.want] = append(by[b.want], slices.Max(b.knownAfter))
			}
		}
		var datagrams, bytes uint64
		for _, t := range r.Traffic {
			datagrams += t.Datagrams
			bytes += t.Bytes
		}
		span := p.Length.Seconds() * float64(n)
		bench.Row(n, count, at(by[membership.Dead], 0.5), at(by[membership.Dead], 0.99), at(by[membership.Dead], 1), formula(n), at(by[membership.Left], 0.5), at(by[membership.Left], 1),
			at(by[membership.Alive], 0.5), at(by[membership.Alive], 1), float64(datagrams)/span, int(float64(bytes)/span), f.wrong, time.Since(began).Round(time.Second))
	}
	return nil
}

func virtualPartition(sizes []int, _ int, seed uint64) error {
	bench.Head("daemons", "seeds played", "settled after the cut: p50", "most", "settled after healing: p50", "most", "all see the same", "most bytes a second after healing")
	for _, n := range sizes {
		var cut, heal []time.Duration
		same, most := 0, 0.0
		const runs = 5
		for s := range uint64(runs) {
			var left, right []int
			for i := range n {
				if i < n/2 {
					left = append(left, i)
				} else {
					right = append(right, i)
				}
			}
			cutAt, healAt := 10*time.Second, 70*time.Second
			p := &plan.Plan{Name: "halves", Daemons: n, Zones: 1, Seeds: []int{0, n - 1}, Length: 130 * time.Second, Events: []plan.Event{
				{At: cutAt, Do: "link", Who: left, To: right, Both: true, Link: plan.Link{Drop: 1}},
				{At: healAt, Do: "heal", Who: left, To: right, Both: true}}}
			var afterCut, afterHeal time.Duration
			r, err := virtual.Play(p, virtual.Options{Seed: seed + s, Warm: true, Each: func(at time.Duration, _ int, a membership.Action) {
				if c, ok := a.(membership.MemberChanged); ok && c.Record.State != membership.Suspect && !(c.Previous == membership.Suspect && c.Record.State == membership.Alive) {
					if at < healAt {
						afterCut = at - cutAt
					} else {
						afterHeal = at - healAt
					}
				}
			}})
			if err != nil {
				return err
			}
			cut, heal = append(cut, afterCut), append(heal, afterHeal)
			digests := map[uint64]bool{}
			for _, v := range r.Views {
				digests[v.Digest()] = true
			}
			if len(digests) == 1 {
				same++
			}
			for _, t := range r.Traffic {
				most = max(most, float64(t.Bytes+t.ExchangeBytes)/p.Length.Seconds())
			}
		}
		bench.Row(n, runs, at(cut, 0.5), at(cut, 1), at(heal, 0.5), at(heal, 1), fmt.Sprintf("%d of %d", same, runs), fmt.Sprintf("%.0f (mean of the run, worst daemon)", most))
	}
	return nil
}

// pauses returns events that pause a tenth of the daemons in every ten seconds, at random times, for the duration each
// (callers pass 1.5 s). windows has the start and end of each pause, and who its daemon.
func pauses(n int, length, each time.Duration, seed uint64) (events []plan.Event, windows [][2]time.Duration, who []int) {
	rng := rand.New(rand.NewPCG(seed, 77))
	for t := 5 * time.Second; t < length-15*time.Second; t += 10 * time.Second {
		for _, d := range rng.Perm(n)[:max(1, n/10)] {
			at := t + time.Duration(rng.Float64()*8*float64(time.Second))
			events = append(events, plan.Event{At: at, Do: "pause", Who: []int{d}}, plan.Event{At: at + each, Do: "resume", Who: []int{d}})
			windows, who = append(windows, [2]time.Duration{at, at + each}), append(who, d)
		}
	}
	slices.SortStableFunc(events, func(a, b plan.Event) int { return int(a.At - b.At) })
	return events, windows, who
}

func virtualHour(sizes []int, length time.Duration, bytes int, seed uint64) error {
	bench.Head("daemons", "loss", "way", "hours", "pauses of 1.5 s", "wrongly confirmed (pairs)", "members", "suspicions", "datagrams/s", "bytes/s")
	for _, n := range sizes {
		for _, loss := range []float64{0.05, 0.25} {
			events, windows, who := pauses(n, length, 1500*time.Millisecond, seed)
			for _, way := range []struct {
				name  string
				plain membership.BaselineMode
			}{{"this view", membership.BaselineMode{}}, {"SWIM without local health", membership.BaselineMode{NoLifeguard: true}}, {"SWIM without suspicion", membership.BaselineMode{NoSuspicion: true, NoLifeguard: true}}} {
				p := &plan.Plan{Name: "hour", Daemons: n, Zones: 1, Seeds: []int{0, 1}, Length: length, Events: events, Link: plan.Link{Drop: loss}, Peers: plan.Peers{Bytes: bytes}}
				if way.plain.NoSuspicion {
					p.Length = min(length, 5*time.Minute) // this baseline is wrong so often that an hour gives no further information
				}
				wrong, suspicions := 0, 0
				members := map[string]bool{}
				r, err := virtual.Play(p, virtual.Options{Seed: seed, Warm: true, Plain: way.plain, Each: func(_ time.Duration, _ int, a membership.Action) {
					if c, ok := a.(membership.MemberChanged); ok {
						switch c.Record.State {
						case membership.Dead:
							wrong++
							members[c.Record.Name] = true
						case membership.Suspect:
							suspicions++
						}
					}
				}})
				if err != nil {
					return err
				}
				var datagrams, bytes uint64
				for _, t := range r.Traffic {
					datagrams += t.Datagrams
					bytes += t.Bytes
				}
				span := p.Length.Seconds() * float64(n)
				paused := 0
				for _, e := range p.Events {
					if e.Do == "pause" && e.At < p.Length {
						paused++
					}
				}
				bench.Row(n, loss, way.name, p.Length.Hours(), paused, wrong, len(members), suspicions, float64(datagrams)/span, int(float64(bytes)/span))
			}
			wrong, members := heartbeats(n, loss, length, windows, who, seed)
			bench.Row(n, loss, "all-to-all heartbeats, silent for 2 s is dead", length.Hours(), len(windows), wrong, members, "-", float64(n-1)*5, (n-1)*5*60)
		}
	}
	return nil
}

// heartbeats is the simplest baseline: each member sends a heartbeat to each other member every 200 ms, and a member
// from which no heartbeat arrives for 2 s is confirmed dead. The membership view confirms a death after about the same
// time. A message counts as 60 bytes.
func heartbeats(n int, loss float64, length time.Duration, windows [][2]time.Duration, who []int, seed uint64) (wrong, members int) {
	rng := rand.New(rand.NewPCG(seed, 78))
	byWho := map[int][][2]time.Duration{}
	for i, w := range windows {
		byWho[who[i]] = append(byWho[who[i]], w)
	}
	dead := map[int]bool{}
	const every, limit = 200 * time.Millisecond, 2 * time.Second
	for m := range n {
		for o := range n {
			if o == m {
				continue
			}
			last, down, next := time.Duration(0), false, 0
			w := byWho[m]
			for t := time.Duration(rng.Float64() * float64(every)); t < length; t += every {
				for next < len(w) && w[next][1] <= t {
					next++
				}
				if next < len(w) && t >= w[next][0] { // a paused member sends no heartbeat
					continue
				}
				if t-last > limit && !down {
					wrong++
					dead[m] = true
				}
				if down = false; rng.Float64() >= loss {
					last = t
				} else if t-last > limit {
					down = true
				}
			}
		}
	}
	return wrong, len(dead)
}

func virtualStorm(sizes []int, times int, seed uint64) error {
	bench.Head("daemons", "die and come back at once", "deaths known by all after", "all alive to all again after", "most bytes of a daemon in a second", "bound (datagrams)", "streams, most in a second")
	for _, n := range sizes {
		k := min(times, n-3)
		var who []int
		for i := range k {
			who = append(who, i+2)
		}
		dieAt, backAt := 10*time.Second, 60*time.Second
		p := &plan.Plan{Name: "storm", Daemons: n, Zones: 1, Seeds: []int{0, 1}, Length: 150 * time.Second, Bounds: checker.Bounds{},
			Events: []plan.Event{{At: dieAt, Do: "kill", Who: who}, {At: backAt, Do: "start", Who: who, State: "kept"}}}
		r, err := virtual.Play(p, virtual.Options{Seed: seed, Warm: true})
		if err != nil {
			return err
		}
		var dead, back time.Duration
		bytes, streamed := 0, 0
		for _, l := range r.Lines {
			t := time.Duration(l.T)
			switch {
			case l.What == checker.Sent:
				bytes, streamed = max(bytes, l.Bytes), max(streamed, l.Streamed)
			case l.What == checker.Member && l.State == "dead" && t < backAt:
				dead = t - dieAt
			case l.What == checker.Member && l.State == "alive" && l.Previous != "suspect" && t > backAt:
				back = t - backAt
			}
		}
		bench.Row(n, k, dead.Round(time.Millisecond), back.Round(time.Millisecond), bytes, 2*membership.DefaultBytesPerSecond, streamed)
	}
	return nil
}
