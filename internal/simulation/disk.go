package simulation

import (
	"errors"

	"applequay/internal/controlplane/journal"
)

// disk is a simulated data folder: what is written lasts only once synced.
type disk struct {
	lasting  map[string][]byte
	volatile map[string][]byte
	tear     func(size int) int // how much of an unsynced write stays, if set
	full     bool
}

var _ journal.Disk = (*disk)(nil)

func newDisk() *disk {
	return &disk{lasting: map[string][]byte{}, volatile: map[string][]byte{}}
}

var errPower = errors.New("power lost")

// Read returns what would be read now.
//
//	body, there, err := d.Read("slot.0")
func (d *disk) Read(name string) ([]byte, bool, error) {
	body, ok := d.volatile[name]
	return append([]byte(nil), body...), ok, nil
}

// Write changes what would be read now.
//
//	err := d.Write("log.0", 28, batch)
func (d *disk) Write(name string, offset int64, body []byte) error {
	if d.full {
		return errors.New("no space left")
	}
	file := append([]byte(nil), d.volatile[name]...)
	if need := int(offset) + len(body); need > len(file) {
		file = append(file, make([]byte, need-len(file))...)
	}
	copy(file[offset:], body)
	d.volatile[name] = file
	if d.tear != nil {
		kept := append([]byte(nil), d.lasting[name]...)
		part := d.tear(len(body))
		if need := int(offset) + part; need > len(kept) {
			kept = append(kept, make([]byte, need-len(kept))...)
		}
		copy(kept[offset:], body[:part])
		d.lasting[name] = kept
		return errPower
	}
	return nil
}

// Cut sets a file's size.
//
//	err := d.Cut("log.0", 0)
func (d *disk) Cut(name string, size int64) error {
	file := append([]byte(nil), d.volatile[name]...)
	for int64(len(file)) < size {
		file = append(file, 0)
	}
	d.volatile[name] = file[:size]
	return nil
}

// Sync makes a file last.
//
//	err := d.Sync("log.0")
func (d *disk) Sync(name string) error {
	if d.tear != nil {
		return errPower
	}
	d.lasting[name] = append([]byte(nil), d.volatile[name]...)
	return nil
}

// SyncNames does nothing: names last at once here.
//
//	err := d.SyncNames()
func (d *disk) SyncNames() error { return nil }

// lose drops all that was not synced.
func (d *disk) lose() {
	d.tear = nil
	d.volatile = map[string][]byte{}
	for name, body := range d.lasting {
		d.volatile[name] = append([]byte(nil), body...)
	}
}
