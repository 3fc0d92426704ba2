package daemon

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/standin"
)

// A daemon that was killed starts from its last snapshot. It uses the saved list while the list service is down. Once
// the list service reports servers as gone, they get no requests.
func TestStartUsesTheLastSnapshot(t *testing.T) {
	one, two := standin.NewFormServer("one", nil), standin.NewFormServer("two", nil)
	defer one.Close()
	defer two.Close()
	tb := newTestbed(t, one.Member("ready"), two.Member("draining"))
	tb.head = `state_dir = "state"`
	tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	tb.expectServed("a")
	r.call(r.saveSnapshot)
	saved := filepath.Join(tb.dir, "state", snapshotFile)
	eventually(t, "a snapshot is saved", func() bool { _, err := os.Stat(saved); return err == nil })
	data, err := os.ReadFile(saved) // the file that a kill would have left
	if err != nil {
		t.Fatal(err)
	}
	if err := r.end(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(saved, data, 0o600); err != nil {
		t.Fatal(err)
	}
	tb.list.SetDown(true)
	tb.start(Options{})
	for range 20 {
		tb.expectServed("a")
	}
	if two.Requests() > 0 {
		t.Error("a server that was draining before the kill got a request")
	}
	three := standin.NewFormServer("three", nil)
	defer three.Close()
	gone := one.Member("gone")
	tb.list.Set(gone, two.Member("gone"), three.Member("ready"))
	tb.list.SetDown(false)
	eventually(t, "the new list is used", func() bool {
		_, body, _ := sendRequest(client(tb.socketPath("a"), false), "get")
		return body == "three"
	})
	n := one.Requests()
	for range 20 {
		tb.expectServed("a")
	}
	if one.Requests() != n {
		t.Error("a server that is gone got a request")
	}
}

// A snapshot that is invalid or can't be written is logged once, and never stops the daemon from serving.
func TestDamagedSnapshotsAreIgnored(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	good, err := snapshot.Encode(&snapshot.State{SavedMS: time.Now().UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	old, err := snapshot.Encode(&snapshot.State{SavedMS: time.Now().Add(-100 * time.Hour).UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"torn": good[:len(good)-3], "foreign": []byte("hello\nworld"), "empty": {}, "old": old,
		"directory": nil} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, s.Member("ready"))
			tb.head = `state_dir = "state"`
			tb.writeConfig(tb.instanceText("a"))
			saved := filepath.Join(tb.dir, "state", snapshotFile)
			if err := os.MkdirAll(filepath.Dir(saved), 0o700); err != nil {
				t.Fatal(err)
			}
			if name == "directory" { // a directory in place of the file: the snapshot can be neither read nor written
				if err := os.MkdirAll(filepath.Join(saved, "x"), 0o700); err != nil {
					t.Fatal(err)
				}
			} else if err := os.WriteFile(saved, data, 0o600); err != nil {
				t.Fatal(err)
			}
			r := tb.start(Options{})
			tb.expectServed("a")
			for range 3 {
				r.call(r.saveSnapshot)
				r.snapshots.Flush()
			}
			if n := tb.log.count("last state is not used") + tb.log.count("last state can't be read"); n != 1 {
				t.Errorf("%d log lines about the unusable snapshot, want 1", n)
			}
			if n := tb.log.count("state not saved"); (n == 1) != (name == "directory") {
				t.Errorf("%d log lines about failed writes", n)
			}
			if st, _ := r.Status(); (st.Saving != "") != (name == "directory") {
				t.Errorf("the status has %q for saving", st.Saving)
			}
		})
	}
}
