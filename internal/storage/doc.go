// Package storage stores a daemon's records on disk (docs/DESIGN.md, section 6.7). A Folder is a log
// of versions: one file for each commit group, and snapshots that replace the groups before them. An
// Archive holds files of finished records that are read individually. WriteFileAtomically writes
// single files, such as a daemon's identity.
//
// # Durability
//
// Every file is written under a temporary name, synced, renamed, and then its folder is synced
// (writeFileAtomically gives the reason for each step). A power loss may leave:
//
//   - before the rename: a temporary file with any contents. No reader opens one, and the next
//     start removes it.
//   - between the rename and the sync of the folder: the new file, complete, or none. Nothing was
//     acknowledged, so either is correct.
//   - after the sync of the folder: the file. Only now does the write return, so that it may be
//     acknowledged.
//
// A snapshot is durable before the versions that it replaces are removed. Removals need no sync:
// a file that reappears is covered by the snapshot and removed again at the next start.
//
// A process that is killed loses nothing that it wrote, but may leave names that are not durable
// yet. A start therefore makes all names durable before it reads or removes anything
// (syncFolderNames): what it has read back and acted on must not be lost later.
//
// A write that the disk refuses returns a WriteError: data that was durable before still is, and the
// same write may be retried. Damage is an errs.Corrupt: a file that was durable and can't be read
// back, or a version that is missing. It is always reported, and never repaired by a guess.
package storage
