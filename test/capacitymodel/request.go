package capacitymodel

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/transport"
)

// call is a request on its way, on a connection of its own.
type call struct {
	fleet    *Fleet
	from, to *daemon
	finished bool
	onReply  func(any, error)
}

// request sends a request and gives onReply its response, once: or errs.OutcomeUnknown when
// the timeout passed.
func (f *Fleet) request(from *daemon, peer string, body any, timeout clock.Micros, onReply func(any, error)) {
	c := &call{fleet: f, from: from, to: f.byPeer[peer], onReply: onReply}
	f.After(timeout, func() {
		c.finish(nil, errs.New(errs.OutcomeUnknown, "send it again", "no response in time"))
	})
	if c.to == nil || f.isPartitioned(from, c.to) {
		return
	}
	envelope := c.encodeRequest(body)
	f.After(f.networkDelay(from, c.to), func() {
		if c.to.up && c.to.machine != nil {
			c.to.runStep(func() { c.to.call(envelope.Body, c.reply) })
		}
	})
}

func (c *call) finish(response any, err error) {
	if !c.finished {
		c.finished = true
		c.onReply(response, err)
	}
}

// encodeRequest encodes the request for the caller and decodes it for the callee, each at its
// own cost, and counts it.
func (c *call) encodeRequest(body any) transport.Envelope {
	f := c.fleet
	conn := c.from.requestConnections[c.to]
	if conn == nil {
		conn = &connection{}
		c.from.requestConnections[c.to] = conn
	}
	kind := f.codec.kindOf(body)
	frame := f.codec.requestCallFrame + f.codec.descriptionSize(&conn.described, kindRequest) + f.codec.descriptionSize(&conn.described, kind)
	was := f.chargeCPU(c.from)
	must(f.codec.encoder.Encode(transport.Envelope{From: c.from.peer, Body: body}))
	size := f.codec.buffer.Len() + frame
	var envelope transport.Envelope
	f.chargeCPU(c.to)
	must(f.codec.decoder.Decode(&envelope))
	f.chargeCPU(was)
	t := f.tallyOf(c.from)
	t.messages++
	t.calls++
	t.bytes += int64(size)
	t.addKind(body, float64(size))
	return envelope
}

// reply carries the callee's reply back.
func (c *call) reply(reply machine.Reply) {
	f := c.fleet
	message := transport.CallReply{Body: reply.Body}
	if reply.Err != nil {
		message = transport.CallReply{Err: errs.Of(reply.Err)}
	} else if reply.Body != nil {
		f.codec.kindOf(reply.Body)
	}
	must(f.codec.encoder.Encode(message))
	size := f.codec.buffer.Len() + f.codec.requestReplyFrame
	was := f.chargeCPU(c.from)
	var received transport.CallReply
	must(f.codec.decoder.Decode(&received))
	f.chargeCPU(was)
	t := f.tallyOf(c.to)
	t.bytes += int64(size)
	t.addKind(reply.Body, float64(size))
	if f.isPartitioned(c.to, c.from) {
		return
	}
	f.After(f.networkDelay(c.to, c.from), func() {
		if c.from.up {
			c.finish(received.Body, replyError(received))
		}
	})
}

// replyError is the error of a reply; an untyped nil where there is none.
func replyError(reply transport.CallReply) error {
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}

func typeName(body any) string { return fmt.Sprintf("%T", body) }
