package core

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLogThrottleCountsWhatItLeavesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var throttle LogThrottle
		if skipped, ok := throttle.Allow(); !ok || skipped != 0 {
			t.Errorf("first line: %d, %t", skipped, ok)
		}
		for range 500 {
			if _, ok := throttle.Allow(); ok {
				t.Error("a second line within the interval")
			}
		}
		time.Sleep(logInterval)
		if skipped, ok := throttle.Allow(); !ok || skipped != 500 {
			t.Errorf("next line: %d, %t", skipped, ok)
		}
	})
}
