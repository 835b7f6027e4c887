package scheduler

import "tuliprudder/internal/clock"

// batchPace bounds how much of the servers' places batch items take, by how often requests find a
// queue at the servers (docs/DESIGN.md section 12.6): so batch items take what live requests leave,
// and give way when there are more of these.
//
// This is congestion control with additive increase and multiplicative decrease, as in TCP, on one
// window for all servers. The signals are the delay until a server begins an item, where one well
// above the least one seen means that work queues (as in TCP Vegas and LEDBAT, RFC 6817), and the
// queue that servers tell with their answers, to this daemon or to others of its zone.
//
// The zero value is ready for use.
type batchPace struct {
	reduction float64 // of the places, 0 to 1 - minPace; it is 0 at first
	baseDelay clock.Micros
	// observed and congested count signals, older ones less, up to countedAt.
	observed, congested float64
	countedAt           clock.Micros
	adjustedAt          clock.Micros
}

const (
	// minPace is the part of the places that batch items may take however congested servers are.
	minPace = 0.25
	// paceInterval is the time between two adjustments: about as long as an item's first effects
	// take to be seen.
	paceInterval = 200 * clock.Millisecond
	// signalMemory is after how long a signal counts half.
	signalMemory = 300 * clock.Millisecond
	// minSignals is how many are needed for a decision.
	minSignals = 2.0
	// Where more than maxCongested of the signals tell of a queue, the pace falls by a part;
	// otherwise it rises by a step.
	maxCongested = 0.25
	paceDecrease = 0.85
	paceIncrease = 0.04
	// A delay above baseDelayFactor times the base plus the slack tells of a queue. The slack
	// covers servers whose base delay is only a few milliseconds.
	baseDelayFactor = 2
	delaySlack      = 40 * clock.Millisecond
	// The base delay rises by one part in baseDelayDriftDivisor of what a delay exceeds it by, so
	// that it follows servers that have become slower.
	baseDelayDriftDivisor = 256
)

// factor is the part of the places that batch items may take now.
func (p *batchPace) factor() float64 { return 1 - p.reduction }

// observeDelay takes the delay from an item's assignment to its first event.
func (p *batchPace) observeDelay(delay, now clock.Micros) {
	if p.baseDelay == 0 || delay < p.baseDelay {
		p.baseDelay = delay
	}
	p.baseDelay += (delay - p.baseDelay) / baseDelayDriftDivisor
	p.observe(delay > baseDelayFactor*p.baseDelay+delaySlack, now)
}

// observe takes a signal.
func (p *batchPace) observe(congested bool, now clock.Micros) {
	p.decay(now)
	p.observed++
	if congested {
		p.congested++
	}
}

func (p *batchPace) decay(now clock.Micros) {
	left := halfLife(now-p.countedAt, signalMemory)
	p.observed *= left
	p.congested *= left
	p.countedAt = now
}

// adjust raises or lowers the pace, when that is due.
func (p *batchPace) adjust(now clock.Micros) {
	if now < p.adjustedAt+paceInterval {
		return
	}
	p.adjustedAt = now
	p.decay(now)
	pace := p.factor()
	if p.observed >= minSignals && p.congested > maxCongested*p.observed {
		pace = max(minPace, pace*paceDecrease)
	} else {
		pace = min(1, pace+paceIncrease)
	}
	p.reduction = 1 - pace
}
