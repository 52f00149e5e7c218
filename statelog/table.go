package statelog

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/berylwharf/berylwharf/resource"
)

// shardCount is the number of shards of a table. At 10,000 resources of one kind a shard holds about 40 entries, so a
// change copies 40 pointers, and the first change after a view copies 256 slice headers (6 KiB).
const shardCount = 256

// item is one resource in a table. Items are immutable.
type item struct {
	res  *resource.Resource
	spec resource.Spec
	id   RecordID // the record that set the version
}

// table holds the resources of one kind. Its shards are immutable slices sorted by name, so that views share them.
type table struct {
	shards [shardCount][]*item
	n      int
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// find returns the position of a name in its shard and whether it is there.
func (t *table) find(name string) (shard, pos int, ok bool) {
	shard = shardOf(name)
	s := t.shards[shard]
	pos = sort.Search(len(s), func(i int) bool { return s[i].res.Name >= name })
	return shard, pos, pos < len(s) && s[pos].res.Name == name
}

func (t *table) get(name string) *item {
	if t == nil {
		return nil
	}
	shard, pos, ok := t.find(name)
	if !ok {
		return nil
	}
	return t.shards[shard][pos]
}

func (t *table) put(it *item) {
	shard, pos, ok := t.find(it.res.Name)
	old := t.shards[shard]
	tail := pos
	if ok {
		tail++
	} else {
		t.n++
	}
	s := make([]*item, 0, pos+1+len(old)-tail)
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
	s := make([]*item, 0, len(old)-1)
	s = append(s, old[:pos]...)
	t.shards[shard] = append(s, old[pos+1:]...)
	t.n--
}

func (t *table) each(f func(*item) bool) bool {
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

// sameShard reports whether two shards share their storage, which means that no change lies between them.
func sameShard(a, b []*item) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// kindIndex gives the position of a kind in State.tables.
var kindIndex = func() map[resource.Kind]int {
	m := make(map[resource.Kind]int)
	for i, k := range resource.Kinds() {
		m[k] = i
	}
	return m
}()
