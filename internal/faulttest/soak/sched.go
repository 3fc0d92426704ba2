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
	// schedInterval is the interval at which the scheduler's statistics of waiting threads are read.
	schedInterval = 50 * time.Millisecond
	// minSchedWait is the shortest wait that is recorded.
	minSchedWait = 40 * time.Millisecond
)

// watchScheduling records how long threads of an agent's processes were ready to run but did not run (proc(5),
// schedstat). On a busy machine such waits add to the incidents of a run; the checker allows only for the recorded
// ones.
func (a *agentProcess) watchScheduling(ctx context.Context) {
	type thread struct {
		waited time.Duration // total since the thread's start
		since  time.Duration // run time at which the current wait began
		wait   time.Duration // length of the current wait so far
	}
	threads := map[string]*thread{}
	each := time.NewTicker(schedInterval)
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
			case delta >= schedInterval/2 && t.wait == 0:
				t.since, t.wait = now-schedInterval, delta
			case delta >= schedInterval/2:
				t.wait += delta
			case t.wait > 0:
				if t.wait += delta; t.wait >= minSchedWait {
					a.rec.Put(check.Event{At: t.since, Kind: check.ProcessHeld, Agent: a.n, Left: t.wait, Note: "ready to run, and not run by the machine"})
				}
				t.wait = 0
			}
		}
	}
}

// runDelay returns how long a thread has waited on a run queue.
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
