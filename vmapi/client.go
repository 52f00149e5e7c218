package vmapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds one call. It exceeds the lag of a slow platform and stays below the 5 s in which a change
	// must be in force.
	DefaultTimeout = 3 * time.Second
	// maxAnswerBytes bounds an answer. 10,000 VMs at about 200 bytes each need 2 MB.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes bounds the part of an error answer that is kept for the message.
	maxErrorBytes = 512
)

// Error is a failed call of the platform.
type Error struct {
	Op     string // method and path
	Status int    // HTTP status, 0 when there was no complete answer
	// NoEffect states that the call provably took no effect. When it is false the effect is unknown for a call that
	// changes something.
	NoEffect bool
	Message  string
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	s := "platform: " + e.Op + ": "
	if e.Status != 0 {
		s += http.StatusText(e.Status) + ": "
	}
	s += e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// StatusOf returns the HTTP status of a failed call, 0 when there was no complete answer.
func StatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

// Client calls the VM list and the workers of the platform. It makes no retries. All methods may be called concurrently
// and return *Error.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the platform at baseURL, such as http://127.0.0.1:7000. A timeout of 0 stands for
// DefaultTimeout.
func NewClient(baseURL string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, errors.Wrap(err, "platform URL")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("platform URL %q: expected http://host:port", baseURL)
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost:   4,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: timeout,
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: &http.Client{Transport: transport}, timeout: timeout}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// VMs returns the VM list, sorted by name. A malformed list is an error.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	list, _, _, err := c.VMsIfChanged(ctx, "")
	return list, err
}

// VMsIfChanged returns the VM list, sorted by name, with its entity tag. It returns unchanged, and no list, when the
// list still has the given tag. A platform that sends no tags always sends its list.
func (c *Client) VMsIfChanged(ctx context.Context, tag string) (list VMList, newTag string, unchanged bool, err error) {
	const op = "GET /v1/vms"
	newTag, err = c.exchange(ctx, http.MethodGet, "/v1/vms", tag, nil, &list)
	if StatusOf(err) == http.StatusNotModified {
		return VMList{}, tag, true, nil
	}
	if err != nil {
		return VMList{}, "", false, err
	}
	if err := list.Validate(); err != nil {
		e := &Error{Op: op, Status: http.StatusOK, NoEffect: true, Message: "malformed VM list", Cause: err}
		return VMList{}, "", false, e
	}
	list.sort()
	return list, newTag, false, nil
}

// DrainVM asks the platform to drain a VM.
func (c *Client) DrainVM(ctx context.Context, vm string) error {
	return c.call(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/drain", nil, nil)
}

// RebootVM asks the platform to reboot a VM. Its tasks end.
func (c *Client) RebootVM(ctx context.Context, vm string) error {
	return c.call(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/reboot", nil, nil)
}

// Worker returns the slots, tasks and usage of a worker.
func (c *Client) Worker(ctx context.Context, worker string) (Worker, error) {
	var w Worker
	err := c.call(ctx, http.MethodGet, workerPath(worker), nil, &w)
	return w, err
}

// StartTask starts a task under a lease. Status 409 means that the epoch is below the greatest seen or that there is no
// room.
func (c *Client) StartTask(ctx context.Context, worker string, req TaskRequest) error {
	return c.call(ctx, http.MethodPost, workerPath(worker)+"/tasks", req, nil)
}

// RenewTask extends the lease of a task by its original length. Status 404 means that the lease has expired.
func (c *Client) RenewTask(ctx context.Context, worker, task string) error {
	return c.taskCall(ctx, worker, task, "renew")
}

// CheckpointTask saves the progress of a task. Status 404 means that the lease has expired.
func (c *Client) CheckpointTask(ctx context.Context, worker, task string) error {
	return c.taskCall(ctx, worker, task, "checkpoint")
}

// ThrottleTask slows a task down. Status 404 means that the lease has expired.
func (c *Client) ThrottleTask(ctx context.Context, worker, task string) error {
	return c.taskCall(ctx, worker, task, "throttle")
}

// StopTask ends a task. Status 404 means that the lease has expired.
func (c *Client) StopTask(ctx context.Context, worker, task string) error {
	return c.taskCall(ctx, worker, task, "stop")
}

func (c *Client) taskCall(ctx context.Context, worker, task, verb string) error {
	return c.call(ctx, http.MethodPost, workerPath(worker)+"/tasks/"+url.PathEscape(task)+"/"+verb, nil, nil)
}

func workerPath(worker string) string { return "/v1/workers/" + url.PathEscape(worker) }

// call sends one request and decodes a 2xx answer into out unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	_, err := c.exchange(ctx, method, path, "", in, out)
	return err
}

// exchange makes one call. A tag makes it conditional: the answer 304, an *Error with that status, states that the
// entity still has this tag. It returns the entity tag of the answer.
func (c *Client) exchange(ctx context.Context, method, path, tag string, in, out any) (newTag string, err error) {
	op := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return "", &Error{Op: op, NoEffect: true, Message: "cannot encode the request", Cause: err}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return "", &Error{Op: op, NoEffect: true, Message: "cannot build the request", Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		return "", &Error{Op: op, NoEffect: refused, Message: "no answer", Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return "", &Error{Op: op, Message: "incomplete answer", Cause: err}
	}
	if len(data) > maxAnswerBytes {
		return "", &Error{Op: op, Message: "answer is larger than 16 MiB"}
	}
	if resp.StatusCode/100 != 2 {
		return "", statusError(op, resp, data)
	}
	if out == nil {
		return "", nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return "", &Error{Op: op, Message: "answer is not the expected JSON", Cause: err}
	}
	return resp.Header.Get("ETag"), nil
}

// statusError describes an answer with a status other than 2xx. A 4xx states that the request was rejected; a 503 proves
// it only with EffectHeader.
func statusError(op string, resp *http.Response, data []byte) error {
	status := resp.StatusCode
	noEffect := status/100 == 4
	if status == http.StatusServiceUnavailable {
		noEffect = resp.Header.Get(EffectHeader) == EffectNone
	}
	if len(data) > maxErrorBytes {
		data = data[:maxErrorBytes]
	}
	return &Error{Op: op, Status: status, NoEffect: noEffect, Message: strings.TrimSpace(string(data))}
}
