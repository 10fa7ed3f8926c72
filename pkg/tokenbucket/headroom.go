package tokenbucket

import "time"

const (
	headroomSlotDuration = 500 * time.Millisecond
	headroomSlotCount    = 600
)

// MaxRefundAge is the time after spending beyond which unused tokens are not put back, because the
// headroom of that time is no longer recorded.
const MaxRefundAge = headroomSlotDuration * (headroomSlotCount - 2)

// headroom records the smallest free capacity (burst less level and outstanding tokens) that a bucket
// had in each interval of headroomSlotDuration. The intervals are kept in a ring.
type headroom struct {
	origin time.Time
	slots  [headroomSlotCount]float64
	// lastSlot is the number of the newest slot, counted from origin.
	lastSlot int
}

// reset discards all records. The first call sets the origin of the stamps to now. After a later
// call, stamps issued before it find no room.
func (h *headroom) reset(now time.Time) {
	if h.origin.IsZero() {
		h.origin = now
		return
	}
	// Stamps keep counting from origin. Those issued before now find no room.
	h.record(now, 0)
	clear(h.slots[:])
}

// record stores the room at now.
func (h *headroom) record(now time.Time, room float64) {
	slot := int(now.Sub(h.origin) / headroomSlotDuration)
	if slot > h.lastSlot {
		// Skipped slots had at least the room recorded now, because room shrinks steadily between
		// two records.
		for s := max(h.lastSlot+1, slot-headroomSlotCount+1); s <= slot; s++ {
			h.slots[s%headroomSlotCount] = room
		}
		h.lastSlot = slot
		return
	}
	h.slots[slot%headroomSlotCount] = min(h.slots[slot%headroomSlotCount], room)
}

// stamp returns the time from origin to now.
func (h *headroom) stamp(now time.Time) time.Duration { return now.Sub(h.origin) }

// minSince returns the smallest room since the stamp, or 0 if it is no longer recorded.
func (h *headroom) minSince(stamp time.Duration) float64 {
	first := int(stamp / headroomSlotDuration)
	if stamp < 0 || first > h.lastSlot || h.lastSlot-first >= headroomSlotCount {
		return 0
	}
	least := h.slots[h.lastSlot%headroomSlotCount]
	for s := first; s < h.lastSlot; s++ {
		least = min(least, h.slots[s%headroomSlotCount])
	}
	return max(least, 0)
}

// reduce lowers the room of every slot since the stamp, as if the bucket had been fuller.
func (h *headroom) reduce(stamp time.Duration, tokens float64) {
	for s := int(stamp / headroomSlotDuration); s <= h.lastSlot; s++ {
		h.slots[s%headroomSlotCount] -= tokens
	}
}
