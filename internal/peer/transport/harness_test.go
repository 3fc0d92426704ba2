package transport

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"vetchhaven/internal/peer/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// testTimeout bounds each wait for a condition.
	testTimeout = 20 * time.Second
	// testPoll is the interval at which a condition is checked.
	testPoll = 5 * time.Millisecond
)

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(testPoll) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out after %v: %s", testTimeout, what)
}

// openSockets opens a UDP and a TCP socket at an address, both on the same port.
func openSockets(addr string) (*net.UDPConn, *net.TCPListener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, nil, err
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, nil, err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		_ = tcp.Close()
		return nil, nil, err
	}
	return udp, tcp, nil
}

// openAnyPort opens sockets on a free port.
func openAnyPort(t *testing.T) (*net.UDPConn, *net.TCPListener) {
	t.Helper()
	udp, tcp, err := openSockets("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := tcp.Addr().String()
	_ = udp.Close()
	_ = tcp.Close()
	if udp, tcp, err = openSockets(addr); err != nil { // the port of the TCP socket, now for both
		t.Fatal(err)
	}
	return udp, tcp
}

// testMember is a member on real sockets.
type testMember struct {
	*Transport
	addr  string
	sizes chan membership.BalancerCount
	stop  func() error // ends the member, and returns Run's error
}

// memberOptions configure a testMember.
type memberOptions struct {
	name   string
	addr   string // empty: any port
	dir    string
	seeds  []string
	change func(*Options) // changes the options before the start; nil: no change
}

// startMember starts a member, which ends with the test unless it is stopped earlier.
func startMember(t *testing.T, mo memberOptions) *testMember {
	t.Helper()
	m := &testMember{sizes: make(chan membership.BalancerCount, 100)}
	var udp *net.UDPConn
	var tcp *net.TCPListener
	if mo.addr == "" {
		udp, tcp = openAnyPort(t)
	} else {
		var err error
		if udp, tcp, err = openSockets(mo.addr); err != nil {
			t.Fatal(err)
		}
	}
	m.addr = tcp.Addr().String()
	o := Options{
		Fleet: "f",
		Membership: membership.Settings{
			Name:          mo.name,
			Addr:          m.addr,
			Seeds:         mo.seeds,
			Instances:     1,
			Balancers:     1,
			ProbeInterval: 50 * time.Millisecond,
		},
		UDP:         udp,
		TCP:         tcp,
		Dir:         mo.dir,
		Log:         slog.New(slog.DiscardHandler),
		SizeChanged: m.noteSize,
	}
	if mo.change != nil {
		mo.change(&o)
	}
	tr, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	m.Transport = tr
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	m.stop = sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	t.Cleanup(func() { _ = m.stop() })
	return m
}

func (m *testMember) noteSize(size membership.BalancerCount) {
	select {
	case m.sizes <- size:
	default:
	}
}

// awaitState waits until another member has the given state in the member's view, and returns its status.
func (m *testMember) awaitState(t *testing.T, other, state string) MemberStatus {
	t.Helper()
	var last MembershipStatus
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(testPoll) {
		s, ok := m.MembershipStatus()
		if !ok {
			continue
		}
		last = s
		for _, o := range s.Members {
			if o.Name == other && o.State == state {
				return o
			}
		}
	}
	t.Fatalf("%s does not see %s become %s: %+v", m.addr, other, state, last.Members)
	return MemberStatus{}
}

// record returns another member's record in this member's view; ok is false if the view has no such record.
func (m *testMember) record(name string) (record membership.Record, ok bool) {
	m.do(func() {
		for _, r := range m.view.Members() {
			if r.Name == name {
				record = r
				ok = true
			}
		}
	})
	return record, ok
}
