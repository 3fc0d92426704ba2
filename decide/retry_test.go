package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A keyed request that may have run may be retried only within its deduplication scope and window.
func TestKeyedRetryStaysInDedupScope(t *testing.T) {
	zone := map[string]int{"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2}
	for seed := uint64(0); seed < 40; seed++ {
		for _, class := range []int{keyedZone, keyedCell} {
			h := newHarness(t, testSettings(), seed, testBackends(6))
			h.request("q", class)
			h.now += 5 * ms
			h.outcome("q", decide.Errored, 5*ms)
			h.advance(200 * ms)
			if s := h.sent["q"]; len(s) != 2 || zone[s[0]] != zone[s[1]] {
				t.Errorf("seed %d class %d: attempts %v leave the deduplication scope", seed, class, s)
			}
		}
	}
	t.Run("window", func(t *testing.T) {
		h := newHarness(t, testSettings(), 1, testBackends(6))
		h.request("q", keyedAll)
		h.now += 300 * ms
		acts := h.outcome("q", decide.Errored, 300*ms)
		if finalAnswer("q", acts) != "fail" {
			t.Errorf("after the window: %v, want a failure", acts)
		}
	})
	t.Run("never ran", func(t *testing.T) {
		h := newHarness(t, testSettings(), 1, testBackends(6))
		h.request("q", keyedZone)
		h.now += 400 * ms
		h.outcome("q", decide.ConnectFailed, 400*ms)
		h.advance(200 * ms)
		if len(h.sent["q"]) != 2 {
			t.Errorf("attempts %v: an attempt that never ran must not restrict the request", h.sent["q"])
		}
	})
}

func TestMaxAttemptsHolds(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 3
	h := newHarness(t, s, 3, testBackends(6))
	h.request("q", idempotent)
	var all []decide.Action
	for range 6 {
		if finalAnswer("q", all) != "" {
			break
		}
		h.now += ms
		all = append(all, h.outcome("q", decide.Errored, ms)...)
		all = append(all, h.advance(150*ms)...)
	}
	if len(h.sent["q"]) != 3 || finalAnswer("q", all) != "fail" {
		t.Errorf("attempts %v and answer %q, want 3 and one failure", h.sent["q"], finalAnswer("q", all))
	}
}

// The bucket holds 100 tokens: 20 retries at 5, or 10 retries at 10 after time-outs. First attempts are sent even if
// it is empty. Each successful request returns one token, up to the maximum.
func TestRetryBucketIsChargedAndRefilled(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	// spend lets n requests fail and returns how many were retried. The retries fail as well, so that they do not
	// refill the bucket.
	spend := func(h *harness, n int, res decide.Result) (retried int) {
		for range n {
			id := fmt.Sprintf("spend-%d", len(h.sent))
			h.request(id, idempotent)
			if len(h.sent[id]) != 1 {
				t.Fatalf("the first attempt of %s was not sent", id)
			}
			h.now += ms
			h.outcome(id, res, ms)
			h.advance(100 * ms)
			if len(h.sent[id]) == 2 {
				retried++
				h.now += ms
				h.outcome(id, decide.Errored, ms)
			}
			h.advance(30 * time.Second) // ejections expire
		}
		return retried
	}
	tests := []struct {
		name  string
		res   decide.Result
		serve int // requests served between emptying the bucket and trying again
		first int
		then  int
	}{
		{"errors cost 5", decide.Errored, 4, 20, 0},
		{"five successes allow one retry", decide.Errored, 5, 20, 1},
		{"time-outs cost 10", decide.TimedOut, 9, 10, 0},
		{"ten successes allow one retry after a time-out", decide.TimedOut, 10, 10, 1},
		{"the bucket has a maximum", decide.Errored, 500, 20, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, s, 5, testBackends(6))
			if got := spend(h, 30, tt.res); got != tt.first {
				t.Errorf("a full bucket allowed %d retries, want %d", got, tt.first)
			}
			h.serve(tt.serve, idempotent, 20*ms)
			h.advance(30 * time.Second)
			if got := spend(h, 30, tt.res); got != tt.then {
				t.Errorf("then it allowed %d retries, want %d", got, tt.then)
			}
		})
	}
}

// Backoffs must have full jitter: they are random between 0 and an upper bound, which is a share of the objective and
// doubles with each retry up to a maximum.
func TestBackoffIsFullyJitteredAndBounded(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 7
	unit := s.Classes[idempotent].Objective / 32
	longest := make([]time.Duration, 6)
	shortest := []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour}
	for seed := uint64(0); seed < 300; seed++ {
		h := newHarness(t, s, seed, testBackends(8))
		h.request("q", idempotent)
		for n := range 6 {
			h.outcome("q", decide.Rejected, 0)
			failed := h.now
			for len(h.sent["q"]) == n+1 && len(h.due) > 0 {
				h.advance(ms / 4)
			}
			if len(h.sent["q"]) != n+2 {
				t.Fatalf("seed %d: retry %d was not made", seed, n)
			}
			longest[n] = max(longest[n], h.now-failed)
			shortest[n] = min(shortest[n], h.now-failed)
		}
	}
	for n, got := range longest {
		bound := unit << min(n, 3)
		if got > bound+ms || got < bound*8/10 {
			t.Errorf("retry %d waited up to %v, want close to %v and no more", n, got, bound)
		}
		if shortest[n] > bound/10 {
			t.Errorf("retry %d waited at least %v, want full jitter from 0", n, shortest[n])
		}
	}
}

// A retry that would start after the deadline must not be sent.
func TestNoRetryPastTheDeadline(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.request("q", idempotent)
	h.now += 2000 * ms
	if acts := h.outcome("q", decide.TimedOut, 2000*ms); finalAnswer("q", acts) != "fail" {
		t.Errorf("at the deadline: %v, want the final answer at once", acts)
	}
}

// A retry of a keyed request must have a StartBy that is before the end of the deduplication window, which begins when
// the first attempt is sent. First attempts, idempotent requests, and requests whose first attempt never ran must have
// no such bound.
func TestKeyedRetryStartsWithinTheDedupWindow(t *testing.T) {
	startBounds := func(acts []decide.Action) (all []time.Duration) {
		for _, a := range acts {
			if s, ok := a.(decide.Send); ok {
				all = append(all, s.StartBy)
			}
		}
		return all
	}
	for _, row := range []struct {
		class  int
		result decide.Result
		bound  bool
	}{{keyedAll, decide.Errored, true}, {keyedAll, decide.Rejected, false}, {idempotent, decide.Errored, false}, {nonIdempotent, decide.Incomplete, false}} {
		h := newHarness(t, testSettings(), 1, testBackends(4))
		sent := h.now
		if u := startBounds(h.request("x", row.class)); len(u) != 1 || u[0] != 0 {
			t.Fatalf("first attempt: %v", u)
		}
		h.now += 20 * ms
		acts := append(h.outcome("x", row.result, 20*ms), h.advance(100*ms)...)
		want := time.Duration(0)
		if row.bound {
			want = sent + 300*ms - 150*ms // the agent may be paused for 150 ms between reading the clock and the write
		}
		if u := startBounds(acts); len(u) != 1 || u[0] != want {
			t.Errorf("class %d after %v: start by %v, want %v", row.class, row.result, u, want)
		}
	}
}

// A repeat may have to wait for its connection, at most for the connect time-out. It must reach the backend while the
// backend still drops repeats of the first attempt. With real sockets, a repeat that was sent at the end of the window
// could be executed a second time if its connection had to be opened first.
func TestKeyedRetryReachesTheBackendWithinTheDedupWindow(t *testing.T) {
	for _, row := range []struct {
		failed time.Duration
		sends  int
	}{{100 * ms, 2}, {250 * ms, 1}} {
		s := testSettings()
		s.ConnectTimeout = 100 * ms // the deduplication window is 300 ms
		h := newHarness(t, s, 1, testBackends(4))
		h.request("x", keyedAll)
		h.now += row.failed
		acts := append(h.outcome("x", decide.Errored, row.failed), h.advance(100*ms)...)
		if n := len(h.sent["x"]); n != row.sends {
			t.Errorf("failed after %v: %d sends, want %d", row.failed, n, row.sends)
		}
		if got := finalAnswer("x", acts); (got != "") != (row.sends == 1) {
			t.Errorf("failed after %v: final answer %q", row.failed, got)
		}
	}
}
