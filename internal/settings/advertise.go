package settings

// AdvertisedAddress returns the address at which other processes connect to
// InternalAddress.
func (e *Entry) AdvertisedAddress() string {
	return firstNonEmpty(e.AdvertiseAddress, e.InternalAddress)
}

// AdvertisedAddress returns the address at which other processes connect to
// InternalAddress.
func (s *Sidecar) AdvertisedAddress() string {
	return firstNonEmpty(s.AdvertiseAddress, s.InternalAddress)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
