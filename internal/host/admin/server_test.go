package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/handoff"
	"vetchhaven/internal/testkit"
)

// fakeAgent records the calls that reach it.
type fakeAgent struct {
	mu        sync.Mutex
	accepting bool
	stuck     bool
	known     map[string]bool
	calls     []string
}

func (a *fakeAgent) Accepting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepting
}

func (a *fakeAgent) Status(time.Duration) core.Status {
	return core.Status{Classes: []core.ClassStatus{{Name: "get", Answered: 5, Deferred: 4, Errored: 3, Sends: 6},
		{Name: "put", Sends: 1}}, Open: 2, Listed: 9, Avoided: 1}
}

func (a *fakeAgent) SetServerDisabled(ctx context.Context, id string, out bool) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stuck {
		<-ctx.Done()
		return false, ctx.Err()
	}
	a.calls = append(a.calls, fmt.Sprint(id, out))
	return a.known[id], nil
}

func (a *fakeAgent) SetDrained(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, fmt.Sprint("drain", on))
}

// failingPublisher is a Publisher whose Publish always fails.
type failingPublisher struct{}

func (failingPublisher) Publish(handoff.Change) error { return errors.New("disk full") }

func startServer(t *testing.T, agent Agent, publisher Publisher) string {
	t.Helper()
	server, err := Listen("127.0.0.1:0", agent, publisher, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return "http://" + server.Addr().String()
}

func call(t *testing.T, method, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%s %s: error %v, connection kept open: %v", method, url, err, !resp.Close)
	}
	return resp.StatusCode, string(text)
}

func TestEachCallReachesTheAgent(t *testing.T) {
	a := &fakeAgent{known: map[string]bool{"s-1": true, "a/b": true}}
	base := startServer(t, a, failingPublisher{}) // a change that can't be published is in effect nevertheless
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/ready", 503}, {"PUT", "/ready", 405}, {"GET", "/nothing", 404},
		{"PUT", "/backends/disable/s-1", 200}, {"PUT", "/backends/disable/s-1", 200}, {"PUT", "/backends/enable/s-1", 200},
		{"PUT", "/backends/disable/a%2Fb", 200}, {"PUT", "/backends/disable/nobody", 404}, {"PUT", "/backends/enable/nobody", 404},
		{"PUT", "/backends/disable/", 404}, {"GET", "/backends/disable/s-1", 405}, {"POST", "/drain", 405},
		{"PUT", "/drain", 200}, {"PUT", "/undrain", 200},
	} {
		if status, text := call(t, c.method, base+c.path); status != c.status {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.path, status, text, c.status)
		}
	}
	want := "s-1true s-1true s-1false a/btrue nobodytrue nobodyfalse draintrue drainfalse"
	if got := strings.Join(a.calls, " "); got != want {
		t.Errorf("the agent received %q, want %q", got, want)
	}
	a.mu.Lock()
	a.accepting = true
	a.mu.Unlock()
	if status, _ := call(t, "GET", base+"/ready"); status != 200 {
		t.Errorf("ready: status %d, want 200", status)
	}
}

func TestFiguresAreShownByClass(t *testing.T) {
	status, text := call(t, "GET", startServer(t, &fakeAgent{}, nil)+"/metrics")
	var got struct {
		Transactions     map[string]map[string]int64
		Current          int64
		ClusterSize      int64 `json:"cluster_size"`
		ClusterUnhealthy int64 `json:"cluster_unhealthy"`
	}
	if err := json.Unmarshal([]byte(text), &got); err != nil || status != 200 {
		t.Fatalf("%d %v: %s", status, err, text)
	}
	g := got.Transactions["get"]
	if g["answered"] != 5 || g["deferred"] != 4 || g["errored"] != 3 || g["sends"] != 6 || got.Transactions["put"]["sends"] != 1 ||
		got.Current != 2 || got.ClusterSize != 9 || got.ClusterUnhealthy != 1 {
		t.Errorf("%s", text)
	}
}

// Connections that have sent no call or half a call don't delay other calls, however many such connections there are.
func TestIdleConnectionsAreEvictedForACall(t *testing.T) {
	base := startServer(t, &fakeAgent{accepting: true}, nil)
	for i := range 4 * maxIdleConns {
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, "GET /ready HT")
		}
		if i%8 == 0 {
			if status, _ := call(t, "GET", base+"/ready"); status != 200 {
				t.Fatalf("ready with %d idle connections open: status %d", i+1, status)
			}
		}
	}
}

// A connection without a call is closed after callTimeout.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	base := startServer(t, &fakeAgent{accepting: true}, nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(bufio.NewReader(c)); err != nil {
		t.Errorf("connection was not closed: %v", err)
	}
}

// If the agent does not answer, the call is answered with 503 before the caller times out.
func TestBusyAgentIsReportedInTime(t *testing.T) {
	if status, text := call(t, "PUT", startServer(t, &fakeAgent{stuck: true}, nil)+"/backends/disable/x"); status != 503 {
		t.Errorf("status %d %q, want 503", status, text)
	}
}
