// Program edge is the edge daemon: it carries callers' traffic (DESIGN §7).
package main

import (
	"fmt"
	"os"

	"tuliprudder/daemon/host"
	"tuliprudder/daemon/machines"
	"tuliprudder/daemon/roles"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/settings"
	"tuliprudder/membership/identity"
	"tuliprudder/path/gate"
)

func main() {
	var common settings.Common
	var bounds host.Bounds
	set := machines.EdgeDefaults()
	settings := settings.New("edge")
	settings.Common(&common, false)
	bounds.Settings(settings)
	mostWaiting := int64(set.Scheduler.MostWaiting)
	settings.Int(&mostWaiting, "most-waiting", mostWaiting, 1, 1_000_000, "live orders that may wait here")
	settings.Int(&set.Scheduler.Staleness, "staleness-us", set.Scheduler.Staleness, 500_000, 10_000_000, "age of the news past which orders are turned away")
	settings.Int(&set.PollEvery, "poll-every-us", set.PollEvery, 50_000, 10_000_000, "between two readings of a server's pages")
	settings.Former("scout-every-us", "poll-every-us")
	settings.Check(func() {
		if common.Data != "" {
			settings.Fault("-data %q: an edge keeps nothing on disk; leave it out", common.Data)
		}
	})
	settings.MustParse(os.Args[1:])
	set.Scheduler.MostWaiting = int(mostWaiting)
	if err := run(common, bounds, set); err != nil {
		fmt.Fprintln(os.Stderr, "edge:", err)
		os.Exit(1)
	}
}

func run(common settings.Common, bounds host.Bounds, set machines.EdgeSettings) error {
	l, err := host.Open("edge", identity.Edge, common, bounds)
	if err != nil {
		return err
	}
	edge := roles.NewEdge(l, set)
	front := &gate.Gate{Set: gate.Defaults(), Machine: l.Loop.AskUntil, Word: l.Loop.Notify, Clock: l.Loop.Now}
	front.Routes(l.HTTP)
	l.Admin.Ready = func() (why string) {
		l.Loop.WithMachine(func(now clock.Micros) {
			switch {
			case edge.Scheduler.Plan() == nil:
				why = "no plan has arrived yet"
			case !edge.Reader.Ready():
				why = "not every slot has a store yet"
			case !edge.Scheduler.Fresh(now):
				why = "the news are old"
			}
		})
		return why
	}
	l.OnDrain(func() {
		l.Loop.Notify(machines.Close{})
		host.Wait(6*clock.Second, func() bool { return l.HTTP.Open() == 0 })
	})
	return l.Run()
}
