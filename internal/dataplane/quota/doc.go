// Package quota bounds the amount of queued work of each tenant across all daemons, without a
// request to a central service for each piece of work (docs/DESIGN.md section 11.3).
//
// Each tenant's Account is owned by one daemon (owner.go). The work waits in queues: live requests
// in the memory of a daemon, batches in a shard, which can move from store to store. The account
// holds a lease for each queue. The daemon that serves a queue is the account's client for it.
//
// # Lease protocol
//
//	client  a reservation does not fit: the client relinquishes what it will not request, and sends
//	        Report{Queue, Epoch, Sequence, Account, InUse}
//	        LeaseRequest{Report, Wanted} to the owner
//	owner   Record: the newest report on a queue takes effect, in whatever order reports arrive;
//	        the first report on a queue must have been made for this account
//	        QueuesToQuery: queues without a report, and, if the request does not fit, queues with
//	        stale reports, are queried (UsageRequest); their daemons answer with new reports
//	        Grant: up to Wanted, limited to the quota less all other leases
//	        LeaseResponse{Account, Granted}
//	client  admits what fits, if the response answers its latest report
//
// The client of a shard (shard_client.go) keeps no lease: what is granted is in use at once. The
// client of a daemon's own queue (live_client.go) keeps its lease for LeaseDuration and renews it
// every renewalInterval.
//
// # Invariant
//
// At every moment the lease that the owner counts for a queue is at least what the queue has in use,
// wherever it is served, plus what it may admit until its next grant. The sum of the leases is
// therefore an upper bound of what is in use, and grants keep that sum within the quota. In detail:
//
//   - A queue has one server at a time: a shard's primary answers and admits only while it holds the
//     shard's lease (Shards.ServingEpoch), and its successor serves under a higher epoch.
//   - The amount in use grows only by grants, and a grant is used only if it answers the latest
//     report. So after a report nothing is admitted that the owner has not counted since.
//   - A lease is lowered only by reports. A delayed report is older than the one in effect and is
//     dropped; so is a report that was made before the account was opened.
//   - A shard's lease counts until the next report on it, even while no daemon serves the shard: its
//     batches wait on disk. The successor finds no more than was reported, because results count
//     as in use until they are durable (Shards.PendingWeight).
//   - A new owner grants nothing until there is a report on every queue.
//   - Where more than the quota is in use (the quota was lowered, or the tenant had none), all of it
//     counts and nothing is admitted, not even in place of work that completes meanwhile
//     (Account.Grant).
//   - An owner opens a new account, and so queries every queue, if the tenant may have had no limit
//     since the latest request: batches accepted then had no grant (Quota.mayHaveBeenUnlimited). A
//     client states the configuration version since which it knows of an uninterrupted limit
//     (AccountQuota.LimitedSince). Batches that a store accepts before it receives the configuration
//     are reported when it receives it, and batches that it finds in a shard when it starts to serve
//     the shard (Quota.ReportPending).
//   - An account of batches has one owner at a time, ensured by the lease on its home shard.
//
// The bound is not exact for live requests. Their account is owned by an edge, so that they do not
// depend on the stores; two edges own it for as long as directories differ, and a client follows the
// later of the accounts that it knows. A daemon's lease expires, and an edge that is unknown to the
// new owner may use an old lease for LeaseDuration. An account with live requests stops waiting for
// a shard that no daemon has served for lostShardLiveTimeout; an account of batches alone waits until
// the shard is served, or the control state knows no copy of it any more.
//
// # Use
//
// Quota is part of the daemon's state machine: the time is passed in with each call, and messages
// are emitted as effects of machine.Calls. Nothing here is safe for concurrent use.
package quota
