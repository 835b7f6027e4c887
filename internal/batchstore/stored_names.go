package batchstore

// The units and kinds of a store's records: unitShard is the prefix of a shard's unit, unitSelf
// is the unit of the store's own records, and kindBatch is the kind of a batch in an archive file.
// The strings are stored on disk and must not change.
const (
	unitSelf     = "self"
	unitShard    = "slot/"
	kindReserved = "reserved"
	kindWriter   = "writer"
	kindBatch    = "bundle"
)
