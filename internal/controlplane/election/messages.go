package election

import (
	"tuliprudder/internal/replication"
	"tuliprudder/internal/transport"
)

// Messages between cores. Their Go names and those of their fields are on the wire.
type (
	// Heartbeat announces that a core is alive, with its state as a voter.
	Heartbeat struct {
		Core        CoreRef
		Incarnation uint64
		Fleet       string
		Vote        Vote
		Role        string
		HoldsLease  bool     // the core is primary and holds its lease
		Draining    bool     // the core is about to stop
		Bootstrap   bool     // the core's settings mark this as the first start of the fleet
		HeardCores  []string // other cores from which the core receives heartbeats
	}
	// VoteRequest asks a voter to grant a term to the candidate.
	VoteRequest struct {
		Fleet      string
		Assignment replication.Assignment
		Voters     []CoreRef // voters under that term
		Base       uint64    // newest committed term that the candidate knows
		Candidate  CoreRef
		Bootstrap  bool
	}
	// VoteResponse answers a VoteRequest.
	VoteResponse struct {
		Epoch   uint64
		From    string
		Granted bool
		Reason  string // why it was not granted
		Vote    Vote
	}
	// Commit asks a voter to persist that the group of a term is complete. CommittedByAll says that
	// majorities of all quorums have done so.
	Commit struct {
		Fleet          string
		Assignment     replication.Assignment
		Voters         []CoreRef
		OldVoters      []CoreRef
		CommittedByAll bool
	}
	// CommitAck answers a Commit once it is persisted.
	CommitAck struct {
		Epoch uint64
		From  string
	}
)

func init() {
	transport.Register(Heartbeat{}, VoteRequest{}, VoteResponse{}, Commit{}, CommitAck{})
}
