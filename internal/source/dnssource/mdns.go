package dnssource

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
)

const (
	// maxPacketBytes is the maximum size of a query, so that it fits in an Ethernet frame. Known answers that do not
	// fit are sent in further packets (RFC 6762, section 7.2).
	maxPacketBytes = 1400
	// maxReceivedBytes is the maximum size of a multicast DNS message (RFC 6762, section 17).
	maxReceivedBytes = 9000
	// maxInitialQueryDelay bounds the random wait before the first query, so that hosts that start at the same time do
	// not query at the same time (RFC 6762, section 5.2, specifies 20 to 120 ms).
	maxInitialQueryDelay = 100 * time.Millisecond
	// minQueryInterval is the interval between the first two queries, and the minimum interval between two queries for
	// the same missing record (RFC 6762, section 5.2).
	minQueryInterval = time.Second
	// queryIntervalFactor is the factor by which the interval grows with each query. RFC 6762, section 5.2, requires
	// at least two.
	queryIntervalFactor = 3
	// maxQueryInterval is the interval at which the growth ends (RFC 6762, section 5.2: 60 minutes).
	maxQueryInterval = time.Hour
	// maxQueuedPackets is how many received packets may be queued. Further packets are dropped; responders repeat them.
	maxQueuedPackets = 64
)

// Multicast follows services that are announced by DNS-SD over multicast DNS (RFC 6762, RFC 6763). If its group is not
// a multicast address but the address of a responder, it queries only this responder. It must be used by one goroutine
// only.
type Multicast struct {
	source       *Source // provides the options and the interpretation of TXT records
	service      string
	group        string // IP and port
	cache        cache
	lastSnapshot []endpoints.Server             // the last reported snapshot; nil: none yet
	failed       bool                           // whether a failure was reported after lastSnapshot
	lastQueried  map[dns.Question]time.Duration // when each record that an instance lacks was last queried
}

// NewMulticast returns a Multicast of one service type, such as _form._tcp.local, at a group such as
// 224.0.0.251:5353.
func NewMulticast(o Options, service, group string) *Multicast {
	return &Multicast{source: New(o), service: dns.CanonicalName(service), group: group}
}

// Run queries and listens until ctx ends, and reports each change. If the socket can't be opened or fails, Run reports
// a failure and retries after maxBackoff.
func (m *Multicast) Run(ctx context.Context, report func(endpoints.Report)) {
	for ctx.Err() == nil {
		if err := m.listen(ctx, report); err != nil && ctx.Err() == nil {
			m.source.options.Log.Warn("multicast DNS failed; retrying", "source", m.source.options.Name, "error", err)
			report(endpoints.Failed{Source: m.source.options.Name})
			select {
			case <-time.After(maxBackoff):
			case <-ctx.Done():
			}
		}
	}
}

// encodeQuery returns the packets of a query with its known answers. All packets but the last have the TC bit, which
// means that more known answers follow (RFC 6762, section 7.2).
func (m *Multicast) encodeQuery(q dns.Question, now time.Duration) (packets [][]byte) {
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
			return packets
		}
		packets = append(packets, data)
	}
	return packets
}

// instanceServer is a server of an instance whose SRV and address records are known.
type instanceServer struct {
	instance string
	endpoints.Server
}

// servers returns the servers of all instances whose SRV and address records are known, sorted by ID.
func (m *Multicast) servers() (all []instanceServer) {
	for _, rr := range m.cache.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		var keys []string
		for _, text := range m.cache.find(instance, dns.TypeTXT) {
			keys = append(keys, text.(*dns.TXT).Txt...)
		}
		for _, rr := range m.cache.find(instance, dns.TypeSRV) {
			record := rr.(*dns.SRV)
			var addrs []string
			for _, a := range append(m.cache.find(record.Target, dns.TypeA), m.cache.find(record.Target, dns.TypeAAAA)...) {
				addrs = append(addrs, addressOf(a))
			}
			for _, server := range m.source.serversOf(record, addrs, keys) {
				all = append(all, instanceServer{instance, server})
			}
		}
	}
	slices.SortFunc(all, func(a, b instanceServer) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// withdrawnInstances returns the instances whose PTR or SRV record is among these goodbyes.
func (m *Multicast) withdrawnInstances(goodbyes []dns.RR) map[string]bool {
	withdrawn := map[string]bool{}
	for _, rr := range goodbyes {
		switch record := rr.(type) {
		case *dns.SRV:
			withdrawn[dns.CanonicalName(record.Hdr.Name)] = true
		case *dns.PTR:
			if strings.EqualFold(record.Hdr.Name, m.service) {
				withdrawn[dns.CanonicalName(record.Ptr)] = true
			}
		}
	}
	return withdrawn
}

// removedServers returns the servers that goodbyes withdrew, with the state Removed.
func (m *Multicast) removedServers(goodbyes []dns.RR) (removed []endpoints.Server) {
	if len(goodbyes) == 0 {
		return nil
	}
	withdrawn := m.withdrawnInstances(goodbyes)
	for _, server := range m.servers() {
		if withdrawn[server.instance] {
			server.State = endpoints.Removed
			removed = append(removed, server.Server)
		}
	}
	return removed
}

// reportSnapshot reports the servers that are announced and not withdrawn, if they differ from the last snapshot
// or a failure has been reported since.
func (m *Multicast) reportSnapshot(report func(endpoints.Report)) {
	withdrawn := m.withdrawnInstances(m.cache.goodbyes())
	live := []endpoints.Server{}
	for _, server := range m.servers() {
		if !withdrawn[server.instance] {
			live = append(live, server.Server)
		}
	}
	if !m.failed && m.lastSnapshot != nil && slices.Equal(live, m.lastSnapshot) {
		return
	}
	m.failed = false
	m.lastSnapshot = live
	report(endpoints.Snapshot{Source: m.source.options.Name, Servers: live})
}

// missingQuestions returns the questions for the records that known instances lack.
func (m *Multicast) missingQuestions() (questions []dns.Question) {
	add := func(name string, kind uint16) {
		questions = append(questions, dns.Question{Name: name, Qtype: kind, Qclass: dns.ClassINET})
	}
	for _, rr := range m.cache.find(m.service, dns.TypePTR) {
		instance := dns.CanonicalName(rr.(*dns.PTR).Ptr)
		services := m.cache.find(instance, dns.TypeSRV)
		if len(services) == 0 {
			add(instance, dns.TypeSRV)
		}
		if len(m.cache.find(instance, dns.TypeTXT)) == 0 {
			add(instance, dns.TypeTXT)
		}
		for _, service := range services {
			target := dns.CanonicalName(service.(*dns.SRV).Target)
			if len(m.cache.find(target, dns.TypeA))+len(m.cache.find(target, dns.TypeAAAA)) == 0 {
				add(target, dns.TypeA)
			}
		}
	}
	return questions
}
