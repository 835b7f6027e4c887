package batchstore

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A batch is acknowledged, and its items started, only once it is durable on both members.
func TestBatchIsAcknowledgedOnceItIsDurable(t *testing.T) {
	c := newCluster(t)
	c.delayed = true
	if response, err := c.call(forwardedBatch("one", 1)); response != nil || err != nil {
		t.Fatalf("replied before the batch was durable: %v %v", response, err)
	}
	first := c.lastCall
	if response, err := c.call(forwardedBatch("one", 1)); response != nil || err != nil {
		t.Fatalf("replied to the repeated call before the batch was durable: %v %v", response, err)
	}
	if len(c.tasks) != 0 {
		t.Fatalf("tasks before the batch is durable: %v", c.tasks)
	}
	c.executeDelayed()
	if got, ok := c.replies[first].Body.(SubmitResponse); !ok || got.Repeated {
		t.Fatalf("once the batch is durable, the reply is %+v", c.replies[first])
	}
	if got, ok := c.replies[c.lastCall].Body.(SubmitResponse); !ok || !got.Repeated {
		t.Fatalf("once the batch is durable, the reply to the repeated call is %+v", c.replies[c.lastCall])
	}
	if len(c.tasks) != 1 {
		t.Fatalf("the tasks are %v, want one", c.tasks)
	}
}

func TestOutcomeIsUnknownAtTheDeadline(t *testing.T) {
	c := newCluster(t)
	c.delayed = true
	if response, err := c.call(forwardedBatch("one", 1)); response != nil || err != nil {
		t.Fatalf("replied before the batch was durable: %v %v", response, err)
	}
	c.advance(clock.Second + 100*clock.Millisecond)
	if err := c.replies[c.lastCall].Err; !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("the error at the deadline is %v", err)
	}
	if got := c.stores["a"].UnknownOutcomes; got != 1 {
		t.Fatalf("%d unknown outcomes were counted, want 1", got)
	}
}

func TestBatchIsRejectedBeforeAnythingIsWritten(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*cluster)
		kind    errs.Kind
	}{
		"the key was used for another body": {func(c *cluster) {
			other := forwardedBatch("one", 1)
			other.Batch.Hash = "other"
			c.mustCall(other)
		}, errs.Conflict},
		"the store is draining": {func(c *cluster) { c.do("a", Drain{}) }, errs.NotReady},
		"the store is full":     {func(c *cluster) { c.stores["a"].settings.MaxItems = 0 }, errs.Busy},
		"the lease has ended":   {func(c *cluster) { c.now += 10 * clock.Second }, errs.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			test.prepare(c)
			group := c.stores["a"].groups.Group(Unit(0))
			before := group.Seq
			c.mustReject(test.kind, forwardedBatch("one", 1))
			if group.Seq != before {
				t.Fatal("an entry was appended")
			}
		})
	}
}
