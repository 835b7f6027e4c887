package hunt

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Days that press against the quota of a route: bursts from the beginning to the end, and meanwhile
// daemons that restart, move, freeze and are cut off (docs/incidents/issue-29.md). A day follows
// from its kind and seed.

// quotaDayKinds are what happens on such days beside the bursts.
var quotaDayKinds = []quotaDayKind{
	{"rolls", addRolls},
	{"herd", addHerdKills},
	{"edges", addEdgeRestarts},
	{"moves", addMoves},
	{"cuts", addPartitions},
	{"mixed", addMixed},
}

type quotaDayKind struct {
	name string
	add  func(day *quotaDay)
}

// quotaDay is a day as it is written.
type quotaDay struct {
	random *rand.Rand
	work   []string // planned
	faults []string
}

// quotaTasks are days of each kind on each site.
func (p Plan) quotaTasks() []Task {
	var tasks []Task
	for _, site := range p.Sites {
		for _, kind := range quotaDayKinds {
			for day := range p.QuotaDays {
				tasks = append(tasks, p.quotaTask(site, kind, p.Seed+day))
			}
		}
	}
	return tasks
}

func (p Plan) quotaTask(site string, kind quotaDayKind, seed int) Task {
	name := fmt.Sprintf("%s-%d", kind.name, seed)
	path := filepath.Join(p.OutputFolder, siteName(site)+"-quota", name+".toml")
	return Task{
		Site:  siteName(site),
		Label: "quota " + kind.name,
		Days:  1,
		Jobs:  1,
		args:  []string{p.Bench, "run", site, path, "--jobs", "1", "--why", "quota day by plan"},
		prepare: func() error {
			return writeQuotaDay(path, name, kind, seed)
		},
	}
}

func writeQuotaDay(path, name string, kind quotaDayKind, seed int) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "make the folder of the quota days")
	}
	return errors.Wrap(os.WriteFile(path, []byte(quotaDayText(name, kind, seed)), 0o644), "write a quota day")
}

// quotaDayText is the file of a day.
func quotaDayText(name string, kind quotaDayKind, seed int) string {
	day := &quotaDay{random: rand.New(rand.NewSource(int64(seed)))}
	kind.add(day)
	for _, at := range []float64{3, 9, 15, 21, 27} {
		day.planned(at-0.5, at+0.5, `kind = "burst", x = 2.5, for_s = 5.0`)
	}
	if day.random.Intn(2) == 0 {
		day.planned(5, 25, fmt.Sprintf(`kind = "config_change", how = %q`, day.oneOf("quota", "topup", "route")))
	}
	closing := ""
	if day.random.Intn(2) == 0 {
		closing = `closing = { kind = "kill_all", down_s = 1.0, how = "taken" }` + "\n"
	}
	return fmt.Sprintf("[[day]]\nname = %q\nseed = %d\n%splan = [\n%s]\nfaults = [\n%s]\n",
		name, 1+day.random.Int31(), closing, strings.Join(day.work, ""), strings.Join(day.faults, ""))
}

// planned adds planned work at a moment between two seconds; fault adds a fault.
func (d *quotaDay) planned(from, to float64, what string) {
	d.work = append(d.work, d.entry(from, to, what))
}

func (d *quotaDay) fault(from, to float64, what string) {
	d.faults = append(d.faults, d.entry(from, to, what))
}

func (d *quotaDay) entry(from, to float64, what string) string {
	return fmt.Sprintf("  { at = %.2f, %s },\n", from+d.random.Float64()*(to-from), what)
}

func (d *quotaDay) oneOf(values ...string) string { return values[d.random.Intn(len(values))] }

// seconds draws a span.
func (d *quotaDay) seconds(from, to float64) string {
	return fmt.Sprintf("%.1f", from+d.random.Float64()*(to-from))
}

// addRolls stops and starts all stores in turn, twice, and edges between.
func addRolls(d *quotaDay) {
	for _, at := range []float64{3, 12} {
		d.planned(at, at+5, fmt.Sprintf(`kind = "roll_term", on = "store", share = 1.0, x = %s, gap_s = %s`, d.oneOf("1.0", "2.0", "4.0"), d.seconds(0.3, 1.5)))
	}
	d.planned(8, 20, fmt.Sprintf(`kind = "roll_term", on = "front", share = %s, x = %s, gap_s = %s`, d.oneOf("0.5", "1.0"), d.oneOf("1.0", "3.0"), d.seconds(0.3, 1)))
}

// addHerdKills kills many processes of a kind at once, three times.
func addHerdKills(d *quotaDay) {
	for _, at := range []float64{5, 13, 21} {
		d.fault(at, at+2, fmt.Sprintf(`kind = "herd_kill", on = %q, share = %s, for_s = %s%s`,
			d.oneOf("store", "store", "core", "front"), d.oneOf("0.6", "1.0"), d.oneOf("0.5", "1.0"), d.oneOf("", "", `, how = "taken"`, `, how = "taken all"`)))
	}
}

// addEdgeRestarts stops edges in turn and kills some of them meanwhile.
func addEdgeRestarts(d *quotaDay) {
	for _, at := range []float64{3, 11, 19} {
		d.planned(at, at+2, fmt.Sprintf(`kind = "roll_term", on = "front", share = 1.0, x = %s, gap_s = %s`, d.oneOf("1.0", "2.0", "3.0"), d.seconds(0.3, 1)))
		d.fault(at+3, at+7, `kind = "node_kill", on = "front", share = 0.4`)
	}
}

// addMoves has shards move: stores are emptied, added, killed, and lose their disks.
func addMoves(d *quotaDay) {
	d.planned(4, 9, `kind = "retire", for_s = 6`)
	d.planned(16, 22, `kind = "retire", for_s = 6`)
	d.planned(3, 6, `kind = "add_nodes", on = "store", count = 1`)
	d.planned(14, 17, `kind = "add_nodes", on = "store", count = 1`)
	d.fault(10, 14, `kind = "node_kill", on = "store", count = 1, for_s = 2.5`+d.oneOf("", `, how = "power"`))
	d.fault(20, 26, `kind = "after_ack_wipe", on = "store", count = 1, for_s = 2.0`)
}

// addPartitions cuts stores and edges off, and freezes some.
func addPartitions(d *quotaDay) {
	for _, at := range []float64{4, 14} {
		d.fault(at, at+4, fmt.Sprintf(`kind = "core_cut", on = "store", count = 1, for_s = %s%s`, d.seconds(3, 6),
			d.oneOf("", `, how = "one_way"`, `, how = "all"`, `, how = "split"`, `, how = "near"`)))
	}
	d.fault(10, 24, fmt.Sprintf(`kind = "node_freeze", on = "store", count = 1, for_s = %s`, d.seconds(1.5, 4)))
	d.fault(5, 20, fmt.Sprintf(`kind = "node_freeze", on = "front", share = 0.5, for_s = %s`, d.seconds(1.5, 4)))
	d.fault(5, 25, fmt.Sprintf(`kind = "node_cut", on = "front", share = 0.5, for_s = %s%s`, d.seconds(2, 5), d.oneOf("", `, how = "all"`)))
}

// addMixed adds two of the other kinds.
func addMixed(d *quotaDay) {
	others := []func(*quotaDay){addRolls, addHerdKills, addEdgeRestarts, addMoves, addPartitions}
	for _, i := range d.random.Perm(len(others))[:2] {
		others[i](d)
	}
}
