package shard

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// snapshotPart is one part of a snapshot: the positions, ownership spans and failed attempts (the first
// part), one batch, or one claim. Its JSON is stored and sent, so the keys must not change.
type snapshotPart struct {
	Batch         *Batch        `json:"bundle,omitempty"`
	Claim         *Claim        `json:"claim,omitempty"`
	LastPositions map[int]int64 `json:"last,omitempty"`
	Ownerships    []Ownership   `json:"tenures,omitempty"`
	// FailedAttempts also belongs to the first part.
	FailedAttempts map[string]map[int]int `json:"failed_attempts,omitempty"`
}

func (p snapshotPart) encode() []byte {
	data, _ := json.Marshal(p)
	return data
}

// Snapshot is the full state for another member, in parts that are encoded one by one, in an order
// that depends only on the state.
type Snapshot struct {
	state *State
	// batches and claims are the sorted IDs. Their parts follow the part with the positions.
	batches, claims []string
	readArchived    func(*Batch) []byte
}

// Snapshot returns the full state for another member, which has no access to this daemon's archive:
// readArchived returns an archived batch as it is encoded in the archive (BeginArchiving). The state
// must not change while parts are encoded.
func (s *State) Snapshot(readArchived func(*Batch) []byte) *Snapshot {
	return &Snapshot{
		state:        s,
		batches:      slices.Sorted(maps.Keys(s.Batches)),
		claims:       slices.Sorted(maps.Keys(s.Claims)),
		readArchived: readArchived,
	}
}

// Sizes returns the approximate size of each part in bytes.
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

// Part encodes one part.
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

// wrapBatch returns the part for a batch that is already encoded.
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

// LocalParts returns the full state in parts for this daemon's own disk. The parts refer to its
// archive, even for batches whose archive file is still being written. So that file must be durable
// before the parts are.
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

// Restore rebuilds the state from the parts of a snapshot. Without parts the state is empty.
func Restore(parts [][]byte) (*State, error) {
	s := New()
	for _, data := range parts {
		var part snapshotPart
		if err := json.Unmarshal(data, &part); err != nil {
			return nil, errors.Wrap(err, "decoding a part of a shard's snapshot")
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
	if part.FailedAttempts != nil { // may be set although no result has a position yet
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
