// Package ejection implements outlier ejection that the members of a fleet agree on. Members exchange the outcomes
// that their own agents observed at servers. From the reports of several members, each member decides independently
// which servers its agents avoid. The rules follow Envoy's outlier detection (consecutive failures, success rate,
// max_ejection_percent, growing ejection time), with evidence pooled over members. As in Lifeguard, a member first
// considers its own link as the cause.
//
// A Member holds all state, in memory only. A single goroutine calls Step and Next (the transport's loop, or a
// simulation). The package has no clock, socket, goroutine or global state, and draws random numbers only from its
// seed: Step takes the time and events, and returns actions (events.go).
//
// Evidence (outcomes.go, report.go) is counted by the member that observed it and forwarded unchanged, so that the
// evidence of one origin counts as one report, even if ten members forward it. Members poll for evidence (poll.go,
// response.go). The age of evidence is at most the age stated in the response plus the time since the poll, whatever
// the delays in the network. Evidence older than Settings.MaxEvidenceAge is ignored.
//
// Reports about a server go to the subscribers of its list (subscription.go). Isolated failures, which occur in normal
// operation, go only to the server's three collectors, which count its baseline failure rate (baseline.go,
// collectors.go).
//
// A server is ejected when several members report it whose other servers respond (detect.go), and after other members
// had time to contradict (state.go). Failures without any response require reports from several failure domains
// (locality.go). At most a share of a zone or pod is ejected (cap.go). A few trial members keep using an ejected
// server. When it responds to them, the number of members that use it doubles every second (readmission.go).
//
// A member that is partitioned from the others keeps an ejection until the newest observed failure is MaxEvidenceAge
// old, and its agents respect the ejection no longer than its Until. Once its membership shows all other subscribers
// as dead, it is the only subscriber and uses the server at once (mayUse). It can't eject a server on its own
// evidence, because at least two reporters are required.
//
// docs/design/shared-verdicts.md compares the alternatives and derives the formulas.
package ejection

import (
	"math/rand/v2"
	"time"
)

// rngStream makes this package's random numbers independent of those of other packages with the same seed.
const rngStream = 31

// Member is the state of one member. Its methods must not be called concurrently. Times are by this member's monotonic
// clock, as passed to Step; 0 means never.
type Member struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	started  bool
	actions  []Action
	counts   Counters

	// Endpoint lists.
	servers     map[string]*server
	serverIDs   []string            // IDs of all servers, ascending
	sources     map[string][]string // IDs of servers by source
	sourceNames []string            // ascending
	upServers   []int               // number of servers that are Up, by the number of the failure domain

	// Membership.
	names           []string // names of live members, ascending
	peers           []Peer   // descriptions of the members in names, in the same order; nil: no descriptions
	unreachable     []Peer
	membershipEpoch int                     // increases with each change of names, peers or unreachable
	subscribersOf   map[string]*subscribers // by source

	// Outcomes of this member's own agents.
	total          decayedCounts             // outcomes at all servers
	background     map[string]*decayedCounts // outcomes by source, with a slower decay
	recentOutcomes []recentOutcome
	reportNumber   uint32

	// Evaluation of servers.
	active         []*server // servers with reports, ejections, drains or a due evaluation, by ID
	evaluationDue  bool
	evaluateAt     time.Duration // when the next evaluation is due; 0: not scheduled
	lastEvaluation time.Duration
	announced      []Ejection // content of the last EjectionsChanged

	// Communication with other members.
	pendingPolls        map[uint64]pendingPoll // by poll number
	pollNumber          uint64
	roundTrip           time.Duration // longest recent round trip of a poll
	nextPoll            time.Duration
	lastPoll            time.Duration
	promptedPollBackoff backoff
	lastUpdate          time.Duration // when this member last had an update: new evidence, a drain or an ejection
	notifyAt            time.Duration // when the next notification is due; 0: not scheduled
	lastNotify          time.Duration
	notifyBackoff       backoff
	responseCursor      int              // index in active at which the next response continues
	recentReports       []receivedReport // oldest first
	noticePolls         int              // polls prompted by notices since noticePollsSince, in the current second
	noticePollsSince    time.Duration
	budget              float64 // bytes that may be sent now
	budgetAt            time.Duration
}

// Counters count events since the member was created.
type Counters struct {
	Polls        uint64 `json:"Asked"`
	Responses    uint64 `json:"Answered"`
	EvidenceSent uint64 `json:"Items"`
	Withheld     uint64 `json:"Held"` // messages dropped because of Settings.BytesPerSecond
	Ejected      uint64 `json:"Convicted"`
	Readmitted   uint64 `json:"Acquitted"`
	Expired      uint64 `json:"Lapsed"` // ejections that ended because there was no newer evidence
	Capped       uint64 `json:"Capped"` // ejections suspended at some time by Settings.MaxEjectedShare
}

// New returns a member without any servers or other members, or an error if a setting is out of range. The same seed
// and events give the same actions.
func New(s Settings, seed uint64) (*Member, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Member{
		settings:        s,
		rng:             rand.New(rand.NewPCG(seed, rngStream)),
		servers:         map[string]*server{},
		sources:         map[string][]string{},
		names:           []string{s.Name},
		membershipEpoch: 1,
		subscribersOf:   map[string]*subscribers{},
		background:      map[string]*decayedCounts{},
		pendingPolls:    map[uint64]pendingPoll{},
	}, nil
}

// Next returns the time by which Step has to be called, even if no events occur.
func (m *Member) Next() time.Duration {
	next := m.nextPoll
	if m.notifyAt > 0 {
		next = min(next, m.notifyAt)
	}
	if m.evaluateAt > 0 {
		next = min(next, m.evaluateAt)
	}
	return next
}

// Step handles the events in order and the timers that are due at now, and returns the actions to execute.
func (m *Member) Step(now time.Duration, events ...Event) []Action {
	m.now = max(now, m.now)
	m.actions = nil
	m.refillBudget()
	for _, e := range events {
		m.handle(e)
	}
	if m.evaluationDue { // reports that arrive together are evaluated together
		m.evaluateBy(m.lastEvaluation + minEvaluationInterval)
	}
	if m.evaluateAt > 0 && m.now >= m.evaluateAt {
		m.evaluate()
	}
	if m.notifyAt > 0 && m.now >= m.notifyAt {
		m.notify(m.pollSource())
	}
	if m.now >= m.nextPoll {
		m.poll()
	}
	return m.actions
}

func (m *Member) handle(e Event) {
	switch e := e.(type) {
	case ListUpdated:
		m.onListUpdated(e)
	case OutcomesObserved:
		m.onOutcomesObserved(e)
	case MembersChanged:
		m.onMembersChanged(e)
	case Received:
		m.onReceived(e)
	}
}

func (m *Member) emit(a Action) { m.actions = append(m.actions, a) }

// Counters returns the counts so far.
func (m *Member) Counters() Counters { return m.counts }
