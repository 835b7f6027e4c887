package shard

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// snapshotPart is one part of a snapshot: the positions and spans (the first part), one
// batch or one claim. Its JSON is stored and sent; the keys never change.
type snapshotPart struct {
	Batch         *Batch        `json:"bundle,omitempty"`
	Claim         *Claim        `json:"claim,omitempty"`
	LastPositions map[int]int64 `json:"last,omitempty"`
	Ownerships    []Ownership   `json:"tenures,omitempty"`
}

func (p snapshotPart) encode() []byte {
	data, _ := json.Marshal(p)
	return data
}

// Snapshot is the whole state in parts, in an order that depends on the state only.
// readArchived returns the complete batch of an archived one, for a member that doesn't
// have this daemon's archive; nil leaves references to the archive.
func (s *State) Snapshot(readArchived func(*Batch) *Batch) [][]byte {
	out := [][]byte{snapshotPart{LastPositions: s.LastPositions, Ownerships: s.Ownerships}.encode()}
	for _, id := range slices.Sorted(maps.Keys(s.Batches)) {
		batch := s.Batches[id]
		if batch.Archived != nil && readArchived != nil {
			batch = readArchived(batch)
		}
		out = append(out, snapshotPart{Batch: batch}.encode())
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
