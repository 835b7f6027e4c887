package exclusive

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

// Settings are the times of permits; Defaults has the usual values.
type Settings struct {
	// Validity is for how long a holder may perform an act, from the moment at which it asked for
	// the permit. Default 2 s.
	Validity clock.Micros
	// HolderLease is for how long after its last permit a subject stays with its holder. It is longer
	// than Validity, so that the former holder's calls have ended before the next one's begin.
	// Default 3.5 s.
	HolderLease clock.Micros
	// MinRetryDelay and MaxRetryDelay are between two permits for an act that was not done; the delay
	// doubles with each. Defaults 300 ms and 2 s.
	MinRetryDelay, MaxRetryDelay clock.Micros
	// MaxFailures is how many of its permits in a row may end without an answer of the outside system
	// until a holder has to leave the subject to another. Default 3.
	MaxFailures int
	// ExclusionTime is for how long such a holder gets no permit for the subject. Default 10 s.
	ExclusionTime clock.Micros
}

// Defaults are the usual settings.
func Defaults() Settings {
	return Settings{
		Validity:      2 * clock.Second,
		HolderLease:   3500 * clock.Millisecond,
		MinRetryDelay: 300 * clock.Millisecond,
		MaxRetryDelay: 2 * clock.Second,
		MaxFailures:   3,
		ExclusionTime: 10 * clock.Second,
	}
}

// Arbiter is what the primary knows of permits beside the table. It is forgotten with the primary: the
// next one lets a whole HolderLease pass before a subject changes hands.
type Arbiter struct {
	settings     Settings
	servingSince clock.Micros
	subjects     map[Subject]*attempts
}

// attempts is what the arbiter knows of one subject.
type attempts struct {
	lastPermitAt  clock.Micros // 0: none was granted by this primary
	notBefore     clock.Micros // when the next permit is due
	delay         clock.Micros // between the last permit and the next
	failures      int          // permits in a row without an answer of the outside system
	excluded      string       // holder that has to leave the subject to another; "" for none
	excludedUntil clock.Micros
}

// NewArbiter makes an arbiter; Start is called before its first decision.
func NewArbiter(settings Settings) *Arbiter {
	return &Arbiter{settings: settings, subjects: map[Subject]*attempts{}}
}

// Start begins anew: this core serves as primary from now on.
func (a *Arbiter) Start(now clock.Micros) {
	a.servingSince = now
	a.subjects = map[Subject]*attempts{}
}

// Offer is the permits that a node may have now, with the grants that have to be durable before the
// node may hear of them. A permit of the present holder for acts that are decided needs none.
type Offer struct {
	Permits []Permit
	Grants  []Grant
}

// Decide makes the offer to a node. due are the acts that the sources propose.
func (a *Arbiter) Decide(table *Table, holder string, due []Act, now clock.Micros) Offer {
	var offer Offer
	for _, subject := range subjectsOf(table, due) {
		record := table.Record(subject)
		fresh := actsOf(due, subject, record.LastNumber)
		if len(record.Open)+len(fresh) == 0 || !a.isEligible(record, subject, holder, now) {
			continue
		}
		granted := *table
		grant := Grant{Subject: subject, Holder: holder, Fence: record.nextFence(holder), Acts: fresh}
		if grant.Fence != record.Fence || len(fresh) > 0 {
			granted.ApplyGrant(grant)
			offer.Grants = append(offer.Grants, grant)
		}
		for _, act := range granted.Record(subject).Open {
			offer.Permits = append(offer.Permits, Permit{Act: act, Holder: holder, Fence: grant.Fence})
		}
		a.setPermitted(subject, now)
	}
	return offer
}

// nextFence is the fence of a holder's next permit.
func (r Record) nextFence(holder string) uint64 {
	if r.Fence > 0 && r.Holder == holder {
		return r.Fence
	}
	return r.Fence + 1
}

// isEligible tells whether a node may have the next permit for a subject now.
func (a *Arbiter) isEligible(record Record, subject Subject, holder string, now clock.Micros) bool {
	known := a.attemptsAt(subject)
	if now < known.notBefore {
		return false
	}
	if known.excluded == holder && now < known.excludedUntil {
		return false
	}
	isFirst := record.Fence == 0
	if isFirst || record.Holder == holder {
		return true
	}
	// A former primary may have granted the holder a permit until it was succeeded.
	lastPermitAt := max(known.lastPermitAt, a.servingSince)
	return now >= lastPermitAt+a.settings.HolderLease
}

// setPermitted records that a permit for a subject is being granted. Its holder asked for it before, so
// that it expires within Validity from now. The next one is not due before, unless this one's outcome
// is reported.
func (a *Arbiter) setPermitted(subject Subject, now clock.Micros) {
	known := a.attemptsAt(subject)
	known.lastPermitAt = now
	known.notBefore = now + a.settings.Validity
}

// Report takes the outcome of a permit, and gives the settlement that follows; false where none does.
func (a *Arbiter) Report(table *Table, outcome Outcome, now clock.Micros) (Settlement, bool) {
	record := table.Record(outcome.Subject)
	if outcome.Fence != record.Fence || outcome.Holder != record.Holder {
		return Settlement{}, false // of a former holder
	}
	known := a.attemptsAt(outcome.Subject)
	switch outcome.Result {
	case Done, Refused:
		known.failures, known.delay, known.notBefore = 0, 0, now
		return Settlement{Subject: outcome.Subject, Numbers: []uint64{outcome.Number}}, true
	case NoAnswer:
		known.failures++
		if known.failures >= a.settings.MaxFailures {
			known.failures = 0
			known.excluded, known.excludedUntil = outcome.Holder, now+a.settings.ExclusionTime
		}
	case RetryLater:
		known.failures = 0
	}
	known.delay = min(a.settings.MaxRetryDelay, max(a.settings.MinRetryDelay, 2*known.delay))
	known.notBefore = now + known.delay
	return Settlement{}, false
}

func (a *Arbiter) attemptsAt(subject Subject) *attempts {
	known := a.subjects[subject]
	if known == nil {
		known = &attempts{}
		a.subjects[subject] = known
	}
	return known
}

// subjectsOf are the subjects that have something to perform, in order.
func subjectsOf(table *Table, due []Act) []Subject {
	subjects := map[Subject]bool{}
	for subject, record := range table.Subjects {
		if len(record.Open) > 0 {
			subjects[subject] = true
		}
	}
	for _, act := range due {
		subjects[act.Subject] = true
	}
	return slices.Sorted(maps.Keys(subjects))
}

// actsOf are the acts of a subject beyond a number.
func actsOf(due []Act, subject Subject, lastNumber uint64) []Act {
	var out []Act
	for _, act := range due {
		if act.Subject == subject && act.Number > lastNumber {
			out = append(out, act)
		}
	}
	return out
}
