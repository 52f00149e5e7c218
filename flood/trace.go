package flood

import (
	"bytes"
	"compress/gzip"
	"embed"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/load"
)

// Names of the recorded traces. The flood trace holds arrivals only; Scenario says whose they are.
const (
	traceWork      = "work"
	traceFlood     = "flood"
	traceSaturated = "saturated"
	traceSuffix    = ".jsonl.gz"
)

//go:embed traces/*.jsonl.gz
var recorded embed.FS

// Recorded returns a committed trace.
func Recorded(name string) ([]load.Event, error) {
	data, err := recorded.ReadFile("traces/" + name + traceSuffix)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	return decodeTrace(data)
}

func decodeTrace(data []byte) ([]load.Event, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	events, err := load.ReadTrace(r)
	return events, errors.Wrap(err, "trace")
}

func encodeTrace(events []load.Event) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if err := load.WriteTrace(w, events); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Generate returns the traces by name. The same seed gives the same traces.
func Generate(seed uint64) (map[string][]load.Event, error) {
	work, err := generateWork(seed)
	if err != nil {
		return nil, err
	}
	flood, err := generateFlood(seed)
	if err != nil {
		return nil, err
	}
	saturated, err := generateSaturated(seed)
	if err != nil {
		return nil, err
	}
	return map[string][]load.Event{traceWork: work, traceFlood: flood, traceSaturated: saturated}, nil
}

// WriteTraces generates the traces into a directory.
func WriteTraces(dir string, seed uint64) error {
	traces, err := Generate(seed)
	if err != nil {
		return err
	}
	for name, events := range traces {
		data, err := encodeTrace(events)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name+traceSuffix), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// generateWork returns the demand of all services, which peak one after another.
func generateWork(seed uint64) ([]load.Event, error) {
	var all []load.Event
	for i := range services {
		rate := load.Rate{
			Seed: seed + uint64(i), PerSecond: meanLoad * Capacity, Duration: workSpan,
			BurstFactor: peakFactor, QuietFactor: quietFactor, BurstEvery: peakEvery, BurstLength: peakLength,
			Classes: classes(serviceName(i), func(c Customer) int { return c.Demand }),
		}
		events, err := rate.Generate()
		if err != nil {
			return nil, err
		}
		turn := time.Duration(i) * peakEvery / services
		for _, e := range events {
			e.AtMs = (e.AtMs + turn.Milliseconds()) % workSpan.Milliseconds()
			all = append(all, e)
		}
	}
	sortByTime(all)
	return all, nil
}

// generateFlood returns the arrivals of one flood. Its customer and urgency are placeholders.
func generateFlood(seed uint64) ([]load.Event, error) {
	rate := load.Rate{
		Seed: seed + services, PerSecond: floodFactor * Capacity, Duration: floodTo - floodFrom,
		Classes: []load.Class{class(serviceName(floodedService), Growers, "batch", 1)},
	}
	events, err := rate.Generate()
	if err != nil {
		return nil, err
	}
	for i := range events {
		events[i].AtMs += floodFrom.Milliseconds()
	}
	return events, nil
}

// generateSaturated returns a demand of one service in which each customer alone exceeds the capacity.
func generateSaturated(seed uint64) ([]load.Event, error) {
	rate := load.Rate{
		Seed: seed + services + 1, PerSecond: saturation * Capacity * float64(len(Customers())), Duration: saturatedSpan,
		Classes: classes(serviceName(floodedService), func(Customer) int { return 1 }),
	}
	return rate.Generate()
}

// classes returns the mix of a service: a quarter urgent, half normal and a quarter batch work of each customer.
func classes(service string, weight func(Customer) int) []load.Class {
	var cs []load.Class
	for _, c := range Customers() {
		w := weight(c)
		cs = append(cs, class(service, c.Name, "urgent", w), class(service, c.Name, "normal", 2*w),
			class(service, c.Name, "batch", w))
	}
	return cs
}

// class makes urgent work bookings and the rest reads, which may be hedged and retried.
func class(service, customer, urgency string, weight int) load.Class {
	c := load.Class{
		Service: service, Customer: customer, Urgency: urgency, Method: http.MethodGet, Path: "/flood",
		DeadlineMs: deadlines[urgency], Weight: weight,
	}
	if urgency == "urgent" {
		c.Method = http.MethodPost
		c.BodyBytes = 100
	}
	return c
}

func sortByTime(events []load.Event) {
	slices.SortStableFunc(events, func(a, b load.Event) int { return int(a.AtMs - b.AtMs) })
}
