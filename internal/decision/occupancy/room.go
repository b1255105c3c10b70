package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Room is the part of a load summary about the room for further runs, in thousandths of a core.
type Room struct{ Capacity, Free, Queued int64 }

// RoomIn returns the room in a load summary.
func RoomIn(l *wire.Load) Room {
	room := Room{Capacity: l.Capacity.MilliCPU, Free: l.Free.MilliCPU}
	for _, queued := range l.QueuedMilliCPU {
		room.Queued += queued
	}
	return room
}

// Room returns the present room, as Load would report it.
func (m *Machine) Room(now time.Duration) Room {
	room := Room{Capacity: m.worker.Capacity.MilliCPU, Free: m.free(now).MilliCPU}
	for _, r := range m.queue.runs {
		room.Queued += r.Need.MilliCPU
	}
	return room
}

const (
	// fullDivisor and freedDivisor divide the capacity: a worker is full with less free room than
	// the one part, and has room again with at least the other.
	fullDivisor  = 8
	freedDivisor = 4
)

// FreedSince reports whether the worker has room again, while it was full or had queued runs in
// the reported summary. An entry instance that has no runs at the worker hears nothing else of
// this until the next heartbeat, and refuses jobs for which there is room.
func (r Room) FreedSince(reported Room) bool {
	wasFull := reported.Queued > 0 || reported.Free < reported.Capacity/fullDivisor
	return wasFull && r.Available()
}

// Available reports whether there is room for further runs.
func (r Room) Available() bool {
	return r.Queued == 0 && r.Free > 0 && r.Free >= r.Capacity/freedDivisor
}
