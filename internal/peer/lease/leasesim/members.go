package leasesim

import (
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
)

// member is a process. Each member is a client, and the first members are also servers.
type member struct {
	number      int
	clockRate   float64
	clockOffset time.Duration
	clients     []*lease.Client // one client; with QuorumOfServers one for each server
	ledgers     []*quota.Ledger // ledger of each client
	server      *lease.Server   // nil: the member is not a server
	runID       uint64
	paused      bool
	down        bool            // messages to it are lost
	running     int             // attempts in flight by its own count
	recent      []time.Duration // when attempts began, within the last second by its own count
	gossiped    []int           // use that each other member last reported
	tokens      int             // tokens that it has, with EscrowedTokens
	nextRequest time.Duration   // time by its own clock before which it sends no further request or gossip
}

// clock returns the time by the member's own clock.
func (m *member) clock(now time.Duration) time.Duration {
	return m.clockOffset + time.Duration(float64(now)*m.clockRate)
}

// addMember creates a member and starts it.
func (w *world) addMember(number int) error {
	o := &w.options
	m := &member{number: number}
	m.clockRate = 1 + o.ClockDrift*(2*w.rng.Float64()-1)
	m.clockOffset = time.Duration(w.rng.Float64() * float64(time.Hour))
	m.tokens = lease.ServerShare(o.Total, number, o.Clients)
	if o.Strategy == GossipedUse {
		m.gossiped = make([]int, o.Clients)
	}
	w.members = append(w.members, m)
	w.result.StartedByClient = append(w.result.StartedByClient, make([]int, o.Duration/countInterval+1))
	return w.start(m)
}

// settingsOf returns the settings of a member's nth client. With QuorumOfServers, each server has the whole limit.
func (w *world) settingsOf(n int) lease.Settings {
	s := w.settings
	if w.options.Strategy == QuorumOfServers {
		s.Servers = []string{memberName(n)}
	}
	return s
}

// start starts a member's process, without the state of an earlier run.
func (w *world) start(m *member) error {
	m.runID = w.rng.Uint64() | 1
	m.clients = nil
	m.ledgers = nil
	clients := 1
	if w.options.Strategy == QuorumOfServers {
		clients = w.options.Servers
	}
	for n := range clients {
		client, err := lease.NewClient(w.settingsOf(n), memberName(m.number), m.runID)
		if err != nil {
			return err
		}
		client.AddAgent(m.clock(w.now), agentID)
		ledger := &quota.Ledger{}
		ledger.SetLimits([]quota.Limit{w.settings.Limits[0].Limit})
		ledger.SetLeases(m.clock(w.now), w.settingsOf(n).Floors(w.options.Clients))
		m.clients = append(m.clients, client)
		m.ledgers = append(m.ledgers, ledger)
	}
	if m.number >= w.options.Servers {
		return nil
	}
	var err error
	m.server, err = lease.NewServer(w.settingsOf(m.number), memberName(m.number), m.runID)
	return err
}

// restart restarts a process. Its earlier attempts stay in flight, but the new process does not count them.
func (w *world) restart(m *member) {
	m.running = 0
	m.recent = nil
	_ = w.start(m) // can't fail: the same settings were accepted before
}

// tick performs the periodic work of a member.
func (w *world) tick(m *member) {
	defer w.after(tickInterval, func() { w.tick(m) })
	if m.paused {
		return
	}
	if m.server != nil {
		m.server.Tick(m.clock(w.now))
	}
	switch w.options.Strategy {
	case PartitionedServers, SingleServer, QuorumOfServers:
		for n := range m.clients {
			w.requestLeases(m, n)
		}
	case GossipedUse:
		w.gossip(m)
	}
}

// gossip sends the use of a member to all other members.
func (w *world) gossip(m *member) {
	now := m.clock(w.now)
	if now < m.nextRequest {
		return
	}
	m.nextRequest = now + lease.DefaultRenewInterval
	used := w.usedBy(m)
	for to := range w.members {
		if to != m.number {
			w.send(m.number, to, 0, func() { w.members[to].gossiped[m.number] = used })
		}
	}
}

// usedBy returns the amount that a member has in use by its own count.
func (w *world) usedBy(m *member) int {
	if !w.options.Kind.IsRate() {
		return m.running
	}
	for len(m.recent) > 0 && w.now-m.recent[0] >= time.Second {
		m.recent = m.recent[1:]
	}
	return len(m.recent)
}

// requestLeases sends the pending lease requests of a member's nth client.
func (w *world) requestLeases(m *member, n int) {
	for _, r := range m.clients[n].Requests(m.clock(w.now)) {
		to := r.Server
		if w.options.Strategy == QuorumOfServers {
			to = n
		}
		size := w.messageSize(m.number, r.Request, 20+24*len(r.Request.Items))
		w.send(m.number, to, size, func() { w.respond(m, n, w.members[to], r) })
	}
}

// respond makes a server respond to a request of a member's nth client.
func (w *world) respond(m *member, n int, server *member, r lease.OutgoingRequest) {
	grant := server.server.HandleRequest(server.clock(w.now), r.Request)
	if grant == nil {
		return
	}
	runID := m.runID
	size := w.messageSize(server.number, grant, 20+20*len(grant.Items))
	w.send(server.number, m.number, size, func() {
		if m.runID == runID {
			w.applyGrant(m, n, r.Server, grant)
		}
	})
}

func (w *world) messageSize(from int, message any, estimate int) int {
	if w.options.MessageSize == nil {
		return estimate
	}
	return w.options.MessageSize(memberName(from), message)
}

func (w *world) applyGrant(m *member, n, server int, grant *lease.Grant) {
	now := m.clock(w.now)
	for _, granted := range m.clients[n].HandleGrant(now, server, grant) {
		w.result.Grants++
		m.ledgers[n].SetLeases(now, granted.Leases)
		m.clients[n].ReportUsage(now, agentID, m.ledgers[n].Usages(now))
	}
}
