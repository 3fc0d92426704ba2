package lease

import (
	"testing"
	"time"

	"vetchhaven/decide/quota"
)

const (
	// testStart is a clock reading at which the process has been running for a while.
	testStart = time.Hour
	// testRunID is the run ID of the server under test.
	testRunID = 7
)

// testSettings returns the settings of one hard limit.
func testSettings(total int, kind quota.Kind, servers ...string) Settings {
	limit := Limit{Limit: quota.Limit{Name: "l", Kind: kind, Class: -1, Zone: -1, Cell: -1}, Total: total, Hard: true}
	return Settings{Servers: servers, MaxAttemptTime: time.Second, Limits: []Limit{limit}}
}

// mustNewServer returns a server named k that has not started.
func mustNewServer(t *testing.T, s Settings, runID uint64) *Server {
	t.Helper()
	server, err := NewServer(s, "k", runID)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// serverHarness is a server whose clock and requests a test controls.
type serverHarness struct {
	t      *testing.T
	server *Server
	now    time.Duration
	seq    uint64
}

// newServerHarness returns a server that started long ago.
func newServerHarness(t *testing.T, s Settings) *serverHarness {
	t.Helper()
	h := &serverHarness{t: t, server: mustNewServer(t, s, testRunID), now: testStart}
	h.server.Tick(h.now)
	for range 20 {
		h.now += time.Second
		h.server.Tick(h.now)
	}
	return h
}

// replacedBy returns a harness that continues with another server, and with higher request numbers.
func (h *serverHarness) replacedBy(server *Server, now time.Duration) *serverHarness {
	return &serverHarness{t: h.t, server: server, now: now, seq: 100}
}

// request requests a lease for a client's only agent. It returns the granted amount and the number of the grant.
func (h *serverHarness) request(client string, need int, lastGrant uint64, used int) (amount int, number uint64) {
	h.t.Helper()
	h.seq++
	return h.send(h.newRequest(client, RequestItem{Need: need, Desired: need, LastGrant: lastGrant, Used: used}))
}

// expect requests a lease for a client that has none, and compares the granted amount.
func (h *serverHarness) expect(client string, need, want int, why string) {
	h.t.Helper()
	if got, _ := h.request(client, need, 0, 0); got != want {
		h.t.Errorf("%s was granted %d of %d, want %d: %s", client, got, need, want, why)
	}
}

func (h *serverHarness) newRequest(client string, item RequestItem) *Request {
	item.Agent = 1
	item.Fingerprint = h.server.limits[0].fingerprint
	return &Request{
		From:        client,
		RunID:       1,
		Fingerprint: h.server.settings.Fingerprint(),
		Seq:         h.seq,
		ServerRunID: h.server.runID,
		Items:       []RequestItem{item},
	}
}

func (h *serverHarness) send(request *Request) (amount int, number uint64) {
	grant := h.server.HandleRequest(h.now, request)
	if grant == nil || len(grant.Items) == 0 {
		return 0, 0
	}
	return grant.Items[0].Amount, grant.Items[0].Number
}

// newTestClient returns a client with one agent, and the agent's ledger.
func newTestClient(t *testing.T, s Settings) (*Client, *quota.Ledger) {
	t.Helper()
	client, err := NewClient(s, "x", 5)
	if err != nil {
		t.Fatal(err)
	}
	client.AddAgent(testStart, 1)
	ledger := &quota.Ledger{}
	ledger.SetLimits([]quota.Limit{s.Limits[0].Limit})
	return client, ledger
}
