package election

import "tuliprudder/internal/machine"

// The log events of the election.
type (
	// CampaignStarted tells that this core asks the voters for a term.
	CampaignStarted struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// BootstrapStarted tells that this core asks the other cores at the seeds to bootstrap the fleet.
	BootstrapStarted struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// TermWon tells that the voters granted this core a term; its replicas are sent the state next.
	TermWon struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
	}
	// BecamePrimary tells that the term is committed, and this core serves.
	BecamePrimary struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// ForeignCoreIgnored tells that a core of another fleet sends heartbeats to this one.
	ForeignCoreIgnored struct {
		machine.Warning
		Peer  string `json:"peer"`
		Fleet string `json:"fleet"`
	}
)

// EventName is the event's key in the log.
func (CampaignStarted) EventName() string { return "campaign_started" }

// EventName is the event's key in the log.
func (BootstrapStarted) EventName() string { return "bootstrap_started" }

// EventName is the event's key in the log.
func (TermWon) EventName() string { return "term_won" }

// EventName is the event's key in the log.
func (BecamePrimary) EventName() string { return "became_primary" }

// EventName is the event's key in the log.
func (ForeignCoreIgnored) EventName() string { return "foreign_core_ignored" }
