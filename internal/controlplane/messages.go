package controlplane

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
	"tuliprudder/internal/transport"
)

// Messages between cores.
type (
	// Heartbeat tells the others that a core lives, and what it keeps as a voter.
	Heartbeat struct {
		Core        CoreRef
		Incarnation uint64
		Fleet       string
		Vote        Vote
		Role        string
		HoldsLease  bool     // it is primary and holds its lease
		Draining    bool     // it is about to go
		Bootstrap   bool     // its settings say that this is the first start
		HeardCores  []string // the cores that it has heard of late
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
		Reason  string
		Vote    Vote
	}
	// Commit asks a voter to write down that the group of a term is complete. Settled
	// tells that majorities of all electorates have.
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

// What daemons ask the primary.
type (
	// PutConfigurationRequest hands a whole configuration in. HasBase: only where Base is the
	// version in force, 0 where none is. Number is the operator's own version; 0: the
	// core numbers it. Sent again as it was it gets the same answer; one without a
	// number and without a base can't be recognised, and is a new one each time.
	PutConfigurationRequest struct {
		Body    []byte
		Number  uint64
		Base    uint64
		HasBase bool
		By      string
		Timeout clock.Micros
	}
	// PutConfigurationResponse acknowledges a configuration, once every replica has it on disk.
	PutConfigurationResponse struct{ Version uint64 }
	// ConfigurationsRequest reads configurations back: one version, the latest one that is
	// confirmed, or a list.
	ConfigurationsRequest struct {
		Version uint64
		Latest  bool
	}
	// ConfigurationsResponse is the answer. A list has the versions that can be read back, without
	// their documents, and every order that is still recognised.
	ConfigurationsResponse struct {
		Versions []state.Version
		Requests []state.AppliedRequest
	}
	// RetireRequest empties a store and retires it; Back takes it back, Look changes
	// nothing. Where ID is "" the store that the operator calls Name is meant.
	RetireRequest struct {
		ID       string
		Name     string
		Cancel   bool
		ReadOnly bool
		Timeout  clock.Micros
	}
	// RetireResponse tells how far it is.
	RetireResponse struct {
		ID         string
		Done       bool
		ShardsLeft int // shards that still depend on it
	}
	// StatusRequest asks a core for its own account.
	StatusRequest struct{ Brief bool }
	// StatusResponse is that account.
	StatusResponse struct {
		Core                 CoreRef
		Role                 string
		Epoch                uint64
		Vote                 Vote
		Map                  json.RawMessage
		ConfigurationVersion uint64
	}
)

func init() {
	transport.Register(Heartbeat{}, VoteRequest{}, VoteResponse{}, Commit{}, CommitAck{},
		PutConfigurationRequest{}, PutConfigurationResponse{}, RetireRequest{}, RetireResponse{}, ConfigurationsRequest{}, ConfigurationsResponse{}, StatusRequest{}, StatusResponse{})
}
