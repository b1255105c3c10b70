package ingress

import "testing"

// Guards against bounds that exceed what the process may use, and against a budget in which the
// largest request has no room.
func TestBounds(t *testing.T) {
	const largest = 4 << 20
	for _, r := range []Resources{{}, {MemoryMB: 96}, {MemoryMB: 152, Descriptors: 256}, {MemoryMB: 284}, {Descriptors: 64}} {
		clients, internal := r.ClientBounds(largest), r.InternalBounds(largest)
		full := r.withDefaults()
		if memory := clients.Bytes + internal.Bytes + int64(clients.Connections+internal.Connections)*connBytes; memory > int64(full.MemoryMB)<<20*2/3 {
			t.Errorf("%+v: %d bytes", r, memory)
		}
		if n := clients.Connections + internal.Connections; n >= full.Descriptors {
			t.Errorf("%+v: %d connections of %d descriptors", r, n, full.Descriptors)
		}
		if clients.Bytes-clients.Reserve < largest || internal.Bytes-internal.Reserve < largest {
			t.Errorf("%+v: no room for the largest request: %+v, %+v", r, clients, internal)
		}
	}
}
