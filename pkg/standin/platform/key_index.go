package platform

import (
	"slices"
	"sort"
	"strings"
)

// keyIndex keeps the keys of the table sorted for scans. Keys are
// partitioned by their first path segment, so that many inserts under one
// segment do not slow down scans of another.
type keyIndex struct {
	parts map[string]*keyPartition
	names []string // sorted partition names; iterating over them yields the keys in sorted order
}

func newKeyIndex() *keyIndex {
	return &keyIndex{parts: map[string]*keyPartition{}}
}

func (x *keyIndex) add(key string) {
	name := partitionName(key)
	part, ok := x.parts[name]
	if !ok {
		part = &keyPartition{}
		x.parts[name] = part
		at, _ := slices.BinarySearch(x.names, name)
		x.names = slices.Insert(x.names, at, name)
	}
	part.added = append(part.added, key)
}

// visit calls f for each key with the prefix that is greater than after, in
// order, until f returns false. Deleted keys may be visited.
func (x *keyIndex) visit(prefix, after string, f func(key string) bool) {
	for _, name := range x.names {
		if !strings.HasPrefix(name, prefix) && !strings.HasPrefix(prefix, name) {
			continue
		}
		if !x.parts[name].visit(prefix, after, f) {
			return
		}
	}
}

func partitionName(key string) string {
	if slash := strings.IndexByte(key, '/'); slash >= 0 {
		return key[:slash+1]
	}
	return key
}

// keyPartition holds the keys that share a first path segment.
type keyPartition struct {
	sorted []string
	added  []string // keys added since the last scan, unsorted; the next scan merges them into sorted
}

func (p *keyPartition) merge() {
	if len(p.added) == 0 {
		return
	}
	p.sorted = append(p.sorted, p.added...)
	p.added = nil
	slices.Sort(p.sorted)
	p.sorted = slices.Compact(p.sorted)
}

func (p *keyPartition) visit(prefix, after string, f func(key string) bool) bool {
	p.merge()
	start := sort.Search(len(p.sorted), func(i int) bool {
		return p.sorted[i] >= prefix && p.sorted[i] > after
	})
	for _, key := range p.sorted[start:] {
		if !strings.HasPrefix(key, prefix) {
			return true
		}
		if !f(key) {
			return false
		}
	}
	return true
}
