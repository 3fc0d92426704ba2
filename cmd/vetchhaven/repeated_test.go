package main

import (
	"bufio"
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

	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit"
)

// countingServer executes each request that arrives completely, and counts the executions by ID. It answers after a wait.
type countingServer struct {
	net.Listener
	mu       sync.Mutex
	executed map[string]int
	arrived  chan string
}

func newCountingServer(t *testing.T, wait time.Duration) *countingServer {
	t.Helper()
	s := &countingServer{executed: map[string]int{}, arrived: make(chan string, 1<<16)}
	s.Listener = serveEach(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			id := r.Header.Get("X-Trace-Id")
			s.mu.Lock()
			s.executed[id]++
			s.mu.Unlock()
			s.arrived <- id
			time.Sleep(wait)
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	return s
}

func (s *countingServer) executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[id]
}

func payHead(id string) string { return requestHead("POST", "pay", id, "Content-Length: 0\r\n") }

// Guards against IDs that are forgotten after the longest deadline.
func TestIDOfADisconnectedClientIsNotExecutedAgain(t *testing.T) {
	const deadline = 300 * time.Millisecond
	server := newCountingServer(t, 50*time.Millisecond)
	eachCommand(t, deadline, server, func(t *testing.T, p *limitedProcess) {
		id := "left-" + strings.ReplaceAll(t.Name(), "/", "-")
		c := p.dial()
		send(c, payHead(id))
		testkit.WaitFor(t, "the first execution", func() bool { return server.executions(id) == 1 })
		c.Close()
		for n := range 8 { // other requests go on
			time.Sleep(deadline / 2)
			other := p.dial()
			send(other, payHead(fmt.Sprint(id, n)))
			_, _ = readResponse(other, testTimeout)
		}
		again := p.dial()
		send(again, payHead(id))
		if status, err := readResponse(again, testTimeout); status != http.StatusConflict || server.executions(id) != 1 {
			t.Errorf("%d, %v; executed %d times", status, err, server.executions(id))
		}
	})
}

// Guards against IDs that only one of the processes remembers.
func TestIDIsNotExecutedByBothProcessesOfAnUpgrade(t *testing.T) {
	t.Run("serve", func(t *testing.T) {
		server := newCountingServer(t, 2*time.Second)
		p := startLimited(t, "serve", 10*time.Second, server.Addr().String())
		t.Cleanup(func() { killLogged(p.log.String()) })
		left := p.dial()
		send(left, payHead("both"))
		testkit.WaitFor(t, "the first execution", func() bool { return server.executions("both") == 1 })
		if err := p.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
			t.Fatal(err)
		}
		testkit.WaitFor(t, "the successor", func() bool { return strings.Count(p.log.String(), "msg=ready") == 2 })
		left.Close()
		repeatUntilServed(t, p.addr, "both", server)
	})
	t.Run("run", func(t *testing.T) {
		server := newCountingServer(t, 2*time.Second)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		socket, err := ln.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		dir := t.TempDir()
		old := startInherited(t, dir, ln.Addr().String(), server.Addr().String(), socket)
		left, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		send(left, payHead("both"))
		testkit.WaitFor(t, "the first execution", func() bool { return server.executions("both") == 1 })
		startInherited(t, dir, ln.Addr().String(), server.Addr().String(), socket)
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		left.Close()
		repeatUntilServed(t, ln.Addr().String(), "both", server)
	})
}

// repeatUntilServed sends an executed ID again on new connections, until the new process must have got it.
func repeatUntilServed(t *testing.T, addr, id string, server *countingServer) {
	t.Helper()
	for end := time.Now().Add(core.AcceptAfterStop + 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		send(c, payHead(id))
		status, err := readResponse(c, testTimeout)
		c.Close()
		if n := server.executions(id); n != 1 {
			t.Fatalf("%d, %v: executed %d times", status, err, n)
		}
	}
}

// startInherited starts an agent that inherits its listener, and returns once it serves.
func startInherited(t *testing.T, dir, listen, server string, socket *os.File) *exec.Cmd {
	t.Helper()
	program, err := builtProgram()
	if err != nil {
		t.Fatal(err)
	}
	const known = `[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]`
	path := filepath.Join(dir, "config.json")
	write(t, path, fmt.Sprintf(limitedRunConfig, listen, testkit.RefusingAddr(t), 2*leastMemoryMB, mostSockets, fmt.Sprintf(known, server), 10_000))
	log := &syncLog{}
	cmd := exec.Command(program, "run")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "TMPDIR="+dir, "PROXY_INHERITED_FD=3")
	cmd.ExtraFiles = []*os.File{socket}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	testkit.WaitFor(t, "the agent to serve", func() bool { return strings.Contains(log.String(), "msg=serving") })
	return cmd
}

// killLogged ends the processes that have logged that they are ready.
func killLogged(log string) {
	for _, line := range strings.Split(log, "\n") {
		var pid int
		if _, text, ready := strings.Cut(line, "msg=ready"); ready {
			_, text, _ = strings.Cut(text, "pid=")
			if _, err := fmt.Sscan(text, &pid); err == nil {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
	}
}
