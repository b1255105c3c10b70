package event

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/juju/errors"
)

// TestPageMatchesCode guards against a catalogue page that lacks an event, lists
// a removed event or describes an event differently from the code.
func TestPageMatchesCode(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := map[string]bool{}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| E") {
			page[line] = true
		}
	}
	for _, e := range All() {
		row := fmt.Sprintf("| E%04d | %s | %s | %s | %s |", e.Number, e.Severity, e.Name, e.Meaning, e.Action)
		if !page[row] {
			t.Errorf("docs/EVENTS.md lacks the row\n%s", row)
		}
		delete(page, row)
	}
	for row := range page {
		t.Errorf("docs/EVENTS.md has a row that is not in the code:\n%s", row)
	}
}

// TestOperationsPage guards against event numbers on the operators' page that no
// event in the code has.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, e := range All() {
		known[fmt.Sprintf("E%04d", e.Number)] = true
	}
	numbers := regexp.MustCompile(`E\d{4}`).FindAllString(string(data), -1)
	if len(numbers) == 0 {
		t.Error("docs/OPERATIONS.md contains no event numbers")
	}
	for _, n := range numbers {
		if !known[n] {
			t.Errorf("docs/OPERATIONS.md names the unknown event %s", n)
		}
	}
}

// TestCatalogueIsUnique guards against two events with the same number or name,
// and against events with an empty field.
func TestCatalogueIsUnique(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	last := 0
	for _, e := range All() {
		if e.Number <= last || numbers[e.Number] || names[e.Name] {
			t.Errorf("%s: duplicate number or name, or number out of order", e)
		}
		if e.Meaning == "" || e.Action == "" || e.Severity == "" || strings.Contains(e.Meaning+e.Action, "|") {
			t.Errorf("%s: empty field, or a table separator in Meaning or Action", e)
		}
		numbers[e.Number], names[e.Name], last = true, true, e.Number
	}
}

// TestLogTo guards against log lines without the event's number, error or pairs.
func TestLogTo(t *testing.T) {
	var lines []string
	logger := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	LogTo(logger, EntryStarted, "instance", "e1")
	LogTo(logger, ConfigOutcomeUnknown, "step", "get", "err", errors.New("timed out"), "peer", "s")
	for i, want := range [][]string{
		{"E1001 entry started", `"instance"="e1"`},
		{"E3007 change outcome unknown", `"error"="timed out"`, `"step"="get" "peer"="s"`},
	} {
		for _, part := range want {
			if !strings.Contains(lines[i], part) {
				t.Errorf("line %q lacks %s", lines[i], part)
			}
		}
	}
}

// TestEveryEventIsLogged guards against events in the catalogue that no program
// logs.
func TestEveryEventIsLogged(t *testing.T) {
	var code strings.Builder
	read := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../event/") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	}
	for _, root := range []string{"..", "../../platform"} {
		if err := filepath.WalkDir(root, read); err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	declared := regexp.MustCompile(`(?m)^\t(\w+) = &Event`)
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range declared.FindAllStringSubmatch(string(text), -1) {
			if !regexp.MustCompile(`\bevent\.` + m[1] + `\b`).MatchString(code.String()) {
				t.Errorf("%s is never logged", m[1])
			}
		}
	}
}
