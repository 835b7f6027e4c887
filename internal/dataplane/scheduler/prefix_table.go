package scheduler

import (
	"container/list"
	"hash/fnv"
)

// prefixTable maps prompt prefixes to the server that ran them last, as that server probably
// still has them in its KV cache. It holds a bounded number of prefixes and evicts the one
// that was first seen earliest (FIFO).
type prefixTable struct {
	capacity int
	servers  map[uint64]string // server by prefix key
	byAge    *list.List        // prefix keys, first seen first
}

func newPrefixTable(capacity int) *prefixTable {
	return &prefixTable{capacity: capacity, servers: map[uint64]string{}, byAge: list.New()}
}

// prefixKey returns the key of a request's model and prefix (64-bit FNV-1a). A collision costs
// only a cache miss.
func prefixKey(r *Request) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Route.Model + "\x00" + r.Prefix))
	return h.Sum64()
}

// lastServer returns the server that ran the request's prefix last, "" if none is known.
func (t *prefixTable) lastServer(r *Request) string { return t.servers[prefixKey(r)] }

// record stores the server that now runs the request's prefix.
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
