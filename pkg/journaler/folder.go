// A data folder belongs to one disk identity of one instance of one cluster:
//
//	identity.json  {"format":1,"cluster":"fruit-standards","instance":"control-1","disk":"8d1f..."}
//	lock           held while a process uses the folder
//	snapshot       checksummed snapshot
//	log-00000007   journal of records after the snapshot

package journaler

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"

	"lovagedeck/pkg/replicator"
)

const (
	formatVersion = 1
	fileMode      = 0o600
	folderMode    = 0o700
	identityFile  = "identity.json"
	lockFile      = "lock"
	snapshotFile  = "snapshot"
	logPrefix     = "log-"
	diskBytes     = 8
	// FirstDisk is the disk name of the instances that found a cluster.
	FirstDisk = "first"
)

type (
	// Identity says to whom a data folder belongs.
	Identity struct {
		Format   int    `json:"format"`
		Cluster  string `json:"cluster"`
		Instance string `json:"instance"`
		Disk     string `json:"disk"`
	}

	// FolderError says what is wrong with a data folder and what to do.
	FolderError struct {
		file   string
		offset int64
		reason string
		advice string
	}
)

func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder: %s at offset %d: %s; %s", e.file, e.offset, e.reason, e.advice)
}

// File returns the file that is wrong.
func (e *FolderError) File() string { return e.file }

// Offset returns where in the file the fault lies, in bytes.
func (e *FolderError) Offset() int64 { return e.offset }

// Node returns the name under which the folder takes part in the log.
func (i Identity) Node() replicator.NodeID { return NodeID(i.Instance, i.Disk) }

// NodeID returns the name of an instance with a disk.
func NodeID(instance, disk string) replicator.NodeID {
	return replicator.NodeID(instance + "/" + disk)
}

// Format makes an empty folder the data folder of an instance; first marks the founders of a cluster.
func Format(folder, cluster, instance string, first bool) (Identity, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return Identity{}, errors.Wrap(err, "format data folder")
	}
	names, err := os.ReadDir(folder)
	if err != nil {
		return Identity{}, errors.Wrap(err, "format data folder")
	}
	if len(names) > 0 {
		return Identity{}, &FolderError{file: folder, reason: "the folder is not empty", advice: "move its files away first"}
	}
	identity := Identity{Format: formatVersion, Cluster: cluster, Instance: instance, Disk: FirstDisk}
	if !first {
		if identity.Disk, err = randomDisk(); err != nil {
			return Identity{}, err
		}
	}
	data, err := json.Marshal(identity)
	if err != nil {
		return Identity{}, errors.Wrap(err, "format data folder")
	}
	return identity, errors.Wrap(writeFile(filepath.Join(folder, identityFile), data), "format data folder")
}

// ReadIdentity returns to whom the folder belongs.
func ReadIdentity(folder string) (Identity, error) {
	path := filepath.Join(folder, identityFile)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return Identity{}, &FolderError{file: path, reason: "the folder is not formatted", advice: "run `lovagedeckd format`"}
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "read identity")
	}
	var identity Identity
	if err := json.Unmarshal(data, &identity); err != nil {
		return Identity{}, &FolderError{file: path, reason: err.Error(), advice: "restore the file or replace the disk"}
	}
	if identity.Format != formatVersion {
		reason := fmt.Sprintf("format %d, this program reads format %d", identity.Format, formatVersion)
		return Identity{}, &FolderError{file: path, reason: reason, advice: "use the version of the program that wrote it"}
	}
	return identity, nil
}

func checkIdentity(folder, cluster, instance string) (Identity, error) {
	identity, err := ReadIdentity(folder)
	if err != nil {
		return identity, err
	}
	if identity.Cluster != cluster || identity.Instance != instance {
		reason := fmt.Sprintf("it belongs to instance %s of cluster %s", identity.Instance, identity.Cluster)
		return identity, &FolderError{
			file: filepath.Join(folder, identityFile), reason: reason, advice: "correct data-folder, cluster or instance in the settings",
		}
	}
	return identity, nil
}

func lock(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockFile)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "lock data folder")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, &FolderError{file: path, reason: "another process uses the folder", advice: "stop that process first"}
	}
	return file, nil
}

// writeFile replaces a file whole and syncs it and its folder.
func writeFile(path string, data []byte) error {
	pending, err := renameio.NewPendingFile(path, renameio.WithPermissions(fileMode))
	if err != nil {
		return err
	}
	defer func() { _ = pending.Cleanup() }()
	if _, err := pending.Write(data); err != nil {
		return err
	}
	if err := pending.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Close() }()
	return handle.Sync()
}

func randomDisk() (string, error) {
	var raw [diskBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", errors.Wrap(err, "name the disk")
	}
	return hex.EncodeToString(raw[:]), nil
}
