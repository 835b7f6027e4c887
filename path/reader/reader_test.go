package reader

import (
	"encoding/json"
	"testing"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/ledger/token"
)

// bench is a reader with one slot, whose keeper is the test.
type bench struct {
	*Reader
	t     *testing.T
	wire  *machine.Wire
	now   clock.Micros
	seq   uint64
	pages []Page
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, wire: machine.NewWire(), now: clock.Second}
	b.Reader = New(b.wire)
	m, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Slots: []replication.Assignment{{Epoch: 1}}})
	b.Receive(machine.Update{Key: state.MapKey, Seq: 1, Value: m}, b.now)
	b.say(5)
	return b
}

// say is the writer's word.
func (b *bench) say(upTo int64) {
	b.seq++
	said, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "keeper", UpTo: upTo, Slots: []token.Claimed{{Slot: 0, Epoch: 1}}})
	b.Receive(machine.Update{Key: token.Key(1), Epoch: 1, Seq: b.seq, Value: said}, b.now)
}

func (b *bench) read(read Read) {
	b.Start(read, b.now, func(page Page, err error, _ clock.Micros) {
		if err != nil {
			b.t.Fatal(err)
		}
		b.pages = append(b.pages, page)
	})
}

// next is what the store is asked; nil for nothing.
func (b *bench) next() *machine.Ask {
	for _, effect := range b.wire.Drain() {
		if ask, ok := effect.(machine.Ask); ok {
			return &ask
		}
	}
	return nil
}

// A held read by index ends as soon as there is a row, asks again no sooner than
// it may, and never asks past the last position seen.
func TestAHeldReadByIndex(t *testing.T) {
	b := newBench(t)
	b.PollRest = 7 * clock.Millisecond
	b.read(Read{Name: "n", Bundle: "one", Wait: 30 * clock.Second, Indexed: true, From: 3, MostBytes: 99, Most: 10, Anyone: true})
	first := b.next()
	ask := first.Body.(store.ReadAsk)
	if !ask.Indexed || ask.From != 3 || ask.MostBytes != 99 || ask.Most != 10 || !ask.Anyone || ask.Bound[0][1] != 5 {
		t.Fatalf("the keeper was asked %+v", ask)
	}
	b.wire.Answered(first.Token, store.Rows{State: string(shard.Open), Items: 9, Index: 3}, nil, b.now)
	if len(b.pages) > 0 {
		t.Fatalf("it did not wait: %+v", b.pages)
	}
	b.say(6)
	b.now += 6 * clock.Millisecond
	b.ClockEvent(b.now)
	if ask := b.next(); ask != nil {
		t.Fatal("it asked again too soon")
	}
	b.now += clock.Millisecond
	b.ClockEvent(b.now)
	second := b.next()
	if second == nil || second.Body.(store.ReadAsk).Bound[0][1] != 6 {
		t.Fatalf("after the writer's word it asked %+v", second)
	}
	b.wire.Answered(second.Token, store.Rows{Rows: []shard.Row{{Writer: 1, Position: 6}}, State: string(shard.Open), Items: 9, Index: 3}, nil, b.now)
	if len(b.pages) != 1 || len(b.pages[0].Rows) != 1 || b.pages[0].Index != 3 || b.pages[0].Items != 9 || b.pages[0].Next != "" {
		t.Fatalf("%+v", b.pages)
	}
}

// A settled list's end is told at once.
func TestTheEndOfASettledListIsToldAtOnce(t *testing.T) {
	b := newBench(t)
	b.read(Read{Name: "n", Bundle: "one", Wait: 30 * clock.Second, Indexed: true, From: 9, Anyone: true})
	b.wire.Answered(b.next().Token, store.Rows{State: string(shard.Done), Items: 9, Index: 9}, nil, b.now)
	if len(b.pages) != 1 || b.pages[0].State != string(shard.Done) || b.pages[0].Items != 9 || b.Open() != 0 {
		t.Fatalf("%+v", b.pages)
	}
}
