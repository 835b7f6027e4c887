package machine

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// EntryCodec encodes and decodes the entries of one replicated state: it maps each kind of change to
// its decoder. A kind that this release does not know is an error and is never skipped, because the
// state would then diverge from that of the other replicas.
type EntryCodec[E any] map[string]func(json.RawMessage) (E, error)

// encodedEntry is the JSON of an entry. Its keys are stored on disk and must not change.
type encodedEntry struct {
	Kind string          `json:"k"`
	Body json.RawMessage `json:"b"`
}

// Decoder returns the decoder of changes of type T. A field that T does not have is ignored, because
// the next release may have added it and the previous one may still write it.
func Decoder[E any, T any](convert func(T) E) func(json.RawMessage) (E, error) {
	return func(data json.RawMessage) (E, error) {
		var change T
		err := json.Unmarshal(data, &change)
		return convert(change), errors.Wrap(err, "decoding a change")
	}
}

// Encode encodes a change of the given kind. Marshalling can't fail, because all changes are types
// of this program that can be encoded.
func (EntryCodec[E]) Encode(kind string, change E) []byte {
	body, _ := json.Marshal(change)
	data := make([]byte, 0, len(entryPrefix)+len(kind)+len(entryBodyPrefix)+len(body)+1)
	data = append(data, entryPrefix...)
	data = append(data, kind...)
	data = append(data, entryBodyPrefix...)
	data = append(data, body...)
	return append(data, '}')
}

// splitEntry splits an entry that has exactly the form that Encode writes, without scanning its body.
// ok is false for any other form.
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
		return zero, errors.Errorf("unknown kind of change %q: run the release that wrote it", encoded.Kind)
	}
	return decode(encoded.Body)
}
