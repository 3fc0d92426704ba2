package core

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// acceptRetryDelay is waited after an error of accept that says nothing of how long it lasts.
	acceptRetryDelay = 20 * time.Millisecond
	// maxAcceptFailure is for how long accept may fail without a connection before the listener is taken for broken.
	maxAcceptFailure = time.Second
)

// acceptFailures tells errors of accept that pass from a listener that can't go on. The zero value has seen none.
type acceptFailures struct{ since time.Time }

// mayRetry reports whether accept is to be tried again after an error, unknownPause later.
func (f *acceptFailures) mayRetry(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	if f.since.IsZero() {
		f.since = time.Now()
	}
	return time.Since(f.since) < maxAcceptFailure
}

// SteadyListener is a listener whose Accept outlasts errors of a moment, whatever they are: net/http ends at those that it
// does not know. One goroutine accepts.
type SteadyListener struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

// NewSteadyListener wraps a listener.
func NewSteadyListener(l net.Listener) *SteadyListener {
	return &SteadyListener{Listener: l, closed: make(chan struct{})}
}

// Accept waits for a connection. It fails where the listener is closed, or has failed for acceptMost.
func (l *SteadyListener) Accept() (net.Conn, error) {
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

// Close closes the listener, and ends an Accept.
func (l *SteadyListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
