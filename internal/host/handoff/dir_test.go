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

// process stands for one process of an agent that shares the directory.
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
	d.ackTimeout = testkit.Patience
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

// A change is in effect in the other process once Publish has returned, both ways; it is not applied again by the process that
// published it; and a process that joins later has it from the start.
func TestChangeOfOneProcessIsAppliedByAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	old := join(t, path)
	if err := old.Publish(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	young := join(t, path)
	if got := young.describeState(); got != "atrue" {
		t.Errorf("the new one knows %q", got)
	}
	testkit.Receive(t, "word of the other", old.otherProcesses)
	if err := young.Publish(Change{"b", true}); err != nil {
		t.Fatal(err)
	}
	if err := young.Publish(Change{"a", false}); err != nil {
		t.Fatal(err)
	}
	if err := old.Publish(Change{"", true}); err != nil {
		t.Fatal(err)
	}
	if o, y := old.describeState(), young.describeState(); o != "btrue afalse" || y != "atrue true" {
		t.Errorf("old received %q, new received %q", o, y)
	}
	old.leave()
	if n := testkit.Receive(t, "word that it is alone", young.otherProcesses); n != 0 {
		t.Errorf("%d beside", n)
	}
	third := join(t, path)
	if got := third.describeState(); got != "true btrue" {
		t.Errorf("the third knows %q", got)
	}
}

// Two that speak at once: both words hold in both.
func TestConcurrentChangesAreBothApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	one, two := join(t, path), join(t, path)
	testkit.Receive(t, "word of the other", one.otherProcesses)
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
		testkit.WaitFor(t, "the other's words", func() bool { return len(strings.Fields(p.describeState())) == 20 })
	}
	if s, err := one.read(); err != nil || len(s.Disabled) != 40 || s.Version != 40 {
		t.Errorf("%d kept, version %d, %v", len(s.Disabled), s.Version, err)
	}
}

func (d *Dir) storeOnly(c Change) error {
	_, err := d.store(c)
	return err
}

// A process that is alone discards the state of an earlier run.
func TestStateOfEarlierRunIsDiscarded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	first := join(t, path)
	if err := first.Publish(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	first.leave()
	if got := join(t, path).describeState(); got != "" {
		t.Errorf("it knows %q", got)
	}
}

// A killed process leaves its live file, unlocked: Publish does not wait for it.
func TestPublishDoesNotWaitForKilledProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	killed, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	alive := join(t, path)
	killed.liveFile.Close() // as the kernel does at its end; its file stays
	if err := alive.Publish(Change{"a", true}); err != nil {
		t.Error(err)
	}
	if n, err := alive.Sync(alive.apply); n != 0 || err != nil {
		t.Errorf("%d beside, %v", n, err)
	}
}

// Publish fails in time while another process does not apply the change; once that process can, it does.
func TestPublishReportsProcessThatDoesNotAck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	stuck, other := join(t, path), join(t, path)
	other.ackTimeout = AckTimeout
	stuck.mu.Lock()
	stuck.refuses = true
	stuck.mu.Unlock()
	if err := other.Publish(Change{"a", true}); err == nil {
		t.Error("published, though one process has not applied it")
	}
	testkit.Receive(t, "error", stuck.failed)
	stuck.mu.Lock()
	stuck.refuses = false
	stuck.mu.Unlock()
	testkit.WaitFor(t, "the change to hold", func() bool { return stuck.describeState() == "atrue" })
}

// A state file that can't be read is reported, and changes nothing.
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
		t.Errorf("%v does not name the file", err)
	}
	if err := p.Publish(Change{"b", true}); err == nil {
		t.Error("kept over a file that can't be read")
	}
	if p.describeState() != "" {
		t.Errorf("it received %q", p.describeState())
	}
}

// A directory that other users can write to, or a path that is none, is refused.
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
			t.Errorf("%s was taken", path)
		}
	}
}

// A version that could not be written to the live file is written at the next sync: the process that published the change
// waits for it.
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
	if other.liveFile, err = os.Open(live.Name() + liveFileSuffix); err != nil { // for reading: a write fails
		t.Fatal(err)
	}
	if _, err := other.Sync(apply); err == nil {
		t.Error("a version that could not be written is no error")
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

// A process whose live file can't be opened for want of a descriptor is not taken for ended.
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
		t.Error("it counts as ended: this one would take its descriptors and its memory")
	}
	if _, alive := readVersion(name + "not"); alive {
		t.Error("one without a file counts as alive")
	}
}
