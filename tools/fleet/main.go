// Command fleet measures the fleet daemon. It prints Markdown.
//
//	go run ./tools/fleet instances [-n 1000]    one process with n idle instances, compared with n list readers
//	go run ./tools/fleet cost [-rounds 7]       cost and latency of a request: direct, reverse proxy, this agent
//	go run ./tools/fleet steps                  cost of a decision, by the number of servers
//	go run ./tools/fleet herd [-file F]         real daemons and a cold server, with slow start and without it
//	go run ./tools/fleet handover               a real daemon that is handed over three times under 500 requests a second
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/tools/measure"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 1 {
		return errors.New("missing command: instances, cost, steps, herd or handover")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	n := f.Int("n", 1000, "instances")
	seconds := f.Int("seconds", 2, "cost: seconds of each run")
	rounds := f.Int("rounds", 7, "cost: number of rounds, whose medians are printed")
	profile := f.String("profile", "", "cost: write a CPU profile of the agent at full speed to this file; instances: one of the heap")
	file := f.String("file", "scenarios/herd.toml", "herd: the scenario file")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	switch args[0] {
	case "instances":
		return instances(*n, *profile)
	case "cost":
		return cost(time.Duration(*seconds)*time.Second, *rounds, *profile)
	case "steps":
		return steps()
	case "herd":
		return herd(*file)
	case "handover":
		return handover()
	}
	return fmt.Errorf("%q is not one of instances, cost, steps, herd, handover", args[0])
}

const configText = `admin = "unix:%[1]s/admin.sock"
[[source]]
name = "main"
list = "%[2]s"
[site]
zones = ["a"]
kinds = ["k"]
[rules]
max_retry_after = "1s"
connect_timeout = "1s"
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

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func members(n int) []discovery.Server {
	var all []discovery.Server
	for i := range n {
		all = append(all, discovery.Server{ID: fmt.Sprint("s-", i), Addr: fmt.Sprintf("127.1.%d.%d:5000", i/250, 1+i%250), Zone: "a", Kind: "k", Cell: new(0), State: "ready", Weight: 1})
	}
	return all
}

// instances measures the memory and CPU time of an idle instance.
func instances(n int, profile string) error {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	list, err := standin.NewList("", members(12)...)
	if err != nil {
		return err
	}
	defer list.Close()
	before := heap()
	began := time.Now()
	d, stop, err := measure.Daemon(dir, fmt.Appendf(nil, configText, dir, list.Addr(), n))
	if err != nil {
		return err
	}
	up := time.Since(began)
	defer stop()
	s, _ := d.Status()
	each := (heap() - before) / float64(n) / 1024
	if profile != "" {
		out, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer out.Close()
		if err := pprof.WriteHeapProfile(out); err != nil {
			return err
		}
	}
	c, t := measure.CPU(), time.Now()
	time.Sleep(10 * time.Second)
	idle := float64(measure.CPU()-c) / float64(time.Since(t)) * 100
	fmt.Println("| instances | ready | start to ready | memory of a quiet one | CPU of all, quiet | list readings in 10 s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	fmt.Printf("| %d | %d | %.2f s | %.1f KB | %.1f%% of a core | %d (%d for separate ones) |\n", n, s.Ready, up.Seconds(), each, idle, list.Calls(), n)
	return nil
}

// cost compares a direct client, the standard library's reverse proxy and this agent. All of them run in this
// process, one after another, with the same clients.
func cost(length time.Duration, rounds int, profile string) error {
	debug.SetGCPercent(400) // as in the command serve; all three run with the same setting
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	body := strings.Repeat("x", 200)
	var servers []discovery.Server
	var urls []string
	for i := range 8 {
		f := standin.NewFormServer(fmt.Sprint("s-", i), func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		defer f.Close()
		m := f.Member("ready")
		servers = append(servers, m)
		urls = append(urls, m.Addr)
	}
	list, err := standin.NewList("", servers...)
	if err != nil {
		return err
	}
	defer list.Close()
	_, stop, err := measure.Daemon(dir, fmt.Appendf(nil, configText, dir, list.Addr(), 1))
	if err != nil {
		return err
	}
	defer stop()
	var turn atomic.Int64
	proxy := &http.Server{Handler: &httputil.ReverseProxy{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		Transport: &http.Transport{MaxIdleConnsPerHost: 100},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", urls[int(turn.Add(1))%len(urls)]
		}}}
	ln, err := net.Listen("unix", filepath.Join(dir, "proxy.sock"))
	if err != nil {
		return err
	}
	go func() { _ = proxy.Serve(ln) }()
	defer proxy.Close()
	unix := func(name string) *http.Client {
		return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, name))
		}}}
	}
	ways := []struct {
		name string
		c    *http.Client
		host func() string
	}{
		{"(a) direct", &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, func() string { return urls[int(turn.Add(1))%len(urls)] }},
		{"(b) reverse proxy", unix("proxy.sock"), func() string { return "x" }},
		{"(c) this agent", unix("0.sock"), func() string { return "x" }},
	}
	// The machine's speed drifts, so the three paths of a request are measured in turn in each round, and only figures of
	// the same round are compared.
	figures := make([][costFigures][]float64, len(ways))
	bad := 0
	for range rounds {
		for i, w := range ways {
			paced, c1, bad1 := load(w.c, w.host, 32, 1000, length)
			if profile != "" && i == len(ways)-1 {
				out, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer out.Close()
				if err := pprof.StartCPUProfile(out); err != nil {
					return err
				}
			}
			full, c2, bad2 := load(w.c, w.host, 32, 0, length)
			pprof.StopCPUProfile()
			bad += bad1 + bad2
			for n, v := range [costFigures]float64{measure.At(paced, 0.5), measure.At(paced, 0.99), float64(c1.Microseconds()) / float64(len(paced)),
				float64(len(full)) / length.Seconds(), float64(c2.Microseconds()) / float64(len(full))} {
				figures[i][n] = append(figures[i][n], v)
			}
		}
	}
	fmt.Println("| way | 1,000 a second: p50 | p99 | CPU a request | 32 clients at full speed: a second | CPU a request |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for i, w := range ways {
		f := figures[i]
		fmt.Printf("| %s | %s ms | %s ms | %s us | %s | %s us |\n", w.name, median(f[0], 2), median(f[1], 2), median(f[2], 0), median(f[3], 0), median(f[4], 0))
	}
	var cores, p50, p99 []float64
	for n := range rounds {
		a, b, c := figures[0], figures[1], figures[2]
		cores = append(cores, (b[4][n]-a[4][n])/(c[4][n]-a[4][n]))
		p50 = append(p50, c[0][n]-b[0][n])
		p99 = append(p99, c[1][n]-b[1][n])
	}
	fmt.Printf("\n%d rounds: median, least and most. CPU is the whole process's: clients, servers and what is between them. What\n", rounds)
	fmt.Printf("the proxy adds to (a) at full speed is %s times what the agent adds; the agent's p50 is %s ms more, its p99 %s ms.\n", median(cores, 2), median(p50, 2), median(p99, 2))
	if bad > 0 {
		fmt.Printf("%d requests were not served.\n", bad)
	}
	return nil
}

const costFigures = 5

// median returns the median of some figures as text, with the minimum and the maximum.
func median(all []float64, digits int) string {
	all = slices.Clone(all)
	slices.Sort(all)
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, all[len(all)/2], digits, all[0], digits, all[len(all)-1])
}

// load sends requests for the given time from the given number of clients, at the given total rate; rate 0: without a
// pause. It returns the sorted latencies, the CPU time that the process used, and the number of failed requests.
func load(c *http.Client, host func() string, clients, rate int, length time.Duration) (latency []time.Duration, used time.Duration, bad int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	start := measure.CPU()
	for n := range clients {
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		wait.Go(func() {
			var own []time.Duration
			failed := 0
			for i := 0; ctx.Err() == nil; i++ {
				if rate > 0 {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) * float64(clients) / float64(rate)))
				}
				req, err := http.NewRequest(http.MethodGet, "http://"+host()+"/get", nil)
				if err != nil {
					return
				}
				req.Header["X-Trace-Id"] = []string{fmt.Sprintf("%d-%d-%d-%d", n, i, rate, rng.Uint64())}
				began := time.Now()
				resp, err := c.Do(req)
				if err != nil {
					failed++
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					failed++
					continue
				}
				own = append(own, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			latency = append(latency, own...)
			bad += failed
		})
	}
	wait.Wait()
	used = measure.CPU() - start
	slices.Sort(latency)
	return latency, used, bad
}

// steps measures the time of a decision (a request and its outcome), by the number of servers.
func steps() error {
	fmt.Println("| servers | a request and its outcome |\n| --- | --- |")
	for _, n := range []int{12, 100, 1000, 5000} {
		b, err := decide.New(decide.Settings{Balancers: 1, MaxAttempts: 3, SlowStartTime: 8600 * time.Millisecond, SlowStartShare: 0.31, OverloadMultiple: 2.5,
			OverloadWindow: time.Second, GoalOverall: 1, Classes: []decide.Class{{Objective: 600 * time.Millisecond, Deadline: 3 * time.Second, Value: 1}}}, 1)
		if err != nil {
			return err
		}
		var list []decide.Backend
		for i := range n {
			list = append(list, decide.Backend{ID: fmt.Sprint("s-", i)})
		}
		now := time.Hour
		b.Step(now, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: list}})
		play := func(i int) {
			id := fmt.Sprint("q", i)
			for _, a := range b.Step(now, []decide.Event{decide.Request{ID: id, Remaining: 3 * time.Second}}) {
				if s, ok := a.(decide.Send); ok {
					now += 2 * time.Millisecond
					b.Step(now, []decide.Event{decide.Outcome{Request: id, Backend: s.Backend, Latency: 2 * time.Millisecond, Answered: true}})
				}
			}
		}
		rounds := 4_000_000 / (n + 100)
		for i := range rounds / 10 {
			play(-i)
		}
		began := time.Now()
		for i := range rounds {
			play(i)
		}
		fmt.Printf("| %d | %.1f us |\n", n, float64(time.Since(began).Nanoseconds())/float64(rounds)/1000)
	}
	return nil
}
