package storedformat

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/registration"
	_ "tuliprudder/internal/daemon/machines" // registers the messages of every role
	"tuliprudder/internal/dataplane/batchshare"
	"tuliprudder/internal/dataplane/observations"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/replication"
	"tuliprudder/internal/transport"
)

// messageFieldsFile lists the types and fields of all messages between daemons.
var messageFieldsFile = filepath.Join("testdata", "message-fields.txt")

// registeredMessages has a value of each type that transport.Register received.
var registeredMessages = []any{
	batchshare.Demand{},
	batchstore.BatchStatus{}, batchstore.BatchStatusRequest{}, batchstore.ClaimRequest{}, batchstore.ClaimResponse{},
	batchstore.CompleteClaimRequest{}, batchstore.CompleteClaimResponse{}, batchstore.EndRequest{},
	batchstore.ItemBodyRequest{}, batchstore.ItemBodyResponse{}, batchstore.ReadRequest{}, batchstore.ReadResponse{},
	batchstore.StatusRequest{}, batchstore.StatusResponse{}, batchstore.SubmitRequest{}, batchstore.SubmitResponse{},
	controlplane.ActsRequest{}, controlplane.ActsResponse{},
	controlplane.ConfigurationsRequest{}, controlplane.ConfigurationsResponse{},
	controlplane.PatchConfigurationRequest{}, controlplane.PutConfigurationRequest{}, controlplane.PutConfigurationResponse{},
	controlplane.RetireRequest{}, controlplane.RetireResponse{},
	controlplane.StatusRequest{}, controlplane.StatusResponse{},
	election.Commit{}, election.CommitAck{}, election.Heartbeat{}, election.VoteRequest{}, election.VoteResponse{},
	exclusive.Request{}, exclusive.Response{},
	gossip.Announcement{}, gossip.Digest{}, gossip.DigestFetch{}, gossip.DigestReply{}, gossip.DigestUpdates{},
	gossip.FetchUpdates{}, gossip.Gossip{}, gossip.IndirectProbe{}, gossip.IndirectResult{}, gossip.Probe{},
	gossip.ProbeReply{}, gossip.PushAck{}, gossip.PushUpdate{}, gossip.Shuffle{},
	observations.Reports{},
	primaryreport.Reply{}, primaryreport.Report{},
	quota.LeaseRequest{}, quota.LeaseResponse{}, quota.PendingReports{}, quota.PendingReportsResponse{},
	quota.UsageRequest{}, quota.UsageResponse{},
	registration.Heartbeat{}, registration.Registered{}, registration.Rejected{},
	replication.Append{}, replication.AppendAck{}, replication.LeaseGrant{}, replication.LeaseRelease{},
	replication.LeaseRequest{}, replication.SnapshotChunk{}, replication.SnapshotChunkAck{}, replication.StaleEpoch{},
}

// messageFields lists every field that gob writes for a value of the type: its path from the
// message down, and its kind. The names of the types below a message are not on the wire.
func messageFields(path string, valueType reflect.Type) []string {
	switch valueType.Kind() {
	case reflect.Pointer:
		return messageFields(path, valueType.Elem())
	case reflect.Slice, reflect.Array:
		if valueType.Elem().Kind() == reflect.Uint8 {
			return []string{path + " bytes"}
		}
		return messageFields(path+"[]", valueType.Elem())
	case reflect.Map:
		return append(messageFields(path+"[key]", valueType.Key()), messageFields(path+"[value]", valueType.Elem())...)
	case reflect.Struct:
		lines := []string{path + " struct"}
		for i := range valueType.NumField() {
			if field := valueType.Field(i); field.IsExported() {
				lines = append(lines, messageFields(path+"."+field.Name, field.Type)...)
			}
		}
		return lines
	}
	return []string{path + " " + valueType.Kind().String()}
}

// Messages are encoded with the names of their Go types and fields, with tags or without. A rename
// fails here: to a daemon of another build of the same protocol version it would be an unknown
// type, or a field that is ignored without an error.
func TestMessageTypesAndFieldsAreAsRecorded(t *testing.T) {
	var kinds []string
	lines := []string{"method " + transport.CallMethod, "method " + transport.DeliverMethod}
	for _, message := range registeredMessages {
		kind := fmt.Sprintf("%T", message)
		kinds = append(kinds, kind)
		lines = append(lines, messageFields(kind, reflect.TypeOf(message))...)
	}
	slices.Sort(kinds)
	registered := transport.Kinds()
	slices.Sort(registered)
	if !slices.Equal(kinds, registered) {
		t.Errorf("the test walks the types %v; registered are %v", kinds, registered)
	}
	for _, frame := range []any{transport.Envelope{}, transport.MessageBatch{}, transport.DeliverReply{}, transport.CallReply{}} {
		lines = append(lines, messageFields(fmt.Sprintf("%T", frame), reflect.TypeOf(frame))...)
	}
	slices.Sort(lines)
	if *writeFixtures {
		must(t, os.WriteFile(messageFieldsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	data, err := os.ReadFile(messageFieldsFile)
	must(t, err)
	recorded := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	for _, line := range recorded {
		if !slices.Contains(lines, line) {
			t.Errorf("recorded, and no longer there: %s", line)
		}
	}
	for _, line := range lines {
		if !slices.Contains(recorded, line) {
			t.Errorf("there, and not recorded: %s", line)
		}
	}
}
