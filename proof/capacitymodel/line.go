package capacitymodel

import (
	"fmt"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
)

// The limits of kernel/transport.
const (
	batchSize = 256
	ringSize  = 4096
	idleLines = 256
)

type lineKey struct{ from, to *daemon }

// line carries what waits for one daemon in one call, and waits for its answer
// before the next call.
type line struct {
	lineKey
	there, back kindSet // described to the other end, and by it
	messages    []transport.Envelope
	busy        bool
	woken       bool
}

// send queues a message on its line; what one step sends travels together.
func (f *Fleet) send(from *daemon, peer string, body any) {
	to := f.byPeer[peer]
	if to == nil || to == from {
		return
	}
	key := lineKey{from, to}
	l := f.lines[key]
	if l == nil {
		l = &line{lineKey: key}
		f.open(l)
	}
	if len(l.messages) >= ringSize {
		f.count(from).lost++
		return
	}
	l.messages = append(l.messages, transport.Envelope{From: from.peer, Body: body})
	if !l.busy && !l.woken {
		l.woken = true
		f.woken = append(f.woken, l)
	}
}

// open adds a line; a daemon that has as many as it may lets an idle one go.
func (f *Fleet) open(l *line) {
	f.lines[l.lineKey] = l
	if l.from.lines = append(l.from.lines, l); len(l.from.lines) <= idleLines {
		return
	}
	at := f.chance.Intn(len(l.from.lines) - 1)
	for i := range len(l.from.lines) - 1 {
		old := l.from.lines[(at+i)%(len(l.from.lines)-1)]
		if len(old.messages) == 0 && !old.busy {
			delete(f.lines, old.lineKey)
			l.from.lines[(at+i)%(len(l.from.lines)-1)] = l
			l.from.lines = l.from.lines[:len(l.from.lines)-1]
			f.count(l.from).redials++
			return
		}
	}
}

// flush sends what the last step left on idle lines.
func (f *Fleet) flush() {
	for len(f.woken) > 0 {
		woken := f.woken
		f.woken = nil
		for _, l := range woken {
			l.woken = false
			f.carry(l)
		}
	}
}

func (f *Fleet) carry(l *line) {
	if l.busy || len(l.messages) == 0 || !l.from.up {
		return
	}
	count := min(batchSize, len(l.messages))
	letters := l.messages[:count:count]
	if l.messages = l.messages[count:]; len(l.messages) == 0 {
		l.messages = nil
	}
	l.busy = true
	if f.cut(l.from, l.to) || !l.to.up {
		// Nobody takes the call: it expires and closes its connection.
		l.there, l.back = kindSet{}, kindSet{}
		f.count(l.from).lost += int64(count)
		f.after(clock.Second, func() { f.free(l) })
		return
	}
	// The descriptions are learnt first, outside of the clock.
	extra := f.codec.describe(&l.there, kindDeliver)
	kinds := make([]int, count)
	for i, letter := range letters {
		kinds[i] = f.codec.kind(letter.Body)
		extra += f.codec.describe(&l.there, kinds[i])
	}
	batch := transport.Batch{Messages: letters}
	was := f.charge(l.from)
	must(f.codec.encoder.Encode(batch))
	size := f.codec.buffer.Len()
	var arrived transport.Batch
	f.charge(l.to)
	must(f.codec.decoder.Decode(&arrived))
	f.charge(was)
	f.countBatch(l.from, letters, size, f.codec.deliver+extra)
	era := l.to.era
	f.after(f.delay(l.from, l.to), func() {
		if l.to.era == era && l.to.up {
			f.count(l.to).bytes += int64(f.codec.delivered)
			l.to.step(func() {
				for _, letter := range arrived.Messages {
					l.to.message(letter.From, letter.Body)
				}
			})
		}
		f.after(f.delay(l.to, l.from), func() { f.free(l) })
	})
}

// free lets a line go on after its call's answer.
func (f *Fleet) free(l *line) {
	l.busy = false
	f.carry(l)
	f.flush()
}

// countBatch counts what a call carried, by kind.
func (f *Fleet) countBatch(from *daemon, letters []transport.Envelope, size, frame int) {
	t := f.count(from)
	t.calls++
	t.bytes += int64(size + frame)
	t.messages += int64(len(letters))
	t.largest = max(t.largest, int64(size))
	sizes, sum := make([]int, len(letters)), 0
	if len(letters) == 1 {
		sizes[0], sum = size, size
	} else if !f.warming {
		for i, letter := range letters {
			sizes[i] = f.codec.size(letter)
			sum += sizes[i]
		}
	}
	for i, letter := range letters {
		share := 0.0
		if sum > 0 {
			share = float64(sizes[i]) / float64(sum)
		}
		t.kind(letter.Body, share*float64(size+frame))
	}
}

// ask is a question with an answer and an expiry, on a connection of its own.
//
//revive:disable-next-line:function-length the steps of one call share its state
func (f *Fleet) ask(from *daemon, peer string, body any, expiry clock.Micros, back func(any, error)) {
	to := f.byPeer[peer]
	over := false
	finish := func(answer any, err error) {
		if !over {
			over = true
			back(answer, err)
		}
	}
	f.after(expiry, func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again", "no answer in time"))
	})
	if to == nil || f.cut(from, to) {
		return
	}
	asking := from.asks[to]
	if asking == nil {
		asking = &line{}
		from.asks[to] = asking
	}
	kind := f.codec.kind(body)
	frame := f.codec.ask + f.codec.describe(&asking.there, kindAsk) + f.codec.describe(&asking.there, kind)
	was := f.charge(from)
	must(f.codec.encoder.Encode(transport.Envelope{From: from.peer, Body: body}))
	size := f.codec.buffer.Len() + frame
	var letter transport.Envelope
	f.charge(to)
	must(f.codec.decoder.Decode(&letter))
	f.charge(was)
	t := f.count(from)
	t.messages, t.calls, t.bytes = t.messages+1, t.calls+1, t.bytes+int64(size)
	t.kind(body, float64(size))
	f.after(f.delay(from, to), func() {
		if !to.up || to.machine == nil {
			return
		}
		to.step(func() {
			to.call(letter.Body, func(a machine.Answer) {
				reply := transport.Reply{Body: a.Body}
				if a.Err != nil {
					reply = transport.Reply{Err: errs.Of(a.Err)}
				} else if a.Body != nil {
					f.codec.kind(a.Body)
				}
				must(f.codec.encoder.Encode(reply))
				size := f.codec.buffer.Len() + f.codec.asked
				was := f.charge(from)
				reply = transport.Reply{}
				must(f.codec.decoder.Decode(&reply))
				f.charge(was)
				t := f.count(to)
				t.bytes += int64(size)
				t.kind(a.Body, float64(size))
				if f.cut(to, from) {
					return
				}
				f.after(f.delay(to, from), func() {
					if from.up {
						finish(reply.Body, errorOf(reply))
					}
				})
			})
		})
	})
}

func errorOf(reply transport.Reply) error {
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}

func kindName(body any) string { return fmt.Sprintf("%T", body) }
