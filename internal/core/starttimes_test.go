package core

import (
	"testing"
	"testing/synctest"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// startTold is a list with one server more than the one before, and the bounds of its start as this process saw it.
type startTold struct {
	started func(now time.Time) time.Time // by the list's clock, seen from this process's
	saved   bool                          // the list before it was read from a disk
	first   bool                          // there is no list before it
	least   time.Duration                 // how long ago at the least
	most    time.Duration                 // and at the most
}

// A start that a list tells lies between the last list that lacked it and now, whatever the wall clock of this process
// says; one of a first list is a hint, but not in the future.
func TestStartTimesLieWithinWhatWasObserved(t *testing.T) {
	const between = 2 * time.Second // the lists
	ago := func(d time.Duration) func(time.Time) time.Time {
		return func(now time.Time) time.Time { return now.Add(-d) }
	}
	for name, tt := range map[string]startTold{
		"clocks agree":              {started: ago(time.Second), least: time.Second, most: time.Second},
		"own clock an hour behind":  {started: ago(-time.Hour), least: 0, most: 0},
		"own clock a second behind": {started: ago(-time.Second), least: 0, most: 0},
		// What is told is proved wrong, and nothing says where between the lists it started: it is as cold as it may be.
		"own clock an hour ahead":         {started: ago(time.Hour), least: 0, most: 0},
		"own clock five seconds ahead":    {started: ago(5 * time.Second), least: 0, most: 0},
		"first list":                      {started: ago(5 * time.Second), first: true, least: 5 * time.Second, most: 5 * time.Second},
		"first list, own clock behind":    {started: ago(-time.Hour), first: true, least: 0, most: 0},
		"a saved list is no observation":  {started: ago(5 * time.Second), saved: true, least: 5 * time.Second, most: 5 * time.Second},
		"a saved list, own clock behind":  {started: ago(-time.Hour), saved: true, least: 0, most: 0},
		"a time that no clock ever shows": {started: func(time.Time) time.Time { return time.UnixMilli(1 << 60) }, least: 0, most: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig(t, testkit.Setup{})
				l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.Quiet)
				if err != nil {
					t.Fatal(err)
				}
				tell := func(kind decide.ListKind, saved bool, members ...discovery.Member) decide.Backend {
					l.pending = nil
					l.handle(translate(cfg, l.clock, testkit.Quiet, &discovery.Members{Full: kind == decide.ListFull, Saved: saved, Servers: members}, kind))
					list := l.pending[0].(decide.ListUpdate)
					return list.Backends[len(list.Backends)-1]
				}
				old := discovery.Member{ID: "old", Addr: "127.0.0.1:1", State: "ready"}
				if !tt.first {
					tell(decide.ListFull, tt.saved, old)
					time.Sleep(between)
				}
				m := discovery.Member{ID: "new", Addr: "127.0.0.1:2", State: "ready", Started: tt.started(time.Now()).UnixMilli()}
				got := tell(decide.ListFull, false, old, m)
				age := l.clock.now() - got.Started
				if age < tt.least-time.Millisecond || age > tt.most+time.Millisecond {
					t.Errorf("it counts as started %v ago, want %v to %v", age, tt.least, tt.most)
				}
				time.Sleep(time.Second)
				if again := tell(decide.ListDelta, false, m); again.Started != got.Started {
					t.Errorf("told again, its start moved by %v: it would count as another process", again.Started-got.Started)
				}
				m.Started += 500
				next := tell(decide.ListDelta, false, m)
				if next.Started <= got.Started || next.Started > l.clock.now() {
					t.Errorf("the next process counts as started at %v, the one before at %v, now is %v", next.Started, got.Started, l.clock.now())
				}
			})
		})
	}
}
