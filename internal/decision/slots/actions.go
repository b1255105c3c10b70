package slots

import "github.com/cardamomturn/cardamomturn/internal/decision/ident"

// Action is an action that the caller of the Machine has to carry out: SendGrants
// or Recall.
type Action interface{ action() }

// SendGrants asks the caller to send the result of TakeGrants to an entry instance.
type SendGrants struct{ Entry ident.Process }

// Recall asks the caller to request up to Count idle credits back from an entry
// instance. The caller passes the returned credits to ReturnCredits, or none if
// the request failed.
type Recall struct {
	Entry ident.Process
	Count int
}

func (SendGrants) action() {}
func (Recall) action()     {}

// Actions returns the queued actions and empties the queue.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}
