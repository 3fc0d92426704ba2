package policy

import (
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// respondPosition passes the position of another voter to a recovering voter.
func respondPosition(node *Node, now time.Duration, from string, response PositionResponse) []Action {
	response.StartNumber = node.raftNode.startNumber
	return node.Step(now, Received{from, &Message{PositionResponse: &response}})
}

// countVotes requests the vote of a voter once, for a candidate whose log ends at a position, and returns the number
// of votes granted.
func countVotes(c *cluster, voter, candidate string, log position) int {
	node := c.nodes[voter]
	request := &raftpb.Message{
		Type:    raftpb.MsgVote.Enum(),
		From:    new(raftID(candidate)),
		To:      new(node.raftNode.id),
		Term:    new(uint64(20)),
		LogTerm: new(log.term),
		Index:   new(log.index),
	}
	votes := 0
	for _, action := range node.Step(c.now, Received{candidate, &Message{Raft: must(proto.Marshal(request))}}) {
		persist, ok := action.(Persist)
		if !ok {
			continue
		}
		for _, sent := range node.Step(c.now, Persisted{Seq: persist.Seq}) {
			if isVote(sent) {
				votes++
			}
		}
	}
	return votes
}

func isVote(action Action) bool {
	send, ok := action.(Send)
	if !ok || send.Message.Raft == nil {
		return false
	}
	m := &raftpb.Message{}
	return proto.Unmarshal(send.Message.Raft, m) == nil && m.GetType() == raftpb.MsgVoteResp && !m.GetReject()
}

// A voter whose disk was lost votes for no candidate whose log is behind the positions that the other voters reported.
func TestVoterWithLostDiskRejectsCandidatesBehind(t *testing.T) {
	c := newSettledCluster(t, stopsWhenIsolated)
	c.propose("a", "x")
	c.run(time.Second)
	leader := c.leader()
	lost := c.followingVoter()
	c.stop(lost)
	c.isolate(lost)
	c.start(lost, 77, stopsWhenIsolated, StoredState{})
	r := c.nodes[lost].raftNode
	if r.rawNode != nil {
		t.Fatal("the voter takes part before it has queried the others")
	}
	furthest := c.nodes[leader].raftNode.lastPosition()
	for _, voter := range []string{"a", "b", "c"} {
		if voter != lost {
			c.step(lost, Received{voter, &Message{PositionResponse: &PositionResponse{
				StartNumber:   r.startNumber,
				ProvenCurrent: true,
				Term:          9,
				LastTerm:      furthest.term,
				LastIndex:     furthest.index,
				Voters:        []string{"a", "b", "c"},
			}}})
		}
	}
	if r.rawNode == nil || r.voteFloor != furthest {
		t.Fatalf("the vote floor is %+v, want %+v", r.voteFloor, furthest)
	}
	if votes := countVotes(c, lost, leader, position{furthest.term, furthest.index - 1}); votes != 0 {
		t.Error("the voter votes for a candidate whose log is behind")
	}
	if votes := countVotes(c, lost, leader, furthest); votes != 1 {
		t.Errorf("%d votes for a candidate that has all entries, want 1", votes)
	}
}

func TestRecoveringVoterNeedsAQuorumOfPositions(t *testing.T) {
	for name, test := range map[string]struct {
		proven, unproven int
		takesPart        bool
	}{
		"no response":             {0, 0, false},
		"one proven":              {1, 0, false},
		"one unproven":            {0, 1, false},
		"two proven":              {2, 0, true},
		"all, unproven":           {0, 2, true},
		"all, one of them proven": {1, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			node := newTestNode(t, Settings{Name: "a"}, StoredState{})
			node.Step(time.Second)
			for i, voter := range []string{"b", "c"} {
				if i < test.proven+test.unproven {
					respondPosition(node, time.Second, voter, PositionResponse{ProvenCurrent: i < test.proven, LastTerm: 1, LastIndex: 1})
				}
			}
			if got := node.raftNode.rawNode != nil; got != test.takesPart {
				t.Errorf("takes part %v, want %v", got, test.takesPart)
			}
		})
	}
}

// A recovering voter must not wait forever for an entry that another voter reported before it lost its disk (found by
// the 348th random schedule).
func TestRecoveringVoterForgetsPositionsOfRestartedVoters(t *testing.T) {
	node := newTestNode(t, Settings{Name: "a"}, StoredState{})
	node.Step(time.Second)
	r := node.raftNode
	request := func(start, lastTerm, lastIndex uint64) {
		node.Step(time.Second, Received{"b", &Message{PositionRequest: &PositionRequest{start, lastTerm, lastIndex}}})
	}
	respondPosition(node, time.Second, "b", PositionResponse{ProvenCurrent: true, LastTerm: 3, LastIndex: 9, Start: 7})
	request(7, 3, 9) // the same start
	if r.positions["b"] == nil {
		t.Fatal("the position that b reported since its last start is forgotten")
	}
	request(8, 1, 1) // b has restarted without its disk
	respondPosition(node, time.Second, "c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if r.rawNode != nil {
		t.Fatal("the voter takes part after only one response")
	}
	respondPosition(node, time.Second, "b", PositionResponse{LastTerm: 1, LastIndex: 1, Start: 8})
	if r.rawNode == nil || r.voteFloor != (position{}) {
		t.Errorf("the vote floor is %+v, which no log reaches", r.voteFloor)
	}
}

// A voter that already takes part with a vote floor queries all voters again if the voter that reported the floor
// restarts. It lowers the floor only after all of them have responded.
func TestVoterWithFloorQueriesAgainWhenItsSourceRestarts(t *testing.T) {
	node := newTestNode(t, Settings{Name: "a"}, StoredState{})
	persistAll := func(actions []Action) {
		for _, action := range actions {
			if persist, ok := action.(Persist); ok {
				node.Step(time.Second, Persisted{Seq: persist.Seq})
			}
		}
	}
	respond := func(from string, response PositionResponse) {
		persistAll(respondPosition(node, time.Second, from, response))
	}
	persistAll(node.Step(time.Second))
	r := node.raftNode
	respond("b", PositionResponse{ProvenCurrent: true, LastTerm: 3, LastIndex: 9, Start: 7})
	respond("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if r.rawNode == nil || r.voteFloor != (position{3, 9}) {
		t.Fatalf("the vote floor is %+v, want the position that b reported", r.voteFloor)
	}
	request := &PositionRequest{StartNumber: 8, LastTerm: 1, LastIndex: 1}
	persistAll(node.Step(time.Second, Received{"b", &Message{PositionRequest: request}}))
	if r.rawNode != nil {
		t.Fatal("the voter still takes part with a floor that perhaps no log reaches")
	}
	respond("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if r.rawNode != nil {
		t.Fatal("the voter takes part after one response, but the other voter may have the entry, and it may be committed")
	}
	respond("b", PositionResponse{LastTerm: 1, LastIndex: 1, Start: 8})
	if r.rawNode == nil || r.voteFloor != (position{}) {
		t.Errorf("the vote floor is %+v, want none", r.voteFloor)
	}
}

// Responses that report less of the log than the voter acknowledged may be late, or duplicates. A leader steps down
// only if such responses continue.
func TestLeaderStepsDownOnlyAfterPersistentRegression(t *testing.T) {
	c := newPartsCluster(t, servesWhenIsolated)
	name := c.leader()
	node := c.nodes[name]
	r := node.raftNode
	from := c.followingVoter()
	reportLess := func(times int) {
		response := &raftpb.Message{
			Type:       raftpb.MsgAppResp.Enum(),
			From:       new(raftID(from)),
			To:         new(r.id),
			Term:       new(r.coordinator.term),
			Index:      new(uint64(2)),
			Reject:     new(true),
			RejectHint: new(uint64(1)),
		}
		for range times {
			node.Step(c.now, Received{from, &Message{Raft: must(proto.Marshal(response))}})
			c.now += 20 * time.Millisecond
		}
	}
	reportLess(5)
	if !r.isLeader() {
		t.Fatal("the leader steps down after such responses within a tenth of a second")
	}
	reportLess(30)
	if r.isLeader() {
		t.Error("the leader continues to lead, and relies on entries that another voter has lost")
	}
}
