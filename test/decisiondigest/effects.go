package decisiondigest

import (
	"fmt"
	"reflect"

	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
)

// effectKind identifies a kind of effect in a digest, independently of its Go name.
type effectKind uint64

// The numbers are part of every recorded digest and must not change; a new kind gets a new number.
const (
	logEvent        effectKind = 0 // not a decision; its text may change
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

// effectKinds maps the Go type of an effect to its kind.
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
		panic(fmt.Sprintf("effect type %T has no kind: add one with a new number to effectKinds", effect))
	}
	return kind
}

// explanatoryFields returns the text fields of messages that only explain a decision to people and
// may be reworded.
func explanatoryFields() textFields {
	out := textFields{}
	addExplanatoryField(out, func(reply *election.VoteResponse) *string { return &reply.Reason })
	addExplanatoryField(out, func(heartbeat *election.Heartbeat) *string { return &heartbeat.Role })
	addExplanatoryField(out, func(rejection *registration.Rejected) *string { return &rejection.Reason })
	return out
}

// textFields maps a struct type to the indices of some of its string fields.
type textFields map[reflect.Type][]int

// addExplanatoryField adds the struct field whose address the function returns. The field is given
// by a function so that the compiler checks it and rename tools follow it.
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
	panic(fmt.Sprintf("the function does not return the address of a direct string field of %T", message))
}
