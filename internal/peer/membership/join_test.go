package membership

import (
	"testing"
	"time"
)

func TestSeedsWithoutAKnownMemberAreRetried(t *testing.T) {
	silentSeed := "127.0.0.9:9"
	v := newTestView(t, "127.0.0.2:1", silentSeed)
	attempts := 0
	for i := 0; v.now < 8*time.Second && i < 5000; i++ {
		for _, o := range openedExchanges(v.Step(max(v.Next(), v.now))) {
			if o.To == silentSeed {
				attempts++
				v.Step(v.now+ms, ExchangeFailed{o.ID})
			} else { // m0 answers, and the join succeeds
				v.Step(v.now+ms, ExchangeResponse{o.ID, exchangeFrom(testRecord(0))})
			}
		}
	}
	if attempts < 2 {
		t.Errorf("%d attempts", attempts)
	}
}

func TestIncomingExchangeDoesNotEndTheJoin(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	request := &Exchange{From: "m3", BucketDigests: []uint64{0}, Records: []Record{testRecord(3)}}
	v.Step(0, ExchangeRequest{1, request})
	attempts := 0 // the first attempt may already have been under way
	for i := 0; i < 100 && attempts < 2; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			attempts++
			v.Step(v.now+ms, ExchangeFailed{o.ID})
		}
	}
	if attempts < 2 {
		t.Errorf("%d attempts: the member no longer contacts its seed", attempts)
	}
}

func TestJoinMovesOnFromASilentSeed(t *testing.T) {
	v := newTestView(t, "127.0.0.8:1", "127.0.0.9:1")
	attemptedAt := map[string]time.Duration{}
	for i := 0; i < 500 && len(attemptedAt) < 2; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) { // no answer and no failure
			attemptedAt[o.To] = v.now
		}
	}
	if len(attemptedAt) < 2 || v.now > 2*joinTimeout {
		t.Errorf("%v by %v", attemptedAt, v.now)
	}
}

func TestJoinIsGossiped(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	v.updates = updateQueue{}
	request := &Exchange{From: "m9", BucketDigests: []uint64{0}, Records: []Record{testRecord(9)}}
	v.Step(ms, ExchangeRequest{1, request})
	for _, a := range runUntil(v, 500*ms) {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		for _, u := range s.Message.Updates {
			if u.Name == "m9" {
				return
			}
		}
	}
	t.Error("no member receives the record of the new member")
}

func TestSavedMembersAreContactedButNotTrusted(t *testing.T) {
	v := mustNew(t, Settings{KnownMembers: []Record{testRecord(0), testRecord(1)}})
	if opened := openedExchanges(runUntil(v, time.Second)); len(v.live) != 0 || len(opened) == 0 {
		t.Errorf("%d are alive, %d contacted", len(v.live), len(opened))
	}
	if v.BalancerCount().MaxBalancers != 3 { // the saved members may still be sending requests
		t.Errorf("size %+v", v.BalancerCount())
	}
}
