package sockets

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// serveFile writes the configuration of a fleet daemon with one instance in place of an agent, with
// the same rules that the platform's configuration would give. A naive daemon has no slow start of
// servers and spreads no calls over time.
func (a *agent) serveFile(naive bool) (path string, err error) {
	s := a.g.s
	d := s.Settings(a.n)
	spread, first, ramp := 400*time.Millisecond, 500*time.Millisecond, d.SlowStartTime
	if naive {
		spread, first, ramp = 0, 0, 0
	}
	dir := filepath.Join(a.dir, fmt.Sprintf("n%d", a.n))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	var t bytes.Buffer
	fmt.Fprintf(&t, "admin = %q\nstate_dir = %q\n[[source]]\nname = \"list\"\nlist = %q\nspread = %q\nfirst = %q\n",
		"unix:"+filepath.Join(dir, "admin"), dir, a.listAddr, spread, first)
	var kinds []string
	for _, k := range s.Kinds {
		kinds = append(kinds, k.Name)
	}
	fmt.Fprintf(&t, "[site]\nzones = %s\nkinds = %s\nby_work = %t\n", list(s.Zones), list(kinds), s.ByWork)
	fmt.Fprintf(&t, "[rules]\nbalancers = %d\nmax_attempts = %d\nsecond_copies = %t\nconnect_timeout = %q\nidle_close = %q\ndrain_grace = %q\n",
		d.Balancers, d.MaxAttempts, d.Hedging, d.ConnectTimeout, s.Rules.IdleClose, d.DrainGrace)
	fmt.Fprintf(&t, "cold_share = %g\nramp_time = %q\nfall_multiple = %g\nfall_window = %q\ncross_zone_price = %g\nmax_retry_after = %q\n",
		d.SlowStartShare, ramp, d.OverloadMultiple, d.OverloadWindow, d.CrossZonePrice, d.MaxRetryAfter)
	for _, c := range s.Classes {
		fmt.Fprintf(&t, "[[class]]\nname = %q\nrepeats = %q\naim = %q\ndeadline = %q\nworth = %g\nlate = %g\n",
			c.Name, [...]string{"safe", "keyed", "unsafe"}[c.Effect], c.Objective, c.Deadline, c.Value, c.LateValue)
		if c.DedupWindow > 0 {
			fmt.Fprintf(&t, "group = %q\nwindow = %q\n", [...]string{"all", "zone", "pod"}[c.Scope], c.DedupWindow)
		}
	}
	fmt.Fprintf(&t, "[[instance]]\nname = \"n%d\"\nlisten = %q\nzone = %q\n", a.n, a.listen, s.Zones[s.ZoneOf(a.n)])
	path = filepath.Join(dir, "fleet.toml")
	return path, os.WriteFile(path, t.Bytes(), 0o600)
}

// list formats a TOML array of strings.
func list(all []string) string {
	var t bytes.Buffer
	for i, s := range all {
		if i > 0 {
			t.WriteString(", ")
		}
		fmt.Fprintf(&t, "%q", s)
	}
	return "[" + t.String() + "]"
}

// command returns the command that runs the agent with its configuration.
func (a *agent) command() (*exec.Cmd, error) {
	if a.g.o.Daemon != nil {
		path, err := a.serveFile(a.g.o.Naive)
		if err != nil {
			return nil, err
		}
		return a.g.o.Daemon(path), nil
	}
	text, err := a.config()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(a.dir, fmt.Sprintf("n%d.json", a.n))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	cmd := a.g.o.Agent()
	cmd.Env = append(os.Environ(), append(cmd.Env, "PROXY_CONFIG="+path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")...)
	return cmd, nil
}
