package main

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// blockedLog is a log whose writes block until open is closed.
type blockedLog struct {
	syncLog
	open chan struct{}
}

func (g *blockedLog) Write(p []byte) (int, error) { <-g.open; return g.syncLog.Write(p) }

// Writers of log lines never block. Lines that do not fit into the queue are counted, and the others are written in
// order.
func TestLogWriterNeverWaits(t *testing.T) {
	to := &blockedLog{open: make(chan struct{})}
	w := newLogWriter(to)
	const all = 2 * maxQueuedLogLines
	for i := range all {
		fmt.Fprintf(w, "line %d\n", i)
	}
	lost := w.dropped.Load()
	if lost < all-maxQueuedLogLines-1 || lost > all-maxQueuedLogLines {
		t.Errorf("%d of %d lines dropped", lost, all)
	}
	close(to.open)
	w.flush()
	<-w.done
	if got := to.String(); !strings.HasPrefix(got, "line 0\n") || !strings.Contains(got, fmt.Sprintf("lines=%d\n", lost)) ||
		strings.Count(got, "line ") != all-int(lost) {
		t.Errorf("%d bytes: %.200q", len(got), got)
	}
}

func TestLogLevel(t *testing.T) {
	for text, want := range map[string]slog.Level{"": slog.LevelInfo, "debug": slog.LevelDebug, "WARN": slog.LevelWarn} {
		if got, err := logLevel(func(string) string { return text }); err != nil || got != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	if _, err := logLevel(func(string) string { return "loud" }); err == nil || !strings.Contains(err.Error(), logEnv) {
		t.Errorf("%v", err)
	}
}
