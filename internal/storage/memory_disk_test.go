package storage

import (
	"bytes"
	"io/fs"
	"path/filepath"
	"sort"
)

// memoryDisk is an in-memory file system that simulates power loss: until its folder is synced, each
// creation, rename and removal of a name is kept or lost independently, and data written to a file
// after its last sync is present, missing or torn.
type memoryDisk struct {
	names   map[string]*inode // as a running program sees it
	durable map[string]*inode // as it is after a power loss that undoes all pending changes
	pending []nameChange      // not durable yet, oldest first
	// before, if set, is called before each operation; an error fails the operation.
	before func(operation, name string) error
	// shortWrite, when set, makes the next write write only half of its bytes.
	shortWrite bool
}

// inode is a file or, with folder set, a folder.
type inode struct {
	folder       bool
	data, synced []byte
}

// nameChange is one operation on a name, which a power loss keeps or undoes.
type nameChange struct {
	folder string
	apply  func(names map[string]*inode)
}

func newMemoryDisk() *memoryDisk {
	root := map[string]*inode{"/": {folder: true}, "/data": {folder: true}}
	return &memoryDisk{names: root, durable: copyNames(root)}
}

func copyNames(names map[string]*inode) map[string]*inode {
	out := map[string]*inode{}
	for name, file := range names {
		out[name] = file
	}
	return out
}

// failOperation fails every operation of a kind, until before is set again.
func (d *memoryDisk) failOperation(operation string, cause error) {
	d.before = func(now, _ string) error {
		if now == operation {
			return cause
		}
		return nil
	}
}

func (d *memoryDisk) beforeOperation(operation, name string) error {
	if d.before == nil {
		return nil
	}
	return d.before(operation, name)
}

func (d *memoryDisk) change(name string, apply func(names map[string]*inode)) {
	apply(d.names)
	d.pending = append(d.pending, nameChange{filepath.Dir(name), apply})
}

func (d *memoryDisk) MakeFolder(name string) error {
	if err := d.beforeOperation("make folder", name); err != nil {
		return err
	}
	if d.names[name] == nil {
		folder := &inode{folder: true}
		d.change(name, func(names map[string]*inode) { names[name] = folder })
	}
	return nil
}

func (d *memoryDisk) List(folder string) ([]string, error) {
	if err := d.beforeOperation("list", folder); err != nil {
		return nil, err
	}
	var out []string
	for name := range d.names {
		if filepath.Dir(name) == folder && name != folder {
			out = append(out, filepath.Base(name))
		}
	}
	sort.Strings(out)
	return out, nil
}

func (d *memoryDisk) Read(name string) ([]byte, error) {
	if err := d.beforeOperation("read", name); err != nil {
		return nil, err
	}
	file := d.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(file.data), nil
}

func (d *memoryDisk) Create(name string) (File, error) {
	if err := d.beforeOperation("create", name); err != nil {
		return nil, err
	}
	file := d.names[name]
	if file == nil {
		file = &inode{}
		d.change(name, func(names map[string]*inode) { names[name] = file })
	}
	file.data = nil
	return &memoryFile{disk: d, name: name, inode: file}, nil
}

func (d *memoryDisk) Rename(from, to string) error {
	if err := d.beforeOperation("rename", to); err != nil {
		return err
	}
	file := d.names[from]
	if file == nil {
		return fs.ErrNotExist
	}
	d.change(to, func(names map[string]*inode) {
		names[to] = file
		if names[from] == file {
			delete(names, from)
		}
	})
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	if err := d.beforeOperation("remove", name); err != nil {
		return err
	}
	file := d.names[name]
	if file == nil {
		return fs.ErrNotExist
	}
	d.change(name, func(names map[string]*inode) {
		if names[name] == file {
			delete(names, name)
		}
	})
	return nil
}

func (d *memoryDisk) SyncFolder(folder string) error {
	if err := d.beforeOperation("sync folder", folder); err != nil {
		return err
	}
	var remaining []nameChange
	for _, change := range d.pending {
		if change.folder == folder {
			change.apply(d.durable)
		} else {
			remaining = append(remaining, change)
		}
	}
	d.pending = remaining
	return nil
}

// memoryFile is an open file of a memoryDisk.
type memoryFile struct {
	disk  *memoryDisk
	name  string
	inode *inode
}

func (f *memoryFile) Write(data []byte) (int, error) {
	if err := f.disk.beforeOperation("write", f.name); err != nil {
		f.inode.data = append(f.inode.data, data[:len(data)/2]...) // a partial write
		return len(data) / 2, err
	}
	if f.disk.shortWrite {
		f.disk.shortWrite = false
		data = data[:len(data)/2]
	}
	f.inode.data = append(f.inode.data, data...)
	return len(data), nil
}

// Sync makes the file durable, and with it the name of a new file.
func (f *memoryFile) Sync() error {
	if err := f.disk.beforeOperation("sync", f.name); err != nil {
		return err
	}
	f.inode.synced = bytes.Clone(f.inode.data)
	if f.disk.durable[f.name] == nil {
		f.disk.durable[f.name] = f.inode
	}
	return nil
}

func (f *memoryFile) Close() error { return f.disk.beforeOperation("close", f.name) }

// afterPowerLoss returns all disks that a power loss may leave: each change of a name that was not
// made durable is kept or lost independently, and the files that were not synced contain what was
// synced, all that was written, or a torn half of it.
func (d *memoryDisk) afterPowerLoss() []*memoryDisk {
	var out []*memoryDisk
	for kept := 0; kept < 1<<len(d.pending); kept++ {
		names := copyNames(d.durable)
		for i, change := range d.pending {
			if kept&(1<<i) != 0 {
				change.apply(names)
			}
		}
		for _, contents := range []func(*inode) []byte{
			func(file *inode) []byte { return file.synced },
			func(file *inode) []byte { return file.data },
			func(file *inode) []byte { return file.data[:len(file.data)/2] },
		} {
			out = append(out, diskOf(names, contents))
		}
	}
	return out
}

// diskOf returns a disk on which all names are durable. The files of a lost folder are lost too.
func diskOf(names map[string]*inode, contents func(unsynced *inode) []byte) *memoryDisk {
	disk := &memoryDisk{names: map[string]*inode{}}
	for name, file := range names {
		if names[filepath.Dir(name)] == nil {
			continue
		}
		data := file.synced
		if !bytes.Equal(file.data, file.synced) {
			data = contents(file)
		}
		disk.names[name] = &inode{folder: file.folder, data: bytes.Clone(data), synced: bytes.Clone(data)}
	}
	disk.durable = copyNames(disk.names)
	return disk
}

// afterKill returns the disk as the next start of a killed program sees it: nothing is lost, and
// nothing more is durable. The receiver is not changed.
func (d *memoryDisk) afterKill() *memoryDisk {
	return &memoryDisk{names: copyNames(d.names), durable: copyNames(d.durable), pending: append([]nameChange(nil), d.pending...)}
}
