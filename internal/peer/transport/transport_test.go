package transport

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"vetchhaven/internal/peer/membership"
)

func TestMembersJoinLeaveAndDie(t *testing.T) {
	a := startMember(t, memberOptions{name: "a"})
	b := startMember(t, memberOptions{name: "b", seeds: []string{a.addr}})
	c := startMember(t, memberOptions{name: "c", seeds: []string{a.addr}})
	for _, m := range []*testMember{a, b, c} {
		for _, name := range []string{"a", "b", "c"} {
			m.awaitState(t, name, "alive")
		}
	}
	b.Leave(testTimeout)
	_ = b.stop()
	a.awaitState(t, "b", "left")
	c.awaitState(t, "b", "left")
	_ = c.stop() // without Leave
	a.awaitState(t, "c", "dead")
	a.awaitSize(t, func(s membership.BalancerCount) bool { return s.MaxBalancers == 2 && s.MinBalancers == 1 }) // b does not count, c may be alive
	if previous, known := a.Forget("c"); !known || previous != membership.Dead {
		t.Errorf("Forget: the member was %v, known %v", previous, known)
	}
	a.awaitSize(t, func(s membership.BalancerCount) bool { return s.MaxBalancers == 1 })
}

// awaitSize waits until the member announces a size that satisfies is.
func (m *testMember) awaitSize(t *testing.T, is func(membership.BalancerCount) bool) {
	t.Helper()
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	for {
		select {
		case size := <-m.sizes:
			if is(size) {
				return
			}
		case <-timer.C:
			t.Fatal("the expected size is not announced")
		}
	}
}

// The event line of a leave is not later than the lines of members that received the leave, so that a reader of all
// lines finds the cause before the effect. The line is written before the leave is sent, whatever caused the leave.
func TestLeaveIsLoggedBeforeItIsSent(t *testing.T) {
	var linesOfA, linesOfB bytes.Buffer
	a := startMember(t, memberOptions{name: "a", change: func(o *Options) { o.Events = &linesOfA }})
	b := startMember(t, memberOptions{name: "b", seeds: []string{a.addr}, change: func(o *Options) { o.Events = &linesOfB }})
	a.awaitState(t, "b", "alive")
	b.awaitState(t, "a", "alive")
	if !a.post(viewInput{event: membership.Leave{}}) {
		t.Fatal("the loop does not accept the leave")
	}
	b.awaitState(t, "a", "left")
	_ = a.stop() // returns after all lines have been written
	_ = b.stop()
	sent := firstLine(&linesOfA, func(l eventLine) bool { return l.Kind == "leave" })
	received := firstLine(&linesOfB, func(l eventLine) bool { return l.Kind == "member" && l.Subject == "a" && l.State == "left" })
	if sent == nil || received == nil || sent.MonotonicNanos > received.MonotonicNanos {
		t.Errorf("sent %+v, received %+v", sent, received)
	}
}

// firstLine returns the first event line that matches, or nil if no line matches.
func firstLine(lines *bytes.Buffer, matches func(eventLine) bool) *eventLine {
	for decoder := json.NewDecoder(lines); ; {
		var l eventLine
		if err := decoder.Decode(&l); err != nil {
			return nil
		}
		if matches(l) {
			return &l
		}
	}
}

func TestBootNumberGrowsOverRestartsAndLostDisks(t *testing.T) {
	dir := t.TempDir()
	a := startMember(t, memberOptions{name: "a", dir: dir})
	b := startMember(t, memberOptions{name: "b", seeds: []string{a.addr}})
	previous := b.awaitState(t, "a", "alive")
	addr := a.addr
	wallClockBehind := func(o *Options) { o.WallSkew = -time.Hour }
	for _, diskLost := range []bool{false, true} {
		_ = a.stop()
		if diskLost {
			if err := os.RemoveAll(dir); err != nil {
				t.Fatal(err)
			}
		}
		a = startMember(t, memberOptions{name: "a", addr: addr, dir: dir, seeds: []string{b.addr}, change: wallClockBehind})
		var current MemberStatus
		await(t, "the new process is known", func() bool {
			current = b.awaitState(t, "a", "alive")
			return current.RunID != previous.RunID
		})
		if current.Boot <= previous.Boot {
			t.Errorf("boot number %d after %d (disk lost: %v)", current.Boot, previous.Boot, diskLost)
		}
		previous = current
	}
}

func TestPanicEndsTheMemberOnly(t *testing.T) {
	a := startMember(t, memberOptions{name: "a", change: func(o *Options) { o.Inject = func() { panic("injected") } }})
	<-a.done
	if err := a.stop(); err == nil {
		t.Error("Run returned no error after a panic")
	}
	if _, ok := a.MembershipStatus(); ok {
		t.Error("the member responds after its end")
	}
}

func TestFrozenMemberContinuesInItsSuccessor(t *testing.T) {
	a := startMember(t, memberOptions{name: "a"})
	b := startMember(t, memberOptions{name: "b", seeds: []string{a.addr}})
	previous := b.awaitState(t, "a", "alive")
	saved := a.Suspend()
	if saved == nil {
		t.Fatal("Freeze returned no state")
	}
	_ = a.stop()
	successor := startMember(t, memberOptions{name: "a", addr: a.addr, change: func(o *Options) { o.Saved = saved }})
	successor.awaitState(t, "b", "alive")
	var current MemberStatus
	await(t, "the successor's incarnation is known", func() bool {
		current = b.awaitState(t, "a", "alive")
		return current.Incarnation > previous.Incarnation
	})
	if current.RunID != previous.RunID || current.Boot != previous.Boot {
		t.Errorf("run ID or boot number changed: %+v after %+v", current, previous)
	}
}

func TestThawedMemberContinues(t *testing.T) {
	a := startMember(t, memberOptions{name: "a"})
	b := startMember(t, memberOptions{name: "b", seeds: []string{a.addr}})
	b.awaitState(t, "a", "alive")
	a.Suspend()
	b.awaitState(t, "a", "dead")
	a.Resume()
	b.awaitState(t, "a", "alive")
	a.awaitState(t, "b", "alive")
}
