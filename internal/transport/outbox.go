package transport

import (
	"net/rpc"
	"time"

	"tuliprudder/internal/ring"
)

const (
	// outboxSize is the maximum number of messages queued for one peer; further ones are dropped.
	outboxSize = 4096
	// maxBatchSize is the maximum number of messages in one call of DeliverMethod.
	maxBatchSize = 256
	// maxOutboxes is the number of outboxes from which on an empty one is closed for each new one.
	maxOutboxes    = 256
	deliverTimeout = time.Second
)

// outbox queues and sends the messages to one peer.
type outbox struct {
	transport *Transport
	to        string
	queue     *ring.Ring[Envelope]
	// client is the connection, or nil if there is none. Only run uses it.
	client *rpc.Client
}

// Send queues a message. If the peer's queue is full, or the transport is closed, the message is
// dropped and counted as lost.
func (t *Transport) Send(to string, body any) {
	box := t.outboxTo(to)
	if box == nil || !box.queue.Put(Envelope{From: t.self, Body: body}) {
		t.MessagesLost.Add(1)
	}
}

// outboxTo returns the outbox of a peer, and starts one if there is none. It returns nil if there is
// none and the transport is closed.
func (t *Transport) outboxTo(to string) *outbox {
	t.mu.Lock()
	defer t.mu.Unlock()
	box := t.outboxes[to]
	if box != nil || t.closed {
		return box
	}
	if len(t.outboxes) >= maxOutboxes {
		t.evictEmptyOutbox()
	}
	box = &outbox{transport: t, to: to, queue: ring.New[Envelope](outboxSize)}
	t.outboxes[to] = box
	go box.run()
	return box
}

// evictEmptyOutbox closes one empty outbox, if any, to make room for another peer. Without it, the
// outboxes of addresses that are no longer in use would accumulate. t.mu must be held.
func (t *Transport) evictEmptyOutbox() {
	for address, box := range t.outboxes {
		if box.queue.Len() == 0 {
			box.queue.Close()
			delete(t.outboxes, address)
			return
		}
	}
}

// run sends the queued messages until the queue is closed and empty. Messages that are queued at the
// same time share a call, and so a round trip. run owns the connection and closes it.
func (o *outbox) run() {
	defer o.disconnect()
	for {
		messages := o.queue.Take(maxBatchSize)
		if messages == nil {
			return
		}
		counters := &o.transport.Counters
		if err := o.deliver(messages); err != nil {
			counters.MessagesLost.Add(int64(len(messages)))
			continue
		}
		counters.MessagesSent.Add(int64(len(messages)))
		counters.Calls.Add(1)
	}
}

// deliver sends messages in one call. After an error the connection is closed and the messages are
// lost: they are not retransmitted, because they may have arrived.
func (o *outbox) deliver(messages []Envelope) error {
	if o.client == nil {
		client, err := o.transport.dial(o.to)
		if err != nil {
			return err
		}
		o.client = client
	}
	err := callWithTimeout(o.client, DeliverMethod, MessageBatch{Messages: messages}, &DeliverReply{}, deliverTimeout)
	if err != nil {
		o.disconnect()
	}
	return err
}

func (o *outbox) disconnect() {
	if o.client != nil {
		o.client.Close()
		o.client = nil
	}
}
