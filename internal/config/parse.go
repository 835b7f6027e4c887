package config

import (
	"encoding/json"
	"fmt"
)

// ParseFunc turns an operator's document into a configuration. Parse is that of the
// product's own documents.
type ParseFunc func(document []byte) (*Configuration, error)

// Parse reads a configuration. Its error is of kind errs.InvalidConfiguration and lists
// every fault.
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

// Validate is Parse for those who only want the faults.
func Validate(data []byte) error {
	_, err := Parse(data)
	return err
}
