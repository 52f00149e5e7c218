package connlimit

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"
)

const (
	// Limits of the smallest supported machines. They apply if the settings give none.
	defaultMemoryMB = 184
	defaultMaxFDs   = 4100
	// fileReserve is the number of descriptors that are kept for files.
	fileReserve = 200
	// clientPercent is the percentage of the memory that clients may hold. The rest is for the node's own state, the program,
	// and garbage that is not collected yet.
	clientPercent = 35
	// softPercent is the soft limit of the runtime's memory as a percentage of the machine's memory. It does not include the
	// program's text and the kernel's structures, about 12 MB.
	softPercent = 70
	// minConns keeps a process with few descriptors or little memory reachable.
	minConns = 16
)

// Limits are the limits of a process. Zero means unknown, or derived from the others.
type Limits struct {
	MemoryMB       int64 // memory of the machine
	MaxFDs         int64 // descriptors of the process
	ClientMemoryMB int64 // memory that all connections together may hold
	MaxConns       int64 // accepted connections
}

// budget returns the memory for clients in bytes, the number of connections, and the soft limit of the runtime's memory in
// bytes, 0 for none.
//
// processFDs is the number of descriptors that the process may open, which holds where it is less than MaxFDs.
func (l Limits) budget(processFDs int64) (memory int64, conns int, soft int64) {
	if l.MemoryMB > 0 {
		soft = l.MemoryMB << 20 / 100 * softPercent
	} else {
		l.MemoryMB = defaultMemoryMB
	}
	lowered := l.MaxFDs > processFDs
	if l.MaxFDs <= 0 {
		l.MaxFDs = defaultMaxFDs
	}
	l.MaxFDs = min(l.MaxFDs, processFDs)
	if l.ClientMemoryMB > 0 {
		memory = l.ClientMemoryMB << 20
	} else {
		memory = l.MemoryMB << 20 / 100 * clientPercent
	}
	// The other half is for calls to workers, the store and other nodes.
	n := max(minConns, min((l.MaxFDs-fileReserve)/2, memory/2/connCost))
	switch {
	case l.MaxConns > 0 && lowered:
		n = min(n, l.MaxConns)
	case l.MaxConns > 0:
		n = l.MaxConns
	}
	return memory, int(n), soft
}

// processFDs returns the number of descriptors that the process may open.
func processFDs() int64 {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return defaultMaxFDs
	}
	return int64(min(r.Cur, math.MaxInt64))
}

// LimitRuntime sets the soft limit of the runtime's memory, unless the environment sets one or the memory of the machine is
// unknown. Without a limit, the heap may grow to twice its reachable part between two collections.
func (a *Account) LimitRuntime() {
	if a.soft > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(a.soft)
	}
}
