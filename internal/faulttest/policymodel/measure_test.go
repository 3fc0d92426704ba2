package policymodel

import (
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/peer/policy"
)

// measureChange returns the time of one change in a fleet of forty members, from the proposal until the last member
// serves by it.
func measureChange(t *testing.T, o Options) (took time.Duration, r *Result) {
	t.Helper()
	p := fleet(40, 3, true, at(6, "apply", 0))
	p.Length = 12 * time.Second
	o.Seed, o.Witness, o.Take = 1, true, time.Hour
	served := 0
	o.Serves = func(now time.Duration, _ int, _ string, number uint64) {
		if number == 1 {
			served++
			took = now - 6*time.Second
		}
	}
	r, rep := play(t, p, o)
	checkClaims(t, "forty members", rep, checker.PolicyAuthorNotified)
	if served != p.Daemons {
		t.Errorf("%d members serve by the change", served)
	}
	return took, r
}

// A voter with 16 open streams sends no further documents; the other members request them again 300 ms later.
func TestOpenStreamsAreLimited(t *testing.T) {
	free, _ := measureChange(t, Options{})
	few, _ := measureChange(t, Options{Streams: 16})
	if free > 200*time.Millisecond || few < 300*time.Millisecond || few > 2*time.Second {
		t.Errorf("change took %v without a limit, %v with 16 streams", free, few)
	}
}

// Traffic is counted from the time in Since on, and all sent messages are received. A longer delay makes a change
// slower. A member that Cut isolates does not receive the change.
func TestMeasurementOptions(t *testing.T) {
	steps := 0
	near, r := measureChange(t, Options{Since: 5 * time.Second, Size: func(int, *policy.Message) int { return 100 }, Viewers: 3,
		Around: func(_ time.Duration, _ int, step func()) { steps++; step() }})
	var out, in Traffic
	for _, x := range r.Traffic {
		out.MessagesOut, out.BytesOut = out.MessagesOut+x.MessagesOut, out.BytesOut+x.BytesOut
		in.MessagesIn, in.BytesIn = in.MessagesIn+x.MessagesIn, in.BytesIn+x.BytesIn
	}
	if steps == 0 || out.MessagesOut == 0 || out.MessagesOut >= r.Messages || out.BytesOut != 100*out.MessagesOut || in.BytesIn != 100*in.MessagesIn {
		t.Errorf("%d steps, %d messages in all, %+v out, %+v in", steps, r.Messages, out, in)
	}
	if d := out.MessagesOut - in.MessagesIn; d < -5 || d > 5 { // in transit at the start or the end of the count
		t.Errorf("%d sent, %d received", out.MessagesOut, in.MessagesIn)
	}
	far, _ := measureChange(t, Options{Delay: func(a, b int) time.Duration { return 30 * time.Millisecond }})
	if far < near+6*30*time.Millisecond {
		t.Errorf("change took %v, and %v with 30 ms more delay each way", near, far)
	}
	p := fleet(5, 3, true, at(6, "apply", 0))
	p.Length = 12 * time.Second
	told := map[int]bool{}
	if _, err := Play(p, Options{Seed: 1, Take: time.Hour, Cut: func(now time.Duration, a, b int) bool { return now > 5*time.Second && (a == 4) != (b == 4) },
		Serves: func(_ time.Duration, n int, _ string, number uint64) { told[n] = told[n] || number == 1 }}); err != nil {
		t.Fatal(err)
	}
	if told[4] || !told[0] {
		t.Errorf("members that serve by the change, want the first but not the isolated one: %v", told)
	}
}
