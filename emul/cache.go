package emul

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/engine"
)

// The sizes of the prefix cache.
const (
	blockBytes     = 64  // Length of a cached block of a prompt.
	maxBlocks      = 512 // Blocks before the least recently used one is evicted.
	minCacheEvents = 256 // Newest events that eventsSince can still return.
)

// prefixCache is an LRU cache of blocks of prompts, each identified by the hash
// of the prompt up to its end.
type prefixCache struct {
	byHash   map[uint64]*list.Element
	recent   list.List // Hashes, most recently used first.
	events   []cacheEvent
	sequence int64
}

type cacheEvent struct {
	sequence int64
	hash     uint64
	removed  bool
}

// insert adds the blocks of a prompt and returns the share of them that was
// cached already.
func (p *prefixCache) insert(prompt string) float64 {
	if p.byHash == nil {
		p.byHash = make(map[uint64]*list.Element)
	}
	digest := xxhash.New()
	blocks, hits := 0, 0
	for start := 0; start+blockBytes <= len(prompt) && blocks < maxBlocks; start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		blocks++
		if p.touch(digest.Sum64()) {
			hits++
		}
	}
	if blocks == 0 {
		return 0
	}
	return float64(hits) / float64(blocks)
}

// touch marks a block as used and reports whether it was cached.
func (p *prefixCache) touch(hash uint64) bool {
	if e, ok := p.byHash[hash]; ok {
		p.recent.MoveToFront(e)
		return true
	}
	p.byHash[hash] = p.recent.PushFront(hash)
	p.record(hash, false)
	if p.recent.Len() > maxBlocks {
		oldest, _ := p.recent.Remove(p.recent.Back()).(uint64)
		delete(p.byHash, oldest)
		p.record(oldest, true)
	}
	return false
}

func (p *prefixCache) record(hash uint64, removed bool) {
	p.sequence++
	p.events = append(p.events, cacheEvent{sequence: p.sequence, hash: hash, removed: removed})
	if len(p.events) > 2*minCacheEvents {
		p.events = append([]cacheEvent(nil), p.events[minCacheEvents:]...)
	}
}

// eventsSince returns the events after a sequence number. Gap is set if some of
// them are no longer available.
func (p *prefixCache) eventsSince(sequence int64) engine.CacheEvents {
	result := engine.CacheEvents{Sequence: p.sequence}
	oldest := p.sequence - int64(len(p.events))
	result.Gap = sequence < oldest || sequence > p.sequence
	for _, v := range p.events {
		if v.sequence <= sequence {
			continue
		}
		name := strconv.FormatUint(v.hash, 16)
		if v.removed {
			result.Removed = append(result.Removed, name)
		} else {
			result.Added = append(result.Added, name)
		}
	}
	return result
}
