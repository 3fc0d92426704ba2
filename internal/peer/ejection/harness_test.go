package ejection

import (
	"fmt"
	"testing"
	"time"
)

const (
	// testStart is the time at which tests begin. It is not 0, because 0 means never.
	testStart = time.Hour
	// testStartedMS is the start time of all servers' processes in tests.
	testStartedMS = 7
	// decisionTime is longer than a suspicion can last before it becomes an ejection.
	decisionTime = 7 * time.Second
)

// harness holds one member, "a", with a clock and messages that the test controls.
type harness struct {
	t         *testing.T
	m         *Member
	now       time.Duration
	ejections []Ejection // content of the last EjectionsChanged
	polls     []Send     // polls sent since polls was last cleared
}

// newMember returns a member with these settings.
func newMember(t *testing.T, s Settings) *Member {
	t.Helper()
	s.RunID = 1
	m, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// newHarness returns a harness for a fleet of ten members, with eight servers in one zone and two pods.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, m: newMember(t, Settings{Name: "a"}), now: testStart}
	members := MembersChanged{Names: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}}
	h.step(ListUpdated{"main", testServers("s")}, members)
	return h
}

// testServers returns eight servers in one zone and two pods.
func testServers(prefix string) []Server {
	var all []Server
	for i := range 8 {
		all = append(all, Server{ID: fmt.Sprint(prefix, i), StartedMS: testStartedMS, Zone: "z", Pod: i % 2})
	}
	return all
}

// step steps the member, and records the ejections that it announces and its polls.
func (h *harness) step(events ...Event) {
	for _, a := range h.m.Step(h.now, events...) {
		switch a := a.(type) {
		case EjectionsChanged:
			h.ejections = a.Ejections
		case Send:
			if a.Message.PollNumber > 0 {
				h.polls = append(h.polls, a)
			}
		}
	}
}

// wait advances the time without events.
func (h *harness) wait(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, max(h.now+time.Millisecond, h.m.Next()))
		h.step()
	}
}

// awaitPoll waits until the member polls again, and returns the last poll sent.
func (h *harness) awaitPoll() Send {
	h.t.Helper()
	h.polls = nil
	for len(h.polls) == 0 {
		h.wait(100 * time.Millisecond)
	}
	return h.polls[len(h.polls)-1]
}

// receives waits for the member's next poll, and responds to it immediately with evidence and drains.
func (h *harness) receives(evidence []Evidence, drains ...Drain) {
	h.t.Helper()
	poll := h.awaitPoll()
	h.step(Received{poll.To, &Message{ResponseTo: poll.Message.PollNumber, Evidence: evidence, Drains: drains}})
}

// isEjected reports whether the member's agents must avoid a server because of an ejection.
func (h *harness) isEjected(server string) bool {
	for _, e := range h.ejections {
		if e.Server == server && !e.Draining {
			return true
		}
	}
	return false
}

// expectEjected waits for a decision about s0, and checks the result.
func (h *harness) expectEjected(want bool, why string) {
	h.t.Helper()
	h.wait(decisionTime)
	if got := h.isEjected("s0"); got != want {
		h.t.Errorf("ejected is %v, want %v: %s", got, want, why)
	}
}

// stepAndCollectSends steps a member and returns what it sends.
func stepAndCollectSends(m *Member, now time.Duration, events ...Event) (sent []Send) {
	for _, a := range m.Step(now, events...) {
		if s, ok := a.(Send); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

// failureReport returns a member's evidence that s0 fails its requests and other servers don't.
func failureReport(origin string, number uint32) Evidence {
	return Evidence{
		Server:              "s0",
		StartedMS:           testStartedMS,
		Origin:              origin,
		RunID:               1,
		Number:              number,
		Failed:              1,
		ErrorResponses:      1,
		OtherSucceeded:      20,
		AgeMS:               1,
		LastFailureAgeMS:    1,
		FirstFailureAgeMS:   1,
		ConsecutiveFailures: 1,
		OtherSuccessAgeMS:   1,
	}
}

// failureReports returns failure reports of several members. Each letter of origins is the name of a member.
func failureReports(origins string, number uint32) []Evidence {
	var all []Evidence
	for _, origin := range origins {
		all = append(all, failureReport(string(origin), number))
	}
	return all
}

// unresponsiveReports returns failure reports of members that had no response from s0.
func unresponsiveReports(origins string) []Evidence {
	all := failureReports(origins, 1)
	for i := range all {
		all[i].ErrorResponses = 0
	}
	return all
}

// successReport returns a member's evidence that s0 responds.
func successReport(origin string, number uint32) Evidence {
	return Evidence{
		Server:               "s0",
		StartedMS:            testStartedMS,
		Origin:               origin,
		RunID:                1,
		Number:               number,
		Succeeded:            3,
		OtherSucceeded:       20,
		AgeMS:                1,
		LastSuccessAgeMS:     1,
		ConsecutiveSuccesses: 3,
		OtherSuccessAgeMS:    1,
	}
}

// oneFailure returns an event with one failure of the member's own agents at s0.
func oneFailure(errorResponses int) OutcomesObserved {
	return OutcomesObserved{[]OutcomeSample{{Server: "s0", StartedMS: testStartedMS, Failed: 1, ErrorResponses: errorResponses}}}
}

// serveRequests makes the member's agents send a number of successful requests to each server within a minute.
func (h *harness) serveRequests(each int) {
	for range 60 {
		var samples []OutcomeSample
		for s := range 8 {
			samples = append(samples, OutcomeSample{Server: fmt.Sprint("s", s), StartedMS: testStartedMS, Succeeded: each / 60})
		}
		h.step(OutcomesObserved{samples})
		h.now += time.Second
	}
}
