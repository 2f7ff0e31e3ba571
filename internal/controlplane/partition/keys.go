package partition

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

func boxName(partition int64) string { return fmt.Sprintf("p%d", partition) }

// Sender tells which partition sends under a name; false if it is a front's.
//
//	number, is := partition.Sender(post.Sender)
func Sender(name string) (int64, bool) {
	digits, is := strings.CutPrefix(name, "p")
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, is && err == nil
}

// Of tells which partition a key belongs to.
//
//	partition := partition.Of("worker/w3", 12)
func Of(key string, count int64) int64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key))
	return int64(sum.Sum64()>>1) % count
}

// Keys of I.
const (
	itemPrefix   = "item/"
	workerPrefix = "worker/"
	StoreKey     = "store"
)

// ItemKey and WorkerKey name the keys of items and workers.
//
//	key := partition.ItemKey("lens-7b")
func ItemKey(name string) string { return itemPrefix + name }

// WorkerKey names a worker's key.
//
//	key := partition.WorkerKey("w3")
func WorkerKey(name string) string { return workerPrefix + name }

func sorted[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
