package transport

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"tuliprudder/internal/errs"
)

// Receiver handles messages and calls from other daemons. Its methods are called concurrently.
type Receiver interface {
	// Deliver handles a message. It must not block, because the messages after it wait.
	Deliver(message Envelope)
	// HandleCall answers a call. It may block for as long as the timeout that the caller put in the
	// body; the caller's own timeout is longer.
	HandleCall(message Envelope) (any, error)
}

// Service has the methods that net/rpc serves.
type Service struct{ transport *Transport }

// Deliver handles a batch of messages.
func (s *Service) Deliver(batch MessageBatch, delivered *DeliverReply) error {
	for _, message := range batch.Messages {
		s.transport.receiver.Deliver(message)
	}
	delivered.Count = len(batch.Messages)
	return nil
}

// Ask answers one call. The method's name is part of the wire protocol.
func (s *Service) Ask(message Envelope, reply *CallReply) error {
	body, err := s.transport.receiver.HandleCall(message)
	if err != nil {
		reply.Err = errs.Of(err)
		return nil
	}
	reply.Body = body
	return nil
}

// Listen serves other daemons on an address until stop is called. stop also closes the connections
// that this transport dialled; it does not wait for calls that are being handled.
func (t *Transport) Listen(address string) (stop func(), err error) {
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(serviceName, &Service{transport: t}); err != nil {
		return nil, errors.Wrap(err, "registering the service")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	s := &server{listener: listener, rpc: rpcServer, open: map[net.Conn]bool{}}
	go s.accept()
	return func() {
		s.close()
		t.close()
	}, nil
}

// server accepts connections and serves each in a goroutine of its own, which ends with the
// connection.
type server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu     sync.Mutex // guards the fields below
	open   map[net.Conn]bool
	closed bool
}

// accept accepts connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.register(conn) {
			conn.Close()
			return
		}
		go s.serve(conn)
	}
}

// register adds an open connection. It returns false if the server has been closed meanwhile.
func (s *server) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.open[conn] = true
	}
	return !s.closed
}

// serve serves a connection until either side closes it; net/rpc closes it then.
func (s *server) serve(conn net.Conn) {
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
}

// close stops accepting and closes the open connections.
func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
}
