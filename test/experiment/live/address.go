package live

import "github.com/cardamomturn/cardamomturn/test/loopback"

// freeAddress returns a loopback address for a process that starts later.
func freeAddress() (string, error) {
	a, err := loopback.Addresses(1)
	if err != nil {
		return "", err
	}
	return a[0], nil
}
