package journal

import (
	"errors"
	"maps"
	"slices"
)

// change is one thing done to a file since its last sync: bytes at an offset, or,
// without bytes, a new size.
type change struct {
	offset int64
	body   []byte
	size   int64
}

func (c change) on(file []byte) []byte {
	need := c.size
	if c.body != nil {
		need = max(int64(len(file)), c.offset+int64(len(c.body)))
	}
	out := make([]byte, need)
	copy(out, file)
	copy(out[min(c.offset, need):], c.body)
	return out
}

// powerDisk is a folder whose power fails at a given operation. What lasts then is
// not one state but many: each change that was not synced is there, missing or
// torn, and each name that was made since the last sync of the folder is kept or
// lost, all by themselves.
type powerDisk struct {
	lasting map[string][]byte
	pending map[string][]change
	named   map[string]bool
	// left is how many operations go through before the power fails.
	left int
	// refused says which operations a full disk refuses, by their number.
	refused func(at int, cut bool) bool
	done    int
}

var (
	errPower = errors.New("the power failed")
	errSpace = errors.New("no space left")
)

func newPowerDisk(left int) *powerDisk {
	return &powerDisk{lasting: map[string][]byte{}, pending: map[string][]change{}, named: map[string]bool{}, left: left}
}

func (d *powerDisk) step() error {
	if d.done++; d.done > d.left {
		return errPower
	}
	return nil
}

func (d *powerDisk) do(name string, one change, cut bool) error {
	if _, there := d.lasting[name]; !there {
		d.lasting[name] = nil
	}
	if d.refused != nil && d.refused(d.done, cut) {
		d.done++
		return errSpace
	}
	// What the power cut short may be there too.
	d.pending[name] = append(d.pending[name], one)
	return d.step()
}

func (d *powerDisk) Read(name string) ([]byte, bool, error) {
	file, there := d.lasting[name]
	for _, one := range d.pending[name] {
		file = one.on(file)
	}
	return slices.Clone(file), there, nil
}

func (d *powerDisk) Write(name string, offset int64, body []byte) error {
	return d.do(name, change{offset: offset, body: slices.Clone(body)}, false)
}

func (d *powerDisk) Cut(name string, size int64) error {
	return d.do(name, change{size: size}, true)
}

func (d *powerDisk) Sync(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	for _, one := range d.pending[name] {
		d.lasting[name] = one.on(d.lasting[name])
	}
	delete(d.pending, name)
	return nil
}

func (d *powerDisk) SyncNames() error {
	if err := d.step(); err != nil {
		return err
	}
	for name := range d.lasting {
		d.named[name] = true
	}
	return nil
}

// outcomes lists every folder that may be found once the power is back.
func (d *powerDisk) outcomes() []map[string][]byte {
	found := []map[string][]byte{{}}
	for _, name := range slices.Sorted(maps.Keys(d.lasting)) {
		files := [][]byte{d.lasting[name]}
		for _, one := range d.pending[name] {
			var next [][]byte
			for _, file := range files {
				next = append(next, file, one.on(file))
				if len(one.body) > 1 {
					torn := one
					torn.body = one.body[:len(one.body)/2]
					next = append(next, torn.on(file))
				}
			}
			files = next
		}
		var next []map[string][]byte
		for _, folder := range found {
			for _, file := range files {
				with := maps.Clone(folder)
				with[name] = file
				next = append(next, with)
			}
			if !d.named[name] {
				next = append(next, folder)
			}
		}
		found = next
	}
	return found
}

func diskOf(folder map[string][]byte) *powerDisk {
	d := newPowerDisk(1 << 30)
	for name, body := range folder {
		d.lasting[name], d.named[name] = slices.Clone(body), true
	}
	return d
}
