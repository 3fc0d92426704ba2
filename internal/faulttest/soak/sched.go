package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

const (
	// schedEvery is how often the machine's scheduler is asked for how long threads have waited to run.
	schedEvery = 50 * time.Millisecond
	// schedLeast is the least wait that is recorded.
	schedLeast = 40 * time.Millisecond
)

// watchScheduling records for how long threads of an agent's processes were ready to run and did not (proc(5), schedstat): on
// a busy machine a process is held up by more than a play's own troubles. It is the trace of such a hold, and no guess.
func (a *agentProcess) watchScheduling(ctx context.Context) {
	type thread struct {
		waited time.Duration // since its start
		since  time.Duration // in the play's time: its present wait began
		wait   time.Duration // of its present wait
	}
	threads := map[string]*thread{}
	each := time.NewTicker(schedEvery)
	defer each.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-each.C:
		}
		a.mu.Lock()
		pid := a.pid
		a.mu.Unlock()
		now := a.rec.Now()
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
		for _, file := range files {
			waited, err := runDelay(file)
			if err != nil {
				continue // the thread has ended
			}
			t := threads[file]
			if t == nil {
				threads[file] = &thread{waited: waited}
				continue
			}
			delta := waited - t.waited
			t.waited = waited
			switch {
			case delta >= schedEvery/2 && t.wait == 0:
				t.since, t.wait = now-schedEvery, delta
			case delta >= schedEvery/2:
				t.wait += delta
			case t.wait > 0:
				if t.wait += delta; t.wait >= schedLeast {
					a.rec.Put(check.Event{At: t.since, Kind: check.ProcessHeld, Agent: a.n, Left: t.wait, Note: "ready to run, and not run by the machine"})
				}
				t.wait = 0
			}
		}
	}
}

// runDelay is how long a thread has waited on a run queue.
func runDelay(file string) (time.Duration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s: %q", file, text)
	}
	ns, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return time.Duration(ns), err
}
