package discovery

import (
	"encoding/json"
	"testing"
)

// A list's cell 0 and a missing cell are different: two servers without a cell may be in different cells. An unknown
// cell must stay unknown when a list is saved and read again.
func TestUnknownCellIsNotCellZero(t *testing.T) {
	for text, want := range map[string]*int{
		`{"id":"s","addr":"127.0.0.1:9"}`:                       nil,
		`{"id":"s","addr":"127.0.0.1:9","cell":null}`:           nil,
		`{"id":"s","addr":"127.0.0.1:9","cell":0}`:              new(0),
		`{"id":"s","addr":"127.0.0.1:9","cell":3,"weight":1.5}`: new(3),
	} {
		var server Server
		if err := json.Unmarshal([]byte(text), &server); err != nil {
			t.Fatal(err)
		}
		expected := server
		expected.Cell = want
		if !server.Equal(expected) {
			t.Errorf("%s is read as %+v", text, server)
		}
		saved, err := json.Marshal(Update{Servers: []Server{server}})
		if err != nil {
			t.Fatal(err)
		}
		var restored Update
		if err := json.Unmarshal(saved, &restored); err != nil {
			t.Fatal(err)
		}
		if len(restored.Servers) != 1 || !restored.Servers[0].Equal(server) {
			t.Errorf("%+v is saved as %s", server, saved)
		}
	}
}

func TestEqualComparesCellsByValue(t *testing.T) {
	cells := []*int{nil, new(0), new(3)}
	for i, a := range cells {
		for j, b := range cells {
			if b != nil {
				b = new(*b)
			}
			if got := (Server{ID: "s", Cell: a}).Equal(Server{ID: "s", Cell: b}); got != (i == j) {
				t.Errorf("entries %d and %d: equal is %v", i, j, got)
			}
		}
	}
	if (Server{ID: "s", Cell: new(3)}).Equal(Server{ID: "t", Cell: new(3)}) {
		t.Error("entries of two servers are equal")
	}
}
