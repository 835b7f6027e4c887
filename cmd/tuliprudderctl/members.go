package main

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
)

// member is a daemon as the cluster's member list reports it.
type member struct {
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	HTTP     string `json:"http"`
	Status   string `json:"standing"`
	Draining bool   `json:"draining"`
}

func (m member) isAlive() bool { return m.Status == membership.Alive.String() }

func (s *session) fetchMembers(ctx context.Context) ([]member, error) {
	response, err := get[struct {
		Members []member `json:"daemons"`
	}](ctx, s.client, pathMembers)
	return response.Members, err
}

// listMembers lists the daemons.
type listMembers struct{}

// Apply prints one row per daemon.
func (listMembers) Apply(ctx context.Context, s *session) error {
	members, err := s.fetchMembers(ctx)
	if err != nil {
		return err
	}
	t := table{{"ID", "ROLE", "ZONE", "STATUS", "HTTP"}}
	for _, m := range members {
		status := m.Status
		if m.isAlive() {
			status = s.wording.memberAlive
		}
		if m.Draining {
			status += ", draining"
		}
		t.add(m.ID, membership.Role(m.Kind), m.Zone, status, m.HTTP)
	}
	s.printTable(t)
	return nil
}

// printDocument prints the response of the daemon given by -at to a GET of path.
type printDocument struct{ path string }

// Apply prints the JSON document, indented.
func (p printDocument) Apply(ctx context.Context, s *session) error {
	data, err := get[json.RawMessage](ctx, s.client, p.path)
	if err != nil {
		return err
	}
	return s.printJSON(data)
}

// printFromFirst prints the first successful response to a GET of path among the daemons of the
// given kinds. It is for data of which it is not known in advance which daemon has it.
type printFromFirst struct {
	path  string
	kinds []string
}

// Apply calls the live daemons in turn until one succeeds. If all fail it returns the last error.
func (p printFromFirst) Apply(ctx context.Context, s *session) error {
	members, err := s.fetchMembers(ctx)
	if err != nil {
		return err
	}
	err = errs.New(errs.NotReady, "start one", "no daemon is alive that is one of: %s", roleNames(p.kinds))
	for _, m := range members {
		if !m.isAlive() || !slices.Contains(p.kinds, m.Kind) {
			continue
		}
		var data json.RawMessage
		if data, err = getFrom[json.RawMessage](ctx, s.client, m.HTTP, p.path); err == nil {
			s.printf(s.wording.answeredBy, m.ID)
			return s.printJSON(data)
		}
	}
	return err
}

func roleNames(kinds []string) string {
	roles := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		roles = append(roles, membership.Role(kind))
	}
	return strings.Join(roles, ", ")
}
