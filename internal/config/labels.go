package config

import "slices"

// Labels are names and values that selectors match.
type Labels map[string]string

// Selector matches labels: each of its names must have one of the values. The empty
// selector matches everything.
type Selector map[string][]string

// Matches tells whether the labels satisfy the selector.
func (s Selector) Matches(labels Labels) bool {
	for name, values := range s {
		if !slices.Contains(values, labels[name]) {
			return false
		}
	}
	return true
}
