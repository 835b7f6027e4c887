package modelcheck

import (
	"fmt"

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

// kind is the message's kind as traces spell it. A type without a spelling of its own
// ends the search: its traces could not be read back.
//
//revive:disable-next-line:cyclomatic one case for each type of message
func (m message) kind() string {
	switch m.body.(type) {
	case election.Heartbeat:
		return kindHeartbeat
	case election.VoteRequest:
		return kindVoteRequest
	case election.VoteResponse:
		return kindVoteResponse
	case election.Commit:
		return kindCommit
	case election.CommitAck:
		return kindCommitAck
	case replication.SnapshotChunk:
		return kindSnapshotChunk
	case replication.SnapshotChunkAck:
		return kindSnapshotChunkAck
	case replication.Append:
		return kindAppend
	case replication.AppendAck:
		return kindAppendAck
	case replication.StaleEpoch:
		return kindStaleEpoch
	case replication.LeaseRequest:
		return kindLeaseRequest
	case replication.LeaseGrant:
		return kindLeaseGrant
	case replication.LeaseRelease:
		return kindLeaseRelease
	}
	panic(fmt.Sprintf("a message of type %T has no spelling in traces", m.body))
}
