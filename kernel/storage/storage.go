// Package storage keeps a machine's records on disk: one file for each
// version, written aside, synced, renamed, and the folder synced (DESIGN §6.7).
package storage

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
)

const (
	groupSuffix = ".group"
	viewSuffix  = ".view"
	asideSuffix = ".aside"
	// Each file begins with the form it is in. The first form's body is JSON; the
	// second's has the records' own bodies as they are, behind their heads in JSON.
	firstForm = "TRV1"
	magic     = "TRV2"
)

// Folder is one data folder. It is used by one thread.
type Folder struct {
	folder string
	next   uint64
	// Syncs and Bytes count what the disk was asked for.
	Syncs, Bytes atomic.Int64
	// Step is called before each step of a write; tests stop a write there.
	Step func(step string) error
}

// Open reads the folder back: the newest view, then the groups after it.
// Half-written files were never renamed and are removed; a renamed file that
// does not check out is damage, and Open refuses to open.
func Open(folder string) (*Folder, []machine.Record, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "making the data folder")
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, nil, errors.Wrap(err, "reading the data folder")
	}
	room := &Folder{folder: folder, next: 1}
	var groups, views []uint64
	for _, entry := range entries {
		name := entry.Name()
		switch filepath.Ext(name) {
		case asideSuffix:
			if err := os.Remove(filepath.Join(folder, name)); err != nil {
				return nil, nil, errors.Wrap(err, "removing a half-written file")
			}
		case groupSuffix, viewSuffix:
			number, err := numberOf(name)
			if err != nil {
				return nil, nil, err
			}
			if filepath.Ext(name) == viewSuffix {
				views = append(views, number)
			} else {
				groups = append(groups, number)
			}
			room.next = max(room.next, number+1)
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i] < groups[j] })
	sort.Slice(views, func(i, j int) bool { return views[i] < views[j] })
	var records []machine.Record
	var base uint64
	if len(views) > 0 {
		base = views[len(views)-1]
		if records, err = room.read(base, viewSuffix); err != nil {
			return nil, nil, err
		}
		for _, old := range views[:len(views)-1] {
			os.Remove(room.path(old, viewSuffix))
		}
	}
	for _, number := range groups {
		if number < base {
			os.Remove(room.path(number, groupSuffix))
			continue
		}
		part, err := room.read(number, groupSuffix)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, part...)
	}
	return room, records, nil
}

// numberOf reads a version's number off its file's name.
func numberOf(name string) (number uint64, err error) {
	if _, err := fmt.Sscanf(strings.TrimSuffix(name, filepath.Ext(name)), "%016x", &number); err != nil {
		return 0, errs.New(errs.Corrupt, "move the file out of the data folder", "file %s has a name that is no version", name)
	}
	return number, nil
}

func (r *Folder) path(number uint64, suffix string) string {
	return filepath.Join(r.folder, fmt.Sprintf("%016x%s", number, suffix))
}

func (r *Folder) read(number uint64, suffix string) ([]machine.Record, error) {
	name := r.path(number, suffix)
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "reading a version")
	}
	const remedy = "this disk is damaged: move the whole data folder away and start empty; the fleet copies back what the pair holds"
	form := ""
	if len(data) >= 12 {
		form = string(data[:4])
	}
	if len(data) >= 12 && form[:3] == magic[:3] && form != magic && form != firstForm {
		return nil, errs.New(errs.WrongFolder, "run the release that wrote it, or its neighbour", "file %s is of form %s, this release reads %s", filepath.Base(name), data[:4], magic)
	}
	if form != magic && form != firstForm {
		return nil, errs.New(errs.Corrupt, remedy, "file %s is no version file", filepath.Base(name))
	}
	if int(binary.BigEndian.Uint32(data[8:12])) != len(data)-12 || crc32.ChecksumIEEE(data[12:]) != binary.BigEndian.Uint32(data[4:8]) {
		return nil, errs.New(errs.Corrupt, remedy, "file %s does not match its checksum", filepath.Base(name))
	}
	records, err := decode(form, data[12:])
	if err != nil {
		return nil, errs.New(errs.Corrupt, remedy, "file %s cannot be read: %v", filepath.Base(name), err)
	}
	return records, nil
}

// decode reads the records of a file in either form.
func decode(form string, body []byte) (records []machine.Record, err error) {
	if form == firstForm {
		err = json.Unmarshal(body, &records)
		return records, err
	}
	next := func() ([]byte, error) {
		size, n := binary.Uvarint(body)
		if n <= 0 || size > uint64(len(body)-n) {
			return nil, errors.New("a record is cut short")
		}
		part := body[n : n+int(size) : n+int(size)]
		body = body[n+int(size):]
		return part, nil
	}
	for len(body) > 0 {
		head, err := next()
		if err != nil {
			return nil, err
		}
		var record machine.Record
		if err := json.Unmarshal(head, &record); err != nil {
			return nil, err
		}
		if record.Body, err = next(); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (r *Folder) step(name string) error {
	if r.Step == nil {
		return nil
	}
	return r.Step(name)
}

// Write makes one commit group durable.
func (r *Folder) Write(records []machine.Record) error { return r.write(records, groupSuffix) }

// Fold writes a view that says what all versions so far say, then removes them.
func (r *Folder) Fold(records []machine.Record) error {
	if err := r.write(records, viewSuffix); err != nil {
		return err
	}
	base := r.next - 1
	entries, err := os.ReadDir(r.folder)
	if err != nil {
		return errors.Wrap(err, "reading the data folder")
	}
	for _, entry := range entries {
		var number uint64
		ext := filepath.Ext(entry.Name())
		if ext != groupSuffix && ext != viewSuffix {
			continue
		}
		if _, err := fmt.Sscanf(entry.Name(), "%016x", &number); err == nil && number < base {
			os.Remove(filepath.Join(r.folder, entry.Name()))
		}
	}
	return nil
}

func (r *Folder) write(records []machine.Record, suffix string) error {
	data, err := encode(records)
	if err != nil {
		return err
	}
	if err := WriteAside(r.path(r.next, suffix), data, r.step); err != nil {
		return err
	}
	r.next++
	r.Syncs.Add(2)
	r.Bytes.Add(int64(len(data)))
	return nil
}

// encode puts the mark, checksum and length before the records.
func encode(records []machine.Record) ([]byte, error) {
	size := 12
	for _, record := range records {
		size += len(record.Body) + 128
	}
	out := make([]byte, 12, size)
	for _, record := range records {
		body := record.Body
		record.Body = nil
		head, err := json.Marshal(record)
		if err != nil {
			return nil, errors.Wrap(err, "encoding a version")
		}
		out = append(binary.AppendUvarint(out, uint64(len(head))), head...)
		out = append(binary.AppendUvarint(out, uint64(len(body))), body...)
	}
	copy(out, magic)
	binary.BigEndian.PutUint32(out[4:], crc32.ChecksumIEEE(out[12:]))
	binary.BigEndian.PutUint32(out[8:], uint32(len(out)-12))
	return out, nil
}

// WriteAside makes a file durable: written aside, synced, renamed, and its
// folder synced. step, when set, is told before each of these.
func WriteAside(name string, data []byte, step func(string) error) error {
	if step == nil {
		step = func(string) error { return nil }
	}
	if err := step("write"); err != nil {
		return err
	}
	aside := name + asideSuffix
	file, err := os.Create(aside)
	if err != nil {
		return errors.Wrap(err, "writing aside")
	}
	_, err = file.Write(data)
	if err == nil {
		err = step("sync")
	}
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return errors.Wrap(err, "syncing a version")
	}
	if err := step("rename"); err != nil {
		return err
	}
	if err := os.Rename(aside, name); err != nil {
		return errors.Wrap(err, "renaming a version")
	}
	if err := step("folder"); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(name))
	if err != nil {
		return errors.Wrap(err, "opening the folder to sync it")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "syncing the folder")
}
