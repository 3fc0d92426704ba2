package decide_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"vetchhaven/decide"
)

// The outcome and the class decide whether a request is retried on another backend or ends.
func TestOutcomeDecidesRetryOrFinalAnswer(t *testing.T) {
	const retry = "retry"
	tests := []struct {
		class  int
		result decide.Result
		want   string
	}{
		{idempotent, decide.Errored, retry},
		{idempotent, decide.TimedOut, retry},
		{idempotent, decide.Reset, retry},
		{idempotent, decide.Rejected, retry},
		{idempotent, decide.ConnectFailed, retry},
		{idempotent, decide.NotSent, "refuse"},
		{nonIdempotent, decide.Errored, "fail"},
		{nonIdempotent, decide.TimedOut, "fail"},
		{nonIdempotent, decide.Reset, "fail"},
		{nonIdempotent, decide.Cancelled, "fail"},
		{nonIdempotent, decide.Rejected, retry},
		{nonIdempotent, decide.ConnectFailed, retry},
		{nonIdempotent, decide.NotSent, "refuse"},
		{keyedAll, decide.Errored, retry},
		{keyedAll, decide.Rejected, retry},
		{keyedZone, decide.Errored, retry},
		{keyedZone, decide.ConnectFailed, retry},
		{keyedCell, decide.TimedOut, retry},
		{keyedCell, decide.Reset, retry},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("class %d result %d", tt.class, tt.result), func(t *testing.T) {
			h := newHarness(t, testSettings(), 7, testBackends(6))
			h.request("q", tt.class)
			h.now += 10 * ms
			acts := h.outcome("q", tt.result, 10*ms)
			acts = append(acts, h.advance(200*ms)...)
			got := finalAnswer("q", acts)
			if len(h.sent["q"]) == 2 {
				got += retry
				if h.sent["q"][0] == h.sent["q"][1] {
					t.Errorf("both attempts went to %s, which had just failed", h.sent["q"][0])
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// If the list is empty at the start, requests must wait, and be refused before their deadline.
func TestRequestIsRefusedWithoutBackend(t *testing.T) {
	for _, class := range []int{idempotent, nonIdempotent, keyedZone} {
		h := newHarness(t, testSettings(), 1, nil)
		acts := h.request("q", class)
		acts = append(acts, h.advance(399*ms)...)
		if finalAnswer("q", acts) != "refuse" {
			t.Errorf("class %d: %q, want one refusal within the objective", class, finalAnswer("q", acts))
		}
	}
	t.Run("list comes in time", func(t *testing.T) {
		h := newHarness(t, testSettings(), 1, nil)
		h.request("q", idempotent)
		h.now += 50 * ms
		h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)})
		if len(h.sent["q"]) != 1 {
			t.Error("the waiting request was not sent")
		}
	})
}

// A try whose remaining time is shortened by the client's deadline must count as a retry. Unlike a first attempt, it
// does not wait for capacity.
func TestClientRetryIsInferredFromRemainingTime(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(1))
	submit := func(id string, left time.Duration) []decide.Action {
		return h.step(decide.Request{ID: id, Class: idempotent, Remaining: left})
	}
	for i := range 20 { // the usual remaining time, with small differences
		submit(fmt.Sprint("f", i), 900*ms+time.Duration(i%3)*ms)
	}
	if got := finalAnswer("first", submit("first", 899*ms)); got != "" {
		t.Errorf("a first try without capacity got %q at once, want it to wait", got)
	}
	if got := finalAnswer("late", submit("late", 700*ms)); got != "refuse" {
		t.Errorf("a late try without capacity got %q, want a refusal at once", got)
	}
}

// Events about unknown requests, timers or peers, late events and repeated events must have no effect.
func TestUnknownEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(2))
	h.request("done", idempotent)
	h.now += 10 * ms
	h.outcome("done", decide.OK, 10*ms)
	h.request("open", nonIdempotent)
	unknownEvents := []decide.Event{
		decide.Outcome{Request: "never", Result: decide.Errored},
		decide.Outcome{Request: "done", Result: decide.Errored},
		decide.Outcome{Request: "open", Attempt: 7, Result: decide.Errored},
		decide.Outcome{Request: "open", Attempt: -1, Result: decide.Errored},
		decide.TimerFired{Token: 99}, decide.TimerFired{Token: 0}, decide.TimerFired{Token: -5},
		decide.RequestCancelled{Request: "never"}, decide.RequestCancelled{Request: "done"},
		decide.ResponseStarted{Request: "never"},
		decide.ProbeResult{Backend: "zz"},
		decide.PeerMessage{From: 44, Data: []byte{1}},
		decide.Request{ID: "bad", Class: 17, Remaining: time.Second},
		decide.Request{ID: "bad", Class: -1, Remaining: time.Second},
		decide.Request{ID: "open", Class: idempotent, Remaining: time.Second},
	}
	for _, e := range unknownEvents {
		if acts := h.step(e); len(acts) != 0 {
			t.Errorf("%#v: %v, want no action", e, acts)
		}
	}
	h.now += 10 * ms
	if acts := h.outcome("open", decide.Errored, 10*ms); finalAnswer("open", acts) != "fail" {
		t.Errorf("the open request: %v, want one failure", acts)
	}
	if acts := h.outcome("open", decide.Errored, 10*ms); len(acts) != 0 {
		t.Errorf("a repeated outcome: %v, want no action", acts)
	}
}

// No further attempt and no answer must be sent for a cancelled request, although its open attempt still counts.
func TestCancelledRequestIsForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(2))
	h.request("q", idempotent)
	h.step(decide.RequestCancelled{Request: "q"})
	h.now += 10 * ms
	acts := h.outcome("q", decide.Errored, 10*ms)
	acts = append(acts, h.advance(3*time.Second)...)
	if len(acts) != 0 {
		t.Errorf("after the client had disconnected: %v, want no action", acts)
	}
}

// A request must not be retried once its response has begun to reach the client.
func TestNoRetryOnceTheResponseHasStarted(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(2))
	h.request("q", idempotent)
	h.step(decide.ResponseStarted{Request: "q"})
	h.now += 10 * ms
	acts := h.step(decide.Outcome{Request: "q", Backend: h.sent["q"][0], Result: decide.Reset, Answered: true})
	acts = append(acts, h.advance(3*time.Second)...)
	if len(acts) != 0 || len(h.sent["q"]) != 1 {
		t.Errorf("after a broken response: %v, want no action", acts)
	}
}

// The same seed and events must give the same actions.
func TestSameSeedGivesSameActions(t *testing.T) {
	play := func(seed uint64) (log []string) {
		h := newHarness(t, testSettings(), seed, testBackends(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			log = append(log, fmt.Sprint(h.request(id, i%5)))
			h.now += 3 * ms
			if i%3 != 0 && len(h.sent[id]) > 0 {
				log = append(log, fmt.Sprint(h.outcome(id, decide.Result(i%6), 3*ms)))
			}
			log = append(log, fmt.Sprint(h.advance(2*ms)))
		}
		return log
	}
	if !reflect.DeepEqual(play(11), play(11)) {
		t.Error("two runs with one seed differ")
	}
	if reflect.DeepEqual(play(11), play(12)) {
		t.Error("two seeds give the same run")
	}
}

// A queued request must always have a timer. If its timer fired after its shed time had moved to a later time, it got
// neither another timer nor an answer (scenario satx-returns).
func TestQueuedRequestAlwaysHasATimer(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(1))
	var acts []decide.Action
	for i := range 40 {
		acts = append(acts, h.request(fmt.Sprint("q", i), idempotent)...)
	}
	for range 10 { // fast answers lower the expected latency, so that the other requests may wait longer
		h.now += ms
		for i := range 40 {
			if id := fmt.Sprint("q", i); len(h.sent[id]) == 1 {
				acts = append(acts, h.outcome(id, decide.OK, 5*ms)...)
				h.sent[id] = append(h.sent[id], "done")
				break
			}
		}
	}
	acts = append(acts, h.advance(1900*ms)...)
	for i := range 40 {
		if id := fmt.Sprint("q", i); len(h.sent[id]) == 0 && finalAnswer(id, acts) == "" {
			t.Errorf("%s was queued and got no answer", id)
		}
	}
}
