// Package metrics exposes the counters of agents in the text format of Prometheus. It keeps no state: each scrape
// queries the agents. The platform's figures in JSON are in internal/host/admin.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"vetchhaven/internal/core"
)

// Agent is one agent's counters at the moment of a scrape.
type Agent struct {
	Name     string
	Totals   core.Totals
	Counters core.Counters
}

// collector is a prometheus.Collector that queries the agents at each scrape.
type collector struct{ agents func() []Agent }

// Handler serves the counters of the agents that the function returns. The function is called at each scrape, from any
// goroutine.
func Handler(agents func() []Agent) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{agents})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Describe sends no descriptions, which makes the collector an unchecked one: its labels are determined only at a
// scrape.
func (collector) Describe(chan<- *prometheus.Desc) {}

func counter(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("vetchhaven_"+name, help, append([]string{"agent"}, labels...), nil)
}

// Dashboards use these names and the label values, so add to them but never rename them (golden_test.go checks this).
// A new counter needs a description here, a call of send in Collect, and a field of core.Totals or core.Counters.
var (
	requests     = counter("requests_total", "Requests admitted to the agent's loop.")
	answers      = counter("answers_total", "Final answers, and requests whose clients disconnected.", "kind")
	late         = counter("late_answers_total", "Requests that the loop answered at their deadline, since the decision module had not.")
	attempts     = counter("attempts_total", "Attempts started.")
	retries      = counter("retries_total", "Attempts after a request's first one.")
	results      = counter("attempt_results_total", "Attempts ended, by result.", "result")
	endings      = counter("unserved_total", "Requests that the decision module shed or failed, by reason.", "reason")
	sendRefusals = counter("send_refusals_total", "Writes to endpoints that the send guard refused, by reason.", "reason")
	closes       = counter("client_closes_total", "Client connections asked to close, by reason.", "reason")
	violations   = counter("invariant_violations_total", "Violations of invariants, each a fault of the program.", "invariant")
	open         = prometheus.NewDesc("vetchhaven_open_requests", "Requests without a final answer so far.", []string{"agent"}, nil)
)

// Collect sends the counters of all agents.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, a := range c.agents() {
		send := func(d *prometheus.Desc, n int64, labels ...string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), append([]string{a.Name}, labels...)...)
		}
		t := a.Totals
		send(requests, t.Requests)
		send(answers, t.Served, "served")
		send(answers, t.Refused, "refused")
		send(answers, t.Failed, "failed")
		send(answers, t.ClientDisconnects, "client_disconnected")
		send(late, t.Late)
		send(attempts, t.Attempts)
		send(retries, a.Counters.Retries)
		for _, of := range []struct {
			desc  *prometheus.Desc
			cases map[string]int64
		}{{results, a.Counters.Results}, {endings, a.Counters.Endings}, {sendRefusals, a.Counters.SendRefusals},
			{closes, a.Counters.Evictions}, {violations, a.Counters.Violations}} {
			for name, n := range of.cases {
				send(of.desc, n, name)
			}
		}
		out <- prometheus.MustNewConstMetric(open, prometheus.GaugeValue, float64(t.Open), a.Name)
	}
}
