package eventloop

import (
	"sync/atomic"
	"testing"

	"tuliprudder/internal/machine"
)

// The queue is bounded by count and by bytes: a put into a full queue blocks until the disk
// writer has taken an effect, and no effect is lost or reordered.
func TestDiskQueueIsBounded(t *testing.T) {
	for name, queue := range map[string]*diskQueue{
		"by count": newDiskQueue(3, 1<<20),
		"by bytes": newDiskQueue(1000, 3*2*recordOverhead),
	} {
		t.Run(name, func(t *testing.T) { checkQueueOfThree(t, queue) })
	}
}

// checkQueueOfThree concurrently puts 50 effects into a queue with space for three and takes
// them out.
func checkQueueOfThree(t *testing.T, queue *diskQueue) {
	const effects, space = 50, 3
	var put atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for token := uint64(1); token <= effects; token++ {
			queue.put(persistOf(token))
			put.Add(1)
		}
	}()
	var got []uint64
	for len(got) < effects {
		for _, effect := range queue.take(2) {
			got = append(got, effect.(machine.Persist).Token)
		}
		if queued, _ := queue.load(); queued > space || int(put.Load()) > len(got)+space {
			t.Fatalf("%d are queued", queued)
		}
	}
	<-done
	for i, token := range got {
		if token != uint64(i+1) {
			t.Fatalf("taken in the order %v", got)
		}
	}
	if queued, bytes := queue.load(); queued != 0 || bytes != 0 {
		t.Fatalf("%d are queued with %d bytes", queued, bytes)
	}
}

// A single effect larger than the queue is still accepted, and a blocked put returns when the
// queue is closed.
func TestDiskQueueCloses(t *testing.T) {
	q := newDiskQueue(10, 1000)
	large := machine.Compact{Records: []machine.Record{{Body: make([]byte, 5000)}}}
	if !q.put(large) {
		t.Fatal("a large effect was rejected")
	}
	waiting := make(chan bool)
	go func() { waiting <- q.put(persistOf(1)) }()
	q.close()
	if <-waiting {
		t.Fatal("a closed queue accepted an effect")
	}
	if len(q.take(10)) != 1 || q.take(10) != nil {
		t.Fatal("the effect that was queued at the close is not taken exactly once")
	}
}
