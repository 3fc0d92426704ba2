// Package metrics shows what agents count, in the text format of Prometheus.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"vetchhaven/internal/core"
)

// Agent is what is shown of one agent.
type Agent struct {
	Name     string
	Totals   core.Totals
	Counters core.Counters
}

// collector asks for agents at each scrape.
type collector struct{ agents func() []Agent }

// Handler shows what agents returns. That is called at each scrape, by any goroutine.
func Handler(agents func() []Agent) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{agents})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Describe tells nothing: which cases there are, the agents say.
func (collector) Describe(chan<- *prometheus.Desc) {}

func counter(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("vetchhaven_"+name, help, append([]string{"agent"}, labels...), nil)
}

var (
	requests     = counter("requests_total", "Requests that clients gave to the agent.")
	answers      = counter("answers_total", "Final answers, and requests whose clients disconnected.", "kind")
	late         = counter("late_answers_total", "Requests that the loop answered at the deadline, as the module had not.")
	attempts     = counter("attempts_total", "Attempts that were begun.")
	retries      = counter("retries_total", "Attempts after a request's first.")
	results      = counter("attempt_results_total", "Ends of attempts.", "result")
	endings      = counter("unserved_total", "Requests refused or failed by the module, by its reason.", "reason")
	sendRefusals = counter("send_refusals_total", "Writes to servers that a send guard did not admit.", "reason")
	closes       = counter("client_closes_total", "Clients' connections that were asked to end.", "reason")
	violations   = counter("invariant_violations_total", "Violations of invariants. Each is a fault of the program.", "invariant")
	open         = prometheus.NewDesc("vetchhaven_open_requests", "Requests that have no final answer yet.", []string{"agent"}, nil)
)

// Collect tells what all agents have counted.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, a := range c.agents() {
		put := func(d *prometheus.Desc, n int64, labels ...string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), append([]string{a.Name}, labels...)...)
		}
		t := a.Totals
		put(requests, t.Requests)
		put(answers, t.Served, "served")
		put(answers, t.Refused, "refused")
		put(answers, t.Failed, "failed")
		put(answers, t.Gone, "client_disconnected")
		put(late, t.Late)
		put(attempts, t.Attempts)
		put(retries, a.Counters.Retries)
		for _, of := range []struct {
			desc  *prometheus.Desc
			cases map[string]int64
		}{{results, a.Counters.Results}, {endings, a.Counters.Endings}, {sendRefusals, a.Counters.SendRefusals},
			{closes, a.Counters.Closes}, {violations, a.Counters.Violations}} {
			for name, n := range of.cases {
				put(of.desc, n, name)
			}
		}
		out <- prometheus.MustNewConstMetric(open, prometheus.GaugeValue, float64(t.Open), a.Name)
	}
}
