package store

// The units and kinds of a store's records: unitSlot begins the unit of a slot, and
// kindBundle is the kind of a bundle on the shelf. These spellings are on disk; they never
// change.
const (
	unitSelf     = "self"
	unitSlot     = "slot/"
	kindReserved = "reserved"
	kindWriter   = "writer"
	kindBundle   = "bundle"
)
