package eventloop

import (
	"os"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/machine"
)

// haltExitCode is the exit status of a daemon whose machine halted it.
const haltExitCode = 4

// execute executes the effects of one step of a machine, in order. It blocks only while the
// disk queue is full.
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (l *Loop) execute(effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			l.send(e)
		case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
			l.disk.queue.put(effect)
		case machine.Reply:
			l.calls.complete(e)
		case machine.Publish:
			l.Publish(e.Update)
		case machine.Broadcast:
			l.enqueueGossip(gossip.Broadcast(e))
		case machine.UpdateReceived:
			l.deliverUpdate(e)
		case machine.Freshness:
			l.deliverFreshness(e)
		case machine.Request:
			go l.sendRequest(e)
		case machine.LogEvent:
			logging.Write(l.Log, e.Event)
		case machine.Halt:
			l.halt(e)
		case machine.Execute:
			l.runTask(e)
		}
	}
}

// send sends a message; one without an address is dropped.
func (l *Loop) send(e machine.Send) {
	if e.To != "" {
		l.Transport.Send(e.To, e.Body)
	}
}

// deliverUpdate passes an update from the gossip node to the machine.
func (l *Loop) deliverUpdate(e machine.UpdateReceived) {
	if l.machine != nil {
		l.enqueueMachine(func(now clock.Micros) []machine.Effect { return l.machine.UpdateReceived(e.Update, now) })
	}
}

// deliverFreshness passes the freshness of updates from the gossip node to the machine.
func (l *Loop) deliverFreshness(e machine.Freshness) {
	if l.machine != nil {
		l.enqueueMachine(func(now clock.Micros) []machine.Effect { return l.machine.FreshnessAdvanced(e.At, now) })
	}
}

// sendRequest calls another daemon for the machine and passes the reply to the machine. It
// runs in a goroutine of its own, which ends at the request's timeout at the latest; the
// transport ends it sooner when the daemon stops.
func (l *Loop) sendRequest(e machine.Request) {
	var body any
	err := errs.New(errs.NotReady, "retry", "the address of the daemon that the request is for is unknown")
	if e.To != "" {
		body, err = l.Transport.Call(e.To, e.Body, e.Timeout)
	}
	l.enqueueMachineWait(func(now clock.Micros) []machine.Effect { return l.machine.ReplyReceived(e.Token, body, err, now) })
}

// halt exits the process, since continuing would break a guarantee.
func (l *Loop) halt(e machine.Halt) {
	logging.Write(l.Log, Halted{Reason: e.Err.Error()})
	os.Stderr.WriteString(l.Identity.ID + ": " + e.Err.Error() + "\n")
	l.exit(haltExitCode)
}

// runTask passes a task to the executor, if one is set.
func (l *Loop) runTask(e machine.Execute) {
	if l.executeTask != nil {
		l.executeTask(e.Task)
	}
}
