package membership

import (
	"slices"
	"time"
)

// A member joins the fleet by an exchange with any of several addresses: the operator's seeds and the members of its
// last run. Some of these members may have left or moved in the meantime; one successful exchange is sufficient.

const (
	// maxJoinAddrs is the maximum number of addresses through which a member tries to join.
	maxJoinAddrs = 64
	// joinTimeout is the timeout for each address. A longer one delays the join if some members are behind a
	// partition.
	joinTimeout = time.Second
	// referralJitter bounds the random delay before a member contacts the members that it was referred to.
	referralJitter = 200 * time.Millisecond

	// joinBackoff doubles with each round through all addresses, up to maxJoinBackoff, with jitter.
	joinBackoff        = 250 * time.Millisecond
	maxJoinBackoff     = 8 * time.Second
	maxJoinBackoffBits = 6
	joinBackoffJitter  = 500 * time.Millisecond

	// minJoinRounds is the number of unsuccessful rounds after which a member that others have contacted counts as
	// joined: the members that contacted it are its fleet.
	minJoinRounds = 2

	// joinRetryInterval is the time between two attempts, after joining, at addresses without a live member in the view.
	joinRetryInterval = time.Second

	// seedRetryInterval is the mean time between two such attempts after each address has been tried twice. It holds
	// for all live members together: each of them makes fewer attempts in a larger fleet.
	seedRetryInterval = 5 * time.Second
	seedRetryJitter   = 2500 * time.Millisecond

	// maxReconnectsPerSecond is the maximum number of dead members that one member contacts in a second.
	maxReconnectsPerSecond = 2.0
	// reconnectIdleDelay is the time until a member without dead members in its region checks again, with the same amount
	// of jitter.
	reconnectIdleDelay = 500 * time.Millisecond
	// slowReconnectAfter is the time after its death from which a member is contacted less often: one of
	// slowReconnectDivisor attempts is made.
	slowReconnectAfter   = 10 * time.Minute
	slowReconnectDivisor = 5
)

// collectJoinAddrs collects the addresses through which this member tries to join the fleet.
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

// nextJoinAddr returns the next address to join through. It returns "" if this member waits before the next round or
// has joined.
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

// reconnectDead contacts a dead member of this region. All live members together contact each dead member about once a
// second, and a fifth as often after ten minutes, so that a partition heals without a seed or an operator.
func (v *View) reconnectDead() {
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

// retrySeeds opens an exchange with an address at which the view has no live member, so that two fleets that started
// separately merge. Seeds and members of the last run are each contacted twice soon after the start; later only seeds
// are contacted, at a lower rate.
func (v *View) retrySeeds() {
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

// seedRetryDelay returns the minimum time between two attempts of one member to contact a seed. live is the number of
// other live members.
func seedRetryDelay(live int) time.Duration {
	return time.Duration(0.75 * float64(seedRetryInterval) * float64(live+1))
}

// hasLiveMemberAt reports whether a live member has this address.
func (v *View) hasLiveMemberAt(addr string) bool {
	return slices.ContainsFunc(v.live, func(m *member) bool { return m.Addr == addr })
}
