package core

import (
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The formats of LearnedState, which an instance stores for the next process, and of Totals, which the admin endpoint shows,
// must not change.
func TestStoredMemoryAndTotalsKeepTheirFormat(t *testing.T) {
	golden.CheckJSON[LearnedState](t, "memory.json")
	golden.CheckJSON[Totals](t, "totals.json")
}

// The configuration in testdata has every key that the platform's page lists.
func TestConfigurationKeepsItsFormat(t *testing.T) {
	c, err := ParseConfig(golden.Read(t, "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "config.values", golden.Values(c))
}
