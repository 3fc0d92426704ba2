package decide_test

import (
	"strings"
	"testing"

	"vetchhaven/decide"
)

func TestInvalidSettingsAreRejected(t *testing.T) {
	tests := []struct {
		name string
		edit func(*decide.Settings)
		want string
	}{
		{"no classes", func(s *decide.Settings) { s.Classes = nil }, "Classes: none"},
		{"no balancers", func(s *decide.Settings) { s.Balancers = 0 }, "Balancers: 0"},
		{"own number outside the count", func(s *decide.Settings) { s.Self, s.Peers = 1, true }, "Self: 1"},
		{"negative number", func(s *decide.Settings) { s.Self = -1 }, "Self: -1"},
		{"attempt limit below zero", func(s *decide.Settings) { s.MaxAttempts = -2 }, "MaxAttempts: -2"},
		{"drain grace below zero", func(s *decide.Settings) { s.DrainGrace = -ms }, "DrainGrace: -1ms"},
		{"slow-start share above one", func(s *decide.Settings) { s.SlowStartShare = 1.5 }, "SlowStartShare: 1.5"},
		{"unknown effect", func(s *decide.Settings) { s.Classes[2].Effect = 9 }, "Classes[2].Effect: 9"},
		{"unknown scope", func(s *decide.Settings) { s.Classes[1].Scope = 7 }, "Classes[1].Scope: 7"},
		{"no objective", func(s *decide.Settings) { s.Classes[0].Objective = 0 }, "Classes[0].Objective: 0s"},
		{"window below zero", func(s *decide.Settings) { s.Classes[3].DedupWindow = -ms }, "Classes[3].DedupWindow: -1ms"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			tt.edit(&s)
			if _, err := decide.New(s, 1); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}
