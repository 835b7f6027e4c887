package shard

import (
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// Batch is a batch of items and the list of their results, in the order in which they
// were listed. It is stored and sent between daemons, so its JSON keys and the names of its
// fields must not change.
type Batch struct {
	ID string `json:"id"`
	// Tenant is the tenant that submitted it or, if Key is "", the name of its route.
	Tenant string `json:"customer"`
	// Key is the tenant's idempotency key, or the batch's ID for opaque requests. It is "" if the batch
	// has no tenant: it was accepted by a release without tenants, or without an API key on a public route.
	Key                  string       `json:"key"`
	Hash                 string       `json:"hash"`           // of the caller's body, see HashItems
	Route                string       `json:"route"`          // its name when the batch was submitted
	ConfigurationVersion uint64       `json:"plan,omitempty"` // the version in force when it was submitted
	Items                []Item       `json:"items"`
	State                BatchState   `json:"state"`
	SubmittedAt          clock.Micros `json:"enrolled"`
	ChangedAt            clock.Micros `json:"changed"` // when its tenant ended it; 0 otherwise
	Results              []Result     `json:"rows"`
	// RouteID identifies the route of opaque requests; "" for inputs, and if the batch was accepted by a
	// release that stored only the route's name.
	RouteID config.RouteID `json:"route_id,omitempty"`
	// Archived is set once the items and results are only in an archive file; both lists are empty then.
	Archived *ArchiveLocation `json:"shelved,omitempty"`
	// hasResult holds the indices of the items that have a result.
	hasResult map[int]bool
	// archiving is the location of the batch in an archive file that is being written; nil if there
	// is none.
	archiving *ArchiveLocation
}

// BatchState is the state of a batch; the values are in stored_names.go.
type BatchState string

// Item is one item of a batch: an input for the route's model, or a request that is
// forwarded to a server unchanged.
type Item struct {
	ID      string   `json:"id"`
	Input   string   `json:"input,omitempty"`
	Request *Request `json:"request,omitempty"` // nil if the item has an input
}

// Request is an item that is forwarded to a server unchanged (docs/DESIGN.md §12.5).
type Request struct {
	Target string            `json:"target"` // path and query
	Host   string            `json:"host"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Size   int               `json:"size,omitempty"` // in bytes, of a body that follows the JSON of its entry (entry_bodies.go)
	Tokens int64             `json:"tokens"`         // charged against the route's limit of queued tokens
}

// Result is the result of one item, with its position in its writer's sequence.
type Result struct {
	Writer   int    `json:"writer"`
	Position int64  `json:"position"`
	Batch    string `json:"bundle"`
	Item     int    `json:"item"` // index in the batch
	ItemID   string `json:"item_id"`
	Status   string `json:"status"` // StatusOK or StatusFailed
	Output   string `json:"output"`
	Server   string `json:"server,omitempty"`
}

// HostName returns the host that the request is for, without a port.
func (r *Request) HostName() string {
	name, _, _ := strings.Cut(r.Host, ":")
	return name
}

// Path returns the path of the request's target.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Weight returns the weight of an item in its queue: a request's tokens, otherwise 1.
func (r *Request) Weight() int {
	if r == nil || r.Tokens < 1 {
		return 1
	}
	return int(r.Tokens)
}

// releaseInput drops the data that is needed only to run the item. The request is replaced, not
// modified, because an attempt in progress still refers to it.
func (i *Item) releaseInput() {
	i.Input = ""
	if r := i.Request; r != nil {
		i.Request = &Request{Target: r.Target, Host: r.Host, Tokens: r.Tokens}
	}
}

// TenantName returns the tenant that the batch belongs to, or "" if it has none.
func (b *Batch) TenantName() string {
	if b.HasNoTenant() {
		return ""
	}
	return b.Tenant
}

// HasNoTenant reports whether the batch belongs to no tenant. Any client that knows its ID may use it.
func (b *Batch) HasNoTenant() bool { return b.Key == "" }

// RouteReference refers to the batch's route. A batch of a release that stored only the route's name refers
// to it by the host and path of its first request, too.
func (b *Batch) RouteReference() config.RouteReference {
	var first *Request
	if len(b.Items) > 0 {
		first = b.Items[0].Request
	}
	return NewRouteReference(b.RouteID, b.Route, b.ConfigurationVersion, first)
}

// NewRouteReference refers to the route of a batch; request is one of its requests, nil if it has inputs.
func NewRouteReference(id config.RouteID, name string, version uint64, request *Request) config.RouteReference {
	reference := config.RouteReference{ID: id, Name: name, Version: version}
	if request != nil {
		reference.Host = request.HostName()
		reference.Path = request.Path()
	}
	return reference
}

// Account returns the account to which the batch's items are charged.
func (b *Batch) Account() AccountName {
	if !b.IsForwarded() {
		return AccountName{Tenant: b.Tenant}
	}
	if b.RouteID != "" {
		return AccountName{Tenant: b.TenantName(), Route: string(b.RouteID)}
	}
	return AccountName{Tenant: b.TenantName(), Route: b.Route}
}

// IsForwarded reports whether the items are opaque requests. Other batches have a key, and an ID that is
// derived from it (BatchID).
func (b *Batch) IsForwarded() bool { return b.Key == "" || b.Key == b.ID }

// PendingWeight returns the total weight of the items without a result, or 0 if the batch is not open.
func (b *Batch) PendingWeight() int {
	if b.State != Open {
		return 0
	}
	sum := 0
	for i, item := range b.Items {
		if !b.hasResult[i] {
			sum += item.Request.Weight()
		}
	}
	return sum
}

// Counts returns the numbers of items and of results, archived or not.
func (b *Batch) Counts() (items, results int) {
	if b.Archived != nil {
		return b.Archived.Items, b.Archived.Results
	}
	return len(b.Items), len(b.Results)
}

// HasResult reports whether an item has a result.
func (b *Batch) HasResult(item int) bool { return b.hasResult[item] }

// AwaitsResult reports whether a result of the item can still be listed: the batch is open,
// the item exists, and it has no result yet.
func (b *Batch) AwaitsResult(item int) bool {
	return b.State == Open && item >= 0 && item < len(b.Items) && !b.hasResult[item]
}

// PendingItem returns the item with the given ID whose result can still be listed.
func (b *Batch) PendingItem(id string) (*Item, bool) {
	for i := range b.Items {
		if b.Items[i].ID == id && b.AwaitsResult(i) {
			return &b.Items[i], true
		}
	}
	return nil, false
}
