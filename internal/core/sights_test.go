package core

import (
	"log/slog"
	"testing"
	"time"

	"vetchhaven/decide"
)

// What an attempt tells is of the process to which it went, whatever the list has said since.
func TestSightsAreOfTheProcessThatGotTheAttempt(t *testing.T) {
	l := &Loop{clock: newClock(), events: make(chan any, 8), stopped: make(chan struct{})}
	var got []Sight
	l.sights.tell = func(all []Sight) { got = append(got, all...) }
	first, second := time.Now().Add(-100*time.Hour).UnixMilli(), time.Now().UnixMilli()
	list := func(started int64) List {
		return List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "s", Started: l.clock.hint(started)}}}, Starts: map[string]int64{"s": started}}
	}
	l.started(list(first))
	a := &Attempt{Server: "s", process: l.sights.starts["s"]}
	l.started(list(second))
	b := &Attempt{Server: "s", process: l.sights.starts["s"]}
	l.saw(a, decide.ConnectFailed) // told at once: none was lately
	l.saw(b, decide.OK)
	l.saw(b, decide.Rejected) // says nothing of it
	l.saw(b, decide.OK)
	l.saw(b, decide.Errored)
	if len(got) != 1 || got[0] != (Sight{"s", first, 0, 1, 0}) {
		t.Fatalf("%+v", got)
	}
	if _, due := (<-l.events).(sightsDue); !due {
		t.Fatal("the rest is not told by and by")
	}
	l.sight()
	if len(got) != 2 || got[1] != (Sight{"s", second, 2, 1, 1}) {
		t.Errorf("%+v", got)
	}
}

// A request for which there is no server while verdicts hold is told which servers they keep from it; no other is.
func TestRefusalNamesTheVerdictsThatStandInItsWay(t *testing.T) {
	l := &Loop{clock: newClock(), log: slog.New(slog.DiscardHandler), requests: map[string]*Request{}, shedBy: map[string]int{}, recent: newRecent(time.Second)}
	refused := func(why decide.Reason) Answer {
		var got Answer
		l.requests["r"] = NewRequest("r", 0, func(a Answer) { got = a })
		l.execute(decide.Refuse{Request: "r", Reason: why}, l.clock.now())
		return got
	}
	if a := refused(decide.NoBackend); a.Verdict != "" {
		t.Errorf("%+v", a)
	}
	until := time.Now().Add(time.Minute)
	l.judge(judged{[]Verdict{{Server: "s3", Until: until}, {Server: "s5", Drain: true, Until: until}}})
	if a := refused(decide.NoBackend); a.Verdict != "s3 (out), s5 (drains)" {
		t.Errorf("%+v", a)
	}
	if a := refused(decide.NoCapacity); a.Verdict != "" {
		t.Errorf("%+v", a)
	}
	l.judge(judged{[]Verdict{{Server: "s3", Until: time.Now().Add(-time.Second)}}})
	if a := refused(decide.NoBackend); a.Verdict != "" {
		t.Errorf("%+v", a)
	}
}
