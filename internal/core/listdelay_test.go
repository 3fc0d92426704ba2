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

// callOutcome is what a list service does with a call.
type callOutcome int

const (
	callRefused         callOutcome = iota // nobody listens
	callDropped                            // the connection never comes up: the dialer gives it up
	callUnanswered                         // it comes up, and nothing comes of it
	callBusy                               // 503 at once
	callBusyAfterWait                      // 503 after the call has waited
	callServedAfterWait                    // served after the call has waited
	callServedLate                         // the same, and nothing comes for a beat after the head
	callEndedAfterHead                     // a head, and the end
	callCutInObject                        // the end within an object
	callServed                             // the complete list, and a heartbeat every 2 s
)

const (
	dialTime = 250 * time.Millisecond // a connection that never comes up is given up
	callWait = 3 * time.Second        // what a call may wait in a crowded service
	beat     = 2 * time.Second
)

// listScript is a list service by the clock of its run.
type listScript struct {
	call           func(at time.Duration) callOutcome
	silentAt       time.Duration // open watches fall silent after their next heartbeat; 0: never
	endsAt         time.Duration // open watches end; 0: never
	addrMoves      bool          // an agent is sent to another address when it has the change
	recoversOnHang bool          // it is back right after the first call that hangs, or the watch that fell silent
}

// listService is a service that has a change, a complete list without the server that drains, from a moment on.
type listService struct {
	listScript
	startedAt time.Time
	changeAt  time.Duration
	calls     []time.Duration
	mu        sync.Mutex
}

func (s *listService) elapsed() time.Duration { return time.Since(s.startedAt) }

// restore has the change from now on.
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

// dial is what a connection to the service comes to.
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
	if outcome == callServedLate && !wait(beat) {
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
		if object = "\n"; s.endsAt > s.elapsed() && s.endsAt-s.elapsed() <= beat {
			wait(s.endsAt - s.elapsed())
			return
		}
		if !wait(beat) {
			return
		}
		if !sent && s.silentAt <= calledAt && s.elapsed() >= s.recoveredAt() { // a watch that was open before, and is sound
			object, sent = change, true
		}
	}
}

// firstUpdate is when an agent with this service's address has its change, and how many calls it had made by then.
func (s *listService) firstUpdate(t *testing.T, cfg *Config) (at time.Duration, calls int) {
	t.Helper()
	s.startedAt = time.Now()
	l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.Quiet)
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
	}, testkit.Quiet)
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
		t.Errorf("ready servers are %v: what a complete list does not name is gone", up)
	}
	s.mu.Lock()
	calls = len(s.calls)
	s.mu.Unlock()
	cancel()
	running.Wait()
	time.Sleep(callWait) // of the test's clock: the transport's own dials end
	return at, calls
}

// Whatever becomes of the calls before, and however long it was so, an agent has a change within 6 s from when
// discovery has it and can be reached. The clock is the test's; TestListAfterFailedCalls has it on sockets.
func TestListChangesArriveWithinSixSeconds(t *testing.T) {
	// recovers has one outcome until a moment, and serves from then on.
	recovers := func(outcome callOutcome) func(time.Duration) listScript {
		return func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < has {
					return outcome
				}
				return callServed
			}}
		}
	}
	// open is a watch that ends, or falls silent, so long after the change; 0: it does not.
	open := func(ends, silent time.Duration) func(time.Duration) listScript {
		return func(has time.Duration) listScript {
			s := listScript{call: func(time.Duration) callOutcome { return callServed }}
			if ends != 0 {
				s.endsAt = has + ends
			}
			if silent != 0 {
				s.silentAt = has + silent
			}
			return s
		}
	}
	for name, scripted := range map[string]func(has time.Duration) listScript{
		"down, refusing":                        recovers(callRefused),
		"down, dropping":                        recovers(callDropped),
		"hanging":                               recovers(callUnanswered),
		"busy":                                  recovers(callBusy),
		"crowded":                               recovers(callBusyAfterWait),
		"ending instead of telling":             recovers(callEndedAfterHead),
		"ending in an object":                   recovers(callCutInObject),
		"an open watch falls silent":            open(0, -time.Millisecond),
		"an open watch ends without the change": open(-time.Millisecond, 0),
		"a call waits when it is back": func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < has {
					return callRefused
				}
				return callServedAfterWait
			}}
		},
		"it waits, and its first line comes a beat after its head": func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < has {
					return callRefused
				}
				return callServedLate
			}}
		},
		"a call hangs from just before, after many refused": func(has time.Duration) listScript {
			hung := false
			return listScript{call: func(at time.Duration) callOutcome {
				switch {
				case at < has:
					return callRefused
				case hung:
					return callServed
				}
				hung = true
				return callUnanswered
			}, recoversOnHang: true}
		},
		"back for a second, and down again": func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callOutcome {
				if at < has || at > has+time.Second {
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
						cfg := testConfig(t, testkit.Setup{Mode: mode, Servers: []discovery.Member{
							{ID: "one", Addr: "127.0.0.1:8", State: "ready"}}})
						cfg.Seed, cfg.Settings.SubscribeWithin, cfg.Settings.DrainGrace = uint64(i), askWithin, askWithin
						synctest.Test(t, func(t *testing.T) {
							has := 13*time.Second + time.Duration(i)*217*time.Millisecond
							s := &listService{listScript: scripted(has), changeAt: has}
							at, calls := s.firstUpdate(t, cfg)
							if late := at - s.recoveredAt(); late < 0 || late > discovery.NotificationDeadline {
								t.Errorf("the change arrives %v after", late)
							}
							most = max(most, calls)
						})
					}
					// Full jitter below 0.8 s: two and a half calls a second, each seed's 18 s at the most.
					if most > 4*18 {
						t.Errorf("%d calls: a storm", most)
					}
				})
			}
		}
	}
}

// A reload names another address while the present one is down, hangs, or has the agent's watch: the new one is watched
// at that moment, whatever is being waited for.
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
					cfg := testConfig(t, testkit.Setup{Mode: mode, Servers: []discovery.Member{
						{ID: "one", Addr: "127.0.0.1:8", State: "ready"}}})
					cfg.Seed, cfg.Settings.SubscribeWithin, cfg.Settings.DrainGrace = uint64(i), time.Hour, time.Hour
					synctest.Test(t, func(t *testing.T) {
						has := 13*time.Second + time.Duration(i)*217*time.Millisecond
						s := &listService{changeAt: has, listScript: listScript{addrMoves: true, call: func(at time.Duration) callOutcome {
							if at < has {
								return outcome
							}
							return callServed
						}}}
						if at, _ := s.firstUpdate(t, cfg); at != has {
							t.Errorf("the change arrives %v after", at-has)
						}
					})
				}
			})
		}
	}
}
