package broker

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// knowsCrash reports whether an entry instance remembers a crash under a job.
func knowsCrash(b *Broker, job string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.machine.Crashes() {
		if r.Tasks[0].Job == job {
			return true
		}
	}
	return false
}

// Guards against an entry instance that starts a task again because the sidecar that has seen
// the crash is not attached to it, or because it has started after the crash.
func TestCrashSpreads(t *testing.T) {
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
	heartbeat := &wire.RunnerHeartbeat{Info: wire.WorkerInfo{Sidecar: replyPeer}, Load: wire.Load{Version: 1},
		Crashes: []wire.CrashRecord{{Sidecar: "side", Incarnation: 3, Tasks: []work.TaskID{{Job: "a"}}}}}
	if err := (&rpcService{all[0]}).Beat(heartbeat, &wire.RunnerHeartbeatReply{}); err != nil {
		t.Fatal(err)
	}
	late := startPeers(t, 1)[0]
	late.AddPeer(all[1].Address())
	for _, b := range append(all, late) {
		eventually(t, "every instance knows the crash", func() bool { return knowsCrash(b, "a") })
	}
}
