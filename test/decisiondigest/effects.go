package decisiondigest

import (
	"fmt"
	"reflect"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/machine"
)

// effectKind is the kind of an effect as a digest knows it, whatever its Go name is.
type effectKind uint64

// The numbers stand in every recorded digest: a new kind gets a new number.
const (
	logEvent        effectKind = 0 // decides nothing, and its words may change
	sendMessage     effectKind = 1
	writeRecords    effectKind = 2
	compactRecords  effectKind = 3
	archiveRecords  effectKind = 4
	deleteArchives  effectKind = 5
	answerCall      effectKind = 6
	publishUpdate   effectKind = 7
	receivedUpdate  effectKind = 8
	runWork         effectKind = 9
	requestAnswer   effectKind = 10
	broadcastUpdate effectKind = 11
	updatesComplete effectKind = 12
	haltDaemon      effectKind = 13
)

//revive:disable-next-line:cyclomatic one case for each type of effect
func kindOf(effect machine.Effect) effectKind {
	switch effect.(type) {
	case machine.LogEvent:
		return logEvent
	case machine.Send:
		return sendMessage
	case machine.Persist:
		return writeRecords
	case machine.Compact:
		return compactRecords
	case machine.Archive:
		return archiveRecords
	case machine.DeleteArchive:
		return deleteArchives
	case machine.Reply:
		return answerCall
	case machine.Publish:
		return publishUpdate
	case machine.UpdateReceived:
		return receivedUpdate
	case machine.Execute:
		return runWork
	case machine.Request:
		return requestAnswer
	case machine.Broadcast:
		return broadcastUpdate
	case machine.Freshness:
		return updatesComplete
	case machine.Halt:
		return haltDaemon
	}
	panic(fmt.Sprintf("no kind is known of the effect %T: give it a number of its own here", effect))
}

// restatedTexts are the texts in messages that only restate a decision for a person:
// their words may change.
func restatedTexts() textFields {
	out := textFields{}
	restated(out, func(reply *election.VoteResponse) *string { return &reply.Reason })
	restated(out, func(heartbeat *election.Heartbeat) *string { return &heartbeat.Role })
	restated(out, func(refusal *batchstore.RegistrationRejected) *string { return &refusal.Reason })
	return out
}

// textFields are the indices of some fields that hold texts, by the type of the struct.
type textFields map[reflect.Type][]int

// restated adds the field that `field` points at. A function names it, so that the
// compiler checks it and a renaming takes it along.
func restated[T any](out textFields, field func(*T) *string) {
	var message T
	whole := reflect.ValueOf(&message).Elem()
	address := reflect.ValueOf(field(&message)).Pointer()
	for i := range whole.NumField() {
		if whole.Field(i).Kind() == reflect.String && whole.Field(i).Addr().Pointer() == address {
			out[whole.Type()] = append(out[whole.Type()], i)
			return
		}
	}
	panic(fmt.Sprintf("the function points at no text of a %T itself", message))
}
