package batchstore

import (
	"encoding/json"
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// shelf is a shelf in memory.
type shelf map[uint64][]machine.Record

func (s shelf) Get(file uint64, unit string) ([]byte, error) {
	for _, record := range s[file] {
		if record.Unit == unit {
			return record.Body, nil
		}
	}
	return nil, fmt.Errorf("nothing of %s in file %d", unit, file)
}

func (s shelf) Files() []uint64  { return nil }
func (s shelf) LastFile() uint64 { return 0 }

// bench is a pair of stores that serves the one shard there is; the disks sync at
// once unless held.
type bench struct {
	t       *testing.T
	now     clock.Micros
	keepers map[string]*Store
	shelves map[string]shelf
	held    bool // a's disk and wire hold everything back
	kept    []func()
	answers map[uint64]machine.Reply
	orders  []any
	said    token.Announcement
	call    uint64
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, now: clock.Second, keepers: map[string]*Store{}, shelves: map[string]shelf{}, answers: map[uint64]machine.Reply{}}
	for _, id := range []string{"a", "b"} {
		b.shelves[id] = shelf{}
		b.keepers[id] = New(Self{ID: id, Zone: id, Peer: id, Incarnation: 1}, Defaults(), nil, b.shelves[id])
	}
	b.do("a", Message{Body: Registered{Fleet: "f", Writer: 1}})
	b.do("b", Message{Body: Registered{Fleet: "f", Writer: 2}})
	for seq, complete := range []bool{false, true} {
		m := state.Map{Fleet: "f", Seq: uint64(seq + 1), Stores: map[string]state.Store{"a": {Peer: "a"}, "b": {Peer: "b"}},
			Shards: []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "a", Incarnation: 1}, Replicas: []replication.Member{{ID: "b", Incarnation: 1}}, Complete: complete}}}
		value, _ := json.Marshal(m)
		for _, id := range []string{"a", "b"} {
			b.do(id, UpdateReceived{Update: machine.Update{Key: state.MapKey, Seq: m.Seq, Value: value}})
		}
		b.pass(clock.Second)
	}
	return b
}

func (b *bench) do(id string, command Command) {
	for _, effect := range b.keepers[id].Do(command, b.now) {
		b.carry(id, effect)
	}
}

func (b *bench) carry(id string, effect machine.Effect) {
	if b.held && id == "a" {
		switch effect.(type) {
		case machine.Persist, machine.Archive, machine.Send:
			b.kept = append(b.kept, func() { b.carry(id, effect) })
			return
		}
	}
	switch e := effect.(type) {
	case machine.Persist:
		b.do(id, Persisted{Token: e.Token})
	case machine.Archive:
		b.shelves[id][e.File] = e.Records
		b.do(id, Persisted{Token: e.Token})
	case machine.Send:
		if b.keepers[e.To] != nil {
			b.do(e.To, Message{From: id, Body: e.Body})
		}
	case machine.Reply:
		b.answers[e.Call] = e
	case machine.Execute:
		b.orders = append(b.orders, e.Task)
	case machine.Publish:
		if id == "a" {
			json.Unmarshal(e.Update.Value, &b.said)
		}
	}
}

// pass lets time go by.
func (b *bench) pass(span clock.Micros) {
	for end := b.now + span; b.now < end; b.now += 50 * clock.Millisecond {
		b.do("a", Tick{})
		b.do("b", Tick{})
	}
}

func (b *bench) ask(body any) (any, error) {
	b.call++
	b.do("a", Call{Number: b.call, Body: body})
	answer := b.answers[b.call]
	return answer.Body, answer.Err
}

func (b *bench) must(body any) any {
	b.t.Helper()
	answer, err := b.ask(body)
	if err != nil || answer == nil {
		b.t.Fatalf("%T: %v %v", body, answer, err)
	}
	return answer
}

func (b *bench) refused(kind errs.Kind, body any) {
	b.t.Helper()
	if answer, err := b.ask(body); !errs.Is(err, kind) {
		b.t.Fatalf("%T %+v: %v %v, not %s", body, body, answer, err, kind)
	}
}

// lot is a batch of opaque items, handed in without a key.
func lot(id string, items int) SubmitRequest {
	batch := shard.Batch{ID: id, Tenant: "route", Hash: "h", Route: "route"}
	for i := 0; i < items; i++ {
		batch.Items = append(batch.Items, shard.Item{ID: fmt.Sprint("i", i), Request: &shard.Request{Target: "/x", Host: "h",
			Header: map[string]string{"n": "v"}, Body: []byte(fmt.Sprint("body ", i)), Tokens: int64(10 + i)}})
	}
	return SubmitRequest{Batch: batch, Timeout: clock.Second}
}

// An opaque item reaches the path whole; its body is let go once it is listed or
// its batch has ended, what it counts for stays, and a run under way keeps it.
func TestBodiesGoOnceNobodyNeedsThem(t *testing.T) {
	b := newBench(t)
	b.must(lot("one", 2))
	b.must(lot("two", 1))
	var first RunItem
	for _, order := range b.orders {
		if item, ok := order.(RunItem); ok && item.Batch == "one" && item.Item == 0 {
			first = item
		}
	}
	if first.ItemID != "i0" || first.Request == nil || string(first.Request.Body) != "body 0" {
		t.Fatalf("the path was told %+v", first)
	}
	if got := b.must(ItemBodyRequest{Batch: "one", Item: "i0"}).(ItemBodyResponse); string(got.Body) != "body 0" {
		t.Fatalf("the body is %q", got.Body)
	}
	b.do("a", ItemFinished{Batch: "one", Item: 0, Status: shard.StatusOK, Output: "x"})
	b.must(EndRequest{Batch: "two", AnyTenant: true, Timeout: clock.Second})
	for _, k := range b.keepers {
		for _, id := range []string{"one", "two"} {
			request := k.shard(Unit(0)).state.Batches[id].Items[0].Request
			if len(request.Body)+len(request.Header) > 0 || request.Tokens != 10 {
				t.Fatalf("%s at %s keeps %+v", id, k.self.ID, request)
			}
		}
	}
	if string(first.Request.Body) != "body 0" {
		t.Fatal("a run under way lost its body")
	}
	for _, request := range []ItemBodyRequest{{Batch: "one", Item: "i0"}, {Batch: "two", Item: "i0"}, {Batch: "one", Item: "i9"}, {Batch: "three", Item: "i0"}} {
		b.refused(errs.NotFound, request)
	}
	if got := b.must(ItemBodyRequest{Batch: "one", Item: "i1"}).(ItemBodyResponse); string(got.Body) != "body 1" {
		t.Fatalf("the body is %q", got.Body)
	}
	if again := b.must(lot("one", 2)).(SubmitResponse); !again.Repeated || again.Items != 2 {
		t.Fatalf("handed in again: %+v", again)
	}
}

// Without a fresh lease a store does not deny an item: its successor may have it.
func TestAnItemIsDeniedOnlyUnderALease(t *testing.T) {
	b := newBench(t)
	b.refused(errs.NotFound, ItemBodyRequest{Batch: "one", Item: "i0"})
	b.now += 10 * clock.Second
	b.refused(errs.NotReady, ItemBodyRequest{Batch: "one", Item: "i0"})
}

// A batch without a key is anyone's who knows its name; a tenant's stays its own.
func TestAnyoneFindsWhatWasHandedInWithoutAKey(t *testing.T) {
	b := newBench(t)
	b.must(lot("one", 1))
	mine := lot("mine", 1)
	mine.Batch.Tenant, mine.Batch.Key = "c", "k"
	b.must(mine)
	b.refused(errs.NotFound, BatchStatusRequest{Batch: "one"})
	if status := b.must(BatchStatusRequest{Batch: "one", AnyTenant: true}).(BatchStatus); status.Items != 1 {
		t.Fatalf("it stands so: %+v", status)
	}
	b.must(ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "one", AnyTenant: true})
	b.refused(errs.NotFound, BatchStatusRequest{Batch: "mine", AnyTenant: true})
	b.refused(errs.NotFound, EndRequest{Batch: "mine", AnyTenant: true, Timeout: clock.Second})
	b.refused(errs.NotFound, ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "mine", AnyTenant: true})
	b.must(BatchStatusRequest{Batch: "mine", Tenant: "c"})
}

// list reads by index and checks where the page begins.
func (b *bench) list(from int, change func(*ReadRequest)) ReadResponse {
	b.t.Helper()
	request := ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "one", AnyTenant: true, Indexed: true, From: from,
		Bound: map[int]token.Vector{0: {1: b.said.PersistedUpTo}}}
	if change != nil {
		change(&request)
	}
	results := b.must(request).(ReadResponse)
	if results.Index != from {
		b.t.Fatalf("asked from %d, the page begins at %d", from, results.Index)
	}
	return results
}

func (r ReadResponse) ids() (out string) {
	for _, result := range r.Results {
		out += result.ItemID + " "
	}
	return out
}

// A list is read by index: in the order of its rows, cut by count and by bytes,
// never past what the reader has seen or what has finished, and the same from the
// shelf.
func TestAListIsReadByIndex(t *testing.T) {
	b := newBench(t)
	b.must(lot("one", 4))
	for _, item := range []int{2, 0, 3} {
		b.do("a", ItemFinished{Batch: "one", Item: item, Status: shard.StatusOK, Output: "12345"})
	}
	b.pass(clock.Second)
	if got := b.list(0, nil); got.ids() != "i2 i0 i3 " || got.More || got.Items != 4 || got.State != string(shard.Open) {
		t.Fatalf("%+v", got)
	}
	if got := b.list(1, func(a *ReadRequest) { a.Limit = 1 }); got.ids() != "i0 " || !got.More {
		t.Fatalf("one row: %+v", got)
	}
	if got := b.list(0, func(a *ReadRequest) { a.MaxBytes = 11 }); got.ids() != "i2 i0 " || !got.More {
		t.Fatalf("11 bytes: %+v", got)
	}
	if got := b.list(1, func(a *ReadRequest) { a.MaxBytes = 1 }); got.ids() != "i0 " || !got.More {
		t.Fatalf("at least one row: %+v", got)
	}
	if got := b.list(3, nil); got.ids() != "" || got.More || got.State != string(shard.Open) {
		t.Fatalf("at the end: %+v", got)
	}
	// The reader has seen the writer only up to the second row.
	seen := b.said.PersistedUpTo - 1
	short := func(a *ReadRequest) { a.Bound[0] = token.Vector{1: seen} }
	if got := b.list(0, short); got.ids() != "i2 i0 " || got.More {
		t.Fatalf("past the bound: %+v", got)
	}
	if got := b.list(2, short); got.ids() != "" {
		t.Fatalf("past the bound: %+v", got)
	}
	// The last row is not on two disks yet, whatever the reader claims to have seen.
	far := func(a *ReadRequest) { a.Bound[0] = token.Vector{1: 1 << 40} }
	b.held = true
	b.do("a", ItemFinished{Batch: "one", Item: 1, Status: shard.StatusFailed, Output: "no"})
	if got := b.list(2, far); got.ids() != "i3 " || got.State != string(shard.Open) {
		t.Fatalf("past what has finished: %+v", got)
	}
	b.held = false
	for _, do := range b.kept {
		do()
	}
	// Settled and shelved: the same list, and an end that is told at once.
	b.pass(3 * clock.Second)
	if b.keepers["a"].BatchesArchived != 1 {
		t.Fatal("the bundle was not shelved")
	}
	if got := b.list(1, short); got.ids() != "i0 " || got.State != string(shard.Open) || got.Items != 4 {
		t.Fatalf("from the shelf past the bound: %+v", got)
	}
	got := b.list(1, nil)
	if got.ids() != "i0 i3 i1 " || got.State != string(shard.Done) || got.Items != 4 || got.Results[2].Status != shard.StatusFailed {
		t.Fatalf("from the shelf: %+v", got)
	}
	if got := b.list(4, nil); got.ids() != "" || got.State != string(shard.Done) || got.Items != 4 {
		t.Fatalf("the shelf's end: %+v", got)
	}
}
