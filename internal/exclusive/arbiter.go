package exclusive

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// requestRetention is how long the arbiter remembers a node that has stopped requesting permits.
const requestRetention = 60 * clock.Second

// Arbiter is the primary's state about permits that is not in the table. It is lost with the primary:
// the next primary therefore waits a full HolderLease before it reassigns a subject.
type Arbiter struct {
	settings Settings
	faults   InjectedFaults
	self     Holder // this core, if it performs acts itself

	epoch        uint64 // of the term in which this core is primary
	servingSince clock.Micros
	lastSerial   uint64 // number of the latest permit
	lastBatch    uint64
	rate         rateLimiter
	subjects     map[Subject]*subjectState
	requestedAt  map[Holder]clock.Micros // when each node's latest request was received

	Counters
}

// Counters holds counts since the start of the daemon.
type Counters struct {
	Permits       int64 // granted
	HolderChanges int64
	Outcomes      map[Result]int64
}

// NewArbiter returns an arbiter. Start must be called before its first decision.
func NewArbiter(settings Settings) *Arbiter {
	a := &Arbiter{settings: settings, Counters: Counters{Outcomes: map[Result]int64{}}}
	a.Start(0, 0)
	return a
}

// InjectFaults sets the faults to simulate. For tests only.
func (a *Arbiter) InjectFaults(faults InjectedFaults) { a.faults = faults }

// SetSelf sets the holder that is this core itself.
func (a *Arbiter) SetSelf(self Holder) { a.self = self }

// Start resets the arbiter: from now on this core is primary in the given term.
func (a *Arbiter) Start(epoch uint64, now clock.Micros) {
	a.epoch, a.servingSince = epoch, now
	a.lastSerial, a.lastBatch = 0, 0
	a.rate = newRateLimiter(a.settings.CallsPerSecond, now)
	a.subjects = map[Subject]*subjectState{}
	a.requestedAt = map[Holder]clock.Micros{}
}

// RequestReceived records that a node sent a request. A node that gives up its subjects counts as absent.
func (a *Arbiter) RequestReceived(request Request, now clock.Micros) {
	a.requestedAt[request.Holder] = now
	if request.ReportOnly {
		a.requestedAt[request.Holder] = now - a.settings.PresenceTimeout
	}
	maps.DeleteFunc(a.requestedAt, func(_ Holder, at clock.Micros) bool { return now-at > requestRetention })
}

// Decision is the result of a request. The update must be durable before the permits are sent to the
// holder.
type Decision struct {
	Permits []Permit
	Update  Update
	Events  []machine.Event // to log
}

// Response returns the response that carries the permits of a decision to the holder.
func (a *Arbiter) Response(permits []Permit) Response {
	return Response{Permits: permits, Validity: a.settings.Validity}
}

// IsNoOp reports whether a request can change nothing: it reports no outcomes, and no act is open or due.
func IsNoOp(table *Table, request Request, due []Act) bool {
	isNew := func(act Act) bool { return act.Number > table.Record(act.Subject).LastNumber }
	return len(request.Outcomes) == 0 && table.OpenActCount() == 0 && !slices.ContainsFunc(due, isNew)
}

// Decide decides on a request. Everything in the table must be durable on all replicas; due holds the
// acts that the sources propose.
func (a *Arbiter) Decide(table *Table, request Request, due []Act, now clock.Micros) Decision {
	a.RequestReceived(request, now)
	a.expirePermits(table, now)
	var decision Decision
	after := *table
	for _, outcome := range request.Outcomes {
		if settlement, exists := a.processOutcome(&after, request.Holder, outcome, now); exists {
			after.applySettlement(settlement)
			decision.Update.Settlements = append(decision.Update.Settlements, settlement)
			decision.Events = append(decision.Events, refusalEvents(request.Holder, outcome)...)
		}
	}
	for _, subject := range a.candidates(&after, due) {
		if request.ReportOnly {
			break
		}
		permits, grant, isNew := a.grant(&after, subject, request.Holder, due, now)
		decision.Permits = append(decision.Permits, permits...)
		if isNew {
			decision.Update.Grants = append(decision.Update.Grants, grant)
		}
	}
	decision.Events = append(decision.Events, changeEvents(table, &after)...)
	return decision
}

// expirePermits removes expired permits, and the state of subjects for which it is no longer needed.
func (a *Arbiter) expirePermits(table *Table, now clock.Micros) {
	for subject, state := range a.subjects {
		record := table.Record(subject)
		state.expire(a.settings, record.Holder, now)
		isUnused := record.Fence == 0 && now-state.lastPermitAt > a.settings.HolderLease
		if isUnused && len(state.pending) == 0 {
			delete(a.subjects, subject)
		}
	}
}

// processOutcome records the outcome of a permit and returns the resulting settlement; false if there is
// none.
func (a *Arbiter) processOutcome(table *Table, holder Holder, outcome Outcome, now clock.Micros) (Settlement, bool) {
	record := table.Record(outcome.Subject)
	state := a.stateOf(outcome.Subject)
	permit, isPending := state.pending[outcome.ID]
	delete(state.pending, outcome.ID)
	if isPending {
		a.Outcomes[outcome.Result]++
		state.lastResult, state.hasResult = outcome.Result, true
	}
	switch outcome.Result {
	case Done, Refused:
		state.recordSuccess(now)
		return Settlement{Subject: outcome.Subject, Numbers: []uint64{outcome.Number}}, settlesAct(table, record, holder, outcome)
	case NoAnswer:
		if isPending {
			state.recordNoAnswer(a.settings, holder, permit.batch, now)
		}
	case RetryLater:
		if isPending {
			state.recordRetryLater(a.settings, now)
		}
	}
	return Settlement{}, false
}

// settlesAct reports whether an act need not be performed again after an outcome. Done counts whichever
// holder reports it, because the content is the same. A refusal counts only from the current holder,
// since the external system may have refused a former holder's call because of its fence.
func settlesAct(table *Table, record Record, holder Holder, outcome Outcome) bool {
	if !record.isOpen(outcome.Number) || outcome.Fence <= table.FenceFloor {
		return false
	}
	isCurrent := outcome.Fence == record.Fence && holder == record.Holder
	return outcome.Result == Done || isCurrent
}

// candidates returns the subjects with open or new acts, the one with the least recent permit first.
func (a *Arbiter) candidates(table *Table, due []Act) []Subject {
	subjects := map[Subject]bool{}
	for subject, record := range table.Subjects {
		if len(record.Open) > 0 {
			subjects[subject] = true
		}
	}
	for _, act := range due {
		if act.Number > table.Record(act.Subject).LastNumber {
			subjects[act.Subject] = true
		}
	}
	return slices.SortedFunc(maps.Keys(subjects), func(one, other Subject) int {
		return cmp.Or(cmp.Compare(a.lastPermitAt(one), a.lastPermitAt(other)), compareSubjects(one, other))
	})
}

func (a *Arbiter) lastPermitAt(subject Subject) clock.Micros {
	if state := a.subjects[subject]; state != nil {
		return state.lastPermitAt
	}
	return 0
}

// grant returns the permits for a subject that a holder may have now. The grant must be recorded if isNew
// is set: it changes the holder, or decides the content of an act.
func (a *Arbiter) grant(table *Table, subject Subject, holder Holder, due []Act, now clock.Micros) (permits []Permit, grant Grant, isNew bool) {
	record, isKnown := table.Subjects[subject]
	if !a.isEligible(table, subject, holder, now) {
		return nil, Grant{}, false
	}
	newActs := undecidedActs(due, subject, record.LastNumber, now)
	if a.isBlocked(subject, record, newActs) || (!isKnown && !table.hasCapacity()) {
		return nil, Grant{}, false
	}
	grant = Grant{Subject: subject, Holder: holder, Fence: nextFence(table, subject, holder), Acts: newActs}
	isNewHolder := !isKnown || record.Fence != grant.Fence
	if isNewHolder || len(newActs) > 0 {
		table.applyGrant(grant)
		isNew = true
	}
	if isNewHolder {
		a.HolderChanges++
	}
	permits = a.permits(table.Record(subject), subject, now)
	a.applyInjectedFaults(permits, record, due)
	return permits, grant, isNew
}

// isBlocked reports whether no permit for a subject can be granted now, because all of its acts may be in
// progress, or because any act may be in progress on a subject with superseding acts.
func (a *Arbiter) isBlocked(subject Subject, record Record, newActs []Act) bool {
	state := a.stateOf(subject)
	if len(state.pending) == 0 {
		return false
	}
	if slices.ContainsFunc(slices.Concat(record.Open, newActs), func(act Act) bool { return act.Supersedes }) {
		return true
	}
	isPending := func(act Act) bool { return state.isPending(act.Number) }
	return len(newActs) == 0 && !slices.ContainsFunc(record.Open, func(act Act) bool { return !isPending(act) })
}

// permits returns new permits for a subject's open acts to its holder, as far as the rate limit allows.
func (a *Arbiter) permits(record Record, subject Subject, now clock.Micros) []Permit {
	state := a.stateOf(subject)
	state.lastPermitAt = now
	a.lastBatch++
	var permits []Permit
	for _, act := range record.Open {
		if state.isPending(act.Number) || !a.rate.take(now) {
			continue
		}
		a.lastSerial++
		id := PermitID{Epoch: a.epoch, Serial: a.lastSerial}
		state.pending[id] = pendingPermit{number: act.Number, batch: a.lastBatch, expiresAt: now + a.settings.Validity}
		permits = append(permits, Permit{Act: act, ID: id, Holder: record.Holder, Fence: record.Fence})
	}
	a.Permits += int64(len(permits))
	return permits
}

// applyInjectedFaults modifies permits as the injected faults require.
func (a *Arbiter) applyInjectedFaults(permits []Permit, former Record, due []Act) {
	for i := range permits {
		if a.faults.StaleFence && former.Fence > 0 {
			permits[i].Fence = former.Fence
		}
		for _, act := range due {
			if a.faults.LatestProposedContent && act.Subject == permits[i].Subject && act.Number == permits[i].Number {
				permits[i].Content = act.Content
			}
		}
	}
}

// nextFence returns the fence of a holder's next permit for a subject.
func nextFence(table *Table, subject Subject, holder Holder) uint64 {
	record, isKnown := table.Subjects[subject]
	switch {
	case !isKnown:
		return table.firstFence()
	case record.Holder == holder:
		return record.Fence
	default:
		return record.Fence + 1
	}
}

// isEligible reports whether a node may have the next permit for a subject now.
func (a *Arbiter) isEligible(table *Table, subject Subject, holder Holder, now clock.Micros) bool {
	state := a.stateOf(subject)
	isExcluded := state.isExcluded(holder, now) && a.hasSuccessor(state, holder, now)
	if now < state.retryAt || isExcluded || !a.rate.allows(now) {
		return false
	}
	record, isKnown := table.Subjects[subject]
	if isKnown && record.Holder == holder {
		return true
	}
	// Prefer another node to the primary, so that one failure does not take out both the primary and
	// the holder.
	if holder == a.self && a.hasSuccessor(state, holder, now) {
		return false
	}
	isFirst := !isKnown && table.FenceFloor == 0
	return isFirst || a.mayTakeOver(record.Holder, state, now)
}

// hasSuccessor reports whether a node other than the holder is present and may take over a subject.
func (a *Arbiter) hasSuccessor(state *subjectState, holder Holder, now clock.Micros) bool {
	for other, requestedAt := range a.requestedAt {
		isPresent := now-requestedAt < a.settings.PresenceTimeout
		if other != holder && isPresent && !state.isExcluded(other, now) {
			return true
		}
	}
	return false
}

// mayTakeOver reports whether a subject may be reassigned from its holder: all of the holder's permits
// have expired, and the holder is absent or excluded from the subject.
func (a *Arbiter) mayTakeOver(former Holder, state *subjectState, now clock.Micros) bool {
	// A previous primary may have granted the holder a permit until this one took over.
	lastPermitAt := max(state.lastPermitAt, a.servingSince)
	if now < lastPermitAt+a.settings.HolderLease && !a.faults.NoHolderLease {
		return false
	}
	requestedAt, hasRequested := a.requestedAt[former]
	if !hasRequested {
		requestedAt = a.servingSince
	}
	return state.isExcluded(former, now) || a.faults.IgnorePresence || now-requestedAt >= a.settings.PresenceTimeout
}

func (a *Arbiter) stateOf(subject Subject) *subjectState {
	state := a.subjects[subject]
	if state == nil {
		state = &subjectState{pending: map[PermitID]pendingPermit{}}
		a.subjects[subject] = state
	}
	return state
}

// undecidedActs returns the due acts of a subject that are numbered above its last decided act, in order.
func undecidedActs(due []Act, subject Subject, lastNumber uint64, now clock.Micros) []Act {
	var newActs []Act
	for _, act := range due {
		if act.Subject == subject && act.Number > lastNumber {
			act.DecidedAt = now
			newActs = append(newActs, act)
		}
	}
	slices.SortStableFunc(newActs, func(one, other Act) int { return cmp.Compare(one.Number, other.Number) })
	return newActs
}
