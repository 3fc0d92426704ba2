package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

func (r *rig) upload(id string, class int) []decide.Action {
	return r.step(decide.Request{ID: id, Class: class, Remaining: 2000 * ms, Upload: true})
}

// While their clients still send, uploads are no load: neither on their servers, nor on what may be in flight, and
// no server looks slow for a slow client.
func TestUploadsAreNoLoad(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.serve(40, safe, 10*ms)
	for i := range 200 { // far more than may be in flight
		id := fmt.Sprint("up", i)
		if r.upload(id, safe); len(r.sent[id]) != 1 {
			t.Fatalf("upload %d was not sent", i)
		}
		r.advance(ms)
	}
	r.advance(time.Minute)
	if got := r.serve(100, safe, 10*ms); got["a"] < 30 || got["b"] < 30 {
		t.Errorf("beside slow uploads: %v", got)
	}
	if got := final("up0", r.actions); got != "" {
		t.Errorf("an upload ended by itself: %s", got)
	}
}

// An upload's time, and its attempt's, begin with its last byte. Then it is load as any.
func TestUploadCountsFromItsEnd(t *testing.T) {
	s := settings()
	r := newRig(t, s, 1, backends(1))
	r.serve(40, safe, 10*ms)
	r.upload("up", safe)
	r.advance(time.Minute)
	r.step(decide.UploadCompleted{Request: "up", Remaining: 2000 * ms})
	r.step(decide.UploadCompleted{Request: "up", Remaining: 2000 * ms}) // told twice
	r.advance(10 * ms)
	// It failed: there is time for another attempt, which was not so by the time when it came.
	r.outcome("up", decide.Errored, 10*ms)
	if actions := r.advance(s.Classes[safe].Objective); len(r.sent["up"]) != 2 {
		t.Errorf("sent %v, %v", r.sent["up"], actions)
	}
	r.outcome("up", decide.OK, 10*ms)
	if got := r.serve(50, safe, 10*ms); got["a"] != 50 {
		t.Errorf("afterwards: %v", got)
	}
}

// What can't be sent again is not, whatever its class allows; where nothing ran, its client may come again.
func TestSpentIsNotSentAgain(t *testing.T) {
	for _, tt := range []struct {
		class  int
		result decide.Result
		want   string
	}{
		{safe, decide.Incomplete, "refuse"}, {keyedAll, decide.Incomplete, "refuse"}, {unsafe, decide.Incomplete, "refuse"}, {unsafe, decide.Rejected, "refuse"},
		{safe, decide.Errored, "fail"}, {keyedAll, decide.Reset, "fail"}, {unsafe, decide.Reset, "fail"},
	} {
		r := newRig(t, settings(), 1, backends(3))
		r.upload("up", tt.class)
		actions := r.step(decide.Outcome{Request: "up", Backend: r.sent["up"][0], Result: tt.result, NotReplayable: true})
		actions = append(actions, r.advance(time.Minute)...)
		if got := final("up", actions); got != tt.want || len(r.sent["up"]) != 1 {
			t.Errorf("class %d, %v: %q, sent %v", tt.class, tt.result, got, r.sent["up"])
		}
	}
}

// An upload of which nothing was spent is tried again as any request.
func TestUnspentUploadIsSentAgain(t *testing.T) {
	r := newRig(t, settings(), 1, backends(3))
	r.upload("up", unsafe)
	r.outcome("up", decide.ConnectFailed, ms)
	if r.advance(time.Second); len(r.sent["up"]) != 2 {
		t.Errorf("sent %v", r.sent["up"])
	}
}

// A server that is done with a request whose answer's bytes are still on their way is free, and its success counts when
// the answer began. A break later on ends the request, and another attempt is out of the question.
func TestStreamedAnswerFreesItsServer(t *testing.T) {
	for _, tt := range []struct {
		result decide.Result
		done   bool
		want   string
	}{{decide.OK, true, ""}, {decide.Reset, false, "fail"}, {decide.Cancelled, true, ""}} {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(40, safe, 10*ms)
		r.request("q", safe)
		to := r.sent["q"][0]
		r.advance(10 * ms)
		r.step(decide.ResponseStarted{Request: "q", Completed: true, Latency: 10 * ms})
		r.advance(time.Minute) // a slow client
		if got := r.serve(100, safe, 10*ms); got[to] < 30 {
			t.Errorf("beside a streaming answer %s got %d of 100", to, got[to])
		}
		actions := r.step(decide.Outcome{Request: "q", Backend: to, Result: tt.result, Latency: time.Minute, Answered: tt.done})
		actions = append(actions, r.advance(time.Minute)...)
		if got := final("q", actions); got != tt.want || len(r.sent["q"]) != 1 {
			t.Errorf("%v: %q, sent %v", tt.result, got, r.sent["q"])
		}
		if tt.result != decide.Reset {
			if got := r.serve(100, safe, 10*ms); got[to] < 30 {
				t.Errorf("after %v %s got %d of 100", tt.result, to, got[to])
			}
		}
	}
}
