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
	t       *testing.T
	root    string
	now     clock.Micros
	cores   map[string]*controlplane.Core // by peer address
	stores  map[string]*batchstore.Store  // by peer address
	ids     map[string]string             // a store's peer address by its id
	disks   map[string]*disk              // by peer address
	mail    []mail
	answers map[uint64]machine.Reply
	calls   uint64
	written map[string]bool // the forms of records and updates so far (forms_test.go)
}

// mail is a message on its way.
type mail struct {
	from, to string
	body     any
}

// disk is the data folder of one daemon.
type disk struct {
	folder  *storage.Folder
	shelf   *storage.Archive
	pending []machine.Effect
}

const (
	tick         = 50 * clock.Millisecond
	slots        = 4
	callDeadline = 5 * clock.Second
)

// coreSeeds are the addresses of the first cores.
var coreSeeds = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, root: t.TempDir(), now: 1_700_000_000 * clock.Second, cores: map[string]*controlplane.Core{}, stores: map[string]*batchstore.Store{},
		ids: map[string]string{}, disks: map[string]*disk{}, answers: map[uint64]machine.Reply{}, written: map[string]bool{}}
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
	shelf, err := eventloop.OpenArchive(f.dataFolder(id))
	must(f.t, err)
	f.disks[peer] = &disk{folder: folder, shelf: shelf}
	return who, f.disks[peer]
}

func (f *fleet) startCore(id, peer, zone string) {
	who, _ := f.openDisk("cairn", id, peer)
	set := controlplane.Defaults()
	set.Shards, set.Bootstrap = slots, true
	f.cores[peer] = controlplane.New(election.CoreRef{ID: id, Peer: peer, Zone: zone}, who.Incarnation, coreSeeds, set, nil)
	for _, storePeer := range slices.Sorted(maps.Keys(f.stores)) {
		f.nameCores(storePeer)
	}
}

// nameCores tells a store the cores' addresses.
func (f *fleet) nameCores(peer string) {
	f.step(peer, f.stores[peer].Do(batchstore.CorePeers{Peers: slices.Sorted(maps.Keys(f.cores))}, f.now))
}

func (f *fleet) startStore(id, peer, zone, name string) {
	who, disk := f.openDisk("refuge", id, peer)
	set := batchstore.Defaults()
	set.RetainFinished = keepDone
	f.stores[peer] = batchstore.New(batchstore.Self{ID: id, Zone: zone, Peer: peer, Incarnation: who.Incarnation, Name: name}, set, nil, disk.shelf)
	f.ids[id] = peer
	f.nameCores(peer)
}

// stop ends a daemon; its folder stays.
func (f *fleet) stop(peer string) {
	delete(f.cores, peer)
	delete(f.stores, peer)
	delete(f.disks, peer)
}

// step carries out what a machine decided.
func (f *fleet) step(peer string, effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			f.mail = append(f.mail, mail{peer, e.To, e.Body})
		case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
			f.disks[peer].pending = append(f.disks[peer].pending, effect)
		case machine.Reply:
			f.answers[e.Call] = e
		case machine.Broadcast:
			f.answers[e.Call] = machine.Reply{Call: e.Call, Body: e.Body}
			f.publish(e.Update)
		case machine.Publish:
			f.publish(e.Update)
		case machine.Halt:
			f.t.Fatalf("%s halts: %v", peer, e.Err)
		}
	}
}

// publish brings an update to the stores, as the gossip does.
func (f *fleet) publish(update machine.Update) {
	f.notePublished(update)
	for _, peer := range slices.Sorted(maps.Keys(f.stores)) {
		f.step(peer, f.stores[peer].Do(batchstore.UpdateReceived{Update: update}, f.now))
	}
}

// deliver brings the mail that waits.
func (f *fleet) deliver() {
	for len(f.mail) > 0 {
		waiting := f.mail
		f.mail = nil
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

// sync writes what waits for the disks: one commit group for each.
func (f *fleet) sync() {
	for _, peer := range slices.Sorted(maps.Keys(f.disks)) {
		f.noteWritten(f.disks[peer].pending)
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

// write brings to disk what waits, in order, and tells the tokens of it.
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
			must(t, d.shelf.Put(e.File, e.Records, d.folder))
			tokens = append(tokens, e.Token)
		case machine.DeleteArchive:
			commit()
			d.shelf.Delete(e.Files)
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

// askPrimary asks the primary core and waits for its answer.
func (f *fleet) askPrimary(body any) any {
	f.t.Helper()
	for peer, core := range f.cores {
		if core.IsServing() {
			f.calls++
			f.step(peer, core.Do(controlplane.Call{Number: f.calls, Body: body}, f.now))
			return f.awaitAnswer()
		}
	}
	f.t.Fatal("no core serves")
	return nil
}

// askStore asks the store that leads a shard and waits for its answer.
func (f *fleet) askStore(slot int, body any) any {
	f.t.Helper()
	peer := f.ids[f.state().Shards[slot].Primary.ID]
	f.calls++
	f.step(peer, f.stores[peer].Do(batchstore.Call{Number: f.calls, Body: body}, f.now))
	return f.awaitAnswer()
}

func (f *fleet) awaitAnswer() any {
	f.t.Helper()
	for range 100 {
		if answer, ok := f.answers[f.calls]; ok {
			must(f.t, answer.Err)
			return answer.Body
		}
		f.pass(tick)
	}
	f.t.Fatalf("call %d got no answer", f.calls)
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

// settled waits until every shard has a complete group.
func (f *fleet) settled() {
	f.t.Helper()
	for range 2000 {
		f.pass(tick)
		serving := slices.ContainsFunc(slices.Collect(maps.Values(f.cores)), (*controlplane.Core).IsServing)
		if serving && len(f.state().Shards) > 0 && !slices.ContainsFunc(f.state().Shards, func(a assignment) bool { return !a.Complete }) {
			return
		}
	}
	f.t.Fatal("the fleet never settled")
}

// submit hands a batch in.
func (f *fleet) submit(batch shard.Batch) {
	f.t.Helper()
	slot := shard.ShardOf(batch.ID, slots)
	f.askStore(slot, batchstore.SubmitRequest{Shard: slot, Batch: batch, Timeout: callDeadline})
}

// result brings the result of one item.
func (f *fleet) result(batch string, item int, status, output string) {
	f.t.Helper()
	slot := shard.ShardOf(batch, slots)
	peer := f.ids[f.state().Shards[slot].Primary.ID]
	f.step(peer, f.stores[peer].Do(batchstore.ItemFinished{Shard: slot, Batch: batch, Item: item, Status: status, Output: output, Server: "server-a"}, f.now))
	f.pass(tick)
}

// end ends a batch.
func (f *fleet) end(batch, tenant string) {
	f.t.Helper()
	slot := shard.ShardOf(batch, slots)
	f.askStore(slot, batchstore.EndRequest{Shard: slot, Batch: batch, Tenant: tenant, Timeout: callDeadline})
}

// claim begins an idempotency claim; complete notes how it went.
func (f *fleet) claim(tenant, key string) {
	f.t.Helper()
	slot := shard.ShardOf(shard.ClaimID(tenant, key), slots)
	claim := shard.Claim{Tenant: tenant, Key: key, Hash: "hash of " + key, RequestID: "order-" + key}
	f.askStore(slot, batchstore.ClaimRequest{Shard: slot, Claim: claim, Timeout: callDeadline})
}

func (f *fleet) complete(tenant, key, claimState, answer string) {
	f.t.Helper()
	id := shard.ClaimID(tenant, key)
	slot := shard.ShardOf(id, slots)
	f.askStore(slot, batchstore.CompleteClaimRequest{Shard: slot, ID: id, State: claimState, Response: []byte(answer), Timeout: callDeadline})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
