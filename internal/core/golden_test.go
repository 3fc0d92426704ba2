package core

import (
	"encoding/json"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// What an instance stores for the next process, and what the admin endpoint shows of it.
func TestStoredMemoryAndTotalsKeepTheirFormat(t *testing.T) {
	checkJSON[Memory](t, "memory.json")
	checkJSON[Totals](t, "totals.json")
}

func checkJSON[T any](t *testing.T, name string) {
	t.Helper()
	golden.Codec[T]{Name: name,
		Encode: func(v T) ([]byte, error) { return json.MarshalIndent(v, "", " ") },
		Decode: func(data []byte) (v T, err error) { return v, json.Unmarshal(data, &v) },
	}.Check(t)
}

// A configuration with every key of the platform's page.
func TestConfigurationKeepsItsFormat(t *testing.T) {
	c, err := ParseConfig(golden.Read(t, "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "config.values", golden.Values(c))
}
