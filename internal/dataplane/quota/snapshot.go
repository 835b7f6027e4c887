package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// Snapshot describes the usage and the grants of a daemon by account (shard.AccountName), for
// operators.
type Snapshot struct {
	Accounts map[string]AccountSnapshot `json:"accounts"` // owned by this daemon
	Shares   map[string]ShareSnapshot   `json:"shares"`
}

// AccountSnapshot describes an account that the daemon owns. Amounts are weights.
type AccountSnapshot struct {
	Quota      int64          `json:"allowance"`
	Epoch      uint64         `json:"epoch"`
	Granted    map[string]int `json:"lent"`    // by daemon
	Unreported []string       `json:"missing"` // daemons that have not reported yet
}

// ShareSnapshot describes the daemon's part of one account's quota. Amounts are weights.
type ShareSnapshot struct {
	Epoch   uint64 `json:"epoch"` // of the account, from the owner's latest response
	InUse   int    `json:"held"`
	Granted int    `json:"lent"`
}

// Snapshot returns the current usage and grants of this daemon.
func (q *Quota) Snapshot(now clock.Micros) Snapshot {
	out := Snapshot{Accounts: map[string]AccountSnapshot{}, Shares: map[string]ShareSnapshot{}}
	for name, pending := range q.pendingInShards(now) {
		share := out.Shares[name.String()]
		share.InUse += pending
		share.Granted += pending
		out.Shares[name.String()] = share
	}
	for name, c := range q.clients {
		share := out.Shares[name.String()]
		share.InUse += c.live.share.InUse
		share.Granted += c.live.share.Granted
		share.Epoch = max(share.Epoch, c.account.Epoch)
		if share.InUse > 0 || share.Granted > 0 {
			out.Shares[name.String()] = share
		}
	}
	for name, a := range q.accounts {
		if q.owns(name, a, now) {
			out.Accounts[name.String()] = AccountSnapshot{
				Quota:      q.quotas[name].Limit,
				Epoch:      a.ID.Epoch,
				Granted:    q.leasesByDaemon(a, now),
				Unreported: q.unreportedDaemons(a),
			}
		}
	}
	return out
}

// Totals returns the usage of this daemon and the total granted by this daemon's accounts, summed
// over all accounts.
func (q *Quota) Totals(now clock.Micros) (inUse, granted int64) {
	for _, c := range q.clients {
		inUse += int64(c.live.share.InUse)
	}
	for _, pending := range q.pendingInShards(now) {
		inUse += int64(pending)
	}
	for name, a := range q.accounts {
		if !q.owns(name, a, now) {
			continue
		}
		for _, count := range a.Leases(now) {
			granted += int64(count)
		}
	}
	return inUse, granted
}

// pendingInShards returns the weight of pending work in the shards that this daemon serves, by
// account.
func (q *Quota) pendingInShards(now clock.Micros) map[shard.AccountName]int {
	if q.Shards == nil {
		return nil
	}
	return q.Shards.PendingWeights(now)
}

// unreportedDaemons returns the daemons that serve the queues without a report, sorted.
func (q *Quota) unreportedDaemons(a *Account) []string {
	daemons := map[string]bool{}
	for _, queue := range a.Unreported() {
		daemons[q.servingDaemon(queue)] = true
	}
	return sortedKeys(daemons)
}
