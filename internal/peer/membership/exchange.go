package membership

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

// exchangeState is where this member's next exchange stands. An exchange compares two views part by part and carries
// only the parts that differ: the cheap way to the same end as telling all to all.
type exchangeState struct {
	joinAddrs     []string // addresses to join by
	nextJoinAddr  int      // of them
	retryAddrs    []string // to be tried once more after it has joined
	joinRounds    int      // through them in vain
	busy          bool
	buckets       int // that the other was told of
	id            uint64
	to            string
	timeoutAt     time.Duration // a busy one fails
	scheduledAt   time.Duration // the next is due; 0: none is
	preferredAddr string        // with this address; empty: with anyone
	notBefore     time.Duration // none before this
	periodicAt    time.Duration
	differsSince  time.Duration // since when digests differ; 0: they do not
}

func (x *exchangeState) nextAt(v *View) time.Duration {
	switch {
	case x.busy:
		return x.timeoutAt
	case x.scheduledAt > 0:
		return min(max(x.scheduledAt, x.notBefore), max(x.periodicAt, x.notBefore))
	}
	return max(x.periodicAt, x.notBefore)
}

// scheduleIn has one made after a wait.
func (x *exchangeState) scheduleIn(v *View, wait time.Duration) {
	if at := v.now + wait + v.randomUpTo(50*time.Millisecond); x.scheduledAt == 0 || at < x.scheduledAt {
		x.scheduledAt = at
	}
}

// requestWith has one made with a certain member soon.
func (x *exchangeState) requestWith(v *View, addr string) {
	if addr != "" && addr != v.settings.Addr && v.joined {
		x.preferredAddr = addr
		x.scheduleIn(v, 0)
	}
}

// exchangeInterval is the time between two exchanges: longer where the digests of the parts alone are many.
func (v *View) exchangeInterval() time.Duration {
	return minExchangeInterval * time.Duration(max(1, len(v.sortedNames)/500))
}

// compareDigest looks at the digest that a member tells of its view. Where it goes on to differ though all news has been
// told, something was lost on the way.
func (v *View) compareDigest(from *member, digest uint64) {
	if digest == v.digest {
		v.settled = v.settled || v.joined
	}
	if v.isRemote(from) {
		v.compareRemoteDigest(from, digest)
		return
	}
	if digest == v.digest {
		v.exchange.differsSince = 0
		return
	}
	x := &v.exchange
	switch {
	case x.differsSince == 0:
		x.differsSince = v.now
	case v.now-x.differsSince >= time.Second && v.updates.empty() && x.scheduledAt == 0:
		x.differsSince = v.now
		x.requestWith(v, from.Addr)
	}
}

// bucketCount of a view: each holds about eight names.
func (v *View) bucketCount() int {
	n := 1
	for n < 512 && n*8 < len(v.sortedNames) {
		n *= 2
	}
	if !v.joined {
		return 1
	}
	return n
}

func bucketOf(name string, parts int) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	return int(h.Sum32() % uint32(parts))
}

func (v *View) bucketDigests(parts int) []uint64 {
	all := make([]uint64, parts)
	for _, n := range v.sortedNames {
		all[bucketOf(n, parts)] ^= v.members[n].digest
	}
	return all
}

func (v *View) exchangeDue() {
	x := &v.exchange
	if x.busy {
		if v.now < x.timeoutAt {
			return
		}
		v.onExchangeFailed(ExchangeFailed{x.id})
	}
	if v.now < x.notBefore || (x.scheduledAt == 0 || v.now < x.scheduledAt) && v.now < x.periodicAt {
		return
	}
	to := x.preferredAddr
	x.scheduledAt, x.preferredAddr, x.periodicAt = 0, "", v.now+periodicExchangeInterval/2+v.randomUpTo(periodicExchangeInterval)
	switch {
	case !v.joined:
		to = v.nextJoinAddr()
	case to == "":
		list := v.localRegion.live
		if len(list) == 0 {
			list = v.live
		}
		for _, m := range v.sample(list, 1, func(m *member) bool { return m.State == Alive }) {
			to = m.Addr
		}
	}
	if v.remoteStreamBudget.fill(v.now); to != "" && v.joined && v.remoteAddrs[to] != nil && v.remoteStreamBudget.level < 0 {
		return // digests will ask for it again
	}
	if to != "" {
		v.openExchange(to)
	}
}

func (v *View) openExchange(to string) {
	x := &v.exchange
	x.buckets = v.bucketCount()
	m := &Exchange{From: v.settings.Name, Boot: v.self.Boot, RunID: v.self.RunID, BucketDigests: v.bucketDigests(x.buckets), Records: []Record{v.outgoingRecord(v.self)}}
	x.id++
	x.busy, x.to, x.timeoutAt, x.notBefore = true, to, v.now+exchangeTimeout, v.now+v.exchangeInterval()
	if !v.joined { // half of the doors may be behind a cut: the next one is tried soon
		x.timeoutAt = v.now + joinTimeout
	}
	v.traffic.Exchanges++
	v.chargeStream(m, v.remoteAddrs[to] != nil)
	v.emit(OpenExchange{ID: x.id, To: to, Message: m})
}

// nextJoinAddr is the next address to join by: the operator's seeds and whoever was known in the last life, by turns.
func (v *View) nextJoinAddr() string {
	x := &v.exchange
	if len(x.joinAddrs) == 0 {
		return ""
	}
	if x.nextJoinAddr >= len(x.joinAddrs) {
		x.nextJoinAddr = 0
		x.joinRounds++
		if v.contacted && x.joinRounds >= 2 { // others have come though none of these answers: it is them that it was to meet
			v.joined = true
			return ""
		}
		x.scheduleIn(v, min(8*time.Second, 250*time.Millisecond<<min(x.joinRounds, 6))/2+v.randomUpTo(500*time.Millisecond))
		return ""
	}
	x.nextJoinAddr++
	return x.joinAddrs[x.nextJoinAddr-1]
}

func (v *View) onExchangeFailed(e ExchangeFailed) {
	x := &v.exchange
	if !x.busy || x.id != e.ID {
		return
	}
	x.busy = false
	if !v.joined {
		x.notBefore = v.now
		x.scheduleIn(v, 0)
	}
}

// chargeStream books what goes out on a stream. It may leave a debt of one message, however large: nobody else is
// answered before that is paid off, so that streams take no more a second than datagrams in the long run.
func (v *View) chargeStream(x *Exchange, far bool) {
	size := x.size()
	v.streamBudget.level -= float64(size)
	v.traffic.ExchangeBytes += uint64(size)
	if far {
		v.remoteStreamBudget.level -= float64(size)
		v.traffic.RemoteExchangeBytes += uint64(size)
	}
}

// onExchangeRequest answers another's opening, if not too many have come already: it is told when to come back.
func (v *View) onExchangeRequest(e ExchangeRequest) {
	if v.isLeaving || v.yielding || e.Message == nil || len(e.Message.BucketDigests) == 0 || len(e.Message.BucketDigests) > 1024 {
		v.emit(ExchangeReply{Stream: e.Stream})
		return
	}
	v.streamBudget.fill(v.now)
	v.remoteStreamBudget.fill(v.now)
	list, far := v.live, false
	if len(e.Message.Records) > 0 && e.Message.Records[0].Name == e.Message.From && e.Message.Records[0].check() == nil {
		if r := v.regionOf(e.Message.Records[0].Region); len(r.live) > 0 {
			list, far = r.live, r != v.localRegion
		}
	}
	if v.streamBudget.level < 0 || far && v.remoteStreamBudget.level < 0 {
		// Others may have time: whoever asks is told of some, so that where hundreds join, all that are in help.
		busy := &Exchange{From: v.settings.Name, Boot: v.self.Boot, RunID: v.self.RunID, RetryAfterMS: uint32(200 + v.rng.IntN(800))}
		for _, m := range v.sample(list, maxReferrals, func(m *member) bool { return m.State == Alive }) {
			busy.Records = append(busy.Records, v.outgoingRecord(m))
		}
		v.chargeStream(busy, far)
		v.emit(ExchangeReply{Stream: e.Stream, Message: busy})
		return
	}
	x := e.Message
	v.mergeAll(x, "exchange")
	parts := len(x.BucketDigests)
	own := v.bucketDigests(parts)
	answer := &Exchange{From: v.settings.Name, Boot: v.self.Boot, RunID: v.self.RunID}
	differ := make([]bool, parts)
	for i := range own {
		if differ[i] = own[i] != x.BucketDigests[i]; differ[i] {
			answer.WantedBuckets = append(answer.WantedBuckets, uint16(i))
		}
	}
	for _, n := range v.sortedNames {
		if differ[bucketOf(n, parts)] {
			answer.Records = append(answer.Records, v.outgoingRecord(v.members[n]))
		}
	}
	v.chargeStream(answer, far)
	v.emit(ExchangeReply{Stream: e.Stream, Message: answer})
	v.contacted = true
}

// onExchangeResponse takes the answer, and sends back what the other would have and does not know.
func (v *View) onExchangeResponse(e ExchangeResponse) {
	x := &v.exchange
	if !x.busy || x.id != e.ID || e.Message == nil || v.isLeaving || v.yielding {
		return
	}
	x.busy = false
	if e.Message.RetryAfterMS > 0 {
		x.notBefore = v.now + time.Duration(min(e.Message.RetryAfterMS, 10000))*time.Millisecond
		if !v.joined { // another may have time
			for i := range e.Message.Records {
				if r := &e.Message.Records[i]; r.check() == nil && r.Addr != v.settings.Addr && !slices.Contains(x.joinAddrs, r.Addr) && len(x.joinAddrs) < maxJoinAddrs {
					x.joinAddrs = append(x.joinAddrs, r.Addr)
				}
			}
			x.notBefore = v.now + v.randomUpTo(200*time.Millisecond)
		}
		x.scheduleIn(v, 0)
		return
	}
	parts := x.buckets
	if !v.joined {
		v.joined = true
		v.emit(SaveView{})
	}
	theirs := make(map[string]*Record, len(e.Message.Records))
	for i := range e.Message.Records {
		theirs[e.Message.Records[i].Name] = &e.Message.Records[i]
	}
	v.mergeAll(e.Message, "exchange")
	want := make([]bool, parts)
	for _, p := range e.Message.WantedBuckets {
		if int(p) < parts {
			want[p] = true
		}
	}
	last := &Exchange{From: v.settings.Name, Boot: v.self.Boot, RunID: v.self.RunID}
	for _, n := range v.sortedNames {
		m := v.members[n]
		if t := theirs[n]; want[bucketOf(n, parts)] && (t == nil || m.newer(t)) {
			last.Records = append(last.Records, v.outgoingRecord(m))
		}
	}
	if len(last.Records) > 0 {
		v.chargeStream(last, v.remoteAddrs[x.to] != nil)
		v.emit(FinishExchange{ID: e.ID, Message: last})
	} else {
		v.emit(FinishExchange{ID: e.ID})
	}
}

func (v *View) mergeAll(x *Exchange, why string) {
	if x == nil || v.isLeaving || v.yielding {
		return
	}
	for _, r := range x.Records {
		// What the other holds for dead may be alive on this side of a link that was broken: it is accused, so
		// that it can refute.
		if m := v.members[r.Name]; m != nil && r.State == Dead && m.State <= Suspect && r.RunID == m.RunID && !v.isRemote(m) {
			r.State, r.Reporter, r.AgeSeconds = Suspect, x.From, 0
		}
		v.merge(r, why)
	}
}

// reconnectDue tries silent members again: all that are alive together each silent one about once a second. So a
// partition heals by itself, with no seed and no operator. After ten minutes it is a fifth of that.
func (v *View) reconnectDue() {
	if v.now >= v.reconnectAt {
		rate := min(maxReconnectsPerSecond, float64(len(v.localRegion.dead))/float64(len(v.localRegion.live)+1))
		if rate > 0 {
			v.reconnectAt = v.now + time.Duration((0.5+v.rng.Float64())/rate*float64(time.Second))
			m := v.localRegion.dead[v.rng.IntN(len(v.localRegion.dead))]
			if age := v.now - m.stateSince; age < v.settings.ReconnectFor && (age < 10*time.Minute || v.rng.IntN(5) == 0) {
				v.send(m.Addr, &Message{Kind: Ping, Seq: v.nextSeq(), Target: m.Name}, reserveForProbes, m)
			}
		} else {
			v.reconnectAt = v.now + 500*time.Millisecond + v.randomUpTo(500*time.Millisecond)
		}
	}
	// Seeds and last life's members that nobody is at: two fleets that came up apart meet there. Each is tried
	// twice soon after the start, and then now and then.
	if v.now < v.seedRetryAt {
		return
	}
	x := &v.exchange
	doors := v.settings.Seeds
	if v.seedRetryAt = v.now + time.Duration(0.75*float64(5*time.Second)*float64(len(v.live)+1)) + v.randomUpTo(2500*time.Millisecond); len(x.retryAddrs) > 0 {
		doors = x.retryAddrs[:1]
		x.retryAddrs = x.retryAddrs[1:]
		v.seedRetryAt = v.now + joinRetryInterval/2 + v.randomUpTo(joinRetryInterval/2)
	}
	if !v.joined || x.busy || len(doors) == 0 {
		return
	}
	if s := doors[v.rng.IntN(len(doors))]; s != v.settings.Addr && !v.hasLiveMemberAt(s) {
		x.requestWith(v, s)
	}
}

// hasLiveMemberAt reports whether a member that is alive has this address.
func (v *View) hasLiveMemberAt(addr string) bool {
	for _, m := range v.live {
		if m.Addr == addr {
			return true
		}
	}
	return false
}
