package jobmanager

import (
	"strings"
	"testing"
)

const goodSettings = `{ // comments are permitted
	"node": "n", "zone": "z", "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peers": "10.0.0.1:3", "admin": "10.0.0.1:4",
	"peerKey": "a key of sixteen", "store": "10.0.0.2:1", "machines": "10.0.0.2:2", "shards": 32, "later": true,
	"bounds": {"maxLeaseMs": 6000, "graceS": 6, "statusS": 120, "rackFactor": 1.5, "orderLeaseMs": 3000},
}`

// TestSettings guards against invalid settings that are accepted and cause a failure later.
func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "n" || s.Shards != 32 || s.Limits.CrossRackFactor != 1.5 {
		t.Errorf("%+v", s)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"node": "n"`, `"node": ""`, "node"},
		{`"store": "10.0.0.2:1"`, `"store": "nowhere"`, "store"},
		{`"shards": 32`, `"shards": 0`, "shards"},
		{`"maxLeaseMs": 6000`, `"maxLeaseMs": 1`, "maxLeaseMs"},
		{`"graceS": 6`, `"graceS": 0`, "graceS"},
		{`"shards": 32`, `"shards": "many"`, "shards"},
		{`"shards": 32`, `"shards": 32, "connections": {"memoryMB": 7}`, "connections.memoryMB"},
		{`"shards": 32`, `"shards": 32, "memoryMB": 184, "connections": {"memoryMB": 93}`, "connections.memoryMB"},
		{`"shards": 32`, `"shards": 32, "memoryMB": 47`, "memoryMB"},
		{`"shards": 32`, `"shards": 32, "maxFDs": 255`, "maxFDs"},
		{`"maxLeaseMs": 6000`, `"maxLeaseMs": 6000, "recordBytes": 100`, "recordBytes"},
		{`"shards": 32`, `"shards": 32, "connections": {"max": -1}`, "connections.max"},
		{`"shards": 32`, `"shards": 32, "maxFDs": 4100, "connections": {"max": 4100}`, "connections.max"},
		{`{ //`, `[ //`, "JSON"},
	} {
		_, err := ParseSettings([]byte(strings.Replace(goodSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that names %q", c.new, err, c.want)
		}
	}
}
