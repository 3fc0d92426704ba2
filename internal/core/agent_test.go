package core

import (
	"context"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// oneClientProtocol is a protocol with one client, whose request arrives as soon as clients are served. The name of the
// server that gets the request is sent on a channel.
type oneClientProtocol struct {
	idleProtocol
	loop  *Loop
	sent  chan string
	ended chan struct{}
}

func (p *oneClientProtocol) Serve(*ConnLimiter) error {
	r := newPendingRequest("1")
	r.Deadline = time.Now().Add(testkit.EventTimeout)
	r.Remaining = testkit.EventTimeout
	p.loop.Submit(r.Request)
	<-p.ended
	return nil
}

func (p *oneClientProtocol) Attempt(a *Attempt) (decide.Result, any, decide.Load) {
	p.sent <- a.Server
	return decide.OK, "", decide.Load{}
}

// If lists are pushed, the changes in the list count as notified from a process's start on: no client may be served
// with the stored list before the first pushed one has arrived. If no list is pushed in time, or the list service is
// down, clients are served with the stored list.
func TestFirstPushedListReplacesTheStoredOneBeforeServing(t *testing.T) {
	for name, row := range map[string]struct {
		wait     time.Duration
		pushes   bool
		dead     bool
		endFirst func(first *testkit.Watcher) // ends the first watch without a list; nil: it is not ended
		want     string                       // the server that gets the request
	}{
		"a list is pushed": {
			wait:   testkit.EventTimeout,
			pushes: true,
			want:   "two",
		},
		"no list is pushed": {
			wait: time.Millisecond,
			want: "one",
		},
		"the list service is down": {
			wait: testkit.EventTimeout,
			dead: true,
			want: "one",
		},
		"a list is pushed after a failed call": {
			wait:     testkit.EventTimeout,
			pushes:   true,
			endFirst: func(w *testkit.Watcher) { close(w.Fail) },
			want:     "two",
		},
		"a list is pushed after a watch that ended": {
			wait:     testkit.EventTimeout,
			pushes:   true,
			endFirst: func(w *testkit.Watcher) { close(w.Lines) },
			want:     "two",
		},
	} {
		t.Run(name, func(t *testing.T) {
			list := testkit.NewScriptedList(t)
			addr := list.Addr
			if row.dead {
				addr = testkit.RefusingAddr(t)
			}
			member := func(id, state string) discovery.Server {
				return discovery.Server{ID: id, Addr: "127.0.0.1:9", Zone: "a", Kind: "m1", State: state, Weight: 1}
			}
			cfg := testConfig(t, testkit.ConfigOptions{Discovery: addr, Servers: []discovery.Server{member("one", "ready")}})
			p := &oneClientProtocol{sent: make(chan string, 1), ended: make(chan struct{})}
			options := Options{HeartbeatTimeout: 2 * testkit.EventTimeout}
			a, err := New(cfg, testkit.DiscardLogger, options, func(l *Loop) Protocol {
				p.loop = l
				return p
			})
			if err != nil {
				t.Fatal(err)
			}
			a.firstListWait = row.wait
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- a.Run(ctx) }()
			if !row.dead {
				w := testkit.Receive(t, "watch", list.Watch)
				if row.endFirst != nil {
					row.endFirst(w)
					w = testkit.Receive(t, "next watch", list.Watch)
				}
				if row.pushes {
					two := member("two", "ready")
					two.Addr = "127.0.0.1:10"
					w.Lines <- testkit.EncodeWatchLine(t, 42, member("one", "draining"), two)
				}
			}
			if got := testkit.Receive(t, "attempt", p.sent); got != row.want {
				t.Errorf("the request was sent to %q", got)
			}
			close(p.ended)
			cancel()
			testkit.Receive(t, "end of the agent", done)
		})
	}
}

// A request that arrives late in a drain must be answered before the agent ends, even if its own deadline is later.
func TestLateRequestOfADrainIsAnsweredBeforeItsEnd(t *testing.T) {
	l, err := newLoop(testConfig(t, testkit.ConfigOptions{}), newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	end := now.Add(time.Hour)
	for _, c := range []struct {
		name          string
		drainDeadline *time.Time
		own, want     time.Time
	}{
		{"no drain, early deadline", nil, now.Add(time.Minute), now.Add(time.Minute)},
		{"no drain, late deadline", nil, now.Add(2 * time.Hour), now.Add(2 * time.Hour)},
		{"drain, early deadline", &end, now.Add(time.Minute), now.Add(time.Minute)},
		{"drain, late deadline", &end, now.Add(2 * time.Hour), end},
	} {
		t.Run(c.name, func(t *testing.T) {
			l.drainDeadline.Store(c.drainDeadline)
			r := newPendingRequest("1")
			r.Deadline = c.own
			l.Submit(r.Request)
			if !r.Deadline.Equal(c.want) {
				t.Errorf("deadline %v, want %v", r.Deadline, c.want)
			}
			r.deadlineTimer.Stop()
		})
	}
}

// A drain must wait for the longest deadline of the settings, however long, and end before the platform kills the
// process, which is 0.7 s later.
func TestDrainWaitsForTheLongestDeadline(t *testing.T) {
	for _, longest := range []time.Duration{2 * time.Second, 9 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			cfg := testConfig(t, testkit.ConfigOptions{})
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].Deadline = longest
			}
			options := Options{Listener: testkit.Listen(t)}
			a, err := New(cfg, testkit.DiscardLogger, options, func(*Loop) Protocol { return idleProtocol{} })
			if err != nil {
				t.Fatal(err)
			}
			if drain := a.maxDrain(); drain <= longest || drain >= longest+700*time.Millisecond {
				t.Errorf("a drain may take %v", drain)
			}
			a.BoundStop(MaxStopDeadline) // the platform may kill the process 0.7 s after that
			bound := min(longest, MaxStopDeadline)
			if drain := a.maxDrain(); drain <= bound || drain >= bound+700*time.Millisecond {
				t.Errorf("a drain of a process that may be killed may take %v", drain)
			}
		})
	}
}
