package residency

import "container/list"

// warmList is a bounded list of the most recently evicted adapters, which the engine can probably reload from
// its own memory.
type warmList struct {
	limit int
	order *list.List
	items map[Key]*list.Element
}

func newWarmList(limit int) warmList {
	return warmList{limit: limit, order: list.New(), items: map[Key]*list.Element{}}
}

// add records that the adapter has just been evicted, and drops the oldest entry if the list is full.
func (w *warmList) add(key Key) {
	if e := w.items[key]; e != nil {
		w.order.MoveToFront(e)
		return
	}
	w.items[key] = w.order.PushFront(key)
	for w.order.Len() > w.limit {
		last := w.order.Back()
		delete(w.items, last.Value.(Key))
		w.order.Remove(last)
	}
}

func (w *warmList) has(key Key) bool { return w.items[key] != nil }

func (w *warmList) remove(key Key) {
	if e := w.items[key]; e != nil {
		w.order.Remove(e)
		delete(w.items, key)
	}
}
