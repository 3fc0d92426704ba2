package dnssource

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
)

// Multicast reads services that are announced by DNS-SD over multicast DNS (RFC 6762, RFC 6763). It is off
// unless a group is set. The group may be a responder's own address: then it is asked alone.
type Multicast struct {
	source       *Source // for what texts say
	service      string
	group        string
	cache        cache
	lastSnapshot []endpoints.Server
	failed       bool
	lastQueried  map[dns.Question]time.Duration // when what an instance lacks was last asked for
}

// NewMulticast reads one service type, such as _form._tcp.local, at a group such as 224.0.0.251:5353.
func NewMulticast(o Options, service, group string) *Multicast {
	return &Multicast{source: New(o), service: dns.CanonicalName(service), group: group}
}

const (
	maxPacketBytes   = 1400      // bytes, of what is sent; more known answers go in further packets (RFC 6762, 7.2)
	maxQueryInterval = time.Hour // between two queries at the most (5.2)
	maxReceivedBytes = 9000      // bytes, of what comes (17)
)

// Run listens and asks until ctx ends, and reports each change.
func (m *Multicast) Run(ctx context.Context, report func(endpoints.Report)) {
	for ctx.Err() == nil {
		if err := m.listen(ctx, report); err != nil && ctx.Err() == nil {
			m.source.options.Log.Warn("multicast DNS", "source", m.source.options.Name, "error", err)
			report(endpoints.Failed{Source: m.source.options.Name})
			select {
			case <-time.After(maxBackoff):
			case <-ctx.Done():
			}
		}
	}
}

func (m *Multicast) listen(ctx context.Context, report func(endpoints.Report)) error {
	to, err := net.ResolveUDPAddr("udp", m.group)
	if err != nil {
		return err
	}
	var conn *net.UDPConn
	if to.IP.IsMulticast() {
		conn, err = net.ListenMulticastUDP("udp", nil, to)
	} else {
		conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	}
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer conn.Close()
	began := time.Now()
	m.cache, m.lastQueried = cache{}, map[dns.Question]time.Duration{}
	type packet struct{ data []byte }
	packets := make(chan packet, 64)
	ended := make(chan error, 1)
	go func() {
		buf := make([]byte, maxReceivedBytes)
		for {
			n, from, err := conn.ReadFromUDP(buf)
			if err != nil {
				ended <- err
				return
			}
			if !to.IP.IsMulticast() && !from.IP.Equal(to.IP) {
				continue // not the one who was asked
			}
			select {
			case packets <- packet{slices.Clone(buf[:n])}:
			default: // more than can be read: they come again
			}
		}
	}()
	send := func(data []byte) {
		_, _ = conn.WriteToUDP(data, to) // lost ones are asked for again
	}
	wait := time.Second
	ask := time.NewTimer(time.Duration(m.source.options.Rand() * float64(100*time.Millisecond)))
	defer ask.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		now := time.Since(began)
		if next := m.cache.nextEvent(); next > 0 {
			wake.Reset(max(time.Millisecond, next-now))
		} else {
			wake.Stop()
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return err
		case <-ask.C:
			for _, data := range m.encodeQuery(dns.Question{Name: m.service, Qtype: dns.TypePTR, Qclass: dns.ClassINET}, time.Since(began)) {
				send(data)
			}
			ask.Reset(wait)
			wait = min(3*wait, maxQueryInterval)
		case p := <-packets:
			now = time.Since(began)
			var r dns.Msg
			if r.Unpack(p.data) != nil || !r.Response {
				continue
			}
			byes := m.cache.add(now, &r)
			if gone := m.removedServers(byes); len(gone) > 0 {
				report(endpoints.Delta{Source: m.source.options.Name, Servers: gone})
			}
			m.reportSnapshot(report)
			for _, q := range m.missingQuestions() {
				if at, asked := m.lastQueried[q]; asked && now-at < time.Second { // whatever comes, once a second (5.2)
					continue
				}
				m.lastQueried[q] = now
				for _, data := range m.encodeQuery(q, now) {
					send(data)
				}
			}
		case <-wake.C:
			now = time.Since(began)
			if m.cache.allExpiredSilently(now) {
				if !m.failed {
					m.failed = true
					report(endpoints.Failed{Source: m.source.options.Name})
				}
				m.cache.records, wait = nil, time.Second // asked for anew; the last view holds
				ask.Reset(0)
				continue
			}
			for _, q := range m.cache.dueQuestions(now) {
				for _, data := range m.encodeQuery(q, now) {
					send(data)
				}
			}
			if m.cache.expire(now) {
				m.reportSnapshot(report)
			}
		}
	}
}

// encodeQuery is a question with its known answers, in as many packets as they take: all but the last say that
// more come.
func (m *Multicast) encodeQuery(q dns.Question, now time.Duration) (all [][]byte) {
	known := m.cache.knownAnswers(q, now)
	for first := true; first || len(known) > 0; first = false {
		msg := new(dns.Msg)
		if first {
			msg.Question = []dns.Question{q}
		}
		for len(known) > 0 {
			msg.Answer = append(msg.Answer, known[0])
			if msg.Len() > maxPacketBytes && len(msg.Answer) > 1 {
				msg.Answer = msg.Answer[:len(msg.Answer)-1]
				break
			}
			known = known[1:]
		}
		msg.Truncated = len(known) > 0
		data, err := msg.Pack()
		if err != nil {
			return all
		}
		all = append(all, data)
	}
	return all
}

// instanceServer is a server of an instance of which all is known.
type instanceServer struct {
	instance string
	endpoints.Server
}

func (m *Multicast) servers() (all []instanceServer) {
	for _, rr := range m.cache.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		var keys []string
		for _, t := range m.cache.find(instance, dns.TypeTXT) {
			keys = append(keys, t.(*dns.TXT).Txt...)
		}
		for _, rr := range m.cache.find(instance, dns.TypeSRV) {
			v := rr.(*dns.SRV)
			var addrs []string
			for _, a := range append(m.cache.find(v.Target, dns.TypeA), m.cache.find(v.Target, dns.TypeAAAA)...) {
				addrs = append(addrs, addressOf(a))
			}
			for _, s := range m.source.serversOf(v, addrs, keys) {
				all = append(all, instanceServer{instance, s})
			}
		}
	}
	slices.SortFunc(all, func(a, b instanceServer) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// withdrawnInstances are the instances whose announcement these records took back: their PTR, or their SRV.
func (m *Multicast) withdrawnInstances(byes []dns.RR) map[string]bool {
	all := map[string]bool{}
	for _, rr := range byes {
		switch r := rr.(type) {
		case *dns.SRV:
			all[dns.CanonicalName(r.Hdr.Name)] = true
		case *dns.PTR:
			if strings.EqualFold(r.Hdr.Name, m.service) {
				all[dns.CanonicalName(r.Ptr)] = true
			}
		}
	}
	return all
}

// removedServers are the servers that goodbyes took back.
func (m *Multicast) removedServers(byes []dns.RR) (all []endpoints.Server) {
	if len(byes) == 0 {
		return nil
	}
	back := m.withdrawnInstances(byes)
	for _, v := range m.servers() {
		if back[v.instance] {
			v.State = endpoints.Removed
			all = append(all, v.Server)
		}
	}
	return all
}

// reportSnapshot reports the view, if it differs from the last. What was taken back, and has yet to end, is not in it.
func (m *Multicast) reportSnapshot(report func(endpoints.Report)) {
	var byes []dns.RR
	for _, k := range m.cache.records {
		if k.goodbye {
			byes = append(byes, k.rr)
		}
	}
	back := m.withdrawnInstances(byes)
	live := []endpoints.Server{}
	for _, v := range m.servers() {
		if !back[v.instance] {
			live = append(live, v.Server)
		}
	}
	if !m.failed && m.lastSnapshot != nil && slices.Equal(live, m.lastSnapshot) {
		return
	}
	m.failed, m.lastSnapshot = false, live
	report(endpoints.Snapshot{Source: m.source.options.Name, Servers: live})
}

// missingQuestions are the questions whose answers would complete an instance.
func (m *Multicast) missingQuestions() (all []dns.Question) {
	add := func(name string, kind uint16) {
		all = append(all, dns.Question{Name: name, Qtype: kind, Qclass: dns.ClassINET})
	}
	for _, rr := range m.cache.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		found := m.cache.find(instance, dns.TypeSRV)
		if len(found) == 0 {
			add(instance, dns.TypeSRV)
		}
		if len(m.cache.find(instance, dns.TypeTXT)) == 0 {
			add(instance, dns.TypeTXT)
		}
		for _, s := range found {
			target := dns.CanonicalName(s.(*dns.SRV).Target)
			if len(m.cache.find(target, dns.TypeA))+len(m.cache.find(target, dns.TypeAAAA)) == 0 {
				add(target, dns.TypeA)
			}
		}
	}
	return all
}
