package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// InjectedFaults switch single safeguards off. They are set by tests only, which check
// that a run without the safeguard violates a guarantee.
type InjectedFaults struct {
	// SkipRebuild has a new owner grant before it knows what is in use.
	SkipRebuild bool
	// SkipOwnershipCheck has a daemon grant from an account that it doesn't own any more.
	SkipOwnershipCheck bool
	// AcceptOlderAccounts has a client follow an account though it knows a later one.
	AcceptOlderAccounts bool
	// AcceptStaleReports has an owner take reports in the order in which they arrive.
	AcceptStaleReports bool
	// UseStaleGrants has a client use a grant though it has made another report since.
	UseStaleGrants bool
	// UseReturnedLease has a client admit from what it has offered to give back.
	UseReturnedLease bool
	// AdmitEverything has a client admit work without a lease.
	AdmitEverything bool
}

// AccountQuota is how much work may be queued in an account over all daemons.
type AccountQuota struct {
	Account shard.AccountName
	// Limit is in weights: pieces of work, or tokens where requests are forwarded.
	Limit int64
	// ConfigurationVersion is the version of the configuration that the limit is from; an
	// owner goes by the newest.
	ConfigurationVersion uint64
	// LimitedSince is the version since which the account has had a limit in each configuration, as
	// far as this daemon knows; 0: it doesn't know more than this configuration.
	LimitedSince uint64
}

// Release returns what was reserved; a second call does nothing.
type Release func(now clock.Micros)

// Quota is one daemon's part: a client of all accounts whose work it queues, and at a store the
// owner of some.
type Quota struct {
	// Shards are the shards of a store; nil at other daemons.
	Shards Shards
	// Rejected counts reservations that were refused, for the operators.
	Rejected int64
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	self        string
	calls       *machine.Calls
	members     func() []membership.Member // the directory as this daemon knows it
	shardMap    func() state.Map           // the cluster map as this daemon knows it
	nextRenewal clock.Micros

	// unacknowledged are the accounts whose owners are to be told of the batches that wait here: they may
	// have been accepted without a grant.
	unacknowledged map[shard.AccountName]AccountQuota

	clients      map[shard.AccountName]*client
	lastSequence uint64       // of this daemon's reports
	startedAt    clock.Micros // when this process made its first report on its own queue

	accounts map[shard.AccountName]*Account     // owned here, or until lately
	quotas   map[shard.AccountName]AccountQuota // newest known to the owner
}

// New makes a daemon's quota. shardMap gives the cluster map as this daemon knows it; the zero map
// while it knows none: then it knows no owner of any account.
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

// Call answers a message of this package from another daemon; it returns false for any
// other message.
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

// Tick renews the leases when they are due, and forgets what nobody uses.
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
