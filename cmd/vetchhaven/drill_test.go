package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/peer/transport"
)

func drillFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const oneKilled = "daemons = 4\nlength = \"40s\"\n[[event]]\nat = \"12s\"\ndo = \"kill\"\nwho = [\"d3\"]\n"

func TestDrillEndsWithTheStatusOfItsReport(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
		says   string
	}{
		"kept":   {oneKilled, 0, "crash-known"},
		"broken": {strings.Replace(oneKilled, "[[event]]", "[bounds]\ncrash = \"10ms\"\n[[event]]", 1), 1, "BROKEN"},
		"file":   {"daemons = 0", 2, ""},
		"real":   {oneKilled + "[[event]]\nat = \"20s\"\ndo = \"handover\"\nwho = [\"d1\"]\n", 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := playDrill(drillFile(t, c.text), &drillFlags{seed: 1, virtual: true}, &out, io.Discard)
			var e exitError
			if errors.As(err, &e); e.status != c.status || err == nil != (c.status == 0) {
				t.Errorf("%v", err)
			}
			if !strings.Contains(out.String(), c.says) {
				t.Error(out.String())
			}
		})
	}
}

func TestDrillKeepsItsLinesAndReportsInJSON(t *testing.T) {
	var out bytes.Buffer
	dir := t.TempDir()
	if err := playDrill(drillFile(t, oneKilled), &drillFlags{seed: 1, virtual: true, asJSON: true, keep: dir}, &out, io.Discard); err != nil {
		t.Fatal(err)
	}
	var r struct{ Claims []checker.Claim }
	if err := json.Unmarshal(out.Bytes(), &r); err != nil || len(r.Claims) != len(checker.Names) {
		t.Error(err, out.String())
	}
	f, err := os.Open(filepath.Join(dir, "lines.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if lines, err := checker.Read(f); err != nil || len(lines) == 0 || lines[len(lines)-1].What != checker.End {
		t.Error(len(lines), err)
	}
}

func TestDiffNamesWhereTwoViewsDiffer(t *testing.T) {
	member := func(name, state string) transport.MemberStatus {
		return transport.MemberStatus{Name: name, State: state, RunID: "1", Addr: "127.0.0.1:1"}
	}
	a := transport.MembershipStatus{Fleet: "f", Name: "a", Members: []transport.MemberStatus{member("a", "alive"), member("b", "alive"), member("c", "dead")}}
	b := transport.MembershipStatus{Fleet: "f", Name: "b", Members: []transport.MemberStatus{member("a", "alive"), member("b", "suspect")}}
	var out bytes.Buffer
	if n := diffViews(&a, &b, &out); n != 2 || !strings.Contains(out.String(), "unknown") || strings.Contains(out.String(), "\na ") {
		t.Errorf("%d\n%s", n, out.String())
	}
	out.Reset()
	if n := diffViews(&a, &a, &out); n != 0 || !strings.Contains(out.String(), "see the same") {
		t.Errorf("%d\n%s", n, out.String())
	}
	a.Traffic.PolicyMessages, a.Traffic.PolicyBytes, a.Traffic.PolicyUnsent = 12, 3456, 7
	if err := showView(&a, &out); err != nil || !strings.Contains(out.String(), "dead") || !strings.Contains(out.String(), "12 messages, 3456 bytes; 7 not sent") {
		t.Error(err, out.String())
	}
}
