package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// scriptedProtocol is a protocol that makes attempts by calling a function of the test.
type scriptedProtocol struct {
	idleProtocol
	attempt func(a *Attempt) (decide.Result, any)
}

func (s *scriptedProtocol) Attempt(a *Attempt) (decide.Result, any, decide.Load) {
	result, answer := s.attempt(a)
	return result, answer, decide.Load{}
}

// runWithLoop runs f in virtual time, with a running loop whose list has one server.
func runWithLoop(t *testing.T, deadline int, attempt func(a *Attempt) (decide.Result, any), f func(l *Loop)) {
	t.Helper()
	server := discovery.Server{ID: "s", Addr: testkit.RefusingAddr(t), Zone: "a", Kind: "m1", State: "ready", Weight: 1}
	cfg := testConfig(t, testkit.ConfigOptions{Deadline: deadline, Servers: []discovery.Server{server}})
	synctest.Test(t, func(t *testing.T) {
		clk := newClock()
		l, err := newLoop(cfg, clk, &scriptedProtocol{attempt: attempt}, testkit.DiscardLogger)
		if err != nil {
			t.Fatal(err)
		}
		l.handle(translate(cfg, clk, testkit.DiscardLogger, cfg.Known, decide.ListCached))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			l.run(ctx)
			close(done)
		}()
		f(l)
		cancel()
		<-done
	})
}

// newUpload returns an upload whose client is writing until written is called on it.
func newUpload(remaining time.Duration) pendingRequest {
	r := newPendingRequest("1")
	r.Upload = true
	r.Remaining = remaining
	r.Deadline = time.Now().Add(remaining)
	writing := &atomic.Bool{}
	writing.Store(true)
	r.ClientIsWriting = writing.Load
	r.Message = writing
	return r
}

// written makes the client of newUpload write the last byte now.
func written(r *Request) {
	r.Message.(*atomic.Bool).Store(false)
	r.StillWriting(time.Now())
}

// The deadline of an upload must be measured from its last byte, however late that byte arrives.
func TestUploadDeadlineRunsFromItsLastByte(t *testing.T) {
	attempt := func(a *Attempt) (decide.Result, any) {
		time.Sleep(5 * time.Minute) // the client is slow
		written(a.Request)
		a.UploadCompleted()
		time.Sleep(900 * time.Millisecond)
		if a.Context.Err() != nil {
			return decide.TimedOut, nil
		}
		return decide.OK, "answer"
	}
	runWithLoop(t, 1000, attempt, func(l *Loop) {
		r := newUpload(time.Second)
		l.Submit(r.Request)
		if a := <-r.reply; a.Response != "answer" {
			t.Errorf("%+v", a)
		}
	})
}

// From its last byte on an upload must be bounded like any request: if the server does not answer, the client must get
// an answer by its deadline.
func TestUploadIsAnsweredByItsDeadline(t *testing.T) {
	var end time.Time
	attempt := func(a *Attempt) (decide.Result, any) {
		time.Sleep(time.Minute)
		end = time.Now().Add(time.Second)
		written(a.Request)
		a.UploadCompleted()
		<-a.Context.Done()
		return decide.TimedOut, nil
	}
	runWithLoop(t, 1000, attempt, func(l *Loop) {
		r := newUpload(time.Second)
		l.Submit(r.Request)
		if a := <-r.reply; !a.TimedOut || time.Now().After(end) || time.Until(end) > 100*time.Millisecond {
			t.Errorf("%+v, %v before its deadline", a, time.Until(end))
		}
	})
}

// Guards against an upload without a deadline while its server does not read.
func TestUploadThatItsServerDoesNotReadIsAnsweredByItsDeadline(t *testing.T) {
	var end time.Time
	attempt := func(a *Attempt) (decide.Result, any) {
		time.Sleep(time.Minute)
		end = time.Now().Add(time.Second)
		written(a.Request)
		<-a.Context.Done()
		return decide.TimedOut, nil
	}
	runWithLoop(t, 1000, attempt, func(l *Loop) {
		r := newUpload(time.Second)
		l.Submit(r.Request)
		if a := <-r.reply; !a.TimedOut || time.Now().After(end) || time.Until(end) > 100*time.Millisecond {
			t.Errorf("%+v, %v before its deadline", a, time.Until(end))
		}
	})
}

// An attempt that failed after it had sent bytes that can't be sent again must not be retried. Since the request was
// not executed, it must be refused at once, so that the client may retry.
func TestUploadThatCannotBeReplayedIsRefused(t *testing.T) {
	n := 0
	attempt := func(a *Attempt) (decide.Result, any) {
		n++
		a.MarkNotReplayable()
		return decide.Incomplete, nil
	}
	runWithLoop(t, 60000, attempt, func(l *Loop) {
		r := newUpload(time.Minute)
		start := time.Now()
		l.Submit(r.Request)
		if a := <-r.reply; !a.Refused || n != 1 || time.Since(start) > time.Second {
			t.Errorf("%+v after %d attempts and %v", a, n, time.Since(start))
		}
	})
}

// Once a response has begun to reach the client and the server has finished its work, the client's deadline must not
// end the attempt. While the server is still working, the deadline must end it.
func TestCompletedResponseOutlivesTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name      string
		progress  ServerProgress
		completes bool
	}{
		{"the server is done", ServerDone, true},
		{"the server still works", ServerWorking, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			attempt := func(a *Attempt) (decide.Result, any) {
				time.Sleep(100 * time.Millisecond)
				first := a.StartResponse(c.progress)
				second := a.StartResponse(c.progress)
				if !first || !second {
					return decide.Cancelled, nil
				}
				select {
				case <-time.After(time.Minute):
					return decide.OK, "complete"
				case <-a.Context.Done():
					return decide.TimedOut, nil
				}
			}
			runWithLoop(t, 1000, attempt, func(l *Loop) {
				r := newPendingRequest("1")
				r.Remaining = time.Second
				r.Deadline = time.Now().Add(r.Remaining)
				l.Submit(r.Request)
				if a := <-r.reply; (a.Response == "complete") != c.completes {
					t.Errorf("answer %+v", a)
				}
				if late := l.totals.late.Load(); late != 0 {
					t.Errorf("counted as late %d times", late)
				}
			})
		})
	}
}

// A response must not start after the deadline.
func TestResponsePastTheDeadlineDoesNotStart(t *testing.T) {
	attempt := func(a *Attempt) (decide.Result, any) {
		<-a.Context.Done()
		if a.StartResponse(ServerDone) {
			return decide.OK, "late"
		}
		return decide.TimedOut, nil
	}
	runWithLoop(t, 1000, attempt, func(l *Loop) {
		r := newPendingRequest("1")
		r.Remaining = time.Second
		r.Deadline = time.Now().Add(r.Remaining)
		l.Submit(r.Request)
		if a := <-r.reply; a.Response != nil || !a.TimedOut {
			t.Errorf("%+v", a)
		}
	})
}
