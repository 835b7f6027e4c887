// Package runner runs a keeper's items on servers (DESIGN §6.3, §7): each waits
// in the backlog by its customer's rank, and is started only under a fresh
// lease.
package runner

import (
	"context"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"tuliprudder/core/planbook"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/path/dispatch"
	"tuliprudder/path/guestbook"
	"tuliprudder/path/serverline"
)

// Settings of a runner; the defaults are ours.
type Settings struct {
	MostTries int
	Silence   sundial.Micros
	MostBytes int
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostTries: 8, Silence: 4 * sundial.Second, MostBytes: 256 << 10}
}

// Runner is the store daemon's part of the path.
type Runner struct {
	set      Settings
	dispatch *dispatch.Dispatch
	clock    func() sundial.Micros
	allowed  func(slot int, bundle string, item int, now sundial.Micros) bool
	ran      func(keeper.Ran)
	log      zerolog.Logger
	Book     *guestbook.Book
	mu       sync.Mutex
	open     map[string]*job
}

type job struct {
	item   keeper.ItemOrder
	order  *dispatch.Order
	tries  int
	cancel context.CancelFunc
}

// New makes a runner.
func New(set Settings, d *dispatch.Dispatch, clock func() sundial.Micros, allowed func(int, string, int, sundial.Micros) bool, ran func(keeper.Ran), log zerolog.Logger) *Runner {
	return &Runner{set: set, dispatch: d, clock: clock, allowed: allowed, ran: ran, log: log, Book: guestbook.New(8192), open: map[string]*job{}}
}

func name(bundle string, item int) string { return bundle + "/" + strconv.Itoa(item) }

// Take is handed the keeper's work.
func (r *Runner) Take(work any) {
	switch w := work.(type) {
	case keeper.ItemOrder:
		r.take(w)
	case keeper.Revoke:
		r.revoke(w)
	}
}

func (r *Runner) take(item keeper.ItemOrder) {
	r.mu.Lock()
	if _, running := r.open[name(item.Bundle, item.Item)]; running {
		r.mu.Unlock()
		return
	}
	j := &job{item: item}
	r.open[name(item.Bundle, item.Item)] = j
	r.mu.Unlock()
	r.enrol(j, map[string]int{})
}

// enrol puts an item into the backlog. A route that is gone from the plan fails
// the item rather than leave the bundle open for ever.
func (r *Runner) enrol(j *job, avoid map[string]int) {
	plan := r.dispatch.Plan()
	var route *planbook.Route
	rank := int64(1)
	if plan != nil {
		route, _ = plan.Route(j.item.Route)
		if class := plan.ClassOf(j.item.Customer); class != nil {
			rank = class.Rank
		}
	}
	if route == nil {
		r.finish(j, keeper.Ran{Status: daybook.StatusFailed, Output: "the route is not in the plan any more"})
		return
	}
	order := &dispatch.Order{ID: name(j.item.Bundle, j.item.Item), Customer: j.item.Customer, Route: route, Rank: rank, Bundle: true,
		Prefix: route.Prefix, Avoid: avoid}
	order.Permit = func(now sundial.Micros) bool { return r.allowed(j.item.Slot, j.item.Bundle, j.item.Item, now) }
	order.Start = func(grip *dispatch.Grip) { r.run(j, order, grip, avoid) }
	order.Drop = func(error) { r.forget(j) }
	r.mu.Lock()
	j.order = order
	r.mu.Unlock()
	if err := r.dispatch.Enrol(order); err != nil {
		r.log.Warn().Err(err).Str("order", order.ID).Msg("an item found no room in the backlog")
		r.forget(j)
	}
}

func (r *Runner) forget(j *job) {
	r.mu.Lock()
	if r.open[name(j.item.Bundle, j.item.Item)] == j {
		delete(r.open, name(j.item.Bundle, j.item.Item))
	}
	r.mu.Unlock()
}

func (r *Runner) finish(j *job, ran keeper.Ran) {
	r.forget(j)
	ran.Slot, ran.Bundle, ran.Item = j.item.Slot, j.item.Bundle, j.item.Item
	r.ran(ran)
}

// run runs one item on its chosen server. An item may run again elsewhere: only
// one result is listed.
func (r *Runner) run(j *job, order *dispatch.Order, grip *dispatch.Grip, avoid map[string]int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	j.cancel = cancel
	stillOpen := r.open[order.ID] == j
	r.mu.Unlock()
	if !stillOpen {
		grip.Release(0, true)
		return
	}
	var output strings.Builder
	outcome, err := serverline.Run(ctx, serverline.Request{Address: grip.Server.Address, Order: order.ID, Model: order.Route.Model,
		Prefix: order.Route.Prefix, Input: j.item.Input, MaxTokens: order.Route.MaxTokens, Priority: r.dispatch.Priority(order), Silence: r.set.Silence}, func(piece string) error {
		if output.Len()+len(piece) > r.set.MostBytes {
			return mishap.New(mishap.TooLarge, "lower max_tokens of the route", "the result is over %d bytes", r.set.MostBytes)
		}
		output.WriteString(piece)
		return nil
	})
	took := r.clock() - grip.Started
	try := guestbook.Try{Server: grip.Server.Name, Marks: grip.Marks, At: grip.Started, Took: took, Outcome: outcome.String()}
	if err != nil {
		try.Error = err.Error()
	}
	r.Book.Begin(guestbook.Story{Order: order.ID, Customer: order.Customer, Route: order.Route.Name, Rank: order.Rank, Arrived: j.item.Enrolled})
	r.Book.Tried(order.ID, try)
	if outcome == serverline.Complete {
		grip.Release(took, true)
		r.finish(j, keeper.Ran{Status: daybook.StatusOK, Output: output.String(), Server: grip.Server.Name})
		return
	}
	if ctx.Err() != nil && err != nil && j.revoked(r) {
		grip.Release(0, true)
		return
	}
	grip.Release(0, outcome == serverline.Rejected)
	j.tries++
	if outcome == serverline.Rejected || j.tries >= r.set.MostTries {
		r.finish(j, keeper.Ran{Status: daybook.StatusFailed, Output: "no server finished it: " + err.Error(), Server: grip.Server.Name})
		return
	}
	avoid[grip.Server.Name]++
	r.enrol(j, avoid)
}

func (j *job) revoked(r *Runner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[name(j.item.Bundle, j.item.Item)] != j
}

// revoke drops what waits or runs of a bundle or of a slot.
func (r *Runner) revoke(w keeper.Revoke) {
	r.mu.Lock()
	var orders []*dispatch.Order
	var cancels []context.CancelFunc
	for key, j := range r.open {
		if (w.Slot >= 0 && j.item.Slot == w.Slot) || (w.Bundle != "" && j.item.Bundle == w.Bundle) {
			delete(r.open, key)
			if j.order != nil {
				orders = append(orders, j.order)
			}
			if j.cancel != nil {
				cancels = append(cancels, j.cancel)
			}
		}
	}
	r.mu.Unlock()
	for _, order := range orders {
		r.dispatch.Cancel(order)
	}
	for _, cancel := range cancels {
		cancel()
	}
}

// Open is how many items wait or run.
func (r *Runner) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}
