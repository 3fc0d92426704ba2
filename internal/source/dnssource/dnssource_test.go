package dnssource

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
	standin "vetchhaven/internal/standin/dns"
)

const service = "_form._tcp.example.org"

func server(t *testing.T) *standin.Server {
	t.Helper()
	s, err := standin.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	set(t, s, service, "SRV", srv(60, 0, 5, 8001, "one"), srv(30, 10, 1, 8002, "two"))
	set(t, s, "one.example.org", "A", "one.example.org. 60 IN A 10.0.0.1")
	set(t, s, "two.example.org", "AAAA", "two.example.org. 60 IN AAAA 2001:db8::2")
	return s
}

func srv(ttl, priority, weight, port int, host string) string {
	return fmt.Sprintf("%s. %d IN SRV %d %d %d %s.example.org.", service, ttl, priority, weight, port, host)
}

func set(t *testing.T, s *standin.Server, name, kind string, records ...string) {
	t.Helper()
	if err := s.Set(name, kind, records...); err != nil {
		t.Fatal(err)
	}
}

func source(s *standin.Server, more ...string) *Source {
	return New(Options{Name: "r", SRV: []string{service}, Resolvers: append([]string{s.Addr()}, more...), Timeout: 5 * time.Second})
}

func TestSRVRecordsBecomeServers(t *testing.T) {
	s := server(t)
	all, ttl, err := source(s).Read(t.Context())
	if err != nil || len(all) != 2 || ttl != 30*time.Second {
		t.Fatalf("%+v, %v, %v", all, ttl, err)
	}
	one := endpoints.Server{ID: "one.example.org:8001", Addr: "10.0.0.1:8001", Weight: 5, State: endpoints.Up}
	two := endpoints.Server{ID: "two.example.org:8002", Addr: "[2001:db8::2]:8002", Weight: 1, Priority: 10, State: endpoints.Up}
	if all[0] != one || all[1] != two {
		t.Errorf("%+v", all)
	}
}

// Every kind of invalid response is a failure, never a shorter list. A response that no record exists is valid.
func TestInvalidResponsesNeverShrinkTheList(t *testing.T) {
	for name, row := range map[string]struct {
		fault func(name, kind, network string) standin.Fault
		err   error // nil: any
		ok    bool
		n     int
	}{
		"cut short over UDP": {func(_, _, network string) standin.Fault { return standin.Fault{Truncate: network == "udp"} }, nil, true, 2},
		"cut short over TCP": {func(_, _, network string) standin.Fault { return standin.Fault{Truncate: true, CutTCP: true} }, errTruncated, false, 0},
		"SERVFAIL":           {func(string, string, string) standin.Fault { return standin.Fault{Rcode: dns.RcodeServerFailure} }, errServerFailure, false, 0},
		"REFUSED":            {func(string, string, string) standin.Fault { return standin.Fault{Rcode: dns.RcodeRefused} }, errServerFailure, false, 0},
		"wrong name":         {func(string, string, string) standin.Fault { return standin.Fault{WrongName: true} }, errMismatch, false, 0},
		"foreign records":    {func(string, string, string) standin.Fault { return standin.Fault{Foreign: true} }, errMismatch, false, 0},
		"an address fails": {func(_, kind, _ string) standin.Fault {
			if kind == "A" {
				return standin.Fault{Rcode: dns.RcodeServerFailure}
			}
			return standin.Fault{}
		}, errServerFailure, false, 0},
		"NXDOMAIN": {func(string, string, string) standin.Fault { return standin.Fault{Rcode: dns.RcodeNameError} }, nil, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := server(t)
			s.Script(row.fault)
			all, _, err := source(s).Read(t.Context())
			if row.ok != (err == nil) || len(all) != row.n || row.err != nil && !errors.Is(err, row.err) {
				t.Errorf("%+v, %v", all, err)
			}
		})
	}
	// After a lost or malformed response the next resolver is queried.
	good := server(t)
	for name, f := range map[string]standin.Fault{"drop": {Drop: true}, "garbage": {Garbage: true}, "wrong id": {WrongID: true}, "SERVFAIL": {Rcode: dns.RcodeServerFailure}} {
		t.Run(name, func(t *testing.T) {
			s := server(t)
			s.Script(func(string, string, string) standin.Fault { return f })
			dnsSource := source(s, good.Addr())
			dnsSource.options.Timeout = 50 * time.Millisecond
			exchange := dnsSource.options.Exchange
			dnsSource.options.Exchange = func(ctx context.Context, q *dns.Msg, network, resolver string) (*dns.Msg, error) {
				if resolver == good.Addr() { // a long timeout, so that it does not fail on a slow machine
					ctx = context.Background()
					c := dns.Client{Net: network, Timeout: 20 * time.Second}
					r, _, err := c.ExchangeContext(ctx, q, resolver)
					return r, err
				}
				return exchange(ctx, q, network, resolver)
			}
			if all, _, err := dnsSource.Read(t.Context()); err != nil || len(all) != 2 {
				t.Errorf("%+v, %v", all, err)
			}
		})
	}
}

func TestAliasesAreFollowedAndLoopsDetected(t *testing.T) {
	s := server(t)
	set(t, s, service, "SRV")
	set(t, s, service, "CNAME", service+". 20 IN CNAME real.example.org.")
	set(t, s, "real.example.org", "SRV", "real.example.org. 60 IN SRV 0 0 80 one.example.org.")
	all, ttl, err := source(s).Read(t.Context())
	if err != nil || len(all) != 1 || ttl != 20*time.Second {
		t.Errorf("%+v, %v, %v", all, ttl, err)
	}
	set(t, s, "real.example.org", "SRV")
	set(t, s, "real.example.org", "CNAME", "real.example.org. 60 IN CNAME "+service+".")
	if _, _, err := source(s).Read(t.Context()); !errors.Is(err, errAliasLoop) {
		t.Errorf("reading a CNAME loop: %v", err)
	}
}

func TestManyServersComeOverTCP(t *testing.T) {
	s := server(t)
	var all []string
	for i := range 500 {
		host := fmt.Sprint("h", i)
		all = append(all, srv(60, 0, 1, 80, host))
		set(t, s, host+".example.org", "A", fmt.Sprintf("%s.example.org. 60 IN A 10.1.%d.%d", host, i/250, i%250))
	}
	set(t, s, service, "SRV", all...)
	if got, _, err := source(s).Read(t.Context()); err != nil || len(got) != 500 {
		t.Errorf("%d, %v", len(got), err)
	}
}

// The keys of an instance's TXT record set the attributes of its server. Each invalid key is logged once.
func TestBrowsedInstancesAreDescribedByTXTKeys(t *testing.T) {
	s := server(t)
	inst := `kathmandu\ one._form._tcp.example.org.`
	set(t, s, service, "PTR", service+". 60 IN PTR "+inst)
	set(t, s, inst, "SRV", inst+" 60 IN SRV 0 0 8001 one.example.org.")
	set(t, s, inst, "TXT", inst+` 40 IN TXT "pod=3" "zone=a" "kind=k" "state=draining" "weight=soon" "started=17" "id=formserver-1" "=x" "other"`)
	var log bytes.Buffer
	o := New(Options{Name: "r", Browse: []string{service}, Resolvers: []string{s.Addr()}, Timeout: 5 * time.Second, Log: slog.New(slog.NewTextHandler(&log, nil))})
	for range 2 {
		all, ttl, err := o.Read(t.Context())
		want := endpoints.Server{ID: "formserver-1", Addr: "10.0.0.1:8001", Zone: "a", Kind: "k", Pod: endpoints.PodNumber(3), State: endpoints.Draining, Started: 17}
		if err != nil || len(all) != 1 || all[0] != want || ttl != 40*time.Second {
			t.Errorf("%+v, %v, %v", all, ttl, err)
		}
	}
	if n := strings.Count(log.String(), "invalid TXT key ignored"); n != 1 {
		t.Errorf("%d lines: %s", n, log.String())
	}
}

// Records are read again when their TTL ends, within the bounds of the options, and after failures with a growing
// backoff. The test runs in virtual time.
func TestReadsFollowTTLsWithinBoundsAndBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var mu sync.Mutex
		var readAt []time.Duration
		var ttl atomic.Uint32
		var broken atomic.Bool
		ttl.Store(100)
		o := New(Options{Name: "r", SRV: []string{service}, Resolvers: []string{"x"}, Rand: func() float64 { return 0.5 },
			Exchange: func(_ context.Context, q *dns.Msg, _, _ string) (*dns.Msg, error) {
				r := new(dns.Msg)
				r.SetReply(q)
				if q.Question[0].Qtype == dns.TypeSRV {
					mu.Lock()
					readAt = append(readAt, time.Since(start))
					mu.Unlock()
					if broken.Load() {
						r.Rcode = dns.RcodeServerFailure
						return r, nil
					}
					rr, _ := dns.NewRR(fmt.Sprintf("%s. %d IN SRV 0 0 80 one.example.org.", service, ttl.Load()))
					a, _ := dns.NewRR("one.example.org. 3600 IN A 10.0.0.1")
					r.Answer = []dns.RR{rr}
					r.Extra = []dns.RR{a}
				}
				return r, nil
			}})
		ctx, cancel := context.WithCancel(t.Context())
		var snapshots, failures atomic.Int32
		count := func() int {
			mu.Lock()
			defer mu.Unlock()
			return len(readAt)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.Run(ctx, func(r endpoints.Report) {
				switch r.(type) {
				case endpoints.Snapshot:
					snapshots.Add(1)
				case endpoints.Failed:
					failures.Add(1)
				}
			})
		}()
		time.Sleep(200 * time.Second)
		synctest.Wait()
		mu.Lock()
		if len(readAt) != 3 || readAt[1] != 95*time.Second || snapshots.Load() != 3 {
			t.Errorf("read at %v, %d snapshots", readAt, snapshots.Load())
		}
		mu.Unlock()
		ttl.Store(0)
		time.Sleep(185 * time.Second) // the TTL of the last reading ends in 85 s
		synctest.Wait()
		if n := count() - 3; n < 18 || n > 22 { // the interval is defaultFloor
			t.Errorf("TTL 0: read %d times in the 100 s after", n)
		}
		broken.Store(true)
		before := count()
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		if n := count() - before; n < 20 || n > 40 || failures.Load() < 20 {
			t.Errorf("all queries fail: read %d times in 10 minutes, %d failures", n, failures.Load())
		}
		cancel()
		<-done
	})
}
