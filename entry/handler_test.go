package entry

import (
	"io"
	"net/http"
	"testing"
)

// TestEndToEnd guards against a request that is not forwarded whole, or an answer that is not passed on whole.
func TestEndToEnd(t *testing.T) {
	addr, _ := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get(HeaderKey))
		w.Header().Set("Connection", "X-Drop")
		w.Header().Set("X-Drop", "1")
		w.WriteHeader(http.StatusCreated)
		w.Write(b)
	})
	n := newNode(t, nil, addr)
	r := n.do("POST", "/svc/booking/a%2Fb?x=1", "slot 9", HeaderKey, "k1")
	if r.status != http.StatusCreated || r.body != "slot 9" || r.header.Get("X-Seen") != "POST /a%2Fb?x=1 k1" {
		t.Fatalf("got %d %q %v", r.status, r.body, r.header)
	}
	if r.header.Get("X-Drop") != "" || r.header.Get(HeaderRequestID) == "" {
		t.Fatalf("headers: %v", r.header)
	}
	if r := n.do("GET", "/svc/booking", ""); r.header.Get("X-Seen") != "GET /" {
		t.Fatalf("headers: %v", r.header)
	}
}
