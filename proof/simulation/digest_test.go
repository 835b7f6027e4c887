package simulation

import (
	"flag"
	"slices"
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/proof/decisiondigest"
)

var digestFlags = decisiondigest.AddFlags(flag.CommandLine)

// digestFile has the records of the days below.
const digestFile = "testdata/decisions.txt"

// digestDay is a day whose decisions are recorded. Its name stays when the words of the
// failures do not: only picks the same failures then.
type digestDay struct {
	name  string
	shape string
	only  string
	seed  int64
	acts  int
	plain bool // without directed scenarios and requests that are passed on
	busy  bool
	// script is what happens instead of a day's failures, where it is set.
	script func(w *World)
}

// momentActs begins the names of the failures that come at a chosen moment.
const momentActs = "moment: "

var digestDays = []digestDay{
	{name: "quiet", shape: "three", seed: 1, plain: true, busy: true},
	{name: "mixed-1", shape: "three", seed: 1, acts: 3},
	{name: "mixed-2", shape: "three", seed: 2, acts: 3},
	{name: "plain", shape: "three", seed: 3, acts: 3, plain: true},
	{name: "cut-off", shape: "three", seed: 11, acts: 1, only: familyCutOff},
	{name: "operators", shape: "three", seed: 12, acts: 2, only: familyOperators},
	{name: "second-loss", shape: "three", seed: 13, acts: 2, only: familySecondLoss},
	{name: "answers", shape: "three", seed: 14, acts: 2, only: familyAnswers},
	{name: "copied-folder", shape: "three", seed: 8, script: startCopiedFolder},
	{name: "moments", shape: "three", seed: 15, acts: 2, only: momentActs},

	{name: "mixed-1", shape: "five", seed: 1, acts: 3},
	{name: "mixed-2", shape: "five", seed: 2, acts: 3},
	{name: "plain", shape: "five", seed: 3, acts: 3, plain: true},
	{name: "cut-off", shape: "five", seed: 21, acts: 1, only: familyCutOff},
	{name: "operators", shape: "five", seed: 22, acts: 2, only: familyOperators},
	{name: "second-loss", shape: "five", seed: 23, acts: 2, only: familySecondLoss},
	{name: "moments", shape: "five", seed: 24, acts: 2, only: momentActs},

	{name: "mixed-1", shape: "uneven", seed: 2, acts: 3},
	{name: "mixed-2", shape: "uneven", seed: 5, acts: 3},
	{name: "plain", shape: "uneven", seed: 4, acts: 3, plain: true},
	{name: "operators", shape: "uneven", seed: 31, acts: 2, only: familyOperators},
	{name: "second-loss", shape: "uneven", seed: 32, acts: 2, only: familySecondLoss},
	{name: "many-changes", shape: "uneven", seed: 33, acts: 1, only: familyChanges},
	{name: "moments", shape: "uneven", seed: 34, acts: 2, only: momentActs},
}

func (d digestDay) fullName() string { return d.shape + "/" + d.name }

// startCopiedFolder starts a store from a copy of another one's folder: it is turned away
// and ends itself.
func startCopiedFolder(w *World) {
	w.Until(10*clock.Second, w.Settled)
	w.Watch.Open()
	for range 20 {
		w.Watch.Hand(4, 5)
	}
	w.Run(clock.Second)
	w.Copy(w.Nodes["store-1"], "copy").Boot(w.Size.Slots)
	w.Run(5 * clock.Second)
}

// live lives the day through and tells what it came to.
func (d digestDay) live(t *testing.T) decisiondigest.Record {
	digest := decisiondigest.New()
	digestFlags.Trace(d.fullName(), digest, t.Logf)
	w := d.run(t, func(n *Node, effect machine.Effect) {
		digest.Add(n.world.Now, slices.Index(n.world.names, n.Name), effect)
	})
	if len(w.Watch.Breaches) > 0 {
		t.Error(w.Report(20))
	}
	return decisiondigest.NewRecord(d.fullName(), digest, outcomes(w)...)
}

// run lives the day and shows its effects.
func (d digestDay) run(t *testing.T, onEffect func(*Node, machine.Effect)) *World {
	size := Shapes[d.shape]
	if d.script != nil {
		w := NewWorld(d.seed, size, Mild())
		w.OnEffect = onEffect
		d.script(w)
		w.Watch.Last(20 * clock.Second)
		return w
	}
	day := Day{Seed: d.seed, Size: size, Conditions: Mild(), Acts: d.acts, Only: d.only, Busy: d.busy, Forwarding: !d.plain, Scenarios: !d.plain, OnEffect: onEffect}
	if err := day.Check(); err != nil {
		t.Fatalf("the words of the failures have changed: change those of this test (%v)", err)
	}
	return day.Run()
}

// outcomes are the numbers that a day came to. What depends on the machine's speed
// (Watch.Undecided) is none of them.
func outcomes(w *World) []decisiondigest.Count {
	v := w.Watch
	counts := []decisiondigest.Count{}
	for _, count := range []struct {
		name  string
		value int
	}{
		{"steps", w.Steps}, {"messages", w.Messages}, {"syncs", w.Syncs}, {"faults", v.Faults},
		{"batches", len(v.Bundles)}, {"rows", v.FeedRows}, {"puts", len(v.Puts)}, {"reads", len(v.Reads)}, {"claims", len(v.Claims)},
		{"requests", len(v.Orders)}, {"proxied", v.Passed}, {"starts", v.Started},
		{"ok", v.Counts[wasOK]}, {"rejected", v.Counts[wasRefused]}, {"unknown", v.Counts[wasUnknown]}, {"failed", v.Counts[wasFailed]},
		{"breaches", len(v.Breaches)},
	} {
		counts = append(counts, decisiondigest.Count{Name: count.name, Value: uint64(count.value)})
	}
	return counts
}

// The decisions of fixed days are those that were recorded (proof/decisiondigest): names,
// places of code and words of the log change none of them.
func TestDecisionsAreAsRecorded(t *testing.T) {
	recorded, err := decisiondigest.ReadRecords(digestFile)
	if err != nil && !digestFlags.Write {
		t.Fatal(err)
	}
	lived := make([]decisiondigest.Record, len(digestDays))
	t.Run("days", func(t *testing.T) {
		for i, day := range digestDays {
			t.Run(day.fullName(), func(t *testing.T) {
				t.Parallel()
				lived[i] = day.live(t)
				if digestFlags.Write {
					return
				}
				for _, difference := range recorded[day.fullName()].Differences(lived[i]) {
					t.Error(difference)
				}
			})
		}
	})
	if !digestFlags.Write {
		if len(recorded) != len(digestDays) {
			t.Errorf("%d days are recorded, and %d are lived", len(recorded), len(digestDays))
		}
		return
	}
	if slices.ContainsFunc(lived, func(r decisiondigest.Record) bool { return r.Digest == "" }) || t.Failed() {
		t.Fatal("not all days were lived: nothing is written")
	}
	if err := decisiondigest.WriteRecords(digestFile, lived); err != nil {
		t.Fatal(err)
	}
}
