package control

import (
	"encoding/json"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/transport"
	"tuliprudder/ledger/replication"
)

// Messages between cores.
type (
	// Heartbeat tells the others that a core lives, and what it keeps as a voter.
	Heartbeat struct {
		Core      CoreRef
		Life      uint64
		Fleet     string
		Vote      Vote
		Role      string
		Leading   bool     // it is primary and holds its lease
		Leaving   bool     // it is about to go
		Bootstrap bool     // its settings say that this is the first start
		Hears     []string // the cores that it has heard of late
	}
	// VoteRequest asks a voter for a term.
	VoteRequest struct {
		Fleet      string
		Assignment replication.Assignment
		Voters     []CoreRef // under that term
		Base       uint64    // the newest committed term that the candidate knows
		From       CoreRef
		Founding   bool
	}
	// VoteReply answers it.
	VoteReply struct {
		Epoch uint64
		From  string
		Yes   bool
		Why   string
		Vote  Vote
	}
	// Commit asks a voter to write down that the group of a term is complete. Settled
	// tells that majorities of all electorates have.
	Commit struct {
		Fleet      string
		Assignment replication.Assignment
		Voters     []CoreRef
		OldVoters  []CoreRef
		Settled    bool
	}
	// CommitAck answers it.
	CommitAck struct {
		Epoch uint64
		From  string
	}
)

// What daemons ask the primary.
type (
	// PutPlanAsk hands a whole configuration in. HasBase: only where Base is the
	// version in force, 0 where none is. Number is the operator's own version; 0: the
	// core numbers it. Sent again as it was it gets the same answer; one without a
	// number and without a base can't be recognised, and is a new one each time.
	PutPlanAsk struct {
		Body    []byte
		Number  uint64
		Base    uint64
		HasBase bool
		By      string
		Expiry  clock.Micros
	}
	// PlanReceipt acknowledges a configuration, once every replica has it on disk.
	PlanReceipt struct{ Version uint64 }
	// PlansAsk reads configurations back: one version, the latest one that is
	// confirmed, or a list.
	PlansAsk struct {
		Version uint64
		Latest  bool
	}
	// Plans is the answer. A list has the versions that can be read back, without
	// their documents, and every order that is still recognised.
	Plans struct {
		Versions []state.Version
		Orders   []state.Order
	}
	// RetireAsk empties a store and retires it; Back takes it back, Look changes
	// nothing. Where ID is "" the store that the operator calls Name is meant.
	RetireAsk struct {
		ID     string
		Name   string
		Back   bool
		Look   bool
		Expiry clock.Micros
	}
	// RetireReceipt tells how far it is.
	RetireReceipt struct {
		ID   string
		Done bool
		Left int // slots that still depend on it
	}
	// ShowAsk asks a core for its own account.
	ShowAsk struct{ Brief bool }
	// Shown is that account.
	Shown struct {
		Core  CoreRef
		Role  string
		Epoch uint64
		Vote  Vote
		Map   json.RawMessage
		Plan  uint64
	}
)

func init() {
	transport.Register(Heartbeat{}, VoteRequest{}, VoteReply{}, Commit{}, CommitAck{},
		PutPlanAsk{}, PlanReceipt{}, RetireAsk{}, RetireReceipt{}, PlansAsk{}, Plans{}, ShowAsk{}, Shown{})
}
