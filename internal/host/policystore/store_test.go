package policystore

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/peer/policy"
)

func openStore(t *testing.T, dir, witnessDir string) (*Store, policy.StoredState) {
	t.Helper()
	s := New(dir, witnessDir, "host-1", slog.New(slog.DiscardHandler))
	d, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, d
}

func writeNow(t *testing.T, s *Store, batch policy.Batch) {
	t.Helper()
	if err := s.write(&write{Persist: policy.Persist{Batch: batch}, writer: s.writer}); err != nil {
		t.Fatal(err)
	}
}

func entries(texts ...string) [][]byte {
	var entries [][]byte
	for _, text := range texts {
		entries = append(entries, []byte(text))
	}
	return entries
}

func TestBatchesAreReadBack(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "not", "there", "yet")
	s, d := openStore(t, dir, "")
	if d.Snapshot != nil || d.Member != nil || d.ProvenCurrent {
		t.Fatalf("%+v", d)
	}
	writeNow(t, s, policy.Batch{HardState: []byte("h"), Snapshot: []byte("s"), FirstIndex: 2, Entries: entries("2", "3", "4"), Epoch: 1})
	writeNow(t, s, policy.Batch{FirstIndex: 4, Entries: entries("4b", "5"), Member: []byte("m"), Epoch: 1})
	writeNow(t, s, policy.Batch{CompactBefore: 3})
	s.Close()
	s, d = openStore(t, dir, "")
	if string(d.HardState) != "h" || string(d.Snapshot) != "s" || string(d.Member) != "m" || d.Epoch != 1 || len(d.Entries) != 3 || string(d.Entries[1]) != "4b" {
		t.Fatalf("%+v", d)
	}
	writeNow(t, s, policy.Batch{Wipe: true, Snapshot: []byte("t"), Epoch: 2})
	s.Close()
	_, d = openStore(t, dir, "")
	if d.HardState != nil || len(d.Entries) != 0 || string(d.Snapshot) != "t" || string(d.Member) != "m" || d.Epoch != 2 {
		t.Errorf("%+v", d)
	}
}

func TestOnlyTheLastFileIsProvenCurrent(t *testing.T) {
	dir, witnessDir := t.TempDir(), t.TempDir()
	s, _ := openStore(t, dir, witnessDir)
	writeNow(t, s, policy.Batch{Member: []byte("1")})
	s.Close()
	earlier, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	s, d := openStore(t, dir, witnessDir)
	if !d.ProvenCurrent {
		t.Error("the file that the last process left is not proven current")
	}
	writeNow(t, s, policy.Batch{Member: []byte("2")})
	writeNow(t, s, policy.Batch{Member: []byte("3")})
	s.Close()
	if err := os.WriteFile(filepath.Join(dir, fileName), earlier, 0o600); err != nil {
		t.Fatal(err)
	}
	s, d = openStore(t, dir, witnessDir)
	if d.ProvenCurrent || string(d.Member) != "1" {
		t.Errorf("a file restored from an earlier copy is proven current: %q", d.Member)
	}
	s.Close()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, d = openStore(t, dir, witnessDir); d.ProvenCurrent {
		t.Error("a new file that replaces a lost one is proven current")
	}
}

func TestTornFileIsSetAside(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, dir, "")
	writeNow(t, s, policy.Batch{Member: []byte("m")})
	s.Close()
	path := filepath.Join(dir, fileName)
	if err := os.Truncate(path, 5000); err != nil {
		t.Fatal(err)
	}
	if _, d := openStore(t, dir, ""); d.Member != nil {
		t.Errorf("read %q from a truncated file", d.Member)
	}
	if _, err := os.Stat(path + damagedSuffix); err != nil {
		t.Error(err)
	}
}

func TestSupersededWriterWritesNothing(t *testing.T) {
	s, _ := openStore(t, t.TempDir(), "")
	previous := s.writer
	if _, err := s.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := s.write(&write{Persist: policy.Persist{Batch: policy.Batch{Member: []byte("late")}}, writer: previous}); err == nil {
		t.Error("a superseded writer wrote a batch")
	}
}

// exhaustDescriptors lowers the limit on file descriptors so that the process can't open one, until the returned
// function is called.
func exhaustDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var previous unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0) // the lowest free descriptor
	if err != nil {
		t.Fatal(err)
	}
	_ = unix.Close(next)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next), Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &previous); err != nil {
			t.Fatal(err)
		}
	}
}

// A voter must not lose its vote because of a transient failure: only a file whose content could be read and is
// invalid is renamed. Opening an intact file does not write to it.
func TestOnlyDamagedContentIsSetAside(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	s, _ := openStore(t, dir, "")
	writeNow(t, s, policy.Batch{HardState: []byte("voted for b in term 7"), Epoch: 1})
	s.Close()
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}

	s = New(dir, "", "host-1", slog.New(slog.DiscardHandler))
	restore := exhaustDescriptors(t)
	_, err = s.Open()
	restore()
	if !errors.Is(err, unix.EMFILE) {
		t.Errorf("without a descriptor: %v", err)
	}
	s.Close()
	if _, err := os.Stat(path + damagedSuffix); err == nil {
		t.Fatal("an intact file was renamed for lack of a descriptor")
	}
	s, d := openStore(t, dir, "")
	s.Close()
	if string(d.HardState) != "voted for b in term 7" {
		t.Errorf("the vote is %q", d.HardState)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(before, after) {
		t.Errorf("opening an intact file wrote to it, so it could not be opened on a full disk (%v)", err)
	}

	if err := os.WriteFile(path, bytes.Repeat([]byte("x"), len(before)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, d = openStore(t, dir, ""); d.HardState != nil {
		t.Errorf("%+v", d)
	}
	if _, err := os.Stat(path + damagedSuffix); err != nil {
		t.Errorf("a damaged file was not renamed: %v", err)
	}
}

// A damaged file that was renamed is not overwritten by the next damaged file: it may be the only remaining record of
// a voter's promises. Earlier, the second file was given the name of the first one and replaced it.
func TestSecondDamagedFileDoesNotReplaceTheFirst(t *testing.T) {
	dir := t.TempDir()
	for _, damage := range []string{"first", "second", "third"} {
		if err := os.WriteFile(filepath.Join(dir, fileName), []byte(strings.Repeat(damage, 5000)), 0o600); err != nil {
			t.Fatal(err)
		}
		s := New(dir, "", "m", slog.New(slog.DiscardHandler))
		if _, err := s.Open(); err != nil {
			t.Fatal(err)
		}
		s.Close()
	}
	kept, err := filepath.Glob(filepath.Join(dir, fileName+damagedSuffix+"*"))
	if err != nil || len(kept) != 3 {
		t.Errorf("%v, %v", kept, err)
	}
	if text, err := os.ReadFile(filepath.Join(dir, fileName+damagedSuffix)); err != nil || !strings.HasPrefix(string(text), "first") {
		t.Errorf("the first damaged file: %.10q, %v", text, err)
	}
}

// Reopen opens a store that was closed, and has no effect on a store that is open. Earlier, a handover that failed
// before it closed the store logged that the store could not be opened again.
func TestReopenDoesNothingForAnOpenStore(t *testing.T) {
	s := New(t.TempDir(), "", "m", slog.New(slog.DiscardHandler))
	defer s.Close()
	for range 2 {
		if err := s.Reopen(s.Closes()); err != nil {
			t.Fatal(err)
		}
	}
	before := s.Closes()
	s.Close()
	if err := s.Reopen(before); err != nil || s.isOpen() {
		t.Errorf("open %v, error %v, although the store was closed again since", s.isOpen(), err)
	}
	if err := s.Reopen(s.Closes()); err != nil || !s.isOpen() {
		t.Errorf("open %v, error %v, want an open store", s.isOpen(), err)
	}
}
