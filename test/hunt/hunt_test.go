package hunt

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const benchOutput = `day                  own/srv  score  worth served refused failed  weakest part
mix --seed 52655695067     15/12   0.90  0.901  0.985   0.000  0.000  worst class 0.93; prices 0.074, most for machine-seconds; 3 exits of its own
cut-7                15/12   0.00  0.624  0.855   0.049  0.022  worst windows 0.48; prices 0.140  BROKEN: CONFIG 1, LOST 32 (else 0.62)
short of the gate: no ack after 4042 ms of calm
-0.0969  723.0 machine-seconds
`

func TestDaysAreParsed(t *testing.T) {
	days := ParseDays(benchOutput)
	if len(days) != 2 {
		t.Fatalf("%d days are read, of 2: %+v", len(days), days)
	}
	if got := days[0]; got.Name != "mix --seed 52655695067" || got.Value != .901 || got.BrokenRules != "" || got.UnexpectedExits != 3 || len(got.GateFailures) != 0 {
		t.Errorf("the first day is read as %+v", got)
	}
	if got := days[1]; got.Name != "cut-7" || got.Value != .624 || got.BrokenRules != "CONFIG 1, LOST 32" || got.UnexpectedExits != 0 || len(got.GateFailures) != 1 {
		t.Errorf("the second day is read as %+v", got)
	}
}

func TestADayThatEndedInAFaultIsParsed(t *testing.T) {
	days := ParseDays("quiet-1   13/12   0.00  -0.884  0.000   1.000  0.000  whole day 0.00  BROKEN: fault (else 0.00)")
	if len(days) != 1 || days[0].BrokenRules != "fault" || days[0].Value != -.884 {
		t.Fatalf("a day that ended in a fault is read as %+v", days)
	}
}

func TestAbandonedDaysAreParsed(t *testing.T) {
	days := ParseDays("cut-1   13/12   0.00  0.000  0.000   0.000  0.000  given up: the machine is too busy")
	if len(days) != 1 || !days[0].Abandoned {
		t.Fatalf("an abandoned day is read as %+v", days)
	}
}

// newTestPlan is a plan with stand-ins for the bench and the day tool.
func newTestPlan(t *testing.T) Plan {
	t.Helper()
	folder := t.TempDir()
	site := writeFile(t, folder, "site.toml", 0o644, "[[day]]\nname = \"quiet\"\n")
	bench := writeFile(t, folder, "bench", 0o755, "#!/bin/sh\necho 'mix --seed 1   3/1   0.9  0.900  1.0   0.0  0.0  fine'\n")
	tool := writeFile(t, folder, "tool", 0o755, "#!/bin/sh\necho 'no report'\n")
	repository := filepath.Join(folder, "repository")
	if err := os.Mkdir(repository, 0o755); err != nil {
		t.Fatal(err)
	}
	return Plan{Bench: bench, DayTool: tool, Sites: []string{site}, Focuses: []string{"cut"}, HuntDays: 1, FocusDays: 1, Seed: 5, Jobs: 2,
		Repository: repository, OutputFolder: filepath.Join(folder, "out")}
}

// runPlan runs a plan and returns its table, also as it is printed.
func runPlan(plan Plan) (*Table, string) {
	var table Table
	plan.Run(context.Background(), table.Add)
	var text strings.Builder
	table.Write(&text)
	return &table, text.String()
}

func writeFile(t *testing.T, folder, name string, mode os.FileMode, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFaultsOfAPlanAreNamed(t *testing.T) {
	cases := map[string]struct {
		mutate func(p *Plan)
		want   string
	}{
		"none":                    {func(_ *Plan) {}, ""},
		"missing bench":           {func(p *Plan) { p.Bench = "nowhere" }, `"nowhere"`},
		"folder as day tool":      {func(p *Plan) { p.DayTool = p.Repository }, "is no program"},
		"no site":                 {func(p *Plan) { p.Sites = nil }, "no site"},
		"missing site":            {func(p *Plan) { p.Sites = []string{"lost.toml"} }, `"lost.toml"`},
		"site without days":       {func(p *Plan) { p.Sites = []string{p.Bench} }, "holds no days"},
		"unknown focus":           {func(p *Plan) { p.Focuses = []string{"cut", "storm"} }, `"storm"`},
		"no folder":               {func(p *Plan) { p.OutputFolder = "" }, "no folder"},
		"the repository":          {func(p *Plan) { p.OutputFolder = p.Repository }, "inside the repository"},
		"inside the repository":   {func(p *Plan) { p.OutputFolder = filepath.Join(p.Repository, "new", "days") }, "inside the repository"},
		"file as folder":          {func(p *Plan) { p.OutputFolder = p.Bench }, "can't be used"},
		"no jobs":                 {func(p *Plan) { p.Jobs = 0 }, "0 jobs"},
		"no days":                 {func(p *Plan) { p.HuntDays, p.FocusDays = 0, 0 }, "0 hunted days"},
		"long days of no length":  {func(p *Plan) { p.LongDays = 1 }, "0 seconds"},
		"site without a length":   {func(p *Plan) { p.LongDays, p.LongSeconds = 1, 300 }, "have no length"},
		"more than one, each one": {func(p *Plan) { p.Focuses, p.Jobs = []string{"storm"}, -1 }, `"storm"`},
	}
	for name, test := range cases {
		plan := newTestPlan(t)
		test.mutate(&plan)
		faults := strings.Join(plan.Faults(), "\n")
		if test.want == "" && faults != "" || !strings.Contains(faults, test.want) {
			t.Errorf("%s: the faults are %q; wanted %q among them", name, faults, test.want)
		}
	}
}

func TestALinkIntoTheRepositoryIsRejected(t *testing.T) {
	plan := newTestPlan(t)
	link := filepath.Join(t.TempDir(), "link")
	if err := os.Symlink(plan.Repository, link); err != nil {
		t.Fatal(err)
	}
	plan.OutputFolder = filepath.Join(link, "days")
	if faults := plan.Faults(); len(faults) != 1 || !strings.Contains(faults[0], "inside the repository") {
		t.Fatalf("a link into the repository is taken as a scratch folder: %q", faults)
	}
}

func TestEveryDayIsTabulated(t *testing.T) {
	plan := newTestPlan(t)
	plan.DayTool = writeFile(t, t.TempDir(), "tool", 0o755, `#!/bin/sh
while [ $# -gt 0 ]; do case $1 in --out) out=$2;; --seed) seed=$2;; --focus) focus=$2;; esac; shift; done
mkdir -p "$out"
echo "$focus-$seed   3/1   0.0  0.25  1.0   0.0  0.0  weak; 2 exits of its own  BROKEN: LOST 1 (else 0.25)" >"$out/$focus-$seed.txt"
`)
	table, text := runPlan(plan)
	for _, want := range []string{
		"| site | hunt | 1 | 0 | 0 | 0.900 | 0 | 0 (0) |",
		"| site | worst-days cut | 1 | 1 | 0 | 0.250 | 2 | 0 (0) |",
		"| all |  | 2 | 1 | 0 | 0.250 | 2 | 0 (0) |",
		"- site, worst-days cut, cut-5: LOST 1",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the table lacks %q:\n%s", want, text)
		}
	}
	if !table.Failed() {
		t.Error("a broken rule doesn't fail the plan")
	}
}

func TestAbandonedDaysAreRunAgain(t *testing.T) {
	plan := newTestPlan(t)
	plan.HuntDays = 0
	plan.DayTool = writeFile(t, t.TempDir(), "tool", 0o755, `#!/bin/sh
while [ $# -gt 0 ]; do case $1 in --out) out=$2;; esac; shift; done
mkdir -p "$out"
[ -f "$out/tried" ] || { touch "$out/tried"; echo "too busy"; exit 1; }
echo "cut-5   3/1   0.8  0.80  1.0   0.0  0.0  fine" >"$out/cut-5.txt"
`)
	table, text := runPlan(plan)
	if want := "| site | worst-days cut | 1 | 0 | 0 | 0.800 | 0 | 1 (1) |"; !strings.Contains(text, want) {
		t.Errorf("the table lacks %q:\n%s", want, text)
	}
	if table.Failed() {
		t.Error("a day that was abandoned and then run fails the plan")
	}
}

// The day tool gets a copy of the site with the length, beside its wire file.
func TestLongDaysArePlayedOnALongerCopyOfTheSite(t *testing.T) {
	plan := newTestPlan(t)
	folder := t.TempDir()
	plan.Sites = []string{writeFile(t, folder, "site.toml", 0o644, "length_s = 34.0\n[[day]]\nname = \"quiet\"\n")}
	writeFile(t, folder, "wire.json", 0o644, "{}")
	plan.HuntDays, plan.FocusDays, plan.LongDays, plan.LongSeconds = 0, 0, 1, 300
	plan.DayTool = writeFile(t, t.TempDir(), "tool", 0o755, `#!/bin/sh
site=$1
while [ $# -gt 0 ]; do case $1 in --out) out=$2;; esac; shift; done
mkdir -p "$out"
[ -f "$(dirname "$site")/wire.json" ] && grep -q '^length_s = 300.0$' "$site" &&
  echo "cut-5   3/1   0.8  0.80  1.0   0.0  0.0  fine" >"$out/cut-5.txt"
`)
	if faults := plan.Faults(); len(faults) != 0 {
		t.Fatalf("the plan has faults: %q", faults)
	}
	_, text := runPlan(plan)
	if want := "| site | worst-days cut, 300 s | 1 | 0 | 0 | 0.800 | 0 | 0 (0) |"; !strings.Contains(text, want) {
		t.Errorf("the table lacks %q:\n%s", want, text)
	}
}
