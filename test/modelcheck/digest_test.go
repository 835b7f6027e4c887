package modelcheck

import (
	"flag"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/test/decisiondigest"
)

var digestFlags = decisiondigest.AddFlags(flag.CommandLine)

// digestFile has the records of the searches below.
const digestFile = "testdata/decisions.txt"

// digestSearch is a search whose runs' decisions are recorded.
type digestSearch struct {
	name   string
	search func(*Config, Bounds) Result
	config Config
	bounds Bounds
}

var digestSearches = []digestSearch{
	{"3-voters/walk-1", RandomWalk, Config{Voters: 3}, Bounds{Depth: 40, States: 800, Seed: 1}},
	{"3-voters/walk-2", RandomWalk, Config{Voters: 3}, Bounds{Depth: 40, States: 800, Seed: 2}},
	{"3-voters/fine-walk-1", RandomWalk, Config{Voters: 3, FineGrained: true}, Bounds{Depth: 60, States: 1_500, Seed: 1}},
	{"3-voters/fine-walk-2", RandomWalk, Config{Voters: 3, FineGrained: true}, Bounds{Depth: 60, States: 1_500, Seed: 2}},
	{"3-voters/spare-walk", RandomWalk, Config{Voters: 3, Spares: 1, FineGrained: true}, Bounds{Depth: 50, States: 1_000, Seed: 1}},
	{"3-voters/empty-walk", RandomWalk, Config{Voters: 3, StartEmpty: true, FineGrained: true}, Bounds{Depth: 50, States: 1_000, Seed: 1}},
	{"3-voters/breadth-first", BreadthFirst, Config{Voters: 3}, Bounds{Depth: 3, States: 1_000, ProgressEvery: 200}},
	{"5-voters/walk-1", RandomWalk, Config{Voters: 5}, Bounds{Depth: 40, States: 300, Seed: 1}},
	{"5-voters/fine-walk-1", RandomWalk, Config{Voters: 5, FineGrained: true}, Bounds{Depth: 60, States: 800, Seed: 1}},
	{"5-voters/zones-walk", RandomWalk, Config{Voters: 5, Zones: 3}, Bounds{Depth: 30, States: 300, Seed: 2}},
}

// run searches and tells what it came to: the effects of all runs one after the other,
// and how many states they differ in.
func (s digestSearch) run(t *testing.T) decisiondigest.Record {
	digest := decisiondigest.New()
	digestFlags.Trace(s.name, digest, t.Logf)
	c := s.config
	c.MaxLosses, c.Limits = -1, DefaultLimits()
	c.OnEffect = func(now clock.Micros, processIndex int, effect machine.Effect) { digest.Add(now, processIndex, effect) }
	result := s.search(&c, s.bounds)
	if result.Violation != nil {
		t.Errorf("%v\n%s", result.Violation, result.Trace)
	}
	count := func(name string, value int) decisiondigest.Count {
		return decisiondigest.Count{Name: name, Value: uint64(value)}
	}
	return decisiondigest.NewRecord(s.name, digest,
		count("states", result.States), count("events", result.Events), count("depth", result.Depth),
		count("confirmed", result.Coverage.Confirmed), count("term", int(result.Coverage.Term)),
		count("wiped", result.Coverage.Wiped), count("voters", result.Coverage.Voters))
}

// The decisions of fixed runs are those that were recorded (test/decisiondigest): names,
// places of code and words of the log change none of them.
func TestDecisionsMatchRecordedDigests(t *testing.T) {
	recorded, err := decisiondigest.ReadRecords(digestFile)
	if err != nil && !digestFlags.Write {
		t.Fatal(err)
	}
	searched := make([]decisiondigest.Record, len(digestSearches))
	t.Run("searches", func(t *testing.T) {
		for i, search := range digestSearches {
			t.Run(search.name, func(t *testing.T) {
				t.Parallel()
				searched[i] = search.run(t)
				if digestFlags.Write {
					return
				}
				for _, difference := range recorded[search.name].Differences(searched[i]) {
					t.Error(difference)
				}
			})
		}
	})
	if !digestFlags.Write {
		if len(recorded) != len(digestSearches) {
			t.Errorf("%d searches are recorded, and %d are made", len(recorded), len(digestSearches))
		}
		return
	}
	if t.Failed() || slices.ContainsFunc(searched, func(r decisiondigest.Record) bool { return r.Digest == "" }) {
		t.Fatal("not all searches were made: nothing is written")
	}
	if err := decisiondigest.WriteRecords(digestFile, searched); err != nil {
		t.Fatal(err)
	}
}
