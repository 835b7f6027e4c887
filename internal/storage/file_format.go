package storage

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"slices"

	"github.com/pkg/errors"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// A file is a header and a body. The header has the format, the CRC-32 (IEEE) of the body and the
// body's length, four bytes each, big-endian. In formatV2 the body has for each record its head,
// which is the JSON of the record without its Body, and then the raw Body; each is preceded by its
// length as an unsigned varint. In formatV1 the body is the JSON of all records.
const (
	formatSize   = 4
	checksumEnd  = formatSize + 4
	headerSize   = checksumEnd + 4
	formatFamily = "TRV" // the prefix of every release's format
)

// typicalHeadSize is the approximate size of a record's head, in bytes.
const typicalHeadSize = 128

// encodeFile writes records as a file of formatV2.
func encodeFile(records []machine.Record) ([]byte, error) {
	size := headerSize
	for _, record := range records {
		size += len(record.Body) + typicalHeadSize
	}
	out := make([]byte, headerSize, size)
	for _, record := range records {
		body := record.Body
		record.Body = nil
		head, err := json.Marshal(record)
		if err != nil {
			return nil, errors.Wrap(err, "encoding a record")
		}
		out = appendWithLength(out, head)
		out = appendWithLength(out, body)
	}
	copy(out, formatV2)
	binary.BigEndian.PutUint32(out[formatSize:], crc32.ChecksumIEEE(out[headerSize:]))
	binary.BigEndian.PutUint32(out[checksumEnd:], uint32(len(out)-headerSize))
	return out, nil
}

func appendWithLength(out, data []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(data))), data...)
}

// decodeFile decodes the records of a file in either format. A file in another release's format is
// an errs.WrongFolder; any other deviation is an errs.Corrupt.
func decodeFile(name string, data []byte) ([]machine.Record, error) {
	if len(data) < headerSize {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "file %s is too short to be a record file", name)
	}
	format := string(data[:formatSize])
	isKnown := slices.Contains([]string{formatV1, formatV2}, format)
	if !isKnown && format[:len(formatFamily)] == formatFamily {
		return nil, errs.New(errs.WrongFolder, "run the release that wrote it, or the one before or after it", "file %s has format %s; this release reads %s", name, format, formatV2)
	}
	if !isKnown {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "file %s is not a record file", name)
	}
	body := data[headerSize:]
	checksum := binary.BigEndian.Uint32(data[formatSize:checksumEnd])
	length := int(binary.BigEndian.Uint32(data[checksumEnd:headerSize]))
	if length != len(body) || checksum != crc32.ChecksumIEEE(body) {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "file %s does not match its checksum", name)
	}
	decode := decodeV2
	if format == formatV1 {
		decode = decodeV1
	}
	records, err := decode(body)
	if err != nil {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "file %s can't be decoded: %v", name, err)
	}
	return records, nil
}

func decodeV1(body []byte) (records []machine.Record, err error) {
	err = json.Unmarshal(body, &records)
	return records, err
}

func decodeV2(body []byte) ([]machine.Record, error) {
	var records []machine.Record
	for len(body) > 0 {
		var head []byte
		var record machine.Record
		var err error
		if head, body, err = splitWithLength(body); err != nil {
			return nil, err
		}
		if err := json.Unmarshal(head, &record); err != nil {
			return nil, err
		}
		if record.Body, body, err = splitWithLength(body); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// splitWithLength splits off the first part of data, which is preceded by its length.
func splitWithLength(data []byte) (part, rest []byte, err error) {
	size, n := binary.Uvarint(data)
	if n <= 0 || size > uint64(len(data)-n) {
		return nil, nil, errors.New("a record is truncated")
	}
	end := n + int(size)
	return data[n:end:end], data[end:], nil
}
