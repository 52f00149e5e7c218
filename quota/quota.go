package quota

import (
	"fmt"
	"math"
	"time"
)

// Dimensions of an Amount.
const (
	CPU   = iota // millicores
	MemMB        // megabytes
	GPU          // devices
	dimensions
)

// NoLimit is the amount of a dimension without a limit. Greater amounts are reduced to it, so that sums do not overflow.
const NoLimit int64 = 1 << 50

// Amount is an amount of resources by dimension.
type Amount [dimensions]int64

// Limits returns a cap in which zero means no limit as an amount with NoLimit in these dimensions.
func Limits(configured Amount) Amount {
	for i, v := range configured {
		if v <= 0 || v > NoLimit {
			configured[i] = NoLimit
		}
	}
	return configured
}

// Zero reports whether the amount is zero in all dimensions.
func (a Amount) Zero() bool { return a == Amount{} }

// Add returns the sum, at most NoLimit in each dimension.
func (a Amount) Add(b Amount) Amount {
	for i := range a {
		a[i] = min(a[i]+b[i], NoLimit)
	}
	return a
}

// Sub returns a minus b, which may be negative.
func (a Amount) Sub(b Amount) Amount {
	for i := range a {
		a[i] -= b[i]
	}
	return a
}

// Times returns n times the amount, at most NoLimit in each dimension. The result is exact up to n of 8,192.
func (a Amount) Times(n int) Amount {
	for i := range a {
		a[i] = min(min(a[i], NoLimit)*int64(n), NoLimit)
	}
	return a
}

// Min returns the smaller amount in each dimension.
func (a Amount) Min(b Amount) Amount {
	for i := range a {
		a[i] = min(a[i], b[i])
	}
	return a
}

// Max returns the greater amount in each dimension.
func (a Amount) Max(b Amount) Amount {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// Fits reports whether a is at most b in each dimension that a uses.
func (a Amount) Fits(b Amount) bool { return b.Units(a) > 0 }

// Units returns how many units a contains. Dimensions that a unit does not use do not count. An empty unit has no limit.
func (a Amount) Units(unit Amount) int {
	n := int64(math.MaxInt32)
	for i, u := range unit {
		if u > 0 {
			n = min(n, max(0, a[i])/u)
		}
	}
	return int(n)
}

// unitsToCover returns how many units are needed to contain a.
func (a Amount) unitsToCover(unit Amount) int {
	n := int64(0)
	for i, u := range unit {
		if u > 0 {
			n = max(n, (a[i]+u-1)/u)
		}
	}
	return int(min(n, math.MaxInt32))
}

// part returns one of n equal parts; negative dimensions become zero.
func (a Amount) part(n int) Amount {
	for i := range a {
		a[i] = max(0, a[i]) / int64(n)
	}
	return a
}

// unlimit sets the dimensions in which limit has NoLimit to NoLimit.
func (a Amount) unlimit(limit Amount) Amount {
	for i := range a {
		if limit[i] >= NoLimit {
			a[i] = NoLimit
		}
	}
	return a
}

// String returns the amount as in cpu=1000 memMb=512 gpu=0. A dimension without a limit is left out.
func (a Amount) String() string {
	s := ""
	for i, name := range [...]string{"cpu", "memMb", "gpu"} {
		if a[i] < NoLimit/1024 {
			s += fmt.Sprintf(" %s=%d", name, a[i])
		}
	}
	if s == "" {
		return "no limit"
	}
	return s[1:]
}

// Offer is what the allocator sends to the owner of a pool. It replaces all earlier offers.
type Offer struct {
	Epoch   int64 `cbor:"1,keyasint"` // of the allocator
	Number  int64 `cbor:"2,keyasint"` // increases within the epoch
	Version int64 `cbor:"3,keyasint"` // of the configuration
	// Owner and Clock are those of the newest report of the pool. The offer is meant for this owner only and lapses Hold after
	// that reading of the owner's clock.
	Owner int64         `cbor:"4,keyasint,omitempty"`
	Clock time.Duration `cbor:"5,keyasint,omitempty"`
	Hold  time.Duration `cbor:"6,keyasint,omitempty"`
	// Give is false if the allocator only asks for a report. The pool then keeps its grants.
	Give bool `cbor:"7,keyasint,omitempty"`
	// Grants holds the grant of each customer with a cap, or, if Base is not 0, only those that differ from the offer with the
	// number Base. That offer must be in force, from the same allocator, and name the same customers.
	Grants map[string]Amount `cbor:"8,keyasint,omitempty"`
	Base   int64             `cbor:"9,keyasint,omitempty"`
}

// Use is what one customer has in a pool.
type Use struct {
	Used    Amount `cbor:"1,keyasint"`           // what runs, or may run
	Waiting Amount `cbor:"2,keyasint,omitempty"` // requested by the tasks that could start now
	// Unit is the request of the first task or whole gang that waits, and Wait is how long it has waited.
	Unit Amount        `cbor:"3,keyasint,omitempty"`
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// HeldUp means that Unit waits because it does not fit in the grant, and not for machines.
	HeldUp bool `cbor:"5,keyasint,omitempty"`
}

// Report is the answer of the owner of a pool to an offer.
type Report struct {
	// Epoch is the greatest epoch of an allocator that the pool has seen.
	Epoch int64 `cbor:"1,keyasint"`
	// GrantEpoch and Number identify the offer in force, and Left is how long it holds. Granted holds its grants
	// in the answer to an offer that only asks or that was refused.
	GrantEpoch int64             `cbor:"2,keyasint,omitempty"`
	Number     int64             `cbor:"3,keyasint,omitempty"`
	Left       time.Duration     `cbor:"4,keyasint,omitempty"`
	Granted    map[string]Amount `cbor:"5,keyasint,omitempty"`
	Owner      int64             `cbor:"6,keyasint"` // epoch of the owner of the pool
	Clock      time.Duration     `cbor:"7,keyasint"` // reading of the owner's steady clock
	// Known means that the owner knows all runs of earlier owners.
	Known bool `cbor:"8,keyasint,omitempty"`
	// ConfirmedFor is the time since the owner sent the last request by which the store confirmed that it owns the pool.
	ConfirmedFor time.Duration  `cbor:"10,keyasint,omitempty"`
	Uses         map[string]Use `cbor:"9,keyasint,omitempty"` // by customer; customers with nothing running or waiting are left out
}
