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

// agent is one that does as it is told.
type agent struct {
	mu        sync.Mutex
	accepting bool
	stuck     bool
	known     map[string]bool
	said      []string
}

func (a *agent) Accepting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepting
}

func (a *agent) Figures(time.Duration) core.Figures {
	return core.Figures{Classes: []core.ClassFigures{{Name: "get", Answered: 5, Deferred: 4, Errored: 3, Sends: 6},
		{Name: "put", Sends: 1}}, Open: 2, Listed: 9, Avoided: 1}
}

func (a *agent) Ban(ctx context.Context, id string, out, _ bool) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stuck {
		<-ctx.Done()
		return false, ctx.Err()
	}
	a.said = append(a.said, fmt.Sprint(id, out))
	return a.known[id], nil
}

func (a *agent) Drain(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.said = append(a.said, fmt.Sprint("drain", on))
}

// keeper fails.
type keeper struct{}

func (keeper) Say(handoff.Change) error { return errors.New("disk full") }

func open(t *testing.T, a Agent, k Keeper) string {
	t.Helper()
	d, err := Open("127.0.0.1:0", a, k, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return "http://" + d.Addr().String()
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
		t.Errorf("%s %s: %v, and the connection is kept: %v", method, url, err, !resp.Close)
	}
	return resp.StatusCode, string(text)
}

func TestCalls(t *testing.T) {
	a := &agent{known: map[string]bool{"s-1": true, "a/b": true}}
	base := open(t, a, keeper{}) // what is not kept holds all the same
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
	if got := strings.Join(a.said, " "); got != want {
		t.Errorf("the agent heard %q, want %q", got, want)
	}
	a.mu.Lock()
	a.accepting = true
	a.mu.Unlock()
	if status, _ := call(t, "GET", base+"/ready"); status != 200 {
		t.Errorf("ready: %d", status)
	}
}

func TestFigures(t *testing.T) {
	status, text := call(t, "GET", open(t, &agent{}, nil)+"/metrics")
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

// Callers that connect and say nothing, or half of a call, don't keep others waiting, however many they are.
func TestSilentCallers(t *testing.T) {
	base := open(t, &agent{accepting: true}, nil)
	for i := range 4 * mostSilent {
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
				t.Fatalf("ready beside %d silent callers: %d", i+1, status)
			}
		}
	}
}

// A silent caller is closed on by itself.
func TestSilentCallerEnds(t *testing.T) {
	base := open(t, &agent{accepting: true}, nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(testkit.Patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(bufio.NewReader(c)); err != nil {
		t.Errorf("not closed: %v", err)
	}
}

// A loop that does not answer leaves the caller with a no in time, not with nothing.
func TestBusyAgent(t *testing.T) {
	if status, text := call(t, "PUT", open(t, &agent{stuck: true}, nil)+"/backends/disable/x"); status != 503 {
		t.Errorf("%d %q", status, text)
	}
}
