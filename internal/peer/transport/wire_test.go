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
	w := Wire{Fleet: "f"}
	ping := &membership.Message{From: "a", Boot: 1, RunID: 2, Kind: membership.Ping, Seq: 3, Addr: "127.0.0.1:1"}
	exchange := &membership.Exchange{From: "a", Records: []membership.Record{{Name: "b", Addr: "127.0.0.1:2", Boot: 1, RunID: 5}}}
	for _, m := range []any{ping, exchange, &ejection.Message{PollNumber: 7}, &lease.Request{From: "a", Seq: 4}, &lease.Grant{From: "b", Seq: 4}} {
		data, err := w.Marshal("a", m)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := w.Unmarshal(data); err != nil || !reflect.DeepEqual(back, m) {
			t.Errorf("%+v became %+v, %v", m, back, err)
		}
	}
	sent, err := encodeMembership("f", ping)
	if data, _ := w.Marshal("a", ping); err != nil || !bytes.Equal(data, sent) {
		t.Errorf("%x, members send %x, %v", data, sent, err)
	}
	var framed bytes.Buffer
	err = writeExchange(&framed, "f", exchange)
	if data, _ := w.Marshal("a", exchange); err != nil || !bytes.Equal(data, framed.Bytes()) {
		t.Errorf("%x, members send %x, %v", data, framed.Bytes(), err)
	}
	if _, err := w.Marshal("a", 1); err == nil {
		t.Error("a number went as a message")
	}
	for _, data := range [][]byte{nil, []byte("vh"), []byte("vh\x01\x01f1234x")} {
		if m, err := w.Unmarshal(data); err == nil {
			t.Errorf("%q was read as %+v", data, m)
		}
	}
}
