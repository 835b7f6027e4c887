package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"tuliprudder/internal/errs"
)

// A snapshot is a header that names its format (snapshotMagic), a checksum and the state in
// JSON. The release before wrote the JSON alone.
const (
	snapshotHeaderSize  = len(snapshotMagic) + crc32.Size
	maxSnapshotPartSize = 64 << 10 // bytes of one part
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is the whole state, in parts of a bounded size.
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

// Restore reads a snapshot back, also one of the release before. No parts at all
// are an empty state.
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
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "this is no snapshot of the control state")
	}
	if magic := string(data[:len(snapshotMagic)]); magic != snapshotMagic {
		return nil, errs.New(errs.WrongFolder, "run the release that wrote it, or its neighbour", "the control state is of format %q, this release reads %s", magic, snapshotMagic)
	}
	body := data[snapshotHeaderSize:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[len(snapshotMagic):]) {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "the snapshot of the control state does not match its checksum")
	}
	if err := json.Unmarshal(body, fresh); err != nil {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "the snapshot of the control state can't be read: %v", err)
	}
	return fresh, nil
}

const damagedStateRemedy = "move the whole data folder away and start empty: the other cores copy the state back"

// restoreFirstFormat reads what the release before wrote: all configurations with
// their documents, and no table of requests.
func restoreFirstFormat(fresh *State, data []byte) (*State, error) {
	if err := json.Unmarshal(data, fresh); err != nil {
		return nil, errs.New(errs.Corrupt, damagedStateRemedy, "the control state of the release before can't be read: %v", err)
	}
	base := uint64(0)
	for _, version := range fresh.Versions {
		digest, err := DigestOf(version.Body)
		if err != nil {
			return nil, errs.New(errs.Corrupt, damagedStateRemedy, "version %d of the control state can't be read: %v", version.Number, err)
		}
		fresh.Requests.add(AppliedRequest{Number: version.Number, Base: base, Digest: digest})
		base = version.Number
	}
	fresh.pruneDocuments()
	return fresh, nil
}
