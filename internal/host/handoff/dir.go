package handoff

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"vetchhaven/internal/atomicfile"
)

const (
	// sharedSyncInterval is the time between two reads of the state file while another process is alive. It is short
	// because an operator's call waits until the other process has read the file.
	sharedSyncInterval = 25 * time.Millisecond
	// aloneSyncInterval is the interval while no other process is alive. No other process changes the file then, so
	// the only cost of a long interval is that a new process is noticed that much later.
	aloneSyncInterval = 250 * time.Millisecond
	// AckTimeout is how long Publish waits for the other processes after the change has been stored. It is below the
	// 1 s for which the caller of the admin endpoint waits.
	AckTimeout = 400 * time.Millisecond

	stateFileName  = "said.json"
	lockFileName   = "lock"
	liveFileSuffix = ".live"
	// maxFileBytes bounds the size of a state file that is read: ten times the size of a state with maxDisabled
	// endpoints.
	maxFileBytes = 4 << 20
)

var errNotAcknowledged = errors.New("another process has not applied the change yet")

// Dir is one process's handle on the directory that all processes of an agent share. Its methods may be called from
// any goroutine.
type Dir struct {
	path       string
	ackTimeout time.Duration // AckTimeout, except in tests
	liveFile   *os.File      // locked while this process is alive; contains publishedVersion

	mu               sync.Mutex
	applied          OperatorState // in effect in this process
	publishedVersion int64         // the version of applied that liveFile contains
}

// Open joins the directory at path and creates it if it is missing. The state in the directory is valid if another
// process is alive. Otherwise it is left over from an earlier run and is removed. Open returns an error if the
// directory can't be used or belongs to another user.
func Open(path string) (d *Dir, err error) {
	if err := MakeDir(path); err != nil {
		return nil, err
	}
	d = &Dir{path: path, ackTimeout: AckTimeout}
	err = d.withLock(func() error {
		versions, err := d.otherVersions()
		if err != nil {
			return err
		}
		if len(versions) == 0 {
			if err := os.Remove(d.file(stateFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		return d.createLiveFile()
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// MakeDir creates the directory at path if it is missing. It returns an error if another user can access it.
func MakeDir(path string) error {
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return checkPrivate(path)
}

// checkPrivate rejects a directory that another user may have created, since the parent may be writable by everyone.
func checkPrivate(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	ownedByOther := ok && int(stat.Uid) != os.Geteuid()
	if !info.IsDir() || info.Mode().Perm()&0o077 != 0 || ownedByOther {
		return fmt.Errorf("%s: not a directory that only this user can access", path)
	}
	return nil
}

func (d *Dir) file(name string) string { return filepath.Join(d.path, name) }

// createLiveFile creates the file whose lock shows that this process is alive. The file is locked before it gets the
// name by which other processes look for it.
func (d *Dir) createLiveFile() error {
	f, err := os.CreateTemp(d.path, "new")
	if err != nil {
		return err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		err = os.Rename(f.Name(), f.Name()+liveFileSuffix)
	}
	if err != nil {
		f.Close()
		_ = os.Remove(f.Name())
		return err
	}
	d.liveFile = f
	return nil
}

// Close leaves the directory: other processes no longer wait for this one.
func (d *Dir) Close() error {
	_ = os.Remove(d.liveFile.Name() + liveFileSuffix)
	return d.liveFile.Close()
}

// withLock runs f while it holds the directory's lock, so that only one process at a time runs such a function.
func (d *Dir) withLock(f func() error) error {
	lock, err := os.OpenFile(d.file(lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // releases the lock
	for {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		return err
	}
	return f()
}

// otherVersions lists the versions that the other live processes have applied. It removes the files of processes that
// have ended.
func (d *Dir) otherVersions() (versions []int64, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		name := d.file(e.Name())
		own := d.liveFile != nil && name == d.liveFile.Name()+liveFileSuffix
		if own || !strings.HasSuffix(name, liveFileSuffix) {
			continue
		}
		if v, alive := readVersion(name); alive {
			versions = append(versions, v)
		}
	}
	return versions, nil
}

// readVersion returns the version that the process of a live file has applied. If that process has ended, alive is
// false and the file is removed.
func readVersion(name string) (v int64, alive bool) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false // the process has just ended
	}
	if err != nil {
		return 0, true // can't be opened now, perhaps for lack of a file descriptor: the process counts as alive
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err == nil {
		_ = os.Remove(name)
		return 0, false
	}
	var text [8]byte
	if _, err := f.ReadAt(text[:], 0); err != nil {
		return 0, true // the process has not applied any state yet
	}
	return int64(binary.BigEndian.Uint64(text[:])), true
}

// read returns the state in the file, or the zero state if there is no file.
func (d *Dir) read() (OperatorState, error) {
	text, err := readBounded(d.file(stateFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return OperatorState{}, nil
	}
	var state OperatorState
	if err == nil {
		state, err = parse(text)
	}
	if err != nil {
		return OperatorState{}, fmt.Errorf("%s: %w", d.file(stateFileName), err)
	}
	return state, nil
}

// readBounded reads a file of at most maxFileBytes.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("state file of %d bytes is too large", info.Size())
	}
	return os.ReadFile(path)
}

// Publish stores a change that this process has applied, and returns once every other live process has applied it too.
// If that takes longer than AckTimeout, Publish returns an error: the change is stored, and the other processes may
// apply it later.
func (d *Dir) Publish(change Change) error {
	stored, err := d.store(change)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(d.ackTimeout); ; time.Sleep(sharedSyncInterval / 2) {
		versions, err := d.otherVersions()
		if err != nil {
			return err
		}
		pending := slices.ContainsFunc(versions, func(v int64) bool { return v < stored.Version })
		if !pending {
			return nil
		}
		if time.Now().After(deadline) {
			return errNotAcknowledged
		}
	}
}

// store adds a change to the state in the file, and returns the new state.
func (d *Dir) store(change Change) (stored OperatorState, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	err = d.withLock(func() error {
		before, err := d.read()
		if err != nil {
			return err
		}
		stored, err = before.Apply(change)
		if err != nil || stored.Version == before.Version {
			return err
		}
		text, err := json.Marshal(stored)
		if err != nil {
			return err
		}
		return atomicfile.Replace(d.path, stateFileName, text)
	})
	if err == nil {
		err = d.recordApplied(change)
	}
	return stored, err
}

// recordApplied records that this process has applied a change. It keeps the old version number: the file may contain
// changes of other processes that this process has not applied yet, and the next sync takes over the file's version.
// The caller holds d.mu.
func (d *Dir) recordApplied(change Change) error {
	after, err := d.applied.Apply(change)
	if err != nil {
		return err
	}
	after.Version = d.applied.Version
	d.applied = after
	return nil
}

// Sync applies the changes that other processes have stored, and returns the number of other live processes. apply
// must return once a change is in effect in this process.
func (d *Dir) Sync(apply func(Change) error) (otherProcesses int, err error) {
	if err := d.applyNew(apply); err != nil {
		return 0, err
	}
	versions, err := d.otherVersions()
	return len(versions), err
}

func (d *Dir) applyNew(apply func(Change) error) error {
	d.mu.Lock() // without the lock, a change of this process between reading and applying would be undone
	defer d.mu.Unlock()
	stored, err := d.read()
	if err != nil {
		return err
	}
	for _, change := range stored.ChangesSince(d.applied) {
		if err := apply(change); err != nil {
			return err
		}
		if err := d.recordApplied(change); err != nil {
			return err
		}
	}
	d.applied = stored
	return d.publishVersion()
}

// publishVersion writes the applied version into the live file, where the other processes read it. A failed write is
// retried at the next sync. The caller holds d.mu.
func (d *Dir) publishVersion() error {
	if d.publishedVersion == d.applied.Version {
		return nil
	}
	var text [8]byte
	binary.BigEndian.PutUint64(text[:], uint64(d.applied.Version))
	if _, err := d.liveFile.WriteAt(text[:], 0); err != nil {
		return err
	}
	d.publishedVersion = d.applied.Version
	return nil
}

// Follow calls Sync repeatedly until ctx ends. It calls changed whenever the number of other processes changes;
// otherProcesses is the initial number. It calls report with the first of several consecutive errors.
func (d *Dir) Follow(ctx context.Context, otherProcesses int, apply func(Change) error, changed func(int), report func(error)) {
	failed := false
	for {
		n, err := d.Sync(apply)
		switch {
		case err == nil:
			failed = false
			if n != otherProcesses {
				otherProcesses = n
				changed(n)
			}
		case !failed:
			failed = true
			report(err)
		}
		interval := aloneSyncInterval
		if otherProcesses > 0 {
			interval = sharedSyncInterval
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
