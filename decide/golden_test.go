package decide

import (
	"testing"
	"time"

	"vetchhaven/internal/testkit/golden"
)

// The encoding of messages to peers must stay compatible with that of earlier builds.
func TestPeerMessageEncodingIsStable(t *testing.T) {
	const now, unit = time.Hour, time.Second
	m := peerMessage{demand: 12.5, delay: 0.25}
	for i := range 60 {
		m.observations = append(m.observations, observation{hashID("10.18.74.7:" + string(rune('0'+i))), byte(i * 4), now - time.Duration(60-i)*30*time.Millisecond})
	}
	m.observations = append(m.observations, observation{hashID("failed"), observedFailure, now - unit}, observation{hashID("late"), observedOverdue, now - unit/2})
	data := m.encode(now, unit)
	golden.Check(t, "message.bin", data)
	read, ok := decode(data, now, unit)
	if !ok {
		t.Fatal("the message can't be decoded")
	}
	golden.Check(t, "message.values", golden.Values(read))
}
