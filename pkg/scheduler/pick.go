package scheduler

// candidate is an endpoint on which the head of a lane may run now, with the placement of the adapter
// there.
type candidate struct {
	endpoint  *endpointView
	placement *placement
}

// chooser samples two of the candidates uniformly and also keeps the least loaded candidate that is
// expected to have the prefix cached.
type chooser struct {
	samples [2]candidate
	// candidateCount is the number of candidates considered so far.
	candidateCount int
	prefixHolder   candidate
}

// consider adds e to the candidates if it may run the head of l and has room.
func (c *chooser) consider(s *scheduler, l *lane, e *endpointView, p *placement) {
	if !e.hasRoom(l.class, s.cfg.BatchRunningShare) || !s.mayRun(l, e) {
		return
	}
	c.candidateCount++
	if c.candidateCount <= len(c.samples) {
		c.samples[c.candidateCount-1] = candidate{e, p}
	} else if i := s.rng.Intn(c.candidateCount); i < len(c.samples) {
		c.samples[i] = candidate{e, p}
	}
	if e.prefixes.has(l.head.PrefixHash) && (c.prefixHolder.endpoint == nil || e.utilisation() < c.prefixHolder.endpoint.utilisation()) {
		c.prefixHolder = candidate{e, p}
	}
}

// best returns the less utilised of the two samples, or the prefix holder unless its utilisation is
// higher by more than bonus.
func (c *chooser) best(bonus float64) candidate {
	best := c.samples[0]
	if c.candidateCount > 1 && c.samples[1].endpoint.utilisation() < best.endpoint.utilisation() {
		best = c.samples[1]
	}
	if c.prefixHolder.endpoint != nil && c.prefixHolder.endpoint.utilisation() <= best.endpoint.utilisation()+bonus {
		return c.prefixHolder
	}
	return best
}

// pick returns an endpoint with room for the head of l, and the placement of the adapter there. It
// returns nil if there is none.
func (s *scheduler) pick(l *lane) (*endpointView, *placement) {
	var c chooser
	if l.adapter.version == noAdapter {
		for _, e := range s.endpoints {
			c.consider(s, l, e, nil)
		}
	} else {
		for _, p := range l.adapter.placements {
			if p.state == adapterResident {
				c.consider(s, l, p.endpoint, p)
			}
		}
	}
	if c.candidateCount == 0 {
		return nil, nil
	}
	best := c.best(s.cfg.PrefixBonus)
	return best.endpoint, best.placement
}

// utilisation returns the corrected load of the endpoint as a fraction of MaxRunning.
func (e *endpointView) utilisation() float64 {
	return float64(max(e.running, e.load.current())) / float64(e.spec.MaxRunning)
}
