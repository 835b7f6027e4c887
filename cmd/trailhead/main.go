// Program trailhead is the edge daemon: it carries callers' traffic (DESIGN §7).
package main

import (
	"fmt"
	"os"

	"tuliprudder/acquaintance/people"
	"tuliprudder/daemon/lodge"
	"tuliprudder/kernel/rucksack"
	"tuliprudder/kernel/sundial"
	"tuliprudder/path/dispatch"
	"tuliprudder/path/gate"
	"tuliprudder/path/guestbook"
	"tuliprudder/path/purse"
	"tuliprudder/path/reader"
	"tuliprudder/path/scouts"
)

func main() {
	var common rucksack.Common
	var bounds lodge.Bounds
	set := dispatch.Defaults()
	settings := rucksack.New("trailhead")
	settings.Common(&common, false)
	bounds.Settings(settings)
	mostWaiting, scoutEvery := int64(set.MostWaiting), 400*sundial.Millisecond
	settings.Int(&mostWaiting, "most-waiting", mostWaiting, 1, 1_000_000, "live orders that may wait here")
	settings.Int(&set.Staleness, "staleness-us", set.Staleness, 500_000, 10_000_000, "age of the news past which orders are turned away")
	settings.Int(&scoutEvery, "scout-every-us", scoutEvery, 50_000, 10_000_000, "between two readings of a server's pages")
	settings.Check(func() {
		if common.Data != "" {
			settings.Fault("-data %q: an edge keeps nothing on disk; leave it out", common.Data)
		}
	})
	settings.MustParse(os.Args[1:])
	set.MostWaiting = int(mostWaiting)
	if err := run(common, bounds, set, scoutEvery); err != nil {
		fmt.Fprintln(os.Stderr, "trailhead:", err)
		os.Exit(1)
	}
}

func run(common rucksack.Common, bounds lodge.Bounds, set dispatch.Settings, scoutEvery sundial.Micros) error {
	l, err := lodge.Open("trailhead", people.Trailhead, common, bounds)
	if err != nil {
		return err
	}
	backlog := dispatch.New(set, l.Porter.Now, int64(l.Who.Life))
	lists := reader.New(l.Porter.Bridge.Ask)
	l.Path(backlog, lists)
	shares := purse.New(l.Who.ID, l.Porter, l.Porter.Bridge.Ask, nil)
	l.Porter.OnAsk(shares.Answer)
	l.Office.Purse = shares
	l.Hut.Register("purse", shares)
	front := &gate.Gate{Set: gate.Defaults(), Dispatch: backlog, Reader: lists, Purse: shares,
		Ask: l.Porter.Bridge.Ask, Clock: l.Porter.Now, Log: l.Log, Name: l.Who.ID, Book: guestbook.New(8192)}
	l.Office.Book = front.Book
	front.Routes(l.Porch)
	l.Hut.Register("scouts", &scouts.Scouts{Self: l.Who.ID, News: l.Porter, Dispatch: backlog, Every: scoutEvery})
	l.Office.Ready = func() string {
		switch {
		case backlog.Plan() == nil:
			return "no plan has arrived yet"
		case !lists.Ready():
			return "not every slot has a keeper yet"
		case !backlog.Fresh():
			return "the news are old"
		}
		return ""
	}
	l.Office.Counters = func() map[string]int64 {
		held, lent := shares.Totals()
		return map[string]int64{"shares_held": held, "shares_lent": lent, "over_allowance": shares.Refused, "backlog": int64(backlog.Backlog()), "assigned": backlog.Assigned, "expired": backlog.Expired, "turned_away": backlog.TurnedAway}
	}
	l.OnDrain(func() {
		backlog.Close()
		lodge.Wait(6*sundial.Second, func() bool { return l.Porch.Open() == 0 })
	})
	return l.Run()
}
