package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"

// indented returns an update on many lines with an empty line in between, as a list service may write it.
func indented(version int, id, state string) string {
	return fmt.Sprintf("{\r\n  \"version\": %d,\n\n  \"full\": false,\n  \"servers\": [\n    {\n      \"id\": %q,\n      \"state\": %q\n    }\n  ]\n}\n",
		version, id, state)
}

// listener starts a list service that passes on each connection once it has read the request.
func listener(t *testing.T) (addr string, conns chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = make(chan net.Conn, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				conns <- c
			}
		}
	}()
	return ln.Addr().String(), conns
}

// startWatch watches addr until the test ends, and returns a channel for the updates and one for the final error.
func startWatch(t *testing.T, addr string, heartbeatTimeout time.Duration) (received chan *Update, end chan error) {
	t.Helper()
	received, end = make(chan *Update, 100), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_, err := Watch(ctx, NewClient(time.Minute), addr, 0, heartbeatTimeout, func(m *Update) { received <- m })
		end <- err
	}()
	return received, end
}

func receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// Each object is applied as soon as its last byte has arrived, however it is divided into lines. An object that is
// truncated by the end of the watch or by a reset is dropped. Empty lines are skipped.
func TestCompleteObjectsAreAppliedAndTruncatedOnesIgnored(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listener(t)
			received, ended := startWatch(t, addr, time.Hour)
			c := receive(t, "connection", conns)
			write(t, c, watchHead+"\n\n"+indented(1, "a", "ready"))
			if m := receive(t, "object", received); m.Version != 1 || len(m.Servers) != 1 || m.Servers[0].ID != "a" {
				t.Errorf("%+v", m)
			}
			text := strings.TrimSpace(indented(2, "b", "ready"))
			for _, b := range []byte(text[:len(text)-1]) {
				write(t, c, string(b))
			}
			if len(received) != 0 {
				t.Error("an object was received before its last byte was written")
			}
			write(t, c, "}") // without a line end
			if m := receive(t, "object", received); m.Version != 2 {
				t.Errorf("%+v", m)
			}
			write(t, c, `{"version":3,"full":true,"servers":[]}{"version":4,"servers":[]}`) // two objects on a line
			if a, b := receive(t, "object", received), receive(t, "object", received); a.Version != 3 || !a.Full || b.Version != 4 || b.Full {
				t.Errorf("%+v %+v", a, b)
			}
			cut := indented(5, "a", "gone")
			write(t, c, cut[:len(cut)-4])
			end(c)
			if err := receive(t, "end", ended); err == nil || len(received) != 0 {
				t.Errorf("%v, %d more", err, len(received))
			}
		})
	}
}

// A response that is not a sequence of JSON objects ends the watch.
func TestMalformedListEndsTheWatch(t *testing.T) {
	for name, text := range map[string]string{
		"null": "null\n", "array": "[]\n", "number": "7\n", "garbage": "}{", "endless": "{\"id\":\"" + strings.Repeat("x", maxObjectBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listener(t)
			received, ended := startWatch(t, addr, time.Hour)
			c := receive(t, "connection", conns)
			go io.WriteString(c, watchHead+text)
			if err := receive(t, "end", ended); err == nil || len(received) != 0 {
				t.Errorf("%v, %d received", err, len(received))
			}
		})
	}
}

// pipeClient returns a client whose connections are pipes, for tests in virtual time.
func pipeClient(served chan<- net.Conn) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			a, b := net.Pipe()
			served <- b
			return a, nil
		}}}
}

// A watch that receives no data ends within HeartbeatTimeout, and not earlier than the spread allows, in each phase:
// before the response's header, within it, after it, between objects and within an object. Each byte restarts the
// timer.
func TestHeartbeatTimeoutEndsAWatchInEachPhase(t *testing.T) {
	object := indented(1, "a", "ready")
	for name, text := range map[string]string{
		"before the head": "", "in the head": watchHead[:20], "after the head": watchHead, "between objects": watchHead + object,
		"in an object": watchHead + object[:30],
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served := make(chan net.Conn, 1)
				var last atomic.Int64 // ns
				go func() {
					c := <-served
					defer c.Close()
					in := bufio.NewReader(c)
					for { // reads until the request is complete
						if line, err := in.ReadString('\n'); err != nil || line == "\r\n" {
							break
						}
					}
					head, body := text, ""
					if i := strings.Index(text, "\r\n\r\n"); i >= 0 {
						head, body = text[:i+4], text[i+4:]
					}
					_, _ = io.WriteString(c, head)
					last.Store(time.Now().UnixNano())
					for _, b := range []byte(body) { // much longer than HeartbeatTimeout in total
						time.Sleep(HeartbeatTimeout - heartbeatTimeoutSpread - time.Millisecond)
						_, _ = c.Write([]byte{b})
						last.Store(time.Now().UnixNano())
					}
					_, _ = io.Copy(io.Discard, in)
				}()
				_, err := Watch(t.Context(), pipeClient(served), "list", 0, HeartbeatTimeout, func(*Update) {})
				if took := time.Since(time.Unix(0, last.Load())); err == nil || err.Error() != "silent" || took > HeartbeatTimeout || took < HeartbeatTimeout-heartbeatTimeoutSpread {
					t.Errorf("the watch ended with %v, %v after the last byte", err, took)
				}
				synctest.Wait()
			})
		})
	}
}

// Watches that stop receiving data at the same time do not time out at the same time.
func TestHeartbeatTimeoutsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ends []time.Duration
		began, done, served := time.Now(), make(chan time.Duration), make(chan net.Conn, 50)
		for range 50 {
			go func() {
				_, _ = Watch(t.Context(), pipeClient(served), "list", 0, HeartbeatTimeout, nil)
				done <- time.Since(began)
			}()
		}
		for range 50 {
			ends = append(ends, <-done)
		}
		if slices.Sort(ends); ends[0] < HeartbeatTimeout-heartbeatTimeoutSpread || ends[49] > HeartbeatTimeout || ends[40]-ends[10] < heartbeatTimeoutSpread/4 {
			t.Errorf("the watches ended after %v to %v", ends[0], ends[49])
		}
	})
}
