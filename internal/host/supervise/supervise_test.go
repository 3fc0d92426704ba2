package supervise

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func TestBackoffGrowsAndResetsOnceHealthy(t *testing.T) {
	v := New(Settings{FirstWait: second, MaxWait: 8 * second, HealthyAfter: 60 * second, MaxFailures: 100}, 1)
	now := time.Duration(0)
	fail := func() time.Duration {
		v.Step(now, Failed{"a", "boom"})
		at, ok := v.NextAt()
		if !ok {
			t.Fatal("the part is not restarted")
		}
		if acts := v.Step(at - 1); len(acts) > 0 {
			t.Fatalf("started too early: %v", acts)
		}
		if acts := v.Step(at); len(acts) != 1 || acts[0] != (Start{"a"}) {
			t.Fatalf("%v when the wait is over", acts)
		}
		if acts := v.Step(at + time.Hour); len(acts) > 0 {
			t.Fatalf("started twice: %v", acts)
		}
		wait := at - now
		now = at
		v.Step(now, Started{"a"})
		return wait
	}
	for i, ceiling := range []time.Duration{second, 2 * second, 4 * second, 8 * second, 8 * second, 8 * second} {
		now += second
		if w := fail(); w < ceiling/2 || w > ceiling {
			t.Errorf("wait %d is %v, want %v to %v", i, w, ceiling/2, ceiling)
		}
	}
	now += 60 * second // runs long enough to count as healthy
	if w := fail(); w > second {
		t.Errorf("after a healthy run the wait is %v", w)
	}
}

func TestPartIsDownAfterMaxFailuresUntilRevived(t *testing.T) {
	v := New(Settings{MaxFailures: 3}, 1)
	for i := range 3 {
		acts := v.Step(0, Failed{"a", "boom"})
		isDown := len(acts) == 1 && acts[0] == (ReportDown{"a", "boom"})
		if isDown != (i == 2) {
			t.Fatalf("failure %d: %v", i+1, acts)
		}
	}
	if _, waits := v.NextAt(); waits || v.State("a").Phase != Down {
		t.Error("the part is not down")
	}
	if acts := v.Step(time.Hour, Failed{"a", "again"}); len(acts) > 0 {
		t.Error(acts)
	}
	if acts := v.Step(time.Hour, Revived{"a"}); len(acts) != 1 || acts[0] != (Start{"a"}) {
		t.Errorf("revived: %v", acts)
	}
	v.Step(time.Hour, Removed{"a"})
	if s := v.State("a"); s.TotalFailures != 0 {
		t.Errorf("removed: %+v", s)
	}
}

// In any order of events, a part that runs or is down is not started, the failures of one part don't affect another
// part, and a part that failed is either down or restarted.
func TestPartsAreIndependentInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(Settings{FirstWait: second, MaxWait: 10 * second, HealthyAfter: 20 * second, MaxFailures: 4}, rapid.Uint64().Draw(t, "seed"))
		running := map[string]bool{}
		down := map[string]bool{}
		now := time.Duration(0)
		execute := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Start:
					if running[a.Name] || down[a.Name] {
						t.Fatalf("%s started while running %v, down %v", a.Name, running[a.Name], down[a.Name])
					}
					v.Step(now, Started(a))
					running[a.Name] = true
				case ReportDown:
					down[a.Name] = true
				}
			}
		}
		for _, n := range []string{"a", "b"} {
			v.Step(0, Started{n})
			running[n] = true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * second
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "fails") && running[name] {
				running[name] = false
				execute(v.Step(now, Failed{name, "x"}))
			}
			execute(v.Step(now))
			for _, n := range []string{"a", "b"} {
				if s := v.State(n); s.Phase == Waiting && s.NextStartAt > now+10*second {
					t.Fatalf("%s waits until %v at %v", n, s.NextStartAt, now)
				}
			}
		}
	})
}
