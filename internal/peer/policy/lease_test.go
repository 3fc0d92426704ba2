package policy

import (
	"testing"
	"time"
)

func TestIsolatedMemberStopsAtLeaseExpiryBeforeCommit(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	c.isolate("d")
	isolatedAt := c.now
	c.propose("a", "x")
	for c.status("a", "x").State != ChangeCommitted {
		c.run(50 * time.Millisecond)
		if c.now-isolatedAt > 20*time.Second {
			t.Fatalf("%+v", c.status("a", "x"))
		}
		if c.nodes["a"].ActivePolicy().Number == 1 && c.admits("d") {
			t.Fatalf("%v after it was isolated, d admits requests by policy 0 although 1 is active", c.now-isolatedAt)
		}
	}
	c.reconnect("d")
	c.run(2 * time.Second)
	if !c.admits("d") || c.serving["d"].Document.Number != 1 {
		t.Errorf("after d was reconnected: %+v", c.serving["d"])
	}
}

func TestIsolatedMemberServesOnAndBlocksTheChange(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.isolate("d")
	c.propose("a", "x")
	c.run(30 * time.Second)
	c.expectAborted("a", "x", "d", "")
	if !c.admits("d") || len(c.serving["d"].Preparing) > 0 {
		t.Errorf("%+v", c.serving["d"])
	}
}

// A member has prepared a change and has not received the outcome. It serves by the active policy until its lease
// expires, and from then on serves only what both the active policy and the change allow.
func TestUncertainMemberServesIntersection(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.stalledDisks["e"] = true // the change waits for e
	c.propose("a", "x")
	c.run(time.Second)
	c.isolate("d")
	isolatedAt := c.now
	c.stalledDisks["e"] = false
	c.endWrites("e", nil)
	c.run(time.Second)
	if c.nodes["a"].ActivePolicy().Number != 1 {
		t.Fatalf("the change is not committed although all members have prepared it: %+v", c.status("a", "x"))
	}
	c.run(DefaultLease)
	got := c.serving["d"]
	if len(got.Preparing) != 1 || got.Preparing[0].ID != "x" || got.Document.Number != 0 || !c.admits("d") {
		t.Errorf("%v after it was isolated: %+v", c.now-isolatedAt, got)
	}
	c.reconnect("d")
	c.run(2 * time.Second)
	if c.serving["d"].Document.Number != 1 || len(c.serving["d"].Preparing) > 0 {
		t.Errorf("%+v", c.serving["d"])
	}
}

// A member that has not received the outcome of a change of one part serves what both documents of that part allow,
// and serves its other part unchanged.
func TestUncertainPartServesIntersectionOnly(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.stalledDisks["d"] = true // the change waits for d
	c.proposeParts("b", partsChange("two", "y"), 0)
	c.run(time.Second)
	c.isolate("b")
	c.run(2 * DefaultLease)
	serving := c.serving["b"]
	x, y := serving.PreparingChange("x"), serving.PreparingChange("y")
	if !c.admits("b") || x != nil || y == nil || y.ID != "two" {
		t.Errorf("%+v", serving)
	}
}

// A leader that reaches no quorum grants no lease, because another voter may have been elected and have decided
// changes meanwhile.
func TestIsolatedLeaderGrantsNoLease(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	isolated := c.leader()
	var voters []string
	for _, name := range []string{"a", "b", "c"} {
		if name != isolated {
			voters = append(voters, name)
		}
	}
	for _, voter := range voters { // d reaches only the isolated leader
		c.setLink(isolated, voter, true)
		c.setLink("d", voter, true)
	}
	c.run(DefaultLease + 2*time.Second)
	if c.admits("d") || c.admits(isolated) {
		t.Errorf("d: %+v, %s: %+v", c.serving["d"], isolated, c.serving[isolated])
	}
	if !c.admits(voters[0]) || !c.admits(voters[1]) {
		t.Error("the other voters admit no requests, so they have not elected a leader")
	}
}

// A member that is being removed from the roster gets no lease, since the lease could last longer than the member's
// roster entry.
func TestMemberBeingRemovedGetsNoLease(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	coordinator := &c.nodes[c.leader()].raftNode.coordinator
	member := coordinator.members["d"]
	member.removing = true
	coordinator.rosterChanges["d"] = rosterChange{member.runID, 0, c.now + time.Hour} // proposed and not applied yet
	before := c.serving["d"].Until
	c.run(DefaultLease / 2)
	if c.serving["d"].Until > before {
		t.Error("the lease of d was renewed while d is being removed")
	}
}

func TestLeaseCountsFromTheRequest(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	m := &c.nodes["d"].member
	requestedAt := c.now - 2*time.Second
	m.outstanding[900] = requestedAt
	m.seq = 900
	m.leaseExpiry = 0
	respond := func(response LeaseResponse) {
		response.Leader = "a"
		response.InRoster = true
		c.step("d", Received{"a", &Message{LeaseResponse: &response}})
	}
	respond(LeaseResponse{Seq: 900})
	if want := requestedAt + DefaultLease; m.leaseExpiry != want {
		t.Errorf("the response to a request of 2 s ago renews the lease until %v, want %v", m.leaseExpiry, want)
	}
	before := m.leaseExpiry
	respond(LeaseResponse{Seq: 900}) // a duplicate
	respond(LeaseResponse{Seq: 5, Pending: "z"})
	if m.leaseExpiry != before || len(m.fetching) > 0 {
		t.Error("a response without an outstanding request took effect")
	}
}

// A new leader has no record of the leases that its predecessor granted. It waits until all of them have certainly
// expired before it commits a change without their members.
func TestNewLeaderWaitsForLeasesOfItsPredecessor(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	predecessor := c.leader()
	isolated := []string{predecessor, "d"} // they reach each other
	for _, name := range c.names {
		if name != predecessor && name != "d" {
			c.setLink(isolated[0], name, true)
			c.setLink(isolated[1], name, true)
		}
	}
	isolatedAt := c.now
	c.propose("e", "x")
	for c.nodes["e"].ActivePolicy().Number == 0 {
		c.run(20 * time.Millisecond)
		if c.now-isolatedAt > 30*time.Second {
			t.Fatalf("%+v", c.status("e", "x"))
		}
	}
	if c.admits("d") || c.admits(predecessor) {
		t.Errorf("%v after the isolation, policy 1 is active and an isolated member admits requests by policy 0",
			c.now-isolatedAt)
	}
}

func TestLeaderRespondsOnlyAfterReadIndex(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	leader := c.leader()
	for _, name := range []string{"a", "b", "c"} {
		if name != leader {
			c.setLink(leader, name, true)
		}
	}
	before := c.serving["d"].Until
	c.step("d", RenewNow{})
	c.run(100 * time.Millisecond)
	if c.serving["d"].Until > before {
		t.Error("a leader responded although no quorum has confirmed it")
	}
}

func TestStandaloneStartServesOnlyIfConfigured(t *testing.T) {
	for name, serveLastKnown := range map[string]bool{"configured": true, "not configured": false} {
		t.Run(name, func(t *testing.T) {
			stored := StoredState{Member: encode(&savedMember{Active: *globalChange("x")})}
			node := newTestNode(t, Settings{Name: "d", ServeLastKnown: serveLastKnown}, stored)
			node.Step(0, NameOwnership{Exclusive: true})
			for now := time.Duration(0); now < 20*time.Second; now = node.Next() {
				node.Step(now)
				admits := node.Serving().Until > now
				if admits != (serveLastKnown && now >= DefaultStandaloneAfter) {
					t.Fatalf("after %v: %+v", now, node.Serving())
				}
			}
			if s := node.Serving(); serveLastKnown && (!s.Standalone || s.Document.ID != "x") {
				t.Errorf("%+v", s)
			}
		})
	}
}

func TestMemberNeverRevertsToAnOlderPolicy(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	c.propose("a", "x")
	c.run(time.Second)
	m := &c.nodes["d"].member
	m.seq += 100
	m.outstanding[m.seq] = c.now
	c.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", InRoster: true, ActiveNumber: 0}}})
	if c.serving["d"].Document.Number != 1 || !c.admits("d") {
		t.Errorf("%+v", c.serving["d"])
	}
}
