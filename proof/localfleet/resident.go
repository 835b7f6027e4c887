package localfleet

import (
	"fmt"
	"os"
	"strings"
)

// Resident is how much memory a daemon's process has resident, in bytes.
func (c *Fleet) Resident(name string) int64 {
	d := c.Get(name)
	if d == nil || d.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	return 0
}
