package main

import (
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/live"
)

// newCluster starts a cluster of the real entry and sidecar runtimes.
func newCluster(o cluster.Options) (cluster.Cluster, error) {
	return live.New(o)
}
