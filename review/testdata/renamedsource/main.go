// Renamedsource plays a reload that gives a source another name. The list service and everything else stay as they
// are.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"vetchhaven/review/testdata/kit"
)

// config is the daemon's file, as deploy/fleet.toml with other addresses, and a folder for its state.
const config = `
admin = "127.0.0.1:%[1]d"
state_dir = "state"

[[source]]
name = "%[2]s"
list = "%[3]s"
spread = "300ms"
first = "500ms"

[site]
zones = ["kathmandu", "biratnagar"]
kinds = ["new-3core", "old-2core", "slow-3core"]
by_work = true

[rules]
balancers = 3
max_attempts = 3
second_copies = true
connect_timeout = "250ms"
idle_close = "5s"
drain_grace = "2s"
answer_slack = "20ms"
cold_share = 0.31
ramp_time = "8600ms"
fall_multiple = 2.5
fall_window = "1s"
cross_zone_price = 0.03
max_retry_after = "1500ms"

[[class]]
name = "form-fetch"
repeats = "safe"
aim = "600ms"
deadline = "3s"
worth = 2.0
late = 0.2

[[instance]]
name = "kathmandu-1"
listen = "127.0.0.1:%[4]d"
zone = "kathmandu"

[[instance]]
name = "biratnagar-1"
listen = "127.0.0.1:%[5]d"
zone = "biratnagar"

[[instance]]
name = "biratnagar-2"
listen = "127.0.0.1:%[6]d"
zone = "biratnagar"
`

const (
	clients = 18
	// grace is how long after it was told of a drain an agent may still send: drain_grace, and 50 ms on sockets.
	grace = 2*time.Second + 50*time.Millisecond
)

func main() { kit.Run("renamedsource", play) }

func play(c *kit.Case) error {
	var backends []*kit.Backend
	var members []kit.Server
	for i := range 4 {
		b, err := c.NewBackend(fmt.Sprintf("s-%d", i), 30*time.Millisecond)
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
	ports, err := kit.Ports(4)
	if err != nil {
		return err
	}
	file := func(source string) (string, error) {
		return c.Write("fleet.toml", fmt.Sprintf(config, ports[0], source, list.Addr, ports[1], ports[2], ports[3]))
	}
	path, err := file("platform")
	if err != nil {
		return err
	}
	admin := fmt.Sprintf("127.0.0.1:%d", ports[0])
	// The daemon runs for some seconds, and is restarted as planned: it starts with the state that it has saved.
	var daemon *kit.Process
	for run := range 2 {
		if daemon, err = c.Start(fmt.Sprintf("daemon-%d", run), "serve --config "+path); err != nil {
			return err
		}
		if !kit.Until(15*time.Second, func() bool { return kit.Healthy(admin) }) {
			return errors.New("the daemon is not ready")
		}
		time.Sleep(3 * time.Second)
		if run == 0 {
			c.Signal(daemon, syscall.SIGTERM)
			if !daemon.Wait(8 * time.Second) {
				return errors.New("the daemon did not end")
			}
		}
	}

	var addrs []string
	for _, port := range ports[1:] {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", port))
	}
	load := c.NewLoad(addrs...)
	load.Pause = 20 * time.Millisecond
	load.Next = func(_, _ int) kit.Request {
		return kit.Request{Class: "form-fetch", Method: http.MethodGet, Wait: 3 * time.Second}
	}
	load.Start(clients)
	time.Sleep(2 * time.Second)

	// A backend drains, and turns away what it gets once the agents' grace is over.
	list.Set(backends[0].Member("draining"))
	toldAt := time.Now()
	time.Sleep(grace)
	backends[0].TurnAway(true)
	time.Sleep(4 * time.Second)
	if c.Trouble {
		if _, err := file("forms"); err != nil {
			return err
		}
		if status, output := c.Command("reload --config " + path); status != 0 {
			return fmt.Errorf("reload: status %d: %s", status, output)
		}
	}
	time.Sleep(5 * time.Second)
	results := load.Stop()

	before, late := 0, 0
	for _, a := range backends[0].Arrivals() {
		switch {
		case a.At.Before(toldAt):
			before++
		case a.At.After(toldAt.Add(grace)):
			late++
			c.Break("%s reached s-0 %.2f s after the list had told the daemon that s-0 drains", a.ID, a.At.Sub(toldAt).Seconds())
		}
	}
	served := 0
	for _, r := range results {
		if r.Status == http.StatusOK && strings.HasPrefix(r.Body, r.ID) {
			served++
		}
	}
	c.Log("s-0 got %d requests before it drained, %d past the grace; %d requests were served in all", before, late, served)
	if before < 10 || served < 500 {
		return errors.New("too little traffic")
	}
	return nil
}
