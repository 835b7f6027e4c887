package scheduler

import (
	"container/list"
	"hash/fnv"
)

// prefixTable remembers which server ran a prompt prefix last, as that server probably
// still has it in its KV cache. It holds a bounded number of prefixes; the one that was
// seen first is forgotten first (FIFO).
type prefixTable struct {
	capacity int
	servers  map[uint64]string // server by prefix key
	byAge    *list.List        // prefix keys, the first seen in front
}

func newPrefixTable(capacity int) *prefixTable {
	return &prefixTable{capacity: capacity, servers: map[uint64]string{}, byAge: list.New()}
}

// prefixKey identifies a prefix of a model. Two prefixes with the same key (64-bit FNV-1a)
// only cost a cache miss.
func prefixKey(r *Request) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Route.Model + "\x00" + r.Prefix))
	return h.Sum64()
}

// lastServer is the server that ran the request's prefix last; "" where none is known.
func (t *prefixTable) lastServer(r *Request) string { return t.servers[prefixKey(r)] }

// record notes that a server now runs the request's prefix.
func (t *prefixTable) record(r *Request, server string) {
	key := prefixKey(r)
	if _, known := t.servers[key]; !known {
		t.byAge.PushBack(key)
		if t.byAge.Len() > t.capacity {
			oldest := t.byAge.Remove(t.byAge.Front()).(uint64)
			delete(t.servers, oldest)
		}
	}
	t.servers[key] = server
}
