package quota

import (
	"tuliprudder/internal/transport"
)

// Messages between borrowers and holders.
type (
	// LeaseRequest renews a share and asks for more.
	LeaseRequest struct {
		Tenant               string
		DaemonID             string
		Epoch                uint64 // the highest the borrower has heard of
		InUse, Wanted        int
		Quota                int64
		ConfigurationVersion uint64 // version of the configuration the quota is from
	}
	// LeaseResponse is what is lent; Ready false while the account is rebuilt.
	LeaseResponse struct {
		Epoch   uint64
		Granted int
		Ready   bool
	}
	// UsageRequest is a new holder's question to every daemon.
	UsageRequest struct {
		Tenant string
		Epoch  uint64
	}
	// UsageResponse is what the daemon holds; Stale if it knows a higher epoch.
	UsageResponse struct {
		InUse int
		Epoch uint64
		Stale bool
	}
)

func init() { transport.Register(LeaseRequest{}, LeaseResponse{}, UsageRequest{}, UsageResponse{}) }
