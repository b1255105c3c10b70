package event

// Events of the area http.
var (
	HTTPServing = &Event{
		Number: 7001, Severity: Info, Name: "http port open",
		Meaning: "An HTTP port accepts connections.",
		Action:  "None.",
	}
	HTTPRequestInvalid = &Event{
		Number: 7002, Severity: Info, Name: "request invalid",
		Meaning: "A request was refused because it is malformed.",
		Action:  "None; the caller sees the reason.",
	}
	HTTPPanic = &Event{
		Number: 7003, Severity: Error, Name: "handler panicked",
		Meaning: "A request handler panicked; the caller got status 500.",
		Action:  "Report the stack trace.",
	}
	HTTPForwardFailed = &Event{
		Number: 7004, Severity: Warning, Name: "forward to owner failed",
		Meaning: "The owner of a submission did not answer a forwarded request.",
		Action:  "None if the owner is being replaced; else check the network.",
	}
)

var httpEvents = []*Event{HTTPServing, HTTPRequestInvalid, HTTPPanic, HTTPForwardFailed}
