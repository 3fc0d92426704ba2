// Package ejection agrees on outlier ejection among the members of a fleet. Members exchange what their own agents
// observed of servers, and each decides by itself, from the reports of several, which servers its agents avoid. The
// rules follow Envoy's outlier detection (consecutive failures, success rate, max_ejection_percent, ejection time that
// grows), with evidence pooled over members; as in Lifeguard, a member doubts its own link before it blames others.
//
// Ownership: a Member holds all state, in memory only. One goroutine calls Step and Next (the transport's loop, or a
// simulation). The package has no clock, socket, goroutine or global, and its randomness comes from a seed: events and
// the time go in, actions come out (events.go).
//
// Evidence (outcomes.go, report.go) is counted by the member that observed it and forwarded unchanged: received from ten
// members, it is still one report. Members poll for it (poll.go, response.go): a response is no older than its stated
// ages plus the time since the poll, whatever the network did. Past Settings.MaxEvidenceAge it is ignored.
//
// Reports about a server go to the subscribers of its list (subscription.go). Isolated failures, as they happen on any
// day, go to three collectors alone, which know the server's baseline failure rate (baseline.go, collectors.go).
//
// A server is ejected by several reports of members whose other servers respond (detect.go), after others had time to
// contradict (state.go). Failures without any response need reports from several failure domains (locality.go). No
// more than a share of a zone or pod is ejected (cap.go). A few trial members keep using an ejected server; as it
// responds, twice as many members use it every second (readmission.go).
//
// A member that is cut off from the others keeps an ejection until the newest observed failure is MaxEvidenceAge old, and
// its agents hold it no longer than the Until that they were given. Once its membership shows all other subscribers dead it
// is the only one, and uses the server at once (mayUse). It can't eject by itself: at least two reporters are required.
//
// docs/design/shared-verdicts.md compares the alternatives and derives the formulas.
package ejection

import (
	"math/rand/v2"
	"time"
)

// rngStream separates this package's random numbers from those of others with the same seed.
const rngStream = 31

// Member is one member's part. One goroutine owns it. Times are by this member's monotonic clock, as Step receives them;
// 0 stands for never.
type Member struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	started  bool
	actions  []Action
	counts   Counters

	// Endpoint lists.
	servers     map[string]*server
	order       []string            // IDs of servers, ascending
	sources     map[string][]string // IDs of servers by source
	sourceNames []string            // ascending
	upServers   []int               // servers that are Up, by number of their failure domain

	// Membership.
	names           []string // live members, ascending
	peers           []Peer   // of each of names; nil: nothing is known
	unreachable     []Peer
	membershipEpoch int                     // grows with each change of the three above
	subscribersOf   map[string]*subscribers // by source

	// Outcomes of this member's own agents.
	total          decayedCounts             // at all servers
	background     map[string]*decayedCounts // by source, decayed slowly
	recentOutcomes []recentOutcome
	reportNumber   uint32

	// Evaluation of servers.
	active         []*server // those with reports, ejections, drains or a due evaluation, by ID
	evaluationDue  bool
	evaluateAt     time.Duration // the next evaluation is due by then; 0: none
	lastEvaluation time.Duration
	announced      []Ejection // in the last EjectionsChanged

	// Exchange with other members.
	pendingPolls        map[uint64]pendingPoll // by number
	pollNumber          uint64
	roundTrip           time.Duration // the longest lately
	nextPoll            time.Duration
	lastPoll            time.Duration
	promptedPollBackoff backoff
	lastUpdate          time.Duration // something new was learnt last
	notifyAt            time.Duration // the next notification is due; 0: none
	lastNotify          time.Duration
	notifyBackoff       backoff
	responseCursor      int              // where in active the next response goes on
	recentReports       []receivedReport // oldest first
	noticePolls         int              // polls for isolated failures, in the second since noticePollsSince
	noticePollsSince    time.Duration
	budget              float64 // bytes that may be sent now
	budgetAt            time.Duration
}

// Counters count since the member was created.
type Counters struct {
	Polls        uint64 `json:"Asked"`
	Responses    uint64 `json:"Answered"`
	EvidenceSent uint64 `json:"Items"`
	Withheld     uint64 `json:"Held"` // messages dropped for Settings.BytesPerSecond
	Ejected      uint64 `json:"Convicted"`
	Readmitted   uint64 `json:"Acquitted"`
	Expired      uint64 `json:"Lapsed"` // ejections that ended for want of newer evidence
	Capped       uint64 `json:"Capped"` // ejections that Settings.MaxEjectedShare kept from taking effect at some time
}

// New returns a member without any knowledge, or an error if a setting is out of its range. The same seed and events
// give the same actions.
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

// Next returns the time by which Step has to be called, events or not.
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

// Step handles events in their order, does what is due by now, and returns the actions to be carried out.
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

// Counters returns what was counted so far.
func (m *Member) Counters() Counters { return m.counts }
