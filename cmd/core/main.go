// Program core is the core daemon (DESIGN §5).
package main

import (
	"fmt"
	"os"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/daemon/host"
	"tuliprudder/daemon/roles"
	"tuliprudder/kernel/settings"
	"tuliprudder/membership/identity"
)

func main() {
	var common settings.Common
	var bounds host.Bounds
	set := control.Defaults()
	settings := settings.New("core")
	settings.Common(&common, true)
	bounds.Settings(settings)
	slots := int64(set.Slots)
	settings.Int(&slots, "slots", slots, 1, 1024, "slots of a fleet that is being founded")
	settings.Int(&set.StoreSilent, "store-silent-us", set.StoreSilent, 500_000, 60_000_000, "silence after which a store counts as gone, with a second witness")
	settings.Int(&set.CoreSilent, "core-silent-us", set.CoreSilent, 500_000, 60_000_000, "silence after which a core counts as gone")
	settings.Int(&set.ReplaceAfter, "replace-after-us", set.ReplaceAfter, 1_000_000, 3_600_000_000, "silence after which a core's seat passes on")
	tolerance, zones := int64(set.Tolerance), int64(set.ShardZones)
	settings.Int(&tolerance, "tolerance", tolerance, 0, 4, "machines with a disk that may be lost at once; everything is kept in one copy more")
	settings.Int(&zones, "shard-zones", zones, 1, 5, "zones that the copies of a shard are in, as far as there are copies")
	settings.Flags.BoolVar(&set.Bootstrap, "bootstrap", false, "this is the first start of the whole fleet: the cores at the seeds found it")
	settings.MustParse(os.Args[1:])
	set.Tolerance, set.ShardZones = int(tolerance), int(zones)
	set.Slots, set.CheckPlan = int(slots), config.Check
	if err := run(common, bounds, set); err != nil {
		fmt.Fprintln(os.Stderr, "core:", err)
		os.Exit(1)
	}
}

func run(common settings.Common, bounds host.Bounds, set control.Settings) error {
	l, err := host.Open("core", identity.Core, common, bounds)
	if err != nil {
		return err
	}
	if _, err := roles.NewCore(l, set); err != nil {
		return err
	}
	return l.Run()
}
