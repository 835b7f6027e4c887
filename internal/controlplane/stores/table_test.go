package stores

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

const testNow = 1000 * clock.Second

var testSettings = Settings{Timeout: 2 * clock.Second, ListenDelay: 1500 * clock.Millisecond, EvictAfter: 10 * clock.Second, MaxStaleness: 2500 * clock.Millisecond, AssumeLostAfter: 20 * clock.Second}

// heartbeat returns a heartbeat of a store whose address is derived from its id.
func heartbeat(id string, incarnation uint64) registration.Heartbeat {
	return registration.Heartbeat{ID: id, Peer: "peer-" + id, Zone: "z", Incarnation: incarnation, Fleet: "f"}
}

// stateWithStores returns a state with the given stores in incarnation 1, and a configuration.
func stateWithStores(ids ...string) *state.State {
	s := state.New()
	for _, id := range ids {
		state.RegisterStore{Store: state.Store{ID: id, Peer: "peer-" + id, Zone: "z", Incarnation: 1}}.Apply(s)
	}
	state.PutConfiguration{Version: state.Version{Number: 1, Body: []byte(`{}`)}}.Apply(s)
	return s
}

func TestStoreLiveness(t *testing.T) {
	for name, c := range map[string]struct {
		silence            clock.Micros
		suspected, evicted bool
		live               bool
	}{
		"heard":                        {0, false, false, true},
		"suspected, but heard":         {testSettings.Timeout, true, false, true},
		"suspected and silent":         {testSettings.Timeout + 1, true, false, false},
		"silent, not suspected":        {2 * testSettings.Timeout, false, false, true},
		"silent for twice the timeout": {2*testSettings.Timeout + 1, false, false, false},
		"evicted":                      {0, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, current := New(testSettings), stateWithStores("a")
			table.Record(heartbeat("a", 1), testNow-c.silence)
			table.SetSuspected("a", c.suspected)
			if c.evicted {
				state.RegisterStore{Store: state.Store{ID: "a", Evicted: true}}.Apply(current)
			}
			if _, live := table.Incarnation(current, "a", testNow); live != c.live {
				t.Errorf("got live %v", live)
			}
		})
	}
}

func TestRejectionReason(t *testing.T) {
	moved := heartbeat("a", 2)
	moved.Peer = "peer-x"
	for name, c := range map[string]struct {
		heartbeat registration.Heartbeat
		rules     JoinRules
		heardFor  clock.Micros // since the last heartbeat of a's first address
		rejected  bool
	}{
		"a known store":                                  {heartbeat("a", 1), JoinRules{Fleet: "f", NewestIncarnation: 1}, 0, false},
		"a new incarnation":                              {heartbeat("a", 2), JoinRules{Fleet: "f", NewestIncarnation: 1}, 0, false},
		"an old copy of its data folder":                 {heartbeat("a", 1), JoinRules{Fleet: "f", NewestIncarnation: 2}, 0, true},
		"another fleet":                                  {heartbeat("a", 1), JoinRules{Fleet: "g"}, 0, true},
		"a core without a fleet":                         {heartbeat("a", 1), JoinRules{}, 0, false},
		"the same identity at two addresses":             {moved, JoinRules{Fleet: "f", NewestIncarnation: 1}, testSettings.Timeout/2 - 1, true},
		"at another address after the first went silent": {moved, JoinRules{Fleet: "f", NewestIncarnation: 1}, testSettings.Timeout / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(testSettings)
			table.Record(heartbeat("a", 1), testNow-c.heardFor)
			if reason := table.RejectionReason(c.heartbeat, c.rules, testNow); (reason != "") != c.rejected {
				t.Errorf("got rejection reason %q", reason)
			}
		})
	}
}

// An evicted store is not registered again while another one runs at its address.
func TestReplacedStoreIsNotReadmitted(t *testing.T) {
	table, current := New(testSettings), stateWithStores("a")
	state.RegisterStore{Store: state.Store{ID: "b", Peer: "peer-a"}}.Apply(current) // a new store in its place
	if table.IsReplaced(current, "a", testNow) {
		t.Error("replaced by a store that was never heard")
	}
	table.Record(registration.Heartbeat{ID: "b", Peer: "peer-a", Incarnation: 1}, testNow)
	if !table.IsReplaced(current, "a", testNow) || table.IsReplaced(current, "b", testNow) {
		t.Error("the live store at the address is not taken for the replacement")
	}
}

func TestRegistration(t *testing.T) {
	current := stateWithStores("a")
	for name, c := range map[string]struct {
		change  func(h *registration.Heartbeat)
		changed bool
	}{
		"nothing changed":   {func(*registration.Heartbeat) {}, false},
		"a new store":       {func(h *registration.Heartbeat) { h.ID = "b" }, true},
		"a new incarnation": {func(h *registration.Heartbeat) { h.Incarnation = 2 }, true},
		"a new address":     {func(h *registration.Heartbeat) { h.Peer = "x" }, true},
		"a new zone":        {func(h *registration.Heartbeat) { h.Zone = "x" }, true},
		"a new name":        {func(h *registration.Heartbeat) { h.Name = "x" }, true},
	} {
		h := heartbeat("a", 1)
		c.change(&h)
		if store, changed := Registration(current, h); changed != c.changed || store.ID != h.ID {
			t.Errorf("%s: %+v %v", name, store, changed)
		}
	}
}

func TestCompletedShards(t *testing.T) {
	current := stateWithStores("a")
	primary := replication.Member{ID: "a", Incarnation: 1}
	current.Shards = []replication.Assignment{
		{Epoch: 3, Primary: primary},
		replication.Assignment{Epoch: 3, Primary: primary}.Completed(),
		{Epoch: 4, Primary: primary},
		{Epoch: 3, Primary: replication.Member{ID: "a", Incarnation: 2}},
		{Epoch: 3, Primary: replication.Member{ID: "b", Incarnation: 1}},
	}
	h := heartbeat("a", 1)
	h.Ready = map[int]uint64{-1: 3, 0: 3, 1: 3, 2: 3, 3: 3, 4: 3, 5: 3}
	if got := CompletedShards(current, h); len(got) != 1 || !got[0].Complete {
		t.Errorf("got completed shards %+v, want shard 0 only", got)
	}
}

func TestNewPrimaryListensBeforeDeciding(t *testing.T) {
	table, current := New(testSettings), stateWithStores("a", "b")
	table.Record(heartbeat("a", 1), testNow-1)
	table.StartServing(testNow)
	table.Record(heartbeat("b", 1), testNow+1)
	if table.HasHeardEnough(current, testNow+2) {
		t.Error("decides before it has heard a")
	}
	if !table.HasHeardEnough(current, testNow+testSettings.ListenDelay) {
		t.Error("waits for a longer than ListenDelay")
	}
	table.Record(heartbeat("a", 1), testNow+2)
	if !table.HasHeardEnough(current, testNow+3) {
		t.Error("does not decide although it has heard both")
	}
}

func TestEviction(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(table *Table, current *state.State)
		want    []string
	}{
		"a store that has been silent for long": {func(*Table, *state.State) {}, []string{"b"}},
		"this core's updates are stale":         {func(table *Table, _ *state.State) { table.freshUntil = testNow - testSettings.MaxStaleness - 1 }, nil},
		"the core has served for a short time only": {func(table *Table, _ *state.State) {
			table.StartServing(testNow - testSettings.EvictAfter + 1)
		}, nil},
		"no contact to a majority for AssumeLostAfter": {func(table *Table, _ *state.State) { table.freshUntil = 0 }, []string{"b"}},
		"a shard depends on it": {func(_ *Table, current *state.State) {
			current.Shards = []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "b", Incarnation: 1}}}
		}, nil},
		"retired": {func(_ *Table, current *state.State) { state.Retire{ID: "b", Done: true}.Apply(current) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table, current := New(testSettings), stateWithStores("a", "b")
			table.StartServing(testNow - 60*clock.Second)
			table.SetFreshUntil(testNow)
			table.Record(heartbeat("a", 1), testNow)
			table.Record(heartbeat("b", 1), testNow-testSettings.EvictAfter)
			c.prepare(table, current)
			var got []string
			for _, store := range table.ToEvict(current, testNow) {
				got = append(got, store.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("evicted are %v, not %v", got, c.want)
			}
		})
	}
}

// A store whose machine another store has taken over is evicted sooner, unless it is still heard or
// its successor is not.
func TestReplacedStoreIsEvictedSooner(t *testing.T) {
	const sooner = 2 * clock.Second // Timeout, which is longer than ListenDelay
	for name, c := range map[string]struct {
		name       string // of the machine of the store registered later
		silence    clock.Micros
		laterHeard clock.Micros // how long ago that store was heard
		want       []string
	}{
		"replaced":                                   {"m", sooner, 0, []string{"a"}},
		"silent for too short a time":                {"m", sooner - 1, 0, nil},
		"another machine":                            {"n", sooner, 0, nil},
		"machines without a name":                    {"", sooner, 0, nil},
		"its successor is not heard":                 {"m", sooner, 5 * clock.Second, nil},
		"silent for EvictAfter, no successor":        {"n", testSettings.EvictAfter, 0, []string{"a"}},
		"silent for EvictAfter, successor not heard": {"m", testSettings.EvictAfter, 5 * clock.Second, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			table, current := New(testSettings), stateWithStores()
			machine := "m"
			if c.name == "" {
				machine = ""
			}
			state.RegisterStore{Store: state.Store{ID: "a", Peer: "p1", Name: machine, Incarnation: 1}}.Apply(current)
			state.RegisterStore{Store: state.Store{ID: "b", Peer: "p2", Name: c.name, Incarnation: 1}}.Apply(current)
			table.StartServing(testNow - 60*clock.Second)
			table.SetFreshUntil(testNow)
			table.Record(heartbeat("a", 1), testNow-c.silence)
			table.Record(heartbeat("b", 1), testNow-c.laterHeard)
			var got []string
			for _, store := range table.ToEvict(current, testNow) {
				got = append(got, store.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("evicted are %v, not %v", got, c.want)
			}
		})
	}
}

// Many stores are lost at once while many others are already evicted. Each eviction may make the
// state drop an older store, so only stores that are still registered may be evicted.
func TestManySimultaneousEvictions(t *testing.T) {
	table, current := New(testSettings), stateWithStores()
	for i := range 40 {
		state.RegisterStore{Store: state.Store{ID: fmt.Sprintf("s%02d", 40-i), Peer: fmt.Sprint("p", i), Evicted: i < 16}}.Apply(current)
	}
	evicted := table.ToEvict(current, testNow)
	if len(evicted) != 24 {
		t.Errorf("got %d stores to evict, want 24", len(evicted))
	}
	for _, store := range evicted {
		if known := current.Stores[store.ID]; known.ID == "" || known.Evicted {
			t.Errorf("to be evicted although unknown or already evicted: %+v", store)
		}
	}
}
