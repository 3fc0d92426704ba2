package core

import (
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// What an instance stores for the next process, and what the admin endpoint shows of it.
func TestStoredMemoryAndTotalsKeepTheirFormat(t *testing.T) {
	golden.CheckJSON[Memory](t, "memory.json")
	golden.CheckJSON[Totals](t, "totals.json")
}

// A configuration with every key of the platform's page.
func TestConfigurationKeepsItsFormat(t *testing.T) {
	c, err := ParseConfig(golden.Read(t, "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "config.values", golden.Values(c))
}
