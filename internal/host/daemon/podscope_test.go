package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/standin/dns"
)

// keyLog records at which servers requests with idempotency keys have run.
type keyLog struct {
	mu     sync.Mutex
	ran    map[string][]string // by key: the servers that got it, in order
	resets int                 // connections that were reset under a request that had run
}

// serve records a request. The first request with a key gets no answer: its connection is reset.
func (l *keyLog) serve(w http.ResponseWriter, r *http.Request, server string) {
	key := r.Header.Get("Idempotency-Key")
	l.mu.Lock()
	isRepeat := len(l.ran[key]) > 0
	l.ran[key] = append(l.ran[key], server)
	if !isRepeat {
		l.resets++
	}
	l.mu.Unlock()
	if isRepeat {
		_, _ = w.Write([]byte(server))
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// repeats returns the number of repeats that went to the server that got the key first, and the keys that ran at
// several servers.
func (l *keyLog) repeats() (atSameServer int, spread []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, servers := range l.ran {
		for _, server := range servers[1:] {
			if server == servers[0] {
				atSameServer++
			} else {
				spread = append(spread, fmt.Sprint(key, " ran at ", servers))
			}
		}
	}
	return atSameServer, spread
}

const podClassText = `
[[class]]
name = "close"
repeats = "keyed"
group = "pod"
window = "50s"
aim = "5s"
deadline = "20s"
worth = 1.0
`

// playResets starts a daemon and sends it requests of a keyed class whose scope is the pod, until 20 of them have been
// reset after they had run.
func playResets(t *testing.T, tb *testbed, log *keyLog) {
	t.Helper()
	tb.start(Options{})
	c := client(tb.socketPath("a"), true)
	for n := 0; ; n++ {
		if n == 2000 {
			t.Fatal("the servers that reset connections got too few requests")
		}
		req, err := http.NewRequest(http.MethodPost, "http://x/close", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header["X-Trace-Id"] = []string{fmt.Sprint("k", traceIDs.Add(1))}
		req.Header.Set("Idempotency-Key", fmt.Sprint("key-", n))
		resp, err := c.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		log.mu.Lock()
		resets := log.resets
		log.mu.Unlock()
		if resets == 20 {
			return
		}
	}
}

// Servers that stand in SRV records and not yet on the list have unknown pods. A keyed request whose repeats only the
// servers of one pod drop must not be repeated at another one of them, where it would take effect a second time. It is
// still repeated at the server that got it first.
func TestKeyedRequestOfAServerInRecordsAloneIsRepeatedThereOnly(t *testing.T) {
	log := &keyLog{ran: map[string][]string{}}
	names, err := dns.New()
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	var servers []*standin.FormServer
	for i := range 4 {
		f := standin.NewFormServer(fmt.Sprint("recorded-", i), nil)
		defer f.Close()
		f.Handle = func(w http.ResponseWriter, r *http.Request) { log.serve(w, r, f.ID) }
		servers = append(servers, f)
	}
	publishRecords(t, names, 5, servers...)
	tb := newTestbed(t)
	tb.writeRecordsConfig(names.Addr(), podClassText+tb.instanceText("a"))
	playResets(t, tb, log)
	expectRepeatsAtFirstServer(t, log)
}

// The servers of a list that does not tell their cells are not known to be in one pod.
func TestKeyedRequestOfAListWithoutCellsIsRepeatedAtItsServerOnly(t *testing.T) {
	log := &keyLog{ran: map[string][]string{}}
	var members []discovery.Server
	for i := range 4 {
		f := standin.NewFormServer(fmt.Sprint("listed-", i), nil)
		defer f.Close()
		f.Handle = func(w http.ResponseWriter, r *http.Request) { log.serve(w, r, f.ID) }
		member := f.Member("ready")
		member.Cell = nil
		members = append(members, member)
	}
	tb := newTestbed(t, members...)
	tb.writeConfig(podClassText + tb.instanceText("a"))
	playResets(t, tb, log)
	expectRepeatsAtFirstServer(t, log)
}

func expectRepeatsAtFirstServer(t *testing.T, log *keyLog) {
	t.Helper()
	atSameServer, spread := log.repeats()
	if len(spread) > 0 {
		t.Errorf("%d requests ran at several servers: %v", len(spread), spread)
	}
	if atSameServer == 0 {
		t.Error("no request was repeated at its server")
	}
}
