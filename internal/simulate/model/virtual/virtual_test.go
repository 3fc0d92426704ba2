package virtual

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/scenario"
)

// base is a scenario of four servers in two pods, with spare capacity.
const base = `
title = "test"
length = "20s"
[agents]
count = 2
tick = "5ms"
[load]
rate = 30.0
[clients]
tries = 1
[list]
up = "500ms"
drain = "500ms"
silent = "6s"
[network]
zones = ["a", "b"]
within = "1ms"
across = "5ms"
[[kind]]
name = "k"
cores = 4
speed = 1.0
queue = 1000
cold_share = 0.31
cold_for = "8s"
[[class]]
name = "fetch"
share = 1.0
work = "40ms"
aim = "600ms"
deadline = "3s"
worth = 1.0
repeats = "safe"
[[class]]
name = "submit"
share = 1.0
work = "40ms"
aim = "600ms"
deadline = "2500ms"
worth = 5.0
repeats = "keyed"
group = "all"
window = "1500ms"
[[class]]
name = "close"
share = 1.0
work = "40ms"
aim = "600ms"
deadline = "2500ms"
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

func load(t testing.TB, text string) *model.Scenario {
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

func incident(lines ...string) string { return "\n[[incident]]\n" + strings.Join(lines, "\n") + "\n" }

func play(t testing.TB, s *model.Scenario, seed uint64, newPolicy func(decide.Settings, uint64) (Policy, error)) *Played {
	t.Helper()
	p, err := Play(Options{Scenario: s, Seed: seed, New: newPolicy})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func correct(s decide.Settings, seed uint64) (Policy, error) {
	return baseline.New("least-request", s, seed)
}

// faultyPolicy is a correct policy whose actions are altered.
type faultyPolicy struct {
	inner       Policy
	alter       func(b *faultyPolicy, now time.Duration, events []decide.Event, acts []decide.Action) []decide.Action
	s           decide.Settings
	class       map[string]int
	first       map[string]string // the server of each request's first attempt
	sentAt      map[string]time.Duration
	list        map[string]decide.Backend
	withdrawnAt map[string]time.Duration
	later       map[time.Duration][]decide.Action
	n           int
}

func newFaulty(alter func(b *faultyPolicy, now time.Duration, events []decide.Event, acts []decide.Action) []decide.Action) func(decide.Settings, uint64) (Policy, error) {
	return func(s decide.Settings, seed uint64) (Policy, error) {
		inner, err := correct(s, seed)
		return &faultyPolicy{inner: inner, alter: alter, s: s, class: map[string]int{}, first: map[string]string{},
			sentAt: map[string]time.Duration{}, list: map[string]decide.Backend{}, withdrawnAt: map[string]time.Duration{},
			later: map[time.Duration][]decide.Action{}}, err
	}
}

const wakeToken = 1 << 50

func (b *faultyPolicy) Step(now time.Duration, events []decide.Event) []decide.Action {
	for _, e := range events {
		switch e := e.(type) {
		case decide.Request:
			b.class[e.ID] = e.Class
		case decide.ListUpdate:
			for _, n := range e.Backends {
				if n.State != decide.Up && b.withdrawnAt[n.ID] == 0 {
					b.withdrawnAt[n.ID] = now
				}
				b.list[n.ID] = n
			}
		}
	}
	acts := b.alter(b, now, events, b.inner.Step(now, events))
	for at, more := range b.later {
		if at <= now {
			delete(b.later, at)
			acts = append(acts, more...)
		}
	}
	for _, a := range acts {
		if a, ok := a.(decide.Send); ok && b.first[a.Request] == "" {
			b.first[a.Request], b.sentAt[a.Request] = a.Backend, now
		}
	}
	return acts
}

// wait schedules actions for later.
func (b *faultyPolicy) wait(now, d time.Duration, acts ...decide.Action) decide.Action {
	b.n++
	b.later[now+d] = append(b.later[now+d], acts...)
	return decide.SetTimer{After: d, Token: wakeToken + int64(b.n)}
}

// The checker reports each faulty policy with the rule that it breaks, and no breach of correct policies
// in the same scenarios.
func TestFaultyPoliciesAreReported(t *testing.T) {
	resets := base + incident(`what = "resets"`, `at = "1s"`, `for = "15s"`, `share = 0.3`)
	drains := base + incident(`what = "drain"`, `at = "5s"`, `servers = ["s-2"]`)
	joins := base + incident(`what = "join"`, `at = "5s"`, `name = "new"`, `kind = "k"`, `pod = 3`)
	resend := func(class int, far bool, wait time.Duration) func(b *faultyPolicy, now time.Duration, events []decide.Event, acts []decide.Action) []decide.Action {
		return func(b *faultyPolicy, now time.Duration, events []decide.Event, acts []decide.Action) []decide.Action {
			for _, e := range events {
				o, ok := e.(decide.Outcome)
				if !ok || o.Result != decide.Reset || b.class[o.Request] != class || o.Attempt > 0 {
					continue
				}
				acts = slices.DeleteFunc(acts, func(a decide.Action) bool {
					s, send := a.(decide.Send)
					f, fail := a.(decide.Fail)
					return send && s.Request == o.Request || fail && f.Request == o.Request
				})
				for id, n := range b.list {
					if (n.Cell != b.list[b.first[o.Request]].Cell) == far && id != b.first[o.Request] {
						acts = append(acts, b.wait(now, wait, decide.Send{Request: o.Request, Backend: id}))
						break
					}
				}
			}
			return acts
		}
	}
	toDrained := func(after time.Duration) func(b *faultyPolicy, now time.Duration, events []decide.Event, acts []decide.Action) []decide.Action {
		return func(b *faultyPolicy, now time.Duration, events []decide.Event, acts []decide.Action) []decide.Action {
			for i, a := range acts {
				if s, ok := a.(decide.Send); ok && b.withdrawnAt["s-2"] > 0 && now-b.withdrawnAt["s-2"] >= after-100*time.Millisecond && now-b.withdrawnAt["s-2"] <= after {
					acts[i] = decide.Send{Request: s.Request, Backend: "s-2"}
				}
			}
			return acts
		}
	}
	tests := []struct {
		name, scenarioText string
		make               func(decide.Settings, uint64) (Policy, error)
		rule               int // 0: no rule is broken
		want               string
	}{
		{"correct, resets", resets, correct, 0, ""},
		{"correct, drains", drains, correct, 0, ""},
		{"decide, resets", resets, Decide, 0, ""},
		{"decide, drains", drains, Decide, 0, ""},
		{"decide, joins", joins, Decide, 0, ""},
		{"loses an answer", base, newFaulty(func(b *faultyPolicy, _ time.Duration, _ []decide.Event, acts []decide.Action) []decide.Action {
			return slices.DeleteFunc(acts, func(a decide.Action) bool {
				_, send := a.(decide.Send)
				b.n++
				return send && b.n%50 == 0
			})
		}), 1, "never got a final answer"},
		{"answers twice", resets, newFaulty(func(_ *faultyPolicy, _ time.Duration, _ []decide.Event, acts []decide.Action) []decide.Action {
			for _, a := range acts {
				if f, ok := a.(decide.Fail); ok {
					acts = append(acts, f)
				}
			}
			return acts
		}), 1, "a second time"},
		{"answers after serving", base, newFaulty(func(_ *faultyPolicy, _ time.Duration, events []decide.Event, acts []decide.Action) []decide.Action {
			for _, e := range events {
				if o, ok := e.(decide.Outcome); ok && o.Result == decide.OK {
					acts = append(acts, decide.Fail{Request: o.Request})
				}
			}
			return acts
		}), 1, "a second time"},
		{"resends a keyed request to another pod", resets, newFaulty(resend(2, true, 0)), 2, "which does not drop its repeat"},
		{"resends within the pod", resets, newFaulty(resend(2, false, 0)), 0, ""},
		{"resends after the window", resets, newFaulty(resend(1, false, 1600*time.Millisecond)), 2, "past the window"},
		{"resends within the window", resets, newFaulty(resend(1, true, 1300*time.Millisecond)), 0, ""},
		{"refuses what may have run", resets, newFaulty(func(b *faultyPolicy, _ time.Duration, _ []decide.Event, acts []decide.Action) []decide.Action {
			for i, a := range acts {
				if f, ok := a.(decide.Fail); ok && b.class[f.Request] == 2 {
					acts[i] = decide.Refuse{Request: f.Request}
				}
			}
			return acts
		}), 2, "was refused"},
		{"sends to a drained server after 2.1 s", drains, newFaulty(toDrained(2100 * time.Millisecond)), 3, "told that it drains"},
		{"sends to a drained server until 1.9 s", drains, newFaulty(toDrained(1900 * time.Millisecond)), 0, ""},
		{"floods a cold one", strings.Replace(joins, "rate = 30.0", "rate = 120.0", 1),
			newFaulty(func(b *faultyPolicy, _ time.Duration, _ []decide.Event, acts []decide.Action) []decide.Action {
				for i, a := range acts {
					if s, ok := a.(decide.Send); ok && b.list["new"].ID != "" {
						acts[i] = decide.Send{Request: s.Request, Backend: "new"}
					}
				}
				return acts
			}), 4, "overloaded while cold"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := load(t, tt.scenarioText)
			p := play(t, s, 3, tt.make)
			all := p.Judge.Breaches()
			if tt.rule == 0 {
				if len(all) > 0 {
					t.Fatalf("a correct policy is reported: %v", all[0])
				}
				return
			}
			if p.Judge.Count(tt.rule) == 0 || !slices.ContainsFunc(all, func(b checker.Breach) bool {
				return b.Rule == tt.rule && strings.Contains(b.Text, tt.want)
			}) {
				t.Fatalf("%d breaches, first %v; want rule %d with %q", len(all), all[:min(1, len(all))], tt.rule, tt.want)
			}
			for _, b := range all {
				if b.Rule != tt.rule {
					t.Errorf("another rule is reported too: %v", b)
					break
				}
			}
		})
	}
}

// The same seed gives the same result on any number of cores.
func TestSameSeedSameDay(t *testing.T) {
	scenarioText := base + incident(`what = "fast-errors"`, `at = "3s"`, `for = "5s"`, `servers = ["s-1"]`, `share = 0.5`) +
		incident(`what = "restart"`, `at = "6s"`, `servers = ["s-3"]`, `after = "1s"`) +
		incident(`what = "agents-restart"`, `at = "9s"`, `after = "500ms"`) +
		incident(`what = "zone-cut"`, `at = "12s"`, `for = "3s"`, `zones = ["a", "b"]`)
	described := func(seed uint64) string {
		p := play(t, load(t, scenarioText), seed, Decide)
		var text bytes.Buffer
		fmt.Fprintf(&text, "%+v %+v %v", p.Day.Total, p.Day.Windows, p.Judge.Breaches())
		for _, s := range p.Day.Servers {
			fmt.Fprintf(&text, "%+v", *s)
		}
		return text.String()
	}
	old := runtime.GOMAXPROCS(1)
	one := described(5)
	runtime.GOMAXPROCS(4)
	four := described(5)
	runtime.GOMAXPROCS(old)
	if one != four {
		t.Error("1 and 4 cores give different results")
	}
	if described(6) == one {
		t.Error("two seeds give the same result")
	}
}

// Different policies get the same arrivals, keys and work.
func TestPoliciesMeetTheSameArrivals(t *testing.T) {
	s := load(t, base)
	a, b := play(t, s, 1, Decide), play(t, s, 1, correct)
	if a.Day.Total.Offered != b.Day.Total.Offered || a.Day.Total.Asked != b.Day.Total.Asked {
		t.Errorf("%+v, %+v", a.Day.Total, b.Day.Total)
	}
}

// checkSums checks that the counts are consistent: each offered request has exactly one result.
func checkSums(t *testing.T, p *Played) {
	t.Helper()
	c := p.Day.Total
	if c.Offered == 0 || c.Offered != c.InTime+c.Late+c.Refused+c.Failed || c.Tries < c.Offered {
		t.Errorf("the counts are inconsistent: %+v", c)
	}
	if n := p.Judge.Total(); n > 0 {
		t.Errorf("%d rules broken, first %v", n, p.Judge.Breaches()[0])
	}
}

func TestHardScenarios(t *testing.T) {
	for _, tt := range []struct{ name, scenarioText string }{
		{"two incidents that overlap", base + incident(`what = "fast-errors"`, `at = "3s"`, `for = "8s"`, `servers = ["s-1"]`, `share = 0.9`) +
			incident(`what = "silent"`, `at = "5s"`, `for = "8s"`, `servers = ["s-1", "s-2"]`)},
		{"a server that dies while cold", base + incident(`what = "join"`, `at = "3s"`, `name = "new"`, `kind = "k"`, `pod = 1`) +
			incident(`what = "kill"`, `at = "5s"`, `servers = ["new"]`)},
		{"the list names a dead server whose address another has", base + incident(`what = "list-late"`, `at = "2s"`, `for = "15s"`, `by = "6s"`) +
			incident(`what = "replace"`, `at = "4s"`, `servers = ["s-1"]`, `after = "1s"`)},
		{"the last server leaves", base + incident(`what = "shrink"`, `at = "5s"`, `servers = ["s-1", "s-2", "s-3", "s-4"]`, `over = "4s"`, `drain_for = "3s"`)},
		{"all die at once and come back", base + incident(`what = "restart"`, `at = "5s"`, `servers = ["s-1", "s-2", "s-3", "s-4"]`, `after = "2s"`)},
		{"pods move", base + incident(`what = "resets"`, `at = "1s"`, `for = "18s"`, `share = 0.2`) +
			incident(`what = "move-pod"`, `at = "5s"`, `servers = ["s-1"]`, `pod = 2`) + incident(`what = "move-pod"`, `at = "5200ms"`, `servers = ["s-3"]`, `pod = 1`) +
			incident(`what = "move-pod"`, `at = "7s"`, `servers = ["s-1"]`, `pod = 1`)},
		{"the list is down while servers leave", base + incident(`what = "list-down"`, `at = "3s"`, `for = "10s"`) +
			incident(`what = "drain"`, `at = "4s"`, `servers = ["s-1"]`, `drain_for = "2s"`)},
		{"agents restart while a cold one joins", base + incident(`what = "join"`, `at = "5s"`, `name = "new"`, `kind = "k"`, `pod = 1`) +
			incident(`what = "agents-restart"`, `at = "5500ms"`, `after = "100ms"`)},
		{"clients retry through a cut", strings.Replace(base, "tries = 1", "tries = 4\npatience = 0.5\nwait = \"50ms\"", 1) +
			incident(`what = "zone-cut"`, `at = "5s"`, `for = "5s"`, `zones = ["a", "b"]`)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				checkSums(t, play(t, load(t, tt.scenarioText), seed, Decide))
			}
		})
	}
}

// A change of the script at the instant of an answer takes effect after the answer was sent.
func TestScriptComesAfterWhatIsDueAtItsInstant(t *testing.T) {
	one := strings.Replace(base, "count = 2\ntick", "count = 1\ntick", 1)
	one = one[:strings.LastIndex(one, "[[servers]]")]
	one = strings.Replace(one, "count = 2\n[[", "count = 1\n[[", 1)
	one = strings.TrimSuffix(one, "count = 2\n") + "count = 1\n"
	// Find the time of the first answer without the incident.
	s := load(t, one)
	w := model.NewWorld(s, 1)
	p := w.Procs[0]
	p.Step(0, model.Dial{Conn: 1})
	p.Step(0, model.Arrive{Conn: 1, Job: model.Job{ID: "q", Work: 40 * time.Millisecond, Draw: 0.5}})
	at := p.NextWake()
	r := w.Apply(at, model.Kill{Server: p.Name})
	if len(r.Died) != 1 || len(r.Effects) != 1 || !slices.ContainsFunc(r.Effects[0].Effects, func(e model.Effect) bool {
		return e.Kind == model.Replied && e.Result == decide.OK
	}) {
		t.Errorf("killed at the instant of its answer: %+v", r)
	}
	w = model.NewWorld(s, 1)
	p = w.Procs[0]
	p.Step(0, model.Dial{Conn: 1})
	p.Step(0, model.Arrive{Conn: 1, Job: model.Job{ID: "q", Work: 40 * time.Millisecond, Draw: 0.5}})
	if r := w.Apply(at-1, model.Kill{Server: p.Name}); len(r.Effects[0].Effects) > 0 {
		t.Errorf("killed just before its answer: %+v", r)
	}
}

// A request sent to a dead server reaches the server that has its address now.
func TestAddressOutlivesItsServer(t *testing.T) {
	scenarioText := base + incident(`what = "list-late"`, `at = "2s"`, `for = "15s"`, `by = "8s"`) +
		incident(`what = "replace"`, `at = "4s"`, `servers = ["s-1"]`, `after = "50ms"`)
	p := play(t, load(t, scenarioText), 1, correct)
	for _, s := range p.Day.Servers {
		if s.Name == "s-1-new" && s.Served > s.Attempts {
			return // it served requests that were sent to its predecessor
		}
	}
	t.Error("no request that was sent to s-1 reached the process at its address")
}

func TestCutShort(t *testing.T) {
	n := 0
	p, err := Play(Options{Scenario: load(t, base), Seed: 1, New: Decide, Stop: func() bool { n++; return n > 1 }})
	if err != nil || !p.CutShort || p.Day.Total.Offered == 0 || p.Day.Length >= 20*time.Second {
		t.Errorf("%v, %+v", err, p)
	}
}

func TestManyServersAndManyAgents(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	many := strings.Replace(base, "length = \"20s\"", "length = \"3s\"", 1)
	servers := strings.ReplaceAll(many, "count = 2\n[[", "count = 500\n[[")
	servers = strings.TrimSuffix(servers, "count = 2\n") + "count = 500\n"
	p := play(t, load(t, strings.Replace(servers, "rate = 30.0", "rate = 500.0", 1)), 1, Decide)
	if len(p.Day.Servers) != 1000 {
		t.Fatalf("%d servers", len(p.Day.Servers))
	}
	checkSums(t, p)
	agents := strings.Replace(many, "count = 2\ntick", "count = 500\ntick", 1)
	checkSums(t, play(t, load(t, strings.Replace(agents, "rate = 30.0", "rate = 200.0", 1)), 1, Decide))
}

// BenchmarkDay measures the cost of a request in virtual time. The cost and the memory don't grow with the length.
func BenchmarkDay(b *testing.B) {
	for _, length := range []string{"1m", "4m", "16m"} {
		b.Run(length, func(b *testing.B) {
			s := load(b, strings.Replace(strings.Replace(base, `"20s"`, `"`+length+`"`, 1), "rate = 30.0", "rate = 270.0", 1))
			requests := 0
			for b.Loop() {
				requests += play(b, s, 1, Decide).Day.Total.Offered
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
		})
	}
}

// A cold server joins while 200 agents restart, each reading a list that is seconds late; half of
// the agents are killed again when they receive its entry. The server is not overloaded, its queue
// stays bounded, and no rule is broken.
func TestHerd(t *testing.T) {
	s, err := scenario.Load("../../../../scenarios/herd.toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= 3; seed++ {
		p := play(t, s, seed, Decide)
		checkSums(t, p)
		for _, v := range p.Day.Servers {
			most := 0.0
			for _, q := range v.Queue {
				most = max(most, q)
			}
			if v.Name == "cold" && (v.Fell || v.Pressure > s.Rules.FallMultiple || most > 20 || v.Attempts == 0) {
				t.Errorf("seed %d: the cold server got %d attempts, at most %.2f times its capacity, and held %.1f; overloaded %v", seed,
					v.Attempts, v.Pressure, most, v.Fell)
			}
		}
		if g := p.Day.Total.Service(); g < 0.9 {
			t.Errorf("seed %d: service %.3f", seed, g)
		}
	}
}
