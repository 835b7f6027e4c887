// Program store is the store daemon: it keeps ledgers and runs their items
// (DESIGN §6).
package main

import (
	"fmt"
	"os"

	"tuliprudder/daemon/host"
	"tuliprudder/daemon/roles"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/settings"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/identity"
)

func main() {
	var common settings.Common
	var bounds host.Bounds
	set := store.Defaults()
	settings := settings.New("store")
	settings.Common(&common, true)
	bounds.Settings(settings)
	mostItems := int64(set.MostItems)
	settings.Int(&mostItems, "most-items", mostItems, 1, 10_000_000, "items of bundles that may wait here")
	settings.Int(&set.KeepDone, "keep-done-us", set.KeepDone, 60_000_000, 365*86_400_000_000, "how long a finished bundle stays readable")
	settings.MustParse(os.Args[1:])
	set.MostItems = int(mostItems)
	if err := run(common, bounds, set); err != nil {
		fmt.Fprintln(os.Stderr, "store:", err)
		os.Exit(1)
	}
}

func run(common settings.Common, bounds host.Bounds, set store.Settings) error {
	l, err := host.Open("store", identity.Store, common, bounds)
	if err != nil {
		return err
	}
	daemon, err := roles.NewStore(l, set)
	if err != nil {
		return err
	}
	books := daemon.Ledger
	plant(books, daemon.Folder, common.Data)
	l.OnDrain(func() {
		l.Loop.Notify(store.Drain{})
		host.Wait(7*clock.Second, func() (gone bool) {
			l.Loop.WithMachine(func(clock.Micros) { gone = books.Owned() == 0 })
			return gone
		})
	})
	return l.Run()
}
