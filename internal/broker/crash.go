package broker

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxUntold bounds the crashes that wait for a round of exchanges. The oldest are left
	// out: peers hear of most crashes from the sidecars.
	maxUntold = 64
	// compareTime is the time from the start, and from the newest crash, for which exchanges
	// compare what the peers remember. Instances that remember too much to send it in one reply
	// would otherwise send a part of it with each exchange.
	compareTime = 10 * time.Second
	// maxCrashesInReply bounds the crashes for an entry instance that remembers others.
	maxCrashesInReply = 64
)

// tellPeers passes crashes on to the peers of the next two rounds of exchanges, the first of
// which begins at once; mu is held. Every instance does so once with each crash, so that most
// hear of it at once, and the others by the hash in a later exchange.
func (b *Broker) tellPeers(records []crashes.Record) {
	for _, r := range records {
		event.LogRateLimited(event.CrashLearned, "sidecar", r.Sidecar, "born", r.Incarnation, "tasks", len(r.Tasks), "uncertain", len(r.Uncertain), "ageMs", (clock.SinceBoot() - r.At).Milliseconds())
	}
	b.untold = append(b.untold, records...)
	b.untold = b.untold[max(0, len(b.untold)-maxUntold):]
	b.compareUntil = clock.SinceBoot() + compareTime
	b.startRound()
}

// nextUntold returns the crashes for the peers of a round; mu is held.
func (b *Broker) nextUntold() []crashes.Record {
	next := slices.Concat(b.toldOnce, b.untold)
	b.toldOnce, b.untold = b.untold, nil
	return next
}

// crashesFor returns the newest of the remembered crashes for a peer that compares them, unless
// it remembers the same; mu is held.
func (b *Broker) crashesFor(req *wire.ConfigExchangeRequest) []wire.CrashRecord {
	if !req.CompareCrashes || b.machine.CrashesHash() == req.CrashesHash {
		return nil
	}
	all := b.machine.Crashes()
	return wire.NewCrashRecords(clock.SinceBoot(), crashes.Newest(all[max(0, len(all)-maxCrashesInReply):]))
}

// recordCrashes records the crashes in a message; mu is held.
func (b *Broker) recordCrashes(now time.Duration, list []wire.CrashRecord) {
	if len(list) == 0 {
		return
	}
	records := make([]crashes.Record, len(list))
	for i := range list {
		records[i] = list[i].Record(now)
	}
	b.machine.RecordCrashes(now, records)
}
