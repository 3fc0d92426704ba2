package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"vetchhaven/internal/simulate/model/sockets"
	"vetchhaven/internal/simulate/scenario"
)

const smallHerd = `
title = "all daemons restart as a cold server joins, half of them are killed while they start"
length = "9s"
[agents]
count = 12
tick = "5ms"
[load]
rate = 60.0
[clients]
tries = 3
wait = "100ms"
patience = 1.0
[list]
up = "1500ms"
drain = "1500ms"
silent = "4s"
spread = "200ms"
[network]
zones = ["a", "b"]
within = "1ms"
across = "3ms"
[rules]
max_retry_after = "500ms"
[[kind]]
name = "k"
cores = 2
speed = 1.0
queue = 1000
cold_share = 0.3
cold_for = "5s"
handshake_rtt = 2.0
handshake = "1ms"
[[class]]
name = "fetch"
share = 1.0
work = "10ms"
aim = "1s"
deadline = "5s"
worth = 1.0
repeats = "safe"
[[class]]
name = "close"
share = 1.0
work = "10ms"
aim = "1s"
deadline = "5s"
worth = 3.0
repeats = "keyed"
group = "pod"
window = "12s"
[[servers]]
name = "warm"
kind = "k"
zone = "a"
pod = 1
count = 3
[[incident]]
what = "join"
at = "2s"
name = "cold"
kind = "k"
zone = "a"
pod = 1
[[incident]]
what = "agents-restart"
at = "2s"
after = "50ms"
[[incident]]
what = "agents-restart"
at = "2070ms"
agents = [0, 6]
after = "50ms"
`

// All daemons are real processes that are killed with open requests and restarted at the same time; half of them are
// killed again before they are up. The cold server that joins at that moment is not overloaded, and no request takes
// effect twice.
func TestHerdOfDaemons(t *testing.T) {
	path := filepath.Join(t.TempDir(), "herd.toml")
	write(t, path, smallHerd)
	s, err := scenario.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	log := &sockets.Tail{}
	p, err := sockets.Play(context.Background(), sockets.Options{Scenario: s, Seed: 1, Log: log, Daemon: func(config string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], "serve", "--config", config)
		cmd.Env = append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1")
		return cmd
	}})
	if err != nil {
		t.Fatalf("%v\n%s", err, log)
	}
	if b := p.Judge.Breaches(); len(b) > 0 {
		t.Errorf("%+v", b)
	}
	for _, v := range p.Day.Servers {
		if v.Fell {
			t.Errorf("%s was overloaded and failed", v.Name)
		}
	}
	after := 0
	for _, w := range p.Day.Windows[1:] {
		after += w.InTime + w.Late
	}
	if after == 0 || strings.Contains(log.String(), "panic") {
		t.Errorf("no request was served after the restart, or a process panicked\n%s", log)
	}
}
