// Package quota bounds how much work of a tenant is queued over all daemons, without a
// request to a central place for each piece of work (docs/DESIGN.md section 11.3).
//
// For each tenant one daemon owns an Account: the first live edge in the rendezvous
// order of the tenant's name. It leases parts of the tenant's quota to the daemons
// that queue work, which are its clients. Each client has a Share of the tenant's quota,
// and admits work as long as it fits into its share.
//
// # The life of a lease
//
//	client  Reserve doesn't fit into the Share
//	        LeaseRequest{Epoch, InUse, Wanted} to the owner
//	owner   RecordUsage: what is in use is believed, even above the quota, for that
//	        work is queued already
//	        Grant: up to Wanted, as far as the quota less all other leases allows
//	        LeaseResponse{Epoch, Granted}
//	client  ApplyGrant: the lease expires LeaseDuration after the request was sent
//	        every LeaseDuration/4 a renewal with Wanted = InUse, which also gives the
//	        unused part back
//	client  at its expiry the share admits nothing more
//	owner   counts the lease for LeaseGrace longer; that of a store, for
//	        StoreLeaseDuration after its latest report
//
// When an account gets a new owner, that one opens it under a higher epoch and asks
// every daemon for what it has in use (rebuild). The question fences the share: the
// unused part of the former owner's lease is given up. Until every daemon has
// answered, or any lease that it may have has expired, the owner grants nothing.
//
// # Invariant
//
// While clocks drift apart by less than LeaseGrace within a LeaseDuration, the work
// that clients admit through Reserve stays within the quota: the leases that an owner
// counts sum up to the quota at most (more only where more was reported in use), a
// client admits only within a lease that its owner still counts, and no two owners
// grant at a time, as an epoch is granted under only after all lower ones are fenced or
// expired.
//
// # Use
//
// Quota is a part of the daemon's state machine: time comes in with each call,
// messages go out as effects of machine.Calls. Nothing here is safe for concurrent use.
package quota
