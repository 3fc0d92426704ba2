package core

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// failingListener is a listener whose first calls of Accept fail. times is their number; -1: all calls fail.
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

// A transient lack of memory or descriptors must not end an admin endpoint: an HTTP server of net/http ends at errors
// of accept that are not marked as temporary.
func TestSteadyListenerSurvivesTransientErrors(t *testing.T) {
	for _, err := range []error{
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EMFILE,
		syscall.ECONNABORTED,
		syscall.EPERM,
		syscall.ENETUNREACH,
		errors.New("unknown"),
	} {
		t.Run(err.Error(), func(t *testing.T) {
			ln := testkit.Listen(t)
			l := NewRetryingListener(&failingListener{Listener: ln, err: err, times: 3})
			c, dialErr := net.Dial("tcp", ln.Addr().String())
			if dialErr != nil {
				t.Fatal(dialErr)
			}
			defer c.Close()
			accepted := make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err == nil {
					c.Close()
				}
				accepted <- err
			}()
			if err := testkit.Receive(t, "connection", accepted); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestSteadyListenerEndsWhenClosedOrBroken(t *testing.T) {
	ln := testkit.Listen(t)
	l := NewRetryingListener(ln)
	ln.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
	start := time.Now()
	broken := NewRetryingListener(&failingListener{err: syscall.EBADF, times: -1})
	if _, err := broken.Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("broken: %v", err)
	}
	if time.Since(start) < maxAcceptFailure {
		t.Error("Accept ended before the listener had failed for maxAcceptFailure")
	}
}

func TestIsTransient(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EADDRINUSE,
		syscall.ENFILE,
		syscall.EMFILE,
		syscall.ENOBUFS,
		syscall.EIO,
		syscall.ENOSPC,
		syscall.EADDRNOTAVAIL,
	} {
		if !IsTransient(&net.OpError{Op: "listen", Err: errno}) {
			t.Errorf("%v counts as final", errno)
		}
	}
	for _, err := range []error{
		nil,
		errors.New("of another kind"),
		syscall.EACCES,
		syscall.ENOENT,
		syscall.EISDIR,
		syscall.EINVAL,
	} {
		if IsTransient(err) {
			t.Errorf("%v counts as transient", err)
		}
	}
}

// failUntilRecovered is a listener whose Accept fails until it recovers, as in a process that has no descriptor left.
type failUntilRecovered struct {
	net.Listener
	err       error
	attempted chan struct{} // receives once for each failed Accept
	recovered chan struct{} // closed when the listener recovers
}

func (l failUntilRecovered) Accept() (net.Conn, error) {
	select {
	case <-l.recovered:
		return l.Listener.Accept()
	case l.attempted <- struct{}{}:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
	}
}

// acceptOneBehindErrors makes a limiter accept a connection although its listener fails at first. It calls whileFailing
// after the first failed Accept of the listener.
func acceptOneBehindErrors(t *testing.T, cl *ConnLimiter, err error, whileFailing func(l failUntilRecovered)) {
	t.Helper()
	l := failUntilRecovered{
		Listener:  cl.Listener,
		err:       err,
		attempted: make(chan struct{}),
		recovered: make(chan struct{}),
	}
	cl.Listener = l
	accepted := make(chan error, 1)
	go func() {
		_, err := cl.Accept()
		accepted <- err
	}()
	dialLimiter(t, cl)
	testkit.Receive(t, "accept", l.attempted)
	whileFailing(l)
	close(l.recovered)
	if err := testkit.Receive(t, "connection", accepted); err != nil {
		t.Error(err)
	}
}

// Errors that accept(2) reports for one connection, or for its network, must not end the agent: the next connection is
// accepted.
func TestAcceptSurvivesFailedConnections(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED,
		syscall.EPROTO,
		syscall.ENETDOWN,
		syscall.ENETUNREACH,
		syscall.EHOSTDOWN,
		syscall.EHOSTUNREACH,
		syscall.ENONET,
		syscall.ENOPROTOOPT,
		syscall.EOPNOTSUPP,
		syscall.EPERM,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			cl, _ := newTestLimiter(t, 8, 1)
			acceptOneBehindErrors(t, cl, errno, func(failUntilRecovered) {})
			if cl.evicting != 0 {
				t.Error("another connection was evicted because of a failed accept")
			}
		})
	}
}

// A process that has no descriptor left must continue to accept: an idle connection is evicted for the next one.
func TestAcceptSurvivesExhaustedDescriptors(t *testing.T) {
	cl, conn, _ := idleConn(t)
	acceptOneBehindErrors(t, cl, syscall.EMFILE, func(l failUntilRecovered) {
		testkit.Receive(t, "accept again", l.attempted)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if !conn.evicting {
			t.Error("the idle connection was not evicted")
		}
	})
}

// An unknown error of accept must not end the requests in flight: accept is retried after a pause.
func TestAcceptSurvivesUnknownTransientErrors(t *testing.T) {
	for _, err := range []error{
		syscall.EIO,
		syscall.EINVAL,
		syscall.EFAULT,
		syscall.EACCES,
		errors.New("of another kind"),
	} {
		t.Run(err.Error(), func(t *testing.T) {
			cl, _ := newTestLimiter(t, 8, 1)
			acceptOneBehindErrors(t, cl, err, func(failUntilRecovered) {})
		})
	}
}
