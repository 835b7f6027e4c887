package transport

import (
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

type testMessage struct{ Text string }

func init() { Register(testMessage{}) }

type testReceiver struct {
	received chan string
	release  chan struct{}
}

func (r *testReceiver) Deliver(message Envelope) { r.received <- message.Body.(testMessage).Text }
func (r *testReceiver) HandleCall(message Envelope) (any, error) {
	if message.Body.(testMessage).Text == "hold" {
		<-r.release
	}
	if message.Body.(testMessage).Text == "fail" {
		return nil, errs.New(errs.Busy, "come back", "no room")
	}
	return testMessage{"answer to " + message.Body.(testMessage).Text}, nil
}

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

// A peer that takes connections and says nothing holds up neither the others
// nor, past the deadline, the asker.
func TestUnresponsivePeerDelaysNobody(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	remote, receiver, _ := listen(t)
	_, _, local := listen(t)
	for i := 0; i < 10; i++ {
		local.Send(unresponsive.Addr().String(), testMessage{"lost"})
	}
	local.Send(remote, testMessage{"hello"})
	select {
	case got := <-receiver.received:
		if got != "hello" {
			t.Fatalf("heard %q", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("a silent peer held the message to another up")
	}
	if _, err := local.Call(unresponsive.Addr().String(), testMessage{"anyone"}, 50*clock.Millisecond); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("an ask that expired is told as %v", err)
	}
}

// An ask that expires closes its connection; the next ask goes over a new one.
func TestTimedOutCallDoesNotDelayTheNext(t *testing.T) {
	remote, _, _ := listen(t)
	_, _, local := listen(t)
	if _, err := local.Call(remote, testMessage{"hold"}, 50*clock.Millisecond); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("the held ask: %v", err)
	}
	got, err := local.Call(remote, testMessage{"again"}, 20*clock.Second)
	if err != nil || got.(testMessage).Text != "answer to again" {
		t.Fatalf("the next ask: %v %v", got, err)
	}
	if _, err := local.Call(remote, testMessage{"fail"}, 20*clock.Second); !errs.Is(err, errs.Busy) {
		t.Fatalf("a typed error came over as %v", err)
	}
}

// A daemon that can't be reached certainly did not hear the ask.
func TestUnreachableIsNotUnknown(t *testing.T) {
	_, _, local := listen(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	if _, err := local.Call(address, testMessage{"x"}, clock.Second); !errs.Is(err, errs.NotReady) {
		t.Fatalf("told %v", err)
	}
}

// A daemon of another protocol version is refused with a clear error: its messages could
// be misread.
func TestAnotherProtocolVersionIsRejected(t *testing.T) {
	remote, _, _ := listen(t)
	for _, service := range []string{"Post", "tuliprudder.2"} {
		client, err := rpc.Dial("tcp", remote)
		if err != nil {
			t.Fatal(err)
		}
		err = client.Call(service+".Deliver", MessageBatch{}, &DeliverReply{})
		if err == nil || !strings.Contains(err.Error(), "can't find service "+service) {
			t.Errorf("service %s: %v", service, err)
		}
		client.Close()
	}
}
