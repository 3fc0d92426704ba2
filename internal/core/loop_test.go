package core

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

// If the balancer does not answer a request, the loop itself must give the only final answer.
func TestLoopAnswersAtTheDeadlineItself(t *testing.T) {
	cfg := testConfig(t, testkit.ConfigOptions{})
	l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	r := newPendingRequest("1")
	r.Deadline = time.Now()
	l.handle(requestArrived{r.Request})
	l.handle(deadlineExceeded{r.Request})
	l.handle(deadlineExceeded{r.Request}) // a second event must not cause another answer
	l.handle(clientDisconnected{r.Request})
	if a := testkit.Receive(t, "final answer", r.reply); !a.TimedOut {
		t.Errorf("%+v", a)
	}
	if len(l.requests) != 0 || len(r.reply) != 0 {
		t.Errorf("%d requests, %d more answers", len(l.requests), len(r.reply))
	}
	if want := (decide.RequestCancelled{Request: "1"}); !slices.Contains(l.pending, decide.Event(want)) {
		t.Error("the balancer was not told that the request was cancelled")
	}
}

// The loop must handle a request that is removed from the table before the step in which the balancer would get it.
func TestDisconnectBeforeTheFirstStep(t *testing.T) {
	cfg := testConfig(t, testkit.ConfigOptions{})
	l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	r := newPendingRequest("1")
	r.Deadline = time.Now().Add(time.Minute)
	l.handle(requestArrived{r.Request})
	l.handle(clientDisconnected{r.Request})
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		l.run(ctx)
		close(done)
	}()
	next := newPendingRequest("2")
	next.Deadline = time.Now().Add(time.Second)
	l.post(requestArrived{next.Request})
	testkit.Receive(t, "answer to the next request", next.reply)
	cancel()
	testkit.Receive(t, "end of the loop", done)
}

// The client of a request that is rejected as a duplicate may disconnect before it reads the answer.
func TestDuplicateMayDisconnectBeforeItsAnswer(t *testing.T) {
	l, err := newLoop(testConfig(t, testkit.ConfigOptions{}), newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	first, again := newPendingRequest("1"), newPendingRequest("1")
	l.handle(requestArrived{first.Request})
	l.handle(requestArrived{again.Request})
	l.handle(clientDisconnected{again.Request})
	l.handle(deadlineExceeded{again.Request})
	if a := testkit.Receive(t, "answer", again.reply); !a.Duplicate || len(again.reply) != 0 {
		t.Errorf("%+v and %d more", a, len(again.reply))
	}
	if l.requests["1"] != first.Request || first.done || len(first.reply) != 0 {
		t.Error("the first request is not open any more")
	}
}

// The event of a request's deadline timer may reach the loop before the request, if the deadline passes while the
// request is submitted, as in a drain. The request must get one answer, and another open request with the same ID must
// not be affected.
func TestDeadlineMayOvertakeItsRequest(t *testing.T) {
	l, err := newLoop(testConfig(t, testkit.ConfigOptions{}), newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	first, again := newPendingRequest("1"), newPendingRequest("1")
	l.handle(requestArrived{first.Request})
	for _, r := range []pendingRequest{again, newPendingRequest("2")} {
		l.handle(deadlineExceeded{r.Request})
		l.handle(requestArrived{r.Request})
		l.handle(clientDisconnected{r.Request})
		if a := testkit.Receive(t, "answer", r.reply); !a.TimedOut || len(r.reply) != 0 {
			t.Errorf("%+v and %d more", a, len(r.reply))
		}
	}
	if l.requests["1"] != first.Request || first.done || len(l.requests) != 1 {
		t.Error("the first request is not open any more, or others are open")
	}
	for _, e := range l.pending {
		if _, ok := e.(decide.RequestCancelled); ok {
			t.Error("the balancer was told to cancel a request whose ID it knows from another client")
		}
	}
}

// This is TestDeadlineMayOvertakeItsRequest with real timers: the deadline of thousands of requests passes while they
// are submitted, and the events of some timers reach the loop before their requests. Such a request used to end the
// loop, after 260 requests at most.
func TestRequestsSubmittedPastTheirDeadlineAreAnswered(t *testing.T) {
	l, err := newLoop(testConfig(t, testkit.ConfigOptions{}), newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		l.run(ctx)
	}()
	for n := range 3000 {
		r := newPendingRequest(fmt.Sprint(n))
		r.Deadline = time.Now().Add(-time.Minute)
		l.Submit(r.Request)
		select {
		case <-r.reply:
		case reason := <-ended:
			t.Fatalf("the loop ended at request %d: %v", n, reason)
		case <-time.After(testkit.EventTimeout):
			t.Fatalf("request %d has no answer", n)
		}
	}
	cancel()
	testkit.Receive(t, "end of the loop", ended)
}

// The number of stored recent IDs must be bounded by time and by count.
func TestRecentIDsAreBounded(t *testing.T) {
	r := newRecentIDs(time.Second)
	const all = 5*maxRecentIDs + 10
	for n := range all {
		r.add(fmt.Sprint(n), 2*time.Second)
	}
	if n := len(r.current) + len(r.previous); n > 2*maxRecentIDs {
		t.Errorf("%d IDs are remembered", n)
	}
	if last := fmt.Sprint(all - 1); !r.has(last, 2*time.Second) || r.has(last, 3*time.Second) == r.has(last, 5*time.Second) {
		t.Error("the last ID is not remembered, or is never forgotten")
	}
}
