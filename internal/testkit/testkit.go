// Package testkit contains helpers that the tests of several packages share.
package testkit

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/source/discovery"
)

// EventTimeout is how long a test waits for an event that must happen. It is far longer than the event takes on any
// machine.
const EventTimeout = 30 * time.Second

// DiscardLogger is a logger that discards all lines.
var DiscardLogger = slog.New(slog.DiscardHandler)

// SettingsFormat is the format of a settings object of the platform. Its arguments are the mode of the endpoint list and the
// deadline of all classes in milliseconds. It has one class for each kind of semantics, and time limits long enough
// for a slow machine.
const SettingsFormat = `{
 "Balancers": 1, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Kinds": ["m1", "m2"], "MembershipMode": "%s",
 "TickMs": 1, "CountedBy": "request",
 "Profiles": [
  {"Name": "get", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "repeatable"},
  {"Name": "put", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "by_key", "Group": "all", "WindowMs": 60000},
  {"Name": "pay", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "once"}],
 "PolicyLimits": {"TryLimit": 3, "ConnectTimeoutMs": 10000, "IdleCloseMs": 60000, "MaxOpen": 1000,
  "RetryAfter": true, "MaxRetryAfterMs": 1500, "MayProbe": true, "Cancel": true, "SecondCopies": true},
 "Contract": {"AskWithinMs": 1000, "DrainGraceMs": 1000, "GraceToAnswerMs": 20, "ColdFrom": 0.5, "RampTimeMs": 1000, "FallMultiple": 3, "FallMs": 1000},
 "Goal": {"Whole": 1}, "Report": {"Source": "inline"}}`

// ConfigOptions is the part of a test agent's configuration that tests choose.
type ConfigOptions struct {
	Mode      string // of discovery; empty: automatic
	Deadline  int    // of all classes, in ms; 0: 60 s
	Discovery string
	Servers   []discovery.Server
}

// Config returns a configuration file of the platform.
func Config(t testing.TB, s ConfigOptions) []byte {
	t.Helper()
	if s.Mode == "" {
		s.Mode = "automatic"
	}
	if s.Deadline == 0 {
		s.Deadline = 60000
	}
	if s.Discovery == "" {
		s.Discovery = RefusingAddr(t)
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": s.Discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    discovery.Update{Version: 41, Full: true, Servers: s.Servers},
		"settings": json.RawMessage(fmt.Sprintf(SettingsFormat, s.Mode, s.Deadline)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Listen listens on a free port of loopback until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// RefusingAddr returns an address at which no process listens until the test ends, so that connections are refused. The
// port stays bound: otherwise another test's server could get the port and receive connections that must be refused.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	return boundAddr(t, 0)
}

// ReservedAddr returns an address like that of RefusingAddr, at which the test itself may later listen with net.Listen.
func ReservedAddr(t testing.TB) string {
	t.Helper()
	return boundAddr(t, 1)
}

func boundAddr(t testing.TB, reuse int) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, reuse); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

// Receive waits for a value on a channel, and fails the test if none arrives. what names the value in the failure
// message.
func Receive[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(EventTimeout):
		t.Fatalf("timed out: no %s", what)
		panic("unreachable")
	}
}

// WaitFor polls ok until it returns true, and fails the test if that takes too long. It is for conditions without a
// channel.
func WaitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(EventTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// ScriptedList is a stand-in list service that passes each watch to the test, which writes the watch's lines.
type ScriptedList struct {
	Addr  string
	Watch chan *Watcher
}

// Watcher is one watch of a ScriptedList.
type Watcher struct {
	Since string
	Lines chan string // the watch ends when this is closed
	Fail  chan struct{}
}

// NewScriptedList runs a ScriptedList until the test ends.
func NewScriptedList(t testing.TB) *ScriptedList {
	t.Helper()
	ln := Listen(t)
	c := &ScriptedList{Addr: ln.Addr().String(), Watch: make(chan *Watcher, 10)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/catalog/members" || r.URL.Query().Get("follow") != "1" {
			t.Errorf("the list service received a request for %s", r.URL)
		}
		watcher := &Watcher{Since: r.URL.Query().Get("since"), Lines: make(chan string), Fail: make(chan struct{})}
		c.Watch <- watcher
		for {
			select {
			case <-watcher.Fail:
				http.Error(w, "overloaded", http.StatusServiceUnavailable)
				return
			case line, more := <-watcher.Lines:
				if !more {
					return
				}
				fmt.Fprintln(w, line)
				if err := http.NewResponseController(w).Flush(); err != nil {
					return
				}
			case <-r.Context().Done():
				return
			}
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return c
}

// EncodeWatchLine encodes a change of the list as a line of a watch.
func EncodeWatchLine(t testing.TB, version int64, servers ...discovery.Server) string {
	t.Helper()
	raw, err := json.Marshal(discovery.Update{Version: version, Servers: servers})
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
