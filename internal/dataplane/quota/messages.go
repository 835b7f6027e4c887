package quota

import (
	"cmp"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Messages between the clients and owners of accounts. The names of these types and of their fields
// are on the wire between daemons (gob): changing one requires a new version of the protocol
// (internal/transport).
type (
	// Queue is one place where work waits: the memory of a daemon, for live requests, or a shard,
	// for batches. A daemon's queue ends with its process; a shard's queue moves with the shard.
	Queue struct {
		Daemon string // id of the daemon; "" for the queue of a shard
		Shard  int    // index of the shard
	}
	// AccountID identifies one opening of an account. Ids are unique, and a later opening has a
	// higher id.
	AccountID struct {
		Epoch    uint64 // increases with each owner
		OpenedAt clock.Micros
		Owner    string // id of the daemon
	}
	// Report states how much work of an account waits in a queue. The daemon that serves the queue
	// admits nothing beyond that amount until it has received a grant that answers this report.
	Report struct {
		Queue Queue
		// Epoch is the epoch of the shard, or the time of the first report of the daemon's process.
		// Of two reports on a queue the one with the higher epoch is newer, then the one with the
		// higher sequence number.
		Epoch    uint64
		Sequence uint64
		// Account is the account that the daemon knew when it made the report. An account that was
		// opened later ignores the report: it may be older than grants of a former owner.
		Account AccountID
		InUse   int // a weight
	}
	// LeaseRequest reports on one queue and asks for a larger lease.
	LeaseRequest struct {
		Name                 shard.AccountName
		Report               Report
		Wanted               int    // a weight, including what is in use
		Quota                int64  // the account's quota in the client's configuration
		ConfigurationVersion uint64 // of that configuration
		LimitedSince         uint64 // as in AccountQuota
	}
	// LeaseResponse states how much the queue may have in use.
	LeaseResponse struct {
		Account AccountID
		Granted int
		// Ready is false while the owner does not yet know the usage of every queue; then it grants
		// nothing beyond what is in use.
		Ready bool
		// Superseded is set if a newer report on the queue reached the owner before this one, which
		// has changed nothing.
		Superseded bool
	}
	// PendingReports reports to an owner the batches that may have been accepted without a grant,
	// for any number of accounts; the requests ask for no more than is in use.
	PendingReports struct{ Requests []LeaseRequest }
	// PendingReportsResponse acknowledges the reports, except those for accounts that the daemon
	// does not own.
	PendingReportsResponse struct{ Refused []shard.AccountName }
	// UsageRequest asks a daemon for new reports.
	UsageRequest struct {
		Name    shard.AccountName
		Account AccountID
		// Shards are the indices of the shards to report on; if empty, the request is for the
		// daemon's own queue.
		Shards []int
	}
	// UsageResponse has a report for each requested queue that the daemon serves.
	UsageResponse struct {
		Reports []Report
		// Account is the highest account that the daemon knows. If it is above the account in the
		// request, that one has been superseded, and there are no reports.
		Account AccountID
	}
)

func init() {
	transport.Register(LeaseRequest{}, LeaseResponse{}, PendingReports{}, PendingReportsResponse{}, UsageRequest{}, UsageResponse{})
}

// isNewerThan reports whether a report was made after another one on the same queue.
func (r Report) isNewerThan(epoch, sequence uint64) bool {
	if r.Epoch != epoch {
		return r.Epoch > epoch
	}
	return r.Sequence > sequence
}

// compare orders account ids by when the accounts were opened; it returns 0 for equal ids.
func (id AccountID) compare(other AccountID) int {
	return cmp.Or(
		cmp.Compare(id.Epoch, other.Epoch),
		cmp.Compare(id.OpenedAt, other.OpenedAt),
		cmp.Compare(id.Owner, other.Owner),
	)
}

// shardQueue returns the queue of a shard.
func shardQueue(shardIndex int) Queue { return Queue{Shard: shardIndex} }

// daemonQueue returns the queue of a daemon's live requests.
func daemonQueue(daemonID string) Queue { return Queue{Daemon: daemonID} }

// isShard reports whether the queue belongs to a shard.
func (q Queue) isShard() bool { return q.Daemon == "" }

// leaseRequestTimeout is how long a client waits for an owner's response.
const leaseRequestTimeout = 600 * clock.Millisecond
