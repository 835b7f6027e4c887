package capacitymodel

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"

	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
)

// A message is encoded and decoded for real, by the encoder that net/rpc uses.
// A line has an encoder of its own, so that the descriptions of types cross it
// once. Thousands of encoders that each keep a buffer of the largest message
// would not fit into one process: one pair of encoder and decoder that has sent
// all descriptions carries the messages, and what the descriptions would add to
// a line is measured with fresh encoders and counted at their first use.

// kindSet is a set of message kinds, by number.
type kindSet [2]uint64

func (k kindSet) has(kind int) bool { return k[kind/64]&(1<<(kind%64)) != 0 }

func (k *kindSet) add(kind int) { k[kind/64] |= 1 << (kind % 64) }

const (
	kindDeliver = iota // what each line for messages opens with
	kindAsk            // what each line for asks opens with
	kindBodies         // the first kind of body
)

type described struct {
	sent kindSet
	kind int
}

type codec struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
	kinds   map[string]int
	samples []any
	first   map[described]int
	lone    *gob.Encoder
	lonely  sizer
	// Requests and answers frame what travels; their sizes hardly differ.
	deliver, delivered, ask, asked int
}

// sizer counts what is written.
type sizer struct{ bytes int }

func (s *sizer) Write(data []byte) (int, error) {
	s.bytes += len(data)
	return len(data), nil
}

func newCodec() *codec {
	c := &codec{kinds: map[string]int{}, samples: make([]any, kindBodies), first: map[described]int{}}
	c.encoder = gob.NewEncoder(&c.buffer)
	c.decoder = gob.NewDecoder(&c.buffer)
	c.lone = gob.NewEncoder(&c.lonely)
	framed := func(values ...any) int {
		size := 0
		for range 2 { // the second time without descriptions
			size = 0
			for _, value := range values {
				before := c.lonely.bytes
				must(c.lone.Encode(value))
				size += c.lonely.bytes - before
			}
		}
		return size
	}
	c.deliver = framed(&rpc.Request{ServiceMethod: "Post.Deliver", Seq: 1000})
	c.delivered = framed(&rpc.Response{ServiceMethod: "Post.Deliver", Seq: 1000}, &transport.Delivered{Count: 1})
	c.ask = framed(&rpc.Request{ServiceMethod: "Post.Ask", Seq: 1000})
	c.asked = framed(&rpc.Response{ServiceMethod: "Post.Ask", Seq: 1000})
	return c
}

func must(err error) {
	if err != nil {
		panic(err) // a message of ours that the encoder does not take
	}
}

// kind numbers a body's type.
func (c *codec) kind(body any) int {
	name := fmt.Sprintf("%T", body)
	kind, ok := c.kinds[name]
	if !ok {
		kind = len(c.samples)
		c.kinds[name] = kind
		c.samples = append(c.samples, body)
		// The shared pairs learn the type now, outside of any count.
		must(c.encoder.Encode(transport.Batch{Messages: []transport.Envelope{{Body: body}}}))
		must(c.decoder.Decode(&transport.Batch{}))
		must(c.encoder.Encode(transport.Reply{Body: body}))
		must(c.decoder.Decode(&transport.Reply{}))
		must(c.lone.Encode(transport.Batch{Messages: []transport.Envelope{{Body: body}}}))
		must(c.lone.Encode(transport.Reply{Body: body}))
	}
	return kind
}

// describe is what the descriptions that a kind still needs add to a line.
func (c *codec) describe(sent *kindSet, kind int) int {
	if sent.has(kind) {
		return 0
	}
	key := described{*sent, kind}
	size, ok := c.first[key]
	if !ok {
		var s sizer
		line := gob.NewEncoder(&s)
		for other := range c.samples {
			if sent.has(other) {
				c.send(line, other)
			}
		}
		before := s.bytes
		c.send(line, kind)
		with := s.bytes - before
		before = s.bytes
		c.send(line, kind)
		size = with - (s.bytes - before)
		c.first[key] = size
	}
	sent.add(kind)
	return size
}

func (c *codec) send(line *gob.Encoder, kind int) {
	switch kind {
	case kindDeliver:
		must(line.Encode(&rpc.Request{}))
		must(line.Encode(transport.Batch{}))
	case kindAsk:
		must(line.Encode(&rpc.Request{}))
		must(line.Encode(transport.Envelope{}))
	default:
		must(line.Encode(transport.Batch{Messages: []transport.Envelope{{Body: c.samples[kind]}}}))
	}
}

// size is a letter's own size in a batch, without descriptions.
func (c *codec) size(letter transport.Envelope) int {
	before := c.lonely.bytes
	must(c.lone.Encode(transport.Batch{Messages: []transport.Envelope{letter}}))
	return c.lonely.bytes - before
}

// copied are the same updates in memory of their own, as if they had arrived.
func (c *codec) copied(rumours []machine.Update) []machine.Update {
	var buffer bytes.Buffer
	must(gob.NewEncoder(&buffer).Encode(rumours))
	var out []machine.Update
	must(gob.NewDecoder(&buffer).Decode(&out))
	return out
}
