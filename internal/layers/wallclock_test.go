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

// wallClockUses lists the files and functions that may read or create a wall-clock time, each with the reason why no
// duration is computed from it.
var wallClockUses = map[string]string{
	"internal/core/clock.go UnixMilli":                  "a hint, which starttimes.go bounds",
	"internal/core/connlimiter.go Unix":                 "PastDeadline, a deadline that has passed",
	"internal/protocol/http1/render.go Unix":            "the Date header field",
	"internal/host/snapshot/snapshot.go UnixMilli":      "the age of a snapshot of another boot, a bounded hint",
	"internal/host/daemon/snapshots.go UnixMilli":       "the moment at which a snapshot is saved; a log line",
	"internal/host/daemon/policyrequests.go UnixMilli":  "when an operator made a change, for people to read",
	"internal/peer/transport/transport.go Unix":         "a boot number that exceeds the last one",
	"internal/peer/transport/lifecycle.go Unix":         "a deadline that has passed",
	"internal/peer/transport/loop.go UnixMilli":         "saved for people to read",
	"internal/peer/transport/eventlog.go UnixMilli":     "event lines, for people to read",
	"internal/faulttest/harness/harness.go UnixMilli":   "event lines",
	"internal/faulttest/harness/service.go UnixMilli":   "a stand-in's list",
	"internal/faulttest/hollow/sockets.go UnixMilli":    "event lines",
	"internal/faulttest/soak/play.go UnixMilli":         "a stand-in's list",
	"internal/simulate/model/sockets/list.go UnixMilli": "a stand-in's list",
	"cmd/vetchhaven/rehearse.go UnixMilli":              "how often progress is printed",
	"cmd/vetchhaven/policyprint.go UnixMilli":           "printed",
}

// Durations are measured with a monotonic clock: only the files in wallClockUses convert to or from Unix time.
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
				t.Errorf("%s: %s: a wall-clock time; measure durations with a monotonic clock, or add the use to wallClockUses with a reason", files.Position(call.Pos()), s.Sel.Name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
