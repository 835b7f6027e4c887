package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"reflect"
	"slices"

	"tuliprudder/internal/clock"
)

// maxTimeDifference is the maximum distance from now that is hashed: all timestamps further away
// hash alike.
const maxTimeDifference = 60 * clock.Second

// virtualEpoch is where the virtual clock starts. Numbers that are not timestamps (identities,
// epochs and counters) stay far below it.
const virtualEpoch = 1000 * clock.Second

var hashSeed = maphash.MakeSeed()

// ignoredFields are fields that no decision depends on: counters for operators, and numbers that
// only identify requests. A test checks that the fields exist.
var ignoredFields = map[string]bool{
	"CampaignsStarted":       true,
	"TermsWon":               true,
	"Changes":                true,
	"recordsSinceCompaction": true,
	"lastToken":              true,
}

// hasher hashes values canonically: timestamps relative to now, maps in the order of their entries'
// hashes, pointers as the values they point to.
type hasher struct {
	hash maphash.Hash
	now  clock.Micros
	seen map[uintptr]bool // pointers on the path to the current value
}

func newHasher(now clock.Micros) *hasher {
	h := &hasher{now: now, seen: map[uintptr]bool{}}
	h.hash.SetSeed(hashSeed)
	return h
}

func (h *hasher) number(n uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], n)
	h.hash.Write(buffer[:])
}

// timestamp hashes a number that may be a timestamp.
func (h *hasher) timestamp(n int64) {
	if n >= virtualEpoch/2 {
		n = 1<<40 + max(-maxTimeDifference, min(maxTimeDifference, n-h.now))
	}
	h.number(uint64(n))
}

// Digits of the decimal numbers in encoded documents: how many make a number a timestamp, and
// how many always fit an int64.
const (
	minTimestampDigits = 9
	maxDigits          = 18
)

// bytes hashes an encoded document; a long sequence of digits counts as a timestamp.
func (h *hasher) bytes(data []byte) {
	h.number(uint64(len(data)))
	for start := 0; start < len(data); {
		value, end := leadingNumber(data, start)
		if end-start >= minTimestampDigits {
			h.timestamp(value)
		} else {
			end = max(end, start+1)
			h.hash.Write(data[start:end])
		}
		start = end
	}
}

// leadingNumber parses the digits from start on and returns their value and where they end.
func leadingNumber(data []byte, start int) (value int64, end int) {
	end = start
	for end < len(data) && end-start < maxDigits && data[end] >= '0' && data[end] <= '9' {
		value = value*10 + int64(data[end]-'0')
		end++
	}
	return value, end
}

// add hashes a value and everything it contains.
func (h *hasher) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			h.bytes(v.Bytes())
			return
		}
		h.elements(v)
	case reflect.Array:
		h.elements(v)
	case reflect.Map:
		h.mapEntries(v)
	case reflect.Struct:
		h.fields(v)
	case reflect.Interface:
		if v.IsNil() {
			h.hash.WriteByte(0)
			return
		}
		h.hash.WriteString(v.Elem().Type().String())
		h.add(v.Elem())
	case reflect.Pointer:
		h.pointer(v)
	default:
		h.scalar(v)
	}
}

// scalar hashes a value that contains no others. Of a function, only its kind is hashed.
func (h *hasher) scalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.hash.WriteByte(1)
		} else {
			h.hash.WriteByte(0)
		}
	case reflect.Int64:
		h.timestamp(v.Int())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32:
		h.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.number(v.Uint())
	case reflect.String:
		h.number(uint64(v.Len()))
		h.hash.WriteString(v.String())
	case reflect.Func:
		h.hash.WriteByte('f')
	}
}

func (h *hasher) fields(v reflect.Value) {
	for i := range v.NumField() {
		if !ignoredFields[v.Type().Field(i).Name] {
			h.add(v.Field(i))
		}
	}
}

func (h *hasher) elements(v reflect.Value) {
	h.number(uint64(v.Len()))
	for i := 0; i < v.Len(); i++ {
		h.add(v.Index(i))
	}
}

// pointer hashes the value that a pointer points to. It does not follow a pointer that is on the
// path to itself, so that cycles end.
func (h *hasher) pointer(v reflect.Value) {
	if v.IsNil() || h.seen[v.Pointer()] {
		h.hash.WriteByte(0)
		return
	}
	h.seen[v.Pointer()] = true
	h.hash.WriteByte(1)
	h.add(v.Elem())
	delete(h.seen, v.Pointer())
}

func (h *hasher) mapEntries(v reflect.Value) {
	sums := make([]uint64, 0, v.Len())
	for each := v.MapRange(); each.Next(); {
		entry := &hasher{now: h.now, seen: h.seen}
		entry.hash.SetSeed(hashSeed)
		entry.add(each.Key())
		entry.add(each.Value())
		sums = append(sums, entry.hash.Sum64())
	}
	slices.Sort(sums)
	h.number(uint64(len(sums)))
	for _, sum := range sums {
		h.number(sum)
	}
}

// fingerprint hashes everything that a process's decisions depend on: its machine, its disk and the
// unsynced writes. It is never 0, which marks an empty cache.
func (p *process) fingerprint(c *Config, now clock.Micros) uint64 {
	if p.cachedFingerprint != 0 && p.fingerprintedAt == now {
		return p.cachedFingerprint
	}
	h := newHasher(now)
	h.hash.WriteString(p.name)
	h.add(reflect.ValueOf([]bool{p.up, p.paused, p.draining, p.diskBlocked}))
	h.number(uint64(p.generation))
	h.add(reflect.ValueOf(p.disk))
	for _, w := range p.unsynced {
		h.number(w.token)
		h.add(reflect.ValueOf(w.records))
	}
	if p.up {
		h.pointer(reflect.ValueOf(p.machine(c)))
	}
	p.cachedFingerprint = h.hash.Sum64() | 1
	p.fingerprintedAt = now
	return p.cachedFingerprint
}

// Fingerprint hashes the complete state of a run. Runs with the same fingerprint have the same
// possible continuations.
func (w *World) Fingerprint() uint64 {
	h := newHasher(w.now)
	for _, p := range w.processes {
		h.number(p.fingerprint(w.config, w.now))
	}
	h.add(reflect.ValueOf(w.inFlight))
	h.add(reflect.ValueOf(w.blockedLinks))
	h.add(reflect.ValueOf(w.faultsUsed))
	h.add(reflect.ValueOf(w.history))
	return h.hash.Sum64()
}
