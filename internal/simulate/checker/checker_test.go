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

// history applies events about one request "q" of agent 0 in order.
type history struct {
	ch  *Checker
	now time.Duration
}

type step func(p *history)

func after(d time.Duration) step { return func(p *history) { p.now += d } }
func sent(server string) step    { return func(p *history) { p.ch.Arrived(p.now, p.now, 0, "q", server) } }
func slow(server string, way time.Duration) step {
	return func(p *history) { p.ch.Arrived(p.now+way, p.now, 0, "q", server) }
}
func full(server string) step { return func(p *history) { p.ch.TurnedAway(p.now, "q", server) } }
func ran(server string) step  { return func(p *history) { p.ch.Ran(p.now, "q", server) } }
func answer(k Kind) step      { return func(p *history) { p.ch.Answered(p.now, 0, "q", k) } }
func left(p *history)         { p.ch.ClientLeft(p.now, "q") }
func killed(p *history)       { p.ch.Stopped(p.now, 0) }
func lost(p *history)         { p.ch.ConnectionLost(p.now, 0, "q") }
func list(server string, state decide.BackendState, pod int) step {
	return func(p *history) { p.ch.Listed(p.now, 0, server, state, pod, pod, 0) }
}
func missing(p *history) {
	p.ch.Unlisted(p.now, 0, func(server string) bool { return server != "a" })
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		class int
		steps []step
		rule  int // 0: no rule is broken
		want  string
	}{
		{"served", once, []step{sent("a"), after(100 * ms), ran("a"), answer(Served)}, 0, ""},
		{"refused at once", once, []step{answer(Refused)}, 0, ""},
		{"failed after an error", once, []step{sent("a"), after(ms), answer(Failed)}, 0, ""},
		{"refused after being turned away", once, []step{sent("a"), after(ms), full("a"), answer(Refused)}, 0, ""},
		{"safe refused though it may have run", fetch, []step{sent("a"), after(ms), answer(Refused)}, 0, ""},
		{"submit refused though it may have run", submit, []step{sent("a"), after(ms), answer(Refused)}, 0, ""},
		{"no answer", fetch, []step{sent("a")}, 1, "never got a final answer"},
		{"no answer, and the client left", fetch, []step{sent("a"), left}, 0, ""},
		{"no answer, and the agent was killed", fetch, []step{sent("a"), killed}, 0, ""},
		{"a connection that just ends", fetch, []step{sent("a"), lost}, 1, "lost"},
		{"two answers", fetch, []step{sent("a"), answer(Failed), after(ms), answer(Failed)}, 1, "a second time"},
		{"in the slack", fetch, []step{after(3020 * ms), answer(Failed)}, 0, ""},
		{"after the slack", fetch, []step{after(3020*ms + 1), answer(Failed)}, 1, "after its client's deadline"},
		{"sent after the answer", fetch, []step{answer(Refused), after(ms), sent("a")}, 1, "after its final answer"},
		{"under way at the answer", fetch, []step{slow("a", 50*ms), answer(Failed)}, 0, ""},
		{"served by nobody", fetch, []step{answer(Served)}, 1, "no server has run it"},
		{"served by one that turned it away", fetch, []step{sent("a"), full("a"), answer(Served)}, 1, "no server has run it"},
		{"an unknown request", fetch, []step{func(p *history) { p.ch.Arrived(p.now, p.now, 0, "zz", "a") }, answer(Failed)}, 1, "no open or recent"},
		{"an unknown answer", fetch, []step{func(p *history) { p.ch.Answered(p.now, 0, "zz", Failed) }, answer(Failed)}, 1, "no open or recent"},

		{"unsafe again after being turned away", once, []step{sent("a"), after(ms), full("a"), after(ms), sent("b"), answer(Failed)}, 0, ""},
		{"unsafe again", once, []step{sent("a"), after(ms), sent("b"), answer(Failed)}, 2, "unsafe to repeat"},
		{"unsafe refused", once, []step{sent("a"), after(ms), answer(Refused)}, 2, "was refused"},
		{"close refused", closing, []step{sent("a"), after(ms), answer(Refused)}, 2, "was refused"},
		{"safe again anywhere", fetch, []step{sent("a"), after(ms), sent("c"), answer(Failed)}, 0, ""},
		{"submit again anywhere", submit, []step{sent("a"), after(1499 * ms), sent("c"), answer(Failed)}, 0, ""},
		{"submit at its window", submit, []step{sent("a"), after(1500 * ms), sent("c"), answer(Failed)}, 0, ""},
		{"submit 1 ms past its window", submit, []step{sent("a"), after(1501 * ms), sent("c"), answer(Failed)}, 2, "past the window"},
		{"submit that arrives past its window", submit, []step{sent("a"), after(1490 * ms), slow("c", 20*ms), answer(Failed)}, 2, "past the window"},
		{"close in its pod", closing, []step{sent("a"), after(ms), sent("b"), answer(Failed)}, 0, ""},
		{"close in another pod", closing, []step{sent("a"), after(ms), sent("c"), answer(Failed)}, 2, "from pod 1 to pod 2"},
		{"in another zone", zoned, []step{sent("a"), after(ms), sent("c"), answer(Failed)}, 2, "from zone 1 to zone 2"},
		{"close to one that moved in", closing, []step{sent("a"), after(ms), list("c", decide.Up, 1), after(ms), sent("c"), answer(Failed)},
			2, "does not drop its repeat"},
		{"close, the first one moved", closing, []step{sent("a"), after(ms), list("a", decide.Up, 2), after(ms), sent("b"), answer(Failed)}, 0, ""},
		{"close after the one that moved", closing, []step{sent("a"), after(ms), list("a", decide.Up, 2), after(ms), sent("c"), answer(Failed)},
			2, "from pod 1 to pod 2"},
		{"close of an unknown pod to another of an unknown pod", closing, []step{list("a", decide.Up, decide.Unknown),
			list("b", decide.Up, decide.Unknown), after(ms), sent("a"), after(ms), sent("b"), answer(Failed)}, 2, "not known to drop each other's repeats"},
		{"the same of zones", zoned, []step{list("a", decide.Up, decide.Unknown),
			list("b", decide.Up, decide.Unknown), after(ms), sent("a"), after(ms), sent("b"), answer(Failed)}, 2, "not known to drop each other's repeats"},
		{"close of an unknown pod to the same server", closing, []step{list("a", decide.Up, decide.Unknown), after(ms), sent("a"), after(ms),
			sent("a"), answer(Failed)}, 0, ""},
		{"a fourth attempt", fetch, []step{sent("a"), sent("b"), sent("a"), after(ms), sent("b"), answer(Failed)}, 2, "attempt 4 of at most 3"},

		{"1.9 s after it was told to drain", fetch, []step{list("a", decide.Draining, 1), after(1900 * ms), sent("a"), answer(Failed)}, 0, ""},
		{"2.1 s after it was told to drain", fetch, []step{list("a", decide.Draining, 1), after(2100 * ms), sent("a"), answer(Failed)}, 3, "told that it drains"},
		{"2.1 s after it was told to be gone", fetch, []step{list("a", decide.Removed, 1), after(2100 * ms), sent("a"), answer(Failed)}, 3, "told that it is gone"},
		{"2.1 s after a list without it", fetch, []step{missing, after(2100 * ms), sent("a"), answer(Failed)}, 3, "told that it is gone"},
		{"draining, then gone: the first counts", fetch, []step{list("a", decide.Draining, 1), after(1900 * ms), list("a", decide.Removed, 1),
			after(200 * ms), sent("a"), answer(Failed)}, 3, "2.1s after"},
		{"it came back", fetch, []step{list("a", decide.Removed, 1), after(time.Second), list("a", decide.Up, 1), after(2 * time.Second), sent("a"),
			answer(Failed)}, 0, ""},
		{"never told of", fetch, []step{sent("x"), answer(Failed)}, 3, "never told of"},
		{"cold, by agents that knew", fetch, []step{func(p *history) { p.ch.Overloaded(p.now, "a", 0.67) }, answer(Failed)}, 4, "overloaded while cold"},
		{"cold, by agents that did not", fetch, []step{func(p *history) { p.ch.Overloaded(p.now, "a", 0.66) }, answer(Failed)}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &history{ch: New(config()), now: time.Minute}
			for _, s := range []string{"a", "b"} {
				list(s, decide.Up, 1)(p)
			}
			list("c", decide.Up, 2)(p)
			p.now += time.Second
			p.ch.Took(p.now, 0, "q", tt.class, p.now+3*time.Second)
			for _, d := range tt.steps {
				d(p)
			}
			p.ch.End(p.now + time.Minute)
			got := p.ch.Breaches()
			switch {
			case tt.rule == 0 && len(got) > 0:
				t.Fatalf("a breach is reported though all rules were kept: %v", got)
			case tt.rule > 0 && (len(got) != 1 || got[0].Rule != tt.rule || !strings.Contains(got[0].String(), tt.want)):
				t.Fatalf("%v, want rule %d with %q", got, tt.rule, tt.want)
			}
		})
	}
}

// Doubled effects are always counted, and listed separately where the sends kept the rules.
func TestDoubledEffects(t *testing.T) {
	for _, tt := range []struct {
		second  string
		blamed  int
		ran     []string
		doubled int
		free    int
	}{
		{"b", 0, []string{"a"}, 0, 0},
		{"b", 0, []string{"a", "b"}, 1, 1}, // the server should have dropped it: the agent broke no rule
		{"c", 1, []string{"a", "c"}, 1, 0},
		{"b", 0, []string{"a", "a"}, 0, 0}, // one effect, recorded twice
	} {
		p := &history{ch: New(config()), now: time.Minute}
		for _, s := range []string{"a", "b"} {
			list(s, decide.Up, 1)(p)
		}
		list("c", decide.Up, 2)(p)
		p.now += time.Second
		p.ch.Took(p.now, 0, "q", closing, p.now+3*time.Second)
		sent("a")(p)
		sent(tt.second)(p)
		for _, s := range tt.ran {
			ran(s)(p)
		}
		n, free := p.ch.Doubled()
		if n != tt.doubled || len(free) != tt.free || p.ch.Total() != tt.blamed {
			t.Errorf("%+v: %d doubled, %d of them without an agent's fault, %d breaches", tt, n, len(free), p.ch.Total())
		}
	}
}

// Requests about which no more events can come are dropped, so memory stays bounded.
func TestForgets(t *testing.T) {
	ch := New(config())
	now := time.Duration(0)
	for i := range 20000 {
		now += 10 * ms
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		ch.Took(now, 0, id, fetch, now+3*time.Second)
		ch.Answered(now, 0, id, Refused)
	}
	if n := len(ch.requests); n > 3000 {
		t.Errorf("%d requests are kept", n)
	}
	if ch.Total() > 0 {
		t.Error(ch.Breaches())
	}
}
