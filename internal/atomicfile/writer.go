package atomicfile

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// Writer writes the latest of what it is given to one file, each whole or not at all, in a goroutine of its own: a
// slow or full disk holds up nobody. A directory that can't be written is said once, and once more when it can be.
type Writer struct {
	Dir, Name string // an empty Dir: nothing is written
	What      string // it holds, for the log
	Log       *slog.Logger

	mu    sync.Mutex
	next  []byte
	wake  chan struct{}
	fails int // writes in a row that failed
}

// NewWriter returns one that has written nothing yet.
func NewWriter(dir, name, what string, log *slog.Logger) *Writer {
	return &Writer{Dir: dir, Name: name, What: what, Log: log, wake: make(chan struct{}, 1)}
}

// Put has data written soon. Of several, the last counts.
func (w *Writer) Put(data []byte) {
	if w.Dir == "" {
		return
	}
	w.mu.Lock()
	w.next = data
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run writes until stop is closed, and what is left then. What can't be written is tried again, and again.
func (w *Writer) Run(stop <-chan struct{}) {
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for {
		select {
		case <-w.wake:
			w.Flush()
		case <-retry.C:
			w.Flush()
		case <-stop:
			w.Flush()
			return
		}
		retry.Stop()
		if w.Failed() {
			retry.Reset(w.again())
		}
	}
}

// Flush writes what is waiting, now. What fails goes on waiting, unless something newer has come.
func (w *Writer) Flush() {
	w.mu.Lock()
	data := w.next
	w.mu.Unlock()
	if data == nil {
		return
	}
	err := Replace(w.Dir, w.Name, data)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.fails++; w.fails == 1 {
			w.Log.Error(w.What+" not saved; this is said once until it can be", "error", err)
		}
		return
	}
	if w.fails > 0 {
		w.Log.Info(w.What+" saved again", "failed", w.fails)
	}
	w.fails = 0
	if len(w.next) > 0 && len(data) > 0 && &w.next[0] == &data[0] {
		w.next = nil // nothing newer has come meanwhile
	}
}

// Waits between tries of a write that failed.
const (
	retryFirst = 50 * time.Millisecond
	retryMost  = 5 * time.Second
)

// again is how long to wait until a write that failed is tried again: with jitter, below a ceiling that doubles.
func (w *Writer) again() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	ceiling := min(retryMost, retryFirst<<min(max(w.fails-1, 0), 10))
	return ceiling/2 + rand.N(ceiling/2)
}

// Pending reports whether something is still to be written.
func (w *Writer) Pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next != nil
}

// Failed reports whether the last write did.
func (w *Writer) Failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fails > 0
}
