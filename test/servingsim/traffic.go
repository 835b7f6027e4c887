package servingsim

import (
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/internal/clock"
)

// liveRequest is a caller's request, across all its retries.
type liveRequest struct {
	world        *World
	class        LiveClass
	id           string
	zone         int
	promptTokens int
	outputTokens int
	receivedAt   clock.Micros
	deadline     clock.Micros
	firstEvent   clock.Micros
	lastEvent    clock.Micros
	longestGap   clock.Micros
	isOver       bool
}

// maxGap is the longest pause between two events with which an answer still counts as in time.
const maxGap = 200 * clock.Millisecond

// start schedules the first requests and batches.
func (w *World) start(end clock.Micros) {
	for zone := range w.Deployment.Zones {
		for _, class := range w.Deployment.Live {
			w.scheduleLiveRequest(class, zone, end)
		}
	}
	w.scheduleFirstBurst(end)
}

// scheduleLiveRequest schedules the next request of a class in a zone, after a random time.
func (w *World) scheduleLiveRequest(class LiveClass, zone int, end clock.Micros) {
	w.after(w.exponential(1/(class.PerSecond*w.loadFactor())), func() {
		if w.now >= end {
			return
		}
		w.requests++
		r := &liveRequest{
			world: w, class: class, id: fmt.Sprint("live-", w.requests), zone: zone,
			promptTokens: w.spread(class.PromptTokens, 0.8, 3), outputTokens: w.spread(class.OutputTokens, 0.8, 3),
			receivedAt: w.now, deadline: w.now + class.Timeout,
		}
		w.classResult(class.Name).Total++
		w.randomEdge(zone).serve(r, 0)
		w.scheduleLiveRequest(class, zone, end)
	})
}

// loadFactor returns the current factor of the live traffic.
func (w *World) loadFactor() float64 {
	if w.Deployment.LoadFactor == nil {
		return 1
	}
	return w.Deployment.LoadFactor(w.now - w.startedAt)
}

// randomEdge picks an edge of a zone, with a bias to the first ones: callers are spread unevenly.
func (w *World) randomEdge(zone int) *edge {
	n := w.Deployment.EdgesPerZone
	at := min(w.random.Intn(n), w.random.Intn(n+n/2))
	return w.edges[zone*n+at]
}

// recordEvent records the arrival of an event of the answer.
func (r *liveRequest) recordEvent(now clock.Micros) {
	if r.firstEvent == 0 {
		r.firstEvent = now
	} else {
		r.longestGap = max(r.longestGap, now-r.lastEvent)
	}
	r.lastEvent = now
}

func (r *liveRequest) complete(now clock.Micros) {
	if r.isOver || now > r.deadline {
		return
	}
	r.isOver = true
	result := r.world.classResult(r.class.Name)
	if r.firstEvent-r.receivedAt <= r.class.Target && r.longestGap <= maxGap {
		result.InTime++
	} else {
		result.Late++
	}
}

// retryOrFail handles a refusal: the caller retries while it has retries and time left.
func (r *liveRequest) retryOrFail(retries int, retryAfter clock.Micros) {
	w := r.world
	if r.isOver || retries >= r.class.Retries || w.now+retryAfter >= r.deadline {
		r.fail()
		return
	}
	w.after(max(retryAfter, 20*clock.Millisecond), func() { w.randomEdge(r.zone).serve(r, retries+1) })
}

func (r *liveRequest) fail() {
	if !r.isOver {
		r.isOver = true
		r.world.classResult(r.class.Name).Failed++
	}
}

// batch is a caller's batch.
type batch struct {
	id          string
	submittedAt clock.Micros
	items       []batchItem
}

type batchItem struct{ promptTokens, outputTokens int }

// scheduleFirstBurst schedules the first burst of batches.
func (w *World) scheduleFirstBurst(end clock.Micros) {
	class := w.Deployment.Batch
	if class.BurstInterval == 0 {
		return
	}
	w.after(class.BurstInterval/5, func() { w.submitBurst(end) })
}

// submitBurst submits a burst of batches at random times within a second, and schedules the next one.
func (w *World) submitBurst(end clock.Micros) {
	if w.now >= end {
		return
	}
	for range w.Deployment.Batch.BatchesPerBurst {
		w.after(clock.Micros(w.random.Int63n(int64(clock.Second))), w.submitBatch)
	}
	w.after(w.Deployment.Batch.BurstInterval, func() { w.submitBurst(end) })
}

func (w *World) submitBatch() {
	class := w.Deployment.Batch
	w.batches++
	b := &batch{id: fmt.Sprint("batch-", w.batches), submittedAt: w.now}
	for range w.spread(float64(class.Items), 0.5, 2) {
		b.items = append(b.items, batchItem{w.spread(class.PromptTokens, 0.4, 2), w.spread(class.OutputTokens, 0.5, 2)})
	}
	w.open = append(w.open, b)
	w.classResult(batchRoute).Total += len(b.items)
	w.stores[w.random.Intn(len(w.stores))].submit(b)
}

// item returns an item of a batch by its ID.
func (w *World) item(batchID, itemID string) batchItem {
	index, _ := strconv.Atoi(itemID[strings.LastIndex(itemID, "-")+1:])
	return w.batchByID(batchID).items[index]
}

func (w *World) batchByID(id string) *batch {
	number, _ := strconv.Atoi(strings.TrimPrefix(id, "batch-"))
	return w.open[number-1]
}

func (w *World) itemFinished(batchID string, _ int, succeeded bool, now clock.Micros) {
	result := w.classResult(batchRoute)
	switch {
	case !succeeded:
		result.Failed++
	case now-w.batchByID(batchID).submittedAt <= w.Deployment.Batch.Due:
		result.InTime++
	default:
		result.Late++
	}
}
