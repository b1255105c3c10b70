package cmd_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/apidoc"
)

// TestAPIPage guards against examples in docs/API.md whose responses differ from
// those of the program.
func TestAPIPage(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	examples, err := apidoc.Parse(page)
	if err != nil || len(examples) < 20 {
		t.Fatalf("%d examples, %v", len(examples), err)
	}
	addresses := freeAddresses(t, 2)
	file := writeFile(t, t.TempDir(), "standalone.json", standaloneSettings(addresses[0], addresses[1]))
	p := startProcess(t, "standalone", "cardamomturnd", "standalone", "--sample", "--config", file)
	waitFor(t, "end of the sample", func() bool { return strings.Contains(p.stdout.String(), "serving until interrupted") })
	if err := apidoc.Run(examples, map[apidoc.API]string{apidoc.Caller: addresses[0], apidoc.Operator: addresses[1]}); err != nil {
		t.Errorf("%v\n%s", err, p.stderrTail())
	}
}
