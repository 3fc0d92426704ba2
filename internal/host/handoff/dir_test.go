package handoff

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/testkit"
)

// process simulates one process of an agent that shares the directory.
type process struct {
	*Dir
	mu             sync.Mutex
	received       []string
	otherProcesses chan int
	failed         chan error
	leave          func()
	refuses        bool
}

func join(t *testing.T, path string) *process {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	d.ackTimeout = testkit.EventTimeout
	p := &process{Dir: d, otherProcesses: make(chan int, 100), failed: make(chan error, 100)}
	n, err := d.Sync(p.apply)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Follow(ctx, n, p.apply, func(n int) { p.otherProcesses <- n }, func(err error) { p.failed <- err })
		close(done)
	}()
	p.leave = sync.OnceFunc(func() {
		cancel()
		<-done
		d.Close()
	})
	t.Cleanup(p.leave)
	return p
}

func (p *process) apply(c Change) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuses {
		return errors.New("stuck")
	}
	p.received = append(p.received, fmt.Sprint(c.Server, c.On))
	return nil
}

func (p *process) describeState() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.received, " ")
}

// Once Publish has returned, the change is in effect in the other process, in both directions. The process that
// published a change does not apply it again. A process that joins later has all changes from the start.
func TestChangeOfOneProcessIsAppliedByAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	first := join(t, path)
	if err := first.Publish(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	second := join(t, path)
	if got := second.describeState(); got != "atrue" {
		t.Errorf("the second process has %q", got)
	}
	testkit.Receive(t, "notice of the other process", first.otherProcesses)
	if err := second.Publish(Change{"b", true}); err != nil {
		t.Fatal(err)
	}
	if err := second.Publish(Change{"a", false}); err != nil {
		t.Fatal(err)
	}
	if err := first.Publish(Change{"", true}); err != nil {
		t.Fatal(err)
	}
	if f, s := first.describeState(), second.describeState(); f != "btrue afalse" || s != "atrue true" {
		t.Errorf("first received %q, second received %q", f, s)
	}
	first.leave()
	if n := testkit.Receive(t, "notice that no other process is alive", second.otherProcesses); n != 0 {
		t.Errorf("%d other processes, want 0", n)
	}
	third := join(t, path)
	if got := third.describeState(); got != "true btrue" {
		t.Errorf("the third process has %q", got)
	}
}

// Changes that two processes publish at the same time are applied by both.
func TestConcurrentChangesAreBothApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	one, two := join(t, path), join(t, path)
	testkit.Receive(t, "notice of the other process", one.otherProcesses)
	var both sync.WaitGroup
	for _, p := range []*process{one, two} {
		both.Go(func() {
			for i := range 20 {
				if err := p.storeOnly(Change{fmt.Sprintf("%p-%d", p, i), true}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	both.Wait()
	for _, p := range []*process{one, two} {
		testkit.WaitFor(t, "the other process's changes", func() bool { return len(strings.Fields(p.describeState())) == 20 })
	}
	if s, err := one.read(); err != nil || len(s.Disabled) != 40 || s.Version != 40 {
		t.Errorf("%d servers stored, version %d, error %v", len(s.Disabled), s.Version, err)
	}
}

func (d *Dir) storeOnly(c Change) error {
	_, err := d.store(c)
	return err
}

// A process discards the state of an earlier run if no other process is alive.
func TestStateOfEarlierRunIsDiscarded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	first := join(t, path)
	if err := first.Publish(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	first.leave()
	if got := join(t, path).describeState(); got != "" {
		t.Errorf("state of the earlier run was kept: %q", got)
	}
}

// A killed process leaves its live file behind, unlocked. Publish does not wait for such a process.
func TestPublishDoesNotWaitForKilledProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	killed, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	alive := join(t, path)
	killed.liveFile.Close() // as the kernel does when the process ends; the file itself stays
	if err := alive.Publish(Change{"a", true}); err != nil {
		t.Error(err)
	}
	if n, err := alive.Sync(alive.apply); n != 0 || err != nil {
		t.Errorf("%d other processes, error %v", n, err)
	}
}

// Publish returns an error in time if another process does not apply the change. That process applies it once it can.
func TestPublishReportsProcessThatDoesNotAck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	stuck, other := join(t, path), join(t, path)
	other.ackTimeout = AckTimeout
	stuck.mu.Lock()
	stuck.refuses = true
	stuck.mu.Unlock()
	if err := other.Publish(Change{"a", true}); err == nil {
		t.Error("published, although one process has not applied the change")
	}
	testkit.Receive(t, "error", stuck.failed)
	stuck.mu.Lock()
	stuck.refuses = false
	stuck.mu.Unlock()
	testkit.WaitFor(t, "the change to be applied", func() bool { return stuck.describeState() == "atrue" })
}

// A state file that can't be read is reported, and no state changes.
func TestCorruptStateFileIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	p, _ := join(t, path), join(t, path)
	if err := p.Publish(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.file(stateFileName), []byte(`{"version":9,"out":["`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Receive(t, "error", p.failed); !strings.Contains(err.Error(), stateFileName) {
		t.Errorf("error %v does not name the file", err)
	}
	if err := p.Publish(Change{"b", true}); err == nil {
		t.Error("a state file that can't be read was overwritten")
	}
	if p.describeState() != "" {
		t.Errorf("a change was applied: %q", p.describeState())
	}
}

// A directory that other users can write to, or a path that is not a directory, is rejected.
func TestDirectoryOfAnotherUserIsRejected(t *testing.T) {
	open := filepath.Join(t.TempDir(), "open")
	if err := os.Mkdir(open, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(open, 0o777); err != nil {
		t.Fatal(err)
	}
	link := filepath.Join(t.TempDir(), "link")
	if err := os.Symlink(t.TempDir(), link); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{open, link, filepath.Join(open, "none", "deeper")} {
		if d, err := Open(path); err == nil {
			d.Close()
			t.Errorf("%s was accepted", path)
		}
	}
}

// A version that could not be written to the live file is written at the next sync. The process that published the
// change waits for that version.
func TestFailedVersionWriteIsRetriedAtNextSync(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	one, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	other, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if _, err := one.store(Change{Server: "s", On: true}); err != nil {
		t.Fatal(err)
	}
	apply := func(Change) error { return nil }
	live := other.liveFile
	if other.liveFile, err = os.Open(live.Name() + liveFileSuffix); err != nil { // opened read-only, so that a write fails
		t.Fatal(err)
	}
	if _, err := other.Sync(apply); err == nil {
		t.Error("no error although the version could not be written")
	}
	other.liveFile.Close()
	other.liveFile = live
	if _, err := other.Sync(apply); err != nil {
		t.Fatal(err)
	}
	versions, err := one.otherVersions()
	if err != nil || len(versions) != 1 || versions[0] != 1 {
		t.Errorf("the other processes have published %v, %v", versions, err)
	}
}

// A process whose live file can't be opened for lack of a file descriptor counts as alive.
func TestProcessWhoseLiveFileCannotBeOpenedCountsAsAlive(t *testing.T) {
	d, err := Open(filepath.Join(t.TempDir(), "kept"))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	name := d.liveFile.Name() + liveFileSuffix
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	_ = unix.Close(next)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next), Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	_, alive := readVersion(name)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if !alive {
		t.Error("counts as ended: this process would use the descriptors and the memory reserved for it")
	}
	if _, alive := readVersion(name + "not"); alive {
		t.Error("a process without a live file counts as alive")
	}
}
