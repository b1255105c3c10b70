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

// Pseudo-types of get.
const (
	// typeJobs reads the answer of a job.
	typeJobs = "jobs"
	// typeProcesses lists the live processes.
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
		return usage("get needs TYPE [NAME]")
	}
	t, err := parseType(args.First())
	if err != nil {
		return err
	}
	cl := p.client()
	if c.NArg() == 2 {
		var o object
		if err := cl.resource(resourcePath(t, args.Get(1)), &o); err != nil {
			return err
		}
		if p.output == outputJSON {
			return p.printJSON(o)
		}
		return p.table(objectRows([]object{o}))
	}
	var l list
	if err := cl.resource("/v1/"+string(t), &l); err != nil {
		return err
	}
	if p.output == outputJSON {
		return p.printJSON(l)
	}
	return p.table(objectRows(l.Items))
}

// getJob reads the answer of a job; the exit code says how the job fared.
func (p *program) getJob(id string) error {
	cl := p.client()
	res, err := cl.call(fasthttp.MethodGet, cl.server, "/v1/jobs/"+url.PathEscape(id), nil)
	if err != nil {
		return lost(err, false)
	}
	answer, err := decodeAnswer("GET job "+id, res)
	if err != nil {
		return err
	}
	if err := p.printAnswer(answer); err != nil {
		return err
	}
	return outcome(answer)
}

// getProcesses lists the live processes with the revisions that they have.
func (p *program) getProcesses() error {
	var l struct {
		Items []resourceapi.Process `json:"items"`
	}
	if err := p.client().resource("/v1/processes", &l); err != nil {
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
	for _, q := range l.Items {
		rows = append(rows, []string{q.Role, q.Process.String(), q.Address, q.Zone, q.Rack,
			fmt.Sprint(q.InForce), fmt.Sprint(q.Rejected), fmt.Sprint(q.Draining)})
	}
	return p.table(rows)
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
	if _, ok := specs[resource.Type(s)]; ok {
		return resource.Type(s), nil
	}
	return "", usage("type %q: want kinds, teams, urgencies, limits or policies", s)
}

// typeAndName parses the two arguments of a command.
func typeAndName(c *cli.Context) (resource.Type, string, error) {
	if c.NArg() != 2 {
		return "", "", usage("%s needs TYPE NAME", c.Command.Name)
	}
	t, err := parseType(c.Args().First())
	return t, c.Args().Get(1), err
}

// decode decodes a JSON body.
func decode(step string, body []byte, into any) error {
	return errors.Annotatef(json.Unmarshal(body, into), "decoding the response to %s", step)
}
