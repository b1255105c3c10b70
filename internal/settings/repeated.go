package settings

import "encoding/json"

// repeated reads one value, which is valid JSON, and reports the names that
// occur more than once in an object: encoding/json silently takes the last.
func repeated(path string, dec *json.Decoder, p *Problems) {
	token, err := dec.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		names := map[string]bool{}
		for dec.More() {
			token, err := dec.Token()
			name, ok := token.(string)
			if err != nil || !ok {
				return
			}
			if names[name] {
				p.add(path+name, "given twice", "each field once")
			}
			names[name] = true
			repeated(path+name+".", dec, p)
		}
	case json.Delim('['):
		for dec.More() {
			repeated(path, dec, p)
		}
	default:
		return
	}
	// The closing delimiter.
	_, _ = dec.Token()
}
