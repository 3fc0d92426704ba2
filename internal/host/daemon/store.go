package daemon

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/atomicfile"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/source/discovery"
)

const (
	saveEvery = 5 * time.Second
	stateFile = "last.state"
	// A state is asked of instances for no longer than this: one that is stuck keeps its last.
	memoryWait = 50 * time.Millisecond
)

// bootFile names the present boot of the machine (proc(5), random).
const bootFile = "/proc/sys/kernel/random/boot_id"

// moment is now. On a system that does not tell its boot the wall clock is all there is.
func moment() snapshot.Moment {
	at := snapshot.Moment{Wall: time.Now()}
	boot, err := os.ReadFile(bootFile)
	if err != nil {
		return at
	}
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		return at
	}
	at.BootID, at.SinceBoot = strings.TrimSpace(string(boot)), time.Duration(since.Nano())
	return at
}

// state is what would be saved now.
func (d *Daemon) state() *snapshot.State {
	at := moment()
	s := &snapshot.State{SavedMS: at.Wall.UnixMilli(), BootID: at.BootID, SinceBootMS: at.SinceBoot.Milliseconds(), Sources: map[string]*discovery.Members{}, Instances: map[string]*core.Memory{}}
	for _, h := range d.hubs {
		if m := h.Snapshot(); m != nil {
			s.Sources[h.source.Key()] = m
		}
	}
	limit := time.Now().Add(memoryWait)
	for name, p := range d.parts {
		if p.agent != nil {
			if m, ok := p.agent.Memory(max(time.Millisecond, time.Until(limit))); ok {
				d.memory[name] = m
			}
		}
		if m := d.memory[name]; m != nil {
			s.Instances[name] = m
		}
	}
	return s
}

// save hands the present state to the store.
func (d *Daemon) save() {
	if d.store.Dir == "" {
		return
	}
	data, err := snapshot.Encode(d.state())
	if err != nil {
		d.log.Error("state not saved", "error", err)
		return
	}
	d.store.Put(data)
}

// store is where the state is kept. A directory that can't be written never keeps the daemon from serving.
type store struct{ *atomicfile.Writer }

func newStore(dir string, log *slog.Logger) *store {
	return &store{atomicfile.NewWriter(dir, stateFile, "state", log)}
}

// read is the saved state, or nil.
func (s *store) read() (data []byte, from string) {
	if s.Dir == "" {
		return nil, ""
	}
	path := filepath.Join(s.Dir, stateFile)
	data, err := os.ReadFile(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.Log.Warn("the last state can't be read", "error", err)
		}
		return nil, path
	}
	return data, path
}
