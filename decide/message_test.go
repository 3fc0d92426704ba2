package decide

import (
	"math"
	"testing"
	"time"
)

// A decoded message must have the numbers and observations of the original. The age of an observation may become larger
// by the encoding, but not smaller. Failures are encoded first, and observations that do not fit or are too old are
// left out.
func TestPeerMessageRoundTrip(t *testing.T) {
	const now, unit = time.Hour, time.Second
	m := peerMessage{demand: 12.5, delay: 0.25}
	for i := range 100 {
		m.observations = append(m.observations, observation{uint32(i), byte(i), now - time.Duration(100-i)*10*time.Millisecond})
	}
	m.observations[3].value = observedFailure
	m.observations = append(m.observations, observation{200, observedOverdue, now - 9*unit}) // too old
	data := m.encode(now, unit)
	if len(data) > maxMessageBytes || len(data) < maxMessageBytes-observationBytes {
		t.Errorf("the message has %d bytes", len(data))
	}
	got, ok := decode(data, now, unit)
	if !ok || got.demand != 12.5 || got.delay != 0.25 || len(got.observations) == 0 || got.observations[0].hash != 3 {
		t.Fatalf("got %v %+v", ok, got)
	}
	for _, n := range got.observations {
		was := m.observations[n.hash]
		if n.value != was.value || n.at > was.at || n.at < was.at-unit/ageSteps-1 {
			t.Errorf("observation %+v was %+v before", n, was)
		}
	}
}

func TestMalformedPeerMessageIsRejected(t *testing.T) {
	nan := peerMessage{demand: math.NaN()}.encode(0, time.Second)
	for _, data := range [][]byte{nil, {1}, make([]byte, messageHeaderBytes-1), nan, peerMessage{delay: -1}.encode(0, time.Second)} {
		if m, ok := decode(data, 0, time.Second); ok {
			t.Errorf("%v was read as %+v", data, m)
		}
	}
	if m, ok := decode(make([]byte, messageHeaderBytes+observationBytes+2), 0, time.Second); !ok || len(m.observations) != 1 {
		t.Errorf("a message with a truncated observation: %v %+v", ok, m)
	}
}
