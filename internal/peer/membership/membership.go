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
	KnownMembers              []Record // from the last run: asked first, believed last
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
	maxSuspicionFactor       = 3    // times SuspectLeast, without a second accuser
	maxExtraReporters        = 3    // further ones that bring it down to the least
	indirectHelpers          = 3    // asked for an indirect probe
	retransmitFactor         = 3    // each news is sent so many times the binary digits of the fleet's size
	gossipFanout             = 3    // members that news goes to at a time, besides probes
	maxDatagramBytes         = 1200 // bytes of a datagram: it fits one packet everywhere
	maxLocalHealth           = 8
	replayWindow             = 4096 // datagrams of one sender that may come so late
	gossipInterval           = 100 * time.Millisecond
	minPause                 = 150 * time.Millisecond // late by more, this process was starved or paused
	minExchangeInterval      = time.Second            // between two exchanges that this member begins, at the least
	periodicExchangeInterval = 30 * time.Second       // one is made even if all digests agree
	joinTimeout              = time.Second            // one that looks for the fleet waits so long at each door
	exchangeTimeout          = 5 * time.Second        // an exchange that has not ended by then has failed
	maxReconnectsPerSecond   = 2.0                    // silent addresses that one member tries in a second at most
	leftRetention            = time.Hour              // so long a name that left is remembered: old news must not bring it back
	maxCorrections           = 4                      // members of which one that accuses them wrongly is told at once
	maxRecentSenders         = 8
	lostTransmissionFactor   = 3               // news goes so many times as often to those that do not seem to hear
	recentSenderAge          = 3 * time.Second // by then one that can be heard is, in fleets up to 15: it probes, or answers a probe
	maxReferrals             = 8               // members named to one that is told to come back
	joinRetryInterval        = time.Second     // between two tries of doors at which nobody is known yet
	maxJoinAddrs             = 64              // addresses by which the fleet is looked for
)

func valueOr[T comparable](v, instead T) T {
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
		Record    Record
		Previous  State
		FirstSeen bool // it was not known
		Reason    string
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
		Ended   bool
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
	stateSince         time.Duration // of its state, or its life
	diedAt             time.Duration // when it died or left: Age is told from it
	highestNumber      uint64        // the highest of its datagrams in this life
	suspicion          *suspicion
	noSuspicionBefore  time.Duration // no suspicion of this member's own before this: it refuted the last ones
	refutedSuspicions  int
	lastHelper         string // the helper through which it was last reached
	listIndex          int    // in live or silent
	list               uint8  // which of the two
	region             *region
	regionIndex        int           // in its region's list
	unreachable        bool          // it can't be reached, whatever its record says
	nameHash           uint64        // of its rank as a watcher
	digest             uint64        // its part in the digest
	nextConflictNotice time.Duration // when its holder may be told again of another process with its name
	receivedAt         time.Duration // a datagram of its present life came
	unresponsive       bool          // it has not answered directly since it was last heard
	ackAt              time.Duration // it answered this member, or a helper of it
	roundTrip          roundTrip     // as this life's answers have shown it
}

const (
	listNone = iota
	listLive
	listDead
)

// View is one member's. It belongs to one goroutine.
type View struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	wakeAt   time.Duration // of the earliest timer when the last step ended
	actions  []Action

	self          *member
	members       map[string]*member
	sortedNames   []string  // all names, sorted: chance must not depend on a map
	live          []*member // alive or suspect, without this one
	dead          []*member // dead
	regions       map[string]*region
	sortedRegions []*region // the same, in the order of their names
	localRegion   *region   // this member's
	digest        uint64

	probeOrder       []string // to be probed next, shuffled
	zoneProbeOrder   []string // the same, of its own zone
	lastProbeInZone  bool
	probeAt          time.Duration
	probes           []*probe
	relayed          []*relayedRequest
	lastSeq          uint32
	datagramNumber   uint64
	localHealth      int
	suspects         []*member
	suspicionsAt     time.Duration // the earliest end of a suspicion; may be earlier than it is
	recentSenders    []string      // who was heard directly, latest first
	lastHelper       string        // the helper through which anyone was last reached
	localities       map[locality]*roundTrip
	timedOut         []timedOutProbe
	regionsCheckAt   time.Duration // regions and their watchers are looked at
	recentMisses     uint8         // bits of the last probes: missed
	lateStepAt       time.Duration // a step was late
	partitionedUntil time.Duration // most seemed beyond a cut not long ago
	lastReceivedAt   time.Duration
	isolated         bool // nobody is heard
	isolatedAt       time.Duration
	sweepOrder       []string
	withoutUpdates   bool // no news goes with what is sent

	updates      updateQueue
	gossipAt     time.Duration
	budget       tokenBucket
	remoteBudget tokenBucket        // of what goes to other regions
	remoteAddrs  map[string]*region // by address, of members of other regions

	exchange           exchangeState
	streamBudget       tokenBucket
	remoteStreamBudget tokenBucket
	reconnectAt        time.Duration
	seedRetryAt        time.Duration
	started            bool
	joined             bool // an exchange that it opened has succeeded in this life
	contacted          bool // one that another opened has
	settled            bool
	cleanupAt          time.Duration
	yielding           bool
	claim              nameClaim
	leaveRounds        int // times that it was still to be told
	leaveRoundAt       time.Duration
	isLeaving          bool
	sizes              sizeTracker
	saveAt             time.Duration // a save is due; 0: none
	traffic            Traffic
}

// Traffic is what was sent and heard, in all.
type Traffic struct {
	Datagrams, Bytes, Exchanges, ExchangeBytes, Received, Stale, Withheld uint64
	RemoteBytes, RemoteExchangeBytes                                      uint64 // of these, to other regions
}

// New returns a view that knows itself, and, if it takes over without a gap, all that the process before knew.
func New(s Settings, seed uint64) (*View, error) {
	s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout = valueOr(s.ProbeInterval, DefaultProbeInterval), valueOr(s.ProbeTimeout, DefaultProbeTimeout), valueOr(s.IndirectTimeout, DefaultIndirectTimeout)
	s.MinSuspicion, s.ReconnectFor = valueOr(s.MinSuspicion, DefaultMinSuspicion), valueOr(s.ReconnectFor, DefaultReconnectFor)
	s.BytesPerSecond, s.MaxMembers = valueOr(s.BytesPerSecond, DefaultBytesPerSecond), valueOr(s.MaxMembers, DefaultMaxMembers)
	s.RemoteBytesPerSecond = valueOr(s.RemoteBytesPerSecond, max(s.BytesPerSecond/remoteBudgetDivisor, 2*maxDatagramBytes))
	own := Record{Name: s.Name, Addr: s.Addr, Zone: s.Zone, Region: s.Region, Program: s.Program, Boot: s.Boot, RunID: s.RunID, Incarnation: s.Incarnation,
		Instances: uint32(s.Instances), Balancers: uint32(s.Balancers)}
	if err := own.check(); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	if s.ProbeInterval <= 0 || s.ProbeTimeout <= 0 || s.IndirectTimeout <= 0 || s.MinSuspicion <= 0 || min(s.BytesPerSecond, s.RemoteBytesPerSecond) < 2*maxDatagramBytes || s.MaxMembers < 1 {
		return nil, fmt.Errorf("view: every %v, direct %v, indirect %v, suspect_least %v, bytes %d, %d of them far, members %d: all are above 0, and bytes at least %d",
			s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout, s.MinSuspicion, s.BytesPerSecond, s.RemoteBytesPerSecond, s.MaxMembers, 2*maxDatagramBytes)
	}
	v := &View{settings: s, rng: rand.New(rand.NewPCG(seed, s.RunID)), members: map[string]*member{}, localities: map[locality]*roundTrip{}, suspicionsAt: never,
		regions: map[string]*region{}, remoteAddrs: map[string]*region{}, regionsCheckAt: never}
	v.localRegion = v.regionOf(s.Region)
	v.self = &member{Record: own, region: v.localRegion, nameHash: nameHash(s.Name)}
	v.members[s.Name], v.sortedNames = v.self, []string{s.Name}
	v.updateDigest(v.self)
	v.budget = tokenBucket{rate: float64(s.BytesPerSecond), capacity: float64(s.BytesPerSecond)}
	v.streamBudget = v.budget
	v.remoteBudget = tokenBucket{rate: float64(s.RemoteBytesPerSecond), capacity: float64(s.RemoteBytesPerSecond)}
	v.remoteStreamBudget = v.remoteBudget
	v.sizes.configured, v.datagramNumber = s.ConfiguredBalancers, s.DatagramNumber
	return v, nil
}

const never = time.Duration(math.MaxInt64 / 2)

// start is the first step.
func (v *View) start() {
	v.budget.start(v.now)
	v.remoteBudget.start(v.now)
	v.remoteStreamBudget.start(v.now)
	v.self.stateSince, v.lastReceivedAt, v.lateStepAt = v.now, v.now, v.now-minOnTimePeriod
	v.probeAt = v.now + v.randomUpTo(v.settings.ProbeInterval)
	v.gossipAt, v.reconnectAt, v.seedRetryAt = v.now, v.now+v.randomUpTo(time.Second), v.now
	v.cleanupAt = v.now + 10*time.Second
	v.streamBudget.start(v.now)
	v.exchange.periodicAt = v.now + periodicExchangeInterval/2 + v.randomUpTo(periodicExchangeInterval)
	v.sizes.start(v)
	v.collectJoinAddrs()
	if v.settings.TakesOver {
		v.joined, v.settled = true, true
		for _, r := range v.settings.KnownMembers {
			if r.Name != v.settings.Name {
				v.merge(r, "taken over")
			}
		}
		v.updates = updateQueue{} // others know all that
	}
	v.announce(v.self)
}

// collectJoinAddrs collects the addresses by which the fleet may be met: seeds, and whoever was known in the last life. They
// may have left or moved since; that they were there is all that counts.
func (v *View) collectJoinAddrs() {
	x := &v.exchange
	x.joinAddrs, x.nextJoinAddr, x.joinRounds = nil, 0, 0
	add := func(addr string) {
		if addr != v.settings.Addr && !slices.Contains(x.joinAddrs, addr) && len(x.joinAddrs) < maxJoinAddrs {
			x.joinAddrs = append(x.joinAddrs, addr)
		}
	}
	for _, s := range v.settings.Seeds {
		add(s)
	}
	for _, i := range v.rng.Perm(len(v.settings.KnownMembers)) {
		if r := &v.settings.KnownMembers[i]; r.Name != v.settings.Name && r.State != Left && r.check() == nil {
			add(r.Addr)
		}
	}
	v.rng.Shuffle(len(x.joinAddrs), func(i, j int) { x.joinAddrs[i], x.joinAddrs[j] = x.joinAddrs[j], x.joinAddrs[i] })
	v.joined = len(x.joinAddrs) == 0
	x.retryAddrs = append(slices.Clone(x.joinAddrs), x.joinAddrs...)
	x.scheduleIn(v, 0)
}

// randomUpTo is a time from 0 to most.
func (v *View) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(v.rng.Float64() * float64(most))
}

// Next is when the view must be stepped again at the latest, if nothing happens before.
func (v *View) Next() time.Duration { return v.wakeAt }

// Step takes what has happened by now, in order, and returns what to do.
func (v *View) Step(now time.Duration, events ...Event) []Action {
	first := !v.started
	v.started = true
	v.now, v.actions = max(now, v.now), nil
	if first {
		v.start()
	} else if late := v.now - v.wakeAt; late > lateStepThreshold {
		v.lateStepAt = v.now
		v.lastReceivedAt += late // what it would have heard meanwhile
		if late > minPause {
			v.resumeAfterPause(late)
		}
	}
	v.budget.fill(v.now)
	v.remoteBudget.fill(v.now)
	for _, e := range events {
		switch e := e.(type) {
		case DatagramReceived:
			v.onDatagram(e)
		case ExchangeRequest:
			v.onExchangeRequest(e)
		case ExchangeResponse:
			v.onExchangeResponse(e)
		case ExchangeClosed:
			v.mergeAll(e.Message, "exchange")
		case ExchangeFailed:
			v.onExchangeFailed(e)
		case LocalInfo:
			v.onLocalInfo(e)
		case Leave:
			v.leave()
		case ForgetMember:
			v.forgetMember(e.Name)
		case TookOver:
			v.self.Incarnation++
			v.announce(v.self)
		}
	}
	v.runTimers()
	v.schedule()
	return v.actions
}

// runTimers does what is due.
func (v *View) runTimers() {
	if v.isLeaving {
		v.leaveDue()
		return
	}
	v.nameClaimDue()
	v.relayedDue()
	if v.yielding {
		return
	}
	v.regionsDue()
	v.isolationDue()
	v.probesDue()
	v.watchedRegionsDue()
	v.suspicionsDue()
	v.gossipDue()
	v.exchangeDue()
	v.reconnectDue()
	v.cleanupDue()
	v.sizes.publish(v)
	if v.saveAt > 0 && v.now >= v.saveAt {
		v.saveAt = 0
		v.emit(SaveView{})
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
	if v.isLeaving {
		due = v.now + time.Hour
		if v.leaveRounds > 0 {
			due = v.leaveRoundAt
		}
		v.wakeAt = due
		return
	}
	at(v.claim.dueAt)
	for _, e := range v.relayed {
		at(e.until)
	}
	if !v.yielding {
		at(v.probeAt)
		for _, p := range v.probes {
			at(p.until)
		}
		if len(v.suspects) > 0 {
			at(v.suspicionsAt)
		}
		if !v.updates.empty() {
			at(v.gossipAt)
		}
		v.watchedRegionTimers(at)
		at(v.regionsCheckAt)
		if v.canBeIsolated() {
			at(v.lastReceivedAt + v.isolationTimeout())
		}
		at(v.exchange.nextAt(v))
		at(v.reconnectAt)
		at(v.cleanupAt)
		at(v.sizes.nextStepAt)
		at(v.saveAt)
	}
	v.wakeAt = max(due, v.now+time.Millisecond)
}

func (v *View) emit(a Action) { v.actions = append(v.actions, a) }

// saveSoon has the view saved within a few seconds.
func (v *View) saveSoon() {
	if v.saveAt == 0 {
		v.saveAt = v.now + 2*time.Second + v.randomUpTo(time.Second)
	}
}

// resumeAfterPause takes note that this process did nothing for a while: it was stopped, starved, or its host slept. What it
// was about to conclude rests on answers that it did not read in time. So no probe of that time counts, no
// suspicion ends sooner than if the time had not passed, and what it meant to accuse others of is not told.
func (v *View) resumeAfterPause(late time.Duration) {
	if v.settings.Baseline.NoLifeguard {
		return
	}
	v.probes = nil
	v.probeAt = v.now + v.randomUpTo(v.settings.ProbeInterval)
	for _, r := range v.sortedRegions {
		r.missedProbes, r.lastAckAt = 0, v.now
	}
	for _, m := range v.suspects {
		m.suspicion.startedAt += late
		if m.suspicion.reportedHere {
			m.suspicion.startedAt = v.now
		}
	}
	v.suspicionsAt = 0
	v.degradeHealth(1 + int(late/time.Second))
	if late >= time.Second {
		v.emit(SelfSuspected{Pause: late, Health: v.localHealth})
		v.exchange.scheduleIn(v, 0)
	}
	if late >= time.Second {
		v.updates.removeAbout(func(m *member) bool { return m.State == Suspect || m.State == Dead })
	}
}

// degradeHealth takes note of a sign that this member itself is slow or badly connected.
func (v *View) degradeHealth(n int) {
	if !v.settings.Baseline.NoLifeguard {
		v.localHealth = min(maxLocalHealth, v.localHealth+n)
	}
}

func (v *View) improveHealth() { v.localHealth = max(0, v.localHealth-1) }

// scaledByHealth is a time, longer while this member doubts itself, unless it knows better.
func (v *View) scaledByHealth(d time.Duration) time.Duration {
	if v.isPartitioned() {
		return d
	}
	return d * time.Duration(1+v.localHealth)
}

// Members are all that are known, this one included, in the order of their names. Ages are as of the last step. Who
// can't be reached, since its region is not or nobody is, is dead here.
func (v *View) Members() []Record { return v.all(v.effectiveRecord) }

// Records are the same by their records alone, which is what another process goes on from.
func (v *View) Records() []Record { return v.all(v.outgoingRecord) }

func (v *View) all(as func(*member) Record) []Record {
	all := make([]Record, 0, len(v.sortedNames))
	for _, n := range v.sortedNames {
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
		if m.effectiveState() != m.State {
			return v.unreachableSince(m)
		}
		return m.stateSince
	}
	return 0
}

// DatagramNumber is how many datagrams this life has sent; Up how long it has run. A process that follows goes on from both.
func (v *View) DatagramNumber() uint64 { return v.datagramNumber }
func (v *View) Uptime() time.Duration  { return v.uptime() }

// Local is this member's record.
func (v *View) Local() Record { return v.self.Record }

// Digest is of the view: two members with the same one know the same.
func (v *View) Digest() uint64 { return v.digest }

// Health is 0 where this member hears all that it should, and more where it is slow or badly connected.
func (v *View) Health() int { return v.localHealth }

// Yields reports whether another process has this one's name, and it says nothing therefore.
func (v *View) Yields() bool { return v.yielding }

// OwnsName reports whether it has its name for itself, as far as it can know: it has met the fleet, or looked for it in vain
// for a while, and nobody else is known by the name.
func (v *View) OwnsName() bool {
	return !v.yielding && v.claim.dueAt == 0 && (v.joined || v.contacted || v.now-v.self.stateSince > yieldCheckInterval)
}

// Joined reports whether it has met the fleet in this life, or knows that there is nobody to meet.
func (v *View) Joined() bool { return v.joined }

// Traffic is what was sent and heard so far.
func (v *View) Traffic() Traffic { return v.traffic }

// Size is of the balancers that share the servers.
func (v *View) Size() Size { return v.sizes.reported }

// outgoingRecord is a member's record as it is told to others.
func (v *View) outgoingRecord(m *member) Record {
	r := m.Record
	if r.State >= Dead {
		r.AgeSeconds = uint32(max(0, v.now-m.diedAt) / time.Second)
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
	case len(r.UnreachableRegions) > maxRegions:
		return fmt.Errorf("%d regions that are not reached: up to %d are allowed", len(r.UnreachableRegions), maxRegions)
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

// insertName keeps the names in order.
func (v *View) insertName(name string) {
	i, _ := slices.BinarySearch(v.sortedNames, name)
	v.sortedNames = slices.Insert(v.sortedNames, i, name)
}

func (v *View) removeName(name string) {
	if i, ok := slices.BinarySearch(v.sortedNames, name); ok {
		v.sortedNames = slices.Delete(v.sortedNames, i, i+1)
	}
}

// updateDigest brings the digest up to what is now known of a member.
func (v *View) updateDigest(m *member) {
	v.digest ^= m.digest
	m.digest = recordDigest(&m.Record)
	v.digest ^= m.digest
}

// recordDigest is a member's part in the digest (FNV-1a over what orders records, and then mixed, since parts are summed
// by exclusive or). A suspicion is not in it: it comes and goes.
func recordDigest(r *Record) uint64 {
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

// updateLists puts a member into the list in which its state belongs.
func (v *View) updateLists(m *member) {
	want := uint8(listNone)
	switch {
	case m == v.self:
	case m.State <= Suspect:
		want = listLive
	case m.State == Dead:
		want = listDead
	}
	region := v.localRegion
	if m != v.self {
		region = v.regionOf(m.Region)
	}
	if m.list == want && m.region == region {
		return
	}
	v.regionsCheckAt = v.now
	switch m.list {
	case listLive:
		swapRemoveAt(&v.live, m.listIndex, func(o *member, i int) { o.listIndex = i })
		swapRemoveAt(&m.region.live, m.regionIndex, func(o *member, i int) { o.regionIndex = i })
	case listDead:
		swapRemoveAt(&v.dead, m.listIndex, func(o *member, i int) { o.listIndex = i })
		swapRemoveAt(&m.region.dead, m.regionIndex, func(o *member, i int) { o.regionIndex = i })
	}
	m.list, m.region = want, region
	switch want {
	case listLive:
		m.listIndex, v.live = len(v.live), append(v.live, m)
		m.regionIndex, region.live = len(region.live), append(region.live, m)
	case listDead:
		m.listIndex, v.dead = len(v.dead), append(v.dead, m)
		m.regionIndex, region.dead = len(region.dead), append(region.dead, m)
	}
}

// swapRemoveAt takes one out of a list, and puts the last one into its place.
func swapRemoveAt(list *[]*member, at int, put func(m *member, at int)) {
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
