package transport

import (
	"bytes"
	"reflect"
	"testing"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

func TestWireEncodesAsMembersDo(t *testing.T) {
	wire := Wire{Fleet: "f"}
	ping := &membership.Message{From: "a", Boot: 1, RunID: 2, Kind: membership.Ping, Seq: 3, Addr: "127.0.0.1:1"}
	exchange := &membership.Exchange{From: "a", Records: []membership.Record{{Name: "b", Addr: "127.0.0.1:2", Boot: 1, RunID: 5}}}
	for _, c := range []struct {
		name    string
		message any
	}{
		{"datagram of the view", ping},
		{"exchange", exchange},
		{"ejection", &ejection.Message{PollNumber: 7}},
		{"lease request", &lease.Request{From: "a", Seq: 4}},
		{"lease grant", &lease.Grant{From: "b", Seq: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := wire.Marshal("a", c.message)
			if err != nil {
				t.Fatal(err)
			}
			if back, err := wire.Unmarshal(data); err != nil || !reflect.DeepEqual(back, c.message) {
				t.Errorf("%+v decoded as %+v, %v", c.message, back, err)
			}
		})
	}
	t.Run("a datagram is what members send", func(t *testing.T) {
		sent, err := encodeMembership("f", ping)
		if data, _ := wire.Marshal("a", ping); err != nil || !bytes.Equal(data, sent) {
			t.Errorf("%x, members send %x, %v", data, sent, err)
		}
	})
	t.Run("an exchange is what members send", func(t *testing.T) {
		var sent bytes.Buffer
		err := writeExchange(&sent, "f", exchange)
		if data, _ := wire.Marshal("a", exchange); err != nil || !bytes.Equal(data, sent.Bytes()) {
			t.Errorf("%x, members send %x, %v", data, sent.Bytes(), err)
		}
	})
}

func TestWireRejectsInvalidMessages(t *testing.T) {
	wire := Wire{Fleet: "f"}
	if _, err := wire.Marshal("a", 1); err == nil {
		t.Error("a number was encoded as a message")
	}
	for _, data := range [][]byte{nil, []byte("vh"), []byte("vh\x01\x01f1234x")} {
		if m, err := wire.Unmarshal(data); err == nil {
			t.Errorf("%q was decoded as %+v", data, m)
		}
	}
}
