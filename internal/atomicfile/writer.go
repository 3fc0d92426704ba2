package atomicfile

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff between attempts of a write that failed.
const (
	// minRetryBackoff is the ceiling of the wait after the first failure. A smaller value loads a disk that
	// fails, a larger one delays the save after a short failure.
	minRetryBackoff = 50 * time.Millisecond
	// maxRetryBackoff is the ceiling at which doubling ends, and the longest delay between the recovery of the disk
	// and the next attempt.
	maxRetryBackoff = 5 * time.Second
	// maxBackoffDoublings prevents an overflow of the shift; maxRetryBackoff is reached earlier.
	maxBackoffDoublings = 10
)

// Writer saves the latest of several contents to one file, from the goroutine that runs Run, so that a slow or
// full disk does not block the callers of Put. The first failed write in a row is logged, and so is the first
// successful one after it. The methods may be called from any goroutine.
type Writer struct {
	Dir  string // empty: nothing is written
	Name string // name of the file within Dir
	What string // description of the file's content for the log
	Log  *slog.Logger

	mu       sync.Mutex
	next     []byte        // the content to be written; nil: there is none
	wake     chan struct{} // has an element if next was set since Run last checked
	failures int           // failed writes in a row
}

// NewWriter returns a Writer of the file called name in dir. It writes nothing until Run is called.
func NewWriter(dir, name, what string, log *slog.Logger) *Writer {
	return &Writer{Dir: dir, Name: name, What: what, Log: log, wake: make(chan struct{}, 1)}
}

// Put sets the content to be written next. It replaces content that has not been written yet, and does not block.
// data must not be changed afterwards.
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

// Run writes the content that Put sets until stop is closed, and then writes pending content once more. Failed
// writes are retried with exponential backoff and jitter.
func (w *Writer) Run(stop <-chan struct{}) {
	retry := time.NewTimer(time.Hour) // runs only after a failure, for the backoff
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
			retry.Reset(w.backoff())
		}
	}
}

// Flush writes the pending content now, in the caller's goroutine. Content that could not be written stays
// pending, unless newer content has been set.
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
		w.failures++
		if w.failures == 1 {
			w.Log.Error(w.What+" not saved; this is said once until it can be", "error", err)
		}
		return
	}
	if w.failures > 0 {
		w.Log.Info(w.What+" saved again", "failed", w.failures)
	}
	w.failures = 0
	if isSameSlice(w.next, data) {
		w.next = nil
	}
}

// isSameSlice reports whether two contents begin at the same memory address. Equal copies and empty contents do
// not.
func isSameSlice(a, b []byte) bool {
	return len(a) > 0 && len(b) > 0 && &a[0] == &b[0]
}

// backoff draws the wait until the next attempt of a failed write: between half of the ceiling and the whole
// ceiling, which doubles with each failure.
func (w *Writer) backoff() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	doublings := min(max(w.failures-1, 0), maxBackoffDoublings)
	ceiling := min(maxRetryBackoff, minRetryBackoff<<doublings)
	return ceiling/2 + rand.N(ceiling/2)
}

// Pending reports whether there is content that has not been written.
func (w *Writer) Pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next != nil
}

// Failed reports whether the last write failed.
func (w *Writer) Failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures > 0
}
