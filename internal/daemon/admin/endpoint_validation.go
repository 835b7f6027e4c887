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

// validateServers returns the names of the servers on an endpoint list, or an errs.BadInput error
// that lists every fault.
func validateServers(servers []endpoints.Server) (map[string]bool, error) {
	var faults []string
	names := map[string]bool{}
	for i, server := range servers {
		path := fmt.Sprintf("servers[%d]", i)
		faults = append(faults, serverFaults(path, server, names[server.Name])...)
		names[server.Name] = true
	}
	if len(faults) > 0 {
		return nil, &errs.Error{Kind: errs.BadInput, Message: "the endpoint list is invalid; the list in force is unchanged", Remedy: "correct each of the listed faults and put the list again", Faults: faults}
	}
	return names, nil
}

// serverFaults returns the faults of one server of the list. isDuplicateName says that an earlier
// server of the list has the same name.
func serverFaults(path string, server endpoints.Server, isDuplicateName bool) (faults []string) {
	if server.Name == "" || strings.ContainsAny(server.Name, "/ ") {
		faults = append(faults, path+".name: must be a non-empty string without spaces or slashes")
	}
	if isDuplicateName {
		faults = append(faults, path+".name: duplicate name; give each server its own")
	}
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		faults = append(faults, path+".address: must be an IP address with a port")
	}
	if server.Slots < 1 || server.Slots > maxSlots {
		faults = append(faults, fmt.Sprintf("%s.slots: must be from 1 to %d", path, maxSlots))
	}
	if server.Removed {
		faults = append(faults, path+".gone: must not be set; omit the server from the list instead")
	}
	return faults
}
