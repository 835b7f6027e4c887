package scheduler

import (
	"container/heap"
	"container/list"
	"slices"
	"sort"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
)

// all are the orders that wait, in the order they came.
func (d *Scheduler) all() []*Order {
	var out []*Order
	for _, level := range d.openLevels() {
		for _, backlog := range d.backlogsOf(level) {
			for e := backlog.Front(); e != nil; e = e.Next() {
				out = append(out, e.Value.(*Order))
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// Waiting is how much of a customer's work waits here, by weight.
func (d *Scheduler) Waiting(customer string) int {
	return d.waiting[customer]
}

// Backlog is how many orders wait here in all.
func (d *Scheduler) Backlog() int {
	return d.count
}

// Submit puts an order into the queue; an error means it never will run.
func (d *Scheduler) Submit(o *Order, now clock.Micros) error {
	if d.closed {
		return errs.Later(errs.NotReady, clock.Second, "ask another daemon", "this daemon is draining")
	}
	if d.count >= d.set.MostWaiting {
		d.Rejected++
		return errs.Later(errs.Busy, d.After(now), "come back after the time given", "the backlog is full")
	}
	if err := d.applyPlan(o); err != nil {
		return err
	}
	if o.since == 0 {
		o.since = now
	}
	d.seq++
	o.seq = d.seq
	d.put(o)
	return nil
}

func (d *Scheduler) put(o *Order) {
	level := levelOf(o)
	if d.backlogs[level] == nil {
		d.backlogs[level] = map[*config.Route]*list.List{}
	}
	backlog := d.backlogs[level][o.Route]
	if backlog == nil {
		backlog = list.New()
		d.backlogs[level][o.Route] = backlog
	}
	o.element = backlog.PushBack(o)
	o.started, o.gone = false, false
	if o.Expiry > 0 {
		heap.Push(&d.expiries, o)
	}
	d.count++
	d.waiting[o.Customer] += o.weight()
	d.changed = true
}

// After is when the queue of now will have been worked off, by the pace of the
// latest assignments, between half a second and half a minute.
func (d *Scheduler) After(now clock.Micros) clock.Micros {
	if len(d.assignedAt) < 2 {
		return 2 * clock.Second
	}
	pace := (now - d.assignedAt[0]) / clock.Micros(len(d.assignedAt))
	return min(30*clock.Second, max(clock.Second/2, pace*clock.Micros(d.count)))
}

// Retry spends of the budget for further tries: one for every five orders that
// were assigned, so that a fault of all servers does not multiply the load.
func (d *Scheduler) Retry() bool {
	if d.retries < 1 {
		return false
	}
	d.retries--
	return true
}

// Cancel takes an order out of the queue; false when it has started, has gone, or
// never found room there.
func (d *Scheduler) Cancel(o *Order) bool {
	if o.element == nil || o.started || o.gone {
		return false
	}
	d.remove(o)
	return true
}

func (d *Scheduler) remove(o *Order) {
	level := levelOf(o)
	backlog := d.backlogs[level][o.Route]
	backlog.Remove(o.element)
	if backlog.Len() == 0 {
		delete(d.backlogs[level], o.Route)
	}
	if o.Expiry > 0 {
		heap.Remove(&d.expiries, o.heapIndex)
	}
	o.gone = true
	d.count--
	if d.waiting[o.Customer] -= o.weight(); d.waiting[o.Customer] <= 0 {
		delete(d.waiting, o.Customer)
	}
}

// Close rejects new orders; what waits is dropped.
func (d *Scheduler) Close(now clock.Micros) {
	d.closed = true
	dropped := d.all()
	for _, o := range dropped {
		d.remove(o)
	}
	for _, o := range dropped {
		o.Drop(errs.Later(errs.NotReady, clock.Second, "ask another daemon", "this daemon is draining"), now)
	}
}

// removeLive takes the live orders out of a queue whose daemon does not hear most of
// the fleet: elsewhere their customers' allowance is lent anew. Items of bundles
// were accepted, and wait on.
func (d *Scheduler) removeLive() []*Order {
	var out []*Order
	for _, o := range d.all() {
		if !o.Bundle {
			d.remove(o)
			out = append(out, o)
		}
	}
	return out
}

// openLevels lists the levels that have orders, highest first.
func (d *Scheduler) openLevels() []int64 {
	out := make([]int64, 0, len(d.backlogs))
	for level, routes := range d.backlogs {
		if len(routes) > 0 {
			out = append(out, level)
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// backlogsOf lists a level's backlogs, the one whose first order came first in front.
func (d *Scheduler) backlogsOf(level int64) []*list.List {
	out := make([]*list.List, 0, len(d.backlogs[level]))
	for _, backlog := range d.backlogs[level] {
		out = append(out, backlog)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Front().Value.(*Order).seq < out[j].Front().Value.(*Order).seq
	})
	return out
}

// expiries is the heap of orders that expire.
type expiries []*Order

func (e expiries) Len() int { return len(e) }

func (e expiries) Less(i, j int) bool { return e[i].Expiry < e[j].Expiry }

func (e expiries) Swap(i, j int) { e[i], e[j] = e[j], e[i]; e[i].heapIndex, e[j].heapIndex = i, j }

// Push and Pop are the heap's.
func (e *expiries) Push(x any) {
	o := x.(*Order)
	o.heapIndex = len(*e)
	*e = append(*e, o)
}

// Pop takes the last.
func (e *expiries) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
