package shard

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// snapshotPart is one part of a snapshot: the positions, spans and failed attempts (the first part),
// one batch or one claim. Its JSON is stored and sent; the keys never change.
type snapshotPart struct {
	Batch         *Batch        `json:"bundle,omitempty"`
	Claim         *Claim        `json:"claim,omitempty"`
	LastPositions map[int]int64 `json:"last,omitempty"`
	Ownerships    []Ownership   `json:"tenures,omitempty"`
	// FailedAttempts are a part of the first part too.
	FailedAttempts map[string]map[int]int `json:"failed_attempts,omitempty"`
}

func (p snapshotPart) encode() []byte {
	data, _ := json.Marshal(p)
	return data
}

// Snapshot is the whole state for another member, in parts that are made one by one, in an order
// that depends on the state only.
type Snapshot struct {
	state *State
	// batches and claims are their IDs in order. The positions are the first part.
	batches, claims []string
	readArchived    func(*Batch) []byte
}

// Snapshot is the whole state. readArchived gives an archived batch as the archive has it
// (BeginArchiving): the other member doesn't have this daemon's archive. The state must not
// change while parts are made.
func (s *State) Snapshot(readArchived func(*Batch) []byte) *Snapshot {
	return &Snapshot{
		state:        s,
		batches:      slices.Sorted(maps.Keys(s.Batches)),
		claims:       slices.Sorted(maps.Keys(s.Claims)),
		readArchived: readArchived,
	}
}

// Sizes gives about how many bytes each part has.
func (s *Snapshot) Sizes() []int {
	sizes := []int{len(s.state.positionsPart())}
	for _, id := range s.batches {
		sizes = append(sizes, s.state.Batches[id].size())
	}
	for _, id := range s.claims {
		sizes = append(sizes, len(snapshotPart{Claim: s.state.Claims[id]}.encode()))
	}
	return sizes
}

// Part makes one part.
func (s *Snapshot) Part(index int) []byte {
	if index == 0 {
		return s.state.positionsPart()
	}
	index--
	if index < len(s.batches) {
		return s.batchPart(s.state.Batches[s.batches[index]])
	}
	return snapshotPart{Claim: s.state.Claims[s.claims[index-len(s.batches)]]}.encode()
}

func (s *Snapshot) batchPart(batch *Batch) []byte {
	if batch.Archived == nil {
		return snapshotPart{Batch: batch}.encode()
	}
	return wrapBatch(s.readArchived(batch))
}

// wrapBatch is the part of a batch that is encoded already.
func wrapBatch(batch []byte) []byte {
	const before, after = `{"bundle":`, `}`
	out := make([]byte, 0, len(before)+len(batch)+len(after))
	out = append(out, before...)
	out = append(out, batch...)
	return append(out, after...)
}

func (s *State) positionsPart() []byte {
	return snapshotPart{LastPositions: s.LastPositions, Ownerships: s.Ownerships, FailedAttempts: s.FailedAttempts}.encode()
}

// LocalParts is the whole state in parts for this daemon's own disk: they refer to its archive, for
// those batches too whose file is being written. So the file has to be durable before the parts
// are.
func (s *State) LocalParts() [][]byte {
	out := [][]byte{s.positionsPart()}
	for _, id := range slices.Sorted(maps.Keys(s.Batches)) {
		out = append(out, snapshotPart{Batch: s.Batches[id].withoutArchivedData()}.encode())
	}
	for _, id := range slices.Sorted(maps.Keys(s.Claims)) {
		out = append(out, snapshotPart{Claim: s.Claims[id]}.encode())
	}
	return out
}

// Restore makes the state from the parts of a snapshot; without parts it is empty.
func Restore(parts [][]byte) (*State, error) {
	s := New()
	for _, data := range parts {
		var part snapshotPart
		if err := json.Unmarshal(data, &part); err != nil {
			return nil, errors.Wrap(err, "reading a part of a shard's snapshot")
		}
		s.restorePart(part)
	}
	return s, nil
}

func (s *State) restorePart(part snapshotPart) {
	if part.LastPositions != nil {
		s.LastPositions = part.LastPositions
		s.Ownerships = part.Ownerships
	}
	if part.FailedAttempts != nil { // a batch may have some before any result has a position
		s.FailedAttempts = part.FailedAttempts
	}
	if batch := part.Batch; batch != nil {
		batch.hasResult = map[int]bool{}
		for _, result := range batch.Results {
			batch.hasResult[result.Item] = true
		}
		s.Batches[batch.ID] = batch
	}
	if claim := part.Claim; claim != nil {
		s.Claims[ClaimID(claim.Tenant, claim.Key)] = claim
	}
}
