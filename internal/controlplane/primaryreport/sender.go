package primaryreport

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
)

const (
	// Interval is the time between two reports of a daemon.
	Interval = clock.Second
	// retryDelay is the time between a failed report and the next one.
	retryDelay = 500 * clock.Millisecond
	// replyTimeout is how long the sender waits for the reply to a report.
	replyTimeout = 800 * clock.Millisecond
	// maxFlushAttempts is the maximum number of reports sent for one Flush.
	maxFlushAttempts = 3
)

// Part is a component of the daemon's machine that contributes to reports.
type Part interface {
	// Add adds to a report what the primary has not acknowledged, and reports whether there was
	// anything to add.
	Add(report *Report, now clock.Micros) bool
	// Acknowledged is called when the primary has acknowledged a report.
	Acknowledged(report Report, reply Reply)
	// Reset discards all acknowledgements, so that everything is reported again: the primary has
	// another term, or the daemon flushes its reports.
	Reset()
}

// Sender sends the reports of one daemon.
type Sender struct {
	daemon      string
	incarnation uint64 // 0 while unknown
	calls       *machine.Calls
	parts       []Part

	primary       string   // the primary's address; "" while unknown
	voters        []string // the addresses of the cores with a vote
	epoch         uint64   // the newest known term
	nextAt        clock.Micros
	pendingReport uint64 // number of the report whose reply is outstanding; 0: none

	flushCallbacks []func() // to be called when the current Flush ends
	flushAttempts  int

	// Sent and Failed count reports, for the metrics.
	Sent, Failed int64

	InjectedFaults InjectedFaults
}

// InjectedFaults are set only by tests, to show that their checks detect such a fault.
type InjectedFaults struct {
	// KeepAcknowledgements does not report again to a new primary what the former one acknowledged.
	KeepAcknowledgements bool
	// FlushToPrimaryOnly makes a terminating daemon report to the primary alone.
	FlushToPrimaryOnly bool
}

// NewSender returns the sender of a daemon. It sends nothing until it has a part, and the
// incarnation and the primary are known.
func NewSender(daemon string, calls *machine.Calls) *Sender {
	return &Sender{daemon: daemon, calls: calls}
}

// AddPart adds a component that contributes to the reports.
func (s *Sender) AddPart(part Part) { s.parts = append(s.parts, part) }

// SetIncarnation sets the daemon's incarnation.
func (s *Sender) SetIncarnation(incarnation uint64) { s.incarnation = incarnation }

// SetPrimary sets the primary's address and term, and the cores with a vote. An update of an older
// term is ignored.
func (s *Sender) SetPrimary(update state.CoreUpdate) {
	if update.Epoch < s.epoch {
		return
	}
	s.primary, s.voters = update.Peer, update.VoterPeers
	s.learnEpoch(update.Epoch)
}

// learnEpoch makes everything be reported again in a new term, without delay: a reply of the former
// primary is not waited for.
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

// newReport returns a report of what has not been acknowledged, and whether that is anything.
func (s *Sender) newReport(now clock.Micros) (report Report, hasChanges bool) {
	report = Report{Daemon: s.daemon, Incarnation: s.incarnation, Epoch: s.epoch, SentAt: now}
	for _, part := range s.parts {
		hasChanges = part.Add(&report, now) || hasChanges
	}
	return report, hasChanges
}

// Tick sends a report if one is due and there is something to report.
func (s *Sender) Tick(now clock.Micros) {
	if now < s.nextAt {
		return
	}
	s.nextAt = now + Interval
	s.send(now)
}

// Flush is called when the daemon is about to exit. It reports everything that is not final at
// once, to the primary and to all cores with a vote, because another one may become primary before
// it is final. done is called once the primary has acknowledged everything, or after
// maxFlushAttempts.
func (s *Sender) Flush(now clock.Micros, done func()) {
	s.resetParts()
	if report, hasChanges := s.newReport(now); hasChanges && !s.InjectedFaults.FlushToPrimaryOnly {
		s.sendToVoters(report)
	}
	s.flushCallbacks = append(s.flushCallbacks, done)
	s.flushAttempts = 0
	s.continueFlush(now)
}

// sendToVoters sends a report to all cores with a vote, without waiting for replies.
func (s *Sender) sendToVoters(report Report) {
	for _, peer := range s.voters {
		s.calls.Emit(machine.Send{To: peer, Body: report})
	}
}

// continueFlush sends the next report of a Flush, or ends the Flush.
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

// send sends a report. It returns false if a reply is outstanding, if there is nothing to report,
// or if the primary or the incarnation is unknown.
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

// handleReply handles the primary's reply to a report. The content of a failed report is reported
// again.
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
