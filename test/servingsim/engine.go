package servingsim

import (
	"slices"

	"tuliprudder/internal/clock"
)

// Engine describes the capacity and speed of a model server.
type Engine struct {
	Slots        int          // requests that run concurrently
	QueueLimit   int          // longest queue of waiting requests
	MemoryTokens int          // for the prompts and outputs of all running requests
	StepTime     clock.Micros // time of a step that decodes one token of every running request
	PrefillRate  float64      // prompt tokens per microsecond
	ChunkTokens  int          // most prompt tokens prefilled in one step
	FirstDelay   clock.Micros // from a token or the end of the output to its delivery
	EventTokens  int          // tokens per event
}

// job is one request on a server.
type job struct {
	id           string
	promptTokens int
	outputTokens int
	deadline     clock.Micros // 0: none

	prefillLeft int
	produced    int // tokens since it was last admitted
	total       int // tokens produced in all, also before preemptions
	started     bool
	onStart     func(load serverLoad)
	onEvent     func() // each event after the first
	onEnd       func(outcome jobOutcome, load serverLoad)
}

func (j *job) memory() int { return j.promptTokens - j.prefillLeft + j.produced }

// serverLoad is the load that a server reports with its answers.
type serverLoad struct{ running, waiting int }

// jobOutcome is how a request ended on a server.
type jobOutcome int

const (
	jobDone jobOutcome = iota
	jobRejected
	jobFailed
)

// server is a model server that prefills prompts in chunks between the decoding steps of all running
// requests, and whose memory is counted in tokens.
type server struct {
	world   *World
	name    string
	address string
	zone    string
	engine  Engine
	failing bool // fails each request at once

	startedAt clock.Micros
	draining  bool
	endedAt   clock.Micros // 0: still running

	waiting       []*job
	running       []*job // in the order of admission
	stepScheduled bool   // a step is scheduled

	// Counters.
	preempted int // requests evicted from memory
	busyFor   clock.Micros
}

// load counts a request as running from its first token on; during prefill it counts as waiting.
func (s *server) load() serverLoad {
	load := serverLoad{waiting: len(s.waiting)}
	for _, j := range s.running {
		if j.started {
			load.running++
		} else {
			load.waiting++
		}
	}
	return load
}

// submit queues a request. It rejects it if the queue is full or the request exceeds the memory, and
// fails it if the server is failing or has ended.
func (s *server) submit(j *job) {
	switch {
	case s.failing, s.endedAt > 0:
		j.onEnd(jobFailed, s.load())
		return
	case len(s.waiting) >= s.engine.QueueLimit || j.promptTokens+j.outputTokens > s.engine.MemoryTokens:
		j.onEnd(jobRejected, s.load())
		return
	}
	j.prefillLeft = j.promptTokens
	s.waiting = append(s.waiting, j)
	s.schedule()
}

// cancel removes a request from the queue or from the running ones, without a result.
func (s *server) cancel(id string) {
	isIt := func(j *job) bool { return j.id == id }
	s.waiting = slices.DeleteFunc(s.waiting, isIt)
	s.running = slices.DeleteFunc(s.running, isIt)
}

func (s *server) schedule() {
	if !s.stepScheduled && len(s.waiting)+len(s.running) > 0 {
		s.stepScheduled = true
		s.step()
	}
}

func (s *server) memoryUsed() int {
	used := 0
	for _, j := range s.running {
		used += j.memory() + j.prefillLeft
	}
	return used
}

// admit starts waiting requests in order while there are free slots and memory. Those past their
// deadline are rejected.
func (s *server) admit() {
	used := s.memoryUsed()
	for len(s.waiting) > 0 && len(s.running) < s.engine.Slots {
		j := s.waiting[0]
		if j.deadline > 0 && s.world.now >= j.deadline {
			s.waiting = s.waiting[1:]
			j.onEnd(jobRejected, s.load())
			continue
		}
		used += j.memory() + j.prefillLeft
		if used > s.engine.MemoryTokens {
			return
		}
		s.waiting = s.waiting[1:]
		s.running = append(s.running, j)
	}
}

// evict preempts the newest requests while the memory is exceeded. They go back to the front of the
// queue and are prefilled again, with the tokens produced so far.
func (s *server) evict() {
	for s.memoryUsed() > s.engine.MemoryTokens && len(s.running) > 1 {
		last := s.running[len(s.running)-1]
		s.running = s.running[:len(s.running)-1]
		last.prefillLeft = last.promptTokens + last.produced
		last.promptTokens += last.produced
		last.outputTokens -= last.produced
		last.produced = 0
		s.waiting = slices.Insert(s.waiting, 0, last)
		s.preempted++
	}
}

// step runs one step of the engine and schedules its end.
func (s *server) step() {
	s.admit()
	if len(s.running) == 0 {
		s.stepScheduled = false
		return
	}
	budget := s.engine.ChunkTokens
	prefilled := map[*job]bool{}
	for _, j := range s.running {
		chunk := min(budget, j.prefillLeft)
		if j.prefillLeft > 0 {
			j.prefillLeft -= chunk
			budget -= chunk
			prefilled[j] = true
		}
	}
	chunkTokens := s.engine.ChunkTokens - budget
	duration := s.engine.StepTime + clock.Micros(float64(chunkTokens)/s.engine.PrefillRate)
	s.busyFor += duration
	s.world.after(duration, func() { s.finishStep(prefilled) })
}

// finishStep adds the tokens that a step decoded, evicts requests if memory is exceeded, and starts the
// next step.
func (s *server) finishStep(prefilled map[*job]bool) {
	for _, j := range slices.Clone(s.running) {
		if j.prefillLeft > 0 || prefilled[j] && j.produced > 0 {
			continue
		}
		j.produced++
		j.total++
		s.produce(j)
	}
	s.evict()
	s.step()
}

// produce reports the events that a new token completes, and the end of the request.
func (s *server) produce(j *job) {
	if !j.started {
		j.started = true
		load := s.load()
		s.world.after(s.engine.FirstDelay, func() { j.onStart(load) })
	} else if j.total%s.engine.EventTokens == 0 && j.onEvent != nil {
		s.world.after(s.engine.FirstDelay, j.onEvent)
	}
	if j.produced >= j.outputTokens {
		s.running = slices.DeleteFunc(s.running, func(other *job) bool { return other == j })
		load := s.load()
		s.world.after(s.engine.FirstDelay, func() { j.onEnd(jobDone, load) })
	}
}
