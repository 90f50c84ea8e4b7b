// A data folder belongs to one cluster, one instance and one disk name. It contains:
//
//	identity.json  {"format":1,"cluster":"fruit-standards","instance":"control-1","disk":"8d1f..."}
//	lock           locked while a process uses the folder
//	snapshot       latest snapshot, followed by its checksum
//	log-00000007   journal of the records after the snapshot

package journaler

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
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
	// newSuffix ends the name of a journal file until its content is synced.
	newSuffix     = ".new"
	diskNameBytes = 8
	// BootstrapDisk is the disk name of the instances with which a cluster is bootstrapped.
	BootstrapDisk = "first"
)

type (
	// Identity identifies the cluster, the instance and the disk that a data folder belongs to.
	Identity struct {
		Format   int    `json:"format"`
		Cluster  string `json:"cluster"`
		Instance string `json:"instance"`
		Disk     string `json:"disk"`
	}

	// FolderError reports a data folder that cannot be used, with the faulty file, the reason and advice for the operator.
	FolderError struct {
		file   string
		offset int64
		reason string
		advice string
		// isUnformatted is set if the folder has no identity file.
		isUnformatted bool
	}
)

func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder: %s at offset %d: %s; %s", e.file, e.offset, e.reason, e.advice)
}

// File returns the path of the faulty file or folder.
func (e *FolderError) File() string { return e.file }

// Offset returns the position of the fault in the file, in bytes.
func (e *FolderError) Offset() int64 { return e.offset }

// IsUnformatted reports whether the folder has no identity file. It may still hold other files.
func (e *FolderError) IsUnformatted() bool { return e.isUnformatted }

// Node returns the ID of the replicated-log member that stores its state in the folder.
func (i Identity) Node() replicator.NodeID { return NodeID(i.Instance, i.Disk) }

// NodeID returns the replicated-log member ID of an instance and its disk: "instance/disk".
func NodeID(instance, disk string) replicator.NodeID {
	return replicator.NodeID(instance + "/" + disk)
}

// Format initializes an empty or missing folder as the data folder of an instance and returns its identity.
// The disk gets a random name, or BootstrapDisk if isBootstrap is set. A folder that contains files is a *FolderError that names the
// first of them, except for the remains of a first start that was cut off.
func Format(folder, cluster, instance string, isBootstrap bool) (Identity, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return Identity{}, errors.Wrap(err, "format data folder")
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		return Identity{}, errors.Wrap(err, "format data folder")
	}
	for _, file := range files {
		if !holdsNoState(file.Name()) {
			path := filepath.Join(folder, file.Name())
			return Identity{}, &FolderError{file: path, reason: "the folder is not empty", advice: "move its files elsewhere first"}
		}
	}
	identity := Identity{Format: formatVersion, Cluster: cluster, Instance: instance, Disk: BootstrapDisk}
	if !isBootstrap {
		if identity.Disk, err = randomDiskName(); err != nil {
			return Identity{}, err
		}
	}
	data, err := json.Marshal(identity)
	if err != nil {
		return Identity{}, errors.Wrap(err, "format data folder")
	}
	return identity, errors.Wrap(replaceFile(filepath.Join(folder, identityFile), data), "format data folder")
}

// holdsNoState reports whether a file of this name holds nothing that was ever acknowledged: the lock, or a file that a power loss or
// a crash has kept from its final name.
func holdsNoState(name string) bool {
	return name == lockFile || strings.HasPrefix(name, "."+identityFile) || strings.HasPrefix(name, logPrefix) && strings.HasSuffix(name, newSuffix)
}

// ReadIdentity returns the identity stored in the folder.
// A missing or invalid identity or another format version is a *FolderError.
func ReadIdentity(folder string) (Identity, error) {
	path := filepath.Join(folder, identityFile)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return Identity{}, &FolderError{file: path, reason: "the folder is not formatted", advice: "run `lovagedeckd format`", isUnformatted: true}
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "read identity")
	}
	var identity Identity
	if err := json.Unmarshal(data, &identity); err != nil {
		return Identity{}, &FolderError{file: path, reason: err.Error(), advice: "restore the file or replace the disk"}
	}
	if identity.Format != formatVersion {
		reason := fmt.Sprintf("unsupported format %d, want format %d", identity.Format, formatVersion)
		return Identity{}, &FolderError{file: path, reason: reason, advice: "run the program version that wrote the folder"}
	}
	return identity, nil
}

func checkIdentity(folder, cluster, instance string) (Identity, error) {
	identity, err := ReadIdentity(folder)
	if err != nil {
		return identity, err
	}
	if identity.Cluster != cluster || identity.Instance != instance {
		reason := fmt.Sprintf("the folder belongs to instance %s of cluster %s", identity.Instance, identity.Cluster)
		return identity, &FolderError{
			file: filepath.Join(folder, identityFile), reason: reason, advice: "correct data-folder, cluster or instance in the settings",
		}
	}
	return identity, nil
}

func lockFolder(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockFile)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "lock data folder")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, &FolderError{file: path, reason: "the folder is locked by another process", advice: "stop that process first"}
	}
	return file, nil
}

// replaceFile atomically replaces a file and syncs the file and its folder.
func replaceFile(path string, data []byte) error {
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

func randomDiskName() (string, error) {
	var raw [diskNameBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", errors.Wrap(err, "generate disk name")
	}
	return hex.EncodeToString(raw[:]), nil
}
