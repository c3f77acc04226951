package member

import "slices"

// sized is a value with a bounded encoded length.
type sized interface{ size() int }

// queue holds the updates that still have to be transmitted, those transmitted
// least often first.
type queue[T sized] struct {
	items []queueItem[T]
}

type queueItem[T sized] struct {
	key           string
	value         T
	transmissions int
}

// push inserts an update at the front and removes an earlier one with the same
// key.
func (q *queue[T]) push(key string, value T) {
	q.remove(key)
	q.items = slices.Insert(q.items, 0, queueItem[T]{key: key, value: value})
}

func (q *queue[T]) remove(key string) {
	q.items = slices.DeleteFunc(q.items, func(i queueItem[T]) bool { return i.key == key })
}

// take appends updates to values, up to space bytes, and returns the extended
// slice and the bytes left. It counts the transmissions and removes an update
// that has been transmitted limit times.
func (q *queue[T]) take(values []T, space, limit int) ([]T, int) {
	count := 0
	for _, i := range q.items {
		if i.value.size() > space {
			break
		}
		space -= i.value.size()
		values = append(values, i.value)
		count++
	}
	if count == 0 {
		return values, space
	}
	taken := slices.Clone(q.items[:count])
	rest := slices.Delete(q.items, 0, count)
	for _, i := range taken {
		i.transmissions++
		if i.transmissions < limit {
			rest = insertByTransmissions(rest, i)
		}
	}
	q.items = rest
	return values, space
}

func insertByTransmissions[T sized](items []queueItem[T], item queueItem[T]) []queueItem[T] {
	at, _ := slices.BinarySearchFunc(items, item.transmissions+1, func(i queueItem[T], transmissions int) int { return i.transmissions - transmissions })
	return slices.Insert(items, at, item)
}
