package hunt

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// dayFamily is kinds of days that this package writes itself. A day follows from its family, its kind
// and its seed.
type dayFamily struct {
	name     string
	addToAll func(day *writtenDay) // what every day of the family has, after what its kind has
	kinds    []dayKind
}

// dayKind is what happens on days of one kind.
type dayKind struct {
	name string
	add  func(day *writtenDay)
}

// writtenDay is a day as it is written.
type writtenDay struct {
	random  *rand.Rand
	work    []string // planned
	faults  []string
	closing string // "" for none
}

// writtenTasks are days of each kind of a family on each site.
func (p Plan) writtenTasks(family dayFamily, days int) []Task {
	var tasks []Task
	for _, site := range p.Sites {
		for _, kind := range family.kinds {
			for day := range days {
				tasks = append(tasks, p.writtenTask(site, family, kind, p.Seed+day))
			}
		}
	}
	return tasks
}

func (p Plan) writtenTask(site string, family dayFamily, kind dayKind, seed int) Task {
	name := fmt.Sprintf("%s-%d", kind.name, seed)
	path := filepath.Join(p.OutputFolder, siteName(site)+"-"+family.name, name+".toml")
	return Task{
		Site:  siteName(site),
		Label: family.name + " " + kind.name,
		Days:  1,
		Jobs:  1,
		args:  []string{p.Bench, "run", site, path, "--jobs", "1", "--why", family.name + " day by plan"},
		prepare: func() error {
			return writeDay(path, family.text(name, kind, seed))
		},
	}
}

func writeDay(path, text string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "make the folder of the days")
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), 0o644), "write a day")
}

// text is the file of a day.
func (f dayFamily) text(name string, kind dayKind, seed int) string {
	day := &writtenDay{random: rand.New(rand.NewSource(int64(seed)))}
	kind.add(day)
	f.addToAll(day)
	closing := ""
	if day.closing != "" {
		closing = "closing = " + day.closing + "\n"
	}
	return fmt.Sprintf("[[day]]\nname = %q\nseed = %d\n%splan = [\n%s]\nfaults = [\n%s]\n",
		name, 1+day.random.Int31(), closing, strings.Join(day.work, ""), strings.Join(day.faults, ""))
}

// planned adds planned work at a moment between two seconds; fault adds a fault.
func (d *writtenDay) planned(from, to float64, what string) {
	d.work = append(d.work, d.entry(from, to, what))
}

func (d *writtenDay) fault(from, to float64, what string) {
	d.faults = append(d.faults, d.entry(from, to, what))
}

func (d *writtenDay) entry(from, to float64, what string) string {
	return fmt.Sprintf("  { at = %.2f, %s },\n", from+d.random.Float64()*(to-from), what)
}

func (d *writtenDay) oneOf(values ...string) string { return values[d.random.Intn(len(values))] }

// seconds draws a span.
func (d *writtenDay) seconds(from, to float64) string {
	return fmt.Sprintf("%.1f", from+d.random.Float64()*(to-from))
}

// addTwoOf adds two of several kinds.
func (d *writtenDay) addTwoOf(kinds ...func(*writtenDay)) {
	for _, i := range d.random.Perm(len(kinds))[:2] {
		kinds[i](d)
	}
}
