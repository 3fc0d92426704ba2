package decide

import "time"

// The constants of the policy. Shares, factors and counts are dimensionless: every scale comes from the
// settings or from what is observed, so that none of them is fitted to one deployment. Each says what a
// larger value would do.

// The retry bucket (Smithy retry guidance, standard mode) and the backoff with full jitter.
const (
	// retryBucketSize is the most retry tokens that a balancer holds, and those of a new one. The guide's 500
	// would let a quiet balancer fund 100 retries at once; 100 tokens fund 20.
	retryBucketSize = 100.0
	// retryCost is the price of a retry in tokens. More makes retries stop earlier when backends fail.
	retryCost = 5.0
	// retryCostAfterTimeout is the price after a time-out, which may mean a deeper fault than an error does.
	retryCostAfterTimeout = 10.0
	// successRefill is the number of tokens that a served attempt returns. More funds retries at a higher
	// rate of errors.
	successRefill = 1.0

	// backoffUnit is the first ceiling of the backoff, as a share of the class's objective: the guide's
	// second would outlast most objectives. More spreads retries further and answers fewer of them in time.
	backoffUnit = 1.0 / 32
	// backoffCeiling is the highest ceiling of the backoff, in units.
	backoffCeiling = 8.0
)

// Running means and what is learned of a backend's speed.
const (
	// meanWeight is the weight of a new sample in a running mean: about the last 20 samples count. More
	// follows changes sooner and chance more.
	meanWeight = 0.1
	// priorSamples is the number of samples that the mean of all backends counts for in the slowness of a new
	// one.
	priorSamples = 2.0
	// maxSlownessSample bounds one sample of slowness: a single outlier can't push a backend out of use for
	// long.
	maxSlownessSample = 8.0
)

// Ejection of backends that fail (outlier detection).
const (
	// failureScoreRecovery is what a served attempt takes off the failure score: one error in five keeps it
	// growing.
	failureScoreRecovery = 0.25
	// maxFailureScore bounds the score; the longest ejection is 2^(maxFailureScore-1) times the first.
	maxFailureScore = 5.0
	// outlierDeviations is by how many standard deviations a backend's error rate has to pass the others'
	// before an error ejects it. More waits longer; fewer ejects by chance where all fail now and then.
	outlierDeviations = 3.0
	// maxPeerErrorRate bounds what one other backend adds to the others' error rate: it may be failing
	// itself.
	maxPeerErrorRate = 0.25
	// recoveringWeight is the weight of an idle backend that was ejected and has not recovered, where many
	// balancers admit by credit: all of them together must not try it at once.
	recoveringWeight = 0.1
	// silentTimeouts is the number of time-outs in a row, here or reported by peers, after which a backend
	// counts as silent.
	silentTimeouts = 8
	// overdueObjective is the share of the objective after which an attempt is overdue ...
	overdueObjective = 0.6
	// overdueLatencies is the multiple of the expected latency after which it is, if that is later.
	overdueLatencies = 3.0
	// overdueSlowness is the sample of slowness that an overdue or rejected attempt counts for.
	overdueSlowness = 3.0
)

// Choice of a backend.
const (
	// revisitObjectives is the time, in longest objectives, within which an agent means to use each backend
	// of its subset again. More widens the subset: more connections, older measurements.
	revisitObjectives = 0.5
	// minSubsetSize is the fewest idle backends among which a choice is made.
	minSubsetSize = 3
	// maxScanned is the number of backends up to which all are looked at for a choice; of more, some are
	// drawn.
	maxScanned = 64
	// maxDraws bounds the draws before all are looked at after all.
	maxDraws = 48
	// crossZoneWeight is the weight of an idle backend in another zone, where crossing zones has a price.
	crossZoneWeight = 0.25
	// maxBackendShares bounds what one backend holds of this agent's attempts, in mean shares of the
	// in-flight limit.
	maxBackendShares = 3.0
)

// maxSlowStartWork is the largest request that a backend in slow start gets, in mean requests of its class.
const maxSlowStartWork = 2.0

// The limit on attempts in flight, by the delay that is seen.
const (
	// defaultTargetDelay is the mean latency, as a share of the objective, above which the limit falls. More
	// keeps longer queues at the backends.
	defaultTargetDelay = 0.35
	// minTargetDelay is the least target of an agent that admits by credit: hundreds of them can't see one
	// backend fill up.
	minTargetDelay = 0.26
	// targetDelayFactor times the work that clients state, as a share of the objective, is its target ...
	targetDelayFactor = 1.3
	// maxTargetDelay is the most it rises to.
	maxTargetDelay = 0.6
	// maxUnloadedInFlight is the load report up to which a backend had nothing but the one request: reports
	// are noisy.
	maxUnloadedInFlight = 1.5
	// limitDecrease is the factor of one decrease of the limit.
	limitDecrease = 0.9
	// limitIncrease is its growth, in attempts per backend for each round of answers.
	limitIncrease = 0.7
	// initialLimitPerBackend is the limit at the start, for all agents together per backend.
	initialLimitPerBackend = 6.0
	// minLimitPerBackend is the least it falls to: less would leave cores idle.
	minLimitPerBackend = 4.0
	// minLimitManyBalancers is the same where balancers outnumber backends: a few of them may meet at any
	// one.
	minLimitManyBalancers = 3.0
	// maxRestoredLimit is the highest limit of an earlier process that is taken over.
	maxRestoredLimit = 60.0
	// headCountShare is the part of the limit that is divided by head count; the rest goes by traffic.
	headCountShare = 0.25
)

// Admission by credit, where a balancer's even share of the limit is too small to be counted.
const (
	// minCountedShare is the even share, in attempts, below which a balancer admits by credit.
	minCountedShare = 3.0
	// creditBurst is the number of mean requests that may start ahead of the credit.
	creditBurst = 4.0
	// maxCreditPerRequest bounds what a first attempt earns, in its own work: retries need some too.
	maxCreditPerRequest = 2.0
	// maxCreditlessGap is the time without an attempt after which one starts without credit: an agent that
	// rejects everything for 4 s counts as out of service.
	maxCreditlessGap = 2 * time.Second
)

// The queue of requests that wait for capacity.
const (
	// queueMargin: a queued request is shed when fewer than so many mean latencies remain until its
	// objective.
	queueMargin = 2.0
	// maxQueueMargin bounds that margin, as a share of the objective: for the rest of it a request may always
	// wait.
	maxQueueMargin = 0.75
	// clientRetryValue is the value of a client's retry against a first attempt: most of its objective has
	// passed.
	clientRetryValue = 0.1
)

// Messages between balancers.
const (
	// peerFanout is the number of peers that each report goes to: all at a small site, a random sample at a
	// large one.
	peerFanout = 8
	// peerTimeoutIntervals is the number of reporting intervals after which a peer that has not reported has
	// stopped.
	peerTimeoutIntervals = 4.0
	// outcomesPerMessage is the number of outcomes for each message with observations: half the price of one
	// a request.
	outcomesPerMessage = 2
	// maxObservations bounds the observations kept for peers: about two messages' worth.
	maxObservations = 96
)

// Recognition of a client's retry by its remaining time.
const (
	// remainingJitter is by how much, as a share of the objective, remaining times of one length differ.
	remainingJitter = 0.004
	// minOtherLength is the distance, in double jitters, from which a remaining time is of another length:
	// a last try seldom comes nearer to the usual one.
	minOtherLength = 8
	// confidentVotes is the number of votes from which the usual length is believed, and half of the most
	// that are counted.
	confidentVotes = 20
)

// Leases of the fleet's shared limits.
const (
	// usageReportInterval is the least time between two reports of how the leases are used.
	usageReportInterval = 50 * time.Millisecond
	// leaseRetryAfter is when a client may come back after it was rejected for want of a lease: leases count
	// over a second.
	leaseRetryAfter = time.Second
)

// maxSubscribeBackoff is the longest wait before discovery is asked again. A change counts as notified 6 s
// after discovery could be reached; a call that hangs from before that takes up to 4.5 s of it, and the next
// one its own time.
const maxSubscribeBackoff = 800 * time.Millisecond

// maxPause is how long an agent may be paused between reading its clock and the write that goes by it, as the
// platform states. A deduplication window that closes sooner than that counts as closed.
const maxPause = 150 * time.Millisecond
