package core

import (
	"log/slog"
	"testing"
	"time"

	"vetchhaven/decide"
)

// What an attempt tells is of the process to which it went, whatever the list has said since.
func TestOutcomesCountForTheProcessThatGotTheAttempt(t *testing.T) {
	l := &Loop{clock: newClock(), events: make(chan any, 8), stopped: make(chan struct{})}
	var got []OutcomeSample
	l.outcomes.report = func(all []OutcomeSample) { got = append(got, all...) }
	first, second := time.Now().Add(-100*time.Hour).UnixMilli(), time.Now().UnixMilli()
	list := func(started int64) List {
		return List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "s", Started: l.clock.hint(started)}}}, Starts: map[string]int64{"s": started}}
	}
	l.noteStarts(list(first))
	a := &Attempt{Server: "s", processStarted: l.outcomes.starts["s"]}
	l.noteStarts(list(second))
	b := &Attempt{Server: "s", processStarted: l.outcomes.starts["s"]}
	l.recordOutcome(a, decide.ConnectFailed) // told at once: none was lately
	l.recordOutcome(b, decide.OK)
	l.recordOutcome(b, decide.Rejected) // says nothing of it
	l.recordOutcome(b, decide.OK)
	l.recordOutcome(b, decide.Errored)
	if len(got) != 1 || got[0] != (OutcomeSample{"s", first, 0, 1, 0}) {
		t.Fatalf("%+v", got)
	}
	if _, due := (<-l.events).(outcomesDue); !due {
		t.Fatal("the rest is not told by and by")
	}
	l.reportOutcomes()
	if len(got) != 2 || got[1] != (OutcomeSample{"s", second, 2, 1, 1}) {
		t.Errorf("%+v", got)
	}
}

// A request for which there is no server while verdicts hold is told which servers they keep from it; no other is.
func TestRefusalNamesTheEjectedServers(t *testing.T) {
	l := &Loop{clock: newClock(), log: slog.New(slog.DiscardHandler), requests: map[string]*Request{}, shedCounts: map[string]int{}, recent: newRecentIDs(time.Second)}
	refused := func(why decide.Reason) Answer {
		var got Answer
		l.requests["r"] = NewRequest("r", 0, func(a Answer) { got = a })
		l.execute(decide.Refuse{Request: "r", Reason: why}, l.clock.now())
		return got
	}
	if a := refused(decide.NoBackend); a.Ejected != "" {
		t.Errorf("%+v", a)
	}
	until := time.Now().Add(time.Minute)
	l.onEjections(ejectionsUpdated{[]Ejection{{Server: "s3", ExpiresAt: until}, {Server: "s5", Draining: true, ExpiresAt: until}}})
	if a := refused(decide.NoBackend); a.Ejected != "s3 (out), s5 (drains)" {
		t.Errorf("%+v", a)
	}
	if a := refused(decide.NoCapacity); a.Ejected != "" {
		t.Errorf("%+v", a)
	}
	l.onEjections(ejectionsUpdated{[]Ejection{{Server: "s3", ExpiresAt: time.Now().Add(-time.Second)}}})
	if a := refused(decide.NoBackend); a.Ejected != "" {
		t.Errorf("%+v", a)
	}
}
