package decide

import "time"

// This file holds the constants of the policy. Shares, factors and counts are dimensionless: all scales come
// from the settings or from observation, so that no constant is fitted to one deployment. Where the effect of
// a larger value is not obvious, a comment describes it.

// These constants configure the retry token bucket (Smithy retry guidance, standard mode) and the backoff
// with full jitter.
const (
	// retryBucketSize is the initial number of retry tokens of a balancer, and the maximum. With the 500
	// tokens of the retry guidance an idle balancer could send 100 retries at once; 100 tokens allow 20.
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

// These constants configure the running means and the measurement of the backends' speed.
const (
	// meanWeight is the weight of a new sample in a running mean: about the last 20 samples determine the
	// mean. With a larger value the mean follows changes sooner, but also random variation.
	meanWeight = 0.1
	// priorSamples is the weight, in samples, of the initial slowness of a backend: 1, the mean of all
	// backends, or the restored value.
	priorSamples = 2.0
	// maxSlownessSample bounds one sample of slowness, so that a single outlier can't keep a backend out of
	// use for long.
	maxSlownessSample = 8.0
)

// These constants configure the ejection of backends that fail (outlier detection).
const (
	// failureScoreRecovery is the amount by which a successful attempt lowers the failure score. The score
	// keeps growing if more than one attempt in five ejects the backend.
	failureScoreRecovery = 0.25
	// maxFailureScore bounds the score. Apart from jitter, the longest ejection is 2^(maxFailureScore-1)
	// times the first.
	maxFailureScore = 5.0
	// outlierDeviations is the number of standard deviations by which a backend's error rate must exceed the
	// error rate of the others before an error ejects it. With a larger value backends are ejected later.
	// With a smaller one backends are ejected by chance where all of them fail occasionally.
	outlierDeviations = 3.0
	// maxPeerErrorRate bounds the error rate with which each of the other backends counts in their mean error
	// rate, since that backend may be failing itself.
	maxPeerErrorRate = 0.25
	// recoveringWeight is the factor on the weight of an idle backend that was ejected and has not recovered
	// yet, if balancers admit by credit: the many balancers must not all try it at once.
	recoveringWeight = 0.1
	// silentTimeouts is the number of consecutive time-outs, own or reported by peers, after which a backend
	// counts as not answering.
	silentTimeouts = 8
	// overdueObjective is the share of the objective after which an attempt is overdue, unless
	// overdueLatencies gives a later time. After the whole objective every attempt is overdue.
	overdueObjective = 0.6
	// overdueLatencies is the multiple of the expected latency after which an attempt is overdue, unless
	// overdueObjective gives a later time.
	overdueLatencies = 3.0
	// overdueSlowness is the slowness sample that is recorded for an overdue or rejected attempt.
	overdueSlowness = 3.0
)

// These constants configure the choice of a backend.
const (
	// revisitObjectives is the time within which an agent aims to use each backend of its subset again, as a
	// multiple of the longest objective of any class. A larger value makes the subset larger, so that the
	// agent has more connections and older measurements.
	revisitObjectives = 0.5
	// minSubsetSize is the minimum number of idle backends in a subset.
	minSubsetSize = 3
	// maxScanned is the largest number of backends that are scanned completely for a choice. From a larger
	// number, a random sample is drawn.
	maxScanned = 64
	// maxDraws bounds the number of draws. After that, all backends are scanned.
	maxDraws = 48
	// crossZoneWeight is the factor on the weight of an idle backend in another zone, if
	// Settings.CrossZonePrice is set and the in-flight limit has not been cut recently.
	crossZoneWeight = 0.25
	// maxBackendShares bounds the number of attempts that this agent may have in flight at one backend, as a
	// multiple of the mean per backend at the in-flight limit.
	maxBackendShares = 3.0
)

// maxSlowStartWork is the work of the largest request that is sent to a backend in slow start, as a multiple
// of the mean work of the request's class.
const maxSlowStartWork = 2.0

// These constants configure the limit on attempts in flight, which follows the observed delay.
const (
	// defaultTargetDelay is the mean latency, as a share of the objective, above which the limit falls. A
	// larger value allows longer queues at the backends.
	defaultTargetDelay = 0.35
	// minTargetDelay is the lowest target delay of an agent that admits by credit. It is below
	// defaultTargetDelay because none of hundreds of such agents can detect that one backend fills up.
	minTargetDelay = 0.26
	// targetDelayFactor is the ratio of the target delay of such an agent to the work of a request, both as
	// shares of the objective.
	targetDelayFactor = 1.3
	// maxTargetDelay is the highest target delay of such an agent.
	maxTargetDelay = 0.6
	// maxUnloadedInFlight is the reported number of requests in flight below which a backend counts as having
	// had only the answered request in flight. It is above 1 because reports are noisy.
	maxUnloadedInFlight = 1.5
	// limitDecrease is the factor by which the limit is multiplied in each decrease.
	limitDecrease = 0.9
	// limitIncrease is the growth of the limit, in attempts per backend for each round of answers.
	limitIncrease = 0.7
	// initialLimitPerBackend is the initial limit of all agents together, per backend.
	initialLimitPerBackend = 6.0
	// minLimitPerBackend is the lowest limit per backend: a lower one would leave cores idle.
	minLimitPerBackend = 4.0
	// minLimitManyBalancers is the lowest limit per backend if there are more balancers than backends. It is
	// below minLimitPerBackend because several balancers may choose the same backend at once.
	minLimitManyBalancers = 3.0
	// maxRestoredLimit is the highest limit that is taken over from an earlier process.
	maxRestoredLimit = 60.0
	// headCountShare is the share of the limit that is divided equally among balancers. The rest is divided
	// in proportion to their traffic.
	headCountShare = 0.25
)

// These constants configure admission by credit, which is used if a balancer's even share of the limit is too
// small to bound its attempts in flight.
const (
	// minCountedShare is the even share, in attempts, below which a balancer admits by credit.
	minCountedShare = 3.0
	// creditBurst is the maximum of the credit, in mean requests: the number that may start in a burst.
	creditBurst = 4.0
	// maxCreditPerRequest bounds the credit that a first attempt earns, in multiples of its own work. It is
	// above 1 because retries need credit too.
	maxCreditPerRequest = 2.0
	// maxCreditlessGap is the time without an attempt after which one attempt starts without credit. An agent
	// that rejects everything for 4 s counts as out of service.
	maxCreditlessGap = 2 * time.Second
)

// These constants configure the queue of requests that wait for capacity.
const (
	// queueMargin is the number of mean latencies before its objective at which a queued request is shed.
	queueMargin = 2.0
	// maxQueueMargin bounds that margin, as a share of the objective: a request may wait for the rest of the
	// objective, unless half of its client's time is over sooner.
	maxQueueMargin = 0.75
	// clientRetryValue is the factor on the value of a client's retry. It is low because most of the
	// objective has passed.
	clientRetryValue = 0.1
)

// These constants configure the messages between balancers.
const (
	// peerFanout is the maximum number of peers to which each report is sent: all peers at a small site, a
	// random sample at a large one.
	peerFanout = 8
	// peerTimeoutIntervals is the number of reporting intervals without a report after which a peer counts as
	// stopped.
	peerTimeoutIntervals = 4.0
	// outcomesPerMessage is the number of outcomes after which a message with observations is sent. The cost
	// is half of that of one message per outcome.
	outcomesPerMessage = 2
	// maxObservations bounds the number of observations that are kept for peers; they fill about two
	// messages.
	maxObservations = 96
)

// These constants configure the detection of clients' retries by their remaining time: see inferClientRetry.
const (
	// remainingJitter is the random variation of remaining times that are nominally equal, as a share of the
	// objective.
	remainingJitter = 0.004
	// minOtherLength is the difference from the usual remaining time, in units of twice the jitter, from
	// which a remaining time is nominally another one. The remaining time of a client's last try seldom
	// differs by less.
	minOtherLength = 8
	// confidentVotes is the number of votes (classState.usualVotes) from which the usual remaining time
	// counts as established. The number of votes is bounded to twice this number.
	confidentVotes = 20
)

// These constants configure the use of leases of the fleet's shared limits.
const (
	// usageReportInterval is the least time between two reports of lease usage.
	usageReportInterval = 50 * time.Millisecond
	// leaseRetryAfter is the minimum Retry-After of a request that was rejected for lack of a lease. Rates of
	// leases are counted over at least a second.
	leaseRetryAfter = time.Second
)

// maxSubscribeBackoff is the longest wait before the agent subscribes to discovery again. 6 s after discovery
// becomes reachable, a change of the list counts as notified. A call that was already hanging at that time
// takes up to 4.5 s of them, and the next call needs time too.
const maxSubscribeBackoff = 800 * time.Millisecond

// maxPause is the longest time for which an agent may be paused between reading its clock and the write that
// depends on it, according to the platform. A keyed repeat must therefore start at least this long before the
// end of its deduplication window.
const maxPause = 150 * time.Millisecond
