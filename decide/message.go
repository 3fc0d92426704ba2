package decide

import (
	"encoding/binary"
	"math"
	"time"
)

// What agents send one another, and how it is put into at most maxMessageBytes. Nothing is decided here.

const (
	// maxMessageBytes bounds a message.
	maxMessageBytes = 256
	// messageHeaderBytes is the size of demand and delay, before the observations.
	messageHeaderBytes = 8
	// observationBytes is the size of an observation: 3 of the hash, 1 of the value, 1 of the age.
	observationBytes = 5
	// slownessSteps is the number of value steps for one expected latency: 8 of these fit below
	// observedOverdue.
	slownessSteps = 31.0
	// observedOverdue is the value of an attempt found overdue.
	observedOverdue = 254
	// observedFailure is the value of an attempt that failed.
	observedFailure = 255
	// ageSteps is the number of age steps in an interval: an observation is dropped after eight intervals.
	ageSteps = 32
)

// observation is one outcome at a backend: its latency as a multiple of the expected one in steps of
// 1/slownessSteps, or observedOverdue or observedFailure.
type observation struct {
	hash  uint32 // of the backend's ID, see hashID
	value byte
	at    time.Duration
}

// peerMessage is a message between agents.
type peerMessage struct {
	demand       float64 // work that the sender's clients ask for, ns
	delay        float64 // running mean of latency over objective
	observations []observation
}

// encode writes the header and as many observations as fit, failures first and the newest first. Ages are in
// steps of an interval, rounded up, so that no observation grows younger on its way.
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

// decode reads a message. ok is false where the header is short or holds no numbers.
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

// isFloat32 reports whether a number is one that encode writes: neither negative, infinite nor NaN.
func isFloat32(x float64) bool { return x >= 0 && x <= math.MaxFloat32 }

// hashID is a short hash (FNV-1a) of a backend's ID, of 24 bits; two backends that share one share their
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
	// IDs differ in their last bytes: the finalizer of MurmurHash3 spreads that over all bits.
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return (h ^ h>>16) >> 8
}
