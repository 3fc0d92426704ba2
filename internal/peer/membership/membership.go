// Package membership is what a daemon knows of the other daemons of its fleet, kept by the daemons themselves: who is
// there, where, since when, and who has gone. It decides only: datagrams, streams, time and what its own daemon
// tells come in as events; messages, changes and notes for others go out as actions. It has no clock, socket or
// goroutine, and takes chance from a seed.
//
// The protocol is SWIM (Das, Gupta, Motivala, 2002: random probes, indirect probes, suspicion, news carried by
// probes) with Lifeguard (Dadgar, Phillips, Currey, 2017: local health, suspicion that shortens with independent
// accusers, a suspect is told so first). What is this program's own, and why, stands in docs/design/view.md: a
// process that was paused doubts itself before others; a digest of the view in every datagram, so that a fleet at
// rest exchanges nothing; boot numbers that survive a lost disk; names that belong to one process at a time.
//
// All times are durations on the daemon's own monotonic clock; they must not run backwards.
package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is what is known of a member, from the least to the most final. At the same boot, life and incarnation the
// higher one holds.
type State uint8

const (
	Alive   State = iota
	Suspect       // a probe of it failed; it may still refute that
	Dead          // nobody refuted it in time. Silent, which is not the same as gone
	Left          // it said that it goes, or an operator said so
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// Record is what members tell one another of one of them.
type Record struct {
	Name         string `cbor:"1,keyasint,omitempty"`
	Addr         string `cbor:"2,keyasint,omitempty"` // host:port where its datagrams and streams go
	Zone         string `cbor:"3,keyasint,omitempty"`
	Program      string `cbor:"4,keyasint,omitempty"` // its version
	Boot         uint64 `cbor:"5,keyasint,omitempty"` // grows with each start of the process
	RunID        uint64 `cbor:"6,keyasint,omitempty"` // a number by chance for each process: two with one boot are told apart
	Incarnation  uint32 `cbor:"7,keyasint,omitempty"` // incarnation: grows each time it refutes or changes what it says of itself
	State        State  `cbor:"8,keyasint,omitempty"`
	Reporter     string `cbor:"9,keyasint,omitempty"`  // who accuses it, or declared it dead or gone
	Instances    uint32 `cbor:"10,keyasint,omitempty"` // that it runs
	Balancers    uint32 `cbor:"11,keyasint,omitempty"` // of these, those that share servers with the fleet's others
	NameVerified bool   `cbor:"12,keyasint,omitempty"` // it has made sure that no other process has its name
	AgeSeconds   uint32 `cbor:"13,keyasint,omitempty"` // seconds since it died or left, as the teller knows
	Metadata     []byte `cbor:"14,keyasint,omitempty"` // up to MaxMetadataBytes bytes for what else agents tell of themselves
	// Since regions are known; who does not know them passes a record on without.
	Region             string   `cbor:"15,keyasint,omitempty"`
	UnreachableRegions []uint32 `cbor:"16,keyasint,omitempty"` // regions, by hash, that it watches and does not reach
}

// MaxMetadataBytes is the most that a note holds, in bytes.
const MaxMetadataBytes = 128

// Settings are fixed for the life of a View.
type Settings struct {
	Name, Addr, Zone, Program string
	Region                    string // empty: the one that all without one stand in
	Boot, RunID               uint64
	Instances, Balancers      int
	Seeds                     []string // addresses; its own among them does no harm
	Known                     []Record // from the last run: asked first, believed last
	// Parallel: Known is of the process that this one replaces without a gap, with its life, and believed. Inc,
	// Number and Up go on where that one was.
	TakesOver      bool
	Incarnation    uint32
	DatagramNumber uint64
	Uptime         time.Duration

	ProbeInterval        time.Duration // between two probes; default Every
	ProbeTimeout         time.Duration // a probe waits so long for its answer before it asks others; default Direct
	IndirectTimeout      time.Duration // and then so long again; default Indirect
	MinSuspicion         time.Duration // a suspect has at least so long to refute, in fleets up to 100; default SuspectLeast
	ReconnectFor         time.Duration // silent members are tried again for so long; default Retry
	BytesPerSecond       int           // a second, the most that is sent; default Bytes
	RemoteBytesPerSecond int           // of these, to other regions; default: a quarter
	MaxMembers           int           // that are known at the most; default Members
	ConfiguredBalancers  int           // balancers of the whole fleet as the operator's file has it; held until the view has settled

	// Baseline switches protections off, for the baselines in docs/measure/view.md. Nothing else sets it.
	Baseline BaselineMode
}

// BaselineMode are weaker protocols to measure against.
type BaselineMode struct {
	NoSuspicion bool // a failed probe is death at once (SWIM's first form)
	NoLifeguard bool // no local health, no doubt after a pause, no accusers counted (SWIM with suspicion)
}

// Defaults, each with where it comes from.
const (
	DefaultProbeInterval   = 200 * time.Millisecond  // ten datagrams a second, and a crash is probed within 0.92 s at p99 (4.6 periods)
	DefaultProbeTimeout    = 100 * time.Millisecond  // five times a round trip between the site's centres (20 ms)
	DefaultIndirectTimeout = 150 * time.Millisecond  // twice that round trip, and what a busy host adds
	DefaultMinSuspicion    = 1700 * time.Millisecond // a pause of 1.5 s, less the 0.25 s before it is suspected, and 0.45 s to refute
	DefaultReconnectFor    = 24 * time.Hour          // a partition over a night heals by itself
	DefaultBytesPerSecond  = 32 << 10                // in storms; at rest about 1 KB a second
	DefaultMaxMembers      = 16384                   // the fleet of two years (12,000) and a third; 0.5 KB each, so 8 MB of an agent's 64
)

const (
	suspectMost   = 3    // times SuspectLeast, without a second accuser
	accusersMost  = 3    // further ones that bring it down to the least
	helpers       = 3    // asked for an indirect probe
	spreadFactor  = 3    // each news is sent so many times the binary digits of the fleet's size
	fan           = 3    // members that news goes to at a time, besides probes
	datagramMost  = 1200 // bytes of a datagram: it fits one packet everywhere
	healthMost    = 8
	replayWindow  = 4096 // datagrams of one sender that may come so late
	newsEvery     = 100 * time.Millisecond
	pauseLeast    = 150 * time.Millisecond // late by more, this process was starved or paused
	exchangeRest  = time.Second            // between two exchanges that this member begins, at the least
	exchangeQuiet = 30 * time.Second       // one is made even if all digests agree
	doorWait      = time.Second            // one that looks for the fleet waits so long at each door
	exchangeWait  = 5 * time.Second        // an exchange that has not ended by then has failed
	tryMost       = 2.0                    // silent addresses that one member tries in a second at most
	leftKept      = time.Hour              // so long a name that left is remembered: old news must not bring it back
	correctMost   = 4                      // members of which one that accuses them wrongly is told at once
	heardKept     = 8
	lostMost      = 3               // news goes so many times as often to those that do not seem to hear
	heardLately   = 3 * time.Second // by then one that can be heard is, in fleets up to 15: it probes, or answers a probe
	referred      = 8               // members named to one that is told to come back
	againEvery    = time.Second     // between two tries of doors at which nobody is known yet
	doorsMost     = 64              // addresses by which the fleet is looked for
)

func orIf[T comparable](v, instead T) T {
	var zero T
	if v == zero {
		return instead
	}
	return v
}

// Event is something that happened by the time of a Step.
type Event interface{ event() }

type (
	// DatagramReceived came in. Size is what it took on the wire, in bytes.
	DatagramReceived struct {
		Message *Message
		Size    int
	}
	// ExchangeRequest is another's opening of an exchange. The answer is a Reply with the same Stream.
	ExchangeRequest struct {
		Stream  uint64
		Message *Exchange
	}
	// ExchangeResponse is the answer to this member's Open with the same ID.
	ExchangeResponse struct {
		ID      uint64
		Message *Exchange
	}
	// ExchangeClosed is what ends an exchange that the other opened: what it was asked for.
	ExchangeClosed struct{ Message *Exchange }
	// ExchangeFailed says that an Open came to nothing.
	ExchangeFailed struct{ ID uint64 }
	// LocalInfo changes what this member says of itself.
	LocalInfo struct {
		Instances, Balancers int
		Metadata             []byte
	}
	// Leave has it say that it goes.
	Leave struct{}
	// ForgetMember is an operator's word: a silent member has gone for good.
	ForgetMember struct{ Name string }
	// TookOver says that the process that was to take this one's place did not: it goes on.
	TookOver struct{}
)

func (DatagramReceived) event() {}
func (ExchangeRequest) event()  {}
func (ExchangeResponse) event() {}
func (ExchangeClosed) event()   {}
func (ExchangeFailed) event()   {}
func (LocalInfo) event()        {}
func (Leave) event()            {}
func (ForgetMember) event()     {}
func (TookOver) event()         {}

// Action is something to be done now, in the order given.
type Action interface{ action() }

type (
	// Send is a datagram for an address. Size bounds what it takes on the wire, in bytes.
	Send struct {
		To      string
		Message *Message
		Size    int
	}
	// OpenExchange begins an exchange: a stream to an address, this message, and the answer as Answered, or Failed.
	OpenExchange struct {
		ID      uint64
		To      string
		Message *Exchange
	}
	// ExchangeReply answers an Asked.
	ExchangeReply struct {
		Stream  uint64
		Message *Exchange
	}
	// FinishExchange ends an exchange that this member opened, with what the other asked for; nil: nothing.
	FinishExchange struct {
		ID      uint64
		Message *Exchange
	}
	// MemberChanged says that a member's state, life or address has changed here.
	MemberChanged struct {
		Record   Record
		Previous State
		New      bool // it was not known
		Reason   string
	}
	// SizeChanged says how many balancers share the servers, from now on: see Count.
	SizeChanged struct{ Size Size }
	// NameConflict says that another process has this member's name, and which of the two stands back.
	NameConflict struct {
		Other  Record
		Yield  bool
		Reason string
	}
	// SelfSuspected says that this process was paused or starved for so long, or that it failed to hear others.
	SelfSuspected struct {
		Pause  time.Duration
		Health int
	}
	// RegionReachability says that a region is not reached any more, or again.
	RegionReachability struct {
		Region      string
		Unreachable bool
		Members     int
	}
	// Isolated says that nobody is heard any more, or that others are again.
	Isolated struct {
		Over    bool
		Members int
	}
	// SaveView says that the view, or the boot, should go to disk.
	SaveView struct{ BootOnly bool }
)

func (Send) action()               {}
func (OpenExchange) action()       {}
func (ExchangeReply) action()      {}
func (FinishExchange) action()     {}
func (MemberChanged) action()      {}
func (SizeChanged) action()        {}
func (NameConflict) action()       {}
func (SelfSuspected) action()      {}
func (SaveView) action()           {}
func (RegionReachability) action() {}
func (Isolated) action()           {}

// member is what is kept of another, or of this one.
type member struct {
	Record
	since    time.Duration // of its state, or its life
	dieAt    time.Duration // when it died or left: Age is told from it
	number   uint64        // the highest of its datagrams in this life
	suspect  *suspicion
	muted    time.Duration // no suspicion of this member's own before this: it refuted the last ones
	mutes    int
	via      string // the helper through which it was last reached
	place    int    // in live or silent
	listed   uint8  // which of the two
	region   *region
	spot     int           // in its region's list
	hidden   bool          // it can't be reached, whatever its record says
	nameHash uint64        // of its rank as a watcher
	hash     uint64        // its part in the digest
	stranger time.Duration // when its holder may be told again of another process with its name
	heardAt  time.Duration // a datagram of its present life came
	deaf     bool          // it has not answered directly since it was last heard
	ackAt    time.Duration // it answered this member, or a helper of it
	distance distance      // as this life's answers have shown it
}

const (
	inNone = iota
	inLive
	inSilent
)

// View is one member's. It belongs to one goroutine.
type View struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	due     time.Duration // of the earliest timer when the last step ended
	actions []Action

	self    *member
	members map[string]*member
	order   []string  // all names, sorted: chance must not depend on a map
	live    []*member // alive or suspect, without this one
	silent  []*member // dead
	regions map[string]*region
	areas   []*region // the same, in the order of their names
	home    *region   // this member's
	digest  uint64

	turn     []string // to be probed next, shuffled
	zoneTurn []string // the same, of its own zone
	zoneNext bool
	probeAt  time.Duration
	probes   []*probe
	errands  []*errand
	seq      uint32
	number   uint64
	health   int
	suspects []*member
	judgeAt  time.Duration // the earliest end of a suspicion; may be earlier than it is
	heard    []string      // who was heard directly, latest first
	via      string        // the helper through which anyone was last reached
	places   map[place]*distance
	lates    []late
	surveyAt time.Duration // regions and their watchers are looked at
	last     uint8         // bits of the last probes: missed
	lateAt   time.Duration // a step was late
	cutUntil time.Duration // most seemed beyond a cut not long ago
	heardAny time.Duration
	lone     bool // nobody is heard
	loneAt   time.Duration
	swept    []string
	bare     bool // no news goes with what is sent

	news      news
	newsAt    time.Duration
	budget    budget
	farBudget budget             // of what goes to other regions
	farAt     map[string]*region // by address, of members of other regions

	exchange   exchange
	streams    budget
	farStreams budget
	tryAt      time.Duration
	seedAt     time.Duration
	began      bool
	joined     bool // an exchange that it opened has succeeded in this life
	met        bool // one that another opened has
	settled    bool
	tidyAt     time.Duration
	standby    bool
	claim      claim
	leaving    int // times that it was still to be told
	leaveAt    time.Duration
	leaveState bool
	counts     counter
	saveAt     time.Duration // a save is due; 0: none
	sent       Traffic
}

// Traffic is what was sent and heard, in all.
type Traffic struct {
	Datagrams, Bytes, Exchanges, ExchangeBytes, Received, Stale, Withheld uint64
	RemoteBytes, RemoteExchangeBytes                                      uint64 // of these, to other regions
}

// New returns a view that knows itself, and, if it takes over without a gap, all that the process before knew.
func New(s Settings, seed uint64) (*View, error) {
	s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout = orIf(s.ProbeInterval, DefaultProbeInterval), orIf(s.ProbeTimeout, DefaultProbeTimeout), orIf(s.IndirectTimeout, DefaultIndirectTimeout)
	s.MinSuspicion, s.ReconnectFor = orIf(s.MinSuspicion, DefaultMinSuspicion), orIf(s.ReconnectFor, DefaultReconnectFor)
	s.BytesPerSecond, s.MaxMembers = orIf(s.BytesPerSecond, DefaultBytesPerSecond), orIf(s.MaxMembers, DefaultMaxMembers)
	s.RemoteBytesPerSecond = orIf(s.RemoteBytesPerSecond, max(s.BytesPerSecond/farShare, 2*datagramMost))
	own := Record{Name: s.Name, Addr: s.Addr, Zone: s.Zone, Region: s.Region, Program: s.Program, Boot: s.Boot, RunID: s.RunID, Incarnation: s.Incarnation,
		Instances: uint32(s.Instances), Balancers: uint32(s.Balancers)}
	if err := own.check(); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	if s.ProbeInterval <= 0 || s.ProbeTimeout <= 0 || s.IndirectTimeout <= 0 || s.MinSuspicion <= 0 || min(s.BytesPerSecond, s.RemoteBytesPerSecond) < 2*datagramMost || s.MaxMembers < 1 {
		return nil, fmt.Errorf("view: every %v, direct %v, indirect %v, suspect_least %v, bytes %d, %d of them far, members %d: all are above 0, and bytes at least %d",
			s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout, s.MinSuspicion, s.BytesPerSecond, s.RemoteBytesPerSecond, s.MaxMembers, 2*datagramMost)
	}
	v := &View{s: s, rng: rand.New(rand.NewPCG(seed, s.RunID)), members: map[string]*member{}, places: map[place]*distance{}, judgeAt: never,
		regions: map[string]*region{}, farAt: map[string]*region{}, surveyAt: never}
	v.home = v.regionOf(s.Region)
	v.self = &member{Record: own, region: v.home, nameHash: nameHash(s.Name)}
	v.members[s.Name], v.order = v.self, []string{s.Name}
	v.mark(v.self)
	v.budget = budget{rate: float64(s.BytesPerSecond), most: float64(s.BytesPerSecond)}
	v.streams = v.budget
	v.farBudget = budget{rate: float64(s.RemoteBytesPerSecond), most: float64(s.RemoteBytesPerSecond)}
	v.farStreams = v.farBudget
	v.counts.file, v.number = s.ConfiguredBalancers, s.DatagramNumber
	return v, nil
}

const never = time.Duration(math.MaxInt64 / 2)

// start is the first step.
func (v *View) start() {
	v.budget.start(v.now)
	v.farBudget.start(v.now)
	v.farStreams.start(v.now)
	v.self.since, v.heardAny, v.lateAt = v.now, v.now, v.now-calmFor
	v.probeAt = v.now + v.random(v.s.ProbeInterval)
	v.newsAt, v.tryAt, v.seedAt = v.now, v.now+v.random(time.Second), v.now
	v.tidyAt = v.now + 10*time.Second
	v.streams.start(v.now)
	v.exchange.quietAt = v.now + exchangeQuiet/2 + v.random(exchangeQuiet)
	v.counts.start(v)
	v.doors()
	if v.s.TakesOver {
		v.joined, v.settled = true, true
		for _, r := range v.s.Known {
			if r.Name != v.s.Name {
				v.merge(r, "taken over")
			}
		}
		v.news = news{} // others know all that
	}
	v.tell(v.self)
}

// doors collects the addresses by which the fleet may be met: seeds, and whoever was known in the last life. They
// may have left or moved since; that they were there is all that counts.
func (v *View) doors() {
	x := &v.exchange
	x.ask, x.next, x.rounds = nil, 0, 0
	add := func(addr string) {
		if addr != v.s.Addr && !slices.Contains(x.ask, addr) && len(x.ask) < doorsMost {
			x.ask = append(x.ask, addr)
		}
	}
	for _, s := range v.s.Seeds {
		add(s)
	}
	for _, i := range v.rng.Perm(len(v.s.Known)) {
		if r := &v.s.Known[i]; r.Name != v.s.Name && r.State != Left && r.check() == nil {
			add(r.Addr)
		}
	}
	v.rng.Shuffle(len(x.ask), func(i, j int) { x.ask[i], x.ask[j] = x.ask[j], x.ask[i] })
	v.joined = len(x.ask) == 0
	x.again = append(slices.Clone(x.ask), x.ask...)
	x.soon(v, 0)
}

// random is a time from 0 to most.
func (v *View) random(most time.Duration) time.Duration {
	return time.Duration(v.rng.Float64() * float64(most))
}

// Next is when the view must be stepped again at the latest, if nothing happens before.
func (v *View) Next() time.Duration { return v.due }

// Step takes what has happened by now, in order, and returns what to do.
func (v *View) Step(now time.Duration, events ...Event) []Action {
	first := !v.began
	v.began = true
	v.now, v.actions = max(now, v.now), nil
	if first {
		v.start()
	} else if late := v.now - v.due; late > lateLeast {
		v.lateAt = v.now
		v.heardAny += late // what it would have heard meanwhile
		if late > pauseLeast {
			v.paused(late)
		}
	}
	v.budget.fill(v.now)
	v.farBudget.fill(v.now)
	for _, e := range events {
		switch e := e.(type) {
		case DatagramReceived:
			v.onDatagram(e)
		case ExchangeRequest:
			v.onAsked(e)
		case ExchangeResponse:
			v.onAnswered(e)
		case ExchangeClosed:
			v.takeAll(e.Message, "exchange")
		case ExchangeFailed:
			v.onFailed(e)
		case LocalInfo:
			v.onSelf(e)
		case Leave:
			v.leave()
		case ForgetMember:
			v.forget(e.Name)
		case TookOver:
			v.self.Incarnation++
			v.tell(v.self)
		}
	}
	v.timers()
	v.schedule()
	return v.actions
}

// timers does what is due.
func (v *View) timers() {
	if v.leaveState {
		v.goOn()
		return
	}
	v.claimDue()
	v.errandsDue()
	if v.standby {
		return
	}
	v.survey()
	v.loneDue()
	v.probesDue()
	v.watchDue()
	v.suspicionsDue()
	v.newsDue()
	v.exchangeDue()
	v.tryDue()
	v.tidy()
	v.counts.due(v)
	if v.saveAt > 0 && v.now >= v.saveAt {
		v.saveAt = 0
		v.do(SaveView{})
	}
}

// schedule finds the earliest timer.
func (v *View) schedule() {
	due := never
	at := func(t time.Duration) {
		if t > 0 {
			due = min(due, t)
		}
	}
	if v.leaveState {
		due = v.now + time.Hour
		if v.leaving > 0 {
			due = v.leaveAt
		}
		v.due = due
		return
	}
	at(v.claim.at)
	for _, e := range v.errands {
		at(e.until)
	}
	if !v.standby {
		at(v.probeAt)
		for _, p := range v.probes {
			at(p.until)
		}
		if len(v.suspects) > 0 {
			at(v.judgeAt)
		}
		if !v.news.empty() {
			at(v.newsAt)
		}
		v.watchNext(at)
		at(v.surveyAt)
		if v.mayBeLone() {
			at(v.heardAny + v.loneAfter())
		}
		at(v.exchange.due(v))
		at(v.tryAt)
		at(v.tidyAt)
		at(v.counts.at)
		at(v.saveAt)
	}
	v.due = max(due, v.now+time.Millisecond)
}

func (v *View) do(a Action) { v.actions = append(v.actions, a) }

// saveSoon has the view saved within a few seconds.
func (v *View) saveSoon() {
	if v.saveAt == 0 {
		v.saveAt = v.now + 2*time.Second + v.random(time.Second)
	}
}

// paused takes note that this process did nothing for a while: it was stopped, starved, or its host slept. What it
// was about to conclude rests on answers that it did not read in time. So no probe of that time counts, no
// suspicion ends sooner than if the time had not passed, and what it meant to accuse others of is not told.
func (v *View) paused(late time.Duration) {
	if v.s.Baseline.NoLifeguard {
		return
	}
	v.probes = nil
	v.probeAt = v.now + v.random(v.s.ProbeInterval)
	for _, r := range v.areas {
		r.missed, r.ackAt = 0, v.now
	}
	for _, m := range v.suspects {
		m.suspect.from += late
		if m.suspect.mine {
			m.suspect.from = v.now
		}
	}
	v.judgeAt = 0
	v.worsen(1 + int(late/time.Second))
	if late >= time.Second {
		v.do(SelfSuspected{Pause: late, Health: v.health})
		v.exchange.soon(v, 0)
	}
	if late >= time.Second {
		v.news.drop(func(m *member) bool { return m.State == Suspect || m.State == Dead })
	}
}

// worsen takes note of a sign that this member itself is slow or badly connected.
func (v *View) worsen(n int) {
	if !v.s.Baseline.NoLifeguard {
		v.health = min(healthMost, v.health+n)
	}
}

func (v *View) better() { v.health = max(0, v.health-1) }

// patience is a time, longer while this member doubts itself, unless it knows better.
func (v *View) patience(d time.Duration) time.Duration {
	if v.cutOff() {
		return d
	}
	return d * time.Duration(1+v.health)
}

// Members are all that are known, this one included, in the order of their names. Ages are as of the last step. Who
// can't be reached, since its region is not or nobody is, is dead here.
func (v *View) Members() []Record { return v.all(v.seen) }

// Records are the same by their records alone, which is what another process goes on from.
func (v *View) Records() []Record { return v.all(v.told) }

func (v *View) all(as func(*member) Record) []Record {
	all := make([]Record, 0, len(v.order))
	for _, n := range v.order {
		all = append(all, as(v.members[n]))
	}
	return all
}

// Addr is where a member is reached, by the name; empty: it is not known.
func (v *View) Addr(name string) string {
	if name == v.self.Name {
		return v.self.Addr
	}
	if m := v.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Since is when a member's present state began here; 0: it is not known.
func (v *View) Since(name string) time.Duration {
	if m := v.members[name]; m != nil {
		if m.shown() != m.State {
			return v.hiddenSince(m)
		}
		return m.since
	}
	return 0
}

// DatagramNumber is how many datagrams this life has sent; Up how long it has run. A process that follows goes on from both.
func (v *View) DatagramNumber() uint64 { return v.number }
func (v *View) Uptime() time.Duration  { return v.up() }

// Local is this member's record.
func (v *View) Local() Record { return v.self.Record }

// Digest is of the view: two members with the same one know the same.
func (v *View) Digest() uint64 { return v.digest }

// Health is 0 where this member hears all that it should, and more where it is slow or badly connected.
func (v *View) Health() int { return v.health }

// Yields reports whether another process has this one's name, and it says nothing therefore.
func (v *View) Yields() bool { return v.standby }

// OwnsName reports whether it has its name for itself, as far as it can know: it has met the fleet, or looked for it in vain
// for a while, and nobody else is known by the name.
func (v *View) OwnsName() bool {
	return !v.standby && v.claim.at == 0 && (v.joined || v.met || v.now-v.self.since > standLook)
}

// Joined reports whether it has met the fleet in this life, or knows that there is nobody to meet.
func (v *View) Joined() bool { return v.joined }

// Traffic is what was sent and heard so far.
func (v *View) Traffic() Traffic { return v.sent }

// Size is of the balancers that share the servers.
func (v *View) Size() Size { return v.counts.told }

// told is a member's record as it is told to others.
func (v *View) told(m *member) Record {
	r := m.Record
	if r.State >= Dead {
		r.AgeSeconds = uint32(max(0, v.now-m.dieAt) / time.Second)
	}
	return r
}

// check says what is wrong with a record that came from elsewhere.
func (r *Record) check() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes || strings.ContainsAny(r.Name, " \t\r\n\"") || !printable(r.Name):
		return fmt.Errorf("%q is no name: 1 to %d printable characters without spaces are allowed", r.Name, MaxNameBytes)
	case len(r.Zone) > MaxNameBytes || !printable(r.Zone):
		return fmt.Errorf("zone %q: up to %d printable characters are allowed", r.Zone, MaxNameBytes)
	case len(r.Region) > MaxNameBytes || !printable(r.Region):
		return fmt.Errorf("region %q: up to %d printable characters are allowed", r.Region, MaxNameBytes)
	case len(r.UnreachableRegions) > regionsMost:
		return fmt.Errorf("%d regions that are not reached: up to %d are allowed", len(r.UnreachableRegions), regionsMost)
	case len(r.Program) > MaxNameBytes || !printable(r.Program):
		return fmt.Errorf("version %q: up to %d printable characters are allowed", r.Program, MaxNameBytes)
	case len(r.Reporter) > MaxNameBytes || !printable(r.Reporter):
		return fmt.Errorf("by %q: up to %d printable characters are allowed", r.Reporter, MaxNameBytes)
	case len(r.Metadata) > MaxMetadataBytes:
		return fmt.Errorf("a note of %d bytes: up to %d are allowed", len(r.Metadata), MaxMetadataBytes)
	case r.State > Left:
		return fmt.Errorf("%v is unknown", r.State)
	case r.Instances > 1<<20 || r.Balancers > 1<<20:
		return fmt.Errorf("%d instances, %d balancers: up to %d are allowed", r.Instances, r.Balancers, 1<<20)
	}
	if a, err := netip.ParseAddrPort(r.Addr); err != nil || a.Port() == 0 {
		return fmt.Errorf("address %q: one such as 127.0.0.1:7946 is needed", r.Addr)
	}
	return nil
}

// MaxNameBytes is the longest name, zone or version, in bytes.
const MaxNameBytes = 64

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f || c == '\uFFFD' })
}

// newer orders what is told of one name: a later boot before all, then the incarnation, then the more final state.
func (r *Record) newer(than *Record) bool {
	switch {
	case r.Boot != than.Boot:
		return r.Boot > than.Boot
	case r.RunID != than.RunID:
		return r.RunID > than.RunID
	case r.Incarnation != than.Incarnation:
		return r.Incarnation > than.Incarnation
	}
	return r.State > than.State
}

// insert keeps the names in order.
func (v *View) insert(name string) {
	i, _ := slices.BinarySearch(v.order, name)
	v.order = slices.Insert(v.order, i, name)
}

func (v *View) remove(name string) {
	if i, ok := slices.BinarySearch(v.order, name); ok {
		v.order = slices.Delete(v.order, i, i+1)
	}
}

// mark brings the digest up to what is now known of a member.
func (v *View) mark(m *member) {
	v.digest ^= m.hash
	m.hash = hashOf(&m.Record)
	v.digest ^= m.hash
}

// hashOf is a member's part in the digest (FNV-1a over what orders records, and then mixed, since parts are summed
// by exclusive or). A suspicion is not in it: it comes and goes.
func hashOf(r *Record) uint64 {
	f := fnv.New64a()
	_, _ = io.WriteString(f, r.Name) // a hash takes all
	state := r.State
	if state == Suspect {
		state = Alive
	}
	var numbers []byte
	for _, n := range [...]uint64{r.Boot, r.RunID, uint64(r.Incarnation), uint64(state)} {
		numbers = binary.LittleEndian.AppendUint64(numbers, n)
	}
	_, _ = f.Write(numbers)
	return mix(f.Sum64())
}

// mix has each bit of a number tell on all (MurmurHash3's finalizer).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func nameHash(name string) uint64 {
	f := fnv.New64a()
	_, _ = io.WriteString(f, name)
	return f.Sum64()
}

// sort puts a member into the list in which its state belongs.
func (v *View) sort(m *member) {
	want := uint8(inNone)
	switch {
	case m == v.self:
	case m.State <= Suspect:
		want = inLive
	case m.State == Dead:
		want = inSilent
	}
	region := v.home
	if m != v.self {
		region = v.regionOf(m.Region)
	}
	if m.listed == want && m.region == region {
		return
	}
	v.surveyAt = v.now
	switch m.listed {
	case inLive:
		drop(&v.live, m.place, func(o *member, i int) { o.place = i })
		drop(&m.region.live, m.spot, func(o *member, i int) { o.spot = i })
	case inSilent:
		drop(&v.silent, m.place, func(o *member, i int) { o.place = i })
		drop(&m.region.silent, m.spot, func(o *member, i int) { o.spot = i })
	}
	m.listed, m.region = want, region
	switch want {
	case inLive:
		m.place, v.live = len(v.live), append(v.live, m)
		m.spot, region.live = len(region.live), append(region.live, m)
	case inSilent:
		m.place, v.silent = len(v.silent), append(v.silent, m)
		m.spot, region.silent = len(region.silent), append(region.silent, m)
	}
}

// drop takes one out of a list, and puts the last one into its place.
func drop(list *[]*member, at int, put func(m *member, at int)) {
	all := *list
	last := all[len(all)-1]
	all[at] = last
	put(last, at)
	*list = all[:len(all)-1]
}

// NextBootNumber is the boot number of a process that starts: above the last one saved, and, where the disk is lost, above
// it all the same as long as the clock has not been set back by more than it ran; what even that leaves, others
// tell, and it is outbid. wall is in seconds, Unix.
func NextBootNumber(saved uint64, wall int64) uint64 {
	return max(saved+1, uint64(max(0, wall)))
}
