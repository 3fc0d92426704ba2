package chain

import "math"

// The agent's bucket, as decide has it: what a retry takes, what a served attempt brings back, and what it holds.
const (
	cost   = 5.0
	refill = 1.0
	holds  = 100.0
)

// Worked is what each policy comes to by arithmetic once buckets are empty, where the last tier fails a share of what
// comes, at random, and nobody's time runs out: attempts there for one call of a client, and the share of calls served.
//
// A tier whose attempts succeed with s makes 1+f+f² of them for a call by plain threes (f = 1-s). The agent's bucket
// bounds retries to refill/cost = 1/5 of what succeeds, so that a call has at most 1/(1-s/5) attempts. Then 1/s falls by
// 1/5 from one tier to the one above, and attempts for a call come to s at the top over s at the bottom.
func Worked(policy string, tiers int, errors float64) (perCall, served float64) {
	s, attempts := 1-errors, 1.0
	for range tiers {
		f := 1 - s
		each, next := 1+f+f*f, 1-f*f*f
		if most := 1 / (1 - s*refill/cost); policy == Agent && most < each {
			each, next = most, s*most
		}
		if policy == None {
			each, next = 1, s
		}
		attempts, s = attempts*each, next
	}
	return attempts, s
}

// Worst is the highest that attempts for one call come to by Worked, over all shares of errors, and that share.
func Worst(policy string, tiers int) (perCall, errors float64) {
	for e := range 1001 {
		if a, _ := Worked(policy, tiers, float64(e)/1000); a > perCall {
			perCall, errors = a, float64(e)/1000
		}
	}
	return perCall, errors
}

// Burst is how many retries full buckets fund by themselves, of so many agents at each of some tiers. They add up and
// do not multiply: each is one more attempt at its tier, and below that one more call.
func Burst(tiers, agents int) int { return tiers * agents * int(math.Floor(holds/cost)) }
