package main

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLogLines = 1024                   // further lines are dropped and counted
	logFlushTimeout   = 500 * time.Millisecond // how long flush waits at the end of the process
)

// logEnv is the environment variable that sets the lowest level that is logged. Level debug adds a line for each
// attempt and for each request that ends without being served.
const logEnv = "VETCHHAVEN_LOG"

// logLevel returns the level that logEnv sets, or info if it is not set.
func logLevel(getenv func(string) string) (level slog.Level, err error) {
	text := getenv(logEnv)
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("%s: invalid level %q; the levels are debug, info, warn and error", logEnv, text)
	}
	return level, nil
}

// logWriter writes a log in a separate goroutine, so that callers never wait for a slow disk or for a pipe that no
// process reads.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, maxQueuedLogLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if line == nil {
				return
			}
			_, _ = to.Write(line)
			if n := w.dropped.Swap(0); n > 0 {
				fmt.Fprintf(to, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
			}
		}
	}()
	return w
}

// Write queues a line. It does not block and does not fail.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until the queued lines are written, for at most logFlushTimeout. Lines that are logged later are not
// written.
func (w *logWriter) flush() {
	limit := time.NewTimer(logFlushTimeout)
	defer limit.Stop()
	select {
	case w.lines <- nil:
	case <-limit.C:
		return
	}
	select {
	case <-w.done:
	case <-limit.C:
	}
}
