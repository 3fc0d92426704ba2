package core

import (
	"context"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// oneClientProtocol is a protocol with one client, whose request comes as soon as clients are served. It tells which server
// has it.
type oneClientProtocol struct {
	idleProtocol
	loop  *Loop
	sent  chan string
	ended chan struct{}
}

func (p *oneClientProtocol) Serve(g *ConnLimiter) error {
	r := newPendingRequest("1")
	r.Deadline = time.Now().Add(testkit.Patience)
	r.Remaining = testkit.Patience
	p.loop.Submit(r.Request)
	<-p.ended
	return nil
}

func (p *oneClientProtocol) Attempt(a *Attempt) (decide.Result, any, decide.Load) {
	p.sent <- a.Server
	return decide.OK, "", decide.Load{}
}

// Where lists are pushed, what the list has counts as told from the first moment of a process: no client is served by a
// stored list that the list's first word would change. Where that word does not come, or nobody is there, clients are
// served by the stored one.
func TestFirstPushedListReplacesTheStoredOneBeforeServing(t *testing.T) {
	for name, row := range map[string]struct {
		wait time.Duration
		word bool
		dead bool
		want string
		ends func(first *testkit.Watcher) // how a first watch ends untold; nil: it goes on
	}{
		"it comes":                        {testkit.Patience, true, false, "two", nil},
		"it does not come":                {time.Millisecond, false, false, "one", nil},
		"nobody is there":                 {testkit.Patience, false, true, "one", nil},
		"it comes behind a call in vain":  {testkit.Patience, true, false, "two", func(w *testkit.Watcher) { close(w.Fail) }},
		"it comes behind a watch in vain": {testkit.Patience, true, false, "two", func(w *testkit.Watcher) { close(w.Lines) }},
	} {
		t.Run(name, func(t *testing.T) {
			list := testkit.NewCatalog(t)
			addr := list.Addr
			if row.dead {
				addr = testkit.DeadAddr(t)
			}
			member := func(id, state string) discovery.Member {
				return discovery.Member{ID: id, Addr: "127.0.0.1:9", Zone: "a", Kind: "m1", State: state, Weight: 1}
			}
			cfg := testConfig(t, testkit.Setup{Discovery: addr, Servers: []discovery.Member{member("one", "ready")}})
			p := &oneClientProtocol{sent: make(chan string, 1), ended: make(chan struct{})}
			a, err := New(cfg, testkit.Quiet, Parts{HeartbeatTimeout: 2 * testkit.Patience}, func(l *Loop) Protocol { p.loop = l; return p })
			if err != nil {
				t.Fatal(err)
			}
			a.firstListWait = row.wait
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- a.Run(ctx) }()
			if !row.dead {
				w := testkit.Receive(t, "watch", list.Watch)
				if row.ends != nil {
					row.ends(w)
					w = testkit.Receive(t, "next watch", list.Watch)
				}
				if row.word {
					two := member("two", "ready")
					two.Addr = "127.0.0.1:10"
					w.Lines <- testkit.ToLine(t, 42, member("one", "draining"), two)
				}
			}
			if got := testkit.Receive(t, "attempt", p.sent); got != row.want {
				t.Errorf("sent to %q", got)
			}
			close(p.ended)
			cancel()
			testkit.Receive(t, "end of the agent", done)
		})
	}
}

// A request that is taken late in a drain is answered before the agent ends, and not by its own time.
func TestLateRequestOfADrainIsAnsweredBeforeItsEnd(t *testing.T) {
	l, err := newLoop(testConfig(t, testkit.Setup{}), newClock(), idleProtocol{}, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	end := now.Add(time.Hour)
	for _, row := range []struct{ own, want time.Time }{{now.Add(time.Minute), now.Add(time.Minute)}, {now.Add(2 * time.Hour), end}} {
		for _, ends := range []*time.Time{nil, &end} {
			l.drainDeadline.Store(ends)
			want := row.want
			if ends == nil {
				want = row.own
			}
			r := newPendingRequest("1")
			r.Deadline = row.own
			l.Submit(r.Request)
			if !r.Deadline.Equal(want) {
				t.Errorf("ends %v: until %v, want %v", ends, r.Deadline, want)
			}
			r.deadlineTimer.Stop()
		}
	}
}

// A drain waits for the longest deadline of the settings, however long, and ends before the platform's kill 0.7 s later.
func TestDrainWaitsForTheLongestDeadline(t *testing.T) {
	for _, longest := range []time.Duration{2 * time.Second, 9 * time.Second} {
		cfg := testConfig(t, testkit.Setup{})
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Deadline = longest
		}
		a, err := New(cfg, testkit.Quiet, Parts{Listener: testkit.Listen(t)}, func(*Loop) Protocol { return idleProtocol{} })
		if err != nil {
			t.Fatal(err)
		}
		if most := a.maxDrain(); most <= longest || most >= longest+700*time.Millisecond {
			t.Errorf("deadline %v: a drain may take %v", longest, most)
		}
	}
}
