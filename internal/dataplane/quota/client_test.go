package quota

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

// clientBatchAccount is the account of batches in these tests.
var clientBatchAccount = shard.AccountName{Tenant: "c", Route: "r"}

// clientFixture is an edge's quota, or a store's that serves shard 0. Accounts are owned by other
// daemons, which are the test.
type clientFixture struct {
	*Quota
	t     *testing.T
	calls *machine.Calls
	now   clock.Micros
}

func newClientFixture(t *testing.T) *clientFixture {
	t.Helper()
	f := &clientFixture{t: t, calls: machine.NewCalls(), now: 10 * clock.Second}
	m := state.Map{Seq: 1, Stores: map[string]state.Store{"owner": {ID: "owner", Peer: "owner"}}}
	m.Shards = []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "owner"}}}
	members := []membership.Member{{ID: "edge", Kind: membership.Edge, Peer: "edge"}}
	f.Quota = New("client", f.calls, func() []membership.Member { return members }, func() state.Map { return m })
	return f
}

// reservation is what became of a Reserve.
type reservation struct {
	done    bool
	release Release
	err     error
}

func (f *clientFixture) reserve(count int) *reservation {
	out := &reservation{}
	f.Reserve(AccountQuota{Account: shard.AccountName{Tenant: "c"}, Limit: 100, ConfigurationVersion: 1}, count, f.now, func(release Release, err error, _ clock.Micros) {
		*out = reservation{done: true, release: release, err: err}
	})
	return out
}

// takeLeaseRequest is the lease request that was takeLeaseRequest; its token is 0 where there was none.
func (f *clientFixture) takeLeaseRequest() (uint64, LeaseRequest) {
	for _, effect := range f.calls.Drain() {
		if request, ok := effect.(machine.Request); ok {
			return request.Token, request.Body.(LeaseRequest)
		}
	}
	return 0, LeaseRequest{}
}

func TestWaitingReservationsShareLeaseRequest(t *testing.T) {
	f := newClientFixture(t)
	first := f.reserve(10)
	token, request := f.takeLeaseRequest()
	if request.Report.InUse != 0 || request.Wanted != 10 || request.Report.Queue != daemonQueue("client") || request.Quota != 100 {
		t.Fatalf("requested %+v", request)
	}
	second, third := f.reserve(5), f.reserve(20)
	if token, _ := f.takeLeaseRequest(); token != 0 {
		t.Fatal("a second request was sent beside the first")
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 16, Ready: true}, nil, f.now)
	if !first.done || first.err != nil || !second.done || second.err != nil {
		t.Errorf("what fits was not admitted: %+v, %+v", first, second)
	}
	if third.done {
		t.Errorf("what came later must wait for a request of its own: %+v", third)
	}
	token, request = f.takeLeaseRequest()
	// 15 are in use; one more may still be admitted.
	if request.Report.InUse != 16 || request.Wanted != 35 || request.Report.Account.Epoch != 1 {
		t.Errorf("then requested %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 15, Ready: true}, nil, f.now)
	if !errs.Is(third.err, errs.OverQuota) || f.Rejected != 1 {
		t.Errorf("what doesn't fit ended with %v", third.err)
	}
	first.release(f.now)
	first.release(f.now)
	if inUse, _ := f.Totals(f.now); inUse != 5 {
		t.Errorf("%d in use after a release that was called twice", inUse)
	}
}

func TestReservationErrors(t *testing.T) {
	for name, c := range map[string]struct {
		count    int
		response any
		err      error
		want     errs.Kind
	}{
		"more than the quota at once": {101, nil, nil, errs.OverQuota},
		"the quota is used up":        {10, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 3, Ready: true}, nil, errs.OverQuota},
		"the account is rebuilt":      {10, LeaseResponse{Account: AccountID{Epoch: 1}}, nil, errs.NotReady},
		"the owner doesn't answer":    {10, nil, errs.New(errs.NotReady, "retry", "timed out"), errs.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			f := newClientFixture(t)
			got := f.reserve(c.count)
			if token, _ := f.takeLeaseRequest(); token != 0 {
				f.calls.ReplyReceived(token, c.response, c.err, f.now)
			}
			if !errs.Is(got.err, c.want) || got.release != nil {
				t.Errorf("ended with %v", got.err)
			}
		})
	}
}

// After a failed lease request callers are rejected at once, for a short while.
func TestReservationsFailFastAfterFailedLeaseRequest(t *testing.T) {
	f := newClientFixture(t)
	f.reserve(1)
	token, _ := f.takeLeaseRequest()
	f.calls.ReplyReceived(token, nil, errs.New(errs.NotReady, "retry", "timed out"), f.now)
	f.now += failureBackoff - 1
	if got := f.reserve(1); !errs.Is(got.err, errs.NotReady) {
		t.Errorf("within the backoff: %+v", got)
	}
	f.now++
	if got := f.reserve(1); got.done {
		t.Errorf("after the backoff: %+v", got)
	}
}

// A renewal reports what is in use and gives the rest back; when nothing is left it ends.
func TestRenewalReturnsUnusedQuota(t *testing.T) {
	f := newClientFixture(t)
	got := f.reserve(10)
	token, _ := f.takeLeaseRequest()
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 40, Ready: true}, nil, f.now)
	f.Tick(f.now)
	token, request := f.takeLeaseRequest()
	if request.Report.InUse != 10 || request.Wanted != 10 {
		t.Fatalf("renewed with %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 10, Ready: true}, nil, f.now)
	got.release(f.now)
	f.now += renewalInterval
	f.Tick(f.now)
	token, request = f.takeLeaseRequest()
	if request.Report.InUse != 0 || request.Wanted != 0 {
		t.Fatalf("then renewed with %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 0, Ready: true}, nil, f.now)
	f.now += renewalInterval
	f.Tick(f.now)
	if token, request := f.takeLeaseRequest(); token != 0 {
		t.Errorf("renewed %+v with nothing in use", request)
	}
}

// A response answers the latest report only: after an owner's question the requests that wait are
// asked for again, and what was granted before is not used.
func TestGrantForOlderReportIsDiscarded(t *testing.T) {
	f := newClientFixture(t)
	got := f.reserve(10)
	token, first := f.takeLeaseRequest()
	f.answerUsageRequest(UsageRequest{Name: shard.AccountName{Tenant: "c"}, Account: AccountID{Epoch: 2}}, f.now)
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 40, Ready: true}, nil, f.now)
	if got.done || f.liveClient(shard.AccountName{Tenant: "c"}).share.Granted != 0 {
		t.Fatalf("%+v with a share of %+v", got, f.liveClient(shard.AccountName{Tenant: "c"}).share)
	}
	token, second := f.takeLeaseRequest()
	if second.Report.Sequence <= first.Report.Sequence+1 || second.Wanted != 10 {
		t.Fatalf("then requested %+v", second)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 2}, Granted: 10, Ready: true}, nil, f.now)
	if !got.done || got.err != nil {
		t.Errorf("%+v", got)
	}
}

// fakeShards is a store that serves shard 0.
type fakeShards struct {
	epoch   uint64 // 0: it doesn't serve it
	pending int
}

func (s *fakeShards) ServingEpoch(int, clock.Micros) (uint64, bool) { return s.epoch, s.epoch > 0 }
func (s *fakeShards) PendingWeight(int, shard.AccountName) int      { return s.pending }
func (s *fakeShards) PendingWeights(clock.Micros) map[shard.AccountName]int {
	return map[shard.AccountName]int{clientBatchAccount: s.pending}
}

// shardFixture is a clientFixture of a store with batches.
type shardFixture struct {
	*clientFixture
	shard *fakeShards
}

func newShardFixture(t *testing.T) *shardFixture {
	f := &shardFixture{newClientFixture(t), &fakeShards{epoch: 3, pending: 20}}
	f.Shards = f.shard
	return f
}

// submit reserves for a batch, which waits in the shard once it is admitted.
func (f *shardFixture) submit(weight int) *reservation {
	out := &reservation{}
	quota := AccountQuota{Account: clientBatchAccount, Limit: 100, ConfigurationVersion: 1}
	f.ReserveInShard(quota, 0, weight, f.now, func(err error, _ clock.Micros) {
		if err == nil {
			f.shard.pending += weight
		}
		*out = reservation{done: true, err: err}
	})
	return out
}

func TestBatchesAreAdmittedUpToGrant(t *testing.T) {
	f := newShardFixture(t)
	first, second := f.submit(30), f.submit(50)
	token, request := f.takeLeaseRequest()
	want := Report{Queue: shardQueue(0), Epoch: 3, Sequence: request.Report.Sequence, InUse: 20}
	if request.Report != want || request.Wanted != 50 || request.Name != clientBatchAccount {
		t.Fatalf("requested %+v", request)
	}
	if token, _ := f.takeLeaseRequest(); token != 0 {
		t.Fatal("a second request was sent beside the first")
	}
	f.calls.ReplyReceived(token, LeaseResponse{Granted: 50, Ready: true}, nil, f.now)
	if !first.done || first.err != nil || second.done {
		t.Fatalf("%+v %+v", first, second)
	}
	token, request = f.takeLeaseRequest()
	if request.Report.InUse != 50 || request.Wanted != 100 {
		t.Fatalf("then requested %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Granted: 90, Ready: true}, nil, f.now)
	if !errs.Is(second.err, errs.OverQuota) {
		t.Errorf("what doesn't fit ended with %v", second.err)
	}
	// What was granted beyond the batch is not kept.
	third := f.submit(40)
	if third.done {
		t.Errorf("a batch was admitted without a grant of its own: %+v", third)
	}
}

func TestBatchReservationErrors(t *testing.T) {
	for name, c := range map[string]struct {
		weight   int
		during   func(f *shardFixture)
		response LeaseResponse
		err      error
		want     errs.Kind
	}{
		"more than the quota at once":       {weight: 101, want: errs.OverQuota},
		"the quota is used up":              {weight: 10, response: LeaseResponse{Granted: 25, Ready: true}, want: errs.OverQuota},
		"the account is rebuilt":            {weight: 10, response: LeaseResponse{Granted: 20}, want: errs.NotReady},
		"the owner doesn't answer":          {weight: 10, err: errOwnerUnreachable(), want: errs.NotReady},
		"the shard passed on meanwhile":     {weight: 10, during: func(f *shardFixture) { f.shard.epoch = 0 }, response: LeaseResponse{Granted: 90, Ready: true}, want: errs.NotReady},
		"the shard came back meanwhile":     {weight: 10, during: func(f *shardFixture) { f.shard.epoch = 5 }, response: LeaseResponse{Granted: 90, Ready: true}, want: errs.NotReady},
		"more waits than when it was asked": {weight: 10, during: func(f *shardFixture) { f.shard.pending = 85 }, response: LeaseResponse{Granted: 90, Ready: true}, want: errs.OverQuota},
	} {
		t.Run(name, func(t *testing.T) {
			f := newShardFixture(t)
			got := f.submit(c.weight)
			token, _ := f.takeLeaseRequest()
			if c.during != nil {
				c.during(f)
			}
			if token != 0 {
				f.calls.ReplyReceived(token, c.response, c.err, f.now)
			}
			if !errs.Is(got.err, c.want) {
				t.Errorf("ended with %v", got.err)
			}
		})
	}
}

// A batch whose report was superseded is asked for again, and rejected when that goes on.
func TestSupersededBatchRequestsAreRetriedUpToLimit(t *testing.T) {
	f := newShardFixture(t)
	got := f.submit(10)
	requests := 0
	for token, _ := f.takeLeaseRequest(); token != 0; token, _ = f.takeLeaseRequest() {
		requests++
		f.answerUsageRequest(UsageRequest{Name: clientBatchAccount, Shards: []int{0}}, f.now)
		f.calls.ReplyReceived(token, LeaseResponse{Granted: 90, Ready: true}, nil, f.now)
	}
	if requests != maxLeaseRequests || !errs.Is(got.err, errs.NotReady) || f.shard.pending != 20 {
		t.Errorf("%d requests, then %+v, %d wait", requests, got, f.shard.pending)
	}
}
