package live

import (
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/delay"
)

// Partition implements cluster.Cluster.
func (c *Cluster) Partition(i, j int) { c.peerGate(i, j).Close() }

// HealPartition implements cluster.Cluster.
func (c *Cluster) HealPartition(i, j int) { c.peerGate(i, j).Open() }

func (c *Cluster) peerGate(i, j int) *delay.Gate {
	return c.net.pairGate(c.entries[i].cfg.InternalAddress, c.entries[j].cfg.InternalAddress)
}

// SnapshotStore implements cluster.Cluster.
func (c *Cluster) SnapshotStore() (restore func()) {
	s := c.store.Snapshot()
	return func() { c.store.Restore(s) }
}

// StoreCalls implements cluster.Cluster.
func (c *Cluster) StoreCalls() (n cluster.StoreCalls) {
	for call, count := range c.store.CallCounts() {
		switch call {
		case memstore.CallGet, memstore.CallList, memstore.CallWatch:
			n.Reads += count
		default:
			n.Writes += count
		}
	}
	n.Watches = c.store.PendingWatches()
	return n
}
