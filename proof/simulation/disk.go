package simulation

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
)

type write struct {
	records []machine.Record
	fold    bool
	token   uint64
	shelf   uint64   // a file for the shelf
	drop    []uint64 // files to remove from it
}

// shelf is a simulated disk's shelf.
type shelf struct{ files map[uint64]map[string][]byte }

func (s *shelf) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := s.files[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in shelf file %d", unit, file)
}

func (s *shelf) Held() []uint64 {
	var out []uint64
	for file := range s.files {
		out = append(out, file)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (s *shelf) Top() uint64 {
	top := uint64(0)
	for file := range s.files {
		top = max(top, file)
	}
	return top
}

type disk struct {
	durable []machine.Record
	shelf   shelf
	queue   []write
	busy    bool
	stalled clock.Micros // until
	slow    clock.Micros // added to each sync
	liar    bool         // planted by tests: says synced, keeps it in memory only
	cached  []write
}

// spin lets the disk write what waits: one group, one sync.
func (n *Node) spin() {
	if n.disk.busy || len(n.disk.queue) == 0 {
		return
	}
	w := n.world
	n.disk.busy = true
	count := 1
	if !n.disk.queue[0].fold {
		for count < len(n.disk.queue) && !n.disk.queue[count].fold {
			count++
		}
	}
	span := w.between(w.Conditions.Sync/2, 2*w.Conditions.Sync)
	span += n.disk.slow
	if n.disk.stalled > w.Now {
		span += n.disk.stalled - w.Now
	}
	era := n.era
	w.Syncs++
	w.After(span, func() {
		if n.era != era || !n.up {
			return
		}
		done := n.disk.queue[:count:count]
		n.disk.queue = n.disk.queue[count:]
		if n.disk.liar {
			n.disk.cached = append(n.disk.cached, done...)
			if keep := len(n.disk.cached) - 40; keep > 0 {
				n.persist(n.disk.cached[:keep])
				n.disk.cached = n.disk.cached[keep:]
			}
		} else {
			n.persist(done)
		}
		n.disk.busy = false
		if w.Wrote != nil {
			w.Wrote(n)
		}
		n.take(func() {
			for _, one := range done {
				if !one.fold && one.token > 0 {
					n.do(n.machine.Stored(one.token, w.Now))
				}
			}
		})
		n.spin()
	})
}

func (n *Node) persist(done []write) {
	for _, one := range done {
		if one.shelf > 0 {
			n.disk.shelf.files[one.shelf] = map[string][]byte{}
			for _, record := range one.records {
				n.disk.shelf.files[one.shelf][record.Unit] = record.Body
			}
			continue
		}
		for _, file := range one.drop {
			delete(n.disk.shelf.files, file)
		}
		if one.fold {
			n.disk.durable = nil
		}
		n.disk.durable = append(n.disk.durable, one.records...)
	}
}

// Stall holds the disk for a span.
func (n *Node) Stall(span clock.Micros) {
	n.disk.stalled = n.world.Now + span
	n.ill = max(n.ill, n.disk.stalled)
	n.world.Note("%s: disk stalls for %d ms", n.Name, span/1000)
}
