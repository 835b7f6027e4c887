package exclusive

import (
	"maps"
	"slices"

	"tuliprudder/internal/machine"
)

// The log events of the primary about acts.
type (
	// HolderChanged tells that a subject has another holder.
	HolderChanged struct {
		machine.Info
		Subject Subject `json:"subject"`
		Holder  string  `json:"holder"`
		Former  string  `json:"former"`
		Fence   uint64  `json:"fence"`
	}
	// ActRefused tells that the outside system will never take an act; it is given up.
	ActRefused struct {
		machine.Warning
		Subject Subject `json:"subject"`
		Number  uint64  `json:"number"`
		Holder  string  `json:"holder"`
		Remedy  string  `json:"remedy"`
	}
	// ActAbandoned tells that an act was given up since too many wait.
	ActAbandoned struct {
		machine.Warning
		Subject Subject `json:"subject"`
		Number  uint64  `json:"number"`
		Remedy  string  `json:"remedy"`
	}
)

// EventName is the event's key in the log.
func (HolderChanged) EventName() string { return "act_holder_changed" }

// EventName is the event's key in the log.
func (ActRefused) EventName() string { return "act_refused" }

// EventName is the event's key in the log.
func (ActAbandoned) EventName() string { return "act_abandoned" }

// refusalEvents is the event of an outcome that settled an act, where it is a refusal.
func refusalEvents(holder Holder, outcome Outcome) []machine.Event {
	if outcome.Result != Refused {
		return nil
	}
	return []machine.Event{ActRefused{Subject: outcome.Subject, Number: outcome.Number, Holder: holder.Name,
		Remedy: "see at the outside system why it refuses this act; it isn't sent again"}}
}

// changeEvents are the events of what a decision changed in the table.
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

// abandonedEvents are the events of the acts that were given up for newer ones.
func abandonedEvents(subject Subject, former, record Record) (events []machine.Event) {
	if len(record.Open) < maxOpenActs {
		return nil
	}
	for _, act := range former.Open {
		if act.Number < record.Open[0].Number {
			events = append(events, ActAbandoned{Subject: subject, Number: act.Number,
				Remedy: "see why the outside system takes no acts on this subject"})
		}
	}
	return events
}
