package decisiondigest

import (
	"fmt"
	"reflect"

	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
)

// effectKind is the kind of an effect as a digest knows it, whatever its Go name is.
type effectKind uint64

// The numbers are part of every recorded digest: a new kind gets a new number.
const (
	logEvent        effectKind = 0 // decides nothing, and its text may change
	sendMessage     effectKind = 1
	writeRecords    effectKind = 2
	compactRecords  effectKind = 3
	archiveRecords  effectKind = 4
	deleteArchives  effectKind = 5
	answerCall      effectKind = 6
	publishUpdate   effectKind = 7
	receivedUpdate  effectKind = 8
	executeTask     effectKind = 9
	requestAnswer   effectKind = 10
	broadcastUpdate effectKind = 11
	updatesComplete effectKind = 12
	haltDaemon      effectKind = 13
)

// effectKinds are the kinds by the Go type of the effect.
var effectKinds = map[reflect.Type]effectKind{
	reflect.TypeFor[machine.LogEvent]():       logEvent,
	reflect.TypeFor[machine.Send]():           sendMessage,
	reflect.TypeFor[machine.Persist]():        writeRecords,
	reflect.TypeFor[machine.Compact]():        compactRecords,
	reflect.TypeFor[machine.Archive]():        archiveRecords,
	reflect.TypeFor[machine.DeleteArchive]():  deleteArchives,
	reflect.TypeFor[machine.Reply]():          answerCall,
	reflect.TypeFor[machine.Publish]():        publishUpdate,
	reflect.TypeFor[machine.UpdateReceived](): receivedUpdate,
	reflect.TypeFor[machine.Execute]():        executeTask,
	reflect.TypeFor[machine.Request]():        requestAnswer,
	reflect.TypeFor[machine.Broadcast]():      broadcastUpdate,
	reflect.TypeFor[machine.Freshness]():      updatesComplete,
	reflect.TypeFor[machine.Halt]():           haltDaemon,
}

func kindOf(effect machine.Effect) effectKind {
	kind, known := effectKinds[reflect.TypeOf(effect)]
	if !known {
		panic(fmt.Sprintf("no kind is known of the effect %T: give it a number of its own here", effect))
	}
	return kind
}

// explanatoryFields are the texts in messages that only restate a decision for a person: they may
// be worded otherwise.
func explanatoryFields() textFields {
	out := textFields{}
	addExplanatoryField(out, func(reply *election.VoteResponse) *string { return &reply.Reason })
	addExplanatoryField(out, func(heartbeat *election.Heartbeat) *string { return &heartbeat.Role })
	addExplanatoryField(out, func(rejection *registration.Rejected) *string { return &rejection.Reason })
	return out
}

// textFields are the indices of some fields of type string, by the type of the struct.
type textFields map[reflect.Type][]int

// addExplanatoryField adds the field that `field` points at. A function names it, so that the
// compiler checks it and a renaming takes it along.
func addExplanatoryField[T any](out textFields, field func(*T) *string) {
	var message T
	structure := reflect.ValueOf(&message).Elem()
	address := reflect.ValueOf(field(&message)).Pointer()
	for i := range structure.NumField() {
		if structure.Field(i).Kind() == reflect.String && structure.Field(i).Addr().Pointer() == address {
			out[structure.Type()] = append(out[structure.Type()], i)
			return
		}
	}
	panic(fmt.Sprintf("the function points at no string field of a %T itself", message))
}
