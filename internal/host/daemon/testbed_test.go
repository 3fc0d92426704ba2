package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
)

// testTimeout is how long a test waits for an expected event. It is far longer than any event takes on any machine.
const testTimeout = 20 * time.Second

// logBuffer stores what is logged.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// count returns how often a text occurs in the log.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// testbed is an environment for daemons under test: a list service, a log, and a directory for sockets and files.
type testbed struct {
	t    *testing.T
	dir  string
	list *standin.List
	log  *logBuffer
	head string // more lines for the beginning of the configuration
}

// writeFile writes a settings file, and returns its path.
func writeFile(t testing.TB, dir, text string) string {
	t.Helper()
	path := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newTestbed returns a testbed whose list contains the servers.
func newTestbed(t *testing.T, servers ...discovery.Server) *testbed {
	t.Helper()
	list, err := standin.NewList("", servers...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	dir, err := os.MkdirTemp("", "fleet") // a short path, since the paths of Unix sockets have to be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return &testbed{t: t, dir: dir, list: list, log: &logBuffer{}}
}

// socketPath returns the path of an instance's Unix socket, or of the admin endpoint's.
func (tb *testbed) socketPath(name string) string { return filepath.Join(tb.dir, name+".sock") }

// writeConfig writes the settings file: a class get that is safe to repeat, a class pay that is not, and the tables
// in rest.
func (tb *testbed) writeConfig(rest string) string {
	tb.t.Helper()
	text := fmt.Sprintf(`admin = "unix:%s"
%s
[limits]
sockets = 10000
[restart]
first = "1ms"
most = "20ms"
give_up = 4
[[source]]
name = "main"
list = "%s"
spread = "1ms"
first = "1ms"
[site]
zones = ["a"]
kinds = ["k"]
[rules]
connect_timeout = "10s"
idle_close = "60s"
[[class]]
name = "get"
repeats = "safe"
aim = "5s"
deadline = "60s"
worth = 1.0
[[class]]
name = "pay"
repeats = "unsafe"
aim = "5s"
deadline = "60s"
worth = 1.0
%s`, tb.socketPath("admin"), tb.head, tb.list.Addr(), rest)
	return writeFile(tb.t, tb.dir, text)
}

// instanceText returns the tables of instances.
func (tb *testbed) instanceText(names ...string) string {
	out := ""
	for _, n := range names {
		out += fmt.Sprintf("[[instance]]\nname = %q\nlisten = \"unix:%s\"\n", n, tb.socketPath(n))
	}
	return out
}

// newHoldingServer returns a server that reports each pay request on a channel and does not answer it until release
// is called. release must be called before the server is closed, even if the test fails: closing waits for the
// answers.
func newHoldingServer() (s *standin.FormServer, received chan struct{}, release func()) {
	hold, received := make(chan struct{}), make(chan struct{}, 100)
	s = standin.NewFormServer("s", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") {
			received <- struct{}{}
			<-hold
		}
		fmt.Fprint(w, "done")
	})
	return s, received, sync.OnceFunc(func() { close(hold) })
}

// testDaemon is a daemon under test.
type testDaemon struct {
	*Daemon
	testbed *testbed
	stop    context.CancelFunc
	ended   chan error
	ready   chan struct{}
}

// start starts a daemon and waits until it is ready.
func (tb *testbed) start(o Options) *testDaemon {
	tb.t.Helper()
	r, err := tb.tryStart(o)
	if err != nil {
		tb.t.Fatal(err)
	}
	select {
	case <-r.ready:
	case err := <-r.ended:
		tb.t.Fatalf("the daemon ended before it was ready: %v", err)
	case <-time.After(testTimeout):
		tb.t.Fatal("the daemon is not ready")
	}
	return r
}

// tryStart starts a daemon and returns the error of New, if there is one.
func (tb *testbed) tryStart(o Options) (*testDaemon, error) {
	tb.t.Helper()
	if o.Config == nil {
		cfg, err := daemonconfig.Load(filepath.Join(tb.dir, "fleet.toml"))
		if err != nil {
			tb.t.Fatal(err)
		}
		o.Config = cfg
	}
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(tb.log, nil))
	}
	r := &testDaemon{testbed: tb, ended: make(chan error, 1), ready: make(chan struct{})}
	onReady := o.Ready
	o.Ready = func() {
		if onReady != nil {
			onReady()
		}
		close(r.ready)
	}
	d, err := New(o)
	if err != nil {
		return nil, err
	}
	r.Daemon = d
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.ended <- d.Run(ctx) }()
	tb.t.Cleanup(func() { r.end() })
	return r, nil
}

// end stops the daemon and waits until it has ended.
func (d *testDaemon) end() error {
	d.stop()
	select {
	case err := <-d.ended:
		d.ended <- err
		return err
	case <-time.After(2 * testTimeout):
		d.testbed.t.Error("the daemon did not stop")
		return nil
	}
}

// client returns a client of the instance at a Unix socket. It opens a new connection for each request, unless keep
// is true.
func client(path string, keep bool) *http.Client {
	return &http.Client{Timeout: 2 * testTimeout, Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 100,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
}

var traceIDs atomic.Int64

// sendRequest sends one request and returns the status and the body of its answer, or an error.
func sendRequest(c *http.Client, class string) (int, string, error) {
	method := http.MethodGet
	if class != "get" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://x/"+class, nil)
	if err != nil {
		return 0, "", err
	}
	// The header is not one from which net/http concludes that it may send the request again.
	req.Header["X-Trace-Id"] = []string{fmt.Sprint("t", traceIDs.Add(1))}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// expectServed fails unless an instance serves a request.
func (tb *testbed) expectServed(name string) {
	tb.t.Helper()
	if status, body, err := sendRequest(client(tb.socketPath(name), false), "get"); err != nil || status != 200 {
		tb.t.Errorf("%s: %d %q %v", name, status, body, err)
	}
}

// eventually waits until f is true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
