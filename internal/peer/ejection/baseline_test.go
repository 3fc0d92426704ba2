package ejection

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// collectorHarness holds a member that is a collector of a server, to which other members report isolated failures.
type collectorHarness struct {
	*harness
	server   *server
	failures uint32
}

// newCollectorHarness returns a collector that has received a number of isolated failures at an interval.
func newCollectorHarness(t *testing.T, failures int, interval time.Duration) *collectorHarness {
	t.Helper()
	h := &collectorHarness{harness: newHarness(t)}
	h.serveRequests(600)
	for s := range 8 {
		if server := h.m.servers[fmt.Sprint("s", s)]; h.m.collects(server) {
			h.server = server
			break
		}
	}
	if h.server == nil {
		t.Fatal("the member is not a collector of any server")
	}
	for range failures {
		h.isolatedFailure()
		h.wait(interval)
	}
	return h
}

// isolatedFailure makes another member notify the collector of a failure and respond to its poll. The server responds
// to the collector's own agents.
func (h *collectorHarness) isolatedFailure() {
	h.t.Helper()
	h.failures++
	from := string(rune('b' + h.failures%9))
	about := []ServerProcess{h.server.incarnation()}
	poll := uint64(0)
	for _, s := range stepAndCollectSends(h.m, h.now, Received{from, &Message{FormatVersion: currentFormat, Notify: true, About: about}}) {
		if s.To == from && s.Message.OwnOnly {
			poll = s.Message.PollNumber
		}
	}
	if poll == 0 {
		h.t.Fatalf("%s was not polled", from)
	}
	evidence := failureReport(from, h.failures)
	evidence.Server = h.server.ID
	evidence.Succeeded = 9
	evidence.OtherSucceeded = 90
	evidence.BaselineFailureRate = 0
	h.step(Received{from, &Message{ResponseTo: poll, Evidence: []Evidence{evidence}}})
	h.now += time.Millisecond
	h.step(OutcomesObserved{[]OutcomeSample{{Server: h.server.ID, StartedMS: testStartedMS, Succeeded: 1}}})
}

func TestCollectorTellsBaselineFromABurst(t *testing.T) {
	h := newCollectorHarness(t, 12, 4*time.Second)
	if h.server.anomalous {
		t.Error("a failure every four seconds is anomalous, although that is the baseline")
	}
	for range 5 {
		h.isolatedFailure()
		h.wait(20 * time.Millisecond)
	}
	if !h.server.anomalous {
		t.Error("failures of five members within 100 ms are not anomalous")
	}
}

// A collector counts the baseline instead of estimating it, because some members may send far more requests to a server
// than the collector. Two failures a second are twenty times the estimate from the collector's own rate.
func TestCollectorCountsTheBaselineFailureRate(t *testing.T) {
	h := newCollectorHarness(t, 100, 500*time.Millisecond)
	anomalies := 0
	for range 20 {
		h.isolatedFailure()
		if h.server.anomalous {
			anomalies++
		}
		h.wait(500 * time.Millisecond)
	}
	if anomalies > 0 {
		t.Errorf("anomalous after %d of 20 failures at the baseline rate", anomalies)
	}
	rate, ok := h.server.baseline.perSecond(h.now)
	if !ok || rate < 1.5 || rate > 3 {
		t.Errorf("baseline of %v failures a second, known %v", rate, ok)
	}
}

func TestBaselineExcludesTheLastSpans(t *testing.T) {
	b := newBaselineCounter(0)
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		b.add(at)
	}
	before, ok := b.perSecond(time.Minute)
	for range 100 {
		b.add(time.Minute)
	}
	if after, _ := b.perSecond(time.Minute + baselineSpan); !ok || after > 1.1*before {
		t.Errorf("%v failures a second, and %v right after a burst", before, after)
	}
	if later, _ := b.perSecond(time.Minute + 3*baselineSpan); later < 2*before {
		t.Errorf("%v failures a second, and %v long after a burst", before, later)
	}
	b.add(2 * time.Minute)
	b.discardRecent(2 * time.Minute)
	if b.failures[0] != 0 {
		t.Error("a discarded failure still counts")
	}
}

func TestPoissonTail(t *testing.T) {
	for _, c := range []struct{ n, mean, want float64 }{
		{0, 3, 1},
		{1, 0.01, 0.00995},
		{2, 0.01, 4.97e-5},
		{3, 1, 0.0803},
		{2, 40, 1},
		{30, 10, 1e-6},
		{5, 0, 0},
	} {
		t.Run(fmt.Sprintf("%v or more of %v", c.n, c.mean), func(t *testing.T) {
			if got := poissonTail(c.n, c.mean); math.Abs(got-c.want) > 0.01*c.want+1e-6 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
