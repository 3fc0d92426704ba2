package lease

import (
	"math"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// ReportUsage records an agent's complete report. If the agent has rejected an attempt, or if little of its leases is
// left, the next requests to the servers are sent soon.
func (c *Client) ReportUsage(now time.Duration, agentID uint32, usages []quota.Usage) {
	if c.agents[agentID] == nil {
		if c.removed[agentID] {
			return
		}
		c.AddAgent(now, agentID) // the event that announced it was lost
	}
	short := false
	shrunk := make([]bool, len(c.servers)) // the agent adopted a reduced lease: the difference may be granted to others
	used := map[rowID]int{}
	for _, u := range usages {
		limit := slices.IndexFunc(c.settings.Limits, func(l Limit) bool { return l.Name == u.Limit })
		if limit < 0 {
			continue
		}
		id := rowID{limit, u.Key}
		r := c.row(now, agentID, id)
		used[id] += u.Used
		r.countAttempts(now, u)
		short = short || u.Rejected > 0
		if server := slices.Index(c.settings.Servers, u.Grantor); server >= 0 && r.leases[server].adopt(u) {
			shrunk[server] = true
		}
	}
	for id, n := range used {
		r := c.agents[agentID].rows[id]
		r.estimateNeed(now, n, c.settings.Limits[id.limit].Kind)
		short = short || n > 0 && r.isLow(now)
	}
	for server := range c.servers {
		if short || shrunk[server] {
			c.promptRequest(server, now)
		}
	}
}

func (r *clientRow) countAttempts(now time.Duration, u quota.Usage) {
	if u.Rejected > 0 || u.Started > 0 {
		r.attempts = append(r.attempts, attempts{now, u.Started, u.Rejected})
	}
}

// adopt records which of the server's grants the agent uses now. It reports whether the agent has thereby come below a
// reduced amount.
func (l *clientLease) adopt(u quota.Usage) (shrunk bool) {
	for i := len(l.issued) - 1; i >= 0; i-- {
		issued := l.issued[i]
		if issued.leaseNumber != u.Number {
			continue
		}
		if l.adoptedNumber != issued.grantNumber || l.adoptedRunID != issued.serverRunID {
			shrunk = u.Used < l.amount && l.used > l.amount
		}
		l.adoptedNumber = issued.grantNumber
		l.adoptedRunID = issued.serverRunID
		l.used = u.Used
		l.issued = l.issued[i:]
		return shrunk
	}
	return false
}

// estimateNeed estimates the amount that an agent needs: the amount that it uses, plus the amount that it would have
// used for the attempts that it rejected within the last second. The number of attempts in flight varies by chance,
// so its decrease is smoothed.
func (r *clientRow) estimateNeed(now time.Duration, used int, kind quota.Kind) {
	r.attempts = slices.DeleteFunc(r.attempts, func(a attempts) bool { return now-a.at >= rateWindow })
	started, rejected := 0, 0
	for _, a := range r.attempts {
		started += a.started
		rejected += a.rejected
	}
	need := float64(used)
	switch {
	case kind.IsRate():
		need += float64(rejected)
	case started > 0:
		need *= 1 + float64(rejected)/float64(started)
	default:
		need += math.Sqrt(float64(rejected))
	}
	if !kind.IsRate() && need < r.need {
		weight := math.Exp(-float64(now-r.estimatedAt) / float64(needSmoothing))
		need = weight*r.need + (1-weight)*need
	}
	r.used = used
	r.estimatedAt = now
	if need > minNeed {
		r.need = need
		r.lastNeed = now
	} else {
		r.need = 0
	}
}

// isLow reports whether so little of the leases is left that the next few attempts may exhaust it. Servers may have
// more to grant by now.
func (r *clientRow) isLow(now time.Duration) bool {
	leased := 0
	for _, l := range r.leases {
		if now < l.expires {
			leased += l.amount
		}
	}
	return leased-r.used <= 1+int(math.Sqrt(r.need)/2)
}
