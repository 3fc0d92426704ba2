package kit

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Result is a request of a Load, and what its client got.
type Result struct {
	Request
	SentAt time.Time
	Answer
}

// Load is the traffic of some clients, each of which sends one request at a time.
type Load struct {
	Addrs []string
	// Next returns the request that a client sends next. The load sets its ID.
	Next func(client, n int) Request
	// Keeps reports whether a client keeps its connection.
	Keeps func(client int) bool
	Pause time.Duration // between an answer and the next request
	// Wait returns once a client may send its next request; nil: at once.
	Wait func(client int)

	c       *Case
	dialing atomic.Bool
	ended   atomic.Bool
	all     sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// NewLoad returns a load that has not started.
func (c *Case) NewLoad(addrs ...string) *Load {
	return &Load{Addrs: addrs, Keeps: func(int) bool { return true }, c: c}
}

// Start starts the clients.
func (l *Load) Start(clients int) {
	l.dialing.Store(true)
	for i := range clients {
		l.all.Go(func() { l.client(i) })
		time.Sleep(20 * time.Millisecond)
	}
}

// StopDialing makes the clients open no more connections. They go on with those that they have.
func (l *Load) StopDialing() { l.dialing.Store(false) }

// Stop ends the clients after their last answers, and returns what was sent.
func (l *Load) Stop() []Result {
	l.ended.Store(true)
	l.all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

func (l *Load) client(n int) {
	var conn *Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for i := 0; !l.ended.Load(); i++ {
		if l.Wait != nil {
			l.Wait(n)
		}
		if conn == nil {
			if !l.dialing.Load() {
				return
			}
			var err error
			if conn, err = Dial(l.Addrs[n%len(l.Addrs)]); err != nil {
				l.c.Log("client %d: %v", n, err)
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		r := l.Next(n, i)
		r.ID = fmt.Sprintf("c%d-%d-%d", n, i, time.Now().UnixNano())
		r.Close = !l.Keeps(n)
		sentAt := time.Now()
		l.c.Log("client %d: %s %s: sent from %s", n, r.Class, r.ID, conn.LocalAddr())
		a := conn.Ask(r)
		l.c.Log("client %d: %s: status %d, error %v, %q", n, r.ID, a.Status, a.Err, a.Body)
		l.mu.Lock()
		l.results = append(l.results, Result{r, sentAt, a})
		l.mu.Unlock()
		if a.Err != nil || a.Closes || r.Close {
			_ = conn.Close()
			conn = nil
		}
		if a.Status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(l.Pause)
	}
}
