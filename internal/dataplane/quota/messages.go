package quota

import (
	"cmp"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Messages between the clients and owners of accounts. The names of these types and of
// their fields are on the wire between daemons (gob): a change of one is a new version of the
// protocol (internal/transport).
type (
	// Queue is one place where work waits: the memory of a daemon, for live
	// requests, or a shard, for batches. A daemon's queue ends with its process; a shard's
	// passes on with the shard.
	Queue struct {
		Daemon string // id of the daemon; "" for a shard's queue
		Shard  int    // index of the shard
	}
	// AccountID names one opening of an account. No two are alike, and a later one is higher.
	AccountID struct {
		Epoch    uint64 // rises with each owner
		OpenedAt clock.Micros
		Owner    string // id of the daemon
	}
	// Report says how much work of an account waits in a queue. The daemon that serves the
	// queue admits nothing beyond it until it has received a grant that answers this report.
	Report struct {
		Queue Queue
		// Epoch is the shard's, or when the daemon's process began to report. Of two reports
		// on a queue the one with the higher epoch is newer, then that with the higher
		// sequence number.
		Epoch    uint64
		Sequence uint64
		// Account is the account as the daemon knew it when it made the report. An account that
		// was opened later takes no account of it: it may be older than grants of a former owner.
		Account AccountID
		InUse   int // by weight
	}
	// LeaseRequest reports on one queue and asks for more.
	LeaseRequest struct {
		Name                 shard.AccountName
		Report               Report
		Wanted               int    // by weight, what is in use included
		Quota                int64  // the account's, by the client's configuration
		ConfigurationVersion uint64 // of that configuration
	}
	// LeaseResponse is what the queue may have in use.
	LeaseResponse struct {
		Account AccountID
		Granted int
		// Ready is false while the owner doesn't know yet what is in use everywhere: then
		// nothing beyond what is in use is granted.
		Ready bool
		// Superseded: a newer report on the queue has reached the owner before this one, which
		// has changed nothing.
		Superseded bool
	}
	// PendingReports reports to an owner on batches that may have been accepted without a grant, of
	// any number of accounts; the requests ask for no more than is in use.
	PendingReports struct{ Requests []LeaseRequest }
	// PendingReportsResponse acknowledges the reports, but for those of accounts that the daemon does
	// not own.
	PendingReportsResponse struct{ Refused []shard.AccountName }
	// UsageRequest is an owner's question for new reports.
	UsageRequest struct {
		Name    shard.AccountName
		Account AccountID
		// Shards are the indices of the shards that are asked about; none asks about the
		// daemon's own queue.
		Shards []int
	}
	// UsageResponse has a report for each of the queues that the daemon serves.
	UsageResponse struct {
		Reports []Report
		// Account is the highest that the daemon knows. Where it is above the one that asks, that
		// one has been succeeded, and there are no reports.
		Account AccountID
	}
)

func init() {
	transport.Register(LeaseRequest{}, LeaseResponse{}, PendingReports{}, PendingReportsResponse{}, UsageRequest{}, UsageResponse{})
}

// isNewerThan tells whether a report was made after another one on the same queue.
func (r Report) isNewerThan(epoch, sequence uint64) bool {
	if r.Epoch != epoch {
		return r.Epoch > epoch
	}
	return r.Sequence > sequence
}

// compare orders accounts by when they were opened; it is 0 for one and the same.
func (id AccountID) compare(other AccountID) int {
	return cmp.Or(
		cmp.Compare(id.Epoch, other.Epoch),
		cmp.Compare(id.OpenedAt, other.OpenedAt),
		cmp.Compare(id.Owner, other.Owner),
	)
}

// shardQueue is the queue of a shard.
func shardQueue(shardIndex int) Queue { return Queue{Shard: shardIndex} }

// daemonQueue is the queue of a daemon's live requests.
func daemonQueue(daemonID string) Queue { return Queue{Daemon: daemonID} }

// isShard tells whether the queue is a shard's.
func (q Queue) isShard() bool { return q.Daemon == "" }

// leaseRequestTimeout is how long a client waits for an owner's response.
const leaseRequestTimeout = 600 * clock.Millisecond
