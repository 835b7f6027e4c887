package shard

import "tuliprudder/internal/machine"

// Entry is one change of a shard, as it is replicated and stored. The types of entries are
// SubmitBatch, ListResult, RecordFailure, EndBatch, BeginClaim, CompleteClaim and Forget, one a file.
// Their JSON is on the disks of the stores; the keys never change.
type Entry interface {
	// Apply changes the state. The result depends on the state and the entry only.
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

// Encode is an entry as it is replicated and stored.
func Encode(e Entry) []byte {
	if submit, ok := e.(SubmitBatch); ok {
		return encodeSubmit(submit)
	}
	return entries.Encode(e.kind(), e)
}

// Decode reads an entry. It fails on an entry that is damaged, and on one of a kind that
// this release does not know: an entry is never skipped.
func Decode(data []byte) (Entry, error) {
	if len(data) > 0 && data[0] == formatWithBodies {
		return decodeSubmitWithBodies(data)
	}
	return entries.Decode(data)
}
