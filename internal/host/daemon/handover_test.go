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

// A handover with the successor in this process: it gets the sockets and the snapshot, the old daemon drains what it
// has admitted, and no connection attempt fails.
func TestHandoverLosesNoRequests(t *testing.T) {
	s, came, release := newHoldingServer()
	defer s.Close()
	defer release()
	drained := standin.NewForm("drained", nil)
	defer drained.Close()
	tb := newTestbed(t, s.Member("ready"), drained.Member("draining"))
	tb.writeConfig(tb.instanceText("a"))
	next := make(chan *testDaemon, 1)
	fail := errors.New("not this time")
	tries := 0
	old := tb.start(Options{Upgrade: func(_ context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error {
		if tries++; tries == 1 {
			return fail
		}
		own := map[daemonconfig.Address]*os.File{}
		for a, f := range sockets { // a process of its own would inherit copies
			ln, err := net.FileListener(f)
			if err != nil {
				return err
			}
			if own[a], err = fileOf(ln, a.String()); err != nil {
				return err
			}
			ln.Close()
		}
		tb.list.SetDown(true) // what the old one was told has to do
		r := tb.start(Options{Inherit: own, State: state})
		next <- r
		return nil
	}})
	tb.expectServed("a")
	if err := old.Handover(context.Background()); !errors.Is(err, fail) {
		t.Fatalf("%v", err)
	}
	tb.expectServed("a") // it goes on
	long := make(chan string, 1)
	go func() {
		status, body, err := sendRequest(client(tb.socketPath("a"), false), "pay")
		long <- fmt.Sprint(status, body, err)
	}()
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatal("the request did not arrive")
	}
	stop := make(chan struct{})
	var askers sync.WaitGroup
	for i := range 4 {
		c := client(tb.socketPath("a"), i%2 == 0)
		askers.Go(func() {
			defer c.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if status, body, err := sendRequest(c, "get"); err != nil || status != 200 {
					t.Errorf("during the handover: %d %q %v", status, body, err)
				}
			}
		})
	}
	if err := old.Handover(context.Background()); err != nil {
		t.Fatal(err)
	}
	release()
	if got := <-long; got != "200done<nil>" {
		t.Errorf("taken by the old one: %s", got)
	}
	if err := <-old.ended; !errors.Is(err, ErrHandedOver) {
		t.Errorf("the old one ended with %v", err)
	} else {
		old.ended <- err
	}
	close(stop)
	askers.Wait()
	tb.expectServed("a")
	if drained.Got() > 0 {
		t.Error("the successor sent to a server that its forerunner was told drains")
	}
	(<-next).end()
}

// A daemon that is stopped while a successor starts ends after that one has been killed: whoever sees its end finds
// no process that serves on in its place.
func TestStopDuringHandoverEndsTheSuccessorFirst(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	started, kill := make(chan struct{}), make(chan struct{})
	r := tb.start(Options{Upgrade: func(ctx context.Context, _ map[daemonconfig.Address]*os.File, _ []byte) error {
		close(started)
		<-ctx.Done()
		<-kill // a kill is late on a busy machine
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(context.Background())
	handed := make(chan error, 1)
	go func() { handed <- r.Handover(ctx) }()
	<-started
	stop()
	r.stop()
	select {
	case err := <-r.ended:
		t.Errorf("it ended before: %v", err)
		r.ended <- err
	case <-time.After(300 * time.Millisecond): // far more than the end takes that does not wait
	}
	close(kill)
	if err := r.end(); err != nil {
		t.Error(err)
	}
	if err := <-handed; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// A stop that comes in the moment in which the successor gets ready leaves the successor its sockets. Run went by
// what it knew as it left its loop, and removed the Unix sockets' paths: the successor served on, and nobody could
// connect to it.
func TestStopAsTheSuccessorGetsReadyLeavesItsSockets(t *testing.T) {
	s := standin.NewForm("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	stopping := make(chan struct{})
	started := make(chan struct{})
	successors := make(chan net.Listener, 1)
	r := tb.start(Options{Upgrade: func(_ context.Context, sockets map[daemonconfig.Address]*os.File, _ []byte) error {
		copied, err := net.FileListener(sockets[daemonconfig.Address{Network: "unix", Addr: tb.socketPath("a")}])
		if err != nil {
			return err
		}
		successors <- copied
		close(started)
		<-stopping
		return nil // its byte was read before the stop was seen
	}})
	handed := make(chan error, 1)
	go func() { handed <- r.Handover(context.Background()) }()
	<-started
	r.stop()
	eventually(t, "the stop", func() bool { return tb.log.count("msg=stopping") > 0 })
	close(stopping)
	if err := <-handed; err != nil {
		t.Error(err)
	}
	if err := r.end(); !errors.Is(err, ErrHandedOver) {
		t.Errorf("it ended with %v", err)
	}
	for _, name := range []string{"a", "admin"} {
		if _, err := os.Stat(tb.socketPath(name)); err != nil {
			t.Errorf("the successor's socket: %v", err)
		}
	}
	// Nor is the socket shut down that both have: the old agents took what was in its queue, and ended it for the
	// successor.
	l := <-successors
	defer l.Close()
	c, err := net.DialTimeout("unix", tb.socketPath("a"), patience)
	if err != nil {
		t.Fatalf("nobody can connect to the successor: %v", err)
	}
	c.Close()
}
