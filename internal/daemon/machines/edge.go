package machines

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/observations"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/internal/dataplane/usage"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// decisionLogSize is the number of latest requests whose decisions an edge keeps.
const decisionLogSize = 8192

// EdgeSettings are the settings of an edge daemon's machine.
type EdgeSettings struct {
	Scheduler    scheduler.Settings
	Requests     requests.Settings
	Proxy        proxy.Settings
	PollInterval clock.Micros // between two polls of a model server's load; 0 disables polling. Default: 400 ms
	Usage        usage.Settings
}

// EdgeDefaults returns the default settings.
func EdgeDefaults() EdgeSettings {
	return EdgeSettings{
		Scheduler:    scheduler.Defaults(),
		Requests:     requests.Defaults(),
		Proxy:        proxy.Defaults(),
		PollInterval: 400 * clock.Millisecond,
	}
}

// Edge is the machine of an edge daemon: callers' requests, proxied requests, reading of
// batches, quota shares, polling of the model servers, and counts of started requests.
type Edge struct {
	*Scheduling
	Reader       *reader.Reader
	Requests     *requests.Machine
	Proxy        *proxy.Proxy
	ServerPoller *serverpoll.Poller
	Decisions    *decisionlog.Log
	Usage        *usage.Counter
}

// NewEdge makes the machine of the edge with the id self; the seed makes its random choices
// repeatable.
func NewEdge(self string, settings EdgeSettings, seed int64) *Edge {
	e := &Edge{Decisions: decisionlog.New(decisionLogSize)}
	e.Scheduling = newScheduling(self, settings.Scheduler, seed, func() state.Map { return e.Reader.ShardMap() })
	e.Reader = reader.New(e.Calls)
	e.Requests = requests.New(settings.Requests, e.Calls, e.Scheduler, e.Quota, e.Reader, e.Decisions)
	e.Proxy = proxy.New(settings.Proxy, e.Calls, e.Scheduler, seed+1)
	e.Usage = usage.NewCounter(settings.Usage, e.Calls)
	e.Proxy.OnExecutionStarted = e.Usage.RecordStart
	if e.Usage.IsEnabled() {
		e.Reports.AddPart(e.Usage)
	}
	e.ServerPoller = serverpoll.New(self, settings.PollInterval, e.Calls, e.Scheduler, e.Members)
	return e
}

// Message handles a message that was received.
func (e *Edge) Message(_ string, body any, now clock.Micros) []machine.Effect {
	if reports, ok := body.(observations.Reports); ok {
		e.Observations.Receive(reports, now)
	}
	return e.finishStep(now)
}

// Persisted does nothing: an edge has no disk.
func (e *Edge) Persisted(uint64, clock.Micros) []machine.Effect { return nil }

// DiskStateChanged does nothing: an edge has no disk.
func (e *Edge) DiskStateChanged(machine.DiskState, clock.Micros) []machine.Effect { return nil }

// CompactAgain does nothing: an edge has no disk.
func (e *Edge) CompactAgain(clock.Micros) []machine.Effect { return nil }

// UpdateReceived handles an update that was received.
func (e *Edge) UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect {
	e.receive(update, now)
	e.ServerPoller.Receive(update)
	e.Reader.Receive(update, now)
	return e.finishStep(now)
}

// ReplyReceived handles another daemon's reply.
func (e *Edge) ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	e.Calls.ReplyReceived(token, body, err, now)
	return e.finishStep(now)
}

// Drain makes the edge reject new requests and drop queued ones, and ends the waits of reads.
type Drain struct{}

// EndWaits makes reads end with the results that there are, instead of waiting for more.
type EndWaits struct{}

// FlushReports makes the edge send its pending reports to the primary core at once. The reply comes once
// the primary has acknowledged them, or after a few attempts.
type FlushReports struct{}

// Call handles a request: a report from the daemon itself, or a request from a caller or
// another daemon.
func (e *Edge) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	if _, ok := body.(FlushReports); ok {
		e.Reports.Flush(now, func() { e.acknowledge(number) })
		return e.finishStep(now)
	}
	switch {
	case e.handleReport(body, now):
		e.acknowledge(number)
	case e.Proxy.Call(number, body, now), e.Requests.Call(number, body, now), e.Quota.Call(number, body, now):
	default:
		e.reject(number, errs.New(errs.BadInput, "send it to a daemon of the right role", "an edge does not handle requests of type %T", body))
	}
	return e.finishStep(now)
}

// handleReport handles a report from the daemon itself; it returns false if the body is not one.
func (e *Edge) handleReport(body any, now clock.Micros) bool {
	switch report := body.(type) {
	case serverpoll.PollResult:
		e.ServerPoller.HandleResult(report, now)
	case reader.CallerDisconnected:
		e.Reader.CancelRead(report)
	case Drain:
		e.Scheduler.Close(now)
		e.Reader.EndWaits(now)
	case EndWaits:
		e.Reader.EndWaits(now)
	case nil: // a caller disconnected, but its request continues
	default:
		return false
	}
	return true
}

// Tick runs the work that is due.
func (e *Edge) Tick(now clock.Micros) []machine.Effect {
	e.Quota.Tick(now)
	e.Reader.Tick(now)
	e.ServerPoller.Tick(now)
	e.Observations.Tick(e.members, e.Calls.Emit, now)
	e.Reports.Tick(now)
	e.Scheduler.Match(now)
	return e.finishStep(now)
}
