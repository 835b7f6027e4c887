package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"tuliprudder/kernel/errs"
)

// A snapshot is a mark that names its form (snapshotMark), a checksum and the state in
// JSON. The release before wrote the JSON alone.
const (
	snapshotHeader  = len(snapshotMark) + crc32.Size
	snapshotPartMax = 64 << 10 // bytes of one part
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot writes the whole state down, in parts of a bounded size.
func (c *State) Snapshot() [][]byte {
	body, _ := json.Marshal(c)
	data := make([]byte, 0, snapshotHeader+len(body))
	data = append(data, snapshotMark...)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(body, castagnoli))
	data = append(data, body...)
	var parts [][]byte
	for len(data) > snapshotPartMax {
		parts = append(parts, data[:snapshotPartMax:snapshotPartMax])
		data = data[snapshotPartMax:]
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
		return restoreUnmarked(fresh, data)
	}
	if len(data) < snapshotHeader || string(data[:len(snapshotFamily)]) != snapshotFamily {
		return nil, errs.New(errs.Corrupt, damagedRemedy, "this is no snapshot of the control state")
	}
	if mark := string(data[:len(snapshotMark)]); mark != snapshotMark {
		return nil, errs.New(errs.WrongFolder, "run the release that wrote it, or its neighbour", "the control state is of form %q, this release reads %s", mark, snapshotMark)
	}
	body := data[snapshotHeader:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[len(snapshotMark):]) {
		return nil, errs.New(errs.Corrupt, damagedRemedy, "the snapshot of the control state does not match its checksum")
	}
	if err := json.Unmarshal(body, fresh); err != nil {
		return nil, errs.New(errs.Corrupt, damagedRemedy, "the snapshot of the control state can't be read: %v", err)
	}
	return fresh, nil
}

const damagedRemedy = "move the whole data folder away and start empty: the other cores copy the state back"

// restoreUnmarked reads what the release before wrote: all configurations with
// their documents, and no table of orders.
func restoreUnmarked(fresh *State, data []byte) (*State, error) {
	if err := json.Unmarshal(data, fresh); err != nil {
		return nil, errs.New(errs.Corrupt, damagedRemedy, "the control state of the release before can't be read: %v", err)
	}
	base := uint64(0)
	for _, version := range fresh.Versions {
		digest, err := DigestOf(version.Body)
		if err != nil {
			return nil, errs.New(errs.Corrupt, damagedRemedy, "version %d of the control state can't be read: %v", version.Number, err)
		}
		fresh.Orders.add(Order{Number: version.Number, Base: base, Digest: digest})
		base = version.Number
	}
	fresh.dropDocuments()
	return fresh, nil
}
