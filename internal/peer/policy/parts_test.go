package policy

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// respond registers a request of a member as sent at requestedAt, and passes the leader's response to it to the
// member.
func (c *cluster) respond(to string, requestedAt time.Duration, response LeaseResponse) {
	m := &c.nodes[to].member
	m.seq++
	m.outstanding[m.seq] = requestedAt
	response.Seq = m.seq
	response.Leader = "a"
	response.Format = FormatVersion
	response.InRoster = true
	response.PartsHash = partsHash(m.configuredParts)
	c.step(to, Received{"a", &Message{LeaseResponse: &response}})
}

// A member that begins to hold a part serves by it only once the roster lists the part for it and it has the active
// document. A change does not wait for a member that no longer holds its part.
func TestPartServedOnlyOnceRosterHasIt(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	setRequestsBlocked := func(blocked bool) {
		for _, voter := range []string{"a", "b", "c"} {
			c.blockedLinks["e>"+voter] = blocked
		}
	}
	setRequestsBlocked(true)
	c.step("e", SetParts{Parts: []string{"x", "z"}})
	c.run(time.Second)
	if c.servedNumber("e", "x") != notServed || !c.admits("e") {
		t.Fatal("e serves by a part that no voter knows it to hold, or admits no requests at all")
	}
	c.proposeParts("a", partsChange("two", "x"), 1)
	c.run(time.Second)
	setRequestsBlocked(false)
	c.run(2 * time.Second)
	c.expectServed("e", "x", 2)
	c.expectServed("e", "z", 0)
	c.step("e", SetParts{Parts: []string{"z"}})
	c.expectServed("e", "x", notServed)
	c.run(time.Second)
	c.isolate("e")
	c.proposeParts("a", partsChange("three", "x"), 2)
	c.run(time.Second)
	c.expectServed("a", "x", 3)
}

// A member stops holding a part, and holds it again before the log has applied the first change. The roster still
// lists the part, but the proposed change of its entry removes the part.
func TestPartNotServedWhileRosterChangeIsPending(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	leader := c.leader()
	voters := []string{"a", "b", "c"}
	for _, voter := range voters {
		c.stalledDisks[voter] = voter != leader // no further entry is committed
	}
	c.step("d", SetParts{})
	c.run(300 * time.Millisecond)
	c.step("d", SetParts{Parts: []string{"y"}})
	c.run(500 * time.Millisecond)
	if c.servedNumber("d", "y") != notServed {
		t.Fatal("d serves by y although the log is about to remove y from its roster entry")
	}
	c.isolate("d")
	for _, voter := range voters {
		c.stalledDisks[voter] = false
		for len(c.stalledWrites[voter]) > 0 {
			c.endWrites(voter, nil)
		}
	}
	c.proposeParts("b", partsChange("two", "y"), 0)
	c.run(3 * time.Second)
	c.expectServed("b", "y", 1)
	c.expectServed("d", "y", notServed)
	c.reconnect("d")
	c.run(3 * time.Second)
	c.expectServed("d", "y", 1)
}

// The active documents of two parts pass the check only together. A member that joins without either of them fetches
// both, and then serves by both.
func TestJoiningMemberActivatesDependentPartsTogether(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.proposeParts("b", partsChange("two", "", "x"), 0, 1)
	c.run(time.Second)
	c.proposeParts("b", partsChange("three", "x"), 2)
	c.run(time.Second)
	check := func(documents []Document) error {
		has := func(id string) bool {
			return slices.ContainsFunc(documents, func(d Document) bool { return d.ID == id })
		}
		if has("two") != has("three") {
			return errors.New("one without the other")
		}
		return nil
	}
	settings := Settings{Name: "e", RunID: 9, Voters: []string{"a", "b", "c"}, Parts: []string{"x"}, Check: check}
	node, err := New(settings, StoredState{}, 9)
	if err != nil {
		t.Fatal(err)
	}
	c.join("e", node, StoredState{})
	c.run(3 * time.Second)
	if !c.admits("e") {
		t.Errorf("%+v", c.serving["e"])
	}
	c.expectServed("e", "", 1)
	c.expectServed("e", "x", 3)
}

// A response to a request from before a SetParts covers the parts that the member held then. A part that the member
// holds again meanwhile may have changed, so the response must not confirm it.
func TestResponsesFromBeforeSetPartsAreIgnored(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.proposeParts("b", partsChange("two", "y"), 0)
	c.run(time.Second)
	m := &c.nodes["d"].member
	c.isolate("d")
	c.step("d", RenewNow{})
	seq, knownUpTo := m.seq, m.knownUpTo
	c.step("d", SetParts{})
	c.step("d", SetParts{Parts: []string{"y"}}) // the document of y was discarded, and d does not have it again
	c.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{
		Seq:           seq,
		Leader:        "a",
		Format:        FormatVersion,
		InRoster:      true,
		CommittedUpTo: knownUpTo,
		PartsHash:     partsHash([]string{"y"}),
	}}})
	c.expectServed("d", "y", notServed)
}

// A response may not list a change as being prepared because the member sent the request before it persisted the
// change. Such a response does not mean that the change was aborted.
func TestResponseFromBeforePrepareAbortsNothing(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.stalledDisks["a"] = true // the change waits for a
	c.proposeParts("b", partsChange("two", "x"), 1)
	c.run(time.Second)
	m := &c.nodes["b"].member
	if !m.isPrepared("two") {
		t.Fatal("b has not prepared the change")
	}
	c.isolate("b")
	preparedAt := m.preparedAt["two"]
	c.respond("b", preparedAt-time.Millisecond, LeaseResponse{CommittedUpTo: m.knownUpTo})
	if !m.isPrepared("two") {
		t.Fatal("a response to a request from before it was persisted made b forget the change")
	}
	c.respond("b", preparedAt+time.Millisecond, LeaseResponse{CommittedUpTo: m.knownUpTo})
	if m.isPrepared("two") {
		t.Error("the change was aborted, and b still has it prepared")
	}
}

// A member in the roster that lacks the active document of a part that it holds admits no requests until it has
// fetched the document.
func TestMemberMissingAnActiveDocumentAdmitsNothing(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	m := &c.nodes["b"].member
	c.isolate("b")
	respond := func(changed DocumentRef) {
		c.respond("b", c.now, LeaseResponse{CommittedUpTo: m.knownUpTo + 1, Changed: []DocumentRef{changed}})
	}
	respond(DocumentRef{"z", 4, "other"})
	if !c.admits("b") {
		t.Fatal("b stops admitting requests because of a part that it does not hold")
	}
	respond(DocumentRef{"x", 2, "next"})
	if c.admits("b") {
		t.Errorf("%+v", c.serving["b"])
	}
}

// A daemon that restarts with another file may have other services. It fetches their documents, although these were
// committed before it restarted.
func TestRestartWithNewPartsFetchesTheirDocuments(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.proposeParts("b", partsChange("two", "y"), 0)
	c.run(time.Second)
	stored := *c.stored["d"]
	saved, err := decodeMember(stored.Member)
	if err != nil || saved.KnownUpTo == 0 {
		t.Fatalf("%v, %+v", err, saved)
	}
	c.stop("d")
	c.parts["d"] = []string{"x", "y"}
	c.start("d", 55, servesWhenIsolated, stored)
	c.run(3 * time.Second)
	c.expectServed("d", "x", 1)
	c.expectServed("d", "y", 1)
	if !c.admits("d") {
		t.Errorf("%+v", c.serving["d"])
	}
}
