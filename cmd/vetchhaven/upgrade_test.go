package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// upgradeEnv starts agents as the platform does during upgrades: each process inherits the clients' listening socket,
// and all have the same TMPDIR.
type upgradeEnv struct {
	t      *testing.T
	socket *os.File
	listen string
	tmp    string
	config string
}

func newUpgradeEnv(t *testing.T, backend string) *upgradeEnv {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	u := &upgradeEnv{t: t, socket: f, listen: ln.Addr().String(), tmp: t.TempDir()}
	u.config = filepath.Join(t.TempDir(), "config.json")
	write(t, u.config, fmt.Sprintf(config, u.listen, freeAddr(t), backend))
	return u
}

func (u *upgradeEnv) start(env ...string) (*exec.Cmd, *syncLog) {
	u.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.ExtraFiles = []*os.File{u.socket}
	cmd.Env = append(append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1", "PROXY_CONFIG="+u.config, "TMPDIR="+u.tmp,
		"PROXY_INHERITED_FD=3"), env...)
	log := &syncLog{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		u.t.Fatal(err)
	}
	u.t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, log
}

// stop sends SIGTERM to an agent and waits for its end.
func (u *upgradeEnv) stop(cmd *exec.Cmd, log *syncLog) {
	u.t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		u.t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		u.t.Errorf("%v; log %q", err, log)
	}
}

// syncLog is a log that can be read while it is written.
type syncLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *syncLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *syncLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *syncLog) wait(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(l.String(), text); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %q in the log: %q", text, l)
		}
	}
}

func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get("X-Trace-Id"))
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// Three processes replace each other under continuous requests, on kept and on new connections. Each request is
// answered, and no connection is refused.
func TestUpgradeUnderLoad(t *testing.T) {
	u := newUpgradeEnv(t, echo(t))
	old, oldLog := u.start()
	waitReady(t, u.listen)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: testTimeout}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", i, n)
				req, _ := http.NewRequest("GET", "http://"+u.listen+"/get/x", nil)
				req.Header.Set("X-Trace-Id", id)
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("request %s: %v", id, err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || string(text) != id {
					t.Errorf("request %s: %d %q %v", id, resp.StatusCode, text, err)
					return
				}
			}
		})
	}
	for range 2 {
		next, nextLog := u.start()
		nextLog.wait(t, "msg=serving")
		u.stop(old, oldLog)
		old, oldLog = next, nextLog
	}
	close(stop)
	clients.Wait()
	u.stop(old, oldLog)
}

// call sends an operator's call and returns the response's status.
func call(t *testing.T, method, addr, path string) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Changes that operators made at the old process's admin endpoint apply in the new process from its first request.
// Changes at the admin endpoint of either process apply in both.
func TestOperatorChangesSurviveAnUpgrade(t *testing.T) {
	servers := map[string]string{"one": "", "two": ""}
	var mu sync.Mutex
	got := map[string]int{}
	for id := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			got[id]++
		})}
		go func() { _ = server.Serve(ln) }()
		t.Cleanup(func() { server.Close() })
		servers[id] = ln.Addr().String()
	}
	u := newUpgradeEnv(t, servers["one"])
	text, err := os.ReadFile(u.config)
	if err != nil {
		t.Fatal(err)
	}
	write(t, u.config, strings.Replace(string(text), `"servers":[`, fmt.Sprintf(
		`"servers":[{"id":"two","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1},`, servers["two"]), 1))
	n := 0
	ask := func(times int) (one, two int) {
		t.Helper()
		mu.Lock()
		clear(got)
		mu.Unlock()
		for range times {
			n++
			req, _ := http.NewRequest("GET", "http://"+u.listen+"/get/x", nil)
			req.Header.Set("X-Trace-Id", fmt.Sprint(n))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != 200 {
				t.Fatalf("status %d", resp.StatusCode)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		return got["one"], got["two"]
	}
	oldAdmin, newAdmin := freeAddr(t), freeAddr(t)
	old, oldLog := u.start("PROXY_ADMIN_ADDR=" + oldAdmin)
	waitReady(t, u.listen)
	if status := call(t, "GET", oldAdmin, "/ready"); status != 200 {
		t.Errorf("ready: %d", status)
	}
	// A server whose first answer was slow by chance is chosen rarely, so several rounds may be needed.
	for end := time.Now().Add(testTimeout); ; {
		if one, two := ask(200); one > 0 && two > 0 {
			break
		} else if time.Now().After(end) {
			t.Fatalf("before disabling: one got %d requests, two got %d", one, two)
		}
	}
	if status := call(t, "PUT", oldAdmin, "/backends/disable/two"); status != 200 {
		t.Fatalf("disable: %d", status)
	}
	if status := call(t, "PUT", oldAdmin, "/backends/disable/nobody"); status != 404 {
		t.Errorf("disable of an unknown server: %d", status)
	}
	if _, two := ask(40); two != 0 {
		t.Errorf("while two is disabled, it got %d requests", two)
	}
	next, nextLog := u.start("PROXY_ADMIN_ADDR=" + newAdmin)
	nextLog.wait(t, "msg=serving")
	if _, two := ask(40); two != 0 {
		t.Errorf("while both processes run, two got %d requests", two)
	}
	u.stop(old, oldLog)
	if _, two := ask(40); two != 0 {
		t.Errorf("in the new process, two got %d requests", two)
	}
	third, thirdLog := u.start("PROXY_ADMIN_ADDR=" + oldAdmin)
	thirdLog.wait(t, "msg=serving")
	if status := call(t, "PUT", newAdmin, "/backends/enable/two"); status != 200 {
		t.Errorf("enable: %d", status)
	}
	if status := call(t, "PUT", oldAdmin, "/backends/disable/s"); status != 200 {
		t.Errorf("disable: %d", status)
	}
	if one, _ := ask(40); one != 0 {
		t.Errorf("after one was disabled at the third process, it got %d requests", one)
	}
	u.stop(next, nextLog)
	u.stop(third, thirdLog)
}

// An inherited descriptor that is not a listening socket ends the program with a log line that names the variable.
func TestInvalidInheritedDescriptorIsReported(t *testing.T) {
	u := newUpgradeEnv(t, "127.0.0.1:1")
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	u.socket = file
	for _, fd := range []string{"3", "77", "1", "five"} {
		cmd, log := u.start("PROXY_INHERITED_FD=" + fd)
		if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 1 || !strings.Contains(log.String(), "PROXY_INHERITED_FD") {
			t.Errorf("descriptor %s: %v, log %q", fd, err, log)
		}
	}
}
