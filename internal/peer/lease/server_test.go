package lease

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide/quota"
)

func TestReducedLeaseCountsUntilItIsAdopted(t *testing.T) {
	h := newServerHarness(t, testSettings(10, quota.InFlight, "k"))
	first, number := h.request("x", 10, 0, 0)
	if first != 10 {
		t.Fatalf("granted %d of 10", first)
	}
	h.request("x", 2, number, 9)
	h.expect("y", 10, 0, "x may still use its lease of 10")

	_, number = h.request("x", 2, number, 9)
	h.request("x", 2, number, 9) // x has adopted the reduced lease with nine in flight
	h.expect("y", 10, 1, "x has nine in flight")

	_, number = h.request("x", 2, number, 3)
	h.request("x", 2, number, 2)
	if got, _ := h.request("y", 10, 0, 0); got < 7 {
		t.Errorf("y was granted %d while x has two in flight, want at least 7", got)
	}
}

func TestOutdatedRequestReleasesNothing(t *testing.T) {
	h := newServerHarness(t, testSettings(10, quota.Requests, "k"))
	_, number := h.request("x", 10, 0, 0)
	outdated := h.newRequest("x", RequestItem{LastGrant: number})
	_, number = h.request("x", 0, number, 0)
	h.request("x", 0, number, 10) // ten attempts of x have begun, and x has adopted a grant of 0
	h.send(outdated)              // sent before the attempts began, and delayed until now
	h.expect("y", 10, 0, "ten attempts of x began within the last second")
	h.now += 1300 * time.Millisecond
	h.request("x", 0, number, 0)
	h.expect("y", 10, 10, "the attempts of x began more than a second ago")
}

func TestStartingServerGrantsNothingUntilEarlierLeasesExpired(t *testing.T) {
	for _, kind := range []quota.Kind{quota.InFlight, quota.Requests} {
		t.Run(kind.String(), func(t *testing.T) {
			server := mustNewServer(t, testSettings(10, kind, "k"), testRunID)
			h := &serverHarness{t: t, server: server, now: testStart}
			server.Tick(h.now)
			for end := h.now + server.settings.serverTerm(kind); h.now < end; h.now += 100 * time.Millisecond {
				if got, _ := h.request("x", 5, 0, 0); got != 0 {
					t.Fatalf("granted %v before the leases of an earlier run have certainly expired", end-h.now)
				}
			}
			if got, _ := h.request("x", 5, 0, 0); got < 5 {
				t.Errorf("x was granted %d after that, want 5", got)
			}
			h.now += server.settings.Term
			h.expect("y", 5, 0, "the server was paused for a term: another process may have granted leases")
		})
	}
}

func TestLeasesOfAnUnreachableClientExpire(t *testing.T) {
	h := newServerHarness(t, testSettings(10, quota.InFlight, "k"))
	h.request("x", 10, 0, 0)
	end := h.now + h.server.settings.serverTerm(quota.InFlight)
	for ; h.now < end-50*time.Millisecond; h.now += 100 * time.Millisecond {
		if got, _ := h.request("y", 10, 0, 0); got != 0 {
			t.Fatalf("y was granted %d, %v before the lease of x has certainly expired", got, end-h.now)
		}
	}
	h.now = end + 50*time.Millisecond
	h.expect("y", 10, 10, "the lease of x has expired")
}

func TestSuccessorLeasesNothingTwice(t *testing.T) {
	s := testSettings(10, quota.InFlight, "k")
	t.Run("another process", func(t *testing.T) {
		h := newServerHarness(t, s)
		leased, _ := h.request("x", 8, 0, 0)
		const successorStart = 5 * time.Second
		successor := mustNewServer(t, s, 99)
		if !successor.Resume(successorStart, h.server.State(h.now)) || successor.runID != testRunID {
			t.Fatal("the successor did not resume the state")
		}
		h.replacedBy(successor, successorStart).expect("y", 10, 10-leased, "x has a lease of the rest")
	})
	t.Run("a lower total", func(t *testing.T) {
		h := newServerHarness(t, s)
		h.request("x", 8, 0, 0)
		lower := s
		lower.Limits = slices.Clone(s.Limits)
		lower.Limits[0].Total = 5
		h.takeOver(lower).expect("y", 10, 0, "x has a lease of 8, and the total is 5 now")
	})
	t.Run("other servers", func(t *testing.T) {
		h := newServerHarness(t, s)
		h.request("x", 8, 0, 0)
		other := s
		other.Servers = []string{"k", "m"}
		h.takeOver(other).expect("y", 10, 0, "all leases have to expire first")
	})
	t.Run("a shorter term", func(t *testing.T) {
		h := newServerHarness(t, s)
		h.request("x", 8, 0, 0)
		longTerm := h.server.settings.serverTerm(quota.InFlight)
		shorter := s
		shorter.Term = DefaultTerm / 2
		successor := h.takeOver(shorter)
		for end := h.now + longTerm; successor.now < end; successor.now += 100 * time.Millisecond {
			if got, _ := successor.request("y", 10, 0, 0); got != 0 {
				t.Fatalf("y was granted %d, %v before the longer leases have expired", got, end-successor.now)
			}
		}
	})
}

// takeOver returns a harness of a server that has other settings and has taken over from this one.
func (h *serverHarness) takeOver(s Settings) *serverHarness {
	h.t.Helper()
	successor := mustNewServer(h.t, s, testRunID)
	successor.TakeOver(h.server)
	return h.replacedBy(successor, h.now)
}

func TestEveryClientIsGrantedALeaseInTurn(t *testing.T) {
	h := newServerHarness(t, testSettings(2, quota.Requests, "k"))
	clients := []string{"a", "b", "c", "d", "e"}
	lastGrant := map[string]uint64{}
	granted := map[string]int{}
	for range 400 {
		for _, client := range clients {
			amount, number := h.request(client, 1, lastGrant[client], 0)
			lastGrant[client] = number
			granted[client] += amount
		}
		h.now += 250 * time.Millisecond
	}
	for _, client := range clients {
		if granted[client] == 0 {
			t.Errorf("%s was never granted a lease: %v", client, granted)
		}
	}
}

// The encoded state for a successor must consist of the same bytes each time. Without sorting, its rows had the random
// order of a map.
func TestHandedOverRowsAreInOrder(t *testing.T) {
	l := &serverLimit{rows: map[string]*serverRow{}}
	for n := range 20 {
		l.rows[fmt.Sprintf("key%02d", n)] = &serverRow{}
	}
	state := l.state(0)
	if len(state.Rows) != 20 || !slices.IsSortedFunc(state.Rows, func(a, b RowState) int { return strings.Compare(a.Key, b.Key) }) {
		t.Errorf("%+v", state.Rows)
	}
}
