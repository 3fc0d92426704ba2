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
	saveInterval = 5 * time.Second
	snapshotFile = "last.state"
	// A state is asked of instances for no longer than this: one that is stuck keeps its last.
	memoryTimeout = 50 * time.Millisecond
)

// bootFile names the present boot of the machine (proc(5), random).
const bootFile = "/proc/sys/kernel/random/boot_id"

// now is now. On a system that does not tell its boot the wall clock is all there is.
func now() snapshot.Moment {
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
	at := now()
	s := &snapshot.State{SavedMS: at.Wall.UnixMilli(), BootID: at.BootID, SinceBootMS: at.SinceBoot.Milliseconds(), Sources: map[string]*discovery.Members{}, Instances: map[string]*core.Memory{}}
	for _, h := range d.hubs {
		if m := h.Snapshot(); m != nil {
			s.Sources[h.source.Key()] = m
		}
	}
	limit := time.Now().Add(memoryTimeout)
	for name, p := range d.instances {
		if p.agent != nil {
			if m, ok := p.agent.Memory(max(time.Millisecond, time.Until(limit))); ok {
				d.memories[name] = m
			}
		}
		if m := d.memories[name]; m != nil {
			s.Instances[name] = m
		}
	}
	return s
}

// save hands the present state to the store.
func (d *Daemon) save() {
	if d.snapshots.Dir == "" {
		return
	}
	data, err := snapshot.Encode(d.state())
	if err != nil {
		d.log.Error("state not saved", "error", err)
		return
	}
	d.snapshots.Put(data)
}

// snapshotStore is where the state is kept. A directory that can't be written never keeps the daemon from serving.
type snapshotStore struct{ *atomicfile.Writer }

func newSnapshotStore(dir string, log *slog.Logger) *snapshotStore {
	return &snapshotStore{atomicfile.NewWriter(dir, snapshotFile, "state", log)}
}

// read is the saved state, or nil.
func (s *snapshotStore) read() (data []byte, from string) {
	if s.Dir == "" {
		return nil, ""
	}
	path := filepath.Join(s.Dir, snapshotFile)
	data, err := os.ReadFile(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.Log.Warn("the last state can't be read", "error", err)
		}
		return nil, path
	}
	return data, path
}
