package batchstore

// InjectedFaults are faults that a test plants to show that the checkers notice them. They
// are set by tests only.
type InjectedFaults struct {
	// SkipDurability finishes a position before its result is durable.
	SkipDurability bool
	// RejectAfterWrite rejects a batch with an even number of items after its entry was
	// written.
	RejectAfterWrite bool
	// SkipLease serves calls without a valid lease.
	SkipLease bool
}
