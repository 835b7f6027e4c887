package machine

// The disk's effects are executed by the disk writer, in the order in which they were emitted. A
// write that the disk refuses is retried until the disk takes it; what was emitted after it waits.

// Record is one durable entry. It belongs to a unit and is read back in the order of writing. Its
// JSON is on disk; the keys never change.
type Record struct {
	Unit  string `json:"unit"`
	Kind  string `json:"kind"`
	Epoch uint64 `json:"epoch,omitempty"`
	Seq   uint64 `json:"seq,omitempty"`
	Body  []byte `json:"body,omitempty"`
}

// Persist makes records durable. The answer is Persisted with the token, once they are synced;
// records that are emitted close together may share a sync.
type Persist struct {
	Token   uint64
	Records []Record
}

// Compact replaces all records that were persisted so far by these, which have the same contents.
// It has no answer: where the disk has no room the old records remain, and the event loop asks the
// machine for another Compact later (CompactAgain).
type Compact struct{ Records []Record }

// Archive writes finished records to a file of their own, from which they are read one by one.
// The answer is Persisted with the token, once the file is synced.
type Archive struct {
	Token   uint64
	File    uint64
	Records []Record
}

// DeleteArchive removes archive files that nothing refers to any more. It has no answer: a file
// that remains is found unused at the next start.
type DeleteArchive struct{ Files []uint64 }

// DiskState is the state of the daemon's disk; the event loop calls the machine's
// DiskStateChanged with it whenever it changes.
// While the disk is not writable, Persist effects are neither lost nor answered: they wait, in
// order, until the disk takes them.
type DiskState struct {
	Writable bool
	Reason   string // why it is not writable; "" when it is
}

func (Persist) effect()       {}
func (Compact) effect()       {}
func (Archive) effect()       {}
func (DeleteArchive) effect() {}
