package decide

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// The records that a balancer keeps, and look-ups in them. Nothing is decided here.

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // of the present step

	// Backends.
	backends         []*endpoint // by rank, this agent's own order
	byID             map[string]*endpoint
	byHash           map[uint32]*endpoint
	listVersion      int                       // counts the lists taken, and the backends enabled by hand
	disabledByHand   map[string]time.Duration  // when an operator enabled it again, or stillDisabled
	restoredSlowness map[string]LearnedBackend // by ID, until first listed

	// Requests and timers.
	requests       map[string]*openRequest
	queue          []*openRequest // waiting for capacity, the oldest first
	requestTimers  map[int64]*openRequest
	overdueTimers  map[int64]*openAttempt // by the token of the timer that finds them overdue
	lastTimerToken int64

	// Capacity, as updateCapacity last summed it up.
	partitionValid    bool        // settledCount and unsettled are as the backends stand
	settledCount      int         // backends that are up, warm and healthy
	unsettled         []*endpoint // the others
	upCount           int         // backends that the list says are up
	healthyCount      int         // of those out of slow start, the reachable ones
	capacity          float64     // healthy backends, each counted by its share of full capacity
	inFlight          int         // attempts in flight
	inFlightUncounted int         // of these, on backends that are not counted in capacity
	kinds             []*kindState

	// Admission.
	retryTokens     float64 // in the retry bucket
	limitPerBackend float64 // attempts that all agents may have in flight together, per backend that is up
	limitCutAt      time.Duration
	ownShare        float64 // this agent's share of them
	minBalancers    int     // agents that certainly share the backends
	meanDelay       float64 // running mean of latency over objective
	admissionCredit float64 // work that may start, in ns of expected latency, where admitsByCredit
	classes         []classState

	// What is known of latencies and traffic.
	classFits      [][]float64   // by class and kind: see classFit
	maxIdleWeight  float64       // the highest weight of an idle backend at the last scan, or met since
	meanAttemptGap float64       // mean time between attempts, ns
	lastAttemptAt  time.Duration // 0: none has started
	firstRequestAt time.Duration // 0: none has come

	// Discovery and peers.
	subscribeFailures int // watches that failed in a row, and one more once a list has come
	subscribeToken    int64
	peers             []peerState   // by number
	peerInterval      time.Duration // between two reports to peers: the longest objective
	peerReportToken   int64
	demand            float64 // decayed work that clients asked for in first tries
	demandUpdatedAt   time.Duration
	observations      []observation // lately seen of backends, here and by peers; the newest last
	outcomeCount      int

	// Leases of the fleet's shared limits.
	ledger          quota.Ledger
	usageReportedAt time.Duration // 0: a report is due
}

// peerState is what another agent last reported.
type peerState struct {
	demand     float64
	validUntil time.Duration
}

// classState is what is known of a class of requests.
type classState struct {
	Class
	meanLatency     float64       // running mean of served latency, ns
	meanWork        float64       // running mean of the expected work stated with requests, ns
	unloadedLatency float64       // running mean latency over objective, of backends with nothing else in flight
	unitValue       float64       // what a unit of work adds to the goal, in this step
	arrived         float64       // decayed count of requests
	answeredInTime  float64       // decayed count of requests answered within the objective
	usualRemaining  time.Duration // the remaining time that most requests come with
	usualVotes      int           // votes for it, less those against it
}

// kindState is what is known of the backends of one kind, or of all.
type kindState struct {
	warmCount    int     // those that are up and not in slow start
	settledCount int     // of these, those that are healthy, as partitionBackends found them
	servedWork   float64 // decayed units of work that one of them served
	servedWorkAt time.Duration
}

// endpoint is a backend that was listed.
type endpoint struct {
	Backend                     // as listed; State is Draining while an operator has it disabled
	listed         BackendState // as the list has it
	hash           uint32       // names it in observations for peers
	rank           uint32       // its place in this agent's own order
	zoneSetAt      int          // the list version that last changed its zone
	cellSetAt      int          // the same of its cell
	processSetAt   int          // the same of its process
	inFlight       []*openAttempt
	rejectingUntil time.Duration // it rejected an attempt as full
	unreachable    bool          // connections failed since the last answer

	// Speed.
	slowness        float64 // running mean of its latency over the mean of all
	slownessSamples float64 // answers that slowness rests on
	hasAnswered     bool    // since its process started, as far as is known
	lastSuccessAt   time.Duration
	observedAt      time.Duration // of the newest observation of it

	// Failures and ejection.
	failureScore        float64 // grows with each ejection, falls with each success
	errorRate           float64 // running share of attempts that failed
	consecutiveTimeouts int     // known since its last answer
	lastEjectedAt       time.Duration
	ejectedUntil        time.Duration // by this agent
	fleetEjectedUntil   time.Duration // by the fleet's agents together
	drainedUntil        time.Duration // the fleet announced that it drains: no attempt before

	// Slow start.
	inSlowStart       bool
	slowStartFrom     time.Duration // when its latest start became known or seen
	slowStartBudget   float64       // work that may be sent, in mean requests of the first class
	slowStartBudgetAt time.Duration
}

// openAttempt is an attempt, with what the list said of its backend when it was sent: a later list may say
// otherwise by the time its outcome comes.
type openAttempt struct {
	backend         *endpoint
	listVersion     int
	zone            int
	cell            int
	kind            int
	sentAt          time.Duration // of an upload: when its last byte was
	expectedLatency float64       // ns
	// workUnits is the same in mean requests of the first class: latencies grow as a fleet fills up, and the
	// work does not.
	workUnits      float64
	open           bool
	countsInFlight bool // not while it is uploaded, nor once only bytes of its response are to come
	overdue        bool // its delay has been counted
	reservations   []quota.Reservation
	reuseOnly      bool // for want of a lease it may open no connection
}

// openRequest is a request that has no final answer, or attempts that have not ended.
type openRequest struct {
	id              string
	class           int
	onlyBackend     string        // the one backend that may get it; empty: any
	objectiveAt     time.Duration // answers after this time earn less
	halfTimeAt      time.Duration // half of the client's time is over
	deadline        time.Duration
	expectedWork    float64 // as stated, ns; 0: unknown
	attempts        []*openAttempt
	openCount       int          // attempts that have not ended
	mayHaveRun      int          // attempts that may have run, open ones included
	firstMayHaveRun *openAttempt // the first of these: sets the deduplication scope and window
	retries         int
	lastFailed      *endpoint // the backend that failed it last
	timerToken      int64     // of its latest timer; earlier ones are void

	higherValueShare float64    // share of the work asked for that is worth more than this, in this step
	noBackend        bool       // found no backend in this step
	lackingLimit     *quota.Row // the limit that stood in its way, in this step
	lackReported     bool       // that was counted

	clientRetry     bool // a later try of the client: part of its objective has passed
	uploading       bool // its last byte is still to come
	notReplayable   bool // what was sent can't be sent again
	queued          bool // waits for capacity
	backingOff      bool // waits for its retry
	responseStarted bool // bytes of the response have reached the client
	ended           bool // it has its final answer
}

// demandOf is what an attempt of a request at a backend would reserve of the shared limits.
func (b *Balancer) demandOf(request *openRequest, backend *endpoint) *quota.Demand {
	return &quota.Demand{
		Class:         request.class,
		Server:        backend.ID,
		Zone:          backend.Zone,
		Cell:          backend.Cell,
		SlowStart:     backend.inSlowStart,
		FirstAttempt:  len(request.attempts) == 0,
		EndsBy:        request.deadline,
		ReservedShare: request.higherValueShare,
	}
}

// kind finds the record of a backend's kind; nil: that of all backends.
func (b *Balancer) kind(backend *endpoint) *kindState {
	index := 0
	if backend != nil {
		index = 1 + max(backend.Kind, 0) // the list may name a kind that is not known
	}
	for len(b.kinds) <= index {
		b.kinds = append(b.kinds, &kindState{})
	}
	return b.kinds[index]
}

// lackingLimitName is the limit for want of which a request gets its final answer; empty: none.
func (r *openRequest) lackingLimitName(reason Reason) string {
	if reason != NoLease || r.lackingLimit == nil {
		return ""
	}
	return r.lackingLimit.Name()
}

// removeFirst removes one element, keeping the order.
func removeFirst[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// updateMean takes a sample into a running mean, which begins with the first one.
func updateMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meanWeight*(sample-mean)
}
