package policymodel

import (
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/peer/policy"
)

// everywhere is how long one change of forty members takes from the question to the last that serves by it.
func everywhere(t *testing.T, o Options) (took time.Duration, r *Result) {
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
	kept(t, "forty members", rep, checker.PolicyAuthorNotified)
	if served != p.Daemons {
		t.Errorf("%d serve by the change", served)
	}
	return took, r
}

// A voter that has 16 streams open sends no more texts: who is left asks again, 300 ms later.
func TestStreamsAreBoundedWhereTheyAreCounted(t *testing.T) {
	free, _ := everywhere(t, Options{})
	few, _ := everywhere(t, Options{Streams: 16})
	if free > 200*time.Millisecond || few < 300*time.Millisecond || few > 2*time.Second {
		t.Errorf("%v without a bound, %v with 16 streams", free, few)
	}
}

// What a member sends another receives, from the moment on that is asked for; a way that is longer makes a change later;
// who is cut off hears nothing.
func TestWhatMeasurementsAreTold(t *testing.T) {
	steps := 0
	near, r := everywhere(t, Options{Since: 5 * time.Second, Size: func(int, *policy.Message) int { return 100 }, Viewers: 3,
		Around: func(_ time.Duration, _ int, step func()) { steps++; step() }})
	var out, in Traffic
	for _, x := range r.Traffic {
		out.MessagesOut, out.BytesOut = out.MessagesOut+x.MessagesOut, out.BytesOut+x.BytesOut
		in.MessagesIn, in.BytesIn = in.MessagesIn+x.MessagesIn, in.BytesIn+x.BytesIn
	}
	if steps == 0 || out.MessagesOut == 0 || out.MessagesOut >= r.Messages || out.BytesOut != 100*out.MessagesOut || in.BytesIn != 100*in.MessagesIn {
		t.Errorf("%d steps, %d messages in all, %+v out, %+v in", steps, r.Messages, out, in)
	}
	if d := out.MessagesOut - in.MessagesIn; d < -5 || d > 5 { // on their way at either end
		t.Errorf("%d sent, %d received", out.MessagesOut, in.MessagesIn)
	}
	far, _ := everywhere(t, Options{Delay: func(a, b int) time.Duration { return 30 * time.Millisecond }})
	if far < near+6*30*time.Millisecond {
		t.Errorf("%v near, %v with 30 ms more a way", near, far)
	}
	p := fleet(5, 3, true, at(6, "apply", 0))
	p.Length = 12 * time.Second
	told := map[int]bool{}
	if _, err := Play(p, Options{Seed: 1, Take: time.Hour, Cut: func(now time.Duration, a, b int) bool { return now > 5*time.Second && (a == 4) != (b == 4) },
		Serves: func(_ time.Duration, n int, _ string, number uint64) { told[n] = told[n] || number == 1 }}); err != nil {
		t.Fatal(err)
	}
	if told[4] || !told[0] {
		t.Errorf("serving by the change, which goes on without one that is cut off: %v", told)
	}
}
