package capacitymodel

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/transport"
)

// The limits of internal/transport.
const (
	maxBatchMessages = 256
	queueCapacity    = 4096
	maxConnections   = 256
)

type connectionKey struct{ from, to *daemon }

// connection carries what waits for one daemon in one call, and waits for its answer
// before the next call.
type connection struct {
	connectionKey
	describedToPeer, describedByPeer kindSet // described to the other end, and by it
	messages                         []transport.Envelope
	busy                             bool
	isScheduled                      bool
}

// send queues a message on its line; what one step sends travels together.
func (f *Fleet) send(from *daemon, peer string, body any) {
	to := f.byPeer[peer]
	if to == nil || to == from {
		return
	}
	key := connectionKey{from, to}
	l := f.connections[key]
	if l == nil {
		l = &connection{connectionKey: key}
		f.openConnection(l)
	}
	if len(l.messages) >= queueCapacity {
		f.tallyOf(from).lost++
		return
	}
	l.messages = append(l.messages, transport.Envelope{From: from.peer, Body: body})
	if !l.busy && !l.isScheduled {
		l.isScheduled = true
		f.scheduled = append(f.scheduled, l)
	}
}

// openConnection adds a line; a daemon that has as many as it may lets an idle one go.
func (f *Fleet) openConnection(l *connection) {
	f.connections[l.connectionKey] = l
	if l.from.connections = append(l.from.connections, l); len(l.from.connections) <= maxConnections {
		return
	}
	at := f.rng.Intn(len(l.from.connections) - 1)
	for i := range len(l.from.connections) - 1 {
		old := l.from.connections[(at+i)%(len(l.from.connections)-1)]
		if len(old.messages) == 0 && !old.busy {
			delete(f.connections, old.connectionKey)
			l.from.connections[(at+i)%(len(l.from.connections)-1)] = l
			l.from.connections = l.from.connections[:len(l.from.connections)-1]
			f.tallyOf(l.from).reconnects++
			return
		}
	}
}

// flush sends what the last step left on idle lines.
func (f *Fleet) flush() {
	for len(f.scheduled) > 0 {
		woken := f.scheduled
		f.scheduled = nil
		for _, l := range woken {
			l.isScheduled = false
			f.sendBatch(l)
		}
	}
}

func (f *Fleet) sendBatch(l *connection) {
	if l.busy || len(l.messages) == 0 || !l.from.up {
		return
	}
	count := min(maxBatchMessages, len(l.messages))
	envelopes := l.messages[:count:count]
	if l.messages = l.messages[count:]; len(l.messages) == 0 {
		l.messages = nil
	}
	l.busy = true
	if f.isPartitioned(l.from, l.to) || !l.to.up {
		// Nobody takes the call: it expires and closes its connection.
		l.describedToPeer, l.describedByPeer = kindSet{}, kindSet{}
		f.tallyOf(l.from).lost += int64(count)
		f.schedule(clock.Second, func() { f.completeCall(l) })
		return
	}
	// The descriptions are learnt first, outside of the clock.
	extra := f.codec.descriptionSize(&l.describedToPeer, kindDeliver)
	kinds := make([]int, count)
	for i, envelope := range envelopes {
		kinds[i] = f.codec.kindOf(envelope.Body)
		extra += f.codec.descriptionSize(&l.describedToPeer, kinds[i])
	}
	batch := transport.MessageBatch{Messages: envelopes}
	was := f.chargeCPU(l.from)
	must(f.codec.encoder.Encode(batch))
	size := f.codec.buffer.Len()
	var arrived transport.MessageBatch
	f.chargeCPU(l.to)
	must(f.codec.decoder.Decode(&arrived))
	f.chargeCPU(was)
	f.countBatch(l.from, envelopes, size, f.codec.deliverCallFrame+extra)
	generation := l.to.generation
	f.schedule(f.networkDelay(l.from, l.to), func() {
		if l.to.generation == generation && l.to.up {
			f.tallyOf(l.to).bytes += int64(f.codec.deliverReplyFrame)
			l.to.runStep(func() {
				for _, envelope := range arrived.Messages {
					l.to.deliver(envelope.From, envelope.Body)
				}
			})
		}
		f.schedule(f.networkDelay(l.to, l.from), func() { f.completeCall(l) })
	})
}

// completeCall lets a line go on after its call's answer.
func (f *Fleet) completeCall(l *connection) {
	l.busy = false
	f.sendBatch(l)
	f.flush()
}

// countBatch counts what a call carried, by kind.
func (f *Fleet) countBatch(from *daemon, envelopes []transport.Envelope, size, frame int) {
	t := f.tallyOf(from)
	t.calls++
	t.bytes += int64(size + frame)
	t.messages += int64(len(envelopes))
	t.largestCall = max(t.largestCall, int64(size))
	sizes, sum := make([]int, len(envelopes)), 0
	if len(envelopes) == 1 {
		sizes[0], sum = size, size
	} else if !f.warmingUp {
		for i, envelope := range envelopes {
			sizes[i] = f.codec.messageSize(envelope)
			sum += sizes[i]
		}
	}
	for i, envelope := range envelopes {
		share := 0.0
		if sum > 0 {
			share = float64(sizes[i]) / float64(sum)
		}
		t.addKind(envelope.Body, share*float64(size+frame))
	}
}

// request is a question with an answer and an deadline, on a connection of its own.
//
//revive:disable-next-line:function-length the steps of one call share its state
func (f *Fleet) request(from *daemon, peer string, body any, timeout clock.Micros, onReply func(any, error)) {
	to := f.byPeer[peer]
	finished := false
	finish := func(answer any, err error) {
		if !finished {
			finished = true
			onReply(answer, err)
		}
	}
	f.schedule(timeout, func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again", "no answer in time"))
	})
	if to == nil || f.isPartitioned(from, to) {
		return
	}
	conn := from.requestConnections[to]
	if conn == nil {
		conn = &connection{}
		from.requestConnections[to] = conn
	}
	kind := f.codec.kindOf(body)
	frame := f.codec.requestCallFrame + f.codec.descriptionSize(&conn.describedToPeer, kindRequest) + f.codec.descriptionSize(&conn.describedToPeer, kind)
	was := f.chargeCPU(from)
	must(f.codec.encoder.Encode(transport.Envelope{From: from.peer, Body: body}))
	size := f.codec.buffer.Len() + frame
	var envelope transport.Envelope
	f.chargeCPU(to)
	must(f.codec.decoder.Decode(&envelope))
	f.chargeCPU(was)
	t := f.tallyOf(from)
	t.messages, t.calls, t.bytes = t.messages+1, t.calls+1, t.bytes+int64(size)
	t.addKind(body, float64(size))
	f.schedule(f.networkDelay(from, to), func() {
		if !to.up || to.machine == nil {
			return
		}
		to.runStep(func() {
			to.call(envelope.Body, func(a machine.Reply) {
				reply := transport.CallReply{Body: a.Body}
				if a.Err != nil {
					reply = transport.CallReply{Err: errs.Of(a.Err)}
				} else if a.Body != nil {
					f.codec.kindOf(a.Body)
				}
				must(f.codec.encoder.Encode(reply))
				size := f.codec.buffer.Len() + f.codec.requestReplyFrame
				was := f.chargeCPU(from)
				reply = transport.CallReply{}
				must(f.codec.decoder.Decode(&reply))
				f.chargeCPU(was)
				t := f.tallyOf(to)
				t.bytes += int64(size)
				t.addKind(a.Body, float64(size))
				if f.isPartitioned(to, from) {
					return
				}
				f.schedule(f.networkDelay(to, from), func() {
					if from.up {
						finish(reply.Body, replyError(reply))
					}
				})
			})
		})
	})
}

func replyError(reply transport.CallReply) error {
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}

func typeName(body any) string { return fmt.Sprintf("%T", body) }
