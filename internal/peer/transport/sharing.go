package transport

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
)

// packet is a datagram of what members share, besides the view.
type packet struct {
	From  string         `cbor:"1,keyasint,omitempty"`
	Ask   *lease.Request `cbor:"2,keyasint,omitempty"`
	Grant *lease.Grant   `cbor:"3,keyasint,omitempty"`

	Verdicts *ejection.Message `cbor:"4,keyasint,omitempty"`
}

// What the daemon tells of its agents.
type (
	joined struct{ agent uint32 }
	gone   struct{ agent uint32 }
	held   struct {
		agent uint32
		all   []quota.Usage
	}
)

// sharing drives the keeper and the holder of limits. The carrier's loop owns it.
type sharing struct {
	c      *Transport
	s      *lease.Settings
	holder *lease.Client
	keeper *lease.Server // nil: this member keeps nothing
	sent   uint64
	bytes  uint64
}

// keeperTick is how often a keeper's clock is looked at: one that was stopped finds out before it lends.
const keeperTick = 250 * time.Millisecond

func newSharing(c *Transport, saved *Saved) (*sharing, error) {
	s := &sharing{c: c, s: c.o.Leases}
	if s.s == nil {
		return s, nil
	}
	before := &sharing{}
	if c.o.Previous != nil {
		before = c.o.Previous.sharing
	}
	var err error
	if before.holder != nil && before.holder.ApplySettings(*s.s) {
		s.holder = before.holder
	} else if s.holder, err = lease.NewClient(*s.s, c.o.Membership.Name, rand.Uint64()|1); err != nil {
		return nil, err
	}
	if slices.Contains(s.s.Servers, c.o.Membership.Name) {
		if s.keeper, err = lease.NewServer(*s.s, c.o.Membership.Name, c.o.Membership.RunID); err != nil {
			return nil, err
		}
		switch {
		case before.keeper != nil:
			s.keeper.TakeOver(before.keeper)
		case saved != nil && saved.TakesOver && !s.keeper.Resume(c.now(), saved.Leases):
			c.log.Info("fleet: limits: what the process before had lent is not known; nothing is lent until it has lapsed")
		}
	}
	return s, nil
}

// state is what a successor has to know of a keeper.
func (s *sharing) state(now time.Duration) *lease.ServerState {
	if s.keeper == nil {
		return nil
	}
	return s.keeper.State(now)
}

// next is when due is to be called at the latest.
func (s *sharing) next() time.Duration {
	if s.holder == nil {
		return math.MaxInt64
	}
	next := s.holder.Next()
	if s.keeper != nil {
		next = min(next, s.c.now()+keeperTick)
	}
	return next
}

func (s *sharing) due(now time.Duration) {
	if s.keeper != nil && !s.c.v.Yields() {
		s.keeper.Tick(now)
	}
	if s.holder != nil && now >= s.holder.Next() {
		s.ask(s.holder.Requests(now))
	}
}

// ask sends questions to keepers.
func (s *sharing) ask(all []lease.OutgoingRequest) {
	for _, r := range all {
		s.send(s.s.Servers[r.Server], &packet{Ask: r.Request})
	}
}

// send sends a packet to a member, wherever the view last knew it to be.
func (s *sharing) send(to string, p *packet) {
	p.From = s.c.o.Membership.Name
	if to == p.From && !s.c.frozen.Load() {
		s.took(s.c.now(), p)
		return
	}
	addr, err := netip.ParseAddrPort(s.c.v.Addr(to))
	if err != nil {
		return
	}
	data, err := enclose(sharedForm, s.c.o.Fleet, p)
	if err != nil || len(data) > datagram {
		return
	}
	s.sent++
	s.bytes += uint64(len(data))
	s.c.datagrams.Add(1)
	s.c.written.Add(uint64(len(data)))
	_, _ = s.c.o.UDP.WriteToUDPAddrPort(data, addr) // what is lost is asked for again
}

// take takes what came from the daemon or from another member.
func (s *sharing) take(now time.Duration, x any) {
	if s.holder == nil {
		return // the file limits nothing
	}
	switch x := x.(type) {
	case *packet:
		s.took(now, x)
	case joined:
		s.holder.AddAgent(now, x.agent)
	case held:
		s.holder.ReportUsage(now, x.agent, x.all)
	case gone: // also while another process has the sockets: what this one had is free for it
		s.ask(s.holder.RemoveAgent(x.agent))
	}
}

func (s *sharing) took(now time.Duration, p *packet) {
	if s.c.frozen.Load() {
		return // the process that follows has what was lent
	}
	if p.Ask != nil && s.keeper != nil && !s.c.v.Yields() && p.Ask.From == p.From {
		if g := s.keeper.HandleRequest(now, p.Ask); g != nil {
			s.send(p.From, &packet{Grant: g})
		}
	}
	if p.Grant != nil && p.Grant.From == p.From {
		for _, g := range s.holder.HandleGrant(now, slices.Index(s.s.Servers, p.From), p.Grant) {
			s.c.o.LeasesGranted(g.Agent, g.Leases, s.c.base)
		}
	}
}

// share hands a packet to the loop, without waiting.
func (c *Transport) share(x any) {
	select {
	case c.inbox <- input{shared: x}:
	default:
		c.dropped.Add(1)
	}
}

// AddAgent has rights asked for on behalf of an agent, from now on. An agent's number is not used again. It does not wait:
// what is lost is made good by what the agent reports.
func (c *Transport) AddAgent(agent uint32) { c.share(joined{agent}) }

// RemoveAgent says that an agent has ended with nothing in flight: its rights are others' from now on. It may wait a little.
func (c *Transport) RemoveAgent(agent uint32) { c.post(input{shared: gone{agent}}) }

// ReportUsage passes on how an agent's rights stand. It does not wait.
func (c *Transport) ReportUsage(agent uint32, all []quota.Usage) { c.share(held{agent, all}) }

// LimitsStatus is how the limits stand, at this daemon and, of what it keeps, in all.
type LimitsStatus struct {
	Name         string               `json:"name"`
	Leased       []LeasedLimitStatus  `json:"held"`
	Granted      []GrantedLimitStatus `json:"kept,omitempty"`
	Bytes        uint64               `json:"bytes"`
	Packets      uint64               `json:"packets"`
	Agents       int                  `json:"agents"`
	MaxBalancers int                  `json:"balancers_most"`
}

// LeasedLimitStatus is what this daemon's agents have of a limit.
type LeasedLimitStatus struct {
	Limit    string        `json:"limit"`
	Key      string        `json:"key,omitempty"`
	Used     int           `json:"used"`
	Rejected int           `json:"turned_away_s"`
	Leases   []LeaseStatus `json:"rights"`
}

// LeaseStatus is what a keeper has lent this daemon.
type LeaseStatus struct {
	Server     string  `json:"keeper"`
	Amount     int     `json:"amount"`
	RemainingS float64 `json:"left_s"`
}

// GrantedLimitStatus is what this daemon lends as a keeper.
type GrantedLimitStatus struct {
	Limit          string         `json:"limit"`
	Key            string         `json:"key,omitempty"`
	Share          int            `json:"part"`
	Leased         int            `json:"lent"`
	WaitRemainingS float64        `json:"lends_nothing_for_s,omitempty"`
	Holders        map[string]int `json:"holders"`
}

// LimitsStatus is how the limits stand. ok is false where there are none, or the loop does not answer.
func (c *Transport) LimitsStatus() (s LimitsStatus, ok bool) {
	if c.o.Leases == nil {
		return s, false
	}
	ok = c.do(func() {
		now := c.now()
		h := c.sharing
		s = LimitsStatus{Name: c.o.Membership.Name, Bytes: h.bytes, Packets: h.sent, Agents: len(h.holder.Agents()), MaxBalancers: c.v.Size().MaxBalancers}
		for _, x := range h.holder.Status(now) {
			one := LeasedLimitStatus{Limit: x.Limit, Key: x.Key, Used: x.Used, Rejected: x.Rejected}
			for _, r := range x.Leases {
				one.Leases = append(one.Leases, LeaseStatus{r.Server, r.Amount, r.Remaining.Round(time.Millisecond).Seconds()})
			}
			s.Leased = append(s.Leased, one)
		}
		if h.keeper != nil {
			for _, x := range h.keeper.Status(now) {
				s.Granted = append(s.Granted, GrantedLimitStatus{x.Limit, x.Key, x.Share, x.Leased, x.WaitRemaining.Round(time.Millisecond).Seconds(), x.Holders})
			}
		}
	})
	return s, ok
}
