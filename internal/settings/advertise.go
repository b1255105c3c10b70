package settings

// Advertised returns the internal address as other processes reach it.
func (e *Entry) Advertised() string { return either(e.AdvertiseAddress, e.InternalAddress) }

// Advertised returns the internal address as other processes reach it.
func (s *Sidecar) Advertised() string { return either(s.AdvertiseAddress, s.InternalAddress) }

func either(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
