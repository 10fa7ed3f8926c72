package rollout

import (
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

// ServiceName is the name under which a VM registers its Service for peers.
const ServiceName = "Bundle"

const (
	fetchMethod    = ServiceName + ".Fetch"
	announceMethod = ServiceName + ".Announce"
)

// errNoBundle says that the VM has no bundle yet.
var errNoBundle = errors.New("rollout: no bundle yet")

// FetchArgs asks a peer for its bundle.
type FetchArgs struct {
	// Have is the version that the asking VM holds, and HaveHash its hash; zero if none.
	Have     uint64
	HaveHash string
}

// FetchReply is the bundle that a peer holds.
type FetchReply struct {
	Version uint64
	// Changes lead from the asking VM's bundle to the peer's. They are empty if Whole is set, or if
	// the peer holds no later version.
	Changes []Change
	// Whole is the envelope, compressed with zstd.
	Whole []byte
}

// Announcement tells a peer of a version that the sender holds.
type Announcement struct {
	Version uint64
	// Address is the sender's peer address.
	Address string
}

// Service answers peers.
type Service struct {
	follower *Follower
}

// Fetch returns the changes since the asking VM's bundle, or the whole bundle.
func (s *Service) Fetch(args FetchArgs, reply *FetchReply) error {
	h := s.follower.held.Load()
	if h == nil {
		return errNoBundle
	}
	reply.Version = h.bundle.Version
	if args.Have >= h.bundle.Version {
		return nil
	}
	reply.Changes = h.since(args.HaveHash)
	if reply.Changes == nil {
		reply.Whole = compress(h.envelope.Marshal())
	}
	return nil
}

// Announce takes in word of a later version.
func (s *Service) Announce(args Announcement, _ *struct{}) error {
	s.follower.hear(args)
	return nil
}

func compress(data []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil
	}
	defer encoder.Close()
	return encoder.EncodeAll(data, nil)
}

func decompress(data []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(bundle.MaxEnvelopeBytes))
	if err != nil {
		return nil, errors.Wrap(err, "zstd")
	}
	defer decoder.Close()
	out, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress bundle")
	}
	return out, nil
}
