package storedformat

import (
	"maps"
	"path/filepath"
	"slices"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// fleet is a few daemons in one process, each with a data folder of its own. Messages
// arrive at once and in order, so that the same scenario writes the same bytes.
type fleet struct {
	t        *testing.T
	root     string
	now      clock.Micros
	cores    map[string]*controlplane.Core // by peer address
	stores   map[string]*batchstore.Store  // by peer address
	ids      map[string]string             // a store's peer address by its id
	disks    map[string]*disk              // by peer address
	inFlight []envelope
	replies  map[uint64]machine.Reply
	calls    uint64
	written  map[string]bool // the forms of records and updates so far (forms_test.go)
}

// envelope is a message in flight.
type envelope struct {
	from, to string
	body     any
}

// disk is the data folder of one daemon.
type disk struct {
	folder  *storage.Folder
	archive *storage.Archive
	pending []machine.Effect
}

const (
	tick         = 50 * clock.Millisecond
	shardCount   = 4
	callDeadline = 5 * clock.Second
)

// coreSeeds are the addresses of the first cores.
var coreSeeds = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, root: t.TempDir(), now: 1_700_000_000 * clock.Second, cores: map[string]*controlplane.Core{}, stores: map[string]*batchstore.Store{},
		ids: map[string]string{}, disks: map[string]*disk{}, replies: map[uint64]machine.Reply{}, written: map[string]bool{}}
}

// dataFolder is the data folder of a daemon.
func (f *fleet) dataFolder(id string) string { return filepath.Join(f.root, id) }

// openDisk makes a data folder with an identity file, as a daemon does at its start.
func (f *fleet) openDisk(kind, id, peer string) (eventloop.Identity, *disk) {
	f.t.Helper()
	must(f.t, storage.MakeFolder(f.dataFolder(id)))
	earlier := `{"kind":"` + kind + `","id":"` + id + `","life":2}`
	must(f.t, storage.WriteFileAtomically(filepath.Join(f.dataFolder(id), "identity.json"), []byte(earlier)))
	who, err := eventloop.LoadIdentity(f.dataFolder(id), kind)
	must(f.t, err)
	folder, _, err := eventloop.OpenRecords(f.dataFolder(id))
	must(f.t, err)
	archive, err := eventloop.OpenArchive(f.dataFolder(id))
	must(f.t, err)
	f.disks[peer] = &disk{folder: folder, archive: archive}
	return who, f.disks[peer]
}

func (f *fleet) startCore(id, peer, zone string) {
	who, _ := f.openDisk("cairn", id, peer)
	set := controlplane.Defaults()
	set.Shards, set.Bootstrap = shardCount, true
	f.cores[peer] = controlplane.New(election.CoreRef{ID: id, Peer: peer, Zone: zone}, who.Incarnation, coreSeeds, set, nil)
	for _, storePeer := range slices.Sorted(maps.Keys(f.stores)) {
		f.sendCorePeers(storePeer)
	}
}

// sendCorePeers gives a store the cores' addresses.
func (f *fleet) sendCorePeers(peer string) {
	f.step(peer, f.stores[peer].Do(batchstore.CorePeers{Peers: slices.Sorted(maps.Keys(f.cores))}, f.now))
}

func (f *fleet) startStore(id, peer, zone, name string) {
	who, disk := f.openDisk("refuge", id, peer)
	set := batchstore.Defaults()
	set.RetainFinished = retention
	f.stores[peer] = batchstore.New(batchstore.Self{ID: id, Zone: zone, Peer: peer, Incarnation: who.Incarnation, Name: name}, set, nil, disk.archive)
	f.ids[id] = peer
	f.sendCorePeers(peer)
}

// stop ends a daemon; its folder stays.
func (f *fleet) stop(peer string) {
	delete(f.cores, peer)
	delete(f.stores, peer)
	delete(f.disks, peer)
}

// step carries out effects.
func (f *fleet) step(peer string, effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			f.inFlight = append(f.inFlight, envelope{peer, e.To, e.Body})
		case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
			f.disks[peer].pending = append(f.disks[peer].pending, effect)
		case machine.Reply:
			f.replies[e.Call] = e
		case machine.Broadcast:
			f.replies[e.Call] = machine.Reply{Call: e.Call, Body: e.Body}
			f.publish(e.Update)
		case machine.Publish:
			f.publish(e.Update)
		case machine.Halt:
			f.t.Fatalf("%s halts: %v", peer, e.Err)
		}
	}
}

// publish gives an update to the stores, as the gossip does.
func (f *fleet) publish(update machine.Update) {
	f.recordPublished(update)
	for _, peer := range slices.Sorted(maps.Keys(f.stores)) {
		f.step(peer, f.stores[peer].Do(batchstore.UpdateReceived{Update: update}, f.now))
	}
}

// deliver delivers the messages in flight.
func (f *fleet) deliver() {
	for len(f.inFlight) > 0 {
		waiting := f.inFlight
		f.inFlight = nil
		for _, m := range waiting {
			switch {
			case f.cores[m.to] != nil:
				f.step(m.to, f.cores[m.to].Do(controlplane.Message{From: m.from, Body: m.body}, f.now))
			case f.stores[m.to] != nil:
				f.step(m.to, f.stores[m.to].Do(batchstore.Message{From: m.from, Body: m.body}, f.now))
			}
		}
	}
}

// sync writes what is pending to the disks: one commit group for each.
func (f *fleet) sync() {
	for _, peer := range slices.Sorted(maps.Keys(f.disks)) {
		f.recordWritten(f.disks[peer].pending)
		tokens := f.disks[peer].write(f.t)
		for _, token := range tokens {
			if core := f.cores[peer]; core != nil {
				f.step(peer, core.Do(controlplane.Persisted{Token: token}, f.now))
			} else {
				f.step(peer, f.stores[peer].Do(batchstore.Persisted{Token: token}, f.now))
			}
		}
	}
}

// write writes what is pending, in order, and returns the tokens that it acknowledges.
func (d *disk) write(t *testing.T) []uint64 {
	t.Helper()
	var group []machine.Record
	var tokens []uint64
	commit := func() {
		if len(group) > 0 {
			must(t, d.folder.Write(group))
			group = nil
		}
	}
	pending := d.pending
	d.pending = nil
	for _, effect := range pending {
		switch e := effect.(type) {
		case machine.Persist:
			group, tokens = append(group, e.Records...), append(tokens, e.Token)
		case machine.Compact:
			commit()
			must(t, d.folder.Compact(e.Records))
		case machine.Archive:
			commit()
			must(t, d.archive.Put(e.File, e.Records, d.folder))
			tokens = append(tokens, e.Token)
		case machine.DeleteArchive:
			commit()
			d.archive.Delete(e.Files)
		}
	}
	commit()
	return tokens
}

// pass lets time go by.
func (f *fleet) pass(span clock.Micros) {
	for end := f.now + span; f.now < end; {
		f.now += tick
		for _, peer := range slices.Sorted(maps.Keys(f.cores)) {
			f.step(peer, f.cores[peer].Do(controlplane.FreshnessAdvanced{At: f.now}, f.now))
			f.step(peer, f.cores[peer].Do(controlplane.Tick{}, f.now))
		}
		for _, peer := range slices.Sorted(maps.Keys(f.stores)) {
			f.step(peer, f.stores[peer].Do(batchstore.Tick{}, f.now))
		}
		f.deliver()
		f.sync()
		f.deliver()
	}
}

// callPrimary calls the primary core and waits for its reply.
func (f *fleet) callPrimary(body any) any {
	f.t.Helper()
	for peer, core := range f.cores {
		if core.IsServing() {
			f.calls++
			f.step(peer, core.Do(controlplane.Call{Number: f.calls, Body: body}, f.now))
			return f.awaitReply()
		}
	}
	f.t.Fatal("no core serves")
	return nil
}

// callStore calls the store that owns a shard and waits for its reply.
func (f *fleet) callStore(shardIndex int, body any) any {
	f.t.Helper()
	peer := f.ids[f.state().Shards[shardIndex].Primary.ID]
	f.calls++
	f.step(peer, f.stores[peer].Do(batchstore.Call{Number: f.calls, Body: body}, f.now))
	return f.awaitReply()
}

func (f *fleet) awaitReply() any {
	f.t.Helper()
	for range 100 {
		if answer, ok := f.replies[f.calls]; ok {
			must(f.t, answer.Err)
			return answer.Body
		}
		f.pass(tick)
	}
	f.t.Fatalf("call %d got no reply", f.calls)
	return nil
}

// state is the control state as the primary has it.
func (f *fleet) state() *state.State {
	for _, core := range f.cores {
		if core.IsServing() {
			return core.State()
		}
	}
	f.t.Fatal("no core serves")
	return nil
}

// awaitStable waits until every shard has all its replicas.
func (f *fleet) awaitStable() {
	f.t.Helper()
	for range 2000 {
		f.pass(tick)
		serving := slices.ContainsFunc(slices.Collect(maps.Values(f.cores)), (*controlplane.Core).IsServing)
		if serving && len(f.state().Shards) > 0 && !slices.ContainsFunc(f.state().Shards, func(a assignment) bool { return !a.Complete }) {
			return
		}
	}
	f.t.Fatal("the fleet never became stable")
}

// submit submits a batch.
func (f *fleet) submit(batch shard.Batch) {
	f.t.Helper()
	shardIndex := shard.ShardOf(batch.ID, shardCount)
	f.callStore(shardIndex, batchstore.SubmitRequest{Shard: shardIndex, Batch: batch, Timeout: callDeadline})
}

// result gives the store the result of one item.
func (f *fleet) result(batch string, item int, status, output string) {
	f.t.Helper()
	shardIndex := shard.ShardOf(batch, shardCount)
	peer := f.ids[f.state().Shards[shardIndex].Primary.ID]
	f.step(peer, f.stores[peer].Do(batchstore.ItemFinished{Shard: shardIndex, Batch: batch, Item: item, Status: status, Output: output, Server: "server-a"}, f.now))
	f.pass(tick)
}

// end cancels a batch.
func (f *fleet) end(batch, tenant string) {
	f.t.Helper()
	shardIndex := shard.ShardOf(batch, shardCount)
	f.callStore(shardIndex, batchstore.EndRequest{Shard: shardIndex, Batch: batch, By: batchstore.Access{Tenant: tenant}, Timeout: callDeadline})
}

// claim begins an idempotency claim, and complete completes it.
func (f *fleet) claim(tenant, key string) {
	f.t.Helper()
	shardIndex := shard.ShardOf(shard.ClaimID(tenant, key), shardCount)
	claim := shard.Claim{Tenant: tenant, Key: key, Hash: "hash of " + key, RequestID: "order-" + key}
	f.callStore(shardIndex, batchstore.ClaimRequest{Shard: shardIndex, Claim: claim, Timeout: callDeadline})
}

func (f *fleet) complete(tenant, key, claimState, answer string) {
	f.t.Helper()
	id := shard.ClaimID(tenant, key)
	shardIndex := shard.ShardOf(id, shardCount)
	f.callStore(shardIndex, batchstore.CompleteClaimRequest{Shard: shardIndex, ID: id, State: claimState, Response: []byte(answer), Timeout: callDeadline})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
