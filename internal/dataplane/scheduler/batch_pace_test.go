package scheduler

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// paceAfter is the pace after a while in which one of some signals each 20 ms tells of a queue.
func paceAfter(p *batchPace, congestedOf int, from, length clock.Micros) clock.Micros {
	i := 0
	for ; length > 0; length -= 20 * clock.Millisecond {
		from += 20 * clock.Millisecond
		i++
		p.observe(congestedOf > 0 && i%congestedOf == 0, from)
		p.adjust(from)
	}
	return from
}

// The pace falls while many signals tell of a queue, to its least, and rises again when few do.
func TestThePaceFollowsTheQueues(t *testing.T) {
	var p batchPace
	now := paceAfter(&p, 0, 100*clock.Second, 2*clock.Second)
	if p.factor() != 1 {
		t.Fatalf("without a queue the pace is %v", p.factor())
	}
	now = paceAfter(&p, 4, now, 2*clock.Second) // a quarter: servers often prefill something
	if p.factor() != 1 {
		t.Fatalf("with a queue now and then the pace is %v", p.factor())
	}
	now = paceAfter(&p, 2, now, clock.Second)
	if got := p.factor(); got > 0.6 || got < minPace {
		t.Fatalf("after a second of queues the pace is %v", got)
	}
	now = paceAfter(&p, 1, now, 10*clock.Second)
	if p.factor() != minPace {
		t.Fatalf("after ten seconds of queues the pace is %v", p.factor())
	}
	now = paceAfter(&p, 0, now, clock.Second)
	if got := p.factor(); got <= minPace || got > minPace+6*paceIncrease {
		t.Fatalf("a second later the pace is %v", got)
	}
	paceAfter(&p, 0, now, 5*clock.Second)
	if p.factor() != 1 {
		t.Fatalf("six seconds later the pace is %v", p.factor())
	}
}

// A few signals decide nothing, and old ones count no more.
func TestFewSignalsDecideNothing(t *testing.T) {
	var p batchPace
	now := 100 * clock.Second
	p.observe(true, now)
	p.adjust(now + 1)
	if p.factor() != 1 {
		t.Errorf("after one signal the pace is %v", p.factor())
	}
	for range 100 {
		p.observe(true, now+paceInterval)
	}
	p.adjust(now + 60*signalMemory)
	if p.factor() != 1 {
		t.Errorf("after old signals the pace is %v", p.factor())
	}
}

// An item that begins late tells of a queue, one that begins about as soon as ever does not.
func TestDelaysTellOfQueues(t *testing.T) {
	for name, c := range map[string]struct {
		delay clock.Micros
		slows bool
	}{
		"as ever":            {60 * clock.Millisecond, false},
		"a little longer":    {150 * clock.Millisecond, false},
		"a lot longer":       {400 * clock.Millisecond, true},
		"very short for all": {30 * clock.Millisecond, false},
	} {
		var p batchPace
		now := 100 * clock.Second
		for range 50 {
			now += 20 * clock.Millisecond
			p.observeDelay(60*clock.Millisecond, now)
		}
		for range 50 {
			now += 20 * clock.Millisecond
			p.observeDelay(c.delay, now)
			p.adjust(now)
		}
		if slowed := p.factor() < 1; slowed != c.slows {
			t.Errorf("%s: the pace is %v", name, p.factor())
		}
	}
}

// Places follow the pace.
func TestPlacesFollowThePace(t *testing.T) {
	sc := newFleetScheduler(1, 10, 10)
	now := 100 * clock.Second
	all := BatchAllotment{Size: 1, Total: 1}
	sc.SetBatchAllotment(all, now)
	if got := len(sc.batch.inOrder); got != 70 {
		t.Fatalf("%d places", got)
	}
	queue := &endpoints.ReportedLoad{Running: 9, Waiting: 5, Slots: 10}
	for range 500 {
		now += 20 * clock.Millisecond
		sc.ObserveLoad("server-0-03", queue, now)
		all.Pace = sc.BatchPace()
		sc.SetBatchAllotment(all, now)
	}
	if got := len(sc.batch.inOrder); got != 18 { // a quarter of 70, rounded
		t.Errorf("%d places while servers queue", got)
	}
}
