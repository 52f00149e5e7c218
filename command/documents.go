package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/berylwharf/berylwharf/resource"
)

// maxFileBytes limits the size of a file with resources. All resources of a system of the design size take about 5 MB.
const maxFileBytes = 64 << 20

// document is one resource in a file. Version is 0 if the file does not contain it.
type document struct {
	resource.Resource
	location string // file:line
}

// readDocuments reads and validates all files, so that nothing is sent if any of them is invalid. It returns the resources
// in the order in which they are applied: a resource after those it refers to.
func (s *session) readDocuments() ([]document, error) {
	files := s.StringSlice("file")
	if len(files) == 0 {
		return nil, usageErrorf("no file; set -f FILE, or -f - for standard input")
	}
	if s.NArg() > 0 {
		return nil, usageErrorf("unexpected argument %q", s.Args().First())
	}
	var docs []document
	for _, name := range files {
		data, err := s.readFile(name)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		list, err := parseDocuments(name, data)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		docs = append(docs, list...)
	}
	if err := checkUnique(docs); err != nil {
		return nil, err
	}
	order := resource.Kinds()
	slices.SortStableFunc(docs, func(a, b document) int {
		return slices.Index(order, a.Kind) - slices.Index(order, b.Kind)
	})
	return docs, nil
}

func (s *session) readFile(name string) ([]byte, error) {
	in := s.env.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("%s: larger than %d bytes", name, maxFileBytes)
	}
	return data, err
}

// parseDocuments parses one resource or an array of resources, in JSON with comments and trailing commas.
func parseDocuments(name string, data []byte) ([]document, error) {
	data = append(bytes.Clone(data), '\n') // hujson requires a newline after a comment on the last line
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	values := []hujson.Value{root}
	if array, ok := root.Value.(*hujson.Array); ok {
		values = array.Elements
	}
	if len(values) == 0 {
		return nil, fmt.Errorf("%s: contains no resource", name)
	}
	docs := make([]document, 0, len(values))
	for _, v := range values {
		location := fmt.Sprintf("%s:%d", name, 1+bytes.Count(data[:v.StartOffset], []byte("\n")))
		doc, err := parseDocument(v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", location, err)
		}
		doc.location = location
		docs = append(docs, doc)
	}
	return docs, nil
}

func parseDocument(v hujson.Value) (document, error) {
	var doc document
	v = v.Clone()
	v.Standardize()
	dec := json.NewDecoder(bytes.NewReader(v.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc.Resource); err != nil {
		return doc, fmt.Errorf("not a resource (permitted: kind, name, spec, version, author): %w", err)
	}
	canonical, err := resource.Canonical(doc.Key, doc.Spec)
	doc.Spec = canonical
	return doc, err
}

func checkUnique(docs []document) error {
	seen := make(map[resource.Key]string)
	for _, d := range docs {
		if first, ok := seen[d.Key]; ok {
			return usageErrorf("%s: %s is already in %s", d.location, d.Key, first)
		}
		seen[d.Key] = d.location
	}
	return nil
}
