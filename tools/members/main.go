// Command members measures how a daemon merges its sources of servers into one list. It prints Markdown.
//
//	go run ./tools/members hour [-seeds 5]     an hour of faults in virtual time, compared with the unchecked answers of a resolver
//	go run ./tools/members fleet [-seeds 6] SCENARIO.toml   agents with two sources that contradict each other, compared with the same
//	                                           agents on the unchecked answers of a resolver
//	go run ./tools/members sockets [-for 5m]   the same with a daemon, servers, a list and a resolver on loopback
//	go run ./tools/members merge               time and memory to merge three sources of 1,000 servers
//	go run ./tools/members goodbye             time from a goodbye by multicast DNS to a list without the server
//	go run ./tools/members queries             queries at the resolver for 1, 100 and 1,000 instances of one daemon
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"time"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/endpoints"
	"vetchhaven/internal/standin/dns"
	"vetchhaven/tools/measure"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "members:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 1 {
		return errors.New("missing command: hour, fleet, sockets, merge, queries or goodbye")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	length := f.Duration("for", 5*time.Minute, "sockets: length of the run")
	seeds := f.Int("seeds", 5, "number of hours to simulate")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	switch args[0] {
	case "hour":
		return hours(*seeds)
	case "fleet":
		if f.NArg() != 1 {
			return errors.New("fleet needs one scenario file")
		}
		return agents(f.Arg(0), *seeds)
	case "sockets":
		return onSockets(*length)
	case "merge":
		return merge()
	case "queries":
		return queries()
	case "goodbye":
		return multicastGoodbye()
	}
	return fmt.Errorf("%q is not one of hour, fleet, sockets, merge, queries, goodbye", args[0])
}

// world is the true state of the simulation: the servers that are running, and the times at which the list announced
// that a server drains or is removed.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	alive     []bool
	announced []time.Duration // by server: when the list announced that it drains or is removed; 0: not announced
	pods      []int
	records   []endpoints.Server // the DNS records as published
}

func server(i int, w *world) endpoints.Server {
	return endpoints.Server{ID: fmt.Sprint("s-", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1), State: endpoints.Up, Pod: endpoints.PodNumber(w.pods[i])}
}

// tally counts the results of one method of choosing servers.
type tally struct{ sent, late, dead, emptied, none int }

// hours simulates n hours with 12 servers. About once a minute a server drains, is removed and comes back. DNS
// records are published 45 s late and read every 20 s; one reading in four fails, is truncated or returns an empty
// answer.
func hours(n int) error {
	fmt.Println("| way | requests | to a server over 2 s after its drain was told | to a server that is gone | seconds with no server | not sent |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	var merged, plain tally
	for seed := range n {
		simulateHour(uint64(seed+1), &merged, &plain)
	}
	for _, row := range []struct {
		name string
		t    tally
	}{{"membership", merged}, {"a resolver that believes all", plain}} {
		fmt.Printf("| %s | %d | %d | %d | %d | %d |\n", row.name, row.t.sent, row.t.late, row.t.dead, row.t.emptied, row.t.none)
	}
	return nil
}

const servers = 12

func simulateHour(seed uint64, merged, plain *tally) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), alive: make([]bool, servers), announced: make([]time.Duration, servers), pods: make([]int, servers)}
	for i := range servers {
		w.alive[i], w.pods[i] = true, 1+i%3
	}
	m := endpoints.New(endpoints.Settings{SuddenLossGuard: 30 * time.Second, Settle: 12 * time.Second, Sources: []endpoints.Source{
		{Name: "list", Exact: true, Hold: 100 * time.Hour}, {Name: "records", Hold: time.Hour}}})
	truth := func() (all []endpoints.Server) {
		for i := range servers {
			if w.alive[i] && w.announced[i] == 0 {
				all = append(all, server(i, w))
			}
		}
		return all
	}
	w.records = truth()
	m.Step(0, endpoints.Snapshot{Source: "list", Servers: truth()}, endpoints.Snapshot{Source: "records", Servers: w.records})
	resolved := w.records
	type publish struct {
		at  time.Duration
		all []endpoints.Server
	}
	var coming []publish
	listDown := time.Duration(0)
	backAt := make([]time.Duration, servers)
	dueDead := make([]time.Duration, servers)
	for w.now = time.Second; w.now < time.Hour; w.now += time.Second {
		if w.rng.IntN(300) == 0 { // the list becomes unavailable for a limited time
			listDown = w.now + time.Duration(10+w.rng.IntN(60))*time.Second
		}
		up := w.now >= listDown
		var delta []endpoints.Server
		if i := w.rng.IntN(servers); up && w.rng.IntN(40) == 0 && w.alive[i] && w.announced[i] == 0 { // one server drains, and is removed 10 s later
			w.announced[i] = w.now
			v := server(i, w)
			v.State = endpoints.Draining
			delta = append(delta, v)
			dueDead[i] = w.now + 10*time.Second
			backAt[i] = w.now + time.Duration(60+w.rng.IntN(120))*time.Second
			coming = append(coming, publish{w.now + 45*time.Second, nil})
		}
		for i := range servers {
			if dueDead[i] > 0 && w.now >= dueDead[i] && up {
				dueDead[i], w.alive[i] = 0, false
				v := server(i, w)
				v.State = endpoints.Removed
				delta = append(delta, v)
			}
			if backAt[i] > 0 && w.now >= backAt[i] && up && !w.alive[i] {
				backAt[i], w.alive[i], w.announced[i] = 0, true, 0
				delta = append(delta, server(i, w))
				coming = append(coming, publish{w.now + 45*time.Second, nil})
			}
		}
		if len(delta) > 0 {
			m.Step(w.now, endpoints.Delta{Source: "list", Servers: delta})
		}
		for len(coming) > 0 && coming[0].at <= w.now { // the records are published late
			w.records = truth()
			coming = coming[1:]
		}
		if w.now%(20*time.Second) == 0 {
			switch w.rng.IntN(16) {
			case 0: // SERVFAIL: a resolver whose answers are used unchecked has no server
				m.Step(w.now, endpoints.Failed{Source: "records"})
				resolved = nil
			case 1, 2: // a truncated answer with half of the records: membership treats it as a failure
				m.Step(w.now, endpoints.Failed{Source: "records"})
				resolved = w.records[:len(w.records)/2]
			case 3: // a valid empty answer
				m.Step(w.now, endpoints.Snapshot{Source: "records"})
				resolved = nil
			default:
				m.Step(w.now, endpoints.Snapshot{Source: "records", Servers: w.records})
				resolved = w.records
			}
		}
		list, _ := m.Step(w.now)
		var in []endpoints.Server
		for _, v := range list {
			if v.In && v.State == endpoints.Up {
				in = append(in, v.Server)
			}
		}
		w.send(in, merged)
		w.send(resolved, plain)
	}
}

// send sends the requests of one second to random servers of the list in, and counts them in t.
func (w *world) send(in []endpoints.Server, t *tally) {
	const rate = 50
	if len(in) == 0 {
		t.emptied++
		t.none += rate
		return
	}
	for range rate {
		var i int
		_, _ = fmt.Sscanf(in[w.rng.IntN(len(in))].ID, "s-%d", &i)
		t.sent++
		if w.announced[i] > 0 && w.now-w.announced[i] > 2*time.Second {
			t.late++
		}
		if !w.alive[i] {
			t.dead++
		}
	}
}

func merge() error {
	s := endpoints.Settings{SuddenLossGuard: 30 * time.Second, Settle: 12 * time.Second, Sources: []endpoints.Source{
		{Name: "list", Exact: true, Hold: time.Hour}, {Name: "srv", Hold: time.Hour}, {Name: "sd", Hold: time.Hour}}}
	var all []endpoints.Server
	for i := range 1000 {
		all = append(all, endpoints.Server{ID: fmt.Sprint("s-", i), Addr: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), State: endpoints.Up, Pod: endpoints.PodNumber(i % 7)})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := endpoints.New(s)
	const rounds = 100
	began := time.Now()
	for n := range rounds {
		m.Step(time.Duration(n)*time.Second, endpoints.Snapshot{Source: "list", Servers: all}, endpoints.Snapshot{Source: "srv", Servers: all}, endpoints.Snapshot{Source: "sd", Servers: all})
	}
	took := time.Since(began) / rounds
	runtime.GC()
	runtime.ReadMemStats(&after)
	fmt.Printf("| three whole views of 1,000 servers merged | held |\n| --- | --- |\n| %.1f ms | %.1f MB |\n", float64(took.Microseconds())/1000,
		float64(after.HeapAlloc-before.HeapAlloc)/(1<<20))
	runtime.KeepAlive(m)
	return nil
}

const config = `admin = "unix:%[1]s/admin.sock"
[[source]]
name = "main"
srv = ["_form._tcp.example.org"]
resolvers = ["%[2]s"]
[site]
zones = ["a"]
kinds = ["k"]
[[class]]
name = "get"
repeats = "safe"
aim = "600ms"
deadline = "3s"
worth = 1.0
[[template]]
name = "i{n}"
listen = "unix:%[1]s/{n}.sock"
count = %[3]d
`

func queries() error {
	fmt.Println("| instances | queries in 20 s, lifetimes of 5 s |\n| --- | --- |")
	for _, n := range []int{1, 100, 1000} {
		names, err := dns.New()
		if err != nil {
			return err
		}
		_ = names.Set("_form._tcp.example.org", "SRV", "_form._tcp.example.org. 5 IN SRV 0 0 80 one.example.org.")
		_ = names.Set("one.example.org", "A", "one.example.org. 5 IN A 127.0.0.1")
		dir, err := os.MkdirTemp("", "members")
		if err != nil {
			return err
		}
		_, stop, err := measure.Daemon(dir, fmt.Appendf(nil, config, dir, names.Addr(), n))
		if err != nil {
			return err
		}
		time.Sleep(20 * time.Second)
		fmt.Printf("| %d | %d |\n", n, names.Asked())
		stop()
		names.Close()
		_ = os.RemoveAll(dir)
	}
	return nil
}

// multicastGoodbye measures the time from a multicast DNS goodbye (a record with a TTL of 0) until the list has no
// such server. It announces a server and withdraws it, 50 times.
func multicastGoodbye() error {
	r, err := dns.NewResponder()
	if err != nil {
		return err
	}
	defer r.Close()
	announce := func(n, ttl int) error {
		i := fmt.Sprintf("i%d._form._tcp.local.", n)
		return r.Announce(false, fmt.Sprintf("_form._tcp.local. %d IN PTR %s", ttl, i), fmt.Sprintf("%s %d IN SRV 0 0 80 h%d.local.", i, ttl, n),
			fmt.Sprintf(`%s %d IN TXT "zone=a"`, i, ttl), fmt.Sprintf("h%d.local. %d IN A 10.0.0.%d", n, ttl, n))
	}
	for n := 1; n <= 4; n++ {
		if err := announce(n, 3600); err != nil {
			return err
		}
	}
	lists := make(chan int, 1000)
	hub := discovery.NewHub(discovery.HubOptions{Log: slog.New(slog.DiscardHandler)})
	m := daemon.NewMerger(daemonconfig.Source{Name: "s", Multicast: "_form._tcp.local", Group: r.Addr(), Hold: time.Hour}, hub, daemon.EarlierSource{}, slog.New(slog.DiscardHandler),
		func(list []endpoints.ListedServer) {
			in := 0
			for _, v := range list {
				if v.In && v.State == endpoints.Up {
					in++
				}
			}
			lists <- in
		})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx, nil)
	until := func(want int) error {
		limit := time.After(10 * time.Second)
		for {
			select {
			case n := <-lists:
				if n == want {
					return nil
				}
			case <-limit:
				return fmt.Errorf("no list of %d servers within 10 s", want)
			}
		}
	}
	if err := until(4); err != nil {
		return err
	}
	var took []time.Duration
	for range 50 {
		began := time.Now()
		if err := announce(1, 0); err != nil {
			return err
		}
		if err := until(3); err != nil {
			return err
		}
		took = append(took, time.Since(began))
		time.Sleep(1200 * time.Millisecond) // until the withdrawn records have expired
		if err := announce(1, 3600); err != nil {
			return err
		}
		if err := until(4); err != nil {
			return err
		}
	}
	slices.Sort(took)
	fmt.Printf("| goodbyes | p50 | most |\n| --- | --- | --- |\n| %d | %.2f ms | %.2f ms |\n", len(took), measure.At(took, 0.5), measure.At(took, 1))
	return nil
}
