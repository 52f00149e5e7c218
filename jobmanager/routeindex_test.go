package jobmanager

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// scanRoutes returns the route that the index must find.
func scanRoutes(c *Config, host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// TestIndexFindsWhatAScanFinds guards against calls that reach another queue than the one with the longest prefix, or none.
func TestIndexFindsWhatAScanFinds(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		text := func(n int) string {
			b := make([]byte, rnd.IntN(n))
			for i := range b {
				b[i] = "/ab"[rnd.IntN(3)]
			}
			return string(b)
		}
		c := &Config{Version: 1}
		for range 1 + rnd.IntN(40) {
			c.Routes = append(c.Routes, Route{Host: []string{"h", "H", "i"}[rnd.IntN(3)], PathPrefix: text(7), Pool: fmt.Sprint(rnd.IntN(9))})
		}
		for range 100 {
			host, path := []string{"h", "I", "j"}[rnd.IntN(3)], text(9)
			if got, want := c.MatchRoute(host+":80", path), scanRoutes(c, host, path); got != want {
				t.Fatalf("seed %d, path %q: found %+v, want %+v", seed, path, got, want)
			}
		}
	}
}
