package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/standin"
)

// startAgent starts the program with a log that can be read while the program runs.
func startAgent(t *testing.T, config string, env ...string) (*exec.Cmd, *syncLog) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, config)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1", "PROXY_CONFIG="+path), env...)
	log := &syncLog{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, log
}

// terminate sends SIGTERM to a program, and checks that it ends with status 0.
func terminate(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the program did not end")
	}
}

// A new process that starts while the old one still uses the port waits for the port instead of ending with "address
// in use", and serves once the port is free. The old process answers its request in flight.
func TestNewProcessWaitsForThePortOfTheOldOne(t *testing.T) {
	came, hold := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(came)
		<-hold
		fmt.Fprint(w, "done")
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	text := fmt.Sprintf(config, freeAddr(t), freeAddr(t), ln.Addr())
	listen := text[strings.Index(text, "127.0.0.1"):]
	listen = listen[:strings.Index(listen, `"`)]
	old, _ := startAgent(t, text)
	waitReady(t, listen)
	answered := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest("GET", "http://"+listen+"/get/x", nil)
		req.Header.Set("X-Trace-Id", "1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		resp.Body.Close()
		answered <- resp.Status
	}()
	<-came
	next, log := startAgent(t, text)
	log.wait(t, "in use")
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	log.wait(t, "msg=serving") // the old process still has its request in flight
	waitReady(t, listen)
	close(hold)
	if got := <-answered; got != "200 OK" {
		t.Errorf("the old process answered %s", got)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	terminate(t, next)
}

// A killed process leaves half-open client connections behind. The next process can still listen on the port
// immediately.
func TestReadyRightAfterAKill(t *testing.T) {
	listen := freeAddr(t)
	text := fmt.Sprintf(config, listen, freeAddr(t), freeAddr(t))
	old, _ := startAgent(t, text)
	waitReady(t, listen)
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = old.Process.Kill()
	_ = old.Wait()
	next, log := startAgent(t, text)
	waitReady(t, listen)
	if strings.Contains(log.String(), "in use") {
		t.Error("the new process waited for the port")
	}
	terminate(t, next)
}

// A process that receives SIGTERM while it waits for the port ends with status 0.
func TestSigtermWhileThePortIsInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cmd, log := startAgent(t, fmt.Sprintf(config, ln.Addr(), freeAddr(t), freeAddr(t)))
	log.wait(t, "in use")
	terminate(t, cmd)
}

// In any state of discovery and in both modes, a process becomes ready with its stored list.
func TestReadyInAnyStateOfDiscovery(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0") // connections are not accepted, so calls hang
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mute.Close() })
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
	})}
	go func() { _ = server.Serve(busy) }()
	t.Cleanup(func() { server.Close() })
	for name, discovery := range map[string]string{"down": freeAddr(t), "hanging": mute.Addr().String(), "busy": busy.Addr().String()} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				listen := freeAddr(t)
				text := strings.Replace(fmt.Sprintf(config, listen, discovery, freeAddr(t)), `"subscribe"`, `"`+mode+`"`, 1)
				cmd, _ := startAgent(t, text)
				waitReady(t, listen)
				terminate(t, cmd)
			})
		}
	}
}

// fullPipe returns the write end of a full pipe that is not read, so that a write blocks.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = in.Close(), out.Close() })
	raw, err := out.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	full := false
	_ = raw.Write(func(fd uintptr) bool { // the descriptor is still in non-blocking mode
		for {
			if _, err := syscall.Write(int(fd), make([]byte, 4096)); err != nil {
				full = err == syscall.EAGAIN
				return true
			}
		}
	})
	if !full {
		t.Fatal("the pipe did not fill up")
	}
	return out
}

// A process whose log is a full pipe becomes ready, and ends on SIGTERM.
func TestReadyWhileTheLogBlocks(t *testing.T) {
	out := fullPipe(t)
	listen := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, fmt.Sprintf(config, listen, freeAddr(t), freeAddr(t)))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1", "PROXY_CONFIG="+path)
	cmd.Stderr = out // writes to the log block from the start
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	waitReady(t, listen)
	terminate(t, cmd)
}

// The instances of a daemon whose log is a full pipe serve requests and don't wait for the log.
func TestDaemonServesWhileTheLogBlocks(t *testing.T) {
	server := standin.NewFormServer("s", nil)
	defer server.Close()
	list, err := standin.NewList("", server.Member("ready"))
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	dir, err := os.MkdirTemp("", "serve") // a short path, since the length of a socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "fleet.toml")
	write(t, path, fmt.Sprintf(fleetFile, dir, list.Addr()))
	cmd := exec.Command(os.Args[0], "serve", "--config", path)
	cmd.Env = append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1")
	cmd.Stderr = fullPipe(t) // writes to the log block from the start
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "one.sock"))
	}}}
	served := 0
	for end := time.Now().Add(testTimeout); time.Now().Before(end) && served < 5; time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodGet, "http://one/get/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Trace-Id", fmt.Sprint("r", time.Now().UnixNano()))
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served++
			}
		}
	}
	if served < 5 {
		t.Errorf("%d requests were served", served)
	}
	terminate(t, cmd)
}

// If the directory for operators' changes can't be opened when a process starts, changes are stored once it can be
// opened.
func TestOperatorChangesAreStoredOnceTheDirectoryOpens(t *testing.T) {
	listen, adminAddr, tmp := freeAddr(t), freeAddr(t), t.TempDir()
	dir := filepath.Join(tmp, "vetchhaven-"+url.PathEscape("n0-"+listen))
	write(t, dir, "a file where the directory is to be")
	startAgent(t, fmt.Sprintf(config, listen, freeAddr(t), freeAddr(t)), "PROXY_ADMIN_ADDR="+adminAddr, "TMPDIR="+tmp)
	waitReady(t, listen)
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPut, "http://"+adminAddr+"/drain", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		if _, err := os.Stat(filepath.Join(dir, "said.json")); err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal("operators' changes are not stored, although the directory can be opened")
		}
	}
}

// If the disk that stores operators' changes hangs, a process still becomes ready, and its admin endpoint is served.
func TestReadyWhileTheDiskHangs(t *testing.T) {
	listen, adminAddr, tmp := freeAddr(t), freeAddr(t), t.TempDir()
	dir := filepath.Join(tmp, "vetchhaven-"+url.PathEscape("n0-"+listen))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	lock, err := os.Create(filepath.Join(dir, "lock"))
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil { // opening the directory waits for this lock
		t.Fatal(err)
	}
	cmd, log := startAgent(t, fmt.Sprintf(config, listen, freeAddr(t), freeAddr(t)), "TMPDIR="+tmp, "PROXY_ADMIN_ADDR="+adminAddr)
	waitReady(t, listen)
	log.wait(t, "could not be read yet")
	resp, err := http.Get("http://" + adminAddr + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	terminate(t, cmd)
}

// If the old process still uses the admin address, clients don't wait for it, and the admin endpoint starts once the
// address is free.
func TestReadyWhileTheAdminAddressIsInUse(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen, adminAddr := freeAddr(t), held.Addr().String()
	cmd, log := startAgent(t, fmt.Sprintf(config, listen, freeAddr(t), freeAddr(t)), "TMPDIR="+t.TempDir(), "PROXY_ADMIN_ADDR="+adminAddr)
	waitReady(t, listen)
	log.wait(t, "in use")
	held.Close()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + adminAddr + "/ready")
		if err == nil {
			resp.Body.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("the admin endpoint did not start")
		}
	}
	terminate(t, cmd)
}
