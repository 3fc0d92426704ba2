package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// Server leases its share of each limit. One goroutine owns it.
type Server struct {
	settings Settings
	name     string
	runID    uint64
	position int           // in Settings.Servers
	started  bool          // Tick was called
	lastTick time.Duration // the latest
	grants   uint64        // the number of the last grant
	limits   []*serverLimit
}

// serverLimit is one limit at its server.
type serverLimit struct {
	Limit
	settings    Settings // the server's
	position    int      // the server's
	fingerprint uint64
	share       int           // of the total, this server's
	grantsFrom  time.Duration // nothing is granted before
	rows        map[string]*serverRow
}

// serverRow is a limit, or one part of a partitioned limit.
type serverRow struct {
	holders      map[holderID]*holder
	order        []holderID    // ascending: nothing may depend on the order of a map
	refreshedAt  time.Duration // 0: never
	leased       int           // what all holders may have in use: as of refreshedAt, and what changed since
	overcommit   float64       // share by which a soft limit is leased beyond its figure
	overcommitAt time.Duration // it last changed
}

// holderID identifies one agent of one client's run.
type holderID struct {
	name  string
	runID uint64
	agent uint32
}

func compareHolders(a, b holderID) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.runID, b.runID), cmp.Compare(a.agent, b.agent))
}

// holder is one agent of a client.
type holder struct {
	grants      []grantedLease // ascending by number; the last one is current
	need        int
	desired     int
	used        int    // as last reported
	seq         uint64 // of its last request: what an earlier one that arrives later reports is outdated
	requestedAt time.Duration
	leased      int // its part of serverRow.leased
	share       int // that it may have now
	lastAmount  int // last granted
}

// grantedLease is an amount that counts as leased: a grant, or what is reported to be in use.
type grantedLease struct {
	Number  uint64        `cbor:"1,keyasint,omitempty"` // 0: in use
	Amount  int           `cbor:"2,keyasint,omitempty"`
	Expires time.Duration `cbor:"3,keyasint,omitempty"`
}

const (
	// maxRows is how many parts of a partitioned limit a server keeps. It grants nothing of further ones.
	maxRows = 4096
	// fewHolders is up to how many holders a row is refreshed with each request; with more, every refreshInterval. Larger
	// values cost processor time, smaller ones delay what others release.
	fewHolders      = 32
	refreshInterval = 25 * time.Millisecond
	// holderIdleTimeout is when a holder is forgotten that has no lease and requests none.
	holderIdleTimeout = 10 * time.Second
	// maxRequestItems is how many items a request may have: larger ones are ignored.
	maxRequestItems = 4 * MaxItems
)

// NewServer returns a server that has granted nothing in this run, or an error if a setting is out of its range or the
// name is not among Settings.Servers.
func NewServer(s Settings, name string, runID uint64) (*Server, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	server := &Server{settings: s, name: name, runID: runID, position: slices.Index(s.Servers, name)}
	if server.position < 0 {
		return nil, fmt.Errorf("limits: %q is no keeper", name)
	}
	for _, l := range s.Limits {
		server.limits = append(server.limits, &serverLimit{
			Limit:       l,
			settings:    s,
			position:    server.position,
			fingerprint: l.fingerprint(),
			share:       ServerShare(l.Total, server.position, len(s.Servers)),
			rows:        map[string]*serverRow{},
		})
	}
	return server, nil
}

// Tick has to be called regularly: by it a server finds out that it was paused. Another process may have been started in
// its place meanwhile, and may have granted leases, so it waits like one that has just started. While it waits it responds
// with amounts of 0, which replace the leases that clients have of its earlier run.
func (s *Server) Tick(now time.Duration) {
	if !s.started || now-s.lastTick > s.settings.Term/2 {
		for _, l := range s.limits {
			l.grantsFrom = max(l.grantsFrom, now+s.settings.serverTerm(l.Kind))
		}
	}
	s.started = true
	s.lastTick = max(now, s.lastTick)
}

// HandleRequest takes a client's request, and returns the response; nil: none.
func (s *Server) HandleRequest(now time.Duration, request *Request) *Grant {
	s.Tick(now)
	if request == nil || request.From == "" || request.Fingerprint != s.settings.Fingerprint() || len(request.Items) > maxRequestItems {
		return nil
	}
	grant := &Grant{From: s.name, RunID: s.runID, Seq: request.Seq}
	for _, item := range request.Items {
		if request.ServerRunID != s.runID && item.LastGrant != releasedGrants { // of an earlier run: its grants have expired
			item.LastGrant = 0
			item.Used = 0
		}
		for _, l := range s.limits {
			if l.fingerprint != item.Fingerprint {
				continue
			}
			id := holderID{request.From, request.RunID, item.Agent}
			r := l.rowFor(item.Key, id, request.Seq)
			if r == nil {
				continue
			}
			s.grants++
			amount := r.grant(now, l, leaseRequest{id, request.Seq, s.grants, &item})
			grant.Items = append(grant.Items, GrantItem{item.Agent, item.Fingerprint, item.Key, s.grants, amount})
		}
	}
	return grant
}

// rowFor returns the row of a key for a holder's request; nil if the request is outdated, or the limit has no such part.
func (l *serverLimit) rowFor(key string, id holderID, seq uint64) *serverRow {
	r := l.rows[key]
	if r != nil {
		if h := r.holders[id]; h != nil && seq <= h.seq {
			return nil
		}
		return r
	}
	if len(l.rows) >= maxRows || l.Partition == quota.NotPartitioned && key != "" {
		return nil
	}
	r = &serverRow{holders: map[holderID]*holder{}}
	l.rows[key] = r
	return r
}

// leaseRequest is one item of a request.
type leaseRequest struct {
	id     holderID
	seq    uint64
	number uint64 // of the grant that answers it
	item   *RequestItem
}

// grant notes what a holder has now, and grants it what it may have from now on.
func (r *serverRow) grant(now time.Duration, l *serverLimit, request leaseRequest) (amount int) {
	h := r.holder(request.id)
	h.need = max(0, request.item.Need)
	h.desired = max(0, request.item.Need, request.item.Desired)
	h.seq = request.seq
	h.requestedAt = now
	h.used = request.item.Used
	h.settle(now, l, request.item)
	if len(r.order) <= fewHolders || now-r.refreshedAt >= refreshInterval || r.refreshedAt == 0 {
		r.refresh(now, l)
	}
	if now >= l.grantsFrom && request.item.LastGrant != releasedGrants {
		available := l.share + l.maxOvercommit(l.share) - (r.leased - h.leased)
		amount = max(0, min(h.stableShare(), available))
	}
	h.lastAmount = amount
	h.grants = append(h.grants, grantedLease{request.number, amount, now + l.settings.serverTerm(l.Kind)})
	previous := h.leased
	h.leased = h.maxInUse(now)
	r.leased += h.leased - previous
	return amount
}

func (r *serverRow) holder(id holderID) *holder {
	h := r.holders[id]
	if h == nil {
		h = &holder{}
		r.holders[id] = h
		at, _ := slices.BinarySearchFunc(r.order, id, compareHolders)
		r.order = slices.Insert(r.order, at, id)
	}
	return h
}

// stableShare returns the holder's share, or what it had last where that is hardly more and it needs it: what changes
// hands is unused for up to a second.
func (h *holder) stableShare() int {
	const maxExcessShare = 8 // an eighth of the last amount
	excess := h.lastAmount - h.share
	if excess > 0 && excess <= 1+h.lastAmount/maxExcessShare && h.share > 0 && h.need >= h.lastAmount {
		return h.lastAmount
	}
	return h.share
}

// settle drops the grants that a holder does not go by any more, because it has adopted a later one. What it used at that
// moment may still be in use: in flight until it reports otherwise or its lease would have ended; begun within a second,
// for a second.
func (h *holder) settle(now time.Duration, l *serverLimit, item *RequestItem) {
	retained := h.grants[:0]
	lastDropped := time.Duration(0)
	for _, g := range h.grants {
		switch {
		case now >= g.Expires:
		case g.Number >= item.LastGrant && item.LastGrant != releasedGrants:
			retained = append(retained, g)
		default:
			lastDropped = max(lastDropped, g.Expires)
		}
	}
	if item.Used > 0 && item.LastGrant > 0 {
		used := grantedLease{Amount: item.Used, Expires: l.usedUntil(now, item, lastDropped)}
		if now < used.Expires {
			retained = append([]grantedLease{used}, retained...)
		}
	}
	h.grants = retained
}

// usedUntil returns until when what a holder reports as used counts as leased.
func (l *serverLimit) usedUntil(now time.Duration, item *RequestItem, lastDropped time.Duration) time.Duration {
	switch {
	case l.Kind.IsRate():
		return now + l.settings.elapsedOnAnyClock(rateWindow+startWithin)
	case item.LastGrant == releasedGrants:
		return lastDropped
	}
	// It may be in flight for longer than any lease, such as an upload, while its holder reports it.
	return now + l.settings.serverTerm(l.Kind)
}

// maxInUse returns the most that a holder may have in use.
func (h *holder) maxInUse(now time.Duration) int {
	highest := 0
	for _, g := range h.grants {
		if now < g.Expires {
			highest = max(highest, g.Amount)
		}
	}
	return highest
}

// refresh sums up what is leased, forgets idle holders, and divides the server's share anew.
func (r *serverRow) refresh(now time.Duration, l *serverLimit) {
	r.refreshedAt = max(now, 1)
	r.leased = 0
	r.order = slices.DeleteFunc(r.order, func(id holderID) bool {
		h := r.holders[id]
		h.leased = h.maxInUse(now)
		r.leased += h.leased
		idle := h.leased == 0 && now-h.requestedAt > holderIdleTimeout
		if idle {
			delete(r.holders, id)
		}
		return idle
	})
	r.divide(now, l)
}
