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
	rereadLimit     = 1000 // results of a page
	maxRereads      = 60   // until another edge has all results
	slowReadBytes   = 256  // that a slow reader takes at a time
	slowReadPause   = 10 * time.Millisecond
	slowReadBuffer  = 2048 // bytes of the connection
	slowReaderShare = 5    // one reread in so many is a slow one as well
)

// isPrefixOf says whether a page shows the beginning of a list of results.
func (p resultPage) isPrefixOf(results []Result) bool {
	return len(p.Results) <= len(results) && fmt.Sprint(p.Results) == fmt.Sprint(results[:len(p.Results)])
}

// readAgain reads a batch's results once more at some edge. That edge may receive the last
// ones a little later, but what it shows has to be the beginning of what was read before.
func (t *Workload) readAgain(ctx context.Context, rng *rand.Rand, b *Batch) {
	for attempt := 0; attempt < maxRereads && ctx.Err() == nil; attempt++ {
		p, ok := t.readPage(ctx, rng, pageRequest{path: b.resultsPath(), limit: rereadLimit})
		if !ok {
			continue
		}
		if !p.isPrefixOf(b.Results) {
			t.addViolation(guaranteeExactlyOnce, "batch %s: read again it differs (%d results, %d before)", b.ID, len(p.Results), len(b.Results))
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
	t.addViolation(guaranteeExactlyOnce, "batch %s: read again it stays shorter", b.ID)
}

// readSlowly reads all results of a batch over a connection that takes a few bytes at a time:
// it gets the same ones, and the other readers' delays are checked meanwhile.
func (t *Workload) readSlowly(ctx context.Context, rng *rand.Rand, b *Batch) {
	raw, err := t.slowGet(ctx, t.randomEdge(rng), fmt.Sprintf("%s?limit=%d", b.resultsPath(), rereadLimit))
	if err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return // the edge stopped, or a shard was being moved
	}
	defer response.Body.Close()
	var p resultPage
	if json.NewDecoder(response.Body).Decode(&p) != nil {
		return // the edge stopped meanwhile
	}
	if !p.isPrefixOf(b.Results) {
		t.addViolation(guaranteeExactlyOnce, "batch %s: read again slowly it differs", b.ID)
	}
	t.addCount("batches read slowly", 1)
}

// slowGet reads a whole HTTP response, a few bytes at a time.
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

// readAllBatchesBack reads the results of every accepted batch back at the end of the run.
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

// readBack reads a batch's results until they are all there.
func (t *Workload) readBack(ctx context.Context, rng *rand.Rand, b *Batch, deadline time.Time) {
	count := 0
	for count < len(b.Results) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			t.addViolation(guaranteeNeverLost, "batch %s: only %d of %d results at the end of the run", b.ID, count, len(b.Results))
			return
		}
		p, ok := t.readPage(ctx, rng, pageRequest{path: b.resultsPath(), limit: rereadLimit})
		if !ok {
			continue
		}
		if !p.isPrefixOf(b.Results) {
			t.addViolation(guaranteeExactlyOnce, "batch %s: read again at the end of the run it differs", b.ID)
			return
		}
		count = len(p.Results)
	}
}
