package membership

import (
	"testing"
	"time"
)

// Members that can't be reached never reduce MaxBalancers. An orderly leave and an operator's ForgetMember do, in
// steps.
func TestMaxBalancersFallsOnlyByLeaveOrForget(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 20)
	v.settled = true
	runUntil(v, 60*time.Second)
	if v.BalancerCount().Live != 1 || v.BalancerCount().MaxBalancers != 21 || v.BalancerCount().MinBalancers != 1 {
		t.Fatalf("size %+v", v.BalancerCount())
	}
	previous := v.BalancerCount().MaxBalancers
	for n := range 20 {
		v.Step(v.now+ms, ForgetMember{Name: testRecord(n).Name})
	}
	for i := 0; v.BalancerCount().MaxBalancers > 1; i++ {
		v.Step(v.Next())
		if i > 5000 {
			t.Fatalf("MaxBalancers stays at %d", v.BalancerCount().MaxBalancers)
		}
		present := v.BalancerCount().MaxBalancers
		if previous-present > max(1, previous/sizeSteps) {
			t.Fatalf("MaxBalancers falls from %d to %d in one step", previous, present)
		}
		previous = present
	}
}

func TestSizeChangesInSteps(t *testing.T) {
	v := newTestView(t)
	requireMax := func(when string, want int) {
		t.Helper()
		if got := v.BalancerCount().MaxBalancers; got != want {
			t.Errorf("%s: %d balancers, want %d", when, got, want)
		}
	}
	v.sizes.configured = 600
	learnMembers(v, 299)
	requireMax("before the view has settled", 600)
	if !v.BalancerCount().FromFile {
		t.Fatal("MaxBalancers is not the operator's figure")
	}
	v.settled = true
	v.Step(v.now + ms)
	requireMax("settled soon after the start", 300)
	if v.BalancerCount().FromFile {
		t.Error("MaxBalancers is still the operator's figure")
	}
	left := testRecord(1)
	left.State = Left
	learn(v, left)
	requireMax("at once after a leave", 300)
	runUntil(v, v.now+3*sizeStepInterval)
	requireMax("some steps after the leave", 299)
}
