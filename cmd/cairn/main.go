// Program cairn is the core daemon (DESIGN §5).
package main

import (
	"fmt"
	"os"

	"tuliprudder/acquaintance/people"
	"tuliprudder/core/planbook"
	"tuliprudder/core/summit"
	"tuliprudder/daemon/lodge"
	"tuliprudder/daemon/planes"
	"tuliprudder/daemon/porter"
	"tuliprudder/kernel/rucksack"
	"tuliprudder/kernel/sundial"
)

func main() {
	var common rucksack.Common
	var bounds lodge.Bounds
	set := summit.Defaults()
	settings := rucksack.New("cairn")
	settings.Common(&common, true)
	bounds.Settings(settings)
	slots := int64(set.Slots)
	settings.Int(&slots, "slots", slots, 1, 1024, "slots of a fleet that is being founded")
	settings.Int(&set.StoreSilent, "store-silent-us", set.StoreSilent, 500_000, 60_000_000, "silence after which a store counts as gone, with a second witness")
	settings.Int(&set.CoreSilent, "core-silent-us", set.CoreSilent, 500_000, 60_000_000, "silence after which a core counts as gone")
	settings.Int(&set.ReplaceAfter, "replace-after-us", set.ReplaceAfter, 1_000_000, 3_600_000_000, "silence after which a core's seat passes on")
	settings.MustParse(os.Args[1:])
	set.Slots, set.CheckPlan = int(slots), planbook.Check
	if err := run(common, bounds, set); err != nil {
		fmt.Fprintln(os.Stderr, "cairn:", err)
		os.Exit(1)
	}
}

func run(common rucksack.Common, bounds lodge.Bounds, set summit.Settings) error {
	l, err := lodge.Open("cairn", people.Cairn, common, bounds)
	if err != nil {
		return err
	}
	room, records, err := porter.OpenRoom(common.Data)
	if err != nil {
		return err
	}
	core := summit.New(summit.CoreRef{ID: l.Who.ID, Peer: common.Peer, Zone: common.Zone}, l.Who.Life, common.Seeds, set, records)
	if core.BadRecord != nil {
		return core.BadRecord
	}
	l.Porter.Carry(planes.NewCore(core), room)
	l.Office.Ready = func() (why string) {
		l.Porter.Inside(func(sundial.Micros) {
			if core.Oath().Done.Epoch == 0 {
				why = "the cores have not founded a fleet yet"
			}
		})
		return why
	}
	l.Office.Counters = func() map[string]int64 {
		out := map[string]int64{}
		l.Porter.Inside(func(sundial.Micros) {
			out["core_epoch"], out["core_claims"], out["core_takeovers"], out["core_changes"] = int64(core.Oath().Granted), core.Claims, core.Takeovers, core.Changes
			if core.Serving() {
				out["core_primary"] = 1
				for _, pairing := range core.Chart().Slots {
					if !pairing.Complete {
						out["slots_with_one_copy"]++
					}
				}
			}
		})
		return out
	}
	return l.Run()
}
