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

// dispatcher adapts dispatch.Machine to the driver.
type dispatcher struct{ *dispatch.Machine }

func (m dispatcher) Attach(now time.Duration, sidecar wire.Peer, backend *wire.Backend) {
	m.Machine.Attach(now, dispatch.Worker{Sidecar: sidecar, Backend: backend})
}

func (m dispatcher) Actions() []DispatchAction {
	var out []DispatchAction
	for _, a := range m.Machine.Actions() {
		switch a := a.(type) {
		case dispatch.Dispatch:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, Starts: a.Starts})
		case dispatch.Fence:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, Fence: a.Starts})
		case dispatch.SendDemand:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, TellDemand: true})
		case dispatch.ReturnCredits:
			out = append(out, DispatchAction{Sidecar: a.Sidecar, Return: a.Credits})
		case dispatch.Answered:
			a.Answer.SubmissionID = a.ID
			out = append(out, DispatchAction{Answered: &a.Answer})
		}
	}
	return out
}

// slotMachine adapts slots.Machine to the driver.
type slotMachine struct{ *slots.Machine }

func (m slotMachine) Actions() []SlotsAction {
	var out []SlotsAction
	for _, a := range m.Machine.Actions() {
		switch a := a.(type) {
		case slots.SendGrants:
			out = append(out, SlotsAction{Entry: a.Entry})
		case slots.Recall:
			out = append(out, SlotsAction{Entry: a.Entry, Recall: a.Count})
		}
	}
	return out
}

// realMachines makes the machines of the deployed processes.
func realMachines(d load.Deployment) Machines {
	zone := func(p ident.Process) string { return d.Zone(int(p.Instance[len(p.Instance)-1] - '0')) }
	return Machines{
		Dispatcher: func(self ident.Process, seed uint64) Dispatcher {
			cfg := dispatch.Config{Self: self, Zone: zone(self)}
			m := dispatch.New(cfg, rand.New(rand.NewSource(int64(seed))))
			m.SetWindow(0, window)
			return dispatcher{m}
		},
		Slots: func(self ident.Process, seed uint64) Slots {
			cfg := slots.Config{Self: self, Zone: zone(self)}
			m := slots.New(cfg, rand.New(rand.NewSource(int64(seed))))
			return slotMachine{m}
		},
	}
}
