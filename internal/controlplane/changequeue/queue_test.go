package changequeue

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
)

// putRequest returns an operator's request to put a configuration with the given number.
func putRequest(t *testing.T, call, number, base uint64) Change {
	t.Helper()
	body := fmt.Appendf(nil, `{"n":%d}`, number)
	digest, err := state.DigestOf(body)
	if err != nil {
		t.Fatal(err)
	}
	return Change{Call: call, Deadline: clock.Second, Configuration: &Configuration{Number: number, Base: base, HasBase: true, Body: body, Digest: digest}}
}

// stateWithVersions returns a state with configurations of the given numbers.
func stateWithVersions(numbers ...uint64) *state.State {
	s := state.New()
	for _, number := range numbers {
		state.PutConfiguration{Version: state.Version{Number: number, Body: json.RawMessage(fmt.Sprintf(`{"n":%d}`, number))}}.Apply(s)
	}
	return s
}

func allowRetirement(string) error { return nil }

func TestConfigurationDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		current      *state.State
		number, base uint64
		want         uint64    // the resulting version
		entry        bool      // an entry is written
		refused      errs.Kind // "" if it is accepted
		waits        bool
	}{
		"on the version in force":             {stateWithVersions(5), 7, 5, 7, true, "", false},
		"the first one":                       {stateWithVersions(), 3, 0, 3, true, "", false},
		"applied before":                      {stateWithVersions(5, 7), 7, 5, 7, false, "", false},
		"on a superseded version":             {stateWithVersions(5, 7), 9, 5, 0, false, errs.StaleBase, false},
		"applied before, superseded since":    {stateWithVersions(5, 7), 5, 7, 5, false, "", false},
		"a number below the version in force": {stateWithVersions(5, 7), 6, 7, 0, false, errs.InvalidConfiguration, false},
		"on a version still to come":          {stateWithVersions(5), 9, 8, 0, false, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			var q Queue
			q.Add(putRequest(t, 1, c.number, c.base))
			change, ok, err := q.Next(c.current, Checks{CanRetire: allowRetirement})
			if ok == c.waits {
				t.Fatalf("decided: %v, want the opposite", ok)
			}
			if c.waits {
				return
			}
			if c.refused != "" {
				if !errs.Is(err, c.refused) || errs.Of(err).Remedy == "" {
					t.Errorf("refused with %v", err)
				}
				return
			}
			if err != nil || change.Configuration.Version() != c.want || (change.Entry != nil) != c.entry {
				t.Errorf("version %d, entry %v, %v", change.Configuration.Version(), change.Entry, err)
			}
		})
	}
}

// A number is never reused for another document.
func TestSameNumberWithOtherDocumentIsRefused(t *testing.T) {
	var q Queue
	other := putRequest(t, 1, 7, 5)
	other.Configuration.Digest[0] ^= 1
	q.Add(other)
	if _, ok, err := q.Next(stateWithVersions(5, 7), Checks{CanRetire: allowRetirement}); !ok || !errs.Is(err, errs.StaleBase) {
		t.Errorf("decided: %v, error %v, want StaleBase", ok, err)
	}
}

// A configuration that arrives before the one it is based on waits for it.
func TestConfigurationWaitsForItsBase(t *testing.T) {
	var q Queue
	q.Add(putRequest(t, 1, 3, 2))
	q.Add(putRequest(t, 2, 2, 1))
	current := stateWithVersions(1)
	change, ok, err := q.Next(current, Checks{CanRetire: allowRetirement})
	if !ok || err != nil || change.Call != 2 {
		t.Fatalf("decided first: call %d, error %v", change.Call, err)
	}
	change.Entry.Apply(current)
	if change, ok, err = q.Next(current, Checks{CanRetire: allowRetirement}); !ok || err != nil || change.Call != 1 {
		t.Fatalf("decided second: call %d, error %v", change.Call, err)
	}
}

func TestRetirementDecisions(t *testing.T) {
	current := state.New()
	state.RegisterStore{Store: state.Store{ID: "s1", Peer: "p1", Name: "m1"}}.Apply(current)
	state.RegisterStore{Store: state.Store{ID: "s2", Peer: "p2", Name: "m2"}}.Apply(current)
	state.Retire{ID: "s2"}.Apply(current)
	tooFew := errs.New(errs.Rejected, "add one", "too few")
	for name, c := range map[string]struct {
		request Retirement
		check   error
		store   string
		entry   state.Entry
		refused errs.Kind
	}{
		"by id":                   {Retirement{ID: "s1"}, nil, "s1", state.Retire{ID: "s1"}, ""},
		"by name":                 {Retirement{Name: "m1"}, nil, "s1", state.Retire{ID: "s1"}, ""},
		"unknown id":              {Retirement{ID: "s9"}, nil, "", nil, errs.NotFound},
		"unknown name":            {Retirement{Name: "m9"}, nil, "", nil, errs.NotFound},
		"no name":                 {Retirement{}, nil, "", nil, errs.NotFound},
		"too few would remain":    {Retirement{ID: "s1"}, tooFew, "", nil, errs.Rejected},
		"retiring already":        {Retirement{ID: "s2"}, tooFew, "s2", nil, ""},
		"read only":               {Retirement{ID: "s1", ReadOnly: true}, tooFew, "s1", nil, ""},
		"cancelled":               {Retirement{ID: "s2", Cancel: true}, tooFew, "s2", state.Retire{ID: "s2", Cancel: true}, ""},
		"cancelled, not retiring": {Retirement{ID: "s1", Cancel: true}, nil, "s1", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var q Queue
			q.Add(Change{Call: 1, Retirement: &c.request})
			change, ok, err := q.Next(current, Checks{CanRetire: func(string) error { return c.check }})
			if !ok || change.Entry != c.entry || c.request.StoreID() != c.store {
				t.Errorf("store %q, entry %v", c.request.StoreID(), change.Entry)
			}
			if c.refused == "" && err != nil || c.refused != "" && !errs.Is(err, c.refused) {
				t.Errorf("refused with %v", err)
			}
		})
	}
}

func TestExpiredCalls(t *testing.T) {
	retire := func(call uint64) Change {
		return Change{Call: call, Deadline: clock.Second, Retirement: &Retirement{ID: "s1"}}
	}
	retiring := retire(1)
	retiring.Entry = state.Retire{ID: "s1"}
	later := putRequest(t, 3, 7, 0)
	later.Deadline = 60 * clock.Second
	for name, c := range map[string]struct {
		inFlight *Change
		waiting  []Change
		current  *state.State
		want     []TimedOut
	}{
		"in flight":                                {&retiring, nil, stateWithVersions(), []TimedOut{{1, true}}},
		"waiting, never decided":                   {nil, []Change{putRequest(t, 2, 7, 0)}, stateWithVersions(), []TimedOut{{2, false}}},
		"the same request was applied":             {nil, []Change{putRequest(t, 2, 7, 0)}, stateWithVersions(7), []TimedOut{{2, true}}},
		"the same request waits for another call":  {nil, []Change{putRequest(t, 2, 7, 0), later}, stateWithVersions(), []TimedOut{{2, true}}},
		"a retirement, while another is in flight": {&retiring, []Change{retire(2)}, stateWithVersions(), []TimedOut{{1, true}, {2, true}}},
		"a waiting retirement":                     {nil, []Change{retire(2)}, stateWithVersions(), []TimedOut{{2, false}}},
		"the core's own change has no deadline":    {nil, []Change{{Entry: state.Retire{ID: "s1", Done: true}}}, stateWithVersions(), nil},
		"before the deadline":                      {nil, []Change{later}, stateWithVersions(), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var q Queue
			if c.inFlight != nil {
				q.Start(*c.inFlight)
			}
			for _, change := range c.waiting {
				q.Add(change)
			}
			if got := q.Expire(c.current, clock.Second); !slices.Equal(got, c.want) {
				t.Errorf("expired: got %+v, want %+v", got, c.want)
			}
			if got := q.Expire(c.current, clock.Second); len(got) != 0 {
				t.Errorf("expired a second time: %+v", got)
			}
		})
	}
}

// testQueue returns a queue with one change in flight and two waiting, one of which is the core's
// own.
func testQueue(t *testing.T) *Queue {
	t.Helper()
	var q Queue
	q.Start(putRequest(t, 1, 3, 0))
	q.Add(Change{Entry: state.Retire{ID: "s1", Done: true}})
	q.Add(putRequest(t, 2, 4, 3))
	return &q
}

func TestReleaseCallsAndClear(t *testing.T) {
	q := testQueue(t)
	if calls := q.ReleaseCalls(); !slices.Equal(calls, []uint64{1, 2}) {
		t.Errorf("released calls: got %v, want [1 2]", calls)
	}
	if confirmed, ok := q.Confirm(); !ok || confirmed.Call != 0 || !q.HasEntry(func(e state.Entry) bool { return e == state.Retire{ID: "s1", Done: true} }) || q.IsIdle() {
		t.Errorf("after the release: change in flight %+v, queue %+v", confirmed, q)
	}
	q = testQueue(t)
	if calls := q.Clear(); !slices.Equal(calls, []uint64{1, 2}) || !q.IsIdle() {
		t.Errorf("cleared calls %v, queue %+v", calls, q)
	}
}

func TestQueueIsBounded(t *testing.T) {
	var q Queue
	for i := range uint64(maxWaiting) {
		if q.IsFull() {
			t.Fatalf("full with only %d changes", i)
		}
		q.Add(putRequest(t, i+1, i+1, i))
	}
	if !q.IsFull() {
		t.Fatal("not full with maxWaiting changes")
	}
}
