package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

// TestRealProcesses runs the short fault tests with real daemons. Their time bounds are wide: this test does not check
// tight timing.
func TestRealProcesses(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "vetchhaven")
	if out, err := exec.Command("go", "build", "-o", bin, "vetchhaven/cmd/vetchhaven").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	// The parallel subtests share a parent, so that the test ends only after all of them.
	t.Run("drills", func(t *testing.T) {
		for _, name := range []string{"short-crash", "short-cut", "short-pause", "short-limits", "short-fails", "short-policy"} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				p, err := plan.Load("../../../drills/" + name + ".toml")
				if err != nil {
					t.Fatal(err)
				}
				keep, err := os.MkdirTemp("", "drill")
				if err != nil {
					t.Fatal(err)
				}
				defer os.RemoveAll(keep)
				lines, err := Play(context.Background(), p, Options{Program: bin, Seed: 1, Keep: keep})
				if err != nil {
					t.Fatal(err)
				}
				report := checker.Check(p.Bounds, lines)
				for _, c := range report.Claims {
					if c.Broken > 0 {
						t.Errorf("%s: %d of %d: %v", c.Name, c.Broken, c.Tried, c.Breaks)
					}
				}
				if missed := report.NotTried(p.RequiredClaims); len(missed) > 0 {
					t.Errorf("not tried: %v", missed)
				}
				if t.Failed() {
					logs, _ := filepath.Glob(filepath.Join(keep, "d*", "log"))
					for _, l := range logs {
						text, _ := os.ReadFile(l)
						t.Logf("%s\n%s", l, text)
					}
				}
			})
		}
	})
}
