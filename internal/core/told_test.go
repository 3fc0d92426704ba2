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

// What a list service does with a call.
type callFate int

const (
	fateRefused callFate = iota // nobody listens
	fateDropped                 // the connection never comes up: the dialer gives it up
	fateMute                    // it comes up, and nothing comes of it
	fateBusy                    // 503 at once
	fateCrowded                 // 503 after the call has waited
	fateQueued                  // served after the call has waited
	fateLate                    // the same, and nothing comes for a beat after the head
	fateEnded                   // a head, and the end
	fateCut                     // the end within an object
	fateServed                  // the whole list, and a beat every 2 s
)

const (
	dialTime = 250 * time.Millisecond // a connection that never comes up is given up
	callWait = 3 * time.Second        // what a call may wait in a crowded service
	beat     = 2 * time.Second
)

// listScript is a list service by the clock of its run.
type listScript struct {
	call func(at time.Duration) callFate
	// hush is when open watches fall silent, right after their next beat, and over when they end; 0: never.
	hush, over time.Duration
	moves      bool // an agent is sent to another address when it has the change
	hangs      bool // it is back right after the first call that hangs, or the watch that fell silent
}

// listService is a service that has a change, the whole list without what drains, from a moment on.
type listService struct {
	listScript
	began time.Time
	has   time.Duration
	calls []time.Duration
	mu    sync.Mutex
}

func (s *listService) at() time.Duration { return time.Since(s.began) }

// back has the change from now on.
func (s *listService) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.has, s.hangs = s.at()+time.Millisecond, false
}

func (s *listService) since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.has
}

// dial is what a connection to the service comes to.
func (s *listService) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	at := s.at()
	s.mu.Lock()
	s.calls = append(s.calls, at)
	s.mu.Unlock()
	fate := s.call(at)
	if fate == fateMute && s.hangs {
		s.back()
	}
	switch fate {
	case fateRefused:
		return nil, syscall.ECONNREFUSED
	case fateDropped:
		select {
		case <-time.After(dialTime):
			return nil, os.ErrDeadlineExceeded
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ours, theirs := net.Pipe()
	go s.answer(theirs, fate)
	return ours, nil
}

func (s *listService) answer(c net.Conn, fate callFate) {
	defer c.Close()
	began := s.at()
	in := bufio.NewReader(c)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	gone := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, in); close(gone) }()
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-gone:
			return false
		}
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	const change = "{\n \"version\": 42,\n \"full\": true, \"servers\": [\n  {\"id\": \"two\", \"addr\": \"127.0.0.1:9\", \"state\": \"ready\"} ]\n}\n"
	object, told := change, true
	if s.at() < s.since() {
		told = false
		object = `{"version":41,"full":true,"servers":[{"id":"one","addr":"127.0.0.1:8","state":"ready"}]}` + "\n"
	}
	switch fate {
	case fateMute:
		<-gone
		return
	case fateCrowded, fateQueued, fateLate:
		if !wait(callWait) {
			return
		}
	}
	if fate == fateBusy || fate == fateCrowded {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if _, err := io.WriteString(c, head); err != nil || fate == fateEnded {
		return
	}
	if fate == fateCut {
		_, _ = io.WriteString(c, object[:len(object)/2])
		return
	}
	if fate == fateLate && !wait(beat) {
		return
	}
	for {
		if _, err := io.WriteString(c, object); err != nil {
			return
		}
		if s.hush > began && s.at() >= s.hush {
			s.back()
			<-gone
			return
		}
		if object = "\n"; s.over > s.at() && s.over-s.at() <= beat {
			wait(s.over - s.at())
			return
		}
		if !wait(beat) {
			return
		}
		if !told && s.hush <= began && s.at() >= s.since() { // a watch that was open before, and is well, tells
			object, told = change, true
		}
	}
}

// told is when an agent with this service's address has its change, and how many calls it had made by then.
func (s *listService) told(t *testing.T, cfg *Config) (at time.Duration, calls int) {
	t.Helper()
	s.began = time.Now()
	l, err := newLoop(cfg, newClock(), idleProtocol{}, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	known := make(chan time.Duration, 1)
	d := newListWatcher(cfg, l.clock, func(e any) {
		if e, ok := e.(List); ok && e.Addrs["two"] != "" {
			select {
			case known <- s.at():
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
	if s.moves {
		time.AfterFunc(s.has, func() { d.moveTo("list:2") })
	}
	select {
	case at = <-known:
	case <-time.After(s.since() + time.Minute):
		at = s.at()
	}
	synctest.Wait()
	if up := *l.readyServers.Load(); !up["two"] || up["one"] {
		t.Errorf("up are %v: what a whole list does not name is gone", up)
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
func TestWhatDiscoveryHasIsToldWithinSixSeconds(t *testing.T) {
	// back has a fate until a moment, and serves from then on.
	back := func(fate callFate) func(time.Duration) listScript {
		return func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callFate {
				if at < has {
					return fate
				}
				return fateServed
			}}
		}
	}
	open := func(over, hush time.Duration) func(time.Duration) listScript {
		return func(has time.Duration) listScript {
			s := listScript{call: func(time.Duration) callFate { return fateServed }}
			if over != 0 {
				s.over = has + over
			}
			if hush != 0 {
				s.hush = has + hush
			}
			return s
		}
	}
	for name, scripted := range map[string]func(has time.Duration) listScript{
		"down, refusing":             back(fateRefused),
		"down, dropping":             back(fateDropped),
		"hanging":                    back(fateMute),
		"busy":                       back(fateBusy),
		"crowded":                    back(fateCrowded),
		"ending instead of telling":  back(fateEnded),
		"ending in an object":        back(fateCut),
		"an open watch falls silent": open(0, -time.Millisecond),
		"an open watch ends, untold": open(-time.Millisecond, 0),
		"a call waits when it is back": func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callFate {
				if at < has {
					return fateRefused
				}
				return fateQueued
			}}
		},
		"it waits, and its first line comes a beat after its head": func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callFate {
				if at < has {
					return fateRefused
				}
				return fateLate
			}}
		},
		"a call hangs from just before, after many refused": func(has time.Duration) listScript {
			hung := false
			return listScript{call: func(at time.Duration) callFate {
				switch {
				case at < has:
					return fateRefused
				case hung:
					return fateServed
				}
				hung = true
				return fateMute
			}, hangs: true}
		},
		"back for a second, and down again": func(has time.Duration) listScript {
			return listScript{call: func(at time.Duration) callFate {
				if at < has || at > has+time.Second {
					return fateRefused
				}
				return fateServed
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
							s := &listService{listScript: scripted(has), has: has}
							at, calls := s.told(t, cfg)
							if late := at - s.since(); late < 0 || late > discovery.ToldWithin {
								t.Errorf("told %v after", late)
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

// SIGHUP names another address while the present one is down, hangs, or has an agent's watch: the new one is asked in that
// moment, whatever is being waited for.
func TestAMoveIsFollowedAtOnce(t *testing.T) {
	for name, fate := range map[string]callFate{"in a wait": fateRefused, "while a connection comes up": fateDropped,
		"while a call hangs": fateMute, "while a call waits": fateQueued, "while a watch runs": fateServed} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				for i := range 6 {
					cfg := testConfig(t, testkit.Setup{Mode: mode, Servers: []discovery.Member{
						{ID: "one", Addr: "127.0.0.1:8", State: "ready"}}})
					cfg.Seed, cfg.Settings.SubscribeWithin, cfg.Settings.DrainGrace = uint64(i), time.Hour, time.Hour
					synctest.Test(t, func(t *testing.T) {
						has := 13*time.Second + time.Duration(i)*217*time.Millisecond
						s := &listService{has: has, listScript: listScript{moves: true, call: func(at time.Duration) callFate {
							if at < has {
								return fate
							}
							return fateServed
						}}}
						if at, _ := s.told(t, cfg); at != has {
							t.Errorf("told %v after", at-has)
						}
					})
				}
			})
		}
	}
}
