package decide

import (
	"encoding/binary"
	"math"
	"time"
)

// This file holds the messages between agents and their encoding in at most maxMessageBytes bytes. It makes
// no decisions.

const (
	// maxMessageBytes is the largest size of a message.
	maxMessageBytes = 256
	// messageHeaderBytes is the size of demand and delay, which precede the observations.
	messageHeaderBytes = 8
	// observationBytes is the size of an observation: 3 bytes for the hash, 1 for the value, 1 for the age.
	observationBytes = 5
	// slownessSteps is the number of steps of an observation's value per expected latency: 8 expected
	// latencies fit below observedOverdue.
	slownessSteps = 31.0
	// observedOverdue is the value for an attempt that is overdue.
	observedOverdue = 254
	// observedFailure is the value for an attempt that failed.
	observedFailure = 255
	// ageSteps is the number of steps of an observation's age per reporting interval. The age is one byte, so
	// that an observation is dropped after eight intervals.
	ageSteps = 32
)

// observation is one outcome at a backend. Its value is observedOverdue, observedFailure, or the latency as a
// multiple of the expected latency, in steps of 1/slownessSteps.
type observation struct {
	hash  uint32 // of the backend's ID, see hashID
	value byte
	at    time.Duration
}

// peerMessage is a message between agents.
type peerMessage struct {
	demand       float64 // work that the sender's clients request, ns
	delay        float64 // running mean of latency divided by objective
	observations []observation
}

// encode writes the header and as many observations as fit: failures first, and the newest first. Ages are
// counted in steps of an interval and rounded up, so that an observation never becomes younger in transit.
func (m peerMessage) encode(now, interval time.Duration) []byte {
	data := make([]byte, 0, maxMessageBytes)
	data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(m.demand)))
	data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(m.delay)))
	for _, failures := range []bool{true, false} {
		for i := len(m.observations) - 1; i >= 0 && len(data)+observationBytes <= maxMessageBytes; i-- {
			o := m.observations[i]
			age := (now-o.at)*ageSteps/interval + 1
			if age > math.MaxUint8 || (o.value == observedFailure) != failures {
				continue
			}
			data = binary.BigEndian.AppendUint32(data, o.hash<<8|uint32(o.value))
			data = append(data, byte(age))
		}
	}
	return data
}

// decode reads a message. ok is false if the header is too short or holds invalid numbers.
func decode(data []byte, now, interval time.Duration) (m peerMessage, ok bool) {
	if len(data) < messageHeaderBytes {
		return m, false
	}
	m.demand = float64(math.Float32frombits(binary.BigEndian.Uint32(data)))
	m.delay = float64(math.Float32frombits(binary.BigEndian.Uint32(data[4:])))
	for data = data[messageHeaderBytes:]; len(data) >= observationBytes; data = data[observationBytes:] {
		age := time.Duration(data[4]) * interval / ageSteps
		m.observations = append(m.observations, observation{
			hash:  binary.BigEndian.Uint32(data) >> 8,
			value: data[3],
			at:    now - age,
		})
	}
	return m, isFloat32(m.demand) && isFloat32(m.delay)
}

// isFloat32 reports whether a number is valid in a message: not negative, infinite or NaN.
func isFloat32(x float64) bool { return x >= 0 && x <= math.MaxFloat32 }

// hashID returns a 24-bit hash (FNV-1a) of a backend's ID. Two backends with the same hash share their
// observations.
func hashID(id string) uint32 {
	const (
		offsetBasis = 2166136261
		prime       = 16777619
	)
	h := uint32(offsetBasis)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * prime
	}
	// IDs differ mostly in their last bytes. The finalizer of MurmurHash3 spreads the difference over all
	// bits.
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return (h ^ h>>16) >> 8
}
