package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strings"
)

// accessPolicy admits requests that come from an allowed network and carry the bearer token.
type accessPolicy struct {
	allow     []netip.Prefix
	tokenHash [sha256.Size]byte
	hasToken  bool
}

func newAccessPolicy(token string, allow []netip.Prefix) *accessPolicy {
	return &accessPolicy{allow: allow, tokenHash: sha256.Sum256([]byte(token)), hasToken: token != ""}
}

// authorize returns nil if the request is admitted, otherwise the error response.
func (a *accessPolicy) authorize(r *http.Request) *Error {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return errorf(http.StatusForbidden, CodeForbidden, "", "the address of the client is not known")
	}
	addr := peer.Addr().Unmap().WithZone("")
	if !a.addressAllowed(addr) {
		return errorf(http.StatusForbidden, CodeForbidden, "", "address %s is not in operators.allow", addr)
	}
	if !a.hasToken {
		if !addr.IsLoopback() {
			return errorf(http.StatusForbidden, CodeForbidden, "", "address %s is not a loopback address, and no operators.token is set", addr)
		}
		return nil
	}
	if !a.tokenMatches(r.Header.Get("Authorization")) {
		return errorf(http.StatusUnauthorized, CodeUnauthorized, "", "the bearer token is missing or wrong")
	}
	return nil
}

func (a *accessPolicy) addressAllowed(addr netip.Addr) bool {
	if len(a.allow) == 0 {
		return addr.IsLoopback()
	}
	for _, p := range a.allow {
		if p.Contains(addr) {
			return true
		}
	}
	return false
}

// tokenMatches compares hashes of equal length in constant time, so that response times reveal neither the length of the
// token nor a common prefix.
func (a *accessPolicy) tokenMatches(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	hash := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return strings.EqualFold(scheme, "bearer") && subtle.ConstantTimeCompare(hash[:], a.tokenHash[:]) == 1
}
