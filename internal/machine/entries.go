package machine

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// EntryCodec encodes the entries of one replicated state: it has a decoder for each kind of
// change. A kind that this release does not know is an error and never skipped: the state would
// be another one than its other replicas have.
type EntryCodec[E any] map[string]func(json.RawMessage) (E, error)

// encodedEntry is the JSON of an entry. Its keys are on disk; they never change.
type encodedEntry struct {
	Kind string          `json:"k"`
	Body json.RawMessage `json:"b"`
}

// Decoder makes the decoder of changes of type T. A field that T does not have is ignored: a
// neighbouring release may have added it.
func Decoder[E any, T any](convert func(T) E) func(json.RawMessage) (E, error) {
	return func(data json.RawMessage) (E, error) {
		var change T
		err := json.Unmarshal(data, &change)
		return convert(change), errors.Wrap(err, "decoding a change")
	}
}

// Encode encodes a change under its kind. The changes are types of this program that can always
// be encoded.
func (EntryCodec[E]) Encode(kind string, change E) []byte {
	body, _ := json.Marshal(change)
	data := make([]byte, 0, len(entryPrefix)+len(kind)+len(entryBodyPrefix)+len(body)+1)
	data = append(data, entryPrefix...)
	data = append(data, kind...)
	data = append(data, entryBodyPrefix...)
	data = append(data, body...)
	return append(data, '}')
}

// splitEntry splits an entry that is in the very form of Encode, without a pass over its body;
// false for any other.
func splitEntry(data []byte) (kind string, body []byte, ok bool) {
	rest, ok := bytes.CutPrefix(data, []byte(entryPrefix))
	if !ok {
		return "", nil, false
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 || !bytes.HasPrefix(rest[end:], []byte(entryBodyPrefix)) || rest[len(rest)-1] != '}' {
		return "", nil, false
	}
	return string(rest[:end]), rest[end+len(entryBodyPrefix) : len(rest)-1], true
}

// Decode decodes an entry.
func (c EntryCodec[E]) Decode(data []byte) (E, error) {
	var zero E
	var encoded encodedEntry
	if kind, body, ok := splitEntry(data); ok {
		encoded = encodedEntry{Kind: kind, Body: body}
	} else if err := json.Unmarshal(data, &encoded); err != nil {
		return zero, errors.Wrap(err, "decoding an entry")
	}
	decode, ok := c[encoded.Kind]
	if !ok {
		return zero, errors.Errorf("a change of an unknown kind %q: run the release that wrote it", encoded.Kind)
	}
	return decode(encoded.Body)
}
