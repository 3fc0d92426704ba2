package core

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptRetryDelay is the wait after an error of accept whose duration is unknown.
	acceptRetryDelay = 20 * time.Millisecond
	// maxAcceptFailure is how long accept may fail without a connection before the listener counts as broken.
	maxAcceptFailure = time.Second
	// descriptorRetryDelay is the wait after the system had no descriptor for a connection, unless a slot becomes free
	// earlier.
	descriptorRetryDelay = 50 * time.Millisecond
	// failedAcceptDelay is the wait after a connection that could not be accepted, so that many such connections do
	// not keep a processor fully busy.
	failedAcceptDelay = time.Millisecond
)

// acceptFailures distinguishes transient errors of accept from a listener that has failed permanently. The zero value
// is the state without an error.
type acceptFailures struct{ since time.Time }

// mayRetry reports whether accept is to be retried after an error. The caller waits for acceptRetryDelay first.
func (f *acceptFailures) mayRetry(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	if f.since.IsZero() {
		f.since = time.Now()
	}
	return time.Since(f.since) < maxAcceptFailure
}

// outOfDescriptors reports whether the process, or the system, had no descriptor or memory for a connection.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// isConnectionError reports whether accept failed because of one connection, or because of the network on which it
// came (accept(2), error handling). The listener still works then.
func isConnectionError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENETDOWN,
		syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.EPERM:
		return true
	}
	return false
}

// RetryingListener is a listener whose Accept retries all errors that may be transient. An HTTP server of net/http ends
// at errors that are not marked as temporary. Only one goroutine may call Accept.
type RetryingListener struct {
	net.Listener
	closeOnce sync.Once
	closed    chan struct{}
}

// NewRetryingListener wraps a listener.
func NewRetryingListener(l net.Listener) *RetryingListener {
	return &RetryingListener{Listener: l, closed: make(chan struct{})}
}

// Accept waits for a connection. It fails if the listener is closed, or has failed for maxAcceptFailure.
func (l *RetryingListener) Accept() (net.Conn, error) {
	var failures acceptFailures
	for {
		c, err := l.Listener.Accept()
		if err == nil || !failures.mayRetry(err) {
			return c, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// Close closes the listener, and ends an Accept that is waiting.
func (l *RetryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
