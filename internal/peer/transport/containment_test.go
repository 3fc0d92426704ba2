package transport

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/peer/policy"
)

// panickingWriter panics at each write.
type panickingWriter struct{ writes atomic.Int32 }

// Write implements io.Writer.
func (w *panickingWriter) Write([]byte) (int, error) {
	w.writes.Add(1)
	panic("injected")
}

// A panic in the event log's writer ends only the event log. The fault: its goroutine had no recover, so that a panic
// ended the daemon's process with all its instances.
func TestEventLogPanicEndsOnlyTheEventLog(t *testing.T) {
	w := &panickingWriter{}
	a := startMember(t, memberOptions{name: "a", change: func(o *Options) { o.Events = w }})
	await(t, "a line is written", func() bool { return w.writes.Load() > 0 })
	if _, ok := a.MembershipStatus(); !ok {
		t.Error("the member does not respond")
	}
	if err := a.stop(); err != nil {
		t.Error(err)
	}
}

// A call that its caller abandoned does not run later, when the caller no longer uses the result. The fault: such a
// late call of Suspend froze a member after its handover had been abandoned.
func TestAbandonedCallDoesNotRun(t *testing.T) {
	var hold atomic.Bool
	held, release := make(chan struct{}, 1), make(chan struct{})
	a := startMember(t, memberOptions{name: "a", change: func(o *Options) {
		o.Inject = func() {
			if hold.CompareAndSwap(true, false) {
				held <- struct{}{}
				<-release
			}
		}
	}})
	if _, ok := a.MembershipStatus(); !ok {
		t.Fatal("the member does not respond")
	}
	hold.Store(true)
	<-held
	var ran atomic.Bool
	if a.do(func() { ran.Store(true) }) {
		t.Error("the call ran although the loop is blocked")
	}
	close(release)
	if !a.do(func() {}) { // queued after the abandoned call
		t.Error("the loop does not continue")
	}
	if ran.Load() {
		t.Error("the call ran after it had been abandoned")
	}
}

// Each rejected message is counted once, whether it arrived in a datagram or on a stream. The fault: a policy message
// without a sender was not counted if it arrived in a datagram, and each message rejected on a stream was counted
// twice.
func TestRejectedMessagesAreCountedOnce(t *testing.T) {
	a := startMember(t, memberOptions{name: "a"})
	anonymous, err := encodeEnvelope(policyFormat, "f", &policyPacket{Message: &policy.Message{}})
	if err != nil {
		t.Fatal(err)
	}
	malformed := func() uint64 { return a.rejected.malformed.Load() }
	udp, err := net.Dial("udp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	if _, err := udp.Write(anonymous); err != nil {
		t.Fatal(err)
	}
	await(t, "the datagram is counted", func() bool { return malformed() == 1 })
	for n, data := range [][]byte{anonymous, []byte("no message")} {
		before := malformed() + a.rejected.unknownFormat.Load()
		conn, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		if err := writeFrame(conn, data); err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Read(make([]byte, 1)) // returns once the member has closed the stream
		conn.Close()
		time.Sleep(20 * time.Millisecond) // time in which a second count would show
		if got := malformed() + a.rejected.unknownFormat.Load() - before; got != 1 {
			t.Errorf("stream %d: counted %d times", n, got)
		}
	}
}

// A policy message counts as sent only after it has been sent. The fault: it was counted before its stream was opened,
// so that the status reported messages as sent that no member had received.
func TestPolicyMessageWithoutReceiverCountsAsUnsent(t *testing.T) {
	a := startMember(t, memberOptions{name: "a"})
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(closedListener.Addr().String())
	closedListener.Close()
	a.do(func() { a.policy.sendOnStream(addr, []byte("message")) })
	await(t, "the message is counted as unsent", func() bool {
		s, ok := a.MembershipStatus()
		return ok && s.Traffic.PolicyUnsent == 1
	})
	if s, _ := a.MembershipStatus(); s.Traffic.PolicyMessages != 0 || s.Traffic.PolicyBytes != 0 {
		t.Errorf("counted %d messages and %d bytes as sent, want none", s.Traffic.PolicyMessages, s.Traffic.PolicyBytes)
	}
}
