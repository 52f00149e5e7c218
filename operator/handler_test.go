package operator_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/operator/operatortest"
	"github.com/berylwharf/berylwharf/resource"
)

const testID = "00112233445566778899aabbccddeeff"

// newStore returns a store with pool/intake at version 1, service/booking at 2 and vm/w1 at 3.
func newStore() *operatortest.Store {
	s := operatortest.New()
	s.Put("maria", resource.KindPool, "intake", `{"minVMs":1}`)
	s.Put("maria", resource.KindService, "booking", `{"pool":"intake"}`)
	s.Put("maria", resource.KindVM, "w1", `{"pool":"intake"}`)
	return s
}

func newServer(t *testing.T, c operator.Config) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(operator.NewHandler(c))
	t.Cleanup(server.Close)
	return server
}

// doRequest sends a request and returns status, body and header.
func doRequest(t *testing.T, server *httptest.Server, method, path, body string, header ...string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, strings.TrimSpace(string(data)), response.Header
}

const putIntake = `{"base":1,"id":"` + testID + `","author":"juan","spec":{"minVMs":2}}`

// TestContract guards against changes of the status, code, field or body of a response, and against a request after which
// the server cannot handle the next one.
func TestContract(t *testing.T) {
	large := `{"base":1,"author":"juan","spec":{"description":"` + strings.Repeat("a", operator.MaxBodyBytes) + `"}}`
	long := `{"base":1,"author":"juan","spec":{"description":"` + strings.Repeat("a", 2000) + `"}}`
	for _, c := range []struct {
		name, method, path, body string
		faults                   []operatortest.Fault
		status                   int
		want                     string // substring of the body
	}{
		{"list", "GET", "/v1/resources/pool", "", nil, 200, `{"next":4,"resources":[{"kind":"pool","name":"intake","version":1,"author":"maria","spec":{"minVMs":1}}]}`},
		{"empty list", "GET", "/v1/resources/wave", "", nil, 200, `{"next":4,"resources":[]}`},
		{"list of unknown kind", "GET", "/v1/resources/rack", "", nil, 400, `"field":"kind"`},
		{"get", "GET", "/v1/resources/vm/w1", "", nil, 200, `{"kind":"vm","name":"w1","version":3,"author":"maria","spec":{"pool":"intake"}}`},
		{"get missing", "GET", "/v1/resources/vm/w2", "", nil, 404, `{"error":"not_found","message":"vm/w2 does not exist"}`},
		{"get malformed name", "GET", "/v1/resources/vm/W%202", "", nil, 400, `"field":"name"`},
		{"unknown path", "GET", "/v2/pools", "", nil, 404, `{"error":"not_found","message":"there is no \"/v2/pools\""}`},
		{"unknown method", "POST", "/v1/resources/vm/w1", "", nil, 405, `permitted: GET, PUT, DELETE`},
		{"no nodes", "GET", "/v1/nodes", "", nil, 200, `{"nodes":[]}`},

		{"put", "PUT", "/v1/resources/pool/intake", putIntake, nil, 200, `{"id":"` + testID + `","status":"accepted","offset":4,"resource":{"kind":"pool","name":"intake","version":4,"author":"juan","spec":{"minVMs":2}}}`},
		{"put without id", "PUT", "/v1/resources/pool/spare", `{"base":0,"author":"juan","spec":{"spare":true}}`, nil, 200, `{"id":"`},
		{"put oversized", "PUT", "/v1/resources/pool/intake", large, nil, 413, `"error":"too_large"`},
		{"put empty body", "PUT", "/v1/resources/pool/intake", ``, nil, 400, `"error":"malformed_request","message":"the body is not valid JSON: EOF"`},
		{"put truncated body", "PUT", "/v1/resources/pool/intake", putIntake[:40], nil, 400, `unexpected EOF`},
		{"put two values", "PUT", "/v1/resources/pool/intake", putIntake + "{}", nil, 400, `data after the JSON value`},
		{"put array", "PUT", "/v1/resources/pool/intake", `[]`, nil, 400, `the value has the type array, not JSON object`},
		{"put unknown field", "PUT", "/v1/resources/pool/intake", `{"bases":1}`, nil, 400, `"message":"unknown field (permitted: base, id, author, spec)","field":"\"bases\""`},
		{"put wrong type", "PUT", "/v1/resources/pool/intake", `{"base":"1"}`, nil, 400, `"message":"the value has the type string, not whole number of at least 0","field":"base"`},
		{"put negative base", "PUT", "/v1/resources/pool/intake", `{"base":-1}`, nil, 400, `"field":"base"`},
		{"put without base", "PUT", "/v1/resources/pool/intake", `{"author":"juan","spec":{}}`, nil, 400, `"message":"missing (permitted: the version that was read, 0 when the resource does not exist)","field":"base"`},
		{"put malformed id", "PUT", "/v1/resources/pool/intake", `{"base":1,"id":"1","author":"juan","spec":{}}`, nil, 400, `"field":"id"`},
		{"put without author", "PUT", "/v1/resources/pool/intake", `{"base":1,"spec":{}}`, nil, 400, `"field":"author"`},
		{"put author with newline", "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"a\nb","spec":{}}`, nil, 400, `"field":"author"`},
		{"put without spec", "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan"}`, nil, 422, `"field":"spec"`},
		{"put unknown spec field", "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan","spec":{"max":1}}`, nil, 422, `"field":"spec.max"`},
		{"put spec of wrong type", "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan","spec":{"minVMs":"1"}}`, nil, 422, `"field":"spec.minVMs"`},
		{"put spec out of range", "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan","spec":{"minVMs":-1}}`, nil, 422, `{"error":"invalid","message":"-1 is out of range (permitted: 0 to 100000)","field":"spec.minVMs","id":"`},
		{"put long description", "PUT", "/v1/resources/pool/intake", long, nil, 422, `"field":"spec.description"`},

		{"service without pool", "PUT", "/v1/resources/service/b", `{"base":0,"author":"juan","spec":{"pool":"p"}}`, nil, 422, `"error":"missing_reference","message":"service/b names pool/p, which does not exist","field":"spec.pool"`},
		{"wave without pool", "PUT", "/v1/resources/wave/w", `{"base":0,"author":"juan","spec":{"pool":"p"}}`, nil, 422, `"references":[{"kind":"pool","name":"p"}]`},
		{"vm without next pool", "PUT", "/v1/resources/vm/w1", `{"base":3,"author":"juan","spec":{"pool":"intake","next":"p"}}`, nil, 422, `"field":"spec.next"`},
		{"customer without pool", "PUT", "/v1/resources/customer/c", `{"base":0,"author":"juan","spec":{"share":1,"availabilityBudget":{"p":{"maxUnavailable":1}}}}`, nil, 422, `"field":"spec.availabilityBudget.p"`},
		{"delete used pool", "DELETE", "/v1/resources/pool/intake?base=1&author=juan", "", nil, 422, `"error":"in_use","message":"pool/intake is used by service/booking, vm/w1"`},

		{"delete", "DELETE", "/v1/resources/vm/w1?base=3&author=juan&id=" + testID, "", nil, 200, `{"id":"` + testID + `","status":"accepted","offset":4}`},
		{"delete without base", "DELETE", "/v1/resources/vm/w1?author=juan", "", nil, 400, `"field":"base"`},
		{"delete unknown parameter", "DELETE", "/v1/resources/vm/w1?base=3&author=juan&force=1", "", nil, 400, `permitted: base, id, author`},

		{"conflict", "PUT", "/v1/resources/pool/intake", `{"base":9,"id":"` + testID + `","author":"juan","spec":{"minVMs":2}}`, nil, 409, `{"error":"conflict","message":"pool/intake is at version 1, changed by maria; the change was based on version 9","id":"` + testID + `","current":{"kind":"pool","name":"intake","version":1,"author":"maria","spec":{"minVMs":1}},"author":"maria","comparedWith":"sent","fields":[{"field":"minVMs","current":1,"sent":2}]}`},
		{"create what exists", "PUT", "/v1/resources/pool/intake", `{"base":0,"author":"juan","spec":{}}`, nil, 409, `pool/intake exists already at version 1, changed by maria`},
		{"change what is deleted", "PUT", "/v1/resources/pool/old", `{"base":2,"author":"juan","spec":{}}`, nil, 409, `pool/old does not exist any more`},
		{"not accepted", "PUT", "/v1/resources/pool/intake", putIntake, []operatortest.Fault{operatortest.NotAccepted}, 503, `{"error":"not_accepted","message":"the change did not take effect: injected failure","id":"` + testID + `"}`},
		{"stale", "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan","spec":{}}`, []operatortest.Fault{operatortest.Stale}, 503, `"error":"not_accepted"`},
		{"stale repetition", "PUT", "/v1/resources/pool/intake", putIntake, []operatortest.Fault{operatortest.Stale}, 504, `"error":"outcome_unknown"`},
		{"outcome unknown", "PUT", "/v1/resources/pool/intake", putIntake, []operatortest.Fault{operatortest.LostResponse}, 504, `{"error":"outcome_unknown","message":"it is not known whether the change takes effect; ask for the outcome of identifier ` + testID + `","id":"` + testID + `"}`},

		{"unknown change", "GET", "/v1/changes/" + testID, "", nil, 404, `"error":"unknown_change"`},
		{"malformed change", "GET", "/v1/changes/12", "", nil, 400, `"field":"id"`},
		{"malformed watch", "GET", "/v1/watch?from=-1", "", nil, 400, `"field":"from"`},
		{"watch of unknown kind", "GET", "/v1/watch?kind=rack", "", nil, 400, `"field":"kind"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore()
			store.InjectFaults(c.faults...)
			server := newServer(t, operator.Config{Store: store})
			status, body, _ := doRequest(t, server, c.method, c.path, c.body)
			if status != c.status || !strings.Contains(body, c.want) {
				t.Errorf("status %d, body %s\nwant %d, %s", status, body, c.status, c.want)
			}
			if !json.Valid([]byte(body)) {
				t.Errorf("the body is not JSON: %s", body)
			}
			if status, _, header := doRequest(t, server, "GET", "/v1/resources/pool/intake", ""); status != 200 || header.Get(operator.HeaderNextOffset) == "" {
				t.Errorf("afterwards: status %d, header %v", status, header)
			}
		})
	}
}

// TestAccess guards against access without the token or from a network that is not allowed, and, if no token is configured,
// from an address other than loopback.
func TestAccess(t *testing.T) {
	const token = "operators-token-1"
	all := []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}
	net10 := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	for _, c := range []struct {
		name, remote, token, authorization string
		allow                              []netip.Prefix
		status                             int
	}{
		{"loopback, no token", "127.0.0.1:1", "", "", nil, 200},
		{"IPv6 loopback, no token", "[::1]:1", "", "", nil, 200},
		{"mapped loopback, no token", "[::ffff:127.0.0.1]:1", "", "", nil, 200},
		{"other address, no token", "10.0.0.1:1", "", "", all, 403},
		{"other address, default networks", "10.0.0.1:1", token, "Bearer " + token, nil, 403},
		{"not an address", "@", "", "", all, 403},
		{"right token", "10.0.0.1:1", token, "Bearer " + token, net10, 200},
		{"mapped address", "[::ffff:10.0.0.1]:1", token, "bearer " + token, net10, 200},
		{"right token, wrong network", "11.0.0.1:1", token, "Bearer " + token, net10, 403},
		{"wrong token", "10.0.0.1:1", token, "Bearer " + token + "x", net10, 401},
		{"shorter token", "10.0.0.1:1", token, "Bearer " + token[:5], net10, 401},
		{"no token sent", "127.0.0.1:1", token, "", all, 401},
		{"wrong scheme", "127.0.0.1:1", token, "Basic " + token, all, 401},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore()
			h := operator.NewHandler(operator.Config{Store: store, Token: c.token, AllowedNetworks: c.allow})
			r := httptest.NewRequest("PUT", "/v1/resources/pool/intake", strings.NewReader(putIntake))
			r.RemoteAddr = c.remote
			r.Header.Set("Authorization", c.authorization)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != c.status || (c.status != 200 && store.Proposals() > 0) {
				t.Errorf("status %d, want %d; %d proposals; %s", w.Code, c.status, store.Proposals(), w.Body)
			}
			if strings.Contains(w.Body.String(), token) {
				t.Errorf("the response contains the token: %s", w.Body)
			}
		})
	}
}

// TestRepeat guards against a retry with the same identifier that is applied twice or is rejected by a check that the
// first attempt passed, and against accepting the identifier for a different change.
func TestRepeat(t *testing.T) {
	store := newStore()
	server := newServer(t, operator.Config{Store: store})
	store.InjectFaults(operatortest.LostResponse)
	put := `{"base":0,"id":"` + testID + `","author":"juan","spec":{"pool":"intake"}}`
	if status, body, _ := doRequest(t, server, "PUT", "/v1/resources/service/hotline", put); status != 504 {
		t.Fatalf("status %d, %s", status, body)
	}
	if status, body, _ := doRequest(t, server, "GET", "/v1/changes/"+testID, ""); status != 200 || body != `{"id":"`+testID+`","status":"accepted","offset":4}` {
		t.Errorf("change: status %d, %s", status, body)
	}
	store.Delete(resource.KindPool, "intake") // checkReferences would now fail
	if status, body, _ := doRequest(t, server, "PUT", "/v1/resources/service/hotline", put); status != 200 || !strings.Contains(body, `"offset":4`) {
		t.Errorf("repeated: status %d, %s", status, body)
	}
	for _, other := range [][3]string{
		{"PUT", "/v1/resources/service/hotline", strings.Replace(put, `"pool"`, `"queueLimit":3,"pool"`, 1)},
		{"PUT", "/v1/resources/service/other", put},
		{"PUT", "/v1/resources/service/booking", put},
		{"DELETE", "/v1/resources/service/hotline?base=4&author=juan&id=" + testID, ""},
		{"DELETE", "/v1/resources/vm/gone?base=4&author=juan&id=" + testID, ""},
	} {
		if status, body, _ := doRequest(t, server, other[0], other[1], other[2]); status != 422 || !strings.Contains(body, `"error":"identifier_reused"`) {
			t.Errorf("%s %s: status %d, %s", other[0], other[1], status, body)
		}
	}
	if n := store.Proposals(); n != 1 {
		t.Errorf("%d proposals, want 1", n)
	}
}

// TestConflictFields guards against a conflict that lists fields which the other operator did not change.
func TestConflictFields(t *testing.T) {
	store := newStore()
	server := newServer(t, operator.Config{Store: store})
	doRequest(t, server, "GET", "/v1/resources/pool/intake", "") // adds the base version to the history
	store.BeforeNextPropose(func() { store.Put("maria", resource.KindPool, "intake", `{"minVMs":1,"spare":true}`) })
	status, body, _ := doRequest(t, server, "PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan","spec":{"minVMs":5}}`)
	if status != 409 || !strings.Contains(body, `"author":"maria","comparedWith":"base","fields":[{"field":"spare","current":true}]`) {
		t.Errorf("status %d, %s", status, body)
	}
}

// TestRacingWriters guards against accepting two changes with the same base. Each writer retries from the newest version,
// and no increment may be lost.
func TestRacingWriters(t *testing.T) {
	const writers, rounds = 8, 10
	store := newStore()
	server := newServer(t, operator.Config{Store: store})
	var wg sync.WaitGroup
	for range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range rounds {
				increment(t, server)
			}
		}()
	}
	wg.Wait()
	if _, body, _ := doRequest(t, server, "GET", "/v1/resources/pool/intake", ""); !strings.Contains(body, fmt.Sprintf(`"minVMs":%d}`, 1+writers*rounds)) {
		t.Errorf("after %d increments: %s", writers*rounds, body)
	}
}

func increment(t *testing.T, server *httptest.Server) {
	for range 10_000 {
		_, body, _ := doRequest(t, server, "GET", "/v1/resources/pool/intake", "")
		var current struct {
			Version uint64
			Spec    resource.Pool
		}
		if err := json.Unmarshal([]byte(body), &current); err != nil {
			t.Error(err)
			return
		}
		put := fmt.Sprintf(`{"base":%d,"author":"w","spec":{"minVMs":%d}}`, current.Version, current.Spec.MinVMs+1)
		switch status, body, _ := doRequest(t, server, "PUT", "/v1/resources/pool/intake", put); status {
		case 200:
			return
		case 409:
		default:
			t.Errorf("status %d, %s", status, body)
			return
		}
	}
	t.Error("no increment was accepted")
}

// TestReadPosition guards against a response from a node that has read less of the log than the client has seen.
func TestReadPosition(t *testing.T) {
	store := newStore()
	server := newServer(t, operator.Config{Store: store, CatchUpTimeout: time.Millisecond})
	store.FreezeSnapshot(true)
	store.Put("maria", resource.KindPool, "late", `{}`)
	if status, body, _ := doRequest(t, server, "GET", "/v1/resources/pool/late", "", operator.HeaderNextOffset, "5"); status != 503 || !strings.Contains(body, `"error":"behind"`) {
		t.Errorf("node that lags: status %d, %s", status, body)
	}
	if status, body, _ := doRequest(t, server, "GET", "/v1/resources/pool", "", operator.HeaderNextOffset, "x"); status != 400 {
		t.Errorf("malformed header: status %d, %s", status, body)
	}
	server = newServer(t, operator.Config{Store: store, CatchUpTimeout: time.Minute})
	time.AfterFunc(time.Millisecond, func() { store.FreezeSnapshot(false) })
	if status, body, _ := doRequest(t, server, "GET", "/v1/resources/pool/late", "", operator.HeaderNextOffset, "5"); status != 200 {
		t.Errorf("node that catches up: status %d, %s", status, body)
	}
}

// panicNodes panics, to simulate a defect in the daemon.
type panicNodes struct{}

func (panicNodes) NodeStatuses() []operator.NodeStatus { panic("defect") }

// TestPanic guards against a panic in one endpoint that ends the connection without a response.
func TestPanic(t *testing.T) {
	server := newServer(t, operator.Config{Store: newStore(), Nodes: panicNodes{}})
	if status, body, _ := doRequest(t, server, "GET", "/v1/nodes", ""); status != 500 || strings.Contains(body, "defect") {
		t.Errorf("status %d, %s", status, body)
	}
}
