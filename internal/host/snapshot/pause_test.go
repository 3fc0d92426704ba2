package snapshot

import (
	"testing"

	"vetchhaven/internal/core"
)

// Limits on requests in flight may be used only by a successor that takes over without a pause in serving, so
// DropTransient removes them. It keeps the learned values.
func TestDropTransientRemovesLimitsOnly(t *testing.T) {
	s := &State{Instances: map[string]*core.LearnedState{"a": {Limit: 9, Classes: map[string]core.ClassMemory{"c": {Latency: 5}}}, "b": nil}}
	s.DropTransient()
	if m := s.Instances["a"]; m.Limit != 0 || m.Classes["c"].Latency != 5 {
		t.Errorf("%+v", m)
	}
}
