package verify

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"time"
)

const (
	rereadLimit     = 1000 // results in a page
	maxRereads      = 60   // attempts until another edge must have all results
	slowReadBytes   = 256  // read at a time by a slow reader
	slowReadPause   = 10 * time.Millisecond
	slowReadBuffer  = 2048 // receive buffer of the connection, in bytes
	slowReaderShare = 5    // one in this many rereads is followed by a slow read
)

// isPrefixOf reports whether the results of the page are a prefix of results.
func (p resultPage) isPrefixOf(results []Result) bool {
	return len(p.Results) <= len(results) && fmt.Sprint(p.Results) == fmt.Sprint(results[:len(p.Results)])
}

// readAgain reads the results of a batch a second time at random edges. An edge may lag behind
// the one that was read first, but what it returns must be a prefix of the earlier results.
func (t *Workload) readAgain(ctx context.Context, rng *rand.Rand, b *Batch) {
	for attempt := 0; attempt < maxRereads && ctx.Err() == nil; attempt++ {
		p, ok := t.readPage(ctx, rng, pageRequest{path: b.resultsPath(), limit: rereadLimit})
		if !ok {
			continue
		}
		if !p.isPrefixOf(b.Results) {
			t.addViolation(guaranteeExactlyOnce, "batch %s: results differ when read again (%d results, %d before)", b.ID, len(p.Results), len(b.Results))
			return
		}
		if len(p.Results) == len(b.Results) {
			t.addCount("batches read twice", 1)
			if rng.Intn(slowReaderShare) == 0 {
				t.readSlowly(ctx, rng, b)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.addViolation(guaranteeExactlyOnce, "batch %s: results stay incomplete when read again", b.ID)
}

// readSlowly reads all results of a batch over a connection that takes a few bytes at a time. It
// must get the same results; it also loads the edge while the delays of other readers are
// checked.
func (t *Workload) readSlowly(ctx context.Context, rng *rand.Rand, b *Batch) {
	raw, err := t.slowGet(ctx, t.randomEdge(rng), fmt.Sprintf("%s?limit=%d", b.resultsPath(), rereadLimit))
	if err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return // the edge was stopped, or a shard was being moved
	}
	defer response.Body.Close()
	var p resultPage
	if json.NewDecoder(response.Body).Decode(&p) != nil {
		return // the edge was stopped during the read
	}
	if !p.isPrefixOf(b.Results) {
		t.addViolation(guaranteeExactlyOnce, "batch %s: results differ when read again by a slow reader", b.ID)
	}
	t.addCount("batches read slowly", 1)
}

// slowGet sends a GET request and reads the raw HTTP response a few bytes at a time.
func (t *Workload) slowGet(ctx context.Context, edge, path string) ([]byte, error) {
	conn, err := net.Dial("tcp", edge)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(slowReadBuffer)
	}
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: edge\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", path, t.BatchKey)
	var raw []byte
	chunk := make([]byte, slowReadBytes)
	for ctx.Err() == nil {
		count, err := conn.Read(chunk)
		raw = append(raw, chunk[:count]...)
		if err != nil {
			break
		}
		time.Sleep(slowReadPause)
	}
	return raw, nil
}

// readAllBatchesBack rereads the results of every completely read batch at the end of the run.
func (t *Workload) readAllBatchesBack(ctx context.Context) {
	rng := rand.New(rand.NewSource(t.Seed - 3))
	deadline := time.Now().Add(t.ReadTimeout)
	for _, b := range t.batches {
		wasComplete := b.Accepted && b.CancelledAt == 0 && len(b.Results) >= len(b.Inputs)
		if wasComplete {
			t.readBack(ctx, rng, b, deadline)
			t.addCount("batches read back at the end of the run", 1)
		}
	}
}

// readBack rereads the results of a batch until all are returned or the deadline passes.
func (t *Workload) readBack(ctx context.Context, rng *rand.Rand, b *Batch, deadline time.Time) {
	count := 0
	for count < len(b.Results) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			t.addViolation(guaranteeNeverLost, "batch %s: only %d of %d results can be read at the end of the run", b.ID, count, len(b.Results))
			return
		}
		p, ok := t.readPage(ctx, rng, pageRequest{path: b.resultsPath(), limit: rereadLimit})
		if !ok {
			continue
		}
		if !p.isPrefixOf(b.Results) {
			t.addViolation(guaranteeExactlyOnce, "batch %s: results differ when read again at the end of the run", b.ID)
			return
		}
		count = len(p.Results)
	}
}
