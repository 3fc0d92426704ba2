package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/standin"
)

// daemonProcess is a daemon that runs in a separate process.
type daemonProcess struct {
	t      *testing.T
	dir    string
	path   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

const fleetFile = `admin = "unix:%[1]s/admin.sock"
state_dir = "state"
[[source]]
name = "main"
list = "%[2]s"
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
[[instance]]
name = "one"
listen = "unix:%[1]s/one.sock"
`

func startDaemon(t *testing.T, list string) *daemonProcess { return startDaemonWith(t, list, "") }

// startDaemonWith starts a daemon whose file has more appended.
func startDaemonWith(t *testing.T, list, more string) *daemonProcess {
	t.Helper()
	dir, err := os.MkdirTemp("", "serve")
	if err != nil {
		t.Fatal(err)
	}
	s := &daemonProcess{t: t, dir: dir, path: filepath.Join(dir, "fleet.toml")}
	write(t, s.path, fmt.Sprintf(fleetFile, dir, list)+more)
	if s.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if st, ok := s.status(); ok { // the process that serves now, which may be a successor
			_ = syscall.Kill(st.PID, syscall.SIGKILL)
		}
		_ = s.cmd.Process.Kill()
		s.log.Close()
		os.RemoveAll(dir)
	})
	s.start()
	s.waitFor("ready", func(st daemon.Status) bool { return st.Ready == 1 })
	return s
}

func (s *daemonProcess) start(env ...string) {
	s.t.Helper()
	s.cmd = exec.Command(os.Args[0], "serve", "--config", s.path)
	s.cmd.Env = append(append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1"), env...)
	s.cmd.Stderr = s.log
	if len(env) > 0 {
		s.cmd.Stderr = io.MultiWriter(s.log) // not the file itself, to which the limit on file sizes would apply
	}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd, exited := s.cmd, make(chan struct{})
	s.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
}

func (s *daemonProcess) client(name string) *http.Client {
	return &http.Client{Timeout: 2 * testTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(s.dir, name+".sock"))
		}}}
}

func (s *daemonProcess) status() (st daemon.Status, ok bool) {
	resp, err := s.client("admin").Get("http://x/status")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

func (s *daemonProcess) waitFor(what string, f func(daemon.Status) bool) daemon.Status {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if st, ok := s.status(); ok && f(st) {
			return st
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(s.log.Name())
			s.t.Fatalf("timed out waiting for: %s\n%s", what, text)
		}
	}
}

func (s *daemonProcess) get(n int) (int, string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://x/get", nil)
	if err != nil {
		return 0, "", err
	}
	req.Header["X-Trace-Id"] = []string{fmt.Sprintf("%s-%d", s.t.Name(), n)}
	resp, err := s.client("one").Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func startFormAndList(t *testing.T) (*standin.FormServer, *standin.List) {
	t.Helper()
	f := standin.NewFormServer("s", nil)
	t.Cleanup(f.Close)
	m := f.Member("ready")
	l, err := standin.NewList("", m)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return f, l
}

// In a handover between processes under load, no request is refused, lost or failed. The old process ends with status
// 0, and the successor continues with its state.
func TestHandoverBetweenProcesses(t *testing.T) {
	_, list := startFormAndList(t)
	s := startDaemon(t, list.Addr())
	old, _ := s.status()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if status, body, err := s.get(i*1000000 + n); err != nil || status != 200 {
					t.Errorf("during the handover: %d %q %v", status, body, err)
				}
			}
		})
	}
	if status, out, errs := runProgram(t, "handover", "--config", s.path); status != 0 || !strings.Contains(out, "a successor serves") {
		t.Fatalf("%d %s %s", status, out, errs)
	}
	select {
	case <-s.exited:
	case <-time.After(testTimeout):
		t.Error("the old process did not end")
	}
	if code := s.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the old process ended with status %d", code)
	}
	st := s.waitFor("the successor serves", func(st daemon.Status) bool { return st.PID != old.PID && st.Ready == 1 })
	close(stop)
	clients.Wait()
	if status, _, err := s.get(-1); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
	if status, out, _ := runProgram(t, "status", "--config", s.path); status != 0 || !strings.Contains(out, fmt.Sprint("pid ", st.PID)) {
		t.Errorf("%d %s", status, out)
	}
}

// If a successor fails to get ready, here because of an invalid file, the old process continues to serve.
func TestSuccessorThatFails(t *testing.T) {
	_, list := startFormAndList(t)
	s := startDaemon(t, list.Addr())
	before, _ := s.status()
	text, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	// The admin address stays valid, so that the status can be queried; the added key is unknown.
	write(t, s.path, string(text)+"lisen = \"x\"\n")
	resp, err := s.client("admin").Post("http://x/handover", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusConflict || !strings.Contains(string(body), "ended before it was ready") {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
	if status, _, err := s.get(1); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
	if st, _ := s.status(); st.PID != before.PID || st.State != "serving" {
		t.Errorf("%+v", st)
	}
}

// After SIGTERM while a successor starts, the old process ends and leaves no successor behind that is not ready.
func TestSigtermDuringHandover(t *testing.T) {
	t.Run("a successor that does not get ready", func(t *testing.T) {
		_, list := startFormAndList(t)
		s := startDaemon(t, list.Addr())
		before, _ := s.status()
		if err := os.Remove(s.path); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Mkfifo(s.path, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := s.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
			t.Fatal(err)
		}
		opened := make(chan *os.File, 1)
		go func() {
			f, _ := os.OpenFile(s.path, os.O_WRONLY, 0) // returns once the successor opens its configuration, to which nothing is written
			opened <- f
		}()
		select {
		case f := <-opened:
			defer f.Close()
		case <-time.After(testTimeout):
			t.Fatal("no successor opened the configuration")
		}
		starting := children(t, before.PID)
		if st, ok := s.status(); !ok || st.State != "handing over" || len(starting) == 0 {
			t.Fatalf("%+v, successors %v", st, starting)
		}
		s.terminate()
		for _, pid := range starting {
			if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil && !strings.Contains(string(text), ") Z ") {
				t.Errorf("successor left behind: %s", text)
			}
		}
		if st, ok := s.status(); ok {
			t.Errorf("a process still serves: %+v", st)
		}
	})
	t.Run("a successor that gets ready at any moment", func(t *testing.T) {
		_, list := startFormAndList(t)
		s := startDaemon(t, list.Addr())
		before, _ := s.status()
		if err := s.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
			t.Fatal(err)
		}
		// On a busy machine the handover may be over before the status is queried.
		s.waitFor("handing over", func(st daemon.Status) bool { return st.State == "handing over" || st.PID != before.PID })
		s.terminate()
		// Either the successor became ready just before and serves, or no process listens.
		if st, ok := s.status(); ok && st.PID == before.PID {
			t.Errorf("%+v", st)
		}
	})
}

// terminate sends SIGTERM to the daemon, unless it has ended, and waits for its end.
func (s *daemonProcess) terminate() {
	s.t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.t.Fatal(err)
	}
	select {
	case <-s.exited:
	case <-time.After(testTimeout):
		_ = s.cmd.Process.Signal(syscall.SIGQUIT) // makes the daemon print its goroutines
		<-s.exited
		text, _ := os.ReadFile(s.log.Name())
		s.t.Fatalf("the daemon did not end\n%s", text)
	}
}

// A daemon that was killed serves again from its saved state while the list service is down.
func TestRestartAfterAKillUsesTheSavedState(t *testing.T) {
	_, list := startFormAndList(t)
	s := startDaemon(t, list.Addr())
	state := filepath.Join(s.dir, "state", "last.state")
	s.waitForFile(state)
	list.SetDown(true)
	_ = s.cmd.Process.Kill()
	<-s.exited
	s.start()
	s.waitFor("ready", func(st daemon.Status) bool { return st.Ready == 1 })
	if status, _, err := s.get(2); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
}

func TestServeReportsConfigErrors(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.toml")
	write(t, path, "admin = \"127.0.0.1:1\"\nadmn = 1\n")
	for _, args := range [][]string{{"serve", "--config", path}, {"reload", "--config", path}, {"status", "--config", path}} {
		if status, _, errs := runProgram(t, args...); status != 2 || !strings.Contains(errs, "fleet.toml:2: admn: there is no such key") {
			t.Errorf("%v: %d %s", args, status, errs)
		}
	}
	write(t, path, fmt.Sprintf(fleetFile, dir, "127.0.0.1:1"))
	if status, _, errs := runProgram(t, "reload", "--config", path); status != 1 || !strings.Contains(errs, "no daemon answers at unix:") {
		t.Errorf("%d %s", status, errs)
	}
}

// If a successor is killed while it starts, the old process continues to serve, and a further handover works.
func TestSuccessorKilledWhileItStarts(t *testing.T) {
	_, list := startFormAndList(t)
	s := startDaemon(t, list.Addr())
	before, _ := s.status()
	// The successor reads its configuration from a pipe to which nothing is written, so its start stops there.
	kept := s.path + ".kept"
	if err := os.Rename(s.path, kept); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(s.path, 0o600); err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 1)
	go func() {
		resp, err := s.client("admin").Post("http://x/handover", "", nil)
		if err != nil {
			asked <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		asked <- fmt.Sprint(resp.StatusCode, " ", string(body))
	}()
	// Kill children until the old process reports that the successor ended. The first child that is found may not be
	// the successor: before a Go program starts its first child, it starts and ends another one to test kernel
	// features.
	got := ""
	for got == "" {
		for _, pid := range children(t, before.PID) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
		select {
		case got = <-asked:
		case <-time.After(time.Millisecond):
		}
	}
	if !strings.Contains(got, "ended before it was ready") {
		t.Errorf("%s", got)
	}
	if st, ok := s.status(); !ok || st.PID != before.PID || st.State != "serving" {
		t.Errorf("%+v", st)
	}
	if err := os.Rename(kept, s.path); err != nil {
		t.Fatal(err)
	}
	if status, _, err := s.get(1); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
	resp, err := s.client("admin").Post("http://x/handover", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("a further handover: %d", resp.StatusCode)
	}
	s.waitFor("another process", func(st daemon.Status) bool { return st.PID != before.PID && st.Ready == 1 })
}

// children returns the IDs of the child processes of a process.
func children(t *testing.T, pid int) []int {
	t.Helper()
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	var all []int
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			continue
		}
		for _, f := range strings.Fields(string(text)) {
			if n, err := strconv.Atoi(f); err == nil {
				all = append(all, n)
			}
		}
	}
	return all
}

// A write that fails partway, as on a full disk, leaves the last complete state file in place. The failure is logged
// once, and the daemon continues to serve.
func TestDiskFull(t *testing.T) {
	f, list := startFormAndList(t)
	s := startDaemon(t, list.Addr())
	state := filepath.Join(s.dir, "state", "last.state")
	s.waitForFile(state)
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	<-s.exited // the daemon has written its last state
	whole, err := os.ReadFile(state)
	if err != nil {
		t.Fatal(err)
	}
	s.start("VETCHHAVEN_TEST_FILE_LIMIT=64") // bytes, less than the size of a state
	s.waitFor("ready", func(st daemon.Status) bool { return st.Ready == 1 })
	other := f.Member("draining") // a draining server is saved immediately
	for range 3 {
		list.Set(other)
		list.Set(f.Member("ready"))
	}
	s.waitFor("a write has failed", func(st daemon.Status) bool { return st.Saving != "" })
	if now, err := os.ReadFile(state); err != nil || !bytes.Equal(now, whole) {
		t.Errorf("the state file has changed: %d bytes, error %v", len(now), err)
	}
	if left, _ := filepath.Glob(filepath.Join(s.dir, "state", "*.tmp")); len(left) > 0 {
		t.Errorf("temporary files left behind: %v", left)
	}
	if status, _, err := s.get(1); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
}

func (s *daemonProcess) waitForFile(path string) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
		if time.Now().After(end) {
			s.t.Fatal("timed out waiting for ", path)
		}
	}
}

// Handing descriptors to a successor leaves the sockets of the old process in non-blocking mode. In blocking mode, an
// accept that begins while the successor starts would block in the kernel, where a stop can't interrupt it.
func TestSocketsStayNonBlocking(t *testing.T) {
	_, list := startFormAndList(t)
	s := startDaemon(t, list.Addr())
	before, _ := s.status()
	list.SetDown(true)
	if err := s.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
		t.Fatal(err)
	}
	seen := 0
	for over := false; !over; {
		select {
		case <-s.exited:
			over = true
		default:
		}
		dir := fmt.Sprintf("/proc/%d/fd", before.PID)
		all, _ := os.ReadDir(dir)
		for _, e := range all {
			to, err := os.Readlink(filepath.Join(dir, e.Name()))
			if err != nil || !strings.HasPrefix(to, "socket:") {
				continue
			}
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/fdinfo/%s", before.PID, e.Name()))
			if err != nil {
				continue
			}
			for line := range strings.Lines(string(text)) {
				if f := strings.Fields(line); len(f) == 2 && f[0] == "flags:" {
					n, _ := strconv.ParseUint(f[1], 8, 64)
					if seen++; n&syscall.O_NONBLOCK == 0 {
						t.Fatalf("descriptor %s (%s) is in blocking mode", e.Name(), to)
					}
				}
			}
		}
	}
	if seen == 0 {
		t.Fatal("no socket was seen")
	}
}
