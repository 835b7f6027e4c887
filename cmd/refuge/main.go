// Program refuge is the store daemon: it keeps ledgers and runs their items
// (DESIGN §6).
package main

import (
	"fmt"
	"os"

	"tuliprudder/acquaintance/people"
	"tuliprudder/daemon/lodge"
	"tuliprudder/daemon/planes"
	"tuliprudder/daemon/porter"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/rucksack"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/keeper"
	"tuliprudder/path/dispatch"
	"tuliprudder/path/purse"
	"tuliprudder/path/runner"
)

func main() {
	var common rucksack.Common
	var bounds lodge.Bounds
	set := keeper.Defaults()
	settings := rucksack.New("refuge")
	settings.Common(&common, true)
	bounds.Settings(settings)
	mostItems := int64(set.MostItems)
	settings.Int(&mostItems, "most-items", mostItems, 1, 10_000_000, "items of bundles that may wait here")
	settings.Int(&set.KeepDone, "keep-done-us", set.KeepDone, 60_000_000, 365*86_400_000_000, "how long a finished bundle stays readable")
	settings.MustParse(os.Args[1:])
	set.MostItems = int(mostItems)
	if err := run(common, bounds, set); err != nil {
		fmt.Fprintln(os.Stderr, "refuge:", err)
		os.Exit(1)
	}
}

func run(common rucksack.Common, bounds lodge.Bounds, set keeper.Settings) error {
	l, err := lodge.Open("refuge", people.Refuge, common, bounds)
	if err != nil {
		return err
	}
	room, records, err := porter.OpenRoom(common.Data)
	if err != nil {
		return err
	}
	shelf, err := porter.OpenShelf(common.Data)
	if err != nil {
		return err
	}
	l.Porter.Shelf = shelf
	books := keeper.New(keeper.Self{ID: l.Who.ID, Zone: common.Zone, Peer: common.Peer, Life: l.Who.Life}, set, records, shelf)
	if books.BadRecord != nil {
		return books.BadRecord
	}
	plant(books, room, common.Data)
	books.Damaged = func(err error) {
		l.Log.Error().Err(err).Msg("a shelved bundle can't be read; ending, so that the pair's other end serves")
		os.Exit(3)
	}
	ledger := planes.NewLedger(books)
	l.Porter.Carry(ledger, room)
	pathSet := dispatch.Defaults()
	pathSet.MostWaiting = 2*set.MostItems + 1000 // the keeper's own bound comes first
	backlog := dispatch.New(pathSet, l.Porter.Now, int64(l.Who.Life))
	allowed := func(slot int, bundle string, item int, now sundial.Micros) (ok bool) {
		l.Porter.Inside(func(now sundial.Micros) { ok = books.Allowed(slot, bundle, item, now) })
		return ok
	}
	ran := func(word keeper.Ran) {
		for !l.Porter.Do(func(now sundial.Micros) []stride.Effect { return books.Do(word, now) }) {
			if !lodge.Wait(sundial.Second, func() bool { return true }) {
				return
			}
		}
	}
	items := runner.New(runner.Defaults(), backlog, l.Porter.Now, allowed, ran, l.Log)
	shares := purse.New(l.Who.ID, l.Porter, l.Porter.Bridge.Ask, backlog.Waiting)
	l.Office.Purse = shares
	l.Hut.Register("purse", shares)
	l.Porter.OnAsk(func(body any) (any, error, bool) {
		if ask, ok := body.(keeper.EnrolAsk); ok {
			answer, err := enrol(l, backlog, shares, ask)
			return answer, err, true
		}
		return shares.Answer(body)
	})
	l.Porter.OnWork(func(work any) {
		if item, ok := work.(keeper.ItemOrder); ok {
			if plan := backlog.Plan(); plan != nil {
				if class := plan.ClassOf(item.Customer); class != nil {
					shares.Told(item.Customer, class.Allowance, plan.Version)
				}
			}
		}
		items.Take(work)
	})
	l.Office.Book = items.Book
	l.Path(backlog, nil)
	l.Office.Ready = func() (why string) {
		l.Porter.Inside(func(sundial.Micros) {
			if books.Writer() == 0 {
				why = "the core has not given this store a writer id yet"
			}
		})
		return why
	}
	l.Office.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Porter.Inside(func(now sundial.Micros) {
			out["copies_missing"], out["oldest_unannounced_us"] = books.AtRisk(now)
			out["entries_confirmed"], out["reads"] = books.Entries, books.Reads
			out["bundles_shelved"] = books.Shelved
			out["disk_wait_us"] = books.DiskWait(now)
			out["rows_listed"], out["bundles_enrolled"], out["outcomes_unknown"], out["takeovers"] = books.Listed, books.Enrolled, books.Unknown, books.Takeovers
		})
		out["shares_held"], out["shares_lent"] = shares.Totals()
		out["over_allowance"] = shares.Refused
		out["backlog"], out["items_open"] = int64(backlog.Backlog()), int64(items.Open())
		return out
	}
	l.OnDrain(func() {
		l.Porter.Do(func(now sundial.Micros) []stride.Effect { return books.Do(keeper.Drain{}, now) })
		lodge.Wait(7*sundial.Second, func() (gone bool) {
			l.Porter.Inside(func(sundial.Micros) { gone = books.Owned() == 0 })
			return gone
		})
	})
	return l.Run()
}

// enrol takes shares for a bundle's items before anything is written: from then
// on they count as waiting until they start. A repeated key needs none.
func enrol(l *lodge.Lodge, backlog *dispatch.Dispatch, shares *purse.Purse, ask keeper.EnrolAsk) (any, error) {
	got, err := l.Porter.AskHere(keeper.StatusAsk{Slot: ask.Slot, Bundle: ask.Bundle.ID, Customer: ask.Bundle.Customer})
	if err != nil && !mishap.Is(err, mishap.NotFound) {
		return nil, err
	}
	if _, known := got.(keeper.Status); known {
		return l.Porter.AskHere(ask)
	}
	plan := backlog.Plan()
	if plan == nil {
		return nil, mishap.Later(mishap.NotReady, sundial.Second, "ask again; the store has just started", "no plan has arrived at the keeper yet")
	}
	class := plan.ClassOf(ask.Bundle.Customer)
	if class == nil {
		return nil, mishap.New(mishap.Unauthorised, "have the operators add the customer to the plan", "the plan has no customer %q", ask.Bundle.Customer)
	}
	release, err := shares.Take(ask.Bundle.Customer, class.Allowance, plan.Version, len(ask.Bundle.Items))
	if err != nil {
		return nil, err
	}
	defer release()
	return l.Porter.AskHere(ask)
}
