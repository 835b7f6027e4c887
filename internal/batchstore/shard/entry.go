package shard

import "tuliprudder/internal/machine"

// Entry is one change to a shard, as it is replicated and stored. The entry types are
// SubmitBatch, ListResult, RecordFailure, EndBatch, BeginClaim, CompleteClaim and Purge, one per file.
// Their JSON is stored on disk, so the keys must not change.
type Entry interface {
	// Apply changes the state. The result must depend only on the state and the entry.
	Apply(s *State)
	kind() string
}

func (SubmitBatch) kind() string   { return kindSubmitBatch }
func (ListResult) kind() string    { return kindListResult }
func (EndBatch) kind() string      { return kindEndBatch }
func (BeginClaim) kind() string    { return kindBeginClaim }
func (CompleteClaim) kind() string { return kindCompleteClaim }
func (Purge) kind() string         { return kindPurge }
func (RecordFailure) kind() string { return kindRecordFailure }

var entries = machine.EntryCodec[Entry]{
	kindSubmitBatch:   machine.Decoder(func(e SubmitBatch) Entry { return e }),
	kindListResult:    machine.Decoder(func(e ListResult) Entry { return e }),
	kindEndBatch:      machine.Decoder(func(e EndBatch) Entry { return e }),
	kindBeginClaim:    machine.Decoder(func(e BeginClaim) Entry { return e }),
	kindCompleteClaim: machine.Decoder(func(e CompleteClaim) Entry { return e }),
	kindPurge:         machine.Decoder(func(e Purge) Entry { return e }),
	kindRecordFailure: machine.Decoder(func(e RecordFailure) Entry { return e }),
}

// Encode encodes an entry as it is replicated and stored.
func Encode(e Entry) []byte {
	if submit, ok := e.(SubmitBatch); ok {
		return encodeSubmit(submit)
	}
	return entries.Encode(e.kind(), e)
}

// Decode decodes an entry. It fails on a corrupt entry, and on one of a kind that this release
// does not know, because no entry may be skipped.
func Decode(data []byte) (Entry, error) {
	if len(data) > 0 && data[0] == formatWithBodies {
		return decodeSubmitWithBodies(data)
	}
	return entries.Decode(data)
}
