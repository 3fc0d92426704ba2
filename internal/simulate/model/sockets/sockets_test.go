package sockets

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	real "vetchhaven/internal/core"
	"vetchhaven/internal/protocol/http1"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/scenario"
	"vetchhaven/internal/simulate/statistics"
)

// TestMain lets the test binary run as an agent process.
func TestMain(m *testing.M) {
	if os.Getenv("REHEARSED_AGENT") == "1" {
		if err := runAgent(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const baseScenario = `
title = "test"
length = "3s"
[agents]
count = 2
tick = "2ms"
[load]
rate = 40.0
[clients]
tries = 2
wait = "50ms"
patience = 0.6
[list]
up = "200ms"
drain = "200ms"
silent = "1s"
[network]
zones = ["a", "b"]
within = "1ms"
across = "3ms"
[rules]
max_retry_after = "500ms"
[report]
answers = true
every = "100ms"
[[kind]]
name = "k"
cores = 4
speed = 1.0
queue = 1000
cold_share = 0.5
cold_for = "2s"
handshake_rtt = 2.0
handshake = "1ms"
[[class]]
name = "fetch"
share = 1.0
work = "10ms"
hint = 0.2
aim = "1s"
deadline = "5s"
worth = 1.0
repeats = "safe"
[[class]]
name = "close"
share = 1.0
work = "10ms"
aim = "1s"
deadline = "5s"
worth = 3.0
repeats = "keyed"
group = "pod"
window = "12s"
[[servers]]
name = "s"
kind = "k"
zone = "a"
pod = 1
count = 2
[[servers]]
name = "s"
kind = "k"
zone = "b"
pod = 2
count = 2
`

func load(t *testing.T, text string) *model.Scenario {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// logs is safe for several processes' output.
type logs struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// agentProcs holds the agent processes that were started.
type agentProcs struct {
	mu   sync.Mutex
	cmds []*exec.Cmd
}

func (p *agentProcs) agent() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = []string{"REHEARSED_AGENT=1"}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmds = append(p.cmds, cmd)
	return cmd
}

// checkGone checks that no process is left: each was waited for, and none can be signalled.
func (p *agentProcs) checkGone(t *testing.T) {
	t.Helper()
	for _, c := range p.cmds {
		if c.ProcessState == nil {
			t.Errorf("the test did not wait for an agent")
		} else if err := c.Process.Signal(syscall.Signal(0)); !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("agent %d is left: %v", c.ProcessState.Pid(), err)
		}
	}
}

func play(t *testing.T, ctx context.Context, s *model.Scenario) *Played {
	t.Helper()
	p, log := &agentProcs{}, &logs{}
	played, err := Play(ctx, Options{Scenario: s, Seed: 1, Agent: p.agent, Log: log})
	p.checkGone(t)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.b.String())
	}
	return played
}

// A scenario with most kinds of incidents runs with real agents. On a busy machine answers may be late,
// but no request is lost and no rule is broken at any speed.
func TestRealAgentsKeepTheRules(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	defer goleak.VerifyNone(t)
	incidents := []string{
		"what = \"fast-errors\"\nat = \"200ms\"\nfor = \"2s\"\nservers = [\"s-1\"]\nshare = 0.5",
		"what = \"drain\"\nat = \"300ms\"\nservers = [\"s-2\"]\ndrain_for = \"1s\"",
		"what = \"silent\"\nat = \"500ms\"\nfor = \"1s\"\nservers = [\"s-3\"]",
		"what = \"replace\"\nat = \"1s\"\nservers = [\"s-1\"]\nafter = \"300ms\"",
		"what = \"list-down\"\nat = \"1200ms\"\nfor = \"500ms\"",
		"what = \"resets\"\nat = \"500ms\"\nfor = \"1s\"\nshare = 0.1",
		"what = \"agents-restart\"\nat = \"2s\"\nagents = [1, 2]\nafter = \"100ms\"",
	}
	text := baseScenario
	for _, i := range incidents {
		text += "[[incident]]\n" + i + "\n"
	}
	p := play(t, context.Background(), load(t, text))
	if n := p.Judge.Total(); n > 0 {
		t.Errorf("%d rules broken, first %v", n, p.Judge.Breaches()[0])
	}
	c := p.Day.Total
	if c.Offered < 20 || c.Offered != c.InTime+c.Late+c.Refused+c.Failed || c.InTime+c.Late < c.Offered/2 || p.CutShort {
		t.Errorf("%+v", c)
	}
	attempts := 0
	for _, s := range p.Day.Servers {
		attempts += s.Attempts
	}
	if attempts < c.Offered/2 || p.Day.Reads < 2 {
		t.Errorf("%d attempts, %d reads of the list", attempts, p.Day.Reads)
	}
}

// A cancellation in the middle ends the simulation at once, marks the result and leaves no process behind.
func TestCutShort(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := load(t, strings.Replace(baseScenario, `length = "3s"`, `length = "10m"`, 1))
	p := &agentProcs{}
	played, err := Play(ctx, Options{Scenario: s, Seed: 1, Agent: p.agent, Log: io.Discard, Progress: func(_ time.Duration, d *statistics.Day) {
		if len(d.Windows) > 0 && d.Windows[0].Offered > 5 {
			cancel()
		}
	}})
	p.checkGone(t)
	if err != nil || !played.CutShort || played.Judge.Total() > 0 {
		t.Errorf("%v, %+v", err, played)
	}
}

func TestDeadAgentIsReported(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	defer goleak.VerifyNone(t)
	_, err := Play(context.Background(), Options{Scenario: load(t, baseScenario), Seed: 1, Log: io.Discard, Agent: func() *exec.Cmd { return exec.Command("false") }})
	if err == nil || !strings.Contains(err.Error(), "ended at its start") {
		t.Error(err)
	}
}

func TestBounds(t *testing.T) {
	for _, tt := range []struct{ old, new, want string }{
		{"rate = 40.0", "rate = 4000.0", "too many for sockets"},
		{"count = 2\ntick", "count = 700\ntick", "their product must not exceed"},
		{`length = "3s"`, `length = "31m"`, "too long for sockets"},
		{`tick = "2ms"`, ``, "agents.tick"},
	} {
		_, err := Play(context.Background(), Options{Scenario: load(t, strings.Replace(baseScenario, tt.old, tt.new, 1))})
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v", tt.new, err)
		}
	}
}

// An address can be open, closed and silent in turn: a connection is accepted, refused, or never
// established.
func TestListener(t *testing.T) {
	hello := make(chan struct{}, 100)
	d, err := newListener(func(c net.Conn) { hello <- struct{}{}; c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	defer d.free()
	defer func() { _ = d.set(closed) }()
	dial := func(patience time.Duration) error {
		c, err := net.DialTimeout("tcp", d.addr, patience)
		if err == nil {
			c.Close()
		}
		return err
	}
	refused := func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
	if err := dial(5 * time.Second); !refused(err) {
		t.Errorf("closed: %v", err)
	}
	for range 3 {
		if err := d.set(open); err != nil {
			t.Fatal(err)
		}
		if err := dial(5 * time.Second); err != nil {
			t.Errorf("open: %v", err)
		}
		<-hello
		if err := d.set(silent); err != nil {
			t.Fatal(err)
		}
		if err := dial(100 * time.Millisecond); err == nil || refused(err) {
			t.Errorf("silent: %v", err)
		}
		if err := d.set(open); err != nil {
			t.Fatal(err)
		}
		if err := dial(20 * time.Second); err != nil {
			t.Errorf("open again: %v", err)
		}
		<-hello
		if n := len(hello); n > 0 {
			t.Errorf("%d connections from the silent time were served", n)
		}
		if err := d.set(closed); err != nil {
			t.Fatal(err)
		}
		if err := dial(5 * time.Second); !refused(err) {
			t.Errorf("closed again: %v", err)
		}
	}
}

func runAgent() error {
	cfg, err := real.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	stop, cancel := signalContext()
	defer cancel()
	a, err := http1.New(cfg, quiet(), real.Options{})
	if err != nil {
		return err
	}
	return a.Run(stop)
}
