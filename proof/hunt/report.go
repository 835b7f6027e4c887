package hunt

import (
	"regexp"
	"strconv"
	"strings"
)

// Day is what the bench said of one day.
type Day struct {
	Name    string
	Worth   float64 // worth less prices, before broken rules
	Broken  string  // the rules broken or the fault, "" for none
	Gate    []string
	Exits   int // processes that ended by themselves
	GivenUp bool
}

var (
	// dayRow is a day's row: name, seed, machines, score, worth.
	dayRow    = regexp.MustCompile(`^(\S+(?: --seed \d+)?)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s`)
	brokenRow = regexp.MustCompile(`BROKEN: (.*?)(?: \(else [^)]*\))?$`)
	exitsRow  = regexp.MustCompile(`(\d+) exits? of its own`)
	givenUp   = regexp.MustCompile(`(?i)\bgiven up\b|\bgave up\b`)
)

const (
	gateMark  = "short of the gate: "
	faultMark = "fault: "
)

// ParseDays reads the rows of days out of what a bench printed. What stands between
// a row and the next belongs to the day of the row before.
func ParseDays(text string) []Day {
	var days []Day
	for _, line := range strings.Split(text, "\n") {
		if day, ok := parseRow(line); ok {
			days = append(days, day)
			continue
		}
		if gate, ok := strings.CutPrefix(line, gateMark); ok && len(days) > 0 {
			last := &days[len(days)-1]
			last.Gate = append(last.Gate, gate)
		}
	}
	return days
}

func parseRow(line string) (Day, bool) {
	match := dayRow.FindStringSubmatch(line)
	if match == nil {
		return Day{}, false
	}
	worth, err := strconv.ParseFloat(match[2], 64)
	if err != nil {
		return Day{}, false
	}
	day := Day{Name: match[1], Worth: worth, GivenUp: givenUp.MatchString(line)}
	if broken := brokenRow.FindStringSubmatch(line); broken != nil {
		day.Broken = broken[1]
	}
	if exits := exitsRow.FindStringSubmatch(line); exits != nil {
		day.Exits, _ = strconv.Atoi(exits[1])
	}
	if day.Broken == "" && strings.Contains(line, faultMark) {
		day.Broken = line[strings.Index(line, faultMark):]
	}
	return day, true
}
