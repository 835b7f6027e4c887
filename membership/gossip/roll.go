package gossip

import (
	"slices"
	"sort"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
)

// Which news are fresh, and what counts as told (DESIGN §3.4): both need most of
// the roll, so that of a fleet cut into parts at most one goes on, and it knows
// what was told.

// Messages of the roll.
type (
	// Press tells a daemon of the roll something at once, and wants its word.
	Press struct {
		Rumour machine.Rumour
		Nonce  uint64
	}
	// Pressed is that word: the daemon knows it, or something newer.
	Pressed struct {
		Nonce uint64
		ID    string
	}
	// Ages says up to how long ago the sender's news include all that each daemon
	// of the roll knew. Raw counts those too that have come back only now, and may
	// lack what they knew before.
	Ages struct{ Counted, Raw map[string]clock.Micros }
)

func init() { transport.Register(Press{}, Pressed{}) }

// Spread is news that starts at this daemon, whose teller waits until most of the
// roll know it: then the answer is given.
type Spread struct {
	Rumour machine.Rumour
	Call   uint64
	Body   any
	Expiry clock.Micros
}

type pressing struct {
	Spread
	until, next clock.Micros
	done        map[string]bool
}

// pressRelease is the first release that knows a press.
const pressRelease = 2

const pressEvery = 120 * clock.Millisecond

// Apply takes the news in and presses the roll.
func (s Spread) Apply(c *Node, now clock.Micros) {
	c.hear([]machine.Rumour{s.Rumour}, now)
	c.pass()
	c.nonce++
	c.presses[c.nonce] = &pressing{Spread: s, until: now + s.Expiry, done: map[string]bool{c.self.ID: true}}
	c.press(now)
}

// press sends again to those who have not given their word.
func (c *Node) press(now clock.Micros) {
	for _, nonce := range sortedNonces(c.presses) {
		p := c.presses[nonce]
		switch {
		case c.most(func(id string) bool { return p.done[id] }):
			delete(c.presses, nonce)
			c.Emit(machine.Answer{Call: p.Call, Body: p.Body})
			continue
		case now >= p.until:
			delete(c.presses, nonce)
			c.Emit(machine.Answer{Call: p.Call, Err: errs.Later(errs.OutcomeUnknown, clock.Second, "read back what is in force, or put it again at another daemon", "it was told, but most of the fleet has not said yet that it heard")})
			continue
		case now < p.next:
			continue
		}
		p.next = now + pressEvery
		for _, person := range c.sorted() {
			if c.roll[person.ID] > 0 && !p.done[person.ID] && person.Version < pressRelease {
				// The release before knows no press, and would lose what travels with
				// it: it is told by gossip, as it was, and taken at its silence.
				p.done[person.ID] = true
				c.Emit(machine.Send{To: person.Peer, Body: Gossip{Rumours: []machine.Rumour{p.Rumour}}})
			} else if c.roll[person.ID] > 0 && !p.done[person.ID] {
				c.Emit(machine.Send{To: person.Peer, Body: Press{Rumour: p.Rumour, Nonce: nonce}})
			}
		}
	}
}

// most tells whether those who count as told weigh more than half of the roll.
// Before there is a roll there is nobody to wait for.
func (c *Node) most(counts func(id string) bool) bool {
	sum, all := 0, 0
	for id, weight := range c.roll {
		all += weight
		if counts(id) {
			sum += weight
		}
	}
	return 2*sum > all || all == 0
}

// count reads the roll anew where the core's news changed.
func (c *Node) count(key string) {
	if key == state.MapKey || key == state.CoreKey {
		c.roll = state.Roll(c.news[state.MapKey].Value, c.news[state.CoreKey].Value)
		for _, stamps := range []map[string]clock.Micros{c.counted, c.raw} {
			for id := range stamps {
				if c.roll[id] == 0 {
					delete(stamps, id)
				}
			}
		}
	}
}

// ages is what this daemon's news include, for another to add to its own.
func (c *Node) ages(now clock.Micros) Ages {
	out := Ages{Counted: map[string]clock.Micros{}, Raw: map[string]clock.Micros{}}
	for id, at := range c.counted {
		out.Counted[id] = now - at
	}
	for id, at := range c.raw {
		out.Raw[id] = now - at
	}
	if c.roll[c.self.ID] > 0 {
		out.Raw[c.self.ID] = 0
		if c.rooted {
			out.Counted[c.self.ID] = 0
		}
	}
	return out
}

// learn adds what another's news included when it answered a digest sent at
// asked: by now this daemon's include it too.
func (c *Node) learn(ages Ages, asked, now clock.Micros) {
	if len(c.roll) == 0 {
		return
	}
	add := func(to, from map[string]clock.Micros) {
		for id, age := range from {
			if c.roll[id] > 0 && id != c.self.ID {
				to[id] = max(to[id], asked-age)
			}
		}
	}
	add(c.counted, ages.Counted)
	add(c.raw, ages.Raw)
	// One that has just come back may lack what it knew before: it counts once it
	// has heard from most of the roll itself.
	c.rooted = c.rooted || c.most(func(id string) bool { return id == c.self.ID || now-c.raw[id] < c.set.Suspicion && c.raw[id] > 0 })
	if at := c.upTo(now); at > c.lastSwap {
		c.lastSwap = at
		c.Emit(machine.Fresh{At: at})
	}
}

// upTo is the time up to which this daemon's news include what most of the roll
// knew.
func (c *Node) upTo(now clock.Micros) clock.Micros {
	type stamp struct {
		at     clock.Micros
		weight int
	}
	var stamps []stamp
	all := 0
	for id, weight := range c.roll {
		all += weight
		if id == c.self.ID && c.rooted {
			stamps = append(stamps, stamp{now, weight})
		} else if at := c.counted[id]; at > 0 {
			stamps = append(stamps, stamp{at, weight})
		}
	}
	sort.Slice(stamps, func(i, j int) bool { return stamps[i].at > stamps[j].at })
	sum := 0
	for _, one := range stamps {
		if sum += one.weight; 2*sum > all {
			return one.at
		}
	}
	return 0
}

// nearRoll are sound daemons of the roll in other zones: they are swapped with
// every other time.
func (c *Node) nearRoll() []string {
	var out []string
	for _, person := range c.sound() {
		if c.roll[person.ID] > 0 && person.Zone != c.self.Zone {
			out = append(out, person.Peer)
		}
	}
	slices.Sort(out)
	return out
}
