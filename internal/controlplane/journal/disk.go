package journal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Disk is what the journal asks of a data folder. The simulator has its own.
type Disk interface {
	Read(name string) ([]byte, bool, error)
	Write(name string, offset int64, body []byte) error
	Cut(name string, size int64) error
	Sync(name string) error
	SyncNames() error
}

// Folder is a Disk on a real data folder.
type Folder struct {
	dir   string
	floor time.Duration
	trial string
	files map[string]*os.File
}

// Trial names a file whose words make this folder behave as a bad disk: full,
// stall, or slow with milliseconds. Only the test fleet names one.
//
//	folder.Trial("/tmp/trial-c1")
func (f *Folder) Trial(file string) { f.trial = file }

// tried does what the trial's words say, and goes on when they are gone.
func (f *Folder) tried(sync bool) error {
	for f.trial != "" {
		body, err := os.ReadFile(f.trial)
		words := strings.Fields(string(body))
		if err != nil || len(words) == 0 {
			return nil
		}
		switch words[0] {
		case "full":
			if sync {
				return nil
			}
			return syscall.ENOSPC
		case "slow":
			if wait, err := strconv.Atoi(words[len(words)-1]); err == nil && sync {
				<-time.After(time.Duration(wait) * time.Millisecond)
			}
			return nil
		case "stall":
			<-time.After(20 * time.Millisecond)
		default:
			return nil
		}
	}
	return nil
}

// OpenFolder opens, or makes, a data folder. Floor is the least time a sync
// takes: nought in service; the test fleet sets it to stand for slow disks.
//
//	folder, err := journal.OpenFolder("/var/lib/applequay", 0)
func OpenFolder(dir string, floor time.Duration) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, oops.Wrapf(err, "data folder")
	}
	return &Folder{dir: dir, floor: floor, files: map[string]*os.File{}}, nil
}

// Dir is where the folder is.
//
//	path := folder.Dir()
func (f *Folder) Dir() string { return f.dir }

// FreePct is how much of the folder's disk is free, in hundredths.
//
//	if folder.FreePct() < 10 { ... }
func (f *Folder) FreePct() int64 {
	if words, err := os.ReadFile(f.trial); err == nil && strings.HasPrefix(string(words), "full") {
		return 0
	}
	var stat syscall.Statfs_t
	if syscall.Statfs(f.dir, &stat) != nil || stat.Blocks == 0 {
		return 100
	}
	return int64(stat.Bavail * 100 / stat.Blocks)
}

// Read returns a whole file, and whether it is there.
//
//	body, there, err := folder.Read("slot.0")
func (f *Folder) Read(name string) ([]byte, bool, error) {
	body, err := os.ReadFile(filepath.Join(f.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	return body, err == nil, err
}

func (f *Folder) open(name string) (*os.File, error) {
	if file, ok := f.files[name]; ok {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err == nil {
		f.files[name] = file
	}
	return file, err
}

// Write puts bytes at an offset; they last only once synced.
//
//	err := folder.Write("log.0", 20, batch)
func (f *Folder) Write(name string, offset int64, body []byte) error {
	file, err := f.open(name)
	if err != nil {
		return err
	}
	if err = f.tried(false); err == nil {
		_, err = file.WriteAt(body, offset)
	}
	return err
}

// Cut sets a file's size.
//
//	err := folder.Cut("log.0", 0)
func (f *Folder) Cut(name string, size int64) error {
	file, err := f.open(name)
	if err != nil {
		return err
	}
	return file.Truncate(size)
}

// Sync makes a file's bytes last.
//
//	err := folder.Sync("log.0")
func (f *Folder) Sync(name string) error {
	file, err := f.open(name)
	if err != nil {
		return err
	}
	if f.floor > 0 {
		<-time.After(f.floor)
	}
	if err := f.tried(true); err != nil {
		return err
	}
	return file.Sync()
}

// SyncNames makes the names of new files last.
//
//	err := folder.SyncNames()
func (f *Folder) SyncNames() error {
	dir, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
