package store

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/transport"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/token"
)

// What reading daemons ask a keeper; each has an expiry in its own body, so
// that the keeper answers before the asker gives up.
type (
	// EnrolAsk hands a bundle in.
	EnrolAsk struct {
		Slot   int
		Bundle shard.Bundle
		Expiry clock.Micros
	}
	// Receipt is the answer once the bundle is on two disks.
	Receipt struct {
		Bundle   string
		Items    int
		Repeated bool
		Store    string
	}
	// EndAsk ends a bundle.
	EndAsk struct {
		Slot             int
		Bundle, Customer string
		Anyone           bool // see StatusAsk
		Expiry           clock.Micros
	}
	// StatusAsk asks how a bundle stands.
	StatusAsk struct {
		Slot             int
		Bundle, Customer string
		Anyone           bool // the caller carries no key: a bundle without one is found by its name alone
		Operator         bool // of any customer, with its items' servers
	}
	// Status is how a bundle stands at its keeper.
	Status struct {
		Bundle   string       `json:"bundle"`
		Route    string       `json:"route"`
		State    string       `json:"state"`
		Items    int          `json:"items"`
		Listed   int          `json:"listed"`
		Store    string       `json:"keeper"`
		Writer   int          `json:"writer"`
		Slot     int          `json:"slot"`
		Epoch    uint64       `json:"epoch"`
		Replicas []string     `json:"replicas"`
		Enrolled clock.Micros `json:"enrolled_us"`
		Customer string       `json:"customer"`
		Rows     []shard.Row  `json:"rows"` // for operators
	}
	// ReadAsk reads rows after a vector, up to a vector: of one bundle, or of
	// all a customer's bundles in the slots named with their epochs.
	ReadAsk struct {
		Slots            map[int]uint64
		Bundle, Customer string
		Anyone           bool // see StatusAsk
		After            token.Vector
		Bound            map[int]token.Vector // by slot
		Most             int
		// Indexed reads one bundle's own list by index instead: from From on, as
		// far as every row before is readable, with at most MostBytes of outputs
		// (0: no bound) but at least one row where one is readable.
		Indexed   bool
		From      int
		MostBytes int
	}
	// Rows answers a read; More when the page was cut.
	Rows struct {
		Rows  []shard.Row
		State string
		Items int // all the bundle has, shelved or not
		More  bool
		Index int // of the first row in the bundle's list, where it was read by index
	}
	// ItemAsk asks for the body of an item, by its id, that is not listed yet.
	ItemAsk struct {
		Slot         int
		Bundle, Item string
	}
	// ItemAnswer is that body.
	ItemAnswer struct{ Body []byte }
	// ClaimAsk claims a key for a one-shot order.
	ClaimAsk struct {
		Slot   int
		Claim  shard.Claim
		Expiry clock.Micros
	}
	// ClaimAnswer says whether the claim is the asker's, or how the earlier
	// order of the key went.
	ClaimAnswer struct {
		Yours bool
		Claim shard.Claim
	}
	// SettleAsk notes how a claimed order went.
	SettleAsk struct {
		Slot   int
		ID     string
		State  string
		Answer []byte
		Expiry clock.Micros
	}
	// Settled answers it.
	Settled struct{ Done bool }
	// ShowAsk asks for the keeper's own account of itself.
	ShowAsk struct{ Brief bool }
	// Shown is that account.
	Shown struct {
		Store      string      `json:"store"`
		Zone       string      `json:"zone"`
		Writer     int         `json:"writer"`
		Life       uint64      `json:"life"`
		UpTo       int64       `json:"up_to"`
		Next       int64       `json:"next"`
		Unfinished int         `json:"unfinished"`
		Slots      []SlotShown `json:"slots"`
	}
	// SlotShown is one slot of it.
	SlotShown struct {
		Slot    int    `json:"slot"`
		Role    string `json:"role"`
		Epoch   uint64 `json:"epoch"`
		Seq     uint64 `json:"seq"`
		Open    int    `json:"open"`
		Bundles int    `json:"bundles"`
		Peer    string `json:"peer"`
	}
	// Beat is a store's word to the cores.
	Beat struct {
		ID, Zone, Peer string
		Name           string // the operator's name of the machine; "": none
		Life           uint64
		Ready          map[int]uint64 // slots copied, by epoch
		Fleet          string         // "" before a core gave it a writer id
		Draining       bool
		Stalled        bool                   // its disk holds writes back
		Silent         map[int]SilentReplicas // of the slots it leads
		Busy           []int                  // owned slots with bundles that are open: moving them runs items again
	}
	// SilentReplicas are the replicas that don't answer the primary of an epoch, by
	// their addresses.
	SilentReplicas struct {
		Epoch uint64
		Peers []string
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
	transport.Register(EnrolAsk{}, Receipt{}, EndAsk{}, StatusAsk{}, Status{}, ReadAsk{}, Rows{}, ItemAsk{}, ItemAnswer{},
		ClaimAsk{}, ClaimAnswer{}, SettleAsk{}, Settled{}, ShowAsk{}, Shown{}, Beat{}, Welcome{}, Unwelcome{})
}
