package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

func (h *harness) upload(id string, class int) []decide.Action {
	return h.step(decide.Request{ID: id, Class: class, Remaining: 2000 * ms, Upload: true})
}

// While their clients are still sending, uploads must not count as load, neither at their servers nor in the
// in-flight limit, and a slow client must not make a server look slow.
func TestUploadsAreNotInFlightWork(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(2))
	h.serve(40, idempotent, 10*ms)
	for i := range 200 { // far more than may be in flight
		id := fmt.Sprint("up", i)
		if h.upload(id, idempotent); len(h.sent[id]) != 1 {
			t.Fatalf("upload %d was not sent", i)
		}
		h.advance(ms)
	}
	h.advance(time.Minute)
	if got := h.serve(100, idempotent, 10*ms); got["a"] < 30 || got["b"] < 30 {
		t.Errorf("requests per server during slow uploads: %v", got)
	}
	if got := finalAnswer("up0", h.actions); got != "" {
		t.Errorf("an upload ended without an event: %s", got)
	}
}

// The time limits of an upload and of its attempt must begin with its last byte. From then on it must count as load, as
// any other request.
func TestUploadTimeCountsFromItsLastByte(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, 1, testBackends(1))
	h.serve(40, idempotent, 10*ms)
	h.upload("up", idempotent)
	h.advance(time.Minute)
	h.step(decide.UploadCompleted{Request: "up", Remaining: 2000 * ms})
	h.step(decide.UploadCompleted{Request: "up", Remaining: 2000 * ms}) // the event is repeated
	h.advance(10 * ms)
	// The attempt failed. There is time for another one, because the deadline counts from the last byte of the upload
	// and not from its arrival.
	h.outcome("up", decide.Errored, 10*ms)
	if actions := h.advance(s.Classes[idempotent].Objective); len(h.sent["up"]) != 2 {
		t.Errorf("sent %v, %v", h.sent["up"], actions)
	}
	h.outcome("up", decide.OK, 10*ms)
	if got := h.serve(50, idempotent, 10*ms); got["a"] != 50 {
		t.Errorf("requests per server afterwards: %v", got)
	}
}

// A request that can't be sent again must not be retried, whatever its class allows. If it did not run, its client
// may retry.
func TestNotReplayableRequestIsNotRetried(t *testing.T) {
	for _, tt := range []struct {
		class  int
		result decide.Result
		want   string
	}{
		{idempotent, decide.Incomplete, "refuse"}, {keyedAll, decide.Incomplete, "refuse"}, {nonIdempotent, decide.Incomplete, "refuse"}, {nonIdempotent, decide.Rejected, "refuse"},
		{idempotent, decide.Errored, "fail"}, {keyedAll, decide.Reset, "fail"}, {nonIdempotent, decide.Reset, "fail"},
	} {
		h := newHarness(t, testSettings(), 1, testBackends(3))
		h.upload("up", tt.class)
		actions := h.step(decide.Outcome{Request: "up", Backend: h.sent["up"][0], Result: tt.result, NotReplayable: true})
		actions = append(actions, h.advance(time.Minute)...)
		if got := finalAnswer("up", actions); got != tt.want || len(h.sent["up"]) != 1 {
			t.Errorf("class %d, %v: %q, sent %v", tt.class, tt.result, got, h.sent["up"])
		}
	}
}

// An upload that is still replayable must be retried like any request.
func TestReplayableUploadIsRetried(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(3))
	h.upload("up", nonIdempotent)
	h.outcome("up", decide.ConnectFailed, ms)
	if h.advance(time.Second); len(h.sent["up"]) != 2 {
		t.Errorf("sent %v", h.sent["up"])
	}
}

// A server that has finished a request must not count as busy while bytes of the response are still in transit, and the
// success must be counted when the response starts. If the connection breaks later, the request ends and must not be
// retried.
func TestStreamedResponseFreesItsBackend(t *testing.T) {
	for _, tt := range []struct {
		result decide.Result
		done   bool
		want   string
	}{{decide.OK, true, ""}, {decide.Reset, false, "fail"}, {decide.Cancelled, true, ""}} {
		h := newHarness(t, testSettings(), 1, testBackends(2))
		h.serve(40, idempotent, 10*ms)
		h.request("q", idempotent)
		to := h.sent["q"][0]
		h.advance(10 * ms)
		h.step(decide.ResponseStarted{Request: "q", Completed: true, Latency: 10 * ms})
		h.advance(time.Minute) // a slow client
		if got := h.serve(100, idempotent, 10*ms); got[to] < 30 {
			t.Errorf("during a streamed response %s got %d of 100", to, got[to])
		}
		actions := h.step(decide.Outcome{Request: "q", Backend: to, Result: tt.result, Latency: time.Minute, Answered: tt.done})
		actions = append(actions, h.advance(time.Minute)...)
		if got := finalAnswer("q", actions); got != tt.want || len(h.sent["q"]) != 1 {
			t.Errorf("%v: %q, sent %v", tt.result, got, h.sent["q"])
		}
		if tt.result != decide.Reset {
			if got := h.serve(100, idempotent, 10*ms); got[to] < 30 {
				t.Errorf("after %v %s got %d of 100", tt.result, to, got[to])
			}
		}
	}
}
