package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

const (
	// maxBodyBytes limits a request body: 1 MiB of record data as base64 with JSON around it, or a VM list.
	maxBodyBytes = 4 << 20
	// defaultReadRecords and maxReadRecords limit the number of records in a response.
	defaultReadRecords = 256
	maxReadRecords     = 1024
)

func (s *Server) routes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/log/{stream}", s.withFaults(TargetLog, s.handleAppend))
	s.mux.HandleFunc("GET /v1/log/{stream}", s.withFaults(TargetLog, s.handleRead))
	s.mux.HandleFunc("GET /v1/vms", s.withFaults(TargetVMs, s.handleVMs))
	s.mux.HandleFunc("POST /v1/vms/{name}/drain", s.withFaults(TargetVMs, s.handleDrain))
	s.mux.HandleFunc("POST /v1/vms/{name}/reboot", s.withFaults(TargetVMs, s.handleReboot))
	s.mux.HandleFunc("GET /v1/workers/{name}", s.withFaults(TargetWorkers, s.handleWorker))
	s.mux.HandleFunc("POST /v1/workers/{name}/tasks", s.withFaults(TargetWorkers, s.handleStart))
	s.mux.HandleFunc("POST /v1/workers/{name}/tasks/{task}/{verb}", s.withFaults(TargetWorkers, s.handleTask))
	s.mux.HandleFunc("POST /fault", s.handleInject)
	s.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	s.mux.HandleFunc("POST /standin/vms", s.handleSetVMs)
	s.mux.HandleFunc("GET /standin/vms", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.VMs()) })
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// withFaults wraps a handler with the active faults. It reads the body first, so that a delayed request takes effect
// even if its client has disconnected.
func (s *Server) withFaults(target string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, "body: "+err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if _, ok := s.faults.consume(FaultHang, target, r.Method); ok {
			s.hang(r)
			panic(http.ErrAbortHandler)
		}
		if _, ok := s.faults.consume(FaultOutage, target, r.Method); ok {
			writeUnavailable(w)
			return
		}
		if f, ok := s.faults.consume(FaultDelay, target, r.Method); ok {
			s.sleep(time.Duration(f.DelayMs) * time.Millisecond)
		}
		if _, ok := s.faults.consume(FaultLoseAnswer, target, r.Method); ok {
			h(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if _, ok := s.faults.consume(FaultTruncate, target, r.Method); ok {
			recorder := httptest.NewRecorder()
			h(recorder, r)
			sendTruncated(w, recorder)
		}
		h(w, r)
	}
}

// hang waits until the client disconnects, a fault command is executed or the server is closed.
func (s *Server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.faults.nextCommand():
	case <-s.closed:
	}
}

func (s *Server) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closed:
	}
}

// sendTruncated sends the first half of a response with the Content-Length of the whole, and closes the connection.
func sendTruncated(w http.ResponseWriter, recorder *httptest.ResponseRecorder) {
	body := recorder.Body.Bytes()
	for k, v := range recorder.Header() {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}

func writeUnavailable(w http.ResponseWriter) {
	w.Header().Set(wire.EffectHeader, wire.EffectNone)
	writeError(w, http.StatusServiceUnavailable, "outage; nothing took effect")
}

func decodeBody(r *http.Request, v any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req wire.AppendRequest
	if err := decodeBody(r, &req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(req.Records) == 0 || len(req.Records) > wire.MaxAppendRecords {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("an append holds 1 to %d records", wire.MaxAppendRecords))
		return
	}
	size := 0
	for _, rec := range req.Records {
		size += len(rec)
	}
	if size > wire.MaxAppendBytes {
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("an append holds at most %d bytes", wire.MaxAppendBytes))
		return
	}
	first, next := s.stream(r.PathValue("stream")).append(req.Records, s.cfg.Now(), s.retention())
	writeJSON(w, http.StatusOK, wire.AppendResponse{First: first, Next: next})
}

type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		return readQuery{}, fmt.Errorf("from: %q is not an offset", q.Get("from"))
	}
	limit, err := intParam(q.Get("max"), defaultReadRecords)
	if err != nil || limit < 1 {
		return readQuery{}, fmt.Errorf("max: %q is not a number above 0", q.Get("max"))
	}
	wait, err := intParam(q.Get("wait_ms"), 0)
	if err != nil || wait < 0 || wait > wire.MaxWaitMs {
		return readQuery{}, fmt.Errorf("wait_ms: %q (permitted: 0 to %d)", q.Get("wait_ms"), wire.MaxWaitMs)
	}
	return readQuery{from: from, limit: min(limit, maxReadRecords), wait: time.Duration(wait) * time.Millisecond}, nil
}

func intParam(s string, def int) (int, error) {
	if s == "" {
		return def, nil
	}
	return strconv.Atoi(s)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseReadQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	st := s.stream(r.PathValue("stream"))
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for expired := q.wait == 0; ; {
		faultCommand := s.faults.nextCommand()
		resp, gone, appended := st.read(q.from, q.limit, s.cfg.Now(), s.retention())
		if gone {
			writeJSON(w, http.StatusGone, resp)
			return
		}
		if len(resp.Records) > 0 || expired {
			writeJSON(w, http.StatusOK, resp)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			expired = true
		case <-s.closed:
			expired = true
		case <-r.Context().Done():
			return
		case <-faultCommand:
			if _, ok := s.faults.consume(FaultOutage, TargetLog, r.Method); ok {
				writeUnavailable(w)
				return
			}
		}
	}
}

// handleVMs responds with an entity tag of the list entries. The tag does not depend on the time of the list, so that
// an unchanged list keeps its tag.
func (s *Server) handleVMs(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	at := s.cfg.Now().Add(-s.cfg.Lag)
	list := wire.VMList{AsOf: at, VMs: slices.Clone(s.vms.valueAt(at))}
	s.mu.Unlock()
	if list.VMs == nil {
		list.VMs = []wire.VM{}
	}
	tag := entityTag(list.VMs)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// entityTag returns a strong entity tag of the entries of a list.
func entityTag(vms []wire.VM) string {
	h := xxhash.New()
	// Neither the encoder nor the hash can fail for these types.
	_ = json.NewEncoder(h).Encode(vms)
	return strconv.Quote(strconv.FormatUint(h.Sum64(), 16))
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	writeAccepted(w, r, s.drain(r.PathValue("name")))
}

func (s *Server) handleReboot(w http.ResponseWriter, r *http.Request) {
	writeAccepted(w, r, s.reboot(r.PathValue("name")))
}

func writeAccepted(w http.ResponseWriter, r *http.Request, found bool) {
	if !found {
		writeError(w, http.StatusNotFound, "VM "+r.PathValue("name")+" is not listed")
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (s *Server) handleWorker(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, wk, ok := s.workerState(r.PathValue("name"))
	if !ok {
		writeError(w, http.StatusNotFound, "worker "+r.PathValue("name")+" is not listed")
		return
	}
	writeJSON(w, http.StatusOK, wk.describe(vm, s.cfg.Now(), s.cfg.Lag))
}

func (s *Server) handleStart(w http.ResponseWriter, r *http.Request) {
	var req wire.TaskRequest
	if err := decodeBody(r, &req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.Task == "" || req.LeaseMs <= 0 || req.Cores < 0 || req.MemoryMB < 0 {
		writeError(w, http.StatusBadRequest, "task must be set, lease_ms above 0, cores and memory_mb not negative")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wk, ok := s.workerState(r.PathValue("name"))
	if !ok {
		writeError(w, http.StatusNotFound, "worker "+r.PathValue("name")+" is not listed")
		return
	}
	if err := wk.start(req, s.cfg.Now()); err != nil {
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	if _, ok := s.faults.consume(FaultFailTasks, TargetWorkers, r.Method); ok {
		wk.applyAction(req.Task, "stop", s.cfg.Now())
	}
	writeJSON(w, http.StatusCreated, struct{}{})
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	action := r.PathValue("verb")
	switch action {
	case "renew", "checkpoint", "throttle", "stop":
	default:
		writeError(w, http.StatusNotFound, "unknown action "+action+" (permitted: renew, checkpoint, throttle, stop)")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wk, ok := s.workerState(r.PathValue("name"))
	if !ok {
		writeError(w, http.StatusNotFound, "worker "+r.PathValue("name")+" is not listed")
		return
	}
	t, ok := wk.applyAction(r.PathValue("task"), action, s.cfg.Now())
	if !ok {
		writeError(w, http.StatusNotFound, "task "+r.PathValue("task")+" does not run or its lease has expired")
		return
	}
	writeJSON(w, http.StatusOK, t)
}

func (s *Server) handleInject(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := decodeBody(r, &f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.Inject(f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s.Faults())
}

// handleSetVMs replaces the VM list with that of the body {"vms":[…]}.
func (s *Server) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var req struct {
		VMs []wire.VM `json:"vms"`
	}
	if err := decodeBody(r, &req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.VMs == nil {
		writeError(w, http.StatusBadRequest, "vms is missing")
		return
	}
	if err := s.SetVMs(req.VMs); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s.VMs())
}
