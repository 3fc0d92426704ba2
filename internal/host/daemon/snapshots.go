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
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/source/discovery"
)

const (
	// saveInterval is how often a snapshot is saved. A daemon that crashes loses the state that it gathered after the
	// last one.
	saveInterval = 5 * time.Second
	// snapshotFile is the name of the snapshot in the state directory.
	snapshotFile = "last.state"
	// memoryTimeout is how long all instances together may take to return their memories. For an instance that is too
	// busy, the last memory is saved again.
	memoryTimeout = 50 * time.Millisecond
	// minMemoryTimeout is the minimum time that each instance is given.
	minMemoryTimeout = time.Millisecond
)

// bootFile holds the ID of the machine's current boot (proc(5), random).
const bootFile = "/proc/sys/kernel/random/boot_id"

// currentMoment returns the wall clock's time and, if the system provides them, the boot ID and the time since the
// boot.
func currentMoment() snapshot.Moment {
	moment := snapshot.Moment{Wall: time.Now()}
	bootID, err := os.ReadFile(bootFile)
	if err != nil {
		return moment
	}
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return moment
	}
	moment.BootID = strings.TrimSpace(string(bootID))
	moment.SinceBoot = time.Duration(sinceBoot.Nano())
	return moment
}

// restoreSnapshot restores the predecessor's snapshot, or the last one that was saved, as far as it is valid.
func (d *Daemon) restoreSnapshot() {
	data, from := d.options.Snapshot, "the predecessor"
	handedOver := data != nil
	if !handedOver {
		data, from = d.snapshots.read()
		if data == nil {
			return
		}
	}
	s, err := snapshot.Decode(data, currentMoment(), d.cfg.MaxStateAge)
	if err != nil {
		d.log.Warn("the last state is not used", "from", from, "error", err)
		return
	}
	if handedOver {
		d.restorePeers(s.Peers)
	} else {
		s.DropTransient()
	}
	d.rememberSnapshot(s)
	for name, memory := range s.Instances {
		if memory != nil {
			d.memories[name] = memory
		}
	}
	d.log.Info("last state restored", "from", from, "lists", len(s.Sources), "instances", len(s.Instances),
		"saved", time.UnixMilli(s.SavedMS).Format(time.RFC3339))
}

// restorePeers restores the predecessor's state of the fleet, including the lease of its policy.
func (d *Daemon) restorePeers(data []byte) {
	if len(data) == 0 {
		return
	}
	saved, err := transport.DecodeSaved(data)
	d.savedPeers = saved
	if err != nil {
		d.log.Warn("membership is not restored", "error", err)
		return
	}
	if saved.Policy == nil {
		return
	}
	handoff := *saved.Policy
	// The time of the lease has continued to run since the predecessor saved it.
	handoff.LeaseRemaining -= time.Duration(transport.MonotonicNanos() - saved.PolicyNanos)
	d.policy.handoff = &handoff
}

// snapshot returns a snapshot of the current state.
func (d *Daemon) snapshot() *snapshot.State {
	moment := currentMoment()
	s := &snapshot.State{
		SavedMS:     moment.Wall.UnixMilli(),
		BootID:      moment.BootID,
		SinceBootMS: moment.SinceBoot.Milliseconds(),
		Sources:     map[string]*discovery.Update{},
		Instances:   map[string]*core.LearnedState{},
		Merges:      map[string]*snapshot.Merge{},
	}
	for name, h := range d.hubs {
		list := h.Snapshot()
		if list == nil {
			continue
		}
		s.Sources[h.source.Key()] = list
		if merge := h.savedMerge(); merge != nil {
			s.Merges[name] = &snapshot.Merge{Key: h.source.Key(), List: h.source.List, State: merge}
		}
	}
	deadline := time.Now().Add(memoryTimeout)
	for name, instance := range d.instances {
		if instance.agent != nil {
			timeout := max(minMemoryTimeout, time.Until(deadline))
			if memory, ok := instance.agent.Learned(timeout); ok {
				d.memories[name] = memory
			}
		}
		if memory := d.memories[name]; memory != nil {
			s.Instances[name] = memory
		}
	}
	return s
}

// saveSnapshot passes a snapshot to the store, if the daemon has a state directory.
func (d *Daemon) saveSnapshot() {
	if d.snapshots.Dir == "" {
		return
	}
	data, err := snapshot.Encode(d.snapshot())
	if err != nil {
		d.log.Error("state not saved", "error", err)
		return
	}
	d.snapshots.Put(data)
}

// snapshotStore keeps the last snapshot in the state directory. A failed write never stops the daemon from serving.
type snapshotStore struct{ *atomicfile.Writer }

func newSnapshotStore(dir string, log *slog.Logger) *snapshotStore {
	return &snapshotStore{atomicfile.NewWriter(dir, snapshotFile, "state", log)}
}

// read returns the saved snapshot and its path. The snapshot is nil if there is none.
func (s *snapshotStore) read() (data []byte, path string) {
	if s.Dir == "" {
		return nil, ""
	}
	path = filepath.Join(s.Dir, snapshotFile)
	data, err := os.ReadFile(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.Log.Warn("the last state can't be read", "error", err)
		}
		return nil, path
	}
	return data, path
}
