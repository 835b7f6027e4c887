package admin

import (
	"fmt"
	"net/netip"
	"strings"

	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

// maxSlots is the largest number of concurrency slots that a server may be listed with.
const maxSlots = 100_000

// validateServers returns the names on an endpoint list, or an errs.BadInput error that
// names every fault of it.
func validateServers(servers []endpoints.Server) (map[string]bool, error) {
	var faults []string
	names := map[string]bool{}
	for i, server := range servers {
		path := fmt.Sprintf("servers[%d]", i)
		faults = append(faults, serverFaults(path, server, names[server.Name])...)
		names[server.Name] = true
	}
	if len(faults) > 0 {
		return nil, &errs.Error{Kind: errs.BadInput, Message: "the list has faults; the list in force stays", Remedy: "correct each named place and put the list again", Faults: faults}
	}
	return names, nil
}

// serverFaults names the faults of one server of the list, whose name may stand there before.
func serverFaults(path string, server endpoints.Server, isDuplicateName bool) (faults []string) {
	if server.Name == "" || strings.ContainsAny(server.Name, "/ ") {
		faults = append(faults, path+".name: must be a text without spaces and slashes")
	}
	if isDuplicateName {
		faults = append(faults, path+".name: is there twice; give each server its own")
	}
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		faults = append(faults, path+".address: not an IP number with a port")
	}
	if server.Slots < 1 || server.Slots > maxSlots {
		faults = append(faults, fmt.Sprintf("%s.slots: must be from 1 to %d", path, maxSlots))
	}
	if server.Removed {
		faults = append(faults, path+".gone: leave the server out of the list instead")
	}
	return faults
}
