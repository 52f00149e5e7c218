package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request headers that the server reads. RequestIDHeader is also set on the response.
const (
	RequestIDHeader = "Berylwharf-Request-Id"
	KeyHeader       = "Idempotency-Key"
)

// maxFaultBytes limits the body of a fault command.
const maxFaultBytes = 64 << 10

// Response is the JSON body of a complete response. Run is the number of this run among those with the same key,
// starting at 1; it is 0 in a response with status 500, for which nothing ran.
type Response struct {
	Server     string `json:"server"`
	RequestID  string `json:"requestId"`
	Key        string `json:"key,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Query      string `json:"query,omitempty"`
	BodySHA256 string `json:"bodySha256"`
	Run        int    `json:"run"`
	Error      string `json:"error,omitempty"`
	Padding    string `json:"padding,omitempty"`
}

// Runs is the body of GET /runs. Counts is keyed by Idempotency-Key, or by request ID for requests without one; a
// request with neither is counted in Total only.
type Runs struct {
	Server         string         `json:"server"`
	Counts         map[string]int `json:"counts"`
	Total          int            `json:"total"`
	Running        int            `json:"running"`
	MaxRunning     int            `json:"maxRunning"`
	Connections    int            `json:"connections"`
	MaxConnections int            `json:"maxConnections"`
	LastStart      time.Time      `json:"lastStart,omitzero"` // start time of the last run
}

// Config configures a Server.
type Config struct {
	Name string // reported as the server in responses
	Work Work
	// AnswerBytes is the approximate size to which each response body is padded, for tests with responses that are too
	// large to be buffered.
	AnswerBytes int
	// Chunked sends responses with chunked encoding, without Content-Length.
	Chunked bool
}

// Server is a backend server for tests. Start opens its listener.
type Server struct {
	cfg       Config
	work      *workTimes
	faults    faults
	listener  *faultListener
	http      *http.Server
	closed    chan struct{} // closed by Close, so that runs end at once
	closeOnce sync.Once

	controlMu sync.Mutex
	control   *http.Server

	mu         sync.Mutex
	counts     map[string]int
	total      int
	running    int
	maxRunning int
	lastStart  time.Time
}

// Start returns a server that listens on addr, such as 127.0.0.1:0.
func Start(addr string, cfg Config) (*Server, error) {
	if err := cfg.Work.validate(); err != nil {
		return nil, err
	}
	ln, err := newFaultListener(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, work: newWorkTimes(cfg.Work), listener: ln,
		closed: make(chan struct{}), counts: map[string]int{},
	}
	// No timeouts are set, so that the server never closes a stalled connection.
	s.http = &http.Server{Handler: s.routes(), ConnContext: withConn}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// StartControl opens a second listener with the same endpoints, which FaultRefuse does not close, and returns its
// address.
func (s *Server) StartControl(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: s.routes(), ReadHeaderTimeout: 10 * time.Second}
	s.controlMu.Lock()
	s.control = srv
	s.controlMu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Addr returns the address as ip:port.
func (s *Server) Addr() string { return s.listener.addr }

// Shutdown waits for running requests, then closes the listeners and connections. Until then, GET /healthz returns 503.
func (s *Server) Shutdown(ctx context.Context) error {
	s.faults.add(Fault{Kind: FaultLeave})
	err := s.http.Shutdown(ctx)
	s.closeControl()
	return err
}

// Close stops the server at once and ends running requests.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	s.closeControl()
	return s.http.Close()
}

func (s *Server) closeControl() {
	s.controlMu.Lock()
	defer s.controlMu.Unlock()
	if s.control != nil {
		_ = s.control.Close()
	}
}

// Inject executes a fault command.
func (s *Server) Inject(f Fault) error { return s.inject(f, nil) }

// inject executes a fault command that was received on a connection, which FaultSilent does not stall. The connection
// is nil if the command came from Inject or the control listener.
func (s *Server) inject(f Fault, from *conn) error {
	if err := f.validate(); err != nil {
		return err
	}
	switch f.Kind {
	case FaultSilent:
		s.listener.stallAllExcept(from)
	case FaultRefuse:
		s.listener.closeSocket()
		if f.DurationMs > 0 {
			time.AfterFunc(time.Duration(f.DurationMs)*time.Millisecond, func() { _ = s.listener.reopenSocket() })
		}
	case FaultClear:
		s.faults.clear()
		return s.listener.reopenSocket()
	default:
		s.faults.add(f)
	}
	return nil
}

// Runs returns the current counts.
func (s *Server) Runs() Runs {
	open, maxConns := s.listener.connCounts()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		counts[k] = n
	}
	return Runs{
		Server: s.cfg.Name, Counts: counts, Total: s.total, Running: s.running, MaxRunning: s.maxRunning,
		Connections: open, MaxConnections: maxConns, LastStart: s.lastStart,
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.faults.list()) })
	mux.HandleFunc("POST /fault", s.handleFault)
	mux.HandleFunc("GET /", s.handle)
	mux.HandleFunc("POST /", s.handle)
	return mux
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.faults.has(FaultLeave) {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "leaving"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	err := json.NewDecoder(io.LimitReader(r.Body, maxFaultBytes)).Decode(&f)
	c := connFromContext(r.Context())
	if err == nil && f.Kind == FaultRefuse && f.DurationMs == 0 && c != nil {
		err = fmt.Errorf("refuse needs duration_ms, or must be sent to the control address")
	}
	if err == nil {
		err = s.inject(f, c)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, s.faults.list())
}

// handle processes a request with the faults that apply to it.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		// An incomplete request must not run.
		panic(http.ErrAbortHandler)
	}
	p := s.faults.consume(r.Method)
	if p.has(FaultCloseBefore) {
		panic(http.ErrAbortHandler)
	}
	resp := s.newResponse(r, hex.EncodeToString(hash.Sum(nil)))
	if p.has(FaultFailFast) {
		resp.Error = "failed at once"
		w.Header().Set(RequestIDHeader, resp.RequestID)
		writeJSON(w, http.StatusInternalServerError, resp)
		return
	}
	resp.Run = s.run(r, p)
	s.send(w, r, p, resp)
}

// newResponse returns a response that identifies the request.
func (s *Server) newResponse(r *http.Request, sum string) Response {
	return Response{
		Server: s.cfg.Name, RequestID: r.Header.Get(RequestIDHeader), Key: r.Header.Get(KeyHeader),
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, BodySHA256: sum,
	}
}

// run counts a run, waits for its work time and returns its number. The run continues if the connection is closed.
func (s *Server) run(r *http.Request, p requestFaults) int {
	number := s.startRun(r.Header.Get(KeyHeader), r.Header.Get(RequestIDHeader))
	defer s.endRun()
	work := s.work.draw()
	if p.has(FaultSlow) {
		work = p[FaultSlow]
	}
	if p.has(FaultCloseDuring) {
		s.sleep(work / 2)
		if c := connFromContext(r.Context()); c != nil {
			_ = c.Close()
		}
		work -= work / 2
	}
	s.sleep(work)
	return number
}

func (s *Server) startRun(key, id string) int {
	if key == "" {
		key = id
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	s.lastStart = time.Now()
	if key == "" {
		return 1
	}
	s.counts[key]++
	return s.counts[key]
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closed:
	}
}

// send writes the response of a finished run with the faults that apply.
func (s *Server) send(w http.ResponseWriter, r *http.Request, p requestFaults, resp Response) {
	if p.has(FaultCloseAfter) || p.has(FaultCloseDuring) {
		panic(http.ErrAbortHandler)
	}
	s.sleep(p[FaultLate])
	data := s.encode(resp)
	if resp.RequestID != "" {
		w.Header().Set(RequestIDHeader, resp.RequestID)
	}
	if c := connFromContext(r.Context()); c != nil && p.has(FaultDuplicateAnswer) {
		// The first copy is written to the connection directly. net/http has not written anything yet, so the copies do
		// not mix.
		_, _ = c.Write(rawHTTPResponse(resp.RequestID, data))
		s.sleep(p[FaultDuplicateAnswer])
	}
	if s.cfg.Chunked || p.has(FaultTruncate) {
		s.sendHalves(w, data, p.has(FaultTruncate))
		return
	}
	writeBody(w, http.StatusOK, data)
}

// sendHalves writes a response body in two parts. With abort, it closes the connection after the first.
func (s *Server) sendHalves(w http.ResponseWriter, data []byte, abort bool) {
	w.Header().Set("Content-Type", "application/json")
	if !s.cfg.Chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	_ = http.NewResponseController(w).Flush()
	if abort {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data[half:])
}

// encode returns the response as JSON, padded to the configured size.
func (s *Server) encode(resp Response) []byte {
	data := mustMarshal(resp)
	if missing := s.cfg.AnswerBytes - len(data); missing > 0 {
		resp.Padding = strings.Repeat(".", missing)
		data = mustMarshal(resp)
	}
	return data
}

func rawHTTPResponse(id string, data []byte) []byte {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n"
	if id != "" {
		head += RequestIDHeader + ": " + id + "\r\n"
	}
	return append([]byte(head+"\r\n"), data...)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	writeBody(w, status, mustMarshal(v))
}

// mustMarshal encodes a value of this package's types, for which encoding cannot fail.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
