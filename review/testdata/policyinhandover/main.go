// Policyinhandover plays a change of the fleet's policy while one daemon hands over, and its successor hangs before it
// is ready.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"vetchhaven/review/testdata/kit"
)

// config is the file of one daemon. The daemon has two services. The list of beds has not been there since before the
// start, so the daemon, and each successor, is ready 5 s after its start.
const config = `
admin = "127.0.0.1:%[1]d"
state_dir = "%[2]s.state"

[peers]
fleet = "census"
name = "%[2]s"
listen = "127.0.0.1:%[3]d"
seeds = ["127.0.0.1:%[4]d", "127.0.0.1:%[5]d"]

[policy]
voters = ["host-1"]
cut_off = "vetoes"

[[source]]
name = "forms"
list = "%[6]s"

[[source]]
name = "beds"
list = "127.0.0.1:%[7]d"

[site]
zones = ["kathmandu"]
kinds = ["old-2core"]

[rules]
balancers = 2
max_attempts = 3
connect_timeout = "250ms"
idle_close = "5s"
drain_grace = "2s"
max_retry_after = "1500ms"

[[class]]
name = "ward-note"
aim = "600ms"
deadline = "2500ms"

[[instance]]
name = "%[2]s-forms"
listen = "127.0.0.1:%[8]d"
source = "forms"

[[instance]]
name = "%[2]s-beds"
listen = "127.0.0.1:%[9]d"
source = "beds"
`

const ban = `
[[ban]]
server = "form-0"
source = "forms"
reason = "its disk is being replaced"
`

const (
	// bound is how long two policies may be in use at once: 500 ms where links are whole, as here; the bound on broken
	// ones, of 5.05 s, is taken. The old process of a handover takes stragglers for a second more.
	bound = 5050*time.Millisecond + time.Second
	// hang is how long the successor hangs; a handover fails if it takes over 30 s.
	hang    = 15 * time.Second
	clients = 8
)

func main() { kit.Run("policyinhandover", play) }

func play(c *kit.Case) error {
	var backends []*kit.Backend
	var members []kit.Server
	for i := range 3 {
		b, err := c.NewBackend(fmt.Sprintf("form-%d", i), 50*time.Millisecond)
		if err != nil {
			return err
		}
		backends = append(backends, b)
		members = append(members, b.Member("ready"))
	}
	list, err := c.NewList(members...)
	if err != nil {
		return err
	}
	ports, err := kit.Ports(9)
	if err != nil {
		return err
	}
	files := map[string]string{}
	daemons := map[string]*kit.Process{}
	for i, name := range []string{"host-1", "host-2"} {
		own := ports[2+3*i : 5+3*i]
		text := fmt.Sprintf(config, own[0], name, ports[i], ports[0], ports[1], list.Addr, ports[8], own[1], own[2])
		if files[name], err = c.Write(name+".toml", text); err != nil {
			return err
		}
		if daemons[name], err = c.Start(name, "serve --config "+files[name]); err != nil {
			return err
		}
	}
	addrs := []string{fmt.Sprintf("127.0.0.1:%d", ports[3]), fmt.Sprintf("127.0.0.1:%d", ports[6])}
	policy, err := c.Write("ban.toml", ban)
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // both are ready 5 s after their start

	load := c.NewLoad(addrs...)
	load.Pause = 50 * time.Millisecond
	load.Next = func(_, _ int) kit.Request {
		return kit.Request{Class: "ward-note", Method: http.MethodPost, Wait: 2500 * time.Millisecond}
	}
	load.Start(clients)
	time.Sleep(2 * time.Second)
	c.Signal(daemons["host-2"], syscall.SIGUSR2) // as vetchhaven handover
	time.Sleep(time.Second)
	askedAt := time.Now()
	status, _ := c.Command("policy apply " + policy + " --reason disk --config " + files["host-1"])
	inForceAt := time.Now()
	if c.Trouble {
		successor, err := c.Child(daemons["host-2"])
		if err != nil {
			return err
		}
		c.Log("stop of the successor, process %d", successor)
		_ = syscall.Kill(successor, syscall.SIGSTOP)
		time.Sleep(hang)
		c.Log("continue of the successor")
		_ = syscall.Kill(successor, syscall.SIGCONT)
	} else {
		time.Sleep(hang)
	}
	time.Sleep(5 * time.Second)
	c.Command("policy show --config " + files["host-2"])
	results := load.Stop()
	if status != 0 {
		return fmt.Errorf("policy apply ended with status %d: nothing follows from what was sent", status)
	}

	sentAt := map[string]time.Time{}
	before, after := 0, 0
	for _, r := range results {
		sentAt[r.ID] = r.SentAt
		if r.SentAt.After(inForceAt) && r.Status == http.StatusOK {
			after++
		}
	}
	for _, a := range backends[0].Arrivals() {
		switch {
		case sentAt[a.ID].Before(askedAt):
			before++
		case sentAt[a.ID].After(inForceAt.Add(bound)):
			c.Break("%s reached form-0; its client sent it %.2f s after the policy that bans form-0 was in force everywhere",
				a.ID, sentAt[a.ID].Sub(inForceAt).Seconds())
		}
	}
	c.Log("%d requests reached form-0 before; %d were served after the change", before, after)
	if before < 10 || after < 50 {
		return errors.New("too little traffic")
	}
	return nil
}
