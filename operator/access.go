package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strings"
)

// access admits requests from allowed networks that carry the token.
type access struct {
	allow     []netip.Prefix
	tokenHash [sha256.Size]byte
	hasToken  bool
}

func newAccess(token string, allow []netip.Prefix) *access {
	return &access{allow: allow, tokenHash: sha256.Sum256([]byte(token)), hasToken: token != ""}
}

// check returns nil when the request is admitted.
func (a *access) check(r *http.Request) *Error {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return errorf(http.StatusForbidden, CodeForbidden, "", "the address of the client is not known")
	}
	addr := peer.Addr().Unmap().WithZone("")
	if !a.allowed(addr) {
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

func (a *access) allowed(addr netip.Addr) bool {
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

// tokenMatches compares hashes of equal length in constant time, so that neither the length nor a common prefix of the
// token can be measured.
func (a *access) tokenMatches(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	hash := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return strings.EqualFold(scheme, "bearer") && subtle.ConstantTimeCompare(hash[:], a.tokenHash[:]) == 1
}
