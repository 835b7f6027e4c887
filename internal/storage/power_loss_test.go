package storage

import (
	"fmt"
	"syscall"
	"testing"

	"tuliprudder/internal/machine"
)

// versionRecord returns the record of a version with entry n; a snapshot, of kind "view", has all
// entries up to n.
func versionRecord(kind string, n uint64) []machine.Record {
	return []machine.Record{{Unit: "u", Kind: kind, Seq: n, Body: []byte(fmt.Sprint("body of ", n))}}
}

// lastEntry returns the last entry of the records that were read back. A gap is an error, and so is
// a duplicate, except of entries that a snapshot replaces.
func lastEntry(records []machine.Record) (last uint64, err error) {
	for _, record := range records {
		switch {
		case record.Kind == "view":
			last = record.Seq
		case record.Seq == last+1:
			last = record.Seq
		default:
			return 0, fmt.Errorf("entry %d after %d", record.Seq, last)
		}
	}
	return last, nil
}

// diskWorkload writes entries and compacts them, as a daemon's disk writer does: a write that fails
// is retried, a snapshot that fails is abandoned.
type diskWorkload struct {
	steps        string // w writes an entry, c compacts
	folder       *Folder
	acknowledged uint64 // the last entry whose write returned
	attempted    uint64 // the last entry whose write began
}

const dataFolder = "/data/records"

// run runs the workload on a disk until it ends or the power is cut.
func (w *diskWorkload) run(disk *memoryDisk) (err error) {
	if w.folder, _, err = OpenOn(disk, dataFolder); err != nil {
		return err
	}
	for _, step := range w.steps {
		if step == 'c' {
			_ = w.folder.Compact(versionRecord("view", w.attempted))
			continue
		}
		w.attempted++
		for attempt := 0; ; attempt++ {
			err := w.folder.Write(versionRecord("entry", w.attempted))
			if err == nil {
				break
			}
			if !IsWriteError(err) || attempt > 3 {
				return fmt.Errorf("entry %d: %w", w.attempted, err)
			}
		}
		w.acknowledged = w.attempted
	}
	return nil
}

// powerCut is the panic value that stops a workload at an operation.
type powerCut struct{}

// runUntil runs the workload until the operation with the number cut, where the power is cut or the
// process killed. The operation with the number failing returns cause. completed is whether the
// workload ran to its end.
func runUntil(t *testing.T, steps string, cut, failing int, cause error) (disk *memoryDisk, workload *diskWorkload, completed bool) {
	t.Helper()
	disk, workload = newMemoryDisk(), &diskWorkload{steps: steps}
	count := 0
	disk.before = func(string, string) error {
		count++
		if count == cut {
			panic(powerCut{})
		}
		if count == failing {
			return cause
		}
		return nil
	}
	defer func() {
		disk.before = nil
		if stop := recover(); stop != nil {
			if _, ok := stop.(powerCut); !ok {
				panic(stop)
			}
		}
	}()
	if err := workload.run(disk); err != nil && failing > openOperations {
		t.Fatalf("operation %d failed, and the workload did not continue: %v", failing, err)
	}
	return disk, workload, true
}

// openOperations is the number of operations of the first Open, which its caller retries.
const openOperations = 4

// readBack opens a disk and returns the last entry of its records.
func readBack(disk *memoryDisk) (uint64, error) {
	_, records, err := OpenOn(disk, dataFolder)
	if err != nil {
		return 0, err
	}
	return lastEntry(records)
}

// checkEveryPowerLoss reads a disk back after every possible power loss and after a kill, and again
// after every possible second loss, because what a start has read back and acted on must never be
// lost. It returns the number of disks read after a second loss.
func checkEveryPowerLoss(t *testing.T, what string, disk *memoryDisk, workload *diskWorkload) (checked int) {
	t.Helper()
	starts := append(disk.afterPowerLoss(), disk.afterKill())
	for at, first := range starts {
		found, err := readBack(first)
		if err != nil || found < workload.acknowledged || found > workload.attempted {
			t.Fatalf("%s, loss %d of %d: entries up to %d were acknowledged and up to %d attempted; read back %d, %v", what, at, len(starts), workload.acknowledged, workload.attempted, found, err)
		}
		for _, second := range first.afterPowerLoss() {
			checked++
			if again, err := readBack(second); err != nil || again != found {
				t.Fatalf("%s, loss %d: a start read back up to %d; after a second loss it is %d, %v", what, at, found, again, err)
			}
		}
	}
	return checked
}

// The power is cut before every operation, and each change of a name that was not made durable is
// kept or lost independently, in every combination: all acknowledged entries are read back without a
// gap, and what a start has read back is not lost later.
func TestRecoveryAfterEveryPowerLoss(t *testing.T) {
	checked := 0
	for cut := 1; ; cut++ {
		disk, workload, completed := runUntil(t, "wwwcwwcwcw", cut, 0, nil)
		checked += checkEveryPowerLoss(t, fmt.Sprintf("cut before operation %d", cut), disk, workload)
		if completed {
			break
		}
	}
	t.Logf("%d disks read back", checked)
}

// The same, with each single operation failing once before the power is cut: a write is retried and
// a snapshot abandoned, and neither leaves anything that a later start would misread.
func TestPowerLossAfterEachFailedOperation(t *testing.T) {
	const steps = "wwcwcw"
	checked, limit := 0, 0
	for cut := 1; ; cut++ {
		if _, _, completed := runUntil(t, steps, cut, 0, nil); completed {
			limit = cut
			break
		}
	}
	for failing := openOperations + 1; failing < limit; failing++ {
		// The operations right after the failed one retry it or clean up: cuts beyond those leave
		// disks that TestRecoveryAfterEveryPowerLoss has read back.
		for cut := failing + 1; cut < failing+18; cut++ {
			disk, workload, completed := runUntil(t, steps, cut, failing, syscall.ENOSPC)
			checked += checkEveryPowerLoss(t, fmt.Sprintf("operation %d failed, cut before %d", failing, cut), disk, workload)
			if completed {
				break
			}
		}
	}
	t.Logf("%d disks read back", checked)
}
