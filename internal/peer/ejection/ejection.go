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

	fan           = 2                     // members asked at a time
	pokes         = 3                     // members told that there is news
	pokeGap       = 50 * time.Millisecond // between two such
	alertLasts    = time.Second
	askGap        = 20 * time.Millisecond  // between two questions that were hurried
	freshFor      = 3 * time.Second        // one member's bad luck is passed on for so long, by members of the first form
	aboutMost     = 8                      // servers that a question is about
	witnesses     = 8                      // members asked about one that is suspected
	witnessesMute = 16                     // and where the server said nothing to those that accuse it
	endsKept      = 16                     // ends of own requests, by which it is known whether the link works
	speakEach     = 500 * time.Millisecond // between two looks at what this member itself would say
	logMost       = 64                     // voices that came last are kept, to be told on first
	itemsMost     = 16                     // in an answer: with names of 64 bytes it fits a datagram of 2,000
	voicesMost    = 12                     // kept against a server, and as many for it
	serverMost    = 4096                   // of which evidence is kept
	fades         = 10 * time.Second       // evidence counts for so long, about
	moreGap       = 100 * time.Millisecond // before who had more to say is asked again
	easeMost      = 400 * time.Millisecond // while there is always news: between two pokes, or two questions for them
	easeOver      = 2 * time.Second
	form          = 2                     // of messages; the first form asked about each failure
	judgeGap      = 20 * time.Millisecond // between two looks at all that has changed
	askLasts      = 3 * time.Second       // an answer later than that is not waited for
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

// question is one that was asked, and not answered yet.
type question struct {
	at    time.Duration
	about []Incarnation
}

// Member is one member's part. One goroutine owns it.
type Member struct {
	s                 Settings
	rng               *rand.Rand
	now               time.Duration
	actions           []Action
	servers           map[string]*server
	order             []string          // of servers
	live              []*server         // those about which something is said, or that are to be looked at, by ID
	background        map[string]*tally // by source: what own agents saw of all its servers, faded slowly
	sources           map[string][]string
	names             []string // members alive
	lost              []Peer
	peers             []Peer                  // of each; nil: nothing is known
	subs              map[string]*subscribers // by list
	reads             []string                // lists, in order
	named             int                     // grows with each change of them
	asked             map[uint64]question
	way               time.Duration // a question and its answer take so long
	seq               uint64
	number            uint32
	askAt             time.Duration
	lastAsk           time.Duration
	pokeAt            time.Duration // 0: none is due
	poked             time.Duration
	cursor            int
	told              []Ejection
	began             bool
	changed           bool // verdicts are to be looked at
	lookAt            time.Duration
	judged            time.Duration // when it last looked
	total             tally
	ends              []ended       // the last few
	log               []heardOf     // what came last
	newsAt            time.Duration // there was news last
	budget            float64
	pokeWait, askWait easing
	spentAt           time.Duration
	counts            Counters
	ups               []int         // servers up, by number of their zone or pod
	lones             int           // asked about lone failures ...
	lonesAt           time.Duration // ... since then
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
	s.FormatVersion = cmp.Or(s.FormatVersion, form)
	s.MaxEjectedShare, s.ClockDrift, s.BytesPerSecond = cmp.Or(s.MaxEjectedShare, DefaultMaxEjectedShare), cmp.Or(s.ClockDrift, DefaultClockDrift), cmp.Or(s.BytesPerSecond, DefaultBytesPerSecond)
	if s.Name == "" || s.AlertInterval <= 0 || s.IdleInterval < s.AlertInterval || s.MaxEvidenceAge < 4*s.AlertInterval || s.MaxEjectedShare < 0 || s.MaxEjectedShare > 1 || s.ClockDrift < 0 || s.ClockDrift > 0.5 || s.BytesPerSecond < 4096 || s.FormatVersion > form {
		return nil, fmt.Errorf("verdicts: name %q, alert %v, rest %v, age %v, share %v, drift %v, bytes %d, form %d make no sense", s.Name, s.AlertInterval, s.IdleInterval, s.MaxEvidenceAge, s.MaxEjectedShare, s.ClockDrift, s.BytesPerSecond, s.FormatVersion)
	}
	return &Member{s: s, rng: rand.New(rand.NewPCG(seed, 31)), servers: map[string]*server{}, background: map[string]*tally{}, subs: map[string]*subscribers{}, sources: map[string][]string{}, asked: map[uint64]question{}, names: []string{s.Name}, named: 1}, nil
}

// Next is when Step is to be called at the latest.
func (m *Member) Next() time.Duration {
	next := m.askAt
	if m.pokeAt > 0 {
		next = min(next, m.pokeAt)
	}
	if m.lookAt > 0 {
		next = min(next, m.lookAt)
	}
	return next
}

// Step takes what has happened by now, in order, and returns what to do.
func (m *Member) Step(now time.Duration, events ...Event) []Action {
	m.now, m.actions = max(now, m.now), nil
	if !m.began {
		m.began, m.askAt, m.spentAt, m.budget = true, m.now, m.now, float64(m.s.BytesPerSecond)
	}
	m.budget = min(float64(m.s.BytesPerSecond), m.budget+float64(m.s.BytesPerSecond)*(m.now-m.spentAt).Seconds())
	m.spentAt = m.now
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdated:
			m.onListed(e)
		case OutcomesObserved:
			m.onSeen(e)
		case MembersChanged:
			if m.onMembers(e) {
				for _, s := range m.live {
					m.touch(s)
				}
			}
		case Received:
			m.onHeard(e)
		}
	}
	if m.changed { // what comes at once is looked at once
		m.look(m.judged + judgeGap)
	}
	if m.lookAt > 0 && m.now >= m.lookAt {
		m.judge()
	}
	if m.pokeAt > 0 && m.now >= m.pokeAt {
		m.poke(m.subject())
	}
	if m.now >= m.askAt {
		m.ask()
	}
	return m.actions
}

func (m *Member) do(a Action) { m.actions = append(m.actions, a) }

// touch has a server looked at.
func (m *Member) touch(s *server) {
	m.changed, s.dirty = true, true
	m.enliven(s)
}

// enliven puts a server among those that are gone through. judge takes it from there.
func (m *Member) enliven(s *server) {
	if s.live {
		return
	}
	s.live = true
	at, _ := slices.BinarySearchFunc(m.live, s.ID, func(o *server, id string) int { return cmp.Compare(o.ID, id) })
	m.live = slices.Insert(m.live, at, s)
}

// send sends a message of about so many bytes, unless too much was sent lately.
func (m *Member) send(to string, x *Message) {
	if m.s.FormatVersion > 1 {
		x.FormatVersion = m.s.FormatVersion
	}
	size := float64(40 + 64*len(x.Evidence) + 32*len(x.Drains) + 24*len(x.About))
	if m.budget < size {
		m.counts.Withheld++
		return
	}
	m.budget -= size
	m.do(Send{to, x})
}

// alert reports whether there may be something new to be known.
func (m *Member) alert() bool { return m.newsAt > 0 && m.now-m.newsAt < alertLasts }

// ask asks a few members what they know: more often, and more of them, while something is amiss.
func (m *Member) ask() {
	n, wait := 1, m.s.IdleInterval
	if m.alert() {
		n, wait = fan, m.s.AlertInterval
	}
	m.askAt = m.now + time.Duration((0.75+0.5*m.rng.Float64())*float64(wait))
	of := m.subject()
	m.question(m.others(n, of), m.suspects(of))
	for seq, q := range m.asked {
		if m.now-q.at > askLasts {
			delete(m.asked, seq)
		}
	}
}

// suspects are servers of a list of which evidence is wanted.
func (m *Member) suspects(source string) []Incarnation {
	var all []Incarnation
	for _, s := range m.live {
		if s.suspected > 0 && (s.source == source || m.s.FormatVersion == 1) && len(all) < aboutMost {
			all = append(all, Incarnation{s.ID, s.StartedMS})
		}
	}
	return all
}

func (m *Member) question(who []string, about []Incarnation) {
	m.questionOf(who, &Message{About: about})
}

func (m *Member) questionOf(who []string, x *Message) {
	for _, to := range who {
		m.seq++
		m.asked[m.seq] = question{m.now, x.About}
		m.lastAsk = m.now
		m.counts.Polls++
		m.send(to, &Message{PollNumber: m.seq, About: x.About, OwnOnly: x.OwnOnly})
	}
}

// news has others told that there is some, soon. They ask, since what is sent unasked may be of any age.
func (m *Member) news() {
	m.newsAt, m.askAt = m.now, min(m.askAt, m.now+m.s.AlertInterval)
	if m.pokeAt == 0 {
		m.pokeAt = max(m.now, m.poked+m.pokeWait.next(m.now, pokeGap))
	}
}

// poke tells some of those that read a list.
func (m *Member) poke(source string) {
	m.pokeAt, m.poked = 0, m.now
	for _, to := range m.others(pokes, source) {
		m.send(to, &Message{Notify: true})
	}
}

// easing is a wait that doubles while something goes on, and begins anew once it is over.
type easing struct{ wait, at time.Duration }

// of is the wait now.
func (e *easing) of(now, first time.Duration) time.Duration {
	if e.wait == 0 || now-e.at > easeOver {
		return first
	}
	return e.wait
}

// next is the wait now, and makes the next one longer.
func (e *easing) next(now, first time.Duration) time.Duration {
	w := e.of(now, first)
	e.wait, e.at = min(2*w, easeMost), now
	return w
}

func (m *Member) onHeard(e Received) {
	x := e.Message
	if x == nil || e.From == m.s.Name {
		return
	}
	switch {
	case x.Notify && len(x.About) > 0 && m.s.FormatVersion > 1:
		m.onLone(e.From, x.About)
	case x.Notify && m.now-m.lastAsk >= m.askWait.of(m.now, askGap):
		m.askWait.next(m.now, askGap)
		m.question([]string{e.From}, nil)
	}
	if x.PollNumber > 0 {
		m.counts.Responses++
		m.send(e.From, m.answer(e.From, x))
	}
	if q, ok := m.asked[x.ResponseTo]; ok && x.ResponseTo > 0 {
		delete(m.asked, x.ResponseTo)
		m.way = max(m.now-q.at, m.way-m.way/16) // the longest lately
		m.take(q.at, x)
		for _, l := range q.about {
			s := m.servers[l.Server]
			if s != nil && s.suspected > 0 && !s.silent && !slices.Contains(s.answered, e.From) {
				s.answered = append(s.answered, e.From) // whatever it says is heard with the rest
			}
			for n := range x.Evidence {
				if i := &x.Evidence[n]; s != nil && s.suspected > 0 && s.silent && i.Server == s.ID && i.StartedMS == s.StartedMS && i.Origin == e.From && i.AgeMS > 0 {
					s.heardWitness(e.From, when(q.at, i.AgeMS), when(q.at, i.LastSuccessAgeMS))
				}
			}
		}
		if x.More > 0 && m.now-m.lastAsk >= moreGap {
			m.question([]string{e.From}, nil)
		}
	}
}

// Counters are what happened so far.
func (m *Member) Counters() Counters { return m.counts }
