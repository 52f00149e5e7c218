package jobmanager

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// workersPerRelay is the number of workers that one relay serves for a pool.
	workersPerRelay = 16
	// minRelayedWorkers is the size from which a pool uses relays. The owner of a smaller pool calls its workers itself.
	minRelayedWorkers = 2 * workersPerRelay
	// relayAssignInterval is the time after which workers are assigned to relays again although none has changed.
	relayAssignInterval = 500 * time.Millisecond
	// directPeriod is how long the owner itself calls a worker after a call through a relay had no answer. The failure
	// may be that of the relay or of its path to the worker.
	directPeriod = 5 * time.Second
)

// RelayNode is a node that can call workers for the owner of a shard.
type RelayNode struct {
	Node string
	Zone string
}

// Relays lists the nodes that can call workers for this node.
type Relays interface {
	Candidates() []RelayNode
}

// assignRelays assigns the workers of a pool to relays and returns the relay of each worker. The result is empty for a
// small pool.
//
// A worker is assigned to a relay in its own zone if there is one. Rendezvous hashing keeps the assignment of most
// workers when workers or relays come and go, so that connections are reused.
func assignRelays(pool string, workers []job.WorkerInfo, nodes []RelayNode) map[string]string {
	if len(workers) < minRelayedWorkers || len(nodes) == 0 {
		return nil
	}
	workersIn := make(map[string]int)
	for _, w := range workers {
		workersIn[w.Zone]++
	}
	relays := make(map[string][]string)
	for zone, n := range workersIn {
		relays[zone] = zoneRelays(pool, zone, (n+workersPerRelay-1)/workersPerRelay, nodes)
	}
	out := make(map[string]string, len(workers))
	for _, w := range workers {
		out[w.ID] = slices.MaxFunc(relays[w.Zone], func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(w.ID+"/"+a), xxhash.Sum64String(w.ID+"/"+b))
		})
	}
	return out
}

// zoneRelays chooses up to n nodes of a zone as relays of a pool. If the zone has no node, it chooses among all.
func zoneRelays(pool, zone string, n int, nodes []RelayNode) []string {
	var names []string
	for _, r := range nodes {
		if r.Zone == zone {
			names = append(names, r.Node)
		}
	}
	if len(names) == 0 {
		for _, r := range nodes {
			names = append(names, r.Node)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(pool+"/"+a), xxhash.Sum64String(pool+"/"+b))
	})
	return names[:min(n, len(names))]
}

// relayCandidates returns the nodes that can be relays of this node's pools. Nodes that own pools are excluded, because
// their processor time is needed for those.
func (n *Node) relayCandidates() []RelayNode {
	if n.relays == nil {
		return nil
	}
	candidates := n.relays.Candidates()
	owners := n.poolOwners()
	return slices.DeleteFunc(candidates, func(r RelayNode) bool { return owners[r.Node] })
}

// poolOwners returns the nodes that own a shard in use.
func (n *Node) poolOwners() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool)
	for number, member := range n.owners {
		if node, _, err := splitMember(member); err == nil && n.isUsed(number) {
			out[node] = true
		}
	}
	return out
}

// assignPoolRelays assigns the workers of a pool to relays.
func (s *shard) assignPoolRelays(pool string, workers []job.WorkerStatus) {
	infos := make([]job.WorkerInfo, len(workers))
	for i, w := range workers {
		infos[i] = w.Info
	}
	relays := assignRelays(pool, infos, s.node.relayCandidates())
	for _, w := range infos {
		if l := s.links[w.ID]; l != nil {
			l.relay = relays[w.ID]
		}
	}
}
