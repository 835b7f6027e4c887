package localfleet

import (
	"fmt"
	"os"
	"strings"
)

// ResidentBytes returns the resident set size of the process of a daemon, in bytes, or 0 if the
// process has exited.
func (f *Fleet) ResidentBytes(name string) int64 {
	pid, started := f.pid(name)
	if !started {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	return 0
}

func (f *Fleet) pid(name string) (pid int, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.daemons[name]
	if d == nil || d.cmd == nil {
		return 0, false
	}
	return d.cmd.Process.Pid, true
}
