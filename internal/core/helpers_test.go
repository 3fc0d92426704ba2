package core

import (
	"context"
	"testing"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

func testConfig(t *testing.T, s testkit.Setup) *Config {
	t.Helper()
	cfg, err := ParseConfig(testkit.Config(t, s), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// none is a protocol of which nothing comes.
type none struct{}

func (none) Serve(*Gate) error { return nil }
func (none) Drain(bool)        {}
func (none) Resize(int, int)   {}
func (none) Close() error      { return nil }
func (none) Open() int64       { return 0 }
func (none) Attempt(*Attempt) (decide.Result, any, decide.Load) {
	return decide.NotSent, nil, decide.Load{}
}
func (none) Probe(server string) decide.ProbeResult { return decide.ProbeResult{Backend: server} }
func (none) Update(List)                            {}
func (none) Reap(context.Context)                   {}
func (none) Shut()                                  {}

// asking is a request with the way back for its answer.
type asking struct {
	*Request
	reply chan Answer
}

func asked(id string) asking {
	reply := make(chan Answer, 2)
	return asking{NewRequest(id, 0, func(a Answer) { reply <- a }), reply}
}
