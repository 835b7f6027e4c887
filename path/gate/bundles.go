package gate

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/porch"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/path/reader"
)

// BundleBody is a bundle as handed in.
type BundleBody struct {
	Items []daybook.Item `json:"items"`
}

// Bundle takes a bundle in: whole and on two disks, or not at all.
func (g *Gate) Bundle(w http.ResponseWriter, r *http.Request) error {
	plan, customer, class, err := g.caller(r)
	if err != nil {
		return err
	}
	route, err := g.way(plan, class, part(r, "route"), true)
	if err != nil {
		return err
	}
	data, err := porch.ReadBody(r)
	if err != nil {
		return err
	}
	var body BundleBody
	if err := porch.Decode(data, &body); err != nil {
		return err
	}
	if err := checkItems(body.Items, int(route.MostItems)); err != nil {
		return err
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > 256 {
		return mishap.New(mishap.BadInput, "use a key of at most 256 bytes", "the idempotency key is too long")
	}
	if key == "" {
		key = newOrder()
	}
	id := daybook.BundleID(customer.Name, key)
	slot, owner, err := g.Reader.Keeper(id)
	if err != nil {
		return err
	}
	if int64(len(body.Items)) > class.Allowance {
		return mishap.New(mishap.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d items are more than the whole allowance of %d", len(body.Items), class.Allowance)
	}
	words := []string{route.Name}
	for _, item := range body.Items {
		words = append(words, item.ID, item.Input)
	}
	got, err := g.Ask(owner.Peer, keeper.EnrolAsk{Slot: slot, Expiry: g.Set.Commit,
		Bundle: daybook.Bundle{ID: id, Customer: customer.Name, Key: key, Hash: daybook.Hash(words...), Route: route.Name, Items: body.Items}}, g.Set.Commit+sundial.Second)
	if err != nil {
		if m := mishap.Of(err); m.Kind == mishap.OutcomeUnknown {
			w.Header().Set("Idempotency-Key", key)
		}
		return err
	}
	receipt, ok := got.(keeper.Receipt)
	if !ok {
		return mishap.New(mishap.ServerFault, "run the same release on all daemons", "the keeper answered %T", got)
	}
	status := http.StatusCreated
	if receipt.Repeated {
		status = http.StatusOK
	}
	return porch.WriteJSON(w, status, map[string]any{"bundle": receipt.Bundle, "items": receipt.Items, "idempotency_key": key,
		"repeated": receipt.Repeated, "keeper": receipt.Keeper, "results": "/v1/bundles/" + receipt.Bundle + "/results"})
}

// checkItems names every bad item; one bad item turns the whole bundle away.
func checkItems(items []daybook.Item, most int) error {
	if len(items) == 0 {
		return mishap.New(mishap.BadInput, "give the bundle at least one item", "the bundle is empty")
	}
	if len(items) > most {
		return mishap.New(mishap.TooLarge, "send several bundles", "the bundle has %d items; the route takes %d", len(items), most)
	}
	var faults []string
	seen := map[string]int{}
	for i, item := range items {
		if item.ID == "" {
			items[i].ID = strconv.Itoa(i)
		}
		if first, twice := seen[items[i].ID]; twice {
			faults = append(faults, fmt.Sprintf("items[%d].id: %q is that of items[%d] as well; give each its own", i, items[i].ID, first))
		}
		seen[items[i].ID] = i
		if item.Input == "" {
			faults = append(faults, fmt.Sprintf("items[%d].input: is empty; give it an input", i))
		}
		if len(item.ID) > 256 {
			faults = append(faults, fmt.Sprintf("items[%d].id: is longer than 256 bytes; shorten it", i))
		}
	}
	if len(faults) > 0 {
		return &mishap.Mishap{Kind: mishap.BadInput, Message: "the bundle has bad items; none of it will run", Remedy: "correct each named item and send the bundle again", Faults: faults}
	}
	return nil
}

// Status tells how a bundle stands.
func (g *Gate) Status(w http.ResponseWriter, r *http.Request) error {
	return g.askKeeper(w, r, 2*sundial.Second, func(slot int, id, customer string) any {
		return keeper.StatusAsk{Slot: slot, Bundle: id, Customer: customer}
	})
}

// End ends a bundle: durable before it is answered.
func (g *Gate) End(w http.ResponseWriter, r *http.Request) error {
	return g.askKeeper(w, r, g.Set.Commit+sundial.Second, func(slot int, id, customer string) any {
		return keeper.EndAsk{Slot: slot, Bundle: id, Customer: customer, Expiry: g.Set.Commit}
	})
}

// askKeeper asks a bundle's keeper something whose answer is how it stands.
func (g *Gate) askKeeper(w http.ResponseWriter, r *http.Request, expiry sundial.Micros, ask func(slot int, id, customer string) any) error {
	_, customer, _, err := g.caller(r)
	if err != nil {
		return err
	}
	id := part(r, "bundle")
	slot, owner, err := g.Reader.Keeper(id)
	if err != nil {
		return err
	}
	got, err := g.Ask(owner.Peer, ask(slot, id, customer.Name), expiry)
	if err != nil {
		return err
	}
	return g.writeStatus(w, got)
}

func (g *Gate) writeStatus(w http.ResponseWriter, got any) error {
	status, ok := got.(keeper.Status)
	if !ok {
		return mishap.New(mishap.ServerFault, "run the same release on all daemons", "the keeper answered %T", got)
	}
	return porch.WriteJSON(w, http.StatusOK, map[string]any{"bundle": status.Bundle, "route": status.Route, "state": status.State,
		"items": status.Items, "listed": status.Listed, "enrolled_us": status.Enrolled,
		"kept": map[string]any{"keeper": status.Keeper, "writer": status.Writer, "slot": status.Slot, "epoch": status.Epoch, "backup": status.Backup}})
}

// pollRest is the least time between two asks of one reader that waits.
const pollRest = 40 * time.Millisecond

// poll reads the paging parameters.
func (g *Gate) poll(r *http.Request) (token string, most int, wait sundial.Micros, err error) {
	query := r.URL.Query()
	number := func(name string, missing, top int64) int64 {
		text := query.Get(name)
		if text == "" {
			return missing
		}
		value, bad := strconv.ParseInt(text, 10, 64)
		if bad != nil || value < 0 || value > top {
			err = mishap.New(mishap.BadInput, "give a whole number within the bound", "%s=%q is not within 0 to %d", name, text, top)
		}
		return value
	}
	for name := range query {
		if name != "after" && name != "limit" && name != "wait_us" {
			return "", 0, 0, mishap.New(mishap.BadInput, "use after, limit and wait_us", "no such parameter: %s", name)
		}
	}
	most = int(number("limit", 100, 1000))
	wait = number("wait_us", 0, int64(g.Set.MostWait))
	if most == 0 {
		most = 100
	}
	return query.Get("after"), most, wait, err
}

// Results reads one bundle's list.
func (g *Gate) Results(w http.ResponseWriter, r *http.Request) error {
	id := part(r, "bundle")
	return g.follow(w, r, func(customer, token string, most int) (reader.Page, error) {
		return g.Reader.Bundle(customer, id, token, most)
	})
}

// Feed reads all of the caller's bundles as one list.
func (g *Gate) Feed(w http.ResponseWriter, r *http.Request) error {
	return g.follow(w, r, g.Reader.Feed)
}

// follow reads a page; an empty one waits for the view to turn, up to the wait
// the caller gave.
func (g *Gate) follow(w http.ResponseWriter, r *http.Request, read func(customer, token string, most int) (reader.Page, error)) error {
	_, customer, _, err := g.caller(r)
	if err != nil {
		return err
	}
	token, most, wait, err := g.poll(r)
	if err != nil {
		return err
	}
	clockEvent := time.NewTimer(sundial.Span(wait))
	defer clockEvent.Stop()
	for {
		turned, asked := g.Reader.Turned(), time.Now()
		page, err := read(customer.Name, token, most)
		passing := mishap.Is(err, mishap.NotReady)
		if err != nil && (!passing || wait == 0) {
			return err
		}
		if err == nil && (len(page.Rows) > 0 || wait == 0 || (page.State != "" && page.State != string(daybook.Open))) {
			results := page.Rows
			if results == nil {
				results = []daybook.Row{}
			}
			answer := map[string]any{"results": results, "next": page.Next, "more": page.More}
			if page.State != "" {
				answer["state"], answer["items"] = page.State, page.Items
			}
			return porch.WriteJSON(w, http.StatusOK, answer)
		}
		select {
		case <-turned:
			// Every writer's word turns the view: many readers that wait must not
			// ask the keepers at each of them.
			pause := time.NewTimer(pollRest - time.Since(asked))
			select {
			case <-pause.C:
			case <-r.Context().Done():
			}
			pause.Stop()
		case <-clockEvent.C:
			if passing {
				return err
			}
			wait = 0
		case <-r.Context().Done():
			return nil
		}
	}
}
