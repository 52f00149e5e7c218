package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// DefaultRebootTime is the default of Config.RebootTime.
const DefaultRebootTime = 2 * time.Second

// Config configures a Server. The zero value means a platform without VMs, lag and retention limits.
type Config struct {
	// Lag is the age of the state shown by the VM list and by the usage of workers.
	Lag time.Duration
	// RetentionRecords and RetentionAge limit the records kept in each stream; 0 means no limit.
	RetentionRecords int
	RetentionAge     time.Duration
	// RebootTime is how long a rebooting VM is missing from the list; 0 means DefaultRebootTime.
	RebootTime time.Duration
	VMs        []wire.VM
	// Now is the clock for retention, leases, lag and the durations of faults; nil means time.Now. Delays, reboots and
	// long polls use the real clock.
	Now func() time.Time
}

// Server is the platform stand-in. It implements http.Handler.
type Server struct {
	cfg    Config
	mux    *http.ServeMux
	faults *faults
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	streams map[string]*stream
	vms     *history[[]wire.VM]
	workers map[string]*worker
}

// New returns a server, or an error if an entry of the VM list is invalid.
func New(cfg Config) (*Server, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.RebootTime == 0 {
		cfg.RebootTime = DefaultRebootTime
	}
	if err := validateVMs(cfg.VMs); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		faults:  newFaults(cfg.Now),
		closed:  make(chan struct{}),
		streams: map[string]*stream{},
		vms:     newHistory(slices.Clone(cfg.VMs)),
		workers: map[string]*worker{},
	}
	s.routes()
	return s, nil
}

// Close ends the requests that are waiting.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Inject executes a fault command.
func (s *Server) Inject(f Fault) error { return s.faults.inject(f) }

// Faults returns the active faults.
func (s *Server) Faults() []Fault { return s.faults.list() }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []wire.VM) error {
	if err := validateVMs(vms); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.set(s.cfg.Now(), slices.Clone(vms))
	return nil
}

// VMs returns the current VM list, without lag.
func (s *Server) VMs() []wire.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms.current())
}

func validateVMs(vms []wire.VM) error {
	list := wire.VMList{AsOf: time.Unix(1, 0), VMs: slices.Clone(vms)}
	if list.VMs == nil {
		list.VMs = []wire.VM{}
	}
	return errors.Wrap(list.Validate(), "VM list")
}

func (s *Server) retention() retention {
	return retention{records: s.cfg.RetentionRecords, age: s.cfg.RetentionAge}
}

// stream returns the stream with the given name and creates it if it does not exist.
func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// findVM returns the current list entry of a VM. The caller must hold mu.
func (s *Server) findVM(name string) (wire.VM, bool) {
	for _, vm := range s.vms.current() {
		if vm.Name == name {
			return vm, true
		}
	}
	return wire.VM{}, false
}

// workerState returns the list entry and the state of a worker VM. The caller must hold mu.
func (s *Server) workerState(name string) (wire.VM, *worker, bool) {
	vm, ok := s.findVM(name)
	if !ok || vm.Role != wire.RoleWorker {
		return wire.VM{}, nil, false
	}
	w, ok := s.workers[name]
	if !ok {
		w = newWorker()
		s.workers[name] = w
	}
	return vm, w, true
}

// drain sets the state of a VM to leaving and reports whether the VM is listed.
func (s *Server) drain(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.findVM(name)
	if !ok {
		return false
	}
	vm.State = wire.StateLeaving
	s.setEntry(name, &vm)
	return true
}

// reboot ends the tasks of a VM, removes the VM from the list and adds it as live after RebootTime. It reports whether
// the VM was listed.
func (s *Server) reboot(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.findVM(name)
	if !ok {
		return false
	}
	if w, ok := s.workers[name]; ok {
		w.stopAll(s.cfg.Now())
	}
	s.setEntry(name, nil)
	vm.State = wire.StateLive
	time.AfterFunc(s.cfg.RebootTime, func() { s.relist(vm) })
	return true
}

func (s *Server) relist(vm wire.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.findVM(vm.Name); !ok {
		s.setEntry(vm.Name, &vm)
	}
}

// setEntry replaces or adds the list entry of a VM, or removes it if vm is nil. The caller must hold mu.
func (s *Server) setEntry(name string, vm *wire.VM) {
	next := slices.DeleteFunc(slices.Clone(s.vms.current()), func(v wire.VM) bool { return v.Name == name })
	if vm != nil {
		next = append(next, *vm)
	}
	s.vms.set(s.cfg.Now(), next)
}
