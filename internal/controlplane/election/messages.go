package election

import (
	"tuliprudder/internal/replication"
	"tuliprudder/internal/transport"
)

// Messages between cores. Their Go names and those of their fields are on the wire.
type (
	// Heartbeat tells the others that a core lives, and what it keeps as a voter.
	Heartbeat struct {
		Core        CoreRef
		Incarnation uint64
		Fleet       string
		Vote        Vote
		Role        string
		HoldsLease  bool     // it is primary and holds its lease
		Draining    bool     // it is about to stop
		Bootstrap   bool     // its settings say that this is the first start of the fleet
		HeardCores  []string // the cores that it has heard lately
	}
	// VoteRequest asks a voter for a term.
	VoteRequest struct {
		Fleet      string
		Assignment replication.Assignment
		Voters     []CoreRef // under that term
		Base       uint64    // the newest committed term that the candidate knows
		Candidate  CoreRef
		Bootstrap  bool
	}
	// VoteResponse answers it.
	VoteResponse struct {
		Epoch   uint64
		From    string
		Granted bool
		Reason  string // why it was not granted
		Vote    Vote
	}
	// Commit asks a voter to write down that the group of a term is complete. CommittedByAll
	// tells that majorities of all quorums have done so.
	Commit struct {
		Fleet          string
		Assignment     replication.Assignment
		Voters         []CoreRef
		OldVoters      []CoreRef
		CommittedByAll bool
	}
	// CommitAck answers it.
	CommitAck struct {
		Epoch uint64
		From  string
	}
)

func init() {
	transport.Register(Heartbeat{}, VoteRequest{}, VoteResponse{}, Commit{}, CommitAck{})
}
