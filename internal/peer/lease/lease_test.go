package lease

import (
	"slices"
	"testing"
	"time"

	"vetchhaven/decide/quota"
)

func TestBoundsFollowTheFormulas(t *testing.T) {
	hard := testSettings(100, quota.Requests, "a", "b", "c")
	soft := testSettings(100, quota.Requests, "a", "b", "c")
	soft.Limits[0].Hard = false

	t.Run("hard", func(t *testing.T) {
		b := hard.Bounds(hard.Limits[0], 10)
		if b.MaxUsed != 100 || b.IsolatedAmount != 0 || !slices.Equal(b.Shares, []int{34, 33, 33}) {
			t.Errorf("%+v", b)
		}
	})
	t.Run("soft", func(t *testing.T) {
		b := soft.Bounds(soft.Limits[0], 10)
		// Leased: 34 + 8, 33 + 8, 33 + 8; floors: 100 x 0.25 / 10 = 2 each.
		if b.MaxLeased != 124 || b.IsolatedAmount != 2 || b.MaxUsed != 144 {
			t.Errorf("%+v", b)
		}
	})
	t.Run("soft, a quarter of one a second for each agent", func(t *testing.T) {
		b := soft.Bounds(soft.Limits[0], 100)
		if b.IsolatedAmount != 1 || b.IsolatedSpan < 4*time.Second {
			t.Errorf("%+v", b)
		}
	})
}

func TestSettingsOutOfRangeAreRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
	}{
		{"no server", Settings{}},
		{"a term shorter than four renewals", Settings{Servers: []string{"a"}, Term: time.Millisecond}},
		{"a limit of nothing", testSettings(0, quota.InFlight, "a")},
		{"too much clock drift", Settings{Servers: []string{"a"}, ClockDrift: 0.9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := NewClient(c.settings, "x", 1); err == nil {
				t.Errorf("%+v is accepted", c.settings)
			}
		})
	}
}
