package membership

import (
	"slices"
	"time"
)

// A member joins by an exchange with any address of the fleet: the operator's seeds, and the members of its last run.
// Some of these may have left or moved since; it is enough that they were there.

const (
	// maxJoinAddrs bounds the addresses by which the fleet is looked for.
	maxJoinAddrs = 64
	// joinTimeout is how long each of them is given. Longer delays the join where some are beyond a partition.
	joinTimeout = time.Second
	// referralJitter bounds the random time before a member that is referred to others contacts them.
	referralJitter = 200 * time.Millisecond

	// After each round through all addresses the member waits twice as long, with jitter.
	joinBackoff        = 250 * time.Millisecond
	maxJoinBackoff     = 8 * time.Second
	maxJoinBackoffBits = 6
	joinBackoffJitter  = 500 * time.Millisecond

	// minJoinRounds is the number of rounds after which a member that others contacted stops looking: they are the
	// fleet that it was to join.
	minJoinRounds = 2

	// joinRetryInterval is the time between two attempts at addresses where no member is known, after joining.
	joinRetryInterval = time.Second

	// seedRetryInterval is the mean time between two such attempts of one member alone, when each address has been
	// tried twice; all live members together keep about that rate.
	seedRetryInterval = 5 * time.Second
	seedRetryJitter   = 2500 * time.Millisecond

	// maxReconnectsPerSecond bounds how many dead members one member contacts in a second.
	maxReconnectsPerSecond = 2.0
	// reconnectIdleDelay, with as much jitter, is when a member without dead ones looks again.
	reconnectIdleDelay = 500 * time.Millisecond
	// slowReconnectAfter is how long after its death a member is contacted at a lower rate: one attempt in
	// slowReconnectDivisor is made.
	slowReconnectAfter   = 10 * time.Minute
	slowReconnectDivisor = 5
)

// collectJoinAddrs collects the addresses by which the fleet may be joined.
func (v *View) collectJoinAddrs() {
	exchange := &v.exchange
	exchange.joinAddrs = nil
	exchange.nextJoinAddr = 0
	exchange.joinRounds = 0
	for _, seed := range v.settings.Seeds {
		v.addJoinAddr(seed)
	}
	for _, i := range v.rng.Perm(len(v.settings.KnownMembers)) {
		r := &v.settings.KnownMembers[i]
		if r.Name != v.settings.Name && r.State != Left && r.check() == nil {
			v.addJoinAddr(r.Addr)
		}
	}
	v.shuffle(exchange.joinAddrs)
	v.joined = len(exchange.joinAddrs) == 0
	exchange.retryAddrs = append(slices.Clone(exchange.joinAddrs), exchange.joinAddrs...)
	exchange.scheduleIn(v, 0)
}

func (v *View) addJoinAddr(addr string) {
	exchange := &v.exchange
	if addr != v.settings.Addr && !slices.Contains(exchange.joinAddrs, addr) && len(exchange.joinAddrs) < maxJoinAddrs {
		exchange.joinAddrs = append(exchange.joinAddrs, addr)
	}
}

// nextJoinAddr is the next address to join by; empty: this member waits before the next round, or has joined.
func (v *View) nextJoinAddr() string {
	exchange := &v.exchange
	if len(exchange.joinAddrs) == 0 {
		return ""
	}
	if exchange.nextJoinAddr < len(exchange.joinAddrs) {
		exchange.nextJoinAddr++
		return exchange.joinAddrs[exchange.nextJoinAddr-1]
	}
	exchange.nextJoinAddr = 0
	exchange.joinRounds++
	if v.contacted && exchange.joinRounds >= minJoinRounds {
		v.joined = true
		return ""
	}
	backoff := min(maxJoinBackoff, joinBackoff<<min(exchange.joinRounds, maxJoinBackoffBits))
	exchange.scheduleIn(v, backoff/2+v.randomUpTo(joinBackoffJitter))
	return ""
}

// reconnectDue contacts a dead member of this region. All live members together contact each dead one about once a
// second, and a fifth as often after ten minutes, so that a partition heals without a seed or an operator.
func (v *View) reconnectDue() {
	if v.now < v.reconnectAt {
		return
	}
	dead := v.localRegion.dead
	rate := min(maxReconnectsPerSecond, float64(len(dead))/float64(len(v.localRegion.live)+1))
	if rate == 0 {
		v.reconnectAt = v.now + reconnectIdleDelay + v.randomUpTo(reconnectIdleDelay)
		return
	}
	v.reconnectAt = v.now + time.Duration((0.5+v.rng.Float64())/rate*float64(time.Second))
	m := dead[v.rng.IntN(len(dead))]
	age := v.now - m.stateSince
	if age >= v.settings.ReconnectFor {
		return
	}
	if age < slowReconnectAfter || v.rng.IntN(slowReconnectDivisor) == 0 {
		v.send(m.Addr, &Message{Kind: Ping, Seq: v.nextSeq(), Target: m.Name}, reserveForProbes, m)
	}
}

// seedRetryDue opens an exchange with a seed or a member of the last run where no member is known: so two fleets that
// started apart meet. Each is contacted twice soon after the start, and then seeds now and then.
func (v *View) seedRetryDue() {
	if v.now < v.seedRetryAt {
		return
	}
	exchange := &v.exchange
	addrs := v.settings.Seeds
	v.seedRetryAt = v.now + seedRetryDelay(len(v.live)) + v.randomUpTo(seedRetryJitter)
	if len(exchange.retryAddrs) > 0 {
		addrs = exchange.retryAddrs[:1]
		exchange.retryAddrs = exchange.retryAddrs[1:]
		v.seedRetryAt = v.now + joinRetryInterval/2 + v.randomUpTo(joinRetryInterval/2)
	}
	if !v.joined || exchange.busy || len(addrs) == 0 {
		return
	}
	addr := addrs[v.rng.IntN(len(addrs))]
	if addr != v.settings.Addr && !v.hasLiveMemberAt(addr) {
		exchange.requestWith(v, addr)
	}
}

// seedRetryDelay is the least time between two attempts at seeds of one of so many live members.
func seedRetryDelay(live int) time.Duration {
	return time.Duration(0.75 * float64(seedRetryInterval) * float64(live+1))
}

// hasLiveMemberAt reports whether a live member has this address.
func (v *View) hasLiveMemberAt(addr string) bool {
	return slices.ContainsFunc(v.live, func(m *member) bool { return m.Addr == addr })
}
