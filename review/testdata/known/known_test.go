// Package known gives the review's cases and further faults the names under which KNOWN-RED.txt lists them. They stay
// out of CI: each test skips unless REVIEW=1 is set, and then plays its program, which review/build.sh builds.
package known

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

func play(t *testing.T, program string) {
	t.Helper()
	if os.Getenv("REVIEW") != "1" {
		t.Skip("a case of the review, played with REVIEW=1 alone")
	}
	root, err := filepath.Abs("../../..")
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join("review", "bin", program), filepath.Join(t.TempDir(), "record.txt"))
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Error(err)
	}
}

func TestReviewKeyedRequestRunsInOnePod(t *testing.T) { play(t, "unknownpod") }

func TestReviewStopInHandoverLosesNoRequest(t *testing.T) { play(t, "stopinhandover") }

func TestReviewPolicySurvivesAFailedHandover(t *testing.T) { play(t, "failedhandover") }

func TestReviewPagedSearchGetsItsOwnPages(t *testing.T) { play(t, "pagedsearch") }

func TestReviewHandoverServesByOnePolicy(t *testing.T) { play(t, "policyinhandover") }

func TestReviewRenamedSourceKeepsDrains(t *testing.T) { play(t, "renamedsource") }
