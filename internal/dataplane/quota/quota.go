package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// InjectedFaults disables single safeguards. Only tests set them, to check that a run without the
// safeguard violates a guarantee.
type InjectedFaults struct {
	// SkipRebuild makes a new owner grant before it has a report on every queue.
	SkipRebuild bool
	// SkipOwnershipCheck makes a daemon grant from an account that it no longer owns.
	SkipOwnershipCheck bool
	// AcceptOlderAccounts makes a client follow an account although it knows a later one.
	AcceptOlderAccounts bool
	// AcceptStaleReports makes an owner apply reports in the order of their arrival.
	AcceptStaleReports bool
	// UseStaleGrants makes a client use a grant although it has made another report since.
	UseStaleGrants bool
	// UseReturnedLease makes a client admit work from the part of a lease that it has offered to
	// return.
	UseReturnedLease bool
	// AdmitEverything makes a client admit work without a lease.
	AdmitEverything bool
}

// AccountQuota is the limit on the work queued in an account across all daemons.
type AccountQuota struct {
	Account shard.AccountName
	// Limit is a weight: the number of pieces of work, or of tokens where requests are forwarded.
	Limit int64
	// ConfigurationVersion is the version of the configuration that set the limit; an owner applies
	// the newest.
	ConfigurationVersion uint64
	// LimitedSince is the configuration version since which every configuration has set a limit for
	// the account, as far as this daemon knows; 0 if it knows only this configuration.
	LimitedSince uint64
}

// Release returns a reservation; further calls have no effect.
type Release func(now clock.Micros)

// Quota is one daemon's part of quota enforcement: it is a client of every account whose work the
// daemon queues, and the owner of some accounts.
type Quota struct {
	// Shards are the shards of a store; nil at other daemons.
	Shards Shards
	// Rejected counts rejected reservations, for operators.
	Rejected int64
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	self        string
	calls       *machine.Calls
	members     func() []membership.Member // the member directory as known to this daemon
	shardMap    func() state.Map           // the cluster map as known to this daemon
	nextRenewal clock.Micros

	// unacknowledged holds the accounts whose batches here may have been accepted without a grant,
	// until their owners acknowledge a report on them.
	unacknowledged map[shard.AccountName]AccountQuota

	clients      map[shard.AccountName]*client
	lastSequence uint64       // of this daemon's reports
	startedAt    clock.Micros // time of this process's first report on its own queue

	accounts map[shard.AccountName]*Account     // owned by this daemon, now or recently
	quotas   map[shard.AccountName]AccountQuota // newest quota known to the owner
}

// New returns a daemon's Quota. shardMap returns the cluster map as known to this daemon, the zero
// map while it knows none; without a map no account of batches has a known owner.
func New(self string, calls *machine.Calls, members func() []membership.Member, shardMap func() state.Map) *Quota {
	return &Quota{
		self:           self,
		calls:          calls,
		members:        members,
		shardMap:       shardMap,
		unacknowledged: map[shard.AccountName]AccountQuota{},
		clients:        map[shard.AccountName]*client{},
		accounts:       map[shard.AccountName]*Account{},
		quotas:         map[shard.AccountName]AccountQuota{},
	}
}

// Call handles a message of this package from another daemon; it returns false for any other
// message.
func (q *Quota) Call(number uint64, body any, now clock.Micros) bool {
	switch request := body.(type) {
	case LeaseRequest:
		q.handleLeaseRequest(request, now, func(response LeaseResponse, err error, _ clock.Micros) {
			if err != nil {
				q.calls.Emit(machine.Reply{Call: number, Err: err})
				return
			}
			q.calls.Emit(machine.Reply{Call: number, Body: response})
		})
	case PendingReports:
		q.handlePendingReports(number, request, now)
	case UsageRequest:
		q.calls.Emit(machine.Reply{Call: number, Body: q.answerUsageRequest(request, now)})
	default:
		return false
	}
	return true
}

// Tick renews leases and repeats unacknowledged reports when they are due, and removes idle
// accounts and unused clients.
func (q *Quota) Tick(now clock.Micros) {
	if now < q.nextRenewal {
		return
	}
	q.nextRenewal = now + renewalInterval
	q.renewLeases(now)
	q.reportPending(now)
	q.removeIdleAccounts(now)
	q.removeUnusedClients(now)
}
