package exclusive

import (
	"maps"
	"slices"
	"strings"
)

const (
	// maxOpenActs is the maximum number of open acts of a subject; beyond it the oldest is abandoned.
	maxOpenActs = 64
	// maxSubjects is the maximum number of subjects. Beyond it the evictable subject (Record.isEvictable)
	// with the least recent grant is evicted for a new one.
	maxSubjects = 1024
)

// Table holds what has been decided for each subject. Its maps and slices are replaced, never modified,
// so a shallow copy is a snapshot. Its JSON is part of the control state's snapshots, so the keys must
// not change.
type Table struct {
	Subjects map[Subject]Record `json:"subjects,omitempty"`
	// FenceFloor is the highest fence of the evicted subjects; the fence of a new subject starts above it.
	FenceFloor uint64 `json:"fence_floor,omitempty"`
	// Grants counts the grants of all subjects.
	Grants uint64 `json:"grants,omitempty"`
	// Abandoned counts the open acts that were dropped for newer ones.
	Abandoned uint64 `json:"abandoned,omitempty"`
}

// Record holds what has been decided for one subject.
type Record struct {
	Holder Holder `json:"holder"`
	// Fence is the highest fence granted so far; 0 if none was.
	Fence uint64 `json:"fence"`
	// GrantedAt is the number of its latest grant (Table.Grants).
	GrantedAt uint64 `json:"granted"`
	// LastNumber is the highest number of an act whose content was decided. Acts up to it that are
	// not open were done, refused, abandoned or superseded.
	LastNumber uint64 `json:"last"`
	// LastContent is the content of that act, if it supersedes those before it.
	LastContent []byte `json:"content,omitempty"`
	// Open holds the acts that are decided and not known to be done, ordered by number.
	Open []Act `json:"open,omitempty"`
}

// Update is one change of the table. It is stored, so its JSON keys must not change.
type Update struct {
	Settlements []Settlement `json:"settlements,omitempty"`
	Grants      []Grant      `json:"grants,omitempty"`
}

// IsEmpty reports whether the update changes nothing.
func (u Update) IsEmpty() bool { return len(u.Settlements)+len(u.Grants) == 0 }

// Grant records permits: the holder and fence of a subject, and the contents of newly decided acts. It
// is stored, so its JSON keys must not change.
type Grant struct {
	Subject Subject `json:"subject"`
	Holder  Holder  `json:"holder"`
	Fence   uint64  `json:"fence"`
	Acts    []Act   `json:"acts,omitempty"` // newly decided
}

// Settlement records that acts need not be performed again. It is stored, so its JSON keys must not
// change.
type Settlement struct {
	Subject Subject  `json:"subject"`
	Numbers []uint64 `json:"numbers"`
}

// IsZero reports whether nothing was ever decided.
func (t Table) IsZero() bool { return len(t.Subjects) == 0 && t.Grants == 0 }

// Record returns what has been decided for a subject, or the zero value before its first permit.
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

// applyGrant applies a grant. It ignores a grant that would lower a subject's fence or give one fence to
// two holders, and never changes the content of a decided act.
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

// evictOne evicts a subject if the table is full and one is evictable.
func (t *Table) evictOne() {
	oldest, exists := t.oldestEvictable()
	if len(t.Subjects) < maxSubjects || !exists {
		return
	}
	t.FenceFloor = max(t.FenceFloor, t.Subjects[oldest].Fence)
	t.Subjects = maps.Clone(t.Subjects)
	delete(t.Subjects, oldest)
}

// oldestEvictable returns the evictable subject with the least recent grant; false if none is evictable.
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

// hasCapacity reports whether the table can take another subject.
func (t *Table) hasCapacity() bool {
	_, canEvict := t.oldestEvictable()
	return len(t.Subjects) < maxSubjects || canEvict
}

// firstFence returns the fence that a new subject starts with.
func (t *Table) firstFence() uint64 {
	after := *t
	after.evictOne()
	return after.FenceFloor + 1
}

// withAct returns the record with an act added, and how many open acts were abandoned for it. The record
// is unchanged if the act was decided before.
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

// isEvictable reports whether the record can be evicted without loss: it has no open act, and its acts
// supersede each other. For other subjects LastNumber shows which acts are decided; without it they would
// be decided again.
func (r Record) isEvictable() bool { return len(r.Open) == 0 && len(r.LastContent) > 0 }

// isOpen reports whether an act of the subject is decided and not known to be done.
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

// setRecord sets a subject's record in a new map, since copies of the table share the old one.
func (t *Table) setRecord(subject Subject, record Record) {
	subjects := make(map[Subject]Record, len(t.Subjects)+1)
	maps.Copy(subjects, t.Subjects)
	subjects[subject] = record
	t.Subjects = subjects
}

// compareSubjects orders subjects by name.
func compareSubjects(a, b Subject) int { return strings.Compare(string(a), string(b)) }
