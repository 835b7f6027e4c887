package quota

import (
	"tuliprudder/kernel/transport"
)

// Messages between borrowers and holders.
type (
	// LendRequest renews a share and asks for more.
	LendRequest struct {
		Customer   string
		Borrower   string
		Epoch      uint64 // the highest the borrower has heard of
		Held, Want int
		Allowance  int64
		Plan       uint64 // version of the plan the allowance is from
	}
	// LendAnswer is what is lent; Ready false while the account is rebuilt.
	LendAnswer struct {
		Epoch   uint64
		Granted int
		Ready   bool
	}
	// HoldingsRequest is a new holder's question to every daemon.
	HoldingsRequest struct {
		Customer string
		Epoch    uint64
	}
	// Holdings is what the daemon holds; Stale if it knows a higher epoch.
	Holdings struct {
		Held  int
		Epoch uint64
		Stale bool
	}
)

func init() { transport.Register(LendRequest{}, LendAnswer{}, HoldingsRequest{}, Holdings{}) }
