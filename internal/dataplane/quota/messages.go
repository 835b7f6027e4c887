package quota

import (
	"tuliprudder/internal/transport"
)

// Messages between the clients and owners of accounts. The names of these types and of
// their fields are on the wire between daemons (gob) and never change.
type (
	// LeaseRequest renews a client's lease and asks for more.
	LeaseRequest struct {
		Tenant               string
		DaemonID             string // of the client
		Epoch                uint64 // the highest that the client knows
		InUse, Wanted        int    // by weight; Wanted includes InUse
		Quota                int64  // the tenant's, by the client's configuration
		ConfigurationVersion uint64 // of that configuration
	}
	// LeaseResponse is what is granted. Ready is false while the account is rebuilt:
	// then nothing beyond what is in use is granted.
	LeaseResponse struct {
		Epoch   uint64
		Granted int
		Ready   bool
	}
	// UsageRequest is a new owner's question to every daemon.
	UsageRequest struct {
		Tenant string
		Epoch  uint64
	}
	// UsageResponse is what the daemon has in use. Stale says instead that it knows a
	// higher epoch, Epoch.
	UsageResponse struct {
		InUse int
		Epoch uint64
		Stale bool
	}
)

func init() { transport.Register(LeaseRequest{}, LeaseResponse{}, UsageRequest{}, UsageResponse{}) }
