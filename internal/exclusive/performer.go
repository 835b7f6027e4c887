package exclusive

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// maxOutcomes is how many outcomes wait to be reported; the oldest is dropped for a new one, and its act
// performed again.
const maxOutcomes = 256

// PerformerSettings are the intervals of a performer; PerformerDefaults has the usual values.
type PerformerSettings struct {
	// Interval is between two requests. Default 500 ms.
	Interval clock.Micros
	// PrimaryInterval is the same at the primary itself. It is longer: a holder that isn't the primary
	// survives a change of the primary, and a change of the primary it. Default 1.2 s.
	PrimaryInterval clock.Micros
	// RequestTimeout is how long a request may take. Default 1 s.
	RequestTimeout clock.Micros
}

// PerformerDefaults are the usual settings.
func PerformerDefaults() PerformerSettings {
	return PerformerSettings{
		Interval:        500 * clock.Millisecond,
		PrimaryInterval: 1200 * clock.Millisecond,
		RequestTimeout:  clock.Second,
	}
}

// Task performs an act (machine.Execute). Whoever executes it makes no call to the outside system at or
// after Deadline, resets a call that is then under way, and reports once with Performed.
type Task struct {
	Permit   Permit
	Deadline clock.Micros // by this daemon's clock
}

// Performed reports the result of a task.
type Performed struct {
	ID     PermitID
	Result Result
}

// Performer requests permits of the primary and has them performed.
type Performer struct {
	settings PerformerSettings
	holder   Holder
	calls    *machine.Calls
	faults   InjectedFaults

	isDraining        bool
	drainAcknowledged bool // the primary knows that this node drains
	isRequesting      bool
	nextRequestAt     clock.Micros
	running           map[PermitID]Permit
	outcomes          []Outcome // to be reported

	// ResultCounts counts the results by kind.
	ResultCounts map[Result]int64
}

// NewPerformer makes a performer that emits its effects to calls.
func NewPerformer(holder Holder, settings PerformerSettings, calls *machine.Calls) *Performer {
	return &Performer{
		settings:     settings,
		holder:       holder,
		calls:        calls,
		running:      map[PermitID]Permit{},
		ResultCounts: map[Result]int64{},
	}
}

// InjectFaults plants faults. For tests only.
func (p *Performer) InjectFaults(faults InjectedFaults) { p.faults = faults }

// Tick sends a request where one is due. primary is the address of the primary core, "" where none is
// known.
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

// receive takes the response to a request that was sent at a time and reported the first outcomes.
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

// start has a permit performed, unless it came too late, or it is not known how an earlier one for the
// act, or one that it supersedes, ends.
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

// conflicts tells whether a permit must not be performed beside those that are running.
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

// Performed takes the result of a task; a second one for a permit is ignored.
func (p *Performer) Performed(report Performed, now clock.Micros) {
	permit, isRunning := p.running[report.ID]
	if !isRunning {
		return
	}
	delete(p.running, report.ID)
	p.ResultCounts[report.Result]++
	p.addOutcome(permit, report.Result, now)
}

// addOutcome has an outcome reported with the next request, which is due now.
func (p *Performer) addOutcome(permit Permit, result Result, now clock.Micros) {
	if len(p.outcomes) >= maxOutcomes && !p.isRequesting {
		p.outcomes = slices.Delete(p.outcomes, 0, 1)
	}
	if len(p.outcomes) < maxOutcomes {
		p.outcomes = append(p.outcomes, Outcome{ID: permit.ID, Subject: permit.Subject, Number: permit.Number, Fence: permit.Fence, Result: result})
	}
	p.nextRequestAt = min(p.nextRequestAt, now)
}

// Drain ends the requests for further permits: this daemon is about to stop, and the primary is notified.
// Outcomes are reported on.
func (p *Performer) Drain() { p.isDraining, p.nextRequestAt = true, 0 }

// isDrained tells that a performer that drains has nothing to report any more.
func (p *Performer) isDrained() bool {
	return p.drainAcknowledged && len(p.running)+len(p.outcomes) == 0
}

// Running is the number of permits that are being performed.
func (p *Performer) Running() int { return len(p.running) }
