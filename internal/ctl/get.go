package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

// Arguments of get in place of a resource type.
const (
	// typeJobs selects the answer of one job.
	typeJobs = "jobs"
	// typeProcesses selects the list of live processes.
	typeProcesses = "processes"
)

func (p *program) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show resources, the live processes, or the answer of a job",
		UsageText: "cardamomctl get TYPE [NAME]\ncardamomctl get processes\ncardamomctl get jobs SUBMISSION-ID",
		Action:    p.get,
	}
}

func (p *program) get(c *cli.Context) error {
	args := c.Args()
	if args.First() == typeJobs && c.NArg() == 2 {
		return p.getJob(args.Get(1))
	}
	if args.First() == typeProcesses && c.NArg() == 1 {
		return p.getProcesses()
	}
	if c.NArg() < 1 || c.NArg() > 2 {
		return usageErrorf("get needs TYPE [NAME]")
	}
	t, err := parseType(args.First())
	if err != nil {
		return err
	}
	cl := p.newClient()
	if c.NArg() == 2 {
		var o object
		if err := cl.getJSON(resourcePath(t, args.Get(1)), &o); err != nil {
			return err
		}
		if p.output == outputJSON {
			return p.printJSON(o)
		}
		return p.printTable(objectRows([]object{o}))
	}
	var l objectList
	if err := cl.getJSON("/v1/"+string(t), &l); err != nil {
		return err
	}
	if p.output == outputJSON {
		return p.printJSON(l)
	}
	return p.printTable(objectRows(l.Items))
}

// getJob prints the answer of a job. The exit code is that of the job's outcome.
func (p *program) getJob(id string) error {
	cl := p.newClient()
	res, err := cl.call(fasthttp.MethodGet, cl.callerURL, "/v1/jobs/"+url.PathEscape(id), nil)
	if err != nil {
		return callError(err, false)
	}
	answer, err := decodeAnswer("GET job "+id, res)
	if err != nil {
		return err
	}
	if err := p.printAnswer(answer); err != nil {
		return err
	}
	return jobError(answer)
}

// getProcesses prints the live processes with their configuration revisions.
func (p *program) getProcesses() error {
	var l struct {
		Items []resourceapi.Process `json:"items"`
	}
	if err := p.newClient().getJSON("/v1/processes", &l); err != nil {
		return err
	}
	sort.Slice(l.Items, func(i, j int) bool {
		a, b := l.Items[i], l.Items[j]
		return a.Role < b.Role || a.Role == b.Role && a.Process.Instance < b.Process.Instance
	})
	if p.output == outputJSON {
		return p.printJSON(l)
	}
	rows := [][]string{{"ROLE", "PROCESS", "ADDRESS", "ZONE", "RACK", "IN FORCE", "REJECTED", "DRAINING"}}
	for _, process := range l.Items {
		rows = append(rows, []string{process.Role, process.Process.String(), process.Address, process.Zone, process.Rack,
			fmt.Sprint(process.InForce), fmt.Sprint(process.Rejected), fmt.Sprint(process.Draining)})
	}
	return p.printTable(rows)
}

// parseType accepts the plural and the singular name of a resource type.
func parseType(s string) (resource.Type, error) {
	singular := map[string]resource.Type{
		"kind": resource.TypeKind, "team": resource.TypeTeam, "urgency": resource.TypeUrgency,
		"limit": resource.TypeLimit, "policy": resource.TypePolicy,
	}
	if t, ok := singular[s]; ok {
		return t, nil
	}
	if _, ok := specConstructors[resource.Type(s)]; ok {
		return resource.Type(s), nil
	}
	return "", usageErrorf("type %q: want kinds, teams, urgencies, limits or policies", s)
}

// parseTypeAndName parses the arguments TYPE NAME of a command.
func parseTypeAndName(c *cli.Context) (resource.Type, string, error) {
	if c.NArg() != 2 {
		return "", "", usageErrorf("%s needs TYPE NAME", c.Command.Name)
	}
	t, err := parseType(c.Args().First())
	return t, c.Args().Get(1), err
}

// decodeResponse decodes the JSON body of a response.
func decodeResponse(operation string, body []byte, target any) error {
	return errors.Annotatef(json.Unmarshal(body, target), "decoding the response to %s", operation)
}
