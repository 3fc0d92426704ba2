package decide

import (
	"math"
	"testing"
	"time"
)

// A message keeps its numbers and observations; observations grow older on the way, never younger, bad news
// goes first, and what does not fit or is too old stays behind.
func TestPeerMessageRoundTrip(t *testing.T) {
	const now, unit = time.Hour, time.Second
	m := peerMessage{demand: 12.5, delay: 0.25}
	for i := range 100 {
		m.observations = append(m.observations, observation{uint32(i), byte(i), now - time.Duration(100-i)*10*time.Millisecond})
	}
	m.observations[3].value = observedFailure
	m.observations = append(m.observations, observation{200, observedOverdue, now - 9*unit}) // dead of age
	data := m.encode(now, unit)
	if len(data) > maxMessageBytes || len(data) < maxMessageBytes-observationBytes {
		t.Errorf("%d bytes", len(data))
	}
	got, ok := decode(data, now, unit)
	if !ok || got.demand != 12.5 || got.delay != 0.25 || len(got.observations) == 0 || got.observations[0].hash != 3 {
		t.Fatalf("got %v %+v", ok, got)
	}
	for _, n := range got.observations {
		was := m.observations[n.hash]
		if n.value != was.value || n.at > was.at || n.at < was.at-unit/ageSteps-1 {
			t.Errorf("note %+v was %+v", n, was)
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
		t.Errorf("a message with a torn note: %v %+v", ok, m)
	}
}
