// Package storedformat holds the tests that guard what the daemons store and send: data
// folders written by an earlier build, the exact JSON of every struct that is stored,
// gossiped or served over HTTP, and messages as an earlier build encoded them. Nothing of
// that may depend on the name of a Go type or field.
//
// testdata/folders, testdata/messages.gob and testdata/golden were written by commit
// dd62881. The tests start today's machines on copies of the folders and compare what
// they read with testdata/expected and with literals. The folders were made by
//
//	go test ./test/storedformat -run TestWriteFixtures -write-fixtures
//	go test ./test/storedformat -run TestFoldersOfAnEarlierBuild -write-fixtures
//
// The first runs a small fleet with the real machines on the real storage folders
// (fleet_test.go, scenario_test.go), and is deterministic; the second writes down what is
// read back, which was then checked against the bytes of the folders by other means.
// Fixtures are added, and never written anew to make a test pass: they represent the disks of
// running deployments.
package storedformat
