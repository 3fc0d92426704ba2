package dnssource

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxAliases is how many CNAME records are followed. A longer chain is treated as a loop.
	maxAliases = 8
	// maxRecords bounds the number of records in one response and in the cache of multicast DNS, and so the memory
	// that a resolver or a responder can make the agent use. A service with more servers can't be read.
	maxRecords = 5000
	// udpSize is the UDP payload size in bytes that queries advertise. It avoids fragmentation on common paths (DNS
	// Flag Day 2020). Longer responses are truncated, and the query is repeated over TCP.
	udpSize = 1232
)

// Reasons for a query that returns no records. Only errNoRecord is the result of a valid response: the name does not
// exist or has no record of the type.
var (
	errNoRecord      = errors.New("no record of this name and type")
	errAliasLoop     = errors.New("loop of CNAME records, or too many of them")
	errMismatch      = errors.New("response does not match the query")
	errServerFailure = errors.New("resolver returned an error")
	errTruncated     = errors.New("response truncated, also over TCP")
)

// answer holds the records of a name and type.
type answer struct {
	records []dns.RR
	ttl     time.Duration // the lowest TTL of the records and of the aliases that led to them
	extra   []dns.RR      // the additional section of the response
}

// resolve looks up the records of a name and type, and follows aliases. With errNoRecord, the answer has the TTL of
// the negative response (RFC 2308); with other errors it is empty.
func (s *Source) resolve(ctx context.Context, name string, kind uint16) (answer, error) {
	name = dns.CanonicalName(name)
	result := answer{ttl: s.options.Ceiling}
	for range maxAliases {
		response, err := s.queryResolvers(ctx, name, kind)
		if err != nil {
			return answer{}, err
		}
		if response.Rcode == dns.RcodeNameError || len(response.Answer) == 0 {
			return answer{ttl: min(result.ttl, negativeTTL(response, result.ttl))}, errNoRecord
		}
		next := result.follow(response.Answer, name, kind)
		if len(result.records) > maxRecords {
			return answer{}, fmt.Errorf("%s: too many records in a response: %d", name, len(result.records))
		}
		if len(result.records) > 0 {
			result.extra = response.Extra
			return result, nil
		}
		if next == name { // the response has records, but none that matches the query
			return answer{}, fmt.Errorf("%w: %s", errMismatch, name)
		}
		name = next
	}
	return answer{}, fmt.Errorf("%w: %s", errAliasLoop, name)
}

// negativeTTL returns for how long the absence of a record may be cached (RFC 2308, section 5), at most ttl.
func negativeTTL(response *dns.Msg, ttl time.Duration) time.Duration {
	for _, rr := range response.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			ttl = min(ttl, time.Duration(min(soa.Hdr.Ttl, soa.Minttl))*time.Second)
		}
	}
	return ttl
}

// follow follows aliases within one response, and collects the records of the last alias's target. It returns the
// name at which it ended.
func (a *answer) follow(records []dns.RR, name string, kind uint16) string {
	for range maxAliases + 1 {
		alias := ""
		for _, rr := range records {
			ttl := time.Duration(rr.Header().Ttl) * time.Second
			switch {
			case !strings.EqualFold(rr.Header().Name, name):
			case rr.Header().Rrtype == kind:
				a.records = append(a.records, rr)
				a.ttl = min(a.ttl, ttl)
			case rr.Header().Rrtype == dns.TypeCNAME:
				alias = dns.CanonicalName(rr.(*dns.CNAME).Target)
				a.ttl = min(a.ttl, ttl)
			}
		}
		if len(a.records) > 0 || alias == "" {
			return name
		}
		name = alias
	}
	return name
}

// queryResolvers queries the resolvers in order until one returns a valid response. If none does, it returns the
// error of the last one.
func (s *Source) queryResolvers(ctx context.Context, name string, kind uint16) (*dns.Msg, error) {
	err := errors.New("no resolver is configured")
	for _, resolver := range s.options.Resolvers {
		response, resolverErr := s.exchange(ctx, name, kind, resolver)
		if resolverErr == nil {
			return response, nil
		}
		err = fmt.Errorf("%s of %s at %s: %w", dns.TypeToString[kind], name, resolver, resolverErr)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// exchange queries one resolver over UDP, and over TCP if the response over UDP is truncated.
func (s *Source) exchange(ctx context.Context, name string, kind uint16, resolver string) (*dns.Msg, error) {
	query := new(dns.Msg)
	query.SetQuestion(name, kind)
	query.SetEdns0(udpSize, false)
	for _, network := range []string{"udp", "tcp"} {
		queryCtx, cancel := context.WithTimeout(ctx, s.options.Timeout)
		response, err := s.options.Exchange(queryCtx, query, network, resolver)
		cancel()
		if err != nil && (response == nil || !response.Truncated) {
			return nil, err
		}
		if !isResponseTo(response, query) {
			return nil, errMismatch
		}
		if response.Truncated {
			continue
		}
		if response.Rcode != dns.RcodeSuccess && response.Rcode != dns.RcodeNameError {
			return nil, fmt.Errorf("%w: %s", errServerFailure, dns.RcodeToString[response.Rcode])
		}
		return response, nil
	}
	return nil, errTruncated
}

// isResponseTo reports whether a response has the ID and the question of a query (RFC 5452, section 9.1). A response
// without them is late or forged.
func isResponseTo(response, query *dns.Msg) bool {
	if response.Id != query.Id || !response.Response || len(response.Question) != 1 {
		return false
	}
	question := response.Question[0]
	return strings.EqualFold(question.Name, query.Question[0].Name) && question.Qtype == query.Question[0].Qtype
}
