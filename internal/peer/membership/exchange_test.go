package membership

import (
	"testing"
	"time"
)

func TestDeathFromAnExchangeBecomesASuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	dead := testRecord(1)
	dead.State = Dead
	learn(v, dead)
	requireState(t, v, "m1", Suspect)
}

func TestPersistentDigestMismatchLeadsToAnExchange(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	v.exchange = exchangeState{periodicAt: time.Hour}
	var opened []OpenExchange
	for number := uint64(1); len(opened) == 0 && v.now < 5*time.Second; number++ {
		v.updates = updateQueue{}
		datagram := datagramFrom(testRecord(0), number, Message{Kind: Gossip, Digest: 99})
		opened = openedExchanges(v.Step(v.now+100*ms, datagram))
	}
	if len(opened) == 0 || opened[0].To != testRecord(0).Addr {
		t.Errorf("opened %v by %v", opened, v.now)
	}
}

func TestStaleFailureDoesNotEndAnotherExchange(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	var first OpenExchange
	for i := 0; first.ID == 0 && i < 100; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			first = o
		}
	}
	v.Step(v.now+ms, ExchangeFailed{first.ID + 7})
	v.Step(v.now+ms, ExchangeResponse{first.ID, exchangeFrom(testRecord(0))})
	if !v.Joined() {
		t.Error("the response was dropped")
	}
}

func TestRemoteExchangesStayWithinTheirBudget(t *testing.T) {
	v := newRegionView(t, 2, 3, 0)
	v.now += ms
	v.remoteStreamBudget.fill(v.now)
	v.remoteStreamBudget.level = -5000
	request := func(r Record) *Exchange {
		x := &Exchange{From: r.Name, BucketDigests: []uint64{1}, Records: []Record{r}}
		for _, a := range v.Step(v.now+ms, ExchangeRequest{Stream: 1, Message: x}) {
			if reply, ok := a.(ExchangeReply); ok {
				return reply.Message
			}
		}
		return nil
	}
	if x := request(regionRecord(1, 0)); x == nil || x.RetryAfterMS == 0 || x.Records[0].Region != "b" {
		t.Errorf("the response to another region is %+v", x)
	}
	if x := request(regionRecord(0, 0)); x == nil || x.RetryAfterMS != 0 {
		t.Errorf("the response to the member's own region is %+v", x)
	}
	v.remoteStreamBudget.level = -1e6
	v.exchange = exchangeState{periodicAt: time.Hour}
	v.exchange.requestWith(v, regionRecord(1, 0).Addr)
	if opened := openedExchanges(runUntil(v, v.now+2*time.Second)); len(opened) > 0 {
		t.Error("the member opens an exchange although its budget is used up")
	}
}
