package model

import (
	"fmt"
	"math"
	"testing"
	"time"

	"vetchhaven/decide"
)

const ms = time.Millisecond

// small returns a scenario of one kind of server, without random variation.
func small() *Scenario {
	class := func(name string, e decide.Effect, g decide.DedupScope, window time.Duration) Class {
		return Class{Name: name, Share: 1, Work: 100 * ms, Hint: -1, Class: decide.Class{Objective: 600 * ms, Deadline: 3 * time.Second,
			Value: 1, LateValue: 0.2, Effect: e, Scope: g, DedupWindow: window}}
	}
	s := &Scenario{Title: "small", Length: 10 * time.Second, Agents: 1, Tick: 5 * ms, Rate: 10, Zones: []string{"a", "b"},
		Kinds: []Kind{{Name: "k", Cores: 2, Speed: 1, Slots: 2, Queue: 3, ThrashAt: 1000, ColdShare: 0.5, ColdFor: 10 * time.Second,
			Connections: 100}},
		Classes: []Class{class("fetch", decide.Idempotent, 0, 0), class("submit", decide.Keyed, decide.ScopeAll, 1500*ms),
			class("close", decide.Keyed, decide.ScopeCell, 12*time.Second)},
		Rules: Rules{MaxAttempts: 3, ConnectTimeout: 250 * ms, IdleClose: 5 * time.Second, DrainGrace: 2 * time.Second,
			AnswerSlack: 20 * ms, AskWithin: 10 * time.Second, ColdShare: 0.31, RampTime: 8600 * ms, FallMultiple: 2.5, FallWindow: time.Second},
		Clients: Clients{Tries: 1, Patience: 1},
		List:    ListSpec{Asked: true, Up: ms, Drain: ms, Silent: time.Second},
		Network: NetworkSpec{Within: ms, Across: 7 * ms}}
	for i := range 4 {
		s.Servers = append(s.Servers, ServerSpec{Name: fmt.Sprint("s-", i+1), Place: i, Zone: i / 2, Pod: 1 + i/2})
	}
	return s
}

// bench is one server with a connection; it steps the server at the time of each of the server's actions.
type bench struct {
	t    *testing.T
	s    *Scenario
	v    *Server
	now  time.Duration
	seen []string
	n    int
}

func newBench(t *testing.T, s *Scenario, cold bool) *bench {
	b := &bench{t: t, s: s, now: time.Minute}
	b.v = NewServer(s.Servers[0], s, NewKeys(s.Classes), 7, b.now, cold)
	b.step(Dial{Conn: 1})
	return b
}

func (b *bench) step(e ServerEvent) {
	for _, f := range b.v.Step(b.now, e) {
		at := (b.now - time.Minute).Milliseconds()
		switch f.Kind {
		case Replied:
			b.seen = append(b.seen, fmt.Sprintf("%d %s %v", at, f.Job.ID, map[decide.Result]string{
				decide.OK: "ok", decide.Errored: "error", decide.Rejected: "full"}[f.Result]))
		case Ran, Dropped:
			b.seen = append(b.seen, fmt.Sprintf("%d %s %s", at, f.Job.ID, map[EffectKind]string{Ran: "ran", Dropped: "dropped"}[f.Kind]))
		case Overloaded:
			b.seen = append(b.seen, fmt.Sprintf("%d fell", at))
		case Rejected:
			b.seen = append(b.seen, fmt.Sprintf("%d rejected", at))
		case Closed:
			b.seen = append(b.seen, fmt.Sprintf("%d closed", at))
		}
	}
}

// until steps the server until the given time.
func (b *bench) until(at time.Duration) {
	end := time.Minute + at
	for next := b.v.NextWake(); next > 0 && next <= end; next = b.v.NextWake() {
		b.now = max(b.now, next)
		b.step(Wake{})
	}
	b.now = max(b.now, end)
}

func (b *bench) send(work time.Duration) string {
	b.n++
	id := fmt.Sprint("j", b.n)
	b.step(Arrive{Conn: 1, Job: Job{ID: id, Work: work, Draw: 0.5}})
	return id
}

func (b *bench) want(want ...string) {
	b.t.Helper()
	if fmt.Sprint(b.seen) != fmt.Sprint(want) {
		b.t.Errorf("%q\nwant %q", b.seen, want)
	}
}

func TestServerQueuesAndTurnsAway(t *testing.T) {
	b := newBench(t, small(), false)
	for range 6 { // two run, three wait
		b.send(100 * ms)
	}
	b.until(time.Second)
	b.want("1 j6 full", "100 j1 ran", "100 j1 ok", "100 j2 ran", "100 j2 ok", "200 j3 ran", "200 j3 ok", "200 j4 ran", "200 j4 ok",
		"300 j5 ran", "300 j5 ok")
}

func TestServerIsSlowerWhenCrowdedAndSlowed(t *testing.T) {
	s := small()
	s.Kinds[0].Queue, s.Kinds[0].ThrashAt, s.Kinds[0].Thrash = 100, 1, 0.5
	b := newBench(t, s, false)
	b.send(100 * ms)
	b.send(100 * ms) // with one request per core, no efficiency is lost
	for range 4 {
		b.send(100 * ms) // these start with four held: 2 per core, 1 above ThrashAt, so they take 1.5 times as long
	}
	b.until(240 * ms)
	b.want("100 j1 ran", "100 j1 ok", "100 j2 ran", "100 j2 ok")
	b.seen = nil
	b.until(251 * ms)
	if len(b.seen) == 0 || b.seen[0][:3] != "250" {
		t.Errorf("%q: the third request should end at 250 ms", b.seen)
	}

	b = newBench(t, small(), false)
	b.send(100 * ms)
	b.until(50 * ms)
	b.step(SetSpeed{0.5}) // the remaining half takes twice as long
	b.until(time.Second)
	b.want("150 j1 ran", "150 j1 ok")
}

func TestPauseHoldsWork(t *testing.T) {
	s := small()
	s.Kinds[0].PauseEvery, s.Kinds[0].Pause = 200*ms, 100*ms
	busy, plain := newBench(t, s, false), newBench(t, small(), false)
	for range 50 {
		for _, b := range []*bench{busy, plain, busy, plain} {
			b.send(100 * ms)
		}
		busy.until(busy.now - time.Minute + 100*ms)
		plain.until(plain.now - time.Minute + 100*ms)
	}
	if len(busy.seen) >= len(plain.seen)*9/10 {
		t.Errorf("%d effects with pauses, %d without", len(busy.seen), len(plain.seen))
	}
}

func TestErrorsAreFast(t *testing.T) {
	b := newBench(t, small(), false)
	b.step(SetErrors{0.6})
	b.send(100 * ms) // its draw is 0.5
	b.until(time.Second)
	b.want("2 j1 error")
	b.seen = nil
	b.step(SetErrors{0.4})
	b.send(100 * ms)
	b.until(3 * time.Second)
	b.want("1100 j2 ran", "1100 j2 ok")
}

func TestDrainFinishesAndTakesNothingNew(t *testing.T) {
	b := newBench(t, small(), false)
	b.send(100 * ms)
	b.step(DrainNow{})
	b.send(100 * ms)
	b.until(time.Second)
	b.want("1 j2 full", "100 j1 ran", "100 j1 ok")
}

// A cancellation does not stop the work: the request has its effect, but no answer is sent.
func TestWorkGoesOnAfterHangup(t *testing.T) {
	b := newBench(t, small(), false)
	b.send(100 * ms)
	b.step(Hangup{Conn: 1})
	b.until(time.Second)
	b.want("100 j1 ran")
}

func TestConnections(t *testing.T) {
	s := small()
	s.Kinds[0].Connections, s.Kinds[0].Handshake = 1, 50*ms
	b := newBench(t, s, false)
	b.step(Dial{Conn: 2})
	b.send(100 * ms) // includes the work of the handshake
	b.send(100 * ms) // has no handshake
	b.until(4 * time.Second)
	b.want("0 rejected", "100 j2 ran", "100 j2 ok", "150 j1 ran", "150 j1 ok")
	b.seen = nil
	b.until(10 * time.Second)
	b.want("5150 closed")
	b.step(Dial{Conn: 3})
	b.want("5150 closed") // a connection slot is free again
}

func TestWarmth(t *testing.T) {
	s := small()
	b := newBench(t, s, true)
	for _, w := range []struct {
		at   time.Duration
		want float64
	}{{0, 0.5}, {5 * time.Second, 0.75}, {10 * time.Second, 1}, {20 * time.Second, 1}} {
		if got := b.v.Warmth(time.Minute + w.at); math.Abs(got-w.want) > 1e-9 {
			t.Errorf("warmth %v after %v, want %v", got, w.at, w.want)
		}
	}
	s.Kinds[0].WarmByWork = true
	b = newBench(t, s, true)
	for range 25 {
		b.send(100 * ms)
		b.send(100 * ms)
		b.until(b.now - time.Minute + 200*ms)
	}
	if got := b.v.Warmth(b.now); got < 0.7+0.05 {
		t.Errorf("warmth %v after 5 s full of work", got)
	}
}

// The exact overload threshold: 2.5 times the work that the server can do in one window.
func TestOverloadedJustAboveTheThreshold(t *testing.T) {
	for _, tt := range []struct {
		last time.Duration
		fell bool
	}{{99 * ms, false}, {100 * ms, false}, {101 * ms, true}} {
		s := small()
		s.Kinds[0].Queue, s.Kinds[0].ColdFor = 100, 1000*time.Hour // it stays practically cold
		b := newBench(t, s, true)
		for range 24 { // it can do one second of work in a window: 2 cores at half capacity
			b.send(100 * ms)
		}
		b.send(tt.last)
		if b.v.Overloaded() != tt.fell {
			t.Errorf("2.4 s and %v of work in a window: overloaded %v", tt.last, b.v.Overloaded())
		}
	}
	// The same load, with the first request just outside the window, and just inside.
	for _, tt := range []struct {
		gap  time.Duration
		fell bool
	}{{time.Second - 1, true}, {time.Second, false}} {
		s := small()
		s.Kinds[0].Queue, s.Kinds[0].ColdFor = 100, 1000*time.Hour
		b := newBench(t, s, true)
		b.send(100 * ms)
		b.until(tt.gap)
		for range 25 {
			b.send(100 * ms)
		}
		if b.v.Overloaded() != tt.fell {
			t.Errorf("after %v: overloaded %v", tt.gap, b.v.Overloaded())
		}
	}
	// A warm server is slow, but is not overloaded.
	b := newBench(t, small(), false)
	for range 1000 {
		b.send(time.Second)
	}
	if b.v.Overloaded() {
		t.Error("a warm server was overloaded")
	}
}

// Rejected work counts for the overload too, and an overloaded server has no further effects.
func TestRejectedWorkCountsForOverload(t *testing.T) {
	s := small()
	s.Kinds[0].ColdFor = 1000 * time.Hour
	b := newBench(t, s, true)
	for range 26 {
		b.send(100 * ms)
	}
	if !b.v.Overloaded() {
		t.Error("five requests are held, the others were rejected, and the server was not overloaded")
	}
	b.seen = nil
	b.send(ms)
	b.until(time.Hour)
	b.want()
}

func TestKeysAreDroppedByGroupAndWindow(t *testing.T) {
	s := small()
	job := func(class int) Job { return Job{ID: "x", Class: class, Key: "k"} }
	for _, tt := range []struct {
		name  string
		class int
		other int // index of the server
		after time.Duration
		drop  bool
	}{
		{"safe", 0, 0, ms, false},
		{"all, elsewhere", 1, 3, 1499 * ms, true},
		{"all, 1 ms before the window's end", 1, 0, 1499 * ms, true},
		{"all, at its end", 1, 0, 1500 * ms, false},
		{"all, 1 ms after it", 1, 0, 1501 * ms, false},
		{"pod, a mate", 2, 1, 11999 * ms, true},
		{"pod, a mate, too late", 2, 1, 12001 * ms, false},
		{"pod, another", 2, 2, ms, false},
	} {
		k := NewKeys(s.Classes)
		k.Seen(0, s.Servers[0], &s.Classes[tt.class], job(tt.class))
		if got := k.Seen(tt.after, s.Servers[tt.other], &s.Classes[tt.class], job(tt.class)); got != tt.drop {
			t.Errorf("%s: dropped %v, want %v", tt.name, got, tt.drop)
		}
	}
	k := NewKeys(s.Classes)
	for i := range 100000 {
		j := job(1)
		j.Key = fmt.Sprint(i)
		k.Seen(time.Duration(i)*10*ms, s.Servers[0], &s.Classes[1], j)
	}
	if len(k.seen) > 3000 {
		t.Errorf("%d keys are still stored", len(k.seen))
	}
}

func TestLoadReportsAreLate(t *testing.T) {
	s := small()
	s.Kinds[0].Queue = 100
	s.Report = ReportSpec{Answers: true, Every: 200 * ms}
	b := newBench(t, s, false)
	queue := func() float64 { return b.v.load(b.now).Queue }
	queue()
	for range 12 {
		b.send(10 * time.Second)
	}
	b.until(100 * ms)
	if q := queue(); q != 0 {
		t.Errorf("a new queue of %v shows in the report at once", q)
	}
	b.until(450 * ms)
	queue()
	b.until(700 * ms)
	if q := queue(); q != 10 {
		t.Errorf("a late report shows %v waiting, want 10", q)
	}
}
