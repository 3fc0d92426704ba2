// Package harness runs a fault test with real processes: daemons started by exec, each on its own loopback address,
// relays on every link between them, stand-in servers and lists, and clients. The harness records its own actions,
// which are the ground truth; the daemons record the changes that they observe. Both are returned as history lines
// for the checker.
package harness

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/standin"
)

// Options configure a run.
type Options struct {
	Program           string // path of the daemons' executable
	Seed              uint64
	Keep              string    // directory for files, logs and events, kept after the run; empty: a temporary one
	Progress          io.Writer // receives human-readable progress output; nil: none
	Bare              bool      // daemons have no [peers] section: each runs alone, for comparison
	SkipPolicyPolling bool      // the policy that each daemon serves is not polled, so that the cost of daemons at rest can be measured
}

// daemon is a daemon of the plan, or a second process with the name of one.
type daemon struct {
	n         int
	name      string
	dir       string
	listen    netip.AddrPort
	relay     netip.AddrPort
	upstream  *upstream
	clients   *clients
	pid       int          // of the serving process; 0: none
	sharedPID atomic.Int64 // copy of pid for other goroutines
	exited    chan struct{}
	twin      bool
	moves     int
	paused    bool
}

type runner struct {
	o          Options
	p          *plan.Plan
	dir        string
	net        byte // 127.net.x.y
	relays     *relays
	daemons    []*daemon
	servers    []*standin.FormServer
	load       *loadRecorder
	policies   policies
	states     []*serverState // by server
	begin      time.Time
	mu         sync.Mutex
	lines      []checker.Line
	background sync.WaitGroup
}

// Play runs a plan and returns its history. An error means that the harness failed; the daemons' behaviour is left to
// the checker.
func Play(ctx context.Context, p *plan.Plan, o Options) ([]checker.Line, error) {
	if p.VirtualTimeOnly {
		return nil, fmt.Errorf("%s: plan has full or slow disks, which only virtual time supports", p.Name)
	}
	if p.Daemons > plan.MaxRealDaemons {
		return nil, fmt.Errorf("%s: plan has %d daemons; at most %d real processes are allowed", p.Name, p.Daemons, plan.MaxRealDaemons)
	}
	// The parent of a handover's successor exits first. As a subreaper, this process becomes the successor's parent
	// and can wait for its exit.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return nil, fmt.Errorf("set child subreaper: %w", err)
	}
	r := &runner{o: o, p: p, net: byte(64 + rand.IntN(60)), relays: newRelays(o.Seed, p), load: newLoadRecorder()}
	if r.dir = o.Keep; r.dir == "" {
		dir, err := os.MkdirTemp("", "drill") // a short path, because the paths of unix sockets are limited in length
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		r.dir = dir
	}
	defer r.close()
	for i := range p.Servers {
		r.states = append(r.states, &serverState{})
		f := r.states[i]
		r.servers = append(r.servers, standin.NewFormServer(fmt.Sprint("s", i+1), func(w http.ResponseWriter, _ *http.Request) {
			defer r.load.begin(i)()
			f.received.Add(1)
			if rand.Float64() < f.share() {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(p.ServiceTime)
			_, _ = io.WriteString(w, "done")
		}))
	}
	for n := range p.Daemons {
		if _, err := r.add(n, plan.Name(n)); err != nil {
			return nil, err
		}
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.collect()
}

// ip returns an address of a daemon: its own for part 1, its relay's for part 2. Each move uses the next two parts.
func (r *runner) ip(part, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.net, byte(part), byte(n + 1)})
}

// add prepares a daemon to be started.
func (r *runner) add(n int, name string) (*daemon, error) {
	d := &daemon{n: n, name: name, dir: filepath.Join(r.dir, fmt.Sprint("d", n+1))}
	if err := os.MkdirAll(filepath.Join(d.dir, "state"), 0o700); err != nil {
		return nil, err
	}
	var err error
	if d.upstream, err = newUpstream(r.servers); err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, r.place(d)
}

// place assigns new addresses to a daemon and its relay.
func (r *runner) place(d *daemon) error {
	own, at := r.ip(1+2*d.moves, d.n), r.ip(2+2*d.moves, d.n)
	d.moves++
	probe, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(own, 0)))
	if err != nil {
		return err
	}
	d.listen = netip.AddrPortFrom(own, uint16(probe.Addr().(*net.TCPAddr).Port))
	_ = probe.Close() // nothing else uses this loopback address
	d.relay, err = r.relays.open(d.n, at, own, d.listen)
	return err
}

// record records an action of the harness.
func (r *runner) record(l checker.Line) {
	l.T, l.Wall, l.By = cmp.Or(l.T, transport.MonotonicNanos()), time.Now().UnixMilli(), checker.FaultTest
	r.mu.Lock()
	r.lines = append(r.lines, l)
	r.mu.Unlock()
	if r.o.Progress != nil && l.What != checker.Sent && l.What != checker.Service && l.What != checker.Link && l.What != checker.Used && l.What != checker.ServerReceived {
		fmt.Fprintf(r.o.Progress, "%7.2f s  %s %s %s\n", time.Since(r.begin).Seconds(), l.What, l.Of, l.Why)
	}
}

// config returns a daemon's configuration file.
func (r *runner) config(d *daemon) string {
	var seeds []string
	for _, n := range r.p.Seeds {
		seeds = append(seeds, fmt.Sprintf("%q", r.daemons[n].relay.String()))
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, `admin = "unix:%s/admin"
state_dir = "state"

[limits]
sockets = 4000

[[source]]
name = "main"
list = "%s"
spread = "50ms"
first = "50ms"

[site]
zones = ["a"]
kinds = ["k"]

[rules]
connect_timeout = "250ms"
%s
[[class]]
name = "get"
repeats = "safe"
aim = "500ms"
deadline = "%v"
worth = 1.0
%s
[[instance]]
name = "%s-1"
source = "main"
listen = "unix:%s/client"
`, d.dir, d.upstream.list.Addr(), r.ramp(), plan.Deadline, r.ownMarker(), d.name, d.dir)
	for _, part := range r.heldParts(d) { // each service has its own instance and the same servers
		fmt.Fprintf(b, "\n[[source]]\nname = %q\nlist = %q\nspread = \"50ms\"\nfirst = \"50ms\"\n\n[[instance]]\nname = \"%s-%s\"\nsource = %q\nlisten = \"unix:%s/%s\"\n",
			part, d.upstream.list.Addr(), d.name, part, part, d.dir, part)
	}
	if !r.o.Bare {
		fmt.Fprintf(b, `
[peers]
fleet = "drill"
name = "%s"
listen = "%s"
advertise = "%s"
seeds = [%s]
zone = "z%d"
events = "events"
`, d.name, d.listen, d.relay, strings.Join(seeds, ", "), d.n%r.p.Zones+1)
		s := &r.p.Peers
		for _, k := range []struct {
			key string
			d   time.Duration
		}{{"every", s.ProbeInterval}, {"direct", s.ProbeTimeout}, {"indirect", s.IndirectTimeout}, {"suspect_least", s.MinSuspicion}} {
			if k.d > 0 {
				fmt.Fprintf(b, "%s = \"%v\"\n", k.key, k.d)
			}
		}
		if s.Bytes > 0 {
			fmt.Fprintf(b, "bytes_per_s = %d\n", s.Bytes)
		}
		if s.FarBytes > 0 {
			fmt.Fprintf(b, "far_bytes_per_s = %d\n", s.FarBytes)
		}
		if region := r.p.Region(d.n); region != "" {
			fmt.Fprintf(b, "region = %q\n", region)
		}
		r.limits(b)
		r.policy(b, d)
	}
	return b.String()
}

func (d *daemon) setPID(pid int) {
	d.pid = pid
	d.sharedPID.Store(int64(pid))
}

func (d *daemon) currentPID() int { return int(d.sharedPID.Load()) }

// play starts the daemons that run from the beginning and applies the plan's events at their times.
func (r *runner) play(ctx context.Context) error {
	stop, cancel := context.WithCancel(ctx)
	defer r.background.Wait()
	defer cancel()
	if r.p.Link.Drop > 0 || r.p.Between != (plan.Link{}) {
		for i := range r.daemons {
			for j := range r.daemons {
				if i != j {
					r.recordLink(i, j, r.p.Usual(i, j))
				}
			}
		}
	}
	r.begin = time.Now()
	rng := rand.New(rand.NewPCG(r.o.Seed, 5))
	var todo []plan.Event
	for n := range r.p.Daemons {
		if r.p.RunsFromStart(n) {
			todo = append(todo, plan.Event{At: time.Duration(rng.Float64() * float64(r.p.Spread)), Do: "start", Who: []int{n}, State: "kept"})
		}
	}
	todo = append(todo, r.p.Events...)
	slices.SortStableFunc(todo, func(a, b plan.Event) int { return cmp.Compare(a.At, b.At) })
	first := transport.MonotonicNanos()
	if r.p.Rate > 0 {
		for _, d := range slices.Clone(r.daemons) {
			d.clients = newClients(filepath.Join(d.dir, "client"))
			d.clients.rate.Store(math.Float64bits(r.p.Rate))
			r.background.Go(func() { d.clients.run(stop, d.name, r.o.Seed+uint64(d.n), r.begin) })
		}
	}
	r.background.Go(func() { r.recordTraffic(stop) })
	if r.p.Policy != nil && !r.o.Bare {
		r.startPolling(stop)
	}
	if len(r.p.Limits) > 0 && !r.o.Bare {
		r.recordLimits()
		r.background.Go(func() { r.recordLimitUse(stop) })
	}
	for _, e := range todo {
		if err := sleep(ctx, time.Until(r.begin.Add(e.At))); err != nil {
			return err
		}
		if err := r.applyEvent(ctx, e); err != nil {
			return fmt.Errorf("at %v: %s: %w", e.At, e.Do, err)
		}
	}
	if err := sleep(ctx, time.Until(r.begin.Add(r.p.Length))); err != nil {
		return err
	}
	cancel()
	r.background.Wait()
	r.recordService(first)
	r.record(checker.Line{What: checker.End})
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordTraffic records once a second what each daemon sent to its peers and what each server received.
func (r *runner) recordTraffic(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		total := 0
		got := make([]int, len(r.states))
		for n, f := range r.states {
			got[n] = int(f.received.Swap(0))
			total += got[n]
		}
		for n := range r.states {
			r.record(checker.Line{What: checker.ServerReceived, Server: fmt.Sprint("s", n+1), Count: got[n], Demand: total, Members: len(r.states)})
		}
		for n := range r.p.Daemons {
			s := r.relays.take(n)
			r.record(checker.Line{What: checker.Sent, Of: r.daemons[n].name, Datagrams: s.datagrams, Bytes: s.bytes, Far: s.far, Streamed: s.streamed, CPUMS: cpuTimeMS(r.daemons[n].currentPID())})
		}
	}
}

// cpuTimeMS returns the CPU time that a process has used, in ms, from the system's accounting (in ticks of 10 ms); 0
// if the process does not exist.
func cpuTimeMS(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil || pid == 0 {
		return 0
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 13 {
		return 0
	}
	user, err1 := strconv.Atoi(f[11]) // utime and stime, proc(5)
	system, err2 := strconv.Atoi(f[12])
	if err1 != nil || err2 != nil {
		return 0
	}
	return (user + system) * 10
}

// recordService records the outcomes of the requests of each second. The time of the line is three seconds after the
// end of that second, when each request has its answer.
func (r *runner) recordService(first int64) {
	for _, d := range r.daemons {
		if d.clients == nil {
			continue
		}
		for s := range int(r.p.Length / time.Second) {
			if c := d.clients.of(s); c.asked > 0 {
				r.record(checker.Line{T: first + int64(time.Duration(s+4)*time.Second), What: checker.Service, Of: d.name,
					Count: c.asked, Served: c.served, Refused: c.refused, Failed: c.failed})
			}
		}
	}
}

// applyEvent applies one event.
func (r *runner) applyEvent(ctx context.Context, e plan.Event) error {
	switch e.Do {
	case "link", "heal":
		r.changeLinks(e)
		return nil
	case "fresh":
		for _, n := range e.Servers {
			r.load.serverStarted(n)
			for _, d := range r.daemons {
				d.upstream.serverStarted(n, r.servers[n])
			}
		}
		return nil
	case "fail":
		for _, n := range e.Servers {
			r.states[n].failShare.Store(math.Float64bits(e.Fail))
			r.record(checker.Line{What: checker.Fault, Server: fmt.Sprint("s", n+1), Drop: e.Fail})
		}
		return nil
	case "apply":
		for _, n := range e.Who {
			if err := r.apply(ctx, r.daemons[n], e); err != nil {
				return err
			}
		}
		return nil
	case "voters":
		for _, n := range e.Who {
			add := ""
			for _, m := range e.To {
				add = plan.Name(m)
			}
			if err := r.admin(ctx, r.daemons[n], http.MethodPost, "/policy/voters?add="+add+"&remove="+e.Remove, nil); err != nil {
				return err
			}
		}
		return nil
	case "rescue", "trust":
		for _, n := range e.Who {
			if err := r.admin(ctx, r.daemons[n], http.MethodPost, "/policy/"+e.Do, nil); err != nil {
				return err
			}
		}
		return nil
	case "forget":
		for _, n := range e.Who {
			for _, m := range e.To {
				if err := r.admin(ctx, r.daemons[n], http.MethodPost, "/fleet/forget?name="+url.QueryEscape(plan.Name(m)), nil); err != nil {
					return err
				}
			}
		}
		return nil
	}
	for _, n := range e.Who {
		d := r.daemons[n]
		switch e.Do {
		case "start":
			if e.Twin {
				t, err := r.add(len(r.daemons), d.name)
				if err != nil {
					return err
				}
				t.twin = true
				d = t
			}
			if e.Move {
				if err := r.place(d); err != nil {
					return err
				}
			}
			if err := r.start(d, e); err != nil {
				return err
			}
		case "kill":
			r.end(d, syscall.SIGKILL)
		case "term":
			r.record(checker.Line{What: checker.ShutdownRequested, Of: d.name, PID: d.pid})
			pid, exited := d.pid, d.exited
			_ = syscall.Kill(pid, syscall.SIGTERM)
			d.setPID(0)
			r.background.Go(func() {
				if !wait(exited, 15*time.Second) {
					_ = syscall.Kill(pid, syscall.SIGKILL)
				}
				r.record(checker.Line{What: checker.Down, Of: d.name, PID: pid, Why: "term"})
			})
		case "pause", "resume":
			if d.pid == 0 || d.paused == (e.Do == "pause") {
				continue
			}
			d.paused = e.Do == "pause"
			sig, what := syscall.SIGSTOP, checker.Pause
			if !d.paused {
				sig, what = syscall.SIGCONT, checker.Resume
			}
			r.record(checker.Line{What: what, Of: d.name, PID: d.pid})
			_ = syscall.Kill(d.pid, sig)
		case "rate":
			d.clients.rate.Store(math.Float64bits(e.Rate))
			r.recordDemand()
		case "starve":
			r.starve(d, e)
		case "handover":
			if err := r.handover(ctx, d); err != nil {
				return err
			}
		case "keep":
			kept := filepath.Join(d.dir, "kept")
			if err := os.RemoveAll(kept); err != nil {
				return err
			}
			if err := os.CopyFS(kept, os.DirFS(filepath.Join(d.dir, "state"))); err != nil {
				return err
			}
		case "list":
			d.upstream.list.SetDown(e.Link.Drop >= 1)
			r.record(checker.Line{What: checker.Cut, Of: d.name, Why: "list", Drop: e.Link.Drop})
		case "servers":
			for n, g := range d.upstream.relays {
				if len(e.Servers) > 0 && !slices.Contains(e.Servers, n) {
					continue
				}
				g.setBlocked(e.Link.Drop >= 1)
				if e.Link.Drop > 0 {
					r.record(checker.Line{What: checker.Fault, Server: fmt.Sprint("s", n+1), Of: d.name, Drop: e.Link.Drop})
				}
			}
			r.record(checker.Line{What: checker.Cut, Of: d.name, Why: "servers", Drop: e.Link.Drop})
		case "stray":
			r.relays.stray(n, e.Kind, e.Count)
			r.record(checker.Line{What: checker.StrayDatagram, Of: d.name, Why: e.Kind, Count: e.Count})
		}
	}
	return nil
}

func (r *runner) recordLink(from, to int, l plan.Link) {
	r.record(checker.Line{What: checker.Link, From: r.daemons[from].name, To: r.daemons[to].name, Drop: l.Drop, Impaired: l.IsImpaired(), OneWayDelayUS: l.OneWayDelayMicros()})
}

// changeLinks sets links to an event's state, or back to their usual state.
func (r *runner) changeLinks(e plan.Event) {
	all := make([]int, len(r.daemons))
	for i := range all {
		all[i] = i
	}
	heals := e.Do == "heal"
	if heals {
		if len(e.Who) == 0 {
			e.Who, e.Both = all, true
		}
		if len(e.To) == 0 {
			e.To = all
		}
	}
	set := func(a, b int) {
		l := e.Link
		if heals {
			l = r.p.Usual(a, b)
		}
		r.relays.set(a, b, l)
		r.recordLink(a, b, l)
	}
	for _, a := range e.Who {
		for _, b := range e.To {
			if a != b {
				set(a, b)
				if e.Both {
					set(b, a)
				}
			}
		}
	}
}

func (r *runner) start(d *daemon, e plan.Event) error {
	if d.pid != 0 {
		return nil
	}
	state := filepath.Join(d.dir, "state")
	switch e.State {
	case "none", "old":
		if err := os.RemoveAll(state); err != nil {
			return err
		}
		if e.State == "old" {
			if err := os.CopyFS(state, os.DirFS(filepath.Join(d.dir, "kept"))); err != nil {
				return fmt.Errorf("start %s with an old disk: no copy of its state: %w", d.name, err)
			}
		}
	case "torn":
		files, err := filepath.Glob(filepath.Join(state, "*"))
		if err != nil {
			return err
		}
		for _, f := range files {
			if info, err := os.Stat(f); err == nil {
				if err := os.Truncate(f, info.Size()*2/3); err != nil {
					return err
				}
			}
		}
	}
	path := filepath.Join(d.dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(r.config(d)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(cmp.Or(e.Build, r.o.Program), "serve", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if e.Clock != 0 {
		cmd.Env = append(cmd.Env, "VETCHHAVEN_CLOCK_OFF="+e.Clock.String())
	}
	at := transport.MonotonicNanos()
	if err := cmd.Start(); err != nil {
		return err
	}
	d.exited, d.paused = make(chan struct{}), false
	d.setPID(cmd.Process.Pid)
	exited := d.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	what := checker.Up
	if d.twin {
		what = checker.DuplicateStarted
	}
	held := r.heldParts(d)
	r.record(checker.Line{T: at, What: what, Of: d.name, PID: d.pid, Balancers: 1 + len(held), Region: r.p.Region(d.n)})
	if len(held) > 0 {
		r.record(checker.Line{T: at, What: checker.Holds, Of: d.name, PID: d.pid, Parts: checker.PartsText(held)})
	}
	return nil
}

// end ends a daemon's process with a signal and waits for its exit.
func (r *runner) end(d *daemon, sig syscall.Signal) {
	if d.pid == 0 {
		return
	}
	r.record(checker.Line{What: checker.Down, Of: d.name, PID: d.pid, Why: "kill"})
	_ = syscall.Kill(d.pid, sig)
	wait(d.exited, 10*time.Second)
	d.setPID(0)
}

func wait(c <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-t.C:
		return false
	}
}

// starve limits a daemon to a share of a core by stopping its process for the rest of each tenth of a second.
func (r *runner) starve(d *daemon, e plan.Event) {
	pid := d.pid
	if pid == 0 {
		return
	}
	const unit = 100 * time.Millisecond
	runs := time.Duration(e.Share * float64(unit))
	r.record(checker.Line{What: checker.Starve, Of: d.name, PID: pid, PauseMS: e.For.Milliseconds()})
	r.background.Go(func() {
		for end := time.Now().Add(e.For); time.Now().Before(end); {
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(unit - runs)
			_ = syscall.Kill(pid, syscall.SIGCONT)
			time.Sleep(runs)
		}
	})
}

// admin sends a request to a daemon's admin endpoint.
func (r *runner) admin(ctx context.Context, d *daemon, method, path string, into func(io.Reader) error) error {
	return r.adminWith(ctx, d, method, path, nil, into)
}

func (r *runner) adminWith(ctx context.Context, d *daemon, method, path string, with []byte, into func(io.Reader) error) error {
	client := &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(d.dir, "admin"))
		}}}
	req, err := http.NewRequestWithContext(ctx, method, "http://daemon"+path, bytes.NewReader(with))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, body)
	}
	if err == nil && into != nil {
		err = into(strings.NewReader(string(body)))
	}
	return err
}

// handover makes a daemon hand over to a successor and finds the successor's process, which becomes a child of this
// process when the predecessor exits.
func (r *runner) handover(ctx context.Context, d *daemon) error {
	old, exited := d.pid, d.exited
	if old == 0 {
		return errors.New("daemon is not running")
	}
	r.record(checker.Line{What: checker.HandoverStarted, Of: d.name, PID: old})
	if err := r.admin(ctx, d, http.MethodPost, "/handover", nil); err != nil {
		return err
	}
	if !wait(exited, 20*time.Second) {
		return fmt.Errorf("process %d of %s did not exit after the handover", old, d.name)
	}
	pid, err := r.serving(ctx, d)
	if err != nil {
		return err
	}
	d.exited = make(chan struct{})
	d.setPID(pid)
	ended := d.exited
	go func() {
		var status syscall.WaitStatus
		for {
			if _, err := syscall.Wait4(pid, &status, 0, nil); err != syscall.EINTR {
				break
			}
		}
		close(ended)
	}()
	r.record(checker.Line{What: checker.HandoverDone, Of: d.name, PID: pid})
	return nil
}

func (r *runner) close() {
	for _, d := range r.daemons {
		if d.pid != 0 {
			_ = syscall.Kill(d.pid, syscall.SIGCONT)
			_ = syscall.Kill(d.pid, syscall.SIGTERM)
		}
	}
	for _, d := range r.daemons {
		if d.pid != 0 && !wait(d.exited, 5*time.Second) {
			_ = syscall.Kill(d.pid, syscall.SIGKILL)
			wait(d.exited, 5*time.Second)
		}
		if d.upstream != nil {
			d.upstream.close()
		}
	}
	r.relays.close()
	for _, s := range r.servers {
		s.Close()
	}
}

// collect merges the daemons' event files with the harness's records, ordered by time.
func (r *runner) collect() ([]checker.Line, error) {
	all := append(slices.Clone(r.lines), r.pollResults()...)
	for _, d := range r.daemons {
		f, err := os.Open(filepath.Join(d.dir, "events"))
		if errors.Is(err, os.ErrNotExist) {
			continue // the daemon never started, or runs without peers
		}
		if err != nil {
			return nil, err
		}
		events, err := checker.Read(f)
		_ = f.Close()
		if err != nil && len(events) == 0 { // a daemon that was killed may have left a partial line
			return nil, fmt.Errorf("events of %s: %w", d.name, err)
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b checker.Line) int { return cmp.Compare(a.T, b.T) })
	return all, nil
}
