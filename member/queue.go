package member

import "slices"

// sized is something whose encoded length is bounded.
type sized interface{ size() int }

// queue holds the changes that still have to be passed on, those that were
// passed on least often first.
type queue[T sized] struct {
	items []queued[T]
}

type queued[T sized] struct {
	key   string
	value T
	sent  int
}

// push adds a change in front and drops an earlier one with the same key.
func (q *queue[T]) push(key string, value T) {
	q.drop(key)
	q.items = slices.Insert(q.items, 0, queued[T]{key: key, value: value})
}

func (q *queue[T]) drop(key string) {
	q.items = slices.DeleteFunc(q.items, func(i queued[T]) bool { return i.key == key })
}

// take appends changes to values up to the number of bytes, and returns the
// bytes left. A change that has been sent limit times is dropped.
func (q *queue[T]) take(values []T, room, limit int) ([]T, int) {
	count := 0
	for _, i := range q.items {
		if i.value.size() > room {
			break
		}
		room -= i.value.size()
		values = append(values, i.value)
		count++
	}
	if count == 0 {
		return values, room
	}
	taken := slices.Clone(q.items[:count])
	rest := slices.Delete(q.items, 0, count)
	for _, i := range taken {
		i.sent++
		if i.sent < limit {
			rest = insertBySent(rest, i)
		}
	}
	q.items = rest
	return values, room
}

func insertBySent[T sized](items []queued[T], item queued[T]) []queued[T] {
	at, _ := slices.BinarySearchFunc(items, item.sent+1, func(i queued[T], sent int) int { return i.sent - sent })
	return slices.Insert(items, at, item)
}
