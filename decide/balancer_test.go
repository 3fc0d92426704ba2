package decide_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
)

const ms = time.Millisecond

// Classes of the test settings, by position.
const (
	safe = iota
	unsafe
	keyedAll
	keyedZone
	keyedCell
)

func settings() decide.Settings {
	class := func(e decide.Effect, g decide.DedupScope) decide.Class {
		return decide.Class{Objective: 400 * ms, Deadline: 2000 * ms, Value: 1, Effect: e, Scope: g, DedupWindow: 300 * ms}
	}
	return decide.Settings{
		Balancers: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []decide.Class{
			class(decide.Idempotent, 0), class(decide.NonIdempotent, 0), class(decide.Keyed, decide.ScopeAll),
			class(decide.Keyed, decide.ScopeZone), class(decide.Keyed, decide.ScopeCell),
		},
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, SlowStartShare: 0.2, SlowStartTime: 10 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, SubscribeWithin: 10 * time.Second,
		GoalWhole: 0.6, GoalWindow: 0.2, GoalClass: 0.2,
	}
}

// backends makes n backends named a, b, c ...; two per zone and cell.
func backends(n int) []decide.Backend {
	var list []decide.Backend
	for i := range n {
		list = append(list, decide.Backend{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// rig drives one balancer and keeps what it does.
type rig struct {
	t       *testing.T
	b       *decide.Balancer
	now     time.Duration
	sent    map[string][]string // backends of each request's attempts
	timers  []decide.TimerFired
	due     []time.Duration
	actions []decide.Action // of the last step
}

func newRig(t *testing.T, s decide.Settings, seed uint64, list []decide.Backend) *rig {
	t.Helper()
	b, err := decide.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
	r.step(decide.ListUpdate{Kind: decide.ListCached, Backends: list})
	return r
}

func (r *rig) step(events ...decide.Event) []decide.Action {
	r.actions = r.b.Step(r.now, events)
	for _, a := range r.actions {
		switch a := a.(type) {
		case decide.Send:
			r.sent[a.Request] = append(r.sent[a.Request], a.Backend)
		case decide.SetTimer:
			r.timers = append(r.timers, decide.TimerFired{Token: a.Token})
			r.due = append(r.due, r.now+a.After)
		}
	}
	return r.actions
}

// advance moves the clock and fires the timers on the way; it returns all actions.
func (r *rig) advance(d time.Duration) []decide.Action {
	var all []decide.Action
	end := r.now + d
	for {
		next := -1
		for i, at := range r.due {
			if at <= end && (next < 0 || at < r.due[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		token := r.timers[next]
		r.now = max(r.now, r.due[next])
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.due = append(r.due[:next], r.due[next+1:]...)
		all = append(all, r.step(token)...)
	}
	r.now = end
	return all
}

func (r *rig) request(id string, class int) []decide.Action {
	return r.step(decide.Request{ID: id, Class: class, Remaining: 2000 * ms})
}

// outcome ends the latest attempt of a request.
func (r *rig) outcome(id string, res decide.Result, latency time.Duration) []decide.Action {
	r.t.Helper()
	n := len(r.sent[id]) - 1
	if n < 0 {
		r.t.Fatalf("%s: nothing was sent", id)
	}
	return r.step(decide.Outcome{Request: id, Attempt: n, Backend: r.sent[id][n], Result: res,
		Latency: latency, Answered: res == decide.OK})
}

// serve sends n requests one after the other and answers each at once.
func (r *rig) serve(n int, class int, latency time.Duration) map[string]int {
	r.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(r.sent))
		r.request(id, class)
		r.now += latency
		r.outcome(id, decide.OK, latency)
		counts[r.sent[id][0]]++
	}
	return counts
}

// final names the final answer for a request among the actions, or "".
func final(id string, actions []decide.Action) string {
	found := ""
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Refuse:
			if a.Request == id {
				found += "refuse"
			}
		case decide.Fail:
			if a.Request == id {
				found += "fail"
			}
		}
	}
	return found
}

func TestNewRejectsSettings(t *testing.T) {
	tests := []struct {
		name string
		edit func(*decide.Settings)
		want string
	}{
		{"no classes", func(s *decide.Settings) { s.Classes = nil }, "Classes: none"},
		{"no balancers", func(s *decide.Settings) { s.Balancers = 0 }, "Balancers: 0"},
		{"own number outside the count", func(s *decide.Settings) { s.Self, s.Peers = 1, true }, "Self: 1"},
		{"negative number", func(s *decide.Settings) { s.Self = -1 }, "Self: -1"},
		{"attempt limit below zero", func(s *decide.Settings) { s.MaxAttempts = -2 }, "MaxAttempts: -2"},
		{"drain grace below zero", func(s *decide.Settings) { s.DrainGrace = -ms }, "DrainGrace: -1ms"},
		{"cold share above one", func(s *decide.Settings) { s.SlowStartShare = 1.5 }, "SlowStartShare: 1.5"},
		{"unknown effect", func(s *decide.Settings) { s.Classes[2].Effect = 9 }, "Classes[2].Effect: 9"},
		{"unknown group", func(s *decide.Settings) { s.Classes[1].Scope = 7 }, "Classes[1].Scope: 7"},
		{"no aim", func(s *decide.Settings) { s.Classes[0].Objective = 0 }, "Classes[0].Objective: 0s"},
		{"window below zero", func(s *decide.Settings) { s.Classes[3].DedupWindow = -ms }, "Classes[3].DedupWindow: -1ms"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			tt.edit(&s)
			if _, err := decide.New(s, 1); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

// What an outcome lets each kind of class do: retry on another backend, or end.
func TestOutcomes(t *testing.T) {
	const retry = "retry"
	tests := []struct {
		class  int
		result decide.Result
		want   string
	}{
		{safe, decide.Errored, retry},
		{safe, decide.TimedOut, retry},
		{safe, decide.Reset, retry},
		{safe, decide.Rejected, retry},
		{safe, decide.ConnectFailed, retry},
		{safe, decide.NotSent, "refuse"},
		{unsafe, decide.Errored, "fail"},
		{unsafe, decide.TimedOut, "fail"},
		{unsafe, decide.Reset, "fail"},
		{unsafe, decide.Cancelled, "fail"},
		{unsafe, decide.Rejected, retry},
		{unsafe, decide.ConnectFailed, retry},
		{unsafe, decide.NotSent, "refuse"},
		{keyedAll, decide.Errored, retry},
		{keyedAll, decide.Rejected, retry},
		{keyedZone, decide.Errored, retry},
		{keyedZone, decide.ConnectFailed, retry},
		{keyedCell, decide.TimedOut, retry},
		{keyedCell, decide.Reset, retry},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("class %d result %d", tt.class, tt.result), func(t *testing.T) {
			r := newRig(t, settings(), 7, backends(6))
			r.request("q", tt.class)
			r.now += 10 * ms
			acts := r.outcome("q", tt.result, 10*ms)
			acts = append(acts, r.advance(200*ms)...)
			got := final("q", acts)
			if len(r.sent["q"]) == 2 {
				got += retry
				if r.sent["q"][0] == r.sent["q"][1] {
					t.Errorf("both attempts went to %s, which had just failed", r.sent["q"][0])
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A keyed request that may have run goes only to its group and within its window.
func TestKeyedGroup(t *testing.T) {
	zone := map[string]int{"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2}
	for seed := uint64(0); seed < 40; seed++ {
		for _, class := range []int{keyedZone, keyedCell} {
			r := newRig(t, settings(), seed, backends(6))
			r.request("q", class)
			r.now += 5 * ms
			r.outcome("q", decide.Errored, 5*ms)
			r.advance(200 * ms)
			if s := r.sent["q"]; len(s) != 2 || zone[s[0]] != zone[s[1]] {
				t.Errorf("seed %d class %d: attempts %v leave the group", seed, class, s)
			}
		}
	}
	t.Run("window", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(6))
		r.request("q", keyedAll)
		r.now += 300 * ms
		acts := r.outcome("q", decide.Errored, 300*ms)
		if final("q", acts) != "fail" {
			t.Errorf("after the window: %v, want a failure", acts)
		}
	})
	t.Run("never ran", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(6))
		r.request("q", keyedZone)
		r.now += 400 * ms
		r.outcome("q", decide.ConnectFailed, 400*ms)
		r.advance(200 * ms)
		if len(r.sent["q"]) != 2 {
			t.Errorf("attempts %v: one that never ran should not bind the request", r.sent["q"])
		}
	})
}

func TestAttemptLimit(t *testing.T) {
	s := settings()
	s.MaxAttempts = 3
	r := newRig(t, s, 3, backends(6))
	r.request("q", safe)
	var all []decide.Action
	for range 6 {
		if final("q", all) != "" {
			break
		}
		r.now += ms
		all = append(all, r.outcome("q", decide.Errored, ms)...)
		all = append(all, r.advance(150*ms)...)
	}
	if len(r.sent["q"]) != 3 || final("q", all) != "fail" {
		t.Errorf("attempts %v and answer %q, want 3 and one failure", r.sent["q"], final("q", all))
	}
}

// The bucket holds 100: 20 retries at 5, or 10 after time-outs. First attempts
// go out when it is empty; served requests bring one token each, up to the cap.
func TestRetryBucket(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	// spend fails n requests and returns how many were retried. The retry is
	// served, unless it must not refill the bucket.
	spend := func(r *rig, n int, res decide.Result) (retried int) {
		for range n {
			id := fmt.Sprintf("spend-%d", len(r.sent))
			r.request(id, safe)
			if len(r.sent[id]) != 1 {
				t.Fatalf("first attempt of %s did not go out", id)
			}
			r.now += ms
			r.outcome(id, res, ms)
			r.advance(100 * ms)
			if len(r.sent[id]) == 2 {
				retried++
				r.now += ms
				r.outcome(id, decide.Errored, ms)
			}
			r.advance(30 * time.Second) // lets ejections pass
		}
		return retried
	}
	tests := []struct {
		name  string
		res   decide.Result
		serve int // between emptying and trying again
		first int
		then  int
	}{
		{"errors cost 5", decide.Errored, 4, 20, 0},
		{"five served bring one back", decide.Errored, 5, 20, 1},
		{"time-outs cost 10", decide.TimedOut, 9, 10, 0},
		{"ten served bring one back after a time-out", decide.TimedOut, 10, 10, 1},
		{"the cap holds", decide.Errored, 500, 20, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, s, 5, backends(6))
			if got := spend(r, 30, tt.res); got != tt.first {
				t.Errorf("a full bucket funded %d retries, want %d", got, tt.first)
			}
			r.serve(tt.serve, safe, 20*ms)
			r.advance(30 * time.Second)
			if got := spend(r, 30, tt.res); got != tt.then {
				t.Errorf("then funded %d retries, want %d", got, tt.then)
			}
		})
	}
}

// Waits are full jitter: between 0 and a unit (a share of the aim) that doubles
// with each retry up to a ceiling.
func TestBackoff(t *testing.T) {
	s := settings()
	s.MaxAttempts = 7
	unit := s.Classes[safe].Objective / 32
	longest := make([]time.Duration, 6)
	shortest := []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour}
	for seed := uint64(0); seed < 300; seed++ {
		r := newRig(t, s, seed, backends(8))
		r.request("q", safe)
		for n := range 6 {
			r.outcome("q", decide.Rejected, 0)
			failed := r.now
			for len(r.sent["q"]) == n+1 && len(r.due) > 0 {
				r.advance(ms / 4)
			}
			if len(r.sent["q"]) != n+2 {
				t.Fatalf("seed %d: retry %d was not made", seed, n)
			}
			longest[n] = max(longest[n], r.now-failed)
			shortest[n] = min(shortest[n], r.now-failed)
		}
	}
	for n, got := range longest {
		bound := unit << min(n, 3)
		if got > bound+ms || got < bound*8/10 {
			t.Errorf("retry %d waited up to %v, want close to %v and no more", n, got, bound)
		}
		if shortest[n] > bound/10 {
			t.Errorf("retry %d waited at least %v, want full jitter from 0", n, shortest[n])
		}
	}
}

// A retry whose wait would outlast the time left is not made.
func TestBackoffWithinTimeLeft(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.request("q", safe)
	r.now += 2000 * ms
	if acts := r.outcome("q", decide.TimedOut, 2000*ms); final("q", acts) != "fail" {
		t.Errorf("at the deadline: %v, want the final answer at once", acts)
	}
}

func TestPicking(t *testing.T) {
	t.Run("idle ones at random", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		counts := r.serve(400, safe, 50*ms)
		for _, id := range []string{"a", "b", "c", "d"} {
			if counts[id] < 60 || counts[id] > 140 {
				t.Errorf("%s got %d of 400, want about 100", id, counts[id])
			}
		}
	})
	t.Run("idle before busy", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, safe, 50*ms)
		used := map[string]bool{}
		for i := range 4 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			used[r.sent[id][0]] = true
		}
		if len(used) != 4 {
			t.Errorf("four requests went to %d backends, want 4", len(used))
		}
	})
	t.Run("fewest in flight", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, safe, 50*ms)
		counts := map[string]int{}
		for i := range 12 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			counts[r.sent[id][0]]++
		}
		for id, n := range counts {
			if n < 2 || n > 4 {
				t.Errorf("%s has %d in flight of 12 over 4", id, n)
			}
		}
	})
	t.Run("a new one counts at the mean", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, safe, 50*ms)
		for i := range 8 {
			r.request(fmt.Sprint("q", i), safe)
		}
		r.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "new"}}})
		rush := 0
		for i := range 4 {
			id := fmt.Sprint("n", i)
			r.request(id, safe)
			if r.sent[id][0] == "new" {
				rush++
			}
		}
		if rush > 2 {
			t.Errorf("the new backend got %d of 4, want no rush", rush)
		}
	})
	t.Run("own zone where crossing is priced", func(t *testing.T) {
		s := settings()
		s.CrossZonePrice = 0.02
		r := newRig(t, s, 2, backends(4))
		r.now += s.SlowStartTime + 1 // nothing has been crowded for long
		counts := r.serve(400, safe, 50*ms)
		if own := counts["a"] + counts["b"]; own < 280 || own > 380 {
			t.Errorf("own zone got %d of 400, want most but not all", own)
		}
	})
	t.Run("slow ones less", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		late := 0
		for i := range 600 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			lat := 40 * ms
			if r.sent[id][0] == "a" {
				lat = 160 * ms
				if i >= 300 {
					late++
				}
			}
			r.now += lat
			r.outcome(id, decide.OK, lat)
		}
		if late > 40 {
			t.Errorf("a backend four times slower still got %d of 300", late)
		}
	})
}

// A backend that fails fast is always idle; it must not draw the traffic.
func TestFastFailureIsEjected(t *testing.T) {
	r := newRig(t, settings(), 4, backends(6))
	bad := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		res, lat := decide.OK, 30*ms
		if r.sent[id][0] == "a" {
			res, lat = decide.Errored, ms
			bad++
		}
		r.now += lat
		r.outcome(id, res, lat)
	}
	if bad > 6 {
		t.Errorf("the failing backend got %d of 300", bad)
	}
	// Once it works again it comes back, first with requests that may be repeated.
	r.advance(20 * time.Second)
	if counts := r.serve(400, safe, 30*ms); counts["a"] < 20 {
		t.Errorf("after healing it got %d of 400", counts["a"])
	}
}

// With no repeatable class at all an ejected backend must still come back.
func TestEjectionEndsWithoutRepeatableClass(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[unsafe : unsafe+1]
	r := newRig(t, s, 4, backends(3))
	for i := 0; ; i++ {
		id := fmt.Sprint("q", i)
		r.request(id, 0)
		r.now += 20 * ms
		if r.sent[id][0] == "a" {
			r.outcome(id, decide.Errored, 20*ms)
			break
		}
		r.outcome(id, decide.OK, 20*ms)
	}
	r.advance(5 * time.Second)
	if counts := r.serve(200, 0, 30*ms); counts["a"] == 0 {
		t.Error("an ejected backend never got traffic again")
	}
}

// When every backend is ejected, first attempts go out all the same.
func TestAllEjected(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 4, backends(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		r.now += ms
		r.outcome(id, decide.Errored, ms)
	}
}

// A stalled backend shows in the wait of its oldest attempt, before any answer.
func TestStallIsAvoided(t *testing.T) {
	r := newRig(t, settings(), 4, backends(3))
	r.serve(60, safe, 20*ms)
	for i := range 3 { // one on each
		r.request(fmt.Sprint("hang", i), safe)
	}
	for i := range 3 {
		id := fmt.Sprint("hang", i)
		if r.sent[id][0] != "a" {
			r.now += 10 * ms
			r.outcome(id, decide.OK, 20*ms)
		}
	}
	r.now += 300 * ms
	for i := range 6 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		if r.sent[id][0] == "a" {
			t.Errorf("request %d went to the stalled backend", i)
		}
	}
}

func TestDrainAndGone(t *testing.T) {
	for _, state := range []decide.BackendState{decide.Draining, decide.Removed} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(decide.ListUpdate{Kind: decide.ListDelta,
			Backends: []decide.Backend{{ID: "a", State: state}}})
		if n := r.serve(100, safe, 20*ms)["a"]; n > 0 {
			t.Errorf("state %d: %d requests went there", state, n)
		}
	}
	t.Run("missing from a full list", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(3))
		r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(3)[1:]})
		if n := r.serve(100, safe, 20*ms)["a"]; n > 0 {
			t.Errorf("%d requests went there", n)
		}
	})
	t.Run("while waiting out a backoff", func(t *testing.T) {
		for seed := uint64(0); seed < 20; seed++ {
			r := newRig(t, settings(), seed, backends(2))
			r.request("q", safe)
			other := map[string]string{"a": "b", "b": "a"}[r.sent["q"][0]]
			r.now += ms
			r.outcome("q", decide.Errored, ms)
			r.step(decide.ListUpdate{Kind: decide.ListDelta,
				Backends: []decide.Backend{{ID: other, State: decide.Draining}}})
			r.advance(time.Second)
			for _, b := range r.sent["q"][1:] {
				if b == other {
					t.Fatalf("seed %d: a retry went to the draining backend", seed)
				}
			}
		}
	})
	t.Run("back with the same id", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(50, safe, 20*ms)
		r.step(decide.ListUpdate{Kind: decide.ListDelta,
			Backends: []decide.Backend{{ID: "a", State: decide.Removed}}})
		r.step(decide.ListUpdate{Kind: decide.ListDelta,
			Backends: []decide.Backend{{ID: "a", Started: r.now}}})
		r.serve(400, safe, 20*ms)
		r.advance(10 * time.Second)
		if n := r.serve(200, safe, 20*ms)["a"]; n < 50 {
			t.Errorf("warm again it got %d of 200", n)
		}
	})
}

// A cold backend gets no more than its warmth times what a warm one serves.
func TestColdShare(t *testing.T) {
	list := backends(5)
	list[0].Started = time.Hour // the rig's clock starts here
	r := newRig(t, settings(), 9, list)
	counts := r.serve(200, safe, 20*ms) // the first 4 s of 10: warmth 0.2 to 0.52
	if warm := (200 - counts["a"]) / 4; float64(counts["a"]) > 0.52*float64(warm)+2 {
		t.Errorf("the cold backend got %d against %d for a warm one", counts["a"], warm)
	}
	if counts["a"] == 0 {
		t.Error("the cold backend got nothing")
	}
	r.advance(10 * time.Second)
	if n := r.serve(200, safe, 20*ms)["a"]; n < 25 {
		t.Errorf("once warm it got %d of 200", n)
	}
}

// Incidents i37feae and i28e3f7: under overload a cold backend gets more than its sure share of
// what a warm one serves, and stays well below the stated multiple of it.
func TestColdShareUnderOverload(t *testing.T) {
	list := backends(5)
	r := newRig(t, settings(), 9, list)
	var out []string
	counts := map[string]float64{}
	answer := func(id string, latency time.Duration) {
		counts[r.sent[id][0]]++
		for _, a := range r.outcome(id, decide.OK, latency) {
			if a, ok := a.(decide.Send); ok {
				out = append(out, a.Request)
			}
		}
	}
	drive := func(n int) { // each 5 ms: all answers of the cold one, one of the others, two requests
		for range n {
			r.advance(5 * ms)
			was := out
			out = nil
			for i, id := range was {
				if r.sent[id][0] == "a" && list[0].Started > 0 {
					answer(id, 5*ms)
				} else if i == 0 {
					answer(id, 50*ms)
				} else {
					out = append(out, id)
				}
			}
			for range 2 {
				id := fmt.Sprint("q", len(r.sent), "-", r.now)
				if r.request(id, safe); len(r.sent[id]) > 0 {
					out = append(out, id)
				}
			}
		}
	}
	for i := range 30 {
		id := fmt.Sprint("first", i)
		r.request(id, safe)
		out = append(out, id)
	}
	drive(400)
	list[0].Started = r.now
	r.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: list[:1]})
	clear(counts)
	drive(400) // two seconds: warmth 0.2 to 0.36, 0.28 in the mean
	warm := (counts["b"] + counts["c"] + counts["d"] + counts["e"]) / 4
	share := counts["a"] / warm
	if share < 0.5 || share > 0.28*2.5 {
		t.Errorf("the cold backend served %.2f of a warm one's work", share)
	}
}

// A heavy request alone could push a cold backend over.
func TestColdGetsNoHeavyRequest(t *testing.T) {
	list := backends(3)
	r := newRig(t, settings(), 9, list)
	send := func(id string, work time.Duration) {
		r.step(decide.Request{ID: id, Class: safe, Remaining: 2000 * ms, Work: work})
		r.now += 20 * ms
		r.outcome(id, decide.OK, 20*ms)
	}
	for i := range 100 {
		send(fmt.Sprint("w", i), 20*ms)
	}
	r.step(decide.ListUpdate{Kind: decide.ListDelta,
		Backends: []decide.Backend{{ID: "cold", Started: r.now}}})
	got := 0
	for i := range 100 {
		send(fmt.Sprint("l", i), 20*ms)
		if h := fmt.Sprint("h", i); i%10 == 0 {
			if send(h, 300*ms); r.sent[h][0] == "cold" {
				t.Fatalf("heavy request %d went to the cold backend", i)
			}
		}
		if r.sent[fmt.Sprint("l", i)][0] == "cold" {
			got++
		}
	}
	if got == 0 {
		t.Error("the cold backend got no light request either")
	}
}

// A backend that comes back before the list tells counts as cold.
func TestRevivalIsCold(t *testing.T) {
	r := newRig(t, settings(), 3, backends(3))
	r.serve(60, safe, 20*ms)
	for i := 0; ; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, safe)
		r.now += 20 * ms
		if r.sent[id][0] == "a" {
			r.outcome(id, decide.ConnectFailed, 20*ms)
			break
		}
		r.outcome(id, decide.OK, 20*ms)
	}
	r.advance(2 * time.Second)
	seen := 0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		r.request(id, safe)
		r.now += 20 * ms
		r.outcome(id, decide.OK, 20*ms)
		if r.sent[id][0] == "a" {
			seen++
		}
	}
	if seen == 0 || seen > 35 {
		t.Errorf("after its return it got %d of 200, want a cold backend's share", seen)
	}
}

// A list that is empty at the start: requests wait, and are refused in time.
func TestNoBackend(t *testing.T) {
	for _, class := range []int{safe, unsafe, keyedZone} {
		r := newRig(t, settings(), 1, nil)
		acts := r.request("q", class)
		acts = append(acts, r.advance(399*ms)...)
		if final("q", acts) != "refuse" {
			t.Errorf("class %d: %q, want one refusal within the aim", class, final("q", acts))
		}
	}
	t.Run("list comes in time", func(t *testing.T) {
		r := newRig(t, settings(), 1, nil)
		r.request("q", safe)
		r.now += 50 * ms
		r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(2)})
		if len(r.sent["q"]) != 1 {
			t.Error("the waiting request was not sent")
		}
	})
}

// Latency above the aimed delay cuts what is kept in flight; what does not fit
// waits and is refused, and a client's repeat is refused first.
func TestInFlightLimit(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(2))
	for i := range 200 { // slow answers
		id := fmt.Sprint("s", i)
		r.request(id, safe)
		r.now += 350 * ms
		r.outcome(id, decide.OK, 350*ms)
	}
	out := 0
	var all []decide.Action
	for i := range 20 {
		id := fmt.Sprint("q", i)
		all = append(all, r.request(id, safe)...)
		out += len(r.sent[id])
	}
	if want := 4 * 2 / 2; out != want {
		t.Errorf("%d in flight, want this agent's share of 4 per backend: %d", out, want)
	}
	repeat := r.step(decide.Request{ID: "again", Class: safe, Remaining: 2000 * ms, ClientRetry: true})
	if final("again", repeat) != "refuse" {
		t.Errorf("a client's repeat: %v, want a refusal at once", repeat)
	}
	all = append(all, r.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if len(r.sent[id]) == 0 && final(id, all) != "refuse" {
			t.Errorf("%s: %q, want one refusal", id, final(id, all))
		}
	}
}

// Incident i6c6372: with many agents each one's share must shrink, also on idle backends.
func TestLimitIsSharedOut(t *testing.T) {
	inFlight := func(balancers int) (n int) {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(10))
		for i := range 100 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			n += len(r.sent[id])
		}
		return n
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("%d in flight among 20 agents against %d alone", many, one)
	}
}

// Incident ia38185: the limit follows the list down.
func TestLimitFollowsTheList(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(2)})
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		n += len(r.sent[id])
	}
	if n > 12 {
		t.Errorf("%d in flight on two backends", n)
	}
}

// Incidents idacc77 and i574e74: what dead backends carried must not land on the
// living while the list still names the dead.
func TestLimitLeavesOutTheDead(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	r.serve(50, safe, 5*ms)
	dead := map[string]bool{}
	for i := 0; len(dead) < 6 && i < 500; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, safe)
		r.now += ms
		if b := r.sent[id][0]; b < "g" { // a to f
			dead[b] = true
			r.outcome(id, decide.ConnectFailed, ms)
		} else {
			r.outcome(id, decide.OK, ms)
		}
	}
	r.advance(50 * ms)
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		n += len(r.sent[id])
	}
	if n > 28 { // six for each of four, and a few for what the outcomes taught
		t.Errorf("%d in flight on four living backends", n)
	}
}

// Incident ieb2a7b: attempts that hang at a backend which answers nothing must not
// use up the room of the others once it is ejected.
func TestHangingAttemptsUseNoRoom(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 1, backends(3))
	r.serve(60, safe, 20*ms)
	r.now += ms
	var hung []string
	for i := range 18 {
		id := fmt.Sprint("h", i)
		r.request(id, safe)
		if len(r.sent[id]) == 1 && r.sent[id][0] == "a" {
			hung = append(hung, id)
		}
	}
	if len(hung) < 3 {
		t.Fatalf("only %v hang", hung)
	}
	r.now += 20 * ms
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(r.sent[id]) == 1 && r.sent[id][0] != "a" {
			r.outcome(id, decide.OK, 20*ms)
		}
	}
	r.now += 100 * ms
	r.outcome(hung[0], decide.TimedOut, 120*ms)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		for _, b := range r.sent[id] {
			if n++; b == "a" {
				t.Errorf("%s went to the backend that answers nothing", id)
			}
		}
	}
	if n < 12 {
		t.Errorf("%d in flight on the two that answer, want all of their room of 12", n)
	}
}

// A time-out says at least how slow a backend is: one that answers only its light
// requests must not keep the good name that these give it.
func TestTimeOutsTeachSlowness(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 3, backends(3))
	r.serve(60, safe, 20*ms)
	got := 0
	for round := range 60 {
		var hang []string
		answered := false
		for i := range 6 {
			r.request(fmt.Sprint("q", round, "-", i), safe)
		}
		r.now += 20 * ms
		for i := range 6 {
			id := fmt.Sprint("q", round, "-", i)
			if r.sent[id][0] == "a" {
				if got++; answered {
					hang = append(hang, id)
					continue
				}
				answered = true
			}
			r.outcome(id, decide.OK, 20*ms)
		}
		r.now += 60 * ms
		for _, id := range hang {
			r.outcome(id, decide.TimedOut, 80*ms)
		}
		r.now += 20 * ms
	}
	if got > 90 {
		t.Errorf("a backend that times out half its requests got %d of 360", got)
	}
}

// Incident i37feae: a fleet that grows fivefold is cold; what it cannot take yet must
// not land on the warm ones, nor all on one.
func TestGrowthDoesNotLoadWarmOnes(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.serve(100, safe, 50*ms)
	grown := backends(20)
	for i := 4; i < 20; i++ {
		grown[i].Started = r.now
	}
	r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: grown})
	warm := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		for _, b := range r.sent[id] {
			if b < "e" {
				warm[b]++
			}
		}
	}
	for id, n := range warm {
		if n > 18 { // three mean shares of six
			t.Errorf("%s holds %d in flight", id, n)
		}
	}
	if sum := warm["a"] + warm["b"] + warm["c"] + warm["d"]; sum > 60 {
		t.Errorf("the four warm backends hold %d in flight", sum)
	}
}

// Incident ieeee80: chance must not cut the limit of a busy agent whose answers are
// well within the aim in the mean but vary a lot.
func TestBusyAgentIsNotCutByChance(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(30))
	seq := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // ms; mean 110 of an aim of 400
	refused, queue := 0, []string{}
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if final(id, r.request(id, safe)) != "" {
			refused++
		}
		queue = append(queue, id)
		r.now += ms
		if len(queue) > 75 {
			if len(r.sent[queue[0]]) > 0 {
				// answers in runs, so that twenty in a row can all be slow
				r.outcome(queue[0], decide.OK, seq[(i/25)%10]*ms)
			}
			queue = queue[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 4000 refused", refused)
	}
}

// Incidents ieeee80 and i24a18c: an agent with most of the traffic gets most of the limit
// where agents may tell each other; one that hears nobody keeps its share by head count.
func TestPeersShareTheLimit(t *testing.T) {
	demand := func(busyCores float32) []byte {
		return binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(busyCores))<<32)
	}
	tests := []struct {
		name  string
		peers bool
		data  []byte // from each of the three others; nil: nothing
		want  func(n int) bool
	}{
		{"no messages allowed", false, demand(0), func(n int) bool { return n == 15 }},
		{"nothing heard", true, nil, func(n int) bool { return n == 15 }},
		{"quiet peers", true, demand(0), func(n int) bool { return n > 45 }},
		{"busy peers", true, demand(math.MaxFloat32), func(n int) bool { return n < 6 }},
		{"too short", true, []byte{1}, func(n int) bool { return n == 15 }},
		{"not a number", true, demand(float32(math.NaN())), func(n int) bool { return n == 15 }},
		{"below zero", true, demand(-1), func(n int) bool { return n == 15 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.Balancers, s.Self, s.Peers = 4, 2, tt.peers
			r := newRig(t, s, 1, backends(10))
			told := 0
			for range 30 {
				r.serve(1, safe, 20*ms)
				for _, a := range r.advance(20 * ms) {
					if _, ok := a.(decide.SendToPeer); ok {
						told++
					}
				}
				if tt.data == nil {
					continue
				}
				for _, from := range []int{-1, 0, 1, 2, 3, 4} {
					r.step(decide.PeerMessage{From: from, Data: tt.data})
				}
			}
			if tt.peers != (told > 0) || told > 4*3 {
				t.Errorf("told three peers %d times in 1.2 s with aims of 400 ms", told)
			}
			n := 0
			for i := range 100 {
				id := fmt.Sprint("q", i)
				r.request(id, safe)
				n += len(r.sent[id])
			}
			if !tt.want(n) {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// Incident ie43f64: with every agent telling every other, messages grew with the square of
// their number. However many agents there are, one tells few of them, and not always the same.
func TestTellsAreFew(t *testing.T) {
	for _, n := range []int{1, 2, 8, 50, 2000} {
		s := settings()
		s.Balancers, s.Self, s.Peers = n, n/2, true
		r := newRig(t, s, 1, backends(4))
		told := map[int]int{}
		total := 0
		count := func(acts []decide.Action) {
			for _, a := range acts {
				if a, ok := a.(decide.SendToPeer); ok {
					told[a.To]++
					total++
				}
			}
		}
		for i := range 100 { // a request every tenth of a period
			id := fmt.Sprint("q", i)
			count(r.request(id, safe))
			count(r.outcome(id, decide.OK, 20*ms))
			count(r.advance(s.Classes[0].Objective / 10))
		}
		if most := 11 * min(n-1, 8); total > most || n > 1 && total < 10 {
			t.Errorf("%d agents: %d messages in ten periods, want up to %d", n, total, most)
		}
		if told[s.Self] > 0 || len(told) < min(n-1, 20) {
			t.Errorf("%d agents: told %d different peers, itself %d times", n, len(told), told[s.Self])
		}
	}
}

// Incident i952f82: agents that stop leave their share of the limit to those that get their traffic.
func TestStoppedPeersLeaveTheirShare(t *testing.T) {
	s := settings()
	s.Balancers, s.Peers = 4, true
	r := newRig(t, s, 1, backends(10))
	inFlight := func(round int) (n int) {
		for i := range 100 {
			id := fmt.Sprint("q", round, "-", i)
			if r.request(id, safe); len(r.sent[id]) > 0 {
				n++
				defer r.outcome(id, decide.OK, 20*ms)
			} else {
				r.step(decide.RequestCancelled{Request: id})
			}
		}
		return n
	}
	own := binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(float32(100*ms)))<<32)
	for range 40 {
		r.serve(1, safe, 20*ms)
		for from := 1; from < 4; from++ {
			r.step(decide.PeerMessage{From: from, Data: own})
		}
		r.advance(50 * ms)
	}
	before := inFlight(0)
	for range 60 { // three seconds without a word: over four tells
		r.serve(1, safe, 20*ms)
		r.advance(50 * ms)
	}
	if after := inFlight(1); before > 40 || after < 55 {
		t.Errorf("%d in flight beside three peers, %d after they stopped, want nearly all 60", before, after)
	}
}

// Incident ieb2a7b: many agents that grow their limits at once must not overshoot together.
func TestLimitGrowsPerBackend(t *testing.T) {
	total := func(balancers int) int {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(20))
		var out []string // in flight, oldest first
		sends := func(actions []decide.Action) {
			for _, a := range actions {
				if a, ok := a.(decide.Send); ok {
					out = append(out, a.Request)
				}
			}
		}
		for i := range 200 { // what exceeds the limit is held
			sends(r.request(fmt.Sprint("q", i), safe))
		}
		for i := range 4 * len(out) { // four rounds of fast answers
			sends(r.outcome(out[0], decide.OK, 20*ms))
			out = out[1:]
			sends(r.request(fmt.Sprint("more", i), safe))
		}
		return len(out) * balancers
	}
	if one, many := total(1), total(20); one < 130 || many > one*3/2 {
		t.Errorf("after four rounds one agent has %d in flight, want growth from 120; 20 agents %d", one, many)
	}
}

// A try whose remaining time is cut short by the client's deadline is a late one: it
// does not wait for room, where a first try does.
func TestRemainingTimeTellsLateTries(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	submit := func(id string, left time.Duration) []decide.Action {
		return r.step(decide.Request{ID: id, Class: safe, Remaining: left})
	}
	for i := range 20 { // the usual remaining time, give or take
		submit(fmt.Sprint("f", i), 900*ms+time.Duration(i%3)*ms)
	}
	if got := final("first", submit("first", 899*ms)); got != "" {
		t.Errorf("a first try without room got %q at once, want it to wait", got)
	}
	if got := final("late", submit("late", 700*ms)); got != "refuse" {
		t.Errorf("a late try without room got %q, want a refusal at once", got)
	}
}

func TestSubscribe(t *testing.T) {
	s := settings()
	s.Subscribe = true
	asks := func(acts []decide.Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(decide.Subscribe); ok {
				n++
			}
		}
		return n
	}
	delays := map[time.Duration]bool{}
	for seed := uint64(0); seed < 10; seed++ {
		r := newRig(t, s, seed, backends(2))
		delays[r.due[0]-r.now] = true
		if n := asks(r.advance(s.SubscribeWithin / 10)); n != 1 {
			t.Fatalf("asked %d times at the start, want once", n)
		}
		for range 8 { // every failure is followed by one more try, in time
			r.step(decide.ListUpdate{Kind: decide.ListFailed})
			if n := asks(r.advance(s.SubscribeWithin / 2)); n != 1 {
				t.Fatalf("asked %d times after a failure, want once", n)
			}
		}
		r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(2)})
		if n := asks(r.advance(time.Minute)); n != 0 {
			t.Errorf("asked %d times while subscribed", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents ask after only %d different waits", len(delays))
	}
	r := newRig(t, settings(), 1, backends(2))
	if n := asks(append(r.step(decide.ListUpdate{Kind: decide.ListFailed}), r.advance(time.Minute)...)); n != 0 {
		t.Error("asked although the list comes unasked")
	}
}

// Events about things unknown, late or repeated do nothing.
func TestStrayEvents(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("done", safe)
	r.now += 10 * ms
	r.outcome("done", decide.OK, 10*ms)
	r.request("open", unsafe)
	stray := []decide.Event{
		decide.Outcome{Request: "never", Result: decide.Errored},
		decide.Outcome{Request: "done", Result: decide.Errored},
		decide.Outcome{Request: "open", Attempt: 7, Result: decide.Errored},
		decide.Outcome{Request: "open", Attempt: -1, Result: decide.Errored},
		decide.TimerFired{Token: 99}, decide.TimerFired{Token: 0}, decide.TimerFired{Token: -5},
		decide.RequestCancelled{Request: "never"}, decide.RequestCancelled{Request: "done"},
		decide.ResponseStarted{Request: "never"},
		decide.ProbeResult{Backend: "zz"},
		decide.PeerMessage{From: 44, Data: []byte{1}},
		decide.Request{ID: "bad", Class: 17, Remaining: time.Second},
		decide.Request{ID: "bad", Class: -1, Remaining: time.Second},
		decide.Request{ID: "open", Class: safe, Remaining: time.Second},
	}
	for _, e := range stray {
		if acts := r.step(e); len(acts) != 0 {
			t.Errorf("%#v: %v, want no action", e, acts)
		}
	}
	r.now += 10 * ms
	if acts := r.outcome("open", decide.Errored, 10*ms); final("open", acts) != "fail" {
		t.Errorf("the open request: %v, want its one failure", acts)
	}
	if acts := r.outcome("open", decide.Errored, 10*ms); len(acts) != 0 {
		t.Errorf("a repeated outcome: %v, want no action", acts)
	}
}

// An abandoned request gets nothing more, though its attempt is still counted.
func TestAbandoned(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", safe)
	r.step(decide.RequestCancelled{Request: "q"})
	r.now += 10 * ms
	acts := r.outcome("q", decide.Errored, 10*ms)
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 {
		t.Errorf("after the client left: %v", acts)
	}
}

// Once an answer has begun to stream the request is the client's.
func TestStream(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", safe)
	r.step(decide.ResponseStarted{Request: "q"})
	r.now += 10 * ms
	acts := r.step(decide.Outcome{Request: "q", Backend: r.sent["q"][0], Result: decide.Reset, Answered: true})
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 || len(r.sent["q"]) != 1 {
		t.Errorf("after a broken stream: %v", acts)
	}
}

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func(seed uint64) (log []string) {
		r := newRig(t, settings(), seed, backends(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			log = append(log, fmt.Sprint(r.request(id, i%5)))
			r.now += 3 * ms
			if i%3 != 0 && len(r.sent[id]) > 0 {
				log = append(log, fmt.Sprint(r.outcome(id, decide.Result(i%6), 3*ms)))
			}
			log = append(log, fmt.Sprint(r.advance(2*ms)))
		}
		return log
	}
	if !reflect.DeepEqual(play(11), play(11)) {
		t.Error("two runs with one seed differ")
	}
	if reflect.DeepEqual(play(11), play(12)) {
		t.Error("two seeds give the same run")
	}
}

// thinSettings make an even part of the in-flight limit smaller than one attempt.
func thinSettings() decide.Settings {
	s := settings()
	s.Balancers, s.Peers = 100, true
	return s
}

// Incident ie43f64, dallas big-1: hundreds of agents with one attempt each in flight crowd the
// servers. A thin agent admits less of what it is asked as the delay passes the aimed share,
// and all of it while there is no queue, however much that is.
func TestThinAgentAdmitsByDelay(t *testing.T) {
	play := func(latency time.Duration) (sent int) {
		r := newRig(t, thinSettings(), 1, backends(8))
		for i := range 300 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			r.advance(latency)
			if len(r.sent[id]) > 0 {
				r.outcome(id, decide.OK, latency)
				if i >= 100 {
					sent++
				}
			}
		}
		return sent
	}
	if n := play(40 * ms); n < 198 {
		t.Errorf("without queues %d of 200 were sent, want all", n)
	}
	if n := play(320 * ms); n < 20 || n > 90 {
		t.Errorf("at four fifths of the aim %d of 200 were sent, want about a quarter", n)
	}
}

// Lost requests on satx-returns: a held request whose timer fired while its time to give up
// had meanwhile moved later never got another timer, and no answer.
func TestHeldRequestKeepsATimer(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	var acts []decide.Action
	for i := range 40 {
		acts = append(acts, r.request(fmt.Sprint("q", i), safe)...)
	}
	for range 10 { // fast answers: less time is needed for one, so the rest may wait longer
		r.now += ms
		for i := range 40 {
			if id := fmt.Sprint("q", i); len(r.sent[id]) == 1 {
				acts = append(acts, r.outcome(id, decide.OK, 5*ms)...)
				r.sent[id] = append(r.sent[id], "done")
				break
			}
		}
	}
	acts = append(acts, r.advance(1900*ms)...)
	for i := range 40 {
		if id := fmt.Sprint("q", i); len(r.sent[id]) == 0 && final(id, acts) == "" {
			t.Errorf("%s was held and got no answer", id)
		}
	}
}

// Dallas big-1: a thin agent meets a dead server so seldom that it learns of it too late. What
// one agent saw, another knows from its message, the failure of a server as well as its speed,
// and the same note told again changes nothing.
func TestNotesTravel(t *testing.T) {
	s := thinSettings()
	teller := newRig(t, s, 1, backends(4))
	var data [][]byte
	for i := range 60 { // a fails at once, b is slow, the others are quick
		id := fmt.Sprint("q", i)
		acts := teller.request(id, unsafe)
		if len(teller.sent[id]) == 0 {
			continue
		}
		switch teller.sent[id][0] {
		case "a":
			acts = append(acts, teller.outcome(id, decide.Errored, 10*ms)...)
		case "b":
			teller.now += 200 * ms
			acts = append(acts, teller.outcome(id, decide.OK, 200*ms)...)
		default:
			teller.now += 20 * ms
			acts = append(acts, teller.outcome(id, decide.OK, 20*ms)...)
		}
		for _, a := range acts {
			if a, ok := a.(decide.SendToPeer); ok {
				data = append(data, a.Data)
			}
		}
	}
	count := func(repeat int) map[string]int {
		s.Self = 1
		counts := map[string]int{}
		for seed := range uint64(200) {
			r := newRig(t, s, seed, backends(4))
			r.now = teller.now
			for range repeat {
				for _, d := range data {
					r.step(decide.PeerMessage{From: 0, Data: d})
				}
			}
			r.request("q", safe)
			counts[r.sent["q"][0]]++
		}
		return counts
	}
	once, often := count(1), count(20)
	if once["a"] > 5 || once["b"] > 40 || once["c"] < 40 || once["d"] < 40 {
		t.Errorf("after the notes an agent sends to %v, want hardly any to a and few to b", once)
	}
	if !reflect.DeepEqual(once, often) {
		t.Errorf("told once it sends to %v, told the same twenty times to %v", once, often)
	}
}

// Dallas rough-1: in a crowded fleet answers come after the clients' patience. An attempt that
// is out for most of its aim counts as late at once, and less is admitted before it ends.
func TestOverdueCountsAtOnce(t *testing.T) {
	s := thinSettings()
	s.Balancers = 1000
	r := newRig(t, s, 1, backends(90))
	for i := range 30 {
		id := fmt.Sprint("warm", i)
		r.request(id, safe)
		r.advance(20 * ms)
		r.outcome(id, decide.OK, 20*ms)
	}
	sent := 0
	for i := range 60 { // nothing is answered any more
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		r.advance(60 * ms)
		if i >= 30 {
			sent += len(r.sent[id])
		}
	}
	if sent > 15 {
		t.Errorf("%d of 30 were sent though nothing had come back for seconds", sent)
	}
}

// Dallas rules-3: each of 150 agents sent a cold server one request at once, and together they
// pushed it over. Only a part of them may do so right after its start.
func TestManyAgentsSpareAColdBackend(t *testing.T) {
	sent := 0
	for seed := range uint64(200) {
		r := newRig(t, settings(), seed, backends(2))
		r.serve(40, safe, 20*ms)
		r.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{
			{ID: "a", Started: r.now}, {ID: "b", State: decide.Draining}}})
		r.now += 5 * ms
		r.request("q", safe)
		sent += len(r.sent["q"])
	}
	if sent > 60 {
		t.Errorf("%d of 200 agents sent to a server within 5 ms of its start", sent)
	}
}

// Satx big-1: a quiet agent spread over every server hears of each once a day. It keeps to a few
// of an order of its own, other agents to others, and turns to further ones when those fail.
func TestQuietAgentKeepsToAFew(t *testing.T) {
	s := settings()
	s.Balancers = 500
	firsts := map[string]int{}
	for self := range 60 {
		s.Self = self
		r := newRig(t, s, uint64(self), backends(40))
		used := map[string]int{}
		for i := range 80 {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			r.advance(30 * ms)
			if len(r.sent[id]) > 0 {
				r.outcome(id, decide.OK, 30*ms)
				used[r.sent[id][0]]++
			}
			r.advance(370 * ms)
		}
		if len(used) > 12 {
			t.Errorf("agent %d used %d servers, want a few", self, len(used))
		}
		for id := range used {
			firsts[id]++
		}
		for id := range used { // all of these die
			r.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: id, State: decide.Removed}}})
		}
		r.request("next", safe)
		if len(r.sent["next"]) == 0 || used[r.sent["next"][0]] > 0 {
			t.Errorf("agent %d found no further server", self)
		}
	}
	if len(firsts) < 38 {
		t.Errorf("60 agents together used %d of 40 servers", len(firsts))
	}
}

// Satx rough-1: kinds of machine suit classes differently. What is learned of a kind's fit to a
// class holds for servers of that kind that the agent has hardly met.
func TestKindsSuitClasses(t *testing.T) {
	list := backends(20)
	for i := range list {
		list[i].Kind = i % 2
	}
	r := newRig(t, settings(), 4, list)
	suits := map[int]int{}
	for i := range 400 {
		class := i % 2
		id := fmt.Sprint("q", i)
		r.request(id, class)
		kind := int(r.sent[id][0][0]-'a') % 2
		latency := 60 * ms
		if kind == class {
			latency = 20 * ms
		}
		r.now += latency
		r.outcome(id, decide.OK, latency)
		if i >= 200 && kind == class {
			suits[class]++
		}
	}
	if suits[0] < 85 || suits[1] < 85 {
		t.Errorf("%d and %d of 100 went to the kind that suits the class, want most", suits[0], suits[1])
	}
	stray := backends(2) // kinds no list should hold do no harm
	stray[0].Kind = -3
	newRig(t, settings(), 1, stray).serve(10, safe, 10*ms)
}

// Satx rough-2: a server that turns an attempt away is crowded for longer than one latency, and
// drew as many as before right after it.
func TestFullServerIsChosenLess(t *testing.T) {
	hits := 0
	for seed := range uint64(100) {
		r := newRig(t, settings(), seed, backends(4))
		r.serve(20, safe, 20*ms)
		r.request("q", safe)
		full := r.sent["q"][0]
		r.outcome("q", decide.Rejected, ms)
		r.advance(2 * time.Second)
		r.request("next", safe)
		if r.sent["next"][0] == full {
			hits++
		}
	}
	if hits > 18 {
		t.Errorf("the full one of four servers got %d of 100 soon after", hits)
	}
}

// Incident i8cbe41: without peers nothing limited 893 thin agents, and every waiting room stayed
// full. One that meets full servers only admits less, though no peer tells it anything.
func TestThinAgentAloneAdmitsLess(t *testing.T) {
	s := thinSettings()
	s.Peers, s.MaxAttempts = false, 1
	r := newRig(t, s, 1, backends(20))
	sent := 0
	for i := range 120 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		if len(r.sent[id]) > 0 {
			r.outcome(id, decide.Rejected, ms)
		}
		r.advance(400 * ms)
		if i >= 60 {
			sent += len(r.sent[id])
		}
	}
	if sent > 15 || sent < 3 {
		t.Errorf("%d of 60 were sent to servers that are all full, want about one in fifteen", sent)
	}
}

// Houston big-1: with a busy neighbour on a third of the servers the mean delay passed the aimed
// share, and 40 in 100 requests were refused though the rest had room. What a server known to be
// slow takes says little of the rest.
func TestSlowServersDoNotShedLoad(t *testing.T) {
	r := newRig(t, thinSettings(), 1, backends(8))
	sent := 0
	for i := range 600 {
		id := fmt.Sprint("q", i)
		r.request(id, safe)
		if len(r.sent[id]) > 0 {
			latency := 110 * ms
			if r.sent[id][0] < "e" {
				latency = 235 * ms
			}
			r.advance(latency)
			r.outcome(id, decide.OK, latency)
		}
		r.advance(100 * ms)
		if i >= 400 {
			sent += len(r.sent[id])
		}
	}
	if sent < 195 {
		t.Errorf("%d of 200 were sent though most servers have no queue", sent)
	}
}

// A keyed repeat says until when it may begin: as long as its first attempt is remembered, from when that was sent.
// First attempts and safe requests have all the time there is, and so has one whose first attempt never ran.
func TestRepeatMustBeginWithinTheWindow(t *testing.T) {
	until := func(acts []decide.Action) (all []time.Duration) {
		for _, a := range acts {
			if s, ok := a.(decide.Send); ok {
				all = append(all, s.StartBy)
			}
		}
		return all
	}
	for _, row := range []struct {
		class  int
		result decide.Result
		bound  bool
	}{{keyedAll, decide.Errored, true}, {keyedAll, decide.Rejected, false}, {safe, decide.Errored, false}, {unsafe, decide.Incomplete, false}} {
		r := newRig(t, settings(), 1, backends(4))
		sent := r.now
		if u := until(r.request("x", row.class)); len(u) != 1 || u[0] != 0 {
			t.Fatalf("first attempt: %v", u)
		}
		r.now += 20 * ms
		acts := append(r.outcome("x", row.result, 20*ms), r.advance(100*ms)...)
		want := time.Duration(0)
		if row.bound {
			want = sent + 300*ms - 150*ms // held up for as long between the look at the clock and the write
		}
		if u := until(acts); len(u) != 1 || u[0] != want {
			t.Errorf("class %d after %v: until %v, want %v", row.class, row.result, u, want)
		}
	}
}

// A repeat may have to wait for its connection, for the connect time-out at most. It must reach
// the backend while that still remembers the first: on sockets, one sent at the window's last
// instant could run twice if its connection had to be opened first.
func TestRepeatReachesTheBackendWithinTheWindow(t *testing.T) {
	for _, row := range []struct {
		failed time.Duration
		sends  int
	}{{100 * ms, 2}, {250 * ms, 1}} {
		s := settings()
		s.ConnectTimeout = 100 * ms // the window is 300 ms
		r := newRig(t, s, 1, backends(4))
		r.request("x", keyedAll)
		r.now += row.failed
		acts := append(r.outcome("x", decide.Errored, row.failed), r.advance(100*ms)...)
		if n := len(r.sent["x"]); n != row.sends {
			t.Errorf("failed after %v: %d sends, want %d", row.failed, n, row.sends)
		}
		if got := final("x", acts); (got != "") != (row.sends == 1) {
			t.Errorf("failed after %v: final answer %q", row.failed, got)
		}
	}
}
