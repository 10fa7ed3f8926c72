package scheduler

import "time"

// Config holds the settings of the scheduler. Fields that are zero take the values of DefaultConfig.
type Config struct {
	// PrefixBonus is how much higher the utilisation of an endpoint may be than that of the endpoint
	// chosen otherwise, if the former is expected to have the prefix of the prompt cached.
	PrefixBonus float64
	// QueueLimit is the maximum number of items queued for the group.
	QueueLimit int
	// AccountQueueLimit is the maximum number of items of one client account queued for the group.
	AccountQueueLimit int
	// BatchShare is the share of an endpoint's tokens that queued batch items get while interactive
	// items are queued too.
	BatchShare float64
	// BatchLoadShare is the share of the loads that batch items get while interactive items need
	// loads too.
	BatchLoadShare float64
	// BatchRunningShare is the share of an endpoint's MaxRunning that batch items may occupy.
	BatchRunningShare float64
	// GatherDelay is how long a batch item for an adapter that is not resident waits for other items
	// to share the load.
	GatherDelay time.Duration
	// GatherItems is the number of queued batch items for an adapter at which its load no longer
	// waits for GatherDelay.
	GatherItems int
	// ShareSlack is a multiple of an account's share of the tokens by weight. The loads of an account
	// that stays within it are served in order of arrival.
	ShareSlack float64
	// ShareBurst is how far an account may run ahead of the rate set by ShareSlack before its loads
	// are put back. ShareMemory limits how far ahead an account is counted, and is the half-life of
	// the measured token and load rates.
	ShareBurst  time.Duration
	ShareMemory time.Duration
	// VictimPoll is the delay until the next attempt when no endpoint has an adapter that can be
	// evicted.
	VictimPoll time.Duration
	// RateHalfLife is the half-life of the decayed request rate of an adapter.
	RateHalfLife time.Duration
	// ShiftOdds is the prior odds, before any time without requests, that an adapter is no longer in
	// demand.
	ShiftOdds float64
	// ReplicaDelay is how long an item waits for an adapter that is resident only on busy endpoints
	// before the adapter is loaded on another endpoint.
	ReplicaDelay time.Duration
	// LoadAttempts is the number of failed loads of one adapter after which its items are refused.
	LoadAttempts int
	// LoadBackoff is the delay before an adapter is loaded again after its first failed load. It
	// doubles with each further failure, up to LoadCooldown.
	LoadBackoff time.Duration
	// EndpointBackoff is how long an endpoint gets no loads after a failed one. It doubles with each
	// further failure, up to EndpointBackoffMax.
	EndpointBackoff    time.Duration
	EndpointBackoffMax time.Duration
	// LoadCooldown is how long the items of an adapter are refused after LoadAttempts failed loads.
	LoadCooldown time.Duration
	// PermitPoll is the delay until the next attempt when the load budget is spent.
	PermitPoll time.Duration
	// EndpointGrace is how long items stay queued while no endpoint of the group is usable.
	EndpointGrace time.Duration
	// ServiceRetry is how long an unreachable plain service gets no work.
	ServiceRetry time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		PrefixBonus:        0.25,
		QueueLimit:         4000,
		AccountQueueLimit:  1000,
		BatchShare:         0.1,
		BatchLoadShare:     0.02,
		BatchRunningShare:  0.75,
		GatherDelay:        time.Minute,
		GatherItems:        8,
		ShareSlack:         1.5,
		ShareBurst:         10 * time.Second,
		ShareMemory:        30 * time.Second,
		VictimPoll:         50 * time.Millisecond,
		RateHalfLife:       3 * time.Minute,
		ShiftOdds:          0.1,
		ReplicaDelay:       500 * time.Millisecond,
		LoadAttempts:       3,
		LoadBackoff:        250 * time.Millisecond,
		EndpointBackoff:    500 * time.Millisecond,
		EndpointBackoffMax: 8 * time.Second,
		LoadCooldown:       5 * time.Second,
		PermitPoll:         20 * time.Millisecond,
		EndpointGrace:      5 * time.Second,
		ServiceRetry:       2 * time.Second,
	}
}

// withDefaults returns cfg with zero fields replaced by their defaults.
func (cfg Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&cfg.PrefixBonus, d.PrefixBonus)
	setDefault(&cfg.QueueLimit, d.QueueLimit)
	setDefault(&cfg.AccountQueueLimit, d.AccountQueueLimit)
	setDefault(&cfg.BatchShare, d.BatchShare)
	setDefault(&cfg.BatchLoadShare, d.BatchLoadShare)
	setDefault(&cfg.BatchRunningShare, d.BatchRunningShare)
	setDefault(&cfg.GatherDelay, d.GatherDelay)
	setDefault(&cfg.GatherItems, d.GatherItems)
	setDefault(&cfg.ShareSlack, d.ShareSlack)
	setDefault(&cfg.ShareBurst, d.ShareBurst)
	setDefault(&cfg.ShareMemory, d.ShareMemory)
	setDefault(&cfg.VictimPoll, d.VictimPoll)
	setDefault(&cfg.RateHalfLife, d.RateHalfLife)
	setDefault(&cfg.ShiftOdds, d.ShiftOdds)
	setDefault(&cfg.ReplicaDelay, d.ReplicaDelay)
	setDefault(&cfg.LoadAttempts, d.LoadAttempts)
	setDefault(&cfg.LoadBackoff, d.LoadBackoff)
	setDefault(&cfg.EndpointBackoff, d.EndpointBackoff)
	setDefault(&cfg.EndpointBackoffMax, d.EndpointBackoffMax)
	setDefault(&cfg.LoadCooldown, d.LoadCooldown)
	setDefault(&cfg.PermitPoll, d.PermitPoll)
	setDefault(&cfg.EndpointGrace, d.EndpointGrace)
	setDefault(&cfg.ServiceRetry, d.ServiceRetry)
	return cfg
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
