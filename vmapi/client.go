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
	// DefaultTimeout limits the duration of one call. It exceeds the delay of a slow platform and stays below the 5 s
	// within which a change must take effect.
	DefaultTimeout = 3 * time.Second
	// maxResponseBytes limits the size of a response. A list of 10,000 VMs at about 200 bytes each has 2 MB.
	maxResponseBytes = 16 << 20
	// maxErrorMessageBytes limits the part of an error response that is used as the error message.
	maxErrorMessageBytes = 512
)

// Error is the error of a failed call to the platform.
type Error struct {
	Op     string // method and path
	Status int    // HTTP status, 0 if there was no complete response
	// NoEffect is true if the call certainly took no effect. If it is false, a call that changes state may have taken
	// effect.
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

// StatusOf returns the HTTP status of a failed call, 0 if there was no complete response.
func StatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

// Client is a client for the platform's VM list and workers. It does not retry. All methods may be called concurrently;
// the errors that they return are of type *Error.
type Client struct {
	endpoint string
	http     *http.Client
	timeout  time.Duration
}

// NewClient returns a client for the platform at baseURL, such as http://127.0.0.1:7000. A timeout of 0 or less means
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
	return &Client{
		endpoint: strings.TrimSuffix(baseURL, "/"), http: &http.Client{Transport: transport}, timeout: timeout,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// VMs returns the VM list, sorted by name. It returns an error if the list is malformed.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	list, _, _, err := c.VMsIfChanged(ctx, "")
	return list, err
}

// VMsIfChanged returns the VM list, sorted by name, with its entity tag. If the list still has the entity tag etag, it
// returns an empty list and unchanged is true. A platform that does not support entity tags always sends its list.
func (c *Client) VMsIfChanged(ctx context.Context, etag string) (list VMList, newETag string, unchanged bool, err error) {
	const op = "GET /v1/vms"
	newETag, err = c.doConditional(ctx, http.MethodGet, "/v1/vms", etag, nil, &list)
	if StatusOf(err) == http.StatusNotModified {
		return VMList{}, etag, true, nil
	}
	if err != nil {
		return VMList{}, "", false, err
	}
	if err := list.Validate(); err != nil {
		e := &Error{Op: op, Status: http.StatusOK, NoEffect: true, Message: "malformed VM list", Cause: err}
		return VMList{}, "", false, e
	}
	list.sort()
	return list, newETag, false, nil
}

// DrainVM asks the platform to drain a VM.
func (c *Client) DrainVM(ctx context.Context, vm string) error {
	return c.do(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/drain", nil, nil)
}

// RebootVM asks the platform to reboot a VM. The reboot ends the VM's tasks.
func (c *Client) RebootVM(ctx context.Context, vm string) error {
	return c.do(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/reboot", nil, nil)
}

// Worker returns the slots, tasks and usage of a worker.
func (c *Client) Worker(ctx context.Context, worker string) (Worker, error) {
	var w Worker
	err := c.do(ctx, http.MethodGet, workerPath(worker), nil, &w)
	return w, err
}

// StartTask starts a task under a lease. Status 409 means that the request's epoch is below the greatest epoch that the
// worker has seen, or that the worker lacks a free slot, cores or memory.
func (c *Client) StartTask(ctx context.Context, worker string, req TaskRequest) error {
	return c.do(ctx, http.MethodPost, workerPath(worker)+"/tasks", req, nil)
}

// RenewTask extends the lease of a task by its original length. Status 404 means that the lease has expired.
func (c *Client) RenewTask(ctx context.Context, worker, task string) error {
	return c.postTaskAction(ctx, worker, task, "renew")
}

// CheckpointTask saves the progress of a task. Status 404 means that the lease has expired.
func (c *Client) CheckpointTask(ctx context.Context, worker, task string) error {
	return c.postTaskAction(ctx, worker, task, "checkpoint")
}

// ThrottleTask slows down a task. Status 404 means that the lease has expired.
func (c *Client) ThrottleTask(ctx context.Context, worker, task string) error {
	return c.postTaskAction(ctx, worker, task, "throttle")
}

// StopTask ends a task. Status 404 means that the lease has expired.
func (c *Client) StopTask(ctx context.Context, worker, task string) error {
	return c.postTaskAction(ctx, worker, task, "stop")
}

func (c *Client) postTaskAction(ctx context.Context, worker, task, action string) error {
	return c.do(ctx, http.MethodPost, workerPath(worker)+"/tasks/"+url.PathEscape(task)+"/"+action, nil, nil)
}

func workerPath(worker string) string { return "/v1/workers/" + url.PathEscape(worker) }

// do sends one request with in as its JSON body, unless in is nil. It decodes a 2xx response into out, unless out is nil.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	_, err := c.doConditional(ctx, method, path, "", in, out)
	return err
}

// doConditional is like do and returns the entity tag of the response. If etag is not empty, the request is conditional:
// an *Error with status 304 means that the entity still has this tag.
func (c *Client) doConditional(ctx context.Context, method, path, etag string, in, out any) (newETag string, err error) {
	op := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return "", &Error{Op: op, NoEffect: true, Message: "cannot encode the request body", Cause: err}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.endpoint+path, body)
	if err != nil {
		return "", &Error{Op: op, NoEffect: true, Message: "cannot create the request", Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		connectionRefused := errors.Is(err, syscall.ECONNREFUSED)
		return "", &Error{Op: op, NoEffect: connectionRefused, Message: "no response", Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return "", &Error{Op: op, Message: "incomplete response", Cause: err}
	}
	if len(data) > maxResponseBytes {
		return "", &Error{Op: op, Message: "response exceeds 16 MiB"}
	}
	if resp.StatusCode/100 != 2 {
		return "", statusError(op, resp, data)
	}
	if out == nil {
		return "", nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return "", &Error{Op: op, Message: "response is not the expected JSON", Cause: err}
	}
	return resp.Header.Get("ETag"), nil
}

// statusError returns the error for a response with a status other than 2xx. A 4xx status means that the request took no
// effect; a 503 means that only with EffectNone in EffectHeader.
func statusError(op string, resp *http.Response, data []byte) error {
	status := resp.StatusCode
	noEffect := status/100 == 4
	if status == http.StatusServiceUnavailable {
		noEffect = resp.Header.Get(EffectHeader) == EffectNone
	}
	if len(data) > maxErrorMessageBytes {
		data = data[:maxErrorMessageBytes]
	}
	return &Error{Op: op, Status: status, NoEffect: noEffect, Message: strings.TrimSpace(string(data))}
}
