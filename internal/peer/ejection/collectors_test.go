package ejection

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestIsolatedFailureIsReportedToCollectorsOnly(t *testing.T) {
	h := newHarness(t)
	h.serveRequests(600)
	notified := map[string]bool{}
	for _, s := range stepAndCollectSends(h.m, h.now, oneFailure(1)) {
		if s.Message.PollNumber > 0 && len(s.Message.About) == 0 {
			continue // the periodic poll
		}
		if !s.Message.Notify || len(s.Message.About) != 1 || s.Message.About[0].Server != "s0" {
			t.Errorf("unexpected message to %s: %+v", s.To, s.Message)
		}
		notified[s.To] = true
	}
	if len(notified) < collectorsPerServer-1 || len(notified) > collectorsPerServer {
		t.Errorf("notified members: %v", notified)
	}
	for name := range notified {
		if !slices.Contains(h.m.collectorsOf(h.m.servers["s0"]), name) {
			t.Errorf("%s is not a collector of s0", name)
		}
	}
}

// Reports of isolated failures are included in responses to polls about the server, but not in those to general polls.
func TestIsolatedFailureIsReportedToPollsAboutItsServer(t *testing.T) {
	h := newHarness(t)
	h.serveRequests(600)
	stepAndCollectSends(h.m, h.now, oneFailure(1))
	general := &Message{PollNumber: 1, FormatVersion: currentFormat}
	aboutServer := &Message{PollNumber: 2, FormatVersion: currentFormat, OwnOnly: true, About: []ServerProcess{{"s0", testStartedMS}}}

	evidence := evidenceSent(h.m, h.now+time.Millisecond, Received{"b", general})
	if len(evidence) > 0 {
		t.Errorf("response to a general poll: %+v", evidence)
	}
	evidence = evidenceSent(h.m, h.now+time.Millisecond, Received{"b", aboutServer})
	if len(evidence) != 1 || evidence[0].Server != "s0" || evidence[0].Origin != "a" || evidence[0].ConsecutiveFailures != 1 {
		t.Errorf("response to a poll about s0: %+v", evidence)
	}
	h.receives(failureReports("c", 1))
	for _, s := range stepAndCollectSends(h.m, h.now+2*time.Millisecond, Received{"b", aboutServer}) {
		if s.Message.ResponseTo == 2 && len(s.Message.Evidence) != 1 {
			t.Errorf("response to a poll for own evidence only has %d reports", len(s.Message.Evidence))
		}
	}
}

func evidenceSent(m *Member, now time.Duration, events ...Event) (all []Evidence) {
	for _, s := range stepAndCollectSends(m, now, events...) {
		all = append(all, s.Message.Evidence...)
	}
	return all
}

func TestUnlikelyFailuresTriggerPolls(t *testing.T) {
	h := newHarness(t)
	h.serveRequests(600)
	stepAndCollectSends(h.m, h.now, oneFailure(1))
	h.now += 300 * time.Millisecond
	polls, notifications := 0, 0
	for _, s := range stepAndCollectSends(h.m, h.now, oneFailure(1)) {
		if s.Message.PollNumber > 0 && len(s.Message.About) == 1 {
			polls++
		}
		if s.Message.Notify && len(s.Message.About) == 0 {
			notifications++
		}
	}
	if polls != notifyFanout || notifications != notifyFanout {
		t.Errorf("two consecutive failures at a server that never fails: %d polls, %d notifications, want %d of each", polls, notifications, notifyFanout)
	}
}

// The cost of an evaluation depends on the number of servers with reports, not on the number of listed servers.
func TestQuietServersAreNotEvaluated(t *testing.T) {
	m := newMember(t, Settings{Name: "a"})
	var list []Server
	for i := range 3000 {
		list = append(list, Server{ID: fmt.Sprintf("s%04d", i), StartedMS: testStartedMS, Zone: "z"})
	}
	outcome := func(server string, succeeded, failed int) OutcomesObserved {
		return OutcomesObserved{[]OutcomeSample{{Server: server, StartedMS: testStartedMS, Succeeded: succeeded, Failed: failed}}}
	}
	now := testStart
	m.Step(now, ListUpdated{"main", list}, MembersChanged{Names: []string{"a", "b", "c", "d"}})
	now += time.Second
	m.Step(now, outcome("s0007", 5, 0))
	if len(m.active) != 0 {
		t.Errorf("%d active servers after successes only", len(m.active))
	}
	m.Step(now, outcome("s0007", 0, 1))
	if len(m.active) != 1 {
		t.Errorf("%d active servers after one failure", len(m.active))
	}
	for end := now + 2*DefaultMaxEvidenceAge; now < end; now = max(now+time.Millisecond, m.Next()) {
		m.Step(now)
	}
	m.Step(now, outcome("s0008", 0, 1))
	m.Step(now + minEvaluationInterval)
	if len(m.active) != 1 || m.active[0].ID != "s0008" {
		t.Errorf("%d active servers after the evidence has expired", len(m.active))
	}
}
