package replay

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// dispatchAdapter adapts dispatch.Machine to DispatchMachine.
type dispatchAdapter struct{ *dispatch.Machine }

func (m dispatchAdapter) Attach(now time.Duration, sidecar wire.Peer, backend *wire.Backend) {
	m.Machine.Attach(now, dispatch.Worker{Sidecar: sidecar, Backend: backend})
}

func (m dispatchAdapter) Actions() []DispatchAction {
	var out []DispatchAction
	for _, a := range m.Machine.Actions() {
		switch a := a.(type) {
		case dispatch.Dispatch:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, Dispatch: a.Starts})
		case dispatch.Fence:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, Fence: a.Starts})
		case dispatch.SendDemand:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, SendDemand: true})
		case dispatch.ReturnCredits:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, ReturnCredits: a.Credits})
		case dispatch.Answered:
			a.Answer.SubmissionID = a.ID
			out = append(out, DispatchAction{Answered: &a.Answer})
		}
	}
	return out
}

// slotsAdapter adapts slots.Machine to SlotsMachine.
type slotsAdapter struct{ *slots.Machine }

func (m slotsAdapter) Actions() []SlotsAction {
	var out []SlotsAction
	for _, a := range m.Machine.Actions() {
		switch a := a.(type) {
		case slots.SendGrants:
			out = append(out, SlotsAction{Entry: a.Entry})
		case slots.Recall:
			out = append(out, SlotsAction{Entry: a.Entry, RecallCount: a.Count})
		}
	}
	return out
}

// productionMachines returns factories of the machines that the real processes use.
func productionMachines(d load.Deployment) MachineFactories {
	zone := func(p ident.Process) string { return d.Zone(int(p.Instance[len(p.Instance)-1] - '0')) }
	return MachineFactories{
		NewDispatch: func(self ident.Process, seed uint64) DispatchMachine {
			cfg := dispatch.Config{Self: self, Zone: zone(self)}
			m := dispatch.New(cfg, rand.New(rand.NewSource(int64(seed))))
			m.SetWindow(0, submissionWindow)
			return dispatchAdapter{m}
		},
		NewSlots: func(self ident.Process, seed uint64) SlotsMachine {
			cfg := slots.Config{Self: self, Zone: zone(self)}
			m := slots.New(cfg, rand.New(rand.NewSource(int64(seed))))
			return slotsAdapter{m}
		},
	}
}
