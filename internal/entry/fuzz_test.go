package entry

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// FuzzDecodeJob guards against request bodies that make decodeJob panic and
// against invalid jobs that it accepts.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"team":"a","kind":"b","tasks":[{"payload":{"x":1},"runMs":5}]}`))
	f.Add([]byte(`{"team":"a","kind":"b","tasks":[{}],"deadlineMs":-1}`))
	f.Add([]byte(`{"tasks":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, problem := decodeJob(body)
		if (req == nil) == (problem == nil) {
			t.Fatalf("request %v, problem %v", req, problem)
		}
		if problem != nil {
			if !problem.body.NotRun || problem.body.Error == "" {
				t.Fatalf("unclear error %+v", problem)
			}
			return
		}
		if n := len(req.Tasks); n < 1 || n > jobapi.MaxTasks || req.Team == "" || req.Kind == "" || req.DeadlineMs < 0 {
			t.Fatalf("accepted %+v", req)
		}
	})
}
