package broker

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/queues"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// noStore is a source that never answers. The text of a configuration is its version.
type noStore struct{}

func (noStore) Read(ctx context.Context) (*queues.Config, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (noStore) Watch(ctx context.Context, _ uint64) (*queues.Config, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (noStore) Decode(text []byte) (*queues.Config, error) {
	version, err := strconv.ParseUint(string(text), 10, 64)
	return &queues.Config{Version: version, Encoded: text}, err
}

// startPeers starts n entry instances without a store. Each knows the address of the
// one before it.
func startPeers(t *testing.T, n int) []*Broker { return startPeersWith(t, n, Config{}) }

// startPeersWith is startPeers with the settings of cfg that do not differ between the instances.
func startPeersWith(t *testing.T, n int, cfg Config) []*Broker {
	t.Helper()
	var all []*Broker
	for i := range n {
		config := queues.NewController(noStore{})
		cfg.Instance, cfg.Zone, cfg.InternalAddress, cfg.Seed = fmt.Sprint("entry-", i), "z", "127.0.0.1:0", 1
		if i > 0 {
			cfg.PeerAddresses = []string{all[i-1].Address()}
		}
		b, err := New(cfg, config, nil)
		if err != nil {
			t.Fatal(err)
		}
		config.OnChange = func(*queues.Table) { b.ConfigChanged() }
		ended := make(chan error, 1)
		go func() { ended <- b.Run() }()
		t.Cleanup(func() {
			b.Close()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		all = append(all, b)
	}
	return all
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

func numMembers(b *Broker) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.members.members)
}

// TestPeers guards against entry instances that don't find each other through one they
// know, against a configuration that does not reach an instance without a store, and
// against exchanges with all peers at a time.
func TestPeers(t *testing.T) {
	const n = 16
	all := startPeers(t, n)
	eventually(t, "all instances list all", func() bool {
		for _, b := range all {
			if numMembers(b) != n {
				return false
			}
		}
		return true
	})
	lists := map[uint64]bool{}
	for _, b := range all {
		b.mu.Lock()
		lists[b.members.hash] = true
		if next := b.nextPeers(time.Now()); len(next) > exchangesPerRound {
			t.Errorf("%d exchanges in a round", len(next))
		}
		b.mu.Unlock()
	}
	if len(lists) != 1 {
		t.Errorf("equal lists have %d different hashes", len(lists))
	}
	for version := range uint64(3) {
		all[version].config.Apply(&queues.Config{Version: version + 1, Encoded: []byte(strconv.FormatUint(version+1, 10))}, "test")
		eventually(t, "the configuration everywhere", func() bool {
			for _, b := range all {
				if b.config.Version() != version+1 {
					return false
				}
			}
			return true
		})
	}
}

// TestCloseDuringStart guards against an instance that starts goroutines while Close waits for them, or
// after it has.
func TestCloseDuringStart(t *testing.T) {
	for range 20 {
		b := startPeers(t, 1)[0]
		b.Close()
		b.startExchangeRounds()
		b.wg.Wait()
	}
}

// TestPeersTakeTurns guards against a peer with which no versions are exchanged for long,
// and against garbage addresses that are contacted or listed.
func TestPeersTakeTurns(t *testing.T) {
	b := startPeers(t, 1)[0]
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range []string{"", "garbage", "1.2.3.4", "1.2.3.4:99999", b.self.Address} {
		if b.addPeer(wire.Peer{Address: address}); len(b.peers) > 0 {
			t.Fatalf("address %q is a peer", address)
		}
	}
	for i := range 30 {
		p := newPeer(wire.Peer{Address: fmt.Sprintf("192.0.2.%d:1", i)})
		b.peers[p.member.Address] = p
	}
	turns := map[*peer]int{}
	const cycles = 5
	for range cycles * 30 / exchangesPerRound {
		for _, p := range b.nextPeers(time.Now()) {
			turns[p]++
		}
	}
	for _, p := range b.peers {
		if turns[p] < cycles-1 || turns[p] > cycles+1 {
			t.Errorf("%d turns in %d cycles", turns[p], cycles)
		}
	}
	clear(b.peers)
}
