package decide

import "time"

// The constants of the policy. Shares, factors and counts are dimensionless: all scales come from the
// settings or from observation, so that no constant is fitted to one deployment. Where it is not obvious, a
// comment says what a larger value would do.

// The retry bucket (Smithy retry guidance, standard mode) and the backoff with full jitter.
const (
	// retryBucketSize is the largest and the initial number of retry tokens of a balancer. With the 500 of
	// the retry guidance an idle balancer could send 100 retries at once; 100 tokens allow 20.
	retryBucketSize = 100.0
	// retryCost is the number of tokens that a retry costs. A larger value makes retries stop earlier when
	// backends fail.
	retryCost = 5.0
	// retryCostAfterTimeout is the cost of a retry after a time-out, which can mean a more serious fault than
	// an error.
	retryCostAfterTimeout = 10.0
	// successRefill is the number of tokens that a successful attempt returns. A larger value allows retries
	// at a higher error rate.
	successRefill = 1.0

	// backoffUnit is the upper bound of the first backoff, as a share of the class's objective: the 1 s of
	// the retry guidance would exceed most objectives. A larger value spreads retries further, and fewer of
	// them are answered in time.
	backoffUnit = 1.0 / 32
	// backoffCeiling is the largest upper bound of the backoff, in units.
	backoffCeiling = 8.0
)

// Running means and the speed of backends.
const (
	// meanWeight is the weight of a new sample in a running mean: about the last 20 samples count. A larger
	// value follows changes sooner, but also random variation.
	meanWeight = 0.1
	// priorSamples is the number of samples that the mean of all backends counts for in the slowness of a new
	// backend.
	priorSamples = 2.0
	// maxSlownessSample bounds one sample of slowness, so that a single outlier can't keep a backend out of
	// use for long.
	maxSlownessSample = 8.0
)

// Ejection of backends that fail (outlier detection).
const (
	// failureScoreRecovery is the amount by which a successful attempt lowers the failure score. The score
	// keeps growing at one error in five attempts.
	failureScoreRecovery = 0.25
	// maxFailureScore bounds the score. The longest ejection is 2^(maxFailureScore-1) times the first.
	maxFailureScore = 5.0
	// outlierDeviations is the number of standard deviations by which a backend's error rate must exceed the
	// error rate of the others before an error ejects it. A larger value ejects later. A smaller one ejects
	// backends by chance where all of them fail occasionally.
	outlierDeviations = 3.0
	// maxPeerErrorRate bounds how much one other backend adds to the error rate of the others, since that
	// backend may be failing itself.
	maxPeerErrorRate = 0.25
	// recoveringWeight is the weight of an idle backend that was ejected and has not recovered yet, if many
	// balancers admit by credit: they must not all try it at once.
	recoveringWeight = 0.1
	// silentTimeouts is the number of consecutive time-outs, own or reported by peers, after which a backend
	// counts as not answering.
	silentTimeouts = 8
	// overdueObjective is the share of the objective after which an attempt is overdue, unless
	// overdueLatencies gives a later time.
	overdueObjective = 0.6
	// overdueLatencies is the multiple of the expected latency after which an attempt is overdue, unless
	// overdueObjective gives a later time.
	overdueLatencies = 3.0
	// overdueSlowness is the slowness sample that an overdue or rejected attempt counts as.
	overdueSlowness = 3.0
)

// Choice of a backend.
const (
	// revisitObjectives is the time, in longest objectives, within which an agent aims to use each backend of
	// its subset again. A larger value makes the subset larger: more connections, and older measurements.
	revisitObjectives = 0.5
	// minSubsetSize is the least number of idle backends to choose from.
	minSubsetSize = 3
	// maxScanned is the largest number of backends that are all scanned for a choice. Of a larger number, a
	// random sample is drawn.
	maxScanned = 64
	// maxDraws bounds the number of draws. After that, all backends are scanned.
	maxDraws = 48
	// crossZoneWeight is the weight of an idle backend in another zone, if crossing zones has a price.
	crossZoneWeight = 0.25
	// maxBackendShares bounds how many of this agent's attempts one backend holds, in mean shares of the
	// in-flight limit.
	maxBackendShares = 3.0
)

// maxSlowStartWork is the largest request that is sent to a backend in slow start, in mean requests of its
// class.
const maxSlowStartWork = 2.0

// The limit on attempts in flight, which follows the observed delay.
const (
	// defaultTargetDelay is the mean latency, as a share of the objective, above which the limit falls. A
	// larger value allows longer queues at the backends.
	defaultTargetDelay = 0.35
	// minTargetDelay is the lowest target delay of an agent that admits by credit: with hundreds of such
	// agents, none of them can see that one backend fills up.
	minTargetDelay = 0.26
	// targetDelayFactor is the ratio of the target delay of such an agent to the work that clients state, as
	// a share of the objective.
	targetDelayFactor = 1.3
	// maxTargetDelay is the highest target delay of such an agent.
	maxTargetDelay = 0.6
	// maxUnloadedInFlight is the load report below which a backend counts as having only the one request in
	// flight. It is above 1 because reports are noisy.
	maxUnloadedInFlight = 1.5
	// limitDecrease is the factor by which one decrease changes the limit.
	limitDecrease = 0.9
	// limitIncrease is the growth of the limit, in attempts per backend for each round of answers.
	limitIncrease = 0.7
	// initialLimitPerBackend is the initial limit of all agents together, per backend.
	initialLimitPerBackend = 6.0
	// minLimitPerBackend is the lowest limit per backend: a lower one would leave cores idle.
	minLimitPerBackend = 4.0
	// minLimitManyBalancers is the lowest limit per backend if there are more balancers than backends. It is
	// lower because several balancers may choose the same backend at once.
	minLimitManyBalancers = 3.0
	// maxRestoredLimit is the highest limit that is taken over from an earlier process.
	maxRestoredLimit = 60.0
	// headCountShare is the share of the limit that is divided equally among balancers. The rest is divided
	// by traffic.
	headCountShare = 0.25
)

// Admission by credit, used if a balancer's even share of the limit is too small to count attempts against.
const (
	// minCountedShare is the even share, in attempts, below which a balancer admits by credit.
	minCountedShare = 3.0
	// creditBurst is the number of mean requests that the credit can hold: so many may start in a burst.
	creditBurst = 4.0
	// maxCreditPerRequest bounds the credit that a first attempt earns, in multiples of its own work. It is
	// above 1 because retries need credit too.
	maxCreditPerRequest = 2.0
	// maxCreditlessGap is the time without an attempt after which one attempt starts without credit. An agent
	// that rejects everything for 4 s counts as out of service.
	maxCreditlessGap = 2 * time.Second
)

// The queue of requests that wait for capacity.
const (
	// queueMargin is the number of mean latencies before its objective at which a queued request is shed.
	queueMargin = 2.0
	// maxQueueMargin bounds that margin, as a share of the objective. A request may always wait for the rest
	// of its objective.
	maxQueueMargin = 0.75
	// clientRetryValue is the value of a client's retry relative to a first attempt: most of its objective
	// has passed.
	clientRetryValue = 0.1
)

// Messages between balancers.
const (
	// peerFanout is the number of peers that get each report: all of them at a small site, a random sample at
	// a large one.
	peerFanout = 8
	// peerTimeoutIntervals is the number of reporting intervals without a report after which a peer counts as
	// stopped.
	peerTimeoutIntervals = 4.0
	// outcomesPerMessage is the number of outcomes per message with observations. It halves the cost of one
	// message a request.
	outcomesPerMessage = 2
	// maxObservations bounds the observations that are kept for peers: enough for about two messages.
	maxObservations = 96
)

// Detection of clients' retries by their remaining time.
const (
	// remainingJitter is how much remaining times of the same nominal length differ, as a share of the
	// objective.
	remainingJitter = 0.004
	// minOtherLength is the difference, in double jitters, from which a remaining time counts as one of
	// another length. The remaining time of a last try is seldom closer to the usual one.
	minOtherLength = 8
	// confidentVotes is the number of votes from which the usual remaining time is relied on. Votes are
	// counted up to twice this number.
	confidentVotes = 20
)

// Leases of the fleet's shared limits.
const (
	// usageReportInterval is the least time between two reports of lease usage.
	usageReportInterval = 50 * time.Millisecond
	// leaseRetryAfter is the least Retry-After of a request that was rejected for lack of a lease: leases
	// count over a second.
	leaseRetryAfter = time.Second
)

// maxSubscribeBackoff is the longest wait before the agent asks discovery again. A change counts as notified
// 6 s after discovery becomes reachable. A call that hangs since before that takes up to 4.5 s of this time,
// and the next call needs time too.
const maxSubscribeBackoff = 800 * time.Millisecond

// maxPause is the longest time, as stated by the platform, for which an agent may be paused between reading
// its clock and the write that depends on it. A deduplication window that ends sooner than this counts as
// over.
const maxPause = 150 * time.Millisecond
