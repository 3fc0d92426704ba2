package policy

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

var errDiskFull = errors.New("no space left on device")

func TestCommittedChangeIsServedEverywhere(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	c.propose("d", "x")
	c.run(time.Second)
	for _, name := range c.names {
		if got := c.serving[name]; got.Document.Number != 1 || got.Document.ID != "x" || !c.admits(name) {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if status := c.status("d", "x"); status.State != ChangeCommitted || status.Number != 1 {
		t.Errorf("%+v", status)
	}
}

func TestMemberIsPreparedOnlyAfterPersisting(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.stalledDisks["d"] = true
	c.propose("a", "x")
	c.run(2 * time.Second)
	if status := c.status("a", "x"); status.State != ChangePreparing {
		t.Fatalf("%+v, want it preparing while d has not persisted it", status)
	}
	c.stalledDisks["d"] = false
	c.endWrites("d", nil)
	c.run(time.Second)
	c.expectState("a", "x", ChangeCommitted)
}

func TestFullDiskAbortsTheChange(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.stalledDisks["d"] = true
	c.propose("a", "x")
	c.run(time.Second)
	c.endWrites("d", errDiskFull)
	c.stalledDisks["d"] = false
	c.run(time.Second)
	c.expectAborted("a", "x", "d", "no space left")
	for _, name := range c.names {
		pending := c.nodes[name].Status().Pending
		if !c.admits(name) || c.serving[name].Document.Number != 0 || pending != "" {
			t.Errorf("%s: %+v, and it still has %q prepared", name, c.serving[name], pending)
		}
	}
}

func TestFailedCheckAbortsTheChange(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.nodes["c"].settings.Check = func([]Document) error { return errors.New("zone north is none of this daemon's") }
	c.propose("a", "x")
	c.run(2 * time.Second)
	c.expectAborted("a", "x", "c", "zone north")
}

func TestChangeWaitsOnlyForMembersOfItsPart(t *testing.T) {
	for _, mode := range []isolationMode{stopsWhenIsolated, servesWhenIsolated} {
		t.Run(mode.String(), func(t *testing.T) {
			c := newPartsCluster(t, mode)
			c.isolate("d")
			c.proposeParts("a", partsChange("one", "x"), 1)
			c.proposeParts("b", partsChange("two", "y"), 0)
			c.run(time.Second)
			c.expectServed("a", "x", 2)
			c.expectServed("b", "x", 2)
			c.expectServed("b", "y", 0)
			c.run(20 * time.Second)
			if mode == stopsWhenIsolated { // d was fenced
				c.expectServed("b", "y", 1)
			} else {
				c.expectState("b", "two", ChangeAborted)
			}
		})
	}
}

func TestMultiPartChangeCommitsAtomically(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.stalledDisks["d"] = true
	c.proposeParts("b", partsChange("two", "x", "y"), 1, 0)
	c.run(time.Second)
	if c.servedNumber("a", "x") != 1 || c.servedNumber("b", "y") != 0 {
		t.Fatal("the change was committed although a member that it affects has not persisted it")
	}
	c.endWrites("d", nil)
	c.run(time.Second)
	c.expectServed("a", "x", 2)
	c.expectServed("b", "x", 2)
	c.expectServed("b", "y", 1)
	c.expectServed("d", "y", 1)
	if serving := c.serving["a"]; len(serving.Parts) != 1 {
		t.Errorf("a holds only the part x, and has the documents %+v", serving.Parts)
	}
}

// Two changes of different parts pass the check separately but not together. The second change is aborted while the
// first one is being prepared.
func TestChangeIsCheckedTogetherWithPendingOnes(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	c.nodes["b"].settings.Check = func(documents []Document) error {
		has := func(id string) bool {
			return slices.ContainsFunc(documents, func(d Document) bool { return d.ID == id })
		}
		if has("two") && has("three") {
			return errors.New("they don't fit together")
		}
		return nil
	}
	c.stalledDisks["a"] = true
	c.proposeParts("e", partsChange("two", ""), 0)
	c.run(500 * time.Millisecond)
	c.proposeParts("d", partsChange("three", "y"), 0)
	c.run(time.Second)
	c.expectAborted("d", "three", "b", "with two, which is under way: they don't fit together")
	c.expectState("e", "two", ChangePreparing)
}

func TestConcurrentChangesShareLogEntries(t *testing.T) {
	const changes = 30
	const maxEntries = 12
	c := newPartsCluster(t, servesWhenIsolated)
	leader := c.nodes[c.leader()].raftNode
	before := leader.lastPosition().index
	startedAt := c.now
	for i := range changes { // all within groupCommitInterval, and of parts that no member holds
		c.proposeParts("e", partsChange(fmt.Sprint("n", i), fmt.Sprint("part", i)), 0)
	}
	c.run(time.Second)
	for i := range changes {
		if status := c.status("e", fmt.Sprint("n", i)); status.State != ChangeCommitted {
			t.Fatalf("%+v", status)
		}
	}
	if got := leader.lastPosition().index - before; got > maxEntries {
		t.Errorf("%d entries for %d changes since %v", got, changes, startedAt)
	}
}

// A leader reviews the members that a change affects when the last of them may have prepared it, and once per
// reviewInterval. It must not do so at each request, which would cost the square of the number of members for each
// change.
func TestRosterReviewsPerChangeAreBounded(t *testing.T) {
	const maxReviews = 15
	names := []string{"a", "b", "c"}
	for i := range 57 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	c := newCluster(t, stopsWhenIsolated, names...)
	c.run(settlingTime)
	leader := c.nodes[c.leader()].raftNode
	before := leader.coordinator.reviews
	c.propose("m00", "x")
	proposedAt := c.now
	for leader.state.Active.ID != "x" && c.now < proposedAt+time.Second {
		c.run(time.Millisecond)
	}
	if took := c.now - proposedAt; took >= reviewInterval {
		t.Errorf("the change was committed only after %v, although all members could prepare it at once", took)
	}
	c.run(time.Second)
	for name, node := range c.nodes {
		if node.ActivePolicy().ID != "x" {
			t.Errorf("%s has the active policy %q, want x", name, node.ActivePolicy().ID)
		}
	}
	if got := leader.coordinator.reviews - before; got > maxReviews {
		t.Errorf("the leader reviewed the members %d times for one change", got)
	}
}

// A member whose disk is full still serves by the active policy. Only changes being prepared need the disk.
func TestFullDiskDoesNotBlockActivePolicy(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.propose("a", "x")
	c.run(time.Second)
	c.stop("d")
	c.stalledDisks["d"] = true
	c.start("d", 88, servesWhenIsolated, StoredState{})
	for range 20 {
		c.run(100 * time.Millisecond)
		c.endWrites("d", errDiskFull)
	}
	if c.serving["d"].Document.Number != 1 || !c.admits("d") {
		t.Errorf("%+v", c.serving["d"])
	}
	if requests := c.nodes["d"].member.seq; requests > 100 {
		t.Errorf("%d lease requests in 2 s", requests)
	}
}
