package transport

import (
	"net"
	"testing"

	"tuliprudder/internal/errs"
)

type testMessage struct{ Text string }

func init() { Register(testMessage{}) }

// The texts of calls that a testReceiver does not answer with an immediate response.
const (
	blockingText = "block" // answered once release is closed
	failingText  = "fail"  // answered with an errs.Busy
)

// testReceiver records the texts of messages and answers calls.
type testReceiver struct {
	received chan string
	release  chan struct{}
}

func (r *testReceiver) Deliver(message Envelope) { r.received <- message.Body.(testMessage).Text }
func (r *testReceiver) HandleCall(message Envelope) (any, error) {
	text := message.Body.(testMessage).Text
	switch text {
	case blockingText:
		<-r.release
	case failingText:
		return nil, errs.New(errs.Busy, "retry later", "no room")
	}
	return testMessage{"response to " + text}, nil
}

// listen starts a transport on a free local port.
func listen(t *testing.T) (string, *testReceiver, *Transport) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	r := &testReceiver{received: make(chan string, 100), release: make(chan struct{})}
	transport := New(address, r)
	stop, err := transport.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { close(r.release); stop() })
	return address, r, transport
}
