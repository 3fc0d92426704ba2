package dnssource

import (
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	// goodbyeTime is for how long a record is kept after its goodbye (RFC 6762, section 10.1).
	goodbyeTime = time.Second
	// flushTime is for how long records that a cache flush replaces are kept. Records of the same name that are not
	// older than flushTime are not replaced (RFC 6762, section 10.2).
	flushTime = time.Second
	// topClassBit in the class of a record in a response means cache flush (RFC 6762, section 10.2). In a question it
	// requests a unicast response (section 5.4).
	topClassBit = 1 << 15
)

// refreshPercents are the percentages of a record's TTL after which the record is queried again (RFC 6762, section
// 5.2).
var refreshPercents = []int64{80, 85, 90, 95}

// cache is a cache of multicast DNS records (RFC 6762). It is a state machine without I/O and clock: its methods take
// messages and times, and return records and questions. The zero value is an empty cache.
type cache struct {
	records []*cacheRecord
}

// cacheRecord is a record with the times of its receipt and expiry.
type cacheRecord struct {
	rr         dns.RR
	receivedAt time.Duration
	ttl        time.Duration
	expiresAt  time.Duration
	refreshes  int  // number of refresh queries sent for it, an index of refreshPercents
	goodbye    bool // whether it has been withdrawn and expires soon
}

// add caches a message's records. It returns the cached records that the message withdraws.
func (c *cache) add(now time.Duration, m *dns.Msg) (goodbyes []dns.RR) {
	all := append(slices.Clone(m.Answer), m.Extra...)
	for _, rr := range all {
		header := rr.Header()
		if header.Class&^topClassBit != dns.ClassINET || header.Rrtype == dns.TypeOPT {
			continue
		}
		own := dns.Copy(rr)
		own.Header().Class = dns.ClassINET
		own.Header().Name = dns.CanonicalName(header.Name)
		ttl := time.Duration(header.Ttl) * time.Second
		if ttl == 0 {
			if withdrawn := c.withdraw(now, own); withdrawn != nil {
				goodbyes = append(goodbyes, withdrawn)
			}
			continue
		}
		if header.Class&topClassBit != 0 {
			c.flush(now, own)
		}
		c.store(&cacheRecord{rr: own, receivedAt: now, ttl: ttl, expiresAt: now + ttl})
	}
	return goodbyes
}

// index returns the index of a record; -1 if it is not cached.
func (c *cache) index(rr dns.RR) int {
	return slices.IndexFunc(c.records, func(r *cacheRecord) bool { return r.equals(rr) })
}

// withdraw handles a goodbye. It returns the cached record; nil if there is none or it has been withdrawn before.
func (c *cache) withdraw(now time.Duration, rr dns.RR) dns.RR {
	i := c.index(rr)
	if i < 0 || c.records[i].goodbye {
		return nil
	}
	record := c.records[i]
	record.goodbye = true
	record.expiresAt = min(record.expiresAt, now+goodbyeTime)
	return record.rr
}

// flush sets the other records with the name and type of rr to expire after flushTime, except those received within the
// last flushTime.
func (c *cache) flush(now time.Duration, rr dns.RR) {
	for _, r := range c.records {
		if r.hasKeyOf(rr) && now-r.receivedAt > flushTime && !r.equals(rr) {
			r.expiresAt = min(r.expiresAt, now+flushTime)
		}
	}
}

// store adds or replaces a record. If the cache is full, it adds no new records.
func (c *cache) store(record *cacheRecord) {
	i := c.index(record.rr)
	switch {
	case i >= 0:
		c.records[i] = record
	case len(c.records) < maxRecords:
		c.records = append(c.records, record)
	}
}

// hasKeyOf reports whether a record has the name and type of rr.
func (r *cacheRecord) hasKeyOf(rr dns.RR) bool {
	return r.hasKey(rr.Header().Name, rr.Header().Rrtype)
}

// hasKey reports whether a record has this name and type.
func (r *cacheRecord) hasKey(name string, kind uint16) bool {
	return r.rr.Header().Rrtype == kind && strings.EqualFold(r.rr.Header().Name, name)
}

// equals reports whether a record equals rr in everything but the TTL.
func (r *cacheRecord) equals(rr dns.RR) bool {
	if !r.hasKeyOf(rr) {
		return false
	}
	sameTTL := dns.Copy(rr)
	sameTTL.Header().Ttl = r.rr.Header().Ttl
	return r.rr.String() == sameTTL.String()
}

// nextRefresh returns when a record is to be queried again; ok is false if it is not to be.
func (r *cacheRecord) nextRefresh() (at time.Duration, ok bool) {
	if r.goodbye || r.refreshes >= len(refreshPercents) {
		return 0, false
	}
	return r.receivedAt + r.ttl*time.Duration(refreshPercents[r.refreshes])/100, true
}

// expire drops the expired records, and reports whether there were any.
func (c *cache) expire(now time.Duration) bool {
	before := len(c.records)
	c.records = slices.DeleteFunc(c.records, func(r *cacheRecord) bool { return now >= r.expiresAt })
	return len(c.records) < before
}

// dueQuestions returns the questions for the records whose refresh is due, without duplicates.
func (c *cache) dueQuestions(now time.Duration) (questions []dns.Question) {
	for _, r := range c.records {
		isDue := false
		for at, ok := r.nextRefresh(); ok && now >= at; at, ok = r.nextRefresh() {
			isDue = true
			r.refreshes++
		}
		q := dns.Question{Name: r.rr.Header().Name, Qtype: r.rr.Header().Rrtype, Qclass: dns.ClassINET}
		if isDue && !slices.Contains(questions, q) {
			questions = append(questions, q)
		}
	}
	return questions
}

// nextEvent returns when the next record expires or is to be queried again; 0 if the cache is empty.
func (c *cache) nextEvent() (at time.Duration) {
	for _, r := range c.records {
		next := r.expiresAt
		if refresh, ok := r.nextRefresh(); ok {
			next = min(next, refresh)
		}
		if at == 0 || next < at {
			at = next
		}
	}
	return at
}

// knownAnswers returns the answers to a question that responders need not repeat: the cached records with more than
// half of their TTL left (RFC 6762, section 7.1).
func (c *cache) knownAnswers(q dns.Question, now time.Duration) (answers []dns.RR) {
	for _, r := range c.records {
		remaining := r.expiresAt - now
		if r.goodbye || !r.hasKey(q.Name, q.Qtype) || 2*remaining <= r.ttl {
			continue
		}
		rr := dns.Copy(r.rr)
		rr.Header().Ttl = uint32(remaining / time.Second)
		answers = append(answers, rr)
	}
	return answers
}

// find returns the records of a name and type.
func (c *cache) find(name string, kind uint16) (records []dns.RR) {
	name = dns.CanonicalName(name)
	for _, r := range c.records {
		if r.hasKey(name, kind) {
			records = append(records, r.rr)
		}
	}
	return records
}

// goodbyes returns the records that have been withdrawn and have not expired yet.
func (c *cache) goodbyes() (records []dns.RR) {
	for _, r := range c.records {
		if r.goodbye {
			records = append(records, r.rr)
		}
	}
	return records
}

// allExpiredSilently reports whether all records have expired without a goodbye. In this case the agent receives no
// packets from the responders: a responder that ends withdraws its records.
func (c *cache) allExpiredSilently(now time.Duration) bool {
	for _, r := range c.records {
		if now < r.expiresAt || r.goodbye {
			return false
		}
	}
	return len(c.records) > 0
}
