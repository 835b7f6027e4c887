package simulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"tuliprudder/internal/clock"
)

// Guarantee is one property of the product that no run may violate (docs/PROMISES.md).
type Guarantee string

// The guarantees, as the users wrote them, in a few words each.
const (
	batchKept            Guarantee = "an accepted batch is never lost, its results can be read"
	resultsTimely        Guarantee = "results can be read within about a second"
	resultsExactlyOnce   Guarantee = "each result exactly once, a position never changes"
	readerResumes        Guarantee = "a reader resumes exactly where it stopped"
	rejectedNeverRuns    Guarantee = "a batch rejected at every attempt never runs"
	endedBatchStops      Guarantee = "an ended batch starts nothing after about 3 s"
	runsAtMostOnce       Guarantee = "a one-shot request never runs twice, a rejected one never runs"
	answerIntact         Guarantee = "no answer is mixed up, none that was interrupted looks complete"
	streamIntact         Guarantee = "a stream never drops, repeats or joins chunks"
	drainingRespected    Guarantee = "a draining server gets no new work after about 3 s"
	configurationInForce Guarantee = "a configuration is in force in about 2 s, never goes back, reads back"
	withinQuota          Guarantee = "waiting work stays within the quota, by a tenth"
	serviceRestored      Guarantee = "service is restored within about 12 s"
	answeredByDeadline   Guarantee = "a forwarded request is answered or rejected by its deadline"
	resendAcknowledged   Guarantee = "a confirmed request that is sent again is never rejected"
	actsExclusive        Guarantee = "an act has one content, a fence one holder, and holders never alternate"
	actsPerformed        Guarantee = "an act that is due is performed in bounded time"
	routeKept            Guarantee = "what was accepted on a route goes by that route, whatever its name is by now"
	usageReportsExact    Guarantee = "a report of use has each request at most once, and all while nothing fails"
)

// Guarantees lists them.
var Guarantees = []Guarantee{
	batchKept, resultsTimely, resultsExactlyOnce, readerResumes, rejectedNeverRuns,
	endedBatchStops, runsAtMostOnce, answerIntact, streamIntact, drainingRespected,
	configurationInForce, withinQuota, serviceRestored, answeredByDeadline, resendAcknowledged,
	actsExclusive, actsPerformed, usageReportsExact, routeKept,
}

// timingGrace is the grace for what is to hold within about 3 s.
const timingGrace = 300 * clock.Millisecond

// maxViolations bounds the violations that a run keeps.
const maxViolations = 50

// Violation is one violation of one guarantee.
type Violation struct {
	Guarantee Guarantee
	Text      string
	At        clock.Micros
}

// String is the violation as it is printed.
func (v Violation) String() string { return string(v.Guarantee) + ": " + v.Text }

// Checker collects the violations of a run and counts its checks.
type Checker struct {
	world       *World
	Violations  []Violation
	CheckCounts map[Guarantee]int
}

func (c *Checker) reportViolation(guarantee Guarantee, format string, args ...any) {
	violation := Violation{Guarantee: guarantee, Text: fmt.Sprintf(format, args...), At: c.world.Now}
	c.world.Tracef("VIOLATION: %s", violation)
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, violation)
	}
}

// countCheck counts that a guarantee was checked.
func (c *Checker) countCheck(guarantee Guarantee) { c.CheckCounts[guarantee]++ }

// HasViolated says whether a guarantee was violated.
func (c *Checker) HasViolated(guarantee Guarantee) bool {
	return slices.ContainsFunc(c.Violations, func(violation Violation) bool { return violation.Guarantee == guarantee })
}

// UncheckedGuarantees lists the guarantees that were not checked.
func (c *Checker) UncheckedGuarantees() []Guarantee {
	var out []Guarantee
	for _, guarantee := range Guarantees {
		if c.CheckCounts[guarantee] == 0 {
			out = append(out, guarantee)
		}
	}
	return out
}

// OutcomeSummary is how many requests had each outcome, for a report.
func (l *RequestLog) OutcomeSummary() string {
	var out []string
	for outcome, count := range l.OutcomeCounts {
		out = append(out, fmt.Sprintf("%s %d", outcome, count))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
