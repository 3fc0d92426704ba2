package core

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

// The answer to a request that is refused for lack of a server while ejections are in force must name the ejected
// servers; no other answer must name them.
func TestRefusalNamesTheEjectedServers(t *testing.T) {
	l := newBareLoop()
	requireEjected := func(reason decide.Reason, want string) {
		t.Helper()
		var answer Answer
		l.requests["r"] = NewRequest("r", 0, func(a Answer) { answer = a })
		l.execute(decide.Refuse{Request: "r", Reason: reason}, l.clock.now())
		if answer.Ejected != want {
			t.Errorf("refused for %v with %q, want %q", reason, answer.Ejected, want)
		}
	}
	requireEjected(decide.NoBackend, "")
	until := time.Now().Add(time.Minute)
	l.onEjections(ejectionsUpdated{[]Ejection{
		{Server: "s3", ExpiresAt: until},
		{Server: "s5", Draining: true, ExpiresAt: until},
	}})
	requireEjected(decide.NoBackend, "s3 (out), s5 (drains)")
	requireEjected(decide.NoCapacity, "")
	l.onEjections(ejectionsUpdated{[]Ejection{{Server: "s3", ExpiresAt: time.Now().Add(-time.Second)}}})
	requireEjected(decide.NoBackend, "")
}
