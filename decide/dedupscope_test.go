package decide_test

import (
	"slices"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A keyed request that may have run goes again only to backends that were in its group when it was
// sent, whatever the list says since: those that came later may not know its key, and would do its
// work a second time. Today's record of a backend may not be that of the attempt.
func TestDedupScopeIsThatOfTheFirstAttempt(t *testing.T) {
	zone := func(n int) func(*decide.Backend) { return func(b *decide.Backend) { b.Zone = n } }
	cell := func(n int) func(*decide.Backend) { return func(b *decide.Backend) { b.Cell = n } }
	gone := func(b *decide.Backend) { b.State = decide.Removed }
	type change struct {
		who  string // "first": the backend of the first attempt; else one of the others by place
		what func(*decide.Backend)
	}
	// Four backends: the first attempt goes to one of a and b (group 0), c and d are in group 1.
	tests := []struct {
		name   string
		class  int
		before []change // told before the first attempt
		moves  []change // told one after the other between attempt and reset
		want   []string // where the repeat may go; none: it must be failed
	}{
		{"nothing moves", keyedCell, nil, nil, []string{"mate"}},
		{"nothing moves, zones", keyedZone, nil, nil, []string{"mate"}},
		{"the first one moves", keyedCell, nil, []change{{"first", cell(1)}}, []string{"mate"}},
		{"the first one moves, zones", keyedZone, nil, []change{{"first", zone(1)}}, []string{"mate"}},
		{"the group's other one moves away", keyedCell, nil, []change{{"mate", cell(1)}}, nil},
		{"the group's other one moves away, zones", keyedZone, nil, []change{{"mate", zone(1)}}, nil},
		{"it moves away and back", keyedCell, nil, []change{{"mate", cell(1)}, {"mate", cell(0)}}, nil},
		{"it moves away and back, zones", keyedZone, nil, []change{{"mate", zone(1)}, {"mate", zone(0)}}, nil},
		{"others move in", keyedCell, nil, []change{{"mate", cell(1)}, {"c", cell(0)}, {"d", cell(0)}}, nil},
		{"others move in, zones", keyedZone, nil, []change{{"mate", zone(1)}, {"c", zone(0)}, {"d", zone(0)}}, nil},
		{"the two groups swap", keyedCell, nil,
			[]change{{"first", cell(1)}, {"mate", cell(1)}, {"c", cell(0)}, {"d", cell(0)}}, nil},
		{"one is taken off and comes back in the group", keyedCell, nil,
			[]change{{"mate", gone}, {"c", gone}, {"c", cell(0)}}, nil},
		{"a move before the attempt counts", keyedCell, []change{{"c", cell(0)}}, nil, []string{"mate", "c"}},
		{"a zone says nothing of a cell", keyedCell, nil, []change{{"mate", zone(3)}}, []string{"mate"}},
		{"a cell says nothing of a zone", keyedZone, nil, []change{{"mate", cell(3)}}, []string{"mate"}},
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
				apply := func(c change, who string) {
					for _, n := range list {
						if n.ID == who {
							i := slices.IndexFunc(list, func(b decide.Backend) bool { return b.ID == who })
							was := list[i].State
							c.what(&list[i])
							if was == decide.Removed {
								list[i].State = decide.Up
							}
							h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{list[i]}})
						}
					}
				}
				for _, c := range tt.before {
					apply(c, c.who)
				}
				h.request("q", tt.class)
				first := h.sent["q"][0]
				if first == "c" || first == "d" {
					continue // the table is written for the other group
				}
				who := map[string]string{"first": first, "mate": map[string]string{"a": "b", "b": "a"}[first], "c": "c", "d": "d"}
				for _, c := range tt.moves {
					apply(c, who[c.who]) // at the instant of the attempt: order alone tells them apart
				}
				h.now += 10 * ms
				actions := h.outcome("q", decide.Reset, 10*ms)
				actions = append(actions, h.advance(1500*ms)...)
				var want []string
				for _, w := range tt.want {
					want = append(want, who[w])
				}
				for _, b := range h.sent["q"][1:] {
					if !slices.Contains(want, b) {
						t.Fatalf("seed %d: first to %s, then to %s", seed, first, b)
					}
				}
				if len(want) > 0 && len(h.sent["q"]) < 2 {
					t.Fatalf("seed %d: not tried again, though %v may have it", seed, want)
				}
				if len(want) == 0 && finalAnswer("q", actions) != "fail" {
					t.Fatalf("seed %d: ended with %q, want a failure", seed, finalAnswer("q", actions))
				}
			}
		})
	}
}

// What an attempt tells is of the process that it was sent to. After the list has told of a new
// start, its failures count against none and its answers make the new process neither known nor warm.
func TestOutcomesOfAnEndedProcessDoNotCountForTheNext(t *testing.T) {
	restart := func(h *harness) {
		h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", Started: h.now}}})
	}
	play := func(res decide.Result, before bool) int {
		s := testSettings()
		s.SlowStartTime = 0 // how a backend in slow start is spared is not the matter here
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
			t.Errorf("%d: after a new start the backend got %d of 60, struck by what its last process did", res, n)
		}
		if n := play(res, true); n < 10 {
			t.Errorf("%d: a new start did not clear what was known: %d of 60", res, n)
		}
	}
}
