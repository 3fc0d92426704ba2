package core

import (
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
)

// OutcomeSample holds the counts of the outcomes of an agent's attempts at one process of a server. They are the input
// of outlier detection by the fleet.
type OutcomeSample struct {
	Server    string
	StartedMS int64 // start of the process, Unix milliseconds; 0: long ago
	Succeeded int
	Failed    int // errors, refused or broken connections, and timeouts
	// ErrorResponses is the number of attempts in Failed that the server answered with an error. The others may have
	// failed because of the network.
	ErrorResponses int
}

// outcomeReport collects samples until they are reported.
type outcomeReport struct {
	report     func([]OutcomeSample) // nil: samples are not collected
	starts     map[string]int64      // listed starts of the servers' processes, Unix milliseconds
	samples    map[serverProcess]*OutcomeSample
	reportedAt time.Time
	scheduled  bool // a timer will post outcomesDue
}

type serverProcess struct {
	server    string
	startedMS int64
}

// outcomesDue is posted to make the loop report the samples.
type outcomesDue struct{}

// outcomeInterval is the minimum time between two reports. A longer interval delays the fleet's ejections.
const outcomeInterval = 50 * time.Millisecond

// noteStarts records the listed starts of servers' processes.
func (l *Loop) noteStarts(list List) {
	o := &l.outcomes
	if o.report == nil {
		return
	}
	if o.starts == nil {
		o.starts = map[string]int64{}
		o.samples = map[serverProcess]*OutcomeSample{}
	}
	if list.Kind == decide.ListFull {
		clear(o.starts)
	}
	for _, b := range list.Backends {
		o.starts[b.ID] = list.Starts[b.ID]
	}
}

// recordOutcome counts the outcome of an attempt, unless it is independent of the server's health. It reports the
// samples at once, or schedules a report if the last one was less than outcomeInterval ago.
func (l *Loop) recordOutcome(a *Attempt, result decide.Result) {
	o := &l.outcomes
	if o.report == nil || o.samples == nil || !concernsServer(result) {
		return
	}
	sample := o.sampleOf(serverProcess{a.Server, a.processStarted})
	switch result {
	case decide.OK:
		sample.Succeeded++
	case decide.Errored:
		sample.Failed++
		sample.ErrorResponses++
	default:
		sample.Failed++
	}
	wait := outcomeInterval - time.Since(o.reportedAt)
	switch {
	case wait <= 0:
		l.reportOutcomes()
	case !o.scheduled:
		o.scheduled = true
		time.AfterFunc(wait, func() { l.post(outcomesDue{}) })
	}
}

func concernsServer(result decide.Result) bool {
	switch result {
	case decide.OK, decide.Errored, decide.TimedOut, decide.ConnectFailed, decide.Reset, decide.Incomplete:
		return true
	}
	return false
}

func (o *outcomeReport) sampleOf(process serverProcess) *OutcomeSample {
	sample := o.samples[process]
	if sample == nil {
		sample = &OutcomeSample{Server: process.server, StartedMS: process.startedMS}
		o.samples[process] = sample
	}
	return sample
}

// reportOutcomes reports the samples since the last report.
func (l *Loop) reportOutcomes() {
	o := &l.outcomes
	o.scheduled = false
	if len(o.samples) == 0 || o.report == nil {
		return
	}
	o.reportedAt = time.Now()
	var samples []OutcomeSample
	for _, sample := range o.samples {
		samples = append(samples, *sample)
	}
	slices.SortFunc(samples, func(a, b OutcomeSample) int { return strings.Compare(a.Server, b.Server) })
	clear(o.samples)
	o.report(samples)
}
