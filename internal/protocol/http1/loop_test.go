package http1

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// A truncated response with status 200 is never passed on as a complete one. A non-idempotent request fails; an
// idempotent one is retried.
func TestTruncatedResponseIsNotServed(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED"
	s := serveRaw(t, func(n int) string { return []string{cut, cut, ok200}[n] })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway || strings.Contains(x.body, "TRUNCATED") {
		t.Errorf("non-idempotent: %+v", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || x.body != "hello" {
		t.Errorf("idempotent: %+v", x)
	}
}

// A non-idempotent request that may have been executed is neither sent again nor refused.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	s := serveRaw(t, func(int) string { return "" })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway {
		t.Errorf("%+v", x)
	}
	if len(s.seen) != 1 {
		t.Errorf("%d attempts", len(s.seen))
	}
}

// A request that was never executed may be refused.
func TestRejectedRequestGets503(t *testing.T) {
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{{ID: "s", Addr: testkit.RefusingAddr(t), Zone: "a", Kind: "m1", State: "ready"}}})
	a := start(t, cfg)
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", x)
	}
}

// A request whose server sends nothing is answered before its client stops waiting, with a response that reports the
// failure.
func TestDeadlineExceededGets504(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := serveRaw(t, func(int) string { <-hold; return "" })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	if x := a.do("GET", "/get/x", "", "X-Expires-In", "2"); x.status != http.StatusGatewayTimeout {
		t.Errorf("%+v", x)
	}
}

// A client's last retry may have less time left than the time until the loop's next step. The balancer still refuses
// it, since nothing was executed. The loop used to fail such a request at its deadline, before the balancer answered
// it.
func TestAttemptWithLittleRemainingTime(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}})
	cfg.Settings.Tick, cfg.Settings.AnswerGrace = 100*time.Millisecond, 2*testkit.EventTimeout
	a := start(t, cfg)
	for range 3 { // a step may happen to be due at the first one
		if x := a.do("GET", "/get/x", "", "X-Expires-In", "0.000001"); x.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", x)
		}
	}
}
