package placement

import "github.com/cardamomturn/cardamomturn/internal/wire"

// almostFull is the used part of a rack's processor capacity from which only tasks that gain
// take room there.
const almostFull = 0.8

// isContended reports whether tasks wait for a rack or runs hold or queue for almostFull of its
// capacity, and the rack is fuller than the others by more than the remote factor, by which a
// run on another rack takes more processor time.
func (m *Machine) isContended(rack rackKey) bool {
	var near, away usage
	for _, w := range m.pools[rack.service].workers {
		switch {
		case !w.usable():
		case w.info.Rack == rack.rack:
			near.add(w)
		default:
			away.add(w)
		}
	}
	return (len(m.rackWaits[rack]) > 0 || near.share() >= almostFull) && near.share() > m.cfg.RemoteFactor*away.share()
}

// usage is the processor capacity of workers and the part that runs hold or queue for, in
// thousandths of a core.
type usage struct{ capacity, wanted int64 }

func (u *usage) add(w *worker) {
	u.capacity += w.load.Capacity.MilliCPU
	u.wanted += w.load.Capacity.MilliCPU - w.load.Free.MilliCPU + w.queuedUpTo(wire.NumRanks-1)
}

func (u *usage) share() float64 { return float64(u.wanted) / float64(max(u.capacity, 1)) }
