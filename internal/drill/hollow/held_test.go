package hollow

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/internal/drill/judge"
	"vetchhaven/internal/drill/plan"
)

// What a datagram takes does not depend on how busy the machine is; how many there are does, so that is held widely
// here, and closely by tools/capacity held.
func TestHollowMembersSendWhatRealDaemonsSend(t *testing.T) {
	t.Parallel()
	bin := filepath.Join(t.TempDir(), "vetchhaven")
	if out, err := exec.Command("go", "build", "-o", bin, "vetchhaven/cmd/vetchhaven").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	h := Held{Program: bin, Dir: t.TempDir(), Members: 8, Seed: 1, Rest: [2]time.Duration{4 * time.Second, 8 * time.Second}}
	sides, err := h.Play(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	real := sides[0]
	for _, s := range sides {
		if s.Datagrams < 1 || s.Datagrams > 4*real.Datagrams || s.Datagrams < real.Datagrams/4 {
			t.Errorf("%s: %.1f datagrams a second, real daemons send %.1f", s.Name, s.Datagrams, real.Datagrams)
		}
		if r := s.EachBytes / real.EachBytes; r < 0.85 || r > 1.15 {
			t.Errorf("%s: %.1f bytes a datagram, real daemons' have %.1f", s.Name, s.EachBytes, real.EachBytes)
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
	news := judge.Follow(lines, lines[0].T+int64(4*time.Second), lines[len(lines)-1].T)
	if len(news.Crash) != 1 || len(news.Join) != 1 || news.Unknown > 0 {
		t.Errorf("of a crash and a start all learnt %+v", news)
	}
	if _, err := (&Sockets{Plan: &plan.Plan{Daemons: socketsMost + 1}}).Play(context.Background()); err == nil {
		t.Error("more members were played than one process may have")
	}
}
