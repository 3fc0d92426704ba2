package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// never is a time that is never reached. It is half of the maximum Duration, so that differences don't overflow.
	never = time.Duration(math.MaxInt64 / 2)

	// saveDelay and saveJitter delay a SaveView, so that one write covers many changes and members that share a disk
	// don't write at the same time. A longer delay loses more in a crash; a shorter one writes more often.
	saveDelay  = 2 * time.Second
	saveJitter = time.Second

	// maxSleepAfterLeave is the time until the next step of a member that has left.
	maxSleepAfterLeave = time.Hour
	// minStepInterval is the minimum time between two steps that View.Next requests.
	minStepInterval = time.Millisecond
)

// View is one member's view of the fleet. Its methods must not be called concurrently.
type View struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the current step
	wakeAt   time.Duration // when the next step is due: the earliest timer at the end of the last step
	actions  []Action      // actions of the current step
	started  bool          // the first step has been made
	traffic  Traffic
	saveAt   time.Duration // when a SaveView is due; 0: none is

	// Members.
	self          *member
	members       map[string]*member // all members by name, the local one included
	sortedNames   []string           // names of all members; random draws must not depend on the map's order
	live          []*member          // other members that are alive or suspect
	dead          []*member
	regions       map[string]*region
	sortedRegions []*region // all regions, sorted by name
	localRegion   *region
	digest        uint64 // digest of all records
	sizes         sizeTracker
	cleanupAt     time.Duration

	// Failure detection.
	probeAt         time.Duration // when the next probe is due
	probeOrder      []string      // shuffled names of the next targets; the last name is next
	zoneProbeOrder  []string      // the same for this member's zone
	lastProbeInZone bool          // the last target came from zoneProbeOrder
	probes          []*probe      // probes that wait for an ack
	timedOut        []timedOutProbe
	relayed         []*relayedRequest // requests that this member sent on behalf of others
	lastSeq         uint32            // sequence number of the last probe
	lastHelper      string            // the last helper through which any member was reached
	localities      map[locality]*roundTrip
	suspects        []*member
	suspicionsAt    time.Duration // when suspicions are checked next: at the end of the first one, or earlier
	regionsCheckAt  time.Duration // when watchers and reachability of regions are checked

	// This member's own condition.
	localHealth      int           // Lifeguard's local health multiplier; 0: healthy
	lateStepAt       time.Duration // when a step last came late
	recentMisses     uint8         // one bit for each of the last probes; 1: missed
	partitionedUntil time.Duration // until then, a recent sign of a partition is taken into account
	sweepOrder       []string      // names of members to probe additionally during a partition
	lastReceivedAt   time.Duration // when the last datagram of any member arrived
	isolated         bool          // no datagrams arrive from any member
	isolatedAt       time.Duration

	// Gossip and budgets for sending.
	updates            updateQueue
	gossipAt           time.Duration
	recentSenders      []string // names of the members that sent the last received datagrams, the latest first
	datagramNumber     uint64   // number of the last datagram sent
	budget             tokenBucket
	remoteBudget       tokenBucket        // budget for datagrams to other regions
	streamBudget       tokenBucket        // budget for streams
	remoteStreamBudget tokenBucket        // budget for streams to other regions
	remoteAddrs        map[string]*region // regions of members of other regions, by address
	remoteOwners       map[string]*member // the members that have these addresses

	// Joining, and convergence with other views.
	exchange    exchangeState
	reconnectAt time.Duration // when the next dead member is contacted
	seedRetryAt time.Duration // when the next seed is contacted again
	joined      bool          // an exchange that this member opened has succeeded, or there is no address to join by
	contacted   bool          // an exchange that another member opened has succeeded
	settled     bool          // the view was equal to another member's: BalancerCount no longer uses ConfiguredBalancers

	// This member's name, and its leave.
	nameClaim       nameClaim
	yielding        bool // another process keeps this member's name: this one sends only identity requests
	isLeaving       bool
	leaveRoundsLeft int // number of times that the leave is still to be gossiped
	leaveRoundAt    time.Duration
}

// Traffic counts datagrams and bytes since the View was created.
type Traffic struct {
	Datagrams, Bytes                 uint64 // sent
	Exchanges, ExchangeBytes         uint64 // exchanges opened by this member; bytes sent on streams
	Received                         uint64 // valid datagrams
	Stale                            uint64 // of these, datagrams from an earlier process or with an old number
	Withheld                         uint64 // datagrams not sent because the budget was used up
	RemoteBytes, RemoteExchangeBytes uint64 // of the bytes sent, those to other regions
}

// New returns a View that contains only the local member. With Settings.TakesOver its first step adds the members of
// the predecessor's view. New returns an error if a setting is out of range.
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

// start sets all timers. It is called in the first step.
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

// takeOver adds the records of the process that this one replaces.
func (v *View) takeOver() {
	v.joined = true
	v.settled = true
	for _, r := range v.settings.KnownMembers {
		if r.Name != v.settings.Name {
			v.merge(r, reasonHandoff)
		}
	}
	v.updates = updateQueue{} // other members already have these records
}

// randomUpTo returns a random duration from 0 up to a limit.
func (v *View) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(v.rng.Float64() * float64(limit))
}

// Next returns the time by which Step has to be called if no event occurs earlier.
func (v *View) Next() time.Duration { return v.wakeAt }

// Step handles the events in order, and then the timers that are due at now. It returns the actions to execute.
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
	case ExchangeFinished:
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

// runTimers handles the timers that are due. A member that yields its name only checks whether the name is free and
// handles identity requests; a member that leaves only gossips its leave.
func (v *View) runTimers() {
	if v.isLeaving {
		v.runLeave()
		return
	}
	v.advanceNameClaim()
	v.expireRelayedRequests()
	if v.yielding {
		return
	}
	v.updateRegions()
	v.checkIsolation()
	v.runProbes()
	v.runWatchedRegions()
	v.expireSuspicions()
	v.runGossip()
	v.runExchange()
	v.reconnectDead()
	v.retrySeeds()
	v.removeLongLeft()
	v.sizes.publish(v)
	if v.saveAt > 0 && v.now >= v.saveAt {
		v.saveAt = 0
		v.emit(SaveView{})
	}
}

// earliest computes the earliest of several timers.
type earliest struct{ at time.Duration }

// add takes a timer into account; 0 means that the timer is not set.
func (e *earliest) add(at time.Duration) {
	if at > 0 {
		e.at = min(e.at, at)
	}
}

// nextTimer returns when the View must be stepped again.
func (v *View) nextTimer() time.Duration {
	if !v.isLeaving {
		return max(v.earliestTimer(), v.now+minStepInterval)
	}
	if v.leaveRoundsLeft > 0 {
		return v.leaveRoundAt
	}
	return v.now + maxSleepAfterLeave
}

// earliestTimer returns the earliest of the timers that runTimers handles.
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

// saveSoon schedules a SaveView within a few seconds, unless one is scheduled already.
func (v *View) saveSoon() {
	if v.saveAt == 0 {
		v.saveAt = v.now + saveDelay + v.randomUpTo(saveJitter)
	}
}
