package modelcheck

import (
	"fmt"
	"reflect"

	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/replication"
)

// The kinds of message between cores, as spelled in traces. Traces are stored in testdata and in
// incident notes, so these spellings must not change.
const (
	kindHeartbeat        = "Heartbeat"
	kindVoteRequest      = "VoteRequest"
	kindVoteResponse     = "VoteReply"
	kindCommit           = "Commit"
	kindCommitAck        = "CommitAck"
	kindSnapshotChunk    = "Copy"
	kindSnapshotChunkAck = "Took"
	kindAppend           = "Append"
	kindAppendAck        = "Ack"
	kindStaleEpoch       = "Fenced"
	kindLeaseRequest     = "Beat"
	kindLeaseGrant       = "Leased"
	kindLeaseRelease     = "Yield"
)

// messageKinds maps the Go type of a message's body to its spelling.
var messageKinds = map[reflect.Type]string{
	reflect.TypeFor[election.Heartbeat]():           kindHeartbeat,
	reflect.TypeFor[election.VoteRequest]():         kindVoteRequest,
	reflect.TypeFor[election.VoteResponse]():        kindVoteResponse,
	reflect.TypeFor[election.Commit]():              kindCommit,
	reflect.TypeFor[election.CommitAck]():           kindCommitAck,
	reflect.TypeFor[replication.SnapshotChunk]():    kindSnapshotChunk,
	reflect.TypeFor[replication.SnapshotChunkAck](): kindSnapshotChunkAck,
	reflect.TypeFor[replication.Append]():           kindAppend,
	reflect.TypeFor[replication.AppendAck]():        kindAppendAck,
	reflect.TypeFor[replication.StaleEpoch]():       kindStaleEpoch,
	reflect.TypeFor[replication.LeaseRequest]():     kindLeaseRequest,
	reflect.TypeFor[replication.LeaseGrant]():       kindLeaseGrant,
	reflect.TypeFor[replication.LeaseRelease]():     kindLeaseRelease,
}

// kind returns the message's kind as spelled in traces. It panics for a type without a spelling,
// because traces with it could not be parsed.
func (m message) kind() string {
	kind, known := messageKinds[reflect.TypeOf(m.body)]
	if !known {
		panic(fmt.Sprintf("a message of type %T has no spelling in traces", m.body))
	}
	return kind
}
