package lease

import (
	"cmp"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// ClientLimitStatus is the state of one limit, or one part of it, at this daemon, for operators.
type ClientLimitStatus struct {
	Limit, Key string
	Used       int // attempts in flight, or begun within the last second, as agents last reported
	Rejected   int // attempts rejected within the last second
	Leases     []ClientLeaseStatus
}

// ClientLeaseStatus is the sum of the leases that one server has granted to this daemon's agents.
type ClientLeaseStatus struct {
	Server    string
	Amount    int
	Remaining time.Duration // time until the first of these leases expires
}

// Status returns the state of all limits, in the order of the settings and then by key.
func (c *Client) Status(now time.Duration) []ClientLimitStatus {
	sums := map[rowID]*ClientLimitStatus{}
	var order []rowID
	for _, agentID := range c.agentIDs {
		a := c.agents[agentID]
		for _, id := range a.order {
			if sums[id] == nil {
				sums[id] = c.newLimitStatus(id)
				order = append(order, id)
			}
			sums[id].add(now, a.rows[id])
		}
	}
	slices.SortFunc(order, func(a, b rowID) int { return cmp.Or(cmp.Compare(a.limit, b.limit), cmp.Compare(a.key, b.key)) })
	var all []ClientLimitStatus
	for _, id := range order {
		all = append(all, *sums[id])
	}
	return all
}

func (c *Client) newLimitStatus(id rowID) *ClientLimitStatus {
	s := &ClientLimitStatus{
		Limit:  c.settings.Limits[id.limit].Name,
		Key:    id.key,
		Leases: make([]ClientLeaseStatus, len(c.servers)),
	}
	for server := range c.servers {
		s.Leases[server].Server = c.settings.Servers[server]
	}
	return s
}

// add adds the row of one agent to the status.
func (s *ClientLimitStatus) add(now time.Duration, r *clientRow) {
	s.Used += r.used
	for _, a := range r.attempts {
		if now-a.at < rateWindow {
			s.Rejected += a.rejected
		}
	}
	for server, l := range r.leases {
		remaining := l.expires - now
		if remaining <= 0 || l.amount <= 0 {
			continue
		}
		sum := &s.Leases[server]
		sum.Amount += l.amount
		if sum.Remaining == 0 || remaining < sum.Remaining {
			sum.Remaining = remaining
		}
	}
}

// ServerLimitStatus is the state of a server's share of a limit, or of one part of it, for operators.
type ServerLimitStatus struct {
	Limit, Key    string
	Share         int
	Leased        int
	WaitRemaining time.Duration  // remaining time during which the server grants no leases
	Holders       map[string]int // leased amount by client
}

// Status returns the state of all limits, in the order of the settings and then by key.
func (s *Server) Status(now time.Duration) []ServerLimitStatus {
	var all []ServerLimitStatus
	for _, l := range s.limits {
		var keys []string
		for key := range l.rows {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		if len(keys) == 0 && l.Partition == quota.NotPartitioned {
			keys = []string{""}
		}
		for _, key := range keys {
			all = append(all, l.status(now, key))
		}
	}
	return all
}

func (l *serverLimit) status(now time.Duration, key string) ServerLimitStatus {
	status := ServerLimitStatus{
		Limit:         l.Name,
		Key:           key,
		Share:         l.share,
		WaitRemaining: max(0, l.grantsFrom-now),
		Holders:       map[string]int{},
	}
	r := l.rows[key]
	if r == nil {
		return status
	}
	for _, id := range r.order {
		if n := r.holders[id].maxInUse(now); n > 0 {
			status.Leased += n
			status.Holders[id.name] += n
		}
	}
	return status
}
