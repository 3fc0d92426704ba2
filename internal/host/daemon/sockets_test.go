package daemon

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/standin"
)

// A Unix socket whose queue is full refuses connections for a moment, but still belongs to a process, and is not
// removed. A Unix socket on which no process listens any more is removed.
func TestUnixSocketWithAFullQueueIsNotReplaced(t *testing.T) {
	dir, err := os.MkdirTemp("", "sock")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "s")
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrUnix{Name: path}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		var c net.Conn
		if c, err = net.DialTimeout("unix", path, 100*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	if !errors.Is(err, syscall.EAGAIN) {
		t.Fatalf("the queue is not full: %v", err)
	}
	if ln, err := listenOn(daemonconfig.Address{Network: "unix", Addr: path}); !errors.Is(err, syscall.EADDRINUSE) {
		if ln != nil {
			ln.Close()
		}
		t.Errorf("listening on a path on which another process listens: %v", err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the path of the other process's socket: %v", err)
	}
	_ = syscall.Close(fd)
	ln, err := listenOn(daemonconfig.Address{Network: "unix", Addr: path})
	if err != nil {
		t.Fatalf("listening on a path on which no process listens any more: %v", err)
	}
	ln.Close()
}

func TestSecondDaemonOnAnAddressFails(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	tb.start(Options{})
	if _, err := tb.tryStart(Options{}); err == nil || !strings.Contains(err.Error(), "admin.sock") {
		t.Errorf("starting a second daemon with the same addresses: %v", err)
	}
	tb.expectServed("a")
}

// A daemon replaces a Unix socket that a killed daemon has left behind.
func TestAbandonedUnixSocketIsReplaced(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	ln, err := net.Listen("unix", tb.socketPath("a"))
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	ln.Close()
	tb.start(Options{})
	tb.expectServed("a")
}
