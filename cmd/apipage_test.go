package cmd_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/apidoc"
)

// TestAPIPage guards against examples of docs/API.md that the program does not
// answer as the page says.
func TestAPIPage(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	examples, err := apidoc.Parse(page)
	if err != nil || len(examples) < 20 {
		t.Fatalf("%d examples, %v", len(examples), err)
	}
	ports := freePorts(t, 2)
	file := writeFile(t, t.TempDir(), "standalone.json", standaloneSettings(ports[0], ports[1]))
	p := start(t, "standalone", "cardamomturnd", "standalone", "--sample", "--config", file)
	await(t, "end of the sample", func() bool { return strings.Contains(p.out.String(), "serving until interrupted") })
	if err := apidoc.Run(examples, map[apidoc.API]string{apidoc.Caller: ports[0], apidoc.Operator: ports[1]}); err != nil {
		t.Errorf("%v\n%s", err, p.tail())
	}
}
