package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"tuliprudder/internal/errs"
)

// A snapshot consists of a header that identifies its format (snapshotMagic), a checksum and the
// state as JSON. The previous release wrote the JSON alone.
const (
	snapshotHeaderSize  = len(snapshotMagic) + crc32.Size
	maxSnapshotPartSize = 64 << 10 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot encodes the full state, in parts of bounded size.
func (s *State) Snapshot() [][]byte {
	body, _ := json.Marshal(s)
	data := make([]byte, 0, snapshotHeaderSize+len(body))
	data = append(data, snapshotMagic...)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(body, castagnoli))
	data = append(data, body...)
	var parts [][]byte
	for len(data) > maxSnapshotPartSize {
		parts = append(parts, data[:maxSnapshotPartSize:maxSnapshotPartSize])
		data = data[maxSnapshotPartSize:]
	}
	return append(parts, data)
}

// Restore decodes a snapshot, including one of the previous release. No parts stand for
// the empty state.
func Restore(parts [][]byte) (*State, error) {
	fresh := New()
	data := bytes.Join(parts, nil)
	if len(data) == 0 {
		return fresh, nil
	}
	if data[0] == '{' {
		return restoreFirstFormat(fresh, data)
	}
	if len(data) < snapshotHeaderSize || string(data[:len(snapshotMagicPrefix)]) != snapshotMagicPrefix {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "the data is not a snapshot of the control state")
	}
	if magic := string(data[:len(snapshotMagic)]); magic != snapshotMagic {
		return nil, errs.New(errs.WrongFolder, "run the release that wrote it, or the one before or after that release", "the control state has format %q; this release reads %s", magic, snapshotMagic)
	}
	body := data[snapshotHeaderSize:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[len(snapshotMagic):]) {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "the snapshot of the control state does not match its checksum")
	}
	if err := json.Unmarshal(body, fresh); err != nil {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "decoding the snapshot of the control state: %v", err)
	}
	return fresh, nil
}

const damagedStateRemedy = "move the whole data folder away and start with an empty one: the state is copied from the other cores"

// restoreFirstFormat decodes a snapshot of the previous release. It holds all configurations
// with their documents but no table of requests, which is built from them.
func restoreFirstFormat(fresh *State, data []byte) (*State, error) {
	if err := json.Unmarshal(data, fresh); err != nil {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "decoding the control state of the previous release: %v", err)
	}
	base := uint64(0)
	for _, version := range fresh.Versions {
		digest, err := DigestOf(version.Body)
		if err != nil {
			return nil, errs.New(errs.Corrupt, damagedStateRemedy, "decoding version %d of the configuration in the control state: %v", version.Number, err)
		}
		fresh.Requests.add(AppliedRequest{Number: version.Number, Base: base, Digest: digest})
		base = version.Number
	}
	fresh.pruneDocuments()
	return fresh, nil
}
