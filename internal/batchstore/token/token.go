// Package token implements the read side of positions (docs/DESIGN.md §6.4, §6.5): the position
// token that a client passes from one read to the next, the announcements in which writers
// publish their persisted-up-to positions, and what a reading daemon derives from them.
//
// KnownPositions is not safe for concurrent use. The package reads no clock and does no I/O.
package token

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"
	"maps"
	"slices"

	"tuliprudder/internal/errs"
)

// Vector maps each writer's ID to a position.
type Vector map[int]int64

// Token is a compact Vector: a minimum that all writers up to Highest have reached, and the
// positions of those that are ahead of it. A writer with a higher ID registered after the
// token was created, and is read from its first result.
type Token struct {
	Fleet   uint32 // see FleetTag
	Minimum int64
	Highest int // highest writer ID known to the token
	Ahead   Vector
}

// FleetTag returns the tag of a fleet's tokens, by which those of another fleet are rejected.
func FleetTag(fleet string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(fleet))
	return h.Sum32()
}

// NewToken returns the shortest token that represents the positions.
func NewToken(fleet string, positions Vector) Token {
	t := Token{Fleet: FleetTag(fleet), Ahead: Vector{}}
	for writer := range positions {
		t.Highest = max(t.Highest, writer)
	}
	for writer := 1; writer <= t.Highest; writer++ {
		if position := positions[writer]; writer == 1 || position < t.Minimum {
			t.Minimum = position
		}
	}
	for writer, position := range positions {
		if position > t.Minimum {
			t.Ahead[writer] = position
		}
	}
	return t
}

// At returns the token's position of a writer, or 0 if the token does not know the writer.
func (t Token) At(writer int) int64 {
	if position, ok := t.Ahead[writer]; ok {
		return position
	}
	if writer >= 1 && writer <= t.Highest {
		return t.Minimum
	}
	return 0
}

// Vector returns the positions of all writers that the token knows.
func (t Token) Vector() Vector {
	v := Vector{}
	for writer := 1; writer <= t.Highest; writer++ {
		v[writer] = t.At(writer)
	}
	return v
}

// The binary format of a token, before base64: the version (1 byte) and the fleet tag (4 bytes);
// as uvarints the minimum, the highest writer, the number of writers ahead and, for each of
// them, its ID and its distance from the minimum; then the CRC-32 of all this (4 bytes).
const (
	headerBytes   = 5
	checksumBytes = 4
	// maxTextBytes exceeds the length of any valid token; longer strings aren't decoded.
	maxTextBytes = 4096
	// maxWriterID and maxNumber bound the values in a token: a valid checksum doesn't make them
	// plausible.
	maxWriterID = 1 << 20
	maxNumber   = 1 << 62
)

// String returns the token as it is given to clients.
func (t Token) String() string {
	data := []byte{tokenVersion}
	data = binary.BigEndian.AppendUint32(data, t.Fleet)
	data = binary.AppendUvarint(data, uint64(t.Minimum))
	data = binary.AppendUvarint(data, uint64(t.Highest))
	data = binary.AppendUvarint(data, uint64(len(t.Ahead)))
	for _, writer := range slices.Sorted(maps.Keys(t.Ahead)) {
		data = binary.AppendUvarint(data, uint64(writer))
		data = binary.AppendUvarint(data, uint64(t.Ahead[writer]-t.Minimum))
	}
	data = binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
	return base64.RawURLEncoding.EncodeToString(data)
}

// Parse decodes a client's token. The empty string stands for the start of the feed. Anything
// else that is not a token of this fleet is an error of kind errs.BadToken, and is never taken
// for the start.
func Parse(fleet, text string) (Token, error) {
	if text == "" {
		return Token{Fleet: FleetTag(fleet), Ahead: Vector{}}, nil
	}
	body, err := decodeText(text)
	if err != nil {
		return Token{}, err
	}
	if body[0] != tokenVersion {
		return Token{}, badToken("from another release")
	}
	tag := binary.BigEndian.Uint32(body[1:headerBytes])
	if tag != FleetTag(fleet) {
		return Token{}, badToken("from another fleet")
	}
	return decodePositions(tag, body[headerBytes:])
}

func badToken(reason string) error {
	return errs.New(errs.BadToken, "send the token exactly as the last response gave it, or omit it to read from the start", "the position token is %s", reason)
}

// decodeText decodes base64 and verifies the checksum. It returns the bytes that the checksum
// covers, which include at least the header.
func decodeText(text string) ([]byte, error) {
	if len(text) > maxTextBytes {
		return nil, badToken("too long")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(data) < headerBytes+checksumBytes {
		return nil, badToken("damaged")
	}
	body, checksum := data[:len(data)-checksumBytes], data[len(data)-checksumBytes:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(checksum) {
		return nil, badToken("damaged")
	}
	return body, nil
}

// decodePositions decodes the uvarints that follow the header.
func decodePositions(tag uint32, data []byte) (Token, error) {
	numbers := uvarintReader{rest: data}
	minimum, highest, count := numbers.next(), numbers.next(), numbers.next()
	if numbers.failed || highest > maxWriterID || count > highest {
		return Token{}, badToken("damaged")
	}
	t := Token{Fleet: tag, Minimum: int64(minimum), Highest: int(highest), Ahead: Vector{}}
	for range count {
		writer, distance := numbers.next(), numbers.next()
		if numbers.failed || writer == 0 || writer > highest {
			return Token{}, badToken("damaged")
		}
		t.Ahead[int(writer)] = t.Minimum + int64(distance)
	}
	if len(numbers.rest) != 0 {
		return Token{}, badToken("damaged")
	}
	return t, nil
}

// uvarintReader reads consecutive uvarints. failed is set once one can't be decoded or is too large.
type uvarintReader struct {
	rest   []byte
	failed bool
}

func (r *uvarintReader) next() uint64 {
	number, n := binary.Uvarint(r.rest)
	if n <= 0 || number > maxNumber {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return number
}
