package shard

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// The bodies of forwarded requests make up most of a batch's size. In the entry that submits a
// batch they follow the JSON of the rest as raw bytes: base64 inside the JSON would take a
// third more bytes on every disk and connection, and the time to convert them.
//
// The format: formatWithBodies, the length of the JSON as a uvarint, the JSON, then the
// bodies in the order of their items. Request.Size in the JSON is the length of each body.

// encodeSubmit encodes the entry as JSON followed by the bodies, or as JSON alone if there are
// no bodies.
func encodeSubmit(e SubmitBatch) []byte {
	withBodies := e.Batch.Items
	withoutBodies, size := detachBodies(withBodies)
	if size == 0 {
		return entries.Encode(e.kind(), e)
	}
	e.Batch.Items = withoutBodies
	head := entries.Encode(e.kind(), e)
	out := make([]byte, 0, 1+binary.MaxVarintLen64+len(head)+size)
	out = append(out, formatWithBodies)
	out = binary.AppendUvarint(out, uint64(len(head)))
	out = append(out, head...)
	for _, item := range withBodies {
		if item.Request != nil {
			out = append(out, item.Request.Body...)
		}
	}
	return out
}

// detachBodies returns a copy of items with the sizes of their bodies in place of the bodies.
// size is the sum in bytes.
func detachBodies(items []Item) (detached []Item, size int) {
	detached = make([]Item, len(items))
	copy(detached, items)
	for i, item := range items {
		if item.Request == nil {
			continue
		}
		request := *item.Request
		request.Size = len(request.Body)
		request.Body = nil
		detached[i].Request = &request
		size += request.Size
	}
	return detached, size
}

func decodeSubmitWithBodies(data []byte) (Entry, error) {
	length, n := binary.Uvarint(data[1:])
	if n <= 0 || length > uint64(len(data)-1-n) {
		return nil, errors.New("the entry's JSON is truncated")
	}
	head := data[1+n:][:length]
	bodies := data[1+n:][length:]
	entry, err := entries.Decode(head)
	if err != nil {
		return nil, err
	}
	submit, ok := entry.(SubmitBatch)
	if !ok {
		return nil, errors.Errorf("an entry of type %T can't have request bodies", entry)
	}
	if err := attachBodies(submit.Batch.Items, bodies); err != nil {
		return nil, err
	}
	return submit, nil
}

// attachBodies copies each request's body out of bodies. Slices of the shared buffer would keep all
// bodies in memory until the last one is released.
func attachBodies(items []Item, bodies []byte) error {
	for i := range items {
		request := items[i].Request
		if request == nil {
			continue
		}
		if request.Size < 0 || request.Size > len(bodies) {
			return errors.New("a request's body is truncated")
		}
		request.Body = append([]byte(nil), bodies[:request.Size]...)
		bodies = bodies[request.Size:]
		request.Size = 0
	}
	if len(bodies) > 0 {
		return errors.Errorf("%d unexpected bytes after the request bodies of an entry", len(bodies))
	}
	return nil
}
