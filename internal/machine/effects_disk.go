package machine

// Disk effects are executed by the disk writer, in the order in which they were emitted. A write
// that the disk refuses is retried until it succeeds; the effects emitted after it wait.

// Record is one durable entry. It belongs to a unit, and records are read back in the order in which
// they were written. Its JSON is stored on disk, so the keys must not change.
type Record struct {
	Unit  string `json:"unit"`
	Kind  string `json:"kind"`
	Epoch uint64 `json:"epoch,omitempty"`
	Seq   uint64 `json:"seq,omitempty"`
	Body  []byte `json:"body,omitempty"`
}

// Persist makes records durable. Once they are synced, the answer is Persisted with the token.
// Records that are emitted close together may share a sync.
type Persist struct {
	Token   uint64
	Records []Record
}

// Compact replaces all records persisted so far by Records, which represent the same state. It has
// no answer: if the disk is full, the old records remain, and the event loop later asks the machine
// for another Compact (CompactAgain).
type Compact struct{ Records []Record }

// Archive writes finished records to a separate file, from which they are read individually. Once
// the file is synced, the answer is Persisted with the token.
type Archive struct {
	Token   uint64
	File    uint64
	Records []Record
}

// DeleteArchive removes archive files that are no longer referenced. It has no answer: a file that
// could not be removed is found to be unused at the next start.
type DeleteArchive struct{ Files []uint64 }

// DiskState is the state of the daemon's disk; the event loop calls the machine's
// DiskStateChanged with it whenever it changes.
// While the disk is not writable, Persist effects are neither lost nor answered: they wait, in
// order, until they can be written.
type DiskState struct {
	Writable bool
	Reason   string // why it is not writable; "" when it is
}

func (Persist) effect()       {}
func (Compact) effect()       {}
func (Archive) effect()       {}
func (DeleteArchive) effect() {}
