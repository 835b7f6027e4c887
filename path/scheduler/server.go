package scheduler

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/path/registry"
)

type serverState struct {
	server    registry.Server
	load      registry.Load
	loadEpoch uint64
	own       int
	presences []*presence // this daemon's orders of late
	others    int         // the others' orders at the last figure
	latency   clock.Micros
	failures  int
	restUntil clock.Micros
	bundles   int           // this daemon's items
	opening   int           // those of them that it has not begun
	reading   int64         // prompt tokens of this daemon's orders that it has not begun
	pending   []*Assignment // these orders, the oldest first
	lastSign  clock.Micros  // when it last began or ended one
	window    window        // of items
}

// silent is how long the server has left this daemon's orders without a sign.
func (s *serverState) silent(now clock.Micros) clock.Micros {
	if len(s.pending) == 0 {
		return 0
	}
	return now - max(s.lastSign, s.pending[0].Started)
}

// presence is one order's time on a server; it has not ended while end is 0.
type presence struct{ start, end clock.Micros }

// setLoad takes a reading: what it counts beyond this daemon's own orders at that
// time is the others'.
func (s *serverState) setLoad(load registry.Load) {
	mine := 0
	kept := s.presences[:0]
	for _, one := range s.presences {
		if one.start <= load.At && (one.end == 0 || one.end > load.At) {
			mine++
		}
		if one.end == 0 || one.end > load.At {
			kept = append(kept, one)
		}
	}
	s.presences = kept
	s.load, s.others = load, max(0, load.Running+load.Waiting-mine)
}

// ServerView is one server as this daemon sees it.
type ServerView struct {
	registry.Server
	Load    registry.Load `json:"load"`
	Own     int           `json:"own"`
	Latency clock.Micros  `json:"latency_us"`
}

func (s *serverState) healthy() bool { return s.failures < 3 && (s.load.At == 0 || s.load.Sound) }
