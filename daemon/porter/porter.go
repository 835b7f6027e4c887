// Package porter is the thin shell round a daemon's machines (DESIGN §2):
// threads, bounded rings, net/rpc and the disk. It decides nothing.
package porter

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"tuliprudder/acquaintance/circle"
	"tuliprudder/acquaintance/people"
	"tuliprudder/kernel/almhut"
	"tuliprudder/kernel/belay"
	"tuliprudder/kernel/footbridge"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/ropeway"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/strongroom"
	"tuliprudder/kernel/sundial"
)

// Machine is what the shell needs of the machine of a daemon's plane.
type Machine interface {
	Letter(from string, body any, now sundial.Micros) []stride.Effect
	Stored(token uint64, now sundial.Micros) []stride.Effect
	Heard(rumour stride.Rumour, now sundial.Micros) []stride.Effect
	Call(number uint64, body any, now sundial.Micros) []stride.Effect
	ClockEvent(now sundial.Micros) []stride.Effect
}

// Name is the porter's name in the hut.
const Name = "porter"

const (
	ringSize  = 65536
	diskRing  = 65536
	tickEvery = 15 * time.Millisecond
	askMost   = 30 * time.Second
)

type step func(now sundial.Micros) []stride.Effect

// Porter is the shell.
type Porter struct {
	Who     Identity
	Zone    string
	Address string // to listen on for the fleet's own traffic
	Sundial *sundial.Sundial
	Log     zerolog.Logger
	Bridge  *footbridge.Bridge
	Room    *strongroom.Room
	Shelf   *strongroom.Shelf

	circle   *circle.Circle
	circleMu sync.Mutex
	gossip   *ropeway.Ring[step]

	machine   Machine
	machineMu sync.Mutex
	protocol  *ropeway.Ring[step]
	disk      *ropeway.Ring[stride.Effect]

	listeners []func(stride.Rumour)
	onSwap    func(sundial.Micros)
	onWork    func(any)
	asked     func(body any) (any, error, bool)

	calls   sync.Map
	number  atomic.Uint64
	ticking [2]atomic.Bool
	exit    func(code int)
}

// New makes the shell of a daemon.
func New(person people.Person, seeds []string, who Identity, log zerolog.Logger) *Porter {
	p := &Porter{Who: who, Zone: person.Zone, Address: person.Peer, Sundial: sundial.New(clockwork.NewRealClock()), Log: log, exit: os.Exit,
		gossip: ropeway.New[step](ringSize)}
	p.circle = circle.New(person, seeds, circle.Defaults(), int64(who.Life)^int64(len(who.ID))^time.Now().UnixNano())
	p.Bridge = footbridge.New(person.Peer, p)
	return p
}

// Carry gives the porter the machine of the daemon's plane.
func (p *Porter) Carry(machine Machine, room *strongroom.Room) {
	p.machine, p.Room = machine, room
	p.protocol, p.disk = ropeway.New[step](ringSize), ropeway.New[stride.Effect](diskRing)
}

// Listen adds someone who hears the news; OnSwap, OnWork and OnAsk likewise for
// fresh digests, work and asks that are not the machine's.
func (p *Porter) Listen(listener func(stride.Rumour)) { p.listeners = append(p.listeners, listener) }

// OnSwap is told when a digest was answered.
func (p *Porter) OnSwap(f func(sundial.Micros)) { p.onSwap = f }

// OnWork is handed the machine's work.
func (p *Porter) OnWork(f func(any)) { p.onWork = f }

// OnAsk answers asks that are not for the machine.
func (p *Porter) OnAsk(f func(body any) (any, error, bool)) { p.asked = f }

// Now is the daemon's time.
func (p *Porter) Now() sundial.Micros { return p.Sundial.Now() }

// Start starts the threads.
func (p *Porter) Start(_ *almhut.Hut, ends *belay.Stack) error {
	unlisten, err := p.Bridge.Listen(p.Address)
	if err != nil {
		return err
	}
	ends.Push(unlisten)
	var threads sync.WaitGroup
	run := func(f func()) {
		threads.Add(1)
		go func() { defer threads.Done(); f() }()
	}
	run(func() { p.turn(p.gossip, &p.circleMu) })
	if p.machine != nil {
		run(func() { p.turn(p.protocol, &p.machineMu) })
		run(p.write)
	}
	ends.Push(func() {
		p.gossip.Close()
		if p.machine != nil {
			p.protocol.Close()
			p.disk.Close()
		}
		threads.Wait()
	})
	belay.Every(ends, tickEvery, p.clock)
	return nil
}

// turn is a protocol thread: it takes steps off its ring, one after the other.
func (p *Porter) turn(ring *ropeway.Ring[step], mu *sync.Mutex) {
	for {
		steps := ring.Take(256)
		if steps == nil {
			return
		}
		for _, one := range steps {
			mu.Lock()
			effects := one(p.Now())
			mu.Unlock()
			p.carry(effects)
		}
	}
}

// clock sends a clock event to each machine; one that was not taken yet is not
// doubled.
func (p *Porter) clock() {
	p.tick(0, p.gossip, func(now sundial.Micros) []stride.Effect { return p.circle.Do(circle.ClockEvent{}, now) })
	if p.machine != nil {
		p.tick(1, p.protocol, p.machine.ClockEvent)
	}
}

func (p *Porter) tick(which int, ring *ropeway.Ring[step], do step) {
	if p.ticking[which].Swap(true) {
		return
	}
	if !ring.Put(func(now sundial.Micros) []stride.Effect { p.ticking[which].Store(false); return do(now) }) {
		p.ticking[which].Store(false)
	}
}

// carry does what a machine decided.
func (p *Porter) carry(effects []stride.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case stride.Send:
			if e.To != "" {
				p.Bridge.Send(e.To, e.Body)
			}
		case stride.Store, stride.Fold, stride.Shelve, stride.Unshelve:
			if !p.disk.Put(effect) {
				p.Log.Error().Int("waiting", p.disk.Len()).Msg("the disk takes no more writes; ending, so that the pair's other end serves")
				p.exit(3)
			}
		case stride.Answer:
			if waiting, ok := p.calls.LoadAndDelete(e.Call); ok {
				waiting.(chan stride.Answer) <- e
			}
		case stride.Publish:
			p.Tell(e.Rumour)
		case stride.Heard:
			p.heard(e.Rumour)
		case stride.Explain:
			p.Log.Info().Fields(e.Fields).Msg(e.What)
		case stride.Halt:
			p.Log.Error().Err(e.Err).Msg("ending")
			os.Stderr.WriteString(p.Who.ID + ": " + e.Err.Error() + "\n")
			p.exit(4)
		case stride.Work:
			if p.onWork != nil {
				p.onWork(e.Order)
			}
		}
	}
}

func (p *Porter) heard(rumour stride.Rumour) {
	for _, listener := range p.listeners {
		listener(rumour)
	}
	if p.machine != nil {
		p.Do(func(now sundial.Micros) []stride.Effect { return p.machine.Heard(rumour, now) })
	}
}

// write is the disk's thread. What waits when it comes round is one commit
// group: one file, one sync of it and one of its folder.
func (p *Porter) write() {
	for {
		batch := p.disk.Take(1024)
		if batch == nil {
			return
		}
		var records []stride.Record
		var tokens []uint64
		stored := func(done []uint64) {
			for !p.Do(func(now sundial.Micros) []stride.Effect {
				var out []stride.Effect
				for _, token := range done {
					out = append(out, p.machine.Stored(token, now)...)
				}
				return out
			}) {
				if p.protocol.Len() == 0 {
					return // closed
				}
				time.Sleep(time.Millisecond)
			}
		}
		flush := func() {
			if len(records) == 0 {
				return
			}
			p.must(p.Room.Write(records))
			done := tokens
			records, tokens = nil, nil
			stored(done)
		}
		for _, effect := range batch {
			switch e := effect.(type) {
			case stride.Store:
				records = append(records, e.Records...)
				tokens = append(tokens, e.Token)
			case stride.Fold:
				flush()
				p.must(p.Room.Fold(e.Records))
			case stride.Shelve:
				flush()
				p.must(p.Shelf.Put(e.File, e.Records, p.Room))
				stored([]uint64{e.Token})
			case stride.Unshelve:
				flush()
				p.Shelf.Drop(e.Files)
			}
		}
		flush()
	}
}

// must ends the daemon when its disk fails: its pair's other end serves.
func (p *Porter) must(err error) {
	if err != nil {
		p.Log.Error().Err(err).Msg("the disk failed; ending, so that the pair's other end serves")
		p.exit(3)
	}
}

// Do puts a step for the machine on its ring; false when the ring is full.
func (p *Porter) Do(one step) bool { return p.protocol.Put(one) }

// Tell spreads news that starts at this daemon.
func (p *Porter) Tell(rumour stride.Rumour) {
	p.gossip.Put(func(now sundial.Micros) []stride.Effect { return p.circle.Do(circle.Tell{Rumour: rumour}, now) })
}

// Deliver takes a message off the wire.
func (p *Porter) Deliver(letter footbridge.Envelope) {
	if ofCircle(letter.Body) {
		p.gossip.Put(func(now sundial.Micros) []stride.Effect {
			out := p.circle.Do(circle.Letter{From: letter.From, Body: letter.Body}, now)
			if p.onSwap != nil {
				p.onSwap(p.circle.LastSwap())
			}
			return out
		})
		return
	}
	if p.machine != nil {
		p.Do(func(now sundial.Micros) []stride.Effect { return p.machine.Letter(letter.From, letter.Body, now) })
	}
}

func ofCircle(body any) bool {
	switch body.(type) {
	case circle.Gossip, circle.Digest, circle.Mend, circle.Want, circle.Hint, circle.Probe, circle.Echo, circle.HelpProbe, circle.Witnessed, circle.Shuffle:
		return true
	}
	return false
}

// Ask answers a question off the wire.
func (p *Porter) Ask(letter footbridge.Envelope) (any, error) {
	if p.asked != nil {
		if body, err, mine := p.asked(letter.Body); mine {
			return body, err
		}
	}
	return p.AskHere(letter.Body)
}

// AskHere asks this daemon's own machine.
func (p *Porter) AskHere(body any) (any, error) {
	if p.machine == nil {
		return nil, mishap.New(mishap.BadInput, "ask a daemon of the right kind", "this daemon answers no such ask: %T", body)
	}
	number := p.number.Add(1)
	answer := make(chan stride.Answer, 1)
	p.calls.Store(number, answer)
	if !p.Do(func(now sundial.Micros) []stride.Effect { return p.machine.Call(number, body, now) }) {
		p.calls.Delete(number)
		return nil, mishap.Later(mishap.Busy, sundial.Second, "come back after the time given", "the daemon's ring is full")
	}
	clockEvent := time.NewTimer(askMost)
	defer clockEvent.Stop()
	select {
	case got := <-answer:
		return got.Body, got.Err
	case <-clockEvent.C:
		p.calls.Delete(number)
		return nil, errors.New("the machine gave no answer")
	}
}

// Folk is the directory as this daemon knows it.
func (p *Porter) Folk() []people.Person {
	p.circleMu.Lock()
	defer p.circleMu.Unlock()
	return p.circle.Folk()
}

// News is the rumour known under a key.
func (p *Porter) News(key string) (stride.Rumour, bool) {
	p.circleMu.Lock()
	defer p.circleMu.Unlock()
	return p.circle.News(key)
}

// Under lists the rumours whose keys begin with a word.
func (p *Porter) Under(prefix string) []stride.Rumour {
	p.circleMu.Lock()
	defer p.circleMu.Unlock()
	return p.circle.Under(prefix)
}

// Inside runs f while the machine stands still.
func (p *Porter) Inside(f func(now sundial.Micros)) {
	p.machineMu.Lock()
	defer p.machineMu.Unlock()
	f(p.Now())
}

// Draining tells everyone that this daemon goes soon; Leaving that it is gone.
func (p *Porter) Draining() {
	p.gossip.Put(func(now sundial.Micros) []stride.Effect { return p.circle.Do(circle.Drain{}, now) })
}

// Leaving tells everyone that this daemon has left on purpose.
func (p *Porter) Leaving() {
	p.gossip.Put(func(now sundial.Micros) []stride.Effect { return p.circle.Do(circle.Leave{}, now) })
}

// Counters are the shell's counts for the operators.
func (p *Porter) Counters() map[string]int64 {
	out := map[string]int64{
		"messages_sent": p.Bridge.Sent.Load(), "calls_made": p.Bridge.Calls.Load(),
		"messages_lost": p.Bridge.Lost.Load(), "bytes_out": p.Bridge.BytesOut.Load(),
		"news_ring_dropped": p.gossip.Dropped(),
	}
	p.circleMu.Lock()
	out["news_heard"], out["news_repeated"], out["news_mended"] = p.circle.Heard, p.circle.Repeated, p.circle.Mended
	out["suspicions"], out["refutations"] = p.circle.Suspected, p.circle.Refuted
	out["news_age_us"] = p.Now() - p.circle.LastSwap()
	p.circleMu.Unlock()
	if p.machine != nil {
		out["protocol_ring_dropped"] = p.protocol.Dropped()
	}
	if p.Room != nil {
		out["disk_syncs"], out["disk_bytes"] = p.Room.Syncs.Load(), p.Room.Bytes.Load()
	}
	return out
}

// OpenShelf opens the shelf under a data folder.
func OpenShelf(folder string) (*strongroom.Shelf, error) {
	return strongroom.OpenShelf(filepath.Join(folder, "shelf"))
}

// OpenRoom opens the records under a data folder.
func OpenRoom(folder string) (*strongroom.Room, []stride.Record, error) {
	return strongroom.Open(filepath.Join(folder, "records"))
}
