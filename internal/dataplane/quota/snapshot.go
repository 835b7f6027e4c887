package quota

import "tuliprudder/internal/clock"

// Snapshot is what a daemon uses and grants, by tenant, for the operators.
type Snapshot struct {
	Accounts map[string]AccountSnapshot `json:"accounts"` // owned here
	Shares   map[string]ShareSnapshot   `json:"shares"`
}

// AccountSnapshot is one account that the daemon owns. Amounts are weights.
type AccountSnapshot struct {
	Quota      int64          `json:"allowance"`
	Epoch      uint64         `json:"epoch"`
	Granted    map[string]int `json:"lent"`    // by daemon
	Unreported []string       `json:"missing"` // daemons that have not reported yet
}

// ShareSnapshot is the daemon's part of one tenant's quota. Amounts are weights.
type ShareSnapshot struct {
	Epoch   uint64 `json:"epoch"`
	InUse   int    `json:"held"`
	Granted int    `json:"lent"`
}

// Snapshot is what is in use and granted here now.
func (q *Quota) Snapshot(now clock.Micros) Snapshot {
	out := Snapshot{Accounts: map[string]AccountSnapshot{}, Shares: map[string]ShareSnapshot{}}
	for tenant, c := range q.clients {
		if c.share == nil {
			continue
		}
		if inUse := q.inUse(tenant); inUse > 0 || c.share.Granted > 0 {
			out.Shares[tenant] = ShareSnapshot{Epoch: c.share.Epoch, InUse: inUse, Granted: c.share.Granted}
		}
	}
	for tenant, a := range q.accounts {
		out.Accounts[tenant] = AccountSnapshot{
			Quota:      q.quotas[tenant].Limit,
			Epoch:      a.Epoch,
			Granted:    a.Granted(now),
			Unreported: a.Unreported(),
		}
	}
	return out
}

// Totals sums up over all tenants what is in use here and what is granted from here.
func (q *Quota) Totals(now clock.Micros) (inUse, granted int64) {
	for tenant, c := range q.clients {
		if c.share != nil {
			inUse += int64(q.inUse(tenant))
		}
	}
	for _, a := range q.accounts {
		for _, count := range a.Granted(now) {
			granted += int64(count)
		}
	}
	return inUse, granted
}
