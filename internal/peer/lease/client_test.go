package lease

import (
	"testing"
	"time"

	"vetchhaven/decide/quota"
)

// clientHarness is a client of one server. It has a lease of 3 from grant number 2, and an earlier request that is
// still pending.
type clientHarness struct {
	*Client
	ledger  *quota.Ledger
	now     time.Duration
	earlier *Request // request without a response
	granted *Request
}

func newClientHarness(t *testing.T) *clientHarness {
	t.Helper()
	h := &clientHarness{now: testStart}
	h.Client, h.ledger = newTestClient(t, testSettings(10, quota.Requests, "k"))
	h.earlier = h.Requests(h.now)[0].Request
	h.now += 2 * time.Second
	h.granted = h.Requests(h.now)[0].Request
	leases := h.HandleGrant(h.now, 0, h.grant(h.granted.Seq, 2, 3))
	if len(leases) != 1 || leases[0].Leases[0].Amount != 3 || leases[0].Leases[0].Expires != h.now+DefaultTerm {
		t.Fatalf("leases %+v", leases)
	}
	h.ledger.SetLeases(h.now, leases[0].Leases)
	h.ReportUsage(h.now, 1, h.ledger.Usages(h.now))
	return h
}

func (h *clientHarness) grant(seq, number uint64, amount int) *Grant {
	item := GrantItem{Agent: 1, Fingerprint: h.earlier.Items[0].Fingerprint, Number: number, Amount: amount}
	return &Grant{From: "k", RunID: testRunID, Seq: seq, Items: []GrantItem{item}}
}

func TestOldOrDuplicateGrantsAreIgnored(t *testing.T) {
	h := newClientHarness(t)
	for _, c := range []struct {
		name  string
		grant *Grant
	}{
		{"an older number", h.grant(h.earlier.Seq, 1, 9)},
		{"a duplicate", h.grant(h.granted.Seq, 3, 9)},
		{"to no request", h.grant(77, 4, 9)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if leases := h.HandleGrant(h.now, 0, c.grant); len(leases) > 0 {
				t.Errorf("leases %+v", leases)
			}
		})
	}
	h.now += 2 * time.Second
	if item := h.Requests(h.now)[0].Request.Items[0]; item.LastGrant != 2 {
		t.Errorf("the last grant reported is %d, want 2", item.LastGrant)
	}
}

func TestRemovedAgentReleasesItsLeases(t *testing.T) {
	h := newClientHarness(t)
	requests := h.RemoveAgent(1)
	if len(requests) != 1 || requests[0].Request.Items[0].LastGrant != releasedGrants {
		t.Errorf("requests %+v", requests)
	}
	h.ReportUsage(h.now, 1, nil)
	if len(h.Agents()) > 0 {
		t.Error("leases are still requested for an agent that has ended")
	}
}
