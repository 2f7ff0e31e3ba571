package register

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"applequay/internal/transport/wire"
)

// A value's lineage remembers its newest writes, so that a write that is sent
// again is known at every node for as long as the value is. Each entry is a
// digest of the write's name and, as a varint, how far the version rose with it.
// Forgot is the version of the newest write that was dropped. Versions only rise: a
// write that is not remembered and that expected a version of Forgot or above was
// never made; of one that expected less nobody can tell.

const (
	// digestBytes of SHA-256 stand for a name: two of 4096 names meet once in
	// 10^12 lineages.
	digestBytes = 8
	// lineageShare: a lineage may take this part of its value's body, so that
	// rounds never carry much more for it; and lineageTimes its least length.
	lineageShare = 8
	lineageTimes = 16
	// entryBytes is what most entries take.
	entryBytes = digestBytes + 2
)

// entries goes through what a lineage holds, oldest first, until told to stop.
func entries(value wire.Value, each func(digest []byte, version int64, rest []byte) bool) {
	version := value.Forgot
	for rest := value.Lineage; len(rest) > digestBytes; {
		rose, size := binary.Uvarint(rest[digestBytes:])
		if size <= 0 {
			return
		}
		digest := rest[:digestBytes]
		version, rest = version+int64(rose), rest[digestBytes+size:]
		if !each(digest, version, rest) {
			return
		}
	}
}

// Remembered goes through the writes that a value remembers, oldest first: a digest
// of each write's name, and the version that it got.
//
//	register.Remembered(value, func(digest string, version int64) { ... })
func Remembered(value wire.Value, each func(digest string, version int64)) {
	entries(value, func(digest []byte, version int64, _ []byte) bool {
		each(string(digest), version)
		return true
	})
}

// Digest is what a value remembers of a write's name.
//
//	digest := register.Digest("l2~9c#44")
func Digest(name string) string { return string(digestOf(name)) }

func digestOf(name string) []byte {
	sum := sha256.Sum256([]byte(name))
	return sum[:digestBytes]
}

// Written finds the version that a write got, by its name, while the value
// remembers it.
//
//	version, ok := register.Written(outcome.Value, "l2~9c#44")
func Written(value wire.Value, name string) (written int64, ok bool) {
	asked := digestOf(name)
	entries(value, func(digest []byte, version int64, _ []byte) bool {
		if bytes.Equal(digest, asked) {
			written, ok = version, true
		}
		return !ok
	})
	return written, ok
}

// Forgotten tells whether a write that expected a version, -1 for any, may have
// been made although the value does not remember it.
//
//	if !ok && register.Forgotten(outcome.Value, 5) { ... }
func Forgotten(value wire.Value, expected int64) bool { return expected < value.Forgot }

// Standing is a value under its own version, where an outcome told that of an
// earlier write.
//
//	value := register.Standing(outcome.Value)
func Standing(value wire.Value) wire.Value {
	entries(value, func(_ []byte, version int64, _ []byte) bool {
		value.Version = max(value.Version, version)
		return true
	})
	return value
}

// remember is the value after a write, with the write in its lineage and as many
// before it as there is room for.
func remember(before wire.Value, body []byte, name string, version int64, least int) wire.Value {
	if len(before.Lineage) == 0 {
		before.Forgot = before.Version
	}
	lineage := make([]byte, 0, len(before.Lineage)+digestBytes+binary.MaxVarintLen64)
	lineage = append(append(lineage, before.Lineage...), digestOf(name)...)
	lineage = binary.AppendUvarint(lineage, uint64(version-before.Version))
	value := wire.Value{Version: version, Body: body, Lineage: lineage, Forgot: before.Forgot}
	most := min(max(least, len(body)/(lineageShare*entryBytes)), lineageTimes*least)
	over := -most
	entries(value, func([]byte, int64, []byte) bool { over++; return true })
	if over <= 0 {
		return value
	}
	entries(value, func(_ []byte, version int64, rest []byte) bool {
		over--
		value.Forgot, value.Lineage = version, rest
		return over > 0
	})
	return value
}
