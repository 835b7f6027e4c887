package capacitymodel

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// The limits of internal/transport.
const (
	maxBatchMessages = 256
	queueCapacity    = 4096
	maxConnections   = 256
)

type connectionKey struct{ from, to *daemon }

// connection carries the messages queued for one daemon in one call, and awaits its response
// before the next call.
type connection struct {
	connectionKey
	described   kindSet // kinds whose types were described to the peer
	messages    []transport.Envelope
	busy        bool // a call is under way
	isScheduled bool // it is among the fleet's scheduled ones
}

// send queues a message on its connection; what one step sends travels together.
func (f *Fleet) send(from *daemon, peer string, body any) {
	to := f.byPeer[peer]
	if to == nil || to == from {
		return
	}
	key := connectionKey{from, to}
	conn := f.connections[key]
	if conn == nil {
		conn = &connection{connectionKey: key}
		f.openConnection(conn)
	}
	if len(conn.messages) >= queueCapacity {
		f.tallyOf(from).lost++
		return
	}
	conn.messages = append(conn.messages, transport.Envelope{From: from.peer, Body: body})
	if !conn.busy && !conn.isScheduled {
		conn.isScheduled = true
		f.scheduled = append(f.scheduled, conn)
	}
}

// openConnection adds a connection; a daemon that has as many as it may closes an idle one.
func (f *Fleet) openConnection(conn *connection) {
	f.connections[conn.connectionKey] = conn
	from := conn.from
	from.connections = append(from.connections, conn)
	if len(from.connections) <= maxConnections {
		return
	}
	last := len(from.connections) - 1
	start := f.rng.Intn(last)
	for i := range last {
		at := (start + i) % last
		old := from.connections[at]
		if len(old.messages) == 0 && !old.busy {
			delete(f.connections, old.connectionKey)
			from.connections[at] = conn
			from.connections = from.connections[:last]
			f.tallyOf(from).reconnects++
			return
		}
	}
}

// flush sends what the last step queued on idle connections.
func (f *Fleet) flush() {
	for len(f.scheduled) > 0 {
		woken := f.scheduled
		f.scheduled = nil
		for _, conn := range woken {
			conn.isScheduled = false
			f.sendBatch(conn)
		}
	}
}

// sendBatch sends what an idle connection has queued, up to maxBatchMessages, in one call.
func (f *Fleet) sendBatch(conn *connection) {
	if conn.busy || len(conn.messages) == 0 || !conn.from.up {
		return
	}
	count := min(maxBatchMessages, len(conn.messages))
	envelopes := conn.messages[:count:count]
	conn.messages = conn.messages[count:]
	if len(conn.messages) == 0 {
		conn.messages = nil // the array is freed
	}
	conn.busy = true
	if f.isPartitioned(conn.from, conn.to) || !conn.to.up {
		// The call times out and closes the connection.
		conn.described = kindSet{}
		f.tallyOf(conn.from).lost += int64(count)
		f.After(clock.Second, func() { f.completeCall(conn) })
		return
	}
	arrived := f.encodeBatch(conn, envelopes)
	generation := conn.to.generation
	f.After(f.networkDelay(conn.from, conn.to), func() {
		if conn.to.generation == generation && conn.to.up {
			f.deliverBatch(conn.to, arrived)
		}
		f.After(f.networkDelay(conn.to, conn.from), func() { f.completeCall(conn) })
	})
}

// encodeBatch encodes messages for the sender and decodes them for the receiver, each at its
// own cost, and counts them.
func (f *Fleet) encodeBatch(conn *connection, envelopes []transport.Envelope) transport.MessageBatch {
	// The types are described first, which no daemon is charged for.
	extra := f.codec.descriptionSize(&conn.described, kindDeliver)
	for _, envelope := range envelopes {
		extra += f.codec.descriptionSize(&conn.described, f.codec.kindOf(envelope.Body))
	}
	was := f.chargeCPU(conn.from)
	must(f.codec.encoder.Encode(transport.MessageBatch{Messages: envelopes}))
	size := f.codec.buffer.Len()
	var arrived transport.MessageBatch
	f.chargeCPU(conn.to)
	must(f.codec.decoder.Decode(&arrived))
	f.chargeCPU(was)
	f.countBatch(conn.from, envelopes, size, f.codec.deliverCallFrame+extra)
	return arrived
}

// deliverBatch has a daemon take the messages of one call in one step.
func (f *Fleet) deliverBatch(to *daemon, batch transport.MessageBatch) {
	f.tallyOf(to).bytes += int64(f.codec.deliverReplyFrame)
	to.runStep(func() {
		for _, envelope := range batch.Messages {
			to.deliver(envelope.From, envelope.Body)
		}
	})
}

// completeCall lets a connection go on after the response to its call.
func (f *Fleet) completeCall(conn *connection) {
	conn.busy = false
	f.sendBatch(conn)
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
