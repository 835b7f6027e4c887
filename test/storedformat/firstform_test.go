package storedformat

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"tuliprudder/internal/machine"
)

// The first form of a folder is no longer written. Its records are spelled out here as the
// releases before wrote them: one replica for each assignment, a control state without a
// mark, and the bodies of requests within the JSON of an entry.

const firstFormVote = `{"fleet":"f-old","granted":6,` +
	`"grant":{"epoch":6,"owner":{"id":"cairn-1","life":2},"backup":{"id":"cairn-2","life":3},"complete":false,"trusted":["cairn-1","cairn-2",""]},` +
	`"cores":[{"id":"cairn-1","peer":"10.0.0.1:7000","zone":"zone-a"},{"id":"cairn-2","peer":"10.0.0.2:7000","zone":"zone-b"}],` +
	`"done":{"epoch":5,"owner":{"id":"cairn-2","life":3},"backup":{"id":"cairn-1","life":2},"complete":true,"trusted":["cairn-2","cairn-1"]},` +
	`"sworn":[{"id":"cairn-1","peer":"10.0.0.1:7000","zone":"zone-a"}]}`

const firstFormState = `{"fleet":"f-old","seq":4,"plans":[{"version":3,"plan":{"ver":3},"by":"operator-0","at_us":11},{"version":7,"plan":{"ver":7},"by":"operator-0","at_us":12}],` +
	`"stores":{"refuge-1":{"id":"refuge-1","writer":1,"zone":"zone-a","peer":"10.0.1.1:7100","name":"machine-1","life":4},"refuge-2":{"id":"refuge-2","writer":2,"zone":"zone-b","peer":"10.0.1.2:7100","life":5,"retiring":true}},` +
	`"next_writer":3,"slots":[{"epoch":2,"owner":{"id":"refuge-1","life":4},"backup":{"id":"refuge-2","life":5},"complete":true,"trusted":["refuge-1","refuge-2"]}]}`

// firstFormCore is the folder of a core, one line a record; the bodies are spelled out.
var firstFormCore = []machine.Record{
	{Unit: "oath", Kind: "oath", Epoch: 6, Body: []byte(firstFormVote)},
	{Unit: "listed", Kind: "rumour", Seq: 21, Body: []byte(`{"Key":"server/old","Epoch":0,"Seq":21,"Value":"eyJuYW1lIjoib2xkIn0="}`)},
	{Unit: "core", Kind: "copy", Epoch: 5, Seq: 4, Body: encodedParts(firstFormState)},
	{Unit: "core", Kind: "entry", Epoch: 5, Seq: 5, Body: []byte(`{"k":"put-plan","b":{"Version":{"version":9,"plan":{"ver":9},"by":"operator-0","at_us":13}}}`)},
	{Unit: "core", Kind: "entry", Epoch: 5, Seq: 6, Body: []byte(`{ "k": "retire", "b": {"ID":"refuge-2","Back":false,"Done":true} }`)},
}

// firstFormStore is the folder of a store.
var firstFormStore = []machine.Record{
	{Unit: "self", Kind: "writer", Body: []byte(`{"fleet":"f-old","writer":2}`)},
	{Unit: "self", Kind: "reserved", Seq: 8192},
	{Unit: "slot/000", Kind: "copy", Epoch: 2, Seq: 10, Body: encodedParts(
		`{"last":{"1":40,"2":17},"tenures":[{"writer":1,"first":2,"last":40}]}`,
		`{"bundle":{"id":"b-1","customer":"customer-1","key":"k","hash":"h","route":"nightly","items":[{"id":"x"},{"id":"y","input":"why"}],"state":"open","enrolled":5,"changed":0,"rows":[{"writer":1,"position":40,"bundle":"b-1","item":0,"item_id":"x","status":"ok","output":"ex"}]}}`,
		`{"claim":{"customer":"customer-1","key":"c","hash":"h","order":"o","state":"claimed","at":6}}`)},
	{Unit: "slot/000", Kind: "entry", Epoch: 2, Seq: 11, Body: []byte(`{"k":"enrol","b":{"Bundle":{"id":"b-2","customer":"r","key":"","hash":"h2","route":"r","items":[{"id":"q","request":{"target":"/t","host":"h","header":{"A":"b"},"body":"Ym9keQ==","tokens":3}}],"state":"open","enrolled":7,"changed":0,"rows":null}}}`)},
	{Unit: "slot/000", Kind: "entry", Epoch: 2, Seq: 12, Body: []byte(`{"k":"list","b":{"Row":{"writer":2,"position":18,"bundle":"b-1","item":1,"item_id":"y","status":"failed","output":"late"}}}`)},
}

func encodedParts(parts ...string) []byte {
	list := make([][]byte, len(parts))
	for i, part := range parts {
		list[i] = []byte(part)
	}
	data, _ := json.Marshal(list)
	return data
}

// writeFirstForm writes both folders as one file of the first form each.
func writeFirstForm(t *testing.T) {
	t.Helper()
	for kind, records := range map[string][]machine.Record{"core": firstFormCore, "store": firstFormStore} {
		body, err := json.Marshal(records)
		must(t, err)
		data := append([]byte("TRV1"), make([]byte, 8)...)
		binary.BigEndian.PutUint32(data[4:], crc32.ChecksumIEEE(body))
		binary.BigEndian.PutUint32(data[8:], uint32(len(body)))
		folder := filepath.Join("testdata", "folders", "first-form", kind, "records")
		must(t, os.MkdirAll(folder, 0o755))
		must(t, os.WriteFile(filepath.Join(folder, "0000000000000001.group"), append(data, body...), 0o644))
	}
}
