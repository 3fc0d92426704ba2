package decide

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide/quota"
)

// This file holds a balancer's state and the look-ups in it. It makes no decisions.

// Balancer makes the decisions of one agent. See the package comment for how to use it.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // returned by the current step

	// Backends.
	backends         []*endpoint // sorted by rank, an order that differs between agents
	byID             map[string]*endpoint
	byHash           map[uint32]*endpoint
	listVersion      int                       // incremented by each list, and each time an operator enables a backend
	disabledByHand   map[string]time.Duration  // time at which an operator enabled it again, or stillDisabled
	restoredSlowness map[string]LearnedBackend // by ID, until the backend is first listed

	// Requests and timers.
	requests       map[string]*openRequest
	queue          []*openRequest // waiting for capacity, in the order in which they were queued
	clientAttempts map[uint64]int // by client: its attempts that have not ended
	requestTimers  map[int64]*openRequest
	overdueTimers  map[int64]*openAttempt // by the token of the timer that checks whether the attempt is overdue
	lastTimerToken int64

	// Capacity, as last computed by updateCapacity.
	partitionValid    bool         // settledCount and unsettled are up to date
	settledCount      int          // backends that are up, not in slow start, and healthy
	unsettled         []*endpoint  // all other backends
	upCount           int          // backends that are up according to the list
	healthyCount      int          // of those, backends that are reachable and not in slow start
	capacity          float64      // sum of the capacity shares of the backends that are up, reachable and not ejected
	inFlight          int          // attempts in flight
	inFlightUncounted int          // of these, attempts on backends that are not counted in capacity
	kinds             []*kindState // index 0: all backends; index 1+k: the backends of kind k

	// Admission.
	retryTokens     float64 // tokens in the retry token bucket
	limitPerBackend float64 // attempts that all agents together may have in flight per backend that is up
	limitCutAt      time.Duration
	ownShare        float64 // this agent's share of that limit
	minBalancers    int     // lower bound of the number of agents that share the backends
	meanDelay       float64 // running mean of latency divided by objective
	admissionCredit float64 // work that may start, in ns of expected latency; see admitsByCredit
	classes         []classState

	// Latencies and traffic.
	slownessByKind [][]float64   // by class and kind: see kindSlowness
	maxIdleWeight  float64       // highest weight of an idle backend in the last scan or seen since
	meanAttemptGap float64       // mean time between attempts, ns
	lastAttemptAt  time.Duration // 0: no attempt has started yet
	firstRequestAt time.Duration // 0: no request has arrived yet

	// Discovery and peers.
	subscribeFailures int // watches that have failed in a row, plus one once a list has arrived
	subscribeToken    int64
	peers             []peerState   // by number
	peerInterval      time.Duration // time between two reports to peers: the longest objective
	peerReportToken   int64
	demand            float64 // decayed sum of the work that clients request in first tries
	demandUpdatedAt   time.Duration
	observations      []observation // recent observations of backends, own and from peers; the newest last
	outcomeCount      int

	// Leases of the limits that the fleet shares.
	ledger          quota.Ledger
	usageReportedAt time.Duration // 0: a report is due
}

// peerState is the latest report of another agent.
type peerState struct {
	demand     float64
	validUntil time.Duration
}

// classState is the state of a class of requests.
type classState struct {
	Class
	meanLatency     float64       // running mean latency of successful attempts, ns
	meanWork        float64       // running mean of the expected work that clients state, ns
	unloadedLatency float64       // running mean of latency over objective, at backends with no other request in flight
	unitValue       float64       // contribution of a unit of work to the operator's goal, in the current step
	arrived         float64       // decayed count of requests
	answeredInTime  float64       // decayed count of requests answered within the objective
	usualRemaining  time.Duration // the remaining time that most requests have on arrival
	usualVotes      int           // votes for usualRemaining minus votes against it: see inferClientRetry
}

// kindState is the state of the backends of one kind, or of all kinds.
type kindState struct {
	warmCount    int     // backends that are up and not in slow start
	settledCount int     // of these, the healthy ones, as counted by partitionBackends
	servedWork   float64 // decayed units of work that one warm backend served
	servedWorkAt time.Duration
}

// endpoint is a backend that was listed.
type endpoint struct {
	Backend                     // as listed, but State is at least Draining while an operator has it disabled
	listed         BackendState // the state in the list
	hash           uint32       // identifies the backend in observations for peers
	rank           uint32       // position in this agent's own order
	addrSetAt      int          // list version that last changed its address
	zoneSetAt      int          // list version that last changed its zone
	cellSetAt      int          // list version that last changed its cell
	processSetAt   int          // list version that last changed its process
	inFlight       []*openAttempt
	rejectingUntil time.Duration // set when the backend rejects an attempt because it is full
	unreachable    bool          // a connection has failed since the last answer

	// Speed.
	slowness        float64 // running mean of its latency divided by the mean of all backends
	slownessSamples float64 // number of answers in slowness
	hasAnswered     bool    // it has answered since the last start of its process that this agent has noticed
	lastSuccessAt   time.Duration
	observedAt      time.Duration // time of the newest observation of it

	// Failures and ejection.
	failureScore        float64 // grows with each ejection, falls with each success
	errorRate           float64 // running share of attempts that failed
	consecutiveTimeouts int     // time-outs and overdue attempts since its last answer, own and reported by peers
	lastEjectedAt       time.Duration
	ejectedUntil        time.Duration // ejection by this agent
	fleetEjectedUntil   time.Duration // ejection by the fleet
	drainedUntil        time.Duration // the fleet reported that it drains: no attempt before this time

	// Slow start.
	inSlowStart       bool
	slowStartFrom     time.Duration // latest start of its process, as listed or as observed
	slowStartBudget   float64       // work that may be sent, in mean requests of the first class
	slowStartBudgetAt time.Duration
}

// openAttempt is an attempt of an open request. It keeps the listed properties of its backend as they were
// when the attempt was sent, since a later list may change them before the outcome arrives.
type openAttempt struct {
	backend         *endpoint
	listVersion     int
	zone            int
	cell            int
	kind            int
	sentAt          time.Duration // of an upload: when its last byte was sent
	expectedLatency float64       // ns
	// workUnits is expectedLatency in mean requests of the first class. Latencies grow with the load of the
	// fleet; the amount of work does not.
	workUnits      float64
	open           bool
	countsInFlight bool // false during an upload, and once only the transfer of the response remains
	overdue        bool // its delay has already been counted
	reservations   []quota.Reservation
	reuseOnly      bool // must not open a connection, because it has no lease for one
}

// openRequest is a request that has no final answer yet, or attempts that have not ended.
type openRequest struct {
	id              string
	class           int
	onlyBackend     string        // the only backend that may get it; empty: any
	client          uint64        // see Request.Client
	objectiveAt     time.Duration // answers after this time earn less
	halfTimeAt      time.Duration // when half of the client's waiting time is over
	deadline        time.Duration
	expectedWork    float64 // as given in the request, ns; 0: unknown
	attempts        []*openAttempt
	openCount       int          // attempts that have not ended
	mayHaveRun      int          // attempts that may have run, open ones included
	firstMayHaveRun *openAttempt // the first such attempt: it defines the deduplication scope and window
	retries         int
	lastFailed      *endpoint // backend of the last failed attempt
	timerToken      int64     // token of its latest timer; earlier timers are ignored

	higherValueShare float64    // share of the requested work with a higher value than this, in the current step
	noBackend        bool       // no backend was found in the current step
	lackingLimit     *quota.Row // the limit that rejected it in the current step
	lackReported     bool       // that rejection has been counted

	clientRetry     bool // this is a client's retry: part of the objective has already passed
	uploading       bool // its last byte has not been sent yet
	notReplayable   bool // the part of the request that was sent can't be sent again
	queued          bool // waiting for capacity
	backingOff      bool // waiting for the end of its retry backoff
	responseStarted bool // bytes of the response have reached the client
	ended           bool // has its final answer
}

// demandOf returns what an attempt of a request at a backend would reserve of the shared limits.
func (b *Balancer) demandOf(request *openRequest, backend *endpoint) *quota.Demand {
	return &quota.Demand{
		Class:         request.class,
		Server:        backend.ID,
		Zone:          max(backend.Zone, Unknown),
		Cell:          backend.Cell,
		SlowStart:     backend.inSlowStart,
		FirstAttempt:  len(request.attempts) == 0,
		EndsBy:        request.deadline,
		ReservedShare: request.higherValueShare,
	}
}

// kind returns the state of a backend's kind, or of all backends if backend is nil.
func (b *Balancer) kind(backend *endpoint) *kindState {
	index := 0
	if backend != nil {
		index = 1 + max(backend.Kind, 0) // the list may name an unknown kind
	}
	for len(b.kinds) <= index {
		b.kinds = append(b.kinds, &kindState{})
	}
	return b.kinds[index]
}

// lackingLimitName returns the name of the limit whose missing lease causes a request's final answer, or an
// empty string if the answer has another reason.
func (r *openRequest) lackingLimitName(reason Reason) string {
	if reason != NoLease || r.lackingLimit == nil {
		return ""
	}
	return r.lackingLimit.Name()
}

// removeFirst removes the first occurrence of an element and keeps the order.
func removeFirst[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// updateMean adds a sample to a running mean. The first sample sets the mean.
func updateMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meanWeight*(sample-mean)
}
