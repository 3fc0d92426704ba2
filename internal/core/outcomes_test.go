package core

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

// An attempt's outcome must count for the server process to which the attempt was sent, even if the list has changed
// since.
func TestOutcomesCountForTheProcessThatGotTheAttempt(t *testing.T) {
	l := &Loop{clock: newClock(), events: make(chan any, 8), stopped: make(chan struct{})}
	var got []OutcomeSample
	l.outcomes.report = func(samples []OutcomeSample) { got = append(got, samples...) }
	attemptAt := func(startedMS int64) *Attempt {
		backend := decide.Backend{ID: "s", Started: l.clock.hint(startedMS)}
		l.noteStarts(List{
			ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{backend}},
			Starts:     map[string]int64{"s": startedMS},
		})
		return &Attempt{Server: "s", processStarted: l.outcomes.starts["s"]}
	}
	firstStart := time.Now().Add(-100 * time.Hour).UnixMilli()
	secondStart := time.Now().UnixMilli()
	first := attemptAt(firstStart)
	second := attemptAt(secondStart)
	l.recordOutcome(first, decide.ConnectFailed) // reported at once, because there was no recent report
	l.recordOutcome(second, decide.OK)
	l.recordOutcome(second, decide.Rejected) // is not counted, because it is independent of the process's health
	l.recordOutcome(second, decide.OK)
	l.recordOutcome(second, decide.Errored)
	if want := (OutcomeSample{Server: "s", StartedMS: firstStart, Failed: 1}); len(got) != 1 || got[0] != want {
		t.Fatalf("reported %+v, want %+v", got, want)
	}
	if _, ok := (<-l.events).(outcomesDue); !ok {
		t.Fatal("no report of the remaining outcomes is scheduled")
	}
	l.reportOutcomes()
	want := OutcomeSample{Server: "s", StartedMS: secondStart, Succeeded: 2, Failed: 1, ErrorResponses: 1}
	if len(got) != 2 || got[1] != want {
		t.Errorf("reported %+v, want %+v", got, want)
	}
}
