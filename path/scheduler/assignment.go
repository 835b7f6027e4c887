package scheduler

import (
	"slices"

	"tuliprudder/kernel/clock"
	"tuliprudder/path/registry"
	"tuliprudder/path/scoring"
)

// Assignment is an order's hold on its chosen server.
type Assignment struct {
	Server    registry.Server
	Scores    []scoring.Score
	Started   clock.Micros
	bundle    bool
	prompt    int64
	begun     bool
	presence  *presence
	scheduler *Scheduler
	server    *serverState
	released  bool
}

// Began notes that the server has begun the order: its prompt is read.
func (g *Assignment) Began(now clock.Micros) {
	if g.released || g.begun {
		return
	}
	g.server.lastSign = now
	if g.bundle {
		g.server.window.began(now-g.Started, now)
	}
	g.begin()
}

func (g *Assignment) begin() {
	if g.begun {
		return
	}
	g.begun = true
	g.scheduler.changed = true
	g.server.reading -= g.prompt
	if g.bundle {
		g.server.opening--
	}
	g.server.pending = slices.DeleteFunc(g.server.pending, func(one *Assignment) bool { return one == g })
}

// Release lets the server go: took is how long the order ran (0: unknown), and
// ok whether the server behaved.
func (g *Assignment) Release(took clock.Micros, ok bool, now clock.Micros) {
	if g.released {
		return
	}
	g.begin()
	g.released = true
	g.server.own--
	g.presence.end = now
	if g.bundle {
		g.scheduler.bundles--
		g.server.bundles--
	}
	if ok {
		g.server.lastSign = now
	}
	g.scheduler.changed = true
	if ok {
		g.server.failures = 0
		if took > 0 {
			if g.server.latency == 0 {
				g.server.latency = took
			}
			g.server.latency += (took - g.server.latency) / 8
		}
		return
	}
	g.server.failures++
	g.server.restUntil = now + g.scheduler.set.Rest*clock.Micros(min(g.server.failures, 8))
	if g.server.failures >= 3 {
		g.server.failures = 2 // after its rest it may be tried once
	}
}

// Abandon lets the server go without a report on it: its order ended for reasons of its
// own.
func (g *Assignment) Abandon(now clock.Micros) {
	if g.released {
		return
	}
	heard, failures := g.server.lastSign, g.server.failures
	g.Release(0, true, now)
	g.server.lastSign, g.server.failures = heard, failures
}

// Rejected notes that the server was full: it rests a moment.
func (g *Assignment) Rejected(now clock.Micros) {
	g.server.restUntil = now + g.scheduler.set.Rest
	g.Release(0, true, now)
}
