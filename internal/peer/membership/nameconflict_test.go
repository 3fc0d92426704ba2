package membership

import (
	"testing"
	"time"
)

func TestProcessWithLongerUptimeKeepsTheName(t *testing.T) {
	for _, c := range []struct {
		name     string
		uptimeMS uint64 // of the other process
		yields   bool
	}{
		{"the other process has run longer", 100_000, true},
		{"this process has run longer", 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTestView(t)
			learnMembers(v, 2)
			v.now += 10 * time.Second
			other := v.Local()
			other.Addr = "127.0.0.3:1"
			other.RunID = 99
			other.Boot = 50
			requests := sentOfKind(v.Step(v.now, ExchangeFinished{&Exchange{From: "m0", Records: []Record{other}}}), IdentityRequest)
			if len(requests) != 1 || requests[0].To != other.Addr {
				t.Fatalf("requests %+v", requests)
			}
			v.Step(v.now+ms, DatagramReceived{Message: &Message{
				Kind:         IdentityResponse,
				From:         "me",
				RunID:        99,
				SubjectRunID: 99,
				Seq:          requests[0].Message.Seq,
				UptimeMS:     c.uptimeMS,
			}})
			if v.Yields() != c.yields {
				t.Errorf("the member yields: %v", v.Yields())
			}
			if own := v.Local(); !c.yields && (own.Boot <= 50 || !own.NameVerified) {
				t.Errorf("the member keeps the name, but its record does not show that: %+v", own)
			}
		})
	}
}

func TestNameOfALiveMemberNeedsVerificationToChangeHands(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	r := testRecord(1)
	r.Addr = "127.0.0.3:1"
	r.RunID = 77
	r.Boot = 50
	learn(v, r)
	if v.members["m1"].RunID == 77 {
		t.Error("an unverified claim of the name was accepted")
	}
	r.NameVerified = true
	learn(v, r)
	if v.members["m1"].RunID != 77 {
		t.Error("a verified claim of the name was not accepted")
	}
}

func TestMemberThatStopsYieldingIsNotIsolated(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	v.joined = true
	v.yielding = true
	v.nameClaim = nameClaim{dueAt: v.now + 30*time.Second, unanswered: maxUnansweredChecks, other: testRecord(9)}
	v.now = v.nameClaim.dueAt
	v.wakeAt = v.now
	v.Step(v.now)
	if v.yielding || v.Isolated() {
		t.Errorf("yielding %v, isolated %v", v.yielding, v.Isolated())
	}
}
