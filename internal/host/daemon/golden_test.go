package daemon

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/testkit/golden"
)

// storedBuckets are a database's keys and values, a line each.
func storedBuckets(t *testing.T, path string) []byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openWithin})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var out bytes.Buffer
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&out, "%s %x = %x\n", name, k, v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// unpack lays a golden database into a directory.
func unpack(t *testing.T, name, dir string) string {
	t.Helper()
	in, err := gzip.NewReader(bytes.NewReader(golden.Read(t, name)))
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(in)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, policyFile)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The databases of a voter and of a member, as daemons of an earlier build left them: three changes in force, of the whole
// policy and of two services' parts, and one under way.
func TestPolicyDatabasesOfEarlierBuildsAreRead(t *testing.T) {
	for name, is := range map[string]policy.Settings{
		"voter":  {Name: "d1", RunID: 7, Voters: []string{"d1", "d2", "d3"}},
		"member": {Name: "d4", RunID: 7, Voters: []string{"d1", "d2", "d3"}, Parts: []string{"both", "near"}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := unpack(t, "policy-"+name+".db.gz", dir)
			golden.Check(t, "policy-"+name+".keys", storedBuckets(t, path))
			if err := os.WriteFile(filepath.Join(dir, "host-1.witness"), golden.Read(t, "policy-"+name+".witness"), 0o600); err != nil {
				t.Fatal(err)
			}
			s, disk := opened(t, dir, dir)
			if !disk.ProvenCurrent {
				t.Error("the witness of an earlier build proves nothing any more")
			}
			node, err := policy.New(is, disk, 1)
			if err != nil {
				t.Fatal(err)
			}
			node.Step(time.Second)
			shown, err := json.MarshalIndent(node.Status(), "", " ")
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, "policy-"+name+".shown", shown)
			// What was read is written again as it was.
			s.now(t, policy.Batch{HardState: disk.HardState, Snapshot: disk.Snapshot, Member: disk.Member, Epoch: disk.Epoch})
			s.close()
			var was, is []string
			for _, l := range strings.Split(string(golden.Read(t, "policy-"+name+".keys")), "\n") {
				if !strings.HasPrefix(l, fmt.Sprintf("meta %x", "writes")) {
					was = append(was, l)
				}
			}
			for _, l := range strings.Split(string(storedBuckets(t, path)), "\n") {
				if !strings.HasPrefix(l, fmt.Sprintf("meta %x", "writes")) && !strings.HasPrefix(l, fmt.Sprintf("meta %x = 0000000000000000", "epoch")) {
					is = append(is, l)
				}
			}
			was = without(was, fmt.Sprintf("meta %x = 0000000000000000", "epoch"))
			if !reflect.DeepEqual(was, is) {
				t.Errorf("written again:\n%s\nbefore:\n%s", strings.Join(is, "\n"), strings.Join(was, "\n"))
			}
		})
	}
}

func without(lines []string, prefix string) (kept []string) {
	for _, l := range lines {
		if !strings.HasPrefix(l, prefix) {
			kept = append(kept, l)
		}
	}
	return kept
}

// last.state and peers.view, as daemons of an earlier build left them.
func TestSnapshotsOfEarlierBuildsAreRead(t *testing.T) {
	for _, name := range []string{"last-voter.state", "last-member.state"} {
		data := golden.Read(t, name)
		var head struct {
			Saved int64 `json:"saved_ms"`
		}
		if err := json.Unmarshal(data[bytes.IndexByte(data, '\n')+1:], &head); err != nil {
			t.Fatal(err)
		}
		s, err := snapshot.Decode(data, snapshot.Moment{Wall: time.UnixMilli(head.Saved)}, time.Minute)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.Sources) != 1 || len(s.Instances) == 0 {
			t.Errorf("%s: %+v", name, s)
		}
		shown, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name+".read", shown)
	}
	for _, name := range []string{"peers-voter.view", "peers-member.view"} {
		data := golden.Read(t, name)
		s, err := transport.DecodeSaved(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		again, err := transport.EncodeSaved(s)
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s is not written as it was read: %v", name, err)
		}
	}
}

// The bodies of the admin endpoint, and the list of sockets that a successor inherits.
func TestAdminBodiesKeepTheirKeys(t *testing.T) {
	for name, v := range map[string]any{
		"status.json": &Status{}, "reload.json": &ReloadResult{}, "limits.json": &LimitsNow{}, "policy.json": &ShownPolicy{},
		"policy-change.json": &PolicyChange{}, "policy-fate.json": &PolicyFateShown{}, "handover.json": &[]Address{},
	} {
		golden.FillEmbedded(v, map[string]string{"ChangeStatus": "Fate", "Status": "Shown"})
		data, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, data)
	}
}

// Keys without a tag are their fields' names, whatever their case.
func TestSettingsFilesKeepTheirKeys(t *testing.T) {
	keys := func(name string, v any) {
		t.Helper()
		all := strings.ToLower(strings.Join(golden.Keys(reflect.TypeOf(v)), "\n"))
		golden.Check(t, name, []byte(all+"\n"))
	}
	keys("fleet.toml.keys", file{})
	keys("policy.toml.keys", shared{})
	keys("service.toml.keys", servicePart{})
}
