package verify

import (
	"strings"

	"tuliprudder/test/modelcontent"
)

// checkLiveRequests checks every live request by itself.
func (c *checker) checkLiveRequests() {
	for _, l := range c.liveRequests {
		c.outcomeCounts[string(l.Outcome)]++
		if l.ErrorKind != "" {
			c.outcomeCounts[l.ErrorKind]++
		}
		c.errorsTyped.Checked++
		expected := modelcontent.Answer(l.Input, c.Chunks)
		if l.AtMostOnce {
			c.checkOneShot(l, expected)
		} else {
			c.checkStream(l, expected)
		}
	}
}

// checkOneShot checks that the request ran once at most, not at all where it was rejected, and
// that its answer is its own.
func (c *checker) checkOneShot(l *LiveRequest, expected string) {
	runs := c.byInput[l.Input]
	c.runsAtMostOnce.check(len(runs) <= 1, "request %s ran %d times: %v", l.Input, len(runs), runs)
	if l.Outcome == Rejected {
		c.runsAtMostOnce.check(len(runs) == 0, "request %s was rejected (%s) and ran", l.Input, l.ErrorKind)
	}
	if l.Outcome == OK {
		c.neverMixed.check(l.Output == expected, "request %s: answer %q is not its own", l.Input, l.Output)
		c.addDuration("one-shot of "+l.Key, l.AnsweredAt-l.SentAt)
	}
}

// checkStream checks that what came is the beginning of the answer, or all of it where the end
// event came.
func (c *checker) checkStream(l *LiveRequest, expected string) {
	c.streamsIntact.check(strings.HasPrefix(expected, l.Output), "stream %s: chunks dropped, repeated or joined: %q of %q", l.Input, l.Output, expected)
	if l.EndSeen {
		c.neverMixed.check(l.Output == expected, "stream %s: ended with %q of %q", l.Input, l.Output, expected)
		c.addDuration("stream of "+l.Key, l.AnsweredAt-l.SentAt)
	}
	if l.Outcome == Rejected {
		c.runsAtMostOnce.check(len(c.byInput[l.Input]) == 0, "stream %s was rejected (%s) and ran", l.Input, l.ErrorKind)
	}
}
