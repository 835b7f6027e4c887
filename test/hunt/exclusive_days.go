package hunt

import "fmt"

// Days on which API keys are taken away and acts have to be performed by one node, while those that do it
// are killed, frozen and cut off (docs/notes/duties.md).

// exclusiveDays are what happens on such days beside the load.
var exclusiveDays = dayFamily{name: "exclusive", addToAll: addLoadOfExclusiveDays, kinds: []dayKind{
	{"keys", addKeyChanges},
	{"actors", addActorFaults},
	{"platform", addPlatformFaults},
	{"control", addControlFaults},
	{"mixed", func(d *writtenDay) { d.addTwoOf(addKeyChanges, addActorFaults, addPlatformFaults, addControlFaults) }},
}}

// addLoadOfExclusiveDays has bursts, and some days end with a closing fault.
func addLoadOfExclusiveDays(d *writtenDay) {
	d.fault(8, 12, fmt.Sprintf(`kind = "burst", x = %s, for_s = %s`, d.oneOf("1.5", "2.0"), d.seconds(2, 4)))
	d.fault(18, 24, fmt.Sprintf(`kind = "burst", x = %s, for_s = %s`, d.oneOf("1.5", "2.0"), d.seconds(2, 4)))
	d.closing = d.oneOf("", `{ kind = "kill_all", down_s = 1.2 }`, `{ kind = "power_off_all", down_s = 1.0, how = "all" }`,
		`{ kind = "wipe_after_ack", down_s = 1.5, how = "all" }`, `{ kind = "power_off_all", down_s = 1.0, how = "timed" }`)
}

// addKeyChanges has series of keys taken away, between other changes, while edges restart, freeze and
// are cut off.
func addKeyChanges(d *writtenDay) {
	for _, at := range []float64{2, 9, 17, 25} {
		d.planned(at, at+3, fmt.Sprintf(`kind = "revoke", count = %s, gap_s = %s%s`, d.oneOf("2", "3", "4"), d.seconds(0.2, 1.2), d.oneOf("", `, how = "last"`)))
		d.planned(at, at+4, fmt.Sprintf(`kind = "config_change", how = %q`, d.oneOf("tenant", "tenant", "route", "timeout", "idle")))
	}
	d.planned(4, 20, fmt.Sprintf(`kind = "bad_config", count = 3, gap_s = 0.7, how = %q`, d.oneOf("shared_key", "shared_key", "same_version", "stale_match")))
	d.planned(6, 16, fmt.Sprintf(`kind = "roll_term", on = "front", share = %s, x = %s, gap_s = %s`, d.oneOf("0.5", "1.0"), d.oneOf("2.0", "4.0"), d.seconds(0.3, 0.8)))
	d.fault(8, 22, fmt.Sprintf(`kind = "node_freeze", on = "front", share = 0.3, for_s = %s`, d.seconds(1, 4)))
	d.fault(6, 24, fmt.Sprintf(`kind = "node_cut", on = "front", share = 0.3, for_s = %s%s`, d.seconds(2, 5), d.oneOf("", `, how = "all"`)))
	d.fault(4, 24, fmt.Sprintf(`kind = "node_kill", on = "front", share = 0.2, for_s = %s`, d.seconds(0.5, 3)))
	d.fault(10, 26, fmt.Sprintf(`kind = "ack_lost", x = 0.7, for_s = %s`, d.seconds(3, 8)))
}

// addActorFaults has the node that acted last killed, frozen, without power or cut off, again and
// again, while the platform is slow.
func addActorFaults(d *writtenDay) {
	for _, at := range []float64{3, 8, 13, 19, 25} {
		d.fault(at, at+3, fmt.Sprintf(`kind = "kill_leader", for_s = %s, how = %q`, d.seconds(1, 6),
			d.oneOf("kill", "freeze", "freeze", "power", "cut", "cut one_way", "kill race", "kill drain hard")))
	}
	d.fault(4, 24, fmt.Sprintf(`kind = "cloud_slow", x = %s, for_s = %s`, d.oneOf("20.0", "50.0", "200.0"), d.seconds(3, 8)))
	d.fault(6, 20, fmt.Sprintf(`kind = "core_cut", count = 1, for_s = %s, how = %q`, d.seconds(3, 7), d.oneOf("leader", "leader one_way", "one_way", "leader reset", "behind")))
	d.fault(5, 25, fmt.Sprintf(`kind = "node_freeze", on = "core", count = 1, for_s = %s`, d.seconds(1, 5)))
}

// addPlatformFaults has the platform down, busy and slow, while servers come and go.
func addPlatformFaults(d *writtenDay) {
	for _, at := range []float64{3, 12, 21} {
		d.fault(at, at+5, fmt.Sprintf(`kind = "cloud_down", for_s = %s, how = %q`, d.seconds(1.5, 5), d.oneOf("silent", "busy", "reset")))
	}
	d.fault(6, 26, fmt.Sprintf(`kind = "cloud_slow", x = %s, for_s = %s`, d.oneOf("20.0", "50.0", "100.0"), d.seconds(3, 7)))
	d.planned(5, 20, fmt.Sprintf(`kind = "release", share = 0.5, x = %s, gap_s = %s`, d.oneOf("2.0", "4.0"), d.seconds(0.5, 1)))
	d.fault(8, 24, fmt.Sprintf(`kind = "srv_crash", share = %s, for_s = %s%s`, d.oneOf("0.15", "0.3"), d.seconds(2, 6), d.oneOf("", `, how = "dark"`, `, how = "gone"`)))
	d.fault(10, 24, fmt.Sprintf(`kind = "kill_leader", for_s = 3.0, how = %q`, d.oneOf("kill", "freeze", "power", "cut")))
}

// addControlFaults has cores die together, lose their disks and be replaced, while changes come.
func addControlFaults(d *writtenDay) {
	d.planned(2, 6, fmt.Sprintf(`kind = "config_race", count = %s, gap_s = %s`, d.oneOf("2", "4"), d.seconds(0.5, 1.5)))
	d.planned(4, 12, `kind = "revoke", count = 3, gap_s = 0.8`)
	d.fault(6, 10, fmt.Sprintf(`kind = "node_kill", on = "core", count = 1, for_s = %s, how = %q`, d.seconds(1, 4), d.oneOf("leader race", "leader hard", "power leader", "meet drain")))
	d.fault(14, 18, fmt.Sprintf(`kind = "herd_kill", on = "core", share = 1.0, for_s = 0.8%s`, d.oneOf("", `, how = "off"`)))
	d.fault(22, 26, d.oneOf(`kind = "replace_core", x = 1`, `kind = "after_ack_wipe", for_s = 2.0`, `kind = "after_ack_wipe", on = "store", count = 2, for_s = 2.0`))
	d.fault(8, 24, fmt.Sprintf(`kind = "kill_leader", for_s = 2.5, how = %q`, d.oneOf("kill", "freeze", "power", "cut one_way")))
	d.fault(5, 25, fmt.Sprintf(`kind = "disk_stall", on = "core", count = 1, for_s = %s`, d.seconds(1, 4)))
}
