package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestMessages guards against a problem that is not detected, that is reported without its line or the permitted values, or
// that is reported only after another one has been fixed.
func TestMessages(t *testing.T) {
	valid, err := os.ReadFile("testdata/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, "testdata/messages", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			data := d.Input
			if d.Cmd == "replace" { // the input OLD => NEW replaces OLD by NEW in the valid file
				from, to, ok := strings.Cut(d.Input, " =>")
				if !ok || !strings.Contains(string(valid), from) {
					t.Fatalf("%s: no such text in testdata/entry.json", d.Pos)
				}
				data = strings.Replace(string(valid), from, strings.TrimPrefix(to, " "), 1)
			}
			s, err := Parse("entry.json", []byte(data))
			if err != nil {
				return err.Error()
			}
			return strings.ReplaceAll(s.String(), "} ", "}\n")
		})
	})
}

// TestSecretsHidden guards against a secret that appears in formatted or JSON-encoded settings.
func TestSecretsHidden(t *testing.T) {
	s, err := Load("testdata/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	dump, _ := json.Marshal(s)
	out := string(dump) + s.String()
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%d", "%x"} {
		out += fmt.Sprintf(verb, s) + fmt.Sprintf(verb, *s) + fmt.Sprintf(verb, s.Peers) + fmt.Sprintf(verb, s.Peers.Key)
	}
	for _, secret := range []string{s.Peers.Key.Reveal(), s.Operators.Token.Reveal()} {
		if len(secret) < minSecretBytes {
			t.Fatalf("secret %q was not read", secret)
		}
		for _, form := range []string{secret, fmt.Sprintf("%x", secret)} {
			if strings.Contains(out, form) {
				t.Errorf("secret %q appears in %s", secret, out)
			}
		}
	}
}

// TestSecretsNotInErrors guards against an error message that contains an invalid secret or a password.
func TestSecretsNotInErrors(t *testing.T) {
	for _, bad := range []string{
		"{\"peers\": {\"key\": \"open sesame\\q\"}}", "{\"peers\": {\"key\": \"open sesame\n\"}}",
		"{\"peers\": {\"key\": \"open sesame\"}}", "{\"peers\": {\"key\": opensesame}}", "{\"peers\": {\"key\": [\"open sesame\"]}}",
		"{\"peers\": {\"key\": \"open sesame open sesame\"}}", "{\"platform\": {\"url\": \"http://u:open sesame@127.0.0.1:1\"}}",
	} {
		_, err := Parse("entry.json", []byte(bad))
		if err == nil || strings.Contains(err.Error(), "sesame") {
			t.Errorf("%q: error %v", bad, err)
		}
	}
}

// TestLoad guards against a file that is missing or too large but is treated as an empty one.
func TestLoad(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none.json")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: error %v", err)
	}
	large := filepath.Join(t.TempDir(), "large.json")
	if err := os.WriteFile(large, []byte(strings.Repeat(" ", maxFileBytes+1)), 0o600); err != nil {
		t.Fatal(err)
	}
	var errs Errors
	if _, err := Load(large); !errors.As(err, &errs) || !strings.Contains(err.Error(), "too large") {
		t.Errorf("large file: error %v", err)
	}
}

// FuzzParse guards against a panic, an error message of more than one line, and settings that are accepted although a
// required value is missing.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile("testdata/entry.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		var errs Errors
		switch {
		case err == nil && (s.Node == "" || s.VM == "" || !s.Admin.Listen.IsValid() || len(s.Peers.Key) < minSecretBytes):
			t.Errorf("accepted with a missing value: %s", s)
		case err != nil && !errors.As(err, &errs):
			t.Errorf("error of type %T", err)
		}
		for _, e := range errs {
			if strings.ContainsAny(e.Error(), "\n\r") || e.Line < 1 {
				t.Errorf("message %q", e.Error())
			}
		}
	})
}
