package http1

import (
	"net/http"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// Guards against a client that keeps the processor busy with requests which cost it nothing.
func TestRequestsThatAreNotServedArePaced(t *testing.T) {
	const length = 2 * time.Second
	for name, text := range map[string]string{
		"health checks": "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
		"a taken id":    headOf("get", "taken"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hold := make(chan struct{})
			s := serveHTTP(t, func(http.ResponseWriter, *http.Request) { <-hold })
			defer close(hold)
			a := startWith(t, s)
			go a.do("GET", "/get/x", "", "X-Trace-Id", "taken")
			testkit.WaitFor(t, "the open request", func() bool { return a.OpenRequests() == 1 })
			c := a.connect(t)
			answers := 0
			for end := time.Now().Add(length); time.Now().Before(end); answers++ {
				c.write(text)
				c.readResponse()
			}
			if most := unservedBurst + 2*int(length/unservedInterval); answers > most {
				t.Errorf("%d answers in %v, %d are allowed", answers, length, most)
			}
		})
	}
}
