package dnssource

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/membership"
)

// Multicast reads services that are announced by DNS-SD over multicast DNS (RFC 6762, RFC 6763). It is off
// unless a group is set. The group may be a responder's own address: then it is asked alone.
type Multicast struct {
	s       *Source // for what texts say
	service string
	group   string
	c       cache
	last    []membership.Server
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
func (m *Multicast) Run(ctx context.Context, report func(membership.Report)) {
	for ctx.Err() == nil {
		if err := m.listen(ctx, report); err != nil && ctx.Err() == nil {
			m.s.o.Log.Warn("multicast DNS", "source", m.s.o.Name, "error", err)
			report(membership.Failed{Source: m.s.o.Name})
			select {
			case <-time.After(backoffMost):
			case <-ctx.Done():
			}
		}
	}
}

func (m *Multicast) listen(ctx context.Context, report func(membership.Report)) error {
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
				report(membership.Change{Source: m.s.o.Name, Servers: gone})
			}
			m.tell(report, now)
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
					report(membership.Failed{Source: m.s.o.Name})
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
				m.tell(report, now)
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

// servers are the instances of which all is known.
func (m *Multicast) servers() (all []membership.Server) {
	for _, rr := range m.c.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		var keys []string
		for _, t := range m.c.find(instance, dns.TypeTXT) {
			keys = append(keys, t.(*dns.TXT).Txt...)
		}
		for _, rr := range m.c.find(instance, dns.TypeSRV) {
			v := rr.(*dns.SRV)
			addrs := append(m.c.find(v.Target, dns.TypeA), m.c.find(v.Target, dns.TypeAAAA)...)
			for i, a := range addrs {
				ip := ""
				switch a := a.(type) {
				case *dns.A:
					ip = a.A.String()
				case *dns.AAAA:
					ip = a.AAAA.String()
				}
				host := strings.ToLower(strings.TrimSuffix(v.Target, "."))
				s := membership.Server{ID: host + ":" + strconv.Itoa(int(v.Port)), Addr: net.JoinHostPort(ip, strconv.Itoa(int(v.Port))),
					Weight: float64(v.Weight), Priority: int(v.Priority), State: membership.Up}
				if i > 0 {
					s.ID += "#" + ip
				}
				m.s.describe(&s, instance, keys)
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b membership.Server) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// gone are the servers of the last view whose announcement was taken back.
func (m *Multicast) gone(byes []dns.RR) (all []membership.Server) {
	if len(byes) == 0 {
		return nil
	}
	for _, v := range m.servers() {
		for _, rr := range byes {
			hit := false
			switch r := rr.(type) {
			case *dns.SRV:
				hit = strings.HasPrefix(v.ID, strings.ToLower(strings.TrimSuffix(r.Target, "."))+":") || m.instanceHas(r.Hdr.Name, v)
			case *dns.PTR:
				hit = strings.EqualFold(r.Hdr.Name, m.service) && m.instanceHas(r.Ptr, v)
			}
			if hit {
				v.State = membership.Gone
				all = append(all, v)
				break
			}
		}
	}
	return all
}

// instanceHas reports whether a server is an instance's.
func (m *Multicast) instanceHas(instance string, v membership.Server) bool {
	for _, rr := range m.c.find(instance, dns.TypeSRV) {
		s := rr.(*dns.SRV)
		for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
			for _, a := range m.c.find(s.Target, kind) {
				ip := ""
				switch a := a.(type) {
				case *dns.A:
					ip = a.A.String()
				case *dns.AAAA:
					ip = a.AAAA.String()
				}
				if v.Addr == net.JoinHostPort(ip, strconv.Itoa(int(s.Port))) {
					return true
				}
			}
		}
	}
	return false
}

// tell reports the view, if it differs from the last. What a goodbye took back is not in it.
func (m *Multicast) tell(report func(membership.Report), _ time.Duration) {
	var live []membership.Server
	for _, v := range m.servers() {
		if !m.leaving(v) {
			live = append(live, v)
		}
	}
	if !m.lost && m.last != nil && slices.Equal(live, m.last) {
		return
	}
	m.lost = false
	m.last = append([]membership.Server{}, live...)
	report(membership.View{Source: m.s.o.Name, Servers: m.last})
}

// leaving reports whether a server's announcement was taken back, and is yet to end.
func (m *Multicast) leaving(v membership.Server) bool {
	var byes []dns.RR
	for _, k := range m.c.records {
		if k.bye {
			byes = append(byes, k.rr)
		}
	}
	return slices.ContainsFunc(m.gone(byes), func(g membership.Server) bool { return g.ID == v.ID })
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
