package election

import "tuliprudder/internal/machine"

// The log events of the election.
type (
	// CampaignStarted is logged when this core requests the votes for a term.
	CampaignStarted struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// BootstrapStarted is logged when this core requests the votes of the other cores at the seeds to
	// bootstrap the fleet.
	BootstrapStarted struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// TermWon is logged when the voters have granted this core a term; next it sends the state to the
	// replicas of that term.
	TermWon struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
	}
	// BecamePrimary is logged when the term is committed and this core begins to serve.
	BecamePrimary struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// ForeignCoreIgnored is logged when a heartbeat of a core of another fleet arrives.
	ForeignCoreIgnored struct {
		machine.Warning
		Peer  string `json:"peer"`
		Fleet string `json:"fleet"`
	}
)

// EventName returns the event's key in the log.
func (CampaignStarted) EventName() string { return "campaign_started" }

// EventName returns the event's key in the log.
func (BootstrapStarted) EventName() string { return "bootstrap_started" }

// EventName returns the event's key in the log.
func (TermWon) EventName() string { return "term_won" }

// EventName returns the event's key in the log.
func (BecamePrimary) EventName() string { return "became_primary" }

// EventName returns the event's key in the log.
func (ForeignCoreIgnored) EventName() string { return "foreign_core_ignored" }
