package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// wallClockUses are the files that may read or make a wall-clock time, by which function, and why no span is taken from it.
var wallClockUses = map[string]string{
	"internal/core/clock.go UnixMilli":                  "the hint that starttimes.go bounds",
	"internal/core/connlimiter.go Unix":                 "LongAgo, a deadline that has passed",
	"internal/protocol/http1/render.go Unix":            "the Date field",
	"internal/host/snapshot/snapshot.go UnixMilli":      "the age of a snapshot of another boot, a hint with a bound",
	"internal/host/daemon/snapshots.go UnixMilli":       "the moment at which a snapshot is saved; a log line",
	"internal/host/daemon/policyrequests.go UnixMilli":  "when an operator made a change, for people to read",
	"internal/peer/transport/transport.go Unix":         "a number of boots that grows, with the last one's",
	"internal/peer/transport/lifecycle.go Unix":         "a deadline that has passed",
	"internal/peer/transport/loop.go UnixMilli":         "saved for people to read",
	"internal/peer/transport/eventlog.go UnixMilli":     "event lines, for people to read",
	"internal/faulttest/harness/harness.go UnixMilli":   "event lines",
	"internal/faulttest/harness/service.go UnixMilli":   "a stand-in's list",
	"internal/faulttest/hollow/sockets.go UnixMilli":    "event lines",
	"internal/faulttest/soak/play.go UnixMilli":         "a stand-in's list",
	"internal/simulate/model/sockets/list.go UnixMilli": "a stand-in's list",
	"cmd/vetchhaven/rehearse.go UnixMilli":              "how often progress is printed",
	"cmd/vetchhaven/policy.go UnixMilli":                "printed",
}

// A span is monotonic: no file but those that are named above reads Unix time or makes a time of it.
func TestNoSpanIsTakenFromTheWallClock(t *testing.T) {
	wall := map[string]bool{"UnixNano": true, "UnixMilli": true, "UnixMicro": true, "Unix": true}
	root := "../.."
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		if d.IsDir() && (rel == ".git" || rel == "journal" || rel == "bin" || d.Name() == "testdata") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(rel, "tools/") {
			return nil
		}
		files := token.NewFileSet()
		f, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if s, ok := call.Fun.(*ast.SelectorExpr); ok && wall[s.Sel.Name] && wallClockUses[filepath.ToSlash(rel)+" "+s.Sel.Name] == "" {
				t.Errorf("%s: %s: a wall-clock time; take spans from a monotonic clock, or say here why this is none", files.Position(call.Pos()), s.Sel.Name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
