// Package shard is the state of one shard (DESIGN §6): its batches with their
// one ordered list of results each, and the claims on one-shot orders.
package shard

import (
	"encoding/json"
	"hash/fnv"
	"sort"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// ShardOf is the shard a batch or claim belongs to.
func ShardOf(id string, shards int) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return int(sum % uint64(shards))
}

// Item is one order of a batch: an input for the route's model, or a request to
// be passed on to a server unchanged.
type Item struct {
	ID      string   `json:"id"`
	Input   string   `json:"input,omitempty"`
	Request *Request `json:"request,omitempty"`
}

// Request is an item that is passed on to a server unchanged (DESIGN §12.5).
type Request struct {
	Target string            `json:"target"` // path and query
	Host   string            `json:"host"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Size   int               `json:"size,omitempty"` // of a body that lies behind an entry (raw.go)
	Tokens int64             `json:"tokens"`         // what it counts for in the route's bound on waiting tokens
}

// Weight is what an item counts for while it waits: a request's tokens, else one.
func (r *Request) Weight() int {
	if r == nil || r.Tokens < 1 {
		return 1
	}
	return int(r.Tokens)
}

// releaseInput drops what only a run needs. The request is replaced, not changed: a run
// that is under way still holds it.
func (i *Item) releaseInput() {
	i.Input = ""
	if r := i.Request; r != nil {
		i.Request = &Request{Target: r.Target, Host: r.Host, Tokens: r.Tokens}
	}
}

// Result is one result with its position and its writer.
type Result struct {
	Writer   int    `json:"writer"`
	Position int64  `json:"position"`
	Batch    string `json:"bundle"`
	Item     int    `json:"item"`
	ItemID   string `json:"item_id"`
	Status   string `json:"status"`
	Output   string `json:"output"`
	Server   string `json:"server,omitempty"`
}

// BatchState of a batch.
type BatchState string

// Batch is one batch and its list. Inputs and bodies go once their row is in.
type Batch struct {
	ID                   string           `json:"id"`
	Tenant               string           `json:"customer"`
	Key                  string           `json:"key"`
	Hash                 string           `json:"hash"`
	Route                string           `json:"route"`
	ConfigurationVersion uint64           `json:"plan,omitempty"` // version of the configuration it was handed in under
	Items                []Item           `json:"items"`
	State                BatchState       `json:"state"`
	SubmittedAt          clock.Micros     `json:"enrolled"`
	ChangedAt            clock.Micros     `json:"changed"`
	Results              []Result         `json:"rows"`
	Archived             *ArchiveLocation `json:"shelved,omitempty"`
	hasResult            map[int]bool
	archiving            bool
}

// ArchiveLocation is where a settled batch's rows lie on this daemon's own disk, and what
// has to be known of them without looking.
type ArchiveLocation struct {
	File          uint64        `json:"file"`
	Items         int           `json:"items"`
	Results       int           `json:"rows"`
	LastPositions map[int]int64 `json:"last"` // highest position of each writer
}

// Counts are the batch's items and rows, shelved or not.
func (b *Batch) Counts() (items, results int) {
	if b.Archived != nil {
		return b.Archived.Items, b.Archived.Results
	}
	return len(b.Items), len(b.Results)
}

// IsArchivable tells whether the batch may be shelved.
func (b *Batch) IsArchivable() bool { return b.State != Open && b.Archived == nil && !b.archiving }

// MarkArchiving marks the batch as on its way to the shelf.
func (b *Batch) MarkArchiving() { b.archiving = true }

// IsArchiving tells whether it is on its way there.
func (b *Batch) IsArchiving() bool { return b.archiving }

// Encode is the whole batch, for the shelf.
func (b *Batch) Encode() []byte {
	unarchive := *b
	unarchive.Archived = nil
	data, _ := json.Marshal(unarchive)
	return data
}

// MarkArchived lets go of rows and items that are on the shelf now.
func (b *Batch) MarkArchived(file uint64) {
	location := &ArchiveLocation{File: file, Items: len(b.Items), Results: len(b.Results), LastPositions: map[int]int64{}}
	for _, result := range b.Results {
		location.LastPositions[result.Writer] = max(location.LastPositions[result.Writer], result.Position)
	}
	b.Archived, b.archiving, b.Results, b.Items, b.hasResult = location, false, nil, nil, nil
}

// DecodeArchived reads a whole batch from what the shelf holds.
func DecodeArchived(data []byte) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(err, "reading a shelved bundle")
	}
	return &b, nil
}

// HasResult tells whether an item has its row.
func (b *Batch) HasResult(item int) bool { return b.hasResult[item] }

// PendingItem finds an item by its id that has no row yet and may still get one.
func (b *Batch) PendingItem(id string) (*Item, bool) {
	if b.State != Open {
		return nil, false
	}
	for i := range b.Items {
		if b.Items[i].ID == id && !b.hasResult[i] {
			return &b.Items[i], true
		}
	}
	return nil, false
}

// Claim is one caller's key on a one-shot order.
type Claim struct {
	Tenant    string       `json:"customer"`
	Key       string       `json:"key"`
	Hash      string       `json:"hash"`
	RequestID string       `json:"order"`
	State     string       `json:"state"` // claimed, answered, turned-away
	Response  []byte       `json:"answer,omitempty"`
	At        clock.Micros `json:"at"`
}

// Ownership is one writer's run of rows in a shard; the next one's rows all lie
// above it.
type Ownership struct {
	Writer int   `json:"writer"`
	First  int64 `json:"first"`
	Last   int64 `json:"last"`
}

// maxOwnerships is how many runs are kept; older ones were settled long ago.
const maxOwnerships = 12

// State is the state one pair replicates.
type State struct {
	Batches       map[string]*Batch
	Claims        map[string]*Claim
	LastPositions map[int]int64 // highest position of each writer in this shard
	Ownerships    []Ownership   // the newest runs, in the order of their positions
}

// New is an empty shard.
func New() *State {
	return &State{Batches: map[string]*Batch{}, Claims: map[string]*Claim{}, LastPositions: map[int]int64{}}
}

// HasOpenBatch tells whether any batch of the shard is open.
func (s *State) HasOpenBatch() bool {
	for _, batch := range s.Batches {
		if batch.State == Open {
			return true
		}
	}
	return false
}

// HighestPosition is the highest position any row of the shard holds.
func (s *State) HighestPosition() int64 {
	top := int64(0)
	for _, position := range s.LastPositions {
		top = max(top, position)
	}
	return top
}

// Entry is one change of a shard: a command on it.
type Entry interface {
	Apply(s *State)
	kind() string
}

// The changes there are. Their JSON is on the disks of the stores; the keys never change.
type (
	// SubmitBatch takes a batch in.
	SubmitBatch struct {
		Batch Batch `json:"Bundle"`
	}
	// ListResult puts a result into its batch's list.
	ListResult struct {
		Result Result `json:"Row"`
	}
	// EndBatch stops a batch for good.
	EndBatch struct {
		Batch string       `json:"Bundle"`
		At    clock.Micros `json:"At"`
	}
	// BeginClaim claims a key before its one-shot order starts.
	BeginClaim struct {
		Claim Claim `json:"Claim"`
	}
	// CompleteClaim notes how a claimed order went.
	CompleteClaim struct {
		ID       string `json:"ID"`
		State    string `json:"State"`
		Response []byte `json:"Answer"`
	}
	// Forget drops what is past its keeping.
	Forget struct {
		Batches []string `json:"Bundles"`
		Claims  []string `json:"Claims"`
	}
)

// ClaimID is the name of a claim; BatchID of a batch. Both come from the
// tenant and the key alone, so a repeated key meets itself at any daemon.
func ClaimID(tenant, key string) string { return claimPrefix + digest(tenant, key) }

// BatchID is the name of the batch of a tenant's key.
func BatchID(tenant, key string) string { return batchPrefix + digest(tenant, key) }

// Apply takes the batch in.
func (e SubmitBatch) Apply(s *State) {
	batch := e.Batch
	batch.hasResult = map[int]bool{}
	s.Batches[batch.ID] = &batch
}

// Apply lists the row, unless its item already has one or the batch is gone.
func (e ListResult) Apply(s *State) {
	s.LastPositions[e.Result.Writer] = max(s.LastPositions[e.Result.Writer], e.Result.Position)
	s.recordOwnership(e.Result.Writer, e.Result.Position)
	batch := s.Batches[e.Result.Batch]
	if batch == nil || batch.State != Open || batch.hasResult[e.Result.Item] {
		return
	}
	batch.Results = append(batch.Results, e.Result)
	batch.hasResult[e.Result.Item] = true
	batch.Items[e.Result.Item].releaseInput()
	if len(batch.Results) == len(batch.Items) {
		batch.State = Done
	}
}

// recordOwnership goes on with the newest run or begins the next one.
func (s *State) recordOwnership(writer int, position int64) {
	if n := len(s.Ownerships); n > 0 && s.Ownerships[n-1].Writer == writer {
		s.Ownerships[n-1].Last = position
		return
	}
	s.Ownerships = append(s.Ownerships, Ownership{Writer: writer, First: position, Last: position})
	if extra := len(s.Ownerships) - maxOwnerships; extra > 0 {
		s.Ownerships = append([]Ownership(nil), s.Ownerships[extra:]...)
	}
}

// Apply ends the batch; results listed so far stay.
func (e EndBatch) Apply(s *State) {
	if batch := s.Batches[e.Batch]; batch != nil && batch.State == Open {
		batch.State, batch.ChangedAt = Ended, e.At
		for i := range batch.Items {
			batch.Items[i].releaseInput()
		}
	}
}

// Apply notes the claim.
func (e BeginClaim) Apply(s *State) {
	claim := e.Claim
	s.Claims[ClaimID(claim.Tenant, claim.Key)] = &claim
}

// Apply settles the claim once.
func (e CompleteClaim) Apply(s *State) {
	if claim := s.Claims[e.ID]; claim != nil && claim.State == Claimed {
		claim.State, claim.Response = e.State, e.Response
	}
}

// Apply drops what is named.
func (e Forget) Apply(s *State) {
	for _, id := range e.Batches {
		delete(s.Batches, id)
	}
	for _, id := range e.Claims {
		delete(s.Claims, id)
	}
}

func (SubmitBatch) kind() string   { return kindEnrol }
func (ListResult) kind() string    { return kindList }
func (EndBatch) kind() string      { return kindEnd }
func (BeginClaim) kind() string    { return kindClaim }
func (CompleteClaim) kind() string { return kindSettle }
func (Forget) kind() string        { return kindForget }

var entries = machine.EntryCodec[Entry]{
	kindEnrol:  machine.Decoder(func(e SubmitBatch) Entry { return e }),
	kindList:   machine.Decoder(func(e ListResult) Entry { return e }),
	kindEnd:    machine.Decoder(func(e EndBatch) Entry { return e }),
	kindClaim:  machine.Decoder(func(e BeginClaim) Entry { return e }),
	kindSettle: machine.Decoder(func(e CompleteClaim) Entry { return e }),
	kindForget: machine.Decoder(func(e Forget) Entry { return e }),
}

// Encode writes an entry for the pair.
func Encode(e Entry) []byte {
	if submit, ok := e.(SubmitBatch); ok {
		return encodeRaw(submit)
	}
	return entries.Encode(e.kind(), e)
}

// Decode reads an entry.
func Decode(data []byte) (Entry, error) {
	if len(data) > 0 && data[0] == rawFormat {
		return decodeRaw(data)
	}
	return entries.Decode(data)
}

type snapshotPart struct {
	Batch         *Batch        `json:"bundle,omitempty"`
	Claim         *Claim        `json:"claim,omitempty"`
	LastPositions map[int]int64 `json:"last,omitempty"`
	Ownerships    []Ownership   `json:"tenures,omitempty"`
}

// Snapshot is the whole shard in parts, in a fixed order; whole brings in what is
// shelved, or is nil to leave it where it lies.
func (s *State) Snapshot(unarchive func(*Batch) *Batch) [][]byte {
	var out [][]byte
	add := func(p snapshotPart) {
		data, _ := json.Marshal(p)
		out = append(out, data)
	}
	add(snapshotPart{LastPositions: s.LastPositions, Ownerships: s.Ownerships})
	for _, id := range sortedKeys(s.Batches) {
		batch := s.Batches[id]
		if batch.Archived != nil && unarchive != nil {
			batch = unarchive(batch)
		}
		add(snapshotPart{Batch: batch})
	}
	for _, id := range sortedKeys(s.Claims) {
		add(snapshotPart{Claim: s.Claims[id]})
	}
	return out
}

// Restore makes a shard from parts.
func Restore(parts [][]byte) (*State, error) {
	s := New()
	for _, data := range parts {
		var p snapshotPart
		if err := json.Unmarshal(data, &p); err != nil {
			return nil, errors.Wrap(err, "reading a part of a slot")
		}
		if p.LastPositions != nil {
			s.LastPositions, s.Ownerships = p.LastPositions, p.Ownerships
		}
		if p.Batch != nil {
			p.Batch.hasResult = map[int]bool{}
			for _, result := range p.Batch.Results {
				p.Batch.hasResult[result.Item] = true
			}
			s.Batches[p.Batch.ID] = p.Batch
		}
		if p.Claim != nil {
			s.Claims[ClaimID(p.Claim.Tenant, p.Claim.Key)] = p.Claim
		}
	}
	return s, nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
