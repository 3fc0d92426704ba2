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
	// sharedSyncInterval is the time between two looks at the state file while another process is alive: an operator's call
	// waits for the other process to have looked.
	sharedSyncInterval = 25 * time.Millisecond
	// aloneSyncInterval is the same while no other process is alive. Then nobody else changes the file, so the only cost is that a
	// new process is noticed late by as much.
	aloneSyncInterval = 250 * time.Millisecond
	// AckTimeout is how long Publish waits for the other processes once the change is stored. The caller of the admin endpoint
	// waits 1 s.
	AckTimeout = 400 * time.Millisecond

	stateFileName  = "said.json"
	lockFileName   = "lock"
	liveFileSuffix = ".live"
	// maxFileBytes bounds what is read of the state file: ten times what maxDisabled endpoints take.
	maxFileBytes = 4 << 20
)

var errNotAcknowledged = errors.New("another process has not heard of it yet")

// Dir is one process's part in the directory that all processes of an agent share. Its methods may be called from any
// goroutine.
type Dir struct {
	path       string
	ackTimeout time.Duration // AckTimeout, but for tests
	liveFile   *os.File      // locked while this process is alive; holds the version of the state that it has applied

	mu               sync.Mutex
	applied          OperatorState // in effect in this process
	publishedVersion int64         // the version of it that liveFile holds
}

// Open joins the directory at path, which it makes if it is missing. The state in it holds where another process is alive; else
// it is left over from an earlier run, and removed. An error says that the directory can't be used, or is another user's.
func Open(path string) (d *Dir, err error) {
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, err
	}
	if err := checkPrivate(path); err != nil {
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

// checkPrivate refuses a directory that another user may have made: its parent may be writable by all.
func checkPrivate(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	ownedByOther := ok && int(stat.Uid) != os.Geteuid()
	if !info.IsDir() || info.Mode().Perm()&0o077 != 0 || ownedByOther {
		return fmt.Errorf("%s: is not a directory of this user's alone", path)
	}
	return nil
}

func (d *Dir) file(name string) string { return filepath.Join(d.path, name) }

// createLiveFile makes the file whose lock says that this process is alive. It is locked before it gets the name by which other
// processes look for it.
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

// Close leaves the directory: other processes wait for this one no more.
func (d *Dir) Close() error {
	_ = os.Remove(d.liveFile.Name() + liveFileSuffix)
	return d.liveFile.Close()
}

// withLock runs f while no other process runs one.
func (d *Dir) withLock(f func() error) error {
	lock, err := os.OpenFile(d.file(lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // frees it
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

// otherVersions lists the versions that the other live processes have applied. The files of ended ones are removed.
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

// readVersion is the version that the process of a live file has applied; alive is false, and the file removed, once that
// process has ended.
func readVersion(name string) (v int64, alive bool) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false // it has just ended
	}
	if err != nil {
		return 0, true // it can't be read now, for want of a descriptor perhaps: the process counts as alive
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err == nil {
		_ = os.Remove(name)
		return 0, false
	}
	var text [8]byte
	if _, err := f.ReadAt(text[:], 0); err != nil {
		return 0, true // it has applied nothing yet
	}
	return int64(binary.BigEndian.Uint64(text[:])), true
}

// read is the state in the file; the zero state where there is none.
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

// readBounded reads a file of up to maxFileBytes.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%d bytes are too many", info.Size())
	}
	return os.ReadFile(path)
}

// Publish stores a change that this process has applied, and returns once every other live process has applied it too. After
// AckTimeout it returns an error: the change is stored, and another process may apply it later.
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

// store writes the state after a change to the file, and returns it.
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

// recordApplied notes that this process has applied a change. It keeps the old version number: the file may hold changes of
// other processes that are not applied here yet, and the next sync takes the file's version. d.mu is held.
func (d *Dir) recordApplied(change Change) error {
	after, err := d.applied.Apply(change)
	if err != nil {
		return err
	}
	after.Version = d.applied.Version
	d.applied = after
	return nil
}

// Sync applies the changes that other processes have stored, and returns how many other processes are alive. apply returns once
// a change is in effect in this process.
func (d *Dir) Sync(apply func(Change) error) (otherProcesses int, err error) {
	if err := d.applyNew(apply); err != nil {
		return 0, err
	}
	versions, err := d.otherVersions()
	return len(versions), err
}

func (d *Dir) applyNew(apply func(Change) error) error {
	d.mu.Lock() // a change of this process between reading and applying would be undone
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

// publishVersion writes the applied version into the live file, where the other processes see it. A write that fails is retried
// at the next sync. d.mu is held.
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

// Follow syncs until ctx ends. It calls changed whenever the number of other processes differs from the last one, which is
// otherProcesses at first, and report with the first error of each row of errors.
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

// sleep waits for a while; false: ctx has ended.
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
