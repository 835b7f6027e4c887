package quota

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
)

// waiter waits for room in a share.
type waiter struct {
	count     int
	allowance int64
	plan      uint64
	asked     bool // the ask under way is for this one too
	back      func(release Release, err error, now clock.Micros)
}

func (q *Quota) share(customer string) *Share {
	s := q.shares[customer]
	if s == nil {
		s = &Share{}
		q.shares[customer] = s
	}
	return s
}

// waitingHere is what waits here of a customer without having been taken.
func (q *Quota) waitingHere(customer string) int {
	if q.Waiting == nil {
		return 0
	}
	return q.Waiting(customer)
}

// held is all that waits here of a customer.
func (q *Quota) held(s *Share, customer string) int { return s.InUse + q.waitingHere(customer) }

const lendExpiry = 600 * clock.Millisecond

// failedFor is how long nobody asks again after an ask that failed: those who
// wait behind it are rejected at once.
const failedFor = 400 * clock.Millisecond

// maxWaiters is how many may wait for one customer's ask; more are rejected.
const maxWaiters = 4096

// Take reserves waiting work; back is told once. An error turns the order away,
// and nothing of it has run or will.
func (q *Quota) Take(customer string, allowance int64, plan uint64, count int, now clock.Micros, back func(Release, error, clock.Micros)) {
	if int64(count) > allowance {
		back(nil, errs.New(errs.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d at once are more than the whole allowance of %d", count, allowance), now)
		return
	}
	s := q.share(customer)
	if q.Boundless || s.Room(count+q.waitingHere(customer), now) {
		s.Take(count)
		back(q.releaser(customer, count), nil, now)
		return
	}
	if now-s.failed < failedFor || len(q.waiters[customer]) >= maxWaiters {
		q.Refused++
		back(nil, unreachable(), now)
		return
	}
	q.waiters[customer] = append(q.waiters[customer], &waiter{count: count, allowance: allowance, plan: plan, back: back})
	q.ask(customer, now)
}

func unreachable() error {
	return errs.Later(errs.NotReady, clock.Second, "come back after the time given", "the customer's account can't be reached")
}

func (q *Quota) releaser(customer string, count int) Release {
	given := false
	return func(now clock.Micros) {
		if !given {
			given = true
			q.share(customer).Release(count, now)
		}
	}
}

// ask asks the holder for all who wait, one ask at a time for each customer:
// those who come meanwhile may find room.
func (q *Quota) ask(customer string, now clock.Micros) {
	takers := q.waiters[customer]
	if q.asking[customer] || len(takers) == 0 {
		return
	}
	s, sum := q.share(customer), 0
	last := takers[len(takers)-1]
	for _, t := range takers {
		t.asked = true
		sum += t.count
	}
	held := q.held(s, customer)
	ask := LendRequest{Customer: customer, Borrower: q.Self, Epoch: s.Epoch, Held: held, Want: held + sum + int(last.allowance/128), Allowance: last.allowance, Plan: last.plan}
	q.lastAsked[customer] = ask
	q.lend(ask, now, func(answer LendAnswer, err error, now clock.Micros) { q.admitWaiters(customer, answer, err, now) })
}

// admitWaiters lets those in who fit now, and rejects those the ask was for.
func (q *Quota) admitWaiters(customer string, answer LendAnswer, err error, now clock.Micros) {
	s := q.share(customer)
	if err != nil {
		s.failed = now
	}
	takers := q.waiters[customer]
	delete(q.waiters, customer)
	var later []*waiter
	for _, t := range takers {
		switch {
		case err == nil && s.Room(t.count+q.waitingHere(customer), now):
			s.Take(t.count)
			t.back(q.releaser(customer, t.count), nil, now)
		case !t.asked && err == nil:
			later = append(later, t)
		case err != nil:
			q.Refused++
			t.back(nil, unreachable(), now)
		case !answer.Ready:
			q.Refused++
			t.back(nil, errs.Later(errs.NotReady, clock.Second, "come back after the time given", "the customer's account passes to another daemon"), now)
		default:
			q.Refused++
			t.back(nil, errs.Later(errs.OverAllowance, s.After(t.count, now), "come back after the time given, or buy a larger allowance",
				"%d more would take customer %s over its allowance of %d waiting", t.count, customer, t.allowance), now)
		}
	}
	q.waiters[customer] = append(later, q.waiters[customer]...)
	if len(q.waiters[customer]) == 0 {
		delete(q.waiters, customer)
	}
	q.ask(customer, now)
}

// lend asks the holder and takes its answer.
func (q *Quota) lend(ask LendRequest, asked clock.Micros, back func(LendAnswer, error, clock.Micros)) {
	q.asking[ask.Customer] = true
	take := func(answer LendAnswer, err error, now clock.Micros) {
		delete(q.asking, ask.Customer)
		if err == nil && !q.share(ask.Customer).Lent(answer.Epoch, answer.Granted, asked) {
			err = errs.New(errs.NotReady, "ask again", "the holder's epoch is behind")
		}
		back(answer, err, now)
	}
	id, peer := q.holder(ask.Customer)
	switch id {
	case "":
		take(LendAnswer{}, errs.New(errs.NotReady, "start an edge", "no live edge holds accounts"), asked)
	case q.Self:
		q.Lend(ask, asked, func(answer LendAnswer, now clock.Micros) { take(answer, nil, now) })
	default:
		q.Wire.Ask(peer, ask, lendExpiry, func(body any, err error, now clock.Micros) {
			answer, _ := body.(LendAnswer)
			take(answer, err, now)
		})
	}
}

// Holdings is the borrower's answer to a new holder: from here on the old one's
// loans count only as far as they are in use.
func (q *Quota) Holdings(ask HoldingsRequest) Holdings {
	s := q.share(ask.Customer)
	if !s.Fence(ask.Epoch) {
		return Holdings{Stale: true, Epoch: s.Epoch}
	}
	return Holdings{Held: q.held(s, ask.Customer), Epoch: ask.Epoch}
}

// Told notes waiting work that came by other ways (a takeover), so that it is
// told at the next renewal.
func (q *Quota) Told(customer string, allowance int64, plan uint64) {
	if _, known := q.lastAsked[customer]; !known {
		q.lastAsked[customer] = LendRequest{Customer: customer, Borrower: q.Self, Allowance: allowance, Plan: plan}
	}
}
