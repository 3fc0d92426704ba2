package membership

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

// exchange is where this member's next exchange stands. An exchange compares two views part by part and carries
// only the parts that differ: the cheap way to the same end as telling all to all.
type exchange struct {
	ask     []string // addresses to join by
	next    int      // of them
	again   []string // to be tried once more after it has joined
	rounds  int      // through them in vain
	busy    bool
	parts   int // that the other was told of
	id      uint64
	to      string
	until   time.Duration // a busy one fails
	at      time.Duration // the next is due; 0: none is
	whom    string        // with this address; empty: with anyone
	rest    time.Duration // none before this
	quietAt time.Duration
	differs time.Duration // since when digests differ; 0: they do not
}

func (x *exchange) due(v *View) time.Duration {
	switch {
	case x.busy:
		return x.until
	case x.at > 0:
		return min(max(x.at, x.rest), max(x.quietAt, x.rest))
	}
	return max(x.quietAt, x.rest)
}

// soon has one made after a wait.
func (x *exchange) soon(v *View, wait time.Duration) {
	if at := v.now + wait + v.random(50*time.Millisecond); x.at == 0 || at < x.at {
		x.at = at
	}
}

// with has one made with a certain member soon.
func (x *exchange) with(v *View, addr string) {
	if addr != "" && addr != v.s.Addr && v.joined {
		x.whom = addr
		x.soon(v, 0)
	}
}

// restFor is the time between two exchanges: longer where the digests of the parts alone are many.
func (v *View) restFor() time.Duration {
	return exchangeRest * time.Duration(max(1, len(v.order)/500))
}

// compare looks at the digest that a member tells of its view. Where it goes on to differ though all news has been
// told, something was lost on the way.
func (v *View) compare(from *member, digest uint64) {
	if digest == v.digest {
		v.settled = v.settled || v.joined
	}
	if v.isFar(from) {
		v.compareFar(from, digest)
		return
	}
	if digest == v.digest {
		v.exchange.differs = 0
		return
	}
	x := &v.exchange
	switch {
	case x.differs == 0:
		x.differs = v.now
	case v.now-x.differs >= time.Second && v.news.empty() && x.at == 0:
		x.differs = v.now
		x.with(v, from.Addr)
	}
}

// parts of a view: each holds about eight names.
func (v *View) parts() int {
	n := 1
	for n < 512 && n*8 < len(v.order) {
		n *= 2
	}
	if !v.joined {
		return 1
	}
	return n
}

func partOf(name string, parts int) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	return int(h.Sum32() % uint32(parts))
}

func (v *View) digests(parts int) []uint64 {
	all := make([]uint64, parts)
	for _, n := range v.order {
		all[partOf(n, parts)] ^= v.members[n].hash
	}
	return all
}

func (v *View) exchangeDue() {
	x := &v.exchange
	if x.busy {
		if v.now < x.until {
			return
		}
		v.onFailed(ExchangeFailed{x.id})
	}
	if v.now < x.rest || (x.at == 0 || v.now < x.at) && v.now < x.quietAt {
		return
	}
	to := x.whom
	x.at, x.whom, x.quietAt = 0, "", v.now+exchangeQuiet/2+v.random(exchangeQuiet)
	switch {
	case !v.joined:
		to = v.nextDoor()
	case to == "":
		list := v.home.live
		if len(list) == 0 {
			list = v.live
		}
		for _, m := range v.some(list, 1, func(m *member) bool { return m.State == Alive }) {
			to = m.Addr
		}
	}
	if v.farStreams.fill(v.now); to != "" && v.joined && v.farAt[to] != nil && v.farStreams.level < 0 {
		return // digests will ask for it again
	}
	if to != "" {
		v.open(to)
	}
}

func (v *View) open(to string) {
	x := &v.exchange
	x.parts = v.parts()
	m := &Exchange{From: v.s.Name, Boot: v.self.Boot, RunID: v.self.RunID, BucketDigests: v.digests(x.parts), Records: []Record{v.told(v.self)}}
	x.id++
	x.busy, x.to, x.until, x.rest = true, to, v.now+exchangeWait, v.now+v.restFor()
	if !v.joined { // half of the doors may be behind a cut: the next one is tried soon
		x.until = v.now + doorWait
	}
	v.sent.Exchanges++
	v.streamed(m, v.farAt[to] != nil)
	v.do(OpenExchange{ID: x.id, To: to, Message: m})
}

// nextDoor is the next address to join by: the operator's seeds and whoever was known in the last life, by turns.
func (v *View) nextDoor() string {
	x := &v.exchange
	if len(x.ask) == 0 {
		return ""
	}
	if x.next >= len(x.ask) {
		x.next = 0
		x.rounds++
		if v.met && x.rounds >= 2 { // others have come though none of these answers: it is them that it was to meet
			v.joined = true
			return ""
		}
		x.soon(v, min(8*time.Second, 250*time.Millisecond<<min(x.rounds, 6))/2+v.random(500*time.Millisecond))
		return ""
	}
	x.next++
	return x.ask[x.next-1]
}

func (v *View) onFailed(e ExchangeFailed) {
	x := &v.exchange
	if !x.busy || x.id != e.ID {
		return
	}
	x.busy = false
	if !v.joined {
		x.rest = v.now
		x.soon(v, 0)
	}
}

// streamed books what goes out on a stream. It may leave a debt of one message, however large: nobody else is
// answered before that is paid off, so that streams take no more a second than datagrams in the long run.
func (v *View) streamed(x *Exchange, far bool) {
	size := x.size()
	v.streams.level -= float64(size)
	v.sent.ExchangeBytes += uint64(size)
	if far {
		v.farStreams.level -= float64(size)
		v.sent.RemoteExchangeBytes += uint64(size)
	}
}

// onAsked answers another's opening, if not too many have come already: it is told when to come back.
func (v *View) onAsked(e ExchangeRequest) {
	if v.leaveState || v.standby || e.Message == nil || len(e.Message.BucketDigests) == 0 || len(e.Message.BucketDigests) > 1024 {
		v.do(ExchangeReply{Stream: e.Stream})
		return
	}
	v.streams.fill(v.now)
	v.farStreams.fill(v.now)
	list, far := v.live, false
	if len(e.Message.Records) > 0 && e.Message.Records[0].Name == e.Message.From && e.Message.Records[0].check() == nil {
		if r := v.regionOf(e.Message.Records[0].Region); len(r.live) > 0 {
			list, far = r.live, r != v.home
		}
	}
	if v.streams.level < 0 || far && v.farStreams.level < 0 {
		// Others may have time: whoever asks is told of some, so that where hundreds join, all that are in help.
		busy := &Exchange{From: v.s.Name, Boot: v.self.Boot, RunID: v.self.RunID, RetryAfterMS: uint32(200 + v.rng.IntN(800))}
		for _, m := range v.some(list, referred, func(m *member) bool { return m.State == Alive }) {
			busy.Records = append(busy.Records, v.told(m))
		}
		v.streamed(busy, far)
		v.do(ExchangeReply{Stream: e.Stream, Message: busy})
		return
	}
	x := e.Message
	v.takeAll(x, "exchange")
	parts := len(x.BucketDigests)
	own := v.digests(parts)
	answer := &Exchange{From: v.s.Name, Boot: v.self.Boot, RunID: v.self.RunID}
	differ := make([]bool, parts)
	for i := range own {
		if differ[i] = own[i] != x.BucketDigests[i]; differ[i] {
			answer.WantedBuckets = append(answer.WantedBuckets, uint16(i))
		}
	}
	for _, n := range v.order {
		if differ[partOf(n, parts)] {
			answer.Records = append(answer.Records, v.told(v.members[n]))
		}
	}
	v.streamed(answer, far)
	v.do(ExchangeReply{Stream: e.Stream, Message: answer})
	v.met = true
}

// onAnswered takes the answer, and sends back what the other would have and does not know.
func (v *View) onAnswered(e ExchangeResponse) {
	x := &v.exchange
	if !x.busy || x.id != e.ID || e.Message == nil || v.leaveState || v.standby {
		return
	}
	x.busy = false
	if e.Message.RetryAfterMS > 0 {
		x.rest = v.now + time.Duration(min(e.Message.RetryAfterMS, 10000))*time.Millisecond
		if !v.joined { // another may have time
			for i := range e.Message.Records {
				if r := &e.Message.Records[i]; r.check() == nil && r.Addr != v.s.Addr && !slices.Contains(x.ask, r.Addr) && len(x.ask) < doorsMost {
					x.ask = append(x.ask, r.Addr)
				}
			}
			x.rest = v.now + v.random(200*time.Millisecond)
		}
		x.soon(v, 0)
		return
	}
	parts := x.parts
	if !v.joined {
		v.joined = true
		v.do(SaveView{})
	}
	theirs := make(map[string]*Record, len(e.Message.Records))
	for i := range e.Message.Records {
		theirs[e.Message.Records[i].Name] = &e.Message.Records[i]
	}
	v.takeAll(e.Message, "exchange")
	want := make([]bool, parts)
	for _, p := range e.Message.WantedBuckets {
		if int(p) < parts {
			want[p] = true
		}
	}
	last := &Exchange{From: v.s.Name, Boot: v.self.Boot, RunID: v.self.RunID}
	for _, n := range v.order {
		m := v.members[n]
		if t := theirs[n]; want[partOf(n, parts)] && (t == nil || m.newer(t)) {
			last.Records = append(last.Records, v.told(m))
		}
	}
	if len(last.Records) > 0 {
		v.streamed(last, v.farAt[x.to] != nil)
		v.do(FinishExchange{ID: e.ID, Message: last})
	} else {
		v.do(FinishExchange{ID: e.ID})
	}
}

func (v *View) takeAll(x *Exchange, why string) {
	if x == nil || v.leaveState || v.standby {
		return
	}
	for _, r := range x.Records {
		// What the other holds for dead may be alive on this side of a link that was broken: it is accused, so
		// that it can refute.
		if m := v.members[r.Name]; m != nil && r.State == Dead && m.State <= Suspect && r.RunID == m.RunID && !v.isFar(m) {
			r.State, r.Reporter, r.AgeSeconds = Suspect, x.From, 0
		}
		v.merge(r, why)
	}
}

// tryDue tries silent members again: all that are alive together each silent one about once a second. So a
// partition heals by itself, with no seed and no operator. After ten minutes it is a fifth of that.
func (v *View) tryDue() {
	if v.now >= v.tryAt {
		rate := min(tryMost, float64(len(v.home.silent))/float64(len(v.home.live)+1))
		if rate > 0 {
			v.tryAt = v.now + time.Duration((0.5+v.rng.Float64())/rate*float64(time.Second))
			m := v.home.silent[v.rng.IntN(len(v.home.silent))]
			if age := v.now - m.since; age < v.s.ReconnectFor && (age < 10*time.Minute || v.rng.IntN(5) == 0) {
				v.send(m.Addr, &Message{Kind: Ping, Seq: v.nextSeq(), Target: m.Name}, forNews, m)
			}
		} else {
			v.tryAt = v.now + 500*time.Millisecond + v.random(500*time.Millisecond)
		}
	}
	// Seeds and last life's members that nobody is at: two fleets that came up apart meet there. Each is tried
	// twice soon after the start, and then now and then.
	if v.now < v.seedAt {
		return
	}
	x := &v.exchange
	doors := v.s.Seeds
	if v.seedAt = v.now + time.Duration(0.75*float64(5*time.Second)*float64(len(v.live)+1)) + v.random(2500*time.Millisecond); len(x.again) > 0 {
		doors = x.again[:1]
		x.again = x.again[1:]
		v.seedAt = v.now + againEvery/2 + v.random(againEvery/2)
	}
	if !v.joined || x.busy || len(doors) == 0 {
		return
	}
	if s := doors[v.rng.IntN(len(doors))]; s != v.s.Addr && !v.at(s) {
		x.with(v, s)
	}
}

// at reports whether a member that is alive has this address.
func (v *View) at(addr string) bool {
	for _, m := range v.live {
		if m.Addr == addr {
			return true
		}
	}
	return false
}
