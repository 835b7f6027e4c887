package scheduler

import "tuliprudder/internal/clock"

// congestionWindow bounds how many batch items a daemon keeps running on a server, by
// the delay until the server begins an item (docs/DESIGN.md section 12.6). Batch items
// so take the capacity that live requests leave, and give way before those queue.
//
// This is delay-based congestion control, as in TCP Vegas and LEDBAT (RFC 6817): the
// base delay is the least one seen, and a delay well above it means that work queues at
// the server. Like TCP's slow start the window grows by one with each item until it was
// reduced for the first time; from then on it grows by one with each window of items
// (additive increase), and shrinks by a fifth on congestion (multiplicative decrease).
//
// The zero value is ready for use.
type congestionWindow struct {
	size          float64 // items; 0: not used yet
	baseDelay     clock.Micros
	reducedAt     clock.Micros
	pastSlowStart bool // it was reduced once
}

const (
	initialWindow         = 4.0
	maxWindow             = 4096.0
	windowReductionFactor = 0.8
	// A delay above baseDelayFactor times the base plus the slack counts as congestion.
	// The slack covers servers whose base delay is only a few milliseconds.
	baseDelayFactor  = 2
	windowDelaySlack = 40 * clock.Millisecond
	// minReductionInterval answers one congestion once: items assigned before the
	// reduction still report their delays after it.
	minReductionInterval = 200 * clock.Millisecond
	// The base delay rises by one part in baseDelayDriftDivisor of what a delay exceeds
	// it by, so that it follows a server that has become slower.
	baseDelayDriftDivisor = 256
)

// capacity is how many batch items may run, at least 1.
func (w *congestionWindow) capacity() int {
	w.start()
	return max(1, int(w.size))
}

// observeDelay takes the delay from an item's assignment to its first event.
func (w *congestionWindow) observeDelay(delay, now clock.Micros) {
	w.start()
	w.updateBaseDelay(delay)
	switch {
	case delay > baseDelayFactor*w.baseDelay+windowDelaySlack:
		w.reduce(now)
	case w.pastSlowStart:
		w.size = min(maxWindow, w.size+1/max(1, w.size))
	default:
		w.size = min(maxWindow, w.size+1)
	}
}

func (w *congestionWindow) start() {
	if w.size == 0 {
		w.size = initialWindow
	}
}

func (w *congestionWindow) updateBaseDelay(delay clock.Micros) {
	if w.baseDelay == 0 || delay < w.baseDelay {
		w.baseDelay = delay
	}
	w.baseDelay += (delay - w.baseDelay) / baseDelayDriftDivisor
}

func (w *congestionWindow) reduce(now clock.Micros) {
	if now-w.reducedAt < minReductionInterval {
		return
	}
	w.size = max(1, w.size*windowReductionFactor)
	w.reducedAt = now
	w.pastSlowStart = true
}
