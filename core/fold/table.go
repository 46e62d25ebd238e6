package fold

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64

// table is a string-keyed, copy-on-write map: published copies stay valid while the folder keeps writing.
type table[V any] struct {
	shards [shardCount]map[string]V
	owned  [shardCount]bool
	n      int
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % shardCount)
}

func (t *table[V]) get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

func (t *table[V]) set(key string, v V) {
	shard := t.writableShard(key)
	if _, ok := shard[key]; !ok {
		t.n++
	}
	shard[key] = v
}

func (t *table[V]) remove(key string) {
	if _, ok := t.get(key); !ok {
		return
	}
	delete(t.writableShard(key), key)
	t.n--
}

// writableShard returns the key's shard, copied on the first write after a publication.
func (t *table[V]) writableShard(key string) map[string]V {
	i := shardOf(key)
	if t.owned[i] {
		return t.shards[i]
	}
	t.owned[i] = true
	if t.shards[i] == nil {
		t.shards[i] = map[string]V{}
	} else {
		t.shards[i] = maps.Clone(t.shards[i])
	}
	return t.shards[i]
}

// publish returns a copy that later writes do not affect.
func (t *table[V]) publish() table[V] {
	t.owned = [shardCount]bool{}
	return *t
}

func (t *table[V]) len() int { return t.n }

func (t *table[V]) keys() []string {
	out := make([]string, 0, t.n)
	for _, shard := range t.shards {
		for key := range shard {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// all yields every entry in no particular order.
func (t *table[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range t.shards {
			for key, v := range shard {
				if !yield(key, v) {
					return
				}
			}
		}
	}
}

func (t *table[V]) toMap() map[string]V {
	out := make(map[string]V, t.n)
	for _, shard := range t.shards {
		maps.Copy(out, shard)
	}
	return out
}

func (t *table[V]) fromMap(m map[string]V) {
	*t = table[V]{}
	for key, v := range m {
		t.set(key, v)
	}
}
