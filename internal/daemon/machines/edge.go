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

// decisionLogSize is how many of its latest requests an edge can explain.
const decisionLogSize = 8192

// EdgeSettings are the settings of an edge daemon's machine.
type EdgeSettings struct {
	Scheduler    scheduler.Settings
	Requests     requests.Settings
	Proxy        proxy.Settings
	PollInterval clock.Micros // between two polls of a model server's load; 0: none is polled. Default: 400 ms
	Usage        usage.Settings
}

// EdgeDefaults are the values used where nothing is set.
func EdgeDefaults() EdgeSettings {
	return EdgeSettings{
		Scheduler:    scheduler.Defaults(),
		Requests:     requests.Defaults(),
		Proxy:        proxy.Defaults(),
		PollInterval: 400 * clock.Millisecond,
	}
}

// Edge is the machine of an edge daemon: callers' requests, proxied requests, reading of
// batches, quota shares, polling of the model servers, and counts of the requests that began.
type Edge struct {
	*Scheduling
	Reader       *reader.Reader
	Requests     *requests.Machine
	Proxy        *proxy.Proxy
	ServerPoller *serverpoll.Poller
	Decisions    *decisionlog.Log
	Usage        *usage.Counter
}

// NewEdge makes the machine of the edge with the id self; the seed makes its choices
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

// Drain makes the edge reject new requests; those that are queued are dropped.
type Drain struct{}

// FlushReports has the edge tell the primary core at once what it has to tell. The reply comes once the
// primary has it, or after a few attempts.
type FlushReports struct{}

// Call handles a request: a report of the daemon's own, or a request of a caller or of
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
		e.reject(number, errs.New(errs.BadInput, "send it to a daemon of the right role", "an edge handles no request of the type %T", body))
	}
	return e.finishStep(now)
}

// handleReport handles what the daemon itself reports; false where the body is none of that.
func (e *Edge) handleReport(body any, now clock.Micros) bool {
	switch report := body.(type) {
	case serverpoll.PollResult:
		e.ServerPoller.HandleResult(report, now)
	case reader.CallerDisconnected:
		e.Reader.CancelRead(report)
	case Drain:
		e.Scheduler.Close(now)
	case nil: // a caller left whose request goes on
	default:
		return false
	}
	return true
}

// Tick runs the duties that are due.
func (e *Edge) Tick(now clock.Micros) []machine.Effect {
	e.Quota.Tick(now)
	e.Reader.Tick(now)
	e.ServerPoller.Tick(now)
	e.Observations.Tick(e.members, e.Calls.Emit, now)
	e.Reports.Tick(now)
	e.Scheduler.Match(now)
	return e.finishStep(now)
}
