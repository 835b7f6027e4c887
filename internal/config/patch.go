package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"tuliprudder/internal/errs"
)

// PatchFormat describes the patches of one kind of document: which of its lists may be patched,
// and which field holds the version that the operator assigns.
type PatchFormat struct {
	Lists        []string // names of the document's lists of named entries
	VersionField string   // of patch and document; "" if documents have no version
}

// NativePatchFormat is the format of patches for documents in the product's native format.
var NativePatchFormat = PatchFormat{Lists: patchableLists}

// Patch changes entries of a document's lists by their names. The zero value changes nothing.
type Patch struct {
	// Version is the operator's version of the patched document; 0 if the format has none.
	Version uint64

	format PatchFormat
	upsert map[string][]namedEntry // entries to replace or to append, by list
	remove map[string][]string     // names of entries to remove, by list
}

// namedEntry is one entry of a list, in the JSON of the document.
type namedEntry struct {
	name string
	raw  json.RawMessage
}

// patchDocument is a patch as operators write it, without its version.
type patchDocument struct {
	Upsert map[string][]json.RawMessage `json:"upsert"`
	Remove map[string][]string          `json:"remove"`
}

// Parse parses a patch. Its error is of kind errs.InvalidConfiguration and lists the faults, maxFaults
// at most: a bad version, unknown fields and lists, entries without a name, and duplicate names.
func (f PatchFormat) Parse(data []byte) (*Patch, error) {
	fields, document, err := decodePatch(data)
	if err != nil {
		return nil, err
	}
	out := &Patch{format: f, upsert: map[string][]namedEntry{}, remove: document.Remove}
	faults := &parser{}
	out.Version = f.version(fields, faults)
	f.checkFields(fields, faults)
	for _, list := range slices.Sorted(maps.Keys(document.Upsert)) {
		f.checkList("$.upsert", list, faults)
		for i, raw := range document.Upsert[list] {
			name := entryName(raw)
			if name == "" {
				faults.addFault(fmt.Sprintf("$.upsert.%s[%d]", list, i), "has no name", "give each entry a name")
			}
			out.upsert[list] = append(out.upsert[list], namedEntry{name, raw})
		}
	}
	for _, list := range slices.Sorted(maps.Keys(document.Remove)) {
		f.checkList("$.remove", list, faults)
	}
	out.checkNames(faults)
	return out, faults.err()
}

// decodePatch decodes data, which must be exactly one JSON object.
func decodePatch(data []byte) (fields map[string]json.RawMessage, document patchDocument, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&fields); err != nil {
		return nil, document, invalidPatch(fmt.Sprintf("the patch can't be read completely: %v", err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, document, invalidPatch("unexpected data after the patch")
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, document, invalidPatch(fmt.Sprintf("the patch can't be read: %v", err))
	}
	return fields, document, nil
}

func invalidPatch(problem string) error {
	return errs.New(errs.InvalidConfiguration, "write one object with upsert (lists of entries) and remove (lists of names); the configuration in force stays", "%s", problem)
}

// version reads the operator's version.
func (f PatchFormat) version(fields map[string]json.RawMessage, faults *parser) uint64 {
	if f.VersionField == "" {
		return 0
	}
	var number float64
	err := json.Unmarshal(fields[f.VersionField], &number)
	if err != nil || number < 1 || number != float64(uint64(number)) {
		faults.addFault("$."+f.VersionField, "must be a whole number above 0", "give the version of the patched configuration")
		return 0
	}
	return uint64(number)
}

// checkFields adds a fault for each unknown field.
func (f PatchFormat) checkFields(fields map[string]json.RawMessage, faults *parser) {
	known := []string{"upsert", "remove"}
	if f.VersionField != "" {
		known = append(known, f.VersionField)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(known, name) {
			faults.addFault("$."+name, "unknown field", fmt.Sprintf("remove it (known fields: %v)", known))
		}
	}
}

// checkList adds a fault if the list can't be patched.
func (f PatchFormat) checkList(path, list string, faults *parser) {
	if !slices.Contains(f.Lists, list) {
		faults.addFault(path+"."+list, "unknown list", fmt.Sprintf("name one of %v", f.Lists))
	}
}

// checkNames adds a fault for each duplicate name within a list of the patch.
func (p *Patch) checkNames(faults *parser) {
	for _, list := range p.format.Lists {
		seen := map[string]bool{}
		check := func(part, name string) {
			if name != "" && seen[name] {
				faults.addFault(fmt.Sprintf("$.%s.%s", part, list), fmt.Sprintf("names %q, which is already in the patch", name), "name each entry once, either to upsert or to remove")
			}
			seen[name] = true
		}
		for _, entry := range p.upsert[list] {
			check("upsert", entry.name)
		}
		for _, name := range p.remove[list] {
			check("remove", name)
		}
	}
}

// entryName returns the name of an entry; "" if it has none.
func entryName(raw json.RawMessage) string {
	var entry struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(raw, &entry) != nil {
		return ""
	}
	return entry.Name
}

// Apply returns the document that results from applying the patch. Replaced entries keep their
// position, new ones are appended, and whatever the patch does not name is unchanged.
// The error, of kind errs.InvalidConfiguration, names each entry to remove that does not exist and
// each patched list that isn't one. Apply does not validate the new document.
func (p *Patch) Apply(document []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &fields); err != nil {
			return nil, invalidPatch(fmt.Sprintf("the configuration in force is not a JSON object and can't be patched: %v", err))
		}
	}
	faults := &parser{}
	for _, list := range p.format.Lists {
		p.applyToList(fields, list, faults)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	if p.format.VersionField != "" {
		fields[p.format.VersionField] = json.RawMessage(fmt.Sprint(p.Version))
	}
	return json.Marshal(fields)
}

// applyToList patches one list of a document.
func (p *Patch) applyToList(fields map[string]json.RawMessage, list string, faults *parser) {
	if len(p.upsert[list])+len(p.remove[list]) == 0 {
		return
	}
	var entries []json.RawMessage
	if raw, ok := fields[list]; ok {
		if err := json.Unmarshal(raw, &entries); err != nil {
			faults.addFault("$."+list, "is not a list in the configuration in force", "put a complete configuration instead of a patch")
			return
		}
	}
	entries = p.removeEntries(entries, list, faults)
	for _, entry := range p.upsert[list] {
		at := slices.IndexFunc(entries, func(raw json.RawMessage) bool { return entryName(raw) == entry.name })
		if at >= 0 {
			entries[at] = entry.raw
		} else {
			entries = append(entries, entry.raw)
		}
	}
	if entries == nil {
		entries = []json.RawMessage{}
	}
	fields[list], _ = json.Marshal(entries) // can't fail: each entry is valid JSON
}

// removeEntries returns the entries without those that the patch removes.
func (p *Patch) removeEntries(entries []json.RawMessage, list string, faults *parser) []json.RawMessage {
	for _, name := range p.remove[list] {
		kept := slices.DeleteFunc(slices.Clone(entries), func(raw json.RawMessage) bool { return entryName(raw) == name })
		if len(kept) == len(entries) {
			faults.addFault("$.remove."+list, fmt.Sprintf("names %q, which is not there", name), "remove only entries of the configuration in force")
		}
		entries = kept
	}
	return entries
}
