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
	lastTick time.Duration // latest time at which Tick was called
	grants   uint64        // number of the last grant
	limits   []*serverLimit
}

// serverLimit is the state of one limit at a server.
type serverLimit struct {
	Limit
	settings    Settings // settings of the server
	position    int      // position of the server
	fingerprint uint64
	share       int           // this server's share of the total
	grantsFrom  time.Duration // the server grants no leases before this time
	rows        map[string]*serverRow
}

// serverRow is a limit, or one part of a partitioned limit.
type serverRow struct {
	holders      map[holderID]*holder
	order        []holderID    // sorted, since results must not depend on the order of a map
	refreshedAt  time.Duration // 0: never
	leased       int           // amount that all holders may have in use, kept up to date since refreshedAt
	overcommit   float64       // fraction by which a soft limit is leased beyond the share
	overcommitAt time.Duration // when overcommit was last adjusted
}

// holderID identifies one agent of one run of a client.
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
	used        int    // amount in use in the last report
	seq         uint64 // Seq of its last request; an earlier request that arrives later is outdated
	requestedAt time.Duration
	leased      int // its part of serverRow.leased
	share       int // amount that it may have now
	lastAmount  int // amount of the last grant
}

// grantedLease is an amount that counts as leased: a grant, or an amount that is reported to be in use.
type grantedLease struct {
	Number  uint64        `cbor:"1,keyasint,omitempty"` // 0: the amount is reported to be in use
	Amount  int           `cbor:"2,keyasint,omitempty"`
	Expires time.Duration `cbor:"3,keyasint,omitempty"`
}

const (
	// maxRows is the largest number of parts of a partitioned limit that a server keeps. It grants no leases for further
	// parts.
	maxRows = 4096
	// fewHolders is the number of holders up to which a row is refreshed with each request. A larger number costs
	// processor time; a smaller one delays the use of amounts that other holders release.
	fewHolders = 32
	// refreshInterval is the time between two refreshes of a row with more than fewHolders holders.
	refreshInterval = 25 * time.Millisecond
	// holderIdleTimeout is the time after which a holder that has no lease and requests none is dropped.
	holderIdleTimeout = 10 * time.Second
	// maxRequestItems is the largest number of items in a request. A request with more items is ignored.
	maxRequestItems = 4 * MaxItems
)

// NewServer returns a server that has granted no leases in this run, or an error if a setting is out of its range or
// the name is not among Settings.Servers.
func NewServer(s Settings, name string, runID uint64) (*Server, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	server := &Server{settings: s, name: name, runID: runID, position: slices.Index(s.Servers, name)}
	if server.position < 0 {
		return nil, fmt.Errorf("limits: %q is not one of the keepers", name)
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

// Tick has to be called regularly, so that a server detects that it was paused. Another process may have been started
// in its place meanwhile, and may have granted leases, so a server that was paused waits like one that has just
// started. While it waits it responds with amounts of 0, which replace the leases that clients have from its earlier
// run.
func (s *Server) Tick(now time.Duration) {
	if !s.started || now-s.lastTick > s.settings.Term/2 {
		for _, l := range s.limits {
			l.grantsFrom = max(l.grantsFrom, now+s.settings.serverTerm(l.Kind))
		}
	}
	s.started = true
	s.lastTick = max(now, s.lastTick)
}

// HandleRequest handles a client's request and returns the response. It returns nil for a request that is invalid or
// comes from a client with other settings.
func (s *Server) HandleRequest(now time.Duration, request *Request) *Grant {
	s.Tick(now)
	if request == nil || request.From == "" || request.Fingerprint != s.settings.Fingerprint() || len(request.Items) > maxRequestItems {
		return nil
	}
	grant := &Grant{From: s.name, RunID: s.runID, Seq: request.Seq}
	for _, item := range request.Items {
		if request.ServerRunID != s.runID && item.LastGrant != releasedGrants {
			// The grants of an earlier run have expired.
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

// rowFor returns the row of a key for a holder's request. It returns nil if the request is outdated, or if the limit
// has no such part.
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
	number uint64 // number of the grant that answers the request
	item   *RequestItem
}

// grant records what a holder needs and uses, and grants it the amount that it may have from now on.
func (r *serverRow) grant(now time.Duration, l *serverLimit, request leaseRequest) (amount int) {
	h := r.holder(request.id)
	h.need = max(0, request.item.Need)
	h.desired = max(0, request.item.Need, request.item.Desired)
	h.seq = request.seq
	h.requestedAt = now
	h.used = request.item.Used
	h.dropSupersededGrants(now, l, request.item)
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

// stableShare returns the holder's share. If the last granted amount is only a little larger and the holder needs it,
// it returns that amount instead, because an amount that moves to another holder is unused for up to a second.
func (h *holder) stableShare() int {
	const maxExcessShare = 8 // an eighth of the last amount
	excess := h.lastAmount - h.share
	if excess > 0 && excess <= 1+h.lastAmount/maxExcessShare && h.share > 0 && h.need >= h.lastAmount {
		return h.lastAmount
	}
	return h.share
}

// dropSupersededGrants drops the grants that a holder no longer uses because it has adopted a later one. The amount
// that it used at that moment may still be in use, so it counts as leased: attempts in flight until the holder
// reports otherwise or the lease would have ended, attempts of a rate for one more second.
func (h *holder) dropSupersededGrants(now time.Duration, l *serverLimit, item *RequestItem) {
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

// usedUntil returns the time until which the amount that a holder reports as used counts as leased.
func (l *serverLimit) usedUntil(now time.Duration, item *RequestItem, lastDropped time.Duration) time.Duration {
	switch {
	case l.Kind.IsRate():
		return now + l.settings.elapsedOnAnyClock(rateWindow+startWithin)
	case item.LastGrant == releasedGrants:
		return lastDropped
	}
	// An attempt, such as an upload, may be in flight for longer than any lease. It counts as long as its holder
	// reports it.
	return now + l.settings.serverTerm(l.Kind)
}

// maxInUse returns the largest amount that a holder may have in use.
func (h *holder) maxInUse(now time.Duration) int {
	highest := 0
	for _, g := range h.grants {
		if now < g.Expires {
			highest = max(highest, g.Amount)
		}
	}
	return highest
}

// refresh sums up the leased amounts, drops idle holders, and divides the server's share again.
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
