package daemon

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/peer/policy"
)

func opened(t *testing.T, dir, witness string) (*policyStore, policy.StoredState) {
	t.Helper()
	s := newPolicyStore(dir, witness, "host-1", slog.New(slog.DiscardHandler))
	d, err := s.open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s, d
}

func (s *policyStore) now(t *testing.T, b policy.Batch) {
	t.Helper()
	if err := s.write(&job{Persist: policy.Persist{Batch: b}, life: s.life}); err != nil {
		t.Fatal(err)
	}
}

func entries(all ...string) (out [][]byte) {
	for _, e := range all {
		out = append(out, []byte(e))
	}
	return out
}

func TestWhatIsWrittenIsReadBack(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "not", "there", "yet")
	s, d := opened(t, dir, "")
	if d.Snapshot != nil || d.Member != nil || d.ProvenCurrent {
		t.Fatalf("%+v", d)
	}
	s.now(t, policy.Batch{HardState: []byte("h"), Snapshot: []byte("s"), FirstIndex: 2, Entries: entries("2", "3", "4"), Epoch: 1})
	s.now(t, policy.Batch{FirstIndex: 4, Entries: entries("4b", "5"), Member: []byte("m"), Epoch: 1})
	s.now(t, policy.Batch{CompactBefore: 3})
	s.close()
	s, d = opened(t, dir, "")
	if string(d.HardState) != "h" || string(d.Snapshot) != "s" || string(d.Member) != "m" || d.Epoch != 1 || len(d.Entries) != 3 || string(d.Entries[1]) != "4b" {
		t.Fatalf("%+v", d)
	}
	s.now(t, policy.Batch{Wipe: true, Snapshot: []byte("t"), Epoch: 2})
	s.close()
	if _, d = opened(t, dir, ""); d.HardState != nil || len(d.Entries) != 0 || string(d.Snapshot) != "t" || string(d.Member) != "m" || d.Epoch != 2 {
		t.Errorf("%+v", d)
	}
}

func TestOnlyTheFileThatTheLastProcessLeftIsProved(t *testing.T) {
	dir, run := t.TempDir(), t.TempDir()
	s, _ := opened(t, dir, run)
	s.now(t, policy.Batch{Member: []byte("1")})
	s.close()
	early, err := os.ReadFile(filepath.Join(dir, policyFile))
	if err != nil {
		t.Fatal(err)
	}
	s, d := opened(t, dir, run)
	if !d.ProvenCurrent {
		t.Error("the file as it was left proves nothing")
	}
	s.now(t, policy.Batch{Member: []byte("2")})
	s.now(t, policy.Batch{Member: []byte("3")})
	s.close()
	if err := os.WriteFile(filepath.Join(dir, policyFile), early, 0o600); err != nil {
		t.Fatal(err)
	}
	s, d = opened(t, dir, run)
	if d.ProvenCurrent || string(d.Member) != "1" {
		t.Errorf("a file restored from earlier is proved: %q", d.Member)
	}
	s.close()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, d = opened(t, dir, run); d.ProvenCurrent {
		t.Error("a lost file is proved")
	}
}

func TestATornFileIsSetAside(t *testing.T) {
	dir := t.TempDir()
	s, _ := opened(t, dir, "")
	s.now(t, policy.Batch{Member: []byte("m")})
	s.close()
	path := filepath.Join(dir, policyFile)
	if err := os.Truncate(path, 5000); err != nil {
		t.Fatal(err)
	}
	if _, d := opened(t, dir, ""); d.Member != nil {
		t.Errorf("%q", d.Member)
	}
	if _, err := os.Stat(path + ".bad"); err != nil {
		t.Error(err)
	}
}

func TestAnEarlierWriterWritesNothingMore(t *testing.T) {
	s, _ := opened(t, t.TempDir(), "")
	was := s.life
	if _, err := s.reload(); err != nil {
		t.Fatal(err)
	}
	if err := s.write(&job{Persist: policy.Persist{Batch: policy.Batch{Member: []byte("late")}}, life: was}); err == nil {
		t.Error("written")
	}
}

// noDescriptors leaves the process none to open until the function that it returns is called.
func noDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0) // the lowest that is free
	if err != nil {
		t.Fatal(err)
	}
	_ = unix.Close(next)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next), Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
			t.Fatal(err)
		}
	}
}

// A voter must not forget its vote for a failure of a moment: only a file whose content was read and is wrong is set aside,
// and a sound one is not written as it is opened.
func TestOnlyAFileWhoseContentIsWrongIsSetAside(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, policyFile)
	s, _ := opened(t, dir, "")
	s.now(t, policy.Batch{HardState: []byte("voted for b in term 7"), Epoch: 1})
	s.close()
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}

	s = newPolicyStore(dir, "", "host-1", slog.New(slog.DiscardHandler))
	restore := noDescriptors(t)
	_, err = s.open()
	restore()
	if !errors.Is(err, unix.EMFILE) {
		t.Errorf("without a descriptor: %v", err)
	}
	s.close()
	if _, err := os.Stat(path + ".bad"); err == nil {
		t.Fatal("a sound file was set aside for want of a descriptor")
	}
	s, d := opened(t, dir, "")
	s.close()
	if string(d.HardState) != "voted for b in term 7" {
		t.Errorf("the vote is %q", d.HardState)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(before, after) {
		t.Errorf("opening a sound file wrote to it: on a full disk it could not be opened (%v)", err)
	}

	if err := os.WriteFile(path, bytes.Repeat([]byte("x"), len(before)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, d = opened(t, dir, ""); d.HardState != nil {
		t.Errorf("%+v", d)
	}
	if _, err := os.Stat(path + ".bad"); err != nil {
		t.Errorf("a file that makes no sense was not kept aside: %v", err)
	}
}
