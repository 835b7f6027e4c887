package modelcheck

import (
	"fmt"
	"reflect"

	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/replication"
)

// The kinds of message between cores as traces spell them. Traces are kept in
// testdata and in incident notes, so these spellings never change.
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

// messageKinds are the spellings by the Go type of the message's body.
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

// kind is the message's kind as traces spell it. A type without a spelling of its own
// ends the search: its traces could not be read back.
func (m message) kind() string {
	kind, known := messageKinds[reflect.TypeOf(m.body)]
	if !known {
		panic(fmt.Sprintf("a message of type %T has no spelling in traces", m.body))
	}
	return kind
}
