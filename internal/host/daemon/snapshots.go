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
	// saveInterval is how often a snapshot is saved. A daemon that crashes loses what it learned since.
	saveInterval = 5 * time.Second
	// snapshotFile is the file in the state directory.
	snapshotFile = "last.state"
	// memoryTimeout is how long all instances together may take to give their memories: one that is busy keeps its last.
	memoryTimeout = 50 * time.Millisecond
	// minMemoryTimeout is how long each of them may take at the least.
	minMemoryTimeout = time.Millisecond
)

// bootFile names the present boot of the machine (proc(5), random).
const bootFile = "/proc/sys/kernel/random/boot_id"

// currentMoment returns the time by the wall clock and, where the system says so, since the machine's start.
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

// restoreSnapshot takes the snapshot of the daemon before, or the last one that was saved, as far as it may be believed.
func (d *Daemon) restoreSnapshot() {
	data, from := d.options.State, "the daemon before"
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
	for list, endpoints := range s.Sources {
		d.savedLists[list] = endpoints
	}
	for name, memory := range s.Instances {
		if memory != nil {
			d.memories[name] = memory
		}
	}
	d.log.Info("last state", "from", from, "lists", len(s.Sources), "instances", len(s.Instances),
		"saved", time.UnixMilli(s.SavedMS).Format(time.RFC3339))
}

// restorePeers takes what the daemon before knew of the fleet, with the lease of its policy.
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
	handoff.LeaseRemaining -= time.Duration(transport.MonotonicNanos() - saved.PolicyNanos) // the time since it was written
	d.policy.handoff = &handoff
}

// snapshot returns what would be saved now.
func (d *Daemon) snapshot() *snapshot.State {
	moment := currentMoment()
	s := &snapshot.State{
		SavedMS:     moment.Wall.UnixMilli(),
		BootID:      moment.BootID,
		SinceBootMS: moment.SinceBoot.Milliseconds(),
		Sources:     map[string]*discovery.Members{},
		Instances:   map[string]*core.Memory{},
	}
	for _, h := range d.hubs {
		if endpoints := h.Snapshot(); endpoints != nil {
			s.Sources[h.source.Key()] = endpoints
		}
	}
	deadline := time.Now().Add(memoryTimeout)
	for name, instance := range d.instances {
		if instance.agent != nil {
			timeout := max(minMemoryTimeout, time.Until(deadline))
			if memory, ok := instance.agent.Memory(timeout); ok {
				d.memories[name] = memory
			}
		}
		if memory := d.memories[name]; memory != nil {
			s.Instances[name] = memory
		}
	}
	return s
}

// saveSnapshot gives a snapshot to the store, if the daemon has a state directory.
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

// snapshotStore keeps the last snapshot in the state directory. One that can't be written never keeps the daemon from
// serving.
type snapshotStore struct{ *atomicfile.Writer }

func newSnapshotStore(dir string, log *slog.Logger) *snapshotStore {
	return &snapshotStore{atomicfile.NewWriter(dir, snapshotFile, "state", log)}
}

// read returns the saved snapshot and its path; nil: there is none.
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
