package membership

import "time"

// roundTrip estimates a round-trip time from the answers to probes, as a smoothed mean and a mean deviation (Jacobson,
// 1988; RFC 6298). It uses only this member's clock. The view keeps one for each member, so it is small: 12 bytes.
type roundTrip struct {
	mean, deviation float32 // seconds; a mean of 0 means that there is no estimate
	measuredAt      float32 // View.now of the last measurement, in seconds
}

const (
	// unknownRoundTripTimeout is the timeout for a member without any estimate: a round trip of 250 ms, as between
	// continents, plus a fifth. With a shorter timeout, remote members are suspected before their first answer.
	unknownRoundTripTimeout = 300 * time.Millisecond
	// maxRoundTripTimeout bounds the timeout of a probe, unless ProbeTimeout is longer. A longer bound delays the
	// detection of crashes of remote members.
	maxRoundTripTimeout = time.Second
	// roundTripFreshSeconds is the time for which only a member's own estimate is used; after that, the estimate of its
	// locality is used too.
	roundTripFreshSeconds = 60
	// maxLocalities is the maximum number of zones and regions with an estimate.
	maxLocalities = 256

	// Parameters of the estimator, from RFC 6298.
	meanGain          = 1.0 / 8
	deviationGain     = 1.0 / 4
	deviationsAllowed = 4
)

// observe adds a round-trip time measured at now to the estimate.
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

// timeout returns how long an answer may take: the mean plus four deviations.
func (r *roundTrip) timeout() time.Duration {
	return time.Duration(float64(r.mean+deviationsAllowed*r.deviation) * float64(time.Second))
}

// average returns the smoothed mean.
func (r *roundTrip) average() time.Duration {
	return time.Duration(float64(r.mean) * float64(time.Second))
}

// locality is a zone of a region or, with an empty zone, the whole region. Round trips to the members of a locality are
// expected to be similar.
type locality struct{ region, zone string }

// localitiesOf returns the localities of a member: its zone, then its region.
func localitiesOf(m *member) [2]locality {
	return [2]locality{{m.Region, m.Zone}, {m.Region, ""}}
}

// recordRoundTrip adds a member's round-trip time to its own estimate and to those of its localities.
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
			break // both localities are the same
		}
	}
}

// roundTripTimeout returns how long an answer of a member may take, by the estimate for the member, else for its zone,
// else for its region.
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

// probeTimeout returns how long a direct probe of a member waits for its ack.
func (v *View) probeTimeout(m *member) time.Duration {
	return max(v.settings.ProbeTimeout, v.roundTripTimeout(m))
}

// indirectTimeout returns how long a probe waits for an ack through helpers. It includes the time that a helper waits
// for the member, and the round trip between this member and the helper.
func (v *View) indirectTimeout(m *member, helpers []*member) time.Duration {
	timeout := v.settings.IndirectTimeout
	for _, h := range helpers {
		toHelper := v.roundTripTimeout(h)
		timeout = max(timeout, max(v.probeTimeout(m), toHelper)+toHelper)
	}
	return timeout
}

// timedOutProbe is a ping whose ack did not arrive in time. The round-trip time is measured even if the ack is late.
// Otherwise the estimate would never adapt to a path that has become longer than the timeout.
type timedOutProbe struct {
	seq    uint32
	target string
	sentAt time.Duration
}

const (
	maxTimedOutProbes = 64              // maximum length of View.timedOut: 6 s of probes during a partition
	timedOutProbeTTL  = 5 * time.Second // acks later than this are not measured
)

func (v *View) rememberTimedOut(p timedOutProbe) {
	if len(v.timedOut) >= maxTimedOutProbes {
		v.timedOut = append(v.timedOut[:0], v.timedOut[1:]...)
	}
	v.timedOut = append(v.timedOut, p)
}

// onLateAck measures the round-trip time of an ack that arrived late. Acks through helpers are ignored, because their
// path is a different one.
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
