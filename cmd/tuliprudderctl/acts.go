package main

import (
	"context"
	"time"
)

// actSubject is one subject of acts on outside systems, as reported by the primary core.
type actSubject struct {
	Subject    string `json:"subject"`
	Holder     string `json:"holder"`
	Fence      uint64 `json:"fence"`
	LastResult string `json:"last_result"`
	Open       []struct {
		Number  uint64 `json:"number"`
		AgeUS   int64  `json:"age_us"`
		Pending bool   `json:"pending"`
	} `json:"open"`
}

// listActs lists which daemon performs the acts on each subject, and the open acts.
type listActs struct{}

// Apply prints one row per open act, or a single row for a subject that has none.
func (listActs) Apply(ctx context.Context, s *session) error {
	response, err := get[struct {
		Subjects []actSubject `json:"subjects"`
	}](ctx, s.client, pathActs)
	if err != nil {
		return err
	}
	t := table{{"SUBJECT", "HOLDER", "FENCE", "LAST RESULT", "OPEN ACT", "AGE", "STATE"}}
	for _, subject := range response.Subjects {
		if len(subject.Open) == 0 {
			t.add(subject.Subject, subject.Holder, subject.Fence, subject.LastResult, "-", "", "")
		}
		for _, act := range subject.Open {
			state := "waits"
			if act.Pending {
				state = "performed now"
			}
			age := (time.Duration(act.AgeUS) * time.Microsecond).Round(time.Millisecond)
			t.add(subject.Subject, subject.Holder, subject.Fence, subject.LastResult, act.Number, age, state)
		}
	}
	s.printTable(t)
	return nil
}
