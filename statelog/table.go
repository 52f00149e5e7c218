package statelog

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/berylwharf/berylwharf/resource"
)

// shardCount is the number of shards of a table. With 10,000 resources of one kind, a shard holds about 40 entries. A
// change then copies 40 pointers, and the first change after a view also copies the 256 slice headers (6 KiB).
const shardCount = 256

// resourceEntry is one resource in a table. It is immutable.
type resourceEntry struct {
	res  *resource.Resource
	spec resource.Spec
	id   RecordID // the record that set the version
}

// table holds the resources of one kind. Its shards are immutable slices sorted by name, so that views can share them.
type table struct {
	shards [shardCount][]*resourceEntry
	count  int
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// find returns the shard of a name, its position in the shard, and whether it exists.
func (t *table) find(name string) (shard, pos int, ok bool) {
	shard = shardOf(name)
	s := t.shards[shard]
	pos = sort.Search(len(s), func(i int) bool { return s[i].res.Name >= name })
	return shard, pos, pos < len(s) && s[pos].res.Name == name
}

func (t *table) get(name string) *resourceEntry {
	if t == nil {
		return nil
	}
	shard, pos, ok := t.find(name)
	if !ok {
		return nil
	}
	return t.shards[shard][pos]
}

func (t *table) put(it *resourceEntry) {
	shard, pos, ok := t.find(it.res.Name)
	old := t.shards[shard]
	tail := pos
	if ok {
		tail++
	} else {
		t.count++
	}
	s := make([]*resourceEntry, 0, pos+1+len(old)-tail)
	s = append(s, old[:pos]...)
	s = append(s, it)
	t.shards[shard] = append(s, old[tail:]...)
}

func (t *table) remove(name string) {
	shard, pos, ok := t.find(name)
	if !ok {
		return
	}
	old := t.shards[shard]
	s := make([]*resourceEntry, 0, len(old)-1)
	s = append(s, old[:pos]...)
	t.shards[shard] = append(s, old[pos+1:]...)
	t.count--
}

func (t *table) each(f func(*resourceEntry) bool) bool {
	if t == nil {
		return true
	}
	for i := range t.shards {
		for _, it := range t.shards[i] {
			if !f(it) {
				return false
			}
		}
	}
	return true
}

// sameShard reports whether two shards share their backing array, which means that the shard did not change.
func sameShard(a, b []*resourceEntry) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// kindIndex maps a kind to its index in State.tables.
var kindIndex = func() map[resource.Kind]int {
	m := make(map[resource.Kind]int)
	for i, k := range resource.Kinds() {
		m[k] = i
	}
	return m
}()
