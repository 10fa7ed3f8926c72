package gatewayd

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/dispatch/software"
	"github.com/mallowlink/mallowlink/pkg/orders"
)

// newStreams returns the keeper of the software versions of streams. The holder of the first engine lease writes their rows.
func newStreams(s Settings, id identity, p Platform, coord coordination, view *fleetView, pp peers, log logrus.FieldLogger) *software.Keeper {
	timing := s.Bounds.timing()
	first := orders.LeaseNames()[0]
	return software.NewKeeper(software.Config{
		Self: id.vm, Rows: p.FleetTable, Listed: coord.table.CachedAt,
		WritesFirst: func() bool {
			_, held := coord.stewards.Held(first)
			return held
		},
		FirstStart: func() bool { return s.FirstStart && coord.stewards.foundUnused() },
		Settled:    coord.stewards.settled, Life: view.streamLife, Members: coord.stewards.Members, PeerClient: pp.pool,
		Timing: software.NewTiming(s.Bounds.updateBound()), ReadInterval: timing.ReadInterval, ReadTimeout: timing.CallTimeout, Log: log,
	})
}

// streamLife returns how long a resumable stream of a group may be taken up, false if the group has none.
func (v *fleetView) streamLife(group string) (time.Duration, bool) {
	rules := v.rules.Load()
	if rules == nil {
		return 0, false
	}
	life, ok := rules.StreamLife[group]
	return life, ok
}
