package lease

import (
	"math"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// Client requests leases from servers for a daemon's agents, and passes on what they grant. Each agent counts what it
// uses in a ledger of its own (decide/quota), and reports. One goroutine owns a Client.
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
	seq               uint64          // of the last request
	leaseNumber       uint64          // of the last lease passed on: servers' numbers start anew with each of their runs
	pending           map[uint64]pendingRequest
}

// serverSession is what a client knows of a server.
type serverSession struct {
	runID          uint64
	hasResponded   bool
	lastResponse   time.Duration
	lastRequest    time.Duration
	nextRequest    time.Duration
	promptInterval time.Duration // between two requests that a need prompted: longer while the server has no more to grant
}

// pendingRequest is a request without a response yet.
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
	leases      []clientLease // by server
	need        float64       // what it uses or would use, smoothed
	used        int           // as last reported
	attempts    []attempts    // within the last rateWindow
	lastNeed    time.Duration // it last needed anything
	estimatedAt time.Duration
}

// attempts counts what an agent reported at once.
type attempts struct {
	at                time.Duration
	started, rejected int
}

// clientLease is what a server granted, and what of it the agent has adopted.
type clientLease struct {
	amount      int
	expires     time.Duration
	serverRunID uint64
	number      uint64 // of the last grant

	adoptedNumber uint64 // the agent goes by this grant, or a later one
	adoptedRunID  uint64 // the server's run that it is of
	used          int    // when the agent adopted it
	issued        []issuedLease
}

// issuedLease maps the number of a lease, as the agent knows it, to the server's.
type issuedLease struct {
	leaseNumber uint64
	serverRunID uint64
	grantNumber uint64
}

// AgentLeases are leases for one agent.
type AgentLeases struct {
	Agent  uint32
	Leases []quota.Lease
}

// OutgoingRequest is a request to the server of a position in Settings.Servers.
type OutgoingRequest struct {
	Server  int
	Request *Request
}

const (
	// idleRenewals is how many renew intervals a client waits whose agents use nothing.
	idleRenewals = 4
	// minPromptInterval is the time between two requests to a server that a need prompted. Smaller follows a burst faster
	// and costs messages.
	minPromptInterval = 50 * time.Millisecond
	// needSmoothing is the time constant with which the need of a limit in flight decreases, which varies by chance. Larger
	// keeps leases for longer that are not needed any more.
	needSmoothing = 200 * time.Millisecond
	// rowIdleTimeout is the time after which no lease is requested for a part that nobody uses. It is forgotten after
	// twice that.
	rowIdleTimeout = 30 * time.Second
	// maxIssued is how many issued leases are remembered of an agent that adopts none, and retainedIssued how many of these
	// remain then: the agent adopts a later one.
	maxIssued      = 64
	retainedIssued = 32
	// minNeed is the need below which an agent counts as needing nothing.
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

// ApplySettings continues with other limits, and keeps the leases of those that are unchanged. It reports false, and
// changes nothing, if servers or terms differ: that takes another client.
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

// renumberLimits moves rows to their limits' new indexes, and drops those of limits that have none.
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

// AddAgent requests leases for an agent too. An agent's number is not used again in a client's run.
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

// addUnpartitionedRows adds a row for each limit that is not partitioned: leases for these are requested before any use.
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

// RemoveAgent forgets an agent that has ended with nothing in flight. It returns requests that release its leases to
// others at once; where these are lost, the leases expire.
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

// usedAtEnd is what may still count of an agent that has ended: of rates, all that it last had.
func (l *clientLease) usedAtEnd(kind quota.Kind) int {
	if !kind.IsRate() {
		return 0
	}
	return max(l.used, l.amount)
}

// newRequests returns requests with items, as many as these need.
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

// promptRequest has a server asked for leases soon.
func (c *Client) promptRequest(server int, now time.Duration) {
	s := &c.servers[server]
	s.nextRequest = min(s.nextRequest, max(now, s.lastRequest+max(minPromptInterval, s.promptInterval)))
}

// Requests returns what is to be sent now.
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

// respondingServers returns the servers that responded lately, or all if none did.
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

// dropOldPending forgets requests whose response would grant nothing any more.
func (c *Client) dropOldPending(now time.Duration) {
	for seq, p := range c.pending {
		if now-p.sentAt > c.settings.MaxAttemptTime+c.settings.Term {
			delete(c.pending, seq)
		}
	}
}

// requestItems returns what is requested of a server for all agents, and whether any of these uses anything.
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
			// What does not divide evenly is requested of another server by each agent and row.
			c.fillItem(&item, r, server, responding, int(agentID)+index)
			items = append(items, item)
		}
		a.dropIdleRows(now)
	}
	return items, busy
}

// fillItem requests an even part of what is needed, of the servers that respond.
func (c *Client) fillItem(item *RequestItem, r *clientRow, server int, responding []int, rotation int) {
	need := int(math.Ceil(r.need))
	desired := need + 1 + int(2*math.Sqrt(r.need))
	position := slices.Index(responding, server)
	servers := len(responding)
	if position < 0 { // it may respond again at any time
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

// dropIdleRows forgets parts that nobody used for long.
func (a *agent) dropIdleRows(now time.Duration) {
	a.order = slices.DeleteFunc(a.order, func(id rowID) bool {
		idle := id.key != "" && now-a.rows[id].lastNeed > 2*rowIdleTimeout
		if idle {
			delete(a.rows, id)
		}
		return idle
	})
}

// HandleGrant takes a server's response, and returns what its agents may use from now on. A response to no pending
// request is ignored: it may be of any age, or a duplicate. So is an item that is older than one that was taken.
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

// applyGrant records one item of a response, and returns the agent's lease: it replaces the one from the same server, also
// by an amount of 0, as from a server that has just started. It reports false for an item that is ignored.
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
	granted.expires = request.sentAt + c.settings.clientTerm(l.Kind) // the server counts from a later moment
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

// issue remembers a lease that is passed on.
func (l *clientLease) issue(issued issuedLease) {
	l.issued = append(l.issued, issued)
	if len(l.issued) > maxIssued {
		l.issued = l.issued[retainedIssued:]
	}
}

// Agents returns the agents that leases are requested for, in the order in which they were added.
func (c *Client) Agents() []uint32 { return c.agentIDs }
