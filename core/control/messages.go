package control

import (
	"encoding/json"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/transport"
	"tuliprudder/ledger/replication"
)

// CoreRef is the identity of one core.
type CoreRef struct {
	ID   string `json:"id"`
	Peer string `json:"peer"`
	Zone string `json:"zone"`
}

// Vote is all that a core keeps as a witness: epochs, and who they name.
type Vote struct {
	Fleet   string                 `json:"fleet"`
	Granted uint64                 `json:"granted"`
	Grant   replication.Assignment `json:"grant"`
	Cores   []CoreRef              `json:"cores"`
	Done    replication.Assignment `json:"done"`
	Voters  []CoreRef              `json:"sworn"` // the cores at the last complete pair
}

// Messages between cores.
type (
	// Heartbeat is a core's beat; it carries its vote's epochs.
	Heartbeat struct {
		Core  CoreRef
		Life  uint64
		Fleet string
		Vote  Vote
		Role  string
	}
	// VoteRequest asks a witness for an epoch.
	VoteRequest struct {
		Fleet      string
		Assignment replication.Assignment
		Cores      []CoreRef
		Base       uint64 // the claimant's last complete epoch
		From       CoreRef
	}
	// VoteReply answers it.
	VoteReply struct {
		Epoch uint64
		From  string
		Yes   bool
		Why   string
		Vote  Vote
	}
	// Commit asks a witness to write down that a pair is complete.
	Commit struct {
		Fleet      string
		Assignment replication.Assignment
		Cores      []CoreRef
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
