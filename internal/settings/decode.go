package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// decodeFile decodes data into f, with the defaults in the sections that are
// present.
func decodeFile(data []byte, f *File, p *Problems) {
	if !json.Valid(data) {
		err := json.Unmarshal(data, new(any))
		p.List = append(p.List, Problem{Field: "file", Value: "not JSON", Want: "one JSON object: " + err.Error()})
		return
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(data, &sections); err != nil || sections == nil {
		p.add("file", "another JSON value", "one JSON object")
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
			p.add(name, "unknown field", "one of entry, sidecar, standalone")
		}
	}
	repeated("", json.NewDecoder(bytes.NewReader(data)), p)
	if len(sections) == 0 {
		p.add("file", "{}", "at least one of entry, sidecar, standalone")
	}
}

// decodeSection decodes a section over its defaults. It returns nil for a value
// that is no object, whose fields would all be reported as missing.
func decodeSection[S any](name string, raw json.RawMessage, defaults *S, p *Problems) *S {
	if !decodeObject(name, raw, reflect.ValueOf(defaults).Elem(), p) {
		return nil
	}
	return defaults
}

// decodeObject decodes a JSON object field by field, because encoding/json
// stops at the first unknown field and all faults are to be reported at once. It returns false if raw is no object.
func decodeObject(path string, raw json.RawMessage, into reflect.Value, p *Problems) bool {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		p.add(path, shorten(string(raw)), "a JSON object")
		return false
	}
	fields := map[string]reflect.Value{}
	collect(into, fields)
	for name, member := range members {
		field, ok := fields[name]
		at := path + "." + name
		switch {
		case !ok:
			p.add(at, "unknown field", "a field that the settings define")
		case field.Kind() == reflect.Struct:
			decodeObject(at, member, field, p)
		case string(member) == "null":
			p.add(at, "null", "a value of type %s", typeName(field))
		default:
			if err := json.Unmarshal(member, field.Addr().Interface()); err != nil {
				p.add(at, shorten(string(member)), "a value of type %s", typeName(field))
			}
		}
	}
	return true
}

// collect maps the JSON names of the fields, including those of embedded
// structs.
func collect(v reflect.Value, into map[string]reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Anonymous {
			collect(v.Field(i), into)
			continue
		}
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		into[name] = v.Field(i)
	}
}

// typeName returns the type of a field as a reader of a JSON file knows it.
func typeName(v reflect.Value) string {
	switch v.Interface().(type) {
	case Duration:
		return `duration, such as "500ms"`
	case []string:
		return "array of strings"
	case int, int64:
		return "whole number"
	}
	return v.Kind().String()
}

func shorten(s string) string {
	const limit = 80
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
