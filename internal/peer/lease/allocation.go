package lease

import "time"

const (
	// rotationTerms is the number of terms after which the remainder of an uneven division is given to other holders. A
	// smaller number moves leases more often, and each lease that moves is unused for up to a second.
	rotationTerms = 2
	// overcommitInterval is the time between two changes of the overcommitment, and overcommitStep the fraction of
	// the unused share by which it changes. This is an integral controller that is slower than the random variation
	// of demand.
	overcommitInterval = 100 * time.Millisecond
	overcommitStep     = 0.05
)

// divide divides the server's share among holders: first the amounts that they need, or a proportional part of these
// if the share is too small; then what each holder desires beyond its need; then half of the remainder, in proportion
// to the desired amounts. The other half remains for new holders. The division is proportional and not max-min fair,
// because a request at a busy agent has no less value than one at another agent.
func (r *serverRow) divide(now time.Duration, l *serverLimit) {
	active, used := r.activeHolders(now, l)
	r.adjustOvercommit(now, l, used)
	remaining := l.share + int(r.overcommit*float64(l.share))
	remaining -= spread(remaining, active, func(h *holder) int { return h.need })
	remaining -= spread(remaining, active, func(h *holder) int { return h.desired - h.need })
	desired := 0
	for _, h := range active {
		desired += h.desired
	}
	for _, h := range active {
		if remaining > 0 {
			h.share += int(float64(remaining) / 2 * float64(h.desired) / float64(desired))
		}
	}
}

// activeHolders returns the holders that requested an amount within the last term, and the sum of what they use. The
// order of the holders rotates with time and differs between servers, so that different holders come first if the
// share is smaller than the number of holders. It resets the shares of all holders.
func (r *serverRow) activeHolders(now time.Duration, l *serverLimit) (active []*holder, used int) {
	rotation := int(now/(rotationTerms*l.settings.Term))*len(l.settings.Servers) + l.position
	first := rotation * max(1, l.share) % max(1, len(r.order))
	for n := range r.order {
		h := r.holders[r.order[(n+first)%len(r.order)]]
		h.share = 0
		if now-h.requestedAt < l.settings.Term && h.desired > 0 {
			active = append(active, h)
			used += h.used
		}
	}
	return active, used
}

// adjustOvercommit adjusts the overcommitment of a soft limit such that the use approaches the server's share. Full
// use of the share requires that more than the share is leased, since leases are never all in use at once.
func (r *serverRow) adjustOvercommit(now time.Duration, l *serverLimit, used int) {
	if l.Hard || now-r.overcommitAt < overcommitInterval {
		return
	}
	r.overcommitAt = now
	change := overcommitStep * float64(l.share-used) / float64(max(1, l.share))
	r.overcommit = min(MaxOvercommit, max(0, r.overcommit+change))
}

// spread adds to each holder's share the amount that wanted returns for it. If the total is too small for that, it
// adds proportional parts: at least one to each holder as far as the total suffices, and the remainder of the division
// to the first holders. It returns the amount that it added.
func spread(total int, holders []*holder, wanted func(*holder) int) (added int) {
	sum := 0
	for _, h := range holders {
		sum += max(0, wanted(h))
	}
	if sum <= total {
		for _, h := range holders {
			h.share += max(0, wanted(h))
		}
		return sum
	}
	if total <= 0 {
		return 0
	}
	for n, amount := range divideProportionally(total, holders, wanted) {
		holders[n].share += amount
		added += amount
	}
	return added
}

// divideProportionally divides a total that is smaller than the sum of the wanted amounts. It returns the amount for
// each holder.
func divideProportionally(total int, holders []*holder, wanted func(*holder) int) []int {
	amounts := make([]int, len(holders))
	remaining := total
	wantedBesides := 0
	for n, h := range holders { // one for each holder first
		if wanted(h) > 0 && remaining > 0 {
			amounts[n] = 1
			remaining--
		}
		wantedBesides += max(0, wanted(h)-1)
	}
	if wantedBesides > 0 {
		proportional := remaining
		for n, h := range holders {
			more := int(float64(proportional) * float64(max(0, wanted(h)-1)) / float64(wantedBesides))
			amounts[n] += more
			remaining -= more
		}
	}
	for n, h := range holders {
		if remaining > 0 && amounts[n] < wanted(h) {
			amounts[n]++
			remaining--
		}
	}
	return amounts
}
