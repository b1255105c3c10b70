package slots

import "github.com/cardamomturn/cardamomturn/internal/decision/ident"

// Action is something that the runtime has to do: SendGrants or Recall.
type Action interface{ action() }

// SendGrants asks to deliver the result of Grants to the entry instance.
type SendGrants struct{ Entry ident.Process }

// Recall asks the entry instance for idle credits. The runtime reports the
// reply, or the failure as an empty reply, through Returned.
type Recall struct {
	Entry ident.Process
	Count int
}

func (SendGrants) action() {}
func (Recall) action()     {}

// Actions drains the queued actions.
func (m *Machine) Actions() []Action {
	a := m.actions
	m.actions = nil
	return a
}
