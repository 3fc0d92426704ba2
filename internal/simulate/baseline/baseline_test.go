package baseline

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

func settings() decide.Settings {
	return decide.Settings{Balancers: 1, MaxAttempts: 3, Subscribe: true, ConnectTimeout: 250 * time.Millisecond, Classes: []decide.Class{
		{Objective: time.Second, Deadline: 3 * time.Second, Effect: decide.Idempotent},
		{Objective: time.Second, Deadline: 3 * time.Second, Effect: decide.NonIdempotent}}}
}

func start(t *testing.T, name string) *Policy {
	t.Helper()
	p, err := New(name, settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Step(0, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a"}, {ID: "b"}, {ID: "c", State: decide.Draining}}}})
	return p
}

func sendOf(t *testing.T, acts []decide.Action) string {
	t.Helper()
	for _, a := range acts {
		if s, ok := a.(decide.Send); ok {
			return s.Backend
		}
	}
	t.Fatalf("no send in %v", acts)
	return ""
}

func TestEachPolicyPicks(t *testing.T) {
	for _, name := range Names {
		p := start(t, name)
		got := map[string]int{}
		for i := range 100 {
			id := time.Duration(i).String()
			got[sendOf(t, p.Step(0, []decide.Event{decide.Request{ID: id, Remaining: time.Second}}))]++
		}
		if got["c"] > 0 || got["a"]+got["b"] != 100 {
			t.Errorf("%s: %v", name, got)
		}
		if diff := got["a"] - got["b"]; (name == "round-robin" || name == "least-request") && diff != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
	if _, err := New("magic", settings(), 1); err == nil {
		t.Error("an unknown policy gives no error")
	}
}

func TestPlainRetriesKeepTheRepeatRule(t *testing.T) {
	p := start(t, "random")
	first := sendOf(t, p.Step(0, []decide.Event{decide.Request{ID: "q", Remaining: time.Second}}))
	if second := sendOf(t, p.Step(1, []decide.Event{decide.Outcome{Request: "q", Backend: first, Result: decide.Errored}})); second == first {
		t.Error("the retry went to the server that had failed")
	}
	first = sendOf(t, p.Step(2, []decide.Event{decide.Request{ID: "u", Class: 1, Remaining: time.Second}}))
	acts := p.Step(3, []decide.Event{decide.Outcome{Request: "u", Backend: first, Result: decide.Reset}})
	if len(acts) != 1 || acts[0] != (decide.Fail{Request: "u"}) {
		t.Errorf("a non-idempotent request that may have run: %v", acts)
	}
	sendOf(t, p.Step(4, []decide.Event{decide.Request{ID: "v", Class: 1, Remaining: time.Second}}))
	sendOf(t, p.Step(5, []decide.Event{decide.Outcome{Request: "v", Result: decide.Rejected}}))
	sendOf(t, p.Step(6, []decide.Event{decide.Outcome{Request: "v", Attempt: 1, Result: decide.Rejected}}))
	acts = p.Step(7, []decide.Event{decide.Outcome{Request: "v", Attempt: 2, Result: decide.Rejected}})
	if len(acts) != 1 || acts[0] != (decide.Refuse{Request: "v"}) {
		t.Errorf("after the last attempt: %v", acts)
	}
}

func TestAsksTheList(t *testing.T) {
	p, _ := New("p2c", settings(), 1)
	if acts := p.Step(0, []decide.Event{decide.ListUpdate{Kind: decide.ListCached}}); len(acts) != 1 || acts[0] != (decide.Subscribe{}) {
		t.Error(acts)
	}
	acts := p.Step(0, []decide.Event{decide.ListUpdate{Kind: decide.ListFailed}})
	timer, ok := acts[0].(decide.SetTimer)
	if !ok || timer.After != resubscribeDelay {
		t.Fatal(acts)
	}
	if acts := p.Step(resubscribeDelay, []decide.Event{decide.TimerFired{Token: timer.Token}}); len(acts) != 1 {
		t.Error(acts)
	}
	if acts := p.Step(resubscribeDelay, []decide.Event{decide.TimerFired{Token: timer.Token}}); len(acts) != 0 {
		t.Error("one timer subscribed twice")
	}
}
