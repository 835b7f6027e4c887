package exclusive

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// requestRetention is for how long the arbiter remembers a node that requests no permits any more.
const requestRetention = 60 * clock.Second

// Arbiter is what the primary knows of permits beside the table. It is forgotten with the primary: the
// next one lets a whole HolderLease pass before a subject changes hands.
type Arbiter struct {
	settings Settings
	faults   InjectedFaults
	self     Holder // this core, where it performs acts itself

	epoch        uint64 // of the term in which this core serves
	servingSince clock.Micros
	lastSerial   uint64 // of a permit
	lastBatch    uint64
	rate         rateLimiter
	subjects     map[Subject]*subjectState
	requestedAt  map[Holder]clock.Micros // when each node's latest request came

	Counters
}

// Counters count since the start of the daemon.
type Counters struct {
	Permits       int64 // that were granted
	HolderChanges int64
	Outcomes      map[Result]int64
}

// NewArbiter makes an arbiter; Start is called before its first decision.
func NewArbiter(settings Settings) *Arbiter {
	a := &Arbiter{settings: settings, Counters: Counters{Outcomes: map[Result]int64{}}}
	a.Start(0, 0)
	return a
}

// InjectFaults plants faults. For tests only.
func (a *Arbiter) InjectFaults(faults InjectedFaults) { a.faults = faults }

// SetSelf sets which holder this core itself is.
func (a *Arbiter) SetSelf(self Holder) { a.self = self }

// Start begins anew: this core serves as primary of a term from now on.
func (a *Arbiter) Start(epoch uint64, now clock.Micros) {
	a.epoch, a.servingSince = epoch, now
	a.lastSerial, a.lastBatch = 0, 0
	a.rate = newRateLimiter(a.settings.CallsPerSecond, now)
	a.subjects = map[Subject]*subjectState{}
	a.requestedAt = map[Holder]clock.Micros{}
}

// RequestReceived records that a node sent a request. One that leaves its subjects counts as absent.
func (a *Arbiter) RequestReceived(request Request, now clock.Micros) {
	a.requestedAt[request.Holder] = now
	if request.ReportOnly {
		a.requestedAt[request.Holder] = now - a.settings.PresenceTimeout
	}
	maps.DeleteFunc(a.requestedAt, func(_ Holder, at clock.Micros) bool { return now-at > requestRetention })
}

// Decision answers a request. The update has to be durable before the holder may hear of the permits.
type Decision struct {
	Permits []Permit
	Update  Update
	Events  []machine.Event // to be logged
}

// Response is the decision as the holder is sent it.
func (a *Arbiter) Response(permits []Permit) Response {
	return Response{Permits: permits, Validity: a.settings.Validity}
}

// IsNoOp tells that a request can't change anything: it reports nothing, and nothing is to be done.
func IsNoOp(table *Table, request Request, due []Act) bool {
	isNew := func(act Act) bool { return act.Number > table.Record(act.Subject).LastNumber }
	return len(request.Outcomes) == 0 && table.OpenActCount() == 0 && !slices.ContainsFunc(due, isNew)
}

// Decide decides on a request. Everything in the table is durable on all replicas; due are the acts
// that the sources propose.
func (a *Arbiter) Decide(table *Table, request Request, due []Act, now clock.Micros) Decision {
	a.RequestReceived(request, now)
	a.expirePermits(table, now)
	var decision Decision
	after := *table
	for _, outcome := range request.Outcomes {
		if settlement, isSettled := a.processOutcome(&after, request.Holder, outcome, now); isSettled {
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

// expirePermits ends the permits that no holder may perform any more, and forgets what is of no use.
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

// processOutcome takes the outcome of a permit, and gives the settlement that follows; false where none does.
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

// settlesAct tells whether an act need not be performed any more after an outcome. That it was done is
// true whoever did it, as its content is the same. A refusal of a former holder may be due to its fence.
func settlesAct(table *Table, record Record, holder Holder, outcome Outcome) bool {
	if !record.isOpen(outcome.Number) || outcome.Fence <= table.FenceFloor {
		return false
	}
	isCurrent := outcome.Fence == record.Fence && holder == record.Holder
	return outcome.Result == Done || isCurrent
}

// candidates are the subjects that have something to perform, the one that waited longest first.
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

// grant gives a holder the permits for a subject that it may have now. The grant is to be recorded where
// it is new: the holder, or the content of an act.
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

// isBlocked tells whether no permit for a subject can be granted now: every act of it may be being
// performed, or one that a newer one would supersede.
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

// permits gives the holder of a subject permits for its open acts, as far as the outside system takes
// calls.
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

// applyInjectedFaults changes permits as the planted faults would.
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

// nextFence is the fence of a holder's next permit.
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

// isEligible tells whether a node may have the next permit for a subject now.
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
	// A holder that isn't the primary survives the loss of the primary, and the primary its loss.
	if holder == a.self && a.hasSuccessor(state, holder, now) {
		return false
	}
	isFirst := !isKnown && table.FenceFloor == 0
	return isFirst || a.mayTakeOver(record.Holder, state, now)
}

// hasSuccessor tells whether a node other than a holder is present that may take a subject over.
func (a *Arbiter) hasSuccessor(state *subjectState, holder Holder, now clock.Micros) bool {
	for other, requestedAt := range a.requestedAt {
		isPresent := now-requestedAt < a.settings.PresenceTimeout
		if other != holder && isPresent && !state.isExcluded(other, now) {
			return true
		}
	}
	return false
}

// mayTakeOver tells whether a subject may pass on from its holder: all permits of it have expired, and
// it is absent or has to leave the subject.
func (a *Arbiter) mayTakeOver(former Holder, state *subjectState, now clock.Micros) bool {
	// A former primary may have granted the holder a permit until it was succeeded.
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

// undecidedActs are the acts of a subject beyond the number of the last decided one, in order.
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
