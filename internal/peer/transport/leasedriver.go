package transport

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
)

// Inputs of the daemon about its agents.
type (
	agentAdded    struct{ agent uint32 }
	agentRemoved  struct{ agent uint32 }
	usageReported struct {
		agent  uint32
		usages []quota.Usage
	}
)

// leaseDriver drives the lease client and, at a lease server, the server. The transport's loop owns it.
type leaseDriver struct {
	tr       *Transport
	settings *lease.Settings // nil: there are no limits
	client   *lease.Client   // nil: there are no limits
	server   *lease.Server   // nil: this member is none
	packets  uint64          // sent, those of ejection included
	bytes    uint64          // of these
}

// serverTickInterval is how often a lease server's clock is advanced: one that was paused notices before it grants.
const serverTickInterval = 250 * time.Millisecond

// newLeaseDriver continues with what the Transport before, or the process before, has leased.
func newLeaseDriver(tr *Transport, saved *Saved) (*leaseDriver, error) {
	d := &leaseDriver{tr: tr, settings: tr.options.Leases}
	if d.settings == nil {
		return d, nil
	}
	previous := &leaseDriver{}
	if tr.options.Previous != nil {
		previous = tr.options.Previous.leases
	}
	name := tr.options.Membership.Name
	var err error
	if previous.client != nil && previous.client.ApplySettings(*d.settings) {
		d.client = previous.client
	} else if d.client, err = lease.NewClient(*d.settings, name, rand.Uint64()|1); err != nil {
		return nil, err
	}
	if !slices.Contains(d.settings.Servers, name) {
		return d, nil
	}
	if d.server, err = lease.NewServer(*d.settings, name, tr.options.Membership.RunID); err != nil {
		return nil, err
	}
	switch {
	case previous.server != nil:
		d.server.TakeOver(previous.server)
	case saved != nil && saved.TakesOver && !d.server.Resume(tr.now(), saved.Leases):
		tr.log.Info("fleet: limits: what the process before had leased is not known; nothing is granted until it has expired")
	}
	return d, nil
}

// handoffState returns what a successor has to know; nil: nothing.
func (d *leaseDriver) handoffState(now time.Duration) *lease.ServerState {
	if d.server == nil {
		return nil
	}
	return d.server.State(now)
}

// next returns the time by which runDue has to be called.
func (d *leaseDriver) next() time.Duration {
	if d.client == nil {
		return math.MaxInt64
	}
	next := d.client.Next()
	if d.server != nil {
		next = min(next, d.tr.now()+serverTickInterval)
	}
	return next
}

// runDue does what is due. A member that yields its name grants nothing.
func (d *leaseDriver) runDue(now time.Duration) {
	if d.server != nil && !d.tr.view.Yields() {
		d.server.Tick(now)
	}
	if d.client != nil && now >= d.client.Next() {
		d.sendRequests(d.client.Requests(now))
	}
}

func (d *leaseDriver) sendRequests(requests []lease.OutgoingRequest) {
	for _, r := range requests {
		d.send(d.settings.Servers[r.Server], &sharedPacket{Request: r.Request})
	}
}

// send sends a packet to a member at the address by which the view last knew it. What is lost is requested again.
func (d *leaseDriver) send(to string, p *sharedPacket) {
	tr := d.tr
	p.From = tr.options.Membership.Name
	if to == p.From && !tr.frozen.Load() {
		d.handleOwnPacket(tr.now(), p)
		return
	}
	addr, err := netip.ParseAddrPort(tr.view.Addr(to))
	if err != nil {
		return
	}
	data, err := encodeEnvelope(sharedFormat, tr.options.Fleet, p)
	if err != nil || len(data) > maxDatagramBytes {
		return
	}
	d.packets++
	d.bytes += uint64(len(data))
	tr.writeDatagram(data, addr)
}

func (d *leaseDriver) addAgent(now time.Duration, agent uint32) {
	if d.client != nil {
		d.client.AddAgent(now, agent)
	}
}

func (d *leaseDriver) reportUsage(now time.Duration, r usageReported) {
	if d.client != nil {
		d.client.ReportUsage(now, r.agent, r.usages)
	}
}

// removeAgent releases an agent's leases, also while another process has the sockets: they are free for that one.
func (d *leaseDriver) removeAgent(agent uint32) {
	if d.client != nil {
		d.sendRequests(d.client.RemoveAgent(agent))
	}
}

// handlePacket takes a packet of another member.
func (d *leaseDriver) handlePacket(now time.Duration, p *sharedPacket) {
	if d.client != nil {
		d.handleOwnPacket(now, p)
	}
}

// handleOwnPacket takes a packet of this member to itself, or of another. A frozen member ignores it: its successor has
// what was leased.
func (d *leaseDriver) handleOwnPacket(now time.Duration, p *sharedPacket) {
	if d.tr.frozen.Load() {
		return
	}
	if p.Request != nil && d.server != nil && !d.tr.view.Yields() && p.Request.From == p.From {
		if grant := d.server.HandleRequest(now, p.Request); grant != nil {
			d.send(p.From, &sharedPacket{Grant: grant})
		}
	}
	if p.Grant != nil && p.Grant.From == p.From {
		server := slices.Index(d.settings.Servers, p.From)
		for _, granted := range d.client.HandleGrant(now, server, p.Grant) {
			d.tr.options.LeasesGranted(granted.Agent, granted.Leases, d.tr.base)
		}
	}
}

// AddAgent requests leases for an agent from now on. An agent's number is not used again. It does not wait: where it is
// dropped, the agent's reports make up for it.
func (tr *Transport) AddAgent(agent uint32) { tr.offer(agentAdded{agent}) }

// RemoveAgent releases the leases of an agent that has ended with nothing in flight. It may wait a little.
func (tr *Transport) RemoveAgent(agent uint32) { tr.post(agentRemoved{agent}) }

// ReportUsage passes on an agent's usage of its leases. It does not wait.
func (tr *Transport) ReportUsage(agent uint32, usages []quota.Usage) {
	tr.offer(usageReported{agent, usages})
}
