package event

// Events of the area http.
var (
	HTTPPanic = &Event{
		Number: 7003, Severity: Error, Name: "handler panicked",
		Meaning: "A request handler panicked; the caller received status 500.",
		Action:  "Report the stack trace.",
	}
	HTTPForwardFailed = &Event{
		Number: 7004, Severity: Warning, Name: "forward to owner failed",
		Meaning: "The owner of a submission did not answer a forwarded request.",
		Action:  "None if the owner is being replaced; otherwise check the network.",
	}
)

var httpEvents = []*Event{HTTPPanic, HTTPForwardFailed}
