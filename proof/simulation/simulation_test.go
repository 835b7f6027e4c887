package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
	"tuliprudder/membership/identity"
)

var ghent = Size{Zones: 3, Cores: 3, Stores: 3, Edges: 3, Slots: 8}

var (
	seeds = flag.Int("seeds", 4, "seeds to sweep")
	first = flag.Int64("first", 1, "first seed")
	lines = flag.Int("lines", 60, "lines of trace")
	acts  = flag.Int("acts", 6, "failures a day")
)

func TestADayWithoutFailures(t *testing.T) {
	w := Day{Seed: 1, Size: ghent, Conditions: Mild(), Acts: 0}.Run()
	if len(w.Watch.Breaches) > 0 {
		t.Fatal(w.Report(40))
	}
}

func TestSweep(t *testing.T) {
	for seed := *first; seed < *first+int64(*seeds); seed++ {
		w := Day{Seed: seed, Size: ghent, Conditions: Mild(), Acts: *acts}.Run()
		if len(w.Watch.Breaches) > 0 {
			t.Errorf("seed %d: %s", seed, w.Report(*lines))
			return
		}
		t.Logf("seed %d: %d bundles, %d rows, %d plans, %d claims, %d live orders (%s), %d starts, %d steps; slowest row %d ms, back %d ms (%s), most waiting %v, not seen %v", seed, len(w.Watch.Bundles), w.Watch.FeedRows, len(w.Watch.Puts), len(w.Watch.Claims),
			len(w.Watch.Orders), w.Watch.Told(), w.Watch.Started, w.Steps, w.Watch.SlowestRow/1000, w.Watch.SlowestBack/1000, w.Watch.SlowestKind, w.Watch.MostWaiting, w.Watch.NotSeen())
	}
}

// unseen are the kinds of message that no simulated day sends, each with its
// reason.
var unseen = map[string]string{
	"store.ShowAsk": "an operator's look", "store.Shown": "an operator's look",
	"replication.Fenced": "a deposed owner has to write on: the pairs' own test mutates it",
	"control.ShowAsk":    "an operator's look", "control.Shown": "an operator's look",
	"store.ItemAsk": "a server's look at an opaque item: the keeper's own test", "store.ItemAnswer": "the same",
	"store.Unwelcome": "TestCopiedFoldersAreTurnedAway sends it",
}

// One message of a kind is dropped, repeated, made late, or swapped with those
// behind it, for every kind there is; every promise holds whichever it is.
func TestOneMessageMutated(t *testing.T) {
	quiet := Conditions{Sync: 2 * clock.Millisecond}
	small := Size{Zones: 3, Cores: 3, Stores: 3, Edges: 2, Slots: 4}
	live := func(kind string, target int, drop, repeat bool, late clock.Micros) (*World, map[string]int) {
		counts := map[string]int{}
		day := Day{Seed: 77, Size: small, Conditions: quiet, Acts: 4, Only: "a store", Busy: true}
		day.Mutate = func(_, _ string, body any) (bool, bool, clock.Micros) {
			name := fmt.Sprintf("%T", body)
			if counts[name]++; name != kind || counts[name] != target {
				return false, false, 0
			}
			return drop, repeat, late
		}
		return day.Run(), counts
	}
	_, counts := live("", 0, false, false, 0)
	for _, kind := range transport.Kinds() {
		if counts[kind] == 0 {
			if unseen[kind] == "" {
				t.Errorf("no day sends a %s: give it a day that does, or name the reason", kind)
			}
			continue
		}
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for i, way := range []string{"dropped", "repeated", "late", "swapped"} {
				target := 1 + counts[kind]*(i+1)/6
				w, _ := live(kind, target, i == 0, i == 1, []clock.Micros{0, 0, 700 * clock.Millisecond, 2 * clock.Millisecond}[i])
				if len(w.Watch.Breaches) > 0 {
					t.Fatalf("message %d of %d, %s: %s", target, counts[kind], way, w.Report(40))
				}
			}
		})
	}
}

// The same seed lives the same day: verdicts do not depend on the machine.
func TestTheSameSeedIsTheSameDay(t *testing.T) {
	day := Day{Seed: 5, Size: ghent, Conditions: Mild(), Acts: 4}
	one, two := day.Run(), day.Run()
	if one.Steps != two.Steps || one.Messages != two.Messages || strings.Join(one.Trace, "\n") != strings.Join(two.Trace, "\n") {
		t.Fatalf("%d and %d steps, %d and %d messages", one.Steps, two.Steps, one.Messages, two.Messages)
	}
}

// A store's disk stalls for half a minute: its slots pass on, and bundles are
// taken in again long before it is back.
func TestAStalledDiskPassesItsSlotsOn(t *testing.T) {
	w := NewWorld(3, ghent, Conditions{Sync: 2 * clock.Millisecond})
	w.Until(10*clock.Second, w.Settled)
	w.Watch.Open()
	w.Run(2 * clock.Second)
	w.Nodes["store-1"].Stall(30 * clock.Second)
	w.Run(8 * clock.Second)
	for i := 0; i < 30; i++ {
		w.Watch.Hand(3, 5)
	}
	w.Run(4 * clock.Second)
	accepted := 0
	for _, h := range w.Watch.Bundles {
		if h.Accepted > 0 {
			accepted++
		}
	}
	if accepted != 30 {
		t.Fatalf("8 s into the stall only %d of 30 bundles were taken in: %s %s", accepted, w.Describe(), w.Report(*lines))
	}
	w.Run(25 * clock.Second)
	if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
		t.Fatal(w.Report(30))
	}
}

// Two stores that both live can't reach each other for half a minute: their
// slots find other partners, and bundles are taken in meanwhile.
func TestAPairThatIsCutFindsOtherPartners(t *testing.T) {
	w := NewWorld(4, ghent, Conditions{Sync: 2 * clock.Millisecond})
	w.Until(10*clock.Second, w.Settled)
	w.Watch.Open()
	w.Run(6 * clock.Second)
	w.Cut("store-1", "store-2", true)
	w.Run(8 * clock.Second)
	for i := 0; i < 30; i++ {
		w.Watch.Hand(3, 5)
	}
	w.Run(4 * clock.Second)
	for _, h := range w.Watch.Bundles {
		if h.Accepted == 0 {
			t.Fatalf("12 s into the cut bundle %s was not taken in: %s %s", h.ID, w.Describe(), w.Report(60))
		}
	}
	w.Cut("store-1", "store-2", false)
	w.Run(5 * clock.Second)
	if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
		t.Fatal(w.Report(30))
	}
}

// A data folder copied from another machine, and an old copy of a dead one's, are
// turned away with the remedy; nothing that was confirmed is lost.
func TestCopiedFoldersAreTurnedAway(t *testing.T) {
	for _, kind := range []string{"store-1", "core-1"} {
		for _, alive := range []bool{true, false} {
			if kind == "core-1" && !alive {
				continue // a core's old copy has an old epoch: it can claim nothing
			}
			w := NewWorld(8, ghent, Conditions{Sync: 2 * clock.Millisecond})
			w.Until(10*clock.Second, w.Settled)
			w.Watch.Open()
			for i := 0; i < 20; i++ {
				w.Watch.Hand(4, 5)
			}
			w.Run(clock.Second)
			original := w.Nodes[kind]
			copied := w.Copy(original, "copy")
			if !alive {
				// The original lives two lives more, takes bundles in, and dies.
				for i := 0; i < 2; i++ {
					original.Crash()
					w.Run(500 * clock.Millisecond)
					original.Boot(8)
					w.Until(10*clock.Second, w.Settled)
				}
				for i := 0; i < 20; i++ {
					w.Watch.Hand(4, 5)
				}
				w.Run(2 * clock.Second)
				original.Crash()
				w.Run(5 * clock.Second)
			}
			copied.Boot(8)
			w.Run(3 * clock.Second)
			if !errs.Is(copied.Halted, errs.WrongFolder) || original.Halted != nil {
				t.Fatalf("%s, original alive %v: the copy ended with %v, the original with %v", kind, alive, copied.Halted, original.Halted)
			}
			if !alive {
				original.Boot(8)
			}
			if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
				t.Fatal(w.Report(40))
			}
		}
	}
}

// A store and a core of another fleet that were given this fleet's seeds end with
// the remedy, and change nothing here.
func TestSeedsOfAnotherFleet(t *testing.T) {
	for kind, record := range map[string]machine.Record{
		"store-1": {Unit: "self", Kind: "writer", Body: []byte(`{"fleet":"f-other","writer":3}`)},
		"core-1":  {Unit: "oath", Kind: "oath", Epoch: 4, Body: []byte(`{"fleet":"f-other","granted":4,"cores":[{"id":"x-1"},{"id":"x-2"},{"id":"stranger"}],"done":{"epoch":4},"sworn":[{"id":"x-1"},{"id":"x-2"},{"id":"stranger"}]}`)},
	} {
		w := NewWorld(8, ghent, Conditions{Sync: 2 * clock.Millisecond})
		w.Until(10*clock.Second, w.Settled)
		w.Watch.Open()
		w.Run(3 * clock.Second)
		slots := fmt.Sprint(w.primary().Core.State().Slots)
		stranger := w.Copy(w.Nodes[kind], "stranger")
		stranger.ID, stranger.life, stranger.disk.durable = "stranger", 3, []machine.Record{record}
		stranger.Boot(8)
		w.Run(8 * clock.Second)
		if !errs.Is(stranger.Halted, errs.WrongFolder) {
			t.Errorf("%s of another fleet: ended with %v", kind, stranger.Halted)
		}
		if now := w.primary().Core.State(); fmt.Sprint(now.Slots) != slots || len(now.Stores) != 3 {
			t.Errorf("%s of another fleet changed the map: %d stores", kind, len(now.Stores))
		}
	}
}

// A store that is added to any zone comes to own its share, also where the store
// that owns most is in its own zone.
func TestAnAddedStoreTakesItsShare(t *testing.T) {
	for zone := 1; zone <= 2; zone++ {
		w := NewWorld(21, Size{Zones: 4, Cores: 3, Stores: 4, Edges: 2, Slots: 24}, Conditions{Sync: 2 * clock.Millisecond})
		w.Until(10*clock.Second, w.Settled)
		w.Watch.Open()
		for i := 0; i < 20; i++ {
			w.Watch.Hand(5, 5)
		}
		added := w.Copy(w.Nodes["store-1"], "store-5")
		added.ID, added.Zone, added.life, added.disk.durable = "refuge-05", fmt.Sprintf("zone-%d", zone), 0, nil
		added.Boot(24)
		if !w.Until(60*clock.Second, func() bool { return added.Store.Owned() >= 3 }) {
			t.Errorf("in zone-%d the added store owns %d of 24 slots after a minute", zone, added.Store.Owned())
		}
		// Then it comes to rest: nothing is moved to and fro.
		epochs := func() (sum uint64) {
			for _, p := range w.primary().Core.State().Slots {
				sum += p.Epoch
			}
			return sum
		}
		w.Run(25 * clock.Second)
		before := epochs()
		if w.Run(10 * clock.Second); epochs() != before {
			t.Errorf("in zone-%d: slots still move after 25 s", zone)
		}
		if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
			t.Error(w.Report(20))
		}
	}
}

// Lossy and slow links, and pauses shorter than the leases, move no slot and
// depose no core: a false takeover would show as a pairing made anew.
func TestBadWeatherAloneMovesNothing(t *testing.T) {
	moved := 0
	for seed := int64(1); seed <= 3; seed++ {
		w := NewWorld(seed, ghent, Conditions{Drop: 0.02, Repeat: 0.02, Late: 0.2, LateBy: 150 * clock.Millisecond, Sync: 10 * clock.Millisecond})
		if !w.Until(15*clock.Second, w.Settled) {
			t.Fatalf("seed %d: not settled: %s", seed, w.Describe())
		}
		w.Run(10 * clock.Second)
		epochs := func() (out string) {
			for _, p := range w.primary().Core.State().Slots {
				out += fmt.Sprint(p.Epoch, p.Primary, " ")
			}
			return out + fmt.Sprint(w.primary().Core.Vote().Committed.Epoch)
		}
		before := epochs()
		for i := 0; i < 30; i++ {
			n := w.any([]string{identity.Store, identity.Core, identity.Edge}[w.Chance.Intn(3)])
			n.Freeze()
			w.Run(w.between(50, 500) * clock.Millisecond)
			n.Thaw()
			w.Run(w.between(200, 1500) * clock.Millisecond)
		}
		if after := epochs(); after != before {
			moved++
			t.Logf("seed %d: %s became %s", seed, before, after)
		}
	}
	if moved > 0 {
		t.Fatalf("%d of 3 days had a false takeover", moved)
	}
}

// Each of these days once broke a promise; the commit that fixed it names the
// seed.
func TestLessons(t *testing.T) {
	for _, day := range []Day{
		{Seed: 5005, Size: ghent, Conditions: Mild(), Acts: 0},                   // a founding whose grants were lost
		{Seed: 1004, Size: ghent, Conditions: Mild(), Acts: 8},                   // a deposed writer's open positions never settled
		{Seed: 6011, Size: ghent, Conditions: Mild(), Acts: 8},                   // a slot that passed on twice turned its order round in the feed
		{Seed: 45, Size: ghent, Conditions: Mild(), Acts: 6, Only: "cut a zone"}, // a deposed keeper in a cut zone denied an accepted bundle
	} {
		if w := day.Run(); len(w.Watch.Breaches) > 0 {
			t.Errorf("seed %d: %s", day.Seed, w.Report(40))
		}
	}
}
