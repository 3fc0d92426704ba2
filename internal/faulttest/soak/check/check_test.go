package check

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func testRules() Rules {
	return Rules{Slack: 10 * ms, MaxLateAnswer: 500 * ms, MaxStartAfterDisconnect: 100 * ms, MaxStallTime: 3 * time.Second, MaxStopTime: time.Second, MaxReadyTime: time.Second,
		DrainGrace: 500 * ms, DeadlineOver: 150 * ms, Zones: map[string]string{"s": "a", "t": "b", "u": "a"},
		Classes:   map[string]ClassRules{"get": {}, "put": {Effect: Keyed, Window: 300 * ms}, "pin": {Effect: Keyed, Window: 300 * ms, Zone: true}, "pay": {Effect: Once}},
		ColdShare: 0.5, RampTime: 10 * time.Second, FallMultiple: 2, FallWindow: time.Second, Capacity: 10}
}

func sent(class string) Event {
	return Event{Kind: RequestSent, At: 1000 * ms, Request: "r", Class: class, Left: 500 * ms}
}

func arrived(server string, at time.Duration) Event {
	return Event{Kind: RequestArrived, At: at, Began: at - ms, Request: "r", Server: server, Process: 1, Ran: true, Left: 1500*ms - at}
}

func answered(at time.Duration, status int) Event {
	return Event{Kind: AnswerRead, At: at, Request: "r", Status: status, Own: true}
}

// Each invariant is tested with a history that violates it and with the closest history that does not.
func TestCheckerFindsWhatIsBroken(t *testing.T) {
	neverRan := arrived("s", 1010*ms)
	neverRan.Ran = false
	longer := arrived("s", 1010*ms)
	longer.Left = 700 * ms
	slightlyLonger := arrived("s", 1010*ms)
	slightlyLonger.Left = 600 * ms
	foreign := answered(1100*ms, 200)
	foreign.Own = false
	broken := foreign
	broken.Broken = true
	left := func(at time.Duration) Event { return Event{Kind: ClientDisconnected, At: at, Request: "r"} }
	told := func(at time.Duration, state string) Event {
		return Event{Kind: StateNotified, At: at, Server: "s", State: state}
	}
	process := func(kind Kind, at time.Duration, status int) Event {
		return Event{Kind: kind, At: at, Process: 1, Status: status}
	}
	stall := func(kind Kind, at time.Duration) Event { return Event{Kind: kind, At: at, Note: "one"} }
	crowd := func(count int) (all []Event) {
		all = append(all, Event{Kind: StateNotified, At: 1 * ms, Server: "s", State: Ready, Process: 2, Began: 1 * ms})
		for n := range count {
			id := fmt.Sprint("r", n)
			at := time.Duration(100+n) * ms
			all = append(all, Event{Kind: RequestSent, At: at - ms, Request: id, Class: "get", Left: 500 * ms}, Event{Kind: AnswerRead, At: at + 200*ms, Request: id, Status: 200, Own: true},
				Event{Kind: RequestArrived, At: at, Began: at, Request: id, Server: "s", Process: 2, Ran: true})
		}
		return all
	}
	for _, row := range []struct {
		name   string
		want   Invariant // empty: no violation
		events []Event
	}{
		{"served", "", []Event{sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"no answer", OneAnswer, []Event{sent("get"), arrived("s", 1010*ms)}},
		{"a close without an answer", OneAnswer, []Event{sent("get"), {Kind: ConnectionEnded, At: 1100 * ms, Request: "r"}}},
		{"no answer to a client that left", "", []Event{sent("get"), arrived("s", 1010*ms), left(1100 * ms)}},
		{"no answer from an agent that was killed", "", []Event{sent("get"), process(ProcessKilled, 1200*ms, 0)}},
		{"no answer from one that was killed long before", OneAnswer, []Event{sent("get"), process(ProcessKilled, 100*ms, 0)}},
		{"late, and it earns nothing", "", []Event{sent("get"), arrived("s", 1010*ms), answered(1900*ms, 504)}},
		{"too late", OneAnswer, []Event{sent("get"), arrived("s", 1010*ms), answered(2100*ms, 504)}},
		{"two answers", OneAnswer, []Event{sent("get"), answered(1100*ms, 503), answered(1200*ms, 503)}},
		{"another's answer", OwnAnswer, []Event{sent("get"), arrived("s", 1010*ms), foreign}},
		{"an answer that is visibly not whole", "", []Event{sent("get"), arrived("s", 1010*ms), broken}},
		{"sent after the answer", NothingAfterAnswer, []Event{sent("get"), answered(1100*ms, 502), arrived("s", 1150*ms)}},
		{"read late by its client", "", []Event{sent("get"), answered(1100*ms, 502), arrived("s", 1105*ms)}},
		{"sent for a client that has left", NothingAfterDisconnect, []Event{sent("get"), left(1050 * ms), arrived("s", 1200*ms)}},
		{"under way as it left", "", []Event{sent("get"), left(1050 * ms), arrived("s", 1140*ms)}},
		{"run twice", EffectOnce, []Event{sent("pay"), arrived("s", 1010*ms), arrived("t", 1100*ms), answered(1200*ms, 200)}},
		{"sent again, never having run", "", []Event{sent("pay"), neverRan, arrived("t", 1100*ms), answered(1200*ms, 200)}},
		{"an idempotent one twice", "", []Event{sent("get"), arrived("s", 1010*ms), arrived("t", 1100*ms), answered(1200*ms, 200)}},
		{"a key past its window", KeyedScope, []Event{sent("put"), arrived("s", 1010*ms), arrived("t", 1340*ms), answered(1400*ms, 200)}},
		{"a key within it", "", []Event{sent("put"), arrived("s", 1010*ms), arrived("t", 1300*ms), answered(1400*ms, 200)}},
		{"a key in another zone", KeyedScope, []Event{sent("pin"), arrived("s", 1010*ms), arrived("t", 1100*ms), answered(1400*ms, 200)}},
		{"a key in its zone", "", []Event{sent("pin"), arrived("s", 1010*ms), arrived("u", 1100*ms), answered(1400*ms, 200)}},
		{"refused, and it ran", RefusalNoEffect, []Event{sent("get"), arrived("s", 1010*ms), answered(1100*ms, 503)}},
		{"refused, and it never ran", "", []Event{sent("get"), neverRan, answered(1100*ms, 503)}},
		{"to one that drains", NothingToWithdrawn, []Event{told(100*ms, Ready), told(400*ms, Draining), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"told again while it drains", NothingToWithdrawn, []Event{told(100*ms, Ready), told(400*ms, Draining), told(900*ms, Gone), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"within the grace", "", []Event{told(100*ms, Ready), told(600*ms, Draining), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"to one that is back", "", []Event{told(100*ms, Draining), told(900*ms, Ready), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"to one whose return is just being written", "", []Event{told(100*ms, Draining), told(1011*ms, Ready), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"to one that returns later", NothingToWithdrawn, []Event{told(100*ms, Draining), told(1030*ms, Ready), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"of a new process, not told yet", "", []Event{told(100*ms, Ready), told(400*ms, Draining), process(ProcessStarted, 900*ms, 0), sent("get"), arrived("s", 1010*ms), answered(1100*ms, 200)}},
		{"more time than the client has", DeadlinePassedOn, []Event{sent("get"), longer, answered(1100*ms, 200)}},
		{"a little more", "", []Event{sent("get"), slightlyLonger, answered(1100*ms, 200)}},
		{"a cold server under a crowd", SlowStartBudget, crowd(24)},
		{"as many as it stands", "", crowd(22)},
		{"a stall that is left", StalledAnswered, []Event{stall(StallBegan, 100*ms), stall(StallEnded, 3200*ms)}},
		{"a stall that is ended", "", []Event{stall(StallBegan, 100*ms), stall(StallEnded, 3000*ms)}},
		{"an end by itself", CleanStop, []Event{process(ProcessStarted, ms, 0), process(ProcessExited, 100*ms, 1)}},
		{"an end with an error", CleanStop, []Event{process(ProcessStarted, ms, 0), process(ProcessTerminated, 50*ms, 0), process(ProcessExited, 100*ms, 1)}},
		{"a stop that takes too long", CleanStop, []Event{process(ProcessStarted, ms, 0), process(ProcessTerminated, 50*ms, 0), process(ProcessKilled, 1050*ms, 0), process(ProcessExited, 1060*ms, -1)}},
		{"a stop", "", []Event{process(ProcessStarted, ms, 0), process(ProcessTerminated, 50*ms, 0), process(ProcessExited, 100*ms, 0)}},
		{"a kill", "", []Event{process(ProcessStarted, ms, 0), process(ProcessKilled, 50*ms, 0), process(ProcessExited, 100*ms, -1)}},
		{"a handover", "", []Event{process(ProcessStarted, ms, 0), process(ProcessHandedOver, 50*ms, 0), process(ProcessExited, 100*ms, 0)}},
		{"ready late", ReadyInTime, []Event{process(ProcessStarted, ms, 0), process(ProcessReady, 1100*ms, 0)}},
		{"a guard's word", NoGuardViolation, []Event{{Kind: InvariantLogged, At: ms, Note: "invariant violated"}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := Check(testRules(), row.events).Violations
			switch {
			case row.want == "" && len(got) > 0:
				t.Errorf("no invariant is violated, got: %v", got)
			case row.want != "" && (len(got) == 0 || got[0].Invariant != row.want):
				t.Errorf("%v, want %s", got, row.want)
			}
		})
	}
}

// A paused process has that much more time, at the time of the pause only.
func TestHeldUpProcessHasItsHold(t *testing.T) {
	events := func(held time.Duration) []Event {
		return []Event{sent("get"), {Kind: ClientDisconnected, At: 1050 * ms, Request: "r"}, {Kind: ProcessHeld, At: held, Left: 150 * ms}, arrived("s", 1250*ms)}
	}
	if got := Check(testRules(), events(1100*ms)).Violations; len(got) > 0 {
		t.Errorf("paused at the time of the attempt: %v", got)
	}
	if got := Check(testRules(), events(100*ms)).Violations; len(got) != 1 {
		t.Errorf("paused long before: %v", got)
	}
}

// A time in which the machine did not run the process is allowed for too, at that time and for as long as it lasted, in
// addition to a pause that the run injected.
func TestWhatTheMachineHeldUpIsAllowedFor(t *testing.T) {
	late := arrived("s", 1250*ms)
	late.Left = 550 * ms // the client has 250 ms left
	held := func(at, left time.Duration) Event {
		return Event{Kind: ProcessHeld, At: at, Left: left, Note: "ready to run, and not run by the machine"}
	}
	for name, row := range map[string]struct {
		held Event
		kept bool
	}{
		"nothing":             {held(100*ms, 0), false},
		"long before":         {held(100*ms, 300*ms), false},
		"for less":            {held(1000*ms, 200*ms), false},
		"for as long, at it":  {held(1000*ms, 300*ms), true},
		"on top of its build": {held(1000*ms, 150*ms), true},
	} {
		rules := testRules()
		if name == "on top of its build" {
			rules.MaxPause = 150 * ms
		}
		got := Check(rules, []Event{sent("get"), row.held, late, answered(1300*ms, 200)}).Violations
		if (len(got) == 0) != row.kept {
			t.Errorf("%s: %v", name, got)
		}
	}
}
