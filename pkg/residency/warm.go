package residency

import "container/list"

// warmList remembers the adapters evicted last.
type warmList struct {
	limit int
	order *list.List
	items map[Key]*list.Element
}

func newWarmList(limit int) warmList {
	return warmList{limit: limit, order: list.New(), items: map[Key]*list.Element{}}
}

// add makes the adapter the one evicted last.
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

func (w *warmList) drop(key Key) {
	if e := w.items[key]; e != nil {
		w.order.Remove(e)
		delete(w.items, key)
	}
}
