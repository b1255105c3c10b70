package ctl

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// maxInput is the largest input file in bytes.
const maxInput = 64 << 20

// Envelope is one resource of an apply file.
type Envelope struct {
	Type     resource.Type     `json:"type"`
	Metadata resource.Metadata `json:"metadata"`
	Spec     json.RawMessage   `json:"spec"`
}

// specs returns an empty spec of each type, to check the fields.
var specs = map[resource.Type]func() any{
	resource.TypeKind:    func() any { return new(resource.KindSpec) },
	resource.TypeTeam:    func() any { return new(resource.TeamSpec) },
	resource.TypeUrgency: func() any { return new(resource.UrgencySpec) },
	resource.TypeLimit:   func() any { return new(resource.LimitSpec) },
	resource.TypePolicy:  func() any { return new(resource.PolicySpec) },
}

// readEnvelopes reads a resource file, or in if the name is "-".
func readEnvelopes(name string, in io.Reader) ([]Envelope, error) {
	data, err := readInput(name, in)
	if err != nil {
		return nil, err
	}
	all, err := ParseEnvelopes(data)
	return all, errors.Annotatef(err, "resource file %s", name)
}

func readInput(name string, in io.Reader) ([]byte, error) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Annotate(err, "opening input")
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInput+1))
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", name)
	}
	if len(data) > maxInput {
		return nil, errors.NotValidf("%s: more than %d bytes", name, maxInput)
	}
	return data, nil
}

// ParseEnvelopes decodes envelopes and arrays of them that follow each other,
// and checks types, names and the fields of specs. Errors satisfy
// errors.IsNotValid.
func ParseEnvelopes(data []byte) ([]Envelope, error) {
	var all []Envelope
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.NewNotValid(err, "JSON after "+lastName(all))
		}
		some, err := envelopes(raw)
		if err != nil {
			return nil, errors.NewNotValid(err, "resource after "+lastName(all))
		}
		all = append(all, some...)
	}
	if len(all) == 0 {
		return nil, errors.NotValidf("input without resources")
	}
	if err := checkTwice(all); err != nil {
		return nil, err
	}
	for _, e := range all {
		if err := e.check(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// checkTwice reports a resource that occurs more than once.
func checkTwice(all []Envelope) error {
	seen := map[string]bool{}
	for _, e := range all {
		key := string(e.Type) + "/" + e.Metadata.Name
		if seen[key] {
			return errors.NotValidf("%s occurs twice", key)
		}
		seen[key] = true
	}
	return nil
}

// applyOrder is the order in which resources are applied: those that others
// refer to come first.
var applyOrder = []resource.Type{
	resource.TypeUrgency, resource.TypeKind, resource.TypeTeam, resource.TypeLimit, resource.TypePolicy,
}

// SortEnvelopes sorts resources by dependency: urgencies, kinds, teams, limits,
// policies. The order within a type is kept.
func SortEnvelopes(all []Envelope) {
	slices.SortStableFunc(all, func(a, b Envelope) int {
		return slices.Index(applyOrder, a.Type) - slices.Index(applyOrder, b.Type)
	})
}

func envelopes(raw json.RawMessage) ([]Envelope, error) {
	if raw[0] == '[' {
		var some []Envelope
		err := strict(raw, &some)
		return some, err
	}
	var one Envelope
	err := strict(raw, &one)
	return []Envelope{one}, err
}

func lastName(all []Envelope) string {
	if len(all) == 0 {
		return "the beginning"
	}
	last := all[len(all)-1]
	return string(last.Type) + "/" + last.Metadata.Name
}

func (e Envelope) check() error {
	spec, ok := specs[e.Type]
	if !ok {
		return errors.NotValidf("type %q (want kinds, teams, urgencies, limits or policies)", e.Type)
	}
	if !ident.ValidName(e.Metadata.Name, ident.MaxInstanceLen) {
		return errors.NotValidf("name %q of a resource of type %s", e.Metadata.Name, e.Type)
	}
	if len(e.Spec) == 0 {
		return errors.NotValidf("%s/%s without spec", e.Type, e.Metadata.Name)
	}
	if err := strict(e.Spec, spec()); err != nil {
		return errors.NewNotValid(err, "spec of "+string(e.Type)+"/"+e.Metadata.Name)
	}
	return nil
}

func strict(raw json.RawMessage, into any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
