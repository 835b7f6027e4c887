package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/proof/modelcontent"
)

// Handed is a bundle as its caller saw it, with the servers' log of its items.
type Handed struct {
	ID       string
	Key      string
	Items    int
	Accepted clock.Micros
	Maybe    bool
	GivenUp  bool
	Ended    clock.Micros
	Starts   int
	Tries    int
	Asked    clock.Micros
	begun    int                  // items that have started at least once
	starts   map[string]int       // by item
	done     map[int]clock.Micros // when an item's result was whole on a server, last
	lists    int                  // rows that a waiting reader has seen
	failures map[int]int          // by item: how often a server failed it
	// Forwarded bundles hold requests that are passed on unchanged.
	Forwarded bool
}

// Hand hands a bundle in and goes on until it is accepted or given up.
func (v *Watch) Hand(items, tries int) *Handed {
	v.number++
	return v.HandAs(fmt.Sprintf("key-%d", v.number), items, tries)
}

// HandAs is the same under a key of the caller's choice.
func (v *Watch) HandAs(key string, items, tries int) *Handed {
	return v.hand(&Handed{ID: shard.BundleID(customer, key), Key: key, Items: items}, tries)
}

// hand hands a bundle in until it is accepted or its tries are over.
func (v *Watch) hand(h *Handed, tries int) *Handed {
	h.Asked, h.starts, h.done, h.failures = v.w.Now, map[string]int{}, map[int]clock.Micros{}, map[int]int{}
	v.Bundles, v.byID[h.ID], v.byKey[h.Key] = append(v.Bundles, h), h, h
	v.Busy++
	var try func()
	try = func() {
		n := v.edgeNode()
		if h.Tries >= tries || n == nil && h.Tries > 0 && tries == 1 {
			h.GivenUp = true
			v.Busy--
			return
		}
		if n == nil {
			v.w.After(100*clock.Millisecond, try)
			return
		}
		h.Tries++
		e := &Entry{ID: h.ID, Called: v.w.Now}
		v.Entries = append(v.Entries, e)
		v.here(n, h.handIn(), func(answer any, err error) {
			e.Told = v.w.Now
			e.unknown = errs.Is(err, errs.OutcomeUnknown)
			if err != nil && !e.unknown {
				v.forget(e) // turned away: it never was
			}
			if receipt, ok := answer.(store.Receipt); ok && err == nil {
				e.repeated = receipt.Repeated
				h.Accepted = v.w.Now
				v.Busy--
				v.saw(kept)
				v.w.Note("bundle %s accepted by %s", h.ID, receipt.Store)
				if v.Reading && v.w.Chance.Intn(3) == 0 {
					v.wait(h, "")
				}
				if v.AfterReceipt != nil {
					v.AfterReceipt(h, receipt.Store)
				}
				return
			}
			if errs.Of(err).Kind == errs.OutcomeUnknown {
				h.Maybe = true
			}
			v.w.After(v.w.between(80, 400)*clock.Millisecond, try)
		})
	}
	try()
	return h
}

func itemInput(key string, item int) string { return key + "#" + strconv.Itoa(item) }

// forget takes an operation out of the history.
func (v *Watch) forget(e *Entry) {
	for i, one := range v.Entries {
		if one == e {
			v.Entries = append(v.Entries[:i], v.Entries[i+1:]...)
			return
		}
	}
}

// End ends an accepted bundle, trying until it is told.
func (v *Watch) End(h *Handed) {
	v.Busy++
	var try func()
	try = func() {
		n := v.edgeNode()
		if n == nil {
			v.w.After(100*clock.Millisecond, try)
			return
		}
		v.here(n, h.look(true), func(answer any, err error) {
			if _, ok := answer.(store.Status); ok && err == nil {
				h.Ended = v.w.Now
				v.Busy--
				v.w.Note("bundle %s ended", h.ID)
				return
			}
			v.w.After(200*clock.Millisecond, try)
		})
	}
	try()
}

// Look asks any edge how an accepted bundle stands: it may not know yet, but it
// may not say that there is none.
func (v *Watch) Look() {
	n := v.edgeNode()
	if n == nil || len(v.Bundles) == 0 {
		return
	}
	h := v.Bundles[v.w.Chance.Intn(len(v.Bundles))]
	if h.Accepted == 0 {
		return
	}
	e := &Entry{ID: h.ID, Called: v.w.Now, entered: entered{look: true}}
	v.Entries = append(v.Entries, e)
	v.here(n, h.look(false), func(_ any, err error) {
		if e.found = err == nil; e.found || errs.Is(err, errs.NotFound) {
			e.Told = v.w.Now
		}
		v.saw(kept)
		if errs.Is(err, errs.NotFound) {
			v.breach(kept, "%s is told that there is no accepted bundle %s", n.Name, h.ID)
		}
	})
}

// itemBegan is a server's word that an item has started there.
func (v *Watch) itemBegan(key string, start modelcontent.Start) {
	h := v.byKey[key]
	if h == nil {
		v.breach(mixed, "%s starts work of an unknown bundle %s", start.Server, key)
		return
	}
	h.Starts++
	if h.starts[start.Input]++; h.starts[start.Input] == 1 {
		h.begun++
	}
	if h.GivenUp && !h.Maybe {
		v.breach(refused, "bundle %s was refused at every try and %s starts on %s", key, start.Input, start.Server)
	}
	if h.Ended > 0 {
		v.saw(ended)
		if v.w.Now > h.Ended+3*clock.Second+about {
			v.breach(ended, "%s starts on %s %d us after its bundle ended", start.Input, start.Server, v.w.Now-h.Ended)
		}
	}
}

// ready is a server's word that an item's result is whole.
func (v *Watch) ready(key, item string) {
	if number, err := strconv.Atoi(item); err == nil && v.byKey[key] != nil {
		v.byKey[key].done[number] = v.w.Now
	}
}

// failed is a server's word that it has failed an item.
func (v *Watch) failed(input string) {
	key, item, _ := strings.Cut(input, "#")
	if number, err := strconv.Atoi(item); err == nil && v.byKey[key] != nil {
		v.byKey[key].failures[number]++
	}
}
