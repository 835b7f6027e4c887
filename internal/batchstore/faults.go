package batchstore

// InjectedFaults are faults that tests inject to verify that the checkers detect them. Only tests set
// them.
type InjectedFaults struct {
	// SkipDurability finishes a position before its result is durable.
	SkipDurability bool
	// RejectAfterWrite rejects a batch with an even number of items after its entry has been
	// appended.
	RejectAfterWrite bool
	// SkipLease serves calls even without a valid lease.
	SkipLease bool
}
