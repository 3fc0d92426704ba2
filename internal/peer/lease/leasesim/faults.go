package leasesim

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultFaultInterval is the mean time between two faults.
	defaultFaultInterval = 700 * time.Millisecond
	// meanPause is the mean duration of a pause. About half of the pauses are longer than a term.
	meanPause = 4 * time.Second
	// meanLinkOutage is the mean duration of a link failure. Some failures last several terms.
	meanLinkOutage = 5 * time.Second
	// maxBaseDelayMS is the largest delay of a message without faults.
	maxBaseDelayMS = 10
	// maxDuplicateDelayMS is the largest delay between a message and its duplicate.
	maxDuplicateDelayMS = 3000
	// maxDelay is the largest delay of the few messages that are delayed for a long time.
	maxDelay = time.Minute
	// pausedRetry is the interval at which delivery to a paused process is attempted.
	pausedRetry = 100 * time.Millisecond
)

// scheduleFault schedules the next random fault: a pause, a crash or a broken link. After it, the next one is
// scheduled.
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

// breakLink breaks one direction of the link between a random process and a random server.
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

// send sends a message. It may be delivered once, twice, late, or not at all.
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

// drawDelivery draws the number of copies of a message that arrive, and the delay.
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

// isPartitioned reports whether a partition separates two processes now.
func (w *world) isPartitioned(from, to int) bool {
	if from == to || w.now < w.options.PartitionStart || w.now >= w.options.PartitionEnd {
		return false
	}
	return slices.Contains(w.options.Partitioned, from) != slices.Contains(w.options.Partitioned, to)
}

// deliver delivers a message to a process. If the process is paused, the message is delivered after the pause.
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
