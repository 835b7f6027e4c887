package requests

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/shard"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/reader"
)

// What the event loop hands in; each is a call, whose answer is the next word.
type (
	// Live is a live order as it came.
	Live struct {
		Order     string // the name this edge gave it
		Caller    string // the key the caller carries
		Route     string
		Key       string // idempotency key; "" for none
		Input     string
		MaxTokens int64
		ExpiryUS  int64 // 0: the route's
	}
	// Ran tells how a try on a server went.
	Ran struct {
		Order   string
		Outcome modelclient.Outcome
		Why     string // what went wrong
		Output  string // all that has come so far, over all tries
		Over    bool   // the order's expiry passed, or its caller left
	}
	// Began tells that a server has begun the order: until then it waits, in the
	// server's own queue as well.
	Began struct{ Order string }
	// Left tells that the caller has gone.
	Left struct{ Order string }
	// SubmitBundle is a bundle as it came.
	SubmitBundle struct {
		Caller string
		Route  string
		Key    string
		Items  []shard.Item
	}
	// BundleStatus asks how a bundle stands; End ends it.
	BundleStatus struct {
		Caller, Bundle string
		End            bool
	}
	// Page reads one bundle's list, or the feed.
	Page struct {
		Caller string
		Read   reader.Read
	}
	// ForwardBundle is a bundle of requests to be passed on, under its own name; no
	// caller's key comes with it (DESIGN §12.5).
	ForwardBundle struct {
		Route string
		ID    string
		Items []shard.Item
	}
	// BundleStatusAny asks how such a bundle stands; End ends it.
	BundleStatusAny struct {
		Bundle string
		End    bool
	}
	// PageAny reads such a bundle's list.
	PageAny struct{ Read reader.Read }
	// ItemBody asks for the body of an item of such a bundle that is not listed yet.
	ItemBody struct{ Bundle, Item string }
)

// What the event loop is told.
type (
	// Run says: run the order on this server, then tell how it went.
	Run struct {
		Request modelclient.Request
		Kind    string // of the route
		Expiry  clock.Micros
	}
	// Answer is the end of an order that is whole.
	Answer struct {
		Order    string `json:"order"`
		Status   string `json:"status"`
		Output   string `json:"output"`
		Server   string `json:"server"`
		Replayed bool   `json:"-"` // it is the key's first order's
	}
)
