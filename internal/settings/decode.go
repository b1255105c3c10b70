package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// decodeFile decodes data into f. Each section of the file is decoded over the
// defaults of its role.
func decodeFile(data []byte, f *File, p *ValidationError) {
	if !json.Valid(data) {
		err := json.Unmarshal(data, new(any))
		p.Problems = append(p.Problems, Problem{Field: "file", Value: "not JSON", Want: "one JSON object: " + err.Error()})
		return
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(data, &sections); err != nil || sections == nil {
		p.addProblem("file", "another JSON value", "one JSON object")
		return
	}
	for name, raw := range sections {
		switch name {
		case "entry":
			f.Entry = decodeSection(name, raw, DefaultEntry(), p)
		case "sidecar":
			f.Sidecar = decodeSection(name, raw, DefaultSidecar(), p)
		case "standalone":
			f.Standalone = decodeSection(name, raw, DefaultStandalone(), p)
		default:
			p.addProblem(name, "unknown field", "one of entry, sidecar, standalone")
		}
	}
	checkDuplicateFields("", json.NewDecoder(bytes.NewReader(data)), p)
	if len(sections) == 0 {
		p.addProblem("file", "{}", "at least one of entry, sidecar, standalone")
	}
}

// decodeSection decodes a section over its defaults. It returns nil if the value
// is not an object, because otherwise the later checks would report every field
// as missing.
func decodeSection[S any](name string, raw json.RawMessage, defaults *S, p *ValidationError) *S {
	if !decodeObject(name, raw, reflect.ValueOf(defaults).Elem(), p) {
		return nil
	}
	return defaults
}

// decodeObject decodes a JSON object field by field, because encoding/json would
// stop at the first unknown field and not report the other problems. It returns
// false if raw is not an object.
func decodeObject(path string, raw json.RawMessage, into reflect.Value, p *ValidationError) bool {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		p.addProblem(path, truncate(string(raw)), "a JSON object")
		return false
	}
	fields := map[string]reflect.Value{}
	collectFields(into, fields)
	for name, member := range members {
		field, ok := fields[name]
		memberPath := path + "." + name
		switch {
		case !ok:
			p.addProblem(memberPath, "unknown field", "a field that the settings define")
		case field.Kind() == reflect.Struct:
			decodeObject(memberPath, member, field, p)
		case string(member) == "null":
			p.addProblem(memberPath, "null", "a value of type %s", typeName(field))
		default:
			if err := json.Unmarshal(member, field.Addr().Interface()); err != nil {
				p.addProblem(memberPath, truncate(string(member)), "a value of type %s", typeName(field))
			}
		}
	}
	return true
}

// collectFields maps the JSON name of each field of v to the field, including
// the fields of embedded structs.
func collectFields(v reflect.Value, into map[string]reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Anonymous {
			collectFields(v.Field(i), into)
			continue
		}
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		into[name] = v.Field(i)
	}
}

// typeName returns the JSON type of a field for an error message.
func typeName(v reflect.Value) string {
	switch v.Interface().(type) {
	case Duration:
		return `duration, such as "500ms"`
	case []string:
		return "array of strings"
	case int, int64:
		return "whole number"
	case *float64:
		return "number"
	}
	return v.Kind().String()
}

func truncate(s string) string {
	const limit = 80
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
