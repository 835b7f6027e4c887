package exclusive

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// maxOutcomes is the maximum number of outcomes that wait to be reported. Beyond it the oldest is dropped
// for a new one, and its act is performed again.
const maxOutcomes = 256

// PerformerSettings holds the intervals of a performer; PerformerDefaults returns the default values.
type PerformerSettings struct {
	// Interval is the time between two requests. Default 500 ms.
	Interval clock.Micros
	// PrimaryInterval is the same for the primary itself. It is longer, so that other nodes tend to
	// become holders: then one failure does not take out both the primary and the holder. Default 1.2 s.
	PrimaryInterval clock.Micros
	// RequestTimeout is the time limit of a request. Default 1 s.
	RequestTimeout clock.Micros
}

// PerformerDefaults returns the default settings.
func PerformerDefaults() PerformerSettings {
	return PerformerSettings{
		Interval:        500 * clock.Millisecond,
		PrimaryInterval: 1200 * clock.Millisecond,
		RequestTimeout:  clock.Second,
	}
}

// Task is an instruction to perform an act (machine.Execute). Its executor makes no call to the external
// system at or after Deadline, resets a call that is in progress at that time, and reports once with
// Performed.
type Task struct {
	Permit   Permit
	Deadline clock.Micros // by this daemon's clock
}

// Performed reports the result of a task.
type Performed struct {
	ID     PermitID
	Result Result
}

// Performer requests permits from the primary and has the permitted acts performed.
type Performer struct {
	settings PerformerSettings
	holder   Holder
	calls    *machine.Calls
	faults   InjectedFaults

	isDraining        bool
	drainAcknowledged bool // the primary knows that this node is draining
	isRequesting      bool
	nextRequestAt     clock.Micros
	running           map[PermitID]Permit
	outcomes          []Outcome // not reported yet

	// ResultCounts is the number of finished tasks by result.
	ResultCounts map[Result]int64
}

// NewPerformer returns a performer that emits its effects to calls.
func NewPerformer(holder Holder, settings PerformerSettings, calls *machine.Calls) *Performer {
	return &Performer{
		settings:     settings,
		holder:       holder,
		calls:        calls,
		running:      map[PermitID]Permit{},
		ResultCounts: map[Result]int64{},
	}
}

// InjectFaults sets the faults to simulate. For tests only.
func (p *Performer) InjectFaults(faults InjectedFaults) { p.faults = faults }

// Tick sends a request if one is due. primary is the address of the primary core, or "" if none is known.
func (p *Performer) Tick(primary string, isPrimary bool, now clock.Micros) {
	if p.isRequesting || now < p.nextRequestAt || primary == "" || p.isDrained() {
		return
	}
	interval := p.settings.Interval
	if isPrimary {
		interval = p.settings.PrimaryInterval
	}
	p.isRequesting = true
	p.nextRequestAt = now + interval
	reported := len(p.outcomes)
	request := Request{Holder: p.holder, Outcomes: slices.Clone(p.outcomes), ReportOnly: p.isDraining}
	p.calls.Request(primary, request, p.settings.RequestTimeout, func(body any, err error, receivedAt clock.Micros) {
		p.isRequesting = false
		if response, ok := body.(Response); ok && err == nil {
			p.drainAcknowledged = request.ReportOnly
			p.receive(response, reported, now, receivedAt)
		}
	})
}

// receive processes the response to a request that was sent at sentAt; reported is the number of
// outcomes that the request carried.
func (p *Performer) receive(response Response, reported int, sentAt, now clock.Micros) {
	p.outcomes = slices.Delete(p.outcomes, 0, min(reported, len(p.outcomes)))
	if len(p.outcomes) > 0 {
		p.nextRequestAt = now
	}
	if p.faults.ValidFromArrival {
		sentAt = now
	}
	for _, permit := range response.Permits {
		p.start(permit, sentAt+response.Validity, now)
	}
}

// start has the act of a permit performed, unless the permit has already expired or conflicts with one
// whose outcome is not known yet.
func (p *Performer) start(permit Permit, deadline, now clock.Micros) {
	switch {
	case now >= deadline:
		p.addOutcome(permit, NoAnswer, now)
	case p.conflicts(permit):
		p.addOutcome(permit, RetryLater, now)
	default:
		p.running[permit.ID] = permit
		p.calls.Emit(machine.Execute{Task: Task{Permit: permit, Deadline: deadline}})
	}
}

// conflicts reports whether a permit's act must not be performed concurrently with the running ones: the
// same act, or any act of the subject if either of the two supersedes others.
func (p *Performer) conflicts(permit Permit) bool {
	for _, running := range p.running {
		if running.Subject != permit.Subject {
			continue
		}
		if running.Number == permit.Number || permit.Supersedes || running.Supersedes {
			return true
		}
	}
	return false
}

// Performed processes the result of a task. A second result for the same permit is ignored.
func (p *Performer) Performed(report Performed, now clock.Micros) {
	permit, isRunning := p.running[report.ID]
	if !isRunning {
		return
	}
	delete(p.running, report.ID)
	p.ResultCounts[report.Result]++
	p.addOutcome(permit, report.Result, now)
}

// addOutcome queues an outcome for the next request, and makes that request due now.
func (p *Performer) addOutcome(permit Permit, result Result, now clock.Micros) {
	if len(p.outcomes) >= maxOutcomes && !p.isRequesting {
		p.outcomes = slices.Delete(p.outcomes, 0, 1)
	}
	if len(p.outcomes) < maxOutcomes {
		p.outcomes = append(p.outcomes, Outcome{ID: permit.ID, Subject: permit.Subject, Number: permit.Number, Fence: permit.Fence, Result: result})
	}
	p.nextRequestAt = min(p.nextRequestAt, now)
}

// Drain stops requesting permits, because this daemon is about to stop, and notifies the primary. Outcomes
// are still reported.
func (p *Performer) Drain() { p.isDraining, p.nextRequestAt = true, 0 }

// isDrained reports whether a draining performer has nothing left to report.
func (p *Performer) isDrained() bool {
	return p.drainAcknowledged && len(p.running)+len(p.outcomes) == 0
}

// Running returns the number of permits whose acts are in progress.
func (p *Performer) Running() int { return len(p.running) }
