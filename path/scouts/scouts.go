// Package scouts reads the servers' pages, each server by one daemon: the first
// live trailhead in that server's agreed order (DESIGN §7.2). The figures go
// out under the duty's epoch; the others turn lower ones away.
package scouts

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"tuliprudder/acquaintance/people"
	"tuliprudder/kernel/almhut"
	"tuliprudder/kernel/belay"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/sundial"
	"tuliprudder/path/dispatch"
	"tuliprudder/path/roster"
	"tuliprudder/path/serverline"
)

// News is what a scout needs of the daemon's shell.
type News interface {
	Folk() []people.Person
	News(key string) (stride.Rumour, bool)
	Tell(rumour stride.Rumour)
	Now() sundial.Micros
}

// Scouts is the service.
type Scouts struct {
	Self     string
	News     News
	Dispatch *dispatch.Dispatch
	Every    sundial.Micros

	mu   sync.Mutex
	busy map[string]bool
	next map[string]sundial.Micros // when a server is due again
}

// Start starts the thread.
func (s *Scouts) Start(_ *almhut.Hut, ends *belay.Stack) error {
	s.busy, s.next = map[string]bool{}, map[string]sundial.Micros{}
	belay.Every(ends, sundial.Span(s.Every/hurry), s.round)
	return nil
}

// hurry is how much more often a busy server is looked at: old figures of a full
// server keep orders waiting that it could take.
const hurry = 4

func (s *Scouts) round() {
	folk := s.News.Folk()
	for _, server := range s.Dispatch.Servers() {
		if server.Gone || roster.First("load/"+server.Name, folk, people.Trailhead) != s.Self {
			continue
		}
		s.mu.Lock()
		busy := s.busy[server.Name] || s.News.Now() < s.next[server.Name]
		if !busy {
			s.busy[server.Name] = true
		}
		s.mu.Unlock()
		if !busy {
			go s.look(server)
		}
	}
}

// look reads one server's pages and spreads the figures. Taking the duty over
// raises its epoch by one.
func (s *Scouts) look(server roster.Server) {
	defer func() {
		s.mu.Lock()
		delete(s.busy, server.Name)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := s.News.Now()
	running, waiting, err := serverline.Figures(ctx, server.Address)
	rest := s.Every
	if 2*(running+waiting) >= server.Slots && err == nil {
		rest = s.Every / hurry
	}
	s.mu.Lock()
	s.next[server.Name] = began + rest - s.Every/(2*hurry)
	s.mu.Unlock()
	load := roster.Load{Running: running, Waiting: waiting, Sound: err == nil, At: began, By: s.Self}
	epoch, seq := uint64(1), uint64(1)
	if known, ok := s.News.News(roster.LoadKey(server.Name)); ok {
		epoch, seq = known.Epoch, known.Seq+1
		var last roster.Load
		if json.Unmarshal(known.Value, &last) != nil || last.By != s.Self {
			epoch, seq = epoch+1, 1
		}
	}
	value, _ := json.Marshal(load)
	s.News.Tell(stride.Rumour{Key: roster.LoadKey(server.Name), Epoch: epoch, Seq: seq, Value: value})
}
