// Package dnssource reads servers from DNS: SRV records (RFC 2782), and services announced by DNS-SD over
// unicast DNS (RFC 6763). What it finds is reported to membership, which decides what it is worth.
package dnssource

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
)

// Options of a source.
type Options struct {
	Name      string        // of the source, in reports
	SRV       []string      // names such as _form._tcp.example.org
	Browse    []string      // service types whose instances are browsed, such as _form._tcp.example.org
	Resolvers []string      // IP and port; asked in turn until one answers
	Floor     time.Duration // lifetimes are taken for at least so long; 0: 5 s
	Ceiling   time.Duration // and at the most; 0: 5 min
	Timeout   time.Duration // of one query; 0: 1 s
	Log       *slog.Logger
	Rand      func() float64 // in [0, 1); nil: a random one
	// Exchange asks one resolver once; nil: by the network, "udp" or "tcp".
	Exchange func(ctx context.Context, q *dns.Msg, network, resolver string) (*dns.Msg, error)
}

// Source reads one set of names.
type Source struct {
	options    Options
	logged     map[string]bool // TXT records that make no sense, said once
	failures   int
	queryCount int
}

const (
	maxAliases = 8    // aliases that are followed
	maxRecords = 5000 // of one answer
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

// Why a look-up brought nothing. Only errNone is an answer: the name is there, or not, and has no such
// record.
var (
	errNoRecord      = errors.New("no such record")
	errAliasLoop     = errors.New("aliases go round, or too far")
	errMismatch      = errors.New("an answer to another question")
	errServerFailure = errors.New("the resolver fails")
	errTruncated     = errors.New("cut short, also over TCP")
)

// New is a source that has not asked yet.
func New(o Options) *Source {
	o.Floor, o.Ceiling, o.Timeout = cmp.Or(o.Floor, 5*time.Second), cmp.Or(o.Ceiling, 5*time.Minute), cmp.Or(o.Timeout, time.Second)
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Exchange == nil {
		o.Exchange = func(ctx context.Context, q *dns.Msg, network, resolver string) (*dns.Msg, error) {
			c := dns.Client{Net: network, Timeout: o.Timeout, UDPSize: 1232}
			r, _, err := c.ExchangeContext(ctx, q, resolver)
			return r, err
		}
	}
	return &Source{options: o, logged: map[string]bool{}}
}

// Run reads until ctx ends, and reports each view and each failure. Between two readings lies the least
// lifetime of what was read, less a random tenth, so that many agents do not ask together; after a
// failure a wait that doubles. No name is asked for oftener than the floor or the first wait.
func (s *Source) Run(ctx context.Context, report func(endpoints.Report)) {
	for ctx.Err() == nil {
		servers, ttl, err := s.Read(ctx)
		var wait time.Duration
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if s.failures++; s.failures == 1 || s.failures%20 == 0 {
				s.options.Log.Warn("names not read", "source", s.options.Name, "error", err, "failures", s.failures)
			}
			report(endpoints.Failed{Source: s.options.Name})
			ceiling := min(minBackoff<<min(s.failures-1, 10), maxBackoff)
			wait = ceiling/2 + time.Duration(s.options.Rand()*float64(ceiling)/2)
		} else {
			if s.failures > 0 {
				s.options.Log.Info("names read again", "source", s.options.Name, "failures", s.failures)
			}
			s.failures = 0
			report(endpoints.Snapshot{Source: s.options.Name, Servers: servers})
			ttl = min(max(ttl, s.options.Floor), s.options.Ceiling)
			wait = max(s.options.Floor, ttl-time.Duration(s.options.Rand()*float64(ttl)/10))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// Read asks for everything once. A part that can't be had is a failure of the whole: a smaller fleet is
// never read out of it.
func (s *Source) Read(ctx context.Context) (servers []endpoints.Server, ttl time.Duration, err error) {
	ttl = s.options.Ceiling
	seen := map[string]bool{}
	add := func(all []endpoints.Server, life time.Duration) {
		for _, v := range all {
			if !seen[v.ID] {
				seen[v.ID] = true
				servers = append(servers, v)
			}
		}
		ttl = min(ttl, life)
	}
	for _, name := range s.options.SRV {
		all, life, err := s.service(ctx, name, nil)
		if err != nil {
			return nil, 0, err
		}
		add(all, life)
	}
	for _, name := range s.options.Browse {
		found, life, err := s.lookup(ctx, name, dns.TypePTR)
		if err != nil && !errors.Is(err, errNoRecord) {
			return nil, 0, err
		}
		ttl = min(ttl, life)
		for _, rr := range found {
			p, ok := rr.(*dns.PTR)
			if !ok {
				continue
			}
			texts, life, err := s.lookup(ctx, p.Ptr, dns.TypeTXT)
			if err != nil && !errors.Is(err, errNoRecord) {
				return nil, 0, err
			}
			ttl = min(ttl, life)
			var keys []string
			for _, rr := range texts {
				if t, ok := rr.(*dns.TXT); ok {
					keys = append(keys, t.Txt...)
				}
			}
			all, life, err := s.service(ctx, p.Ptr, keys)
			if err != nil {
				return nil, 0, err
			}
			add(all, life)
		}
	}
	return servers, ttl, nil
}

// service is the servers of one SRV name, with what a TXT record says of them.
func (s *Source) service(ctx context.Context, name string, keys []string) (servers []endpoints.Server, ttl time.Duration, err error) {
	found, ttl, extra, err := s.resolve(ctx, name, dns.TypeSRV)
	if errors.Is(err, errNoRecord) {
		return nil, ttl, nil
	}
	if err != nil {
		return nil, 0, err
	}
	for _, rr := range found {
		v, ok := rr.(*dns.SRV)
		if !ok {
			continue
		}
		if v.Target == "." { // decidedly not available (RFC 2782)
			continue
		}
		addrs, life, err := s.addresses(ctx, v.Target, extra)
		if errors.Is(err, errNoRecord) {
			s.warnOnce("target "+v.Target, "a target has no address", v.Target)
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		ttl = min(ttl, life)
		servers = append(servers, s.serversOf(v, addrs, keys)...)
	}
	return servers, ttl, nil
}

// serversOf are the servers of one SRV record, one for each address of its target, with what a TXT record says.
func (s *Source) serversOf(v *dns.SRV, addrs, keys []string) (servers []endpoints.Server) {
	port := strconv.Itoa(int(v.Port))
	for i, a := range addrs {
		server := endpoints.Server{ID: strings.ToLower(strings.TrimSuffix(v.Target, ".")) + ":" + port, Addr: net.JoinHostPort(a, port),
			Weight: float64(v.Weight), Priority: int(v.Priority), State: endpoints.Up}
		if i > 0 {
			server.ID += "#" + a // a further address of the same name is another server
		}
		s.applyText(&server, v.Hdr.Name, keys)
		servers = append(servers, server)
	}
	return servers
}

// addressOf is an A or AAAA record's address; empty: it is another's.
func addressOf(rr dns.RR) string {
	switch a := rr.(type) {
	case *dns.A:
		return a.A.String()
	case *dns.AAAA:
		return a.AAAA.String()
	}
	return ""
}

// applyText takes the keys of a TXT record (RFC 6763, 6). One that makes no sense is left out, and said
// once; the others hold.
func (s *Source) applyText(v *endpoints.Server, name string, keys []string) {
	for _, text := range keys {
		key, value, ok := strings.Cut(text, "=")
		if !ok || key == "" {
			continue // no value: none of ours
		}
		var err error
		switch strings.ToLower(key) {
		case "id":
			if value == "" {
				err = errors.New("empty")
			} else {
				v.ID = value
			}
		case "pod":
			var n uint64
			if n, err = strconv.ParseUint(value, 10, 31); err == nil {
				v.Pod = int(n)
			}
		case "zone":
			v.Zone = value
		case "kind":
			v.Kind = value
		case "weight":
			var w float64
			if w, err = strconv.ParseFloat(value, 64); err == nil && !(w >= 0 && w <= 1e6) {
				err = errors.New("no weight")
			} else if err == nil {
				v.Weight = w
			}
		case "state":
			switch value {
			case "ready":
			case "draining":
				v.State = endpoints.Draining
			case "gone":
				v.State = endpoints.Removed
			default:
				err = errors.New("none of ready, draining, gone")
			}
		case "started":
			var n int64
			if n, err = strconv.ParseInt(value, 10, 64); err == nil && n > 0 {
				v.Started = n
			}
		}
		if err != nil {
			s.warnOnce(name+" "+text, "a TXT key makes no sense: "+err.Error(), name, "key", key)
		}
	}
}

// warnOnce logs a thing once.
func (s *Source) warnOnce(key, text, name string, more ...any) {
	if s.logged[key] || len(s.logged) > 1000 {
		return
	}
	s.logged[key] = true
	s.options.Log.Warn(text, append([]any{"source", s.options.Name, "name", name}, more...)...)
}

// addresses are a target's, by what came with the answer or by asking.
func (s *Source) addresses(ctx context.Context, target string, extra []dns.RR) (addrs []string, ttl time.Duration, err error) {
	ttl = s.options.Ceiling
	collect := func(all []dns.RR) {
		for _, rr := range all {
			if !strings.EqualFold(rr.Header().Name, target) && len(extra) > 0 {
				continue
			}
			ip := addressOf(rr)
			if ip == "" {
				continue
			}
			ttl = min(ttl, time.Duration(rr.Header().Ttl)*time.Second)
			if !slices.Contains(addrs, ip) {
				addrs = append(addrs, ip)
			}
		}
	}
	collect(extra)
	if len(addrs) == 0 {
		extra = nil
		none := 0
		for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
			all, life, err := s.lookup(ctx, target, kind)
			if errors.Is(err, errNoRecord) {
				none++
				continue
			}
			if err != nil {
				return nil, 0, err
			}
			ttl = min(ttl, life)
			collect(all)
		}
		if none == 2 {
			return nil, ttl, errNoRecord
		}
	}
	slices.Sort(addrs)
	return addrs, ttl, nil
}

// lookup is the records of a name and type, behind its aliases.
func (s *Source) lookup(ctx context.Context, name string, kind uint16) ([]dns.RR, time.Duration, error) {
	all, ttl, _, err := s.resolve(ctx, name, kind)
	return all, ttl, err
}

// resolve asks the resolvers in turn. Its error is errNone where one of them says that there is no such
// record.
func (s *Source) resolve(ctx context.Context, name string, kind uint16) (found []dns.RR, ttl time.Duration, extra []dns.RR, err error) {
	name = dns.CanonicalName(name)
	ttl = s.options.Ceiling
	for range maxAliases {
		r, err := s.queryResolvers(ctx, name, kind)
		if err != nil {
			return nil, 0, nil, err
		}
		if r.Rcode == dns.RcodeNameError || len(r.Answer) == 0 {
			for _, rr := range r.Ns { // its lifetime (RFC 2308)
				if soa, ok := rr.(*dns.SOA); ok {
					ttl = min(ttl, time.Duration(min(soa.Hdr.Ttl, soa.Minttl))*time.Second)
				}
			}
			return nil, ttl, nil, errNoRecord
		}
		// Aliases within the answer, then the records behind the last.
		next := name
		for range maxAliases + 1 {
			alias := ""
			for _, rr := range r.Answer {
				life := time.Duration(rr.Header().Ttl) * time.Second
				switch {
				case !strings.EqualFold(rr.Header().Name, next):
				case rr.Header().Rrtype == kind:
					found = append(found, rr)
					ttl = min(ttl, life)
				case rr.Header().Rrtype == dns.TypeCNAME:
					alias = dns.CanonicalName(rr.(*dns.CNAME).Target)
					ttl = min(ttl, life)
				}
			}
			if len(found) > 0 {
				if len(found) > maxRecords {
					return nil, 0, nil, fmt.Errorf("%s: %d records are too many", name, len(found))
				}
				return found, ttl, r.Extra, nil
			}
			if alias == "" {
				break
			}
			next = alias
		}
		if next == name {
			return nil, 0, nil, fmt.Errorf("%w: %s", errMismatch, name) // records, and none of what was asked
		}
		name = next
	}
	return nil, 0, nil, fmt.Errorf("%w: %s", errAliasLoop, name)
}

// queryResolvers asks each resolver until one answers: over UDP, and over TCP where that answer is cut short.
func (s *Source) queryResolvers(ctx context.Context, name string, kind uint16) (*dns.Msg, error) {
	var last error
	for _, resolver := range s.options.Resolvers {
		r, err := s.exchange(ctx, name, kind, resolver)
		if err == nil {
			return r, nil
		}
		last = fmt.Errorf("%s of %s at %s: %w", dns.TypeToString[kind], name, resolver, err)
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = errors.New("no resolver is set")
	}
	return nil, last
}

func (s *Source) exchange(ctx context.Context, name string, kind uint16, resolver string) (*dns.Msg, error) {
	q := new(dns.Msg)
	q.SetQuestion(name, kind)
	q.SetEdns0(1232, false)
	for _, network := range []string{"udp", "tcp"} {
		s.queryCount++
		one, cancel := context.WithTimeout(ctx, s.options.Timeout)
		r, err := s.options.Exchange(one, q, network, resolver)
		cancel()
		if err != nil && (r == nil || !r.Truncated) {
			return nil, err
		}
		// A foreign answer, by mistake or by intent, is none.
		if r.Id != q.Id || !r.Response || len(r.Question) != 1 || !strings.EqualFold(r.Question[0].Name, name) || r.Question[0].Qtype != kind {
			return nil, errMismatch
		}
		if r.Truncated {
			continue
		}
		if r.Rcode != dns.RcodeSuccess && r.Rcode != dns.RcodeNameError {
			return nil, fmt.Errorf("%w: %s", errServerFailure, dns.RcodeToString[r.Rcode])
		}
		return r, nil
	}
	return nil, errTruncated
}

// QueryCount is how many queries were sent.
func (s *Source) QueryCount() int { return s.queryCount }
