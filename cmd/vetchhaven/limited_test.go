package main

import (
	"bufio"
	"encoding/json"
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

	"golang.org/x/sys/unix"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/testkit"
)

// The least memory and the most descriptors that the platform's pages name for an agent.
const (
	leastMemoryMB  = 32
	mostSockets    = 1024
	limitedConnect = 250 * time.Millisecond // connect timeout of the agents under test
)

// builtProgram returns the program as it is deployed, built without the race detector, which would multiply the memory
// of the process.
var builtProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "program")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "vetchhaven")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

const limitedRunConfig = `{"name":"n0","listen":%[1]q,"discovery":%[2]q,"seed":"1f","limits":{"cores":1,"memory_mb":%[3]d,"sockets":%[4]d},
 "known":{"version":1,"full":true,"servers":%[5]s},
 "settings":{"Balancers":1,"Dcs":["a"],"Kinds":["m"],"MembershipMode":"automatic","TickMs":1,
  "Profiles":[{"Name":"get","AimMs":%[6]d,"DeadlineMs":%[6]d,"Worth":1,"Semantics":"repeatable"},
   {"Name":"put","AimMs":%[6]d,"DeadlineMs":%[6]d,"Worth":1,"Semantics":"by_key","Group":"zone","WindowMs":12000},
   {"Name":"pay","AimMs":%[6]d,"DeadlineMs":%[6]d,"Worth":1,"Semantics":"once"}],
  "PolicyLimits":{"TryLimit":3,"ConnectTimeoutMs":250,"IdleCloseMs":60000,"Cancel":true},"Contract":{"AskWithinMs":1000,"GraceToAnswerMs":20}}}`

// limitedFleet is the part that all files of serve have in common.
const limitedFleet = `admin = "unix:%[7]s/admin.sock"
[limits]
memory_mb = %[3]d
sockets = %[4]d
[[source]]
name = "main"
list = "%[2]s"
spread = "1ms"
first = "1ms"
[site]
zones = ["a"]
kinds = ["m"]
[rules]
max_attempts = 3
connect_timeout = "250ms"
`

const limitedServeConfig = limitedFleet + `idle_close = "60s"
answer_slack = "20ms"
[[class]]
name = "get"
repeats = "safe"
aim = "%[6]dms"
deadline = "%[6]dms"
worth = 1.0
[[class]]
name = "put"
repeats = "keyed"
group = "zone"
window = "12s"
aim = "%[6]dms"
deadline = "%[6]dms"
worth = 1.0
[[class]]
name = "pay"
repeats = "unsafe"
aim = "%[6]dms"
deadline = "%[6]dms"
worth = 1.0
[[instance]]
name = "one"
listen = "%[1]s"
`

const limitedLDAPConfig = limitedFleet + `[[class]]
name = "search"
repeats = "safe"
aim = "%[6]dms"
deadline = "%[6]dms"
worth = 1.0
[[class]]
name = "modify"
aim = "%[6]dms"
deadline = "%[6]dms"
worth = 1.0
[[instance]]
name = "one"
protocol = "ldap"
listen = "%[1]s"
`

// limitedProcess is an agent in a process of its own with the least memory: one of run, or an instance of serve.
type limitedProcess struct {
	t    *testing.T
	addr string // where clients connect
	cmd  *exec.Cmd
	log  *syncLog
}

// eachCommand runs a test on an agent of run and on one of serve, whose only server is handled by serve.
func eachCommand(t *testing.T, deadline time.Duration, server net.Listener, f func(t *testing.T, p *limitedProcess)) {
	t.Helper()
	for _, command := range []string{"run", "serve"} {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			f(t, startLimited(t, command, deadline, server.Addr().String()))
		})
	}
}

// startLimited starts a process that serves a list of servers in one zone: of run, of serve, or of serve with an instance
// that speaks LDAP.
func startLimited(t *testing.T, command string, deadline time.Duration, servers ...string) *limitedProcess {
	t.Helper()
	program, err := builtProgram()
	if err != nil {
		t.Fatal(err)
	}
	var entries []discovery.Server
	for n, addr := range servers {
		entries = append(entries, discovery.Server{ID: fmt.Sprint("s", n), Addr: addr, Zone: "a", Kind: "m", State: "ready", Weight: 1})
	}
	known, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	list, err := standin.NewList("", entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	dir := t.TempDir()
	p := &limitedProcess{t: t, addr: freeAddr(t), log: &syncLog{}}
	format, path := limitedRunConfig, filepath.Join(dir, "config.json")
	p.cmd = exec.Command(program, "run")
	ready := waitReady
	if command != "run" {
		format, path = limitedServeConfig, filepath.Join(dir, "fleet.toml")
		p.cmd = exec.Command(program, "serve", "--config", path)
	}
	if command == "ldap" {
		format = limitedLDAPConfig
		ready = func(t *testing.T, _ string) {
			testkit.WaitFor(t, "the instance", func() bool { return strings.Contains(p.log.String(), "msg=ready") })
		}
	}
	write(t, path, fmt.Sprintf(format, p.addr, list.Addr(), leastMemoryMB, mostSockets, known,
		deadline.Milliseconds(), dir))
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "TMPDIR="+dir)
	p.cmd.Stderr = p.log
	p.cmd.WaitDelay = time.Second // a successor has the same standard error
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	most := unix.Rlimit{Cur: mostSockets, Max: mostSockets}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &most, nil); err != nil {
		t.Fatal(err)
	}
	ready(t, p.addr)
	return p
}

// peakMemory returns the process's peak resident memory in bytes.
func (p *limitedProcess) peakMemory() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kB, err := strconv.Atoi(strings.Fields(rest + " -")[0])
	if err != nil {
		p.t.Fatalf("no peak in %s", text)
	}
	return kB << 10
}

// checkMemory fails the test if the process has exceeded its memory or has ended.
func (p *limitedProcess) checkMemory() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.Signal(0)); err != nil {
		p.t.Fatalf("the process has ended: %v; log %s", err, p.log)
	}
	peak := p.peakMemory()
	p.t.Logf("peak memory %.1f of %d MB", float64(peak)/(1<<20), leastMemoryMB)
	if peak > leastMemoryMB<<20 {
		p.t.Errorf("the process took %.1f MB; its settings allow %d", float64(peak)/(1<<20), leastMemoryMB)
	}
}

// dial connects a client, whose connection ends with the test.
func (p *limitedProcess) dial() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return c
}

// requestHead returns the head of a request with more lines, each with its line ending.
func requestHead(method, class, id, more string) string {
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n%s\r\n", method, class, id, more)
}

// serveEach runs a server each of whose connections is handled by f.
func serveEach(t *testing.T, f func(c net.Conn, in *bufio.Reader)) net.Listener {
	t.Helper()
	return serveOn(t, testkit.Listen(t), f)
}

// serveOn is serveEach on a listener.
func serveOn(t *testing.T, ln net.Listener, f func(c net.Conn, in *bufio.Reader)) net.Listener {
	t.Helper()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln
}

// answerAll answers each request with a body after a wait.
func answerAll(wait time.Duration, body string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			time.Sleep(wait)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
		}
	}
}

// readResponse reads a response with its body, and returns its status.
func readResponse(c net.Conn, within time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
