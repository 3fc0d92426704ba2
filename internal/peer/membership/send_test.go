package membership

import (
	"testing"
)

func TestSentBytesStayWithinBudgetInAStorm(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 400)
	start := v.now
	sentBytes := 0
	for range 3000 { // all members are declared dead, which is gossiped
		for _, a := range v.Step(v.Next()) {
			if s, ok := a.(Send); ok {
				sentBytes += s.Size
			}
		}
	}
	seconds := (v.now - start).Seconds()
	if limit := float64(DefaultBytesPerSecond) * (seconds + 1); float64(sentBytes) > limit {
		t.Errorf("%d bytes in %.1f s: at most %.0f are allowed", sentBytes, seconds, limit)
	}
	if sentBytes < DefaultBytesPerSecond {
		t.Errorf("%d bytes in %.1f s: too few for a storm", sentBytes, seconds)
	}
}
