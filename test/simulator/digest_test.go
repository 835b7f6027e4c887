package simulator

import (
	"flag"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/test/decisiondigest"
)

var digestFlags = decisiondigest.AddFlags(flag.CommandLine)

// digestFile has the records of the runs below.
const digestFile = "testdata/decisions.txt"

// digestRun is a run whose decisions are recorded under its name.
type digestRun struct {
	name  string
	shape string
	only  string // faults whose names contain it
	seed  int64
	acts  int  // faults
	plain bool // without directed scenarios and forwarded requests
	busy  bool // with every kind of call
	// script is what happens instead of faults, where it is set.
	script func(w *World)
}

// triggeredFaults begins the names of TriggeredFaults.
const triggeredFaults = "moment: "

var digestRuns = []digestRun{
	{name: "quiet", shape: "three", seed: 1, plain: true, busy: true},
	{name: "mixed-1", shape: "three", seed: 1, acts: 3},
	{name: "mixed-2", shape: "three", seed: 2, acts: 3},
	{name: "plain", shape: "three", seed: 3, acts: 3, plain: true},
	{name: "cut-off", shape: "three", seed: 11, acts: 1, only: familyPartition},
	{name: "operators", shape: "three", seed: 12, acts: 2, only: familyOperators},
	{name: "second-loss", shape: "three", seed: 13, acts: 2, only: familySecondLoss},
	{name: "answers", shape: "three", seed: 14, acts: 2, only: familyResponses},
	{name: "copied-folder", shape: "three", seed: 8, script: startCopiedFolder},
	{name: "moments", shape: "three", seed: 15, acts: 2, only: triggeredFaults},

	{name: "mixed-1", shape: "five", seed: 1, acts: 3},
	{name: "mixed-2", shape: "five", seed: 2, acts: 3},
	{name: "plain", shape: "five", seed: 3, acts: 3, plain: true},
	{name: "cut-off", shape: "five", seed: 21, acts: 1, only: familyPartition},
	{name: "operators", shape: "five", seed: 22, acts: 2, only: familyOperators},
	{name: "second-loss", shape: "five", seed: 23, acts: 2, only: familySecondLoss},
	{name: "moments", shape: "five", seed: 24, acts: 2, only: triggeredFaults},

	{name: "mixed-1", shape: "uneven", seed: 2, acts: 3},
	{name: "mixed-2", shape: "uneven", seed: 5, acts: 3},
	{name: "plain", shape: "uneven", seed: 4, acts: 3, plain: true},
	{name: "operators", shape: "uneven", seed: 31, acts: 2, only: familyOperators},
	{name: "second-loss", shape: "uneven", seed: 32, acts: 2, only: familySecondLoss},
	{name: "many-changes", shape: "uneven", seed: 33, acts: 1, only: familyChanges},
	{name: "moments", shape: "uneven", seed: 34, acts: 2, only: triggeredFaults},
}

func (r digestRun) fullName() string { return r.shape + "/" + r.name }

// startCopiedFolder starts a store from a copy of another one's folder: it is rejected and ends
// itself.
func startCopiedFolder(w *World) {
	w.RunUntil(10*clock.Second, w.FullyReplicated)
	w.Workload.Start()
	for range 20 {
		w.Workload.SubmitBatch(4, 5)
	}
	w.RunFor(clock.Second)
	w.CloneNode(w.Nodes["store-1"], "copy").Boot(w.Shape.Shards)
	w.RunFor(5 * clock.Second)
}

// record runs it and returns its record.
func (r digestRun) record(t *testing.T) decisiondigest.Record {
	digest := decisiondigest.New()
	digestFlags.Trace(r.fullName(), digest, t.Logf)
	w := r.run(t, func(n *Node, effect machine.Effect) {
		digest.Add(n.world.Now, slices.Index(n.world.nodeNames, n.Name), effect)
	})
	if len(w.Workload.Violations) > 0 {
		t.Error(w.Report(20))
	}
	return decisiondigest.NewRecord(r.fullName(), digest, outcomes(w)...)
}

// run runs it and shows its effects.
func (r digestRun) run(t *testing.T, onEffect func(*Node, machine.Effect)) *World {
	shape := Shapes[r.shape]
	if r.script != nil {
		w := NewWorld(r.seed, shape, MildConditions())
		w.OnEffect = onEffect
		r.script(w)
		w.Workload.Finish(20 * clock.Second)
		return w
	}
	run := Run{Seed: r.seed, Shape: shape, Conditions: MildConditions(), Faults: r.acts, Filter: r.only, AllCalls: r.busy, Forwarding: !r.plain, Scenarios: !r.plain, OnEffect: onEffect}
	if err := run.Validate(); err != nil {
		t.Fatalf("the names of the faults have changed: change those of this test (%v)", err)
	}
	return run.Execute()
}

// outcomes are the figures of a run. What depends on the machine's speed
// (History.UndecidedHistories) is none of them.
func outcomes(w *World) []decisiondigest.Count {
	v := w.Workload
	counts := []decisiondigest.Count{}
	for _, count := range []struct {
		name  string
		value int
	}{
		{"steps", w.Steps}, {"messages", w.Messages}, {"syncs", w.Syncs}, {"faults", v.FaultsInjected},
		{"batches", len(v.Batches)}, {"rows", v.FeedResults}, {"puts", len(v.ConfigurationPuts)}, {"reads", len(v.ConfigurationReads)}, {"claims", len(v.ClaimAttempts)},
		{"requests", len(v.Requests)}, {"proxied", v.ForwardedRequests}, {"starts", v.RequestsStarted},
		{"ok", v.OutcomeCounts[outcomeOK]}, {"rejected", v.OutcomeCounts[outcomeRejected]}, {"unknown", v.OutcomeCounts[outcomeUnknown]}, {"failed", v.OutcomeCounts[outcomeFailed]},
		{"breaches", len(v.Violations)},
	} {
		counts = append(counts, decisiondigest.Count{Name: count.name, Value: uint64(count.value)})
	}
	return counts
}

// The decisions of fixed runs are those that were recorded (test/decisiondigest): names,
// packages and texts of the log change none of them.
func TestDecisionsMatchRecordedDigests(t *testing.T) {
	recorded, err := decisiondigest.ReadRecords(digestFile)
	if err != nil && !digestFlags.Write {
		t.Fatal(err)
	}
	made := make([]decisiondigest.Record, len(digestRuns))
	t.Run("days", func(t *testing.T) {
		for i, run := range digestRuns {
			t.Run(run.fullName(), func(t *testing.T) {
				t.Parallel()
				made[i] = run.record(t)
				if digestFlags.Write {
					return
				}
				for _, difference := range recorded[run.fullName()].Differences(made[i]) {
					t.Error(difference)
				}
			})
		}
	})
	if !digestFlags.Write {
		if len(recorded) != len(digestRuns) {
			t.Errorf("%d runs are recorded, and %d are made", len(recorded), len(digestRuns))
		}
		return
	}
	if slices.ContainsFunc(made, func(r decisiondigest.Record) bool { return r.Digest == "" }) || t.Failed() {
		t.Fatal("not all runs were made: nothing is written")
	}
	if err := decisiondigest.WriteRecords(digestFile, made); err != nil {
		t.Fatal(err)
	}
}
