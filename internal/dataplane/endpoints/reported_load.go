package endpoints

import (
	"strconv"
	"strings"
)

// ReportedLoad is the load that a server reports with a response.
type ReportedLoad struct {
	Running int // requests
	Waiting int // requests
	Slots   int
}

// ParseReportedLoad parses a load as servers report it: the numbers of running requests, waiting
// requests and slots, separated by commas. It returns nil if the text has another format.
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
