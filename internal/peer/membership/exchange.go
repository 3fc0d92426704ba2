package membership

import "time"

// A push-pull exchange (anti-entropy) compares two views by digests of name buckets, and sends only the records of
// buckets that differ:
//
//	opener                          answerer
//	OpenExchange: bucket digests -> ExchangeRequest
//	ExchangeResponse             <- ExchangeReply: its records of the buckets that differ, and the buckets it requests
//	FinishExchange: records      -> ExchangeFinished

const (
	// minExchangeInterval is the minimum time between two exchanges that a member opens, for every 500 members
	// (membersPerExchangeInterval): the digests of many buckets are large themselves.
	minExchangeInterval        = time.Second
	membersPerExchangeInterval = 500
	// periodicExchangeInterval is the mean time between exchanges that are opened although all digests agree. They
	// transfer state that digests don't cover, such as suspicions, and that gossip may have lost.
	periodicExchangeInterval = 30 * time.Second
	// exchangeTimeout is the time after which an unfinished exchange counts as failed.
	exchangeTimeout = 5 * time.Second
	// exchangeJitter bounds a random delay before an exchange, so that many members don't open exchanges at once.
	exchangeJitter = 50 * time.Millisecond
	// digestGrace is the time for which digests may differ, although all updates were sent, before an exchange is opened.
	digestGrace = time.Second

	// maxBuckets and namesPerBucket determine the number of buckets that a view is divided into.
	maxBuckets     = 512
	namesPerBucket = 8
	// maxRequestBuckets is the maximum number of buckets in another member's request.
	maxRequestBuckets = 1024

	// maxReferrals is the maximum number of other members named in a busy response.
	maxReferrals = 8
	// minRetryAfterMS and retryAfterJitterMS determine the retry time in a busy response, in milliseconds.
	minRetryAfterMS    = 200
	retryAfterJitterMS = 800
	// maxRetryAfterMS bounds the retry time that this member accepts in a busy response, in milliseconds.
	maxRetryAfterMS = 10_000
)

// exchangeState is the state of this member's current exchange and of the next one.
type exchangeState struct {
	// Joining: see join.go.
	joinAddrs    []string // addresses through which this member tries to join the fleet
	nextJoinAddr int      // index of the next address to try
	joinRounds   int      // number of rounds through all addresses without success
	retryAddrs   []string // addresses to contact again after joining

	// The current exchange.
	busy      bool   // an exchange is under way
	id        uint64 // ID of the last exchange
	to        string
	buckets   int           // number of bucket digests that were sent
	timeoutAt time.Duration // when the exchange fails

	// The next exchange.
	scheduledAt   time.Duration // 0: only the periodic exchange is scheduled
	preferredAddr string        // address of the partner; empty: a random member
	notBefore     time.Duration
	periodicAt    time.Duration
	differsSince  time.Duration // since when digests in this region differ; 0: they agree
}

// nextAt returns the time of the next call in which runExchange acts.
func (x *exchangeState) nextAt() time.Duration {
	if x.busy {
		return x.timeoutAt
	}
	at := max(x.periodicAt, x.notBefore)
	if x.scheduledAt > 0 {
		at = min(at, max(x.scheduledAt, x.notBefore))
	}
	return at
}

// scheduleIn schedules an exchange after a delay, unless one is scheduled earlier.
func (x *exchangeState) scheduleIn(v *View, delay time.Duration) {
	at := v.now + delay + v.randomUpTo(exchangeJitter)
	if x.scheduledAt == 0 || at < x.scheduledAt {
		x.scheduledAt = at
	}
}

// requestWith schedules an exchange with the member at an address.
func (x *exchangeState) requestWith(v *View, addr string) {
	if addr != "" && addr != v.settings.Addr && v.joined {
		x.preferredAddr = addr
		x.scheduleIn(v, 0)
	}
}

// minInterval returns the minimum time between two exchanges that this member opens.
func (v *View) minInterval() time.Duration {
	return minExchangeInterval * time.Duration(max(1, len(v.sortedNames)/membersPerExchangeInterval))
}

// exchangePeriod returns a random time until the next periodic exchange.
func (v *View) exchangePeriod() time.Duration {
	return periodicExchangeInterval/2 + v.randomUpTo(periodicExchangeInterval)
}

// compareDigest compares a member's digest with this view's. If digests keep differing although all updates were sent,
// updates were lost, and an exchange is scheduled.
func (v *View) compareDigest(from *member, digest uint64) {
	if digest == v.digest {
		v.settled = v.settled || v.joined
	}
	if v.isRemote(from) {
		v.compareRemoteDigest(from, digest)
		return
	}
	exchange := &v.exchange
	switch {
	case digest == v.digest:
		exchange.differsSince = 0
	case exchange.differsSince == 0:
		exchange.differsSince = v.now
	case v.now-exchange.differsSince >= digestGrace && v.updates.empty() && exchange.scheduledAt == 0:
		exchange.differsSince = v.now
		exchange.requestWith(v, from.Addr)
	}
}

// bucketCount returns the number of buckets of this view, a power of two. A member that joins uses a single bucket,
// since its view differs from others' in all of them.
func (v *View) bucketCount() int {
	if !v.joined {
		return 1
	}
	count := 1
	for count < maxBuckets && count*namesPerBucket < len(v.sortedNames) {
		count *= 2
	}
	return count
}

func bucketOf(name string, buckets int) int {
	return int(nameHash32(name) % uint32(buckets))
}

func (v *View) bucketDigests(buckets int) []uint64 {
	digests := make([]uint64, buckets)
	for _, name := range v.sortedNames {
		digests[bucketOf(name, buckets)] ^= v.members[name].digest
	}
	return digests
}

// runExchange ends an exchange that has timed out, and opens the next exchange if it is due.
func (v *View) runExchange() {
	exchange := &v.exchange
	if exchange.busy {
		if v.now < exchange.timeoutAt {
			return
		}
		v.onExchangeFailed(ExchangeFailed{exchange.id})
	}
	scheduled := exchange.scheduledAt != 0 && v.now >= exchange.scheduledAt
	if v.now < exchange.notBefore || !scheduled && v.now < exchange.periodicAt {
		return
	}
	preferred := exchange.preferredAddr
	exchange.scheduledAt = 0
	exchange.preferredAddr = ""
	exchange.periodicAt = v.now + v.exchangePeriod()
	to := v.exchangePartner(preferred)
	v.remoteStreamBudget.fill(v.now)
	if to != "" && v.joined && v.remoteAddrs[to] != nil && v.remoteStreamBudget.level < 0 {
		return // if the digests still differ, compareDigest requests the exchange again
	}
	if to != "" {
		v.openExchange(to)
	}
}

// exchangePartner returns the address to open an exchange with, or "" if no exchange can be opened now.
func (v *View) exchangePartner(preferred string) string {
	if !v.joined {
		return v.nextJoinAddr()
	}
	if preferred != "" {
		return preferred
	}
	candidates := v.localRegion.live
	if len(candidates) == 0 {
		candidates = v.live
	}
	picked := v.sample(candidates, 1, isAlive)
	if len(picked) == 0 {
		return ""
	}
	return picked[0].Addr
}

// newExchange returns an exchange message with the sender's fields set.
func (v *View) newExchange() *Exchange {
	return &Exchange{From: v.settings.Name, Boot: v.self.Boot, RunID: v.self.RunID}
}

func (v *View) openExchange(to string) {
	exchange := &v.exchange
	exchange.buckets = v.bucketCount()
	request := v.newExchange()
	request.BucketDigests = v.bucketDigests(exchange.buckets)
	request.Records = []Record{v.outgoingRecord(v.self)}
	exchange.id++
	exchange.busy = true
	exchange.to = to
	exchange.timeoutAt = v.now + exchangeTimeout
	if !v.joined { // half of the addresses may be behind a partition
		exchange.timeoutAt = v.now + joinTimeout
	}
	exchange.notBefore = v.now + v.minInterval()
	v.traffic.Exchanges++
	v.chargeStream(request, v.remoteAddrs[to])
	v.emit(OpenExchange{ID: exchange.id, To: to, Message: request})
}

func (v *View) onExchangeFailed(e ExchangeFailed) {
	exchange := &v.exchange
	if !exchange.busy || exchange.id != e.ID {
		return
	}
	exchange.busy = false
	if !v.joined {
		exchange.notBefore = v.now
		exchange.scheduleIn(v, 0)
	}
}

// chargeStream deducts a stream message from the stream budget, and also from the budget for other regions if the
// exchange is with a member of one (remote is not nil). A message may take the budget below zero, however large it is.
// No request is answered while the budget is below zero, so that on average streams stay within the same byte rate as
// datagrams.
func (v *View) chargeStream(x *Exchange, remote *region) {
	size := x.size()
	v.streamBudget.level -= float64(size)
	v.traffic.ExchangeBytes += uint64(size)
	if remote != nil {
		v.remoteStreamBudget.level -= float64(size)
		v.traffic.RemoteExchangeBytes += uint64(size)
	}
}

// onExchangeRequest responds to an exchange that another member opened, or refers the opener to other members if the
// budget is used up.
func (v *View) onExchangeRequest(e ExchangeRequest) {
	request := e.Message
	if v.isLeaving || v.yielding || request == nil ||
		len(request.BucketDigests) == 0 || len(request.BucketDigests) > maxRequestBuckets {
		v.emit(ExchangeReply{Stream: e.Stream})
		return
	}
	v.streamBudget.fill(v.now)
	v.remoteStreamBudget.fill(v.now)
	openerRegion := v.openerRegion(request)
	var remote *region
	if openerRegion != v.localRegion {
		remote = openerRegion
	}
	if v.streamBudget.level < 0 || remote != nil && v.remoteStreamBudget.level < 0 {
		referrals := v.live
		if openerRegion != nil {
			referrals = openerRegion.live
		}
		response := v.busyResponse(referrals)
		v.chargeStream(response, remote)
		v.emit(ExchangeReply{Stream: e.Stream, Message: response})
		return
	}
	v.mergeAll(request, reasonExchange)
	response := v.exchangeResponse(request)
	v.chargeStream(response, remote)
	v.emit(ExchangeReply{Stream: e.Stream, Message: response})
	v.contacted = true
}

// openerRegion returns the region of an exchange's opener, by the opener's own record in the request. It returns nil
// if the request has no such record, or if the view has no live member of that region.
func (v *View) openerRegion(request *Exchange) *region {
	if len(request.Records) == 0 {
		return nil
	}
	opener := &request.Records[0]
	if opener.Name != request.From || opener.check() != nil {
		return nil
	}
	if r := v.regionNamed(opener.Region); len(r.live) > 0 {
		return r
	}
	return nil
}

// busyResponse returns a response with a retry time, which refers the opener to other members. When hundreds of
// members join at once, all that have already joined share the load.
func (v *View) busyResponse(referrals []*member) *Exchange {
	response := v.newExchange()
	response.RetryAfterMS = uint32(minRetryAfterMS + v.rng.IntN(retryAfterJitterMS))
	for _, m := range v.sample(referrals, maxReferrals, isAlive) {
		response.Records = append(response.Records, v.outgoingRecord(m))
	}
	return response
}

// exchangeResponse returns a response with this member's records of the buckets that differ, and requests the opener's
// records of these buckets.
func (v *View) exchangeResponse(request *Exchange) *Exchange {
	buckets := len(request.BucketDigests)
	response := v.newExchange()
	differs := make([]bool, buckets)
	for i, digest := range v.bucketDigests(buckets) {
		if digest != request.BucketDigests[i] {
			differs[i] = true
			response.WantedBuckets = append(response.WantedBuckets, uint16(i))
		}
	}
	for _, name := range v.sortedNames {
		if differs[bucketOf(name, buckets)] {
			response.Records = append(response.Records, v.outgoingRecord(v.members[name]))
		}
	}
	return response
}

// onExchangeResponse merges the response to this member's exchange, and finishes the exchange with the records that
// the other member requests and does not have.
func (v *View) onExchangeResponse(e ExchangeResponse) {
	exchange := &v.exchange
	response := e.Message
	if !exchange.busy || exchange.id != e.ID || response == nil || v.isLeaving || v.yielding {
		return
	}
	exchange.busy = false
	if response.RetryAfterMS > 0 {
		v.onBusyResponse(response)
		return
	}
	if !v.joined {
		v.joined = true
		v.emit(SaveView{})
	}
	v.mergeAll(response, reasonExchange)
	wanted := v.wantedRecords(response)
	if len(wanted) == 0 {
		v.emit(FinishExchange{ID: e.ID})
		return
	}
	final := v.newExchange()
	final.Records = wanted
	v.chargeStream(final, v.remoteAddrs[exchange.to])
	v.emit(FinishExchange{ID: e.ID, Message: final})
}

// onBusyResponse schedules another exchange later. While this member joins, it also adds the members named in the
// response to the addresses that it tries.
func (v *View) onBusyResponse(response *Exchange) {
	exchange := &v.exchange
	exchange.notBefore = v.now + time.Duration(min(response.RetryAfterMS, maxRetryAfterMS))*time.Millisecond
	if !v.joined {
		for i := range response.Records {
			if r := &response.Records[i]; r.check() == nil {
				v.addJoinAddr(r.Addr)
			}
		}
		exchange.notBefore = v.now + v.randomUpTo(referralJitter)
	}
	exchange.scheduleIn(v, 0)
}

// wantedRecords returns the records of the buckets that the answerer requested, except those for which the answerer's
// own record is at least as new.
func (v *View) wantedRecords(response *Exchange) []Record {
	theirs := make(map[string]*Record, len(response.Records))
	for i := range response.Records {
		theirs[response.Records[i].Name] = &response.Records[i]
	}
	buckets := v.exchange.buckets
	isWanted := make([]bool, buckets)
	for _, bucket := range response.WantedBuckets {
		if int(bucket) < buckets {
			isWanted[bucket] = true
		}
	}
	var wanted []Record
	for _, name := range v.sortedNames {
		m := v.members[name]
		their := theirs[name]
		if isWanted[bucketOf(name, buckets)] && (their == nil || m.newer(their)) {
			wanted = append(wanted, v.outgoingRecord(m))
		}
	}
	return wanted
}

// mergeAll merges the records of an exchange.
func (v *View) mergeAll(x *Exchange, reason string) {
	if x == nil || v.isLeaving || v.yielding {
		return
	}
	for _, r := range x.Records {
		// A member that is dead by the sender's record may be alive on this side of a broken link. It becomes a suspect, so
		// that it can refute its death (as in hashicorp/memberlist).
		m := v.members[r.Name]
		if m != nil && r.State == Dead && m.State <= Suspect && r.RunID == m.RunID && !v.isRemote(m) {
			r.State = Suspect
			r.Reporter = x.From
			r.AgeSeconds = 0
		}
		v.merge(r, reason)
	}
}
