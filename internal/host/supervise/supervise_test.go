package supervise

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func TestWaitsGrowAndResetOnceHealthy(t *testing.T) {
	v := New(Settings{FirstWait: sec, MaxWait: 8 * sec, HealthyAfter: 60 * sec, MaxFailures: 100}, 1)
	now := time.Duration(0)
	fail := func() time.Duration {
		v.Step(now, Failed{"a", "boom"})
		at, ok := v.NextAt()
		if !ok {
			t.Fatal("it does not start again")
		}
		if acts := v.Step(at - 1); len(acts) > 0 {
			t.Fatalf("started too early: %v", acts)
		}
		if acts := v.Step(at); len(acts) != 1 || acts[0] != (Start{"a"}) {
			t.Fatalf("%v at its time", acts)
		}
		if acts := v.Step(at + time.Hour); len(acts) > 0 {
			t.Fatalf("started twice: %v", acts)
		}
		wait := at - now
		now = at
		v.Step(now, Started{"a"})
		return wait
	}
	for i, ceiling := range []time.Duration{sec, 2 * sec, 4 * sec, 8 * sec, 8 * sec, 8 * sec} {
		now += sec
		if w := fail(); w < ceiling/2 || w > ceiling {
			t.Errorf("wait %d is %v, want %v to %v", i, w, ceiling/2, ceiling)
		}
	}
	now += 60 * sec // healthy for so long
	if w := fail(); w > sec {
		t.Errorf("after a healthy time it waits %v", w)
	}
}

func TestPartIsLeftDownAfterMaxFailuresAndRevived(t *testing.T) {
	v := New(Settings{MaxFailures: 3}, 1)
	for i := range 3 {
		acts := v.Step(0, Failed{"a", "boom"})
		if left := len(acts) == 1 && acts[0] == (LeaveDown{"a", "boom"}); left != (i == 2) {
			t.Fatalf("failure %d: %v", i+1, acts)
		}
	}
	if _, waits := v.NextAt(); waits || v.State("a").Phase != Down {
		t.Error("it is to be left down")
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

// Whatever happens in whatever order: nothing that is up or left down is started, one part's
// failures change nothing for another, and what failed is either left down or starts again.
func TestPartsAreIndependentInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(Settings{FirstWait: sec, MaxWait: 10 * sec, HealthyAfter: 20 * sec, MaxFailures: 4}, rapid.Uint64().Draw(t, "seed"))
		up, down := map[string]bool{}, map[string]bool{}
		now := time.Duration(0)
		take := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Start:
					if up[a.Name] || down[a.Name] {
						t.Fatalf("%s started while up %v, down %v", a.Name, up[a.Name], down[a.Name])
					}
					v.Step(now, Started(a))
					up[a.Name] = true
				case LeaveDown:
					down[a.Name] = true
				}
			}
		}
		for _, n := range []string{"a", "b"} {
			v.Step(0, Started{n})
			up[n] = true
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * sec
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "fails") && up[name] {
				up[name] = false
				take(v.Step(now, Failed{name, "x"}))
			}
			take(v.Step(now))
			for _, n := range []string{"a", "b"} {
				if s := v.State(n); s.Phase == Waiting && s.NextStartAt > now+10*sec {
					t.Fatalf("%s waits until %v at %v", n, s.NextStartAt, now)
				}
			}
		}
	})
}
