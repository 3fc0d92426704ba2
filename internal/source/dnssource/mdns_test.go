package dnssource

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
	standin "vetchhaven/internal/standin/dns"
	"vetchhaven/internal/testkit"
)

const local = "_form._tcp.local."

func rr(t testing.TB, text string) dns.RR {
	t.Helper()
	r, err := dns.NewRR(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func message(records ...dns.RR) *dns.Msg {
	m := new(dns.Msg)
	m.Response = true
	m.Answer = records
	return m
}

// Expiry, refreshes at 80 to 95% of the TTL, goodbyes, cache flush and known answers follow the times that RFC 6762
// specifies.
func TestCacheFollowsTheTimesOfRFC6762(t *testing.T) {
	var c cache
	ptr := "_form._tcp.local. 100 IN PTR one._form._tcp.local."
	c.add(0, message(rr(t, ptr)))
	q := dns.Question{Name: local, Qtype: dns.TypePTR, Qclass: dns.ClassINET}
	for _, row := range []struct {
		seconds   time.Duration
		questions int
	}{
		{79, 0},
		{80, 1},
		{81, 0},
		{85, 1},
		{90, 1},
		{95, 1},
		{99, 0},
	} {
		if got := c.dueQuestions(row.seconds * time.Second); len(got) != row.questions {
			t.Errorf("at %d s: %v, want %d questions", row.seconds, got, row.questions)
		}
	}
	if len(c.knownAnswers(q, 49*time.Second)) != 1 || len(c.knownAnswers(q, 51*time.Second)) != 0 {
		t.Error("known answers are those with more than half of their TTL left")
	}
	if c.expire(99*time.Second) || !c.expire(100*time.Second) {
		t.Error("the record does not expire with its TTL")
	}
	c.add(200*time.Second, message(rr(t, ptr)))
	c.add(250*time.Second, message(rr(t, ptr))) // received again
	if c.expire(320 * time.Second) {
		t.Error("the record expires although it was received again")
	}
	if got := c.add(321*time.Second, message(rr(t, "_form._tcp.local. 0 IN PTR one._form._tcp.local."))); len(got) != 1 {
		t.Errorf("goodbyes %v", got)
	}
	if c.expire(321*time.Second+999*time.Millisecond) || !c.expire(322*time.Second) {
		t.Error("a withdrawn record is not kept for one second")
	}
	// A cache flush lets records older than a second expire, and keeps those of the same message.
	var f cache
	f.add(0, message(rr(t, "one.local. 100 IN A 10.0.0.1")))
	flush := rr(t, "one.local. 100 IN A 10.0.0.2")
	flush.Header().Class |= topClassBit
	also := rr(t, "one.local. 100 IN A 10.0.0.3")
	also.Header().Class |= topClassBit
	f.add(10*time.Second, message(flush, also))
	f.expire(11 * time.Second)
	if got := f.find("one.local", dns.TypeA); len(got) != 2 {
		t.Errorf("%v", got)
	}
}

// Known answers that do not fit in one packet are sent in several packets, all but the last of which have the TC bit.
func TestKnownAnswersAreSplitIntoPackets(t *testing.T) {
	m := NewMulticast(Options{Name: "m"}, local, "127.0.0.1:1")
	var all []dns.RR
	for i := range 200 {
		all = append(all, rr(t, fmt.Sprintf("_form._tcp.local. 100 IN PTR a-rather-long-name-of-an-instance-%d._form._tcp.local.", i)))
	}
	m.cache.add(0, message(all...))
	packets := m.encodeQuery(dns.Question{Name: local, Qtype: dns.TypePTR, Qclass: dns.ClassINET}, time.Second)
	n := 0
	for i, data := range packets {
		var p dns.Msg
		if err := p.Unpack(data); err != nil || len(data) > maxPacketBytes || p.Truncated != (i < len(packets)-1) || (len(p.Question) == 1) != (i == 0) {
			t.Errorf("packet %d of %d: %d bytes, %v", i, len(packets), len(data), err)
		}
		n += len(p.Answer)
	}
	if n != 200 || len(packets) < 3 {
		t.Errorf("%d known answers in %d packets", n, len(packets))
	}
}

// Announced servers are found, a goodbye is reported at once, packets that are not DNS messages are ignored, and an
// instance that is announced again is found again. The test uses sockets.
func TestMulticastReportsAnnouncementsAndGoodbyes(t *testing.T) {
	r, err := standin.NewResponder()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	announce := func(flush bool, records ...string) {
		t.Helper()
		if err := r.Announce(flush, records...); err != nil {
			t.Fatal(err)
		}
	}
	instance := func(n, ttl int) []string {
		i := fmt.Sprintf("i%d._form._tcp.local.", n)
		return []string{
			fmt.Sprintf("%s %d IN PTR %s", local, ttl, i),
			fmt.Sprintf("%s %d IN SRV 0 0 80%02d h%d.local.", i, ttl, n, n),
			fmt.Sprintf(`%s %d IN TXT "pod=%d"`, i, ttl, n),
			fmt.Sprintf("h%d.local. %d IN A 10.0.0.%d", n, ttl, n),
		}
	}
	announce(false, append(instance(1, 600), instance(2, 600)...)...)
	m := NewMulticast(Options{Name: "m"}, local, r.Addr())
	reports := make(chan endpoints.Report, 1000)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx, func(v endpoints.Report) { reports <- v })
	}()
	defer func() {
		cancel()
		<-done
	}()
	until := func(what string, ok func(endpoints.Report) bool) {
		t.Helper()
		limit := time.After(testkit.EventTimeout)
		for {
			select {
			case v := <-reports:
				if ok(v) {
					return
				}
			case <-limit:
				t.Fatal("no ", what)
			}
		}
	}
	snapshotOf := func(ids ...string) func(endpoints.Report) bool {
		return func(v endpoints.Report) bool {
			w, ok := v.(endpoints.Snapshot)
			if !ok || len(w.Servers) != len(ids) {
				return false
			}
			for i, s := range w.Servers {
				if s.ID != ids[i] {
					return false
				}
			}
			return true
		}
	}
	until("snapshot with both servers", func(v endpoints.Report) bool {
		w, ok := v.(endpoints.Snapshot)
		return ok && len(w.Servers) == 2 && w.Servers[1].Pod == endpoints.PodNumber(2) && w.Servers[1].Addr == "10.0.0.2:8002"
	})
	r.Say([]byte("this is no message"))
	announce(false, instance(1, 0)[0])
	until("goodbye", func(v endpoints.Report) bool {
		w, ok := v.(endpoints.Delta)
		return ok && len(w.Servers) == 1 && w.Servers[0].ID == "h1.local:8001" && w.Servers[0].State == endpoints.Removed
	})
	until("snapshot without the withdrawn server", snapshotOf("h2.local:8002"))
	announce(true, instance(1, 600)...)
	until("snapshot with the server announced again", snapshotOf("h1.local:8001", "h2.local:8002"))
	announce(true, "h2.local. 600 IN A 10.0.0.22")
	until("snapshot with the new address", func(v endpoints.Report) bool {
		w, ok := v.(endpoints.Snapshot)
		return ok && len(w.Servers) >= 2 && w.Servers[len(w.Servers)-1].Addr == "10.0.0.22:8002"
	})
	if r.Asked("SRV", "i1."+local) == 0 {
		t.Error("the record that the response lacked was not queried")
	}
}

// If all records expire without a goodbye, this is a failure and not a shorter list.
func TestSilenceOfAllRespondersIsAFailure(t *testing.T) {
	var c cache
	c.add(0, message(rr(t, "a.local. 10 IN A 10.0.0.1"), rr(t, "b.local. 10 IN A 10.0.0.2")))
	if !c.allExpiredSilently(10 * time.Second) {
		t.Error("false although all records have expired and none was received again or withdrawn")
	}
	c.add(5*time.Second, message(rr(t, "b.local. 10 IN A 10.0.0.2")))
	if c.allExpiredSilently(10 * time.Second) {
		t.Error("true although a record was received again")
	}
	c.add(11*time.Second, message(rr(t, "b.local. 0 IN A 10.0.0.2")))
	if c.allExpiredSilently(20 * time.Second) {
		t.Error("true although a record was withdrawn")
	}
}

// Packets with arbitrary content cause no panic.
func FuzzMulticast(f *testing.F) {
	good, err := message(rr(f, "_form._tcp.local. 10 IN PTR i._form._tcp.local."), rr(f, "i._form._tcp.local. 10 IN SRV 0 0 80 h.local."),
		rr(f, `i._form._tcp.local. 10 IN TXT "pod=1" "weight=x"`), rr(f, "h.local. 0 IN A 10.0.0.1")).Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, good)
	f.Fuzz(func(t *testing.T, a, b []byte) {
		m := NewMulticast(Options{Name: "m"}, local, "127.0.0.1:1")
		for i, data := range [][]byte{a, b, a} {
			var r dns.Msg
			if r.Unpack(data) != nil {
				continue
			}
			now := time.Duration(i) * time.Second
			m.removedServers(m.cache.add(now, &r))
			m.reportSnapshot(func(endpoints.Report) {})
			for _, q := range append(m.missingQuestions(), m.cache.dueQuestions(now)...) {
				m.encodeQuery(q, now)
			}
			m.cache.expire(now)
		}
	})
}
