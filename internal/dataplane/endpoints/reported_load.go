package endpoints

import (
	"strconv"
	"strings"
)

// ReportedLoad is what a server tells of its load with an answer.
type ReportedLoad struct {
	Running int // requests
	Waiting int // requests
	Slots   int
}

// ParseReportedLoad reads a load as servers write it: the requests running, the requests waiting and
// the slots, joined by commas. It returns nil where that is not what the text is.
func ParseReportedLoad(text string) *ReportedLoad {
	parts := strings.Split(text, ",")
	var numbers [3]int
	if len(parts) != len(numbers) {
		return nil
	}
	for i, part := range parts {
		number, err := strconv.ParseUint(strings.TrimSpace(part), 10, 31)
		if err != nil {
			return nil
		}
		numbers[i] = int(number)
	}
	return &ReportedLoad{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}
