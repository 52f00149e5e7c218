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

// Names of the recorded traces. The flood trace holds arrivals only; the Scenario defines their customer and urgency.
const (
	traceWork      = "work"
	traceFlood     = "flood"
	traceSaturated = "saturated"
	traceSuffix    = ".jsonl.gz"
)

//go:embed traces/*.jsonl.gz
var recorded embed.FS

// Recorded returns a recorded trace, which is embedded in the binary.
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

// Generate generates the traces and returns them by name. The same seed always gives the same traces.
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

// WriteTraces generates the traces and writes them to a directory.
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

// generateWork returns the requests to all services, whose peaks follow one another.
func generateWork(seed uint64) ([]load.Event, error) {
	var all []load.Event
	for i := range serviceCount {
		rate := load.Rate{
			Seed: seed + uint64(i), PerSecond: meanDemandFactor * ServiceCapacity, Duration: workTraceDuration,
			BurstFactor: peakFactor, QuietFactor: quietFactor, BurstEvery: peakInterval, BurstLength: peakDuration,
			Classes: classes(serviceName(i), func(c Customer) int { return c.Demand }),
		}
		events, err := rate.Generate()
		if err != nil {
			return nil, err
		}
		offset := time.Duration(i) * peakInterval / serviceCount
		for _, e := range events {
			e.AtMs = (e.AtMs + offset.Milliseconds()) % workTraceDuration.Milliseconds()
			all = append(all, e)
		}
	}
	sortByTime(all)
	return all, nil
}

// generateFlood returns the arrivals of one flood. Their customer and urgency are placeholders.
func generateFlood(seed uint64) ([]load.Event, error) {
	rate := load.Rate{
		Seed: seed + serviceCount, PerSecond: floodFactor * ServiceCapacity, Duration: floodEnd - floodStart,
		Classes: []load.Class{class(serviceName(floodedServiceIndex), Growers, "batch", 1)},
	}
	events, err := rate.Generate()
	if err != nil {
		return nil, err
	}
	for i := range events {
		events[i].AtMs += floodStart.Milliseconds()
	}
	return events, nil
}

// generateSaturated returns requests to one service. The demand of each customer alone exceeds the service's capacity.
func generateSaturated(seed uint64) ([]load.Event, error) {
	rate := load.Rate{
		Seed: seed + serviceCount + 1, PerSecond: saturatedDemandFactor * ServiceCapacity * float64(len(Customers())),
		Duration: saturatedTraceDuration,
		Classes:  classes(serviceName(floodedServiceIndex), func(Customer) int { return 1 }),
	}
	return rate.Generate()
}

// classes returns the request classes of a service. For each customer, a quarter of the requests is urgent, half normal
// and a quarter batch.
func classes(service string, weight func(Customer) int) []load.Class {
	var cs []load.Class
	for _, c := range Customers() {
		w := weight(c)
		cs = append(cs, class(service, c.Name, "urgent", w), class(service, c.Name, "normal", 2*w),
			class(service, c.Name, "batch", w))
	}
	return cs
}

// class returns one request class. Urgent requests are bookings (POST); all others are reads (GET), which may be hedged
// and retried.
func class(service, customer, urgency string, weight int) load.Class {
	c := load.Class{
		Service: service, Customer: customer, Urgency: urgency, Method: http.MethodGet, Path: "/flood",
		DeadlineMs: deadlinesMs[urgency], Weight: weight,
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
