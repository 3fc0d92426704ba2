package core

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// callOutcome is how a list service handles a call.
type callOutcome int

const (
	callRefused         callOutcome = iota // the service refuses the connection
	callDropped                            // the connection is never established, and the dialer fails after dialTime
	callUnanswered                         // the connection opens, and no response comes
	callBusy                               // 503 at once
	callBusyAfterWait                      // 503 after callWait
	callServedAfterWait                    // served after callWait
	callServedLate                         // the same, but the first line follows one heartbeat interval after the head
	callEndedAfterHead                     // the head of the response, then the end of the connection
	callCutInObject                        // the connection ends within an object
	callServed                             // the complete list, and a heartbeat every 2 s
)

const (
	dialTime          = 250 * time.Millisecond // time limit for establishing a connection
	callWait          = 3 * time.Second        // how long a call waits in a service with too many clients
	heartbeatInterval = 2 * time.Second
)

// listScript specifies how a list service behaves. Its times are measured from the start of the run.
type listScript struct {
	call           func(at time.Duration) callOutcome
	silentAt       time.Duration // when open watches deliver their last heartbeat; the change follows right after it; 0: never
	endsAt         time.Duration // when open watches end; 0: never
	addrMoves      bool          // a reload moves the agent to another address when the service has the change
	recoversOnHang bool          // the service has the change right after the first call that hangs
}

// listService is a list service whose list changes at changeAt: from then on it is a complete list without the server
// that drains.
type listService struct {
	listScript
	startedAt time.Time
	changeAt  time.Duration
	calls     []time.Duration
	mu        sync.Mutex
}

func (s *listService) elapsed() time.Duration { return time.Since(s.startedAt) }

// restore makes the service have the change one millisecond from now.
func (s *listService) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeAt = s.elapsed() + time.Millisecond
	s.recoversOnHang = false
}

func (s *listService) recoveredAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeAt
}

// dial is the dialer of the agent's client: it returns a connection to the service, or fails as the script specifies.
func (s *listService) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	at := s.elapsed()
	s.mu.Lock()
	s.calls = append(s.calls, at)
	s.mu.Unlock()
	outcome := s.call(at)
	if outcome == callUnanswered && s.recoversOnHang {
		s.restore()
	}
	switch outcome {
	case callRefused:
		return nil, syscall.ECONNREFUSED
	case callDropped:
		select {
		case <-time.After(dialTime):
			return nil, os.ErrDeadlineExceeded
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ours, theirs := net.Pipe()
	go s.serveCall(theirs, outcome)
	return ours, nil
}

func (s *listService) serveCall(c net.Conn, outcome callOutcome) {
	defer c.Close()
	calledAt := s.elapsed()
	in := bufio.NewReader(c)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	disconnected := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, in); close(disconnected) }()
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-disconnected:
			return false
		}
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	const change = "{\n \"version\": 42,\n \"full\": true, \"servers\": [\n  {\"id\": \"two\", \"addr\": \"127.0.0.1:9\", \"state\": \"ready\"} ]\n}\n"
	object, sent := change, true
	if s.elapsed() < s.recoveredAt() {
		sent = false
		object = `{"version":41,"full":true,"servers":[{"id":"one","addr":"127.0.0.1:8","state":"ready"}]}` + "\n"
	}
	switch outcome {
	case callUnanswered:
		<-disconnected
		return
	case callBusyAfterWait, callServedAfterWait, callServedLate:
		if !wait(callWait) {
			return
		}
	}
	if outcome == callBusy || outcome == callBusyAfterWait {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if _, err := io.WriteString(c, head); err != nil || outcome == callEndedAfterHead {
		return
	}
	if outcome == callCutInObject {
		_, _ = io.WriteString(c, object[:len(object)/2])
		return
	}
	if outcome == callServedLate && !wait(heartbeatInterval) {
		return
	}
	for {
		if _, err := io.WriteString(c, object); err != nil {
			return
		}
		if s.silentAt > calledAt && s.elapsed() >= s.silentAt {
			s.restore()
			<-disconnected
			return
		}
		if object = "\n"; s.endsAt > s.elapsed() && s.endsAt-s.elapsed() <= heartbeatInterval {
			wait(s.endsAt - s.elapsed())
			return
		}
		if !wait(heartbeatInterval) {
			return
		}
		if !sent && s.silentAt <= calledAt && s.elapsed() >= s.recoveredAt() { // the watch was opened before the change
			object, sent = change, true
		}
	}
}

// firstUpdate runs an agent that watches this service. It returns when the agent has the change, and how many calls it
// has made.
func (s *listService) firstUpdate(t *testing.T, cfg *Config) (at time.Duration, calls int) {
	t.Helper()
	s.startedAt = time.Now()
	l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	known := make(chan time.Duration, 1)
	d := newListWatcher(cfg, l.clock, func(e any) {
		if e, ok := e.(List); ok && e.Addrs["two"] != "" {
			select {
			case known <- s.elapsed():
			default:
			}
		}
		l.post(e)
	}, testkit.DiscardLogger)
	d.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: s.dial}}
	l.requestWatch = d.subscribe
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	l.handle(d.translate(cfg.Known, decide.ListCached))
	running.Go(func() { l.run(ctx) })
	running.Go(func() { d.run(ctx) })
	if s.addrMoves {
		time.AfterFunc(s.changeAt, func() { d.moveTo("list:2") })
	}
	select {
	case at = <-known:
	case <-time.After(s.recoveredAt() + time.Minute):
		at = s.elapsed()
	}
	synctest.Wait()
	if up := *l.readyServers.Load(); !up["two"] || up["one"] {
		t.Errorf("ready servers are %v, want only those that the complete list names", up)
	}
	s.mu.Lock()
	calls = len(s.calls)
	s.mu.Unlock()
	cancel()
	running.Wait()
	time.Sleep(callWait) // waits, in virtual time, until the dials of the transport have ended
	return at, calls
}

// Whatever the outcome of earlier calls, and however long they failed, an agent must have a change of the list within 6
// s from the time at which discovery has it and can be reached. The test runs in virtual time; TestListAfterFailedCalls
// checks the same with sockets.
func TestListChangesArriveWithinSixSeconds(t *testing.T) {
	// recovers returns scripts in which calls have one outcome until the change, and are served from then on.
	recovers := func(outcome callOutcome) func(time.Duration) listScript {
		return func(changeTime time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < changeTime {
					return outcome
				}
				return callServed
			}}
		}
	}
	// open returns scripts with open watches that end, or become silent, at these times after the change; 0: they do
	// not.
	open := func(ends, silent time.Duration) func(time.Duration) listScript {
		return func(changeTime time.Duration) listScript {
			s := listScript{call: func(time.Duration) callOutcome { return callServed }}
			if ends != 0 {
				s.endsAt = changeTime + ends
			}
			if silent != 0 {
				s.silentAt = changeTime + silent
			}
			return s
		}
	}
	for name, scripted := range map[string]func(changeTime time.Duration) listScript{
		"down, refusing":                        recovers(callRefused),
		"down, dropping":                        recovers(callDropped),
		"hanging":                               recovers(callUnanswered),
		"busy":                                  recovers(callBusy),
		"crowded":                               recovers(callBusyAfterWait),
		"ending without a list":                 recovers(callEndedAfterHead),
		"ending in an object":                   recovers(callCutInObject),
		"an open watch falls silent":            open(0, -time.Millisecond),
		"an open watch ends without the change": open(-time.Millisecond, 0),
		"a call waits when it is back": func(changeTime time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < changeTime {
					return callRefused
				}
				return callServedAfterWait
			}}
		},
		"a call waits, and its first line comes 2 s after its head": func(changeTime time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < changeTime {
					return callRefused
				}
				return callServedLate
			}}
		},
		"a call hangs from just before, after many refused": func(changeTime time.Duration) listScript {
			hung := false
			return listScript{call: func(at time.Duration) callOutcome {
				switch {
				case at < changeTime:
					return callRefused
				case hung:
					return callServed
				}
				hung = true
				return callUnanswered
			}, recoversOnHang: true}
		},
		"back for a second, and down again": func(changeTime time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < changeTime || at > changeTime+time.Second {
					return callRefused
				}
				return callServed
			}}
		},
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, askWithin := range []time.Duration{10 * time.Second, time.Hour} {
				t.Run(fmt.Sprint(name, "/", mode, "/", askWithin), func(t *testing.T) {
					most := 0
					for i := range 6 {
						cfg := testConfig(t, testkit.ConfigOptions{Mode: mode, Servers: []discovery.Server{
							{ID: "one", Addr: "127.0.0.1:8", State: "ready"}}})
						cfg.Seed, cfg.Settings.SubscribeWithin, cfg.Settings.DrainGrace = uint64(i), askWithin, askWithin
						synctest.Test(t, func(t *testing.T) {
							changeTime := 13*time.Second + time.Duration(i)*217*time.Millisecond
							s := &listService{listScript: scripted(changeTime), changeAt: changeTime}
							at, calls := s.firstUpdate(t, cfg)
							if late := at - s.recoveredAt(); late < 0 || late > discovery.NotificationDeadline {
								t.Errorf("the change arrives %v after discovery has it", late)
							}
							most = max(most, calls)
						})
					}
					// With full jitter below 0.8 s an agent makes two and a half calls a second on average, during at
					// most 18 s with each seed.
					if most > 4*18 {
						t.Errorf("%d calls are too many", most)
					}
				})
			}
		}
	}
}

// If a reload sets another address while the service at the current one is down, hangs, or serves the agent's watch,
// the agent must watch the new address at that moment, whatever it is waiting for.
func TestAddressChangeIsFollowedAtOnce(t *testing.T) {
	for name, outcome := range map[string]callOutcome{
		"during the backoff":           callRefused,
		"while a connection is opened": callDropped,
		"while a call hangs":           callUnanswered,
		"while a call waits":           callServedAfterWait,
		"while a watch runs":           callServed,
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				for i := range 6 {
					cfg := testConfig(t, testkit.ConfigOptions{Mode: mode, Servers: []discovery.Server{
						{ID: "one", Addr: "127.0.0.1:8", State: "ready"}}})
					cfg.Seed, cfg.Settings.SubscribeWithin, cfg.Settings.DrainGrace = uint64(i), time.Hour, time.Hour
					synctest.Test(t, func(t *testing.T) {
						changeTime := 13*time.Second + time.Duration(i)*217*time.Millisecond
						s := &listService{changeAt: changeTime, listScript: listScript{addrMoves: true, call: func(at time.Duration) callOutcome {
							if at < changeTime {
								return outcome
							}
							return callServed
						}}}
						if at, _ := s.firstUpdate(t, cfg); at != changeTime {
							t.Errorf("the change arrives %v after discovery has it", at-changeTime)
						}
					})
				}
			})
		}
	}
}
