package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["lots-at-once"] = batchesAtOnce }

const (
	// usualGap is the time between two lots at the usual rate, 2.59 a second.
	usualGap = time.Second * 100 / 259
	// burstFactor is the largest factor of the bursts of lots, and burstBatches their count in 3 s.
	burstFactor  = 6
	burstBatches = 46

	// Each lot has the usual count of items, and its body is below max-body-bytes.
	itemsOfLargeBatch = 20
	bytesOfLargeBatch = 4000000

	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = time.Second
	// endsOfFault is how often processes of one machine have to end by themselves, on machinesOfFault
	// machines, for the rule to be broken.
	endsOfFault     = 3
	machinesOfFault = 2
)

// memoryLimit is the memory of a role's processes in MB, as the deployment stg-resale sets it.
var memoryLimit = map[string]int{roleEdge: 284, roleStore: 314, roleCore: 314}

// memoryWatch is the platform's watch over the memory of the processes.
type memoryWatch struct {
	*run
	stopped chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	ends    map[string]int
	peak    map[string]int
}

func (r *run) watchMemory() *memoryWatch {
	w := &memoryWatch{run: r, stopped: make(chan struct{}), ends: map[string]int{}, peak: map[string]int{}}
	for _, m := range r.fleet.machines {
		w.done.Add(1)
		go w.watch(m)
	}
	return w
}

// watch kills a machine's process when it is over its memory, and starts it again.
func (w *memoryWatch) watch(m *machine) {
	defer w.done.Done()
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymousMemory(m.command.Process.Pid)
		w.count(m, used)
		if used <= memoryLimit[m.role] {
			continue
		}
		w.record.logf("platform: the process of %s has %d MB of %d: killed", m.name, used, memoryLimit[m.role])
		m.kill()
		time.Sleep(restartDelay)
		if err := w.fleet.start(m, false); err != nil {
			w.record.logf("platform: %s doesn't start: %v", m.name, err)
			return
		}
	}
}

func (w *memoryWatch) count(m *machine, used int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak[m.name] = max(w.peak[m.name], used)
	if used > memoryLimit[m.role] {
		w.ends[m.name]++
	}
}

// stop ends the watch and judges what it has seen.
func (w *memoryWatch) stop() {
	close(w.stopped)
	w.done.Wait()
	var often []string
	for _, m := range w.fleet.machines {
		w.record.logf("platform: %s had %d MB of %d, and was killed %d times", m.name, w.peak[m.name], memoryLimit[m.role], w.ends[m.name])
		if w.ends[m.name] >= endsOfFault {
			often = append(often, m.name)
		}
	}
	if len(often) >= machinesOfFault {
		w.record.fail("Fault: processes ended by themselves %d times or more, over their memory, on %s", endsOfFault, strings.Join(often, ", "))
	}
}

// anonymousMemory returns the resident memory of a process in MB, without that of files.
func anonymousMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, text := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(text); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes * 1024 / 1000000
		}
	}
	return 0
}

// batchesAtOnce hands large lots in: in a burst, or at the usual rate.
func batchesAtOnce(r *run) error {
	var servers []*modelServer
	for i := range 6 {
		server := newServer(fmt.Sprintf("i-labels-%d", i+1), labels, zones[i%len(zones)], 37, 27*time.Millisecond)
		server.slots = 16
		servers = append(servers, server)
	}
	if err := r.begin(document(1, routesFrom(1, bulkRoute, labels)), servers...); err != nil {
		return err
	}
	watch := r.watchMemory()
	var clients sync.WaitGroup
	next := time.Now()
	for i := range burstBatches {
		time.Sleep(time.Until(next))
		next = next.Add(usualGap)
		if r.withFault {
			next = next.Add(usualGap/burstFactor - usualGap)
		}
		clients.Add(1)
		go func() { defer clients.Done(); r.largeBatch(i) }()
	}
	clients.Wait()
	watch.stop()
	return nil
}

// largeBatch hands a large lot in, twice at most, and reads it to its end.
func (r *run) largeBatch(number int) {
	l := newBatch(fmt.Sprintf("%08x%08x", number+1, 0xb52d6a3f), labels, itemsOfLargeBatch)
	for i := range l.items {
		l.items[i].id = fmt.Sprintf("%08x%08x", number+1, i)
	}
	edges := r.fleet.byRole(roleEdge)
	header := http.Header{"X-Request-Id": {l.id}, "Content-Type": {"application/json"}}
	body := l.encodeLarge()
	for attempt := range 2 {
		edge := edges[(number+attempt)%len(edges)]
		got := call(r, 4*time.Second, http.MethodPost, edge.front, l.host, l.target, header, body)
		r.record.logf("client: lot %s (%d bytes) at %s: %d %v", l.id, len(body), edge.name, got.status, got.err)
		if got.err == nil && got.status == http.StatusAccepted {
			results := r.readAll(l, 40*time.Second)
			r.record.logf("client: lot %s: %d of %d items are listed", l.id, len(results), len(l.items))
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// encodeLarge returns the lot's body, of bytesOfLargeBatch and a little more.
func (l batch) encodeLarge() []byte {
	var requests []map[string]any
	content := strings.Repeat("q83v", bytesOfLargeBatch/itemsOfLargeBatch/4)
	for _, item := range l.items {
		requests = append(requests, map[string]any{
			"id": item.id, "path": item.path, "body": content, "toks": 600,
			"hdrs": map[string]string{"X-Model": "m", "X-Token-Count": "540,60", "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
		})
	}
	data, _ := json.Marshal(map[string]any{"reqs": requests}) // strings and numbers can always be encoded
	return data
}
