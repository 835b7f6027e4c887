package shard

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// The bodies of forwarded requests are most of a batch's size. In the entry that submits a
// batch they follow the JSON of the rest as raw bytes: base64 inside the JSON would cost a
// third more bytes on every disk and connection, and the time to convert them.
//
// The form: formatWithBodies, the length of the JSON as a uvarint, the JSON, then the
// bodies in the order of their items. Request.Size in the JSON is each body's length.

// encodeSubmit writes bodies behind the JSON where there are any, otherwise JSON alone.
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

// detachBodies copies items with the sizes of their bodies in place of the bodies; size is
// the sum in bytes.
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
		return nil, errors.New("an entry with bodies is truncated")
	}
	head := data[1+n:][:length]
	bodies := data[1+n:][length:]
	entry, err := entries.Decode(head)
	if err != nil {
		return nil, err
	}
	submit, ok := entry.(SubmitBatch)
	if !ok {
		return nil, errors.Errorf("an entry of type %T has no bodies", entry)
	}
	if err := attachBodies(submit.Batch.Items, bodies); err != nil {
		return nil, err
	}
	return submit, nil
}

// attachBodies gives each request its own copy of its body: one that is released must not
// keep the others in memory.
func attachBodies(items []Item, bodies []byte) error {
	for i := range items {
		request := items[i].Request
		if request == nil {
			continue
		}
		if request.Size < 0 || request.Size > len(bodies) {
			return errors.New("the body of a request is truncated")
		}
		request.Body = append([]byte(nil), bodies[:request.Size]...)
		bodies = bodies[request.Size:]
		request.Size = 0
	}
	if len(bodies) > 0 {
		return errors.Errorf("%d bytes follow the bodies of an entry", len(bodies))
	}
	return nil
}
