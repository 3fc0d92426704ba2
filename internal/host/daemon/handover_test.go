package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/standin"
)

// Tests a handover to a successor that runs in this process. The successor gets the sockets and the snapshot, the old
// daemon answers what it has admitted, and no connection attempt fails.
func TestHandoverLosesNoRequests(t *testing.T) {
	s, received, release := newHoldingServer()
	defer s.Close()
	defer release()
	drained := standin.NewFormServer("drained", nil)
	defer drained.Close()
	tb := newTestbed(t, s.Member("ready"), drained.Member("draining"))
	tb.writeConfig(tb.instanceText("a"))
	next := make(chan *testDaemon, 1)
	fail := errors.New("injected failure")
	upgrades := 0
	old := tb.start(Options{StartSuccessor: func(_ context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error {
		if upgrades++; upgrades == 1 {
			return fail
		}
		copies, err := copySockets(sockets)
		if err != nil {
			return err
		}
		tb.list.SetDown(true) // the successor has to use the old daemon's list
		r := tb.start(Options{Inherit: copies, Snapshot: state})
		next <- r
		return nil
	}})
	tb.expectServed("a")
	if err := old.Handover(context.Background()); !errors.Is(err, fail) {
		t.Fatalf("the first handover: %v, want the injected failure", err)
	}
	tb.expectServed("a") // the old daemon continues to serve
	paid := make(chan string, 1)
	go func() {
		status, body, err := sendRequest(client(tb.socketPath("a"), false), "pay")
		paid <- fmt.Sprint(status, body, err)
	}()
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Fatal("the request did not arrive")
	}
	stop := make(chan struct{})
	var requesters sync.WaitGroup
	for i := range 4 {
		c := client(tb.socketPath("a"), i%2 == 0)
		requesters.Go(func() {
			defer c.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if status, body, err := sendRequest(c, "get"); err != nil || status != 200 {
					t.Errorf("a request during the handover: %d %q %v", status, body, err)
				}
			}
		})
	}
	if err := old.Handover(context.Background()); err != nil {
		t.Fatal(err)
	}
	release()
	if got := <-paid; got != "200done<nil>" {
		t.Errorf("a request that the old daemon admitted: %s", got)
	}
	if err := <-old.ended; !errors.Is(err, ErrHandedOver) {
		t.Errorf("the old daemon ended with %v", err)
	} else {
		old.ended <- err
	}
	close(stop)
	requesters.Wait()
	tb.expectServed("a")
	if drained.Requests() > 0 {
		t.Error("the successor sent to a server that its predecessor knew to be draining")
	}
	(<-next).end()
}

// A daemon that is stopped while a successor starts ends only after the successor has been killed, so that no process
// serves in its place after its end.
func TestStopDuringHandoverEndsTheSuccessorFirst(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	started, kill := make(chan struct{}), make(chan struct{})
	r := tb.start(Options{StartSuccessor: func(ctx context.Context, _ map[daemonconfig.Address]*os.File, _ []byte) error {
		close(started)
		<-ctx.Done()
		<-kill // on a busy machine a kill takes a while
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(context.Background())
	handoverEnded := make(chan error, 1)
	go func() { handoverEnded <- r.Handover(ctx) }()
	<-started
	stop()
	r.stop()
	select {
	case err := <-r.ended:
		t.Errorf("the daemon ended before the successor was killed: %v", err)
		r.ended <- err
	case <-time.After(300 * time.Millisecond): // far longer than a daemon that does not wait takes to end
	}
	close(kill)
	if err := r.end(); err != nil {
		t.Error(err)
	}
	if err := <-handoverEnded; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// A stop at the moment in which the successor becomes ready leaves the successor its sockets. The fault: Run decided
// when it left its loop that there was no successor, and removed the Unix sockets' paths. The successor went on, and
// no client could connect to it.
func TestStopAsTheSuccessorGetsReadyLeavesItsSockets(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	stopping := make(chan struct{})
	started := make(chan struct{})
	successors := make(chan net.Listener, 1)
	r := tb.start(Options{StartSuccessor: func(_ context.Context, sockets map[daemonconfig.Address]*os.File, _ []byte) error {
		copied, err := net.FileListener(sockets[daemonconfig.Address{Network: "unix", Addr: tb.socketPath("a")}])
		if err != nil {
			return err
		}
		successors <- copied
		close(started)
		<-stopping
		return nil // like a successor whose byte is read before the stop is noticed
	}})
	handoverEnded := make(chan error, 1)
	go func() { handoverEnded <- r.Handover(context.Background()) }()
	<-started
	r.stop()
	eventually(t, "the daemon stops", func() bool { return tb.log.count("msg=stopping") > 0 })
	close(stopping)
	if err := <-handoverEnded; err != nil {
		t.Error(err)
	}
	if err := r.end(); !errors.Is(err, ErrHandedOver) {
		t.Errorf("the daemon ended with %v", err)
	}
	for _, name := range []string{"a", "admin"} {
		if _, err := os.Stat(tb.socketPath(name)); err != nil {
			t.Errorf("the path of the successor's socket: %v", err)
		}
	}
	// The socket that both processes have is not shut down either. The fault: the old agents emptied its queue and
	// shut it down, also for the successor.
	l := <-successors
	defer l.Close()
	c, err := net.DialTimeout("unix", tb.socketPath("a"), testTimeout)
	if err != nil {
		t.Fatalf("a client can't connect to the successor: %v", err)
	}
	c.Close()
}
