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
	"strings"
	"sync"
	"syscall"
	"time"

	"vetchhaven/internal/atomicfile"
)

const (
	// lookBeside is how often a process looks while another is alive, and lookAlone else. A caller waits for the
	// other process to have looked; alone, only a new one's arrival can go unseen for a while.
	lookBeside = 25 * time.Millisecond
	lookAlone  = 250 * time.Millisecond
	// HeardWithin is how long Say waits for the others: a caller at the door has 1 s.
	HeardWithin = 400 * time.Millisecond

	saidName, lockName, liveEnding = "said.json", "lock", ".live"
	mostBytes                      = 4 << 20 // of what is read
)

// Dir is one process's place in the directory that all processes of an agent see.
type Dir struct {
	path   string
	within time.Duration // HeardWithin, but for tests
	live   *os.File      // locked while this process is alive; holds the version that it has carried out

	mu    sync.Mutex
	known Said  // carried out here
	noted int64 // the version of it that the others see
}

// Open takes a place in the directory. What was said before holds where another process is alive; else it
// is of an earlier run, and forgotten.
func Open(path string) (d *Dir, err error) {
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, err
	}
	// In a place that others write to, a name that somebody else has taken is not believed.
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	if st, ok := info.Sys().(*syscall.Stat_t); !info.IsDir() || info.Mode().Perm()&0o077 != 0 || ok && int(st.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("%s: is not a directory of this user's alone", path)
	}
	d = &Dir{path: path, within: HeardWithin}
	err = d.locked(func() error {
		others, err := d.others()
		if err != nil {
			return err
		}
		if len(others) == 0 {
			if err := os.Remove(d.file(saidName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		return d.enter()
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Dir) file(name string) string { return filepath.Join(d.path, name) }

// enter makes the file that says that this process is alive. It is locked before it has the name by which
// others look for it.
func (d *Dir) enter() error {
	f, err := os.CreateTemp(d.path, "new")
	if err != nil {
		return err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		err = os.Rename(f.Name(), f.Name()+liveEnding)
	}
	if err != nil {
		f.Close()
		_ = os.Remove(f.Name())
		return err
	}
	d.live = f
	return nil
}

// Close leaves the directory.
func (d *Dir) Close() error {
	_ = os.Remove(d.live.Name() + liveEnding)
	return d.live.Close()
}

// locked runs f while no other process does.
func (d *Dir) locked(f func() error) error {
	lock, err := os.OpenFile(d.file(lockName), os.O_CREATE|os.O_RDWR, 0o600)
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

// others are the versions that the other live processes have carried out. Files of ended ones go.
func (d *Dir) others() (versions []int64, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		name := d.file(e.Name())
		if !strings.HasSuffix(name, liveEnding) || d.live != nil && name == d.live.Name()+liveEnding {
			continue
		}
		if v, alive := version(name); alive {
			versions = append(versions, v)
		}
	}
	return versions, nil
}

// version is what a process has carried out, if it is alive.
func version(name string) (v int64, alive bool) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false // it has just left
	}
	if err != nil {
		return 0, true // this process can't look at it now, for want of a descriptor perhaps
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err == nil {
		_ = os.Remove(name)
		return 0, false
	}
	var text [8]byte
	if _, err := f.ReadAt(text[:], 0); err != nil {
		return 0, true // nothing so far
	}
	return int64(binary.BigEndian.Uint64(text[:])), true
}

// read is what holds now.
func (d *Dir) read() (Said, error) {
	info, err := os.Stat(d.file(saidName))
	if errors.Is(err, fs.ErrNotExist) {
		return Said{}, nil
	}
	if err == nil && info.Size() > mostBytes {
		err = fmt.Errorf("%d bytes are too many", info.Size())
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(d.file(saidName))
	}
	var s Said
	if err == nil {
		s, err = parse(text)
	}
	if err != nil {
		return Said{}, fmt.Errorf("%s: %w", d.file(saidName), err)
	}
	return s, nil
}

// Say keeps a change that this process has carried out, and returns once every other live process has too, or
// after HeardWithin.
func (d *Dir) Say(c Change) error {
	now, err := d.keep(c)
	if err != nil {
		return err
	}
	for end := time.Now().Add(d.within); ; time.Sleep(lookBeside / 2) {
		others, err := d.others()
		if err != nil {
			return err
		}
		heard := true
		for _, v := range others {
			heard = heard && v >= now.Version
		}
		if heard {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("another process has not heard of it yet")
		}
	}
}

func (d *Dir) keep(c Change) (now Said, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	err = d.locked(func() error {
		before, err := d.read()
		if err != nil {
			return err
		}
		if now, err = before.With(c); err != nil || now.Version == before.Version {
			return err
		}
		text, err := json.Marshal(now)
		if err != nil {
			return err
		}
		return atomicfile.Replace(d.path, saidName, text)
	})
	if err == nil {
		// Of what another process has kept meanwhile this one still has to hear: the version stays.
		err = d.carried(c)
	}
	return now, err
}

// carried notes that a change holds here. The lock is held.
func (d *Dir) carried(c Change) error {
	after, err := d.known.With(c)
	if err != nil {
		return err
	}
	after.Version = d.known.Version
	d.known = after
	return nil
}

// Look carries out what is new, and tells how many other processes are alive. apply returns once a change
// holds here.
func (d *Dir) Look(apply func(Change) error) (beside int, err error) {
	if err := d.hear(apply); err != nil {
		return 0, err
	}
	others, err := d.others()
	return len(others), err
}

func (d *Dir) hear(apply func(Change) error) error {
	d.mu.Lock() // nothing that is said here comes between reading and carrying out: it would be undone
	defer d.mu.Unlock()
	now, err := d.read()
	if err != nil {
		return err
	}
	for _, c := range now.Since(d.known) {
		if err := apply(c); err != nil {
			return err
		}
		if err := d.carried(c); err != nil {
			return err
		}
	}
	d.known = now
	return d.note()
}

// note has the others see which version holds here. The lock is held. What fails is tried again at the next look.
func (d *Dir) note() error {
	if d.noted == d.known.Version {
		return nil
	}
	var text [8]byte
	binary.BigEndian.PutUint64(text[:], uint64(d.known.Version))
	if _, err := d.live.WriteAt(text[:], 0); err != nil {
		return err
	}
	d.noted = d.known.Version
	return nil
}

// Follow looks until ctx ends, and tells whenever the number of processes beside this one has changed from
// last. Errors are told once for each row of them.
func (d *Dir) Follow(ctx context.Context, last int, apply func(Change) error, beside func(int), fail func(error)) {
	failed := false
	for {
		n, err := d.Look(apply)
		if err != nil && !failed {
			fail(err)
		}
		if failed = err != nil; !failed && n != last {
			last = n
			beside(n)
		}
		wait := lookAlone
		if last > 0 {
			wait = lookBeside
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
