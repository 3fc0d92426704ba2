package policystore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/testkit/golden"
)

// storedBuckets returns the keys and values of a database, one per line.
func storedBuckets(t *testing.T, path string) []byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout})
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

// unpack writes a golden database into a directory, and returns its path.
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
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The databases that daemons of an earlier build wrote, one of a voter and one of a member, can be read. In them three
// changes are committed (of the global part and of two services' parts) and one is being prepared.
func TestPolicyDatabasesOfEarlierBuildsAreRead(t *testing.T) {
	for name, settings := range map[string]policy.Settings{
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
			s, disk := openStore(t, dir, dir)
			if !disk.ProvenCurrent {
				t.Error("the witness of an earlier build does not prove the file current")
			}
			node, err := policy.New(settings, disk, 1)
			if err != nil {
				t.Fatal(err)
			}
			node.Step(time.Second)
			shown, err := json.MarshalIndent(node.Status(), "", " ")
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, "policy-"+name+".shown", shown)
			// The state that was read is written back unchanged.
			writeNow(t, s, policy.Batch{HardState: disk.HardState, Snapshot: disk.Snapshot, Member: disk.Member, Epoch: disk.Epoch})
			s.Close()
			before := comparableLines(golden.Read(t, "policy-"+name+".keys"))
			after := comparableLines(storedBuckets(t, path))
			if !reflect.DeepEqual(before, after) {
				t.Errorf("after writing back:\n%s\nbefore:\n%s", strings.Join(after, "\n"), strings.Join(before, "\n"))
			}
		})
	}
}

// comparableLines leaves out the values that a write changes: the number of writes, and an epoch of 0, which may be
// missing from the file.
func comparableLines(stored []byte) []string {
	writes := fmt.Sprintf("meta %x", "writes")
	noEpoch := fmt.Sprintf("meta %x = 0000000000000000", "epoch")
	return slices.DeleteFunc(strings.Split(string(stored), "\n"), func(line string) bool {
		return strings.HasPrefix(line, writes) || strings.HasPrefix(line, noEpoch)
	})
}
