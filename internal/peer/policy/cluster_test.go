package policy

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// isolationMode is a value of Settings.StopWhenIsolated.
type isolationMode bool

const (
	stopsWhenIsolated  isolationMode = true
	servesWhenIsolated isolationMode = false
)

func (m isolationMode) String() string {
	if m == stopsWhenIsolated {
		return "stops when isolated"
	}
	return "serves when isolated"
}

// notServed is the result of servedNumber for a part that the member may not serve.
const notServed = 1 << 32

// settlingTime is longer than a new cluster takes to elect a leader and to grant all leases.
const settlingTime = 6 * time.Second

// cluster is a fleet in virtual time. Its messages and writes take no time. The members a, b and c are voters.
type cluster struct {
	t             *testing.T
	now           time.Duration
	nodes         map[string]*Node
	stored        map[string]*StoredState // the members' data on the disk, without the voters' data
	blockedLinks  map[string]bool         // by "a>b" for the direction from a to b
	stalledDisks  map[string]bool         // members whose writes neither end nor fail
	stalledWrites map[string][]Persist
	serving       map[string]Serving
	names         []string
	parts         map[string][]string // parts that each member holds
	legacyMembers map[string]bool     // members whose requests are of format 1
}

// newCluster starts members with the given names.
func newCluster(t *testing.T, mode isolationMode, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t:             t,
		nodes:         map[string]*Node{},
		stored:        map[string]*StoredState{},
		blockedLinks:  map[string]bool{},
		stalledDisks:  map[string]bool{},
		stalledWrites: map[string][]Persist{},
		serving:       map[string]Serving{},
		parts:         map[string][]string{},
		legacyMembers: map[string]bool{},
	}
	c.startAll(mode, names...)
	return c
}

// newSettledCluster starts five members, and waits until all admit requests.
func newSettledCluster(t *testing.T, mode isolationMode) *cluster {
	t.Helper()
	c := newCluster(t, mode, "a", "b", "c", "d", "e")
	c.run(settlingTime)
	for _, name := range c.names {
		if !c.admits(name) {
			t.Fatalf("%s admits no requests: %+v", name, c.serving[name])
		}
	}
	return c
}

// newPartsCluster starts five members. Member a holds the part x, b holds x and y, d holds y, and c and e hold no
// parts. The log has format 2, and x has its first document.
func newPartsCluster(t *testing.T, mode isolationMode) *cluster {
	t.Helper()
	c := newCluster(t, mode)
	c.parts = map[string][]string{"a": {"x"}, "b": {"x", "y"}, "d": {"y"}}
	c.startAll(mode, "a", "b", "c", "d", "e")
	c.run(settlingTime)
	c.proposeParts("a", partsChange("first", "x"), 0)
	c.run(3 * time.Second)
	for _, name := range c.names {
		if !c.admits(name) || !slices.Equal(c.serving[name].ServedParts, c.parts[name]) {
			t.Fatalf("%s: %+v", name, c.serving[name])
		}
	}
	if status := c.nodes["a"].ChangeStatus("first"); status.State != ChangeCommitted {
		t.Fatalf("%+v", status)
	}
	return c
}

func (c *cluster) startAll(mode isolationMode, names ...string) {
	c.t.Helper()
	c.names = names
	for i, name := range names {
		c.start(name, uint64(i+1), mode, StoredState{})
	}
}

// start starts a member with the data on its disk. The run ID is also its seed.
func (c *cluster) start(name string, runID uint64, mode isolationMode, stored StoredState) {
	c.t.Helper()
	node, err := New(Settings{
		Name:             name,
		RunID:            runID,
		Voters:           []string{"a", "b", "c"},
		StopWhenIsolated: bool(mode),
		Parts:            c.parts[name],
	}, stored, runID)
	if err != nil {
		c.t.Fatal(err)
	}
	c.join(name, node, stored)
}

// join adds a node to the cluster.
func (c *cluster) join(name string, node *Node, stored StoredState) {
	c.nodes[name] = node
	c.stored[name] = &stored
	c.step(name, NameOwnership{Exclusive: true})
}

// stop ends the process of a member.
func (c *cluster) stop(name string) { c.nodes[name] = nil }

// delivery contains the events to pass to a member.
type delivery struct {
	to     string
	events []Event
}

// step passes events to a member, and the resulting events to all members.
func (c *cluster) step(name string, events ...Event) {
	queue := []delivery{{name, events}}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		node := c.nodes[next.to]
		if node == nil {
			continue
		}
		for _, action := range node.Step(c.now, next.events...) {
			queue = append(queue, c.perform(next.to, action)...)
		}
	}
}

// perform performs an action of a member, and returns the resulting events.
func (c *cluster) perform(name string, action Action) []delivery {
	switch action := action.(type) {
	case Send:
		if request := action.Message.LeaseRequest; request != nil && c.legacyMembers[request.Name] {
			reduceToFormatOne(request)
		}
		if !c.blockedLinks[name+">"+action.To] {
			return []delivery{{action.To, []Event{Received{name, action.Message}}}}
		}
	case Persist:
		if c.stalledDisks[name] {
			c.stalledWrites[name] = append(c.stalledWrites[name], action)
			return nil
		}
		if action.Batch.Member != nil {
			c.stored[name].Member = action.Batch.Member
		}
		return []delivery{{name, []Event{Persisted{Seq: action.Seq}}}}
	case ServingChanged:
		c.serving[name] = action.Serving
	}
	return nil
}

func reduceToFormatOne(request *LeaseRequest) {
	request.Format = 0
	request.KnownUpTo = 0
	request.PreparedIDs = nil
	request.PartsHash = 0
	request.Parts = nil
}

// run advances the virtual time by a span, and steps the members when they are due.
func (c *cluster) run(span time.Duration) {
	end := c.now + span
	for c.now < end {
		next := end
		for _, name := range c.names {
			if node := c.nodes[name]; node != nil {
				next = min(next, node.Next())
			}
		}
		c.now = max(c.now+time.Millisecond, next)
		for _, name := range c.names {
			if node := c.nodes[name]; node != nil && node.Next() <= c.now {
				c.step(name)
			}
		}
	}
}

// leader returns the name of the leader.
func (c *cluster) leader() string {
	c.t.Helper()
	for _, name := range c.names {
		node := c.nodes[name]
		if node != nil && node.raftNode != nil && node.raftNode.isLeader() && node.raftNode.coordinator.term > 0 {
			return name
		}
	}
	c.t.Fatal("there is no leader")
	return ""
}

// followingVoter returns a voter that is not the leader.
func (c *cluster) followingVoter() string {
	c.t.Helper()
	if c.leader() == "a" {
		return "b"
	}
	return "a"
}

// propose proposes a change of the global part at a member, based on the document that is active there.
func (c *cluster) propose(at, id string) {
	c.step(at, Propose{Proposal{Base: c.nodes[at].ActivePolicy().Number, Document: *globalChange(id)}})
}

// proposeParts proposes a change of parts at a member. bases contains, for each part, the number of the document that
// the change is based on.
func (c *cluster) proposeParts(at string, change *Document, bases ...uint64) {
	c.step(at, Propose{Proposal{Document: *change, Base: bases[0], Bases: bases[1:]}})
}

// status returns the status that a member has received for a change.
func (c *cluster) status(at, id string) ChangeStatus { return c.nodes[at].ChangeStatus(id) }

// isolate blocks all links of a member.
func (c *cluster) isolate(name string) { c.setLinks(name, true) }

// reconnect unblocks all links of a member.
func (c *cluster) reconnect(name string) { c.setLinks(name, false) }

func (c *cluster) setLinks(name string, blocked bool) {
	for _, other := range c.names {
		if other != name {
			c.setLink(name, other, blocked)
		}
	}
}

// setLink blocks or unblocks the link between two members in both directions.
func (c *cluster) setLink(a, b string, blocked bool) {
	c.blockedLinks[a+">"+b] = blocked
	c.blockedLinks[b+">"+a] = blocked
}

// endWrites completes the stalled writes of a member, successfully or with an error. It does not change whether the
// member's disk is stalled.
func (c *cluster) endWrites(name string, err error) {
	writes := c.stalledWrites[name]
	c.stalledWrites[name] = nil
	for _, write := range writes {
		c.step(name, Persisted{Seq: write.Seq, Err: err})
	}
}

// admits reports whether a member admits requests now.
func (c *cluster) admits(name string) bool {
	serving := c.serving[name]
	return serving.Blocked == "" && c.now < serving.Until
}

// servedNumber returns the number of the document by which a member serves a part, or notServed.
func (c *cluster) servedNumber(at, part string) uint64 {
	serving := c.serving[at]
	d, served := serving.Lookup(part)
	if !served {
		return notServed
	}
	return d.Number
}

// expectServed fails the test unless a member serves a part by the document with the given number.
func (c *cluster) expectServed(at, part string, number uint64) {
	c.t.Helper()
	if got := c.servedNumber(at, part); got != number {
		c.t.Errorf("%s serves part %q by document %d, want %d: %+v", at, part, got, number, c.serving[at])
	}
}

// expectAborted fails the test unless a member has received the status that a change was aborted by a given member,
// for a reason that contains a text.
func (c *cluster) expectAborted(at, id, by, reason string) {
	c.t.Helper()
	status := c.status(at, id)
	if status.State != ChangeAborted || status.AbortedBy != by || !strings.Contains(status.Reason, reason) {
		c.t.Errorf("change %s at %s: %+v, want it aborted by %q with %q", id, at, status, by, reason)
	}
}

// expectState fails the test unless a member has received the given state of a change.
func (c *cluster) expectState(at, id string, state ChangeState) {
	c.t.Helper()
	if status := c.status(at, id); status.State != state {
		c.t.Errorf("change %s at %s: %+v, want it %v", id, at, status, state)
	}
}

// globalChange returns a change of the global part.
func globalChange(id string) *Document {
	body := []byte("# " + id)
	return &Document{ID: id, Body: body, Digest: DigestOf(body), Author: "a", Reason: "test"}
}

// partsChange returns a change of the given parts.
func partsChange(id string, parts ...string) *Document {
	change := globalChange(id)
	change.Part = parts[0]
	for _, part := range parts[1:] {
		body := []byte("# " + id + " " + part)
		change.AdditionalParts = append(change.AdditionalParts, Document{Part: part, Body: body, Digest: DigestOf(body)})
	}
	return change
}

// newTestNode returns a node outside any cluster.
func newTestNode(t *testing.T, s Settings, stored StoredState) *Node {
	t.Helper()
	s.RunID = 1
	s.Voters = []string{"a", "b", "c"}
	node, err := New(s, stored, 1)
	if err != nil {
		t.Fatal(err)
	}
	return node
}
