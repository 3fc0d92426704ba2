package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// never is a time that does not come. It is half of what a Duration holds, so that differences with it fit.
	never = time.Duration(math.MaxInt64 / 2)

	// saveDelay and saveJitter put off a SaveView, so that one write covers many changes and members on one disk do
	// not write together. Longer loses more on a crash, shorter writes more often.
	saveDelay  = 2 * time.Second
	saveJitter = time.Second

	// maxSleepAfterLeave is when a member that has left wants to be stepped again.
	maxSleepAfterLeave = time.Hour
	// minStepInterval bounds how often a View wants to be stepped.
	minStepInterval = time.Millisecond
)

// View is one member's view of the fleet. It belongs to one goroutine: none of its methods may be called concurrently.
type View struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // of the present step
	wakeAt   time.Duration // the earliest timer, as of the end of the last step
	actions  []Action      // of the present step
	started  bool          // the first step has been made
	traffic  Traffic
	saveAt   time.Duration // a SaveView is due; 0: none

	// Members.
	self          *member
	members       map[string]*member // this one included
	sortedNames   []string           // of all members: random draws must not depend on a map's order
	live          []*member          // alive or suspect, without this one
	dead          []*member
	regions       map[string]*region
	sortedRegions []*region // the same, by name
	localRegion   *region
	digest        uint64 // over all records
	sizes         sizeTracker
	cleanupAt     time.Duration

	// Failure detection.
	probeAt         time.Duration // the next probe
	probeOrder      []string      // to be probed next, shuffled; the last one first
	zoneProbeOrder  []string      // the same, for this member's zone
	lastProbeInZone bool          // the last target came from zoneProbeOrder
	probes          []*probe      // that await an ack
	timedOut        []timedOutProbe
	relayed         []*relayedRequest // that this member sent on behalf of others
	lastSeq         uint32            // sequence number of the last probe
	lastHelper      string            // through which any member was last reached
	localities      map[locality]*roundTrip
	suspects        []*member
	suspicionsAt    time.Duration // the earliest end of a suspicion, or before it
	regionsCheckAt  time.Duration // watchers and reachability of regions are checked

	// This member's own condition.
	localHealth      int           // Lifeguard's local health multiplier; 0: healthy
	lateStepAt       time.Duration // when a step last came late
	recentMisses     uint8         // one bit for each of the last probes; 1: missed
	partitionedUntil time.Duration // most members seemed to be beyond a partition not long ago
	sweepOrder       []string      // to be probed additionally during a partition
	lastReceivedAt   time.Duration // a datagram of any member came
	isolated         bool          // no datagram of any member comes
	isolatedAt       time.Duration

	// Gossip and what may be sent.
	updates            updateQueue
	gossipAt           time.Duration
	recentSenders      []string // whose datagrams came, the latest first
	datagramNumber     uint64   // of the last datagram sent
	budget             tokenBucket
	remoteBudget       tokenBucket        // of datagrams to other regions
	streamBudget       tokenBucket        // of streams
	remoteStreamBudget tokenBucket        // of streams to other regions
	remoteAddrs        map[string]*region // by address, of members of other regions
	remoteOwners       map[string]*member // the same addresses: whose record says so

	// Joining, and agreement with others.
	exchange    exchangeState
	reconnectAt time.Duration // a dead member is contacted
	seedRetryAt time.Duration // a seed is contacted again
	joined      bool          // an exchange that this member opened has succeeded, or there is nobody to join
	contacted   bool          // an exchange that another member opened has succeeded
	settled     bool          // the view has agreed with another one's: Size no longer rests on ConfiguredBalancers

	// This member's name, and its leave.
	nameClaim       nameClaim
	yielding        bool // another process keeps this member's name: it sends nothing but identity requests
	isLeaving       bool
	leaveRoundsLeft int // times that the leave is still to be gossiped
	leaveRoundAt    time.Duration
}

// Traffic counts what was sent and received so far.
type Traffic struct {
	Datagrams, Bytes                 uint64 // sent
	Exchanges, ExchangeBytes         uint64 // opened by this member; bytes sent on streams
	Received                         uint64 // valid datagrams
	Stale                            uint64 // of these, from an earlier process or too old
	Withheld                         uint64 // datagrams that the budget did not allow
	RemoteBytes, RemoteExchangeBytes uint64 // of the bytes sent, to other regions
}

// New returns a View that knows itself, and, with Settings.TakesOver, after its first step what the replaced process
// knew. It returns an error if a setting is out of bounds.
func New(settings Settings, seed uint64) (*View, error) {
	settings = settings.withDefaults()
	own := settings.ownRecord()
	if err := own.check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	bytes := newTokenBucket(settings.BytesPerSecond)
	remoteBytes := newTokenBucket(settings.RemoteBytesPerSecond)
	v := &View{
		settings:           settings,
		rng:                rand.New(rand.NewPCG(seed, settings.RunID)),
		members:            map[string]*member{},
		regions:            map[string]*region{},
		localities:         map[locality]*roundTrip{},
		remoteAddrs:        map[string]*region{},
		remoteOwners:       map[string]*member{},
		suspicionsAt:       never,
		regionsCheckAt:     never,
		budget:             bytes,
		streamBudget:       bytes,
		remoteBudget:       remoteBytes,
		remoteStreamBudget: remoteBytes,
		datagramNumber:     settings.DatagramNumber,
	}
	v.sizes.configured = settings.ConfiguredBalancers
	v.localRegion = v.regionNamed(settings.Region)
	v.self = &member{Record: own, region: v.localRegion, nameHash: nameHash64(settings.Name)}
	v.members[settings.Name] = v.self
	v.sortedNames = []string{settings.Name}
	v.updateDigest(v.self)
	return v, nil
}

// start begins all timers, in the first step.
func (v *View) start() {
	v.budget.start(v.now)
	v.remoteBudget.start(v.now)
	v.remoteStreamBudget.start(v.now)
	v.streamBudget.start(v.now)
	v.self.stateSince = v.now
	v.lastReceivedAt = v.now
	v.lateStepAt = v.now - minOnTimePeriod
	v.probeAt = v.now + v.randomUpTo(v.settings.ProbeInterval)
	v.gossipAt = v.now
	v.reconnectAt = v.now + v.randomUpTo(time.Second)
	v.seedRetryAt = v.now
	v.cleanupAt = v.now + cleanupInterval
	v.exchange.periodicAt = v.now + v.exchangePeriod()
	v.sizes.start(v)
	v.collectJoinAddrs()
	if v.settings.TakesOver {
		v.takeOver()
	}
	v.announce(v.self)
}

// takeOver trusts the records of the process that this one replaces.
func (v *View) takeOver() {
	v.joined = true
	v.settled = true
	for _, r := range v.settings.KnownMembers {
		if r.Name != v.settings.Name {
			v.merge(r, reasonHandoff)
		}
	}
	v.updates = updateQueue{} // other members know all that
}

// randomUpTo is a random time from 0 up to a limit.
func (v *View) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(v.rng.Float64() * float64(limit))
}

// Next is when the View must be stepped again at the latest, if no event comes before.
func (v *View) Next() time.Duration { return v.wakeAt }

// Step processes the events up to now, in order, and then the timers that are due. It returns the actions to execute.
func (v *View) Step(now time.Duration, events ...Event) []Action {
	v.now = max(now, v.now)
	v.actions = nil
	if v.started {
		v.checkLateness()
	} else {
		v.started = true
		v.start()
	}
	v.budget.fill(v.now)
	v.remoteBudget.fill(v.now)
	for _, e := range events {
		v.handle(e)
	}
	v.runTimers()
	v.wakeAt = v.nextTimer()
	return v.actions
}

func (v *View) handle(event Event) {
	switch e := event.(type) {
	case DatagramReceived:
		v.onDatagram(e)
	case ExchangeRequest:
		v.onExchangeRequest(e)
	case ExchangeResponse:
		v.onExchangeResponse(e)
	case ExchangeClosed:
		v.mergeAll(e.Message, reasonExchange)
	case ExchangeFailed:
		v.onExchangeFailed(e)
	case LocalInfo:
		v.onLocalInfo(e)
	case Leave:
		v.leave()
	case ForgetMember:
		v.forgetMember(e.Name)
	case TakeoverFailed:
		v.self.Incarnation++
		v.announce(v.self)
	}
}

// runTimers executes the timers that are due. A member that yields its name only checks whether the name is free, and
// answers identity requests; one that leaves only gossips its leave.
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
	v.seedRetryDue()
	v.cleanupDue()
	v.sizes.publish(v)
	if v.saveAt > 0 && v.now >= v.saveAt {
		v.saveAt = 0
		v.emit(SaveView{})
	}
}

// earliest keeps the earliest of several timers.
type earliest struct{ at time.Duration }

// add takes a timer into account; 0: it is not set.
func (e *earliest) add(at time.Duration) {
	if at > 0 {
		e.at = min(e.at, at)
	}
}

// nextTimer is when the View must be stepped again.
func (v *View) nextTimer() time.Duration {
	if !v.isLeaving {
		return max(v.earliestTimer(), v.now+minStepInterval)
	}
	if v.leaveRoundsLeft > 0 {
		return v.leaveRoundAt
	}
	return v.now + maxSleepAfterLeave
}

// earliestTimer is when the first of the timers is due that runTimers executes.
func (v *View) earliestTimer() time.Duration {
	next := earliest{never}
	next.add(v.nameClaim.dueAt)
	for _, r := range v.relayed {
		next.add(r.until)
	}
	if v.yielding {
		return next.at
	}
	next.add(v.probeAt)
	for _, p := range v.probes {
		next.add(p.until)
	}
	if len(v.suspects) > 0 {
		next.add(v.suspicionsAt)
	}
	if !v.updates.empty() {
		next.add(v.gossipAt)
	}
	v.addRegionTimers(&next)
	next.add(v.regionsCheckAt)
	if v.canBeIsolated() {
		next.add(v.lastReceivedAt + v.isolationTimeout())
	}
	next.add(v.exchange.nextAt())
	next.add(v.reconnectAt)
	next.add(v.seedRetryAt)
	next.add(v.cleanupAt)
	next.add(v.sizes.nextStepAt)
	next.add(v.saveAt)
	return next.at
}

func (v *View) emit(a Action) { v.actions = append(v.actions, a) }

// saveSoon emits a SaveView within a few seconds.
func (v *View) saveSoon() {
	if v.saveAt == 0 {
		v.saveAt = v.now + saveDelay + v.randomUpTo(saveJitter)
	}
}
