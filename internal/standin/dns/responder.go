package dns

import (
	"net"
	"sync"

	"github.com/miekg/dns"
)

// Responder announces services by DNS-SD like a multicast DNS responder, but at its own unicast address on loopback.
// It sends announcements and withdrawals to the sender of the last query.
type Responder struct {
	conn *net.UDPConn

	mu      sync.Mutex
	records []dns.RR
	asker   *net.UDPAddr
	asked   map[string]int // number of questions, by type and name
	known   int            // number of records in the known-answer list of the last query
	mute    bool
}

// NewResponder starts a responder.
func NewResponder() (*Responder, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Responder{conn: conn, asked: map[string]int{}}
	go r.run()
	return r, nil
}

// Addr returns the address to which queries are sent.
func (r *Responder) Addr() string { return r.conn.LocalAddr().String() }

// Close stops the responder without withdrawing its records.
func (r *Responder) Close() { _ = r.conn.Close() }

// Mute makes the responder ignore queries, or answer them again.
func (r *Responder) Mute(mute bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute = mute
}

// Asked returns the number of questions received for a type and name.
func (r *Responder) Asked(kind, name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked[kind+" "+dns.CanonicalName(name)]
}

// KnownAnswers returns the number of records in the known-answer list of the last query (RFC 6762, section 7.1).
func (r *Responder) KnownAnswers() int { r.mu.Lock(); defer r.mu.Unlock(); return r.known }

// Announce adds records in zone file format, and sends them to the sender of the last query. Records with a TTL of 0
// are withdrawn.
func (r *Responder) Announce(flush bool, records ...string) error {
	all, err := parse(records)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rr := range all {
		for i := 0; i < len(r.records); i++ {
			if other := dns.Copy(r.records[i]); true {
				other.Header().Ttl = rr.Header().Ttl
				if other.String() == rr.String() {
					r.records = append(r.records[:i], r.records[i+1:]...)
					i--
				}
			}
		}
		if rr.Header().Ttl > 0 {
			r.records = append(r.records, rr)
		}
	}
	if r.asker != nil {
		m := new(dns.Msg)
		m.Response, m.Authoritative = true, true
		for _, rr := range all {
			own := dns.Copy(rr)
			if flush {
				own.Header().Class |= 1 << 15
			}
			m.Answer = append(m.Answer, own)
		}
		if data, err := m.Pack(); err == nil {
			_, _ = r.conn.WriteToUDP(data, r.asker)
		}
	}
	return nil
}

// Say sends data to the sender of the last query, as a datagram.
func (r *Responder) Say(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asker != nil {
		_, _ = r.conn.WriteToUDP(data, r.asker)
	}
}

func (r *Responder) run() {
	buf := make([]byte, 9000)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var q dns.Msg
		if q.Unpack(buf[:n]) != nil || q.Response {
			continue
		}
		r.mu.Lock()
		r.asker = from
		r.known = len(q.Answer)
		m := new(dns.Msg)
		m.Response, m.Authoritative = true, true
		for _, one := range q.Question {
			r.asked[dns.TypeToString[one.Qtype]+" "+dns.CanonicalName(one.Name)]++
			for _, rr := range r.records {
				if rr.Header().Rrtype == one.Qtype && dns.CanonicalName(rr.Header().Name) == dns.CanonicalName(one.Name) {
					m.Answer = append(m.Answer, rr)
				}
			}
		}
		mute := r.mute
		r.mu.Unlock()
		if data, err := m.Pack(); err == nil && len(m.Answer) > 0 && !mute {
			_, _ = r.conn.WriteToUDP(data, from)
		}
	}
}
