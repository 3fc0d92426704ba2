package decide_test

import (
	"fmt"
	"testing"

	"vetchhaven/decide"
)

// Guards against a client with many requests at once that keeps the requests of others in the queue.
func TestClientWithManyRequestsDoesNotKeepOthersOut(t *testing.T) {
	const flooder, other = 1, 2
	h := newHarness(t, testSettings(), 1, testBackends(2))
	send := func(id string, client uint64) {
		h.step(decide.Request{ID: id, Class: idempotent, Remaining: 2000 * ms, Client: client})
	}
	flood := 0
	more := func(n int) {
		for range n {
			send(fmt.Sprintf("flood%d", flood), flooder)
			flood++
		}
	}
	const enough = 200
	more(enough)
	open := len(h.sent)
	if open == 0 || open == enough {
		t.Fatalf("%d of %d requests were sent: the capacity is not exceeded", open, enough)
	}
	send("lookup", other)
	more(10)
	if h.sent["lookup"] != nil {
		t.Fatal("there is capacity left")
	}
	h.outcome("flood0", decide.OK, 50*ms)
	if h.sent["lookup"] == nil {
		t.Error("another client's request waits, and the next free capacity went to the client that has most")
	}
}
