package dnssource

import (
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// cache is what was heard by multicast DNS (RFC 6762). It is free of I/O and clock: messages and the time
// go in, records and what to ask come out.
type cache struct {
	records []*cacheRecord
	now     time.Duration
	heard   time.Duration // when a message last came
}

type cacheRecord struct {
	rr         dns.RR
	receivedAt time.Duration // when it was heard
	ttl        time.Duration
	expiresAt  time.Duration
	refreshes  int  // queries sent for it so far
	goodbye    bool // its end was announced
}

const (
	goodbyeTime = time.Second // a goodbye's record lives for so long more (RFC 6762, 10.1)
	flushTime   = time.Second // and what a cache-flush replaces (10.2)
	topClassBit = 1 << 15     // of the class: cache-flush in answers, unicast wanted in questions
)

// refreshAt are the shares of its lifetime at which a record is asked for again (RFC 6762, 5.2).
var refreshAt = []int64{80, 85, 90, 95}

// add books a message's records. It reports those whose end it announces.
func (c *cache) add(now time.Duration, m *dns.Msg) (goodbyes []dns.RR) {
	c.now, c.heard = now, now
	all := append(slices.Clone(m.Answer), m.Extra...)
	for _, rr := range all {
		h := rr.Header()
		if h.Class&^topClassBit != dns.ClassINET || h.Rrtype == dns.TypeOPT {
			continue
		}
		flush := h.Class&topClassBit != 0
		own := dns.Copy(rr)
		own.Header().Class = dns.ClassINET
		own.Header().Name = dns.CanonicalName(h.Name)
		ttl := time.Duration(h.Ttl) * time.Second
		if flush && ttl > 0 { // others of this name and type are old, but for those of the same moment
			for _, k := range c.records {
				if k.same(own) && now-k.receivedAt > flushTime && !k.equal(own) {
					k.expiresAt = min(k.expiresAt, now+flushTime)
				}
			}
		}
		i := slices.IndexFunc(c.records, func(k *cacheRecord) bool { return k.equal(own) })
		if ttl == 0 {
			if i >= 0 && !c.records[i].goodbye {
				c.records[i].goodbye = true
				c.records[i].expiresAt = min(c.records[i].expiresAt, now+goodbyeTime)
				goodbyes = append(goodbyes, c.records[i].rr)
			}
			continue
		}
		k := &cacheRecord{rr: own, receivedAt: now, ttl: ttl, expiresAt: now + ttl}
		switch {
		case i >= 0:
			c.records[i] = k
		case len(c.records) < maxRecords:
			c.records = append(c.records, k)
		}
	}
	return goodbyes
}

// same reports whether a record has the name and type of another.
func (k *cacheRecord) same(rr dns.RR) bool {
	return k.rr.Header().Rrtype == rr.Header().Rrtype && strings.EqualFold(k.rr.Header().Name, rr.Header().Name)
}

// equal reports whether it is that one, but for its lifetime.
func (k *cacheRecord) equal(rr dns.RR) bool {
	if !k.same(rr) {
		return false
	}
	other := dns.Copy(rr)
	other.Header().Ttl = k.rr.Header().Ttl
	return k.rr.String() == other.String()
}

// expire drops what has come to its end, and reports whether anything was.
func (c *cache) expire(now time.Duration) bool {
	c.now = now
	before := len(c.records)
	c.records = slices.DeleteFunc(c.records, func(k *cacheRecord) bool { return now >= k.expiresAt })
	return len(c.records) < before
}

// dueQuestions are the names and types to ask for again now.
func (c *cache) dueQuestions(now time.Duration) (ask []dns.Question) {
	for _, k := range c.records {
		if k.goodbye || k.refreshes >= len(refreshAt) || now < k.receivedAt+k.ttl*time.Duration(refreshAt[k.refreshes])/100 {
			continue
		}
		for k.refreshes < len(refreshAt) && now >= k.receivedAt+k.ttl*time.Duration(refreshAt[k.refreshes])/100 {
			k.refreshes++
		}
		q := dns.Question{Name: k.rr.Header().Name, Qtype: k.rr.Header().Rrtype, Qclass: dns.ClassINET}
		if !slices.Contains(ask, q) {
			ask = append(ask, q)
		}
	}
	return ask
}

// nextEvent is when anything is due; 0: nothing is.
func (c *cache) nextEvent() (at time.Duration) {
	for _, k := range c.records {
		t := k.expiresAt
		if !k.goodbye && k.refreshes < len(refreshAt) {
			t = min(t, k.receivedAt+k.ttl*time.Duration(refreshAt[k.refreshes])/100)
		}
		if at == 0 || t < at {
			at = t
		}
	}
	return at
}

// knownAnswers are the answers to a question that need not come again: those with more than half of their
// lifetime left (RFC 6762, 7.1).
func (c *cache) knownAnswers(q dns.Question, now time.Duration) (all []dns.RR) {
	for _, k := range c.records {
		if left := k.expiresAt - now; k.rr.Header().Rrtype == q.Qtype && strings.EqualFold(k.rr.Header().Name, q.Name) && 2*left > k.ttl && !k.goodbye {
			rr := dns.Copy(k.rr)
			rr.Header().Ttl = uint32(left / time.Second)
			all = append(all, rr)
		}
	}
	return all
}

// find is what is known of a name and type.
func (c *cache) find(name string, kind uint16) (all []dns.RR) {
	for _, k := range c.records {
		if k.rr.Header().Rrtype == kind && strings.EqualFold(k.rr.Header().Name, dns.CanonicalName(name)) {
			all = append(all, k.rr)
		}
	}
	return all
}

// allExpiredSilently reports whether all that is left would end now though nobody was heard since: then it is
// everybody who is not heard, and not one who has ended.
func (c *cache) allExpiredSilently(now time.Duration) bool {
	gone, byes := 0, 0
	for _, k := range c.records {
		if now >= k.expiresAt {
			gone++
		}
		if k.goodbye {
			byes++
		}
	}
	return gone > 0 && byes == 0 && gone == len(c.records)
}
