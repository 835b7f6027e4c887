package primaryreport

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
)

const (
	// Interval is between two reports of a daemon.
	Interval = clock.Second
	// retryDelay is between a report that failed and the next.
	retryDelay = 500 * clock.Millisecond
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
	incarnation uint64 // 0: not known yet
	calls       *machine.Calls
	parts       []Part

	primary       string   // its address; "" while none is known
	voters        []string // the addresses of the cores with a vote
	epoch         uint64   // the newest term that is known
	nextAt        clock.Micros
	pendingReport uint64 // the number of the report whose reply is awaited; 0: none is

	flushCallbacks []func() // who waits for a Flush
	flushAttempts  int

	// Sent and Failed count reports, for the operators.
	Sent, Failed int64

	InjectedFaults InjectedFaults
}

// InjectedFaults are set by tests only, to show that their checks find such a fault.
type InjectedFaults struct {
	// KeepAcknowledgements: what a former primary acknowledged is not reported to the next one.
	KeepAcknowledgements bool
	// FlushToPrimaryOnly: a daemon that ends reports to the primary alone.
	FlushToPrimaryOnly bool
}

// NewSender makes the sender of a daemon. Nothing is sent before it has a part, and its incarnation and
// the primary are known.
func NewSender(daemon string, calls *machine.Calls) *Sender {
	return &Sender{daemon: daemon, calls: calls}
}

// AddPart adds a part of the reports.
func (s *Sender) AddPart(part Part) { s.parts = append(s.parts, part) }

// SetIncarnation takes the daemon's incarnation.
func (s *Sender) SetIncarnation(incarnation uint64) { s.incarnation = incarnation }

// SetPrimary takes the primary's address and term, and the cores with a vote.
func (s *Sender) SetPrimary(update state.CoreUpdate) {
	if update.Epoch < s.epoch {
		return
	}
	s.primary, s.voters = update.Peer, update.VoterPeers
	s.learnEpoch(update.Epoch)
}

// learnEpoch has everything reported anew under a new term, at once: a reply of the former primary is not
// awaited.
func (s *Sender) learnEpoch(epoch uint64) {
	if epoch <= s.epoch {
		return
	}
	s.epoch, s.pendingReport, s.nextAt = epoch, 0, 0
	if !s.InjectedFaults.KeepAcknowledgements {
		s.resetParts()
	}
}

func (s *Sender) resetParts() {
	for _, part := range s.parts {
		part.Reset()
	}
}

// newReport is a report of what isn't acknowledged; false where that is nothing.
func (s *Sender) newReport(now clock.Micros) (report Report, hasChanges bool) {
	report = Report{Daemon: s.daemon, Incarnation: s.incarnation, Epoch: s.epoch, SentAt: now}
	for _, part := range s.parts {
		hasChanges = part.Add(&report, now) || hasChanges
	}
	return report, hasChanges
}

// Tick sends a report when it is due and has something to report.
func (s *Sender) Tick(now clock.Micros) {
	if now < s.nextAt {
		return
	}
	s.nextAt = now + Interval
	s.send(now)
}

// Flush is for a daemon that is about to end: all that is undecided goes to the primary at once, and to
// all cores with a vote, of which another may be primary before it is decided. done is called once the
// primary has it, or after a few attempts.
func (s *Sender) Flush(now clock.Micros, done func()) {
	s.resetParts()
	if report, hasChanges := s.newReport(now); hasChanges && !s.InjectedFaults.FlushToPrimaryOnly {
		s.sendToVoters(report)
	}
	s.flushCallbacks = append(s.flushCallbacks, done)
	s.flushAttempts = 0
	s.continueFlush(now)
}

// sendToVoters sends a report to all cores with a vote, without an acknowledgement.
func (s *Sender) sendToVoters(report Report) {
	for _, peer := range s.voters {
		s.calls.Emit(machine.Send{To: peer, Body: report})
	}
}

// continueFlush sends the next report of a Flush, or ends it.
func (s *Sender) continueFlush(now clock.Micros) {
	if s.pendingReport > 0 || len(s.flushCallbacks) == 0 {
		return
	}
	s.flushAttempts++
	if s.flushAttempts <= maxFlushAttempts && s.send(now) {
		return
	}
	ended := s.flushCallbacks
	s.flushCallbacks = nil
	for _, done := range ended {
		done()
	}
}

// send sends a report; false where there is nothing to report, or no primary is known.
func (s *Sender) send(now clock.Micros) bool {
	if s.pendingReport > 0 || s.primary == "" || s.incarnation == 0 {
		return false
	}
	report, hasChanges := s.newReport(now)
	if !hasChanges {
		return false
	}
	s.Sent++
	number := uint64(s.Sent)
	s.pendingReport = number
	s.calls.Request(s.primary, report, replyTimeout, func(body any, err error, now clock.Micros) {
		if s.pendingReport == number {
			s.pendingReport = 0
			s.handleReply(report, body, err, now)
		}
	})
	return true
}

// handleReply takes the primary's answer to a report. What a failed one had is reported again.
func (s *Sender) handleReply(report Report, body any, err error, now clock.Micros) {
	reply, ok := body.(Reply)
	if err != nil || !ok {
		s.Failed++
		s.nextAt = min(s.nextAt, now+retryDelay)
		s.continueFlush(now)
		return
	}
	s.learnEpoch(reply.Epoch)
	if reply.Epoch == report.Epoch && report.Epoch == s.epoch {
		for _, part := range s.parts {
			part.Acknowledged(report, reply)
		}
	}
	s.continueFlush(now)
}
