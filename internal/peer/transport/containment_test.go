package transport

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/peer/policy"
)

// panickyWriter panics at each write.
type panickyWriter struct{ writes atomic.Int32 }

// Write implements io.Writer.
func (w *panickyWriter) Write([]byte) (int, error) {
	w.writes.Add(1)
	panic("injected")
}

// A panic of the writer of event lines ends that writer alone. It had a goroutine of its own without recover: the daemon's
// process ended, with all its instances.
func TestPanicOfTheEventLogEndsThatAlone(t *testing.T) {
	w := &panickyWriter{}
	a := startMember(t, memberOptions{name: "a", change: func(o *Options) { o.Events = w }})
	await(t, "a line is written", func() bool { return w.writes.Load() > 0 })
	if _, ok := a.MembershipStatus(); !ok {
		t.Error("it does not respond")
	}
	if err := a.stop(); err != nil {
		t.Error(err)
	}
}

// A call that was given up is not run later: its caller has gone on, and what it writes is nobody's. Freeze froze a member after
// its handover had been given up.
func TestCallThatWasGivenUpDoesNotRun(t *testing.T) {
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
		t.Fatal("it does not respond")
	}
	hold.Store(true)
	<-held
	var ran atomic.Bool
	if a.do(func() { ran.Store(true) }) {
		t.Error("it ran on a loop that stands")
	}
	close(release)
	if !a.do(func() {}) { // behind the first one
		t.Error("the loop does not go on")
	}
	if ran.Load() {
		t.Error("it ran after it had been given up")
	}
}

// Each message that is rejected is counted once, however it came: one about the policy without a sender was not counted in a
// datagram, and whatever is rejected on a stream was counted twice.
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
		_, _ = conn.Read(make([]byte, 1)) // until it is closed
		conn.Close()
		time.Sleep(20 * time.Millisecond) // for a second count
		if got := malformed() + a.rejected.unknownFormat.Load() - before; got != 1 {
			t.Errorf("stream %d: counted %d times", n, got)
		}
	}
}

// A message about the policy counts as sent once it is: it was counted before its stream was opened, and one that nobody took was
// sent by all that operators saw.
func TestPolicyMessageThatIsNotTakenIsNotSent(t *testing.T) {
	a := startMember(t, memberOptions{name: "a"})
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(nobody.Addr().String())
	nobody.Close()
	a.do(func() { a.policy.sendOnStream(addr, []byte("message")) })
	await(t, "it is counted as unsent", func() bool {
		s, ok := a.MembershipStatus()
		return ok && s.Traffic.PolicyUnsent == 1
	})
	if s, _ := a.MembershipStatus(); s.Traffic.PolicyMessages != 0 || s.Traffic.PolicyBytes != 0 {
		t.Errorf("%d messages, %d bytes sent", s.Traffic.PolicyMessages, s.Traffic.PolicyBytes)
	}
}
