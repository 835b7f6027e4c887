package config

import (
	"encoding/json"
	"fmt"
)

// ParseFunc parses an operator's document. Parse is the ParseFunc for documents in the product's
// native format.
type ParseFunc func(document []byte) (*Configuration, error)

// Parse parses and indexes a configuration. Its error is of kind errs.InvalidConfiguration and
// lists the faults, maxFaults at most.
func Parse(data []byte) (*Configuration, error) {
	p := &parser{}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		p.addFault("$", fmt.Sprintf("is not JSON: %v", err), "write one JSON object")
		return nil, p.err()
	}
	configuration := p.configuration(tree)
	if err := p.err(); err != nil {
		return nil, err
	}
	configuration.Index()
	return configuration, nil
}

// Validate returns the error of Parse and discards the configuration.
func Validate(data []byte) error {
	_, err := Parse(data)
	return err
}
