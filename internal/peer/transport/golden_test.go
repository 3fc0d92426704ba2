package transport

import (
	"bytes"
	"testing"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/testkit/golden"
)

const goldenFleet = "census"

// Each kind of datagram is encoded and decoded as in earlier builds.
func TestDatagramsAreEncodedAsByEarlierBuilds(t *testing.T) {
	golden.Codec[membership.Message]{Name: "view-message.bin",
		Encode: func(m membership.Message) ([]byte, error) { return encodeMembership(goldenFleet, &m) },
		Decode: func(data []byte) (m membership.Message, err error) { return m, decodeMembership(goldenFleet, data, &m) },
	}.Check(t)
	shared := func(name string) golden.Codec[sharedPacket] {
		return golden.Codec[sharedPacket]{Name: name,
			Encode: func(p sharedPacket) ([]byte, error) { return encodeEnvelope(sharedFormat, goldenFleet, &p) },
			Decode: func(data []byte) (p sharedPacket, err error) {
				return p, decodeEnvelope(sharedFormat, goldenFleet, data, &p)
			},
		}
	}
	shared("shared-packet.bin").Check(t)
	golden.Codec[policyPacket]{Name: "policy-packet.bin",
		Encode: func(p policyPacket) ([]byte, error) { return encodeEnvelope(policyFormat, goldenFleet, &p) },
		Decode: func(data []byte) (p policyPacket, err error) {
			return p, decodeEnvelope(policyFormat, goldenFleet, data, &p)
		},
	}.Check(t)
}

// Wire encodes each kind of message as a member sends it.
func TestMessageKindsAreEncodedAsByEarlierBuilds(t *testing.T) {
	wire := Wire{Fleet: goldenFleet}
	for name, message := range map[string]any{
		"wire-message.bin":  &membership.Message{},
		"wire-exchange.bin": &membership.Exchange{},
		"wire-outlier.bin":  &ejection.Message{},
		"wire-ask.bin":      &lease.Request{},
		"wire-grant.bin":    &lease.Grant{},
	} {
		golden.Fill(message)
		data, err := wire.Marshal("host-1", message)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, data)
		back, err := wire.Unmarshal(golden.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		again, err := wire.Marshal("host-1", back)
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s: decoding and encoding again gives other bytes: %v", name, err)
		}
	}
}

// A message on a stream is encoded with its length in front, as in earlier builds.
func TestStreamMessagesAreEncodedAsByEarlierBuilds(t *testing.T) {
	golden.Codec[membership.Exchange]{Name: "exchange.bin",
		Encode: func(x membership.Exchange) ([]byte, error) {
			var out bytes.Buffer
			err := writeExchange(&out, goldenFleet, &x)
			return out.Bytes(), err
		},
		Decode: func(data []byte) (membership.Exchange, error) {
			x, err := readExchange(bytes.NewReader(data), goldenFleet)
			if err != nil {
				return membership.Exchange{}, err
			}
			return *x, nil
		},
	}.Check(t)
}

// The file peers.view holds the complete state for a successor, including leases and the state of the policy.
func TestSavedViewIsEncodedAsByEarlierBuilds(t *testing.T) {
	golden.Codec[Saved]{Name: "peers.view",
		Encode: func(s Saved) ([]byte, error) { return EncodeSaved(&s) },
		Decode: func(data []byte) (Saved, error) {
			s, err := DecodeSaved(data)
			if err != nil {
				return Saved{}, err
			}
			return *s, nil
		},
	}.Check(t)
}

// The JSON of the admin endpoint about peers and the lines of the event file keep their keys.
func TestStatusAndEventLinesKeepTheirKeys(t *testing.T) {
	golden.CheckJSON[MembershipStatus](t, "shown-view.json")
	golden.CheckJSON[LimitsStatus](t, "shown-limits.json")
	golden.CheckJSON[EjectionStatus](t, "shown-outliers.json")
	golden.CheckJSON[eventLine](t, "event-line.json")
}
