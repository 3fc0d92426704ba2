package membership

import "time"

// roundTrip estimates a round-trip time from the answers to probes: a smoothed mean and its mean deviation (Jacobson,
// 1988; RFC 6298), by this member's clock alone. It is kept for each member, so it is small: 12 bytes.
type roundTrip struct {
	mean, deviation float32 // seconds; a mean of 0: nothing is known
	measuredAt      float32 // seconds, by View.now
}

const (
	// unknownRoundTripTimeout is the timeout of a member of which nothing is known: a round trip of 250 ms, between
	// continents, and a fifth more. Shorter suspects remote members before their first answer.
	unknownRoundTripTimeout = 300 * time.Millisecond
	// maxRoundTripTimeout bounds the timeout of a probe, unless ProbeTimeout is longer. Longer finds crashes of remote
	// members later.
	maxRoundTripTimeout = time.Second
	// roundTripFreshSeconds is how long a member's own estimate is used alone; later its locality's counts too.
	roundTripFreshSeconds = 60
	// maxLocalities bounds the zones and regions whose round trips are kept.
	maxLocalities = 256

	// Gains of the estimator, from RFC 6298.
	meanGain          = 1.0 / 8
	deviationGain     = 1.0 / 4
	deviationsAllowed = 4
)

// observe takes one round-trip time, measured now, into the estimate.
func (r *roundTrip) observe(sample, now time.Duration) {
	seconds := float32(max(sample, time.Microsecond).Seconds())
	if r.mean == 0 {
		r.mean = seconds
		r.deviation = seconds / 2
	} else {
		difference := seconds - r.mean
		r.mean += difference * meanGain
		r.deviation += (max(difference, -difference) - r.deviation) * deviationGain
	}
	r.measuredAt = float32(now.Seconds())
}

// timeout is how long an answer may take: the mean and four deviations.
func (r *roundTrip) timeout() time.Duration {
	return time.Duration(float64(r.mean+deviationsAllowed*r.deviation) * float64(time.Second))
}

// average is the smoothed mean.
func (r *roundTrip) average() time.Duration {
	return time.Duration(float64(r.mean) * float64(time.Second))
}

// locality is a zone of a region, or with an empty zone the whole region: members of one are about equally far away.
type locality struct{ region, zone string }

// localitiesOf are a member's zone and region, the narrower one first.
func localitiesOf(m *member) [2]locality {
	return [2]locality{{m.Region, m.Zone}, {m.Region, ""}}
}

// recordRoundTrip takes a round-trip time of a member into its own estimate and its localities'.
func (v *View) recordRoundTrip(m *member, sample time.Duration) {
	m.roundTrip.observe(sample, v.now)
	for _, at := range localitiesOf(m) {
		estimate := v.localities[at]
		if estimate == nil {
			if len(v.localities) >= maxLocalities {
				continue
			}
			estimate = &roundTrip{}
			v.localities[at] = estimate
		}
		estimate.observe(sample, v.now)
		if m.Zone == "" {
			break // both localities are the same one
		}
	}
}

// roundTripTimeout is how long an answer of a member may take, as far as is known: by its own answers, else by its
// zone's, else by its region's.
func (v *View) roundTripTimeout(m *member) time.Duration {
	own := &m.roundTrip
	known := own.mean > 0
	if known && float32(v.now.Seconds())-own.measuredAt < roundTripFreshSeconds {
		return min(own.timeout(), maxRoundTripTimeout)
	}
	for _, at := range localitiesOf(m) {
		estimate := v.localities[at]
		if estimate == nil {
			continue
		}
		if known {
			return min(max(own.timeout(), estimate.timeout()), maxRoundTripTimeout)
		}
		return min(estimate.timeout(), maxRoundTripTimeout)
	}
	if known {
		return min(own.timeout(), maxRoundTripTimeout)
	}
	return max(unknownRoundTripTimeout, v.settings.ProbeTimeout)
}

// probeTimeout is how long a direct probe of a member waits for its ack.
func (v *View) probeTimeout(m *member) time.Duration {
	return max(v.settings.ProbeTimeout, v.roundTripTimeout(m))
}

// indirectTimeout is how long a probe then waits for an ack through helpers: a helper first waits for the member
// itself, and its answer takes its own way.
func (v *View) indirectTimeout(m *member, helpers []*member) time.Duration {
	timeout := v.settings.IndirectTimeout
	for _, h := range helpers {
		toHelper := v.roundTripTimeout(h)
		timeout = max(timeout, max(v.probeTimeout(m), toHelper)+toHelper)
	}
	return timeout
}

// timedOutProbe is a ping whose ack did not come in time. A late ack still tells the round-trip time: without that,
// a way that has become longer than the timeout would never be learned.
type timedOutProbe struct {
	seq    uint32
	target string
	sentAt time.Duration
}

const (
	maxTimedOutProbes = 64              // that are remembered: 6 s of probes during a partition
	timedOutProbeTTL  = 5 * time.Second // a later ack is no measurement
)

func (v *View) rememberTimedOut(p timedOutProbe) {
	if len(v.timedOut) >= maxTimedOutProbes {
		v.timedOut = append(v.timedOut[:0], v.timedOut[1:]...)
	}
	v.timedOut = append(v.timedOut, p)
}

// onLateAck measures the round-trip time of an ack that came too late. An ack through a helper tells nothing of it.
func (v *View) onLateAck(m *Message) {
	for i, p := range v.timedOut {
		if p.seq != m.Seq || p.target != m.Target || m.From != m.Target {
			continue
		}
		v.timedOut = append(v.timedOut[:i], v.timedOut[i+1:]...)
		target := v.members[p.target]
		if took := v.now - p.sentAt; target != nil && took < timedOutProbeTTL {
			v.recordRoundTrip(target, took)
		}
		return
	}
}
