package ejection

import (
	"strings"
	"testing"
	"time"
)

// recoveryReport returns a member's evidence that s0 responds after a failure.
func recoveryReport(origin string, number uint32) Evidence {
	e := successReport(origin, number)
	e.Failed = 1
	e.LastFailureAgeMS = 500
	return e
}

// One server passes through all phases. Each step continues from the state after the previous one.
func TestPhasesOfAnEjection(t *testing.T) {
	h := newHarness(t)
	s := h.m.servers["s0"]
	number := uint32(0)
	report := func(evidence func(origin string, number uint32) Evidence, origins string) {
		number++
		var all []Evidence
		for _, origin := range origins {
			all = append(all, evidence(string(origin), number))
		}
		h.receives(all)
	}
	for _, step := range []struct {
		name string
		do   func()
		want phase
	}{
		{"two reporters", func() { report(failureReport, "bc") }, phaseAdmitted},
		{"a third reporter", func() {
			report(failureReport, "bcd")
			h.wait(2 * minEvaluationInterval)
		}, phaseSuspected},
		{"no member contradicts", func() { h.wait(decisionTime) }, phaseEjected},
		{"the server responds to trial members", func() {
			report(recoveryReport, "bc")
			h.wait(2 * ejectedEvaluationInterval)
		}, phaseReadmitting},
		{"the server fails again", func() {
			h.now += 10 * time.Millisecond
			report(failureReport, "bcd")
			h.wait(ejectedEvaluationInterval)
		}, phaseEjected},
		{"the server responds again", func() {
			h.now += 10 * time.Millisecond
			report(recoveryReport, "bcde")
			h.wait(2 * ejectedEvaluationInterval)
		}, phaseReadmitting},
		{"all members use the server again", func() { h.wait(5 * readmissionDoubling) }, phaseAdmitted},
	} {
		step.do()
		if s.phase != step.want {
			t.Fatalf("%s: %v, want %v", step.name, s.phase, step.want)
		}
		if got, want := h.isEjected("s0"), s.isEjected() && !h.m.mayUse(s); got != want {
			t.Errorf("%s: the agents avoid the server: %v, want %v", step.name, got, want)
		}
	}
	counts := h.m.Counters()
	if counts.Ejected != 1 || counts.Readmitted != 1 {
		t.Errorf("counted %d ejections and %d readmissions, want one of each", counts.Ejected, counts.Readmitted)
	}
}

func TestAnotherProcessOfAServerStartsAdmitted(t *testing.T) {
	h := newHarness(t)
	h.receives(failureReports("bcd", 1))
	h.expectEjected(true, "three reporters")
	restarted := testServers("s")
	restarted[0].StartedMS++
	h.step(ListUpdated{"main", restarted})
	h.wait(minEvaluationInterval)
	if h.isEjected("s0") || h.m.servers["s0"].phase != phaseAdmitted {
		t.Errorf("after a restart the server is %v", h.m.servers["s0"].phase)
	}
}

// The log shows that a readmission ends because the server fails again. The fault: such a server was ejected again
// without a log line.
func TestEndOfAReadmissionIsLogged(t *testing.T) {
	h := newHarness(t)
	h.receives(failureReports("bcd", 1))
	h.expectEjected(true, "three reporters")
	s := h.m.servers["s0"]
	h.m.beginReadmission(s)
	h.m.actions = nil
	h.m.restartEjection(s)
	for _, a := range h.m.actions {
		if l, ok := a.(Log); ok && strings.Contains(l.Text, "s0") && strings.Contains(l.Text, "ejected again") {
			return
		}
	}
	t.Errorf("no log line says that s0 is ejected again: %+v", h.m.actions)
}
