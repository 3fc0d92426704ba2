package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 30 * time.Second

// TestMain runs the program instead of the tests if an environment variable is set, so that tests can start the test
// binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("VETCHHAVEN_TEST_MAIN") == "1" {
		if n, err := strconv.ParseUint(os.Getenv("VETCHHAVEN_TEST_FILE_LIMIT"), 10, 64); err == nil {
			signal.Ignore(syscall.SIGXFSZ) // writes beyond the limit then fail as they do on a full disk
			if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		os.Exit(execute())
	}
	os.Exit(m.Run())
}

func startProgram(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, config)
	return startProgramAt(t, path)
}

func write(t *testing.T, path, config string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
}

func startProgramAt(t *testing.T, path string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1", "PROXY_CONFIG="+path)
	log := &bytes.Buffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, log
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const config = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]},
 "settings":{"Balancers":1,"Dcs":["a"],"Kinds":["m"],"MembershipMode":"subscribe","TickMs":1,
  "Profiles":[{"Name":"get","AimMs":5000,"DeadlineMs":20000,"Worth":1,"Semantics":"repeatable"}],
  "PolicyLimits":{"TryLimit":2,"ConnectTimeoutMs":10000,"IdleCloseMs":60000},"Contract":{"AskWithinMs":1000}}}`

func TestBadConfigEndsTheProgram(t *testing.T) {
	cmd, log := startProgram(t, `{"listen":"nowhere"}`)
	if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 1 || !strings.Contains(log.String(), "seed") {
		t.Errorf("%v, log %q", err, log)
	}
}

func waitReady(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the agent did not become ready")
		}
	}
}

// startWatchService starts a discovery service that reports each watch on the channel and keeps it open.
func startWatchService(t *testing.T) (string, chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	since := make(chan string, 100)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		since <- r.URL.Query().Get("since")
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), since
}

// SIGHUP moves the watch to the address in the new file, even if the environment set the first address. An invalid
// file, further SIGHUPs, and SIGHUPs while the program stops have no effect on serving. Earlier, the program did not
// catch SIGHUP, whose default action ends the process.
func TestSighup(t *testing.T) {
	one, first := startWatchService(t)
	two, second := startWatchService(t)
	three, third := startWatchService(t)
	path := filepath.Join(t.TempDir(), "config.json")
	listen := freeAddr(t)
	with := func(discovery string) string { return fmt.Sprintf(config, listen, discovery, freeAddr(t)) }
	hup := func(cmd *exec.Cmd) {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	watch := func(what string, ch chan string) {
		t.Helper()
		select {
		case <-ch:
		case <-time.After(testTimeout):
			t.Fatalf("no watch at the %s address", what)
		}
	}
	write(t, path, with(one))
	t.Setenv("PROXY_DISCOVERY", one)
	cmd, log := startProgramAt(t, path)
	waitReady(t, listen)
	watch("first", first)
	write(t, path, with(two))
	hup(cmd)
	watch("second", second)
	write(t, path, `{"seed":"1f","listen"`)
	hup(cmd)
	hup(cmd)
	time.Sleep(50 * time.Millisecond) // time to read the invalid file; a shorter wait only weakens the test
	write(t, path, with(three))
	hup(cmd)
	watch("third", third)
	waitReady(t, listen)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			break // the program has already ended
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v; log %q", err, log)
	}
}

// A configuration that can't be read when SIGHUP arrives, because its file is being replaced or no descriptor is free,
// is read again, since SIGHUP is sent only once.
func TestReloadIsRetriedWhileTheFileIsMissing(t *testing.T) {
	one, first := startWatchService(t)
	two, second := startWatchService(t)
	path, listen := filepath.Join(t.TempDir(), "config.json"), freeAddr(t)
	with := func(discovery string) string { return fmt.Sprintf(config, listen, discovery, freeAddr(t)) }
	write(t, path, with(one))
	cmd, log := startProgramAt(t, path)
	waitReady(t, listen)
	select {
	case <-first:
	case <-time.After(testTimeout):
		t.Fatal("no watch at the first address")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // time to find that the file is missing; a shorter wait only weakens the test
	write(t, path, with(two))
	select {
	case <-second:
	case <-time.After(5 * time.Second):
		t.Errorf("no watch at the second address; log %q", log)
	}
}

// After SIGTERM with a request in flight, the request is answered and the program ends with status 0. This also holds
// if SIGTERM is repeated, or mixed with SIGHUP, before the answer, and if the list service sends nothing.
func TestSigtermWithARequestInFlight(t *testing.T) {
	for name, signals := range map[string][]os.Signal{
		"once":            {syscall.SIGTERM},
		"twice":           {syscall.SIGTERM, syscall.SIGTERM},
		"beside a reload": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) { sigtermInFlight(t, signals) })
	}
}

func sigtermInFlight(t *testing.T, signals []os.Signal) {
	list, watched := startWatchService(t) // a watch on which nothing is sent
	came, hold := make(chan struct{}), make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(came)
		<-hold
		fmt.Fprint(w, "done")
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	addr := freeAddr(t)
	cmd, log := startProgram(t, fmt.Sprintf(config, addr, list, ln.Addr().String()))
	waitReady(t, addr)
	<-watched
	answered := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest("GET", "http://"+addr+"/get/x", nil)
		req.Header.Set("X-Trace-Id", "1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		answered <- fmt.Sprint(resp.StatusCode, string(text), err)
	}()
	select {
	case <-came:
	case <-time.After(testTimeout):
		t.Fatalf("the request did not arrive; log %q", log)
	}
	for _, s := range signals {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	close(hold)
	if got := <-answered; got != "200done<nil>" {
		t.Errorf("answer %q", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v; log %q", err, log)
	}
}

// SIGTERM at any moment of the start ends the program, either by the signal itself or with status 0.
func TestSigtermBeforeReady(t *testing.T) {
	for range 10 {
		cmd, log := startProgram(t, fmt.Sprintf(config, freeAddr(t), freeAddr(t), freeAddr(t)))
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		err := cmd.Wait()
		if state := cmd.ProcessState.Sys().(syscall.WaitStatus); err != nil && state.Signal() != syscall.SIGTERM {
			t.Errorf("%v; log %q", err, log)
		}
	}
}
