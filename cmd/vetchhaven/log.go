package main

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	logLines = 1024                   // that wait to be written; past them lines are dropped and counted
	logFlush = 500 * time.Millisecond // what is left is written for so long at an end
)

// logEnv sets the least level of the lines that are logged: debug adds one for each attempt and each request that ends
// without being served.
const logEnv = "VETCHHAVEN_LOG"

// logLevel is what it says, or info.
func logLevel(getenv func(string) string) (level slog.Level, err error) {
	text := getenv(logEnv)
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("%s: %q: debug, info, warn and error are allowed", logEnv, text)
	}
	return level, nil
}

// logWriter has a log written by a goroutine of its own: whoever logs never waits for a slow disk, or for a pipe that
// nobody reads.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
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

// Write takes a line. It does not wait, and does not fail.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush writes what waits, for logFlush at the most. What is logged after it is not written.
func (w *logWriter) flush() {
	limit := time.NewTimer(logFlush)
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
