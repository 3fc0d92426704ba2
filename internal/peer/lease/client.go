package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// Client asks keepers for rights on behalf of a daemon's agents, and passes on what it gets. The agents count what
// they use, each in a book of its own (decide/quota), and report.
type Client struct {
	s       Settings
	name    string
	life    uint64
	print   uint64
	prints  []uint64
	agents  map[uint32]*agent
	order   []uint32
	keepers []keeperSeen
	seq     uint64
	local   uint64 // numbers rights towards agents: keepers' own begin anew with each of their lives
	asks    map[uint64]sentAsk
	ended   map[uint32]bool // agents
}

// keeperSeen is what a holder knows of a keeper.
type keeperSeen struct {
	life             uint64
	heard            bool
	at, sent, nextAt time.Duration // it last answered, was last asked, is asked next
	gap              time.Duration // between two questions that something hurried: longer while it has no more to lend
}

type sentAsk struct {
	keeper int
	at     time.Duration
}

type agent struct {
	rows  map[rowID]*holdRow
	order []rowID
}

type rowID struct {
	limit int
	key   string
}

// holdRow is one limit, or its part for one of something, at one agent.
type holdRow struct {
	loans  []holdLoan // by keeper
	need   float64
	tried  []tried       // in the last second
	at     time.Duration // it last needed something
	learnt time.Duration
	used   int
}

type tried struct {
	at            time.Duration
	begun, turned int
}

// holdLoan is what a keeper lent, as its agent knows it or is about to.
type holdLoan struct {
	amount int
	until  time.Duration
	life   uint64
	number uint64
	have   uint64 // the agent goes by this one, or a later one
	haveOf uint64 // the keeper's life that it is of
	used   int    // as the agent took it
	sent   []sentRight
}

type sentRight struct {
	local, life, number uint64
}

// AgentLeases are rights for one agent.
type AgentLeases struct {
	Agent  uint32
	Leases []quota.Lease
}

const (
	idleRenew = 4                     // renewals that a holder waits whose agents use nothing
	soonest   = 50 * time.Millisecond // between two questions that something hurried
	smoothed  = 200 * time.Millisecond
	rowIdle   = 30 * time.Second // after which a part that nobody uses is not asked for
)

// NewClient returns one that has no rights yet.
func NewClient(s Settings, name string, life uint64) (*Client, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	h := &Client{s: s, name: name, life: life, print: s.Fingerprint(), agents: map[uint32]*agent{}, keepers: make([]keeperSeen, len(s.Servers)),
		asks: map[uint64]sentAsk{}, ended: map[uint32]bool{}}
	for i := range s.Limits {
		h.prints = append(h.prints, s.Limits[i].print())
	}
	return h, nil
}

// ApplySettings has it go on with other limits. What it has of those that are as they were it keeps. It reports false, and
// nothing has changed, where keepers or terms differ: then another holder has to begin.
func (h *Client) ApplySettings(s Settings) bool {
	s, err := s.withDefaults()
	if err != nil || s.Fingerprint() != h.print {
		return false
	}
	was := h.prints
	h.s, h.prints = s, nil
	for i := range s.Limits {
		h.prints = append(h.prints, s.Limits[i].print())
	}
	for _, a := range h.agents {
		old := a.rows
		a.rows = map[rowID]*holdRow{}
		a.order = slices.DeleteFunc(a.order, func(at rowID) bool {
			n := slices.Index(h.prints, was[at.limit])
			if n >= 0 {
				a.rows[rowID{n, at.key}] = old[at]
			}
			return n < 0
		})
		for i, at := range a.order {
			a.order[i].limit = slices.Index(h.prints, was[at.limit])
		}
	}
	for _, id := range h.order {
		h.begin(0, id)
	}
	return true
}

// begin has a row for each limit that has one part.
func (h *Client) begin(now time.Duration, id uint32) {
	for i, l := range h.s.Limits {
		if l.Partition == quota.NotPartitioned {
			h.row(now, id, rowID{i, ""})
		}
	}
}

// AddAgent has it ask for an agent too. An agent's number is not used again in a holder's life.
func (h *Client) AddAgent(now time.Duration, id uint32) {
	if h.agents[id] != nil {
		return
	}
	h.agents[id] = &agent{rows: map[rowID]*holdRow{}}
	h.order = append(h.order, id)
	h.begin(now, id)
	for k := range h.keepers {
		h.hurry(k, now)
	}
}

func (h *Client) row(now time.Duration, id uint32, at rowID) *holdRow {
	a := h.agents[id]
	r := a.rows[at]
	if r == nil {
		r = &holdRow{loans: make([]holdLoan, len(h.s.Servers)), at: now}
		a.rows[at] = r
		a.order = append(a.order, at)
	}
	return r
}

// RemoveAgent forgets an agent that has ended with nothing in flight, and is what to tell each keeper, so that its rights
// are lent to others at once. What is lost of that lapses.
func (h *Client) RemoveAgent(now time.Duration, id uint32) (all []*Request, to []int) {
	a := h.agents[id]
	if a == nil {
		return nil, nil
	}
	for k := range h.keepers {
		var items []RequestItem
		for _, at := range a.order {
			if x := a.rows[at].loans[k]; x.number > 0 {
				items = append(items, RequestItem{Agent: id, Fingerprint: h.prints[at.limit], Key: at.key, LastGrant: over, Used: a.rows[at].usedNow(now, h.s.Limits[at.limit].Kind, k)})
			}
		}
		for part := range slices.Chunk(items, MaxItems) {
			h.seq++
			all, to = append(all, &Request{From: h.name, RunID: h.life, Fingerprint: h.print, Seq: h.seq, ServerRunID: h.keepers[k].life, Items: part}), append(to, k)
		}
	}
	delete(h.agents, id)
	h.ended[id] = true
	h.order = slices.DeleteFunc(h.order, func(o uint32) bool { return o == id })
	return all, to
}

// usedNow is what may still count of an agent that has ended: of rates, all that it last had.
func (r *holdRow) usedNow(_ time.Duration, c quota.Kind, k int) int {
	if !c.IsRate() {
		return 0
	}
	return max(r.loans[k].used, r.loans[k].amount)
}

// ReportUsage takes an agent's report. Where something lacked a right, keepers are asked soon.
func (h *Client) ReportUsage(now time.Duration, id uint32, all []quota.Usage) {
	if h.agents[id] == nil {
		if h.ended[id] {
			return
		}
		h.AddAgent(now, id) // that it came was lost on the way
	}
	short, less := false, make([]bool, len(h.keepers))
	used := map[rowID]int{}
	for _, x := range all {
		n := slices.IndexFunc(h.s.Limits, func(l Limit) bool { return l.Name == x.Limit })
		if n < 0 {
			continue
		}
		at := rowID{n, x.Key}
		r := h.row(now, id, at)
		used[at] += x.Used
		if x.Rejected > 0 || x.Started > 0 {
			r.tried = append(r.tried, tried{now, x.Started, x.Rejected})
			short = short || x.Rejected > 0
		}
		k := slices.Index(h.s.Servers, x.Grantor)
		if k < 0 {
			continue
		}
		l := &r.loans[k]
		for s := len(l.sent) - 1; s >= 0; s-- { // what it goes by, in the keeper's own terms
			if l.sent[s].local != x.Number {
				continue
			}
			if l.have != l.sent[s].number || l.haveOf != l.sent[s].life {
				less[k] = less[k] || x.Used < l.amount && l.used > l.amount
			}
			l.have, l.haveOf, l.used = l.sent[s].number, l.sent[s].life, x.Used
			l.sent = l.sent[s:]
			break
		}
	}
	for at, n := range used {
		r := h.agents[id].rows[at]
		r.learn(now, n, h.s.Limits[at.limit].Kind)
		short = short || n > 0 && r.low(now)
	}
	for k := range h.keepers {
		if short || less[k] {
			h.hurry(k, now)
		}
	}
}

// learn reckons what an agent needs: what it uses, and what it would have used besides of what it turned away in the
// last second. What is in flight goes up and down by chance, and is smoothed on its way down.
func (r *holdRow) learn(now time.Duration, used int, c quota.Kind) {
	r.tried = slices.DeleteFunc(r.tried, func(t tried) bool { return now-t.at >= span })
	begun, turned := 0, 0
	for _, t := range r.tried {
		begun, turned = begun+t.begun, turned+t.turned
	}
	need := float64(used)
	switch {
	case c.IsRate():
		need += float64(turned)
	case begun > 0:
		need *= 1 + float64(turned)/float64(begun)
	default:
		need += math.Sqrt(float64(turned))
	}
	if !c.IsRate() && need < r.need {
		w := math.Exp(-float64(now-r.learnt) / float64(smoothed))
		need = w*r.need + (1-w)*need
	}
	if r.need, r.used, r.learnt = need, used, now; need > 0.5 {
		r.at = now
	} else {
		r.need = 0
	}
}

// low reports whether so little is left that the next few uses may find none: keepers may have more by now.
func (r *holdRow) low(now time.Duration) bool {
	all := 0
	for _, x := range r.loans {
		if now < x.until {
			all += x.amount
		}
	}
	return all-r.used <= 1+int(math.Sqrt(r.need)/2)
}

// hurry has a keeper asked soon.
func (h *Client) hurry(k int, now time.Duration) {
	s := &h.keepers[k]
	s.nextAt = min(s.nextAt, max(now, s.sent+max(soonest, s.gap)))
}

// Next is when Asks is to be called at the latest.
func (h *Client) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, k := range h.keepers {
		next = min(next, k.nextAt)
	}
	return next
}

// Requests are what is to be sent now: to the keeper of the place that each has.
func (h *Client) Requests(now time.Duration) (all []*Request, to []int) {
	var answering []int
	for k, s := range h.keepers {
		if s.heard && now-s.at < h.s.Term/2 {
			answering = append(answering, k)
		}
	}
	if len(answering) == 0 {
		for k := range h.keepers {
			answering = append(answering, k)
		}
	}
	for k := range h.keepers {
		s := &h.keepers[k]
		if now < s.nextAt || len(h.agents) == 0 {
			if len(h.agents) == 0 {
				s.nextAt = now + idleRenew*h.s.RenewInterval
			}
			continue
		}
		busy := false
		var items []RequestItem
		for _, id := range h.order {
			a := h.agents[id]
			for n, at := range a.order {
				r := a.rows[at]
				if at.key != "" && now-r.at > rowIdle {
					continue
				}
				busy = busy || r.used > 0 || len(r.tried) > 0
				items = append(items, h.item(id, n, at, r, k, answering))
			}
			a.tidy(now)
		}
		s.sent, s.nextAt = now, now+h.s.RenewInterval
		if !busy {
			s.nextAt = now + idleRenew*h.s.RenewInterval
		}
		for part := range slices.Chunk(items, MaxItems) {
			h.seq++
			h.asks[h.seq] = sentAsk{k, now}
			all, to = append(all, &Request{From: h.name, RunID: h.life, Fingerprint: h.print, Seq: h.seq, ServerRunID: s.life, Items: part}), append(to, k)
		}
	}
	if len(all) > 0 {
		for seq, a := range h.asks {
			if now-a.at > h.s.MaxAttemptTime+h.s.Term {
				delete(h.asks, seq)
			}
		}
	}
	return all, to
}

// tidy forgets parts that nobody used for long.
func (a *agent) tidy(now time.Duration) {
	a.order = slices.DeleteFunc(a.order, func(at rowID) bool {
		old := at.key != "" && now-a.rows[at].at > 2*rowIdle
		if old {
			delete(a.rows, at)
		}
		return old
	})
}

// item is what is asked of one keeper for one row: an even part of what is needed, of those that answer.
func (h *Client) item(id uint32, n int, at rowID, r *holdRow, k int, answering []int) RequestItem {
	need := int(math.Ceil(r.need))
	want := need + 1 + int(2*math.Sqrt(r.need))
	place, of := slices.Index(answering, k), len(answering)
	if place < 0 { // it may come back at any time
		place, of = k, len(h.keepers)
	}
	place = (place + int(id) + n) % of // what does not divide is asked of another by each
	x := &r.loans[k]
	item := RequestItem{Agent: id, Fingerprint: h.prints[at.limit], Key: at.key, Need: GrantorShare(need, place, of), Desired: GrantorShare(want, place, of)}
	if x.haveOf == h.keepers[k].life {
		item.LastGrant, item.Used = x.have, x.used
	}
	return item
}

// HandleGrant takes a keeper's answer, and is what its agents may use from now on. An answer to no question that is out is
// not taken: it may be late by any time, or doubled; nor is an item that is older than one that was taken.
func (h *Client) HandleGrant(now time.Duration, keeper int, g *Grant) []AgentLeases {
	if g == nil || keeper < 0 || keeper >= len(h.keepers) {
		return nil
	}
	ask, ok := h.asks[g.Seq]
	if !ok || ask.keeper != keeper {
		return nil
	}
	delete(h.asks, g.Seq)
	s := &h.keepers[keeper]
	s.life, s.heard, s.at = g.RunID, true, now
	s.gap = min(2*max(s.gap, soonest), h.s.RenewInterval)
	var all []AgentLeases
	for _, item := range g.Items {
		n := slices.Index(h.prints, item.Fingerprint)
		if n < 0 || h.agents[item.Agent] == nil || h.agents[item.Agent].rows[rowID{n, item.Key}] == nil {
			continue
		}
		x := &h.agents[item.Agent].rows[rowID{n, item.Key}].loans[keeper]
		if x.life == g.RunID && item.Number <= x.number {
			continue
		}
		l := &h.s.Limits[n]
		if item.Amount > x.amount {
			s.gap = soonest
		}
		// From the moment at which it was asked for: the keeper counts from a later one.
		x.amount, x.until, x.number, x.life = max(0, item.Amount), ask.at+h.s.term(l.Kind), item.Number, g.RunID
		h.local++
		x.sent = append(x.sent, sentRight{h.local, g.RunID, item.Number})
		if len(x.sent) > 64 { // its agent does not hear: what it took is found again by what it takes next
			x.sent = x.sent[32:]
		}
		right := quota.Lease{Limit: l.Name, Key: item.Key, Grantor: h.s.Servers[keeper], Number: h.local, Amount: x.amount, Expires: x.until}
		if l.Kind.IsRate() {
			right.Span, right.StartWithin = h.s.window(l)
		}
		if at := slices.IndexFunc(all, func(g AgentLeases) bool { return g.Agent == item.Agent }); at >= 0 {
			all[at].Leases = append(all[at].Leases, right)
		} else {
			all = append(all, AgentLeases{item.Agent, []quota.Lease{right}})
		}
	}
	return all
}

// Agents are those that it asks for.
func (h *Client) Agents() []uint32 { return h.order }

// ClientLimitStatus is how one limit, or part of one, stands at this daemon, for operators.
type ClientLimitStatus struct {
	Limit, Key string
	Used       int // in flight, or begun in the last second, as agents last reported
	Rejected   int // in the last second
	Leases     []ClientLeaseStatus
}

// ClientLeaseStatus is what one keeper has lent.
type ClientLeaseStatus struct {
	Server    string
	Amount    int
	Remaining time.Duration // until the first of them lapses
}

// Status are of all limits, in their order.
func (h *Client) Status(now time.Duration) []ClientLimitStatus {
	sums := map[rowID]*ClientLimitStatus{}
	var order []rowID
	for _, id := range h.order {
		a := h.agents[id]
		for _, at := range a.order {
			r := a.rows[at]
			s := sums[at]
			if s == nil {
				s = &ClientLimitStatus{Limit: h.s.Limits[at.limit].Name, Key: at.key, Leases: make([]ClientLeaseStatus, len(h.keepers))}
				for k := range h.keepers {
					s.Leases[k].Server = h.s.Servers[k]
				}
				sums[at] = s
				order = append(order, at)
			}
			s.Used += r.used
			for _, t := range r.tried {
				if now-t.at < span {
					s.Rejected += t.turned
				}
			}
			for k, x := range r.loans {
				if left := x.until - now; left > 0 && x.amount > 0 {
					s.Leases[k].Amount += x.amount
					if s.Leases[k].Remaining == 0 || left < s.Leases[k].Remaining {
						s.Leases[k].Remaining = left
					}
				}
			}
		}
	}
	slices.SortFunc(order, func(a, b rowID) int { return cmp.Or(cmp.Compare(a.limit, b.limit), cmp.Compare(a.key, b.key)) })
	var all []ClientLimitStatus
	for _, at := range order {
		all = append(all, *sums[at])
	}
	return all
}
