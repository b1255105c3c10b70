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

// maxInputBytes is the largest input file.
const maxInputBytes = 64 << 20

// Envelope is one resource in an input file of apply.
type Envelope struct {
	Type     resource.Type     `json:"type"`
	Metadata resource.Metadata `json:"metadata"`
	Spec     json.RawMessage   `json:"spec"`
}

// specConstructors holds, for each type, a function that returns an empty spec.
// Decoding into that spec checks the field names.
var specConstructors = map[resource.Type]func() any{
	resource.TypeKind:    func() any { return new(resource.KindSpec) },
	resource.TypeTeam:    func() any { return new(resource.TeamSpec) },
	resource.TypeUrgency: func() any { return new(resource.UrgencySpec) },
	resource.TypeLimit:   func() any { return new(resource.LimitSpec) },
	resource.TypePolicy:  func() any { return new(resource.PolicySpec) },
}

// readEnvelopes reads the resources from the file with the given name, or from
// in if the name is "-".
func readEnvelopes(name string, in io.Reader) ([]Envelope, error) {
	data, err := readInput(name, in)
	if err != nil {
		return nil, err
	}
	envelopes, err := ParseEnvelopes(data)
	return envelopes, errors.Annotatef(err, "resource file %s", name)
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
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", name)
	}
	if len(data) > maxInputBytes {
		return nil, errors.NotValidf("%s: more than %d bytes", name, maxInputBytes)
	}
	return data, nil
}

// ParseEnvelopes decodes a sequence of envelopes and arrays of envelopes. It checks
// the types, the names and the fields of the specs, and that no resource occurs
// twice. Errors satisfy errors.IsNotValid.
func ParseEnvelopes(data []byte) ([]Envelope, error) {
	var envelopes []Envelope
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.NewNotValid(err, "JSON after "+lastName(envelopes))
		}
		decoded, err := decodeEnvelopes(raw)
		if err != nil {
			return nil, errors.NewNotValid(err, "resource after "+lastName(envelopes))
		}
		envelopes = append(envelopes, decoded...)
	}
	if len(envelopes) == 0 {
		return nil, errors.NotValidf("input without resources")
	}
	if err := checkDuplicates(envelopes); err != nil {
		return nil, err
	}
	for _, e := range envelopes {
		if err := e.check(); err != nil {
			return nil, err
		}
	}
	return envelopes, nil
}

// checkDuplicates returns an error if a resource occurs more than once.
func checkDuplicates(envelopes []Envelope) error {
	seen := map[string]bool{}
	for _, e := range envelopes {
		key := string(e.Type) + "/" + e.Metadata.Name
		if seen[key] {
			return errors.NotValidf("%s occurs twice", key)
		}
		seen[key] = true
	}
	return nil
}

// applyOrder is the order in which resources are applied: each type comes after
// the types that it refers to.
var applyOrder = []resource.Type{
	resource.TypeUrgency, resource.TypeKind, resource.TypeTeam, resource.TypeLimit, resource.TypePolicy,
}

// SortEnvelopes sorts resources by dependency: urgencies, kinds, teams, limits,
// policies. The sort is stable.
func SortEnvelopes(envelopes []Envelope) {
	slices.SortStableFunc(envelopes, func(a, b Envelope) int {
		return slices.Index(applyOrder, a.Type) - slices.Index(applyOrder, b.Type)
	})
}

func decodeEnvelopes(raw json.RawMessage) ([]Envelope, error) {
	if raw[0] == '[' {
		var array []Envelope
		err := decodeStrict(raw, &array)
		return array, err
	}
	var single Envelope
	err := decodeStrict(raw, &single)
	return []Envelope{single}, err
}

func lastName(envelopes []Envelope) string {
	if len(envelopes) == 0 {
		return "the beginning"
	}
	last := envelopes[len(envelopes)-1]
	return string(last.Type) + "/" + last.Metadata.Name
}

func (e Envelope) check() error {
	newSpec, ok := specConstructors[e.Type]
	if !ok {
		return errors.NotValidf("type %q (want kinds, teams, urgencies, limits or policies)", e.Type)
	}
	if !ident.ValidName(e.Metadata.Name, ident.MaxInstanceLen) {
		return errors.NotValidf("name %q of a resource of type %s", e.Metadata.Name, e.Type)
	}
	if len(e.Spec) == 0 {
		return errors.NotValidf("%s/%s without spec", e.Type, e.Metadata.Name)
	}
	if err := decodeStrict(e.Spec, newSpec()); err != nil {
		return errors.NewNotValid(err, "spec of "+string(e.Type)+"/"+e.Metadata.Name)
	}
	return nil
}

func decodeStrict(raw json.RawMessage, target any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(target)
}
