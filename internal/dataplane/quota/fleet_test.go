package quota

import (
	"fmt"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

const testQuota = 100

// accountName is an alias of shard.AccountName for code in which a variable shadows the package.
type accountName = shard.AccountName

// Most tests use one of these accounts: mixedAccount has live requests and batches, batchAccount
// has batches alone.
var (
	mixedAccount = shard.AccountName{Tenant: "t"}
	batchAccount = shard.AccountName{Route: "t"}
)

// accountQuota returns the test quota of mixedAccount or batchAccount.
func accountQuota(mixed bool) AccountQuota {
	if mixed {
		return quotaOf(mixedAccount)
	}
	return quotaOf(batchAccount)
}

func quotaOf(name shard.AccountName) AccountQuota {
	return AccountQuota{Account: name, Limit: testQuota, ConfigurationVersion: 1}
}

// testWork is the work of one account in a shard.
type testWork struct {
	pending int
	// unconfirmed is the weight of completed items whose results are not yet durable, so that a
	// successor may find the items again.
	unconfirmed int
}

// testShard is one shard, its primary and the work in it.
type testShard struct {
	epoch       uint64
	primary     string                          // "" while no store serves it
	lastPrimary string                          // the latest primary, which has the work
	testWork                                    // of mixedAccount or batchAccount
	otherWork   map[shard.AccountName]*testWork // of other accounts
}

// workOf returns the work of an account.
func (s *testShard) workOf(name shard.AccountName) *testWork {
	if name == mixedAccount || name == batchAccount {
		return &s.testWork
	}
	if s.otherWork == nil {
		s.otherWork = map[shard.AccountName]*testWork{}
	}
	if s.otherWork[name] == nil {
		s.otherWork[name] = &testWork{}
	}
	return s.otherWork[name]
}

// testStore implements Shards for one store of a fleet.
type testStore struct {
	fleet *fleet
	id    string
}

// ServingEpoch returns the epoch of the shard, and whether this store serves it.
func (s testStore) ServingEpoch(shardIndex int, _ clock.Micros) (uint64, bool) {
	shard := s.fleet.shards[shardIndex]
	return shard.epoch, shard.primary == s.id
}

// PendingWeight returns the most that a successor may find.
func (s testStore) PendingWeight(shardIndex int, account shard.AccountName) int {
	work := s.fleet.shards[shardIndex].workOf(account)
	return work.pending + work.unconfirmed
}

// PendingWeights returns the total weight in the shards that this store serves, as if all of it
// were of mixedAccount.
func (s testStore) PendingWeights(clock.Micros) map[shard.AccountName]int {
	sum := 0
	for _, shard := range s.fleet.shards {
		if shard.primary == s.id {
			sum += shard.pending + shard.unconfirmed
		}
	}
	if sum == 0 {
		return map[shard.AccountName]int{}
	}
	return map[shard.AccountName]int{mixedAccount: sum}
}

// daemon is one daemon of a fleet.
type daemon struct {
	*Quota
	calls    *machine.Calls
	mapIndex int // index in the fleet's maps of the newest one that the daemon has received
	boots    int
}

// fleet holds the Quotas of some edges and stores. Messages arrive immediately and in the order in
// which they were sent, unless route is set.
type fleet struct {
	now     clock.Micros
	shards  []*testShard
	maps    []state.Map // newest last
	ids     []string
	daemons map[string]*daemon
	faults  InjectedFaults
	// unknownMembers lists, by daemon, the members that the daemon does not know; it knows all
	// others.
	unknownMembers map[string][]string
	evicted        []string // stores whose data is permanently lost, according to the control state
	// route, if set, decides when and whether a message arrives; onRequest, if set, is called with
	// each request that is sent.
	route     func(from, to string, arrive func())
	onRequest func(sent sentRequest)

	messages    []func()               // in flight
	outstanding map[uint64]sentRequest // requests without a reply, by the number of the call
	lastCall    uint64
}

// sentRequest is a request of a daemon, and how often the sender had been started when it was sent.
type sentRequest struct {
	from      string
	fromBoots int
	machine.Request
}

// newFleet returns a fleet whose shards are assigned to its stores in rotation.
func newFleet(edges, stores, shards int) *fleet {
	f := &fleet{now: 10 * clock.Second, daemons: map[string]*daemon{}, outstanding: map[uint64]sentRequest{}}
	for i := range shards {
		f.shards = append(f.shards, &testShard{epoch: 1, primary: storeID(i % stores)})
	}
	for i := range edges {
		f.ids = append(f.ids, edgeID(i))
	}
	for i := range stores {
		f.ids = append(f.ids, storeID(i))
	}
	f.publishMap()
	for _, id := range f.ids {
		f.boot(id)
	}
	return f
}

func edgeID(i int) string  { return fmt.Sprint("edge-", i+1) }
func storeID(i int) string { return fmt.Sprint("store-", i+1) }

func (f *fleet) storeIDs() []string {
	return slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return id[0] != 's' })
}

func (f *fleet) edgeIDs() []string {
	return slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return id[0] != 'e' })
}

// boot starts a new process of a daemon, without any state except the newest map.
func (f *fleet) boot(id string) {
	boots := 1
	if before := f.daemons[id]; before != nil {
		boots = before.boots + 1
	}
	calls := machine.NewCalls()
	d := &daemon{calls: calls, mapIndex: len(f.maps) - 1, boots: boots}
	members := func() []membership.Member { return f.membersKnownTo(id) }
	d.Quota = New(id, calls, members, func() state.Map { return f.maps[d.mapIndex] })
	if id[0] == 's' {
		d.Shards = testStore{f, id}
	}
	d.InjectedFaults = f.faults
	f.daemons[id] = d
}

// membersKnownTo lists the members that a daemon knows.
func (f *fleet) membersKnownTo(daemonID string) []membership.Member {
	var out []membership.Member
	for _, id := range f.ids {
		kind := membership.Edge
		if id[0] == 's' {
			kind = membership.Store
		}
		if !slices.Contains(f.unknownMembers[daemonID], id) {
			out = append(out, membership.Member{ID: id, Kind: kind, Peer: id})
		}
	}
	return out
}

// publishMap adds a map with the current assignment of the shards; daemons receive it by
// receiveMap.
func (f *fleet) publishMap() {
	m := state.Map{Seq: uint64(len(f.maps) + 1), Stores: map[string]state.Store{}}
	for _, id := range f.storeIDs() {
		m.Stores[id] = state.Store{ID: id, Peer: id, Evicted: slices.Contains(f.evicted, id)}
	}
	for _, shard := range f.shards {
		if shard.primary != "" {
			shard.lastPrimary = shard.primary
		}
		m.Shards = append(m.Shards, replication.Assignment{Epoch: shard.epoch, Primary: replication.Member{ID: shard.lastPrimary}})
	}
	f.maps = append(f.maps, m)
}

// receiveMap delivers the newest map to daemons.
func (f *fleet) receiveMap(ids ...string) {
	for _, id := range ids {
		f.daemons[id].mapIndex = len(f.maps) - 1
	}
}

// move assigns a shard to another store under a higher epoch. No daemon receives the new map yet.
func (f *fleet) move(shardIndex int, to string) {
	shard := f.shards[shardIndex]
	shard.epoch++
	shard.primary = to
	f.publishMap()
}

// owner returns the store that owns batchAccount.
func (f *fleet) owner() string { return f.shards[homeShard(batchAccount, f.maps[0])].primary }

// deliver delivers messages, and the messages sent in response, until there are none left.
func (f *fleet) deliver() {
	for f.send(); len(f.messages) > 0; f.send() {
		arrive := f.messages[0]
		f.messages = f.messages[1:]
		arrive()
	}
}

// send collects and transmits the messages that the daemons have emitted.
func (f *fleet) send() {
	for _, id := range f.ids {
		for _, effect := range f.daemons[id].calls.Drain() {
			switch e := effect.(type) {
			case machine.Reply:
				sent := f.outstanding[e.Call]
				delete(f.outstanding, e.Call)
				f.enqueue(id, sent.from, func() { f.receiveReply(sent, e.Body, e.Err) })
			case machine.Request:
				sent := sentRequest{id, f.daemons[id].boots, e}
				f.enqueue(id, e.To, func() { f.receiveRequest(sent) })
				if f.onRequest != nil {
					f.onRequest(sent)
				}
			}
		}
	}
}

func (f *fleet) enqueue(from, to string, arrive func()) {
	if f.route != nil {
		f.route(from, to, arrive)
		return
	}
	f.messages = append(f.messages, arrive)
}

func (f *fleet) receiveRequest(sent sentRequest) {
	f.lastCall++
	f.outstanding[f.lastCall] = sent
	f.daemons[sent.To].Call(f.lastCall, sent.Body, f.now)
}

// receiveReply delivers a reply, unless the requesting daemon has restarted since the request.
func (f *fleet) receiveReply(sent sentRequest, body any, err error) {
	if d := f.daemons[sent.from]; d.boots == sent.fromBoots {
		d.calls.ReplyReceived(sent.Token, body, err, f.now)
	}
}

// sendDelayed transmits the emitted messages with a delay: they arrive when the returned function
// is called, and the requests among them time out immediately.
func (f *fleet) sendDelayed() (arrive func()) {
	var late []func()
	f.route = func(_, _ string, arrive func()) { late = append(late, arrive) }
	var requests []sentRequest
	f.onRequest = func(sent sentRequest) { requests = append(requests, sent) }
	f.send()
	f.route, f.onRequest = nil, nil
	for _, sent := range requests {
		f.receiveReply(sent, nil, errOwnerUnreachable())
	}
	return func() {
		f.messages = append(f.messages, late...)
		f.deliver()
	}
}

// submit submits a batch to the store that serves a shard, and calls back with the outcome.
func (f *fleet) submit(shardIndex, weight int, quota AccountQuota, callback func(err error)) {
	shard := f.shards[shardIndex]
	if shard.primary == "" {
		callback(errNotServing("nobody", shardIndex))
		return
	}
	f.daemons[shard.primary].ReserveInShard(quota, shardIndex, weight, f.now, func(err error, _ clock.Micros) {
		if err == nil {
			shard.workOf(quota.Account).pending += weight
		}
		callback(err)
	})
}

// submitAll submits a batch to each of the given shards concurrently, and returns the total weight
// admitted.
func (f *fleet) submitAll(weight int, shardIndices ...int) (admitted int) {
	for _, shardIndex := range shardIndices {
		f.submit(shardIndex, weight, accountQuota(false), func(err error) {
			if err == nil {
				admitted += weight
			}
		})
	}
	f.deliver()
	return admitted
}

// pendingOf returns the pending weight of an account in all shards.
func (f *fleet) pendingOf(name shard.AccountName) int {
	sum := 0
	for _, shard := range f.shards {
		sum += shard.workOf(name).pending
	}
	return sum
}

// pending returns the pending weight of mixedAccount or batchAccount in all shards.
func (f *fleet) pending() int {
	sum := 0
	for _, shard := range f.shards {
		sum += shard.pending
	}
	return sum
}
