// Package dnssource reads servers from DNS and reports them to package endpoints, which decides how far to trust
// them. Source reads SRV records (RFC 2782) and services announced by DNS-SD (RFC 6763) from unicast resolvers;
// Multicast follows DNS-SD over multicast DNS (RFC 6762).
//
// A Source or Multicast owns its state and runs in one goroutine, in which it also calls the report function.
// internal/host/daemon starts one for each set of names. An incomplete reading is reported as a failure, never as a
// shorter list.
package dnssource

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
)

// Options configure a Source.
type Options struct {
	Name      string         // name of the source in reports and logs
	SRV       []string       // names of SRV records, such as _form._tcp.example.org
	Browse    []string       // service types whose instances are read, such as _form._tcp.example.org
	Resolvers []string       // IP and port; each is tried until one responds
	Floor     time.Duration  // minimum interval between readings, whatever the TTL; 0: defaultFloor
	Ceiling   time.Duration  // maximum interval between readings, whatever the TTL; 0: defaultCeiling
	Timeout   time.Duration  // timeout of one query; 0: defaultTimeout
	Log       *slog.Logger   // nil: nothing is logged
	Rand      func() float64 // in [0, 1); nil: rand.Float64
	// Exchange sends a query to one resolver over "udp" or "tcp"; nil: the DNS client is used.
	Exchange func(ctx context.Context, q *dns.Msg, network, resolver string) (*dns.Msg, error)
}

const (
	// defaultFloor limits the load that records with a very short TTL cause on the resolver. A larger value delays
	// changes.
	defaultFloor = 5 * time.Second
	// defaultCeiling bounds the age of servers that were read from records with a long TTL. A larger value saves
	// queries and delays changes.
	defaultCeiling = 5 * time.Minute
	// defaultTimeout is the timeout of one query to one resolver. With a smaller value queries to slow resolvers
	// fail, a larger value delays the query to the next resolver.
	defaultTimeout = time.Second
	// minBackoff is the ceiling of the wait after the first failed reading; it doubles with each further failure.
	minBackoff = time.Second
	// maxBackoff is the ceiling at which the doubling ends, and the longest delay until a recovery of the resolvers is
	// noticed.
	maxBackoff = 30 * time.Second
	// maxBackoffDoublings prevents an overflow of the shift; maxBackoff is reached earlier.
	maxBackoffDoublings = 10
	// failuresPerLog is how many failures in a row share one log line.
	failuresPerLog = 20
	// ttlJitter is the divisor of the TTL that gives the maximum jitter: up to 1/ttlJitter of the TTL is subtracted
	// from the wait, so that agents that read at the same time spread out. A larger jitter costs more queries.
	ttlJitter = 10
	// maxLogged bounds the number of problems that are stored as logged. Further problems are not logged.
	maxLogged = 1000
)

// Source reads one set of names. It must be used by one goroutine only.
type Source struct {
	options  Options
	logged   map[string]bool // problems of records that have been logged, so that each is logged once
	failures int             // failed readings in a row
}

// New returns a Source that has read nothing.
func New(o Options) *Source {
	o.Floor = cmp.Or(o.Floor, defaultFloor)
	o.Ceiling = cmp.Or(o.Ceiling, defaultCeiling)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Exchange == nil {
		o.Exchange = func(ctx context.Context, q *dns.Msg, network, resolver string) (*dns.Msg, error) {
			client := dns.Client{Net: network, Timeout: o.Timeout, UDPSize: udpSize}
			response, _, err := client.ExchangeContext(ctx, q, resolver)
			return response, err
		}
	}
	return &Source{options: o, logged: map[string]bool{}}
}

// Run reads the names until ctx ends, and reports each snapshot and each failure. The wait between two readings is
// the lowest TTL of the records, within the options' bounds and with jitter. After a failure the wait is an
// exponential backoff with jitter.
func (s *Source) Run(ctx context.Context, report func(endpoints.Report)) {
	for ctx.Err() == nil {
		servers, ttl, err := s.Read(ctx)
		var wait time.Duration
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			s.logFailure(err)
			report(endpoints.Failed{Source: s.options.Name})
			wait = s.backoff()
		} else {
			if s.failures > 0 {
				s.options.Log.Info("DNS names read again", "source", s.options.Name, "failures", s.failures)
			}
			s.failures = 0
			report(endpoints.Snapshot{Source: s.options.Name, Servers: servers})
			wait = s.refreshInterval(ttl)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// logFailure counts a failed reading, and logs some of them.
func (s *Source) logFailure(err error) {
	s.failures++
	if s.failures == 1 || s.failures%failuresPerLog == 0 {
		s.options.Log.Warn("DNS names not read; retrying",
			"source", s.options.Name, "error", err, "failures", s.failures)
	}
}

// backoff draws the wait after a failure: between half of the ceiling and the whole ceiling, which doubles with each
// failure.
func (s *Source) backoff() time.Duration {
	ceiling := min(minBackoff<<min(s.failures-1, maxBackoffDoublings), maxBackoff)
	return ceiling/2 + time.Duration(s.options.Rand()*float64(ceiling)/2)
}

// refreshInterval draws the wait after a reading with a TTL.
func (s *Source) refreshInterval(ttl time.Duration) time.Duration {
	ttl = min(max(ttl, s.options.Floor), s.options.Ceiling)
	return max(s.options.Floor, ttl-time.Duration(s.options.Rand()*float64(ttl)/ttlJitter))
}

// reading collects the servers of one reading. Of several servers with the same ID it keeps the first.
type reading struct {
	servers []endpoints.Server
	ttl     time.Duration // the lowest TTL so far
	seen    map[string]bool
}

func (r *reading) add(servers []endpoints.Server, ttl time.Duration) {
	for _, server := range servers {
		if !r.seen[server.ID] {
			r.seen[server.ID] = true
			r.servers = append(r.servers, server)
		}
	}
	r.ttl = min(r.ttl, ttl)
}

// Read reads all names once. ttl is the lowest TTL of all records, at most Options.Ceiling. If any name can't be
// read, Read fails, because the remaining servers would look like a smaller fleet.
func (s *Source) Read(ctx context.Context) (servers []endpoints.Server, ttl time.Duration, err error) {
	r := &reading{ttl: s.options.Ceiling, seen: map[string]bool{}}
	for _, name := range s.options.SRV {
		servers, ttl, err := s.lookupService(ctx, name, nil)
		if err != nil {
			return nil, 0, err
		}
		r.add(servers, ttl)
	}
	for _, name := range s.options.Browse {
		if err := s.browse(ctx, name, r); err != nil {
			return nil, 0, err
		}
	}
	return r.servers, r.ttl, nil
}

// browse reads the instances of a service type (RFC 6763, section 4).
func (s *Source) browse(ctx context.Context, name string, r *reading) error {
	instances, err := s.resolve(ctx, name, dns.TypePTR)
	if err != nil && !errors.Is(err, errNoRecord) {
		return err
	}
	r.ttl = min(r.ttl, instances.ttl)
	for _, rr := range instances.records {
		pointer, ok := rr.(*dns.PTR)
		if !ok {
			continue
		}
		texts, err := s.resolve(ctx, pointer.Ptr, dns.TypeTXT)
		if err != nil && !errors.Is(err, errNoRecord) {
			return err
		}
		r.ttl = min(r.ttl, texts.ttl)
		var keys []string
		for _, rr := range texts.records {
			if text, ok := rr.(*dns.TXT); ok {
				keys = append(keys, text.Txt...)
			}
		}
		servers, ttl, err := s.lookupService(ctx, pointer.Ptr, keys)
		if err != nil {
			return err
		}
		r.add(servers, ttl)
	}
	return nil
}

// warnOnce logs a problem of a record, once for each key.
func (s *Source) warnOnce(key, text, name string, attributes ...any) {
	if s.logged[key] || len(s.logged) > maxLogged {
		return
	}
	s.logged[key] = true
	s.options.Log.Warn(text, append([]any{"source", s.options.Name, "name", name}, attributes...)...)
}
