// Package hunt runs a plan of simulated days with faults on a bench and tabulates the results.
// The bench and the tool that writes the days are programs given by path. A Plan is checked
// with Faults and run with Run; a Table collects the Results.
package hunt

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"tuliprudder/internal/errs"
)

// Focuses are the kinds of day that the tool writes.
var Focuses = []string{"cut", "race", "second", "changes", "answers", "any"}

// Plan is what is run: on each site HuntDays days that the bench draws, then FocusDays days of
// each focus, then LongDays longer days of each focus, then QuotaDays days of each kind that press
// against the quota, and ExclusiveDays days of each kind on which keys change and acts are performed.
type Plan struct {
	Bench         string // path of the bench
	DayTool       string // path of the tool that writes and runs days of a focus
	Sites         []string
	Focuses       []string
	HuntDays      int
	FocusDays     int
	LongDays      int
	LongSeconds   int // seconds of traffic of a long day
	QuotaDays     int
	ExclusiveDays int
	Seed          int    // of the first day of each focus
	Jobs          int    // days run at once
	Repository    string // where the bench builds and leaves its journal
	OutputFolder  string // where days and their reports are written: outside the repository
}

// ParseFocuses reads a list of focuses by comma, or "all".
func ParseFocuses(list string) []string {
	if list == "all" {
		return slices.Clone(Focuses)
	}
	return strings.Split(list, ",")
}

// Faults describes everything that is wrong with the plan, each fault with its remedy.
func (p Plan) Faults() []string {
	var faults []string
	addFault := func(err error) {
		if err != nil {
			faults = append(faults, errs.Of(err).Message+"; "+errs.Of(err).Remedy)
		}
	}
	addFault(checkProgram("bench", p.Bench))
	addFault(checkProgram("day tool", p.DayTool))
	if len(p.Sites) == 0 {
		addFault(errs.New(errs.BadSettings, "name one or more site files", "no site is named"))
	}
	for _, site := range p.Sites {
		addFault(checkSite(site))
		if p.LongDays > 0 {
			addFault(checkLongSite(site))
		}
	}
	for _, focus := range p.Focuses {
		if !slices.Contains(Focuses, focus) {
			addFault(errs.New(errs.BadSettings, "give all or some of "+strings.Join(Focuses, ", "), "focus %q is not known", focus))
		}
	}
	addFault(p.checkAmount())
	addFault(checkFolder(p.OutputFolder, p.Repository))
	return faults
}

// checkAmount rejects a plan that plays nothing.
func (p Plan) checkAmount() error {
	amounts := []int{p.HuntDays, p.FocusDays, p.LongDays, p.QuotaDays, p.ExclusiveDays}
	if p.Jobs < 1 || slices.Min(amounts) < 0 || slices.Max(amounts) == 0 {
		return errs.New(errs.BadSettings, "play one day or more, with one job or more", "%d hunted days, %d days a focus, %d long ones, %d a kind at the quota and %d a kind with exclusive acts, with %d jobs",
			p.HuntDays, p.FocusDays, p.LongDays, p.QuotaDays, p.ExclusiveDays, p.Jobs)
	}
	if p.LongDays > 0 && p.LongSeconds < 1 {
		return errs.New(errs.BadSettings, "give long days one second or more", "long days of %d seconds", p.LongSeconds)
	}
	return nil
}

func checkProgram(name, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errs.New(errs.BadSettings, "give the path of the program", "the %s %q can't be found", name, path)
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return errs.New(errs.BadSettings, "give the path of the program", "the %s %q is no program", name, path)
	}
	return nil
}

// checkSite recognises a site file by the days that it has.
func checkSite(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errs.New(errs.BadSettings, "give the path of a site file", "the site %q can't be read", path)
	}
	if !strings.Contains(string(text), "[[day]]") {
		return errs.New(errs.BadSettings, "give the path of a site file", "the site %q holds no days", path)
	}
	return nil
}

// checkFolder rejects a folder inside the repository, where only the bench's journal is
// written.
func checkFolder(folder, repository string) error {
	if folder == "" {
		return errs.New(errs.BadSettings, "give a scratch folder outside the repository", "no folder is named")
	}
	inside, err := isInside(folder, repository)
	if err != nil {
		return errs.New(errs.BadSettings, "give a scratch folder outside the repository", "the folder %q can't be used: %v", folder, err)
	}
	if inside {
		return errs.New(errs.BadSettings, "give a scratch folder outside the repository", "the folder %q is inside the repository", folder)
	}
	return nil
}

func isInside(folder, repository string) (bool, error) {
	folder, err := resolve(folder)
	if err != nil {
		return false, err
	}
	repository, err = resolve(repository)
	if err != nil {
		return false, err
	}
	relative, err := filepath.Rel(repository, folder)
	if err != nil {
		return false, err
	}
	return relative != ".." && !strings.HasPrefix(relative, ".."+string(filepath.Separator)), nil
}

// resolve follows the symbolic links of that part of a path which exists.
func resolve(path string) (string, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	if info, err := os.Stat(path); err == nil && !info.IsDir() {
		return "", &os.PathError{Op: "use", Path: path, Err: os.ErrExist}
	}
	rest := ""
	for {
		resolved, err := filepath.EvalSymlinks(path)
		if err == nil {
			return filepath.Join(resolved, rest), nil
		}
		if !os.IsNotExist(err) {
			return "", err
		}
		rest = filepath.Join(filepath.Base(path), rest)
		path = filepath.Dir(path)
	}
}
