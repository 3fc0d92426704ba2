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
	s       *Source // for what texts say
	service string
	group   string
	c       cache
	last    []endpoints.Server
	lost    bool
	sought  map[dns.Question]time.Duration // when what an instance lacks was last asked for
}

// NewMulticast reads one service type, such as _form._tcp.local, at a group such as 224.0.0.251:5353.
func NewMulticast(o Options, service, group string) *Multicast {
	return &Multicast{s: New(o), service: dns.CanonicalName(service), group: group}
}

const (
	packetMost = 1400      // bytes, of what is sent; more known answers go in further packets (RFC 6762, 7.2)
	queryMost  = time.Hour // between two queries at the most (5.2)
	jumbo      = 9000      // bytes, of what comes (17)
)

// Run listens and asks until ctx ends, and reports each change.
func (m *Multicast) Run(ctx context.Context, report func(endpoints.Report)) {
	for ctx.Err() == nil {
		if err := m.listen(ctx, report); err != nil && ctx.Err() == nil {
			m.s.o.Log.Warn("multicast DNS", "source", m.s.o.Name, "error", err)
			report(endpoints.Failed{Source: m.s.o.Name})
			select {
			case <-time.After(backoffMost):
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
	m.c, m.sought = cache{}, map[dns.Question]time.Duration{}
	type packet struct{ data []byte }
	packets := make(chan packet, 64)
	ended := make(chan error, 1)
	go func() {
		buf := make([]byte, jumbo)
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
	ask := time.NewTimer(time.Duration(m.s.o.Rand() * float64(100*time.Millisecond)))
	defer ask.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		now := time.Since(began)
		if next := m.c.next(); next > 0 {
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
			for _, data := range m.query(dns.Question{Name: m.service, Qtype: dns.TypePTR, Qclass: dns.ClassINET}, time.Since(began)) {
				send(data)
			}
			ask.Reset(wait)
			wait = min(3*wait, queryMost)
		case p := <-packets:
			now = time.Since(began)
			var r dns.Msg
			if r.Unpack(p.data) != nil || !r.Response {
				continue
			}
			byes := m.c.take(now, &r)
			if gone := m.gone(byes); len(gone) > 0 {
				report(endpoints.Delta{Source: m.s.o.Name, Servers: gone})
			}
			m.tell(report)
			for _, q := range m.missing() {
				if at, asked := m.sought[q]; asked && now-at < time.Second { // whatever comes, once a second (5.2)
					continue
				}
				m.sought[q] = now
				for _, data := range m.query(q, now) {
					send(data)
				}
			}
		case <-wake.C:
			now = time.Since(began)
			if m.c.onlySilence(now) {
				if !m.lost {
					m.lost = true
					report(endpoints.Failed{Source: m.s.o.Name})
				}
				m.c.records, wait = nil, time.Second // asked for anew; the last view holds
				ask.Reset(0)
				continue
			}
			for _, q := range m.c.due(now) {
				for _, data := range m.query(q, now) {
					send(data)
				}
			}
			if m.c.expire(now) {
				m.tell(report)
			}
		}
	}
}

// query is a question with its known answers, in as many packets as they take: all but the last say that
// more come.
func (m *Multicast) query(q dns.Question, now time.Duration) (all [][]byte) {
	known := m.c.known(q, now)
	for first := true; first || len(known) > 0; first = false {
		msg := new(dns.Msg)
		if first {
			msg.Question = []dns.Question{q}
		}
		for len(known) > 0 {
			msg.Answer = append(msg.Answer, known[0])
			if msg.Len() > packetMost && len(msg.Answer) > 1 {
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

// found is a server of an instance of which all is known.
type found struct {
	instance string
	endpoints.Server
}

func (m *Multicast) servers() (all []found) {
	for _, rr := range m.c.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		var keys []string
		for _, t := range m.c.find(instance, dns.TypeTXT) {
			keys = append(keys, t.(*dns.TXT).Txt...)
		}
		for _, rr := range m.c.find(instance, dns.TypeSRV) {
			v := rr.(*dns.SRV)
			var addrs []string
			for _, a := range append(m.c.find(v.Target, dns.TypeA), m.c.find(v.Target, dns.TypeAAAA)...) {
				addrs = append(addrs, addressOf(a))
			}
			for _, s := range m.s.at(v, addrs, keys) {
				all = append(all, found{instance, s})
			}
		}
	}
	slices.SortFunc(all, func(a, b found) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// takenBack are the instances whose announcement these records took back: their PTR, or their SRV.
func (m *Multicast) takenBack(byes []dns.RR) map[string]bool {
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

// gone are the servers that goodbyes took back.
func (m *Multicast) gone(byes []dns.RR) (all []endpoints.Server) {
	if len(byes) == 0 {
		return nil
	}
	back := m.takenBack(byes)
	for _, v := range m.servers() {
		if back[v.instance] {
			v.State = endpoints.Removed
			all = append(all, v.Server)
		}
	}
	return all
}

// tell reports the view, if it differs from the last. What was taken back, and has yet to end, is not in it.
func (m *Multicast) tell(report func(endpoints.Report)) {
	var byes []dns.RR
	for _, k := range m.c.records {
		if k.bye {
			byes = append(byes, k.rr)
		}
	}
	back := m.takenBack(byes)
	live := []endpoints.Server{}
	for _, v := range m.servers() {
		if !back[v.instance] {
			live = append(live, v.Server)
		}
	}
	if !m.lost && m.last != nil && slices.Equal(live, m.last) {
		return
	}
	m.lost, m.last = false, live
	report(endpoints.Snapshot{Source: m.s.o.Name, Servers: live})
}

// missing are the questions whose answers would complete an instance.
func (m *Multicast) missing() (all []dns.Question) {
	add := func(name string, kind uint16) {
		all = append(all, dns.Question{Name: name, Qtype: kind, Qclass: dns.ClassINET})
	}
	for _, rr := range m.c.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		found := m.c.find(instance, dns.TypeSRV)
		if len(found) == 0 {
			add(instance, dns.TypeSRV)
		}
		if len(m.c.find(instance, dns.TypeTXT)) == 0 {
			add(instance, dns.TypeTXT)
		}
		for _, s := range found {
			target := dns.CanonicalName(s.(*dns.SRV).Target)
			if len(m.c.find(target, dns.TypeA))+len(m.c.find(target, dns.TypeAAAA)) == 0 {
				add(target, dns.TypeA)
			}
		}
	}
	return all
}
