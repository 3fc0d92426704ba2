package core

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// failingListener fails so often before its listener is asked.
type failingListener struct {
	net.Listener
	err   error
	times int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.times != 0 {
		l.times--
		return nil, l.err
	}
	return l.Listener.Accept()
}

// Whatever accept fails with for a moment, the next connection is taken: an admin endpoint must not close for good because
// the system was short of memory once.
func TestSteadyListenerSurvivesTransientErrors(t *testing.T) {
	for _, err := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ECONNABORTED, syscall.EPERM, syscall.ENETUNREACH, errors.New("unknown")} {
		ln := testkit.Listen(t)
		l := NewSteadyListener(&failingListener{Listener: ln, err: err, times: 3})
		c, dialErr := net.Dial("tcp", ln.Addr().String())
		if dialErr != nil {
			t.Fatal(dialErr)
		}
		defer c.Close()
		got := make(chan error, 1)
		go func() {
			c, err := l.Accept()
			if err == nil {
				c.Close()
			}
			got <- err
		}()
		if e := testkit.Receive(t, "connection", got); e != nil {
			t.Errorf("after %v: %v", err, e)
		}
	}
}

// One that is closed ends at once, and one that fails for long ends with its error.
func TestSteadyListenerEndsWhenClosedOrBroken(t *testing.T) {
	ln := testkit.Listen(t)
	l := NewSteadyListener(ln)
	ln.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
	began := time.Now()
	if _, err := NewSteadyListener(&failingListener{err: syscall.EBADF, times: -1}).Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("broken: %v", err)
	}
	if time.Since(began) < maxAcceptFailure {
		t.Error("it was given up at once")
	}
}

func TestIsTransient(t *testing.T) {
	for _, err := range []syscall.Errno{syscall.EADDRINUSE, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.EIO, syscall.ENOSPC, syscall.EADDRNOTAVAIL} {
		if !IsTransient(&net.OpError{Op: "listen", Err: err}) {
			t.Errorf("%v is taken for final", err)
		}
	}
	for _, err := range []error{nil, errors.New("of another kind"), syscall.EACCES, syscall.ENOENT, syscall.EISDIR, syscall.EINVAL} {
		if IsTransient(err) {
			t.Errorf("%v is tried again", err)
		}
	}
}
