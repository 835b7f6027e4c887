package exclusive

import (
	"maps"
	"slices"
	"strings"
)

const (
	// maxOpenActs is how many undone acts of a subject are kept; the oldest is given up for a new one.
	maxOpenActs = 64
	// maxSubjects is how many subjects are remembered; of those that may be forgotten (Record.mayBeForgotten)
	// the one that was granted least recently is, for a new one.
	maxSubjects = 1024
)

// Table is what has been decided of each subject. Its maps and slices are replaced, not changed, so
// that a copy stays as it is. Its JSON is in the snapshots of the control state; the keys never
// change.
type Table struct {
	Subjects map[Subject]Record `json:"subjects,omitempty"`
	// FenceFloor is the highest fence of the subjects that were forgotten; a new subject's is above.
	FenceFloor uint64 `json:"fence_floor,omitempty"`
	// Grants counts the grants of all subjects.
	Grants uint64 `json:"grants,omitempty"`
	// Abandoned counts the open acts that were given up for newer ones.
	Abandoned uint64 `json:"abandoned,omitempty"`
}

// Record is what has been decided of one subject.
type Record struct {
	Holder Holder `json:"holder"`
	// Fence is the highest that was ever granted; 0: none was.
	Fence uint64 `json:"fence"`
	// GrantedAt is the number of its latest grant (Table.Grants).
	GrantedAt uint64 `json:"granted"`
	// LastNumber is the highest number of an act whose content was decided. Those up to it that
	// are not open are done, given up or superseded.
	LastNumber uint64 `json:"last"`
	// LastContent is the content of that act where it supersedes those before it.
	LastContent []byte `json:"content,omitempty"`
	// Open are the acts that are decided and not known to be done, in the order of their numbers.
	Open []Act `json:"open,omitempty"`
}

// Update is one change of the table. It is stored; its JSON keys never change.
type Update struct {
	Settlements []Settlement `json:"settlements,omitempty"`
	Grants      []Grant      `json:"grants,omitempty"`
}

// IsEmpty tells that the update changes nothing.
func (u Update) IsEmpty() bool { return len(u.Settlements)+len(u.Grants) == 0 }

// Grant records permits: the holder and fence of a subject, and the contents of acts that have none
// yet. It is stored; its JSON keys never change.
type Grant struct {
	Subject Subject `json:"subject"`
	Holder  Holder  `json:"holder"`
	Fence   uint64  `json:"fence"`
	Acts    []Act   `json:"acts,omitempty"` // newly decided
}

// Settlement records that acts need not be performed any more. It is stored; its JSON keys never
// change.
type Settlement struct {
	Subject Subject  `json:"subject"`
	Numbers []uint64 `json:"numbers"`
}

// IsZero tells that nothing was ever decided.
func (t Table) IsZero() bool { return len(t.Subjects) == 0 && t.Grants == 0 }

// Record is what has been decided of a subject; the zero value before the first permit.
func (t *Table) Record(subject Subject) Record { return t.Subjects[subject] }

// Apply applies an update.
func (t *Table) Apply(update Update) {
	for _, settlement := range update.Settlements {
		t.applySettlement(settlement)
	}
	for _, grant := range update.Grants {
		t.applyGrant(grant)
	}
}

// applyGrant applies a grant. A fence never goes back and never has two holders, and the content of an
// act never changes.
func (t *Table) applyGrant(grant Grant) {
	record, isKnown := t.Subjects[grant.Subject]
	if !isKnown {
		t.evictOne()
		record.Fence = t.FenceFloor
	}
	isHolder := isKnown && grant.Fence == record.Fence && grant.Holder == record.Holder
	if !isHolder && grant.Fence <= record.Fence {
		return
	}
	t.Grants++
	record.Holder, record.Fence, record.GrantedAt = grant.Holder, grant.Fence, t.Grants
	for _, act := range grant.Acts {
		var abandoned int
		record, abandoned = record.withAct(act)
		t.Abandoned += uint64(abandoned)
	}
	t.setRecord(grant.Subject, record)
}

// evictOne makes room for a subject, where there is none.
func (t *Table) evictOne() {
	oldest, exists := t.oldestEvictable()
	if len(t.Subjects) < maxSubjects || !exists {
		return
	}
	t.FenceFloor = max(t.FenceFloor, t.Subjects[oldest].Fence)
	t.Subjects = maps.Clone(t.Subjects)
	delete(t.Subjects, oldest)
}

// oldestEvictable is the subject that was granted least recently of those that may be forgotten; false where none may.
func (t *Table) oldestEvictable() (oldest Subject, exists bool) {
	for subject, record := range t.Subjects {
		if !record.isEvictable() {
			continue
		}
		if !exists || record.GrantedAt < t.Subjects[oldest].GrantedAt {
			oldest, exists = subject, true
		}
	}
	return oldest, exists
}

// hasCapacity tells whether there is room for another subject.
func (t *Table) hasCapacity() bool {
	_, canEvict := t.oldestEvictable()
	return len(t.Subjects) < maxSubjects || canEvict
}

// firstFence is the fence that a new subject begins with.
func (t *Table) firstFence() uint64 {
	after := *t
	after.evictOne()
	return after.FenceFloor + 1
}

// withAct is the record with one more act, and how many were given up for it; without a change where
// the act was decided before.
func (r Record) withAct(act Act) (after Record, abandoned int) {
	if act.Number <= r.LastNumber {
		return r, 0
	}
	open := slices.Clone(r.Open)
	r.LastContent = nil
	if act.Supersedes {
		open = nil
		r.LastContent = act.Content
	}
	abandoned = max(0, len(open)-maxOpenActs+1)
	r.Open = append(open[abandoned:], act)
	r.LastNumber = act.Number
	return r, abandoned
}

// isEvictable tells whether nothing is lost with the record: it has no open act, and its acts supersede each
// other. Of others LastNumber tells which are decided; without it they would be decided anew.
func (r Record) isEvictable() bool { return len(r.Open) == 0 && len(r.LastContent) > 0 }

// isOpen tells whether an act of the subject is decided and not known to be done.
func (r Record) isOpen(number uint64) bool {
	return slices.ContainsFunc(r.Open, func(act Act) bool { return act.Number == number })
}

// applySettlement applies a settlement.
func (t *Table) applySettlement(settlement Settlement) {
	record, isKnown := t.Subjects[settlement.Subject]
	if !isKnown {
		return
	}
	record.Open = slices.DeleteFunc(slices.Clone(record.Open), func(act Act) bool {
		return slices.Contains(settlement.Numbers, act.Number)
	})
	t.setRecord(settlement.Subject, record)
}

// setRecord replaces the map, which may have been handed out.
func (t *Table) setRecord(subject Subject, record Record) {
	subjects := make(map[Subject]Record, len(t.Subjects)+1)
	maps.Copy(subjects, t.Subjects)
	subjects[subject] = record
	t.Subjects = subjects
}

// compareSubjects orders subjects by name.
func compareSubjects(a, b Subject) int { return strings.Compare(string(a), string(b)) }
