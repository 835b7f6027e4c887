package exclusive

import (
	"maps"
	"slices"

	"tuliprudder/internal/machine"
)

// Log events of the primary about acts.
type (
	// HolderChanged is logged when a subject is assigned to another holder.
	HolderChanged struct {
		machine.Info
		Subject Subject `json:"subject"`
		Holder  string  `json:"holder"`
		Former  string  `json:"former"`
		Fence   uint64  `json:"fence"`
	}
	// ActRefused is logged when the external system rejects an act permanently; the act is not retried.
	ActRefused struct {
		machine.Warning
		Subject Subject `json:"subject"`
		Number  uint64  `json:"number"`
		Holder  string  `json:"holder"`
		Remedy  string  `json:"remedy"`
	}
	// ActAbandoned is logged when an open act is dropped because its subject has too many.
	ActAbandoned struct {
		machine.Warning
		Subject Subject `json:"subject"`
		Number  uint64  `json:"number"`
		Remedy  string  `json:"remedy"`
	}
)

// EventName returns the event's key in the log.
func (HolderChanged) EventName() string { return "act_holder_changed" }

// EventName returns the event's key in the log.
func (ActRefused) EventName() string { return "act_refused" }

// EventName returns the event's key in the log.
func (ActAbandoned) EventName() string { return "act_abandoned" }

// refusalEvents returns the event of an outcome that settled an act, if it is a refusal.
func refusalEvents(holder Holder, outcome Outcome) []machine.Event {
	if outcome.Result != Refused {
		return nil
	}
	return []machine.Event{ActRefused{Subject: outcome.Subject, Number: outcome.Number, Holder: holder.Name,
		Remedy: "check the external system for why it rejects this act; it is not sent again"}}
}

// changeEvents returns the events for what a decision changed in the table.
func changeEvents(before, after *Table) (events []machine.Event) {
	for _, subject := range slices.Sorted(maps.Keys(after.Subjects)) {
		former, record := before.Record(subject), after.Record(subject)
		if former.Fence == record.Fence && former.LastNumber == record.LastNumber {
			continue
		}
		if former.Holder != record.Holder {
			events = append(events, HolderChanged{Subject: subject, Holder: record.Holder.Name, Former: former.Holder.Name, Fence: record.Fence})
		}
		events = append(events, abandonedEvents(subject, former, record)...)
	}
	return events
}

// abandonedEvents returns the events of the acts that were dropped for newer ones.
func abandonedEvents(subject Subject, former, record Record) (events []machine.Event) {
	if len(record.Open) < maxOpenActs {
		return nil
	}
	for _, act := range former.Open {
		if act.Number < record.Open[0].Number {
			events = append(events, ActAbandoned{Subject: subject, Number: act.Number,
				Remedy: "check why the external system accepts no acts on this subject"})
		}
	}
	return events
}
