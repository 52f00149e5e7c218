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

// Request headers that the server reads. RequestIDHeader is returned with the answer.
const (
	RequestIDHeader = "Berylwharf-Request-Id"
	KeyHeader       = "Idempotency-Key"
)

// maxFaultBytes bounds the body of a fault command.
const maxFaultBytes = 64 << 10

// Answer is the JSON body of a complete answer. Run is the number of this run among those with the same key, from 1, and 0
// in an answer with status 500, for which nothing ran.
type Answer struct {
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

// Runs is the body of GET /runs. Counts is by Idempotency-Key, or by request id for requests without one; a request with
// neither counts in Total only.
type Runs struct {
	Server         string         `json:"server"`
	Counts         map[string]int `json:"counts"`
	Total          int            `json:"total"`
	Running        int            `json:"running"`
	MaxRunning     int            `json:"maxRunning"`
	Connections    int            `json:"connections"`
	MaxConnections int            `json:"maxConnections"`
	LastStart      time.Time      `json:"lastStart,omitzero"` // start of the last run
}

// Config configures a stand-in.
type Config struct {
	Name string // reported in answers
	Work Work
	// AnswerBytes pads each answer to about this size, for answers that are too large to be buffered.
	AnswerBytes int
	// Chunked sends answers in chunks, without Content-Length.
	Chunked bool
}

// Server is the stand-in. Start opens its listener.
type Server struct {
	cfg    Config
	work   *workTimes
	faults faults
	gate   *gate
	http   *http.Server
	ended  chan struct{} // closed by Close: runs end at once
	once   sync.Once

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
	g, err := newGate(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, work: newWorkTimes(cfg.Work), gate: g,
		ended: make(chan struct{}), counts: map[string]int{},
	}
	// Without timeouts, so that a silent connection is never closed by this side.
	s.http = &http.Server{Handler: s.routes(), ConnContext: withConn}
	go func() { _ = s.http.Serve(g) }()
	return s, nil
}

// StartControl opens a second listener with the same paths, which the fault "refuse" does not close, and returns its
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
func (s *Server) Addr() string { return s.gate.addr }

// Shutdown finishes running requests, then closes the listeners and connections. /healthz answers 503 until then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.faults.add(Fault{Kind: FaultLeave})
	err := s.http.Shutdown(ctx)
	s.closeControl()
	return err
}

// Close ends the server at once, with running requests.
func (s *Server) Close() error {
	s.once.Do(func() { close(s.ended) })
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

// inject executes a fault command that came on a connection, which it does not make silent.
func (s *Server) inject(f Fault, from *conn) error {
	if err := f.validate(); err != nil {
		return err
	}
	switch f.Kind {
	case FaultSilent:
		s.gate.mute(from)
	case FaultRefuse:
		s.gate.refuse()
		if f.DurationMs > 0 {
			time.AfterFunc(time.Duration(f.DurationMs)*time.Millisecond, func() { _ = s.gate.open() })
		}
	case FaultClear:
		s.faults.clear()
		return s.gate.open()
	default:
		s.faults.add(f)
	}
	return nil
}

// Runs returns the counts so far.
func (s *Server) Runs() Runs {
	open, maxOpen := s.gate.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		counts[k] = n
	}
	return Runs{
		Server: s.cfg.Name, Counts: counts, Total: s.total, Running: s.running, MaxRunning: s.maxRunning,
		Connections: open, MaxConnections: maxOpen, LastStart: s.lastStart,
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.faults.list()) })
	mux.HandleFunc("POST /fault", s.handleFault)
	mux.HandleFunc("GET /", s.handle)
	mux.HandleFunc("POST /", s.handle)
	return mux
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.faults.has(FaultLeave) {
		reply(w, http.StatusServiceUnavailable, map[string]string{"status": "leaving"})
		return
	}
	reply(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	err := json.NewDecoder(io.LimitReader(r.Body, maxFaultBytes)).Decode(&f)
	c := connOf(r.Context())
	if err == nil && f.Kind == FaultRefuse && f.DurationMs == 0 && c != nil {
		err = fmt.Errorf("refuse needs duration_ms, or must be sent to the control address")
	}
	if err == nil {
		err = s.inject(f, c)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	reply(w, http.StatusOK, s.faults.list())
}

// handle runs a request with the faults that apply to it.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		// The request is incomplete, so it must not run.
		panic(http.ErrAbortHandler)
	}
	p := s.faults.take(r.Method)
	if p.has(FaultCloseBefore) {
		panic(http.ErrAbortHandler)
	}
	answer := s.answer(r, hex.EncodeToString(hash.Sum(nil)))
	if p.has(FaultFailFast) {
		answer.Error = "failed at once"
		w.Header().Set(RequestIDHeader, answer.RequestID)
		reply(w, http.StatusInternalServerError, answer)
		return
	}
	answer.Run = s.run(r, p)
	s.send(w, r, p, answer)
}

// answer identifies a request.
func (s *Server) answer(r *http.Request, sum string) Answer {
	return Answer{
		Server: s.cfg.Name, RequestID: r.Header.Get(RequestIDHeader), Key: r.Header.Get(KeyHeader),
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, BodySHA256: sum,
	}
}

// run counts a run, takes its work time and returns its number. The run goes on when the connection closes.
func (s *Server) run(r *http.Request, p plan) int {
	number := s.begin(r.Header.Get(KeyHeader), r.Header.Get(RequestIDHeader))
	defer s.end()
	work := s.work.draw()
	if p.has(FaultSlow) {
		work = p[FaultSlow]
	}
	if p.has(FaultCloseDuring) {
		s.sleep(work / 2)
		if c := connOf(r.Context()); c != nil {
			_ = c.Close()
		}
		work -= work / 2
	}
	s.sleep(work)
	return number
}

func (s *Server) begin(key, id string) int {
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

func (s *Server) end() {
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
	case <-s.ended:
	}
}

// send sends the answer of a finished run with the faults that apply.
func (s *Server) send(w http.ResponseWriter, r *http.Request, p plan, answer Answer) {
	if p.has(FaultCloseAfter) || p.has(FaultCloseDuring) {
		panic(http.ErrAbortHandler)
	}
	s.sleep(p[FaultLate])
	data := s.encode(answer)
	if answer.RequestID != "" {
		w.Header().Set(RequestIDHeader, answer.RequestID)
	}
	if c := connOf(r.Context()); c != nil && p.has(FaultDuplicateAnswer) {
		// The first copy goes to the connection directly. net/http has written nothing yet, so the copies do not mix.
		_, _ = c.Write(rawAnswer(answer.RequestID, data))
		s.sleep(p[FaultDuplicateAnswer])
	}
	if s.cfg.Chunked || p.has(FaultTruncate) {
		s.sendHalves(w, data, p.has(FaultTruncate))
		return
	}
	replyData(w, http.StatusOK, data)
}

// sendHalves sends an answer in two parts. With cut, the connection closes after the first.
func (s *Server) sendHalves(w http.ResponseWriter, data []byte, cut bool) {
	w.Header().Set("Content-Type", "application/json")
	if !s.cfg.Chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	_ = http.NewResponseController(w).Flush()
	if cut {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data[half:])
}

// encode returns the answer as JSON, padded to the configured size.
func (s *Server) encode(answer Answer) []byte {
	data := mustMarshal(answer)
	if missing := s.cfg.AnswerBytes - len(data); missing > 0 {
		answer.Padding = strings.Repeat(".", missing)
		data = mustMarshal(answer)
	}
	return data
}

func rawAnswer(id string, data []byte) []byte {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n"
	if id != "" {
		head += RequestIDHeader + ": " + id + "\r\n"
	}
	return append([]byte(head+"\r\n"), data...)
}

func reply(w http.ResponseWriter, status int, v any) {
	replyData(w, status, mustMarshal(v))
}

// mustMarshal encodes a value of this package's types, for which encoding cannot fail.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func replyData(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
