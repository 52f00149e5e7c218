// Package entry serves callers: it admits requests, picks a backend server, forwards the request and passes on only
// complete answers.
package entry
