package hollow

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

// The probe timeouts are ten times the defaults: on a busy machine processes wait for a core, and the additional
// probes of real members would be caused by the machine. tools/capacity held uses the defaults.
func TestLightweightMembersSendWhatRealDaemonsSend(t *testing.T) {
	t.Parallel()
	bin := filepath.Join(t.TempDir(), "vetchhaven")
	if out, err := exec.Command("go", "build", "-o", bin, "vetchhaven/cmd/vetchhaven").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	h := Comparison{Program: bin, Dir: t.TempDir(), Members: 8, Seed: 1, Rest: [2]time.Duration{4 * time.Second, 9 * time.Second},
		Peers: plan.Peers{ProbeTimeout: time.Second, IndirectTimeout: 1500 * time.Millisecond}}
	sides, err := h.Play(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	daemons := sides[0]
	for _, s := range sides {
		if r := s.Datagrams / daemons.Datagrams; !(r > 0.6 && r < 1.7) { // a member that waits for a core sends fewer probes
			t.Errorf("%s: %.1f datagrams a second, real daemons send %.1f", s.Name, s.Datagrams, daemons.Datagrams)
		}
		if r := s.EachBytes / daemons.EachBytes; r < 0.85 || r > 1.15 {
			t.Errorf("%s: %.1f bytes a datagram, those of real daemons have %.1f", s.Name, s.EachBytes, daemons.EachBytes)
		}
	}
}

func TestACrashOverSocketsIsKnownToAll(t *testing.T) {
	t.Parallel()
	p := &plan.Plan{Name: "sockets", Daemons: 5, Zones: 1, Seeds: []int{0, 1}, Length: 15 * time.Second,
		Events: []plan.Event{{At: time.Second, Do: "kill", Who: []int{3}}, {At: 11 * time.Second, Do: "start", Who: []int{3}}}}
	lines, err := (&Sockets{Plan: p, Seed: 1, Dir: t.TempDir()}).Play(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	news := checker.MeasurePropagation(lines, lines[0].T+int64(4*time.Second), lines[len(lines)-1].T)
	if len(news.Crash) != 1 || len(news.Join) != 1 || news.Unknown > 0 {
		t.Errorf("not all members observed the crash and the start: %+v", news)
	}
	if _, err := (&Sockets{Plan: &plan.Plan{Daemons: maxSocketMembers + 1}}).Play(context.Background()); err == nil {
		t.Error("a run with more members than one process may have was accepted")
	}
}
