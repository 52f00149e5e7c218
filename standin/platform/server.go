package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// DefaultRebootTime is how long a rebooting VM is not listed.
const DefaultRebootTime = 2 * time.Second

// Config configures a stand-in. The zero value is a platform without VMs, lag and retention bounds.
type Config struct {
	// Lag is how far the VM list and the usage of workers lie behind the actual state.
	Lag time.Duration
	// RetentionRecords and RetentionAge bound the records kept of each stream; 0 means no bound.
	RetentionRecords int
	RetentionAge     time.Duration
	// RebootTime is how long a rebooting VM is not listed; 0 means DefaultRebootTime.
	RebootTime time.Duration
	VMs        []wire.VM
	// Now is the clock for retention, leases and lag; nil means time.Now. Delays and long polls use the real clock.
	Now func() time.Time
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	cfg    Config
	mux    *http.ServeMux
	faults *faults
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	streams map[string]*stream
	vms     *lagged[[]wire.VM]
	workers map[string]*worker
}

// New returns a stand-in, or an error when a VM list entry is malformed.
func New(cfg Config) (*Server, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.RebootTime == 0 {
		cfg.RebootTime = DefaultRebootTime
	}
	if err := checkVMs(cfg.VMs); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		faults:  newFaults(cfg.Now),
		closed:  make(chan struct{}),
		streams: map[string]*stream{},
		vms:     newLagged(slices.Clone(cfg.VMs)),
		workers: map[string]*worker{},
	}
	s.routes()
	return s, nil
}

// Close ends waiting requests.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Inject executes a fault command.
func (s *Server) Inject(f Fault) error { return s.faults.inject(f) }

// Faults returns the active faults.
func (s *Server) Faults() []Fault { return s.faults.list() }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []wire.VM) error {
	if err := checkVMs(vms); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.set(s.cfg.Now(), slices.Clone(vms))
	return nil
}

// VMs returns the actual VM list, without lag.
func (s *Server) VMs() []wire.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms.current())
}

func checkVMs(vms []wire.VM) error {
	list := wire.VMList{AsOf: time.Unix(1, 0), VMs: slices.Clone(vms)}
	if list.VMs == nil {
		list.VMs = []wire.VM{}
	}
	return errors.Wrap(list.Validate(), "VM list")
}

func (s *Server) retention() retention {
	return retention{records: s.cfg.RetentionRecords, age: s.cfg.RetentionAge}
}

// stream returns a stream and creates it when it is unknown.
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

// findVM returns the entry of a listed VM. It is called with mu held.
func (s *Server) findVM(name string) (wire.VM, bool) {
	for _, vm := range s.vms.current() {
		if vm.Name == name {
			return vm, true
		}
	}
	return wire.VM{}, false
}

// worker returns the state of a listed worker VM. It is called with mu held.
func (s *Server) worker(name string) (wire.VM, *worker, bool) {
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

// drain marks a VM as leaving and reports whether it is listed.
func (s *Server) drain(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.findVM(name)
	if !ok {
		return false
	}
	vm.State = wire.StateLeaving
	s.replace(name, &vm)
	return true
}

// reboot ends the tasks of a VM, takes it off the list and lists it as live after the reboot time.
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
	s.replace(name, nil)
	vm.State = wire.StateLive
	time.AfterFunc(s.cfg.RebootTime, func() { s.relist(vm) })
	return true
}

func (s *Server) relist(vm wire.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.findVM(vm.Name); !ok {
		s.replace(vm.Name, &vm)
	}
}

// replace exchanges, adds (when not listed) or removes (when vm is nil) an entry. It is called with mu held.
func (s *Server) replace(name string, vm *wire.VM) {
	next := slices.DeleteFunc(slices.Clone(s.vms.current()), func(v wire.VM) bool { return v.Name == name })
	if vm != nil {
		next = append(next, *vm)
	}
	s.vms.set(s.cfg.Now(), next)
}
