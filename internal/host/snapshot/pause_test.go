package snapshot

import (
	"testing"

	"vetchhaven/internal/core"
)

// A limit holds for one that takes over at once; what is learnt holds on.
func TestAfterPause(t *testing.T) {
	s := &State{Instances: map[string]*core.Memory{"a": {Limit: 9, Classes: map[string]core.ClassMemory{"c": {Latency: 5}}}, "b": nil}}
	s.DropTransient()
	if m := s.Instances["a"]; m.Limit != 0 || m.Classes["c"].Latency != 5 {
		t.Errorf("%+v", m)
	}
}
