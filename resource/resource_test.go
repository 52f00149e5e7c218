package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// init sets a fixed seed, so that the generated test cases are the same in each run. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func testKey(kind Kind) Key { return Key{Kind: kind, Name: "a"} }

// TestDecodeErrors guards against an invalid spec that is accepted, and against an error message that does not name the
// field.
func TestDecodeErrors(t *testing.T) {
	for _, c := range []struct {
		kind       Kind
		spec, want string
	}{
		{"rack", `{}`, `unknown kind "rack"`},
		{KindPool, ``, `not a JSON object`},
		{KindPool, `null`, `not a JSON object`},
		{KindPool, `[]`, `not a JSON object`},
		{KindPool, `{`, `unexpected EOF`},
		{KindPool, `{}}`, `data after the JSON value`},
		{KindPool, `{}]`, `data after the JSON value`},
		{KindPool, `{} {}`, `data after the JSON value`},
		{KindPool, `{"minVM":1}`, `unknown field "minVM"`},
		{KindPool, `{"minVMs":"1"}`, `minVMs`},
		{KindPool, `{"minVMs":1,"minVMs":2}`, `minVMs: appears more than once`},
		{KindPool, `{"minVMs":1,"MINVMS":2}`, `MINVMS: appears more than once`},
		{KindPool, `{"minVMs":100001}`, `minVMs: 100001 is out of range (permitted: 0 to 100000)`},
		{KindPool, `{"description":"` + strings.Repeat("a", 1025) + `"}`, `description: at most 1024 bytes`},
		{KindService, `{}`, `pool: "" is not a pool name`},
		{KindService, `{"pool":"p","hosts":["A.example"]}`, `hosts: "A.example"`},
		{KindService, `{"pool":"p","hosts":["a:80"]}`, `hosts: "a:80"`},
		{KindService, `{"pool":"p","repeatableMethods":["get"]}`, `repeatableMethods: "get" (permitted:`},
		{KindService, `{"pool":"p","answerCheck":"none"}`, `answerCheck: "none" (permitted: fresh, echo)`},
		{KindService, `{"pool":"p","maxRunMs":-1}`, `maxRunMs: -1 is out of range`},
		{KindCustomer, `{}`, `share: 0 is out of range (permitted: 1 to 1000000)`},
		{KindCustomer, `{"share":1,"availabilityBudget":{"p":{},"p":{}}}`, `p: appears more than once`},
		{KindCustomer, `{"share":1,"availabilityBudget":{"P":{}}}`, `"P" is not a pool name`},
		{KindWave, `{"pool":"p","order":["W1"]}`, `order: "W1" is not a VM name`},
		{KindWave, `{"pool":"p","maxParallel":-1}`, `maxParallel: -1 is out of range`},
		{KindVM, `{"pool":"p","next":"-"}`, `next: "-" is not a pool name`},
		{KindConfig, `{"values":{"a":1}}`, `values`},
		{KindConfig, `{"values":{"a":"` + strings.Repeat("a", MaxSpecBytes) + `"}}`, `at most 65536 are permitted`},
		{KindConfig, `{"values":{"a":"` + strings.Repeat("<", MaxSpecBytes/2) + `"}}`, `bytes in canonical form, at most 65536`},
	} {
		spec, err := Decode(testKey(c.kind), []byte(c.spec))
		if err == nil || !strings.Contains(err.Error(), c.want) || spec != nil {
			t.Errorf("%s %.60s: spec %v, error %v, want %s", c.kind, c.spec, spec, err, c.want)
		}
	}
}

// TestNames guards against accepting names that cannot be used in a URL path, a host name or a metric name.
func TestNames(t *testing.T) {
	long := strings.Repeat("a", 63)
	for _, name := range []string{"a", "a.b-c", "9", long} {
		if err := (Key{Kind: KindPool, Name: name}).Validate(); err != nil {
			t.Error(err)
		}
	}
	for _, name := range []string{"", "-a", "a-", ".", "A", "a/b", "a_b", "a\n", "é", long + "a"} {
		if ValidName(name) {
			t.Errorf("%q is accepted", name)
		}
	}
}

// TestKinds guards against a kind that is missing from the order of application, and against an order in which a resource
// is applied before the pool that it refers to.
func TestKinds(t *testing.T) {
	kinds := Kinds()
	if len(kinds) != len(specs) {
		t.Errorf("Kinds returns %d kinds, %d are defined", len(kinds), len(specs))
	}
	for _, kind := range []Kind{KindService, KindCustomer, KindWave, KindVM} {
		if slices.Index(kinds, KindPool) > slices.Index(kinds, kind) {
			t.Errorf("kind %s is ordered before pool", kind)
		}
	}
}

// TestFieldError guards against an error without the name of the invalid field, which the operators' API returns.
func TestFieldError(t *testing.T) {
	_, err := Decode(testKey(KindWave), []byte(`{"pool":"p","firstGroup":-1}`))
	var fe *FieldError
	if !errors.As(err, &fe) || fe.Field != "firstGroup" {
		t.Errorf("error %v", err)
	}
}

// TestChangedFields guards against a conflict report in which a changed field is missing.
func TestChangedFields(t *testing.T) {
	for _, c := range [][3]string{
		{`{"a":1,"b":2}`, `{"a":1,"b":3}`, `[b]`},
		{`{"a":1}`, `{"c":[1],"b":2}`, `[a b c]`},
		{``, `{"a":1}`, `[a]`},
		{`{"a":{"x":1}}`, `{"a":{"x":1}}`, `[]`},
	} {
		fields, err := ChangedFields([]byte(c[0]), []byte(c[1]))
		if err != nil || fmt.Sprint(fields) != c[2] {
			t.Errorf("%s, %s: %v, %v", c[0], c[1], fields, err)
		}
	}
	if _, err := ChangedFields([]byte(`[]`), nil); err == nil {
		t.Error("an array is accepted")
	}
}

// drawSpec generates a valid spec. Optional fields may be empty.
func drawSpec(t *rapid.T) (Key, []byte) {
	name := rapid.StringMatching(`[a-z0-9]([a-z0-9.-]{0,5}[a-z0-9])?`)
	names := rapid.SliceOfN(name, 0, 4)
	text := rapid.StringN(0, 20, 40)
	var spec Spec
	kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
	switch kind {
	case KindPool:
		spec = &Pool{Description: text.Draw(t, "description"), MinVMs: rapid.IntRange(0, 9).Draw(t, "minVMs"), Spare: rapid.Bool().Draw(t, "spare")}
	case KindService:
		methods := rapid.SliceOfN(rapid.SampledFrom([]string{"GET", "PUT", "DELETE"}), 0, 4)
		spec = &Service{
			Pool: name.Draw(t, "pool"), Hosts: names.Draw(t, "hosts"), RepeatableMethods: methods.Draw(t, "methods"),
			AnswerCheck: rapid.SampledFrom([]AnswerCheck{"", AnswerCheckEcho, AnswerCheckFresh}).Draw(t, "check"),
			MaxRunMs:    rapid.Int64Range(0, 9).Draw(t, "maxRunMs"), QueueLimit: rapid.IntRange(0, 9).Draw(t, "queueLimit"),
		}
	case KindCustomer:
		budget := rapid.MapOfN(name, rapid.Custom(func(t *rapid.T) Budget { return Budget{rapid.IntRange(0, 9).Draw(t, "max")} }), 0, 3)
		spec = &Customer{Share: rapid.IntRange(1, 9).Draw(t, "share"), AvailabilityBudget: budget.Draw(t, "budget")}
	case KindWave:
		spec = &Wave{Pool: name.Draw(t, "pool"), FirstVMs: names.Draw(t, "order"), FirstGroup: rapid.IntRange(0, 9).Draw(t, "firstGroup"), Paused: rapid.Bool().Draw(t, "paused")}
	case KindConfig:
		spec = &Config{Values: rapid.MapOfN(text, text, 0, 4).Draw(t, "values")}
	case KindVM:
		spec = &VM{Pool: name.Draw(t, "pool"), Drain: rapid.Bool().Draw(t, "drain")}
	case KindMaintenance:
		vms := rapid.SliceOfNDistinct(name, 0, 4, func(s string) string { return s }).Draw(t, "vms")
		m := &Maintenance{}
		for _, vm := range vms {
			m.Active = append(m.Active, ActiveVM{VM: vm, Wave: "w", Phase: PhaseDraining, SinceMs: rapid.Int64().Draw(t, "since")})
		}
		spec = m
	case KindVMStatus:
		spec = &VMStatus{LastWave: name.Draw(t, "wave"), LastFailed: rapid.Bool().Draw(t, "failed")}
	case KindWaveStatus:
		spec = &WaveStatus{StopReason: text.Draw(t, "reason"), ResumedAt: rapid.Uint64().Draw(t, "resumedAt")}
	}
	data, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return testKey(kind), data
}

// TestCanonicalIdempotent guards against a canonical form that is rejected or that changes when it is decoded and encoded
// again. The apply command would then send unchanged resources, and snapshots could not be read.
func TestCanonicalIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, data := drawSpec(t)
		checkCanonical(t, k, data)
	})
}

func checkCanonical(t interface{ Fatalf(string, ...any) }, k Key, data []byte) {
	spec, err := Decode(k, data)
	if err != nil {
		t.Fatalf("%s %s: %v", k, data, err)
	}
	once, err := Canonical(k, data)
	if err != nil {
		t.Fatalf("%s %s: %v", k, data, err)
	}
	twice, err := Canonical(k, once)
	if err != nil || !bytes.Equal(once, twice) {
		t.Fatalf("%s: once %s, twice %s, error %v", k, once, twice, err)
	}
	decoded, err := Decode(k, once)
	if err != nil || !reflect.DeepEqual(spec, decoded) {
		t.Fatalf("%s: %#v is decoded from the canonical form as %#v, error %v", k, spec, decoded, err)
	}
}

// FuzzDecode guards against a panic, and against an accepted spec whose canonical form is rejected or changes when it is
// encoded again.
func FuzzDecode(f *testing.F) {
	f.Add("pool", []byte(`{"minVMs":1}`))
	f.Add("service", []byte(`{"pool":"a","hosts":["b","a","b"]}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		k := testKey(Kind(kind))
		if _, err := Decode(k, data); err == nil {
			checkCanonical(t, k, data)
		}
	})
}
