// Package transport carries messages between the fleet's own processes over
// net/rpc (DESIGN §2). A message is one-way and may be lost; an ask has an
// answer and an deadline. net/rpc knows neither deadline nor cancellation, so every
// call runs with an deadline here, and one that expires closes its connection.
package transport

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/ring"
)

// Envelope is one message with where it came from.
type Envelope struct {
	From string
	Body any
}

// MessageBatch is what one call of Deliver carries.
type MessageBatch struct{ Messages []Envelope }

// DeliverReply says how many messages of a batch were taken.
type DeliverReply struct{ Count int }

// CallReply is the answer to an ask.
type CallReply struct {
	Body any
	Err  *errs.Error
}

var (
	kindsMu sync.Mutex
	kinds   []string
)

// Register tells the encoder of a message's type. On the wire the type is named by its
// package's last element and its own name, so that a package may move.
func Register(bodies ...any) {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	for _, body := range bodies {
		kind := fmt.Sprintf("%T", body)
		gob.RegisterName(kind, body)
		kinds = append(kinds, kind)
	}
}

// Kinds lists every kind of message that the fleet's processes send each other.
func Kinds() []string {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	return slices.Clone(kinds)
}

// Receiver takes what comes in. Deliver must not block; Ask may, up to the
// deadline the asker put into its own body.
type Receiver interface {
	Deliver(message Envelope)
	HandleCall(message Envelope) (any, error)
}

// Transport is one daemon's end of its connections. Its methods may be called by
// several threads.
type Transport struct {
	self        string
	receiver    Receiver
	mu          sync.Mutex
	outboxes    map[string]*outbox
	connections map[string]*callConnection
	closed      bool
	// MessagesSent counts messages, Calls the calls that carried them, Lost those that
	// were dropped or expired, BytesOut what went over the wire.
	MessagesSent, Calls, MessagesLost, BytesOut atomic.Int64
}

// serviceName is the service's name on the wire. It ends with the version of the
// protocol: gob passes a field that it does not know over without an error, so a message
// of a build whose fields have other names would be misread. Daemons of two versions
// therefore find no service at each other, and their messages count as lost
// (docs/DESIGN.md, section 3). Raise the version with every change of a message's type or
// field; "Post" was the name of versions 1 and 2.
const serviceName = "tuliprudder.3"

// The methods of the service, as net/rpc calls them.
const (
	DeliverMethod = serviceName + ".Deliver"
	CallMethod    = serviceName + ".Ask"
)

const (
	outboxSize     = 4096
	maxBatchSize   = 256
	deliverTimeout = time.Second
	maxOutboxes    = 256
)

type outbox struct{ ring *ring.Ring[Envelope] }

type callConnection struct {
	mu     sync.Mutex
	client *rpc.Client
}

// New makes the transport of a daemon with the given peer address.
func New(self string, receiver Receiver) *Transport {
	return &Transport{self: self, receiver: receiver, outboxes: map[string]*outbox{}, connections: map[string]*callConnection{}}
}

// Service has the methods that net/rpc serves.
type Service struct{ transport *Transport }

// Deliver takes a batch of messages.
func (s *Service) Deliver(batch MessageBatch, delivered *DeliverReply) error {
	for _, message := range batch.Messages {
		s.transport.receiver.Deliver(message)
	}
	delivered.Count = len(batch.Messages)
	return nil
}

// Ask answers one question.
func (s *Service) Ask(message Envelope, reply *CallReply) error {
	body, err := s.transport.receiver.HandleCall(message)
	if err != nil {
		reply.Err = errs.Of(err)
		return nil
	}
	reply.Body = body
	return nil
}

// Listen serves on an address until the returned function is called.
func (t *Transport) Listen(address string) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{transport: t}); err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "registering the service")
	}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[conn] = true
			mu.Unlock()
			go func() {
				server.ServeConn(conn)
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
			}()
		}
	}()
	return func() {
		listener.Close()
		mu.Lock()
		for conn := range open {
			conn.Close()
		}
		mu.Unlock()
		t.close()
	}, nil
}

func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, box := range t.outboxes {
		box.ring.Close()
	}
	for _, connection := range t.connections {
		connection.mu.Lock()
		if connection.client != nil {
			connection.client.Close()
		}
		connection.mu.Unlock()
	}
}

// Send queues a message; when the queue to its daemon is full it is dropped and
// counted.
func (t *Transport) Send(to string, body any) {
	t.mu.Lock()
	box := t.outboxes[to]
	if box == nil && !t.closed {
		if len(t.outboxes) >= maxOutboxes {
			for address, old := range t.outboxes {
				if old.ring.Len() == 0 {
					old.ring.Close()
					delete(t.outboxes, address)
					break
				}
			}
		}
		box = &outbox{ring: ring.New[Envelope](outboxSize)}
		t.outboxes[to] = box
		go t.deliver(to, box.ring)
	}
	t.mu.Unlock()
	if box == nil || !box.ring.Put(Envelope{From: t.self, Body: body}) {
		t.MessagesLost.Add(1)
	}
}

// deliver is the thread of one outbox: it takes what waits and delivers it in one
// call, so that messages of one moment share a round trip.
func (t *Transport) deliver(to string, queue *ring.Ring[Envelope]) {
	var client *rpc.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		messages := queue.Take(maxBatchSize)
		if messages == nil {
			return
		}
		if client == nil {
			var err error
			if client, err = t.dial(to); err != nil {
				t.MessagesLost.Add(int64(len(messages)))
				continue
			}
		}
		if err := callWithTimeout(client, DeliverMethod, MessageBatch{Messages: messages}, &DeliverReply{}, deliverTimeout); err != nil {
			client.Close()
			client = nil
			t.MessagesLost.Add(int64(len(messages)))
			continue
		}
		t.MessagesSent.Add(int64(len(messages)))
		t.Calls.Add(1)
	}
}

var errTimeout = errors.New("the call expired; its connection was closed")

func callWithTimeout(client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		client.Close()
		return errTimeout
	}
}

type countingConn struct {
	net.Conn
	bytesOut *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytesOut.Add(int64(n))
	return n, err
}

// dial goes out from the daemon's own address, so that a network between two
// daemons sees who speaks.
func (t *Transport) dial(to string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	if own, err := netip.ParseAddrPort(t.self); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: own.Addr().AsSlice()}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", to)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(countingConn{conn, &t.BytesOut}), nil
}

// Call calls and waits for the answer, at most until the deadline. An error that is no
// *errs.Error means that the outcome is unknown.
func (t *Transport) Call(to string, body any, timeout clock.Micros) (any, error) {
	t.mu.Lock()
	connection := t.connections[to]
	if connection == nil {
		connection = &callConnection{}
		t.connections[to] = connection
	}
	t.mu.Unlock()
	connection.mu.Lock()
	client := connection.client
	if client == nil {
		var err error
		if client, err = t.dial(to); err != nil {
			connection.mu.Unlock()
			return nil, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; another daemon may serve it by then", "daemon at %s can't be reached: %v", to, err)
		}
		connection.client = client
	}
	connection.mu.Unlock()
	var reply CallReply
	if err := callWithTimeout(client, CallMethod, Envelope{From: t.self, Body: body}, &reply, clock.Duration(timeout)); err != nil {
		connection.mu.Lock()
		if connection.client == client {
			connection.client = nil
			client.Close()
		}
		connection.mu.Unlock()
		return nil, errors.Wrapf(err, "asking %s", to)
	}
	if reply.Err != nil {
		return nil, errors.WithStack(reply.Err)
	}
	return reply.Body, nil
}
