package batchstore

// The units and kinds of a store's records: unitShard begins the unit of a shard, and
// kindBatch is the kind of a batch on the shelf. These spellings are on disk; they never
// change.
const (
	unitSelf     = "self"
	unitShard    = "slot/"
	kindReserved = "reserved"
	kindWriter   = "writer"
	kindBatch    = "bundle"
)
