package core

import (
	"context"
	"testing"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

func testConfig(t *testing.T, s testkit.ConfigOptions) *Config {
	t.Helper()
	cfg, err := ParseConfig(testkit.Config(t, s), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// idleProtocol is a protocol that has no clients and sends nothing.
type idleProtocol struct{}

func (idleProtocol) Serve(*ConnLimiter) error { return nil }
func (idleProtocol) SetDraining(bool)         {}
func (idleProtocol) Resize(int, int)          {}
func (idleProtocol) Close() error             { return nil }
func (idleProtocol) OpenRequests() int64      { return 0 }
func (idleProtocol) Attempt(*Attempt) (decide.Result, any, decide.Load) {
	return decide.NotSent, nil, decide.Load{}
}
func (idleProtocol) Probe(server string) decide.ProbeResult {
	return decide.ProbeResult{Backend: server}
}
func (idleProtocol) Update(List)              {}
func (idleProtocol) ReapIdle(context.Context) {}
func (idleProtocol) Shutdown()                {}

// pendingRequest is a request whose answers are sent on a channel.
type pendingRequest struct {
	*Request
	reply chan Answer
}

func newPendingRequest(id string) pendingRequest {
	reply := make(chan Answer, 2)
	return pendingRequest{NewRequest(id, 0, func(a Answer) { reply <- a }), reply}
}
