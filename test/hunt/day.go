package hunt

import (
	"regexp"
	"strconv"
	"strings"
)

// Day is what the bench reported of one day.
type Day struct {
	Name            string
	Value           float64 // value less costs, before broken rules
	BrokenRules     string  // the rules broken or the fault, "" for none
	GateFailures    []string
	UnexpectedExits int  // processes that ended by themselves
	Abandoned       bool // it was not run to its end
}

var (
	// dayPattern is the line of a day: name, seed, machines, score, value.
	dayPattern       = regexp.MustCompile(`^(\S+(?: --seed \d+)?)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s`)
	brokenPattern    = regexp.MustCompile(`BROKEN: (.*?)(?: \(else [^)]*\))?$`)
	exitsPattern     = regexp.MustCompile(`(\d+) exits? of its own`)
	abandonedPattern = regexp.MustCompile(`(?i)\bgiven up\b|\bgave up\b`)
)

// Prefixes of what the bench prints of a day that failed.
const (
	gatePrefix  = "short of the gate: "
	faultPrefix = "fault: "
)

// ParseDays reads the days out of what a bench printed. What is between the line of a day and
// the next belongs to that day.
func ParseDays(text string) []Day {
	var days []Day
	for _, line := range strings.Split(text, "\n") {
		if day, ok := parseDay(line); ok {
			days = append(days, day)
			continue
		}
		if gate, ok := strings.CutPrefix(line, gatePrefix); ok && len(days) > 0 {
			last := &days[len(days)-1]
			last.GateFailures = append(last.GateFailures, gate)
		}
	}
	return days
}

func parseDay(line string) (Day, bool) {
	match := dayPattern.FindStringSubmatch(line)
	if match == nil {
		return Day{}, false
	}
	value, err := strconv.ParseFloat(match[2], 64)
	if err != nil {
		return Day{}, false
	}
	day := Day{Name: match[1], Value: value, Abandoned: abandonedPattern.MatchString(line)}
	if broken := brokenPattern.FindStringSubmatch(line); broken != nil {
		day.BrokenRules = broken[1]
	}
	if exits := exitsPattern.FindStringSubmatch(line); exits != nil {
		day.UnexpectedExits, _ = strconv.Atoi(exits[1])
	}
	if day.BrokenRules == "" && strings.Contains(line, faultPrefix) {
		day.BrokenRules = line[strings.Index(line, faultPrefix):]
	}
	return day, true
}
