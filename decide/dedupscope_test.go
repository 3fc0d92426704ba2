package decide_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A keyed request that may have run may be repeated only at backends that were in its deduplication scope when it was
// sent, even if the list has changed since. Backends that joined the scope later may not have received its key, and
// would execute it a second time. The current list entry of a backend may differ from that at the time of the attempt.
func TestDedupScopeIsThatOfTheFirstAttempt(t *testing.T) {
	zone := func(n int) func(*decide.Backend) { return func(b *decide.Backend) { b.Zone = n } }
	cell := func(n int) func(*decide.Backend) { return func(b *decide.Backend) { b.Cell = n } }
	gone := func(b *decide.Backend) { b.State = decide.Removed }
	type change struct {
		name string // an ID, or "first": the backend of the first attempt, or "other": the other backend of its scope
		edit func(*decide.Backend)
	}
	// There are four backends: a and b are in zone 0 and cell 0, c and d are in zone 1 and cell 1. In each test the
	// first attempt goes to a or b.
	tests := []struct {
		name   string
		class  int
		before []change // listed before the first attempt
		moves  []change // listed one after the other between the first attempt and its reset
		want   []string // backends that may get the repeat; empty: the request must fail
	}{
		{"no backend moves", keyedCell, nil, nil, []string{"other"}},
		{"no backend moves, zones", keyedZone, nil, nil, []string{"other"}},
		{"the first backend moves", keyedCell, nil, []change{{"first", cell(1)}}, []string{"other"}},
		{"the first backend moves, zones", keyedZone, nil, []change{{"first", zone(1)}}, []string{"other"}},
		{"the other backend of the scope moves away", keyedCell, nil, []change{{"other", cell(1)}}, nil},
		{"the other backend of the scope moves away, zones", keyedZone, nil, []change{{"other", zone(1)}}, nil},
		{"the other backend moves away and back", keyedCell, nil, []change{{"other", cell(1)}, {"other", cell(0)}}, nil},
		{"the other backend moves away and back, zones", keyedZone, nil, []change{{"other", zone(1)}, {"other", zone(0)}}, nil},
		{"others move in", keyedCell, nil, []change{{"other", cell(1)}, {"c", cell(0)}, {"d", cell(0)}}, nil},
		{"others move in, zones", keyedZone, nil, []change{{"other", zone(1)}, {"c", zone(0)}, {"d", zone(0)}}, nil},
		{"the two scopes swap backends", keyedCell, nil,
			[]change{{"first", cell(1)}, {"other", cell(1)}, {"c", cell(0)}, {"d", cell(0)}}, nil},
		{"a backend is removed and comes back in the scope", keyedCell, nil,
			[]change{{"other", gone}, {"c", gone}, {"c", cell(0)}}, nil},
		{"a move before the attempt counts", keyedCell, []change{{"c", cell(0)}}, nil, []string{"other", "c"}},
		{"others are in another zone that the settings do not have", keyedZone,
			[]change{{"a", zone(-5)}, {"b", zone(-5)}, {"c", zone(-6)}, {"d", zone(-6)}}, nil, []string{"other"}},
		{"a change of zone does not affect the cell", keyedCell, nil, []change{{"other", zone(3)}}, []string{"other"}},
		{"a change of cell does not affect the zone", keyedZone, nil, []change{{"other", cell(3)}}, []string{"other"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 50; seed++ {
				s := testSettings()
				for i := range s.Classes {
					s.Classes[i].DedupWindow = 12 * time.Second
				}
				list := testBackends(4)
				h := newHarness(t, s, seed, list)
				apply := func(c change, name string) {
					for _, n := range list {
						if n.ID == name {
							i := slices.IndexFunc(list, func(b decide.Backend) bool { return b.ID == name })
							was := list[i].State
							c.edit(&list[i])
							if was == decide.Removed {
								list[i].State = decide.Up
							}
							h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{list[i]}})
						}
					}
				}
				for _, c := range tt.before {
					apply(c, c.name)
				}
				h.request("q", tt.class)
				first := h.sent["q"][0]
				if first == "c" || first == "d" {
					continue // the test cases require that the first attempt goes to a or b
				}
				name := map[string]string{"first": first, "other": map[string]string{"a": "b", "b": "a"}[first], "c": "c", "d": "d"}
				for _, c := range tt.moves {
					apply(c, name[c.name]) // the clock has not moved since the attempt, so that only the order of events counts
				}
				h.now += 10 * ms
				actions := h.outcome("q", decide.Reset, 10*ms)
				actions = append(actions, h.advance(1500*ms)...)
				var want []string
				for _, w := range tt.want {
					want = append(want, name[w])
				}
				for _, b := range h.sent["q"][1:] {
					if !slices.Contains(want, b) {
						t.Fatalf("seed %d: first attempt sent to %s, repeat sent to %s", seed, first, b)
					}
				}
				if len(want) > 0 && len(h.sent["q"]) < 2 {
					t.Fatalf("seed %d: not retried, although %v may get the repeat", seed, want)
				}
				if len(want) == 0 && finalAnswer("q", actions) != "fail" {
					t.Fatalf("seed %d: ended with %q, want a failure", seed, finalAnswer("q", actions))
				}
			}
		})
	}
}

// Backends whose cells or zones are unknown are not known to share one: a keyed request that may have run at one of them
// must not be repeated at another, which may be in another cell and execute it a second time. Only the same process may
// get the repeat, and it must get it although other backends are up.
func TestRepeatStaysWithTheProcessIfTheScopeIsUnknown(t *testing.T) {
	unknown := func(b *decide.Backend) { b.Zone, b.Cell = decide.Unknown, decide.Unknown }
	known := func(n int) func(*decide.Backend) { return func(b *decide.Backend) { b.Zone, b.Cell = n, n } }
	moved := func(b *decide.Backend) { b.Addr = "10.0.0.9:1" }
	restarted := func(b *decide.Backend) { b.Started = time.Second }
	all := []string{"a", "b", "c", "d"}
	tests := []struct {
		name    string
		unknown []string // backends that are listed without zone and cell
		change  func(*decide.Backend)
		changes string // the backend that changes between the first attempt and its reset, or "first"
		want    string // the backend that gets the repeat: "first", or "other" of the first one's cell; empty: the request must fail
	}{
		{"all are unknown", all, nil, "", "first"},
		{"the others are known", []string{"a", "b"}, nil, "", "first"},
		{"the first is known", []string{"c", "d"}, nil, "", "other"},
		{"the cell of the first becomes known", all, known(0), "first", ""},
		{"the cell of another becomes known", all, known(0), "d", "first"},
		{"the first gets another address", all, moved, "first", ""},
		{"another gets another address", all, moved, "d", "first"},
		{"the process of the first is replaced", all, restarted, "first", ""},
	}
	for _, tt := range tests {
		for _, class := range []int{keyedCell, keyedZone} {
			t.Run(fmt.Sprint(tt.name, ", class ", class), func(t *testing.T) {
				for seed := uint64(1); seed <= 50; seed++ {
					s := testSettings()
					s.Classes[class].DedupWindow = 12 * time.Second
					list := testBackends(4)
					for i := range list {
						if slices.Contains(tt.unknown, list[i].ID) {
							unknown(&list[i])
						}
					}
					h := newHarness(t, s, seed, list)
					h.request("q", class)
					first := h.sent["q"][0]
					if first != "a" && first != "b" {
						continue // the test cases require that the first attempt goes to a or b
					}
					if tt.change != nil {
						changes := strings.Replace(tt.changes, "first", first, 1)
						i := slices.IndexFunc(list, func(b decide.Backend) bool { return b.ID == changes })
						tt.change(&list[i])
						h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{list[i]}})
					}
					h.now += 10 * ms
					actions := h.outcome("q", decide.Reset, 10*ms)
					actions = append(actions, h.advance(1500*ms)...)
					want := map[string][]string{"": nil, "first": {first}, "other": {map[string]string{"a": "b", "b": "a"}[first]}}[tt.want]
					if got := h.sent["q"][1:]; !slices.Equal(got, want) {
						t.Fatalf("seed %d: first attempt sent to %s, repeats to %v, want %v", seed, first, got, want)
					}
					if tt.want == "" && finalAnswer("q", actions) != "fail" {
						t.Fatalf("seed %d: ended with %q, want a failure", seed, finalAnswer("q", actions))
					}
				}
			})
		}
	}
}

// If the only backend that may get a repeat is lost while the repeat waits, the request must fail at once. No other
// backend may get it, so its client would wait for nothing.
func TestRepeatWhoseOnlyBackendIsLostFailsAtOnce(t *testing.T) {
	for name, change := range map[string]func(*decide.Backend){
		"its cell becomes known": func(b *decide.Backend) { b.Cell = 1 },
		"it drains":              func(b *decide.Backend) { b.State = decide.Draining },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 20; seed++ {
				s := testSettings()
				s.Classes[keyedCell].DedupWindow = 12 * time.Second
				list := testBackends(4)
				for i := range list {
					list[i].Cell = decide.Unknown
				}
				h := newHarness(t, s, seed, list)
				h.request("q", keyedCell)
				i := slices.IndexFunc(list, func(b decide.Backend) bool { return b.ID == h.sent["q"][0] })
				h.now += 10 * ms
				h.outcome("q", decide.Reset, 10*ms)
				change(&list[i])
				actions := h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{list[i]}})
				const longestBackoff = 100 * ms
				actions = append(actions, h.advance(longestBackoff)...)
				if len(h.sent["q"]) == 1 && finalAnswer("q", actions) != "fail" {
					t.Fatalf("seed %d: ended with %q within %v, want a failure", seed, finalAnswer("q", actions), longestBackoff)
				}
			}
		})
	}
}

// A request that is bound to a backend from its arrival, and waits while that backend drains for a moment, must still be
// sent when the backend is up again.
func TestBoundRequestOutlastsAShortDrain(t *testing.T) {
	list := testBackends(4)
	h := newHarness(t, testSettings(), 1, list)
	set := func(state decide.BackendState) {
		list[0].State = state
		h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{list[0]}})
	}
	h.step(decide.Request{ID: "q", Class: idempotent, Remaining: 2 * time.Second, OnlyBackend: "a"})
	h.outcome("q", decide.Rejected, ms)
	set(decide.Draining)
	h.advance(50 * ms)
	set(decide.Up)
	h.advance(300 * ms)
	if got := h.sent["q"]; !slices.Equal(got, []string{"a", "a"}) {
		t.Errorf("sent to %v, want two attempts at a", got)
	}
}

// An outcome belongs to the process that the attempt was sent to. After the list has reported a new start, failures
// of earlier attempts must not count against the new process. Their answers must not make it count as warm either; this
// test does not check that.
func TestOutcomesOfAnEndedProcessDoNotCountForTheNext(t *testing.T) {
	restart := func(h *harness) {
		h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", Started: h.now}}})
	}
	play := func(res decide.Result, before bool) int {
		s := testSettings()
		s.SlowStartTime = 0 // without slow start, which would limit the requests too
		h := newHarness(t, s, 1, testBackends(1))
		for _, id := range []string{"p1", "p2", "p3"} {
			h.request(id, idempotent)
		}
		h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "b"}, {ID: "c"}}})
		fail := func() {
			for _, id := range []string{"p1", "p2", "p3"} {
				h.step(decide.Outcome{Request: id, Backend: "a", Result: res, Latency: ms})
				h.step(decide.RequestCancelled{Request: id})
			}
		}
		h.now += ms
		if before {
			fail()
			h.now += ms
			restart(h)
		} else {
			restart(h)
			h.now += ms
			fail()
		}
		return h.serve(60, idempotent, 2*ms)["a"]
	}
	for _, res := range []decide.Result{decide.Reset, decide.ConnectFailed, decide.Errored} {
		if n := play(res, false); n < 10 {
			t.Errorf("%d: after a new start the backend got %d of 60, penalised for failures of its last process", res, n)
		}
		if n := play(res, true); n < 10 {
			t.Errorf("%d: a new start did not clear the recorded failures: %d of 60", res, n)
		}
	}
}
