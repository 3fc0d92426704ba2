// Package ejection judges servers for a whole fleet: agents tell one another what they themselves saw of servers, and
// each judges by what several saw. It decides only: messages, time, what own agents saw and what lists say come in;
// messages and verdicts go out. No clock, socket, goroutine, or chance but from a seed.
//
// Evidence (evidence.go) is counted by the member that saw it, and passed on as that member's, never added up on the
// way: heard from ten it is still one voice. It is asked for, not sent: who asks knows that no answer is older than it
// says plus the time since the question, however long the network kept it. So evidence is never younger than it
// seems, and acts nowhere past its age.
//
// It goes to those that read the server's list (concern.go). What may be chance goes to three of these, who tell a burst
// from what fails on any day (chance.go); what stands out goes round among all of them (answer.go).
//
// A verdict (court.go) needs several voices of members that fare better elsewhere: one whose own link is broken sees
// all servers fail, and accuses none. Voices to whom the server answered meanwhile speak for it. No more than a share
// of a zone's or a pod's servers are out by verdict, the worst first. One that is out is tried by a few members alone,
// the same for all, and comes back to more and more of them as it answers.
//
// docs/design/shared-verdicts.md weighs the ways and gives the formulas.
package ejection

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are fixed for the life of a Member.
type Settings struct {
	Name            string
	RunID           uint64
	AlertInterval   time.Duration // between two questions while something is amiss; default Alert
	IdleInterval    time.Duration // and else; default Rest
	MaxEvidenceAge  time.Duration // past which evidence acts nowhere; default Age
	MaxDrainAge     time.Duration // past which a drain that one's own list does not know acts nowhere; default Drains
	MaxEjectedShare float64       // of a zone's or pod's servers that may be out by verdict; default Share
	ClockDrift      float64       // by which rates of clocks may differ; default Drift
	BytesPerSecond  int           // a second, sent to others; default Bytes
	FormatVersion   uint8         // of its messages; default 2. 1 is how versions spoke that told all to all: for trials of mixed fleets
}

// Defaults, each with where it comes from.
const (
	DefaultAlertInterval   = 200 * time.Millisecond // as often as the view probes
	DefaultIdleInterval    = time.Second
	DefaultMaxEvidenceAge  = 20 * time.Second // ten agents at a request in ten seconds each see a server of twenty once in it
	DefaultMaxDrainAge     = 10 * time.Second // lists are told of within it, or the drain was never one
	DefaultMaxEjectedShare = 0.5              // a bad release on half of the servers
	DefaultClockDrift      = 0.01
	DefaultBytesPerSecond  = 24 << 10

	pollFanout                    = 2                     // members asked at a time
	notifyFanout                  = 3                     // members told that there is news
	minNotifyInterval             = 50 * time.Millisecond // between two such
	alertDuration                 = time.Second
	minPromptedPollInterval       = 20 * time.Millisecond  // between two questions that were hurried
	firstFormatFreshness          = 3 * time.Second        // one member's bad luck is passed on for so long, by members of the first form
	maxPollSubjects               = 8                      // servers that a question is about
	confirmationPolls             = 8                      // members asked about one that is suspected
	confirmationPollsUnresponsive = 16                     // and where the server said nothing to those that accuse it
	maxRecentOutcomes             = 16                     // ends of own requests, by which it is known whether the link works
	ownReportInterval             = 500 * time.Millisecond // between two looks at what this member itself would say
	maxRecentReports              = 64                     // voices that came last are kept, to be told on first
	maxEvidencePerMessage         = 16                     // in an answer: with names of 64 bytes it fits a datagram of 2,000
	maxReportsPerServer           = 12                     // kept against a server, and as many for it
	maxServers                    = 4096                   // of which evidence is kept
	decayTime                     = 10 * time.Second       // evidence counts for so long, about
	minContinuationInterval       = 100 * time.Millisecond // before who had more to say is asked again
	maxBackoff                    = 400 * time.Millisecond // while there is always news: between two pokes, or two questions for them
	backoffReset                  = 2 * time.Second
	currentFormat                 = 2                     // of messages; the first form asked about each failure
	minEvaluationInterval         = 20 * time.Millisecond // between two looks at all that has changed
	pollTimeout                   = 3 * time.Second       // an answer later than that is not waited for
)

// Server is one of a list's.
type Server struct {
	ID        string // unique in the fleet
	StartedMS int64  // of its process, ms, Unix; 0: long ago
	Zone      string
	Pod       int
	State     ListedState
}

// ListedState is what a list says.
type ListedState uint8

const (
	Up ListedState = iota
	Draining
	Removed
)

// OutcomeSample is what own agents saw of a server's process since the last one.
type OutcomeSample struct {
	Server            string
	StartedMS         int64
	Succeeded, Failed int
	ErrorResponses    int // of Bad, those that the server said itself; the rest may be the link's fault
}

// Event is something that happened.
type Event interface{ event() }

type (
	// ListUpdated is what one list says now: all of its servers.
	ListUpdated struct {
		Source  string
		Servers []Server
	}
	// OutcomesObserved are sights.
	OutcomesObserved struct{ Samples []OutcomeSample }
	// MembersChanged are the names of those alive, this one included, in order.
	MembersChanged struct {
		Names       []string
		Peers       []Peer // of each name, in the same order; empty: nothing is known of any
		Unreachable []Peer // those that are not heard any more, since not long ago: their places count, as a cut may be what took them
	}
	// Received is a message of another member.
	Received struct {
		From    string
		Message *Message
	}
)

func (ListUpdated) event()      {}
func (OutcomesObserved) event() {}
func (MembersChanged) event()   {}
func (Received) event()         {}

// Action is something to be done.
type Action interface{ action() }

type (
	// Send is a message to a member. It may be lost.
	Send struct {
		To      string
		Message *Message
	}
	// EjectionsChanged are all verdicts that own agents are to go by from now on.
	EjectionsChanged struct{ Ejections []Ejection }
	// Log is a line for people.
	Log struct{ Text string }
)

func (Send) action()             {}
func (EjectionsChanged) action() {}
func (Log) action()              {}

// Ejection is what own agents are to go by.
type Ejection struct {
	Server    string
	StartedMS int64
	Draining  bool          // it drains or is gone; else it is out
	Until     time.Duration // by this member's clock
}

// Message is what members tell one another.
type Message struct {
	PollNumber    uint64        `cbor:"1,keyasint,omitempty"` // a question's number
	ResponseTo    uint64        `cbor:"2,keyasint,omitempty"` // the number of the question that this answers
	Notify        bool          `cbor:"3,keyasint,omitempty"` // there is news here: ask
	Evidence      []Evidence    `cbor:"4,keyasint,omitempty"`
	Drains        []Drain       `cbor:"5,keyasint,omitempty"`
	More          int           `cbor:"6,keyasint,omitempty"` // 1: there is more than fits
	About         []Incarnation `cbor:"7,keyasint,omitempty"` // of a question: what you saw of these yourself, whatever it is; of a poke: what it is about
	FormatVersion uint8         `cbor:"8,keyasint,omitempty"` // of the sender's messages; 0: the first
	OwnOnly       bool          `cbor:"9,keyasint,omitempty"` // of a question: no other member's evidence is wanted
}

// Incarnation is one process of a server.
type Incarnation struct {
	Server    string `cbor:"1,keyasint,omitempty"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
}

// pendingPoll is one that was asked, and not answered yet.
type pendingPoll struct {
	sentAt time.Duration
	about  []Incarnation
}

// Member is one member's part. One goroutine owns it.
type Member struct {
	settings                           Settings
	rng                                *rand.Rand
	now                                time.Duration
	actions                            []Action
	servers                            map[string]*server
	order                              []string                  // of servers
	active                             []*server                 // those about which something is said, or that are to be looked at, by ID
	background                         map[string]*decayedCounts // by source: what own agents saw of all its servers, faded slowly
	sources                            map[string][]string
	names                              []string // members alive
	unreachable                        []Peer
	peers                              []Peer                  // of each; nil: nothing is known
	subscribersOf                      map[string]*subscribers // by list
	sourceNames                        []string                // lists, in order
	membershipEpoch                    int                     // grows with each change of them
	pendingPolls                       map[uint64]pendingPoll
	roundTrip                          time.Duration // a question and its answer take so long
	pollNumber                         uint64
	reportNumber                       uint32
	nextPoll                           time.Duration
	lastPoll                           time.Duration
	notifyAt                           time.Duration // 0: none is due
	lastNotify                         time.Duration
	responseCursor                     int
	announced                          []Ejection
	started                            bool
	evaluationDue                      bool // verdicts are to be looked at
	evaluateAt                         time.Duration
	lastEvaluation                     time.Duration // when it last looked
	total                              decayedCounts
	recentOutcomes                     []recentOutcome  // the last few
	recentReports                      []receivedReport // what came last
	lastUpdate                         time.Duration    // there was news last
	budget                             float64
	notifyBackoff, promptedPollBackoff backoff
	budgetAt                           time.Duration
	counts                             Counters
	upServers                          []int         // servers up, by number of their zone or pod
	noticePolls                        int           // asked about lone failures ...
	noticePollsSince                   time.Duration // ... since then
}

// Counters are of a member's life.
type Counters struct {
	Polls        uint64 `json:"Asked"`
	Responses    uint64 `json:"Answered"`
	EvidenceSent uint64 `json:"Items"`
	Withheld     uint64 `json:"Held"`
	Ejected      uint64 `json:"Convicted"`
	Readmitted   uint64 `json:"Acquitted"`
	Expired      uint64 `json:"Lapsed"`
	Capped       uint64 `json:"Capped"` // verdicts that the share held back, at some time
}

// New returns a member that knows nothing.
func New(s Settings, seed uint64) (*Member, error) {
	s.AlertInterval, s.IdleInterval, s.MaxEvidenceAge, s.MaxDrainAge = cmp.Or(s.AlertInterval, DefaultAlertInterval), cmp.Or(s.IdleInterval, DefaultIdleInterval), cmp.Or(s.MaxEvidenceAge, DefaultMaxEvidenceAge), cmp.Or(s.MaxDrainAge, DefaultMaxDrainAge)
	s.FormatVersion = cmp.Or(s.FormatVersion, currentFormat)
	s.MaxEjectedShare, s.ClockDrift, s.BytesPerSecond = cmp.Or(s.MaxEjectedShare, DefaultMaxEjectedShare), cmp.Or(s.ClockDrift, DefaultClockDrift), cmp.Or(s.BytesPerSecond, DefaultBytesPerSecond)
	if s.Name == "" || s.AlertInterval <= 0 || s.IdleInterval < s.AlertInterval || s.MaxEvidenceAge < 4*s.AlertInterval || s.MaxEjectedShare < 0 || s.MaxEjectedShare > 1 || s.ClockDrift < 0 || s.ClockDrift > 0.5 || s.BytesPerSecond < 4096 || s.FormatVersion > currentFormat {
		return nil, fmt.Errorf("verdicts: name %q, alert %v, rest %v, age %v, share %v, drift %v, bytes %d, form %d make no sense", s.Name, s.AlertInterval, s.IdleInterval, s.MaxEvidenceAge, s.MaxEjectedShare, s.ClockDrift, s.BytesPerSecond, s.FormatVersion)
	}
	return &Member{settings: s, rng: rand.New(rand.NewPCG(seed, 31)), servers: map[string]*server{}, background: map[string]*decayedCounts{}, subscribersOf: map[string]*subscribers{}, sources: map[string][]string{}, pendingPolls: map[uint64]pendingPoll{}, names: []string{s.Name}, membershipEpoch: 1}, nil
}

// Next is when Step is to be called at the latest.
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

// Step takes what has happened by now, in order, and returns what to do.
func (m *Member) Step(now time.Duration, events ...Event) []Action {
	m.now, m.actions = max(now, m.now), nil
	if !m.started {
		m.started, m.nextPoll, m.budgetAt, m.budget = true, m.now, m.now, float64(m.settings.BytesPerSecond)
	}
	m.budget = min(float64(m.settings.BytesPerSecond), m.budget+float64(m.settings.BytesPerSecond)*(m.now-m.budgetAt).Seconds())
	m.budgetAt = m.now
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdated:
			m.onListUpdated(e)
		case OutcomesObserved:
			m.onOutcomesObserved(e)
		case MembersChanged:
			if m.onMembersChanged(e) {
				for _, s := range m.active {
					m.requestEvaluation(s)
				}
			}
		case Received:
			m.onReceived(e)
		}
	}
	if m.evaluationDue { // what comes at once is looked at once
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

func (m *Member) emit(a Action) { m.actions = append(m.actions, a) }

// requestEvaluation has a server looked at.
func (m *Member) requestEvaluation(s *server) {
	m.evaluationDue, s.needsEvaluation = true, true
	m.activate(s)
}

// activate puts a server among those that are gone through. judge takes it from there.
func (m *Member) activate(s *server) {
	if s.active {
		return
	}
	s.active = true
	at, _ := slices.BinarySearchFunc(m.active, s.ID, func(o *server, id string) int { return cmp.Compare(o.ID, id) })
	m.active = slices.Insert(m.active, at, s)
}

// send sends a message of about so many bytes, unless too much was sent lately.
func (m *Member) send(to string, x *Message) {
	if m.settings.FormatVersion > 1 {
		x.FormatVersion = m.settings.FormatVersion
	}
	size := float64(40 + 64*len(x.Evidence) + 32*len(x.Drains) + 24*len(x.About))
	if m.budget < size {
		m.counts.Withheld++
		return
	}
	m.budget -= size
	m.emit(Send{to, x})
}

// alerted reports whether there may be something new to be known.
func (m *Member) alerted() bool { return m.lastUpdate > 0 && m.now-m.lastUpdate < alertDuration }

// poll asks a few members what they know: more often, and more of them, while something is amiss.
func (m *Member) poll() {
	n, wait := 1, m.settings.IdleInterval
	if m.alerted() {
		n, wait = pollFanout, m.settings.AlertInterval
	}
	m.nextPoll = m.now + time.Duration((0.75+0.5*m.rng.Float64())*float64(wait))
	of := m.pollSource()
	m.pollAbout(m.randomSubscribers(n, of), m.suspects(of))
	for seq, q := range m.pendingPolls {
		if m.now-q.sentAt > pollTimeout {
			delete(m.pendingPolls, seq)
		}
	}
}

// suspects are servers of a list of which evidence is wanted.
func (m *Member) suspects(source string) []Incarnation {
	var all []Incarnation
	for _, s := range m.active {
		if s.suspectedAt > 0 && (s.source == source || m.settings.FormatVersion == 1) && len(all) < maxPollSubjects {
			all = append(all, Incarnation{s.ID, s.StartedMS})
		}
	}
	return all
}

func (m *Member) pollAbout(who []string, about []Incarnation) {
	m.sendPolls(who, &Message{About: about})
}

func (m *Member) sendPolls(who []string, x *Message) {
	for _, to := range who {
		m.pollNumber++
		m.pendingPolls[m.pollNumber] = pendingPoll{m.now, x.About}
		m.lastPoll = m.now
		m.counts.Polls++
		m.send(to, &Message{PollNumber: m.pollNumber, About: x.About, OwnOnly: x.OwnOnly})
	}
}

// noteUpdate has others told that there is some, soon. They ask, since what is sent unasked may be of any age.
func (m *Member) noteUpdate() {
	m.lastUpdate, m.nextPoll = m.now, min(m.nextPoll, m.now+m.settings.AlertInterval)
	if m.notifyAt == 0 {
		m.notifyAt = max(m.now, m.lastNotify+m.notifyBackoff.next(m.now, minNotifyInterval))
	}
}

// notify tells some of those that read a list.
func (m *Member) notify(source string) {
	m.notifyAt, m.lastNotify = 0, m.now
	for _, to := range m.randomSubscribers(notifyFanout, source) {
		m.send(to, &Message{Notify: true})
	}
}

// backoff is a wait that doubles while something goes on, and begins anew once it is over.
type backoff struct{ wait, lastUse time.Duration }

// current is the wait now.
func (e *backoff) current(now, first time.Duration) time.Duration {
	if e.wait == 0 || now-e.lastUse > backoffReset {
		return first
	}
	return e.wait
}

// next is the wait now, and makes the next one longer.
func (e *backoff) next(now, first time.Duration) time.Duration {
	w := e.current(now, first)
	e.wait, e.lastUse = min(2*w, maxBackoff), now
	return w
}

func (m *Member) onReceived(e Received) {
	x := e.Message
	if x == nil || e.From == m.settings.Name {
		return
	}
	switch {
	case x.Notify && len(x.About) > 0 && m.settings.FormatVersion > 1:
		m.onFailureNotice(e.From, x.About)
	case x.Notify && m.now-m.lastPoll >= m.promptedPollBackoff.current(m.now, minPromptedPollInterval):
		m.promptedPollBackoff.next(m.now, minPromptedPollInterval)
		m.pollAbout([]string{e.From}, nil)
	}
	if x.PollNumber > 0 {
		m.counts.Responses++
		m.send(e.From, m.buildResponse(e.From, x))
	}
	if q, ok := m.pendingPolls[x.ResponseTo]; ok && x.ResponseTo > 0 {
		delete(m.pendingPolls, x.ResponseTo)
		m.roundTrip = max(m.now-q.sentAt, m.roundTrip-m.roundTrip/16) // the longest lately
		m.applyResponse(q.sentAt, x)
		for _, l := range q.about {
			s := m.servers[l.Server]
			if s != nil && s.suspectedAt > 0 && !s.unresponsive && !slices.Contains(s.responders, e.From) {
				s.responders = append(s.responders, e.From) // whatever it says is heard with the rest
			}
			for n := range x.Evidence {
				if i := &x.Evidence[n]; s != nil && s.suspectedAt > 0 && s.unresponsive && i.Server == s.ID && i.StartedMS == s.StartedMS && i.Origin == e.From && i.AgeMS > 0 {
					s.recordCorroboration(e.From, timeOfAge(q.sentAt, i.AgeMS), timeOfAge(q.sentAt, i.LastSuccessAgeMS))
				}
			}
		}
		if x.More > 0 && m.now-m.lastPoll >= minContinuationInterval {
			m.pollAbout([]string{e.From}, nil)
		}
	}
}

// Counters are what happened so far.
func (m *Member) Counters() Counters { return m.counts }
