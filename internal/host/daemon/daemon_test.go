package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

	"go.uber.org/goleak"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const patience = 20 * time.Second

// logs keeps what is logged.
type logs struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logs) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// yard is where daemons are tried: a list, form servers, a directory for sockets and files.
type yard struct {
	t     *testing.T
	dir   string
	list  *standin.List
	log   *logs
	extra string // more of the configuration's head
}

func writeFile(t testing.TB, dir, text string) string {
	t.Helper()
	path := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newYard(t *testing.T, servers ...discovery.Member) *yard {
	t.Helper()
	list, err := standin.NewList("", servers...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	dir, err := os.MkdirTemp("", "fleet") // short: paths of unix sockets are
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return &yard{t: t, dir: dir, list: list, log: &logs{}}
}

func (y *yard) sock(name string) string { return filepath.Join(y.dir, name+".sock") }

// config writes the file: one class of each kind, and what follows.
func (y *yard) config(rest string) string {
	y.t.Helper()
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
%s`, y.sock("admin"), y.extra, y.list.Addr(), rest)
	return writeFile(y.t, y.dir, text)
}

func (y *yard) instance(names ...string) string {
	out := ""
	for _, n := range names {
		out += fmt.Sprintf("[[instance]]\nname = %q\nlisten = \"unix:%s\"\n", n, y.sock(n))
	}
	return out
}

// holding is a server that holds what is paid until release, and says that it came. Release it before it is closed, also
// where the test fails: it waits for its answers.
func holding() (s *standin.Form, came chan struct{}, release func()) {
	hold, came := make(chan struct{}), make(chan struct{}, 100)
	s = standin.NewForm("s", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") {
			came <- struct{}{}
			<-hold
		}
		fmt.Fprint(w, "done")
	})
	return s, came, sync.OnceFunc(func() { close(hold) })
}

// running is a daemon under test.
type running struct {
	*Daemon
	y     *yard
	stop  context.CancelFunc
	ended chan error
	ready chan struct{}
}

func (y *yard) start(o Options) *running {
	y.t.Helper()
	r, err := y.try(o)
	if err != nil {
		y.t.Fatal(err)
	}
	select {
	case <-r.ready:
	case err := <-r.ended:
		y.t.Fatalf("it ended: %v", err)
	case <-time.After(patience):
		y.t.Fatal("not ready")
	}
	return r
}

func (y *yard) try(o Options) (*running, error) {
	y.t.Helper()
	if o.Config == nil {
		cfg, err := daemonconfig.Load(filepath.Join(y.dir, "fleet.toml"))
		if err != nil {
			y.t.Fatal(err)
		}
		o.Config = cfg
	}
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(y.log, nil))
	}
	r := &running{y: y, ended: make(chan error, 1), ready: make(chan struct{})}
	tell := o.Ready
	o.Ready = func() {
		if tell != nil {
			tell()
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
	y.t.Cleanup(func() { r.end() })
	return r, nil
}

// end stops the daemon and waits for its end.
func (r *running) end() error {
	r.stop()
	select {
	case err := <-r.ended:
		r.ended <- err
		return err
	case <-time.After(2 * patience):
		r.y.t.Error("the daemon did not stop")
		return nil
	}
}

// client asks the instance at a unix socket, each time on a new connection unless kept.
func client(path string, keep bool) *http.Client {
	return &http.Client{Timeout: 2 * patience, Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 100,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
}

var ids atomic.Int64

// ask sends one request and returns its status and body, or an error.
func ask(c *http.Client, class string) (int, string, error) {
	method := http.MethodGet
	if class != "get" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://x/"+class, nil)
	if err != nil {
		return 0, "", err
	}
	// With a list value that net/http does not take for a sign that a request may be sent again.
	req.Header["X-Trace-Id"] = []string{fmt.Sprint("t", ids.Add(1))}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (y *yard) wantServed(name string) {
	y.t.Helper()
	if status, body, err := ask(client(y.sock(name), false), "get"); err != nil || status != 200 {
		y.t.Errorf("%s: %d %q %v", name, status, body, err)
	}
}

// eventually waits until f is true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func TestServesManyInstancesFromOneReading(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	y.config(fmt.Sprintf("[[template]]\nname = \"i{n}\"\nlisten = \"unix:%s/i{n}.sock\"\ncount = 40\n", y.dir))
	r := y.start(Options{})
	for i := range 40 {
		name := fmt.Sprint("i", i)
		eventually(t, name+" knows a server", func() bool {
			status, _, err := ask(client(y.sock(name), false), "get")
			return err == nil && status == 200
		})
	}
	if n := y.list.Calls(); n != 1 {
		t.Errorf("%d readings of the list for 40 instances", n)
	}
	st, _ := r.Status()
	if st.Ready != 40 || st.Totals.Served < 40 || st.Lists[0].Readers != 40 {
		t.Errorf("%+v", st)
	}
	if resp, err := client(y.sock("admin"), false).Get("http://x/_health"); err != nil || resp.StatusCode != 200 {
		t.Errorf("health: %v %v", resp, err)
	} else {
		resp.Body.Close()
	}
	if err := r.end(); err != nil {
		t.Error(err)
	}
	y.list.Close()
}

// A panic in one instance ends that one alone. What it had taken is answered failed, it starts
// again, and the others lose nothing.
func TestPanicEndsOneInstanceAlone(t *testing.T) {
	s, came, release := holding()
	defer s.Close()
	defer release()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("bad", "good"))
	var blow atomic.Bool
	r := y.start(Options{Fault: func(name string) func(core.Totals) {
		if name != "bad" {
			return nil
		}
		return func(core.Totals) {
			if blow.CompareAndSwap(true, false) {
				panic("brought about")
			}
		}
	}})
	type answer struct {
		status int
		err    error
	}
	for _, n := range []string{"bad", "good"} {
		y.wantServed(n)
	}
	answers := map[string]chan answer{"bad": make(chan answer, 5), "good": make(chan answer, 5)}
	for name, out := range answers {
		for range 5 {
			go func() {
				status, _, err := ask(client(y.sock(name), false), "pay")
				out <- answer{status, err}
			}()
		}
	}
	for range 10 {
		select {
		case <-came:
		case <-time.After(patience):
			t.Fatal("requests did not arrive")
		}
	}
	blow.Store(true)
	go func() { _, _, _ = ask(client(y.sock("bad"), false), "pay") }() // makes it step
	for range 5 {
		select {
		case a := <-answers["bad"]:
			if a.err != nil || a.status != http.StatusBadGateway {
				t.Errorf("taken by the one that panicked: %d %v, want it failed", a.status, a.err)
			}
		case <-time.After(patience):
			t.Fatal("what it had taken was never answered")
		}
	}
	release()
	for range 5 {
		if a := <-answers["good"]; a.err != nil || a.status != 200 {
			t.Errorf("the other: %d %v", a.status, a.err)
		}
	}
	eventually(t, "it serves again", func() bool {
		status, _, err := ask(client(y.sock("bad"), false), "get")
		return err == nil && status == 200
	})
	st, _ := r.Status()
	if st.Instances[0].Failures != 1 || !strings.Contains(st.Instances[0].Reason, "brought about") || st.Instances[1].Failures != 0 {
		t.Errorf("%+v", st.Instances)
	}
}

// One that keeps failing is left down, and says so; its clients are refused a connection; a reload
// has it tried again.
func TestKeepsFailingIsLeftDown(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("bad", "good"))
	var sick atomic.Bool
	sick.Store(true)
	r := y.start(Options{Fault: func(name string) func(core.Totals) {
		return func(core.Totals) {
			if name == "bad" && sick.Load() {
				panic("every time")
			}
		}
	}})
	down := func() bool { st, _ := r.Status(); return st.Down == 1 }
	eventually(t, "it is left down", down)
	if _, _, err := ask(client(y.sock("bad"), false), "get"); err == nil {
		t.Error("one that is down takes connections")
	}
	y.wantServed("good")
	resp, err := client(y.sock("admin"), false).Get("http://x/_health")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), "bad: down") {
		t.Errorf("health: %d %s", resp.StatusCode, body)
	}
	if n := y.log.count("left down"); n != 1 {
		t.Errorf("said %d times", n)
	}
	sick.Store(false)
	if res, err := r.Reload(); err != nil || res.Revived != 1 {
		t.Errorf("%+v %v", res, err)
	}
	eventually(t, "it serves after a reload", func() bool {
		status, _, err := ask(client(y.sock("bad"), false), "get")
		return err == nil && status == 200
	})
}

func TestReload(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	path := y.config(y.instance("a", "b", "c"))
	r := y.start(Options{})
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	// A file that makes no sense changes nothing.
	writeFile(t, y.dir, string(before)+"[[instance]]\nname = \"a\"\nlisten = \"unix:/x\"\n")
	if _, err := r.Reload(); err == nil || !strings.Contains(err.Error(), `"a" is there twice`) {
		t.Error(err)
	}
	// Nor does one whose addresses can't be had.
	writeFile(t, y.dir, string(before)+"[[instance]]\nname = \"z\"\nlisten = \"unix:/no/such/place/z.sock\"\n"+y.instance("y"))
	if _, err := r.Reload(); err == nil || !strings.Contains(err.Error(), "/no/such/place") {
		t.Error(err)
	}
	if _, err := os.Stat(y.sock("y")); err == nil {
		t.Error("an address of a configuration that was not applied is open")
	}
	for _, n := range []string{"a", "b", "c"} {
		y.wantServed(n)
	}
	// One goes, one comes, one changes, one stays.
	y.config(y.instance("a") + strings.Replace(y.instance("b"), "\nlisten", "\nmax_open = 7\nlisten", 1) + y.instance("d"))
	res, err := r.Reload()
	if err != nil || res != (ReloadResult{Added: 1, Removed: 1, Replaced: 1, Unchanged: 1}) {
		// Shares of sockets changed too, if the number of instances did: it did not.
		t.Errorf("%+v %v", res, err)
	}
	for _, n := range []string{"a", "b", "d"} {
		eventually(t, n+" serves", func() bool {
			status, _, err := ask(client(y.sock(n), false), "get")
			return err == nil && status == 200
		})
	}
	if _, _, err := ask(client(y.sock("c"), false), "get"); err == nil {
		t.Error("a removed one takes connections")
	}
}

// Reloads in a storm, under load, with one address given from one instance to another each time: no
// request and no connection attempt is lost.
func TestReloadStormLosesNothing(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	named := func(i int) string {
		return y.instance("steady") + fmt.Sprintf("[[instance]]\nname = \"turn-%d\"\nlisten = \"unix:%s\"\n", i, y.sock("turn"))
	}
	y.config(named(0))
	r := y.start(Options{})
	for _, n := range []string{"steady", "turn"} {
		eventually(t, n, func() bool {
			status, _, err := ask(client(y.sock(n), false), "get")
			return err == nil && status == 200
		})
	}
	stop := make(chan struct{})
	var asked, bad atomic.Int64
	var askers sync.WaitGroup
	for _, n := range []string{"steady", "turn"} {
		for i := range 4 {
			c := client(y.sock(n), i%2 == 0)
			askers.Go(func() {
				defer c.CloseIdleConnections()
				for {
					select {
					case <-stop:
						return
					default:
					}
					asked.Add(1)
					// Kept connections may end between requests; net/http then asks again on another, as the
					// protocol says that clients do. A refusal is honest: a fresh copy may not know servers yet.
					if status, body, err := ask(c, "get"); err != nil || status != 200 && status != 503 {
						bad.Add(1)
						t.Errorf("%s: %d %q %v", n, status, body, err)
					}
				}
			})
		}
	}
	for i := range 100 {
		y.config(named(i + 1))
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	askers.Wait()
	if asked.Load() < 100 {
		t.Errorf("only %d asked", asked.Load())
	}
	if st, _ := r.Status(); st.Reloads != 100 || len(st.Instances) != 2 {
		t.Errorf("%+v", st)
	}
}

// Removing an instance answers everything that it has taken.
func TestRemovedInstanceAnswersWhatItTook(t *testing.T) {
	s, came, release := holding()
	defer s.Close()
	defer release()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("a", "b"))
	r := y.start(Options{})
	out := make(chan string, 1)
	go func() {
		status, body, err := ask(client(y.sock("b"), false), "pay")
		out <- fmt.Sprint(status, body, err)
	}()
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatal("the request did not arrive")
	}
	y.config(y.instance("a"))
	if res, err := r.Reload(); err != nil || res.Removed != 1 {
		t.Fatalf("%+v %v", res, err)
	}
	release()
	if got := <-out; got != "200done<nil>" {
		t.Error(got)
	}
}

// A list at another address is followed in place: nothing drains. What the old one said holds until
// the new one is heard, a drain included.
func TestSourceMovesInPlace(t *testing.T) {
	one, two := standin.NewForm("one", nil), standin.NewForm("two", nil)
	defer one.Close()
	defer two.Close()
	y := newYard(t, one.Member("ready"), two.Member("draining"))
	path := y.config(y.instance("a"))
	r := y.start(Options{})
	y.wantServed("a")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	other, err := standin.NewList("", two.Member("ready"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.SetDown(true)
	writeFile(t, y.dir, strings.Replace(string(text), y.list.Addr(), other.Addr(), 1))
	if res, err := r.Reload(); err != nil || res.Moved != 1 {
		t.Fatalf("%+v %v", res, err)
	}
	for range 20 {
		y.wantServed("a")
	}
	if two.Got() > 0 {
		t.Error("a draining server was sent to after the list moved")
	}
	other.SetDown(false)
	eventually(t, "the new list is followed", func() bool {
		_, body, _ := ask(client(y.sock("a"), false), "get")
		return body == "two"
	})
}

// Killed outright it starts from its last state: the saved list serves while the list is down, and
// once that says that servers are gone, they get nothing.
func TestStartsFromItsLastState(t *testing.T) {
	one, two := standin.NewForm("one", nil), standin.NewForm("two", nil)
	defer one.Close()
	defer two.Close()
	y := newYard(t, one.Member("ready"), two.Member("draining"))
	y.extra = `state_dir = "state"`
	y.config(y.instance("a"))
	r := y.start(Options{})
	y.wantServed("a")
	r.call(r.saveSnapshot)
	saved := filepath.Join(y.dir, "state", snapshotFile)
	eventually(t, "a state", func() bool { _, err := os.Stat(saved); return err == nil })
	data, err := os.ReadFile(saved) // what a kill would have left
	if err != nil {
		t.Fatal(err)
	}
	if err := r.end(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(saved, data, 0o600); err != nil {
		t.Fatal(err)
	}
	y.list.SetDown(true)
	y.start(Options{})
	for range 20 {
		y.wantServed("a")
	}
	if two.Got() > 0 {
		t.Error("one that was draining before the kill was sent to")
	}
	three := standin.NewForm("three", nil)
	defer three.Close()
	gone := one.Member("gone")
	y.list.Set(gone, two.Member("gone"), three.Member("ready"))
	y.list.SetDown(false)
	eventually(t, "the list is heard", func() bool {
		_, body, _ := ask(client(y.sock("a"), false), "get")
		return body == "three"
	})
	n := one.Got()
	for range 20 {
		y.wantServed("a")
	}
	if one.Got() != n {
		t.Error("a server that the list calls gone was sent to")
	}
}

// A state that can't be believed, or not be written, is said once and never keeps it from serving.
func TestBadStatesDoNoHarm(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	good, err := snapshot.Encode(&snapshot.State{SavedMS: time.Now().UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	old, err := snapshot.Encode(&snapshot.State{SavedMS: time.Now().Add(-100 * time.Hour).UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"torn": good[:len(good)-3], "foreign": []byte("hello\nworld"), "empty": {}, "old": old,
		"directory": nil} {
		t.Run(name, func(t *testing.T) {
			y := newYard(t, s.Member("ready"))
			y.extra = `state_dir = "state"`
			y.config(y.instance("a"))
			saved := filepath.Join(y.dir, "state", snapshotFile)
			if err := os.MkdirAll(filepath.Dir(saved), 0o700); err != nil {
				t.Fatal(err)
			}
			if name == "directory" { // where the file should be: it can be neither read nor written
				if err := os.MkdirAll(filepath.Join(saved, "x"), 0o700); err != nil {
					t.Fatal(err)
				}
			} else if err := os.WriteFile(saved, data, 0o600); err != nil {
				t.Fatal(err)
			}
			r := y.start(Options{})
			y.wantServed("a")
			for range 3 {
				r.call(r.saveSnapshot)
				r.snapshots.Flush()
			}
			if n := y.log.count("last state is not used") + y.log.count("last state can't be read"); n != 1 {
				t.Errorf("said %d times", n)
			}
			if n := y.log.count("state not saved"); (n == 1) != (name == "directory") {
				t.Errorf("a write that fails is said %d times", n)
			}
			if st, _ := r.Status(); (st.Saving != "") != (name == "directory") {
				t.Errorf("status says %q of saving", st.Saving)
			}
		})
	}
}

func TestTwoDaemonsOneAddress(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("a"))
	y.start(Options{})
	if _, err := y.try(Options{}); err == nil || !strings.Contains(err.Error(), "admin.sock") {
		t.Errorf("a second daemon at the same addresses: %v", err)
	}
	y.wantServed("a")
}

// A socket file that a killed daemon left is no one's.
func TestLeftSocketFileIsTakenOver(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("a"))
	ln, err := net.Listen("unix", y.sock("a"))
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	ln.Close()
	y.start(Options{})
	y.wantServed("a")
}

// An instance whose clients take all its places leaves the others theirs.
func TestOneInstanceOutOfSocketsLeavesOthersTheirs(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	path := y.config(y.instance("flooded", "quiet"))
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, y.dir, strings.Replace(string(text), "sockets = 10000", fmt.Sprintf("sockets = %d", daemonconfig.ProcessSockets+6+2*daemonconfig.MinSocketShare), 1))
	y.start(Options{})
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for range 4 * daemonconfig.MinSocketShare { // silent ones: most wait in the kernel's queue
		c, err := net.DialTimeout("unix", y.sock("flooded"), time.Second)
		if err != nil {
			break
		}
		held = append(held, c)
	}
	for range 50 {
		y.wantServed("quiet")
	}
}

func TestServerCountJumps(t *testing.T) {
	var many []discovery.Member
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })}
	defer server.Close()
	for i := range 1000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(ln) }()
		many = append(many, discovery.Member{ID: fmt.Sprint("s-", i), Addr: ln.Addr().String(), Zone: "a", Kind: "k", State: "ready"})
	}
	y := newYard(t, many[:10]...)
	y.config(y.instance("a"))
	r := y.start(Options{})
	y.wantServed("a")
	y.list.Set(many...)
	eventually(t, "the list is taken", func() bool { st, _ := r.Status(); return st.Lists[0].Servers == 1000 })
	for range 30 {
		y.wantServed("a")
	}
}

// Handover, with the successor in this process: it gets the sockets and the state, the old one
// drains what it has taken, and no connection attempt meets a gap.
func TestHandover(t *testing.T) {
	s, came, release := holding()
	defer s.Close()
	defer release()
	drained := standin.NewForm("drained", nil)
	defer drained.Close()
	y := newYard(t, s.Member("ready"), drained.Member("draining"))
	y.config(y.instance("a"))
	next := make(chan *running, 1)
	fail := errors.New("not this time")
	tries := 0
	old := y.start(Options{Upgrade: func(_ context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error {
		if tries++; tries == 1 {
			return fail
		}
		own := map[daemonconfig.Address]*os.File{}
		for a, f := range sockets { // a process of its own would inherit copies
			ln, err := net.FileListener(f)
			if err != nil {
				return err
			}
			if own[a], err = fileOf(ln, a.String()); err != nil {
				return err
			}
			ln.Close()
		}
		y.list.SetDown(true) // what the old one was told has to do
		r := y.start(Options{Inherit: own, State: state})
		next <- r
		return nil
	}})
	y.wantServed("a")
	if err := old.Handover(context.Background()); !errors.Is(err, fail) {
		t.Fatalf("%v", err)
	}
	y.wantServed("a") // it goes on
	long := make(chan string, 1)
	go func() {
		status, body, err := ask(client(y.sock("a"), false), "pay")
		long <- fmt.Sprint(status, body, err)
	}()
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatal("the request did not arrive")
	}
	stop := make(chan struct{})
	var askers sync.WaitGroup
	for i := range 4 {
		c := client(y.sock("a"), i%2 == 0)
		askers.Go(func() {
			defer c.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if status, body, err := ask(c, "get"); err != nil || status != 200 {
					t.Errorf("during the handover: %d %q %v", status, body, err)
				}
			}
		})
	}
	if err := old.Handover(context.Background()); err != nil {
		t.Fatal(err)
	}
	release()
	if got := <-long; got != "200done<nil>" {
		t.Errorf("taken by the old one: %s", got)
	}
	if err := <-old.ended; !errors.Is(err, ErrHandedOver) {
		t.Errorf("the old one ended with %v", err)
	} else {
		old.ended <- err
	}
	close(stop)
	askers.Wait()
	y.wantServed("a")
	if drained.Got() > 0 {
		t.Error("the successor sent to a server that its forerunner was told drains")
	}
	(<-next).end()
}

// Nothing new goes to a server once this daemon was told that it drains, whichever way it was told
// and whatever happens to the daemon in between.
func TestDrainsAreKeptAcrossReload(t *testing.T) {
	one, two := standin.NewForm("one", nil), standin.NewForm("two", nil)
	defer one.Close()
	defer two.Close()
	y := newYard(t, one.Member("ready"), two.Member("ready"))
	y.config(y.instance("a"))
	r := y.start(Options{})
	y.wantServed("a")
	y.list.Set(two.Member("draining"))
	eventually(t, "the drain is heard", func() bool {
		n := two.Got()
		for range 10 {
			y.wantServed("a")
		}
		return two.Got() == n
	})
	n := two.Got()
	y.list.SetDown(true)
	for i := range 5 {
		y.config(strings.Replace(y.instance("a"), "\nlisten", fmt.Sprintf("\nmax_open = %d\nlisten", 100+i), 1))
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			y.wantServed("a")
		}
	}
	if two.Got() != n {
		t.Errorf("%d were sent to a draining server after reloads", two.Got()-n)
	}
}

func TestStatusIsJSON(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("a"))
	y.start(Options{})
	resp, err := client(y.sock("admin"), false).Get("http://x/status")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var st Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil || len(st.Instances) != 1 || st.PID != os.Getpid() {
		t.Errorf("%+v %v", st, err)
	}
	post, err := client(y.sock("admin"), false).Post("http://x/handover", "", nil)
	if err != nil || post.StatusCode != http.StatusConflict {
		t.Errorf("a daemon that can't hand over: %v %v", post, err)
	} else {
		post.Body.Close()
	}
}

// Stopped while a successor starts, a daemon ends after that one has been killed: who is told that it has ended finds
// nobody who would serve on in its place.
func TestStoppedDuringHandoverEndsAfterItsSuccessor(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	y := newYard(t, s.Member("ready"))
	y.config(y.instance("a"))
	started, kill := make(chan struct{}), make(chan struct{})
	r := y.start(Options{Upgrade: func(ctx context.Context, _ map[daemonconfig.Address]*os.File, _ []byte) error {
		close(started)
		<-ctx.Done()
		<-kill // a kill is late on a busy machine
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(context.Background())
	handed := make(chan error, 1)
	go func() { handed <- r.Handover(ctx) }()
	<-started
	stop()
	r.stop()
	select {
	case err := <-r.ended:
		t.Errorf("it ended before: %v", err)
		r.ended <- err
	case <-time.After(300 * time.Millisecond): // far more than the end takes that does not wait
	}
	close(kill)
	if err := r.end(); err != nil {
		t.Error(err)
	}
	if err := <-handed; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
