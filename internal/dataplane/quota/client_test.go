package quota

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// clientFixture is a store's quota whose accounts are owned by an edge, which is the
// test.
type clientFixture struct {
	*Quota
	t     *testing.T
	calls *machine.Calls
	now   clock.Micros
}

func newClientFixture(t *testing.T) *clientFixture {
	t.Helper()
	f := &clientFixture{t: t, calls: machine.NewCalls(), now: 10 * clock.Second}
	members := []membership.Member{{ID: "edge", Kind: membership.Edge, Peer: "owner"}, {ID: "store", Kind: membership.Store, Peer: "s"}}
	f.Quota = New("store", f.calls, func() []membership.Member { return members }, nil)
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
	f.Reserve(TenantQuota{Tenant: "c", Limit: 100, ConfigurationVersion: 1}, count, f.now, func(release Release, err error, _ clock.Micros) {
		*out = reservation{done: true, release: release, err: err}
	})
	return out
}

// sent is the lease request that was sent; its token is 0 where there was none.
func (f *clientFixture) sent() (uint64, LeaseRequest) {
	for _, effect := range f.calls.Drain() {
		if request, ok := effect.(machine.Request); ok {
			return request.Token, request.Body.(LeaseRequest)
		}
	}
	return 0, LeaseRequest{}
}

func TestOneLeaseRequestServesAllThatWait(t *testing.T) {
	f := newClientFixture(t)
	first := f.reserve(10)
	token, request := f.sent()
	if request.InUse != 0 || request.Wanted != 10 || request.DaemonID != "store" || request.Quota != 100 {
		t.Fatalf("requested %+v", request)
	}
	second, third := f.reserve(5), f.reserve(20)
	if token, _ := f.sent(); token != 0 {
		t.Fatal("a second request was sent beside the first")
	}
	f.calls.ReplyReceived(token, LeaseResponse{Epoch: 1, Granted: 16, Ready: true}, nil, f.now)
	if !first.done || first.err != nil || !second.done || second.err != nil {
		t.Errorf("what fits was not admitted: %+v, %+v", first, second)
	}
	if third.done {
		t.Errorf("what came later must wait for a request of its own: %+v", third)
	}
	token, request = f.sent()
	if request.InUse != 15 || request.Wanted != 35 || request.Epoch != 1 {
		t.Errorf("then requested %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Epoch: 1, Granted: 15, Ready: true}, nil, f.now)
	if !errs.Is(third.err, errs.OverQuota) || f.Rejected != 1 {
		t.Errorf("what doesn't fit ended with %v", third.err)
	}
	first.release(f.now)
	first.release(f.now)
	if inUse, _ := f.Totals(f.now); inUse != 5 {
		t.Errorf("%d in use after a release that was called twice", inUse)
	}
}

func TestReservationsThatCannotBeAdmitted(t *testing.T) {
	for name, c := range map[string]struct {
		count    int
		response any
		err      error
		want     errs.Kind
	}{
		"more than the quota at once": {101, nil, nil, errs.OverQuota},
		"the quota is used up":        {10, LeaseResponse{Epoch: 1, Granted: 3, Ready: true}, nil, errs.OverQuota},
		"the account is rebuilt":      {10, LeaseResponse{Epoch: 1}, nil, errs.NotReady},
		"the owner doesn't answer":    {10, nil, errs.New(errs.NotReady, "retry", "timed out"), errs.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			f := newClientFixture(t)
			got := f.reserve(c.count)
			if token, _ := f.sent(); token != 0 {
				f.calls.ReplyReceived(token, c.response, c.err, f.now)
			}
			if !errs.Is(got.err, c.want) || got.release != nil {
				t.Errorf("ended with %v", got.err)
			}
		})
	}
}

// After a failed lease request callers are rejected at once, for a short while.
func TestAFailedLeaseRequestIsNotRepeatedAtOnce(t *testing.T) {
	f := newClientFixture(t)
	f.reserve(1)
	token, _ := f.sent()
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
func TestRenewalsGiveUnusedQuotaBack(t *testing.T) {
	f := newClientFixture(t)
	got := f.reserve(10)
	token, _ := f.sent()
	f.calls.ReplyReceived(token, LeaseResponse{Epoch: 1, Granted: 40, Ready: true}, nil, f.now)
	f.Tick(f.now)
	token, request := f.sent()
	if request.InUse != 10 || request.Wanted != 10 {
		t.Fatalf("renewed with %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Epoch: 1, Granted: 10, Ready: true}, nil, f.now)
	got.release(f.now)
	f.now += renewalInterval
	f.Tick(f.now)
	token, request = f.sent()
	if request.InUse != 0 || request.Wanted != 0 {
		t.Fatalf("then renewed with %+v", request)
	}
	f.calls.ReplyReceived(token, LeaseResponse{Epoch: 1, Granted: 0, Ready: true}, nil, f.now)
	f.now += renewalInterval
	f.Tick(f.now)
	if token, request := f.sent(); token != 0 {
		t.Errorf("renewed %+v with nothing in use", request)
	}
}
