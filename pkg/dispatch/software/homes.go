package software

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// ServiceName is the name of the net/rpc service by which VMs exchange records of streams.
const ServiceName = "Streams"

const (
	// homesPerStream is the number of VMs that remember a stream besides the one that serves it.
	homesPerStream = 3
	// recordTimeout bounds a call with records, lookupTimeout one that asks for a stream.
	recordTimeout = 500 * time.Millisecond
	lookupTimeout = 150 * time.Millisecond
	// maxRecords bounds the records of a call.
	maxRecords = 1024
)

// Record is a stream that has begun.
type Record struct {
	Key            Key
	Group, Version string
	// Left is for how long the stream may still be taken up.
	Left time.Duration
}

// RecordArgs hold the records that a VM sends to a home of their streams.
type RecordArgs struct {
	From    string
	Records []Record
}

// RecordReply is the reply to RecordArgs.
type RecordReply struct{}

// LookupArgs ask a home for a stream.
type LookupArgs struct{ Key Key }

// LookupReply is the reply to LookupArgs.
type LookupReply struct {
	Known   bool
	Version string
}

// homesOf returns the homes of a stream among the VMs.
func homesOf(members []membership.Member, key Key) []membership.Member {
	return membership.Homes(members, "/"+strconv.FormatUint(uint64(key), 16), homesPerStream)
}

// sendRecords sends the streams whose version does not follow from the tables to their homes.
func (k *Keeper) sendRecords(ctx context.Context) {
	batches := k.recordsToSend(time.Now())
	for address, records := range batches {
		for chunk := range slices.Chunk(records, maxRecords) {
			go k.sendBatch(ctx, address, chunk)
		}
	}
}

// recordsToSend returns the records that are due, by the addresses of the VMs to which they go.
func (k *Keeper) recordsToSend(now time.Time) map[string][]Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requeueChanged(now)
	if len(k.unsent) == 0 {
		return nil
	}
	batches := map[string][]Record{}
	var members []membership.Member
	for _, key := range k.unsent {
		s := k.memory.find(key, now)
		if s == nil || s.sent || s.from != "" || k.group(s.group).followsForAll(key, s.version, now) {
			continue
		}
		s.sent = true
		if k.group(s.group).row != nil {
			k.journal.add(key)
		}
		if members == nil {
			members = k.cfg.Members()
		}
		for _, home := range homesOf(members, key) {
			if home.ID != k.cfg.Self {
				batches[home.PeerAddress] = append(batches[home.PeerAddress], Record{Key: key, Group: s.group, Version: s.version, Left: s.until.Sub(now)})
			}
		}
	}
	k.unsent = nil
	return batches
}

// requeueChanged checks all streams of a group again when its tables or their validity have changed. k.mu is held.
func (k *Keeper) requeueChanged(now time.Time) {
	changed := map[string]bool{}
	for name, g := range k.groups {
		if stage := g.stage(now); stage != k.stages[name] {
			k.stages[name] = stage
			changed[name] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, key := range k.memory.order {
		if changed[k.memory.streams[key].group] {
			k.unsent = append(k.unsent, key)
		}
	}
}

// sendBatch sends records to a VM. If that fails, the other homes have them.
func (k *Keeper) sendBatch(ctx context.Context, address string, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var reply RecordReply
	if err := k.cfg.PeerClient.Call(ctx, address, ServiceName+".Record", &RecordArgs{From: k.cfg.Self, Records: records}, &reply); err != nil {
		k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "streams_not_sent", "address": address, "streams": len(records)}).Info("could not send records of streams to one of their homes")
	}
}

// askHomes asks the homes of a stream for its version; nil if none knows it.
func (k *Keeper) askHomes(ctx context.Context, key Key) *Decision {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	homes := homesOf(k.cfg.Members(), key)
	found := make(chan *Decision, len(homes))
	for _, home := range homes {
		go func() {
			var reply LookupReply
			if home.ID == k.cfg.Self || k.cfg.PeerClient.Call(ctx, home.PeerAddress, ServiceName+".Lookup", &LookupArgs{Key: key}, &reply) != nil || !reply.Known {
				found <- nil
				return
			}
			found <- &Decision{Version: reply.Version, Source: home.ID}
		}()
	}
	for range homes {
		if d := <-found; d != nil {
			return d
		}
	}
	return nil
}

// Service is the net/rpc service of a Keeper.
type Service struct{ keeper *Keeper }

// Service returns the service to register with net/rpc under ServiceName.
func (k *Keeper) Service() *Service { return &Service{k} }

var errRecord = errors.New("malformed record of a stream")

// Record remembers streams of another VM.
func (s *Service) Record(args *RecordArgs, _ *RecordReply) error {
	if len(args.Records) > maxRecords {
		return errRecord
	}
	k := s.keeper
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range args.Records {
		if len(r.Version) > maxVersionBytes || len(r.Group) > maxVersionBytes || r.Left > time.Hour {
			return errRecord
		}
		k.memory.add(r.Key, stream{group: r.Group, version: r.Version, until: now.Add(r.Left), from: args.From}, now)
	}
	return nil
}

// Lookup returns the version of a stream, if this VM remembers it.
func (s *Service) Lookup(args *LookupArgs, reply *LookupReply) error {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if found := k.memory.find(args.Key, time.Now()); found != nil && !found.conflict {
		reply.Known, reply.Version = true, found.version
	}
	return nil
}
