// Package quota bounds how much work of a tenant is queued over all daemons, without a
// request to a central place for each piece of work (docs/DESIGN.md section 11.3).
//
// For each tenant one daemon owns an Account (owner.go). The work itself waits in queues: live
// requests in the memory of a daemon, batches in a shard, which passes from store to store. The
// account keeps a lease for each queue. The daemon that serves a queue is its client.
//
// # The life of a lease
//
//	client  something doesn't fit: the client gives up what it will not ask for, and makes a
//	        Report{Queue, Epoch, Sequence, Account, InUse}
//	        LeaseRequest{Report, Wanted} to the owner
//	owner   Record: of two reports on a queue the newer one counts, whenever they arrive;
//	        the first one has to be made for this account
//	        Outdated: what isn't known, or doesn't fit by old reports, is asked for
//	        (UsageRequest), and answered by new reports
//	        Grant: up to Wanted, as far as the quota less all other leases allows
//	        LeaseResponse{Account, Granted}
//	client  admits what fits, if the response answers its latest report
//
// A shard's client (shard_client.go) keeps no lease: what is granted is in use at once. A daemon's
// client (live_client.go) keeps its lease for LeaseDuration and renews it every renewalInterval.
//
// # Invariant
//
// At every moment the lease that the owner counts for a queue is at least what the queue has in use,
// wherever it is served, and what it may admit until its next grant. The sum of the leases is
// therefore an upper bound of what is in use, and grants keep that sum within the quota. In detail:
//
//   - A queue has one server at a time: a shard's primary answers and admits only under the
//     shard's lease (Shards.ServingEpoch), and its successor serves under a higher epoch.
//   - In use grows by grants alone, and a grant is used only if it answers the latest report. So
//     after a report nothing is admitted that the owner has not counted since.
//   - A lease is lowered by reports alone. A report that is late is older than the one that counts
//     and is dropped; so is one that was made before the account was opened.
//   - A shard's lease counts until the next report on it, also while nobody serves the shard: its
//     batches wait on disk. Its successor finds no more than was reported, for results count as
//     in use until they are durable (Shards.PendingWeight).
//   - An owner that has just taken over grants nothing until there is a report on every queue.
//   - Where more than the quota is in use (it was lowered, or the tenant had none), all of it counts
//     and nothing is admitted, not even in place of what ends meanwhile (Account.Grant).
//   - An owner opens a new account, and so asks every queue, where the tenant may have had no limit
//     since the latest request: batches accepted then had no grant (Quota.mayHaveHadNoLimit); a client
//     tells since which configuration it knows of a limit without a break (AccountQuota.LimitedSince). What a
//     store accepts before it has received the configuration is reported as soon as it has that, and
//     what it finds in a shard as soon as it serves it (Quota.ReportPending).
//   - An account of batches has one owner at a time, by its home shard's lease.
//
// What is not exact: live requests. Their account is owned by an edge, so that they don't depend on
// the stores; two edges own it for as long as directories differ, and a client follows the later of
// the accounts that it has met. A daemon's lease expires, and an edge that the new owner has not
// heard of may use one for LeaseDuration. An account with live requests gives up a shard that nobody
// has served for lostShardLiveTimeout; one of batches alone waits until the shard is served, or the
// control state knows no copy of it any more.
//
// # Use
//
// Quota is a part of the daemon's state machine: time comes in with each call,
// messages go out as effects of machine.Calls. Nothing here is safe for concurrent use.
package quota
