package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/testkit"
)

// What could not be written is written once the disk takes it, whether or not anybody puts something newer.
func TestAFailedWriteIsTriedAgain(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "blocked")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil { // a file where the directory is to be
		t.Fatal(err)
	}
	w := NewWriter(filepath.Join(blocked, "state"), "file", "it", testkit.Quiet)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { w.Run(stop); close(done) }()
	w.Put([]byte("kept"))
	testkit.WaitFor(t, "the failure", w.Failed)
	if !w.Pending() {
		t.Error("nothing is to be written any more, though nothing was")
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the file", func() bool {
		got, err := os.ReadFile(filepath.Join(blocked, "state", "file"))
		return err == nil && string(got) == "kept"
	})
	testkit.WaitFor(t, "the word that it is saved", func() bool { return !w.Failed() && !w.Pending() })
	close(stop)
	testkit.Receive(t, "end", done)
}

// A file whose directory was not synced may be gone after a crash of the machine: it does not count as saved. Where the
// file system has no such sync, there is nothing to wait for.
func TestAFailedSyncOfTheDirectoryIsNoSave(t *testing.T) {
	defer func() { syncDirectory = (*os.File).Sync }()
	for _, row := range []struct{ sync, want error }{{unix.EIO, unix.EIO}, {unix.ENOSPC, unix.ENOSPC}, {unix.EINVAL, nil}, {unix.ENOTSUP, nil}, {nil, nil}} {
		syncDirectory = func(*os.File) error { return row.sync }
		if err := Replace(t.TempDir(), "file", []byte("x")); !errors.Is(err, row.want) || row.want == nil && err != nil {
			t.Errorf("sync: %v: replace: %v, want %v", row.sync, err, row.want)
		}
	}
}

// A disk that fails for long is not asked without a pause.
func TestFailedWritesAreSpread(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "blocked")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	w := NewWriter(filepath.Join(blocked, "state"), "file", "it", testkit.Quiet)
	w.Put([]byte("x"))
	w.Flush()
	if wait := w.again(); wait < retryFirst/2 || wait > retryMost {
		t.Errorf("tried again after %v", wait)
	}
	for range 20 {
		w.Flush()
	}
	if wait := w.again(); wait < retryMost/2 || wait > retryMost {
		t.Errorf("tried again after %v, having failed often", wait)
	}
}
