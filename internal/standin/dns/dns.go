// Package dns implements a stand-in name server on loopback, over UDP and TCP. It answers from its records, and a
// script can make it misbehave.
package dns

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"github.com/miekg/dns"
)

// Fault is the misbehavior that a script requests for a query.
type Fault struct {
	Rcode     int  // response code of the answer
	Drop      bool // no answer
	Truncate  bool // the answer is truncated over UDP
	CutTCP    bool // the answer is truncated over TCP
	WrongID   bool
	WrongName bool // the answer contains a different question from the query's
	Foreign   bool // the answer has records of another name
	Garbage   bool // the answer is not a DNS message
}

// Server is a name server.
type Server struct {
	udp, tcp *dns.Server
	addr     string

	mu      sync.Mutex
	records map[string][]dns.RR // by name and type
	script  func(name, kind, network string) Fault
	asked   int
}

// New starts a name server on a free port.
func New() (*Server, error) {
	for range 20 { // the UDP and the TCP listener must have the same port
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ln, err := net.Listen("tcp", pc.LocalAddr().String())
		if err != nil {
			_ = pc.Close()
			continue
		}
		s := &Server{addr: pc.LocalAddr().String(), records: map[string][]dns.RR{}, script: func(string, string, string) Fault { return Fault{} }}
		s.udp = &dns.Server{PacketConn: pc, Handler: s.handler("udp")}
		s.tcp = &dns.Server{Listener: ln, Handler: s.handler("tcp")}
		go func() { _ = s.udp.ActivateAndServe() }()
		go func() { _ = s.tcp.ActivateAndServe() }()
		return s, nil
	}
	return nil, fmt.Errorf("found no port that is free for both UDP and TCP")
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.addr }

// Close stops the server.
func (s *Server) Close() {
	_ = s.udp.PacketConn.Close()
	_ = s.tcp.Listener.Close()
}

// Set replaces the records of a name and type. The records are in zone file format.
func (s *Server) Set(name, kind string, records ...string) error {
	all, err := parse(records)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key(name, kind)] = all
	return nil
}

// parse parses records in zone file format.
func parse(records []string) (all []dns.RR, err error) {
	for _, text := range records {
		rr, err := dns.NewRR(text)
		if err != nil {
			return nil, err
		}
		all = append(all, rr)
	}
	return all, nil
}

// Script sets the function that chooses the fault for each query.
func (s *Server) Script(f func(name, kind, network string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = f
}

// Asked returns the number of queries received.
func (s *Server) Asked() int { s.mu.Lock(); defer s.mu.Unlock(); return s.asked }

func key(name, kind string) string { return strings.ToLower(dns.Fqdn(name)) + " " + kind }

func (s *Server) handler(network string) dns.Handler {
	return dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) {
		if len(q.Question) != 1 {
			return
		}
		name, kind := q.Question[0].Name, dns.TypeToString[q.Question[0].Qtype]
		s.mu.Lock()
		s.asked++
		f := s.script(name, kind, network)
		found, known := s.records[key(name, kind)]
		if alias := s.records[key(name, "CNAME")]; len(found) == 0 && len(alias) > 0 {
			found, known = alias, true
		}
		exists := known
		for k := range s.records {
			exists = exists || strings.HasPrefix(k, strings.ToLower(name)+" ")
		}
		s.mu.Unlock()
		r := new(dns.Msg)
		r.SetReply(q)
		r.Answer = found
		switch {
		case f.Drop:
			return
		case f.Garbage:
			_, _ = w.Write([]byte("\x00\x01 this is no message of DNS"))
			return
		case f.Rcode != 0:
			r.Rcode, r.Answer = f.Rcode, nil
		case !exists:
			r.Rcode = dns.RcodeNameError
		}
		if f.Foreign {
			rr, _ := dns.NewRR("foreign.example.org. 60 IN A 10.9.9.9")
			r.Answer = []dns.RR{rr}
		}
		if f.WrongName {
			r.Question[0].Name = "another.example.org."
		}
		if f.WrongID {
			r.Id++
		}
		if network == "udp" {
			size := 512
			if o := q.IsEdns0(); o != nil {
				size = int(o.UDPSize())
			}
			r.Truncate(size)
			if f.Truncate {
				r.Truncated = true
				r.Answer = r.Answer[:len(r.Answer)/2]
			}
		} else if f.CutTCP {
			r.Truncated = true
			r.Answer = r.Answer[:len(r.Answer)/2]
		}
		_ = w.WriteMsg(r)
	})
}
