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

// Inputs from the daemon about its agents.
type (
	agentAdded    struct{ agent uint32 }
	agentRemoved  struct{ agent uint32 }
	usageReported struct {
		agent  uint32
		usages []quota.Usage
	}
)

// leaseDriver drives the lease client and, if this member is a lease server, the server. The transport's loop owns it.
type leaseDriver struct {
	tr       *Transport
	settings *lease.Settings // nil: there are no limits
	client   *lease.Client   // nil: there are no limits
	server   *lease.Server   // nil: this member is not a lease server
	packets  uint64          // packets sent, including those of ejection
	bytes    uint64          // bytes of these packets
}

// serverTickInterval is the interval at which a lease server's clock is advanced, so that a server that was paused
// detects the pause before it grants leases.
const serverTickInterval = 250 * time.Millisecond

// newLeaseDriver returns a driver that takes over the leases of the previous Transport or of the previous process.
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

// handoffState returns the lease server's state for a successor; nil if this member is not a lease server.
func (d *leaseDriver) handoffState(now time.Duration) *lease.ServerState {
	if d.server == nil {
		return nil
	}
	return d.server.State(now)
}

// next returns the time at which runDue is due.
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

// runDue advances the server's clock and sends the client's requests when due. A member that yields its name to
// another process grants no leases.
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

// send sends a packet to a member at its last address in the view. Requests whose packets are lost are retried by
// their senders.
func (d *leaseDriver) send(to string, p *sharedPacket) {
	tr := d.tr
	p.From = tr.options.Membership.Name
	if to == p.From && !tr.frozen.Load() {
		d.processPacket(tr.now(), p)
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

// removeAgent releases an agent's leases. It does so even while another process uses the sockets, so that the leases
// are free for that process.
func (d *leaseDriver) removeAgent(agent uint32) {
	if d.client != nil {
		d.sendRequests(d.client.RemoveAgent(agent))
	}
}

// handlePacket handles a packet from another member.
func (d *leaseDriver) handlePacket(now time.Duration, p *sharedPacket) {
	if d.client != nil {
		d.processPacket(now, p)
	}
}

// processPacket handles a packet from this member to itself or from another member. A frozen member ignores packets
// because its successor has taken over the leases.
func (d *leaseDriver) processPacket(now time.Duration, p *sharedPacket) {
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

// AddAgent requests leases for an agent from now on. An agent's number must not be reused. AddAgent does not wait: if
// its input is dropped, the agent's next usage report adds the agent.
func (tr *Transport) AddAgent(agent uint32) { tr.offer(agentAdded{agent}) }

// RemoveAgent releases the leases of an agent that has ended and has no attempts in flight. It may wait up to
// streamTimeout.
func (tr *Transport) RemoveAgent(agent uint32) { tr.post(agentRemoved{agent}) }

// ReportUsage passes on an agent's usage of its leases. It does not wait.
func (tr *Transport) ReportUsage(agent uint32, usages []quota.Usage) {
	tr.offer(usageReported{agent, usages})
}
