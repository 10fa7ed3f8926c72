package rollout

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/bundletest"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// TestMain fixes the seed of property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var (
	testKey   = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	otherKey  = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	testTrust = bundle.Trust{Signers: []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}, Required: 1}
)

// signed returns a signed envelope of a bundle that follows previous.
func signed(t testing.TB, key ed25519.PrivateKey, version uint64, previous, extra string) *bundle.Envelope {
	t.Helper()
	head := fmt.Sprintf("[bundle]\nversion = %d\n", version)
	if previous != "" {
		head += "previous = " + previous + "\n"
	}
	b, err := bundle.Parse(bundle.Source{Name: "b", Data: []byte(head + bundletest.Text(3) + extra)})
	require.NoError(t, err)
	e, err := bundle.Seal(b)
	require.NoError(t, err)
	e.Sign(key)
	return e
}

// chain returns n versions, each of which follows the one before.
func chain(t testing.TB, n int) []*bundle.Envelope {
	var list []*bundle.Envelope
	previous := ""
	for i := range n {
		e := signed(t, testKey, uint64(i+1), previous, fmt.Sprintf("[model m%d]\n", i))
		previous = e.Hash()
		list = append(list, e)
	}
	return list
}

// fakeStore is a table and an object store in memory.
type fakeStore struct {
	mu      sync.Mutex
	next    uint64
	rows    map[string]platform.Row
	objects map[string][]byte
	// down makes every call fail.
	down bool
	// beforeCommit is called once, without the lock, before the next commit.
	beforeCommit func()
	// lose makes the next commit answer ErrUnknown; it takes effect if applied is set.
	lose, applied bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func (s *fakeStore) store() Store { return Store{Table: s, Objects: fakeObjects{s}} }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := s.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (s *fakeStore) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	if hook := s.beforeCommit; hook != nil {
		s.beforeCommit = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose {
		s.lose = false
		if s.applied {
			_, _ = s.apply(txn)
		}
		return 0, platform.ErrUnknown
	}
	return s.apply(txn)
}

func (s *fakeStore) apply(txn platform.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	s.next++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Version: s.next, Attempt: txn.Attempt, Value: w.Value}
	}
	return s.next, nil
}

type fakeObjects struct{ *fakeStore }

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, platform.ErrUnavailable
	}
	data, ok := o.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

func (o fakeObjects) PutIfAbsent(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.objects[name]; ok {
		return platform.ErrConflict
	}
	o.objects[name] = data
	return nil
}

// accept accepts the envelope or fails the test.
func (s *fakeStore) accept(t testing.TB, e *bundle.Envelope) Pointer {
	t.Helper()
	p, err := s.store().Accept(t.Context(), Acceptance{Trust: testTrust, Envelope: e.Marshal(), By: "op"})
	require.NoError(t, err)
	return p
}

// fakeFleet connects followers by address and is their view of the fleet.
type fakeFleet struct {
	mu        sync.Mutex
	followers map[string]*Follower
	bytes     int
}

func newFakeFleet() *fakeFleet { return &fakeFleet{followers: map[string]*Follower{}} }

// add starts nothing; it makes a follower that the others can reach.
func (n *fakeFleet) add(address string, store Store) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := NewFollower(Config{
		Store: store, Peers: n, View: fakeView{n, address}, Trust: testTrust,
		Log: log, Rand: rand.New(rand.NewPCG(1, uint64(len(n.followers)))),
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.followers[address] = f
	return f
}

// Call implements peer.Client.
func (n *fakeFleet) Call(_ context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	f := n.followers[address]
	n.mu.Unlock()
	if f == nil {
		return peer.ErrRefused
	}
	if method == announceMethod {
		return f.Service().Announce(args.(Announcement), &struct{}{})
	}
	err := f.Service().Fetch(args.(FetchArgs), reply.(*FetchReply))
	var wire bytes.Buffer
	_ = gob.NewEncoder(&wire).Encode(reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += wire.Len()
	return err
}

type fakeView struct {
	fleet *fakeFleet
	self  string
}

func (v fakeView) Self() membership.Member {
	return membership.Member{ID: v.self, PeerAddress: v.self}
}

func (v fakeView) Members() []membership.Member { return v.Live() }

func (v fakeView) Live() []membership.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var list []membership.Member
	for address, f := range v.fleet.followers {
		list = append(list, membership.Member{ID: address, PeerAddress: address, BundleVersion: f.Version()})
	}
	slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

const testTime = 10 * time.Second

func pointerRow(p Pointer) platform.Row {
	value, _ := json.Marshal(p)
	return platform.Row{Key: PointerKey, Version: 1, Value: value}
}

// Generation implements platform.Table. The fake has no generations.
func (s *fakeStore) Generation() uint64 { return 0 }
