package shard

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// The bodies of requests are most of what a batch weighs. In the entry that takes a
// batch in they lie as they are behind the rest, which is JSON: text for them would
// cost a third more bytes on two disks and a wire, and the time to turn them round.

func encodeRaw(e SubmitBatch) []byte {
	size := 0
	items := make([]Item, len(e.Batch.Items))
	copy(items, e.Batch.Items)
	for i, item := range items {
		if item.Request != nil {
			request := *item.Request
			request.Size, request.Body = len(request.Body), nil
			items[i].Request = &request
			size += request.Size
		}
	}
	if size == 0 {
		return entries.Encode(e.kind(), e)
	}
	bodies := e.Batch.Items
	e.Batch.Items = items
	head := entries.Encode(e.kind(), e)
	out := make([]byte, 0, len(head)+size+1+binary.MaxVarintLen64)
	out = binary.AppendUvarint(append(out, rawFormat), uint64(len(head)))
	out = append(out, head...)
	for _, item := range bodies {
		if item.Request != nil {
			out = append(out, item.Request.Body...)
		}
	}
	return out
}

func decodeRaw(data []byte) (Entry, error) {
	length, n := binary.Uvarint(data[1:])
	rest := data[1+max(0, n):]
	if n <= 0 || length > uint64(len(rest)) {
		return nil, errors.New("a change with bodies is cut short")
	}
	entry, err := entries.Decode(rest[:length])
	if err != nil {
		return nil, err
	}
	submit, ok := entry.(SubmitBatch)
	if !ok {
		return nil, errors.Errorf("a change of kind %T has no bodies", entry)
	}
	rest = rest[length:]
	for i := range submit.Batch.Items {
		request := submit.Batch.Items[i].Request
		if request == nil {
			continue
		}
		if request.Size < 0 || request.Size > len(rest) {
			return nil, errors.New("a body of a request is cut short")
		}
		// Each has its own copy: a body that is let go must not keep the others.
		request.Body, rest, request.Size = append([]byte(nil), rest[:request.Size]...), rest[request.Size:], 0
	}
	if len(rest) > 0 {
		return nil, errors.New("something follows the bodies of a change")
	}
	return submit, nil
}
