package dnssource

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/miekg/dns"

	"vetchhaven/internal/source/endpoints"
)

// mdnsSession is a Multicast with its socket and timers. Times count from began.
type mdnsSession struct {
	*Multicast
	conn      *net.UDPConn
	groupAddr *net.UDPAddr
	report    func(endpoints.Report)
	began     time.Time

	queryTimer    *time.Timer   // fires at the next query for the service
	queryInterval time.Duration // interval between that query and the one after it
	cacheTimer    *time.Timer   // fires at the next expiry or refresh of a cached record
}

// listen opens a socket, and queries and listens until ctx ends or the socket fails. If ctx ends, it returns nil.
func (m *Multicast) listen(ctx context.Context, report func(endpoints.Report)) error {
	group, err := net.ResolveUDPAddr("udp", m.group)
	if err != nil {
		return err
	}
	conn, err := listenUDP(group)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer conn.Close()
	s := &mdnsSession{
		Multicast:     m,
		conn:          conn,
		groupAddr:     group,
		report:        report,
		began:         time.Now(),
		queryInterval: minQueryInterval,
	}
	m.cache = cache{}
	m.lastQueried = map[dns.Question]time.Duration{}
	packets := make(chan []byte, maxQueuedPackets)
	ended := make(chan error, 1)
	go func() { ended <- s.receive(packets) }()
	s.queryTimer = time.NewTimer(time.Duration(m.source.options.Rand() * float64(maxInitialQueryDelay)))
	defer s.queryTimer.Stop()
	s.cacheTimer = time.NewTimer(time.Hour) // reset before the first select
	defer s.cacheTimer.Stop()
	for {
		s.resetCacheTimer()
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return err
		case <-s.queryTimer.C:
			s.queryService()
		case data := <-packets:
			s.handlePacket(data)
		case <-s.cacheTimer.C:
			s.refreshCache()
		}
	}
}

// listenUDP opens a socket for a multicast group, or for a single responder's address.
func listenUDP(group *net.UDPAddr) (*net.UDPConn, error) {
	if group.IP.IsMulticast() {
		return net.ListenMulticastUDP("udp", nil, group)
	}
	return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// receive passes packets on until the socket is closed or fails. It drops packets while the channel is full. It runs
// in a separate goroutine.
func (s *mdnsSession) receive(packets chan<- []byte) error {
	buffer := make([]byte, maxReceivedBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			return err
		}
		if !s.groupAddr.IP.IsMulticast() && !from.IP.Equal(s.groupAddr.IP) {
			continue // the sender is not the responder that was queried
		}
		select {
		case packets <- slices.Clone(buffer[:n]):
		default:
		}
	}
}

func (s *mdnsSession) now() time.Duration { return time.Since(s.began) }

// send sends a query. It ignores errors because the query is repeated later.
func (s *mdnsSession) send(q dns.Question, now time.Duration) {
	for _, data := range s.encodeQuery(q, now) {
		_, _ = s.conn.WriteToUDP(data, s.groupAddr)
	}
}

// resetCacheTimer sets the timer to the next expiry or refresh of a cached record.
func (s *mdnsSession) resetCacheTimer() {
	now := s.now()
	next := s.cache.nextEvent()
	if next > 0 {
		s.cacheTimer.Reset(max(time.Millisecond, next-now))
	} else {
		s.cacheTimer.Stop()
	}
}

// queryService queries the instances of the service, and sets the timer for the next such query.
func (s *mdnsSession) queryService() {
	s.send(dns.Question{Name: s.service, Qtype: dns.TypePTR, Qclass: dns.ClassINET}, s.now())
	s.queryTimer.Reset(s.queryInterval)
	s.queryInterval = min(queryIntervalFactor*s.queryInterval, maxQueryInterval)
}

// handlePacket caches the records of a response, reports the resulting changes, and queries the records that instances
// lack. Packets that are not responses are ignored.
func (s *mdnsSession) handlePacket(data []byte) {
	now := s.now()
	var response dns.Msg
	if response.Unpack(data) != nil || !response.Response {
		return
	}
	goodbyes := s.cache.add(now, &response)
	if removed := s.removedServers(goodbyes); len(removed) > 0 {
		s.report(endpoints.Delta{Source: s.source.options.Name, Servers: removed})
	}
	s.reportSnapshot(s.report)
	for _, q := range s.missingQuestions() {
		if at, ok := s.lastQueried[q]; ok && now-at < minQueryInterval {
			continue
		}
		s.lastQueried[q] = now
		s.send(q, now)
	}
}

// refreshCache queries records that are about to expire, and drops expired ones. If all records expire although none
// was withdrawn, the cause is taken to be the network and not the end of all responders: refreshCache reports a
// failure and starts over with the first query.
func (s *mdnsSession) refreshCache() {
	now := s.now()
	if s.cache.allExpiredSilently(now) {
		if !s.failed {
			s.failed = true
			s.report(endpoints.Failed{Source: s.source.options.Name})
		}
		s.cache.records = nil
		s.queryInterval = minQueryInterval
		s.queryTimer.Reset(0)
		return
	}
	for _, q := range s.cache.dueQuestions(now) {
		s.send(q, now)
	}
	if s.cache.expire(now) {
		s.reportSnapshot(s.report)
	}
}
