// Package transport carries messages between the fleet's own processes over
// net/rpc (DESIGN §2). A message is one-way and may be lost; an ask has an
// answer and an expiry. net/rpc knows neither expiry nor cancellation, so every
// call runs with an expiry here, and one that expires closes its connection.
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

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/ring"
)

// Envelope is one message with where it came from.
type Envelope struct {
	From string
	Body any
}

// Batch is what one call delivers.
type Batch struct{ Letters []Envelope }

// Nothing is an empty answer.
type Nothing struct{ Took int }

// Reply is the answer to an ask.
type Reply struct {
	Body   any
	Mishap *errs.Error
}

var (
	kindsMu sync.Mutex
	kinds   []string
)

// Register tells the encoder of a message's type.
func Register(bodies ...any) {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	for _, body := range bodies {
		gob.Register(body)
		kinds = append(kinds, fmt.Sprintf("%T", body))
	}
}

// Kinds lists every kind of message that the fleet's processes send each other.
func Kinds() []string {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	return slices.Clone(kinds)
}

// Receiver takes what comes in. Deliver must not block; Ask may, up to the
// expiry the asker put into its own body.
type Receiver interface {
	Deliver(letter Envelope)
	Ask(letter Envelope) (any, error)
}

// Transport is one daemon's end.
type Transport struct {
	self     string
	receiver Receiver
	mu       sync.Mutex
	lines    map[string]*line
	asks     map[string]*askLine
	closed   bool
	// Sent counts messages, Calls the calls that carried them, Lost those that
	// were dropped or expired, BytesOut what went over the wire.
	Sent, Calls, Lost, BytesOut atomic.Int64
}

const (
	ringSize   = 4096
	batchSize  = 256
	sendExpiry = time.Second
	idleLines  = 256
)

type line struct{ ring *ring.Ring[Envelope] }

type askLine struct {
	mu     sync.Mutex
	client *rpc.Client
}

// New makes a bridge for a daemon with the given peer address.
func New(self string, receiver Receiver) *Transport {
	return &Transport{self: self, receiver: receiver, lines: map[string]*line{}, asks: map[string]*askLine{}}
}

// Post is the service net/rpc serves.
type Post struct{ bridge *Transport }

// Deliver takes a batch of messages.
func (p *Post) Deliver(batch Batch, took *Nothing) error {
	for _, letter := range batch.Letters {
		p.bridge.receiver.Deliver(letter)
	}
	took.Took = len(batch.Letters)
	return nil
}

// Ask answers one question.
func (p *Post) Ask(letter Envelope, reply *Reply) error {
	body, err := p.bridge.receiver.Ask(letter)
	if err != nil {
		reply.Mishap = errs.Of(err)
		return nil
	}
	reply.Body = body
	return nil
}

// Listen serves on an address until the returned function is called.
func (b *Transport) Listen(address string) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Post", &Post{bridge: b}); err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "registering the post")
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
		b.close()
	}, nil
}

func (b *Transport) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, l := range b.lines {
		l.ring.Close()
	}
	for _, a := range b.asks {
		a.mu.Lock()
		if a.client != nil {
			a.client.Close()
		}
		a.mu.Unlock()
	}
}

// Send queues a message; when the line is full it is dropped and counted.
func (b *Transport) Send(to string, body any) {
	b.mu.Lock()
	l := b.lines[to]
	if l == nil && !b.closed {
		if len(b.lines) >= idleLines {
			for address, old := range b.lines {
				if old.ring.Len() == 0 {
					old.ring.Close()
					delete(b.lines, address)
					break
				}
			}
		}
		l = &line{ring: ring.New[Envelope](ringSize)}
		b.lines[to] = l
		go b.carry(to, l.ring)
	}
	b.mu.Unlock()
	if l == nil || !l.ring.Put(Envelope{From: b.self, Body: body}) {
		b.Lost.Add(1)
	}
}

// carry is the thread of one line: it takes what waits and delivers it in one
// call, so that messages of one moment share a round trip.
func (b *Transport) carry(to string, ring *ring.Ring[Envelope]) {
	var client *rpc.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		letters := ring.Take(batchSize)
		if letters == nil {
			return
		}
		if client == nil {
			var err error
			if client, err = b.dial(to); err != nil {
				b.Lost.Add(int64(len(letters)))
				continue
			}
		}
		if err := within(client, "Post.Deliver", Batch{Letters: letters}, &Nothing{}, sendExpiry); err != nil {
			client.Close()
			client = nil
			b.Lost.Add(int64(len(letters)))
			continue
		}
		b.Sent.Add(int64(len(letters)))
		b.Calls.Add(1)
	}
}

var errExpired = errors.New("the call expired; its connection was closed")

func within(client *rpc.Client, method string, args, reply any, expiry time.Duration) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	clockEvent := time.NewTimer(expiry)
	defer clockEvent.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-clockEvent.C:
		client.Close()
		return errExpired
	}
}

type counted struct {
	net.Conn
	out *atomic.Int64
}

func (c counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.out.Add(int64(n))
	return n, err
}

// dial goes out from the daemon's own address, so that a network between two
// daemons sees who speaks.
func (b *Transport) dial(to string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	if own, err := netip.ParseAddrPort(b.self); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: own.Addr().AsSlice()}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", to)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(counted{conn, &b.BytesOut}), nil
}

// Ask calls and waits for the answer, at most until the expiry. An error that
// is no mishap means the outcome is unknown.
func (b *Transport) Ask(to string, body any, expiry clock.Micros) (any, error) {
	b.mu.Lock()
	a := b.asks[to]
	if a == nil {
		a = &askLine{}
		b.asks[to] = a
	}
	b.mu.Unlock()
	a.mu.Lock()
	client := a.client
	if client == nil {
		var err error
		if client, err = b.dial(to); err != nil {
			a.mu.Unlock()
			return nil, errs.Later(errs.NotReady, clock.Second, "ask again; another daemon may serve it by then", "daemon at %s can't be reached: %v", to, err)
		}
		a.client = client
	}
	a.mu.Unlock()
	var reply Reply
	if err := within(client, "Post.Ask", Envelope{From: b.self, Body: body}, &reply, clock.Span(expiry)); err != nil {
		a.mu.Lock()
		if a.client == client {
			a.client = nil
			client.Close()
		}
		a.mu.Unlock()
		return nil, errors.Wrapf(err, "asking %s", to)
	}
	if reply.Mishap != nil {
		return nil, errors.WithStack(reply.Mishap)
	}
	return reply.Body, nil
}
