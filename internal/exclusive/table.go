package exclusive

import (
	"maps"
	"slices"
)

// maxOpenActs is how many undone acts of a subject are kept; the oldest is given up for a new one.
const maxOpenActs = 64

// Table is what has been decided of each subject. Its maps and slices are replaced, not changed, so
// that a copy stays as it is. Its JSON is in the snapshots of the control state; the keys never
// change.
type Table struct {
	Subjects map[Subject]Record `json:"subjects,omitempty"`
}

// Record is what has been decided of one subject.
type Record struct {
	Holder string `json:"holder"`
	// Fence is the highest that was ever granted; 0: none was.
	Fence uint64 `json:"fence"`
	// LastNumber is the highest number of an act whose content was decided. Those up to it that
	// are not open are done, given up or superseded.
	LastNumber uint64 `json:"last"`
	// LastContent is the content of that act.
	LastContent []byte `json:"content,omitempty"`
	// Open are the acts that are decided and not known to be done, in the order of their numbers.
	Open []Act `json:"open,omitempty"`
}

// Grant records permits: the holder and fence of a subject, and the contents of acts that have none
// yet. It is stored; its JSON keys never change.
type Grant struct {
	Subject Subject `json:"subject"`
	Holder  string  `json:"holder"`
	Fence   uint64  `json:"fence"`
	Acts    []Act   `json:"acts,omitempty"` // newly decided
}

// Settlement records that acts need not be performed any more. It is stored; its JSON keys never
// change.
type Settlement struct {
	Subject Subject  `json:"subject"`
	Numbers []uint64 `json:"numbers"`
}

// Record is what has been decided of a subject; the zero value before the first permit.
func (t *Table) Record(subject Subject) Record { return t.Subjects[subject] }

// ApplyGrant applies a grant. A fence never goes back, and the content of an act never changes.
func (t *Table) ApplyGrant(grant Grant) {
	record := t.Subjects[grant.Subject]
	if grant.Fence < record.Fence {
		return
	}
	record.Holder, record.Fence = grant.Holder, grant.Fence
	for _, act := range grant.Acts {
		record = record.withAct(act)
	}
	t.set(grant.Subject, record)
}

// withAct is the record with one more act; without a change where the act was decided before.
func (r Record) withAct(act Act) Record {
	if act.Number <= r.LastNumber {
		return r
	}
	open := slices.Clone(r.Open)
	if act.Supersedes {
		open = nil
	}
	if len(open) >= maxOpenActs {
		open = open[len(open)-maxOpenActs+1:]
	}
	r.Open = append(open, act)
	r.LastNumber, r.LastContent = act.Number, act.Content
	return r
}

// ApplySettlement applies a settlement.
func (t *Table) ApplySettlement(settlement Settlement) {
	record, known := t.Subjects[settlement.Subject]
	if !known {
		return
	}
	record.Open = slices.DeleteFunc(slices.Clone(record.Open), func(act Act) bool {
		return slices.Contains(settlement.Numbers, act.Number)
	})
	t.set(settlement.Subject, record)
}

// set replaces the map, which may have been handed out.
func (t *Table) set(subject Subject, record Record) {
	subjects := make(map[Subject]Record, len(t.Subjects)+1)
	maps.Copy(subjects, t.Subjects)
	subjects[subject] = record
	t.Subjects = subjects
}
