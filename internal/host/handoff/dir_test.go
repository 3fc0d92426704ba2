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

// process is one of an agent's, as far as the directory knows.
type process struct {
	*Dir
	mu      sync.Mutex
	heard   []string
	beside  chan int
	failed  chan error
	leave   func()
	refuses bool
}

func join(t *testing.T, path string) *process {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	d.within = testkit.Patience
	p := &process{Dir: d, beside: make(chan int, 100), failed: make(chan error, 100)}
	n, err := d.Look(p.apply)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Follow(ctx, n, p.apply, func(n int) { p.beside <- n }, func(err error) { p.failed <- err })
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
	p.heard = append(p.heard, fmt.Sprint(c.Server, c.On))
	return nil
}

func (p *process) told() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.heard, " ")
}

// What is said to one holds in the other once Say has returned, both ways; the one who said it does not hear of it
// again; and one that comes later knows it from the start.
func TestSaidToOneHoldsInAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	old := join(t, path)
	if err := old.Say(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	young := join(t, path)
	if got := young.told(); got != "atrue" {
		t.Errorf("the new one knows %q", got)
	}
	testkit.Receive(t, "word of the other", old.beside)
	if err := young.Say(Change{"b", true}); err != nil {
		t.Fatal(err)
	}
	if err := young.Say(Change{"a", false}); err != nil {
		t.Fatal(err)
	}
	if err := old.Say(Change{"", true}); err != nil {
		t.Fatal(err)
	}
	if o, y := old.told(), young.told(); o != "btrue afalse" || y != "atrue true" {
		t.Errorf("old heard %q, new heard %q", o, y)
	}
	old.leave()
	if n := testkit.Receive(t, "word that it is alone", young.beside); n != 0 {
		t.Errorf("%d beside", n)
	}
	third := join(t, path)
	if got := third.told(); got != "true btrue" {
		t.Errorf("the third knows %q", got)
	}
}

// Two that speak at once: both words hold in both.
func TestBothSayAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	one, two := join(t, path), join(t, path)
	testkit.Receive(t, "word of the other", one.beside)
	var both sync.WaitGroup
	for _, p := range []*process{one, two} {
		both.Go(func() {
			for i := range 20 {
				if err := p.keepOnly(Change{fmt.Sprintf("%p-%d", p, i), true}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	both.Wait()
	for _, p := range []*process{one, two} {
		testkit.WaitFor(t, "the other's words", func() bool { return len(strings.Fields(p.told())) == 20 })
	}
	if s, err := one.read(); err != nil || len(s.Out) != 40 || s.Version != 40 {
		t.Errorf("%d kept, version %d, %v", len(s.Out), s.Version, err)
	}
}

func (d *Dir) keepOnly(c Change) error {
	_, err := d.keep(c)
	return err
}

// One that is alone forgets what an earlier run was told.
func TestAnEarlierRunIsForgotten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	first := join(t, path)
	if err := first.Say(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	first.leave()
	if got := join(t, path).told(); got != "" {
		t.Errorf("it knows %q", got)
	}
}

// One that was killed leaves its file, and is not waited for.
func TestAKilledProcessIsNotWaitedFor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	killed, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	alive := join(t, path)
	killed.live.Close() // as the kernel does at its end; its file stays
	if err := alive.Say(Change{"a", true}); err != nil {
		t.Error(err)
	}
	if n, err := alive.Look(alive.apply); n != 0 || err != nil {
		t.Errorf("%d beside, %v", n, err)
	}
}

// One that does not carry out what it hears is not said to have: the caller learns it in time.
func TestAStuckProcessIsTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	stuck, other := join(t, path), join(t, path)
	other.within = HeardWithin
	stuck.mu.Lock()
	stuck.refuses = true
	stuck.mu.Unlock()
	if err := other.Say(Change{"a", true}); err == nil {
		t.Error("said to hold in both")
	}
	testkit.Receive(t, "error", stuck.failed)
	stuck.mu.Lock()
	stuck.refuses = false
	stuck.mu.Unlock()
	testkit.WaitFor(t, "the change to hold", func() bool { return stuck.told() == "atrue" })
}

// What can't be read changes nothing and is said.
func TestSpoiltFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent")
	p, _ := join(t, path), join(t, path)
	if err := p.Say(Change{"a", true}); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.file(saidName), []byte(`{"version":9,"out":["`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Receive(t, "error", p.failed); !strings.Contains(err.Error(), saidName) {
		t.Errorf("%v does not name the file", err)
	}
	if err := p.Say(Change{"b", true}); err == nil {
		t.Error("kept over a file that can't be read")
	}
	if p.told() != "" {
		t.Errorf("it heard %q", p.told())
	}
}

// A directory that others can write to, or that is none, is not believed.
func TestForeignDirectory(t *testing.T) {
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

// A change that holds here, and could not be noted for others in a moment of trouble, is noted at the next look: whoever
// said it waits for that.
func TestANoteThatFailedIsWrittenAtTheNextLook(t *testing.T) {
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
	if _, err := one.keep(Change{Server: "s", On: true}); err != nil {
		t.Fatal(err)
	}
	apply := func(Change) error { return nil }
	live := other.live
	if other.live, err = os.Open(live.Name() + liveEnding); err != nil { // for reading: a write fails
		t.Fatal(err)
	}
	if _, err := other.Look(apply); err == nil {
		t.Error("a note that could not be written is no error")
	}
	other.live.Close()
	other.live = live
	if _, err := other.Look(apply); err != nil {
		t.Fatal(err)
	}
	versions, err := one.others()
	if err != nil || len(versions) != 1 || versions[0] != 1 {
		t.Errorf("the others have noted %v, %v", versions, err)
	}
}

// A process that can't be looked at for want of a descriptor is not one that has ended.
func TestAProcessThatCannotBeLookedAtIsAlive(t *testing.T) {
	d, err := Open(filepath.Join(t.TempDir(), "kept"))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	name := d.live.Name() + liveEnding
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
	_, alive := version(name)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if !alive {
		t.Error("it counts as ended: this one would take its descriptors and its memory")
	}
	if _, alive := version(name + "not"); alive {
		t.Error("one without a file counts as alive")
	}
}
