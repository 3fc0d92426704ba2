package idfile

import (
	"os"
	"path/filepath"
	"testing"
)

func TestProcessesShareTheTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	first, err := Open(path, 32)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Open(path, 0) // the size is that of the file
	if err != nil {
		t.Fatal(err)
	}
	if !first.Claim("a", "1") || second.Claim("a", "1") || !second.Claim("a", "2") || first.Claim("a", "2") {
		t.Error("an ID was claimed by both")
	}
}

func TestInheritedFileHasTheTable(t *testing.T) {
	file, err := New()
	if err != nil {
		t.Fatal(err)
	}
	first, err := Map(file, 32)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Map(file, 32)
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	if !first.Claim("a", "1") || second.Claim("a", "1") {
		t.Error("an ID was claimed by both")
	}
}

func TestOtherFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	if err := os.WriteFile(path, []byte("no table"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, 32); err == nil {
		t.Error("a file of another size was mapped")
	}
}
