package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// fakeStore is a store daemon as far as the cores see it: its beats.
type fakeStore struct {
	batchstore.Heartbeat
	copies bool // says of each shard it owns that the copy is whole
	silent bool
}

type letter struct {
	to, from string
	body     any
}

// bench is some cores that reach each other, and the beats of stores.
type bench struct {
	now     clock.Micros
	set     Settings
	cores   map[string]*Core // by peer
	starts  map[string]start // by peer, the latest
	stores  []*fakeStore
	wire    []letter
	drop    func(l letter) bool
	calls   uint64
	answers map[uint64]machine.Reply
	spreads []machine.Broadcast
	disks   map[string]*disk // what each core has written, where the test keeps it
	// holds keeps a store from a core's disk; nil: each is done at once.
	holds func(peer string, write machine.Persist) bool
}

// start is what a core is made of, besides its disk.
type start struct {
	self        election.CoreRef
	incarnation uint64
	seeds       []string
	set         Settings
}

func (s start) core(records []machine.Record) *Core {
	return New(s.self, s.incarnation, s.seeds, s.set, records)
}

// next is the next start of the same core.
func (s start) next() start {
	s.incarnation++
	return s
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func hasVote(voters []election.CoreRef, id string) bool { return slices.Contains(idsOf(voters), id) }

// idsOf lists the ids of some cores in order.
func idsOf(refs []election.CoreRef) (ids []string) {
	for _, ref := range refs {
		ids = append(ids, ref.ID)
	}
	slices.Sort(ids)
	return ids
}

func newBench(set Settings) *bench {
	return &bench{now: 1000, set: set, cores: map[string]*Core{}, starts: map[string]start{}, answers: map[uint64]machine.Reply{}}
}

// core adds an empty core; its peer address is its name.
func (b *bench) core(id, peer, zone string, seeds ...string) *Core {
	b.starts[peer] = start{election.CoreRef{ID: id, Peer: peer, Zone: zone}, 1, seeds, b.set}
	b.cores[peer] = b.starts[peer].core(nil)
	return b.cores[peer]
}

// store adds a store.
func (b *bench) store(id, peer, zone string) *fakeStore {
	s := &fakeStore{Heartbeat: batchstore.Heartbeat{ID: id, Peer: peer, Zone: zone, Incarnation: 1}, copies: true}
	b.stores = append(b.stores, s)
	return s
}

// take carries out what a core decided.
func (b *bench) take(peer string, effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			b.wire = append(b.wire, letter{e.To, peer, e.Body})
		case machine.Persist:
			if b.disks != nil {
				b.disk(peer).writes = append(b.disk(peer).writes, e.Records)
			}
			if b.holds != nil && b.holds(peer, e) {
				continue
			}
			b.take(peer, b.cores[peer].Do(Persisted{e.Token}, b.now))
		case machine.Compact:
			if b.disks != nil {
				b.disks[peer] = &disk{snapshot: e.Records}
			}
		case machine.Reply:
			b.answers[e.Call] = e
		case machine.Broadcast:
			b.spreads = append(b.spreads, e)
			b.answers[e.Call] = machine.Reply{Call: e.Call, Body: e.Body}
		}
	}
}

func (b *bench) pump() {
	for len(b.wire) > 0 {
		wire := b.wire
		b.wire = nil
		for _, l := range wire {
			if to := b.cores[l.to]; to != nil && (b.drop == nil || !b.drop(l)) {
				b.take(l.to, to.Do(Message{l.from, l.body}, b.now))
			}
		}
	}
}

// pass lets time go by.
func (b *bench) pass(span clock.Micros) {
	for end := b.now + span; b.now < end; {
		b.now += 50 * clock.Millisecond
		for _, peer := range sortedKeys(b.cores) {
			core := b.cores[peer]
			b.take(peer, core.Do(FreshnessAdvanced{b.now}, b.now))
			b.take(peer, core.Do(Tick{}, b.now))
			for _, s := range b.stores {
				if s.silent {
					continue
				}
				heartbeat := s.Heartbeat
				heartbeat.Ready = map[int]uint64{}
				for shard, p := range core.State().Shards {
					if s.copies && p.Primary.ID == s.ID {
						heartbeat.Ready[shard] = p.Epoch
					}
				}
				b.take(peer, core.Do(Message{s.Peer, heartbeat}, b.now))
			}
		}
		b.pump()
	}
}

// primary is the core that serves; nil when none or two do.
func (b *bench) primary() *Core {
	var found *Core
	for _, core := range b.cores {
		if core.IsServing() && found != nil {
			return nil
		} else if core.IsServing() {
			found = core
		}
	}
	return found
}

// ask asks a core and tells the number of the call.
func (b *bench) ask(core *Core, body any) uint64 {
	b.calls++
	b.take(core.self.Peer, core.Do(Call{b.calls, body}, b.now))
	return b.calls
}

// told is the answer to a call that has to be there.
func (b *bench) told(t *testing.T, call uint64) machine.Reply {
	t.Helper()
	answer, ok := b.answers[call]
	if !ok {
		t.Fatalf("call %d is not answered", call)
	}
	return answer
}

// fleet is three cores that have founded, three stores and their shards.
func fleet(t *testing.T, set Settings) *bench {
	t.Helper()
	return found(t, newBench(set))
}

// found has three cores found a fleet with three stores.
func found(t *testing.T, b *bench) *bench {
	t.Helper()
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
	}
	for i := 1; i <= 3; i++ {
		b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
	}
	b.settle(t)
	return b
}

func small() Settings {
	set := Defaults()
	set.Shards = 6
	set.Bootstrap = true
	return set
}

// settle waits until one core serves and every shard has a whole pair.
func (b *bench) settle(t *testing.T) {
	t.Helper()
	for i := 0; i < 400; i++ {
		b.pass(50 * clock.Millisecond)
		if p := b.primary(); p != nil && !p.queue.HasInFlight() && whole(p) {
			return
		}
	}
	t.Fatal("the fleet never settled")
}

func whole(s *Core) bool {
	for _, p := range s.State().Shards {
		if !p.Complete {
			return false
		}
	}
	return len(s.State().Shards) > 0
}

func put(number, base uint64, body string) PutConfigurationRequest {
	return PutConfigurationRequest{Number: number, Base: base, HasBase: true, Body: []byte(body), By: "o", Timeout: 3 * clock.Second}
}

// held keeps the pair's entries from the backup.
func held(l letter) bool { _, entry := l.body.(replication.Append); return entry }

// A configuration carries the operator's own number: it has to be above the one in force,
// and a stale base is told first.
func TestConfigurationsCarryTheOperatorsNumber(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	for i, step := range []struct {
		ask  PutConfigurationRequest
		want any
	}{
		{put(3, 3, `{"a":1}`), errs.StaleBase}, // nothing is in force, and 3 can't be the base of 3
		{put(7, 0, `{"a":1}`), uint64(7)},
		{put(7, 0, `{"a":2}`), errs.StaleBase}, // the number is taken by another
		{put(5, 0, `{"a":2}`), errs.StaleBase}, // stale, and not above: stale is told
		{put(5, 7, `{"a":2}`), errs.InvalidConfiguration},
		{put(9, 7, `{"a":2}`), uint64(9)},
		{put(12, 7, `{"a":3}`), errs.StaleBase},
		{PutConfigurationRequest{Number: 8, Body: []byte(`{"a":4}`), Timeout: clock.Second}, errs.InvalidConfiguration},
		{PutConfigurationRequest{Number: 11, Body: []byte(`{"a":4}`), Timeout: clock.Second}, uint64(11)},
		{PutConfigurationRequest{Body: []byte(`{"a":5}`), Timeout: clock.Second}, uint64(12)}, // the core's own
	} {
		call := b.ask(core, step.ask)
		b.pump()
		answer := b.told(t, call)
		switch want := step.want.(type) {
		case errs.Kind:
			if !errs.Is(answer.Err, want) || errs.Of(answer.Err).Remedy == "" {
				t.Errorf("step %d: told %v %v, not %s", i, answer.Body, answer.Err, want)
			}
		case uint64:
			if answer.Body != (PutConfigurationResponse{Version: want}) {
				t.Errorf("step %d: told %v %v, not version %d", i, answer.Body, answer.Err, want)
			}
		}
	}
}

// An exact repeat gets the same acknowledgement, whatever its base and what came after it;
// it writes nothing, and it too says that most of the roll know the configuration.
func TestAnExactRepeatGetsTheSameAcknowledgement(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	for _, request := range []PutConfigurationRequest{put(3, 0, `{ "a": "x<y" }`), put(3, 0, `{"a":"x<y"}`), put(3, 99, `{"a" : "x<y"}`), put(4, 3, `{}`), put(3, 0, `{"a":"x<y"}`)} {
		notified := len(b.spreads)
		call := b.ask(core, request)
		b.pump()
		if answer := b.told(t, call); answer.Body != (PutConfigurationResponse{Version: request.Number}) {
			t.Fatalf("%d on base %d: told %v %v", request.Number, request.Base, answer.Body, answer.Err)
		}
		if len(b.spreads) != notified+1 {
			t.Fatalf("%d on base %d: the receipt was given before most of the roll knew the plan", request.Number, request.Base)
		}
	}
	if n := len(core.State().Versions); n != 2 {
		t.Fatalf("%d versions are written, not 2", n)
	}
}

// A repeat of a version that the pair has not confirmed waits for it.
func TestARepeatWaitsForTheVersionInFlight(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	b.drop = held
	first, again, other := b.ask(core, put(3, 0, `{"a":1}`)), b.ask(core, put(3, 0, `{"a":1}`)), b.ask(core, put(3, 0, `{"a":2}`))
	b.pump()
	if len(b.answers) != 0 {
		t.Fatalf("answered before the pair confirmed: %v", b.answers)
	}
	b.drop = nil
	b.pass(clock.Second)
	for _, call := range []uint64{first, again} {
		if answer := b.told(t, call); answer.Body != (PutConfigurationResponse{Version: 3}) {
			t.Errorf("call %d: told %v %v", call, answer.Body, answer.Err)
		}
	}
	if answer := b.told(t, other); !errs.Is(answer.Err, errs.StaleBase) {
		t.Errorf("the same number with another document: told %v %v", answer.Body, answer.Err)
	}
	// One that expires while it waits is not told that nothing was put.
	b.drop = held
	first, again = b.ask(core, put(5, 3, `{"a":1}`)), b.ask(core, put(5, 3, `{"a":1}`))
	b.pass(3500 * clock.Millisecond)
	for _, call := range []uint64{first, again} {
		if answer := b.told(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("call %d expired: told %v %v", call, answer.Body, answer.Err)
		}
	}
}

// Two operators put on the same base: exactly one of them wins.
func TestTwoOperatorsOnOneBase(t *testing.T) {
	for _, second := range []uint64{5, 6, 0} {
		b := fleet(t, small())
		core := b.primary()
		b.drop = held
		calls := []uint64{b.ask(core, put(5, 0, `{"a":1}`)), b.ask(core, put(second, 0, `{"a":2}`))}
		b.drop = nil
		b.pass(clock.Second)
		won := 0
		for _, call := range calls {
			if answer := b.told(t, call); answer.Err == nil {
				won++
			} else if !errs.Is(answer.Err, errs.StaleBase) {
				t.Errorf("the loser is told %v", answer.Err)
			}
		}
		if won != 1 || len(core.State().Versions) != 1 {
			t.Errorf("%d won, %d versions are written", won, len(core.State().Versions))
		}
	}
}

// The latest version is read back whole, at the serving primary alone, and never
// one that is in flight; an invalid configuration is turned away before anything is written.
func TestTheLatestConfirmedConfigurationReadsBack(t *testing.T) {
	set := small()
	set.CheckConfiguration = func(body []byte) error {
		if string(body) == `{"bad":1}` {
			return errs.New(errs.InvalidConfiguration, "correct it", "it is bad")
		}
		return nil
	}
	b := fleet(t, set)
	core := b.primary()
	latest := func(core *Core) (uint64, error) {
		answer := b.told(t, b.ask(core, ConfigurationsRequest{Latest: true}))
		if answer.Err != nil {
			return 0, answer.Err
		}
		versions := answer.Body.(ConfigurationsResponse).Versions
		if len(versions) != 1 || string(versions[0].Body) != fmt.Sprintf(`{"n":%d}`, versions[0].Number) {
			t.Fatalf("read back %+v", versions)
		}
		return versions[0].Number, nil
	}
	if _, err := latest(core); !errs.Is(err, errs.NotFound) {
		t.Errorf("before any plan: told %v", err)
	}
	seq := core.State().Seq
	if answer := b.told(t, b.ask(core, put(2, 0, `{"bad":1}`))); !errs.Is(answer.Err, errs.InvalidConfiguration) || core.State().Seq != seq {
		t.Errorf("an invalid plan: told %v, %d entries more", answer.Err, core.State().Seq-seq)
	}
	b.ask(core, put(2, 0, `{"n":2}`))
	b.pump()
	b.drop = held
	b.ask(core, put(4, 2, `{"n":4}`))
	if number, err := latest(core); number != 2 {
		t.Errorf("while 4 is in flight: told %d %v", number, err)
	}
	b.drop = nil
	b.pass(clock.Second)
	if number, err := latest(core); number != 4 {
		t.Errorf("after 4 was confirmed: told %d %v", number, err)
	}
	for _, other := range b.cores {
		if other == core {
			continue
		}
		if _, err := latest(other); !errs.Is(err, errs.NotReady) {
			t.Errorf("a core that is not primary: told %v", err)
		}
	}
	// A primary that nobody hears does not know whether it still is one.
	b.drop = func(l letter) bool { return l.to == core.self.Peer || l.from == core.self.Peer }
	b.pass(1600 * clock.Millisecond)
	if _, err := latest(core); !errs.Is(err, errs.NotReady) {
		t.Errorf("a primary that was cut off: told %v", err)
	}
}

func (b *bench) retire(t *testing.T, request RetireRequest) (RetireResponse, error) {
	t.Helper()
	request.Timeout = 3 * clock.Second
	call := b.ask(b.primary(), request)
	b.pump()
	answer := b.told(t, call)
	acknowledgement, _ := answer.Body.(RetireResponse)
	return acknowledgement, answer.Err
}

// A store is retired by the operator's name for its machine: the newest store that
// is not struck; looking changes nothing; what the operator calls it is kept up to
// date.
func TestAStoreIsRetiredByName(t *testing.T) {
	b := newBench(small())
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
		b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i)).Name = fmt.Sprint("machine-", i)
	}
	b.settle(t)
	core := b.primary()
	for _, request := range []RetireRequest{{Name: "machine-9"}, {Name: ""}, {ID: "store-9"}, {Name: "machine-9", ReadOnly: true}} {
		if _, err := b.retire(t, request); !errs.Is(err, errs.NotFound) {
			t.Errorf("%+v: told %v", request, err)
		}
	}
	b.stores[2].silent = true
	b.pass(5 * clock.Second)
	if _, err := b.retire(t, RetireRequest{Name: "machine-1"}); !errs.Is(err, errs.Rejected) || errs.Of(err).Status() != 409 {
		t.Errorf("two zones would not remain: told %v", err)
	}
	b.stores[2].silent = false
	b.settle(t)
	// Another store on the same machine: the newer one is meant.
	fourth := b.store("store-0", "s4", "zone-1")
	fourth.Name = "machine-1"
	b.pass(clock.Second)
	seq := core.State().Seq
	if acknowledgement, err := b.retire(t, RetireRequest{Name: "machine-1", ReadOnly: true}); err != nil || acknowledgement.ID != "store-0" || acknowledgement.Done || core.State().Seq != seq || core.State().Stores["store-0"].Retiring {
		t.Fatalf("a look: told %+v %v, and %d entries were written", acknowledgement, err, core.State().Seq-seq)
	}
	// It gets another name, and then the older one is meant.
	fourth.Name = "machine-4"
	b.pass(clock.Second)
	if core.State().Stores["store-0"].Name != "machine-4" {
		t.Fatal("the new name was not written down")
	}
	acknowledgement, err := b.retire(t, RetireRequest{Name: "machine-1"})
	if err != nil || acknowledgement.ID != "store-1" || acknowledgement.Done || acknowledgement.ShardsLeft == 0 {
		t.Fatalf("told %+v %v", acknowledgement, err)
	}
	b.pass(10 * clock.Second)
	if acknowledgement, err = b.retire(t, RetireRequest{Name: "machine-1", ReadOnly: true}); err != nil || acknowledgement != (RetireResponse{ID: "store-1", Done: true}) {
		t.Fatalf("after 10 s: told %+v %v", acknowledgement, err)
	}
	if acknowledgement, err = b.retire(t, RetireRequest{ID: "store-1", Name: "machine-2", Cancel: true}); err != nil || acknowledgement.ID != "store-1" || core.State().Stores["store-1"].Retiring {
		t.Fatalf("taken back: told %+v %v", acknowledgement, err)
	}
}

// Two stores are retired at once, and the fleet can do without either but not
// without both: one is refused.
func TestTwoRetirementsAreJudgedInTurn(t *testing.T) {
	b := fleet(t, small())
	b.store("store-4", "s4", "zone-1")
	b.pass(clock.Second)
	core := b.primary()
	b.drop = held
	b.ask(core, put(1, 0, `{}`)) // both wait behind it
	one := b.ask(core, RetireRequest{ID: "store-2", Timeout: 3 * clock.Second})
	two := b.ask(core, RetireRequest{ID: "store-3", Timeout: 3 * clock.Second})
	b.drop = nil
	b.pass(clock.Second)
	if first, second := b.told(t, one), b.told(t, two); first.Err != nil || !errs.Is(second.Err, errs.Rejected) {
		t.Fatalf("told %v %v and %v %v", first.Body, first.Err, second.Body, second.Err)
	}
}

// How far a retirement is, is told of what the pair has confirmed.
func TestALookWaitsForWhatIsInFlight(t *testing.T) {
	b := fleet(t, small())
	b.store("store-4", "s4", "zone-1")
	b.pass(clock.Second)
	core := b.primary()
	b.drop = held
	mark := b.ask(core, RetireRequest{ID: "store-1", Timeout: clock.Second})
	look := b.ask(core, RetireRequest{ID: "store-1", ReadOnly: true})
	again := b.ask(core, RetireRequest{ID: "store-1", Timeout: clock.Second})
	b.pass(1200 * clock.Millisecond)
	if _, notified := b.answers[look]; notified {
		t.Fatal("told before the pair confirmed the mark")
	}
	for _, call := range []uint64{mark, again} {
		if answer := b.told(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("call %d expired: told %v %v", call, answer.Body, answer.Err)
		}
	}
	b.drop = nil
	b.pass(clock.Second)
	if answer := b.told(t, look); answer.Err != nil {
		t.Fatalf("told %v", answer.Err)
	}
}

// A store is retired only when no shard depends on it, those included whose new pair
// is not whole, and when the others' pairs are whole too.
func TestRetiredOnlyWhenEveryPairIsWhole(t *testing.T) {
	set := small()
	set.BalanceAfter = 3600 * clock.Second
	b := fleet(t, set)
	fourth := b.store("store-4", "s4", "zone-1")
	b.pass(clock.Second)
	look := func(id string) RetireResponse {
		acknowledgement, err := b.retire(t, RetireRequest{ID: id, ReadOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		return acknowledgement
	}
	copies := func(whole bool) {
		for _, s := range b.stores {
			s.copies = whole
		}
	}
	// Nothing depends on the fourth, but pairs of the others are not whole.
	copies(false)
	b.stores[2].Incarnation = 2
	b.pass(clock.Second)
	if whole(b.primary()) {
		t.Fatal("all pairs are whole; the test shows nothing")
	}
	if _, err := b.retire(t, RetireRequest{ID: "store-4"}); err != nil {
		t.Fatal(err)
	}
	b.pass(3 * clock.Second)
	if got := look("store-4"); got.Done || got.ShardsLeft != 0 {
		t.Fatalf("other pairs are not whole: %+v", got)
	}
	copies(true)
	b.pass(3 * clock.Second)
	if got := look("store-4"); !got.Done {
		t.Fatalf("all is whole: %+v", got)
	}
	if _, err := b.retire(t, RetireRequest{ID: fourth.ID, Cancel: true}); err != nil {
		t.Fatal(err)
	}
	// The shards of the first have new pairs, but none is whole yet.
	copies(false)
	if _, err := b.retire(t, RetireRequest{ID: "store-1"}); err != nil {
		t.Fatal(err)
	}
	b.pass(3 * clock.Second)
	for shard, p := range b.primary().State().Shards {
		if slices.Contains(p.IDs(), "store-1") {
			t.Fatalf("slot %d still names the store: %+v", shard, p)
		}
	}
	if got := look("store-1"); got.Done || got.ShardsLeft == 0 {
		t.Fatalf("the new pairs are not whole: %+v", got)
	}
	copies(true)
	b.pass(3 * clock.Second)
	if got := look("store-1"); !got.Done || got.ShardsLeft != 0 {
		t.Fatalf("all is whole: %+v", got)
	}
}

// seats are the ids of the cores that have one, as the primary knows them.
func (b *bench) seats() (ids []string) {
	if p := b.primary(); p != nil {
		for _, ref := range p.Vote().Voters {
			ids = append(ids, ref.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Five cores found a fleet when all of them are there and grant it, and it outlives
// two of them.
func TestFiveCoresFoundAFleet(t *testing.T) {
	set := small()
	set.Founders = 5
	b := newBench(set)
	add := func(i int) {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i%3), "c1", "c2", "c3", "c4", "c5")
	}
	for i := 1; i <= 4; i++ {
		add(i)
	}
	for i := 1; i <= 3; i++ {
		b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
	}
	b.pass(5 * clock.Second)
	for _, core := range b.cores {
		if core.Vote().Fleet != "" {
			t.Fatalf("four of five founded %s", core.Vote().Fleet)
		}
	}
	add(5)
	b.drop = func(l letter) bool { _, grant := l.body.(election.VoteResponse); return grant && l.from == "c5" }
	b.pass(5 * clock.Second)
	if b.primary() != nil {
		t.Fatal("founded without the grant of one of the five")
	}
	b.drop = nil
	b.settle(t)
	if got := fmt.Sprint(b.seats()); got != "[core-1 core-2 core-3 core-4 core-5]" {
		t.Fatalf("seats: %s", got)
	}
	delete(b.cores, b.primary().self.Peer)
	b.pass(10 * clock.Second)
	if b.primary() == nil {
		t.Fatal("four of five have no primary")
	}
	delete(b.cores, b.primary().self.Peer)
	b.pass(10 * clock.Second)
	core := b.primary()
	if core == nil {
		t.Fatal("three of five have no primary")
	}
	call := b.ask(core, put(1, 0, `{}`))
	b.pump()
	if answer := b.told(t, call); answer.Err != nil {
		t.Fatal(answer.Err)
	}
}

// Where more empty cores are heard than it takes, those at the seeds found the
// fleet, whichever id is lowest, and whoever was heard first.
func TestTheCoresAtTheSeedsFound(t *testing.T) {
	for _, early := range []bool{true, false} {
		b := newBench(small())
		stranger := func() {
			b.core("core-0", "c9", "zone-1", "c1", "c2", "c3")
			b.core("core-4", "c8", "zone-2", "c1", "c2", "c3")
		}
		if early {
			stranger()
		}
		for i := 1; i <= 3; i++ {
			b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
			b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
			b.pass(300 * clock.Millisecond)
		}
		if !early {
			stranger()
		}
		var first []election.CoreRef
		for i := 0; i < 400 && first == nil; i++ {
			b.pass(50 * clock.Millisecond)
			for _, core := range b.cores {
				if !core.Vote().Committed.IsZero() {
					first = core.Vote().Voters
				}
			}
		}
		if got := fmt.Sprint(idsOf(first)); got != "[core-1 core-2 core-3]" {
			t.Errorf("strangers early %v: founded by %s", early, got)
		}
		// The others are given votes by agreement, one at a time.
		b.settle(t)
		b.pass(10 * clock.Second)
		if got := fmt.Sprint(b.seats()); got != "[core-0 core-1 core-2 core-3 core-4]" {
			t.Errorf("strangers early %v: voters %s", early, got)
		}
	}
}

// A witness that hears more empty cores than it takes does not grant the founding of
// others than those it would found with: its grant would bind it to them.
func TestAWitnessGrantsItsOwnFoundersOnly(t *testing.T) {
	b := newBench(small())
	for i := 1; i <= 4; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c2", "c3", "c4")
	}
	b.drop = func(l letter) bool { _, claim := l.body.(election.VoteRequest); return claim }
	b.pass(clock.Second)
	witness := b.cores["c2"]
	var refs []election.CoreRef
	for i := 1; i <= 3; i++ {
		refs = append(refs, b.cores[fmt.Sprint("c", i)].self)
	}
	claim := election.VoteRequest{Fleet: "f-core-1", Assignment: replication.Assignment{Epoch: 1}, Voters: refs, Candidate: refs[0], Bootstrap: true}
	witness.Do(Message{"c1", claim}, b.now)
	if witness.Vote().Fleet != "" {
		t.Fatal("granted the founding of other cores")
	}
	claim.Fleet, claim.Voters = "f-core-2", append(refs[1:], b.cores["c4"].self)
	witness.Do(Message{"c3", claim}, b.now)
	if witness.Vote().Fleet == "" {
		t.Fatal("did not grant the founding of its own")
	}
}

// The seat of a core that is gone passes to an empty core sooner than to one that
// had a seat; without the setting both wait equally long.
func TestAnEmptyCoreTakesASeatSooner(t *testing.T) {
	for _, soon := range []clock.Micros{0, 2 * clock.Second, 60 * clock.Second} {
		set := small()
		set.ReplaceAfter, set.ReplaceSoonAfter = 20*clock.Second, soon
		b := fleet(t, set)
		b.pass(3 * clock.Second)
		lose := func() (string, *Core) {
			for _, peer := range sortedKeys(b.cores) {
				if core := b.cores[peer]; core != b.primary() && !slices.Contains(b.primary().Vote().Committed.IDs(), core.self.ID) && hasVote(b.primary().Vote().Voters, core.self.ID) {
					delete(b.cores, peer)
					return core.self.ID, core
				}
			}
			t.Fatal("no core to lose")
			return "", nil
		}
		lost, old := lose()
		b.core("core-9", "c9", "zone-9", "c1", "c2", "c3")
		b.pass(5 * clock.Second)
		given := !slices.Contains(b.seats(), lost) && slices.Contains(b.seats(), "core-9")
		if given != (soon == 2*clock.Second) {
			t.Errorf("soon %d: after 5 s the seats are %v", soon, b.seats())
		}
		b.pass(20 * clock.Second)
		if !slices.Contains(b.seats(), "core-9") {
			t.Errorf("soon %d: after 25 s the seats are %v", soon, b.seats())
		}
		// The old one is back without a vote at the moment when another is lost.
		lose()
		b.cores[old.self.Peer] = old
		if b.pass(10 * clock.Second); slices.Contains(b.seats(), lost) {
			t.Errorf("soon %d: one that had a seat has one again after 10 s", soon)
		}
		if b.pass(20 * clock.Second); !slices.Contains(b.seats(), lost) {
			t.Errorf("soon %d: one that had a seat has none after 30 s: %v", soon, b.seats())
		}
	}
}

// An empty store at the address of another: the former one's shards are paired anew
// at once, and a beat of it that comes late does not bring it back.
func TestAReplacedStoresShardsAreNotAwaited(t *testing.T) {
	set := small()
	set.StoreTimeout = 60 * clock.Second
	b := fleet(t, set)
	core := b.primary()
	if core.state.DependentShards("store-1") == 0 {
		t.Fatal("no slot depends on the store; the test shows nothing")
	}
	late := b.stores[0].Heartbeat
	b.stores[0].silent = true
	b.store("store-9", "s1", "zone-1")
	b.pass(clock.Second)
	if n := core.state.DependentShards("store-1"); n != 0 || !whole(core) {
		t.Fatalf("after a second %d slots depend on the store that was replaced, all whole %v", n, whole(core))
	}
	b.take(core.self.Peer, core.Do(Message{"s1", late}, b.now))
	b.pass(clock.Second)
	if !core.State().Stores["store-1"].Evicted {
		t.Fatal("a late beat brought the store back")
	}
	// Its disk is put back, and the other one is gone for good.
	b.stores[3].silent, b.stores[0].silent, b.stores[0].Incarnation = true, false, 2
	b.pass(121 * clock.Second)
	if core.State().Stores["store-1"].Evicted {
		t.Fatal("the store is back and still does not count")
	}
}
