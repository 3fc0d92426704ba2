package membership

import "time"

// roundTrip is what probes have shown of a way there and back: a smoothed round-trip time and its mean deviation
// (Jacobson, 1988; RFC 6298), by this member's clock alone. 16 bytes for each member.
type roundTrip struct {
	mean, deviation float32 // seconds; mean 0: nothing is known
	measuredAt      float32 // seconds, when it was last measured
}

const (
	unknownRoundTripTimeout = 300 * time.Millisecond // for one of whom nothing is known: a way there and back of 250 ms, and a fifth
	maxRoundTripTimeout     = time.Second            // a probe waits no longer than this, or than direct where that is more
	roundTripFreshSeconds   = 60                     // seconds that a member's own figure stands alone; later its place's counts too
	maxLocalities           = 256                    // zones whose distance is kept
)

func (d *roundTrip) observe(sample, now time.Duration) {
	s := float32(max(sample, time.Microsecond).Seconds())
	if d.mean == 0 {
		d.mean, d.deviation = s, s/2
	} else {
		off := s - d.mean
		d.mean += off / 8
		d.deviation += (max(off, -off) - d.deviation) / 4
	}
	d.measuredAt = float32(now.Seconds())
}

// timeout is how long an answer may take: the mean and four deviations.
func (d *roundTrip) timeout() time.Duration {
	return time.Duration(float64(d.mean+4*d.deviation) * float64(time.Second))
}

// locality is where members stand alike.
type locality struct{ region, zone string }

// recordRoundTrip takes the time that a member took to answer.
func (v *View) recordRoundTrip(m *member, took time.Duration) {
	m.roundTrip.observe(took, v.now)
	for _, at := range [...]locality{{m.Region, m.Zone}, {m.Region, ""}} {
		d := v.localities[at]
		if d == nil {
			if len(v.localities) >= maxLocalities {
				continue
			}
			d = &roundTrip{}
			v.localities[at] = d
		}
		d.observe(took, v.now)
		if m.Zone == "" {
			break
		}
	}
}

// roundTripTimeout is how long a way to a member and back takes, at the most, as far as is known: by its own answers, else by
// those of its zone, else of its region.
func (v *View) roundTripTimeout(m *member) time.Duration {
	own, seen := &m.roundTrip, m.roundTrip.mean > 0
	if seen && float32(v.now.Seconds())-own.measuredAt < roundTripFreshSeconds {
		return min(own.timeout(), maxRoundTripTimeout)
	}
	for _, at := range [...]locality{{m.Region, m.Zone}, {m.Region, ""}} {
		if d := v.localities[at]; d != nil {
			if seen {
				return min(max(own.timeout(), d.timeout()), maxRoundTripTimeout)
			}
			return min(d.timeout(), maxRoundTripTimeout)
		}
	}
	if seen {
		return min(own.timeout(), maxRoundTripTimeout)
	}
	return max(unknownRoundTripTimeout, v.settings.ProbeTimeout)
}

// probeTimeout is how long a probe of a member waits for its own answer.
func (v *View) probeTimeout(m *member) time.Duration {
	return max(v.settings.ProbeTimeout, v.roundTripTimeout(m))
}

// indirectTimeout is how long it then waits for a helper's: the helper waits itself, and its word has its own way.
func (v *View) indirectTimeout(m *member, helpers []*member) time.Duration {
	wait := v.settings.IndirectTimeout
	for _, h := range helpers {
		way := v.roundTripTimeout(h)
		wait = max(wait, max(v.probeTimeout(m), way)+way)
	}
	return wait
}

// timedOutProbe is a question that was given up. If its answer comes all the same, it tells the distance.
type timedOutProbe struct {
	seq    uint32
	target string
	sentAt time.Duration
}

const (
	maxTimedOutProbes = 64
	timedOutProbeTTL  = 5 * time.Second
)

func (v *View) rememberTimedOut(seq uint32, target string, at time.Duration) {
	if len(v.timedOut) >= maxTimedOutProbes {
		v.timedOut = append(v.timedOut[:0], v.timedOut[1:]...)
	}
	v.timedOut = append(v.timedOut, timedOutProbe{seq, target, at})
}

// onLateAck takes the distance from an answer to a question that was given up.
func (v *View) onLateAck(m *Message) {
	for i, l := range v.timedOut {
		if l.seq == m.Seq && l.target == m.Target && m.From == m.Target {
			v.timedOut = append(v.timedOut[:i], v.timedOut[i+1:]...)
			if t := v.members[l.target]; t != nil && v.now-l.sentAt < timedOutProbeTTL {
				v.recordRoundTrip(t, v.now-l.sentAt)
			}
			return
		}
	}
}
