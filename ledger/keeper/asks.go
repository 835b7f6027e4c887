package keeper

import (
	"tuliprudder/kernel/footbridge"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/waypost"
)

// What reading daemons ask a keeper; each has an expiry in its own body, so
// that the keeper answers before the asker gives up.
type (
	// EnrolAsk hands a bundle in.
	EnrolAsk struct {
		Slot   int
		Bundle daybook.Bundle
		Expiry sundial.Micros
	}
	// Receipt is the answer once the bundle is on two disks.
	Receipt struct {
		Bundle   string
		Items    int
		Repeated bool
		Keeper   string
	}
	// EndAsk ends a bundle.
	EndAsk struct {
		Slot             int
		Bundle, Customer string
		Expiry           sundial.Micros
	}
	// StatusAsk asks how a bundle stands.
	StatusAsk struct {
		Slot             int
		Bundle, Customer string
		Operator         bool // of any customer, with its items' servers
	}
	// Status is how a bundle stands at its keeper.
	Status struct {
		Bundle, Route string
		State         string
		Items, Listed int
		Keeper        string
		Writer        int
		Slot          int
		Epoch         uint64
		Backup        string
		Enrolled      sundial.Micros
		Customer      string
		Rows          []daybook.Row // for operators
	}
	// ReadAsk reads rows after a vector, up to a vector: of one bundle, or of
	// all a customer's bundles in the slots named with their epochs.
	ReadAsk struct {
		Slots            map[int]uint64
		Bundle, Customer string
		After            waypost.Vector
		Bound            map[int]waypost.Vector // by slot
		Most             int
	}
	// Rows answers a read; More when the page was cut.
	Rows struct {
		Rows  []daybook.Row
		State string
		Items int
		More  bool
	}
	// ClaimAsk claims a key for a one-shot order.
	ClaimAsk struct {
		Slot   int
		Claim  daybook.Claim
		Expiry sundial.Micros
	}
	// ClaimAnswer says whether the claim is the asker's, or how the earlier
	// order of the key went.
	ClaimAnswer struct {
		Yours bool
		Claim daybook.Claim
	}
	// SettleAsk notes how a claimed order went.
	SettleAsk struct {
		Slot   int
		ID     string
		State  string
		Answer []byte
		Expiry sundial.Micros
	}
	// Settled answers it.
	Settled struct{ Done bool }
	// ShowAsk asks for the keeper's own account of itself.
	ShowAsk struct{ Brief bool }
	// Shown is that account.
	Shown struct {
		Store, Zone string
		Writer      int
		Life        uint64
		UpTo, Next  int64
		Unfinished  int
		Slots       []SlotShown
	}
	// SlotShown is one slot of it.
	SlotShown struct {
		Slot    int
		Role    string
		Epoch   uint64
		Seq     uint64
		Open    int
		Bundles int
		Peer    string
	}
	// Beat is a store's word to the cores.
	Beat struct {
		ID, Zone, Peer string
		Life           uint64
		Ready          map[int]uint64 // slots copied, by epoch
		Draining       bool
		Stalled        bool           // its disk holds writes back
		Lonely         map[int]uint64 // owned slots whose backup does not answer, by epoch
	}
	// Unwelcome turns a store away for good: its folder is a copy, or an old one.
	Unwelcome struct {
		ID   string
		Life uint64
		Why  string
	}
	// Welcome tells a store its writer id and the fleet.
	Welcome struct {
		Fleet  string
		Writer int
		Seq    uint64
	}
)

func init() {
	footbridge.Register(EnrolAsk{}, Receipt{}, EndAsk{}, StatusAsk{}, Status{}, ReadAsk{}, Rows{},
		ClaimAsk{}, ClaimAnswer{}, SettleAsk{}, Settled{}, ShowAsk{}, Shown{}, Beat{}, Welcome{}, Unwelcome{})
}
