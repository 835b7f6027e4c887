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

// clientFixture is the Quota of an edge, or of a store that serves shard 0. Other daemons own the
// accounts; the test plays their part.
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

// reservation is the outcome of a Reserve or ReserveInShard.
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

// takeLeaseRequest returns the next lease request that was sent, with its token; the token is 0 if
// there is none. It discards all other effects.
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
		t.Fatal("a second request was sent while the first was in progress")
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 16, Ready: true}, nil, f.now)
	if !first.done || first.err != nil || !second.done || second.err != nil {
		t.Errorf("reservations that fit were not admitted: %+v, %+v", first, second)
	}
	if third.done {
		t.Errorf("a reservation made during the request did not wait for a request of its own: %+v", third)
	}
	token, request = f.takeLeaseRequest()
	// 15 are in use, and one more may still be admitted.
	if request.Report.InUse != 16 || request.Wanted != 35 || request.Report.Account.Epoch != 1 {
		t.Errorf("the next request is %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 15, Ready: true}, nil, f.now)
	if !errs.Is(third.err, errs.OverQuota) || f.Rejected != 1 {
		t.Errorf("the reservation that does not fit ended with %v", third.err)
	}
	first.release(f.now)
	first.release(f.now)
	if inUse, _ := f.Totals(f.now); inUse != 5 {
		t.Errorf("%d in use after a duplicate release", inUse)
	}
}

func TestReservationErrors(t *testing.T) {
	for name, c := range map[string]struct {
		count    int
		response any
		err      error
		want     errs.Kind
	}{
		"larger than the quota": {101, nil, nil, errs.OverQuota},
		"quota used up":         {10, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 3, Ready: true}, nil, errs.OverQuota},
		"account being rebuilt": {10, LeaseResponse{Account: AccountID{Epoch: 1}}, nil, errs.NotReady},
		"owner does not answer": {10, nil, errs.New(errs.NotReady, "retry", "timed out"), errs.NotReady},
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

// After a failed lease request reservations are rejected immediately, until failureBackoff has
// passed.
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

// A renewal reports what is in use and returns the rest of the lease; renewals end when nothing is
// in use.
func TestRenewalReturnsUnusedQuota(t *testing.T) {
	f := newClientFixture(t)
	got := f.reserve(10)
	token, _ := f.takeLeaseRequest()
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 40, Ready: true}, nil, f.now)
	f.Tick(f.now)
	token, request := f.takeLeaseRequest()
	if request.Report.InUse != 10 || request.Wanted != 10 {
		t.Fatalf("the renewal is %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 10, Ready: true}, nil, f.now)
	got.release(f.now)
	f.now += renewalInterval
	f.Tick(f.now)
	token, request = f.takeLeaseRequest()
	if request.Report.InUse != 0 || request.Wanted != 0 {
		t.Fatalf("the next renewal is %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 1}, Granted: 0, Ready: true}, nil, f.now)
	f.now += renewalInterval
	f.Tick(f.now)
	if token, request := f.takeLeaseRequest(); token != 0 {
		t.Errorf("renewal %+v with nothing in use", request)
	}
}

// A grant is used only if it answers the latest report: after an owner's usage request the grant
// for the earlier report is discarded, and the waiting reservations are requested again.
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
		t.Fatalf("the next request is %+v", second)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Account: AccountID{Epoch: 2}, Granted: 10, Ready: true}, nil, f.now)
	if !got.done || got.err != nil {
		t.Errorf("%+v", got)
	}
}

// fakeShards are the shards of a store that serves shard 0.
type fakeShards struct {
	epoch   uint64 // 0 while the store does not serve it
	pending int
}

func (s *fakeShards) ServingEpoch(int, clock.Micros) (uint64, bool) { return s.epoch, s.epoch > 0 }
func (s *fakeShards) PendingWeight(int, shard.AccountName) int      { return s.pending }
func (s *fakeShards) PendingWeights(clock.Micros) map[shard.AccountName]int {
	return map[shard.AccountName]int{clientBatchAccount: s.pending}
}

// shardFixture is a clientFixture for a store with batches.
type shardFixture struct {
	*clientFixture
	shard *fakeShards
}

func newShardFixture(t *testing.T) *shardFixture {
	f := &shardFixture{newClientFixture(t), &fakeShards{epoch: 3, pending: 20}}
	f.Shards = f.shard
	return f
}

// submit reserves quota for a batch, which is pending in the shard once it is admitted.
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
		t.Fatal("a second request was sent while the first was in progress")
	}
	f.calls.ReplyReceived(token, LeaseResponse{Granted: 50, Ready: true}, nil, f.now)
	if !first.done || first.err != nil || second.done {
		t.Fatalf("%+v %+v", first, second)
	}
	token, request = f.takeLeaseRequest()
	if request.Report.InUse != 50 || request.Wanted != 100 {
		t.Fatalf("the next request is %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Granted: 90, Ready: true}, nil, f.now)
	if !errs.Is(second.err, errs.OverQuota) {
		t.Errorf("the reservation that does not fit ended with %v", second.err)
	}
	// The part of the grant that the batch does not use is not kept.
	third := f.submit(40)
	if third.done {
		t.Errorf("a batch was admitted without a new grant: %+v", third)
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
		"larger than the quota":                        {weight: 101, want: errs.OverQuota},
		"quota used up":                                {weight: 10, response: LeaseResponse{Granted: 25, Ready: true}, want: errs.OverQuota},
		"account being rebuilt":                        {weight: 10, response: LeaseResponse{Granted: 20}, want: errs.NotReady},
		"owner does not answer":                        {weight: 10, err: errOwnerUnreachable(), want: errs.NotReady},
		"shard moved during the request":               {weight: 10, during: func(f *shardFixture) { f.shard.epoch = 0 }, response: LeaseResponse{Granted: 90, Ready: true}, want: errs.NotReady},
		"shard moved away and back during the request": {weight: 10, during: func(f *shardFixture) { f.shard.epoch = 5 }, response: LeaseResponse{Granted: 90, Ready: true}, want: errs.NotReady},
		"more work pending than at the request":        {weight: 10, during: func(f *shardFixture) { f.shard.pending = 85 }, response: LeaseResponse{Granted: 90, Ready: true}, want: errs.OverQuota},
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

// A lease request for a batch whose report was superseded is retried, and the batch is rejected
// after maxLeaseRequests requests.
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
		t.Errorf("%d requests, outcome %+v, pending weight %d", requests, got, f.shard.pending)
	}
}
