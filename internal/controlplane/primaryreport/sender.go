package primaryreport

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
)

const (
	// Interval is between two reports of a daemon.
	Interval = clock.Second
	// replyTimeout is how long a report waits for its acknowledgement.
	replyTimeout = 800 * clock.Millisecond
	// maxFlushAttempts is how many reports are sent at most for one Flush.
	maxFlushAttempts = 3
)

// Part is what a part of the daemon's machine has for reports.
type Part interface {
	// Add adds to a report what the primary hasn't acknowledged; false where that is nothing.
	Add(report *Report, now clock.Micros) bool
	// Acknowledged takes that the primary has a report.
	Acknowledged(report Report, reply Reply)
	// Reset forgets all acknowledgements: the primary has another term.
	Reset()
}

// Sender sends the reports of one daemon.
type Sender struct {
	daemon      string
	incarnation uint64
	calls       *machine.Calls
	parts       []Part

	primary string // its address; "" while none is known
	epoch   uint64 // the newest term that is known
	nextAt  clock.Micros
	waiting bool // for the reply to a report

	flushes       []func() // who waits for a Flush
	flushAttempts int

	// Sent and Failed count reports, for the operators.
	Sent, Failed int64
}

// NewSender makes the sender of a daemon in one incarnation.
func NewSender(daemon string, incarnation uint64, calls *machine.Calls, parts ...Part) *Sender {
	return &Sender{daemon: daemon, incarnation: incarnation, calls: calls, parts: parts}
}

// SetPrimary takes who the primary is.
func (s *Sender) SetPrimary(update state.CoreUpdate) {
	if update.Epoch < s.epoch {
		return
	}
	s.primary = update.Peer
	s.learnEpoch(update.Epoch)
}

// learnEpoch has everything told anew under a new term.
func (s *Sender) learnEpoch(epoch uint64) {
	if epoch <= s.epoch {
		return
	}
	s.epoch = epoch
	for _, part := range s.parts {
		part.Reset()
	}
}

// Tick sends a report when it is due and has something to tell.
func (s *Sender) Tick(now clock.Micros) {
	if now < s.nextAt {
		return
	}
	s.nextAt = now + Interval
	s.send(now)
}

// Flush sends what there is to tell at once; done is called once the primary has it, or after a few
// attempts.
func (s *Sender) Flush(now clock.Micros, done func()) {
	s.flushes = append(s.flushes, done)
	s.flushAttempts = 0
	s.continueFlush(now)
}

// continueFlush sends the next report of a Flush, or ends it.
func (s *Sender) continueFlush(now clock.Micros) {
	if s.waiting || len(s.flushes) == 0 {
		return
	}
	s.flushAttempts++
	if s.flushAttempts <= maxFlushAttempts && s.send(now) {
		return
	}
	ended := s.flushes
	s.flushes = nil
	for _, done := range ended {
		done()
	}
}

// send sends a report; false where there is nothing to tell, or nobody to tell it.
func (s *Sender) send(now clock.Micros) bool {
	if s.waiting || s.primary == "" {
		return false
	}
	report := Report{Daemon: s.daemon, Incarnation: s.incarnation, Epoch: s.epoch, SentAt: now}
	hasNews := false
	for _, part := range s.parts {
		hasNews = part.Add(&report, now) || hasNews
	}
	if !hasNews {
		return false
	}
	s.waiting = true
	s.Sent++
	s.calls.Request(s.primary, report, replyTimeout, func(body any, err error, now clock.Micros) {
		s.handleReply(report, body, err, now)
	})
	return true
}

// handleReply takes the primary's answer to a report. What a failed one said is told again.
func (s *Sender) handleReply(report Report, body any, err error, now clock.Micros) {
	s.waiting = false
	reply, ok := body.(Reply)
	if err != nil || !ok {
		s.Failed++
		s.continueFlush(now)
		return
	}
	if reply.Epoch > s.epoch {
		s.learnEpoch(reply.Epoch)
		s.nextAt = now
	}
	if reply.Epoch == report.Epoch && report.Epoch == s.epoch {
		for _, part := range s.parts {
			part.Acknowledged(report, reply)
		}
	}
	s.continueFlush(now)
}
