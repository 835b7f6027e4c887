package batchstore

import (
	"encoding/json"
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// memoryArchive implements Archive in memory.
type memoryArchive struct {
	files map[uint64][]machine.Record
	reads int // of records
}

func newMemoryArchive() *memoryArchive {
	return &memoryArchive{files: map[uint64][]machine.Record{}}
}

func (a *memoryArchive) Get(file uint64, unit string) ([]byte, error) {
	a.reads++
	for _, record := range a.files[file] {
		if record.Unit == unit {
			return record.Body, nil
		}
	}
	return nil, fmt.Errorf("no record of %s in file %d", unit, file)
}

func (a *memoryArchive) Files() []uint64  { return nil }
func (a *memoryArchive) LastFile() uint64 { return 0 }

// newStore creates a store with an empty disk and an empty archive.
func newStore(self Self) *Store { return New(self, Defaults(), nil, newMemoryArchive()) }

// cluster consists of two stores that replicate a single shard: "a" is the primary, "b" the replica.
// Writes become durable and messages arrive immediately, unless those of "a" are delayed.
type cluster struct {
	t              *testing.T
	now            clock.Micros
	stores         map[string]*Store
	archives       map[string]*memoryArchive
	delayed        bool     // hold back the writes and messages of "a"
	delayedEffects []func() // the effects held back
	replies        map[uint64]machine.Reply
	tasks          []any              // of the Execute effects
	announced      token.Announcement // the last one of "a"
	lastCall       uint64
	mapSeq         uint64         // of the latest map
	unreachable    string         // messages to this store are dropped
	persistedBytes map[string]int // in bodies of records, by store
	recordBytes    map[string]int // the same, since the store's last compaction
	compactions    map[string]int // by store
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t:              t,
		now:            clock.Second,
		stores:         map[string]*Store{},
		archives:       map[string]*memoryArchive{},
		persistedBytes: map[string]int{}, recordBytes: map[string]int{}, compactions: map[string]int{},
		replies: map[uint64]machine.Reply{},
	}
	for _, id := range []string{"a", "b"} {
		c.archives[id] = newMemoryArchive()
		c.stores[id] = New(Self{ID: id, Zone: id, Peer: id, Incarnation: 1}, Defaults(), nil, c.archives[id])
	}
	c.do("a", Message{Body: registration.Registered{Fleet: "f", Writer: 1}})
	c.do("b", Message{Body: registration.Registered{Fleet: "f", Writer: 2}})
	for seq, complete := range []bool{false, true} {
		assignment := replication.Assignment{
			Epoch:    1,
			Primary:  replication.Member{ID: "a", Incarnation: 1},
			Replicas: []replication.Member{{ID: "b", Incarnation: 1}},
			Complete: complete,
		}
		stores := map[string]state.Store{"a": {Peer: "a"}, "b": {Peer: "b"}}
		for _, id := range []string{"a", "b"} {
			c.do(id, mapUpdate(uint64(seq+1), stores, assignment))
		}
		c.mapSeq = uint64(seq + 1)
		c.advance(clock.Second)
	}
	return c
}

// mapUpdate returns the update with a map of one shard.
func mapUpdate(seq uint64, stores map[string]state.Store, assignment replication.Assignment) UpdateReceived {
	value, _ := json.Marshal(state.Map{Fleet: "f", Seq: seq, Stores: stores, Shards: []replication.Assignment{assignment}})
	return UpdateReceived{Update: machine.Update{Key: state.MapKey, Seq: seq, Value: value}}
}

// do applies a command to a store and executes its effects.
func (c *cluster) do(id string, command Command) {
	for _, effect := range c.stores[id].Do(command, c.now) {
		c.execute(id, effect)
	}
}

func (c *cluster) execute(id string, effect machine.Effect) {
	if c.delayed && id == "a" {
		switch effect.(type) {
		case machine.Persist, machine.Archive, machine.Send:
			c.delayedEffects = append(c.delayedEffects, func() { c.execute(id, effect) })
			return
		}
	}
	switch e := effect.(type) {
	case machine.Persist:
		for _, record := range e.Records {
			c.persistedBytes[id] += len(record.Body)
			c.recordBytes[id] += len(record.Body)
		}
		c.do(id, Persisted{Token: e.Token})
	case machine.Compact:
		c.recordBytes[id] = 0
		c.compactions[id]++
	case machine.Archive:
		c.archives[id].files[e.File] = e.Records
		c.do(id, Persisted{Token: e.Token})
	case machine.Send:
		if c.stores[e.To] != nil && e.To != c.unreachable {
			c.do(e.To, Message{From: id, Body: e.Body})
		}
	case machine.Reply:
		c.replies[e.Call] = e
	case machine.Execute:
		c.tasks = append(c.tasks, e.Task)
	case machine.Publish:
		if id == "a" {
			if err := json.Unmarshal(e.Update.Value, &c.announced); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// executeDelayed stops the delay and executes the delayed effects in order.
func (c *cluster) executeDelayed() {
	c.delayed = false
	for _, execute := range c.delayedEffects {
		execute()
	}
	c.delayedEffects = nil
}

// advance advances the time in steps of 50 ms, with a tick of both stores at each step.
func (c *cluster) advance(span clock.Micros) {
	for end := c.now + span; c.now < end; c.now += 50 * clock.Millisecond {
		c.do("a", Tick{})
		c.do("b", Tick{})
	}
}

// call sends a request to the store "a". Both results are nil if it has not replied yet.
func (c *cluster) call(request any) (any, error) {
	c.lastCall++
	c.do("a", Call{Number: c.lastCall, Body: request})
	reply := c.replies[c.lastCall]
	return reply.Body, reply.Err
}

func (c *cluster) mustCall(request any) any {
	c.t.Helper()
	response, err := c.call(request)
	if err != nil || response == nil {
		c.t.Fatalf("%T: response %v, error %v", request, response, err)
	}
	return response
}

func (c *cluster) mustReject(kind errs.Kind, request any) {
	c.t.Helper()
	if response, err := c.call(request); !errs.Is(err, kind) {
		c.t.Fatalf("%T %+v: response %v, error %v, want an error of kind %s", request, request, response, err, kind)
	}
}

// accessByID is the access of callers that are not identified by API keys.
var accessByID = Access{AnyTenant: true}

// forwardedBatch returns a request that submits a batch of forwarded items without a tenant. The items
// i0, i1, … have 10, 11, … tokens.
func forwardedBatch(id string, items int) SubmitRequest {
	batch := shard.Batch{ID: id, Tenant: "route", Hash: "h", Route: "route"}
	for i := range items {
		batch.Items = append(batch.Items, shard.Item{ID: fmt.Sprint("i", i), Request: &shard.Request{
			Target: "/x",
			Host:   "h",
			Header: map[string]string{"n": "v"},
			Body:   []byte(fmt.Sprint("body ", i)),
			Tokens: int64(10 + i),
		}})
	}
	return SubmitRequest{Batch: batch, By: accessByID, Timeout: clock.Second}
}

// finished returns the successful outcome of an item.
func finished(batch string, item int) ItemFinished {
	return ItemFinished{Batch: batch, Item: item, Status: shard.StatusOK, Output: "12345"}
}
