package policy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// voter is a member's part in the log, where it has one. Raft's node does nothing by itself: it is ticked, told, and asked
// for what is to be kept and sent; what it sends goes out once what it rests on is on the disk.
//
// A voter's promises (whom it voted for, what it has of the log) are on its disk. One whose disk was lost, torn or
// restored from earlier would break them without knowing. So one that can't prove that its disk is as it was asks the
// others first how far they are (hearing): as many of them that each quorum in which it ever took part has one of them
// besides itself, or all others where none can prove more than it. It votes in no term up to the highest that it hears
// of, and for nobody who is behind what it heard (floor): what it has forgotten, one of these knows.
type voter struct {
	n     *Node
	id    uint64
	epoch uint64
	rn    *raft.RawNode // nil while hearing
	store *raft.MemoryStorage
	hard  *raftpb.HardState // while hearing: what the disk has

	state   *state
	applied uint64
	conf    *raftpb.ConfState

	queue   []*raftpb.Message // what Raft wants on the disk, in order
	doing   []*raftpb.Message // what is being put there, as one batch
	batch   Batch
	base    bool          // it is what this start rests on: Raft does nothing before
	waiting uint64        // its number; 0: nothing waits
	again   time.Duration // it failed, and is tried then
	reset   bool          // it begins anew once nothing waits
	rehear  bool          // and asks the others first
	snap    bool          // a snapshot is due
	tickAt  time.Duration
	standAt time.Duration // it stands for election then, if nobody leads; 0: it did

	proved bool
	call   uint64 // of this start
	callAt time.Duration
	said   map[string]*PositionResponse
	trust  bool
	floor  position // votes go to nobody behind it
	blank  bool     // it is being taken in, or its disk was lost: it votes once it has what its leader had
	commit uint64   // of that leader, when it first told

	lead    steward
	group   []command     // are to go into the log together
	groupAt time.Duration // at the latest then; before it nothing else goes

	short map[string]shorter       // voters that say that they have less than they once said
	snaps map[uint64]time.Duration // when a snapshot was last sent, by voter
}

// shorter is a voter that says that it has less than it once said.
type shorter struct {
	answers int // on end
	since   time.Duration
}

// position is how far a log goes.
type position struct{ term, index uint64 }

func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.index < o.index
}

const (
	tick         = 200 * time.Millisecond
	heartbeat    = 2 // ticks
	electionLow  = 6 // ticks without a leader; Raft doubles it by chance at the most
	electionMore = 3
	compactEvery = 256 // entries
	compactKeep  = 64
	callEvery    = 250 * time.Millisecond
	standLow     = 100 * time.Millisecond
	standMore    = 300 * time.Millisecond
	diskAgain    = 500 * time.Millisecond
	snapWait     = 3 * time.Second
	shortMost    = 3                      // one may be late, from before it had more
	shortFor     = 500 * time.Millisecond // and several that were doubled or passed by others; a stream is sent again after 200 ms
	groupFor     = 10 * time.Millisecond  // a fifth of a short change: several writes of a disk
	groupMost    = 512                    // commands of one entry: joins of a fleet that starts
)

// idOf is a voter's number in Raft.
func idOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes all
	return max(1, h.Sum64())
}

// quiet drops what Raft would log; what operators would know is said here.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// beginning is what the log of a new fleet starts from: the same at all voters that the files name.
func beginning(voters []string, epoch uint64, s *state) *raftpb.Snapshot {
	conf := &raftpb.ConfState{}
	for _, v := range voters {
		conf.Voters = append(conf.Voters, idOf(v))
	}
	slices.Sort(conf.Voters)
	if s == nil {
		s = &state{Voters: slices.Sorted(slices.Values(voters))}
	}
	return &raftpb.Snapshot{Data: encodeState(s), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(epoch + 1)}}
}

// newVoter is a voter as its disk has it; blank: it is being taken in, and knows nothing yet.
func newVoter(n *Node, d *StoredState, blank bool) (*voter, error) {
	v := &voter{n: n, id: idOf(n.s.Name), epoch: d.Epoch, store: raft.NewMemoryStorage(), hard: &raftpb.HardState{}, state: &state{}, conf: &raftpb.ConfState{},
		proved: d.ProvenCurrent, said: map[string]*PositionResponse{}, short: map[string]shorter{}, snaps: map[uint64]time.Duration{}, call: n.rng.Uint64(), tickAt: n.now + tick, callAt: n.now}
	switch {
	case blank:
		v.epoch, v.blank = n.epoch, true
	case d.Snapshot == nil:
		if err := v.store.ApplySnapshot(beginning(n.s.Voters, 0, nil)); err != nil {
			return nil, err
		}
	default:
		if err := v.load(d); err != nil {
			return nil, err
		}
	}
	if !blank {
		if err := v.restore(must(v.store.Snapshot())); err != nil {
			return nil, err
		}
	}
	switch {
	case blank, d.ProvenCurrent && d.Snapshot != nil:
		return v, v.begin()
	case len(v.state.Voters) <= 1: // nobody else knows anything
		return v, v.take()
	}
	return v, nil
}

// load takes over what the disk has.
func (v *voter) load(d *StoredState) error {
	snap := &raftpb.Snapshot{}
	if err := proto.Unmarshal(d.Snapshot, snap); err != nil {
		return fmt.Errorf("policy: the log's snapshot: %w", err)
	}
	if err := v.store.ApplySnapshot(snap); err != nil {
		return err
	}
	var all []*raftpb.Entry
	for _, data := range d.Entries {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return fmt.Errorf("policy: an entry of the log: %w", err)
		}
		if e.GetIndex() > snap.GetMetadata().GetIndex() {
			all = append(all, e)
		}
	}
	if err := v.store.Append(all); err != nil {
		return err
	}
	if d.HardState != nil {
		if err := proto.Unmarshal(d.HardState, v.hard); err != nil {
			return fmt.Errorf("policy: the log's state: %w", err)
		}
	}
	return nil
}

// restore takes the state from a snapshot.
func (v *voter) restore(snap *raftpb.Snapshot) error {
	s, err := decodeState(snap.GetData())
	if err != nil {
		return err
	}
	v.state, v.applied, v.conf = s, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	v.n.learnVoters(s.Voters)
	return nil
}

// last is how far its log goes.
func (v *voter) last() position {
	i := must(v.store.LastIndex())
	t, err := v.store.Term(i)
	if err != nil {
		return position{}
	}
	return position{t, i}
}

// begin has it take part.
func (v *voter) begin() error {
	if v.hard.GetCommit() < v.applied {
		v.hard.Commit = new(v.applied)
	}
	if last := v.last().index; v.hard.GetCommit() > last {
		v.hard.Commit = new(last)
	}
	if raft.IsEmptyHardState(v.hard) {
		v.hard = &raftpb.HardState{Term: new(uint64(0)), Vote: new(uint64(0)), Commit: new(v.applied)}
	}
	if err := v.store.SetHardState(v.hard); err != nil {
		return err
	}
	rn, err := raft.NewRawNode(&raft.Config{ID: v.id, ElectionTick: electionLow + v.n.rng.IntN(electionMore), HeartbeatTick: heartbeat, Storage: v.store, Applied: v.applied,
		MaxSizePerMsg: 2 * MaxBodyBytes, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 64 * MaxBodyBytes, CheckQuorum: true, PreVote: true, AsyncStorageWrites: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return fmt.Errorf("policy: raft: %w", err)
	}
	v.rn = rn
	v.standAt = v.n.now + standLow + time.Duration(v.n.rng.Float64()*float64(standMore))
	return nil
}

// restart has it begin anew from what is on its disk, as a process that starts does: it leads no more, and forgets how
// far others were.
func (v *voter) restart() {
	if v.reset = v.busy(); v.reset { // what waits for the disk comes first
		return
	}
	hard, _, err := v.store.InitialState()
	if err == nil {
		v.hard, v.rn, v.lead, v.group = hard, nil, steward{}, nil
		err = v.restore(must(v.store.Snapshot()))
	}
	if err == nil && v.rehear {
		v.rehear, v.floor, v.proved, v.callAt = false, position{}, false, v.n.now
		clear(v.said)
		return
	}
	if err == nil {
		err = v.begin()
	}
	if err != nil {
		v.n.say(true, "the policy's log can't be read again: %v", err)
	}
}

// busy reports whether anything waits for the disk.
func (v *voter) busy() bool { return v.base || len(v.queue)+len(v.doing) > 0 }

func (v *voter) status() raft.BasicStatus { return v.rn.BasicStatus() }

// leads reports whether it leads, as far as it knows.
func (v *voter) leads() bool { return v.rn != nil && v.status().RaftState == raft.StateLeader }

// leader is the name of who leads, as far as it knows; empty: nobody.
func (v *voter) leader() string {
	if v.rn == nil {
		return ""
	}
	return v.n.names[v.status().Lead]
}

// due does what is due.
func (v *voter) due() {
	n := v.n
	if v.rn == nil {
		v.hear()
		return
	}
	if v.failed() && n.now >= v.again {
		v.waiting = n.persist(v.batch)
	}
	if late := n.now - v.tickAt; late >= 0 {
		v.rn.Tick() // one, however late: a process that was stopped has heard nobody meanwhile
		v.tickAt = n.now + tick
	}
	if v.standAt > 0 && n.now >= v.standAt { // once a start: a fleet that comes back need not wait for an election's whole patience
		if v.standAt = 0; v.status().Lead == raft.None && !v.blank && v.floor == (position{}) {
			_ = v.rn.Campaign() // it asks first whether others would vote (PreVote): where there is a leader they would not
		}
	}
	v.lateSnaps()
	v.pump()
	v.lead.due(v)
	v.together()
	v.pump()
}

// lateSnaps has snapshots sent again that have not come to anything. Raft says itself when one has: the other answers.
func (v *voter) lateSnaps() {
	if len(v.snaps) == 0 || !v.leads() {
		return
	}
	var late []uint64
	v.rn.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		switch at, sent := v.snaps[id]; {
		case !sent:
		case p.State != tracker.StateSnapshot:
			delete(v.snaps, id)
		case v.n.now-at > snapWait:
			delete(v.snaps, id)
			late = append(late, id)
		}
	})
	for _, id := range late {
		v.rn.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// next is when due is to be called at the latest.
func (v *voter) next() time.Duration {
	if v.rn == nil {
		return v.callAt
	}
	at := v.tickAt
	if v.failed() {
		at = min(at, v.again)
	}
	if v.leads() {
		at = min(at, v.lead.at)
	}
	if len(v.group) > 0 {
		at = min(at, v.groupAt)
	}
	if v.standAt > 0 {
		at = min(at, v.standAt)
	}
	return at
}

// hear asks the other voters how far they are, and takes part once that is known.
func (v *voter) hear() {
	n := v.n
	if n.now < v.callAt {
		return
	}
	v.callAt = n.now + callEvery
	last := v.last()
	for _, o := range v.state.Voters {
		if o != n.s.Name && (v.said[o] == nil || !v.said[o].ProvenCurrent) {
			n.send(o, &Message{PositionRequest: &PositionRequest{v.call, last.term, last.index}})
		}
	}
	v.heard()
}

// heard looks whether enough have answered.
func (v *voter) heard() {
	voters := v.state.Voters
	if !slices.Contains(voters, v.n.s.Name) { // it was taken out: the others go on without it
		return
	}
	proved, all := 0, 0
	term, top := v.hard.GetTerm(), v.last()
	for _, o := range voters {
		s := v.said[o]
		if s == nil || o == v.n.s.Name {
			continue
		}
		if s.ProvenCurrent && s.Applied > v.applied && !slices.Contains(s.Voters, v.n.s.Name) {
			v.n.retire("the others vote without this one")
			return
		}
		all++
		if s.ProvenCurrent {
			proved++
		}
		term = max(term, s.Term)
		if p := (position{s.LastTerm, s.LastIndex}); top.less(p) {
			top = p
		}
	}
	majority := len(voters)/2 + 1
	if proved < len(voters)-majority+1 && all < len(voters)-1 && !v.trust {
		return
	}
	own := v.last()
	if own.less(top) {
		v.floor = top
		v.n.say(false, "this voter's disk is behind what others know (%d entries, %d are known): it votes for nobody who is, and catches up", own.index, top.index)
	}
	// In none of these terms may it vote for somebody else: it may have, and forgotten.
	v.hard = &raftpb.HardState{Term: new(term), Vote: new(v.id), Commit: new(v.hard.GetCommit())}
	if term == 0 {
		v.hard.Vote = new(uint64(0)) // a fleet at its very beginning: nobody has voted
	}
	if err := v.take(); err != nil {
		v.n.say(true, "%v", err)
	}
}

// take has it take part from now on. What it has heard, and what it began with, has to be on the disk before it promises
// anything.
func (v *voter) take() error {
	if err := v.begin(); err != nil {
		return err
	}
	v.proved = true
	snap := must(v.store.Snapshot())
	b := Batch{Wipe: true, HardState: must(proto.Marshal(v.hard)), Snapshot: must(proto.Marshal(snap)), Epoch: v.epoch}
	first := must(v.store.FirstIndex())
	if l := v.last().index; l >= first {
		b.FirstIndex = first
		for _, e := range must(v.store.Entries(first, l+1, 1<<40)) {
			b.Entries = append(b.Entries, must(proto.Marshal(e)))
		}
	}
	v.batch, v.base = b, true
	v.waiting = v.n.persist(b)
	return nil
}

// called answers a voter that has just started. If it has less than it once said, whoever leads forgets how far it was.
func (v *voter) called(from string, c *PositionRequest) {
	s := &PositionResponse{Number: c.Number, ProvenCurrent: !v.blank && (v.rn != nil || v.proved), Voters: v.state.Voters, Applied: v.applied, Start: v.call}
	// What it said before it started anew, it may have lost with its disk: a floor that nobody has any more would never be reached.
	// One that takes part with such a floor asks all again, as at its start: who heard of an entry by one alone may not vote
	// without it before it knows that others have not confirmed it.
	if was := v.said[from]; was != nil && was.Start != 0 && was.Start != c.Number {
		delete(v.said, from)
		if v.rn != nil && v.floor != (position{}) && !v.blank {
			v.rehear = true
			v.restart()
		}
	}
	if v.rn != nil {
		s.Term = v.status().HardState.GetTerm()
	} else {
		s.Term = v.hard.GetTerm()
	}
	last := v.last()
	s.LastTerm, s.LastIndex = last.term, last.index
	v.n.send(from, &Message{PositionResponse: s})
	if v.match(from) > c.LastIndex {
		v.lost(from)
	}
}

// match is how far another's log goes, as this one counts on while it leads.
func (v *voter) match(name string) (match uint64) {
	if !v.leads() {
		return 0
	}
	v.rn.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if id == idOf(name) {
			match = p.Match
		}
	})
	return match
}

// lost takes note that another has less than this one counts on.
func (v *voter) lost(name string) {
	if !v.reset {
		v.n.say(false, "voter %s has lost what it had: this one leads no more, so that nobody counts on it", name)
	}
	v.short = map[string]shorter{}
	v.restart()
}

// step takes a message of Raft's.
func (v *voter) step(from string, data []byte) {
	if v.rn == nil {
		return
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil || m.GetFrom() != idOf(from) || m.GetTo() != v.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	last := v.last()
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if v.blank || (position{m.GetLogTerm(), m.GetIndex()}).less(v.floor) {
			return
		}
	case raftpb.MsgHeartbeat: // a leader that counts on what this disk has lost: Raft would panic
		if m.GetCommit() > last.index {
			m.Commit = new(last.index)
		}
	case raftpb.MsgTimeoutNow:
		return
	case raftpb.MsgAppResp: // it has less than it once said: Raft would send it the same for ever
		if match := v.match(from); m.GetReject() && m.GetRejectHint() < match {
			s := v.short[from]
			if s.answers++; s.answers == 1 {
				s.since = v.n.now
			}
			if v.short[from] = s; s.answers >= shortMost && v.n.now-s.since >= shortFor {
				v.lost(from)
			}
			return
		}
		delete(v.short, from)
	}
	if v.blank && v.commit == 0 {
		v.commit = max(1, m.GetCommit())
	}
	if err := v.rn.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		v.n.say(true, "a message of voter %s was not taken: %v", from, err)
	}
	v.pump()
}

// failed reports whether what was to go to the disk is to be tried again.
func (v *voter) failed() bool { return v.waiting == 0 && (v.base || len(v.doing) > 0) }

// pump takes out what Raft has ready. What rests on the disk waits for it, the rest goes out at once: a leader with a slow
// disk goes on being heard.
func (v *voter) pump() {
	for v.rn != nil && !v.base && v.rn.HasReady() {
		rd := v.rn.Ready()
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				v.queue = append(v.queue, m)
			case raft.LocalApplyThread:
				for _, e := range m.GetEntries() {
					v.apply(e)
				}
				v.reply(m.GetResponses())
				v.lead.settle(v)
			default:
				v.out(m)
			}
		}
		for _, r := range rd.ReadStates {
			v.lead.confirmed(v, r)
		}
		v.write()
	}
	v.compact()
}

// write puts all that waits on the disk at once, if nothing is on its way there.
func (v *voter) write() {
	if v.waiting > 0 || len(v.doing) > 0 || len(v.queue) == 0 {
		return
	}
	b := Batch{Epoch: v.epoch}
	for len(v.queue) > 0 {
		m := v.queue[0]
		if m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot) && len(v.doing) > 0 {
			break // by itself
		}
		v.queue, v.doing = v.queue[1:], append(v.doing, m)
		if h := hardOf(m); h != nil {
			b.HardState = must(proto.Marshal(h))
		}
		if m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot) {
			b.Snapshot = must(proto.Marshal(m.Snapshot))
		}
		for _, e := range m.GetEntries() {
			switch i := e.GetIndex(); {
			case b.FirstIndex == 0 || i <= b.FirstIndex:
				b.FirstIndex, b.Entries = i, nil
			default:
				b.Entries = b.Entries[:i-b.FirstIndex]
			}
			b.Entries = append(b.Entries, must(proto.Marshal(e)))
		}
	}
	if b.HardState == nil && b.Snapshot == nil && b.FirstIndex == 0 { // nothing that has to be there
		v.finish()
		return
	}
	v.batch = b
	v.waiting = v.n.persist(b)
}

// hardOf is the hard state in a message for the disk; nil: it has not changed.
func hardOf(m *raftpb.Message) *raftpb.HardState {
	h := &raftpb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
	if raft.IsEmptyHardState(h) {
		return nil
	}
	return h
}

// persisted says that a batch is on the disk, or can't be.
func (v *voter) persisted(seq uint64, err error) {
	if v.waiting == 0 || seq != v.waiting {
		return
	}
	v.waiting = 0
	if err != nil {
		v.again = v.n.now + diskAgain
		return
	}
	v.finish()
	v.pump()
}

// finish does what waited for the disk.
func (v *voter) finish() {
	done := v.doing
	v.doing, v.batch, v.base = nil, Batch{}, false
	for _, m := range done {
		if m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot) {
			if err := v.store.ApplySnapshot(m.Snapshot); err == nil {
				if err := v.restore(m.Snapshot); err != nil {
					v.n.say(true, "%v", err)
				}
			}
		}
		if h := hardOf(m); h != nil {
			_ = v.store.SetHardState(h)
		}
		_ = v.store.Append(m.GetEntries())
	}
	if v.floor != (position{}) && !v.last().less(v.floor) {
		v.floor = position{}
		v.n.say(false, "this voter has caught up with what was known")
	}
	if v.blank && v.commit > 0 && v.applied >= v.commit && slices.Contains(v.state.Voters, v.n.s.Name) {
		v.blank = false
	}
	for _, m := range done {
		v.reply(m.GetResponses())
	}
	if v.reset && !v.busy() {
		v.restart()
	}
	v.write()
}

// reply sends what rested on the disk, or on the log's being applied: to others, and to Raft itself.
func (v *voter) reply(all []*raftpb.Message) {
	for _, m := range all {
		if m.GetTo() == v.id {
			_ = v.rn.Step(m)
		} else {
			v.out(m)
		}
	}
}

// out sends a message of Raft's.
func (v *voter) out(m *raftpb.Message) {
	to := v.n.names[m.GetTo()]
	if to == "" || to == v.n.s.Name {
		return
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if v.blank || v.floor != (position{}) { // it is behind: it stands for nothing
			return
		}
	case raftpb.MsgSnap:
		v.snaps[m.GetTo()] = v.n.now
	}
	v.n.send(to, &Message{Raft: must(proto.Marshal(m))})
}

// apply applies an entry that is in the log for good.
func (v *voter) apply(e *raftpb.Entry) {
	if e.GetIndex() <= v.applied {
		return
	}
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		cc := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return
		}
		v.conf, v.snap = v.rn.ApplyConfChange(cc), true // a new voter takes a snapshot only in which it votes
		if ctx := cc.GetContext(); len(ctx) > 0 {
			var r ReplaceVoter
			if decoding.Unmarshal(ctx, &r) == nil {
				v.state.Voters = slices.DeleteFunc(v.state.Voters, func(o string) bool { return o == r.Remove || o == r.Add })
				if r.Add != "" {
					v.state.Voters = append(v.state.Voters, r.Add)
				}
				slices.Sort(v.state.Voters)
				v.n.learnVoters(v.state.Voters)
				v.n.say(false, "voters are now %s", strings.Join(v.state.Voters, ", "))
			}
		}
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return
		}
		c := &command{}
		if err := decoding.Unmarshal(e.GetData(), c); err != nil {
			v.n.say(true, "an entry of the policy's log makes no sense to this version: %v", err)
			return
		}
		v.state.apply(c)
		if v.leads() {
			v.lead.applied(v, c)
		}
	}
}

// compact keeps the log short.
func (v *voter) compact() {
	first := must(v.store.FirstIndex())
	if v.busy() || v.applied < first+compactEvery && !v.snap {
		return
	}
	v.snap = false
	snap, err := v.store.CreateSnapshot(v.applied, v.conf, encodeState(v.state))
	if err != nil {
		return
	}
	// The disk first; in memory it may go at once: what is on the disk is more.
	b := Batch{Snapshot: must(proto.Marshal(snap)), Epoch: v.epoch}
	if v.applied > first+compactKeep {
		b.CompactBefore = v.applied - compactKeep
		_ = v.store.Compact(b.CompactBefore)
	}
	v.n.persist(b)
}

// propose puts a command into the log, if this one leads; soon after another, together with all that come within
// groupFor (group commit). It may be lost.
func (v *voter) propose(c *command) bool {
	if !v.leads() {
		return false
	}
	if v.state.Form < FormatVersion {
		return v.rn.Propose(encode(c)) == nil
	}
	v.group = append(v.group, *c)
	v.together()
	return true
}

// waits reports whether a change is to go into the log, and does not yet.
func (v *voter) waits(id string) bool {
	return slices.ContainsFunc(v.group, func(c command) bool { return c.Do == doPropose && c.Doc.ID == id })
}

// together puts what is to go into the log there, as one entry, once it is time.
func (v *voter) together() {
	if len(v.group) == 0 || v.n.now < v.groupAt {
		return
	}
	all := v.group
	v.group, v.groupAt = nil, v.n.now+groupFor
	for v.leads() && len(all) > 0 {
		n, size := 0, 0
		for n < len(all) && n < groupMost && (n == 0 || size < MaxChangeBytes) {
			if d := all[n].Doc; d != nil {
				for _, x := range d.Documents() {
					size += len(x.Body)
				}
			}
			n++
		}
		c := &all[0]
		if n > 1 {
			c = &command{Do: doMany, All: all[:n]}
		}
		if v.rn.Propose(encode(c)) != nil {
			return // whoever asked for it asks again
		}
		all = all[n:]
	}
}

// replace changes the voters, if this one leads.
func (v *voter) replace(r *ReplaceVoter) error {
	switch {
	case !v.leads():
		return errors.New("this voter does not lead")
	case r.Add == "" && r.Remove == "", r.Add == r.Remove:
		return errors.New("nobody to add or to remove")
	case r.Add != "" && slices.Contains(v.state.Voters, r.Add):
		return fmt.Errorf("%s votes already", r.Add)
	case r.Remove != "" && !slices.Contains(v.state.Voters, r.Remove):
		return fmt.Errorf("%s does not vote", r.Remove)
	case r.Add != "" && !v.lead.knows(v, r.Add):
		return fmt.Errorf("%s is not heard, or is of an earlier version, which can't read this log", r.Add)
	case r.Remove != "" && r.Add == "" && len(v.state.Voters) == 1:
		return errors.New("the last voter stays")
	}
	cc := &raftpb.ConfChangeV2{Context: encode(r)}
	add := func(t raftpb.ConfChangeType, name string) {
		if name != "" {
			v.n.names[idOf(name)] = name
			cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(idOf(name))})
		}
	}
	add(raftpb.ConfChangeAddNode, r.Add)
	add(raftpb.ConfChangeRemoveNode, r.Remove)
	return v.rn.ProposeConfChange(cc)
}

// rescue makes it the only voter, with what it knows.
func (v *voter) rescue(epoch uint64) error {
	n := v.n
	s := *v.state
	s.Voters = []string{n.s.Name}
	for _, u := range slices.Clone(s.Under) {
		s.end(u.Doc, false, n.s.Name, "voters were lost, and an operator has gone on without them", nil)
	}
	s.Under = nil
	snap := beginning(s.Voters, epoch, &s)
	snap.Metadata.Term = new(max(v.last().term, v.hard.GetTerm()) + 1)
	snap.Metadata.Index = new(v.last().index + 1)
	v.epoch, v.store, v.hard, v.rn, v.lead = epoch, raft.NewMemoryStorage(), &raftpb.HardState{}, nil, steward{}
	v.group = nil
	v.queue, v.doing, v.base, v.waiting, v.floor, v.proved = nil, nil, false, 0, position{}, true
	if err := v.store.ApplySnapshot(snap); err != nil {
		return err
	}
	if err := v.restore(snap); err != nil {
		return err
	}
	v.hard = &raftpb.HardState{Term: snap.Metadata.Term, Vote: new(uint64(0)), Commit: snap.Metadata.Index}
	return v.take()
}
