package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/testkit"
)

// Content whose write failed is written once the disk accepts writes again, without another Put.
func TestFailedWriteIsRetried(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "blocked")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil { // a file in place of the directory
		t.Fatal(err)
	}
	w := NewWriter(filepath.Join(blocked, "state"), "file", "it", testkit.DiscardLogger)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		w.Run(stop)
		close(done)
	}()
	w.Put([]byte("content"))
	testkit.WaitFor(t, "the failure", w.Failed)
	if !w.Pending() {
		t.Error("no content is pending although the write failed")
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the file", func() bool {
		got, err := os.ReadFile(filepath.Join(blocked, "state", "file"))
		return err == nil && string(got) == "content"
	})
	testkit.WaitFor(t, "the recovery", func() bool { return !w.Failed() && !w.Pending() })
	close(stop)
	testkit.Receive(t, "end", done)
}

// A file whose directory was not synced may be lost in a crash of the machine, so it does not count as saved. A file
// system that can't sync directories causes no error.
func TestFailedDirectorySyncIsAnError(t *testing.T) {
	defer func() { syncDirectory = (*os.File).Sync }()
	for _, tt := range []struct {
		name string
		sync error
		want error
	}{
		{"input/output error", unix.EIO, unix.EIO},
		{"disk full", unix.ENOSPC, unix.ENOSPC},
		{"invalid for directories", unix.EINVAL, nil},
		{"not supported", unix.ENOTSUP, nil},
		{"synced", nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			syncDirectory = func(*os.File) error { return tt.sync }
			if err := Replace(t.TempDir(), "file", []byte("x")); !errors.Is(err, tt.want) || tt.want == nil && err != nil {
				t.Errorf("sync returned %v: Replace returned %v, want %v", tt.sync, err, tt.want)
			}
		})
	}
}

// The backoff grows while writes to the disk keep failing.
func TestRetryBackoffGrowsToItsMaximum(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "blocked")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	w := NewWriter(filepath.Join(blocked, "state"), "file", "it", testkit.DiscardLogger)
	w.Put([]byte("x"))
	w.Flush()
	if wait := w.backoff(); wait < minRetryBackoff/2 || wait > maxRetryBackoff {
		t.Errorf("backoff of %v after one failure", wait)
	}
	for range 20 {
		w.Flush()
	}
	if wait := w.backoff(); wait < maxRetryBackoff/2 || wait > maxRetryBackoff {
		t.Errorf("backoff of %v after many failures", wait)
	}
}
