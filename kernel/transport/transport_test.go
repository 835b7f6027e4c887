package transport

import (
	"net"
	"testing"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
)

type note struct{ Text string }

func init() { Register(note{}) }

type ears struct {
	heard chan string
	hold  chan struct{}
}

func (e *ears) Deliver(message Envelope) { e.heard <- message.Body.(note).Text }
func (e *ears) Ask(message Envelope) (any, error) {
	if message.Body.(note).Text == "hold" {
		<-e.hold
	}
	if message.Body.(note).Text == "fail" {
		return nil, errs.New(errs.Busy, "come back", "no room")
	}
	return note{"answer to " + message.Body.(note).Text}, nil
}

func listen(t *testing.T) (string, *ears, *Transport) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	e := &ears{heard: make(chan string, 100), hold: make(chan struct{})}
	bridge := New(address, e)
	end, err := bridge.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { close(e.hold); end() })
	return address, e, bridge
}

// A peer that takes connections and says nothing holds up neither the others
// nor, past the expiry, the asker.
func TestASilentPeerHoldsNobodyUp(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	there, hears, _ := listen(t)
	_, _, here := listen(t)
	for i := 0; i < 10; i++ {
		here.Send(silent.Addr().String(), note{"lost"})
	}
	here.Send(there, note{"hello"})
	select {
	case got := <-hears.heard:
		if got != "hello" {
			t.Fatalf("heard %q", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("a silent peer held the message to another up")
	}
	if _, err := here.Ask(silent.Addr().String(), note{"anyone"}, 50*clock.Millisecond); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("an ask that expired is told as %v", err)
	}
}

// An ask that expires closes its connection; the next ask goes over a new one.
func TestAnExpiredAskDoesNotHoldTheNext(t *testing.T) {
	there, _, _ := listen(t)
	_, _, here := listen(t)
	if _, err := here.Ask(there, note{"hold"}, 50*clock.Millisecond); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("the held ask: %v", err)
	}
	got, err := here.Ask(there, note{"again"}, 20*clock.Second)
	if err != nil || got.(note).Text != "answer to again" {
		t.Fatalf("the next ask: %v %v", got, err)
	}
	if _, err := here.Ask(there, note{"fail"}, 20*clock.Second); !errs.Is(err, errs.Busy) {
		t.Fatalf("a typed error came over as %v", err)
	}
}

// A daemon that can't be reached certainly did not hear the ask.
func TestUnreachableIsNotUnknown(t *testing.T) {
	_, _, here := listen(t)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := gone.Addr().String()
	gone.Close()
	if _, err := here.Ask(address, note{"x"}, clock.Second); !errs.Is(err, errs.NotReady) {
		t.Fatalf("told %v", err)
	}
}
