// Package resource defines the resources that operators declare (pools, services, customers, maintenance waves,
// configuration and VM assignments) and those in which the daemons record maintenance. It validates resources and encodes
// them canonically. It does no I/O.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"sort"

	"github.com/pkg/errors"
)

// Kind is the type of a resource.
type Kind string

// The kinds of resources.
const (
	KindPool     Kind = "pool"
	KindService  Kind = "service"
	KindCustomer Kind = "customer"
	KindWave     Kind = "wave"
	KindConfig   Kind = "config"
	KindVM       Kind = "vm"
	// The following kinds are written by the daemons; see Maintenance, VMStatus and WaveStatus.
	KindMaintenance Kind = "maintenance"
	KindVMStatus    Kind = "vm-status"
	KindWaveStatus  Kind = "wave-status"
)

// Kinds returns all kinds in the order in which a set of resources is applied: a kind comes after those that its resources
// refer to.
func Kinds() []Kind {
	return []Kind{KindConfig, KindPool, KindCustomer, KindService, KindVM, KindWave, KindMaintenance,
		KindVMStatus, KindWaveStatus}
}

const (
	// MaxSpecBytes limits the size of an encoded spec, so that a record stays well below the log's limit of 1 MiB for an
	// append.
	MaxSpecBytes = 64 << 10
	maxNameBytes = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Key identifies a resource by kind and name.
type Key struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ValidName reports whether s is a valid name of a resource, a node or a VM.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Less reports whether k sorts before o. Keys are ordered by kind, then by name.
func (k Key) Less(o Key) bool {
	if k.Kind != o.Kind {
		return k.Kind < o.Kind
	}
	return k.Name < o.Name
}

// Validate checks that the kind is known.
func (k Kind) Validate() error {
	if _, ok := specs[k]; !ok {
		return fmt.Errorf("unknown kind %q (permitted: pool, service, customer, wave, config, vm)", string(k))
	}
	return nil
}

// Validate checks the kind and the name.
func (k Key) Validate() error {
	if err := k.Kind.Validate(); err != nil {
		return err
	}
	if !namePattern.MatchString(k.Name) {
		return fmt.Errorf("%s: name %q must match %s (at most %d characters)", k.Kind, k.Name, namePattern, maxNameBytes)
	}
	return nil
}

// Resource is one declared resource. Version is the log offset of the record that last changed it, or 0 if no record for it
// has been accepted. Author is the operator or node that wrote that record.
type Resource struct {
	Key
	Version uint64          `json:"version,omitempty"`
	Author  string          `json:"author,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// FieldError reports an invalid value of one field.
type FieldError struct {
	Field   string
	Problem string // what is wrong, and usually the permitted values
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Spec is the typed content of a resource.
type Spec interface {
	// Validate returns the first error found, as a *FieldError.
	Validate() error
	// SetDefaults sets omitted fields to their defaults and brings sets into canonical order.
	SetDefaults()
}

var specs = map[Kind]func() Spec{
	KindPool:     func() Spec { return new(Pool) },
	KindService:  func() Spec { return new(Service) },
	KindCustomer: func() Spec { return new(Customer) },
	KindWave:     func() Spec { return new(Wave) },
	KindConfig:   func() Spec { return new(Config) },
	KindVM:       func() Spec { return new(VM) },

	KindMaintenance: func() Spec { return new(Maintenance) },
	KindVMStatus:    func() Spec { return new(VMStatus) },
	KindWaveStatus:  func() Spec { return new(WaveStatus) },
}

// Decode parses and validates a spec. It rejects unknown fields, duplicate fields, trailing data, values out of range, and
// specs that are too large either as given or in canonical form.
func Decode(key Key, data []byte) (Spec, error) {
	if err := key.Validate(); err != nil {
		return nil, err
	}
	if len(data) > MaxSpecBytes {
		return nil, fmt.Errorf("%s: spec has %d bytes, at most %d are permitted", key, len(data), MaxSpecBytes)
	}
	if !isObject(data) {
		return nil, fmt.Errorf("%s: spec is not a JSON object", key)
	}
	if name := duplicateName(data); name != "" {
		return nil, errors.Wrapf(fieldErrorf(name, "appears more than once"), "%s: spec", key)
	}
	spec := specs[key.Kind]()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(spec); err != nil {
		return nil, errors.Wrapf(err, "%s: spec", key)
	}
	// Decoder.More returns false before a closing bracket, so Token is used to detect trailing data.
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: spec: data after the JSON value", key)
	}
	spec.SetDefaults()
	if err := spec.Validate(); err != nil {
		return nil, errors.Wrapf(err, "%s: spec", key)
	}
	if err := checkCanonicalSize(key, spec, len(data)); err != nil {
		return nil, err
	}
	return spec, nil
}

const (
	// maxEscapeFactor is the largest number of bytes that one input byte takes in canonical form: "<" is escaped as \u003c.
	maxEscapeFactor = 6
	// maxDefaultsBytes is an upper limit for the encoded size of all defaults of a spec.
	maxDefaultsBytes = 1024
)

// checkCanonicalSize verifies that the canonical form does not exceed MaxSpecBytes. Snapshots contain the canonical form,
// so Decode must accept it. The spec is not encoded if the size of the input already proves that the limit is met.
func checkCanonicalSize(key Key, spec Spec, size int) error {
	if size*maxEscapeFactor+maxDefaultsBytes <= MaxSpecBytes {
		return nil
	}
	data, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrapf(err, "%s: spec", key)
	}
	if len(data) > MaxSpecBytes {
		return fmt.Errorf("%s: spec has %d bytes in canonical form, at most %d are permitted", key, len(data), MaxSpecBytes)
	}
	return nil
}

// Canonical validates a spec and returns its canonical JSON: defaults set, fields in a fixed order, sets sorted and no
// white space. Equal specs have equal encodings.
func Canonical(key Key, data []byte) ([]byte, error) {
	spec, err := Decode(key, data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(spec)
}

// ChangedFields returns the sorted names of the top-level fields that differ between two JSON objects.
func ChangedFields(a, b []byte) ([]string, error) {
	var ma, mb map[string]json.RawMessage
	if err := decodeObject(a, &ma); err != nil {
		return nil, err
	}
	if err := decodeObject(b, &mb); err != nil {
		return nil, err
	}
	var fields []string
	for k, va := range ma {
		if vb, ok := mb[k]; !ok || !bytes.Equal(va, vb) {
			fields = append(fields, k)
		}
	}
	for k := range mb {
		if _, ok := ma[k]; !ok {
			fields = append(fields, k)
		}
	}
	sort.Strings(fields)
	return fields, nil
}

func decodeObject(data []byte, m *map[string]json.RawMessage) error {
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, m), "spec is not a JSON object")
}
