package batchstore

// The units and kinds of a store's records: unitShard begins the unit of a shard, unitSelf
// has the store's own records, and kindBatch is the kind of a batch in an archive file.
// These spellings are on disk; they never change.
const (
	unitSelf     = "self"
	unitShard    = "slot/"
	kindReserved = "reserved"
	kindWriter   = "writer"
	kindBatch    = "bundle"
)
