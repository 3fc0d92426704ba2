package dnssource

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
)

// maxWeight is the largest weight that a TXT record may have, far above the 65,535 of an SRV record (RFC 2782). Larger
// weights are rejected as mistakes.
const maxWeight = 1e6

// noTarget is the target of an SRV record for a service that is not available (RFC 2782).
const noTarget = "."

// lookupService returns the servers of one SRV name, with the attributes in the keys of a TXT record. A name without
// SRV records has no servers.
func (s *Source) lookupService(ctx context.Context, name string, keys []string) (servers []endpoints.Server, ttl time.Duration, err error) {
	services, err := s.resolve(ctx, name, dns.TypeSRV)
	if errors.Is(err, errNoRecord) {
		return nil, services.ttl, nil
	}
	if err != nil {
		return nil, 0, err
	}
	ttl = services.ttl
	for _, rr := range services.records {
		record, ok := rr.(*dns.SRV)
		if !ok || record.Target == noTarget {
			continue
		}
		addrs, addrTTL, err := s.lookupAddresses(ctx, record.Target, services.extra)
		if errors.Is(err, errNoRecord) {
			s.warnOnce("target "+record.Target, "SRV target skipped: it has no address", record.Target)
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		ttl = min(ttl, addrTTL)
		servers = append(servers, s.serversOf(record, addrs, keys)...)
	}
	return servers, ttl, nil
}

// lookupAddresses returns the sorted addresses of a target. It takes them from the extra records of the response that
// named the target, or, if these have none, from queries for A and AAAA records.
func (s *Source) lookupAddresses(ctx context.Context, target string, extra []dns.RR) (addrs []string, ttl time.Duration, err error) {
	ttl = s.options.Ceiling
	collect := func(rr dns.RR) {
		addr := addressOf(rr)
		if addr == "" {
			return
		}
		ttl = min(ttl, time.Duration(rr.Header().Ttl)*time.Second)
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	for _, rr := range extra {
		if strings.EqualFold(rr.Header().Name, target) {
			collect(rr)
		}
	}
	if len(addrs) == 0 {
		kinds := []uint16{dns.TypeA, dns.TypeAAAA}
		withoutRecord := 0
		for _, kind := range kinds {
			found, err := s.resolve(ctx, target, kind)
			if errors.Is(err, errNoRecord) {
				withoutRecord++
				continue
			}
			if err != nil {
				return nil, 0, err
			}
			ttl = min(ttl, found.ttl)
			for _, rr := range found.records {
				collect(rr)
			}
		}
		if withoutRecord == len(kinds) {
			return nil, ttl, errNoRecord
		}
	}
	slices.Sort(addrs)
	return addrs, ttl, nil
}

// addressOf returns the address of an A or AAAA record; empty for other records.
func addressOf(rr dns.RR) string {
	switch record := rr.(type) {
	case *dns.A:
		return record.A.String()
	case *dns.AAAA:
		return record.AAAA.String()
	}
	return ""
}

// serversOf returns the servers of one SRV record, one for each address of its target, with the attributes in the keys
// of a TXT record.
func (s *Source) serversOf(record *dns.SRV, addrs, keys []string) (servers []endpoints.Server) {
	port := strconv.Itoa(int(record.Port))
	for i, addr := range addrs {
		server := endpoints.Server{
			ID:       strings.ToLower(strings.TrimSuffix(record.Target, ".")) + ":" + port,
			Addr:     net.JoinHostPort(addr, port),
			Weight:   float64(record.Weight),
			Priority: int(record.Priority),
			State:    endpoints.Up,
		}
		if i > 0 {
			server.ID += "#" + addr // each further address of the same name is another server
		}
		s.applyText(&server, record.Hdr.Name, keys)
		servers = append(servers, server)
	}
	return servers
}

// applyText applies the keys of a TXT record (RFC 6763, section 6) to a server. An invalid key is logged once and
// ignored; the other keys apply.
func (s *Source) applyText(server *endpoints.Server, name string, keys []string) {
	for _, text := range keys {
		key, value, ok := strings.Cut(text, "=")
		if !ok || key == "" {
			continue // not a known key, since those have a name and a value
		}
		if err := applyKey(server, strings.ToLower(key), value); err != nil {
			s.warnOnce(name+" "+text, "invalid TXT key ignored: "+err.Error(), name, "key", key)
		}
	}
}

// applyKey applies one key of a TXT record. Unknown keys are ignored.
func applyKey(server *endpoints.Server, key, value string) error {
	switch key {
	case "id":
		if value == "" {
			return errors.New("empty")
		}
		server.ID = value
	case "pod":
		pod, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return err
		}
		server.Pod = endpoints.PodNumber(int(pod))
	case "zone":
		server.Zone = value
	case "kind":
		server.Kind = value
	case "weight":
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		if !(weight >= 0 && weight <= maxWeight) { // the negated form also rejects NaN
			return errors.New("weight out of range")
		}
		server.Weight = weight
	case "state":
		return applyState(server, value)
	case "started":
		started, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return err
		}
		if started > 0 {
			server.Started = started
		}
	}
	return nil
}

func applyState(server *endpoints.Server, value string) error {
	switch value {
	case "ready":
	case "draining":
		server.State = endpoints.Draining
	case "gone":
		server.State = endpoints.Removed
	default:
		return errors.New("must be ready, draining or gone")
	}
	return nil
}
