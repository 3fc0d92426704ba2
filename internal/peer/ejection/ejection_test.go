package ejection

import (
	"fmt"
	"testing"
	"time"
)

func TestRepeatedReportsOfOneMemberCountOnce(t *testing.T) {
	h := newHarness(t)
	for n := range 20 {
		h.receives(failureReports("b", uint32(n+1)))
	}
	h.expectEjected(false, "one reporter")
	h.receives(failureReports("c", 1))
	h.receives([]Evidence{failureReport("b", 90), failureReport("c", 2)})
	h.expectEjected(false, "two reporters")
	h.receives([]Evidence{failureReport("b", 91), failureReport("c", 3), failureReport("d", 1)})
	h.expectEjected(true, "three reporters")
}

// Failures without a response may be caused by links. If half of the links are broken, three members may report the
// server by chance.
func TestUnresponsiveServerNeedsMoreReporters(t *testing.T) {
	withErrorResponses := unresponsiveReports("bcdefg")
	for _, i := range []int{0, 2, 4} {
		withErrorResponses[i].ErrorResponses = 1
	}
	for _, c := range []struct {
		name     string
		evidence []Evidence
		want     bool
	}{
		{"six of ten members", unresponsiveReports("bcdefg"), false},
		{"eight of ten members", unresponsiveReports("bcdefghi"), true},
		{"six of ten members, three with error responses", withErrorResponses, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.receives(c.evidence)
			h.expectEjected(c.want, c.name)
		})
	}
}

// If a share of the requests fails without a response, the server is not ejected, however many members are affected.
func TestPartialFailureNeedsErrorResponses(t *testing.T) {
	thirdFailed := func(errorResponses float32) []Evidence {
		var all []Evidence
		for i := range 8 {
			all = append(all, Evidence{
				Server:               "s0",
				StartedMS:            testStartedMS,
				Origin:               string(rune('b' + i)),
				RunID:                1,
				Number:               1,
				Succeeded:            6,
				Failed:               3,
				ErrorResponses:       errorResponses,
				OtherSucceeded:       50,
				AgeMS:                1,
				LastSuccessAgeMS:     1,
				LastFailureAgeMS:     2,
				FirstFailureAgeMS:    2,
				ConsecutiveSuccesses: 1,
				OtherSuccessAgeMS:    1,
			})
		}
		return all
	}
	for _, c := range []struct {
		name           string
		errorResponses float32
		want           bool
	}{
		{"lost by links", 0, false},
		{"error responses", 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.receives(thirdFailed(c.errorResponses))
			h.expectEjected(c.want, c.name)
		})
	}
}

func TestMemberWithBrokenLinkReportsNoOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Evidence)
	}{
		{"no success at other servers since", func(e *Evidence) {
			e.OtherSuccessAgeMS = 9000
			e.FirstFailureAgeMS = 1
			e.AgeMS = 1
			e.LastFailureAgeMS = 1
		}},
		{"never a success at other servers", func(e *Evidence) {
			e.OtherSuccessAgeMS = 0
			e.OtherSucceeded = 0
			e.OtherFailed = 20
		}},
		{"failures at other servers since", func(e *Evidence) { e.OtherFailuresSince = 2 }},
		{"failures nearly everywhere", func(e *Evidence) {
			e.OtherSucceeded = 1
			e.OtherFailed = 10
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			evidence := failureReports("bcdef", 1)
			for i := range evidence {
				c.change(&evidence[i])
			}
			h.receives(evidence)
			h.expectEjected(false, c.name)
		})
	}
}

func TestLaterSuccessElsewherePreventsEjection(t *testing.T) {
	h := newHarness(t)
	h.receives(failureReports("bcd", 1))
	h.now += 50 * time.Millisecond
	h.receives([]Evidence{successReport("e", 1), successReport("f", 1)})
	h.expectEjected(false, "the server has responded to other members since")
}

func TestEvidenceAgeIsNeverUnderstated(t *testing.T) {
	h := newHarness(t)
	h.polls = nil
	for len(h.polls) == 0 {
		h.wait(100 * time.Millisecond)
	}
	poll := h.polls[0]
	h.wait(DefaultMaxEvidenceAge + time.Second)
	h.step(Received{poll.To, &Message{ResponseTo: poll.Message.PollNumber, Evidence: failureReports("bcd", 1)}})
	h.expectEjected(false, "the response took longer than evidence lasts")

	h.step(Received{"b", &Message{ResponseTo: 9999, Evidence: failureReports("bcd", 1)}})
	h.expectEjected(false, "the response is to no poll")

	ofEarlierProcess := failureReports("bcd", 1)
	for i := range ofEarlierProcess {
		ofEarlierProcess[i].StartedMS = testStartedMS - 1
	}
	h.receives(ofEarlierProcess)
	h.expectEjected(false, "the evidence is about an earlier process")
}

func TestEjectionExpiresWithItsEvidence(t *testing.T) {
	h := newHarness(t)
	h.receives(failureReports("bcd", 1))
	h.wait(decisionTime)
	if !h.isEjected("s0") {
		t.Fatal("s0 is not ejected")
	}
	if until := h.ejections[0].Until; until > h.now+DefaultMaxEvidenceAge {
		t.Errorf("the ejection holds until %v after now", until-h.now)
	}
	h.wait(DefaultMaxEvidenceAge)
	if h.isEjected("s0") {
		t.Error("the server is ejected without evidence")
	}
	h.receives(failureReports("bc", 1))
	if h.isEjected("s0") {
		t.Error("the server is ejected by evidence from before its readmission")
	}
}

func TestMaxEjectedShareOfAZoneHolds(t *testing.T) {
	h := newHarness(t)
	var evidence []Evidence
	for s := range 6 {
		for _, e := range failureReports("bcd", 1) {
			e.Server = fmt.Sprint("s", s)
			evidence = append(evidence, e)
		}
	}
	h.receives(evidence[:9])
	h.receives(evidence[9:])
	h.wait(decisionTime)
	ejected := 0
	for s := range 8 {
		if h.isEjected(fmt.Sprint("s", s)) {
			ejected++
		}
	}
	if ejected > 4 || ejected < 2 { // half of eight, and of each pod's four
		t.Errorf("%d of 8 are ejected", ejected)
	}
}

func TestDrainsAreForwardedAndExpire(t *testing.T) {
	h := newHarness(t)
	tooOld := uint32((DefaultMaxDrainAge + time.Second).Milliseconds())
	h.receives(nil,
		Drain{Server: "s1", StartedMS: testStartedMS, State: Draining, AgeMS: 100},
		Drain{Server: "s2", StartedMS: testStartedMS - 1, State: Removed, AgeMS: 100},
		Drain{Server: "s3", StartedMS: testStartedMS, State: Draining, AgeMS: tooOld})
	if len(h.ejections) != 1 || !h.ejections[0].Draining || h.ejections[0].Server != "s1" || h.ejections[0].Until > h.now+DefaultMaxDrainAge {
		t.Fatalf("announced ejections and drains: %+v", h.ejections)
	}
	if h.wait(DefaultMaxDrainAge + time.Second); len(h.ejections) != 0 {
		t.Errorf("a drain that no list confirms did not expire: %+v", h.ejections)
	}

	// A drain in the member's own list is sent to other members with its age, and evidence does not revoke it.
	list := testServers("s")
	list[4].State = Draining
	h.step(ListUpdated{"main", list})
	h.now += time.Second
	var response *Message
	for _, s := range stepAndCollectSends(h.m, h.now, Received{"b", &Message{PollNumber: 5}}) {
		if s.Message.ResponseTo == 5 {
			response = s.Message
		}
	}
	if response == nil || len(response.Drains) != 1 || response.Drains[0].Server != "s4" || response.Drains[0].AgeMS < 1000 {
		t.Errorf("response to a poll: %+v", response)
	}
	success := successReport("b", 1)
	success.Server = "s4"
	success.Succeeded = 50
	success.ConsecutiveSuccesses = 50
	success.OtherSucceeded = 0
	success.OtherSuccessAgeMS = 0
	h.receives([]Evidence{success})
	if h.m.servers["s4"].State != Draining {
		t.Error("evidence revoked a drain in the list")
	}
}

// All members select the same trial members.
func TestOnlyTrialMembersUseAnEjectedServer(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("m", i))
	}
	users := 0
	for _, name := range names {
		m := newMember(t, Settings{Name: name})
		m.names = names
		if m.mayUse(&server{Server: Server{ID: "s"}}) {
			users++
		}
	}
	if users != 3 {
		t.Errorf("%d of 40 members use the ejected server, want 3", users)
	}
}
