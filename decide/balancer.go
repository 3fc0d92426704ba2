package decide

// The files that deploy/balancer.toml lists under policy make all decisions of a balancer. Its interface is
// in settings.go, events.go, actions.go and result.go, its state in state.go, and the format of messages to
// peers in message.go.
//
// Reading order: Step below; requests.go (a request from its arrival to its final answer); queue.go and
// admission.go (when a request may start); pick.go (which backend it goes to); attempt.go (the only place
// that starts attempts, with the last check of the rules); retry.go (with the rule on repeating requests).
// The files that learn from outcomes come next: observe.go, ejection.go, capacity.go and slowstart.go. They
// are followed by endpoints.go, peers.go and learned.go. tuning.go holds the constants of the policy.

import (
	"math/rand/v2"
	"time"
)

// New returns a balancer with no state. All its random choices derive from seed. The error names the first
// invalid setting.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:        s,
		rng:             rand.New(rand.NewPCG(seed, 0)),
		retryTokens:     retryBucketSize,
		limitPerBackend: initialLimitPerBackend,
		ownShare:        1 / float64(s.Balancers),
		minBalancers:    s.Balancers,
		peers:           make([]peerState, s.Balancers),
		byID:            map[string]*endpoint{},
		byHash:          map[uint32]*endpoint{},
		disabledByHand:  map[string]time.Duration{},
		requests:        map[string]*openRequest{},
		clientAttempts:  map[uint64]int{},
		requestTimers:   map[int64]*openRequest{},
		overdueTimers:   map[int64]*openAttempt{},
		slownessByKind:  make([][]float64, len(s.Classes)),
	}
	b.settings.MaxAttempts = max(1, s.MaxAttempts)
	if s.SlowStartShare == 0 {
		b.settings.SlowStartShare = 1
	}
	for _, class := range s.Classes {
		b.peerInterval = max(b.peerInterval, class.Objective)
		b.classes = append(b.classes, classState{Class: class, meanLatency: float64(class.Objective) / 4})
	}
	return b, nil
}

// Step processes the events that have happened by now, in order, and returns the actions to execute, in
// order.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now = max(now, b.now)
	b.actions = nil
	b.updateCapacity()
	if b.settings.Peers && b.peerReportToken == 0 {
		b.peerReportToken = b.setTimer(time.Duration(b.rng.Float64() * float64(b.peerInterval)))
	}
	for _, e := range events {
		b.handle(e)
	}
	b.dispatchQueue()
	b.reportLeaseUsage()
	return b.actions
}

func (b *Balancer) handle(e Event) {
	switch e := e.(type) {
	case Request:
		b.onRequest(e)
	case Outcome:
		b.onOutcome(e)
	case TimerFired:
		b.onTimer(e.Token)
	case ListUpdate:
		b.onListUpdate(e)
		b.updateCapacity()
	case BackendDisabled:
		b.onBackendDisabled(e)
		b.updateCapacity()
	case FleetSize:
		b.onFleetSize(e)
	case Ejections:
		b.onEjections(e)
		b.updateCapacity()
	case SharedLimits:
		b.ledger.SetLimits(e.Limits)
	case LeasesGranted:
		b.ledger.SetLeases(b.now, e.Leases)
		b.usageReportedAt = 0
	case PeerMessage:
		b.onPeerMessage(e)
	case UploadCompleted:
		b.onUploadCompleted(e)
	case ResponseStarted:
		b.onResponseStarted(e)
	case RequestCancelled:
		if request := b.requests[e.Request]; request != nil {
			b.closeRequest(request)
		}
	}
}

// reportLeaseUsage reports the state of the leases to the lease client: once after new leases have arrived,
// and then at intervals if a demand was rejected or the leases are nearly used up.
func (b *Balancer) reportLeaseUsage() {
	if b.ledger.Empty() {
		return
	}
	due := b.ledger.NeedsReport() && b.now-b.usageReportedAt >= usageReportInterval
	if b.usageReportedAt != 0 && !due {
		return
	}
	b.usageReportedAt = b.now
	b.actions = append(b.actions, LeaseUsage{b.ledger.Usages(b.now)})
}

func (b *Balancer) onTimer(token int64) {
	attempt := b.overdueTimers[token]
	request := b.requestTimers[token]
	delete(b.overdueTimers, token)
	delete(b.requestTimers, token)
	switch {
	case token == 0:
	case token == b.subscribeToken:
		b.subscribeToken = 0
		b.actions = append(b.actions, Subscribe{})
	case token == b.peerReportToken:
		b.reportToPeers()
	case attempt != nil:
		b.onOverdue(attempt)
	case request != nil && !request.ended && token == request.timerToken:
		request.timerToken = 0 // makes shedOrWait set a new timer if the shed time has moved to a later time
		if request.backingOff {
			request.backingOff = false
			b.enqueue(request)
		}
	}
}

// setRequestTimer sets the time at which a request is checked again. Its earlier timers are ignored from now
// on.
func (b *Balancer) setRequestTimer(request *openRequest, at time.Duration) {
	request.timerToken = b.setTimer(at - b.now)
	b.requestTimers[request.timerToken] = request
}

// setTimer adds a SetTimer action and returns the token of the timer.
func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.lastTimerToken++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.lastTimerToken})
	return b.lastTimerToken
}
