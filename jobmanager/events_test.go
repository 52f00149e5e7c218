package jobmanager

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// eventLiteral matches the component and text of an event in the source.
var eventLiteral = regexp.MustCompile(`Component: "([a-z]+)", Event: "([^"]+)"|Kind: "([^"]+)"[,}]|Event = "([^"]+)"`)

// eventTexts returns the event texts in the source files of the given packages.
func eventTexts(t *testing.T, dirs ...string) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range eventLiteral.FindAllStringSubmatch(string(source), -1) {
				switch {
				case m[1] != "":
					out[m[1]+": "+m[2]] = true
				case m[3] != "":
					out["job: "+m[3]] = true
				default:
					out["fleet: "+m[4]] = true
				}
			}
		}
	}
	return out
}

// TestEventsAreDocumented guards against log lines that an operator cannot look up in docs/events.md.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	events := eventTexts(t, ".", "../job", "../jobdaemon", "../platform")
	if len(events) < 50 {
		t.Fatalf("%d events found in the source, which is too few", len(events))
	}
	for event := range events {
		if !strings.Contains(string(page), "`"+event+"`") {
			t.Errorf("docs/events.md does not explain %q", event)
		}
	}
}
