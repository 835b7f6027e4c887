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

// digestFile holds the records of digestSearches.
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

// run makes the search and returns its record: the digest of the effects of all runs in sequence,
// and the figures of the search.
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

// The decisions of fixed runs match the recorded ones (test/decisiondigest). Renaming or moving
// code and rewording log messages must not change them.
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
			t.Errorf("%d searches are recorded, want %d", len(recorded), len(digestSearches))
		}
		return
	}
	if t.Failed() || slices.ContainsFunc(searched, func(r decisiondigest.Record) bool { return r.Digest == "" }) {
		t.Fatal("a search failed or was not run: no records written")
	}
	if err := decisiondigest.WriteRecords(digestFile, searched); err != nil {
		t.Fatal(err)
	}
}
