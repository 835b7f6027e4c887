package hunt

import "fmt"

// Days that press against the quota of a route: bursts from the beginning to the end, and meanwhile
// daemons that restart, move, freeze and are cut off (docs/incidents/issue-29.md).

// quotaDays are what happens on such days beside the bursts.
var quotaDays = dayFamily{name: "quota", addToAll: addQuotaBursts, kinds: []dayKind{
	{"rolls", addRolls},
	{"herd", addHerdKills},
	{"edges", addEdgeRestarts},
	{"moves", addMoves},
	{"cuts", addPartitions},
	{"mixed", addMixed},
}}

// addQuotaBursts are the bursts of every such day; some have a change of the configuration beside.
func addQuotaBursts(d *writtenDay) {
	for _, at := range []float64{3, 9, 15, 21, 27} {
		d.planned(at-0.5, at+0.5, `kind = "burst", x = 2.5, for_s = 5.0`)
	}
	if d.random.Intn(2) == 0 {
		d.planned(5, 25, fmt.Sprintf(`kind = "config_change", how = %q`, d.oneOf("quota", "topup", "route")))
	}
	if d.random.Intn(2) == 0 {
		d.closing = `{ kind = "kill_all", down_s = 1.0, how = "taken" }`
	}
}

// addRolls stops and starts all stores in turn, twice, and edges between.
func addRolls(d *writtenDay) {
	for _, at := range []float64{3, 12} {
		d.planned(at, at+5, fmt.Sprintf(`kind = "roll_term", on = "store", share = 1.0, x = %s, gap_s = %s`, d.oneOf("1.0", "2.0", "4.0"), d.seconds(0.3, 1.5)))
	}
	d.planned(8, 20, fmt.Sprintf(`kind = "roll_term", on = "front", share = %s, x = %s, gap_s = %s`, d.oneOf("0.5", "1.0"), d.oneOf("1.0", "3.0"), d.seconds(0.3, 1)))
}

// addHerdKills kills many processes of a kind at once, three times.
func addHerdKills(d *writtenDay) {
	for _, at := range []float64{5, 13, 21} {
		d.fault(at, at+2, fmt.Sprintf(`kind = "herd_kill", on = %q, share = %s, for_s = %s%s`,
			d.oneOf("store", "store", "core", "front"), d.oneOf("0.6", "1.0"), d.oneOf("0.5", "1.0"), d.oneOf("", "", `, how = "taken"`, `, how = "taken all"`)))
	}
}

// addEdgeRestarts stops edges in turn and kills some of them meanwhile.
func addEdgeRestarts(d *writtenDay) {
	for _, at := range []float64{3, 11, 19} {
		d.planned(at, at+2, fmt.Sprintf(`kind = "roll_term", on = "front", share = 1.0, x = %s, gap_s = %s`, d.oneOf("1.0", "2.0", "3.0"), d.seconds(0.3, 1)))
		d.fault(at+3, at+7, `kind = "node_kill", on = "front", share = 0.4`)
	}
}

// addMoves has shards move: stores are emptied, added, killed, and lose their disks.
func addMoves(d *writtenDay) {
	d.planned(4, 9, `kind = "retire", for_s = 6`)
	d.planned(16, 22, `kind = "retire", for_s = 6`)
	d.planned(3, 6, `kind = "add_nodes", on = "store", count = 1`)
	d.planned(14, 17, `kind = "add_nodes", on = "store", count = 1`)
	d.fault(10, 14, `kind = "node_kill", on = "store", count = 1, for_s = 2.5`+d.oneOf("", `, how = "power"`))
	d.fault(20, 26, `kind = "after_ack_wipe", on = "store", count = 1, for_s = 2.0`)
}

// addPartitions cuts stores and edges off, and freezes some.
func addPartitions(d *writtenDay) {
	for _, at := range []float64{4, 14} {
		d.fault(at, at+4, fmt.Sprintf(`kind = "core_cut", on = "store", count = 1, for_s = %s%s`, d.seconds(3, 6),
			d.oneOf("", `, how = "one_way"`, `, how = "all"`, `, how = "split"`, `, how = "near"`)))
	}
	d.fault(10, 24, fmt.Sprintf(`kind = "node_freeze", on = "store", count = 1, for_s = %s`, d.seconds(1.5, 4)))
	d.fault(5, 20, fmt.Sprintf(`kind = "node_freeze", on = "front", share = 0.5, for_s = %s`, d.seconds(1.5, 4)))
	d.fault(5, 25, fmt.Sprintf(`kind = "node_cut", on = "front", share = 0.5, for_s = %s%s`, d.seconds(2, 5), d.oneOf("", `, how = "all"`)))
}

// addMixed adds two of the other kinds.
func addMixed(d *writtenDay) {
	d.addTwoOf(addRolls, addHerdKills, addEdgeRestarts, addMoves, addPartitions)
}
