package settings

import "encoding/json"

// checkDuplicateFields reads one value of valid JSON and reports the names that
// occur more than once in an object, because encoding/json silently uses the
// last value.
func checkDuplicateFields(path string, dec *json.Decoder, p *ValidationError) {
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
				p.addProblem(path+name, "given twice", "each field once")
			}
			names[name] = true
			checkDuplicateFields(path+name+".", dec, p)
		}
	case json.Delim('['):
		for dec.More() {
			checkDuplicateFields(path, dec, p)
		}
	default:
		return
	}
	// Read the closing delimiter.
	_, _ = dec.Token()
}
