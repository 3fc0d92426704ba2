package leasesim

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultFaultInterval is the mean time between two faults.
	defaultFaultInterval = 700 * time.Millisecond
	// meanPause is longer than a term as often as not, and meanLinkOutage longer than several.
	meanPause      = 4 * time.Second
	meanLinkOutage = 5 * time.Second
	// maxBaseDelayMS is the largest delay of a message without faults.
	maxBaseDelayMS = 10
	// maxDuplicateDelayMS is how much later the duplicate of a message arrives at most.
	maxDuplicateDelayMS = 3000
	// maxDelay is the delay of the rare message that is delayed for long, at most.
	maxDelay = time.Minute
	// pausedRetry is how often delivery to a paused process is attempted.
	pausedRetry = 100 * time.Millisecond
)

// scheduleFault has something fail, again and again.
func (w *world) scheduleFault() {
	interval := cmp.Or(w.options.FaultInterval, defaultFaultInterval)
	w.after(w.exponential(interval), func() {
		m := w.members[w.rng.IntN(len(w.members))]
		if w.rng.IntN(3) == 0 {
			m = w.members[w.rng.IntN(max(1, w.options.Servers))]
		}
		switch w.rng.IntN(4) {
		case 0:
			w.pause(m)
		case 1:
			w.result.Crashes++
			w.restart(m)
		case 2, 3:
			w.breakLink()
		}
		w.scheduleFault()
	})
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) pause(m *member) {
	if m.paused {
		return
	}
	m.paused = true
	w.result.Pauses++
	w.after(w.exponential(meanPause), func() { m.paused = false })
}

// breakLink breaks one direction of a link between any process and a server.
func (w *world) breakLink() {
	from := w.rng.IntN(len(w.members))
	to := w.rng.IntN(max(1, w.options.Servers))
	if w.rng.IntN(2) == 0 {
		from, to = to, from
	}
	link := [2]int{from, to}
	w.linkDown[link] = true
	w.after(w.exponential(meanLinkOutage), func() { w.linkDown[link] = false })
}

func (w *world) scheduleOutages() {
	for _, o := range w.options.Outages {
		for _, number := range o.Members {
			m := w.members[number]
			w.at(o.Start, func() {
				m.paused = true
				m.down = true
			})
			w.at(o.End, func() {
				m.paused = false
				m.down = false
				w.restart(m)
			})
		}
	}
}

// send delivers a message once, twice, late, or not at all.
func (w *world) send(from, to, size int, deliver func()) {
	w.result.Messages++
	w.result.Bytes += size
	if w.options.OnSent != nil && from != to {
		w.options.OnSent(w.now, from, size)
	}
	copies, delay := w.drawDelivery()
	if w.options.PeerPath != nil && from != to {
		lost, pathDelay := w.options.PeerPath(from, to, w.now)
		delay += pathDelay
		if lost > 0 && w.rng.Float64() < lost {
			copies = 0
		}
	}
	if w.linkDown[[2]int{from, to}] || w.isPartitioned(from, to) {
		copies = 0
	}
	for n := range copies {
		duplicateDelay := time.Duration(n) * time.Duration(w.rng.IntN(maxDuplicateDelayMS)) * time.Millisecond
		w.after(delay+duplicateDelay, func() {
			if w.options.OnReceived != nil && from != to && !w.members[to].down {
				w.options.OnReceived(w.now, to, size)
			}
			w.deliver(to, deliver)
		})
	}
}

// drawDelivery draws how often a message arrives, and after what delay.
func (w *world) drawDelivery() (copies int, delay time.Duration) {
	copies = 1
	delay = time.Duration(1+w.rng.IntN(maxBaseDelayMS)) * time.Millisecond
	if !w.options.Faults {
		return copies, delay
	}
	switch x := w.rng.Float64(); {
	case x < 0.05:
		copies = 0
	case x < 0.08:
		copies = 2
	case x < 0.09:
		delay = time.Duration(w.rng.Float64() * float64(maxDelay))
	}
	return copies, delay
}

// isPartitioned reports whether a partition is between two processes now.
func (w *world) isPartitioned(from, to int) bool {
	if from == to || w.now < w.options.PartitionStart || w.now >= w.options.PartitionEnd {
		return false
	}
	return slices.Contains(w.options.Partitioned, from) != slices.Contains(w.options.Partitioned, to)
}

// deliver delivers a message to a process, or once it is no longer paused.
func (w *world) deliver(to int, do func()) {
	if w.members[to].down {
		return
	}
	if w.members[to].paused {
		w.after(pausedRetry, func() { w.deliver(to, do) })
		return
	}
	do()
}
