package checker

import (
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
)

const ms = time.Millisecond

// Classes of these tests, by position.
const (
	fetch = iota
	submit
	closing
	once
	zoned
)

func config() Config {
	class := func(e decide.Effect, g decide.DedupScope, w time.Duration) decide.Class {
		return decide.Class{Objective: time.Second, Deadline: 3 * time.Second, Value: 1, Effect: e, Scope: g, DedupWindow: w}
	}
	return Config{Names: []string{"fetch", "submit", "close", "once", "zoned"}, DrainGrace: 2 * time.Second, AnswerSlack: 20 * ms,
		MaxAttempts: 3, Classes: []decide.Class{class(decide.Idempotent, 0, 0), class(decide.Keyed, decide.ScopeAll, 1500*ms),
			class(decide.Keyed, decide.ScopeCell, 12*time.Second), class(decide.NonIdempotent, 0, 0),
			class(decide.Keyed, decide.ScopeZone, 12*time.Second)}}
}

// play is a story about one request "q" of agent 0, told in order.
type play struct {
	j   *Judge
	now time.Duration
}

type deed func(p *play)

func after(d time.Duration) deed { return func(p *play) { p.now += d } }
func sent(server string) deed    { return func(p *play) { p.j.Arrived(p.now, p.now, 0, "q", server) } }
func slow(server string, way time.Duration) deed {
	return func(p *play) { p.j.Arrived(p.now+way, p.now, 0, "q", server) }
}
func full(server string) deed { return func(p *play) { p.j.TurnedAway(p.now, "q", server) } }
func ran(server string) deed  { return func(p *play) { p.j.Ran(p.now, "q", server) } }
func answer(k Kind) deed      { return func(p *play) { p.j.Answered(p.now, 0, "q", k) } }
func left(p *play)            { p.j.GaveUp(p.now, "q") }
func killed(p *play)          { p.j.Stopped(p.now, 0) }
func lost(p *play)            { p.j.Lost(p.now, 0, "q") }
func say(server string, state decide.BackendState, pod int) deed {
	return func(p *play) { p.j.Told(p.now, 0, server, state, pod, pod, 0) }
}
func missing(p *play) {
	p.j.Missing(p.now, 0, func(server string) bool { return server != "a" })
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		class int
		deeds []deed
		rule  int // 0: none is broken
		want  string
	}{
		{"served", once, []deed{sent("a"), after(100 * ms), ran("a"), answer(Served)}, 0, ""},
		{"refused at once", once, []deed{answer(Refused)}, 0, ""},
		{"failed after an error", once, []deed{sent("a"), after(ms), answer(Failed)}, 0, ""},
		{"refused after being turned away", once, []deed{sent("a"), after(ms), full("a"), answer(Refused)}, 0, ""},
		{"safe refused though it may have run", fetch, []deed{sent("a"), after(ms), answer(Refused)}, 0, ""},
		{"submit refused though it may have run", submit, []deed{sent("a"), after(ms), answer(Refused)}, 0, ""},
		{"no answer", fetch, []deed{sent("a")}, 1, "never got a final answer"},
		{"no answer, and the client left", fetch, []deed{sent("a"), left}, 0, ""},
		{"no answer, and the agent was killed", fetch, []deed{sent("a"), killed}, 0, ""},
		{"a connection that just ends", fetch, []deed{sent("a"), lost}, 1, "lost"},
		{"two answers", fetch, []deed{sent("a"), answer(Failed), after(ms), answer(Failed)}, 1, "a second time"},
		{"in the slack", fetch, []deed{after(3020 * ms), answer(Failed)}, 0, ""},
		{"after the slack", fetch, []deed{after(3020*ms + 1), answer(Failed)}, 1, "after its client's time"},
		{"sent after the answer", fetch, []deed{answer(Refused), after(ms), sent("a")}, 1, "after its final answer"},
		{"under way at the answer", fetch, []deed{slow("a", 50*ms), answer(Failed)}, 0, ""},
		{"served by nobody", fetch, []deed{answer(Served)}, 1, "no server has run it"},
		{"served by one that turned it away", fetch, []deed{sent("a"), full("a"), answer(Served)}, 1, "no server has run it"},
		{"an unknown request", fetch, []deed{func(p *play) { p.j.Arrived(p.now, p.now, 0, "zz", "a") }, answer(Failed)}, 1, "no open or recent"},
		{"an unknown answer", fetch, []deed{func(p *play) { p.j.Answered(p.now, 0, "zz", Failed) }, answer(Failed)}, 1, "no open or recent"},

		{"unsafe again after being turned away", once, []deed{sent("a"), after(ms), full("a"), after(ms), sent("b"), answer(Failed)}, 0, ""},
		{"unsafe again", once, []deed{sent("a"), after(ms), sent("b"), answer(Failed)}, 2, "unsafe to repeat"},
		{"unsafe refused", once, []deed{sent("a"), after(ms), answer(Refused)}, 2, "was refused"},
		{"close refused", closing, []deed{sent("a"), after(ms), answer(Refused)}, 2, "was refused"},
		{"safe again anywhere", fetch, []deed{sent("a"), after(ms), sent("c"), answer(Failed)}, 0, ""},
		{"submit again anywhere", submit, []deed{sent("a"), after(1499 * ms), sent("c"), answer(Failed)}, 0, ""},
		{"submit at its window", submit, []deed{sent("a"), after(1500 * ms), sent("c"), answer(Failed)}, 0, ""},
		{"submit 1 ms past its window", submit, []deed{sent("a"), after(1501 * ms), sent("c"), answer(Failed)}, 2, "past the window"},
		{"submit that arrives past its window", submit, []deed{sent("a"), after(1490 * ms), slow("c", 20*ms), answer(Failed)}, 2, "past the window"},
		{"close in its pod", closing, []deed{sent("a"), after(ms), sent("b"), answer(Failed)}, 0, ""},
		{"close in another pod", closing, []deed{sent("a"), after(ms), sent("c"), answer(Failed)}, 2, "from pod 1 to pod 2"},
		{"in another zone", zoned, []deed{sent("a"), after(ms), sent("c"), answer(Failed)}, 2, "from zone 1 to zone 2"},
		{"close to one that moved in", closing, []deed{sent("a"), after(ms), say("c", decide.Up, 1), after(ms), sent("c"), answer(Failed)},
			2, "does not drop its repeat"},
		{"close, the first one moved", closing, []deed{sent("a"), after(ms), say("a", decide.Up, 2), after(ms), sent("b"), answer(Failed)}, 0, ""},
		{"close after the one that moved", closing, []deed{sent("a"), after(ms), say("a", decide.Up, 2), after(ms), sent("c"), answer(Failed)},
			2, "from pod 1 to pod 2"},
		{"a fourth attempt", fetch, []deed{sent("a"), sent("b"), sent("a"), after(ms), sent("b"), answer(Failed)}, 2, "attempt 4 of at most 3"},

		{"1.9 s after it was told to drain", fetch, []deed{say("a", decide.Draining, 1), after(1900 * ms), sent("a"), answer(Failed)}, 0, ""},
		{"2.1 s after it was told to drain", fetch, []deed{say("a", decide.Draining, 1), after(2100 * ms), sent("a"), answer(Failed)}, 3, "told that it drains"},
		{"2.1 s after it was told to be gone", fetch, []deed{say("a", decide.Removed, 1), after(2100 * ms), sent("a"), answer(Failed)}, 3, "told that it is gone"},
		{"2.1 s after a list without it", fetch, []deed{missing, after(2100 * ms), sent("a"), answer(Failed)}, 3, "told that it is gone"},
		{"draining, then gone: the first counts", fetch, []deed{say("a", decide.Draining, 1), after(1900 * ms), say("a", decide.Removed, 1),
			after(200 * ms), sent("a"), answer(Failed)}, 3, "2.1s after"},
		{"it came back", fetch, []deed{say("a", decide.Removed, 1), after(time.Second), say("a", decide.Up, 1), after(2 * time.Second), sent("a"),
			answer(Failed)}, 0, ""},
		{"never told of", fetch, []deed{sent("x"), answer(Failed)}, 3, "never told of"},
		{"cold, by agents that knew", fetch, []deed{func(p *play) { p.j.Fell(p.now, "a", 0.67) }, answer(Failed)}, 4, "pushed over"},
		{"cold, by agents that did not", fetch, []deed{func(p *play) { p.j.Fell(p.now, "a", 0.66) }, answer(Failed)}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &play{j: New(config()), now: time.Minute}
			for _, s := range []string{"a", "b"} {
				say(s, decide.Up, 1)(p)
			}
			say("c", decide.Up, 2)(p)
			p.now += time.Second
			p.j.Took(p.now, 0, "q", tt.class, p.now+3*time.Second)
			for _, d := range tt.deeds {
				d(p)
			}
			p.j.End(p.now + time.Minute)
			got := p.j.Breaches()
			switch {
			case tt.rule == 0 && len(got) > 0:
				t.Fatalf("an honest one is blamed: %v", got)
			case tt.rule > 0 && (len(got) != 1 || got[0].Rule != tt.rule || !strings.Contains(got[0].String(), tt.want)):
				t.Fatalf("%v, want rule %d with %q", got, tt.rule, tt.want)
			}
		})
	}
}

// A doubled effect is noted whoever is to blame, and apart where the sends kept the rules.
func TestDoubledEffects(t *testing.T) {
	for _, tt := range []struct {
		second  string
		blamed  int
		ran     []string
		doubled int
		free    int
	}{
		{"b", 0, []string{"a"}, 0, 0},
		{"b", 0, []string{"a", "b"}, 1, 1}, // it should have been dropped: not the agent's doing
		{"c", 1, []string{"a", "c"}, 1, 0},
		{"b", 0, []string{"a", "a"}, 0, 0}, // told twice
	} {
		p := &play{j: New(config()), now: time.Minute}
		for _, s := range []string{"a", "b"} {
			say(s, decide.Up, 1)(p)
		}
		say("c", decide.Up, 2)(p)
		p.now += time.Second
		p.j.Took(p.now, 0, "q", closing, p.now+3*time.Second)
		sent("a")(p)
		sent(tt.second)(p)
		for _, s := range tt.ran {
			ran(s)(p)
		}
		n, free := p.j.Doubled()
		if n != tt.doubled || len(free) != tt.free || p.j.Total() != tt.blamed {
			t.Errorf("%+v: %d doubled, %d of them nobody's, %d breaches", tt, n, len(free), p.j.Total())
		}
	}
}

// What nothing can follow is forgotten: a judge's memory is that of the requests of its span.
func TestForgets(t *testing.T) {
	j := New(config())
	now := time.Duration(0)
	for i := range 20000 {
		now += 10 * ms
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		j.Took(now, 0, id, fetch, now+3*time.Second)
		j.Answered(now, 0, id, Refused)
	}
	if n := len(j.requests); n > 3000 {
		t.Errorf("%d requests are kept", n)
	}
	if j.Total() > 0 {
		t.Error(j.Breaches())
	}
}
