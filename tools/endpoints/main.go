// Command endpoints measures the resources that one agent of `run` needs with few and with many servers at the same
// traffic, and checks them against the operators' table; see docs/measure/endpoints.md. The command is bounded in
// time and uses loopback only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
)

// options are the command's flags.
type options struct {
	program string
	few     int
	many    int
	agents  int
	rate    float64
	churn   float64
	length  time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := options{}
	c := &cobra.Command{Use: "endpoints", Short: "Resources that an agent needs with few and with many servers", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return run(ctx, o, c.OutOrStdout()) }}
	f := c.Flags()
	f.StringVar(&o.program, "program", "bin/vetchhaven", "the built program")
	f.IntVar(&o.few, "few", 200, "servers of the usual size")
	f.IntVar(&o.many, "many", 3200, "servers of the large size, up to 3200")
	f.IntVar(&o.agents, "agents", 56, "number of agents in the settings of the usual size; in proportion more for the large size, up to 900")
	f.Float64Var(&o.rate, "rate", 40, "requests a second, up to 1000")
	f.Float64Var(&o.churn, "churn", 0.005, "share of the servers that is replaced each second")
	f.DurationVar(&o.length, "length", 30*time.Second, "length of each run, up to 10m")
	if err := c.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// figures are the resources that an agent used in one run.
type figures struct {
	servers     int
	cpu         float64 // seconds
	memory      float64 // MB, peak resident
	descriptors int     // peak of open file descriptors
	connections int64   // to servers
	listBytes   int64
	served      float64 // share of the requests
}

// bound is a row of the operators' table. It bounds a figure at the large size, given the figure at the usual size.
type bound struct {
	name      string
	few, many float64
	most      float64
	least     bool // the bound is a minimum
}

func bounds(few, many figures) []bound {
	thousands := float64(many.servers) / 1000
	return []bound{
		{"CPU seconds", few.cpu, many.cpu, 1.4*few.cpu + 0.02 + 0.03*thousands, false},
		{"peak memory, MB", few.memory, many.memory, 1.5*few.memory + 8 + 4*thousands, false},
		{"descriptors", float64(few.descriptors), float64(many.descriptors), 2*float64(few.descriptors) + 40, false},
		{"connections to servers", float64(few.connections), float64(many.connections), 2.5*float64(few.connections) + 40, false},
		{"KB of lists", float64(few.listBytes) / 1024, float64(many.listBytes) / 1024, 2*float64(few.listBytes)/1024 + 64 + 500*thousands, false},
		{"share served", few.served, many.served, 0.85 * few.served, true},
	}
}

func run(ctx context.Context, o options, out io.Writer) error {
	if o.few < 1 || o.many < o.few || o.many > 3200 || o.rate <= 0 || o.rate > 1000 || o.length < time.Second || o.length > 10*time.Minute {
		return fmt.Errorf("flags are out of bounds: %+v", o)
	}
	few, err := measure(ctx, o, o.few, o.agents)
	if err != nil {
		return err
	}
	many, err := measure(ctx, o, o.many, min(900, o.agents*o.many/o.few))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "| what | %d servers | %d servers | bound | |\n| --- | --- | --- | --- | --- |\n", o.few, o.many)
	over := 0
	for _, b := range bounds(few, many) {
		word := "kept"
		if b.least && b.many < b.most || !b.least && b.many > b.most {
			word = "NOT kept"
			over++
		}
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.2f | %s |\n", b.name, b.few, b.many, b.most, word)
	}
	if over > 0 {
		return fmt.Errorf("%d bounds are not met", over)
	}
	return nil
}

// site is the stand-in servers and the list service of one run.
type site struct {
	server      *http.Server
	list        *standin.List
	lists       *http.Server
	listAddr    string
	addrs       []string
	connections atomic.Int64
	listBytes   atomic.Int64
}

func newSite(count int) (*site, error) {
	s := &site{}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
		_, _ = io.WriteString(w, "done\n")
	}), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}, IdleTimeout: 5 * time.Second}
	var members []discovery.Server
	for n := range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = s.server.Serve(ln) }()
		s.addrs = append(s.addrs, ln.Addr().String())
		members = append(members, s.member(n, 0))
	}
	var err error
	if s.list, err = standin.NewList("", members...); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listAddr = ln.Addr().String()
	s.lists = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.list.ServeHTTP(countingWriter{w, &s.listBytes}, r)
	})}
	go func() { _ = s.lists.Serve(ln) }()
	return s, nil
}

func (s *site) member(n int, started int64) discovery.Server {
	return discovery.Server{ID: fmt.Sprintf("s-%04d", n), Addr: s.addrs[n], Zone: []string{"a", "b"}[n%2], Kind: "k", Cell: new(n % 8), State: "ready", Weight: 1, Started: started}
}

// churn drains a share of the servers each second, until ctx ends; each of them comes back one second later.
func (s *site) churn(ctx context.Context, part float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	each := time.NewTicker(time.Second)
	defer each.Stop()
	var drained []int
	for {
		select {
		case <-ctx.Done():
			return
		case <-each.C:
		}
		for _, n := range drained {
			s.list.Set(s.member(n, time.Now().UnixMilli()))
		}
		drained = drained[:0]
		for range int(part * float64(len(s.addrs))) {
			n := rng.IntN(len(s.addrs))
			m := s.member(n, 0)
			m.State = "draining"
			s.list.Set(m)
			drained = append(drained, n)
		}
	}
}

func (s *site) close() {
	_ = s.server.Close()
	_ = s.lists.Close()
	s.list.Close()
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

func (c countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

const settings = `{
 "Balancers": %d, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Kinds": ["k"], "MembershipMode": "automatic", "TickMs": 5, "CountedBy": "request",
 "Profiles": [{"Name": "get", "AimMs": 400, "DeadlineMs": 2000, "Worth": 1, "Semantics": "repeatable"}],
 "PolicyLimits": {"TryLimit": 3, "ConnectTimeoutMs": 250, "IdleCloseMs": 5000, "MaxOpen": 1000, "RetryAfter": true, "MaxRetryAfterMs": 1500},
 "Contract": {"AskWithinMs": 5000, "DrainGraceMs": 2000, "GraceToAnswerMs": 20, "ColdFrom": 0.3, "RampTimeMs": 8000, "FallMultiple": 2.5, "FallMs": 1000},
 "Goal": {"Whole": 1}, "Report": {"Source": "off"}}`

// measure runs an agent with the given number of servers, and returns the resources that it used.
func measure(ctx context.Context, o options, servers, agents int) (f figures, err error) {
	s, err := newSite(servers)
	if err != nil {
		return f, err
	}
	defer s.close()
	dir, err := os.MkdirTemp("", "vetchhaven-endpoints")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	listen, err := freeAddr()
	if err != nil {
		return f, err
	}
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": s.listAddr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    discovery.Update{Version: 1, Full: true, Servers: []discovery.Server{}},
		"settings": json.RawMessage(fmt.Sprintf(settings, agents))})
	if err != nil {
		return f, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		return f, err
	}
	cmd := exec.Command(o.program, "run")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	if err := cmd.Start(); err != nil {
		return f, err
	}
	ended := false
	defer func() {
		if !ended {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}()
	if err := awaitReady(ctx, listen); err != nil {
		return f, err
	}
	playing, stop := context.WithTimeout(ctx, o.length)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { s.churn(playing, o.churn) })
	running.Go(func() { f.descriptors = watchDescriptors(playing, cmd.Process.Pid) })
	var asked, served atomic.Int64
	running.Go(func() { sendRequests(playing, listen, o.rate, &asked, &served) })
	running.Wait()
	if ctx.Err() != nil {
		return f, ctx.Err()
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	err = cmd.Wait()
	ended = true
	usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage)
	if err != nil || !ok {
		return f, fmt.Errorf("the agent did not exit cleanly: %v", err)
	}
	f.servers = servers
	f.cpu = (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
	f.memory = float64(usage.Maxrss) / 1024
	f.connections, f.listBytes = s.connections.Load(), s.listBytes.Load()
	f.served = float64(served.Load()) / float64(max(1, asked.Load()))
	return f, nil
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func awaitReady(ctx context.Context, listen string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/_health")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the agent did not become ready")
}

// watchDescriptors returns the largest number of file descriptors that a process had open until ctx ended.
func watchDescriptors(ctx context.Context, pid int) (most int) {
	each := time.NewTicker(50 * time.Millisecond)
	defer each.Stop()
	for {
		if all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			most = max(most, len(all))
		}
		select {
		case <-ctx.Done():
			return most
		case <-each.C:
		}
	}
}

// sendRequests sends requests at a rate until ctx ends, and then waits for their answers.
func sendRequests(ctx context.Context, listen string, rate float64, asked, served *atomic.Int64) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		open.Go(func() {
			asked.Add(1)
			req, err := http.NewRequest(http.MethodGet, "http://"+listen+"/get/x", nil)
			if err != nil {
				return
			}
			req.Header.Set("X-Trace-Id", fmt.Sprint("r", n))
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
	}
}
