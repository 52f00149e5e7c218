package jobmanager

import (
	"net"
	"slices"
	"strings"

	"github.com/berylwharf/berylwharf/apikey"
)

// configIndex holds what lookups in a version of the configuration need, so that none of them scans the routes or the keys.
type configIndex struct {
	hosts  map[string]*prefixIndex // by host in lower case
	queues []QueueRef              // one for each route
	routed map[queueKey]bool
	keys   *apikey.Table
}

// prefixIndex finds the longest path prefix of a path among the routes of a host.
type prefixIndex struct {
	entries []prefixEntry // sorted by prefix, which are distinct
}

// prefixEntry is a path prefix. Parent is the index of its longest proper prefix among the entries, or -1.
type prefixEntry struct {
	prefix string
	parent int
	route  *Route
}

// index returns the index of the configuration. The first call builds it; the routes and customers must not change after it.
func (c *Config) index() *configIndex {
	c.indexOnce.Do(func() { c.built = newConfigIndex(c) })
	return c.built
}

func newConfigIndex(c *Config) *configIndex {
	x := &configIndex{
		hosts: make(map[string]*prefixIndex), queues: make([]QueueRef, 0, len(c.Routes)), routed: make(map[queueKey]bool, len(c.Routes)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		ref := c.Ref(r)
		x.queues = append(x.queues, ref)
		x.routed[queueKey{ref.Pool, ref.Address}] = true
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = &prefixIndex{}
		}
		x.hosts[host].entries = append(x.hosts[host].entries, prefixEntry{prefix: r.PathPrefix, parent: -1, route: r})
	}
	for _, p := range x.hosts {
		p.link()
	}
	customers := make([]apikey.Customer, len(c.Customers))
	for i, customer := range c.Customers {
		customers[i] = apikey.Customer{Name: customer.Name, Keys: customer.Keys}
	}
	x.keys = apikey.NewTable(customers)
	return x
}

// link sorts the entries and sets their parents. Of several routes with the same prefix, the first one counts.
func (p *prefixIndex) link() {
	slices.SortStableFunc(p.entries, func(a, b prefixEntry) int { return strings.Compare(a.prefix, b.prefix) })
	p.entries = slices.CompactFunc(p.entries, func(a, b prefixEntry) bool { return a.prefix == b.prefix })
	for i := range p.entries {
		parent := i - 1
		for parent >= 0 && !strings.HasPrefix(p.entries[i].prefix, p.entries[parent].prefix) {
			parent = p.entries[parent].parent
		}
		p.entries[i].parent = parent
	}
}

// match returns the route with the longest prefix of a path, or nil. All prefixes of the path are at or before its place in
// the order, and every entry between the longest one and that place begins with it, so the parents lead there.
func (p *prefixIndex) match(path string) *Route {
	i, found := slices.BinarySearchFunc(p.entries, path, func(e prefixEntry, path string) int { return strings.Compare(e.prefix, path) })
	if !found {
		i--
	}
	for i >= 0 && !strings.HasPrefix(path, p.entries[i].prefix) {
		i = p.entries[i].parent
	}
	if i < 0 {
		return nil
	}
	return p.entries[i].route
}

// MatchRoute returns the route that matches the host, with or without a port, and has the longest matching path prefix, or
// nil.
func (c *Config) MatchRoute(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	p := c.index().hosts[strings.ToLower(host)]
	if p == nil {
		return nil
	}
	return p.match(path)
}

// Keys returns the table of the customers' API keys.
func (c *Config) Keys() *apikey.Table { return c.index().keys }

// routes reports whether the configuration routes a queue to a pool.
func (c *Config) routes(address, pool string) bool { return c.index().routed[queueKey{pool, address}] }

// queuesOf returns the queues that a version of the configuration routes to pools of a shard.
func (n *Node) queuesOf(c *Config, shard int) []QueueRef {
	byShard := n.shardQueues.Load()
	if byShard == nil || byShard.config != c {
		// The version was applied in between, or by other means than applyConfig.
		byShard = n.groupQueues(c)
	}
	return byShard.queues[shard]
}

// shardQueues holds the queues of a version of the configuration by the shard of their pools.
type shardQueues struct {
	config *Config
	queues map[int][]QueueRef
}

func (n *Node) groupQueues(c *Config) *shardQueues {
	out := &shardQueues{config: c, queues: make(map[int][]QueueRef)}
	for _, ref := range c.index().queues {
		number := n.shardOf(ref.Pool)
		out.queues[number] = append(out.queues[number], ref)
	}
	return out
}
