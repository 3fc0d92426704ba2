package model

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// listBench steps a list and records its messages as text.
type listBench struct {
	l    *List
	now  time.Duration
	seen []string
}

func newListBench(spec ListSpec, agents int) *listBench {
	s := small()
	return &listBench{l: NewList(spec, s.Servers, agents, 1)}
}

func (b *listBench) step(e ListEvent) {
	for _, t := range b.l.Step(b.now, e) {
		text := fmt.Sprintf("%d to %d", t.At.Milliseconds(), t.Agent)
		switch {
		case t.Failed:
			text += " failed"
		case t.Full:
			text += fmt.Sprintf(" full v%d %d", t.Version, len(t.Entries))
		default:
			text += fmt.Sprintf(" v%d", t.Version)
			for _, e := range t.Entries {
				text += fmt.Sprintf(" %s:%s", e.Server.Name, [...]string{"up", "draining", "gone"}[e.State])
			}
		}
		b.seen = append(b.seen, text)
	}
}

func (b *listBench) until(at time.Duration) {
	for next := b.l.NextWake(); next > 0 && next <= at; next = b.l.NextWake() {
		b.now = max(b.now, next)
		b.step(Wake{})
	}
	b.now = max(b.now, at)
}

func (b *listBench) change(name string, state decide.BackendState, after time.Duration) {
	b.step(ServerChange{Entry: Entry{Server: ServerSpec{Name: name}, State: state}, After: after})
}

func (b *listBench) want(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(b.seen) != fmt.Sprint(want) {
		t.Errorf("%q\nwant %q", b.seen, want)
	}
}

func TestListDelayAndScriptedDelay(t *testing.T) {
	b := newListBench(ListSpec{}, 2)
	b.change("s-1", decide.Draining, 2*time.Second)
	b.until(time.Second)
	b.step(SetLate{By: 5 * time.Second})
	b.change("s-2", decide.Draining, 2*time.Second)
	b.until(7999 * ms)
	b.want(t, "7000 to 0 v2 s-1:draining", "7000 to 1 v2 s-1:draining")
	b.until(20 * time.Second)
	b.want(t, "7000 to 0 v2 s-1:draining", "7000 to 1 v2 s-1:draining", "8000 to 0 v3 s-2:draining", "8000 to 1 v3 s-2:draining")
	// When the delay ends, changes that are due are published at once.
	b.seen = nil
	b.change("s-3", decide.Removed, time.Second)
	b.until(23 * time.Second)
	b.step(SetLate{})
	if len(b.seen) != 2 {
		t.Errorf("%q", b.seen)
	}
}

func TestListPublishesChangesOfOneServerInOrder(t *testing.T) {
	b := newListBench(ListSpec{}, 1)
	b.change("s-1", decide.Removed, 5*time.Second)
	b.now = time.Second
	b.change("s-1", decide.Up, time.Second) // it is up again before the list has detected its end
	b.until(time.Minute)
	b.want(t, "5000 to 0 v2 s-1:gone", "5000 to 0 v3 s-1:up")

	b = newListBench(ListSpec{}, 1)
	b.change("s-1", decide.Removed, 5*time.Second)
	b.now = time.Second
	b.step(ServerChange{Entry: Entry{Server: ServerSpec{Name: "s-1"}, State: decide.Up}, After: time.Second, Supersedes: true})
	b.until(time.Minute)
	b.want(t, "2000 to 0 v2 s-1:up")
}

func TestListAnswersCallsInTurnAndFailsLateOnes(t *testing.T) {
	b := newListBench(ListSpec{Asked: true, Calls: 2, Timeout: 1200 * ms}, 4)
	for a := range 4 {
		b.step(Subscribe{Agent: a})
	}
	b.until(time.Minute)
	b.want(t, "500 to 0 full v1 4", "1000 to 1 full v1 4", "1200 to 2 failed", "1200 to 3 failed")
	if b.l.Reads() != 2 {
		t.Errorf("%d reads", b.l.Reads())
	}
	// An agent that subscribes again gets the changes since its version; no other agent gets them twice.
	b.seen = nil
	b.change("s-4", decide.Removed, 0)
	b.step(Subscribe{Agent: 2, Since: 1})
	b.until(2 * time.Minute)
	b.want(t, "60000 to 0 v2 s-4:gone", "60000 to 1 v2 s-4:gone", "60500 to 2 v2 s-4:gone")
}

func TestListDown(t *testing.T) {
	b := newListBench(ListSpec{Asked: true}, 2)
	b.step(Subscribe{Agent: 0})
	b.step(Subscribe{Agent: 1})
	b.seen = nil
	b.now = time.Second
	b.step(SetDown{true})
	b.step(Subscribe{Agent: 0})
	b.change("s-1", decide.Removed, 0)
	b.until(10 * time.Second)
	b.want(t, "1000 to 0 failed", "1000 to 1 failed", "1000 to 0 failed")
	b.seen = nil
	b.step(SetDown{false})
	b.step(Subscribe{Agent: 0, Since: 1})
	b.want(t, "10000 to 0 v2 s-1:gone")
	b.seen = nil
	b.step(Unsubscribe{0})
	b.change("s-2", decide.Removed, 0)
	b.want(t)
}

func TestNoMessageOvertakesAnother(t *testing.T) {
	b := newListBench(ListSpec{Spread: time.Second}, 20)
	for i := range 30 {
		b.now = time.Duration(i) * 10 * ms
		b.change("s-1", decide.BackendState(i%3), 0)
	}
	last := map[int]time.Duration{}
	for _, text := range b.seen {
		var at, agent int
		fmt.Sscanf(text, "%d to %d", &at, &agent)
		if time.Duration(at) < last[agent] {
			t.Fatalf("agent %d: %s after %d", agent, text, last[agent])
		}
		last[agent] = time.Duration(at)
	}
}
