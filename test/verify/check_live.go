package verify

import (
	"strings"

	"tuliprudder/test/modelcontent"
)

// checkLiveRequests checks each live request on its own.
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

// checkOneShot checks that the request ran at most once, that it did not run if it was rejected,
// and that its answer belongs to its input.
func (c *checker) checkOneShot(l *LiveRequest, expected string) {
	runs := c.byInput[l.Input]
	c.runsAtMostOnce.check(len(runs) <= 1, "request %s ran %d times: %v", l.Input, len(runs), runs)
	if l.Outcome == Rejected {
		c.runsAtMostOnce.check(len(runs) == 0, "request %s was rejected (%s) and ran", l.Input, l.ErrorKind)
	}
	if l.Outcome == OK {
		c.neverMixed.check(l.Output == expected, "request %s: %q is not the answer to its input", l.Input, l.Output)
		c.addDuration("one-shot of "+l.Key, l.AnsweredAt-l.SentAt)
	}
}

// checkStream checks that the received text is a prefix of the expected answer, and the whole
// answer if the end event was received.
func (c *checker) checkStream(l *LiveRequest, expected string) {
	c.streamsIntact.check(strings.HasPrefix(expected, l.Output), "stream %s: chunks dropped, repeated or joined: got %q, which is not a prefix of %q", l.Input, l.Output, expected)
	if l.EndSeen {
		c.neverMixed.check(l.Output == expected, "stream %s: ended with %q, expected %q", l.Input, l.Output, expected)
		c.addDuration("stream of "+l.Key, l.AnsweredAt-l.SentAt)
	}
	if l.Outcome == Rejected {
		c.runsAtMostOnce.check(len(c.byInput[l.Input]) == 0, "stream %s was rejected (%s) and ran", l.Input, l.ErrorKind)
	}
}
