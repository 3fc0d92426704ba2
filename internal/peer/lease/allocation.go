package lease

import "time"

const (
	// rotationTerms is how many terms pass until what does not divide evenly goes to other holders. Smaller moves leases
	// more often, each of which is unused for up to a second then.
	rotationTerms = 2
	// overcommitInterval is the time between two changes of the overcommitment, and overcommitStep the share of what is
	// not used by which it changes: an integral controller, slower than demand varies by chance.
	overcommitInterval = 100 * time.Millisecond
	overcommitStep     = 0.05
)

// divide divides the server's share among holders: first what all need, or as large a share of that for each as there is;
// then what each desires besides; then half of what is left, in proportion. The rest remains for holders to come. By
// proportion, not max-min: a request is worth no less at a busy agent.
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

// activeHolders returns the holders that requested anything within the last term, and what all of them use. Where the
// share is smaller than the number of holders, the first ones change with time, and differ between servers. It resets
// the shares of all.
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

// adjustOvercommit leases a soft limit beyond its figure by as much as it takes for the figure to be used: what is leased
// is never all in use at once.
func (r *serverRow) adjustOvercommit(now time.Duration, l *serverLimit, used int) {
	if l.Hard || now-r.overcommitAt < overcommitInterval {
		return
	}
	r.overcommitAt = now
	change := overcommitStep * float64(l.share-used) / float64(max(1, l.share))
	r.overcommit = min(MaxOvercommit, max(0, r.overcommit+change))
}

// spread adds to each share what its holder wants, or an even share of that where the total is too small: at least one as
// far as the total goes, and what does not divide evenly to the first. It returns how much it added.
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

// divideProportionally divides a total that is smaller than the sum of what holders want.
func divideProportionally(total int, holders []*holder, wanted func(*holder) int) []int {
	amounts := make([]int, len(holders))
	remaining := total
	wantedBesides := 0
	for n, h := range holders { // one each
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
