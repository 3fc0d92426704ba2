package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit"
)

// listService is a discovery service that is either up or resets each connection. A watch starts with the complete
// list.
type listService struct {
	addr    string
	down    atomic.Bool
	watches chan net.Conn // connections of the watches that were accepted while the service was up
	list    atomic.Pointer[string]
}

func newListService(t *testing.T) *listService {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &listService{addr: ln.Addr().String(), watches: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *listService) serve(c net.Conn) {
	defer c.Close()
	if s.down.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+*s.list.Load()); err != nil {
		return
	}
	s.watches <- c
	_, _ = in.ReadByte() // until the agent or the test closes the connection
}

// Clients that send no request exhaust an agent's file descriptors while discovery is down. Admitted requests are still
// answered, the watch is opened again once discovery is available, and servers that discovery then lists get attempts.
// The process's limit on open descriptors is the number of sockets in its settings.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	const sockets, held = 64, 3 // held: fewer requests than the server may have at once
	list := newListService(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release, reached := make(chan struct{}), make(chan string, 100)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached <- r.Header.Get("X-Trace-Id")
		if strings.HasPrefix(r.Header.Get("X-Trace-Id"), "held") {
			<-release
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	late, err := net.Listen("tcp", "127.0.0.1:0") // a server that is listed once discovery is available again
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(late) }()
	listen := freeAddr(t)
	text := strings.Replace(fmt.Sprintf(config, listen, list.addr, ln.Addr()), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	entry := `{"version":%d,"full":%t,"servers":[{"id":%q,"addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]}` + "\n"
	first := fmt.Sprintf(entry, 2, true, "s", ln.Addr())
	list.list.Store(&first)
	cmd, log := startProgram(t, text)
	watch := <-list.watches
	waitReady(t, listen)
	most := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &most, nil); err != nil {
		t.Fatal(err)
	}
	ask := func(id string) (int, error) {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
		req, err := http.NewRequest("GET", "http://"+listen+"/get/x", nil)
		if err != nil {
			return 0, err
		}
		req.Header.Set("X-Trace-Id", id)
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		return resp.StatusCode, nil
	}
	answers := make(chan error, held)
	for n := range held {
		go func() {
			status, err := ask(fmt.Sprintf("held%d", n))
			if err == nil && status != 200 {
				err = fmt.Errorf("status %d", status)
			}
			answers <- err
		}()
	}
	for range held {
		testkit.Receive(t, "request at the server", reached)
	}

	list.down.Store(true)
	watch.Close()
	var idle sync.WaitGroup
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop); idle.Wait() })
	for range sockets { // the clients connect again whenever they are closed
		idle.Go(func() {
			for {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					return
				}
				ended := make(chan struct{})
				go func() { _, _ = c.Read(make([]byte, 1)); close(ended) }()
				select {
				case <-ended:
					c.Close()
				case <-stop:
					c.Close()
					<-ended
					return
				}
			}
		})
	}
	testkit.WaitFor(t, "the idle clients", func() bool {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		return err == nil && len(open) >= core.ClientSockets(sockets)+2*held
	})
	if status, err := ask("down"); status != 200 { // served from the last known list
		t.Errorf("while discovery is down: %d, %v", status, err)
	}
	more := first + fmt.Sprintf(entry, 3, false, "late", late.Addr())
	list.list.Store(&more)
	list.down.Store(false)
	testkit.Receive(t, "second watch", list.watches)
	close(release)
	for range held {
		if err := testkit.Receive(t, "answer to an admitted request", answers); err != nil {
			t.Error(err)
		}
	}
	for n := range 2 {
		if status, err := ask(fmt.Sprintf("back%d", n)); status != 200 {
			t.Errorf("after discovery is back: %d, %v", status, err)
		}
	}
	if err := cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil || strings.Contains(log.String(), "too many open files") || strings.Contains(log.String(), "not sent") {
		t.Errorf("%v, log %s", err, log)
	}
}
