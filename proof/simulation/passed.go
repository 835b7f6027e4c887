package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/path/modelclient"
	"tuliprudder/proof/modelcontent"
)

// This file is the servers' side of requests that are passed on unchanged: what a
// server may do wrong with one, and at which moment.

// trouble is what a server does wrong with requests that are passed on to it.
type trouble string

// The troubles. A server resets or closes the connection, says nothing more, fails
// the request with its own word, answers late, answers a second time, or goes on
// with a stream at the wrong event.
const (
	noTrouble    trouble = ""
	resets       trouble = "reset"
	closes       trouble = "close"
	isSilent     trouble = "silence"
	failsIt      trouble = "failure"
	answersLate  trouble = "late answer"
	answersAgain trouble = "second answer"
	wrongEvent   trouble = "wrong event"
)

var troubles = []trouble{resets, closes, isSilent, failsIt, answersLate, answersAgain, wrongEvent}

// The words by which a shell tells refusals apart.
const (
	saidNotRun = "503"
	saidFailed = "500"
)

// passed is a request that is passed on to a server unchanged, on its server.
type passed struct {
	resume  int // the last event the caller has; 0 for none
	trouble trouble
	stopAt  int // pieces sent by this server before the trouble strikes
	sent    int
}

// passOn sends a request to the server at an address, unchanged.
func (w *World) passOn(n *Node, request modelclient.Request, resume int, event func(id int, text string), done func(modelclient.Outcome, string)) *serving {
	p := &passed{resume: resume, stopAt: w.Chance.Intn(pieces+2) - 1}
	if s := w.byAddress[request.Address]; s != nil && s.trouble != noTrouble && w.Chance.Intn(2) == 0 {
		p.trouble = s.trouble
	}
	if p.trouble == wrongEvent && resume+1 >= pieces {
		p.trouble = noTrouble // without a further event nobody could tell
	}
	id := resume
	if p.trouble == wrongEvent && resume > 0 {
		id++
	}
	one := w.Serve(n, request, func(text string) {
		id++
		event(id, text)
	}, done)
	one.passed = p
	return one
}

// rest drops the events that the caller has.
func (p *passed) rest(left []string) []string {
	from := p.resume
	if p.trouble == wrongEvent && p.resume > 0 {
		from++
	}
	return left[min(from, len(left)):]
}

func (p *passed) resumes() bool { return p != nil && p.resume > 0 }

func (p *passed) advance() {
	if p != nil {
		p.sent++
	}
}

// latest is the longest that a late answer waits.
const latest = 5 * clock.Second

func (p *passed) delay(w *World) clock.Micros {
	if p == nil || p.trouble != answersLate {
		return 0
	}
	return w.between(clock.Second, latest)
}

// stopsHere strikes where the request's trouble is due: true when the server does
// nothing more for it. A connection may break before the server has run anything.
func (p *passed) stopsHere(one *serving) bool {
	s := one.server
	begun := p.sent > 0 || len(one.left) > 0
	due := p.stopAt < 0 && !begun || begun && p.sent >= max(0, p.stopAt)
	if !due {
		return false
	}
	switch p.trouble {
	case resets, closes:
		s.drop(one)
		one.reset("the connection ended: " + string(p.trouble))
	case failsIt:
		if !begun {
			return false // it fails what it has begun
		}
		s.drop(one)
		s.world.Watch.failed(one.request.Input)
		one.reach(func() { one.end(modelclient.Rejected, saidFailed) })
	case isSilent:
		// It holds its slot until the client goes.
	default:
		return false
	}
	return true
}

// surplus sends the whole answer once more on the same connection.
func (p *passed) surplus(one *serving) {
	if p == nil || p.trouble != answersAgain {
		return
	}
	for _, text := range modelcontent.Pieces(one.request.Input, pieces) {
		one.reach(func() {
			if !one.over {
				one.piece(text)
			}
		})
	}
	one.reach(func() { one.end(modelclient.Complete, "") })
}

// troubled lets a server do one thing wrong with what is passed on to it.
func (s *Server) troubled(what trouble) func() {
	s.trouble = what
	s.world.Note("%s: %s for requests that are passed on", s.Name, what)
	return func() {
		s.trouble = noTrouble
		s.world.Note("%s: no more %s", s.Name, what)
	}
}
