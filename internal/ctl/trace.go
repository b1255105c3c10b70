package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
)

const (
	// maxLogLineBytes is the longest log line.
	maxLogLineBytes = 1 << 20
	// defaultAround is the default of --around: the time before the first and after
	// the last line of an ID in which the events of its workers and processes are
	// shown.
	defaultAround = time.Second
)

func (p *program) traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "collect the log lines of a job from log files",
		UsageText: "cardamomctl trace [--around DURATION] ID FILE...",
		Description: "Prints the lines that contain ID, and the events of that time about the workers,\n" +
			"sidecars and entry instances that these lines name, sorted by time. The exit\n" +
			"code is 1 if no line contains ID.",
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "around", Usage: "time before and after the lines of ID in which events are shown", Value: defaultAround}},
		Action: p.trace,
	}
}

// logLine is a log line with its parsed time.
type logLine struct {
	at   time.Time
	file string
	text string
}

var (
	timestampPattern = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) `)
	// nameFieldPattern matches the fields that name a process or a worker.
	nameFieldPattern = regexp.MustCompile(`\b(?:worker|lastWorker|owner|sidecar|peer)="([^"]+)"`)
	// processEventPattern matches the events that are about processes and workers,
	// not about jobs.
	processEventPattern = regexp.MustCompile(`"E(8004|8005|8006|8007|8008|8009|8010|8011|8012|8014|8016|8017|8019|9006|9007|1001|1002|1003|2001|2002) `)
)

func (p *program) trace(c *cli.Context) error {
	if c.NArg() < 2 {
		return usageErrorf("trace needs an ID and at least one FILE")
	}
	id := c.Args().First()
	var lines []logLine
	for _, name := range c.Args().Slice()[1:] {
		fileLines, err := readLogFile(name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	selected := selectLines(lines, id, c.Duration("around"))
	if len(selected) == 0 {
		return errors.Errorf("no line contains %s", id)
	}
	for _, l := range selected {
		if _, err := fmt.Fprintf(p.Out, "%s: %s\n", l.file, l.text); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func readLogFile(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	lines, err := parseLog(f, filepath.Base(name))
	return lines, errors.Annotate(err, name)
}

// parseLog returns the lines that contain a time.
func parseLog(r io.Reader, file string) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		m := timestampPattern.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse("0102 15:04:05.000000", m[1])
		if err != nil {
			continue // not a valid time
		}
		lines = append(lines, logLine{at, file, s.Text()})
	}
	return lines, s.Err()
}

// selectLines returns the lines that contain id, and the events of the workers and
// processes that these lines name. It omits the events whose time precedes the
// first of these lines, or follows the last, by more than around.
func selectLines(lines []logLine, id string, around time.Duration) []logLine {
	var first, last time.Time
	names := map[string]bool{}
	for _, l := range lines {
		if !strings.Contains(l.text, id) {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		for _, m := range nameFieldPattern.FindAllStringSubmatch(l.text, -1) {
			names[m[1]] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	var selected []logLine
	for _, l := range lines {
		inSpan := !l.at.Before(first.Add(-around)) && !l.at.After(last.Add(around))
		if strings.Contains(l.text, id) || inSpan && processEventPattern.MatchString(l.text) && containsAny(l.text, names) {
			selected = append(selected, l)
		}
	}
	return selected
}

func containsAny(text string, names map[string]bool) bool {
	for name := range names {
		if strings.Contains(text, name) {
			return true
		}
	}
	return false
}
