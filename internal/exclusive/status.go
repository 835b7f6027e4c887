package exclusive

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

// SubjectStatus is the status of a subject, for operators. They are given its JSON, so the keys must not
// change.
type SubjectStatus struct {
	Subject Subject `json:"subject"`
	Holder  string  `json:"holder"`
	Fence   uint64  `json:"fence"`
	// LastNumber is the number of the latest act whose content was decided.
	LastNumber uint64 `json:"last_number"`
	// LastResult is the latest result reported for a permit of this primary; "" before the first.
	LastResult string `json:"last_result"`
	// Failures is the number of consecutive failures without an answer.
	Failures int         `json:"failures"`
	Open     []ActStatus `json:"open"`
}

// ActStatus is the status of an act that is decided and not known to be done. Operators are given its
// JSON, so the keys must not change.
type ActStatus struct {
	Number uint64 `json:"number"`
	// AgeUS is the time since its content was decided, in microseconds.
	AgeUS clock.Micros `json:"age_us"`
	// IsPending: a node may be performing it now.
	IsPending bool `json:"pending"`
}

// Status returns the status of all subjects, sorted by name.
func (a *Arbiter) Status(table *Table, now clock.Micros) []SubjectStatus {
	list := []SubjectStatus{}
	for _, subject := range slices.Sorted(maps.Keys(table.Subjects)) {
		list = append(list, a.subjectStatus(subject, table.Subjects[subject], now))
	}
	return list
}

func (a *Arbiter) subjectStatus(subject Subject, record Record, now clock.Micros) SubjectStatus {
	status := SubjectStatus{Subject: subject, Holder: record.Holder.Name, Fence: record.Fence, LastNumber: record.LastNumber, Open: []ActStatus{}}
	state := a.subjects[subject]
	if state == nil {
		state = &subjectState{}
	}
	status.Failures = state.failures
	if state.hasResult {
		status.LastResult = state.lastResult.String()
	}
	for _, act := range record.Open {
		status.Open = append(status.Open, ActStatus{Number: act.Number, AgeUS: max(0, now-act.DecidedAt), IsPending: state.isPending(act.Number)})
	}
	return status
}

// OldestOpenAge returns the age of the oldest open act, or 0 if there is none.
func (t *Table) OldestOpenAge(now clock.Micros) clock.Micros {
	age := clock.Micros(0)
	for _, record := range t.Subjects {
		for _, act := range record.Open {
			age = max(age, now-act.DecidedAt)
		}
	}
	return age
}

// OpenActCount returns the number of acts that are decided and not known to be done.
func (t *Table) OpenActCount() (count int) {
	for _, record := range t.Subjects {
		count += len(record.Open)
	}
	return count
}
