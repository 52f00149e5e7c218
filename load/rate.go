package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxEvents limits the size of a generated schedule, which is kept in memory.
const maxEvents = 2_000_000

// Class is one kind of request in a mix. Weight is its share of the requests relative to the other classes.
type Class struct {
	Service    string
	Customer   string
	Urgency    string
	Method     string
	Path       string
	BodyBytes  int
	DeadlineMs int64
	Weight     int
}

// Rate describes a schedule with random arrival times. A burst at BurstFactor times PerSecond starts every BurstEvery
// and lasts BurstLength; between bursts the rate is QuietFactor times PerSecond (0 means 1). There are no bursts if
// BurstEvery is 0.
type Rate struct {
	Seed        uint64
	PerSecond   float64
	Duration    time.Duration
	BurstFactor float64
	QuietFactor float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	Classes     []Class
}

// ParseMix parses a comma-separated list of classes of the form service:customer:urgency:method:weight.
func ParseMix(s string) ([]Class, error) {
	var classes []Class
	for _, part := range strings.Split(s, ",") {
		f := strings.Split(strings.TrimSpace(part), ":")
		if len(f) != 5 {
			return nil, fmt.Errorf("mix: %q is not service:customer:urgency:method:weight", part)
		}
		weight, err := strconv.Atoi(f[4])
		if err != nil || weight < 1 {
			return nil, fmt.Errorf("mix: weight %q must be a positive integer", f[4])
		}
		classes = append(classes, Class{Service: f[0], Customer: f[1], Urgency: f[2], Method: f[3], Path: "/load", Weight: weight})
	}
	return classes, nil
}

func (r *Rate) validate() error {
	if r.PerSecond <= 0 || r.Duration <= 0 || len(r.Classes) == 0 {
		return errors.New("rate and duration must be positive, and the mix must not be empty")
	}
	if r.BurstFactor < 0 || r.QuietFactor < 0 || r.BurstEvery < 0 || r.BurstLength < 0 {
		return errors.New("burst values must not be negative")
	}
	if r.BurstEvery > 0 && (r.BurstFactor == 0 || r.BurstLength == 0) {
		return errors.New("burst factor and burst length must be positive if there are bursts")
	}
	if n := r.PerSecond * max(r.BurstFactor, r.QuietFactor, 1) * r.Duration.Seconds(); n > maxEvents {
		return fmt.Errorf("the schedule could have %.0f requests; at most %d are permitted", n, maxEvents)
	}
	return nil
}

// rateAt returns the request rate at an offset from the start of the schedule.
func (r *Rate) rateAt(t time.Duration) float64 {
	if r.BurstEvery > 0 && t%r.BurstEvery < r.BurstLength {
		return r.PerSecond * r.BurstFactor
	}
	if r.QuietFactor > 0 {
		return r.PerSecond * r.QuietFactor
	}
	return r.PerSecond
}

// Generate returns the schedule, sorted by time. The same Rate always gives the same schedule.
func (r *Rate) Generate() ([]Event, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	total := 0
	for _, c := range r.Classes {
		total += c.Weight
	}
	// Thinning: arrivals are drawn at the peak rate, and each is kept with probability rate/peakRate.
	peakRate := r.PerSecond * max(r.BurstFactor, r.QuietFactor, 1)
	var events []Event
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if t >= r.Duration {
			return events, nil
		}
		if rng.Float64()*peakRate >= r.rateAt(t) {
			continue
		}
		e := r.classAt(rng.IntN(total)).event(t)
		if err := e.normalize(); err != nil {
			return nil, errors.Wrap(err, "mix")
		}
		events = append(events, e)
	}
}

// classAt returns the class whose range in the cumulative weights contains n.
func (r *Rate) classAt(n int) *Class {
	for i := range r.Classes {
		n -= r.Classes[i].Weight
		if n < 0 {
			return &r.Classes[i]
		}
	}
	return &r.Classes[len(r.Classes)-1]
}

func (c *Class) event(t time.Duration) Event {
	return Event{
		AtMs: t.Milliseconds(), Service: c.Service, Customer: c.Customer, Urgency: c.Urgency,
		Method: c.Method, Path: c.Path, BodyBytes: c.BodyBytes, DeadlineMs: c.DeadlineMs,
	}
}
