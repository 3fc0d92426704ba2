package lease

import (
	"math"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// Client requests leases from servers for a daemon's agents, and passes the granted leases to them. Each agent counts
// what it uses in a ledger of its own (decide/quota), and reports it. One goroutine owns a Client.
type Client struct {
	settings          Settings
	name              string
	runID             uint64
	fingerprint       uint64
	limitFingerprints []uint64
	agents            map[uint32]*agent
	agentIDs          []uint32        // in the order in which they were added
	removed           map[uint32]bool // agents that have ended
	servers           []serverSession // by position in Settings.Servers
	seq               uint64          // Seq of the last request
	// leaseNumber is the number of the last lease passed to an agent. The client numbers leases itself, because a
	// server's numbers begin again with each of its runs.
	leaseNumber uint64
	pending     map[uint64]pendingRequest // requests without a response, by Seq
}

// serverSession is the state of a client's exchanges with one server.
type serverSession struct {
	runID        uint64
	hasResponded bool
	lastResponse time.Duration
	lastRequest  time.Duration
	nextRequest  time.Duration
	// promptInterval is the shortest time between two requests that are sent early because of a need. It grows while the
	// server grants no larger amounts.
	promptInterval time.Duration
}

// pendingRequest is a request that has no response yet.
type pendingRequest struct {
	server int
	sentAt time.Duration
}

// agent holds the rows of one agent.
type agent struct {
	rows  map[rowID]*clientRow
	order []rowID
}

// rowID identifies a limit, or one part of a partitioned limit.
type rowID struct {
	limit int
	key   string
}

// clientRow is one limit, or one part of it, at one agent.
type clientRow struct {
	leases      []clientLease // by position of the server
	need        float64       // smoothed amount that the agent uses or would use
	used        int           // amount in use in the last report
	attempts    []attempts    // reported within the last rateWindow
	lastNeed    time.Duration // when the agent last needed an amount above minNeed
	estimatedAt time.Duration
}

// attempts counts the attempts in one report of an agent.
type attempts struct {
	at                time.Duration
	started, rejected int
}

// clientLease is the last grant of a server, and the grant that the agent has adopted.
type clientLease struct {
	amount      int
	expires     time.Duration
	serverRunID uint64
	number      uint64 // number of the last grant

	adoptedNumber uint64 // the agent uses this grant, or a later one
	adoptedRunID  uint64 // run of the server that made this grant
	used          int    // amount that the agent used when it adopted this grant
	issued        []issuedLease
}

// issuedLease maps the number of a lease that was passed to an agent to the number of the server's grant.
type issuedLease struct {
	leaseNumber uint64
	serverRunID uint64
	grantNumber uint64
}

// AgentLeases contains the new leases of one agent, each replaces the agent's earlier lease of the same limit, part
// and server.
type AgentLeases struct {
	Agent  uint32
	Leases []quota.Lease
}

// OutgoingRequest is a request to the server at a position in Settings.Servers.
type OutgoingRequest struct {
	Server  int
	Request *Request
}

const (
	// idleRenewals is the number of renew intervals between two requests of a client whose agents are all idle.
	idleRenewals = 4
	// minPromptInterval is the smallest promptInterval. A smaller value follows a burst faster, and costs more messages.
	minPromptInterval = 50 * time.Millisecond
	// needSmoothing is the time constant with which the need of a limit in flight decreases, because the number of
	// attempts in flight varies by chance. With a larger value, leases that are no longer needed are kept for longer.
	needSmoothing = 200 * time.Millisecond
	// rowIdleTimeout is the time after which no lease is requested for an unused part of a partitioned limit. The part is
	// dropped after twice this time.
	rowIdleTimeout = 30 * time.Second
	// maxIssued bounds the issued leases that are kept for an agent that adopts none.
	maxIssued = 64
	// droppedIssued is the number of the oldest issued leases that are dropped above maxIssued. The agent can still
	// adopt a later one.
	droppedIssued = 32
	// minNeed is the need up to which an agent's need counts as 0.
	minNeed = 0.5
)

// NewClient returns a client without leases, or an error if a setting is out of its range.
func NewClient(s Settings, name string, runID uint64) (*Client, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Client{
		settings:          s,
		name:              name,
		runID:             runID,
		fingerprint:       s.Fingerprint(),
		limitFingerprints: s.limitFingerprints(),
		agents:            map[uint32]*agent{},
		removed:           map[uint32]bool{},
		servers:           make([]serverSession, len(s.Servers)),
		pending:           map[uint64]pendingRequest{},
	}, nil
}

// ApplySettings replaces the limits, and keeps the leases of unchanged limits. If servers or terms differ, it makes no
// change and returns false: such settings need a new client.
func (c *Client) ApplySettings(s Settings) bool {
	s, err := s.withDefaults()
	if err != nil || s.Fingerprint() != c.fingerprint {
		return false
	}
	previous := c.limitFingerprints
	c.settings = s
	c.limitFingerprints = s.limitFingerprints()
	newIndex := func(limit int) int { return slices.Index(c.limitFingerprints, previous[limit]) }
	for _, a := range c.agents {
		a.renumberLimits(newIndex)
	}
	for _, id := range c.agentIDs {
		c.addUnpartitionedRows(0, id)
	}
	return true
}

// renumberLimits moves rows to their limits' new indexes, and drops the rows of limits that no longer exist.
func (a *agent) renumberLimits(newIndex func(limit int) int) {
	rows := map[rowID]*clientRow{}
	var order []rowID
	for _, id := range a.order {
		limit := newIndex(id.limit)
		if limit < 0 {
			continue
		}
		renumbered := rowID{limit, id.key}
		rows[renumbered] = a.rows[id]
		order = append(order, renumbered)
	}
	a.rows = rows
	a.order = order
}

// AddAgent starts to request leases for an agent. An agent's ID must not be reused during a run of the client.
func (c *Client) AddAgent(now time.Duration, id uint32) {
	if c.agents[id] != nil {
		return
	}
	c.agents[id] = &agent{rows: map[rowID]*clientRow{}}
	c.agentIDs = append(c.agentIDs, id)
	c.addUnpartitionedRows(now, id)
	for server := range c.servers {
		c.promptRequest(server, now)
	}
}

// addUnpartitionedRows adds a row for each limit that is not partitioned, so that leases are requested for these
// limits before their first use.
func (c *Client) addUnpartitionedRows(now time.Duration, id uint32) {
	for i, l := range c.settings.Limits {
		if l.Partition == quota.NotPartitioned {
			c.row(now, id, rowID{i, ""})
		}
	}
}

func (c *Client) row(now time.Duration, agentID uint32, id rowID) *clientRow {
	a := c.agents[agentID]
	r := a.rows[id]
	if r == nil {
		r = &clientRow{leases: make([]clientLease, len(c.settings.Servers)), lastNeed: now}
		a.rows[id] = r
		a.order = append(a.order, id)
	}
	return r
}

// RemoveAgent removes an agent that has ended and has no attempts in flight. It returns requests that release the
// agent's leases to others at once. If such a request is lost, the leases expire.
func (c *Client) RemoveAgent(id uint32) []OutgoingRequest {
	a := c.agents[id]
	if a == nil {
		return nil
	}
	var all []OutgoingRequest
	for server := range c.servers {
		var items []RequestItem
		for _, row := range a.order {
			lease := &a.rows[row].leases[server]
			if lease.number == 0 {
				continue
			}
			items = append(items, RequestItem{
				Agent:       id,
				Fingerprint: c.limitFingerprints[row.limit],
				Key:         row.key,
				LastGrant:   releasedGrants,
				Used:        lease.usedAtEnd(c.settings.Limits[row.limit].Kind),
			})
		}
		all = append(all, c.newRequests(server, items)...)
	}
	delete(c.agents, id)
	c.removed[id] = true
	c.agentIDs = slices.DeleteFunc(c.agentIDs, func(o uint32) bool { return o == id })
	return all
}

// usedAtEnd returns the amount that may still count for an agent that has ended: for a rate, all that it last had.
func (l *clientLease) usedAtEnd(kind quota.Kind) int {
	if !kind.IsRate() {
		return 0
	}
	return max(l.used, l.amount)
}

// newRequests returns requests for the items, with at most MaxItems in each.
func (c *Client) newRequests(server int, items []RequestItem) []OutgoingRequest {
	var all []OutgoingRequest
	for part := range slices.Chunk(items, MaxItems) {
		c.seq++
		all = append(all, OutgoingRequest{server, &Request{
			From:        c.name,
			RunID:       c.runID,
			Fingerprint: c.fingerprint,
			Seq:         c.seq,
			ServerRunID: c.servers[server].runID,
			Items:       part,
		}})
	}
	return all
}

// Next returns the time by which Requests has to be called.
func (c *Client) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, s := range c.servers {
		next = min(next, s.nextRequest)
	}
	return next
}

// promptRequest schedules the next request to a server as early as promptInterval allows.
func (c *Client) promptRequest(server int, now time.Duration) {
	s := &c.servers[server]
	s.nextRequest = min(s.nextRequest, max(now, s.lastRequest+max(minPromptInterval, s.promptInterval)))
}

// Requests returns the requests that have to be sent now.
func (c *Client) Requests(now time.Duration) []OutgoingRequest {
	responding := c.respondingServers(now)
	var all []OutgoingRequest
	for server := range c.servers {
		s := &c.servers[server]
		if len(c.agents) == 0 {
			s.nextRequest = now + idleRenewals*c.settings.RenewInterval
			continue
		}
		if now < s.nextRequest {
			continue
		}
		items, busy := c.requestItems(now, server, responding)
		s.lastRequest = now
		s.nextRequest = now + c.settings.RenewInterval
		if !busy {
			s.nextRequest = now + idleRenewals*c.settings.RenewInterval
		}
		for _, r := range c.newRequests(server, items) {
			c.pending[r.Request.Seq] = pendingRequest{server, now}
			all = append(all, r)
		}
	}
	if len(all) > 0 {
		c.dropOldPending(now)
	}
	return all
}

// respondingServers returns the positions of the servers that responded within the last half term, or of all servers
// if none did.
func (c *Client) respondingServers(now time.Duration) []int {
	var responding, all []int
	for server, s := range c.servers {
		all = append(all, server)
		if s.hasResponded && now-s.lastResponse < c.settings.Term/2 {
			responding = append(responding, server)
		}
	}
	if len(responding) == 0 {
		return all
	}
	return responding
}

// dropOldPending drops requests that are older than the longest lease: a lease granted by their responses would have
// expired.
func (c *Client) dropOldPending(now time.Duration) {
	for seq, p := range c.pending {
		if now-p.sentAt > c.settings.MaxAttemptTime+c.settings.Term {
			delete(c.pending, seq)
		}
	}
}

// requestItems returns the items to request from a server for all agents, and whether any agent uses an amount or has
// recently started or rejected attempts.
func (c *Client) requestItems(now time.Duration, server int, responding []int) (items []RequestItem, busy bool) {
	for _, agentID := range c.agentIDs {
		a := c.agents[agentID]
		for index, id := range a.order {
			r := a.rows[id]
			if id.key != "" && now-r.lastNeed > rowIdleTimeout {
				continue
			}
			busy = busy || r.used > 0 || len(r.attempts) > 0
			item := RequestItem{Agent: agentID, Fingerprint: c.limitFingerprints[id.limit], Key: id.key}
			// The rotation lets each agent and row request the remainder of an uneven division from another server.
			c.fillItem(&item, r, server, responding, int(agentID)+index)
			items = append(items, item)
		}
		a.dropIdleRows(now)
	}
	return items, busy
}

// fillItem sets the amounts of an item such that the need is divided evenly among the responding servers.
func (c *Client) fillItem(item *RequestItem, r *clientRow, server int, responding []int, rotation int) {
	need := int(math.Ceil(r.need))
	desired := need + 1 + int(2*math.Sqrt(r.need))
	position := slices.Index(responding, server)
	servers := len(responding)
	if position < 0 { // the server does not respond, but may do so again at any time
		position = server
		servers = len(c.servers)
	}
	position = (position + rotation) % servers
	item.Need = ServerShare(need, position, servers)
	item.Desired = ServerShare(desired, position, servers)
	if lease := &r.leases[server]; lease.adoptedRunID == c.servers[server].runID {
		item.LastGrant = lease.adoptedNumber
		item.Used = lease.used
	}
}

// dropIdleRows drops the parts that the agent has not needed for twice rowIdleTimeout.
func (a *agent) dropIdleRows(now time.Duration) {
	a.order = slices.DeleteFunc(a.order, func(id rowID) bool {
		idle := id.key != "" && now-a.rows[id].lastNeed > 2*rowIdleTimeout
		if idle {
			delete(a.rows, id)
		}
		return idle
	})
}

// HandleGrant applies a server's response, and returns the leases that agents may use from now on. It ignores a
// response without a pending request, since that response may be arbitrarily old or a duplicate. It also ignores an
// item that is not newer than the last one applied.
func (c *Client) HandleGrant(now time.Duration, server int, g *Grant) []AgentLeases {
	if g == nil || server < 0 || server >= len(c.servers) {
		return nil
	}
	request, ok := c.pending[g.Seq]
	if !ok || request.server != server {
		return nil
	}
	delete(c.pending, g.Seq)
	s := &c.servers[server]
	s.runID = g.RunID
	s.hasResponded = true
	s.lastResponse = now
	s.promptInterval = min(2*max(s.promptInterval, minPromptInterval), c.settings.RenewInterval)
	var all []AgentLeases
	for _, item := range g.Items {
		lease, ok := c.applyGrant(request, g.RunID, item)
		if !ok {
			continue
		}
		if at := slices.IndexFunc(all, func(l AgentLeases) bool { return l.Agent == item.Agent }); at >= 0 {
			all[at].Leases = append(all[at].Leases, lease)
		} else {
			all = append(all, AgentLeases{item.Agent, []quota.Lease{lease}})
		}
	}
	return all
}

// applyGrant records one item of a response, and returns the agent's lease. The lease replaces the one from the same
// server, even if its amount is 0, as from a server that has just started. It returns false for an item that it
// ignores.
func (c *Client) applyGrant(request pendingRequest, serverRunID uint64, item GrantItem) (quota.Lease, bool) {
	limit := slices.Index(c.limitFingerprints, item.Fingerprint)
	if limit < 0 || c.agents[item.Agent] == nil || c.agents[item.Agent].rows[rowID{limit, item.Key}] == nil {
		return quota.Lease{}, false
	}
	granted := &c.agents[item.Agent].rows[rowID{limit, item.Key}].leases[request.server]
	if granted.serverRunID == serverRunID && item.Number <= granted.number {
		return quota.Lease{}, false
	}
	if item.Amount > granted.amount {
		c.servers[request.server].promptInterval = minPromptInterval
	}
	l := &c.settings.Limits[limit]
	granted.amount = max(0, item.Amount)
	granted.expires = request.sentAt + c.settings.clientTerm(l.Kind) // the server counts the term from a later moment
	granted.number = item.Number
	granted.serverRunID = serverRunID
	c.leaseNumber++
	granted.issue(issuedLease{c.leaseNumber, serverRunID, item.Number})
	lease := quota.Lease{
		Limit:   l.Name,
		Key:     item.Key,
		Grantor: c.settings.Servers[request.server],
		Number:  c.leaseNumber,
		Amount:  granted.amount,
		Expires: granted.expires,
	}
	if l.Kind.IsRate() {
		lease.Span, lease.StartWithin = c.settings.rateSpan(l)
	}
	return lease, true
}

// issue records a lease that is passed to the agent.
func (l *clientLease) issue(issued issuedLease) {
	l.issued = append(l.issued, issued)
	if len(l.issued) > maxIssued {
		l.issued = l.issued[droppedIssued:]
	}
}

// Agents returns the IDs of the agents that leases are requested for, in the order in which they were added.
func (c *Client) Agents() []uint32 { return c.agentIDs }
