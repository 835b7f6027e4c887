package capacitymodel

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"

	"tuliprudder/internal/machine"
	"tuliprudder/internal/transport"
)

// A message is encoded and decoded for real, by the encoder that net/rpc uses. A connection
// has an encoder of its own, so that the descriptions of types cross it once. Thousands of
// encoders that each keep a buffer of the largest message would not fit into one process: one
// encoder and one decoder that have exchanged all descriptions carry the messages, and what
// the descriptions would add to a connection is measured with fresh encoders and counted at
// their first use.

// kindSet is a set of message kinds, by number.
type kindSet [2]uint64

func (k kindSet) has(kind int) bool { return k[kind/64]&(1<<(kind%64)) != 0 }

func (k *kindSet) add(kind int) { k[kind/64] |= 1 << (kind % 64) }

const (
	kindDeliver   = iota // what each connection for messages opens with
	kindRequest          // what each connection for requests opens with
	firstBodyKind        // the first kind of body
)

// descriptionKey is a kind and what its connection has described before it.
type descriptionKey struct {
	sent kindSet
	kind int
}

// codec encodes and decodes all messages of a fleet.
type codec struct {
	buffer           bytes.Buffer
	encoder          *gob.Encoder
	decoder          *gob.Decoder
	kindNumbers      map[string]int
	samples          []any
	descriptionSizes map[descriptionKey]int
	sizeEncoder      *gob.Encoder
	sizeCounter      byteCounter
	// Sizes of what net/rpc frames a call and its reply with; they hardly differ.
	deliverCallFrame, deliverReplyFrame, requestCallFrame, requestReplyFrame int
}

// byteCounter counts what is written.
type byteCounter struct{ bytes int }

func (s *byteCounter) Write(data []byte) (int, error) {
	s.bytes += len(data)
	return len(data), nil
}

func newCodec() *codec {
	c := &codec{kindNumbers: map[string]int{}, samples: make([]any, firstBodyKind), descriptionSizes: map[descriptionKey]int{}}
	c.encoder = gob.NewEncoder(&c.buffer)
	c.decoder = gob.NewDecoder(&c.buffer)
	c.sizeEncoder = gob.NewEncoder(&c.sizeCounter)
	frameSize := func(values ...any) int {
		size := 0
		for range 2 { // the second time without descriptions
			size = 0
			for _, value := range values {
				before := c.sizeCounter.bytes
				must(c.sizeEncoder.Encode(value))
				size += c.sizeCounter.bytes - before
			}
		}
		return size
	}
	c.deliverCallFrame = frameSize(&rpc.Request{ServiceMethod: transport.DeliverMethod, Seq: 1000})
	c.deliverReplyFrame = frameSize(&rpc.Response{ServiceMethod: transport.DeliverMethod, Seq: 1000}, &transport.DeliverReply{Count: 1})
	c.requestCallFrame = frameSize(&rpc.Request{ServiceMethod: transport.CallMethod, Seq: 1000})
	c.requestReplyFrame = frameSize(&rpc.Response{ServiceMethod: transport.CallMethod, Seq: 1000})
	return c
}

// must panics on an error that only a message of this program can cause.
func must(err error) {
	if err != nil {
		panic(err) // a message of ours that the encoder does not take
	}
}

// kindOf numbers a body's type.
func (c *codec) kindOf(body any) int {
	name := fmt.Sprintf("%T", body)
	kind, ok := c.kindNumbers[name]
	if !ok {
		kind = len(c.samples)
		c.kindNumbers[name] = kind
		c.samples = append(c.samples, body)
		// The shared encoders describe the type now, outside of any count.
		must(c.encoder.Encode(transport.MessageBatch{Messages: []transport.Envelope{{Body: body}}}))
		must(c.decoder.Decode(&transport.MessageBatch{}))
		must(c.encoder.Encode(transport.CallReply{Body: body}))
		must(c.decoder.Decode(&transport.CallReply{}))
		must(c.sizeEncoder.Encode(transport.MessageBatch{Messages: []transport.Envelope{{Body: body}}}))
		must(c.sizeEncoder.Encode(transport.CallReply{Body: body}))
	}
	return kind
}

// descriptionSize is how many bytes the descriptions that a kind still needs add to a
// connection.
func (c *codec) descriptionSize(sent *kindSet, kind int) int {
	if sent.has(kind) {
		return 0
	}
	key := descriptionKey{*sent, kind}
	size, ok := c.descriptionSizes[key]
	if !ok {
		var s byteCounter
		encoder := gob.NewEncoder(&s)
		for other := range c.samples {
			if sent.has(other) {
				c.encodeSample(encoder, other)
			}
		}
		before := s.bytes
		c.encodeSample(encoder, kind)
		with := s.bytes - before
		before = s.bytes
		c.encodeSample(encoder, kind)
		size = with - (s.bytes - before)
		c.descriptionSizes[key] = size
	}
	sent.add(kind)
	return size
}

func (c *codec) encodeSample(encoder *gob.Encoder, kind int) {
	switch kind {
	case kindDeliver:
		must(encoder.Encode(&rpc.Request{}))
		must(encoder.Encode(transport.MessageBatch{}))
	case kindRequest:
		must(encoder.Encode(&rpc.Request{}))
		must(encoder.Encode(transport.Envelope{}))
	default:
		must(encoder.Encode(transport.MessageBatch{Messages: []transport.Envelope{{Body: c.samples[kind]}}}))
	}
}

// messageSize is a message's own size in a batch, without descriptions.
func (c *codec) messageSize(envelope transport.Envelope) int {
	before := c.sizeCounter.bytes
	must(c.sizeEncoder.Encode(transport.MessageBatch{Messages: []transport.Envelope{envelope}}))
	return c.sizeCounter.bytes - before
}

// cloneUpdates are the same updates in memory of their own, as if they had arrived.
func (c *codec) cloneUpdates(updates []machine.Update) []machine.Update {
	var buffer bytes.Buffer
	must(gob.NewEncoder(&buffer).Encode(updates))
	var out []machine.Update
	must(gob.NewDecoder(&buffer).Decode(&out))
	return out
}
