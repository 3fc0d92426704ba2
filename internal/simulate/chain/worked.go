package chain

import "math"

// The retry token bucket of package decide: tokens that a retry takes, tokens that a served attempt returns, and the
// bucket's size.
const (
	retryCost     = 5.0
	successRefill = 1.0
	bucketSize    = 100.0
)

// Worked computes the expected result of a policy once the retry token buckets are empty, if attempts at the last tier
// fail at random with the share errors and no deadline passes. It returns the attempts at the last tier for one call
// of a client, and the share of calls that are served.
//
// If attempts at a tier succeed with probability s, a call makes 1+f+f² of them with the policy Threes (f = 1-s). The
// agent's bucket limits retries to successRefill/retryCost = 1/5 of the successes, so that a call makes at most
// 1/(1-s/5) attempts. At that limit, the value of 1/s at each tier is 1/5 less than at the next lower tier, and the
// number of attempts for a call is the s of the clients' calls divided by the s at the last tier.
func Worked(policy string, tiers int, errors float64) (perCall, served float64) {
	s, attempts := 1-errors, 1.0
	for range tiers {
		f := 1 - s
		each, next := 1+f+f*f, 1-f*f*f
		if most := 1 / (1 - s*successRefill/retryCost); policy == Agent && most < each {
			each, next = most, s*most
		}
		if policy == None {
			each, next = 1, s
		}
		attempts, s = attempts*each, next
	}
	return attempts, s
}

// Worst returns the highest number of attempts for one call by Worked over all error shares, and that error share.
func Worst(policy string, tiers int) (perCall, errors float64) {
	for e := range 1001 {
		if a, _ := Worked(policy, tiers, float64(e)/1000); a > perCall {
			perCall, errors = a, float64(e)/1000
		}
	}
	return perCall, errors
}

// Burst returns how many retries full buckets allow without any success, for the given number of tiers and of agents
// at each tier. The retries of the tiers add up and don't multiply: each is one additional attempt at its tier, and one
// additional call to the tiers below.
func Burst(tiers, agents int) int { return tiers * agents * int(math.Floor(bucketSize/retryCost)) }
