package main

import (
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

// newCluster fails until cluster.Cluster is implemented over the runtimes.
func newCluster(cluster.Options) (cluster.Cluster, error) {
	return nil, errors.NotImplementedf("cluster over the entry and sidecar runtimes")
}
