package core

import (
	"testing"
	"testing/synctest"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// newServerCase describes a list with one server more than the previous list, and the expected bounds of that server's
// age by the agent's clock.
type newServerCase struct {
	started func(now time.Time) time.Time // start by the list's clock; now is by this process's clock
	saved   bool                          // the previous list was read from disk
	first   bool                          // there is no previous list
	minAge  time.Duration
	maxAge  time.Duration
}

// A start must lie between the last list without the server and now, even if the wall clock of this process is wrong.
// In a first list, the listed start must be used unchanged, unless it is in the future.
func TestStartTimesLieWithinWhatWasObserved(t *testing.T) {
	const between = 2 * time.Second // time between the two lists
	ago := func(d time.Duration) func(time.Time) time.Time {
		return func(now time.Time) time.Time { return now.Add(-d) }
	}
	for name, tt := range map[string]newServerCase{
		"clocks agree":              {started: ago(time.Second), minAge: time.Second, maxAge: time.Second},
		"own clock an hour behind":  {started: ago(-time.Hour), minAge: 0, maxAge: 0},
		"own clock a second behind": {started: ago(-time.Second), minAge: 0, maxAge: 0},
		// The listed time is wrong, and the time between the two lists at which the process started is unknown: the
		// process must count as started now.
		"own clock an hour ahead":         {started: ago(time.Hour), minAge: 0, maxAge: 0},
		"own clock five seconds ahead":    {started: ago(5 * time.Second), minAge: 0, maxAge: 0},
		"first list":                      {started: ago(5 * time.Second), first: true, minAge: 5 * time.Second, maxAge: 5 * time.Second},
		"first list, own clock behind":    {started: ago(-time.Hour), first: true, minAge: 0, maxAge: 0},
		"a saved list is no observation":  {started: ago(5 * time.Second), saved: true, minAge: 5 * time.Second, maxAge: 5 * time.Second},
		"a saved list, own clock behind":  {started: ago(-time.Hour), saved: true, minAge: 0, maxAge: 0},
		"a time that no clock ever shows": {started: func(time.Time) time.Time { return time.UnixMilli(1 << 60) }, minAge: 0, maxAge: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig(t, testkit.ConfigOptions{})
				l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.DiscardLogger)
				if err != nil {
					t.Fatal(err)
				}
				list := func(kind decide.ListKind, saved bool, members ...discovery.Server) decide.Backend {
					l.pending = nil
					m := &discovery.Update{Full: kind == decide.ListFull, Saved: saved, Servers: members}
					l.handle(translate(cfg, l.clock, testkit.DiscardLogger, m, kind))
					update := l.pending[0].(decide.ListUpdate)
					return update.Backends[len(update.Backends)-1]
				}
				old := discovery.Server{ID: "old", Addr: "127.0.0.1:1", State: "ready"}
				if !tt.first {
					list(decide.ListFull, tt.saved, old)
					time.Sleep(between)
				}
				m := discovery.Server{ID: "new", Addr: "127.0.0.1:2", State: "ready", Started: tt.started(time.Now()).UnixMilli()}
				got := list(decide.ListFull, false, old, m)
				age := l.clock.now() - got.Started
				if age < tt.minAge-time.Millisecond || age > tt.maxAge+time.Millisecond {
					t.Errorf("the server counts as started %v ago, want %v to %v", age, tt.minAge, tt.maxAge)
				}
				time.Sleep(time.Second)
				if again := list(decide.ListDelta, false, m); again.Started != got.Started {
					t.Errorf("listed again, its start moved by %v: it would count as another process", again.Started-got.Started)
				}
				m.Started += 500
				next := list(decide.ListDelta, false, m)
				if next.Started <= got.Started || next.Started > l.clock.now() {
					t.Errorf("the next process counts as started at %v, the one before at %v, now is %v", next.Started, got.Started, l.clock.now())
				}
			})
		})
	}
}
