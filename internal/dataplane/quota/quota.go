package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// renewalInterval is how often a client renews its leases.
const renewalInterval = LeaseDuration / 4

// InjectedFaults switch single safeguards off. They are set by tests only, which check
// that a run without the safeguard violates a guarantee.
type InjectedFaults struct {
	// SkipRebuild has a new owner grant before it knows what is in use.
	SkipRebuild bool
	// AdmitEverything has a client admit work without a lease.
	AdmitEverything bool
}

// TenantQuota is how much work of a tenant may be queued over all daemons.
type TenantQuota struct {
	Tenant string
	// Limit is in weights: pieces of work, or tokens where requests are forwarded.
	Limit int64
	// ConfigurationVersion is the version of the configuration that the limit is from; an
	// owner goes by the newest.
	ConfigurationVersion uint64
}

// Release returns what was reserved; a second call does nothing.
type Release func(now clock.Micros)

// Quota is one daemon's part: a client of the accounts of all tenants whose work it
// queues, and the owner of some.
type Quota struct {
	// ShardMap is the cluster map as this daemon knows it; false before it knows any. A
	// daemon without a map grants nothing, as it can't tell who else may have work, and
	// doesn't report what it has in use. nil: there are no stores.
	ShardMap func() (state.Map, bool)
	// Rejected counts reservations that were refused, for the operators.
	Rejected int64
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	self        string
	calls       *machine.Calls
	members     func() []membership.Member // the directory as this daemon knows it
	queuedItems func(tenant string) int    // weight that is queued here without a Reserve; may be nil
	nextRenewal clock.Micros

	clients map[string]*client // by tenant

	accounts    map[string]*Account        // owned here, by tenant
	quotas      map[string]TenantQuota     // newest known to the owner, by tenant
	rebuilds    map[string]*accountRebuild // under way, by tenant
	knownStores map[string]bool            // daemons that are or were stores, by id
}

// New makes a daemon's quota. queuedItems is the weight of a tenant's work that is queued
// here without having been reserved (batch items at a store); nil where there is none.
func New(self string, calls *machine.Calls, members func() []membership.Member, queuedItems func(tenant string) int) *Quota {
	return &Quota{
		self:        self,
		calls:       calls,
		members:     members,
		queuedItems: queuedItems,
		clients:     map[string]*client{},
		accounts:    map[string]*Account{},
		quotas:      map[string]TenantQuota{},
		rebuilds:    map[string]*accountRebuild{},
		knownStores: map[string]bool{},
	}
}

// Call answers a message of this package from another daemon; it returns false for any
// other message.
func (q *Quota) Call(number uint64, body any, now clock.Micros) bool {
	switch request := body.(type) {
	case LeaseRequest:
		q.handleLeaseRequest(request, now, func(response LeaseResponse, _ clock.Micros) {
			q.calls.Emit(machine.Reply{Call: number, Body: response})
		})
	case UsageRequest:
		response, err := q.handleUsageRequest(request)
		if err != nil {
			q.calls.Emit(machine.Reply{Call: number, Err: err})
			return true
		}
		q.calls.Emit(machine.Reply{Call: number, Body: response})
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
	q.releaseTransferred(now)
	q.forgetIdleAccounts(now)
	q.forgetUnusedShares(now)
}

// RenewAtNextTick has the leases renewed at the next tick, because what is in use changed by much.
func (q *Quota) RenewAtNextTick() { q.nextRenewal = 0 }

// handleUsageRequest answers a new owner: from here on the former one's lease counts
// only as far as it is in use.
func (q *Quota) handleUsageRequest(request UsageRequest) (UsageResponse, error) {
	if !q.knowsShardMap() {
		return UsageResponse{}, errUsageUnknown()
	}
	s := q.share(request.Tenant)
	if !s.Fence(request.Epoch) {
		return UsageResponse{Stale: true, Epoch: s.Epoch}, nil
	}
	return UsageResponse{InUse: q.inUse(request.Tenant), Epoch: request.Epoch}, nil
}

func errUsageUnknown() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started",
		"this daemon has no cluster map yet, and doesn't know what it has in use")
}
