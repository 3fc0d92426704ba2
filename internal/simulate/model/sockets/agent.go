package sockets

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"vetchhaven/internal/simulate/model"
)

// agent is a real agent process, with its list service and its clients.
type agent struct {
	g          *driver
	n          int
	dir        string
	listen     string
	release    func() // releases the address
	listServer *http.Server
	listAddr   string
	clients    *http.Client

	generation int  // number of starts and ends so far, guarded by the driver's lock
	killing    bool // the process is being killed, guarded by the driver's lock
	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{} // closed when the process has ended
	stopping   bool          // the end of the process is intended
}

func newAgent(g *driver, n int, dir string) (*agent, error) {
	a := &agent{g: g, n: n, dir: dir}
	at := "127.0.0.1:0"
	var err error
	if g.external() {
		a.listen, a.release, at = g.o.AgentsAt[n], func() {}, g.o.ListAt
	} else if a.listen, a.release, err = reserveAddr(); err != nil {
		return nil, err
	}
	a.listServer = &http.Server{Handler: g.list(n), ReadHeaderTimeout: 5 * time.Second}
	if n == 0 || !g.external() { // external agents share one list service
		ln, err := net.Listen("tcp", at)
		if err != nil {
			return nil, err
		}
		a.listAddr = ln.Addr().String()
		g.running.Go(func() { _ = a.listServer.Serve(ln) })
	}
	a.clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}).DialContext}}
	return a, nil
}

// config returns an agent's configuration, with the keys that the platform uses.
func (a *agent) config() ([]byte, error) {
	g, s := a.g, a.g.s
	g.mu.Lock()
	version, entries := g.world.List.Snapshot()
	known := g.members(a.n, version, true, entries)
	g.recordListed(a.n, true, entries)
	seed := model.Seed(g.o.Seed).Derive(model.HashName("agent"), uint64(a.n), uint64(a.generation))
	g.mu.Unlock()
	ms := func(d time.Duration) float64 { return float64(d) / 1e6 }
	var profiles []map[string]any
	for _, c := range s.Classes {
		profiles = append(profiles, map[string]any{"Name": c.Name, "AimMs": ms(c.Objective), "DeadlineMs": ms(c.Deadline), "Worth": c.Value,
			"LateValue": c.LateValue, "Semantics": [...]string{"repeatable", "by_key", "once"}[c.Effect],
			"Group": [...]string{"all", "zone", "cell"}[c.Scope], "WindowMs": ms(c.DedupWindow)})
	}
	var kinds []string
	for _, k := range s.Kinds {
		kinds = append(kinds, k.Name)
	}
	report := "off"
	if s.Report.Answers {
		report = "inline"
	}
	d := s.Settings(a.n)
	settings := map[string]any{
		"Balancers": d.Balancers, "Me": a.n, "Zone": d.Zone, "CountedBy": map[bool]string{true: "work", false: "request"}[s.ByWork],
		"Profiles": profiles, "MembershipMode": map[bool]string{true: "subscribe", false: "automatic"}[s.List.Asked], "TickMs": ms(s.Tick),
		"PolicyLimits": map[string]any{"TryLimit": d.MaxAttempts, "SecondCopies": d.Hedging, "Cancel": d.MayCancel, "RetryAfter": d.RetryAfter,
			"MaxRetryAfterMs": ms(d.MaxRetryAfter), "ConnectTimeoutMs": ms(d.ConnectTimeout), "IdleCloseMs": ms(s.Rules.IdleClose)},
		"Contract": map[string]any{"DrainGraceMs": ms(d.DrainGrace), "GraceToAnswerMs": ms(d.AnswerGrace), "AskWithinMs": ms(d.SubscribeWithin),
			"ColdFrom": d.SlowStartShare, "RampTimeMs": ms(d.SlowStartTime), "FallMultiple": d.OverloadMultiple, "FallMs": ms(d.OverloadWindow)},
		"Goal":   map[string]any{"Whole": d.GoalOverall, "WorstWindow": d.GoalWorstWindow, "WorstClass": d.GoalWorstClass},
		"Prices": map[string]any{"CrossZone": d.CrossZonePrice}, "Dcs": s.Zones, "Kinds": kinds, "Report": map[string]any{"Source": report},
	}
	return json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", a.n), "listen": a.listen, "discovery": a.listAddr,
		"seed": strconv.FormatUint(uint64(seed), 16), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": known, "settings": settings})
}

// start starts the agent process, and returns without waiting until it accepts requests.
func (a *agent) start() error {
	if a.g.external() {
		return nil
	}
	cmd, err := a.command()
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd != nil {
		return nil
	}
	cmd.Stderr = a.g.o.Log
	cmd.SysProcAttr = childProcess()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("agent %d: %w", a.n, err)
	}
	done := make(chan struct{})
	a.cmd, a.done, a.stopping = cmd, done, false
	a.g.running.Go(func() {
		err := cmd.Wait()
		close(done)
		a.mu.Lock()
		stopping := a.stopping
		a.mu.Unlock()
		if !stopping {
			a.g.mu.Lock()
			a.g.fail(fmt.Errorf("agent %d ended by itself: %w", a.n, err))
			a.g.mu.Unlock()
		}
	})
	return nil
}

// ready waits until the agent accepts requests.
func (a *agent) ready(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(limit, http.MethodGet, "http://"+a.listen+"/_health", nil)
		if err != nil {
			return err
		}
		resp, err := a.clients.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("agent %d is not ready: %w", a.n, limit.Err())
		case <-a.done:
			return fmt.Errorf("agent %d ended at its start", a.n)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// kill ends the process at once, as the script specifies.
func (a *agent) kill() {
	// Requests that arrive between now and the end of the process are lost with it, so they count as stopped too.
	a.g.mu.Lock()
	a.generation++
	a.killing = true
	a.g.checker.Stopped(a.g.now(), a.n)
	a.g.mu.Unlock()
	a.end(syscall.SIGKILL, 5*time.Second)
	a.g.mu.Lock()
	a.generation++
	a.killing = false
	a.g.mu.Unlock()
	a.clients.CloseIdleConnections()
}

// end sends a signal and waits for the end of the process, then kills it.
func (a *agent) end(sig syscall.Signal, wait time.Duration) {
	a.mu.Lock()
	cmd, done := a.cmd, a.done
	a.cmd, a.stopping = nil, true
	a.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig) // an error means that it has ended already
	select {
	case <-done:
	case <-time.After(wait):
		_ = cmd.Process.Kill()
		<-done
	}
}

// stopAgents ends all agent processes and their list services.
func (g *driver) stopAgents() {
	var all sync.WaitGroup
	for _, a := range g.agents {
		all.Go(func() {
			a.end(syscall.SIGTERM, 5*time.Second)
			_ = a.listServer.Close()
			a.release()
			a.clients.CloseIdleConnections()
		})
	}
	all.Wait()
}
