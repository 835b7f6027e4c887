// Package gossip is how daemons know each other and pass on news (DESIGN §3):
// a partial view shuffled between neighbours, a directory fed by rumour, gaps
// mended by comparing digests, and suspicion that needs a second witness.
package gossip

import (
	"math/rand"
	"sort"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
	"tuliprudder/membership/identity"
)

// Settings are the circle's spans; the defaults are ours.
type Settings struct {
	Probe     clock.Micros // between probes of one daemon
	ProbeWait clock.Micros // for a direct, then an indirect, echo
	Suspicion clock.Micros // from suspect to dead, to speak up
	Digest    clock.Micros // between digest swaps
	Shuffle   clock.Micros // between shuffles of the partial view
	Fanout    int          // to how many a rumour is passed on
	View      int          // size of the partial view
	Forget    clock.Micros // after which a dead daemon leaves the directory
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{Probe: 200 * clock.Millisecond, ProbeWait: 300 * clock.Millisecond,
		Suspicion: 2 * clock.Second, Digest: 300 * clock.Millisecond, Shuffle: 2 * clock.Second,
		Fanout: 3, View: 6, Forget: 120 * clock.Second}
}

// Messages between circles.
type (
	// Gossip passes rumours on.
	Gossip struct{ Rumours []machine.Rumour }
	// Digest says what the sender knows; Answer marks the second half of a swap.
	Digest struct {
		Known  map[string]Mark
		Answer bool
		Stamp  clock.Micros
	}
	// Mend answers a digest: what the sender lacked and what we lack.
	Mend struct {
		Rumours []machine.Rumour
		Want    []string
		Stamp   clock.Micros
		Ages    Ages
		Counts  bool // false from a release that knows no ages
	}
	// Want asks for keys.
	Want struct{ Keys []string }
	// Hint tells of large rumours by their marks alone; who lacks one asks for it.
	Hint struct{ Marks map[string]Mark }
	// Probe asks for an echo; For is set when a helper probes for another.
	Probe struct {
		Nonce uint64
		For   string
	}
	// Echo answers a probe.
	Echo struct {
		Nonce uint64
		For   string
	}
	// HelpProbe asks a second witness to probe.
	HelpProbe struct {
		Nonce  uint64
		Target string
	}
	// Witnessed is the second witness's word.
	Witnessed struct {
		Nonce uint64
		Heard bool
	}
	// Shuffle swaps parts of the partial views.
	Shuffle struct {
		Peers  []string
		Answer bool
	}
	// Mark is the version of one key.
	Mark struct{ Epoch, Seq uint64 }
)

func init() {
	transport.Register(Gossip{}, Digest{}, Mend{}, Want{}, Hint{}, Probe{}, Echo{}, HelpProbe{}, Witnessed{}, Shuffle{})
}

type probing struct {
	id, peer string
	asked    clock.Micros
	helped   bool
	denied   int
}

type asking struct {
	mark Mark
	at   clock.Micros
}

type helping struct {
	asker  string
	nonce  uint64
	expiry clock.Micros
}

// Node is one daemon's machine.
type Node struct {
	machine.Out
	set      Settings
	self     identity.Person
	seeds    []string
	chance   *rand.Rand
	news     map[string]machine.Rumour
	folk     map[string]identity.Person
	since    map[string]clock.Micros // when the standing was learnt
	view     []string
	probes   map[uint64]*probing
	helps    map[uint64]helping
	asked    map[string]asking // large rumours asked for, since when
	nonce    uint64
	hot      []machine.Rumour
	order    []string // round of probes
	next     struct{ probe, digest, shuffle, seed clock.Micros }
	lastSwap clock.Micros
	far      bool                    // the next digest goes to another zone
	roll     map[string]int          // who counts, and for how much (roll.go)
	counted  map[string]clock.Micros // up to when the news include what each of the roll knew
	raw      map[string]clock.Micros // the same with those that have just come back
	rooted   bool                    // this daemon has heard from most of the roll in this life
	presses  map[uint64]*pressing
	// NoRoll is a fault planted by tests: any daemon of another zone makes news
	// fresh, whatever it has heard itself.
	NoRoll bool
	// Counters for the operators.
	Heard, Repeated, Mended, Suspected, Refuted int64
}

// New makes a circle for a daemon; the seed makes its choices repeatable.
func New(self identity.Person, seeds []string, set Settings, seed int64) *Node {
	c := &Node{set: set, self: self, seeds: seeds, chance: rand.New(rand.NewSource(seed)),
		news: map[string]machine.Rumour{}, folk: map[string]identity.Person{}, since: map[string]clock.Micros{},
		probes: map[uint64]*probing{}, helps: map[uint64]helping{}, asked: map[string]asking{}, counted: map[string]clock.Micros{}, raw: map[string]clock.Micros{}, presses: map[uint64]*pressing{}}
	c.speak(0)
	return c
}

// Command is an input of the circle.
type Command = machine.Command[*Node]

// Do applies a command and hands over the effects.
func (c *Node) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(c, now)
	return c.Drain()
}

// Letter is a message that came in.
type Letter struct {
	From string
	Body any
}

// Apply takes the message by its type.
func (l Letter) Apply(c *Node, now clock.Micros) {
	c.greet(l.From)
	switch body := l.Body.(type) {
	case Gossip:
		c.hear(body.Rumours, now)
	case Digest:
		c.compare(l.From, body, now)
	case Mend:
		c.Mended += int64(len(body.Rumours))
		c.hear(body.Rumours, now)
		c.supply(l.From, body.Want)
		if body.Counts && len(c.roll) > 0 && !c.NoRoll {
			c.learn(body.Ages, body.Stamp, now)
		} else if c.afar(l.From) && body.Stamp > c.lastSwap {
			c.lastSwap = body.Stamp
			c.Emit(machine.Fresh{At: c.lastSwap})
		}
	case Press:
		c.hear([]machine.Rumour{body.Rumour}, now)
		c.pass()
		c.Emit(machine.Send{To: l.From, Body: Pressed{Nonce: body.Nonce, ID: c.self.ID}})
	case Pressed:
		if p := c.presses[body.Nonce]; p != nil {
			p.done[body.ID] = true
			c.press(now)
		}
	case Want:
		c.supply(l.From, body.Keys)
	case Hint:
		c.hinted(l.From, body, now)
	case Probe:
		c.Emit(machine.Send{To: l.From, Body: Echo{Nonce: body.Nonce, For: body.For}})
	case Echo:
		c.echoed(body)
	case HelpProbe:
		c.nonce++
		c.helps[c.nonce] = helping{asker: l.From, nonce: body.Nonce, expiry: now + c.set.ProbeWait}
		c.Emit(machine.Send{To: body.Target, Body: Probe{Nonce: c.nonce, For: l.From}})
	case Witnessed:
		if p := c.probes[body.Nonce]; p != nil {
			if body.Heard {
				delete(c.probes, body.Nonce)
			} else {
				p.denied++
			}
		}
	case Shuffle:
		c.mix(l.From, body)
	}
}

// Tell is news that starts at this daemon.
type Tell struct{ Rumour machine.Rumour }

// Apply takes the news in and passes it on.
func (t Tell) Apply(c *Node, now clock.Micros) { c.hear([]machine.Rumour{t.Rumour}, now) }

// Reseed names other seeds.
type Reseed struct{ Seeds []string }

// Apply takes them for the ones to ask.
func (r Reseed) Apply(c *Node, now clock.Micros) { c.seeds = r.Seeds }

// Drain marks this daemon as draining, Leave as gone on purpose.
type (
	Drain struct{}
	Leave struct{}
)

// Apply spreads that the daemon drains.
func (Drain) Apply(c *Node, now clock.Micros) {
	c.self.Draining = true
	c.self.Word++
	c.speak(now)
	c.pass()
}

// Apply spreads that the daemon has left.
func (Leave) Apply(c *Node, now clock.Micros) {
	c.self.Standing = identity.Left
	c.speak(now)
	c.pass()
}

// ClockEvent lets the circle do what is due.
type ClockEvent struct{}

// Apply does what is due; each duty keeps its own next time.
func (ClockEvent) Apply(c *Node, now clock.Micros) {
	c.judgeProbes(now)
	c.press(now)
	if now >= c.next.probe {
		c.next.probe = now + c.set.Probe
		c.probe(now)
	}
	if now >= c.next.digest {
		c.next.digest = now + c.set.Digest
		c.swap(now)
	}
	if now >= c.next.shuffle {
		c.next.shuffle = now + c.set.Shuffle
		if peer := c.pick(c.view); peer != "" {
			c.Emit(machine.Send{To: peer, Body: Shuffle{Peers: append(c.sample(2), c.self.Peer)}})
		}
		c.forget(now)
	}
	if now >= c.next.seed {
		c.next.seed = now + 3*clock.Second
		if len(c.sound()) < 2 {
			c.next.seed = now + 200*clock.Millisecond
		}
		if seed := c.pick(c.seeds); seed != "" && seed != c.self.Peer {
			c.Emit(machine.Send{To: seed, Body: c.digest(now)})
		}
		// A dead daemon may only have been cut off: knock once in a while.
		var dead []string
		for _, p := range c.sorted() {
			if p.Standing == identity.Dead {
				dead = append(dead, p.Peer)
			}
		}
		if peer := c.pick(dead); peer != "" {
			c.Emit(machine.Send{To: peer, Body: c.digest(now)})
		}
	}
	c.pass()
}

func (c *Node) speak(now clock.Micros) {
	c.hear([]machine.Rumour{{Key: identity.Key(c.self.ID), Epoch: c.self.Incarnation, Seq: c.self.Seq(), Value: c.self.Encode()}}, now)
}

// hear takes rumours in; what is new is told to this daemon's other machines
// and passed on.
func (c *Node) hear(rumours []machine.Rumour, now clock.Micros) {
	for _, rumour := range rumours {
		if known, ok := c.news[rumour.Key]; ok && !rumour.Newer(known) {
			c.Repeated++
			continue
		}
		if strings.HasPrefix(rumour.Key, "daemon/") {
			person, ok := identity.Decode(rumour.Value)
			if !ok {
				continue
			}
			if person.ID == c.self.ID && person.Standing != c.self.Standing {
				// Someone thinks ill of us: speak up with a higher word.
				if rumour.Epoch == c.self.Incarnation {
					c.Refuted++
					c.self.Word = max(c.self.Word, person.Word) + 1
					c.speak(now)
				}
				continue
			}
			if _, known := c.folk[person.ID]; !known && person.Standing >= identity.Dead {
				continue // long forgotten here; do not bring it back
			}
			if c.folk[person.ID].Standing != person.Standing || c.folk[person.ID].Incarnation != person.Incarnation {
				c.since[person.ID] = now
				if was := c.folk[person.ID].Standing; was != identity.Sound || person.Standing != identity.Sound {
					c.Emit(machine.Explain{What: "standing of a daemon", Fields: map[string]any{"daemon": person.ID, "kind": person.Kind, "standing": person.Standing.String(), "incarnation": person.Incarnation}})
				}
			}
			c.folk[person.ID] = person
		}
		c.Heard++
		c.news[rumour.Key] = rumour
		c.count(rumour.Key)
		c.hot = append(c.hot, rumour)
		c.Emit(machine.Heard{Rumour: rumour})
	}
}

// large is the size from which a rumour is told of by its mark alone: otherwise
// everyone would get it from several sides.
const large = 2 << 10

// pass sends hot rumours on to a few others.
func (c *Node) pass() {
	if len(c.hot) == 0 {
		return
	}
	var small []machine.Rumour
	marks := map[string]Mark{}
	for _, rumour := range c.hot {
		if len(rumour.Value) >= large {
			marks[rumour.Key] = Mark{rumour.Epoch, rumour.Seq}
		} else {
			small = append(small, rumour)
		}
	}
	c.hot = nil
	for i, at := range c.chance.Perm(len(c.view)) {
		if i >= c.set.Fanout {
			break
		}
		if len(small) > 0 {
			c.Emit(machine.Send{To: c.view[at], Body: Gossip{Rumours: small}})
		}
		if len(marks) > 0 {
			c.Emit(machine.Send{To: c.view[at], Body: Hint{Marks: marks}})
		}
	}
}

// hinted asks the first who told of a rumour this daemon lacks, and another only
// if that one does not answer for a while.
func (c *Node) hinted(from string, hint Hint, now clock.Micros) {
	var wanted []string
	for key, mark := range hint.Marks {
		told := machine.Rumour{Epoch: mark.Epoch, Seq: mark.Seq}
		if known, ok := c.news[key]; ok && !told.Newer(known) {
			continue
		}
		if asked, ok := c.asked[key]; ok && asked.mark == mark && now-asked.at < c.set.Digest/2 {
			continue
		}
		c.asked[key] = asking{mark, now}
		wanted = append(wanted, key)
	}
	if len(wanted) > 0 {
		sort.Strings(wanted)
		c.Emit(machine.Send{To: from, Body: Want{Keys: wanted}})
	}
}

func (c *Node) digest(now clock.Micros) Digest {
	known := make(map[string]Mark, len(c.news))
	for key, rumour := range c.news {
		known[key] = Mark{rumour.Epoch, rumour.Seq}
	}
	return Digest{Known: known, Stamp: now}
}

// swap compares digests with one daemon; every other time with one of the roll in
// another zone: from those it hears soonest what most of the roll know.
func (c *Node) swap(now clock.Micros) {
	c.far = !c.far
	var peers []string
	for _, person := range c.sound() {
		if !c.far || c.afar(person.Peer) {
			peers = append(peers, person.Peer)
		}
	}
	if c.far {
		if near := c.nearRoll(); len(near) > 0 {
			peers = near
		}
	}
	if peer := c.pick(peers); peer != "" {
		c.Emit(machine.Send{To: peer, Body: c.digest(now)})
	}
}

// afar tells whether a daemon is in another zone. A zone that is cut off hears
// itself well: what its own daemons know does not count as fresh. Where no other
// zone has ever been known, any daemon is afar.
func (c *Node) afar(peer string) bool {
	elsewhere := false
	for _, person := range c.folk {
		if person.Zone != c.self.Zone {
			elsewhere = true
			if person.Peer == peer {
				return true
			}
		}
	}
	return !elsewhere
}

func (c *Node) compare(from string, digest Digest, now clock.Micros) {
	mend := Mend{Stamp: digest.Stamp, Ages: c.ages(now), Counts: true}
	for _, key := range c.keys() {
		rumour := c.news[key]
		mark, ok := digest.Known[key]
		if !ok || rumour.Newer(machine.Rumour{Epoch: mark.Epoch, Seq: mark.Seq}) {
			mend.Rumours = append(mend.Rumours, rumour)
		}
	}
	wanted := make([]string, 0)
	for key, mark := range digest.Known {
		known, ok := c.news[key]
		if !ok || (machine.Rumour{Epoch: mark.Epoch, Seq: mark.Seq}).Newer(known) {
			wanted = append(wanted, key)
		}
	}
	sort.Strings(wanted)
	mend.Want = wanted
	c.Emit(machine.Send{To: from, Body: mend})
}

func (c *Node) supply(to string, keys []string) {
	var rumours []machine.Rumour
	for _, key := range keys {
		if rumour, ok := c.news[key]; ok {
			rumours = append(rumours, rumour)
		}
	}
	if len(rumours) > 0 {
		c.Emit(machine.Send{To: to, Body: Gossip{Rumours: rumours}})
	}
}

func (c *Node) probe(now clock.Micros) {
	if len(c.order) == 0 {
		for _, p := range c.sorted() {
			if p.ID != c.self.ID && p.Standing <= identity.Suspect {
				c.order = append(c.order, p.ID)
			}
		}
		c.chance.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	if len(c.order) == 0 {
		return
	}
	id := c.order[0]
	c.order = c.order[1:]
	person, ok := c.folk[id]
	if !ok || person.Standing > identity.Suspect {
		return
	}
	c.nonce++
	c.probes[c.nonce] = &probing{id: id, peer: person.Peer, asked: now}
	c.Emit(machine.Send{To: person.Peer, Body: Probe{Nonce: c.nonce}})
}

func (c *Node) echoed(echo Echo) {
	if echo.For != "" {
		if help, ok := c.helps[echo.Nonce]; ok {
			delete(c.helps, echo.Nonce)
			c.Emit(machine.Send{To: help.asker, Body: Witnessed{Nonce: help.nonce, Heard: true}})
		}
		return
	}
	delete(c.probes, echo.Nonce)
}

// judgeProbes asks for help where the direct echo stayed out, and suspects
// only when a second witness could not reach the daemon either.
func (c *Node) judgeProbes(now clock.Micros) {
	for _, nonce := range sortedNonces(c.helps) {
		if help := c.helps[nonce]; now >= help.expiry {
			delete(c.helps, nonce)
			c.Emit(machine.Send{To: help.asker, Body: Witnessed{Nonce: help.nonce}})
		}
	}
	for _, nonce := range sortedNonces(c.probes) {
		p := c.probes[nonce]
		switch {
		case !p.helped && now-p.asked >= c.set.ProbeWait:
			p.helped = true
			helpers := 0
			for _, at := range c.chance.Perm(len(c.view)) {
				if peer := c.view[at]; peer != p.peer && helpers < 2 {
					helpers++
					c.Emit(machine.Send{To: peer, Body: HelpProbe{Nonce: nonce, Target: p.peer}})
				}
			}
		case p.helped && now-p.asked >= 4*c.set.ProbeWait:
			delete(c.probes, nonce)
			if person, ok := c.folk[p.id]; ok && p.denied > 0 && person.Standing == identity.Sound {
				person.Standing = identity.Suspect
				c.Suspected++
				c.hear([]machine.Rumour{{Key: identity.Key(person.ID), Epoch: person.Incarnation, Seq: person.Seq(), Value: person.Encode()}}, now)
			}
		}
	}
	for _, person := range c.sorted() {
		if person.Standing == identity.Suspect && now-c.since[person.ID] >= c.set.Suspicion && person.ID != c.self.ID && now-c.lastSwap < c.set.Suspicion {
			person.Standing = identity.Dead
			c.hear([]machine.Rumour{{Key: identity.Key(person.ID), Epoch: person.Incarnation, Seq: person.Seq(), Value: person.Encode()}}, now)
		}
	}
}

func sortedNonces[T any](m map[uint64]T) []uint64 {
	out := make([]uint64, 0, len(m))
	for nonce := range m {
		out = append(out, nonce)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// forget drops the directory entries of daemons long dead.
func (c *Node) forget(now clock.Micros) {
	for _, person := range c.sorted() {
		if person.Standing >= identity.Dead && now-c.since[person.ID] > c.set.Forget {
			delete(c.folk, person.ID)
			delete(c.since, person.ID)
			delete(c.news, identity.Key(person.ID))
		}
	}
	kept := c.view[:0]
	for _, peer := range c.view {
		sound := true
		for _, person := range c.folk {
			if person.Peer == peer && person.Standing >= identity.Dead {
				sound = false
			}
		}
		if sound {
			kept = append(kept, peer)
		}
	}
	c.view = kept
	for _, person := range c.sound() {
		if len(c.view) >= c.set.View {
			break
		}
		c.greet(person.Peer)
	}
}

func (c *Node) greet(peer string) {
	if peer == "" || peer == c.self.Peer {
		return
	}
	for _, known := range c.view {
		if known == peer {
			return
		}
	}
	if len(c.view) < c.set.View {
		c.view = append(c.view, peer)
	}
}

func (c *Node) sample(count int) []string {
	var out []string
	for _, at := range c.chance.Perm(len(c.view)) {
		if len(out) == count {
			break
		}
		out = append(out, c.view[at])
	}
	return out
}

func (c *Node) mix(from string, shuffle Shuffle) {
	if !shuffle.Answer {
		c.Emit(machine.Send{To: from, Body: Shuffle{Peers: c.sample(3), Answer: true}})
	}
	for _, peer := range shuffle.Peers {
		if peer == c.self.Peer || contains(c.view, peer) {
			continue
		}
		if len(c.view) < c.set.View {
			c.view = append(c.view, peer)
		} else {
			c.view[c.chance.Intn(len(c.view))] = peer
		}
	}
}

func contains(list []string, wanted string) bool {
	for _, one := range list {
		if one == wanted {
			return true
		}
	}
	return false
}

func (c *Node) pick(from []string) string {
	if len(from) == 0 {
		return ""
	}
	return from[c.chance.Intn(len(from))]
}

func (c *Node) keys() []string {
	keys := make([]string, 0, len(c.news))
	for key := range c.news {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (c *Node) sorted() []identity.Person {
	out := make([]identity.Person, 0, len(c.folk))
	for _, person := range c.folk {
		out = append(out, person)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (c *Node) sound() []identity.Person {
	var out []identity.Person
	for _, person := range c.sorted() {
		if person.Standing <= identity.Suspect && person.ID != c.self.ID {
			out = append(out, person)
		}
	}
	return out
}

// Folk is a copy of the directory in the agreed order.
func (c *Node) Folk() []identity.Person { return c.sorted() }

// LastSwap is when this daemon sent the last digest that was answered: news up
// to then was within its reach.
func (c *Node) LastSwap() clock.Micros { return c.lastSwap }

// News is the rumour known under a key.
func (c *Node) News(key string) (machine.Rumour, bool) {
	rumour, ok := c.news[key]
	return rumour, ok
}

// Under lists the rumours whose keys begin with a word, in order.
func (c *Node) Under(prefix string) []machine.Rumour {
	var out []machine.Rumour
	for _, key := range c.keys() {
		if strings.HasPrefix(key, prefix) {
			out = append(out, c.news[key])
		}
	}
	return out
}
