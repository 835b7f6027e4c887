package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// MaxRequests is how many of the newest requests to put a configuration are recognised when
// they are repeated. An older request is neither applied nor refused, because it is unknown
// whether it was applied before.
const MaxRequests = 1024

// DigestSize is the length of a digest in bytes.
const DigestSize = 16

// Digest identifies a document irrespective of white space.
type Digest [DigestSize]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of the compact form of a JSON document.
func DigestOf(document json.RawMessage) (Digest, error) {
	compact, err := json.Marshal(document)
	if err != nil {
		return Digest{}, errors.Wrap(err, "reading a configuration document")
	}
	sum := sha256.Sum256(compact)
	return Digest(sum[:DigestSize]), nil
}

// AppliedRequest identifies a request that was applied: the number of the resulting version, the
// version it was based on, and the digest of the document or patch that was sent.
type AppliedRequest struct {
	Number uint64 `json:"version"`
	Base   uint64 `json:"base"`
	Digest Digest `json:"-"`
}

// RequestTable recognises requests that were applied, even after their documents were
// dropped. Its entries are sorted by number; the oldest ones are dropped.
type RequestTable struct {
	entries    []AppliedRequest
	prunedUpTo uint64
}

// Len returns the number of requests in the table.
func (t *RequestTable) Len() int { return len(t.entries) }

// All returns the requests in ascending order of their numbers.
func (t *RequestTable) All() []AppliedRequest { return append([]AppliedRequest(nil), t.entries...) }

// PrunedUpTo returns the highest number that was dropped. Whether a request with a number up to
// it was applied is no longer known.
func (t *RequestTable) PrunedUpTo() uint64 { return t.prunedUpTo }

// Find returns the request with the given number.
func (t *RequestTable) Find(number uint64) (AppliedRequest, bool) {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].Number >= number })
	if at == len(t.entries) || t.entries[at].Number != number {
		return AppliedRequest{}, false
	}
	return t.entries[at], true
}

// FindByBase returns the request that was applied on top of the given version.
func (t *RequestTable) FindByBase(base uint64) (AppliedRequest, bool) {
	at := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].Base >= base })
	if at == len(t.entries) || t.entries[at].Base != base {
		return AppliedRequest{}, false
	}
	return t.entries[at], true
}

// add appends a request, whose number must be above all others.
func (t *RequestTable) add(request AppliedRequest) {
	if len(t.entries) >= MaxRequests {
		t.prunedUpTo = t.entries[0].Number
		copy(t.entries, t.entries[1:])
		t.entries = t.entries[:len(t.entries)-1]
	}
	t.entries = append(t.entries, request)
}

// requestTableDocument is the table's form in a snapshot. Each request is packed as the
// difference between its number and the previous one, the difference between its number
// and its base, both as variable-length integers, and its digest.
type requestTableDocument struct {
	PrunedUpTo uint64 `json:"forgotten"`
	Packed     []byte `json:"packed"`
}

// MarshalJSON encodes the table in packed form.
func (t RequestTable) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, len(t.entries)*(DigestSize+4))
	last := t.prunedUpTo
	for _, request := range t.entries {
		packed = binary.AppendUvarint(packed, request.Number-last)
		packed = binary.AppendUvarint(packed, request.Number-request.Base)
		packed = append(packed, request.Digest[:]...)
		last = request.Number
	}
	return json.Marshal(requestTableDocument{PrunedUpTo: t.prunedUpTo, Packed: packed})
}

// UnmarshalJSON decodes the packed form.
func (t *RequestTable) UnmarshalJSON(data []byte) error {
	var document requestTableDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return errors.Wrap(err, "reading the table of requests")
	}
	fresh := RequestTable{prunedUpTo: document.PrunedUpTo}
	reader := bytes.NewReader(document.Packed)
	last := document.PrunedUpTo
	for reader.Len() > 0 {
		request, err := readRequest(reader, last)
		if err != nil {
			return errors.Wrapf(err, "request %d of the table is truncated", len(fresh.entries))
		}
		fresh.entries = append(fresh.entries, request)
		last = request.Number
	}
	*t = fresh
	return nil
}

func readRequest(reader *bytes.Reader, last uint64) (AppliedRequest, error) {
	numberDelta, err := binary.ReadUvarint(reader)
	if err != nil {
		return AppliedRequest{}, err
	}
	request := AppliedRequest{Number: last + numberDelta}
	baseDelta, err := binary.ReadUvarint(reader)
	if err != nil {
		return AppliedRequest{}, err
	}
	request.Base = request.Number - baseDelta
	if n, _ := reader.Read(request.Digest[:]); n != DigestSize {
		return AppliedRequest{}, errors.New("the digest is too short")
	}
	return request, nil
}
